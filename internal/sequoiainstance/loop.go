package sequoiainstance

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// loop passes events to the control core in a single goroutine and performs the core's actions in order.
func (in *Instance) loop() {
	for {
		select {
		case <-in.ctx.Done():
			return
		case <-in.events.ready:
		}
		for _, ev := range in.events.takeAll() {
			in.step(ev)
		}
	}
}

func (in *Instance) step(ev sequoiacontrol.Event) {
	for _, a := range in.core.Step(time.Now(), ev) {
		in.perform(a)
	}
}

func (in *Instance) perform(a sequoiacontrol.Action) {
	switch a := a.(type) {
	case sequoiacontrol.Send:
		in.control.Send(a.To, a.Addr, a.Message)
	case sequoiacontrol.Append:
		in.goroutines.Go(func() { in.append(a.Entry) })
	case sequoiacontrol.ReadLog:
		in.goroutines.Go(func() { in.readLog(a.After) })
	case sequoiacontrol.WatchLog:
		in.setWatch(a.On)
	case sequoiacontrol.WriteCheckpoint:
		in.goroutines.Go(func() { in.writeCheckpoint(a.Table) })
	case sequoiacontrol.RenewLease:
		in.goroutines.Go(func() { in.renewLease(a) })
	case sequoiacontrol.Publish:
		in.publish(a.Snapshot)
	case sequoiacontrol.CloseKeys:
		in.closeKeys(a)
	case sequoiacontrol.OpenKeys:
		in.router.OpenKeys(time.Now(), a.Move)
	case sequoiacontrol.InstallMemory:
		in.installMemory(a)
	case sequoiacontrol.Reply:
		in.pendingCommands.deliver(a)
	case sequoiacontrol.Record:
		in.recordDecision(a)
	case sequoiacontrol.Stopped:
		in.log.Placement(sequoialog.Decision{Name: "Stopped", Reason: "Drained"})
		close(in.stopped)
	}
}

func (in *Instance) publish(s *sequoiacontrol.Snapshot) {
	previous := in.snapshot.Swap(s)
	if previous.Self != s.Self {
		in.control.SetIncarnation(s.Self)
	}
	in.logMembership(previous, s)
	in.router.Publish(time.Now(), s)
	if c := s.Table.Configuration; c.Revision != previous.Table.Configuration.Revision {
		in.configure(c)
	}
}

// logMembership logs when the process joins and leaves the table. These lines give the instance and the lifetime of
// each incarnation in a fleet's logs. The core logs the replacement of an incarnation as NewIncarnation.
func (in *Instance) logMembership(previous, s *sequoiacontrol.Snapshot) {
	in.instanceNames.update(s.Table)
	if m := s.Table.Member(s.Self); m != nil && previous.Table.Member(s.Self) == nil {
		in.logMember("Joined", s.Self, m.Service, s.Table.Index)
	}
	if m := previous.Table.Member(previous.Self); m != nil && s.Table.Member(previous.Self) == nil {
		in.logMember("Left", previous.Self, m.Service, s.Table.Index)
	}
}

func (in *Instance) logMember(name string, id sequoiatable.IncarnationID, service string, index uint64) {
	in.log.Placement(sequoialog.Decision{
		Name: name, Service: service, Owner: id, OwnerInstance: in.settings.Instance, Epoch: sequoiatable.Epoch(index),
	})
}

func (in *Instance) closeKeys(a sequoiacontrol.CloseKeys) {
	if a.All {
		in.router.CloseAll(time.Now(), a.Move, func() {
			in.goroutines.Go(func() { in.awaitRequestsDone(a.Move) })
		})
		return
	}
	in.router.CloseKeys(time.Now(), a.Move, a.Keys, func(ids []sequoiacontrol.Identifier) {
		in.post(sequoiacontrol.KeysDrained{Move: a.Move, Identifiers: ids})
	})
}

// awaitRequestsDone waits until no request is in progress and reports that to the core. It includes requests that this
// process has forwarded, because their callers still wait for a response from it.
func (in *Instance) awaitRequestsDone(move uint64) {
	for in.ctx.Err() == nil {
		if in.proxy.InProgress() == 0 {
			in.post(sequoiacontrol.KeysDrained{Move: move})
			return
		}
		_ = sequoiatimer.Sleep(in.ctx, drainPollInterval)
	}
}

func (in *Instance) installMemory(a sequoiacontrol.InstallMemory) {
	if err := in.router.InstallIdentifiers(time.Now(), a.Keys, a.Identifiers); err != nil {
		in.logFault("MemoryRejected", err)
		return
	}
	in.post(sequoiacontrol.MemoryInstalled{From: a.From, Move: a.Move, Part: a.Part})
}

// recordDecision adds every placement decision to the history, and logs those that this process made or that make it an
// owner. The new owner logs them too because the process that decided may fail before its line is written.
func (in *Instance) recordDecision(r sequoiacontrol.Record) {
	in.history.add(r, time.Now())
	if !r.Own && r.Owner != in.core.Self() {
		return
	}
	if r.Own {
		in.counters.decisions.WithLabelValues(r.Decision).Inc()
	}
	d := sequoialog.Decision{
		Name: r.Decision, Service: r.Service, Shards: r.Keys.Shards, Owner: r.Owner, Previous: r.Previous,
		OwnerInstance: in.instanceNames.instance(r.Owner), PreviousInstance: in.instanceNames.instance(r.Previous),
		Epoch: r.Epoch, Reason: r.Reason,
	}
	if len(r.Keys.Shards) > 0 || len(r.Keys.Keys) == 0 {
		in.log.Placement(d)
	}
	d.Shards = nil
	for _, k := range r.Keys.Keys {
		d.Key = k
		in.log.Placement(d)
	}
}

func (in *Instance) logRequest(req *sequoiarouter.Request, resp *sequoiarouter.Response) {
	in.log.Routing(sequoialog.Decision{
		Name: "Route", Service: req.Service, Key: req.Key, Owner: resp.Owner, Epoch: resp.Epoch,
		Outcome: resp.Outcome.String(), Reason: resp.Reason,
	})
}

// logFault logs and counts a fault that needs no other handling.
func (in *Instance) logFault(name string, err error) {
	in.counters.faults.WithLabelValues(name).Inc()
	in.log.Fault(name, err)
}

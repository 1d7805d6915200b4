package sequoiaowner_test

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

// Keys of the model's store.
const (
	modelMember       = "Member/"
	modelRegistration = "Registration/"
	modelTable        = "Table"
)

func newModelRegistration(p *process, store sequoiaregistry.Store) *sequoiaregistry.Registration {
	core := p.core
	return &sequoiaregistry.Registration{
		Store: store, Key: modelMember + p.name, RecordKey: modelRegistration + p.name, Value: p.member, Now: func() time.Time { return p.w.now },
		Record: func() []byte { return nil }, OnRecord: func(sequoiaregistry.Item) {},
		ReadTable: func(context.Context) error { return p.readTable(store) },
		OnConfirmed: func(sent time.Time) {
			core.ConfirmRegistration(sent)
			p.w.logf("%s is confirmed", p.name)
		},
		OnCallFailed: core.MarkRegistrationUnconfirmed,
		Confirmed:    core.RegistrationConfirmed,
		OnRegistered: func(revision, lease uint64, _ []byte) { core.MarkRegistered(p.w.now, revision, lease) },
		OnError:      func(error) {},
	}
}

// readTable reads the table from the store into the core.
func (p *process) readTable(store sequoiaregistry.Store) error {
	it, err := store.Get(context.Background(), modelTable)
	if errors.Is(err, sequoiaregistry.ErrNotFound) {
		p.core.SetTable(sequoiakeyspace.NewTable(), it.Revision)
		return nil
	}
	if err != nil {
		return err
	}
	t, err := sequoiakeyspace.Decode(it.Value)
	if err != nil {
		return err
	}
	p.core.SetTable(t, it.Revision)
	return nil
}

// act carries out the actions that need the store.
func (p *process) act(store sequoiaregistry.Store, a sequoiaowner.Actions) {
	if a.Observe {
		p.core.ObservationDone(p.w.now, observe(store))
	}
	if a.Write == nil {
		return
	}
	err := p.propose(store, a.Write)
	p.w.logf("%s writes %s of %v without %v: %v", p.name, a.Write.Reason, a.Write.Changes, a.Write.Absent, err)
	result := sequoiaowner.WriteApplied
	switch {
	case errors.Is(err, sequoiaregistry.ErrConflict):
		result = sequoiaowner.WriteConflict
	case errors.Is(err, sequoiaregistry.ErrRefused):
		result = sequoiaowner.WriteRefused
	case err != nil:
		result = sequoiaowner.WriteInDoubt
	}
	p.core.WriteDone(p.w.now, result)
	if err != nil {
		_ = p.readTable(store)
	}
}

// propose commits a write, or sends it to another process that does so when it arrives.
func (p *process) propose(store sequoiaregistry.Store, w *sequoiaowner.Write) error {
	f := p.fault(faultLateProposals)
	if f == nil || len(w.Absent) > 0 || w.Recovery != nil {
		return p.commit(store, w)
	}
	writer := p.w.processes[(p.index+1)%len(p.w.processes)]
	p.w.lateProposals = append(p.w.lateProposals, lateProposal{p.w.now.Add(f.delay), writer, w})
	return errors.WithStack(errNoResponse)
}

// applyLateProposals commits the proposals that are due at the processes that have received them.
func (w *world) applyLateProposals() {
	w.lateProposals = slices.DeleteFunc(w.lateProposals, func(l lateProposal) bool {
		if w.now.Before(l.at) {
			return false
		}
		if t, _ := l.writer.core.Table(); l.writer.running() && t != nil {
			err := l.writer.commit(l.writer.store, l.write)
			w.logf("%s writes the late proposal %s of %v: %v", l.writer.name, l.write.Reason, l.write.Changes, err)
		}
		return true
	})
}

func observe(store sequoiaregistry.Store) *sequoiaowner.Observation {
	records, _, err := store.List(context.Background(), modelRegistration)
	if err != nil {
		return nil
	}
	items, revision, err := store.List(context.Background(), modelMember)
	if err != nil {
		return nil
	}
	o := &sequoiaowner.Observation{Registrations: map[string]uint64{}, Members: decodeModelMembers(items), Revision: revision}
	for _, it := range records {
		o.Registrations[strings.TrimPrefix(it.Key, modelRegistration)] = it.Revision
	}
	return o
}

func (p *process) commit(store sequoiaregistry.Store, w *sequoiaowner.Write) error {
	t, base := p.core.Table()
	if w.Recovery != nil {
		t, base = w.Recovery.Table, w.Recovery.Base
	} else {
		t = t.Clone()
		if applied := w.Apply(t); len(applied) == 0 && w.Spread == "" {
			return errors.WithStack(sequoiaregistry.ErrConflict)
		}
	}
	b, err := t.Encode()
	if err != nil {
		return err
	}
	tx := sequoiaregistry.Transaction{
		Expected: map[string]uint64{modelTable: base}, Puts: []sequoiaregistry.Item{{Key: modelTable, Value: b}},
	}
	for _, a := range w.Absent {
		tx.Expected[modelMember+a.Instance] = 0
		tx.Expected[modelRegistration+a.Instance] = a.Registration
	}
	if w.Releaser.Instance != "" {
		tx.Expected[modelRegistration+w.Releaser.Instance] = w.Releaser.Registration
	}
	revision, err := store.Commit(context.Background(), tx)
	if err != nil {
		return err
	}
	p.core.SetTable(t, revision)
	for _, q := range p.w.processes {
		if p.reaches(q) {
			q.core.SetTable(t, revision)
		}
	}
	return nil
}

func (p *process) askPromises(now time.Time) {
	promises := map[string]sequoiaowner.Promised{}
	for _, m := range p.core.RequiredPromisers() {
		if q := p.find(m.Instance); p.reaches(q) && q.core.Promise(now, p.name) {
			_, revision := q.core.Table()
			promises[m.Instance] = sequoiaowner.Promised{Process: q.processID(), Revision: revision}
		}
	}
	if p.core.ExtendAuthority(now, promises) {
		p.w.logf("%s extends its authority", p.name)
	}
}

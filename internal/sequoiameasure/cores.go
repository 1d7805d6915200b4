package sequoiameasure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaproxy"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/pkg/sequoiaclient"
)

const (
	// checkpointPart is the size of the parts of a checkpoint in the store.
	checkpointPart = 512 << 10
	// simulatedTime is the time over which a core's use of the processor is measured. It covers several balancing
	// decisions, one of which is made each 5 s.
	simulatedTime = 30 * time.Second
	// appliedEntries is the number of entries over which the cost of one is measured.
	appliedEntries = 50
	// takeoverTicks bounds the wait for the end of a takeover.
	takeoverTicks = 4000
	codecRounds   = 5
)

// cores measures the control core alone at each number of members.
func (m *measurement) cores(ctx context.Context) error {
	for _, n := range m.cfg.Members {
		if err := ctx.Err(); err != nil {
			return err
		}
		c := &coreMeasurement{measurement: m, subject: fmt.Sprintf("%d members", n)}
		if err := c.measure(n); err != nil {
			return err
		}
		runtime.GC()
	}
	return nil
}

// coreMeasurement is the measurement of one size.
type coreMeasurement struct {
	*measurement
	subject string
}

func (c *coreMeasurement) add(metric, unit string, value float64) {
	c.measurement.add(PartCore, c.subject, metric, unit, value)
}

// timed records the processor time of f in milliseconds for each of n repetitions.
func (c *coreMeasurement) timed(metric string, n int, f func()) {
	runtime.GC()
	before := cpuTime()
	f()
	c.add(metric, "ms", (cpuTime()-before).Seconds()*1e3/float64(n))
}

func (c *coreMeasurement) measure(n int) error {
	before := liveMemory()
	s, err := newSystem(n)
	if err != nil {
		return err
	}
	c.add("memory of the table", "MiB", float64(liveMemory()-before)/(1<<20))
	if err := c.checkpoint(s); err != nil {
		return err
	}
	if err := c.entrySizes(s); err != nil {
		return err
	}
	before = liveMemory()
	last := simulate(s, n-1)
	last.run(2 * time.Second)
	c.add("memory of a core beside the table", "MiB", float64(liveMemory()-before)/(1<<20))
	c.processor("processor of an ordinary core", func() { last.run(simulatedTime) })
	c.applying("an ordinary core", last)
	if err := c.document(last.last); err != nil {
		return err
	}
	first := simulate(s, 0)
	for i := range n {
		first.report(i)
	}
	c.add("memory of the planner's core and an ordinary one beside the table", "MiB", float64(liveMemory()-before)/(1<<20))
	c.processor("processor of the planner's core", func() { first.runPlanner(simulatedTime, s.reportInterval()) })
	c.applying("the planner's core", first)
	runtime.KeepAlive(last)
	if err := c.takeover(s, first); err != nil {
		return err
	}
	runtime.KeepAlive(s)
	return nil
}

// processor records the processor time that f uses of simulatedTime.
func (c *coreMeasurement) processor(metric string, f func()) {
	runtime.GC()
	before := cpuTime()
	f()
	c.add(metric, "% of a core", (cpuTime()-before).Seconds()/simulatedTime.Seconds()*100)
}

func (c *coreMeasurement) checkpoint(s *system) error {
	var parts [][]byte
	c.timed("processor of a checkpoint's encoding", codecRounds, func() {
		for range codecRounds {
			parts = s.table.Encode(checkpointPart)
		}
	})
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	c.add("checkpoint", "KiB", float64(size)/1024)
	c.add("checkpoint", "parts", float64(len(parts)))
	var err error
	c.timed("processor of a checkpoint's decoding", codecRounds, func() {
		for range codecRounds {
			if _, e := sequoiatable.DecodeCheckpoint(parts); e != nil {
				err = e
			}
		}
	})
	return err
}

// entrySizes records the sizes of the entries of a restart and of the messages that the planner receives.
func (c *coreMeasurement) entrySizes(s *system) error {
	owned := sequoiatable.Assign{Service: simulatedService, Kind: sequoiatable.AssignPlanned, From: member(1), To: member(2), Reason: "Drain"}
	for k := range shardsEach {
		owned.Shards = append(owned.Shards, uint32(1+k*s.n))
	}
	one := owned
	one.Shards = owned.Shards[:1]
	for _, e := range []struct {
		name   string
		change sequoiatable.Change
	}{
		{"join entry", sequoiatable.Change{Join: &sequoiatable.Join{Member: describe(1)}}},
		{"witness set entry", sequoiatable.Change{SetWitnesses: &sequoiatable.SetWitnesses{Holder: member(1), Witnesses: s.witnessesOf(1)}}},
		{"planned move entry, 1 shard", sequoiatable.Change{Assign: &one}},
		{"planned move entry, 64 shards", sequoiatable.Change{Assign: &owned}},
	} {
		size, _, err := largest([]sequoiatable.Entry{{Index: 1 << 20, Writer: member(1), Nonce: 1 << 60, Changes: []sequoiatable.Change{e.change}}})
		if err != nil {
			return err
		}
		c.add(e.name, "B", float64(size))
	}
	report, err := cbor.Marshal(sequoiacontrol.Message{LogIndex: 1 << 20, LoadReport: &sequoiacontrol.LoadReport{Load: loadReport(s, 1)}})
	c.add("load report message", "B", float64(len(report)))
	c.add("load reports at the planner", "B/s", float64(len(report))*float64(s.n)/s.reportInterval().Seconds())
	return errors.Wrap(err, "encode a load report")
}

// applying records the cost of one small entry written by another member, the following tick included.
func (c *coreMeasurement) applying(name string, sim *simulation) {
	c.timed("processor of an entry at "+name, appliedEntries, func() {
		for k := range appliedEntries {
			i := 1 + k%(sim.s.n-2)
			sim.append(member(i), sequoiatable.Change{SetWitnesses: &sequoiatable.SetWitnesses{
				Holder: member(i), Witnesses: sim.s.witnessesOf(i),
			}})
		}
	})
}

// document measures the table that client packages read: at the process that encodes it and at the client.
func (c *coreMeasurement) document(s *sequoiacontrol.Snapshot) error {
	p := sequoiaproxy.New(routerWith(s))
	defer p.Close()
	addr, err := p.ListenCallers(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return err
	}
	var body []byte
	c.timed("processor of a table document, read once", 1, func() { body, err = get("http://" + addr.String() + "/v1/table") })
	if err != nil {
		return err
	}
	c.add("table document", "KiB", float64(len(body))/1024)
	var doc sequoiaclient.Document
	c.timed("processor of decoding a table document", 1, func() { err = json.Unmarshal(body, &doc) })
	return errors.Wrap(err, "decode the table document")
}

func get(url string) ([]byte, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, errors.Wrap(err, "read the table document")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return body, errors.Wrap(err, "read the table document")
}

// takeover loses a whole failure domain and measures the member that takes its keys over, from the revocation to the
// last assignment, without the waits for leases and the store.
func (c *coreMeasurement) takeover(s *system, sim *simulation) error {
	lost := s.lostDomain(5)
	var changes []sequoiatable.Change
	for _, i := range lost {
		changes = append(changes, sequoiatable.Change{Revoke: &sequoiatable.Revoke{Incarnation: member(i), Reason: "Silent"}})
	}
	sim.written = nil
	sim.messages = 0
	runtime.GC()
	before, started := cpuTime(), time.Now()
	// The member wrote the revocation itself and so starts without a delay.
	revoke := sim.append(sim.core.Self(), changes...)
	ticks := 0
	for ; ticks < takeoverTicks && !s.served(sim, lost); ticks++ {
		sim.tick()
	}
	used, elapsed := cpuTime()-before, time.Since(started)
	if ticks == takeoverTicks {
		return errors.Wrap(errTable, "the takeover did not end")
	}
	shards := 0
	var entries []sequoiatable.Entry
	for _, e := range sim.written {
		for _, change := range e.Changes {
			if change.Assign != nil && change.Assign.Kind == sequoiatable.AssignTakeover {
				shards += len(change.Assign.Shards)
			}
		}
		entries = append(entries, e)
	}
	assign, refused, err := largest(entries)
	if err != nil {
		return err
	}
	revokeSize, _, err := largest([]sequoiatable.Entry{revoke})
	if err != nil {
		return err
	}
	c.add("members lost with a failure domain", "members", float64(len(lost)))
	c.add("shards taken over", "shards", float64(shards))
	c.add("processor of the takeover", "ms", used.Seconds()*1e3)
	c.add("elapsed time of the takeover's computation", "ms", elapsed.Seconds()*1e3)
	c.add("messages of the takeover", "messages", float64(sim.messages))
	c.add("entries of the takeover", "entries", float64(len(entries)))
	c.add("revocation entry", "B", float64(revokeSize))
	c.add("largest takeover entry", "B", float64(assign))
	c.add("takeover entries that the codec refuses", "entries", float64(refused))
	return nil
}

// served reports whether none of the lost members owns a key any more.
func (s *system) served(sim *simulation, lost []int) bool {
	for _, i := range lost {
		if m := sim.last.Table.Member(member(i)); m != nil && m.Owned > 0 {
			return false
		}
	}
	return true
}

// routerWith returns a router with a snapshot in force.
func routerWith(s *sequoiacontrol.Snapshot) *sequoiarouter.Router {
	r := sequoiarouter.New()
	r.Publish(time.Now(), s)
	return r
}

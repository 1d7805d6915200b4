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
	// checkpointPartBytes is the size of the parts into which a checkpoint is split in the store.
	checkpointPartBytes = 512 << 10
	// simulatedDuration is the simulated time over which the CPU utilization of a core is measured. It covers several
	// balancing decisions, which are made every 5 s.
	simulatedDuration = 30 * time.Second
	// entryCount is the number of entries over which the cost is averaged.
	entryCount = 50
	// maxTakeoverTicks bounds the number of ticks until a takeover finishes.
	maxTakeoverTicks = 4000
	codecRepeats     = 5
)

// measureCores measures the control core alone for each number of members.
func (m *measurement) measureCores(ctx context.Context) error {
	for _, n := range m.cfg.Members {
		if err := ctx.Err(); err != nil {
			return err
		}
		c := &coreMeasurement{measurement: m, subject: fmt.Sprintf("%d members", n)}
		if err := c.run(n); err != nil {
			return err
		}
		runtime.GC()
	}
	return nil
}

// coreMeasurement measures the control core with one number of members.
type coreMeasurement struct {
	*measurement
	subject string
}

func (c *coreMeasurement) add(metric, unit string, value float64) {
	c.measurement.add(PartCore, c.subject, metric, unit, value)
}

// recordTime records the CPU time of f, which repeats an operation n times, in milliseconds per operation.
func (c *coreMeasurement) recordTime(metric string, n int, f func()) {
	runtime.GC()
	before := cpuTime()
	f()
	c.add(metric, "ms", (cpuTime()-before).Seconds()*1e3/float64(n))
}

func (c *coreMeasurement) run(n int) error {
	before := liveMemory()
	s, err := newSystem(n)
	if err != nil {
		return err
	}
	c.add("memory of the table", "MiB", float64(liveMemory()-before)/(1<<20))
	if err := c.recordCheckpoint(s); err != nil {
		return err
	}
	if err := c.recordMessageSizes(s); err != nil {
		return err
	}
	before = liveMemory()
	ordinary := newSimulation(s, n-1)
	ordinary.run(2 * time.Second)
	c.add("memory of a core beside the table", "MiB", float64(liveMemory()-before)/(1<<20))
	c.recordUtilization("processor of an ordinary core", func() { ordinary.run(simulatedDuration) })
	c.recordEntryCost("an ordinary core", ordinary)
	if err := c.recordDocumentCost(ordinary.snapshot); err != nil {
		return err
	}
	planner := newSimulation(s, 0)
	for i := range n {
		planner.deliverLoadReport(i)
	}
	c.add("memory of the planner's core and an ordinary one beside the table", "MiB", float64(liveMemory()-before)/(1<<20))
	c.recordUtilization("processor of the planner's core", func() { planner.runPlanner(simulatedDuration, s.loadReportInterval()) })
	c.recordEntryCost("the planner's core", planner)
	runtime.KeepAlive(ordinary)
	if err := c.recordTakeover(s, planner); err != nil {
		return err
	}
	runtime.KeepAlive(s)
	return nil
}

// recordUtilization records the CPU time of f, which simulates simulatedDuration, as a percentage of that duration.
func (c *coreMeasurement) recordUtilization(metric string, f func()) {
	runtime.GC()
	before := cpuTime()
	f()
	c.add(metric, "% of a core", (cpuTime()-before).Seconds()/simulatedDuration.Seconds()*100)
}

func (c *coreMeasurement) recordCheckpoint(s *system) error {
	var parts [][]byte
	c.recordTime("processor of a checkpoint's encoding", codecRepeats, func() {
		for range codecRepeats {
			parts = s.table.Encode(checkpointPartBytes)
		}
	})
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	c.add("checkpoint", "KiB", float64(size)/1024)
	c.add("checkpoint", "parts", float64(len(parts)))
	var err error
	c.recordTime("processor of a checkpoint's decoding", codecRepeats, func() {
		for range codecRepeats {
			if _, e := sequoiatable.DecodeCheckpoint(parts); e != nil {
				err = e
			}
		}
	})
	return err
}

// recordMessageSizes records the sizes of the log entries that a restart writes and of the messages that the planner
// receives.
func (c *coreMeasurement) recordMessageSizes(s *system) error {
	allShards := sequoiatable.Assign{Service: simulatedService, Kind: sequoiatable.AssignPlanned, From: incarnationOf(1), To: incarnationOf(2), Reason: "Drain"}
	for k := range shardsPerMember {
		allShards.Shards = append(allShards.Shards, uint32(1+k*s.members))
	}
	oneShard := allShards
	oneShard.Shards = allShards.Shards[:1]
	for _, e := range []struct {
		name   string
		change sequoiatable.Change
	}{
		{"join entry", sequoiatable.Change{Join: &sequoiatable.Join{Member: newMember(1)}}},
		{"witness set entry", sequoiatable.Change{SetWitnesses: &sequoiatable.SetWitnesses{Holder: incarnationOf(1), Witnesses: s.witnessesOf(1)}}},
		{"planned move entry, 1 shard", sequoiatable.Change{Assign: &oneShard}},
		{"planned move entry, 64 shards", sequoiatable.Change{Assign: &allShards}},
	} {
		size, _, err := measureEncodings([]sequoiatable.Entry{{Index: 1 << 20, Writer: incarnationOf(1), Nonce: 1 << 60, Changes: []sequoiatable.Change{e.change}}})
		if err != nil {
			return err
		}
		c.add(e.name, "B", float64(size))
	}
	report, err := cbor.Marshal(sequoiacontrol.Message{LogIndex: 1 << 20, LoadReport: &sequoiacontrol.LoadReport{Load: loadReport(s, 1)}})
	c.add("load report message", "B", float64(len(report)))
	c.add("load reports at the planner", "B/s", float64(len(report))*float64(s.members)/s.loadReportInterval().Seconds())
	return errors.Wrap(err, "encode a load report")
}

// recordEntryCost records the CPU time of processing a small entry that another member wrote, including the time-driven
// work that the core does after every event.
func (c *coreMeasurement) recordEntryCost(name string, sim *simulation) {
	c.recordTime("processor of an entry at "+name, entryCount, func() {
		for k := range entryCount {
			i := 1 + k%(sim.system.members-2)
			sim.deliverEntry(incarnationOf(i), sequoiatable.Change{SetWitnesses: &sequoiatable.SetWitnesses{
				Holder: incarnationOf(i), Witnesses: sim.system.witnessesOf(i),
			}})
		}
	})
}

// recordDocumentCost records the cost of the table document that client packages read, for the process that encodes it
// and for the client that decodes it.
func (c *coreMeasurement) recordDocumentCost(s *sequoiacontrol.Snapshot) error {
	p := sequoiaproxy.New(routerWith(s))
	defer p.Close()
	addr, err := p.ListenCallers(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return err
	}
	var body []byte
	c.recordTime("processor of a table document, read once", 1, func() { body, err = fetch("http://" + addr.String() + "/v1/table") })
	if err != nil {
		return err
	}
	c.add("table document", "KiB", float64(len(body))/1024)
	var doc sequoiaclient.Document
	c.recordTime("processor of decoding a table document", 1, func() { err = json.Unmarshal(body, &doc) })
	return errors.Wrap(err, "decode the table document")
}

func fetch(url string) ([]byte, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, errors.Wrap(err, "read the table document")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return body, errors.Wrap(err, "read the table document")
}

// recordTakeover simulates the loss of a failure domain and measures the member that takes over its keys, from the
// revocation to the last assignment, without the waiting times for leases and the store.
func (c *coreMeasurement) recordTakeover(s *system, sim *simulation) error {
	lost := s.failureDomainMembers(5)
	var changes []sequoiatable.Change
	for _, i := range lost {
		changes = append(changes, sequoiatable.Change{Revoke: &sequoiatable.Revoke{Incarnation: incarnationOf(i), Reason: "Silent"}})
	}
	sim.appendedEntries = nil
	sim.sentMessages = 0
	runtime.GC()
	before, started := cpuTime(), time.Now()
	// The member starts the takeover without a delay because it wrote the revocation itself.
	revoke := sim.deliverEntry(sim.core.Self(), changes...)
	ticks := 0
	for ; ticks < maxTakeoverTicks && !s.takeoverComplete(sim, lost); ticks++ {
		sim.tick()
	}
	used, elapsed := cpuTime()-before, time.Since(started)
	if ticks == maxTakeoverTicks {
		return errors.Wrap(errIncompleteTable, "the takeover did not finish")
	}
	shards := 0
	var entries []sequoiatable.Entry
	for _, e := range sim.appendedEntries {
		for _, change := range e.Changes {
			if change.Assign != nil && change.Assign.Kind == sequoiatable.AssignTakeover {
				shards += len(change.Assign.Shards)
			}
		}
		entries = append(entries, e)
	}
	largestAssign, refused, err := measureEncodings(entries)
	if err != nil {
		return err
	}
	revokeSize, _, err := measureEncodings([]sequoiatable.Entry{revoke})
	if err != nil {
		return err
	}
	c.add("members lost with a failure domain", "members", float64(len(lost)))
	c.add("shards taken over", "shards", float64(shards))
	c.add("processor of the takeover", "ms", used.Seconds()*1e3)
	c.add("elapsed time of the takeover's computation", "ms", elapsed.Seconds()*1e3)
	c.add("messages of the takeover", "messages", float64(sim.sentMessages))
	c.add("entries of the takeover", "entries", float64(len(entries)))
	c.add("revocation entry", "B", float64(revokeSize))
	c.add("largest takeover entry", "B", float64(largestAssign))
	c.add("takeover entries that the codec refuses", "entries", float64(refused))
	return nil
}

// takeoverComplete reports whether none of the lost members owns a key any more.
func (s *system) takeoverComplete(sim *simulation, lost []int) bool {
	for _, i := range lost {
		if m := sim.snapshot.Table.Member(incarnationOf(i)); m != nil && m.Owned > 0 {
			return false
		}
	}
	return true
}

// routerWith returns a router to which a snapshot has been published.
func routerWith(s *sequoiacontrol.Snapshot) *sequoiarouter.Router {
	r := sequoiarouter.New()
	r.Publish(time.Now(), s)
	return r
}

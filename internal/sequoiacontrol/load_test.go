package sequoiacontrol

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// maximalLoad returns a load with the longest lists that a process reports.
func maximalLoad(id sequoiatable.IncarnationID, keyLength int, busy float64) Load {
	l := Load{Incarnation: id, Service: testService, BusySlots: busy, ReportedBusySlots: 1.1, HasReport: true, Slots: 6, Requests: 1e6 / 3.0}
	for i := range 16 {
		key := fmt.Sprintf("%0*d", keyLength, i)
		l.Keys = append(l.Keys, sequoiaplacement.KeyLoad{Key: key, BusySlots: busy / float64(i+3)})
		l.Shards = append(l.Shards, sequoiaplacement.ShardLoad{Shard: 20_000 + uint32(i), BusySlots: busy / float64(i+3)})
	}
	return l
}

// encodedSize returns the size of a message as encoded for the wire, including its sender.
func encodedSize(m Message) int {
	b, err := cbor.Marshal(struct {
		From    sequoiatable.IncarnationID
		Message Message
	}{1 << 63, m})
	Expect(err).NotTo(HaveOccurred())
	return len(b)
}

// reportLoads passes a load measurement to each live process every second.
func reportLoads(f *fleet, seconds int, load func(n *node) Load) {
	for range seconds {
		for _, n := range f.nodes {
			n.step(f, LoadMeasured{Load: load(n)})
		}
		f.run(time.Second)
	}
}

var _ = ginkgo.Describe("Load reports", func() {
	ginkgo.It("stay within the sizes assumed for the reporting intervals, which bound the receiver's traffic", func() {
		for _, length := range []int{1, 16, 100} {
			report := trimReport(maximalLoad(1<<63, length, 5))
			Expect(report.Keys).NotTo(BeEmpty())
			Expect(encodedSize(Message{LogIndex: 1 << 40, LoadReport: &LoadReport{Load: report}})).To(BeNumerically("<=", reportBytes))
			var loads []measuredLoad
			for i := range 345 {
				load := maximalLoad(sequoiatable.IncarnationID(uint64(1)<<63+uint64(i)), length, float64(i))
				loads = append(loads, measuredLoad{Load: load, measuredAt: time.Unix(1000, 0)})
			}
			b := newLoadBatch(time.Unix(1005, 0), loads)
			Expect(len(b.Loads)).To(BeNumerically(">=", 6))
			Expect(encodedSize(Message{LogIndex: 1 << 40, LoadBatch: b})).To(BeNumerically("<=", batchBytes))
		}
	})

	ginkgo.It("list the most and least loaded members and the owners of the hottest keys, with prefixes of their lists", func() {
		var loads []measuredLoad
		for i := range 100 {
			load := maximalLoad(sequoiatable.IncarnationID(i+1), 16, float64(i+1)/100)
			loads = append(loads, measuredLoad{Load: load, measuredAt: time.Unix(1000, 0)})
		}
		loads[50].Keys = slices.Insert(loads[50].Keys, 0, sequoiaplacement.KeyLoad{Key: "hot", BusySlots: 4})
		b := newLoadBatch(time.Unix(1005, 0), loads)
		listed := map[sequoiatable.IncarnationID]Load{}
		for _, l := range b.Loads {
			listed[l.Load.Incarnation] = l.Load
			Expect(l.Age).To(Equal(5 * time.Second))
			full := loads[l.Load.Incarnation-1]
			Expect(l.Load.Keys).To(Equal(full.Keys[:len(l.Load.Keys)]), "a gap in the list hides a hot key")
			Expect(l.Load.Keys).NotTo(BeEmpty(), "an empty list of keys would merge hot keys into their shards")
		}
		for _, id := range []sequoiatable.IncarnationID{1, 2, 3, 4, 5, 6, 95, 96, 97, 98, 99, 100, 51} {
			Expect(listed).To(HaveKey(id))
		}
		Expect(listed[51].Keys[0].Key).To(Equal("hot"))
	})

	ginkgo.It("have intervals that keep control connections open and stay below 8 KB/s per receiver with 3,800 members", func() {
		c := New()
		c.view = view{members: 3800, eligibleInDomain: map[string]int{"a": 346}, storeReader: map[string]sequoiatable.IncarnationID{}}
		for i := range 11 {
			c.view.storeReader[strings.Repeat("a", i+1)] = sequoiatable.IncarnationID(i + 1)
		}
		c.table = singleMemberTable(c.self)
		Expect(c.directReportInterval()).To(BeNumerically(">", 30*time.Second), "direct reports would need a handshake each")
		Expect(c.relay()).NotTo(BeZero())
		Expect(c.relayedReportInterval()).To(BeNumerically("<", 25*time.Second))
		Expect(c.batchInterval()).To(BeNumerically("<", 25*time.Second))
		Expect(346 * reportBytes / c.relayedReportInterval().Seconds()).To(BeNumerically("<=", 8*1024))
		Expect(11 * batchBytes / c.batchInterval().Seconds()).To(BeNumerically("<=", 8*1024))
		c.view.members = 9
		Expect(c.relay()).To(BeZero())
		Expect(c.directReportInterval()).To(Equal(time.Second))
	})

	ginkgo.It("report a hot key to the planner through a relay, and through the next relay after the first one is lost", func() {
		timings := DefaultTimings()
		timings.DirectReportInterval = 0
		seen := map[string]time.Duration{}
		f := startFleet(21, 9, 3, WithTimings(timings), WithPolicy(Policy{
			Place: sequoiaplacement.Place,
			Balance: func(in sequoiaplacement.Input) []sequoiaplacement.Move {
				for _, u := range in.Upstreams {
					for _, k := range u.Keys {
						seen[k.Key] = u.LoadAge
					}
				}
				return nil
			},
		}))
		table := f.nodes[0].snapshot.Table
		lowest := func(domain string) *node {
			var low *node
			for _, n := range f.nodes {
				if n.domain == domain && !n.killed && (low == nil || n.core.Self() < low.core.Self()) {
					low = n
				}
			}
			return low
		}
		planner := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.core.Self() == table.Members()[0] })]
		domain := "domain-0"
		if planner.domain == domain {
			domain = "domain-1"
		}
		relay := lowest(domain)
		relay.killed = true
		owner := lowest(domain)
		// The owner of the hot key must not be the next relay, which would report the key without relaying.
		next := owner
		for _, n := range f.nodes {
			if n.domain == domain && n != relay && n != next {
				owner = n
			}
		}
		relay.killed = false
		key := "before"
		load := func(n *node) Load {
			l := Load{Service: testService, Slots: 6, BusySlots: 1}
			if n == owner {
				l.Keys = []sequoiaplacement.KeyLoad{{Key: key, BusySlots: 3}}
			}
			return l
		}
		reportLoads(f, 10, load)
		Expect(seen).To(HaveKeyWithValue("before", BeNumerically("<", 10*time.Second)))
		Expect(planner.core.loads).To(HaveKey(owner.core.Self()))

		relay.killed = true
		key = "after"
		reportLoads(f, 15, load)
		Expect(seen).To(HaveKeyWithValue("after", BeNumerically("<", 10*time.Second)))
		Expect(next.core.relay()).To(Equal(next.core.Self()))
		Expect(f.violations).To(BeEmpty())
	})
})

// singleMemberTable returns a table with one member.
func singleMemberTable(id sequoiatable.IncarnationID) *sequoiatable.Table {
	t, _, err := sequoiatable.New().Apply(sequoiatable.Entry{Index: 1, Writer: id, Changes: []sequoiatable.Change{{
		Join: &sequoiatable.Join{Member: sequoiatable.Member{Incarnation: id, FailureDomain: "a", Service: testService, Slots: 6}},
	}}})
	Expect(err).NotTo(HaveOccurred())
	return t
}

package sequoiacontrol

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// region returns a node's region.
func (f *fleet) region(n *node) string {
	return f.regions[n.domain]
}

// startRegionFleet returns a fleet of n processes in several regions. sizes gives the number of failure domains in
// each.
func startRegionFleet(seed uint64, n int, sizes ...int) *fleet {
	f := newFleet(seed)
	f.plannerRegion = "region-1"
	f.regions = map[string]string{}
	for region, size := range sizes {
		for range size {
			f.regions[fmt.Sprintf("domain-%d", len(f.regions))] = fmt.Sprintf("region-%d", region)
		}
	}
	f.shards = max(testShards, uint32(2*n))
	f.checkInterval = 10 * time.Millisecond
	f.populate(n, len(f.regions), 9*time.Second)
	return f
}

var _ = ginkgo.Describe("Regions", func() {
	ginkgo.It("with 3 failure domains contain all witnesses of their holders, so that a lost link between regions stops no owner", func() {
		f := startRegionFleet(41, 24, 3, 2, 3)
		t := f.nodes[0].snapshot.Table
		inRegion := 0
		for _, id := range t.Members() {
			m := t.Member(id)
			domains := map[string]bool{}
			for _, w := range m.Witnesses {
				domains[t.Member(w).FailureDomain] = true
				if m.Region != "region-1" {
					Expect(t.Member(w).Region).To(Equal(m.Region))
					inRegion++
				}
			}
			Expect(domains).To(HaveLen(witnessCount))
		}
		Expect(inRegion).To(Equal(18 * witnessCount))
	})

	ginkgo.It("that are partitioned from each other and the store keep their keys without double ownership, and catch up later", func() {
		for seed := range uint64(3) {
			f := startRegionFleet(50+seed, 12, 3, 3)
			before := f.servedShardsByNode()
			f.disconnected = func(a, b *node) bool { return f.region(a) != f.region(b) }
			for _, n := range f.nodes {
				n.cutStore = f.region(n) == "region-1"
			}
			f.nodes[0].step(f, Command{ID: 7, Configure: &sequoiatable.SetConfiguration{
				Base: f.nodes[0].revision(), Document: []byte("during the partition"),
			}})
			f.run(time.Minute)
			Expect(f.longestUnserved()).To(BeZero(), "seed %d", seed)
			Expect(f.servedShardsByNode()).To(Equal(before), "seed %d", seed)
			for _, n := range f.nodes {
				Expect(n.revision() == f.logRevision()).To(Equal(f.region(n) == "region-0"), "seed %d", seed)
			}
			f.disconnected = func(*node, *node) bool { return false }
			for _, n := range f.nodes {
				n.cutStore = false
			}
			Expect(f.awaitRevision(f.logRevision)).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
			f.run(5 * time.Second)
			Expect(f.servedShardsByNode()).To(Equal(before), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	ginkgo.It("replace a lost owner on the store's side of a partition although all planners are on the other side", func() {
		for seed := range uint64(3) {
			f := startRegionFleet(60+seed, 12, 3, 3)
			for _, id := range f.nodes[0].core.planners(0) {
				Expect(f.nodes[0].snapshot.Table.Member(id).Region).To(Equal("region-1"))
			}
			f.disconnected = func(a, b *node) bool { return f.region(a) != f.region(b) }
			for _, n := range f.nodes {
				n.cutStore = f.region(n) == "region-1"
			}
			lost := f.nodes[2]
			Expect(f.region(lost)).To(Equal("region-0"))
			id := lost.core.Self()
			lost.killed = true
			f.run(2 * time.Second)
			f.disconnected = func(*node, *node) bool { return false }
			t := sequoiatable.New()
			for _, e := range f.log {
				t, _, _ = t.Apply(e)
			}
			Expect(t.Member(id)).To(BeNil(), "seed %d", seed)
			for _, n := range f.nodes {
				n.cutStore = false
			}
			f.run(2 * time.Second)
			Expect(f.servedShards()).To(Equal(int(f.shards)), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

var _ = ginkgo.Describe("The loss of one of 11 failure domains in 5 regions", func() {
	ginkgo.It("is recovered within 2 s with few entries, and witness changes do not overload the store", func() {
		f := startRegionFleet(70, 220, 3, 2, 2, 2, 2)
		Expect(f.servedShards()).To(Equal(int(f.shards)))
		ginkgo.GinkgoWriter.Printf("start of 220 members: %d entries, %d store calls\n", len(f.log), f.storeCalls)
		entries, calls := len(f.log), f.storeCalls
		t := f.nodes[0].snapshot.Table
		affected := 0
		for _, id := range t.Members() {
			for _, w := range t.Member(id).Witnesses {
				if t.Member(w).FailureDomain == "domain-1" && t.Member(id).FailureDomain != "domain-1" {
					affected++
				}
			}
		}
		for _, n := range f.nodes {
			n.killed = n.domain == "domain-1"
		}
		f.run(2 * time.Second)
		used := f.storeCalls - calls
		f.run(2 * time.Second)
		takeover := 0
		for _, e := range f.log[entries:] {
			for _, c := range e.Changes {
				if c.Revoke != nil || c.Assign != nil {
					takeover++
					break
				}
			}
		}
		ginkgo.GinkgoWriter.Printf("20 lost, %d witnesses of others: %d entries, %d of them for the takeover, "+
			"%d store calls in 2 s, longest without an owner %s\n",
			affected, len(f.log)-entries, takeover, used, f.longestUnserved())
		Expect(f.servedShards()).To(Equal(int(f.shards)))
		Expect(f.longestUnserved()).To(BeNumerically("<", 2*time.Second))
		Expect(f.violations).To(BeEmpty())
		Expect(takeover).To(BeNumerically("<=", 20))
		Expect(len(f.log) - entries).To(BeNumerically("<=", takeover+2*affected))
		// The store handles several hundred writes and about 2,000 reads per second.
		Expect(used).To(BeNumerically("<", 2*1000))
	})
})

package sequoiacontrol

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("During a store outage", func() {
	ginkgo.It("a short failure of the upstream does not leave its keys without an owner until the store responds", func() {
		f := startFleet(51, 5, 3)
		n := f.nodes[2]
		f.storeDown = true
		f.run(time.Second)
		n.step(f, Upstream{Gone: true})
		n.upstreamFrozen = true
		f.run(2 * time.Second)
		n.upstreamFrozen = false
		n.step(f, Upstream{Service: testService, Slots: 6})
		f.run(2 * time.Second)
		Expect(f.servedShards()).To(Equal(testShards))
		f.storeDown = false
		f.run(3 * time.Second)
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("a requested move does not close the keys", func() {
		for seed := range uint64(5) {
			f := startFleet(seed, 5, 3)
			f.storeDown = true
			for _, n := range f.nodes {
				to := f.nodes[(n.number+1)%len(f.nodes)].core.Self()
				set := ownedKeys(n.snapshot.Table.Service(testService), n.core.Self())
				n.step(f, Command{ID: 9, Move: &Release{Keys: set, To: to}})
			}
			f.run(3 * time.Second)
			Expect(f.servedShards()).To(Equal(testShards), "seed %d", seed)
			f.storeDown = false
			f.run(3 * time.Second)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	ginkgo.It("an owner serves again once two unreachable witnesses return, although it has proposed others", func() {
		for seed := range uint64(10) {
			f := startFleet(seed, 7, 3)
			n := f.nodes[2]
			f.storeDown = true
			witnesses := f.nodes[0].snapshot.Table.Member(n.core.Self()).Witnesses
			var cut []*node
			for _, other := range f.nodes {
				if other.core.Self() == witnesses[0] || other.core.Self() == witnesses[1] {
					cut = append(cut, other)
					other.cutPeers = true
				}
			}
			Expect(cut).To(HaveLen(2))
			f.run(3 * time.Second)
			for _, other := range cut {
				other.cutPeers = false
			}
			f.run(3 * time.Second)
			Expect(f.servedShards()).To(Equal(testShards), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

package sequoiacontrol

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// restart starts a new process at the address of a killed one.
func (f *fleet) restart(n *node, boot uint64) *node {
	next := f.add(n.domain, WithMember(sequoiatable.Member{
		FailureDomain: n.domain, Region: "region", Control: n.addr, Boot: boot,
	}))
	next.addr = n.addr
	return next
}

// startFleetWithBoot returns a fleet whose members carry a boot identifier of their instance.
func startFleetWithBoot(seed uint64) *fleet {
	f := newFleet(seed)
	for i := range 5 {
		domain := []string{"domain-0", "domain-1", "domain-2"}[i%3]
		n := f.add(domain)
		n.core.opt.member.Boot = 7
	}
	f.run(time.Second)
	f.nodes[0].step(f, Command{ID: 1, Configure: &sequoiatable.SetConfiguration{
		Document: []byte("{}"),
		Services: []sequoiatable.ServiceConfig{{Name: testService, Shards: testShards, Divided: true}},
	}})
	f.run(6 * time.Second)
	f.resetUnserved()
	return f
}

// restartAll kills all processes at the same time and starts new ones at their addresses.
func (f *fleet) restartAll(boot uint64) {
	old := f.nodes
	for _, n := range old {
		n.killed = true
	}
	f.run(50 * time.Millisecond)
	for _, n := range old {
		f.restart(n, boot)
	}
}

var _ = ginkgo.Describe("A restarted process", func() {
	ginkgo.It("ends its predecessor's ownership, so that a restart of the whole fleet needs no operator", func() {
		for seed := range uint64(10) {
			f := startFleetWithBoot(seed)
			f.restartAll(7)
			f.run(15 * time.Second)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	ginkgo.It("does not act for a process of another boot, which may still run on an isolated machine", func() {
		f := startFleetWithBoot(1)
		f.restartAll(8)
		f.run(15 * time.Second)
		Expect(f.settledShards()).To(BeZero())
	})

	ginkgo.It("waits one lease from its start, since its predecessor's grants may still be in use", func() {
		for seed := range uint64(10) {
			f := startFleetWithBoot(seed)
			n := f.nodes[1]
			n.killed = true
			f.run(20 * time.Millisecond)
			f.restart(n, 7)
			f.run(5 * time.Second)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
			Expect(f.longestUnserved()).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

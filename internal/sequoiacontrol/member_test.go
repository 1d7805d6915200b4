package sequoiacontrol

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

var _ = ginkgo.Describe("A member that was lost before it had witnesses", func() {
	ginkgo.It("is removed after 30 s, since no witness would report its loss and it would keep its rank forever", func() {
		f := startFleet(40, 5, 3)
		n := f.add("domain-1")
		id := n.core.Self()
		before := len(f.log)
		for len(f.log) == before {
			f.run(100 * time.Microsecond)
		}
		n.killed = true
		f.run(29 * time.Second)
		Expect(f.nodes[0].snapshot.Table.Member(id)).NotTo(BeNil())
		Expect(f.nodes[0].snapshot.Table.Member(id).Witnesses).To(BeEmpty())
		f.run(2 * time.Second)
		Expect(f.nodes[0].snapshot.Table.Member(id)).To(BeNil())
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("Load reports", func() {
	// reports counts the load reports that a process sends when it measures its load every 100 ms, and checks that all go
	// to the given receiver.
	reports := func(f *fleet, n *node, to sequoiatable.IncarnationID, d time.Duration) int {
		count := 0
		for range d / (100 * time.Millisecond) {
			for _, a := range n.core.Step(f.now, LoadMeasured{Load: Load{Service: testService}}) {
				if s, ok := a.(Send); ok && s.Message.LoadReport != nil {
					Expect(s.To).To(Equal(to))
					count++
				}
				f.perform(n, a)
			}
			f.run(100 * time.Millisecond)
		}
		return count
	}
	other := func(f *fleet) *node {
		for _, n := range f.nodes {
			if n != f.planner() {
				return n
			}
		}
		return nil
	}

	ginkgo.It("go to the planner once a second in a small fleet, and never from the planner", func() {
		f := startFleet(41, 5, 3)
		planner := f.planner().core.Self()
		Expect(reports(f, other(f), planner, 20*time.Second)).To(BeNumerically("~", 20, 1))
		Expect(reports(f, f.planner(), planner, 5*time.Second)).To(BeZero())
	})

	ginkgo.It("are sent every 22 s at 3,800 members to the relay of the failure domain, which receives at most 8 KB/s", func() {
		f := startFleet(42, 5, 3)
		n := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool {
			return n != f.planner() && n.core.view.storeReader[n.domain] != n.core.Self()
		})]
		n.core.view.members = 3800
		n.core.view.eligibleInDomain[n.domain] = 346
		Expect(n.core.relayedReportInterval()).To(BeNumerically("~", 21600*time.Millisecond, time.Second))
		Expect(reports(f, n, n.core.view.storeReader[n.domain], 3*time.Minute)).To(BeNumerically("~", 8, 1))
	})

	ginkgo.It("sent directly at 3,800 members are infrequent enough that the planner receives at most 8 KB/s", func() {
		f := startFleet(42, 5, 3)
		c := other(f).core
		c.view.members = 3800
		Expect(3800 * reportBytes / c.directReportInterval().Seconds()).To(BeNumerically("<=", 8*1024))
	})
})

package sequoiabalance

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("moveShare", func() {
	// Guards against an upstream with a limit that keeps keys which one with more capacity could take.
	ginkgo.DescribeTable("makes both upstreams equally utilized",
		func(own, other Report, want float64) {
			own.Slots, other.Slots = 6, 6
			Expect(moveShare(own, other)).To(BeNumerically("~", want, 1e-9))
		},
		ginkgo.Entry("with the same capacity", Report{Utilization: 0.7, Capacity: 60}, Report{Utilization: 0.3, Capacity: 60}, 0.2),
		ginkgo.Entry("with an unknown capacity", Report{Utilization: 0.7, Capacity: 60}, Report{Utilization: 0.3}, 0.2),
		ginkgo.Entry("with a third of the capacity", Report{Utilization: 0.8, Capacity: 20}, Report{Utilization: 0.4, Capacity: 60}, 0.3),
		ginkgo.Entry("up to the target of the other one", Report{Utilization: 2, Capacity: 60}, Report{Utilization: 0.5, Capacity: 60}, 0.2),
	)
})

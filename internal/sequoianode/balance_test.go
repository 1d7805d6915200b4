package sequoianode

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("moveShare", func() {
	// Guards against an upstream with a limit that keeps keys which one with more capacity could take.
	ginkgo.DescribeTable("makes both upstreams equally utilized",
		func(own, other loadReport, want float64) {
			Expect(moveShare(own, other)).To(BeNumerically("~", want, 1e-9))
		},
		ginkgo.Entry("with the same capacity", loadReport{Utilization: 0.7, Capacity: 60}, loadReport{Utilization: 0.3, Capacity: 60}, 0.2),
		ginkgo.Entry("with an unknown capacity", loadReport{Utilization: 0.7, Capacity: 60}, loadReport{Utilization: 0.3}, 0.2),
		ginkgo.Entry("with a third of the capacity", loadReport{Utilization: 0.8, Capacity: 20}, loadReport{Utilization: 0.4, Capacity: 60}, 0.3),
		ginkgo.Entry("up to the target of the other one", loadReport{Utilization: 2, Capacity: 60}, loadReport{Utilization: 0.5, Capacity: 60}, 0.2),
	)
})

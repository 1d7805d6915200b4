package sequoianode

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("planStop", func() {
	// Guards against requests in progress that are broken off before the last sixth of the grace period: with a grace of
	// 6 s they were after 4.8 s, with one of 1 s at once.
	ginkgo.DescribeTable("waits for requests in progress until the last sixth of the grace period",
		func(grace time.Duration) {
			start := time.Unix(1000, 0)
			plan := planStop(start, grace)
			Expect(plan.end.Sub(start)).To(BeNumerically(">=", grace-grace/6))
			Expect(plan.end.Sub(start)).To(BeNumerically("<", grace))
			Expect(plan.latestDeadline).To(BeTemporally("<", plan.end))
			Expect(plan.latestDeadline).To(BeTemporally(">", start))
		},
		ginkgo.Entry("200 ms", 200*time.Millisecond), ginkgo.Entry("1 s", time.Second), ginkgo.Entry("2.5 s", 2500*time.Millisecond),
		ginkgo.Entry("6 s", 6*time.Second), ginkgo.Entry("7.2 s", 7200*time.Millisecond), ginkgo.Entry("1 min", time.Minute),
	)

	ginkgo.It("keeps a fixed time for the end of the process if the grace period is long", func() {
		start := time.Unix(1000, 0)
		Expect(planStop(start, time.Minute).end).To(Equal(start.Add(time.Minute - maxClosingTime)))
	})
})

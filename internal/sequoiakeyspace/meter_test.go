package sequoiakeyspace_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

var _ = ginkgo.Describe("the averages of a Meter", func() {
	const last = sequoiakeyspace.MaxKey
	// add runs an interval with requests of 100 ms each.
	add := func(m *sequoiakeyspace.Meter, requests int) {
		for i := range requests {
			m.Add(sequoiakeyspace.Key(i%10), 100*time.Millisecond)
		}
	}

	// Guards against an overload that is noticed seconds after its onset.
	ginkgo.It("follow a sudden change within two intervals, or in about 2 s", func() {
		m := sequoiakeyspace.NewMeter()
		add(m, 30)
		m.Advance()
		add(m, 30)
		Expect(m.RecentRate(0, last)).To(BeNumerically("~", 10, 1))
		Expect(m.Rate(0, last)).To(BeNumerically("<", 3))
		Expect(m.RecentDeviation()).To(BeNumerically("<", 2))
		for range 20 {
			m.Advance()
			add(m, 30)
		}
		Expect(m.Rate(0, last)).To(BeNumerically("~", 10, 0.6))
		Expect(m.Profile(sequoiakeyspace.Range{From: 5, To: 12}, false).Sum()).To(BeNumerically("~", 5, 0.3))
	})

	// Guards against a few requests that look like an overload.
	ginkgo.It("have a deviation that covers a few requests", func() {
		m := sequoiakeyspace.NewMeter()
		add(m, 4)
		Expect(m.RecentRate(0, last)).To(BeNumerically("<", 2.5*m.RecentDeviation()))
	})

	// Guards against a new owner that must measure the load of its keys for seconds before it can divide them.
	ginkgo.It("show a seeded load at once, and a steady load afterwards", func() {
		m := sequoiakeyspace.NewMeter()
		m.Seed(0, 9, []float64{5, 5})
		Expect(m.Rate(0, 9)).To(BeNumerically("~", 10, 0.01))
		Expect(m.Rate(0, 4)).To(BeNumerically("~", 5, 0.01))
		Expect(m.RecentRate(0, 9)).To(BeNumerically("~", 10, 0.01))
		for range 5 {
			m.Advance()
			add(m, 30)
		}
		Expect(m.Rate(0, 9)).To(BeNumerically("~", 10, 0.01))
		Expect(m.RecentRate(0, 9)).To(BeNumerically("~", 10, 0.01))
	})

	// Guards against requests that do not run and count as load for ever, or below zero.
	ginkgo.It("are corrected when a request ends", func() {
		m := sequoiakeyspace.NewMeter()
		m.Add(7, 100*time.Millisecond)
		m.Correct(7, 200*time.Millisecond)
		Expect(m.Sum(0, last)).To(BeNumerically("~", 0.3, 1e-6))
		m.Advance()
		m.Correct(7, -300*time.Millisecond)
		Expect(m.Sum(0, last)).To(BeZero())
	})
})

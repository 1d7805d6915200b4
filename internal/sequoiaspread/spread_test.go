package sequoiaspread

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Spread")
}

func ExampleChooser_Choose() {
	c := New("east", func(int) int { return 0 })
	full := Candidate{Domain: "east", Running: 4, Waiting: 8, Slots: 4, Work: 100 * time.Millisecond}
	idle := Candidate{Domain: "west", Slots: 4, Work: 100 * time.Millisecond}
	lookup := Request{Left: 250 * time.Millisecond, ResponseBytes: 1536}
	upload := Request{Left: 1200 * time.Millisecond, BodyBytes: 300 << 10}
	fmt.Println(c.Choose([]Candidate{full, idle}, lookup), c.Choose([]Candidate{full, idle}, upload))
	// Output: 1 0
}

// swingOf returns how far the counts of the last two periods lie apart from their mean, relative to the mean of total.
func swingOf(counts, total []int) float64 {
	sum, all := 0.0, 0.0
	from := len(counts) - int(2*testPeriod/(500*time.Millisecond))
	for i := from; i < len(counts); i++ {
		sum += float64(counts[i])
		all += float64(total[i])
	}
	n := float64(len(counts) - from)
	variance := 0.0
	for _, c := range counts[from:] {
		variance += (float64(c) - sum/n) * (float64(c) - sum/n) / n
	}
	return math.Sqrt(variance) / (all / n)
}

var _ = Describe("placing under waves of load", func() {
	shifted, opposite := []float64{0.1, 0.18, 0.26, 0.34}, []float64{0, 0.5, 0, 0.5}
	play := func(rule func(*simulation, int, []Candidate, Request) int, phases []float64, utilization float64) testResult {
		s := newSimulation(testDomains(phases...), utilization, 0.55)
		s.choose = rule
		return s.run(3 * testPeriod)
	}

	// Guards against a rule that serves no better than the earlier one, or sends away more than the excess of the demand.
	DescribeTable("serves more in time than the earlier rule and sends less than a quarter of the bytes away",
		func(phases []float64, utilization, served, left float64) {
			before, now := play(chooseByDelay, phases, utilization), play(chooseByCost, phases, utilization)
			AddReportEntry("figures", fmt.Sprintf("served in time %.4f, before %.4f; left %.3f, before %.3f; MB left %.1f, before %.1f; late at home %d, before %d",
				now.served(), before.served(), now.leftShare(), before.leftShare(), float64(now.bytesLeft)/1e6, float64(before.bytesLeft)/1e6,
				now.lateAtHome, before.lateAtHome))
			Expect(now.served()).To(And(BeNumerically(">=", served), BeNumerically(">", before.served())))
			Expect(now.leftShare()).To(BeNumerically("<", left))
			Expect(now.bytesLeft * 4).To(BeNumerically("<", before.bytesLeft))
		},
		Entry("quiet", shifted, 0.45, 0.99, 0.02),
		Entry("one after another", shifted, 0.6, 0.98, 0.1),
		Entry("one after another, with full peaks", shifted, 0.7, 0.92, 0.25),
		Entry("in opposite phases", opposite, 0.6, 0.98, 0.1),
		Entry("in opposite phases, with overflow", opposite, 0.7, 0.97, 0.2),
	)

	// Guards against a domain that overflows while another one has room.
	It("lets hardly a request be late in its own domain while another one has room", func() {
		for _, phases := range [][]float64{shifted, opposite} {
			r := play(chooseByCost, phases, 0.7)
			Expect(float64(r.lateAtHome) / float64(r.requests)).To(BeNumerically("<", 0.01))
		}
	})

	// Guards against bodies on links between failure domains as soon as lookups leave.
	It("keeps large bodies at home longer than lookups", func() {
		r := play(chooseByCost, opposite, 0.7)
		share := func(i int) float64 { return float64(r.classLeft[i]) / float64(r.classRequests[i]) }
		Expect(share(0)).To(BeNumerically(">", 0.05))
		Expect(share(2)).To(BeNumerically("<", share(0)/10))
	})

	// Guards against processes that all leave at the same reports and all come back at the next.
	It("does not swing more than the demand does", func() {
		for _, phases := range [][]float64{shifted, opposite} {
			r := play(chooseByCost, phases, 0.65)
			for domain, demand := range r.demand {
				Expect(swingOf(r.leaving[domain], demand)).To(BeNumerically("<", swingOf(demand, demand)), domain)
			}
		}
	})

	It("takes over the demand of a lost domain", func() {
		s := newSimulation(testDomains(shifted...), 0.45, 0.3)
		s.after(testPeriod, func() {
			for _, u := range s.upstreams {
				u.lost = u.domain == "north"
			}
			s.result = testResult{classRequests: s.result.classRequests, classLeft: s.result.classLeft, demand: s.result.demand, leaving: s.result.leaving, sentTo: make([]int, len(s.upstreams))}
		})
		r := s.run(3 * testPeriod)
		Expect(r.served()).To(BeNumerically(">", 0.95))
	})

	DescribeTable("avoids an upstream that does worse than its neighbours",
		func(change func(u *testUpstream), most float64) {
			s := newSimulation(testDomains(shifted...), 0.4, 0.2)
			change(s.upstreams[0])
			r := s.run(testPeriod)
			// Upstream 3 is of the same domain and speed.
			Expect(float64(r.sentTo[0])).To(BeNumerically("<", most*float64(r.sentTo[3])))
		},
		Entry("its requests fail", func(u *testUpstream) { u.failing = true }, 0.4),
		Entry("its limit makes requests wait", func(u *testUpstream) { u.limit = 5 }, 0.4),
		Entry("it is slow", func(u *testUpstream) { u.speed = 3 }, 0.6),
	)
})

var _ = Describe("an upstream that has recovered", func() {
	// Guards against an upstream that is avoided for good, because nothing shows that it has recovered.
	It("gets requests again, and few of them while it fails", func() {
		c := New("east", func(int) int { return 0 })
		const interval, recovery, end = 100 * time.Millisecond, time.Minute, 2 * time.Minute
		var rates [2]float64
		var resultAt [2]time.Duration
		failed, served := 0, 0
		for now := time.Duration(0); now < end; now += interval {
			candidates := make([]Candidate, 2)
			for i := range candidates {
				candidates[i] = Candidate{
					Domain: "east", Slots: 4, Work: 100 * time.Millisecond, Age: now - resultAt[i],
					FailureRate: FadedFailureRate(rates[i], now-resultAt[i]),
				}
			}
			chosen := c.Choose(candidates, Request{Left: 600 * time.Millisecond})
			result := 0.0
			switch {
			case chosen == 0 && now < recovery:
				failed++
				result = 1
			case chosen == 0:
				served++
			}
			rates[chosen] = candidates[chosen].FailureRate + 0.15*(result-candidates[chosen].FailureRate)
			resultAt[chosen] = now
		}
		Expect(failed).To(And(BeNumerically(">", 0), BeNumerically("<", 30)))
		Expect(served).To(BeNumerically(">", 100))
	})
})

var _ = Describe("a single choice", func() {
	const work = 100 * time.Millisecond
	request := Request{Left: 600 * time.Millisecond}
	c := New("east", func(int) int { return 0 })

	It("has no result without candidates", func() {
		Expect(c.Choose(nil, request)).To(Equal(-1))
		Expect(c.Compare(nil, request).Chosen).To(Equal(-1))
	})

	It("leaves if its own failure domain has no candidate", func() {
		Expect(c.Choose([]Candidate{{Domain: "west", Slots: 4}}, request)).To(Equal(0))
	})

	// Guards against a zero time of the last report, which gives the longest duration as age.
	It("handles an upstream that has never reported, and a clock that went back", func() {
		for _, age := range []time.Duration{math.MaxInt64, -time.Hour} {
			d := ExpectedFinish(&Candidate{Age: age, Slots: 4, StartDelay: 0}, request)
			Expect(d).To(And(BeNumerically(">", DefaultWork/2), BeNumerically("<", 2*DefaultWork)))
		}
	})

	// Guards against an upstream that appears idle because it is silent.
	It("takes a silent upstream to be as busy as its neighbours in part", func() {
		busy := Candidate{Domain: "east", Running: 4, Waiting: 4, Slots: 4, Work: work}
		silent := Candidate{Domain: "east", Age: MaxReportAge, Slots: 4, Work: work}
		idle := Candidate{Domain: "east", Running: 1, Slots: 4, Work: work}
		Expect(c.Compare([]Candidate{busy, silent}, request).Chosen).To(Equal(1))
		Expect(c.Compare([]Candidate{busy, busy, silent, idle}, request).Chosen).To(Equal(3))
	})

	// Guards against many requests to one upstream between two of its reports.
	It("counts the requests that were sent since the report", func() {
		a := Candidate{Domain: "east", Running: 2, Slots: 4, Work: work, Outstanding: 3, Sent: 3}
		b := Candidate{Domain: "east", Running: 3, Slots: 4, Work: work}
		Expect(c.Choose([]Candidate{a, b}, request)).To(Equal(1))
	})

	It("counts the delay of the link for bodies only, less the age of the report", func() {
		a := Candidate{Domain: "east", Slots: 4, Work: work, LinkDelay: 200 * time.Millisecond, Age: 50 * time.Millisecond}
		without := ExpectedFinish(&a, request)
		body := Request{Left: request.Left, BodyBytes: 1 << 16}
		Expect(ExpectedFinish(&a, body) - without).To(Equal(150 * time.Millisecond))
		busier := Candidate{Domain: "east", Running: 3, Slots: 4, Work: work}
		Expect(c.Choose([]Candidate{a, busier}, body)).To(Equal(1))
		Expect(c.Choose([]Candidate{a, busier}, request)).To(Equal(0))
	})

	It("compares all candidates without a random number", func() {
		all := make([]Candidate, 40)
		for i := range all {
			all[i] = Candidate{Domain: "east", Running: 4, Slots: 4, Work: work}
		}
		all[37].Running = 0
		strict := New("east", func(int) int { panic("a random number was drawn") })
		Expect(strict.Compare(all, request).Chosen).To(Equal(37))
	})
})

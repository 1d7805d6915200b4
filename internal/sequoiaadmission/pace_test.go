package sequoiaadmission_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
)

// mostWithin returns the highest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var _ = ginkgo.Describe("Queue of an upstream with a limit", func() {
	const window, factor, slack = 4 * time.Second, 1.5, 5.0
	for _, perSecond := range []float64{0.7, 5, 13.7, 33.2} {
		for _, demand := range []float64{0.8, 1.3, 3} {
			ginkgo.It(fmt.Sprintf("starts no more requests than %v per second at %v of that demand, and rejects the rest at once", perSecond, demand), func() {
				q := sequoiaadmission.New(6)
				q.SetLimit(time.Unix(0, 0), perSecond)
				load := []class{
					{name: "read", priority: 2, perSecond: 0.74 * demand * perSecond, duration: 90 * ms, objective: 300 * ms, deadline: 800 * ms, value: 1, lateValue: 0.3},
					{name: "book", priority: 1, perSecond: 0.26 * demand * perSecond, duration: 120 * ms, objective: 400 * ms, deadline: time.Second, value: 2, lateValue: 0.6},
				}
				const d = 120 * time.Second
				got := simulate(q, load, d, 1)
				starts := append(got["read"].starts, got["book"].starts...)
				Expect(mostWithin(starts, window)).To(BeNumerically("<=", factor*perSecond*window.Seconds()+slack))
				// A caller with 300 ms cannot wait for an upstream that takes a request every 1.4 s.
				if perSecond >= 5 {
					Expect(float64(len(starts))).To(BeNumerically(">", 0.85*min(1, demand)*perSecond*d.Seconds()))
				}
				for _, o := range got {
					for _, after := range o.rejectedAfter {
						Expect(after).To(BeNumerically("<=", 400*ms))
					}
					slices.Sort(o.rejectedAfter)
					if n := len(o.rejectedAfter); n > 0 {
						Expect(o.rejectedAfter[n/2]).To(BeZero())
					}
				}
			})
		}
	}

	// Guards against callers that come back as told and are rejected again although nobody else came.
	ginkgo.It("tells a rejected caller when it would be served", func() {
		now := time.Unix(1000, 0)
		q := sequoiaadmission.New(6)
		q.SetLimit(now, 10)
		var told time.Duration
		for range 20 {
			q.Submit(now, &sequoiaadmission.Ticket{
				Class: "c", Arrived: now, Objective: now.Add(300 * ms), Deadline: now.Add(800 * ms),
				OnDecision: func(_ string, retryAfter time.Duration) { told = retryAfter },
			})
		}
		Expect(told).To(BeNumerically(">", 0))
		for end := now.Add(told); ; {
			wait, waiting := q.NextStart(now)
			if !waiting || now.Add(wait).After(end) {
				now = end
				break
			}
			now = now.Add(wait)
			q.Advance(now)
		}
		reason := "waits"
		q.Submit(now, &sequoiaadmission.Ticket{
			Class: "c", Arrived: now, Objective: now.Add(300 * ms), Deadline: now.Add(800 * ms),
			OnDecision: func(r string, _ time.Duration) { reason = r },
		})
		Expect(reason).To(Or(BeEmpty(), Equal("waits")))
	})

	// Guards against late requests that are refused although slots become free, because of a limit far above the load.
	ginkgo.It("serves as much under a limit above what its slots can process as without one", func() {
		const d = 60 * time.Second
		for _, load := range [][]class{unkeyedLoad(9, 1.4), keyedLoad(9, 1.4)} {
			limited := sequoiaadmission.New(9)
			limited.SetLimit(time.Unix(0, 0), 5000)
			want := simulate(sequoiaadmission.New(9), load, d, 1)
			Expect(totalValueShare(simulate(limited, load, d, 1))).To(BeNumerically("~", totalValueShare(want), 0.02))
		}
	})

	// Guards against a burst at an upstream that becomes cold in a second in which it has got many requests.
	ginkgo.It("begins a limit without a burst at a given time, and not again when it is changed", func() {
		now := time.Unix(1000, 0)
		from := now.Add(700 * ms)
		q := sequoiaadmission.New(6)
		q.SetLimit(now.Add(-time.Minute), 100)
		started := 0
		submit := func(at time.Time) {
			q.Submit(at, &sequoiaadmission.Ticket{
				Class: "c", Arrived: at, Objective: at.Add(10 * time.Second), Deadline: at.Add(20 * time.Second),
				OnDecision: func(reason string, _ time.Duration) {
					if reason == "" {
						started++
					}
				},
			})
		}
		q.SetLimitFrom(now, 5, from)
		Expect(q.StartDelay(now)).To(Equal(900 * ms))
		for range 4 {
			submit(now)
		}
		q.Advance(from.Add(100 * ms))
		Expect(started).To(BeZero())
		q.Advance(from.Add(210 * ms))
		Expect(started).To(Equal(1))
		q.SetLimitFrom(from.Add(390*ms), 5, from)
		q.Advance(from.Add(410 * ms))
		Expect(started).To(Equal(2))
	})

	ginkgo.It("has no limit any more once the upstream names none", func() {
		now := time.Unix(1000, 0)
		q := sequoiaadmission.New(6)
		q.SetLimit(now, 1)
		started := 0
		for range 6 {
			q.Submit(now, &sequoiaadmission.Ticket{
				Class: "c", Arrived: now, Objective: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second),
				OnDecision: func(reason string, _ time.Duration) {
					if reason == "" {
						started++
					}
				},
			})
		}
		Expect(started).To(BeZero())
		q.RemoveLimit(now)
		Expect(started).To(Equal(6))
	})
})

package sequoiawarmup_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiawarmup"
)

func TestWarmup(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Warmup Suite")
}

const ms = time.Millisecond

// rule is the rule of a deployment: in each second, a cold upstream may get 15.05 requests.
var rule = sequoiawarmup.Rule{Period: 20 * time.Second, Rate: 4.7, Over: 1.5, Slack: 8}

// upstream is an upstream with its queue and gate, and a load of one request each 10 ms. It counts what it gets.
type upstream struct {
	now   time.Time
	rule  sequoiawarmup.Rule
	gate  *sequoiawarmup.Gate
	queue *sequoiaadmission.Queue
	limit sequoiawarmup.Limit
	// named is the limit that the upstream names, zero if it names none.
	named float64
	// cold is true while the upstream is in fact cold, and got holds the times of the requests that it got meanwhile.
	cold bool
	got  []time.Time
	all  int
	// ends holds the requests in progress.
	ends map[*sequoiaadmission.Ticket]time.Time
	// refusedLate counts the requests that were refused only after they had waited for 400 ms.
	refused, refusedLate int
	retryAfter           time.Duration
}

func newUpstream(r sequoiawarmup.Rule) *upstream {
	u := &upstream{now: time.Unix(1000, 0), rule: r, cold: true}
	u.restartGate()
	return u
}

// restartGate replaces gate and queue, as a process does that starts again beside a running upstream.
func (u *upstream) restartGate() {
	u.gate, u.queue = sequoiawarmup.New(u.now), sequoiaadmission.New(8)
	u.gate.SetRule(u.rule)
	u.limit, u.ends = sequoiawarmup.Limit{}, map[*sequoiaadmission.Ticket]time.Time{}
	u.step()
}

// step applies the limit in force, as sequoianode does.
func (u *upstream) step() {
	limit := u.gate.Limit(u.now)
	if limit == u.limit && u.named == 0 {
		return
	}
	u.limit = limit
	switch {
	case limit.PerSecond > 0 && u.named > 0:
		u.queue.SetLimitFrom(u.now, min(limit.PerSecond, u.named), limit.From)
	case limit.PerSecond > 0:
		u.queue.SetLimitFrom(u.now, limit.PerSecond, limit.From)
	case u.named > 0:
		u.queue.SetLimit(u.now, u.named)
	default:
		u.queue.RemoveLimit(u.now)
	}
}

// announce sends an announcement that says how much longer the upstream is cold.
func (u *upstream) announce(isNew bool, remaining time.Duration) {
	u.gate.Announced(u.now, sequoiawarmup.Announcement{New: isNew, Remaining: remaining, Stated: true})
	u.step()
}

// run plays the load for d. serving is false while the process sends nothing because it has heard no announcement.
func (u *upstream) run(d time.Duration, serving bool) {
	for end := u.now.Add(d); u.now.Before(end); u.now = u.now.Add(ms) {
		u.step()
		for t, at := range u.ends {
			if !u.now.Before(at) {
				delete(u.ends, t)
				u.queue.Done(u.now, t, true)
			}
		}
		u.queue.Advance(u.now)
		if serving && u.now.UnixMilli()%10 == 0 {
			u.submit()
		}
	}
}

func (u *upstream) submit() {
	t := &sequoiaadmission.Ticket{Class: "c", Arrived: u.now, Objective: u.now.Add(400 * ms), Deadline: u.now.Add(time.Second)}
	t.OnDecision = func(reason string, retryAfter time.Duration) {
		if reason != "" {
			u.refused++
			u.retryAfter = retryAfter
			if u.now.Sub(t.Arrived) > 400*ms {
				u.refusedLate++
			}
			return
		}
		u.gate.Sent(u.now)
		u.all++
		duration := 50 * ms
		if u.cold {
			u.got = append(u.got, u.now)
			duration = 250 * ms
		}
		u.ends[t] = u.now.Add(duration)
	}
	u.queue.Submit(u.now, t)
}

// mostPerSecond returns the highest number of times in a second, both ends included.
func mostPerSecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (u *upstream) expectBound() {
	ginkgo.GinkgoHelper()
	Expect(float64(mostPerSecond(u.got))).To(BeNumerically("<=", u.rule.Over*u.rule.Rate+u.rule.Slack))
}

var _ = ginkgo.Describe("Gate with a queue at 100 requests per second", func() {
	// Guards against upstreams that crash because they join under load ("cold server got 17 requests in one second;
	// allowed 15.1").
	for _, r := range []sequoiawarmup.Rule{rule, {Period: time.Second, Rate: 20, Over: 1.5, Slack: 8}, {Period: time.Second, Rate: 3, Over: 1.2, Slack: 3}} {
		ginkgo.It("keeps the bound of a new upstream, and uses its rate", func() {
			u := newUpstream(r)
			u.run(500*ms, false)
			for i := range 12 {
				u.announce(i == 0, time.Duration(12-i)*time.Second)
				u.run(time.Second, true)
			}
			u.expectBound()
			Expect(float64(len(u.got))).To(BeNumerically(">", 0.85*11*r.Rate))
			Expect(u.refusedLate).To(BeZero())
		})
	}

	// Guards against a limit that outlasts the warm-up.
	ginkgo.It("lets the whole load through once the upstream is warm", func() {
		u := newUpstream(rule)
		u.announce(true, 500*ms)
		u.run(500*ms, true)
		u.cold = false
		before := u.all
		u.run(time.Second, true)
		Expect(u.all - before).To(BeNumerically(">=", 95))
	})

	// Guards against a burst when a warm upstream is reset in the middle of a busy second.
	ginkgo.It("counts what was sent in the second before the upstream became cold again", func() {
		for _, after := range []time.Duration{0, 30 * ms, 70 * ms, 90 * ms} {
			u := newUpstream(rule)
			u.cold = false
			u.announce(true, 0)
			u.run(1500*ms, true)
			u.cold = true
			u.run(after, true) // The upstream is cold, and the process does not know it yet.
			u.announce(false, 20*time.Second)
			u.run(1900*ms, true)
			u.expectBound()
			u.announce(false, 18*time.Second)
			u.run(1900*ms, true)
			u.expectBound()
			Expect(len(u.got)).To(BeNumerically(">", 8))
		}
	})

	// Guards against a burst by each process that starts, beside what its predecessor sent just before.
	ginkgo.It("keeps the bound over restarts of the process", func() {
		u := newUpstream(rule)
		u.announce(true, 20*time.Second)
		for range 8 {
			u.run(1900*ms, true)
			u.restartGate()
			u.run(20*ms, false)
			u.announce(true, 10*time.Second)
		}
		u.run(1900*ms, true)
		u.expectBound()
		Expect(len(u.got)).To(BeNumerically(">", 20))
	})

	// Guards against a second limit that begins with a burst of its own, or hides the first.
	ginkgo.It("applies the lower limit while the upstream names one", func() {
		u := newUpstream(rule)
		u.announce(true, 20*time.Second)
		for i := range 40 {
			u.named = []float64{0, 2, 50, 0.5}[i%4]
			u.announce(false, 20*time.Second)
			u.run(330*ms, true)
		}
		u.expectBound()
		u.named = 2
		u.announce(false, 20*time.Second)
		u.got = nil
		u.run(1900*ms, true)
		Expect(len(u.got)).To(BeNumerically("<=", 5))
	})

	// Guards against a queue that holds requests back although they cannot be served in time.
	ginkgo.It("refuses at once what it cannot serve, and says when it can", func() {
		u := newUpstream(rule)
		u.run(1100*ms, false)
		u.announce(true, 20*time.Second)
		u.run(1900*ms, true)
		waiting := u.queue.Waiting()
		u.submit()
		Expect(u.queue.Waiting()).To(BeNumerically("<=", waiting))
		Expect(waiting).To(BeNumerically("<=", 2))
		Expect(u.retryAfter).To(BeNumerically(">=", 40*ms))
	})
})

var _ = ginkgo.Describe("Gate", func() {
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	var g *sequoiawarmup.Gate
	ginkgo.BeforeEach(func() {
		g = sequoiawarmup.New(now, sequoiawarmup.WithInterval(time.Second))
		g.SetRule(rule)
		g.Announced(now, sequoiawarmup.Announcement{New: true, Stated: true})
	})

	ginkgo.It("has no limit if the service has no warm-up rate", func() {
		g.SetRule(sequoiawarmup.Rule{Period: time.Minute})
		g.Announced(now, sequoiawarmup.Announcement{New: true, Remaining: time.Minute, Stated: true})
		g.Refused()
		Expect(g.Limit(at(time.Hour))).To(BeZero())
		Expect(g.ColdFor(now)).To(BeZero())
	})

	// Guards against an upstream that has started just now and does not say that it is cold.
	ginkgo.It("takes an upstream that does not say how long it is cold to be so for the period since its start", func() {
		g.Announced(at(time.Second), sequoiawarmup.Announcement{New: true})
		Expect(g.ColdFor(at(time.Second))).To(Equal(rule.Period))
		g.Announced(at(2*time.Second), sequoiawarmup.Announcement{New: true, Born: at(-15 * time.Second)})
		Expect(g.ColdFor(at(2 * time.Second))).To(Equal(3 * time.Second))
		g.Announced(at(3*time.Second), sequoiawarmup.Announcement{New: true, Born: at(-time.Hour)})
		Expect(g.State(at(3 * time.Second))).To(Equal(sequoiawarmup.Warm))
	})

	ginkgo.It("takes an upstream that refused a connection as cold until it announces itself", func() {
		g.Refused()
		Expect(g.State(at(100 * ms))).To(Equal(sequoiawarmup.Suspect))
		Expect(g.ColdFor(at(100 * ms))).To(Equal(time.Second))
		g.Announced(at(200*ms), sequoiawarmup.Announcement{})
		Expect(g.State(at(200 * ms))).To(Equal(sequoiawarmup.Warm))
	})

	// Guards against a cold upstream that counts as warm because it was suspect in between.
	ginkgo.It("remembers that a suspect is cold", func() {
		g.Announced(at(100*ms), sequoiawarmup.Announcement{Remaining: 5 * time.Second, Stated: true})
		g.Refused()
		Expect(g.State(at(200 * ms))).To(Equal(sequoiawarmup.Suspect))
		g.Announced(at(300*ms), sequoiawarmup.Announcement{})
		Expect(g.ColdFor(at(300 * ms))).To(Equal(4800 * ms))
	})

	// Guards against a warm upstream that gets few requests because one of its connections was closed.
	ginkgo.It("takes an upstream that lost a connection as cold unless it answers another request within a second", func() {
		g.ConnectionLost(at(100 * ms))
		Expect(g.State(at(150 * ms))).To(Equal(sequoiawarmup.Suspect))
		g.Answered(at(140*ms), at(50*ms)) // The response may have been sent before the upstream ended.
		Expect(g.State(at(150 * ms))).To(Equal(sequoiawarmup.Suspect))
		g.Answered(at(160*ms), at(50*ms))
		Expect(g.State(at(160 * ms))).To(Equal(sequoiawarmup.Warm))
		g.ConnectionLost(at(200 * ms))
		g.Answered(at(230*ms), at(210*ms))
		Expect(g.State(at(230 * ms))).To(Equal(sequoiawarmup.Warm))
		g.ConnectionLost(at(400 * ms))
		g.Answered(at(1500*ms), at(1300*ms))
		Expect(g.State(at(1500 * ms))).To(Equal(sequoiawarmup.Suspect))
	})

	ginkgo.It("takes an upstream that is silent for two intervals as cold", func() {
		Expect(g.State(at(2 * time.Second))).To(Equal(sequoiawarmup.Warm))
		Expect(g.State(at(2001 * ms))).To(Equal(sequoiawarmup.Suspect))
	})

	// Guards against the end of a warm-up because of a response that was sent before the upstream was reset.
	ginkgo.It("believes a response that the upstream is cold, and one that it is warm only if it is later", func() {
		g.Responded(at(200*ms), at(100*ms), 5*time.Second)
		Expect(g.ColdFor(at(200 * ms))).To(Equal(5 * time.Second))
		g.Responded(at(300*ms), at(150*ms), 0)
		Expect(g.State(at(300 * ms))).To(Equal(sequoiawarmup.Cold))
		g.Responded(at(400*ms), at(350*ms), 0)
		Expect(g.State(at(400 * ms))).To(Equal(sequoiawarmup.Warm))
	})
})

var _ = ginkgo.Describe("Considered", func() {
	warm, cold := sequoiawarmup.Upstream{Slots: 6, Work: 100 * ms}, sequoiawarmup.Upstream{Cold: true, Slots: 6, Work: 600 * ms}

	// Guards against cold upstreams that attract requests because they are idle.
	ginkgo.It("leaves a cold upstream out for all but its share", func() {
		share := sequoiawarmup.Share(4.7, []sequoiawarmup.Upstream{warm, cold}, 150*ms)
		Expect(share).To(BeNumerically("~", 4.7/60, 1e-9))
		roll := share
		considered := func() []int {
			return sequoiawarmup.Considered([]sequoiawarmup.Upstream{warm, cold}, share, func() float64 { return roll })
		}
		Expect(considered()).To(Equal([]int{0}))
		roll = share / 2
		Expect(considered()).To(Equal([]int{0, 1}))
	})

	ginkgo.It("considers all upstreams if all are cold", func() {
		all := []sequoiawarmup.Upstream{cold, cold}
		Expect(sequoiawarmup.Considered(all, 0.1, func() float64 { return 0.9 })).To(Equal([]int{0, 1}))
	})
})

package sequoialink

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoialink")
}

// slowLink is a link of 10 Mbit/s in bytes per second.
const slowLink = 1.25e6

var start = time.Unix(1000, 0)

func body(size int, deadline time.Duration) *Transfer {
	return &Transfer{Size: size, Deadline: start.Add(deadline), Objective: start.Add(deadline)}
}

// simulation is a link, the senders behind it and the Scheduler at its end, in virtual time.
type simulation struct {
	scheduler *Scheduler
	rate      float64
	now       time.Time
	events    events
	sequence  int
	// free is when the link has carried everything that was sent.
	free time.Time
	// sent is the number of bytes of each body that its sender has sent.
	sent map[*Transfer]int
	// next is the time of the event that advances the scheduler.
	next time.Time

	complete, refused map[*Transfer]time.Time
	longestWait       time.Duration
	largest           int
}

// oneWay is the time that a message takes without a queue.
const oneWay = 1500 * time.Microsecond

func newSimulation(rate float64) *simulation {
	return &simulation{
		scheduler: New(rate), rate: rate, now: start, free: start, sent: map[*Transfer]int{},
		complete: map[*Transfer]time.Time{}, refused: map[*Transfer]time.Time{},
	}
}

type event struct {
	at       time.Time
	sequence int
	f        func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *simulation) at(t time.Time, f func()) {
	s.sequence++
	heap.Push(&s.events, event{t, s.sequence, f})
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
	}
}

// transmit sends n bytes over the link and returns when they have arrived and how long they waited for the link.
func (s *simulation) transmit(n int) (arrival time.Time, wait time.Duration) {
	begin := s.now
	if s.free.After(begin) {
		begin = s.free
	}
	s.free = begin.Add(time.Duration(float64(n) / s.rate * float64(time.Second)))
	return s.free.Add(oneWay), begin.Sub(s.now)
}

// call sends a small message.
func (s *simulation) call() {
	_, wait := s.transmit(400)
	s.longestWait = max(s.longestWait, wait)
}

// offer offers a body; its sender sends what is granted at once.
func (s *simulation) offer(t *Transfer) {
	arrival, _ := s.transmit(300)
	s.at(arrival, func() {
		if s.scheduler.Offer(s.now, t) != nil {
			s.refused[t] = s.now
		}
		s.advance()
	})
}

func (s *simulation) advance() {
	for _, d := range s.scheduler.Advance(s.now) {
		if d.Refused != nil {
			s.refused[d.Transfer] = s.now
			continue
		}
		s.at(s.now.Add(oneWay), func() { s.send(d.Transfer, d.Granted) })
	}
	s.largest = max(s.largest, s.scheduler.Stats().Outstanding)
	wait, ok := s.scheduler.Next(s.now)
	if next := s.now.Add(wait); ok && (!s.next.After(s.now) || next.Before(s.next)) {
		s.next = next
		s.at(next, s.advance)
	}
}

func (s *simulation) send(t *Transfer, granted int) {
	for s.sent[t] < granted {
		n := min(Piece, granted-s.sent[t])
		s.sent[t] += n
		arrival, _ := s.transmit(n)
		s.at(arrival, func() { s.arrive(t, n) })
	}
}

func (s *simulation) arrive(t *Transfer, n int) {
	if _, ended := s.refused[t]; ended {
		return
	}
	complete, err := s.scheduler.Arrived(s.now, t, n)
	Expect(err).NotTo(HaveOccurred())
	if complete {
		s.complete[t] = s.now
	}
	s.advance()
}

// checkWindow expects that the scheduler granted no more than its window and that no call waited longer than that.
func (s *simulation) checkWindow() {
	ginkgo.GinkgoHelper()
	Expect(s.largest).To(BeNumerically("<=", int(s.rate*window.Seconds())))
	// The messages with the offers of bodies share the link with the calls.
	Expect(s.longestWait).To(BeNumerically("<=", window+5*time.Millisecond))
}

// bodySize returns a random size with a mean of 60 KB and a maximum of 360 KB.
func bodySize(r *rand.Rand) int {
	return min(9<<10+int(r.ExpFloat64()*52e3), 360e3)
}

var _ = ginkgo.Describe("Scheduler", func() {
	// Guards against bodies that fill the links of a few instances, so that calls miss their deadlines behind them: 159
	// uploads a second of 60 KB on average are nearly all that 8 links of 10 Mbit/s carry.
	ginkgo.It("keeps calls short while 159 uploads a second go to 8 links, and uses the links", func() {
		const links, perSecond, seconds = 8, 159, 20
		r := rand.New(rand.NewPCG(1, 2))
		bytes, uploads, complete := 0, 0, 0
		for range links {
			s := newSimulation(slowLink)
			for at := start; at.Before(start.Add(seconds * time.Second)); {
				at = at.Add(time.Duration(r.ExpFloat64() / (perSecond / float64(links)) * float64(time.Second)))
				t := &Transfer{Size: bodySize(r), Objective: at.Add(time.Second), Deadline: at.Add(2 * time.Second), After: 200 * time.Millisecond}
				s.at(at, func() { s.offer(t) })
				uploads++
			}
			for at := start; at.Before(start.Add(seconds * time.Second)); at = at.Add(7 * time.Millisecond) {
				s.at(at, s.call)
			}
			s.run()
			s.checkWindow()
			for t, at := range s.complete {
				bytes += t.Size
				complete++
				Expect(at).To(BeTemporally("<=", t.Deadline), "a body arrived after its deadline")
			}
			Expect(s.scheduler.Stats().Transfers).To(BeZero())
			Expect(s.scheduler.Stats().Outstanding).To(BeZero())
		}
		Expect(float64(bytes)).To(BeNumerically(">", 0.75*links*seconds*BodyShare*slowLink))
		Expect(float64(complete)).To(BeNumerically(">", 0.75*float64(uploads)))
	})

	// Guards against uploads that are let in and then fail at their deadlines, which leaves their senders no time to try
	// another instance, and against calls that wait behind them.
	ginkgo.It("refuses at once what a link at 150% load cannot carry", func() {
		s := newSimulation(slowLink)
		r := rand.New(rand.NewPCG(3, 4))
		offered := map[*Transfer]time.Time{}
		for at := start; at.Before(start.Add(20 * time.Second)); {
			at = at.Add(time.Duration(r.ExpFloat64() * 60e3 / (1.5 * BodyShare * slowLink) * float64(time.Second)))
			t := &Transfer{Size: bodySize(r), Objective: at.Add(time.Second), Deadline: at.Add(time.Second), After: 100 * time.Millisecond}
			s.at(at, func() {
				s.offer(t)
				offered[t] = s.free.Add(oneWay)
			})
		}
		for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(5 * time.Millisecond) {
			s.at(at, s.call)
		}
		s.run()
		s.checkWindow()
		Expect(len(s.complete) + len(s.refused)).To(Equal(len(offered)))
		Expect(s.refused).NotTo(BeEmpty())
		bytes := 0
		for t := range s.complete {
			bytes += t.Size
		}
		Expect(float64(bytes)).To(BeNumerically(">", 0.9*20*BodyShare*slowLink), "the link was not used")
		for t, at := range s.refused {
			Expect(at.Sub(offered[t])).To(BeNumerically("<=", time.Millisecond))
			Expect(s.sent[t]).To(BeZero(), "bytes of a refused body used the link")
		}
		for t, at := range s.complete {
			Expect(at.Add(t.After)).To(BeTemporally("<=", t.Deadline.Add(window)), "too late to run")
		}
	})

	// Guards against uploads that all arrive just after their objectives while a link has more of them than it can carry,
	// although most of them could be in time (8 links of 10 Mbit/s at the peak of a wave: 41% in time, the median at 1.2 s).
	ginkgo.It("keeps most bodies in time while the load rises above the link and falls again", func() {
		s := newSimulation(slowLink)
		r := rand.New(rand.NewPCG(7, 8))
		const objective, deadline, period = 800 * time.Millisecond, 4 * time.Second, 13 * time.Second
		began := map[*Transfer]time.Time{}
		for at := start; at.Before(start.Add(2 * period)); {
			wave := 1 + 0.55*math.Sin(2*math.Pi*at.Sub(start).Seconds()/period.Seconds())
			at = at.Add(time.Duration(r.ExpFloat64() * 60e3 / (0.8 * wave * BodyShare * slowLink) * float64(time.Second)))
			t := &Transfer{Size: bodySize(r), Objective: at.Add(objective), Deadline: at.Add(deadline), After: 160 * time.Millisecond}
			began[t] = at
			s.at(at, func() { s.offer(t) })
		}
		s.run()
		inTime := 0
		for t, at := range s.complete {
			if !at.Add(t.After).After(t.Objective) {
				inTime++
			}
		}
		Expect(float64(inTime)).To(BeNumerically(">", 0.7*float64(len(began))))
		Expect(len(s.refused)).To(BeNumerically("<", len(began)/10))
	})

	// Guards against uploads that are let in at the rate of the settings, use the link and fail at their deadlines, while
	// other traffic uses more of the link than what is left to it.
	ginkgo.It("lets in what arrives in time on a link that is slower than its settings say", func() {
		s := newSimulation(slowLink)
		s.rate = 0.6 * slowLink
		r := rand.New(rand.NewPCG(5, 6))
		for at := start; at.Before(start.Add(20 * time.Second)); {
			at = at.Add(time.Duration(r.ExpFloat64() * 60e3 / slowLink * float64(time.Second)))
			t := &Transfer{Size: bodySize(r), Objective: at.Add(time.Second), Deadline: at.Add(time.Second)}
			s.at(at, func() { s.offer(t) })
		}
		s.run()
		lost, complete := 0, 0
		for t := range s.refused {
			lost += t.arrived
		}
		for t := range s.complete {
			complete += t.Size
		}
		Expect(float64(complete)).To(BeNumerically(">", 0.85*20*s.rate))
		Expect(float64(lost)).To(BeNumerically("<", 0.08*20*s.rate), "bytes of bodies that did not arrive in time")
	})

	ginkgo.It("grants by priority and objective, and lets the others give way", func() {
		s := New(slowLink)
		first := body(200<<10, 5*time.Second)
		first.Priority = 1
		Expect(s.Offer(start, first)).To(BeNil())
		Expect(s.Advance(start)).To(Equal([]Decision{{Transfer: first, Granted: 2 * Piece}}))
		later, sooner := body(20<<10, 4*time.Second), body(20<<10, 3*time.Second)
		low, high := body(20<<10, 3*time.Second), body(20<<10, 4*time.Second)
		low.Priority, later.Priority, sooner.Priority, high.Priority = 2, 1, 1, 0
		for _, t := range []*Transfer{low, later, high, sooner} {
			Expect(s.Offer(start, t)).To(BeNil())
		}
		var order []*Transfer
		granted := map[*Transfer]int{first: 2 * Piece}
		arrived := map[*Transfer]int{}
		for now := start; len(order) < 5; now = now.Add(time.Millisecond) {
			Expect(now).To(BeTemporally("<", start.Add(time.Second)), "grants ended")
			for _, d := range s.Advance(now) {
				granted[d.Transfer] = d.Granted
				if d.Transfer != first && arrived[d.Transfer] == 0 {
					order = append(order, d.Transfer)
				}
			}
			for t := range granted {
				n := granted[t] - arrived[t]
				arrived[t] = granted[t]
				complete, err := s.Arrived(now, t, n)
				Expect(err).NotTo(HaveOccurred())
				if complete {
					delete(granted, t)
					if t == first {
						order = append(order, first)
					}
				}
			}
		}
		Expect(order).To(Equal([]*Transfer{high, sooner, later, first, low}))
	})

	ginkgo.It("refuses a body that would make one late that it has accepted, and says when there is room", func() {
		s := New(slowLink)
		accepted := body(500<<10, 600*time.Millisecond)
		Expect(s.Offer(start, accepted)).To(BeNil())
		sooner := body(200<<10, 500*time.Millisecond)
		accepted.Priority, sooner.Priority = 1, 1
		refusal := s.Offer(start, sooner)
		Expect(refusal).To(HaveField("Reason", ReasonBusy))
		Expect(refusal.RetryAfter).To(BeNumerically("~", s.duration(700<<10)-600*time.Millisecond, time.Millisecond))
		Expect(s.Stats().Transfers).To(Equal(1))
		high := body(200<<10, 500*time.Millisecond)
		high.Priority = 0
		Expect(s.Offer(start, high)).To(BeNil(), "a body of a higher priority does not wait for others")
	})

	ginkgo.It("counts the time that a request waits and runs after its body has arrived", func() {
		s := New(slowLink)
		t := body(100<<10, 200*time.Millisecond)
		t.After = 150 * time.Millisecond
		Expect(s.Offer(start, t)).To(HaveField("Reason", ReasonBusy))
		t.After = 50 * time.Millisecond
		Expect(s.Offer(start, t)).To(BeNil())
	})

	// Guards against a sender that is frozen or has a slow link of its own and so blocks the link of the receiver.
	ginkgo.It("withdraws a grant after 500 ms without progress, and serves others meanwhile", func() {
		s := New(slowLink)
		stalled, prompt := body(32<<10, 5*time.Second), body(200<<10, 6*time.Second)
		Expect(s.Offer(start, stalled)).To(BeNil())
		Expect(s.Offer(start, prompt)).To(BeNil())
		complete := false
		for now := start; now.Before(start.Add(progressTimeout)); now = now.Add(time.Millisecond) {
			for _, d := range s.Advance(now) {
				Expect(d.Refused).To(BeNil())
			}
			if n := prompt.outstanding(); n > 0 {
				var err error
				complete, err = s.Arrived(now, prompt, n)
				Expect(err).NotTo(HaveOccurred())
			}
		}
		Expect(complete).To(BeTrue())
		now := start.Add(progressTimeout - time.Millisecond)
		wait, ok := s.Next(now)
		Expect(ok).To(BeTrue())
		Expect(wait).To(Equal(time.Millisecond))
		decisions := s.Advance(now.Add(wait))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Refused).To(HaveField("Reason", ReasonStalled))
		Expect(s.Stats()).To(HaveField("Outstanding", 0))
	})

	// Guards against senders with slow links of their own whose grants fill the window, so that the link is not used while
	// others could send.
	ginkgo.It("serves others while the whole window is granted to senders that hold it back", func() {
		s := New(slowLink)
		for range 2 {
			Expect(s.Offer(start, body(32<<10, 5*time.Second))).To(BeNil())
		}
		s.Advance(start)
		Expect(s.Stats().Outstanding).To(BeNumerically(">", s.window-Piece))
		prompt := body(200<<10, 6*time.Second)
		Expect(s.Offer(start, prompt)).To(BeNil())
		now, complete := start, false
		for !complete {
			if n := prompt.outstanding(); n > 0 {
				now = now.Add(time.Duration(float64(n) / slowLink * float64(time.Second)))
				var err error
				complete, err = s.Arrived(now, prompt, n)
				Expect(err).NotTo(HaveOccurred())
			} else {
				wait, ok := s.Next(now)
				Expect(ok).To(BeTrue())
				now = now.Add(wait)
			}
			s.Advance(now)
			Expect(s.Stats().Outstanding).To(BeNumerically("<=", 2*s.window))
		}
		Expect(now.Sub(start)).To(BeNumerically("<", quietAfter+s.duration(220<<10)))
	})

	// Guards against capacity that stays reserved for senders that are gone, and for grants that an earlier process gave.
	ginkgo.It("starts without grants after a restart, and frees those of lost connections", func() {
		before := New(slowLink)
		t := body(100<<10, 5*time.Second)
		Expect(before.Offer(start, t)).To(BeNil())
		before.Advance(start)
		Expect(before.Stats().Outstanding).To(Equal(2 * Piece))
		before.Remove(t)
		Expect(before.Stats().Outstanding).To(BeZero())

		after := New(slowLink)
		again := body(100<<10, 5*time.Second)
		Expect(after.Offer(start, again)).To(BeNil())
		_, err := after.Arrived(start, again, Piece)
		Expect(err).To(MatchError(ErrNotGranted), "bytes that the earlier process had granted")
		Expect(after.Advance(start)).To(Equal([]Decision{{Transfer: again, Granted: 2 * Piece}}))
	})

	ginkgo.It("rejects bytes that it has not granted", func() {
		s := New(slowLink)
		t := body(100<<10, 5*time.Second)
		Expect(s.Offer(start, t)).To(BeNil())
		s.Advance(start)
		_, err := s.Arrived(start, t, 2*Piece+1)
		Expect(err).To(MatchError(ErrNotGranted))
	})

	ginkgo.It("grants at once on a link of unknown rate, but limits what is in flight", func() {
		s := New(0)
		small, large := body(60<<10, time.Millisecond), body(64<<20, time.Second)
		Expect(s.Offer(start, small)).To(BeNil())
		Expect(s.Offer(start, large)).To(BeNil())
		Expect(s.Advance(start)).To(Equal([]Decision{{Transfer: small, Granted: 60 << 10}, {Transfer: large, Granted: unpacedWindow}}))
		Expect(s.Delay()).To(BeZero())
	})

	ginkgo.It("ends a body that can no longer arrive in time", func() {
		s := New(slowLink)
		t := body(100<<10, 120*time.Millisecond)
		Expect(s.Offer(start, t)).To(BeNil())
		s.Advance(start)
		decisions := s.Advance(start.Add(50 * time.Millisecond))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Refused).To(HaveField("Reason", ReasonBusy))
	})
})

package sequoiaadmission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
)

const (
	// maxSends is the number of upstreams that a request without a key is sent to if they refuse it.
	maxSends = 3
	// reportInterval is how old the known load of an upstream may be.
	reportInterval = 150 * time.Millisecond
	// compared is the number of upstreams that are compared for one request.
	compared = 4
	// slowSpan is how long an upstream is slow at once, slowShare the part of the time, and slowFactor by how much.
	slowSpan   = 400 * time.Millisecond
	slowShare  = 0.2
	slowFactor = 3
)

// speeds are the relative speeds of three kinds of machines.
var speeds = []float64{0.7, 0.7, 1.6}

// kind is a class of requests of a service in a simulated deployment.
type kind struct {
	class
	// spread is the relative standard deviation of the duration, longShare the part of the requests that take 5 times as
	// long.
	spread, longShare float64
	// burst is the number of requests that are sent at once on one connection, with responses in order.
	burst int
	// keyed is true if no other upstream can serve a request that one has refused.
	keyed bool
	// calls is the number of concurrent calls that callShare of the requests make halfway, and call what they call.
	calls     int
	callShare float64
	call      *kind
	service   *service
}

// service is a set of upstreams.
type service struct {
	upstreams []*upstream
}

// upstream is one upstream with its queue. known is its load as last reported.
type upstream struct {
	queue  *sequoiaadmission.Queue
	speed  float64
	seed   uint64
	known  float64
	wakeAt time.Time
}

// deployment is a simulation of services whose requests call each other.
type deployment struct {
	random  *rand.Rand
	now     time.Time
	end     time.Time
	pending events
	results map[string]outcome
}

func newDeployment(seed uint64) *deployment {
	return &deployment{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(0, 0), results: map[string]outcome{}}
}

func (d *deployment) newService(upstreams, slots int) *service {
	s := &service{}
	for i := range upstreams {
		s.upstreams = append(s.upstreams, &upstream{
			queue: sequoiaadmission.New(slots, sequoiaadmission.WithRandom(d.random.Float64)), speed: speeds[i%len(speeds)], seed: d.random.Uint64(),
		})
	}
	return s
}

func (d *deployment) at(at time.Time, f func()) {
	heap.Push(&d.pending, event{at, func(time.Time) { f() }})
}

func (d *deployment) add(k *kind, f func(o *outcome)) {
	o := d.results[k.name]
	f(&o)
	d.results[k.name] = o
}

// run plays the load of the kinds, multiplied by demand in every third span of 4 s, for the given time.
func (d *deployment) run(kinds []*kind, demand float64, length time.Duration) map[string]outcome {
	start := d.now
	d.end = start.Add(length)
	for _, k := range kinds {
		burst := max(1, k.burst)
		for at := start; at.Before(d.end); {
			rate := k.perSecond / float64(burst)
			if int(at.Sub(start)/(4*time.Second))%3 == 2 {
				rate *= demand
			}
			at = at.Add(time.Duration(d.random.ExpFloat64() / rate * float64(time.Second)))
			d.at(at, func() { d.sendBurst(k, burst) })
		}
	}
	services := map[*service]bool{}
	for _, k := range kinds {
		services[k.service] = true
		if k.call != nil {
			services[k.call.service] = true
		}
	}
	for s := range services {
		d.report(s)
	}
	for d.pending.Len() > 0 {
		e := heap.Pop(&d.pending).(event)
		d.now = e.at
		e.run(e.at)
	}
	return d.results
}

// report makes the load of the upstreams known, and again after the interval.
func (d *deployment) report(s *service) {
	for _, u := range s.upstreams {
		work := max(u.queue.MeanDuration(), 20*time.Millisecond).Seconds()
		u.known = (1 + float64(u.queue.Running()+u.queue.Waiting())/float64(u.queue.Slots())) * work
	}
	if d.now.Before(d.end) {
		d.at(d.now.Add(reportInterval), func() { d.report(s) })
	}
}

// sendBurst sends n requests of a kind at once on one connection.
func (d *deployment) sendBurst(k *kind, n int) {
	sent := d.now
	responses := make([]bool, n)
	served := make([]bool, n)
	next := 0
	for i := range n {
		d.send(k, func(ok bool) {
			responses[i], served[i] = true, ok
			for ; next < n && responses[next]; next++ {
				d.count(k, sent, served[next])
			}
		})
	}
}

// count records the response to a request.
func (d *deployment) count(k *kind, sent time.Time, ok bool) {
	took := d.now.Sub(sent)
	d.add(k, func(o *outcome) {
		o.requests++
		o.maxValue += k.value
		switch {
		case !ok || took > k.deadline:
			o.rejected++
		case took <= k.objective:
			o.onTime++
			o.value += k.value
		default:
			o.late++
			o.value += k.lateValue
		}
	})
}

// send sends a request to upstreams until one accepts it. respond is called once, with false if the request failed.
func (d *deployment) send(k *kind, respond func(ok bool)) {
	deadline := d.now.Add(k.deadline)
	d.attempt(k, deadline, map[*upstream]bool{}, false, respond)
}

func (d *deployment) attempt(k *kind, deadline time.Time, tried map[*upstream]bool, retried bool, respond func(ok bool)) {
	u := d.choose(k.service, tried)
	tried[u] = true
	t := &sequoiaadmission.Ticket{
		Class: k.name, Priority: k.priority, Keyed: k.keyed, Arrived: d.now, Objective: d.now.Add(k.objective), Deadline: deadline,
	}
	if t.Objective.After(deadline) {
		t.Objective = deadline
	}
	t.OnDecision = func(reason string, retryAfter time.Duration) {
		if reason == "" {
			d.process(u, k, t, respond)
			return
		}
		left := deadline.Sub(d.now)
		switch {
		case left <= 0 || reason == sequoiaadmission.ReasonDeadline:
			d.at(d.now, func() { respond(false) })
		case len(tried) < maxSends && !k.keyed:
			d.at(d.now.Add(2*time.Millisecond), func() { d.attempt(k, deadline, tried, retried, respond) })
		case !retried:
			wait := min(max(retryAfter, 10*time.Millisecond), left/3)
			d.at(d.now.Add(wait), func() { d.attempt(k, deadline, map[*upstream]bool{}, true, respond) })
		default:
			d.at(d.now, func() { respond(false) })
		}
	}
	u.queue.Submit(d.now, t)
	d.wake(u)
}

// choose returns the upstream with the least known load of some that are chosen at random.
func (d *deployment) choose(s *service, tried map[*upstream]bool) *upstream {
	var best *upstream
	for i := 0; i < compared || best == nil; i++ {
		u := s.upstreams[d.random.IntN(len(s.upstreams))]
		if !tried[u] && (best == nil || u.known < best.known) {
			best = u
		}
	}
	best.known += max(best.queue.MeanDuration(), 20*time.Millisecond).Seconds() / float64(best.queue.Slots())
	return best
}

// process runs a request that has a slot. The slot is held while its calls run.
func (d *deployment) process(u *upstream, k *kind, t *sequoiaadmission.Ticket, respond func(ok bool)) {
	work := k.duration.Seconds() * math.Exp(k.spread*d.random.NormFloat64()-k.spread*k.spread/2)
	if d.random.Float64() < k.longShare {
		work *= 5
	}
	finish := func(ok bool) {
		inTime := d.now.Before(t.Deadline)
		// A response with status 500 counts as processed.
		u.queue.Done(d.now, t, inTime)
		d.wake(u)
		respond(ok && inTime)
	}
	if k.calls == 0 || d.random.Float64() > k.callShare {
		d.at(u.workEnd(d.now, work), func() { finish(true) })
		return
	}
	d.at(u.workEnd(d.now, work/2), func() {
		running, failed := k.calls, false
		for range k.calls {
			sent := d.now
			d.send(k.call, func(ok bool) {
				d.count(k.call, sent, ok)
				running--
				failed = failed || !ok || d.now.Sub(sent) > k.call.deadline
				switch {
				case running > 0:
				case failed:
					finish(false)
				default:
					d.at(u.workEnd(d.now, work/2), func() { finish(true) })
				}
			})
		}
	})
}

// workEnd returns when work that is started now ends. The upstream is slow in some spans.
func (u *upstream) workEnd(now time.Time, work float64) time.Time {
	for {
		span := now.UnixNano() / int64(slowSpan)
		speed := u.speed
		if rand.New(rand.NewPCG(u.seed, uint64(span))).Float64() < slowShare {
			speed /= slowFactor
		}
		spanEnd := time.Unix(0, (span+1)*int64(slowSpan))
		possible := spanEnd.Sub(now).Seconds() * speed
		if work <= possible {
			return now.Add(time.Duration(work / speed * float64(time.Second)))
		}
		work -= possible
		now = spanEnd
	}
}

// wake advances the queue when it asks for that.
func (d *deployment) wake(u *upstream) {
	wait, ok := u.queue.NextEvent(d.now)
	if !ok {
		return
	}
	at := d.now.Add(wait + time.Millisecond)
	if u.wakeAt.After(d.now) && !at.Before(u.wakeAt) {
		return
	}
	u.wakeAt = at
	d.at(at, func() {
		if u.wakeAt == at {
			u.wakeAt = time.Time{}
		}
		u.queue.Advance(d.now)
		d.wake(u)
	})
}

// loadA is a service with two classes, whose requests of the higher priority call a service with three classes.
func loadA(d *deployment) []*kind {
	callers, called := d.newService(41, 6), d.newService(28, 5)
	call := &kind{class: class{name: "call", duration: 55 * ms, objective: 200 * ms, deadline: 600 * ms, value: 1, lateValue: 0.25}, spread: 0.4, service: called}
	return []*kind{
		{
			class:  class{name: "P", perSecond: 323, duration: 220 * ms, objective: 800 * ms, deadline: 2 * time.Second, value: 1, lateValue: 0.25},
			spread: 0.5, longShare: 0.01, burst: 4, calls: 2, callShare: 0.7, call: call, service: callers,
		},
		{
			class:  class{name: "L", priority: 1, perSecond: 116, duration: 290 * ms, objective: time.Second, deadline: 2 * time.Second, value: 1, lateValue: 0.25},
			spread: 0.4, service: callers,
		},
		{
			class:  class{name: "upload", priority: 1, perSecond: 46, duration: 260 * ms, objective: 1500 * ms, deadline: 4 * time.Second, value: 1, lateValue: 0.25},
			spread: 0.4, service: called,
		},
		{
			class:  class{name: "view", priority: 2, perSecond: 61, duration: 880 * ms, objective: 5 * time.Second, deadline: 10 * time.Second, value: 1, lateValue: 0.25},
			spread: 0.4, service: called,
		},
	}
}

// loadB is a service whose two classes have the same priority; most of its orders call another service.
func loadB(d *deployment) []*kind {
	callers, called := d.newService(27, 9), d.newService(20, 8)
	call := &kind{class: class{name: "third", duration: 100 * ms, objective: 300 * ms, deadline: 800 * ms, value: 1, lateValue: 0.25}, spread: 0.4, service: called}
	return []*kind{
		{
			class:  class{name: "order", priority: 1, perSecond: 450, duration: 180 * ms, objective: 800 * ms, deadline: 1500 * ms, value: 1, lateValue: 0.25},
			spread: 0.5, longShare: 0.01, calls: 1, callShare: 0.7, call: call, service: callers,
		},
		{
			class:  class{name: "called", priority: 1, perSecond: 1900, duration: 40 * ms, objective: 150 * ms, deadline: 500 * ms, value: 1, lateValue: 0.25},
			spread: 0.4, service: callers,
		},
	}
}

// servedShare returns the share of requests with a response before the deadline.
func (o outcome) servedShare() float64 { return float64(o.onTime+o.late) / float64(o.requests) }

// play returns the outcome of a load of 18 s over two seeds, with the given demand in a third of the time.
func play(load func(d *deployment) []*kind, demand float64) map[string]outcome {
	total := map[string]outcome{}
	for seed := range uint64(2) {
		d := newDeployment(seed + 1)
		for name, o := range d.run(load(d), demand, 18*time.Second) {
			t := total[name]
			t.requests, t.onTime, t.late, t.rejected = t.requests+o.requests, t.onTime+o.onTime, t.late+o.late, t.rejected+o.rejected
			t.value, t.maxValue = t.value+o.value, t.maxValue+o.maxValue
			total[name] = t
		}
	}
	for name, o := range total {
		n := float64(o.requests)
		ginkgo.AddReportEntry(name, fmt.Sprintf("in time %.2f, late %.2f, refused or failed %.2f, value %.3f",
			float64(o.onTime)/n, float64(o.late)/n, float64(o.rejected)/n, o.valueShare()))
	}
	return total
}

// expectNoneWronged checks that no class is served much worse than one of a lower priority, and none below a quarter of the
// mean.
func expectNoneWronged(got map[string]outcome, byPriority ...string) {
	sum := 0.0
	for i, name := range byPriority {
		sum += got[name].valueShare()
		for _, lower := range byPriority[i+1:] {
			Expect(got[name].servedShare()).To(BeNumerically(">", got[lower].servedShare()-0.05), "%s and %s", name, lower)
			Expect(got[name].valueShare()).To(BeNumerically(">", got[lower].valueShare()-0.15), "%s and %s", name, lower)
		}
	}
	for _, name := range byPriority {
		Expect(got[name].valueShare()).To(BeNumerically(">", sum/float64(len(byPriority))/4), name)
	}
}

// The bounds lie between the values of a queue that let up to 6 late requests for each slot wait, and served all requests in
// time before all late ones, and the values of this one.
var _ = ginkgo.Describe("Queues of services that call each other", func() {
	// Guards against requests of priority 0 that are served worse than those of priority 1 because their calls are late,
	// and against slots that work on late requests while other upstreams could serve them in time.
	ginkgo.It("serve callers with calls in time at the usual demand", func() {
		got := play(loadA, 1)
		expectNoneWronged(got, "P", "L")
		expectNoneWronged(got, "call", "upload", "view")
		Expect(got["P"].valueShare()).To(BeNumerically(">", 0.85))
		Expect(got["call"].valueShare()).To(BeNumerically(">", 0.895))
	})
	ginkgo.It("serve callers with calls at least as well as the lower priority at twice the demand", func() {
		got := play(loadA, 2)
		expectNoneWronged(got, "P", "L")
		expectNoneWronged(got, "call", "upload", "view")
		Expect(got["P"].valueShare()).To(BeNumerically(">", 0.71))
		Expect(got["P"].valueShare()).To(BeNumerically(">", got["L"].valueShare()))
		Expect(got["call"].valueShare()).To(BeNumerically(">", 0.87))
	})
	// Guards against long orders that spend their slots on late responses beside short calls of the same priority.
	ginkgo.It("serve long requests beside short ones of the same priority", func() {
		usual, high := play(loadB, 1), play(loadB, 2)
		Expect(usual["order"].valueShare()).To(BeNumerically(">", 0.7))
		Expect(usual["called"].valueShare()).To(BeNumerically(">", 0.925))
		Expect(high["order"].valueShare()).To(BeNumerically(">", 0.5))
		Expect(high["called"].valueShare()).To(BeNumerically(">", 0.885))
	})
	// Guards against refusals for another upstream's sake if there is none: requests with keys are sent to one only.
	ginkgo.It("serve as many requests that have only one upstream as if late ones all waited", func() {
		usual, high := play(keyed(loadA), 1), play(keyed(loadA), 2)
		Expect(usual["P"].valueShare()).To(BeNumerically(">", 0.78))
		Expect(usual["call"].valueShare()).To(BeNumerically(">", 0.8))
		Expect(high["P"].valueShare()).To(BeNumerically(">", 0.61))
		Expect(high["call"].valueShare()).To(BeNumerically(">", 0.75))
	})
	// Guards against a lower priority that is starved while the higher one alone exceeds the capacity.
	ginkgo.It("do not starve a lower priority", func() {
		got := simulate(sequoiaadmission.New(6, sequoiaadmission.WithRandom(func() float64 { return 0.5 })), []class{
			{name: "high", priority: 0, perSecond: 60, duration: 200 * ms, objective: 800 * ms, deadline: 2 * time.Second, value: 1, lateValue: 0.25},
			{name: "low", priority: 1, perSecond: 10, duration: 200 * ms, objective: 800 * ms, deadline: 2 * time.Second, value: 1, lateValue: 0.25},
		}, 60*time.Second, 1)
		served := func(name string) float64 { return got[name].servedShare() }
		Expect(served("low")).To(BeNumerically(">", (served("high")+served("low"))/2/4))
		Expect(served("high")).To(BeNumerically(">", served("low")-0.05))
	})
})

// keyed returns the load with keys: each request has one upstream.
func keyed(load func(d *deployment) []*kind) func(d *deployment) []*kind {
	return func(d *deployment) []*kind {
		kinds := load(d)
		for _, k := range kinds {
			k.keyed = true
			if k.call != nil {
				k.call.keyed = true
			}
		}
		return kinds
	}
}

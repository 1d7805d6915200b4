package sequoiaspread

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// testClass is a kind of request in the simulation.
type testClass struct {
	share           float64
	work, objective time.Duration
	body, response  int
}

var testClasses = []testClass{
	{share: 0.6, work: 55 * time.Millisecond, objective: 250 * time.Millisecond, response: 1536},
	{share: 0.3, work: 200 * time.Millisecond, objective: 600 * time.Millisecond, body: 1024, response: 6 * 1024},
	{share: 0.1, work: 300 * time.Millisecond, objective: 1200 * time.Millisecond, body: 60 * 1024, response: 1024},
}

const (
	testSlots   = 6
	testPeriod  = 13 * time.Second
	testTransit = 1500 * time.Microsecond
	// testLinkRate is the rate in bytes per second at which a body travels between failure domains.
	testLinkRate = 1 << 20
)

// testUpstream is one upstream in the simulation and the process beside it.
type testUpstream struct {
	domain string
	// speed multiplies the duration of work.
	speed   float64
	running int
	queue   []*testRequest
	work    time.Duration
	// known is what the process beside the upstream knows of all upstreams.
	known []testKnowledge
	// factor multiplies the duration of work for some time.
	factor float64
	// lost upstreams answer no request, failing ones answer every request with an error after a usual time.
	lost, failing bool
	// limit is the number of requests that may start per second, zero if there is no limit, and nextStart when the next may.
	limit     int
	nextStart time.Duration
	chooser   *Chooser
}

// testKnowledge is what a process knows of an upstream.
type testKnowledge struct {
	load        Candidate
	reportedAt  time.Duration
	reported    bool
	outstanding int
	sent        int
	failureRate float64
	unreachable bool
}

type testRequest struct {
	class    *testClass
	origin   int
	target   int
	began    time.Duration
	returned Candidate
	failed   bool
	unsent   bool
}

// testEvent is something that happens at a time in the simulation.
type testEvent struct {
	at time.Duration
	do func()
}

type testEvents []testEvent

func (e testEvents) Len() int           { return len(e) }
func (e testEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e testEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *testEvents) Push(x any)        { *e = append(*e, x.(testEvent)) }
func (e *testEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// testDomain is a failure domain in the simulation.
type testDomain struct {
	name      string
	upstreams int
	phase     float64
}

// testDomains returns four failure domains of different sizes with the given phases of their demand.
func testDomains(phases ...float64) []testDomain {
	return []testDomain{{"east", 10, phases[0]}, {"north", 6, phases[1]}, {"south", 8, phases[2]}, {"west", 2, phases[3]}}
}

// simulation plays requests against processes that choose upstreams.
type simulation struct {
	now       time.Duration
	events    testEvents
	rand      *rand.Rand
	domains   []testDomain
	upstreams []*testUpstream
	// choose returns the index of the upstream for a request.
	choose func(s *simulation, origin int, candidates []Candidate, req Request) int
	// utilization is the mean demand relative to the capacity of a domain, and swing its relative rise and fall.
	utilization, swing float64

	// changing is the mean time between changes of an upstream's speed, zero if it does not change.
	changing time.Duration

	result testResult
}

// testResult counts what became of the requests.
type testResult struct {
	requests, inTime, left int
	bytesLeft              int
	// classRequests and classLeft count by class.
	classRequests, classLeft []int
	// demand and leaving count the requests of each domain in each half second.
	demand, leaving map[string][]int
	// lateAtHome counts the late requests that stayed while another domain had a third of its slots free.
	lateAtHome int
	sentTo     []int
}

func (r testResult) served() float64    { return float64(r.inTime) / float64(r.requests) }
func (r testResult) leftShare() float64 { return float64(r.left) / float64(r.requests) }

func newSimulation(domains []testDomain, utilization, swing float64) *simulation {
	s := &simulation{
		rand: rand.New(rand.NewPCG(7, 11)), domains: domains, utilization: utilization, swing: swing, choose: chooseByCost,
		result: testResult{
			classRequests: make([]int, len(testClasses)), classLeft: make([]int, len(testClasses)),
			demand: map[string][]int{}, leaving: map[string][]int{},
		},
	}
	for _, d := range domains {
		for i := range d.upstreams {
			s.upstreams = append(s.upstreams, &testUpstream{domain: d.name, speed: []float64{1, 0.7, 1.4, 1}[i%4], factor: 1, chooser: New(d.name, s.rand.IntN)})
		}
	}
	for _, u := range s.upstreams {
		u.known = make([]testKnowledge, len(s.upstreams))
	}
	s.result.sentTo = make([]int, len(s.upstreams))
	return s
}

// chooseByCost is the rule of this package.
func chooseByCost(s *simulation, origin int, candidates []Candidate, req Request) int {
	return s.upstreams[origin].chooser.Choose(candidates, req)
}

// chooseByDelay is the rule before this package: the best of five random upstreams of all domains, with 25 ms for leaving.
func chooseByDelay(s *simulation, origin int, candidates []Candidate, _ Request) int {
	best, lowest := -1, time.Duration(0)
	for _, i := range s.rand.Perm(len(candidates))[:min(5, len(candidates))] {
		c := candidates[i]
		work := c.Work
		if work == 0 {
			work = DefaultWork
		}
		inProgress := float64(c.Outstanding)
		if c.Age < MaxReportAge {
			inProgress = max(inProgress, float64(c.Running+c.Waiting)*(1-float64(c.Age)/float64(MaxReportAge)))
		}
		utilization := (inProgress + 1) / float64(max(1, c.Slots))
		delay := time.Duration(float64(work) * (1 + 0.2*utilization + 2*max(0, utilization-0.7)) * (1 + 6*c.FailureRate))
		delay += max(0, c.StartDelay-c.Age)
		if c.Domain != s.upstreams[origin].domain {
			delay += 25 * time.Millisecond
		}
		if best < 0 || delay < lowest {
			best, lowest = i, delay
		}
	}
	return best
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, testEvent{s.now + d, do})
}

// meanWork is the mean duration of a request at an upstream of speed 1.
func meanWork() (mean time.Duration) {
	for _, c := range testClasses {
		mean += time.Duration(c.share * float64(c.work))
	}
	return mean
}

// demand returns the requests per second of a domain now.
func (s *simulation) demand(d testDomain) float64 {
	capacity := 0.0
	for _, u := range s.upstreams {
		if u.domain == d.name {
			capacity += testSlots / (u.speed * meanWork().Seconds())
		}
	}
	wave := math.Sin(2 * math.Pi * (float64(s.now)/float64(testPeriod) - d.phase))
	return capacity * s.utilization * (1 + s.swing*wave)
}

// run plays the given time.
func (s *simulation) run(d time.Duration) testResult {
	first := 0
	for _, dom := range s.domains {
		s.arrivals(dom, first)
		first += dom.upstreams
	}
	for _, u := range s.upstreams {
		s.changeSpeed(u)
	}
	for len(s.events) > 0 && s.events[0].at <= d {
		e := heap.Pop(&s.events).(testEvent)
		s.now = e.at
		e.do()
	}
	return s.result
}

// changeSpeed changes an upstream's speed now and again.
func (s *simulation) changeSpeed(u *testUpstream) {
	if s.changing == 0 {
		return
	}
	u.factor = math.Exp(0.4*s.rand.NormFloat64() - 0.08)
	s.after(time.Duration(s.rand.ExpFloat64()*float64(s.changing)), func() { s.changeSpeed(u) })
}

func (s *simulation) arrivals(d testDomain, first int) {
	rate := s.demand(d)
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrive(d, first+s.rand.IntN(d.upstreams))
		s.arrivals(d, first)
	})
}

func (s *simulation) arrive(d testDomain, origin int) {
	x, class := s.rand.Float64(), &testClasses[0]
	for i := range testClasses {
		class = &testClasses[i]
		if x -= class.share; x < 0 {
			break
		}
	}
	if s.upstreams[origin].lost {
		// The clients of a lost domain turn to the others.
		origin = s.rand.IntN(len(s.upstreams))
		if s.upstreams[origin].lost {
			return
		}
		d = testDomain{name: s.upstreams[origin].domain}
	}
	s.send(&testRequest{class: class, origin: origin, began: s.now}, d.name)
}

func (s *simulation) send(r *testRequest, domain string) {
	from := s.upstreams[r.origin]
	var indexes []int
	var candidates []Candidate
	for i := range from.known {
		k := &from.known[i]
		if k.unreachable {
			continue
		}
		c := k.load
		c.Domain, c.Outstanding, c.Slots, c.FailureRate, c.Age = s.upstreams[i].domain, k.outstanding, testSlots, FadedFailureRate(k.failureRate, s.now-k.reportedAt), s.now-k.reportedAt
		c.Sent = k.sent
		if !k.reported {
			c.Age = math.MaxInt64
		}
		if i == r.origin || r.class.body == 0 {
			c.LinkDelay = 0
		}
		indexes, candidates = append(indexes, i), append(candidates, c)
	}
	req := Request{
		Work: r.class.work, TypicalWork: meanWork(), Left: r.class.objective, BodyBytes: r.class.body, ResponseBytes: r.class.response,
	}
	r.target = indexes[s.choose(s, r.origin, candidates, req)]
	to := s.upstreams[r.target]
	s.count(r, domain, to.domain != domain)
	k := &from.known[r.target]
	k.outstanding++
	k.sent++
	s.after(s.transfer(r, r.class.body), func() { s.reach(r) })
}

func (s *simulation) transfer(r *testRequest, bytes int) time.Duration {
	if s.upstreams[r.origin].domain == s.upstreams[r.target].domain {
		return time.Millisecond / 5
	}
	return testTransit + time.Duration(float64(bytes)/testLinkRate*float64(time.Second))
}

func (s *simulation) count(r *testRequest, domain string, left bool) {
	res := &s.result
	class := 0
	for i := range testClasses {
		if r.class == &testClasses[i] {
			class = i
		}
	}
	bin := int(s.now / (500 * time.Millisecond))
	for len(res.demand[domain]) <= bin {
		res.demand[domain] = append(res.demand[domain], 0)
		res.leaving[domain] = append(res.leaving[domain], 0)
	}
	res.requests++
	res.classRequests[class]++
	res.demand[domain][bin]++
	res.sentTo[r.target]++
	if left {
		res.left++
		res.classLeft[class]++
		res.leaving[domain][bin]++
		res.bytesLeft += r.class.body + r.class.response
	}
}

// reach handles a request that arrives at the process beside its upstream.
func (s *simulation) reach(r *testRequest) {
	u := s.upstreams[r.target]
	switch {
	case u.lost:
		r.unsent = true
		s.after(100*time.Millisecond, func() { s.finish(r) })
	case u.limit > 0:
		u.nextStart = max(u.nextStart, s.now)
		s.after(u.nextStart-s.now, func() { s.submit(r) })
		u.nextStart += time.Second / time.Duration(u.limit)
	default:
		s.submit(r)
	}
}

func (s *simulation) submit(r *testRequest) {
	u := s.upstreams[r.target]
	if u.running >= testSlots {
		u.queue = append(u.queue, r)
		return
	}
	s.start(r)
}

func (s *simulation) start(r *testRequest) {
	u := s.upstreams[r.target]
	u.running++
	took := time.Duration(float64(r.class.work) * u.speed * u.factor * math.Exp(0.3*s.rand.NormFloat64()-0.045))
	s.after(took, func() {
		u.running--
		if u.work == 0 {
			u.work = took
		}
		u.work += (took - u.work) / 20
		for len(u.queue) > 0 && u.running < testSlots {
			next := u.queue[0]
			u.queue = u.queue[1:]
			if s.now-next.began > 2*next.class.objective {
				next.failed = true
				s.reply(next)
				continue
			}
			s.start(next)
		}
		r.failed = u.failing
		s.reply(r)
	})
}

func (s *simulation) reply(r *testRequest) {
	u := s.upstreams[r.target]
	r.returned = Candidate{
		Running: u.running, Waiting: len(u.queue), Work: u.work, StartDelay: max(0, u.nextStart-s.now),
	}

	s.after(s.transfer(r, r.class.response), func() { s.finish(r) })
}

// finish handles the response at the process that sent the request.
func (s *simulation) finish(r *testRequest) {
	from := s.upstreams[r.origin]
	k := &from.known[r.target]
	k.outstanding--
	if r.unsent {
		k.unreachable = true
		return
	}
	rate := FadedFailureRate(k.failureRate, s.now-k.reportedAt)
	k.load, k.reportedAt, k.reported, k.sent = r.returned, s.now, true, 0
	failed := 0.0
	if r.failed {
		failed = 1
	}
	k.failureRate = rate + 0.15*(failed-rate)
	if !r.failed && s.now-r.began <= r.class.objective {
		s.result.inTime++
		return
	}
	if from.domain == s.upstreams[r.target].domain && s.roomElsewhere(from.domain) {
		s.result.lateAtHome++
	}
}

// roomElsewhere reports whether a domain other than the given one has a third of its slots free.
func (s *simulation) roomElsewhere(domain string) bool {
	running, slots := map[string]int{}, map[string]int{}
	for _, u := range s.upstreams {
		if !u.lost {
			running[u.domain] += u.running
			slots[u.domain] += testSlots
		}
	}
	for d, n := range slots {
		if d != domain && running[d]*3 < n*2 {
			return true
		}
	}
	return false
}

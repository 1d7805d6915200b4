package sequoiabalance_test

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiabalance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

const (
	simStep = 10 * time.Millisecond
	// askTime is the time for asking the candidates and reserving room, releaseTime that of a release, and writeTime that
	// of a write of the table until all processes know it.
	askTime, releaseTime, writeTime = 20 * time.Millisecond, 250 * time.Millisecond, 100 * time.Millisecond
	// maxWait is the expected wait from which a request is refused.
	maxWait   = 800 * time.Millisecond
	maxRanges = 24
)

// traffic is a load of requests on adjacent keys.
type traffic struct {
	perSecond   float64
	from, count int
	start, end  time.Duration
}

// simUpstream is an upstream with its process.
type simUpstream struct {
	slots        int
	busy         []time.Duration
	meter        *sequoiakeyspace.Meter
	held         []sequoiakeyspace.Range
	since        []time.Duration
	pace         sequoiabalance.Pace
	reservations sequoiabalance.Reservations
	current      float64
	moving       int
	planning     bool
	phase        time.Duration
}

// simulation is a service without a network: upstreams with slots and queues, requests for keys, and moves with delays.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	duration  time.Duration
	upstreams []*simUpstream
	traffic   []traffic
	owner     []int
	movingTo  map[int]time.Duration
	events    map[time.Duration][]func()
	// requests and refused count by step of arrival, without those for uncounted.
	requests, refused []int
	uncounted         int
	// movesOf is the number of moves of each key.
	movesOf          [65536]int
	moves, movedKeys int
	// balance plans for an upstream at the end of its interval.
	balance func(s *simulation, i int)
}

func newSimulation(seed uint64, upstreams, slots int, duration time.Duration, loads ...traffic) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), duration: duration, traffic: loads, owner: make([]int, 65536),
		movingTo: map[int]time.Duration{}, events: map[time.Duration][]func(){}, balance: (*simulation).plan, uncounted: -1,
	}
	for i := range upstreams {
		from, to := i*65536/upstreams, (i+1)*65536/upstreams-1
		s.upstreams = append(s.upstreams, &simUpstream{
			slots: slots, busy: make([]time.Duration, slots), meter: sequoiakeyspace.NewMeter(),
			held:  []sequoiakeyspace.Range{{From: sequoiakeyspace.Key(from), To: sequoiakeyspace.Key(to)}},
			since: []time.Duration{-time.Hour}, phase: time.Duration(s.rng.IntN(30)) * simStep,
		})
		for k := from; k <= to; k++ {
			s.owner[k] = i
		}
	}
	return s
}

// at runs f at a time.
func (s *simulation) at(t time.Duration, f func()) {
	t = max(s.now+simStep, t.Truncate(simStep))
	s.events[t] = append(s.events[t], f)
}

// run simulates until the given time.
func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += simStep {
		s.requests, s.refused = append(s.requests, 0), append(s.refused, 0)
		for _, f := range s.events[s.now] {
			f()
		}
		delete(s.events, s.now)
		for _, tr := range s.traffic {
			if s.now < tr.start || tr.end > 0 && s.now >= tr.end {
				continue
			}
			for range s.poisson(tr.perSecond * simStep.Seconds()) {
				s.arrive(tr.from+s.rng.IntN(tr.count), s.now)
			}
		}
		for i, u := range s.upstreams {
			if (s.now+u.phase)%sequoiakeyspace.MeterInterval == 0 {
				s.balance(s, i)
			}
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n := 0
	for t := s.rng.ExpFloat64(); t < mean; t += s.rng.ExpFloat64() {
		n++
	}
	return n
}

// arrive handles a request. One for keys that are being moved waits for the move.
func (s *simulation) arrive(key int, arrived time.Duration) {
	if at, ok := s.movingTo[key]; ok {
		s.at(at, func() { s.arrive(key, arrived) })
		return
	}
	if key != s.uncounted {
		s.requests[arrived/simStep]++
	}
	u := s.upstreams[s.owner[key]]
	u.meter.Add(sequoiakeyspace.Key(key), s.duration)
	slot := 0
	for i, b := range u.busy {
		if b < u.busy[slot] {
			slot = i
		}
	}
	start := max(s.now, u.busy[slot])
	if start-arrived > maxWait {
		u.pace.Refused()
		if key != s.uncounted {
			s.refused[arrived/simStep]++
		}
		return
	}
	took := time.Duration(float64(s.duration) * (0.5 + s.rng.Float64()))
	u.busy[slot] = start + took
	s.at(start+took, func() { u.meter.Correct(sequoiakeyspace.Key(key), took-s.duration) })
}

var simEpoch = time.Unix(1000, 0)

func (s *simulation) report(u *simUpstream) sequoiabalance.Report {
	rate := 0.0
	for _, r := range u.held {
		rate += u.meter.Rate(r.From, r.To)
	}
	return sequoiabalance.Report{
		Utilization: rate / float64(u.slots), Slots: u.slots, Open: len(u.held) < maxRanges, Current: u.current, Steady: u.pace.Steady(),
		Reserved: u.reservations.Utilization(simEpoch.Add(s.now)), Ranges: len(u.held), Empty: len(u.held) == 0,
	}
}

// plan does what a process does at the end of an interval.
func (s *simulation) plan(i int) {
	u, now := s.upstreams[i], simEpoch.Add(s.now)
	defer u.meter.Advance()
	for _, r := range u.reservations.Arrived(now, u.held) {
		u.meter.Seed(r.From, r.To, r.Rates)
		u.pace.Arrived(now, r.Utilization)
	}
	recent := 0.0
	for _, r := range u.held {
		recent += u.meter.RecentRate(r.From, r.To)
	}
	own := sequoiabalance.Owner{Report: s.report(u), MaxRanges: maxRanges}
	own.Current = u.pace.Measured(now, own.Utilization, recent, u.meter.RecentDeviation(), u.slots)
	u.current = own.Current
	if !u.pace.Due(now, own.Report, u.moving) || u.planning || len(u.held) == 0 {
		return
	}
	own.RequestRate = u.meter.RequestRate(own.UseRecent())
	for j, r := range u.held {
		own.Held = append(own.Held, sequoiabalance.Held{Profile: u.meter.Profile(r, own.UseRecent()), Since: s.now - u.since[j]})
	}
	u.planning = true
	s.at(s.now+askTime, func() { s.start(i, own) })
}

// start plans with the reports of a sample and starts the moves.
func (s *simulation) start(i int, own sequoiabalance.Owner) {
	u, now := s.upstreams[i], simEpoch.Add(s.now)
	u.planning = false
	var cs []sequoiabalance.Candidate
	names := map[string]int{}
	for _, j := range s.rng.Perm(len(s.upstreams)) {
		if j != i && len(cs) < u.pace.SampleSize(own.Report) {
			name := string(rune('A' + j))
			names[name] = j
			cs = append(cs, sequoiabalance.Candidate{Instance: name, Report: s.report(s.upstreams[j])})
		}
	}
	started, load := 0, 0.0
	for _, m := range sequoiabalance.Plan(own, cs) {
		dest := s.upstreams[names[m.Candidate.Instance]]
		if dest.reservations.Reserve(now, m.Reservation, s.report(dest), maxRanges) {
			started++
			load += m.Load
			s.move(i, names[m.Candidate.Instance], m.From, m.To)
		}
	}
	u.pace.Planned(now, own.Report, started, load)
}

// move moves keys to another upstream after the release and the write.
func (s *simulation) move(from, to int, first, last sequoiakeyspace.Key) {
	u, dest, done := s.upstreams[from], s.upstreams[to], s.now+releaseTime+writeTime
	j := slices.IndexFunc(u.held, func(r sequoiakeyspace.Range) bool { return r.Contains(first) && r.Contains(last) })
	r, since := u.held[j], u.since[j]
	u.held, u.since = slices.Delete(u.held, j, j+1), slices.Delete(u.since, j, j+1)
	if r.From < first {
		u.held, u.since = append(u.held, sequoiakeyspace.Range{From: r.From, To: first - 1}), append(u.since, since)
	}
	if r.To > last {
		u.held, u.since = append(u.held, sequoiakeyspace.Range{From: last + 1, To: r.To}), append(u.since, since)
	}
	u.moving++
	s.moves++
	s.movedKeys += int(last-first) + 1
	for k := int(first); k <= int(last); k++ {
		s.movingTo[k] = done
		s.movesOf[k]++
	}
	s.at(done, func() {
		u.moving--
		for k := int(first); k <= int(last); k++ {
			delete(s.movingTo, k)
			s.owner[k] = to
		}
		dest.held, dest.since = append(dest.held, sequoiakeyspace.Range{From: first, To: last}), append(dest.since, s.now)
	})
}

// refusedShare returns the share of the requests that arrived in an interval and were refused.
func (s *simulation) refusedShare(from, to time.Duration) float64 {
	requests, refused := 0, 0
	for i := from / simStep; i < to/simStep; i++ {
		requests += s.requests[i]
		refused += s.refused[i]
	}
	return float64(refused) / float64(max(1, requests))
}

// settled returns how long after the onset at least 5% of the requests of any 500 ms were refused for the last time.
func (s *simulation) settled(onset, end time.Duration) time.Duration {
	last := onset
	for t := onset; t+500*time.Millisecond <= end; t += 20 * time.Millisecond {
		if s.refusedShare(t, t+500*time.Millisecond) >= 0.05 {
			last = t + 500*time.Millisecond
		}
	}
	return last - onset
}

// maxHeld returns the largest number of ranges of an upstream.
func (s *simulation) maxHeld() int {
	var counts []int
	for _, u := range s.upstreams {
		counts = append(counts, len(u.held))
	}
	sort.Ints(counts)
	return counts[len(counts)-1]
}

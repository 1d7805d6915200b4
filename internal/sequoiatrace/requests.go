package sequoiatrace

import (
	"math"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
)

// request runs the next request of the service.
func (m *model) request() {
	m.requests++
	key := m.drawKey()
	duration := m.rng.ExpFloat64() * m.header.RequestSeconds
	process := m.rng.IntN(len(m.header.Upstreams))
	if !m.header.Divided {
		m.chooseAndRun(process, duration)
		return
	}
	shard := m.keyShard[key]
	s := m.server(m.ownerOf(m.service(), key))
	if s == nil || s.lost {
		m.figures.Failed++
		return
	}
	if s.leftAt > 0 {
		m.figures.DepartureSeconds = max(m.figures.DepartureSeconds, m.now-s.leftAt)
	}
	end, work, ok := m.run(s, process, max(m.now, m.closedUntil[shard]), duration)
	if !ok {
		return
	}
	m.lastEnd[shard] = max(m.lastEnd[shard], end)
	m.keyWork[key] += work
	m.shardWork[shard] += work
}

func (m *model) drawKey() int {
	at := m.rng.Float64()
	for _, k := range m.hotKeys() {
		if at < m.hot[k] {
			return k
		}
		at -= m.hot[k]
	}
	x := m.rng.Float64() * m.cumulative[len(m.cumulative)-1]
	k, _ := slices.BinarySearch(m.cumulative, x)
	return min(k, len(m.cumulative)-1)
}

func (m *model) hotKeys() []int {
	if len(m.hot) == 0 {
		return nil
	}
	keys := make([]int, 0, len(m.hot))
	for k := range m.hot {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// chooseAndRun sends a request without a key to the upstream that the policy chooses. A lost one is still chosen until
// its loss is detected.
func (m *model) chooseAndRun(process int, duration float64) {
	var candidates []sequoiaplacement.Candidate
	var servers []*server
	for _, s := range m.servers {
		detected := s.lost && !slices.ContainsFunc(m.takeovers, func(t takeover) bool {
			return t.from == s && m.now < t.at-takeoverSeconds+detectionSeconds
		})
		if detected || s.leftAt > 0 {
			continue
		}
		if m.now > s.failedAt+failureMemorySeconds {
			s.failures = 0
		}
		servers = append(servers, s)
		candidates = append(candidates, sequoiaplacement.Candidate{
			Incarnation: s.id(), Slots: s.Slots, InFlight: s.inFlight(process, m.now), Failures: s.failures,
			Uptime: time.Duration((m.now - s.joined) * float64(time.Second)),
		})
	}
	s := servers[m.policy.Choose(m.rng, candidates, m.requests)]
	if s.lost {
		s.failures++
		s.failedAt = m.now
		m.figures.Failed++
		return
	}
	if _, _, ok := m.run(s, process, m.now, duration); !ok {
		s.failures++
		s.failedAt = m.now
		return
	}
	s.failures = 0
}

// run gives a request the first free slot from the time at which it may start.
func (m *model) run(s *server, process int, from, duration float64) (end, work float64, ok bool) {
	slot := 0
	for i := range s.free {
		if s.free[i] < s.free[slot] {
			slot = i
		}
	}
	start := max(from, s.free[slot])
	work = duration * s.slowdown(m.now)
	// Work that is shed counts too: it is load that the upstream was given.
	s.work += work
	if start-m.now > shedAfterSeconds {
		m.figures.Shed++
		return 0, 0, false
	}
	end = start + work
	s.free[slot] = end
	if !m.header.Divided {
		s.pending[process] = append(s.pending[process], end)
	}
	return end, work, true
}

// measure updates the measured loads once a second.
func (m *model) measure() {
	keep := math.Exp(-1 / loadMemorySeconds)
	for n := range m.shardLoad {
		m.shardLoad[n] = m.shardLoad[n]*keep + m.shardWork[n]*(1-keep)
		m.shardWork[n] = 0
	}
	for k := range m.keyLoad {
		m.keyLoad[k] = m.keyLoad[k]*keep + m.keyWork[k]*(1-keep)
		m.keyWork[k] = 0
	}
}

// window adds the imbalance of the last window to the figures.
func (m *model) window() {
	live := m.live()
	sum, peak, squares := 0.0, 0.0, 0.0
	for _, s := range live {
		u := s.work / windowSeconds / float64(s.Slots)
		s.average = s.work / windowSeconds
		sum += u
		squares += u * u
		peak = max(peak, u)
	}
	for _, s := range m.servers {
		s.work = 0
	}
	mean := sum / float64(len(live))
	if mean == 0 {
		return
	}
	m.windows++
	m.figures.PeakOverMean += peak / mean
	m.figures.Variation += math.Sqrt(max(0, squares/float64(len(live))-mean*mean)) / mean
	if peak > 1 {
		m.figures.OverloadedSeconds += windowSeconds
	}
}

package sequoiatrace

import (
	"math"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
)

// simulateRequest generates a request and runs it on the upstream that serves its key.
func (m *model) simulateRequest() {
	m.requests++
	key := m.drawKey()
	duration := m.rng.ExpFloat64() * m.header.RequestSeconds
	process := m.rng.IntN(len(m.header.Upstreams))
	if !m.header.Divided {
		m.routeWithoutKey(process, duration)
		return
	}
	shard := m.shardOfKey[key]
	s := m.server(m.ownerOf(m.service(), key))
	if s == nil || s.lost {
		m.totals.Failed++
		return
	}
	if s.leftAt > 0 {
		m.totals.DepartureSeconds = max(m.totals.DepartureSeconds, m.now-s.leftAt)
	}
	end, work, ok := m.schedule(s, process, max(m.now, m.closedUntil[shard]), duration)
	if !ok {
		return
	}
	m.lastRequestEnd[shard] = max(m.lastRequestEnd[shard], end)
	m.keyWork[key] += work
	m.shardWork[shard] += work
}

func (m *model) drawKey() int {
	at := m.rng.Float64()
	for _, k := range m.sortedHotKeys() {
		if at < m.hotKeyShares[k] {
			return k
		}
		at -= m.hotKeyShares[k]
	}
	x := m.rng.Float64() * m.cumulativeWeights[len(m.cumulativeWeights)-1]
	k, _ := slices.BinarySearch(m.cumulativeWeights, x)
	return min(k, len(m.cumulativeWeights)-1)
}

func (m *model) sortedHotKeys() []int {
	if len(m.hotKeyShares) == 0 {
		return nil
	}
	keys := make([]int, 0, len(m.hotKeyShares))
	for k := range m.hotKeyShares {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// routeWithoutKey sends a request without a key to the upstream that the policy chooses. A failed upstream remains a
// candidate until its failure is detected.
func (m *model) routeWithoutKey(process int, duration float64) {
	var candidates []sequoiaplacement.Candidate
	var servers []*server
	for _, s := range m.servers {
		detected := s.lost && !slices.ContainsFunc(m.pendingTakeovers, func(t pendingTakeover) bool {
			return t.lost == s && m.now < t.dueAt-takeoverSeconds+detectionSeconds
		})
		if detected || s.leftAt > 0 {
			continue
		}
		if m.now > s.failedAt+ejectionSeconds {
			s.failures = 0
		}
		servers = append(servers, s)
		candidates = append(candidates, sequoiaplacement.Candidate{
			Incarnation: s.id(), Slots: s.Slots, InFlight: s.inFlight(process, m.now), Failures: s.failures,
			Uptime: time.Duration((m.now - s.joinedAt) * float64(time.Second)),
		})
	}
	s := servers[m.policy.Choose(m.rng, candidates, m.requests)]
	if s.lost {
		s.failures++
		s.failedAt = m.now
		m.totals.Failed++
		return
	}
	if _, _, ok := m.schedule(s, process, m.now, duration); !ok {
		s.failures++
		s.failedAt = m.now
		return
	}
	s.failures = 0
}

// schedule queues a request for the slot that becomes free first, to start no earlier than from. It returns the end
// time and the work in slot-seconds. ok is false if the request was shed.
func (m *model) schedule(s *server, process int, from, duration float64) (end, work float64, ok bool) {
	slot := 0
	for i := range s.slotFreeAt {
		if s.slotFreeAt[i] < s.slotFreeAt[slot] {
			slot = i
		}
	}
	start := max(from, s.slotFreeAt[slot])
	work = duration * s.slowdown(m.now)
	// Work of shed requests counts too, because the upstream was assigned it.
	s.windowWork += work
	if start-m.now > shedAfterSeconds {
		m.totals.Shed++
		return 0, 0, false
	}
	end = start + work
	s.slotFreeAt[slot] = end
	if !m.header.Divided {
		s.requestEnds[process] = append(s.requestEnds[process], end)
	}
	return end, work, true
}

// updateLoads updates the exponential averages of the loads; it is called once a second.
func (m *model) updateLoads() {
	decay := math.Exp(-1 / loadTimeConstantSeconds)
	for n := range m.shardLoad {
		m.shardLoad[n] = m.shardLoad[n]*decay + m.shardWork[n]*(1-decay)
		m.shardWork[n] = 0
	}
	for k := range m.keyLoad {
		m.keyLoad[k] = m.keyLoad[k]*decay + m.keyWork[k]*(1-decay)
		m.keyWork[k] = 0
	}
}

// recordWindow adds the imbalance of the window that has just ended to the totals.
func (m *model) recordWindow() {
	live := m.liveServers()
	sum, peak, squares := 0.0, 0.0, 0.0
	for _, s := range live {
		u := s.windowWork / windowSeconds / float64(s.Slots)
		s.windowBusySlots = s.windowWork / windowSeconds
		sum += u
		squares += u * u
		peak = max(peak, u)
	}
	for _, s := range m.servers {
		s.windowWork = 0
	}
	mean := sum / float64(len(live))
	if mean == 0 {
		return
	}
	m.windows++
	m.totals.PeakOverMean += peak / mean
	m.totals.Variation += math.Sqrt(max(0, squares/float64(len(live))-mean*mean)) / mean
	if peak > 1 {
		m.totals.OverloadedSeconds += windowSeconds
	}
}

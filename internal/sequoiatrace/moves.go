package sequoiatrace

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// placementInput describes the live upstreams. The loads are exact exponential averages, so that the results reflect
// the policy's decisions and not measurement errors.
func (m *model) placementInput() sequoiaplacement.Input {
	in := sequoiaplacement.Input{
		Table: m.service(), SinceLastMove: time.Duration((m.now - m.lastMove) * float64(time.Second)),
	}
	for _, s := range m.liveServers() {
		u := sequoiaplacement.Upstream{
			Incarnation: s.id(), FailureDomain: s.FailureDomain, Slots: s.Slots, LoadAge: time.Second,
			Uptime: time.Duration((m.now - s.joinedAt) * float64(time.Second)), BusySlots: s.windowBusySlots,
			HasReport: true, ReportedBusySlots: s.windowBusySlots,
		}
		if m.header.Divided {
			m.addLoads(&u)
		}
		if s.misreports {
			u.ReportedBusySlots = s.misreportedBusySlots
		}
		in.Upstreams = append(in.Upstreams, u)
	}
	return in
}

func (m *model) addLoads(u *sequoiaplacement.Upstream) {
	table := m.service()
	var keys []int
	total := 0.0
	for k := range m.keyLoad {
		if m.keyLoad[k] > 0 && m.ownerOf(table, k) == u.Incarnation {
			total += m.keyLoad[k]
			if m.keyLoad[k] >= minReportedKeyBusySlots {
				keys = append(keys, k)
			}
		}
	}
	slices.SortFunc(keys, func(a, b int) int { return cmp.Or(cmp.Compare(m.keyLoad[b], m.keyLoad[a]), cmp.Compare(a, b)) })
	listed := map[uint32]float64{}
	for _, k := range keys[:min(len(keys), maxReportedKeys)] {
		u.Keys = append(u.Keys, sequoiaplacement.KeyLoad{Key: m.keyNames[k], BusySlots: m.keyLoad[k]})
		listed[m.shardOfKey[k]] += m.keyLoad[k]
	}
	var shards []sequoiaplacement.ShardLoad
	for _, n := range m.ownedShards(u.Incarnation) {
		shards = append(shards, sequoiaplacement.ShardLoad{Shard: n, BusySlots: max(0, m.shardLoad[n]-listed[n])})
	}
	slices.SortStableFunc(shards, func(a, b sequoiaplacement.ShardLoad) int { return cmp.Compare(b.BusySlots, a.BusySlots) })
	u.Shards = shards[:min(len(shards), maxReportedShards)]
	u.BusySlots, u.ReportedBusySlots = total, total
}

// ownerOf is equivalent to ServiceTable.Lookup, but uses the precomputed shard of the key.
func (m *model) ownerOf(table *sequoiatable.ServiceTable, key int) sequoiatable.IncarnationID {
	if a, ok := table.HotKey(m.keyNames[key]); ok {
		return a.Owner
	}
	return table.Shard(m.shardOfKey[key]).Owner
}

// applyMoves applies moves to the table. Planned moves close their shards until the move is complete.
func (m *model) applyMoves(moves []sequoiaplacement.Move, kind sequoiatable.AssignKind) error {
	for _, mv := range moves {
		if mv.From == mv.To {
			// This move only removes a hot key's own assignment; the owner stays the same.
			continue
		}
		writer := mv.From
		if kind == sequoiatable.AssignTakeover {
			writer = mv.To
		}
		if err := m.apply(writer, sequoiatable.Change{Assign: &sequoiatable.Assign{
			Service: m.header.Service, Kind: kind, From: mv.From, To: mv.To, Shards: mv.Shards, Keys: mv.Keys, Reason: mv.Reason,
		}}); err != nil {
			return err
		}
		if kind != sequoiatable.AssignInitial {
			m.recordMoves(mv, kind)
		}
	}
	return nil
}

func (m *model) recordMoves(mv sequoiaplacement.Move, kind sequoiatable.AssignKind) {
	m.totals.Moves += len(mv.Shards) + len(mv.Keys)
	for _, n := range mv.Shards {
		m.totals.keysMoved += m.keysPerShard[n]
		if kind == sequoiatable.AssignPlanned {
			m.closeShard(n, float64(m.keysPerShard[n]), max(0, m.lastRequestEnd[n]-m.now)+plannedMoveSeconds)
		}
	}
	for _, k := range mv.Keys {
		m.totals.keysMoved++
		if kind == sequoiatable.AssignPlanned {
			n := sequoiatable.ShardOf(k, m.header.Shards)
			m.addUnavailability(1, max(0, m.lastRequestEnd[n]-m.now)+plannedMoveSeconds)
		}
	}
}

func (m *model) closeShard(shard uint32, keys, seconds float64) {
	m.closedUntil[shard] = max(m.closedUntil[shard], m.now+seconds)
	m.addUnavailability(keys, seconds)
}

func (m *model) addUnavailability(keys, seconds float64) {
	if !m.header.Divided {
		// Any upstream can serve a request without a key, so a move makes nothing unavailable.
		return
	}
	m.totals.UnavailableKeySeconds += keys * seconds
	m.totals.LongestUnavailableSeconds = max(m.totals.LongestUnavailableSeconds, seconds)
}

// applyEvent applies an event of the trace to the model.
func (m *model) applyEvent(e *Event) error {
	switch e.Kind {
	case KindRate:
		m.rate = e.PerSecond
	case KindHotKey:
		m.hotKeyShares[e.Key] = e.Share
	case KindSlow:
		m.server(sequoiatable.IncarnationID(e.Upstream.ID)).slowFactor = e.Factor
	case KindMisreport:
		s := m.server(sequoiatable.IncarnationID(e.Upstream.ID))
		s.misreports, s.misreportedBusySlots = true, e.ReportedBusySlots
	case KindJoin:
		if err := m.join(*e.Upstream, m.now); err != nil {
			return err
		}
		m.totals.requiredMoves += m.fairShare(e.Upstream.Slots)
	case KindLeave:
		return m.leave(m.server(sequoiatable.IncarnationID(e.Upstream.ID)))
	case KindLoseDomain:
		return m.loseDomain(e.FailureDomain)
	}
	return nil
}

func (m *model) fairShare(slots int) int {
	total := 0
	for _, s := range m.liveServers() {
		total += s.Slots
	}
	return int(m.header.Shards) * slots / total
}

func (m *model) leave(s *server) error {
	s.leftAt = m.now
	if len(m.liveServers()) == 0 {
		return errors.Wrap(ErrTrace, "the last live upstream leaves")
	}
	shards, keys := m.ownedShards(s.id()), m.ownedHotKeys(s.id())
	m.totals.requiredMoves += len(shards) + len(keys)
	return m.applyMoves(m.policy.Place(m.placementInput(), s.id(), shards, keys), sequoiatable.AssignPlanned)
}

func (m *model) loseDomain(domain string) error {
	for _, s := range m.liveServers() {
		if s.FailureDomain != domain {
			continue
		}
		s.lost = true
		m.pendingTakeovers = append(m.pendingTakeovers, pendingTakeover{dueAt: m.now + takeoverSeconds, lost: s})
		shards, keys := m.ownedShards(s.id()), m.ownedHotKeys(s.id())
		m.totals.requiredMoves += len(shards) + len(keys)
		for _, n := range shards {
			m.closeShard(n, float64(m.keysPerShard[n]), takeoverSeconds)
		}
		m.addUnavailability(float64(len(keys)), takeoverSeconds)
		if err := m.apply(s.id(), sequoiatable.Change{Revoke: &sequoiatable.Revoke{Incarnation: s.id(), Reason: "Lost"}}); err != nil {
			return err
		}
	}
	if len(m.liveServers()) == 0 {
		return errors.Wrap(ErrTrace, "all upstreams are lost")
	}
	return nil
}

func (m *model) runDueTakeovers() error {
	for len(m.pendingTakeovers) > 0 && m.pendingTakeovers[0].dueAt <= m.now {
		lost := m.pendingTakeovers[0].lost
		m.pendingTakeovers = m.pendingTakeovers[1:]
		in := m.placementInput()
		in.AvoidFailureDomain = lost.FailureDomain
		moves := m.policy.Place(in, lost.id(), m.ownedShards(lost.id()), m.ownedHotKeys(lost.id()))
		if err := m.applyMoves(moves, sequoiatable.AssignTakeover); err != nil {
			return err
		}
	}
	return nil
}

// balance asks the policy for balancing moves. It does nothing between a failure and its takeover, because the lost
// keys have no new owners yet.
func (m *model) balance() error {
	if len(m.pendingTakeovers) > 0 {
		return nil
	}
	moves := m.policy.Balance(m.placementInput())
	count := 0
	for _, mv := range moves {
		if mv.From != mv.To {
			count += len(mv.Shards) + len(mv.Keys)
		}
	}
	if count == 0 {
		return nil
	}
	m.lastMove = m.now
	m.recentMoves = append(m.recentMoves, balanceMoves{at: m.now, count: count})
	inMinute := 0
	for _, r := range m.recentMoves {
		if r.at > m.now-60 {
			inMinute += r.count
		}
	}
	m.totals.MostMovesPerMinute = max(m.totals.MostMovesPerMinute, inMinute)
	return m.applyMoves(moves, sequoiatable.AssignPlanned)
}

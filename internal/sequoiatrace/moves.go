package sequoiatrace

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// input describes the live upstreams. Loads are exact decaying means, so the figures show the decisions and not the
// errors of a measurement.
func (m *model) input() sequoiaplacement.Input {
	in := sequoiaplacement.Input{
		Table: m.service(), SinceLastMove: time.Duration((m.now - m.lastMove) * float64(time.Second)),
	}
	for _, s := range m.live() {
		u := sequoiaplacement.Upstream{
			Incarnation: s.id(), FailureDomain: s.FailureDomain, Slots: s.Slots, LoadAge: time.Second,
			Uptime: time.Duration((m.now - s.joined) * float64(time.Second)), BusySlots: s.average,
			HasReport: true, ReportedBusySlots: s.average,
		}
		if m.header.Divided {
			m.addLoads(&u)
		}
		if s.lies {
			u.ReportedBusySlots = s.lie
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
			if m.keyLoad[k] >= leastListedKeyBusySlots {
				keys = append(keys, k)
			}
		}
	}
	slices.SortFunc(keys, func(a, b int) int { return cmp.Or(cmp.Compare(m.keyLoad[b], m.keyLoad[a]), cmp.Compare(a, b)) })
	listed := map[uint32]float64{}
	for _, k := range keys[:min(len(keys), reportedKeys)] {
		u.Keys = append(u.Keys, sequoiaplacement.KeyLoad{Key: m.keyNames[k], BusySlots: m.keyLoad[k]})
		listed[m.keyShard[k]] += m.keyLoad[k]
	}
	var shards []sequoiaplacement.ShardLoad
	for _, n := range m.owned(u.Incarnation) {
		shards = append(shards, sequoiaplacement.ShardLoad{Shard: n, BusySlots: max(0, m.shardLoad[n]-listed[n])})
	}
	slices.SortStableFunc(shards, func(a, b sequoiaplacement.ShardLoad) int { return cmp.Compare(b.BusySlots, a.BusySlots) })
	u.Shards = shards[:min(len(shards), reportedShards)]
	u.BusySlots, u.ReportedBusySlots = total, total
}

// ownerOf is ServiceTable.Lookup without hashing the key again.
func (m *model) ownerOf(table *sequoiatable.ServiceTable, key int) sequoiatable.IncarnationID {
	if a, ok := table.HotKey(m.keyNames[key]); ok {
		return a.Owner
	}
	return table.Shard(m.keyShard[key]).Owner
}

// carryOut applies moves and closes their shards for the time that a move of the kind takes.
func (m *model) carryOut(moves []sequoiaplacement.Move, kind sequoiatable.AssignKind) error {
	for _, mv := range moves {
		if mv.From == mv.To {
			// Ends an assignment of a key without a change of owner.
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
			m.countMoves(mv, kind)
		}
	}
	return nil
}

func (m *model) countMoves(mv sequoiaplacement.Move, kind sequoiatable.AssignKind) {
	m.figures.Moves += len(mv.Shards) + len(mv.Keys)
	for _, n := range mv.Shards {
		m.figures.keysMoved += m.keysOf[n]
		if kind == sequoiatable.AssignPlanned {
			m.close(n, float64(m.keysOf[n]), max(0, m.lastEnd[n]-m.now)+plannedMoveSeconds)
		}
	}
	for _, k := range mv.Keys {
		m.figures.keysMoved++
		if kind == sequoiatable.AssignPlanned {
			n := sequoiatable.ShardOf(k, m.header.Shards)
			m.unavailable(1, max(0, m.lastEnd[n]-m.now)+plannedMoveSeconds)
		}
	}
}

func (m *model) close(shard uint32, keys, seconds float64) {
	m.closedUntil[shard] = max(m.closedUntil[shard], m.now+seconds)
	m.unavailable(keys, seconds)
}

func (m *model) unavailable(keys, seconds float64) {
	if !m.header.Divided {
		// Any upstream serves requests without a key, so a move interrupts none.
		return
	}
	m.figures.UnavailableKeySeconds += keys * seconds
	m.figures.LongestUnavailableSeconds = max(m.figures.LongestUnavailableSeconds, seconds)
}

// handle carries out an event of the trace.
func (m *model) handle(e *Event) error {
	switch e.Kind {
	case KindRate:
		m.rate = e.PerSecond
	case KindHotKey:
		m.hot[e.Key] = e.Share
	case KindSlow:
		m.server(sequoiatable.IncarnationID(e.Upstream.ID)).factor = e.Factor
	case KindLie:
		s := m.server(sequoiatable.IncarnationID(e.Upstream.ID))
		s.lies, s.lie = true, e.ReportedBusySlots
	case KindJoin:
		if err := m.join(*e.Upstream, m.now); err != nil {
			return err
		}
		m.figures.fewest += m.shareOf(e.Upstream.Slots)
	case KindLeave:
		return m.leave(m.server(sequoiatable.IncarnationID(e.Upstream.ID)))
	case KindLoseDomain:
		return m.loseDomain(e.FailureDomain)
	}
	return nil
}

func (m *model) shareOf(slots int) int {
	total := 0
	for _, s := range m.live() {
		total += s.Slots
	}
	return int(m.header.Shards) * slots / total
}

func (m *model) leave(s *server) error {
	s.leftAt = m.now
	if len(m.live()) == 0 {
		return errors.Wrap(ErrTrace, "the last upstream leaves")
	}
	shards, keys := m.owned(s.id()), m.ownedKeys(s.id())
	m.figures.fewest += len(shards) + len(keys)
	return m.carryOut(m.policy.Place(m.input(), s.id(), shards, keys), sequoiatable.AssignPlanned)
}

func (m *model) loseDomain(domain string) error {
	for _, s := range m.live() {
		if s.FailureDomain != domain {
			continue
		}
		s.lost = true
		m.takeovers = append(m.takeovers, takeover{at: m.now + takeoverSeconds, from: s})
		shards, keys := m.owned(s.id()), m.ownedKeys(s.id())
		m.figures.fewest += len(shards) + len(keys)
		for _, n := range shards {
			m.close(n, float64(m.keysOf[n]), takeoverSeconds)
		}
		m.unavailable(float64(len(keys)), takeoverSeconds)
		if err := m.apply(s.id(), sequoiatable.Change{Revoke: &sequoiatable.Revoke{Incarnation: s.id(), Reason: "Lost"}}); err != nil {
			return err
		}
	}
	if len(m.live()) == 0 {
		return errors.Wrap(ErrTrace, "all upstreams are lost")
	}
	return nil
}

func (m *model) takeOver() error {
	for len(m.takeovers) > 0 && m.takeovers[0].at <= m.now {
		lost := m.takeovers[0].from
		m.takeovers = m.takeovers[1:]
		in := m.input()
		in.AvoidFailureDomain = lost.FailureDomain
		moves := m.policy.Place(in, lost.id(), m.owned(lost.id()), m.ownedKeys(lost.id()))
		if err := m.carryOut(moves, sequoiatable.AssignTakeover); err != nil {
			return err
		}
	}
	return nil
}

// balance asks the policy for moves, but not between a loss and its takeover, when the owners of the lost
// keys are not settled.
func (m *model) balance() error {
	if len(m.takeovers) > 0 {
		return nil
	}
	moves := m.policy.Balance(m.input())
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
	m.recent = append(m.recent, balanceMoves{at: m.now, count: count})
	inMinute := 0
	for _, r := range m.recent {
		if r.at > m.now-60 {
			inMinute += r.count
		}
	}
	m.figures.MostMovesPerMinute = max(m.figures.MostMovesPerMinute, inMinute)
	return m.carryOut(moves, sequoiatable.AssignPlanned)
}

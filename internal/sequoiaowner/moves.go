package sequoiaowner

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// Release is a request to the upstream to release keys.
type Release struct {
	Range sequoiakeyspace.Range
}

// move is a range being moved to another holder, or away from a lost one.
type move struct {
	part     sequoiakeyspace.Range
	to       sequoiakeyspace.Holder
	handover string
	// released is true once the upstream no longer holds the keys; releasing is true during the release call.
	released, releasing bool
	reason              string
}

// dropStaleMoves removes moves whose keys no longer have the holder and the fence that they had when the move began.
func (c *Core) dropStaleMoves() {
	c.moves = slices.DeleteFunc(c.moves, func(m *move) bool {
		r, ok := c.table.Find(c.service(), m.part.From)
		return !ok || r.Holder != m.part.Holder || r.Fence != m.part.Fence
	})
}

// MoveCount returns the number of ranges being moved.
func (c *Core) MoveCount() int { return len(c.moves) }

// BeginMove starts to move part of one of the local upstream's ranges. It reports whether the move started.
func (c *Core) BeginMove(now time.Time, from, to sequoiakeyspace.Key, dest Member, reason string) bool {
	held := c.HeldRanges()
	i := slices.IndexFunc(held, func(r sequoiakeyspace.Range) bool { return r.Contains(from) && r.Contains(to) })
	if i < 0 || !dest.Usable() || c.evacuated[dest.Domain] || !c.RecentlyConfirmed(now) {
		return false
	}
	r := held[i]
	r.From, r.To = from, to
	if !c.Movable(now, r) || c.hasGrantInFlight(r) {
		return false
	}
	c.moves = append(c.moves, &move{part: r, to: dest.Holder(), reason: reason})
	return true
}

// Movable reports whether part of one of the local upstream's ranges may be moved once no grant of it is in flight. It may
// not while the release of its keys could not be relied on.
func (c *Core) Movable(now time.Time, r sequoiakeyspace.Range) bool {
	return !c.hasUnansweredGrant(now, r) && !c.heldWithEarlierFence(now, r)
}

// stepLeaving starts moves of all keys of an upstream that is leaving or lost, whose failure domain is being evacuated, or
// whose process is stopping. While the store may be failing, it does so only for a lost upstream: the new holder could not
// be written, and an upstream that still works would have given up its keys for nothing. Keys of an upstream that stays
// are kept, and their grants renewed, while a request in progress on them may outlast the grant.
func (c *Core) stepLeaving(now time.Time) {
	u := c.upstream
	if u.ID == "" || !u.Leaving && !u.Lost && !c.stopping && !c.evacuated[c.domain] {
		return
	}
	reason, others := ReasonLeaving, c.receivers(c.usableOthers(u.Service))
	if u.Usable() && !c.stopping {
		reason, others = ReasonEvacuation, c.sample(others)
	}
	held := slices.DeleteFunc(c.HeldRanges(), func(r sequoiakeyspace.Range) bool {
		return !u.Lost && c.heldWithEarlierFence(now, r)
	})
	if len(others) == 0 || len(held) == 0 || !u.Lost && !c.RecentlyConfirmed(now) {
		return
	}
	total := 0.0
	for _, r := range held {
		total += c.rangeLoad(r)
	}
	share := total / float64(len(others))
	fill := newFill(others, c.room)
	for _, r := range held {
		for _, part := range c.meter.Split(r, int(c.rangeLoad(r)/share+0.5)) {
			if u.Usable() && c.runsOutlastGrant(now, r, part) {
				continue
			}
			c.moves = append(c.moves, &move{part: part, to: fill.take(c.rangeLoad(part)).Holder(), reason: reason})
		}
	}
}

// runsOutlastGrant reports whether a request in progress on part of a range may take longer than the confirmed grant of
// the range lasts. It would fail if the keys were released now, or run beside those of the next holder.
func (c *Core) runsOutlastGrant(now time.Time, r, part sequoiakeyspace.Range) bool {
	g, longest := c.grants[grantKey(r)], c.longestRun(part.From, part.To)
	return g != nil && longest > 0 && now.Add(longest).After(g.confirmedUntil)
}

// baseKeyLoad is added to each key's measured load, so that keys without requests are distributed too.
const baseKeyLoad = 1e-6

func (c *Core) rangeLoad(r sequoiakeyspace.Range) float64 {
	return c.meter.Sum(r.From, r.To) + baseKeyLoad*float64(r.Size())
}

// usableOthers returns the other members whose upstreams may be given keys of a service, sorted by instance. Those in
// failure domains that are being evacuated are not among them.
func (c *Core) usableOthers(service string) []Member {
	var out []Member
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[name]
		if name != c.instance && m.Upstream.Service == service && m.Usable() && !c.evacuated[m.Domain] {
			out = append(out, m)
		}
	}
	return out
}

// candidates returns the members whose upstreams may be given keys of a service: the others, then this process's own.
func (c *Core) candidates(service string) []Member {
	members := c.usableOthers(service)
	if own, ok := c.members[c.instance]; ok && own.Upstream.Service == service && own.Usable() && !c.evacuated[own.Domain] {
		members = append(members, own)
	}
	return c.receivers(members)
}

// stepMoves appends the due release calls to the actions and sets the table change for the moves whose keys are
// released. Keys count as released without a call once all grants for them have expired; a lost upstream gets no
// release call. A move for balance is dropped if a grant of its keys got no response and may still be applied.
func (c *Core) stepMoves(now time.Time, a *Actions) {
	ready := false
	c.moves = slices.DeleteFunc(c.moves, func(m *move) bool {
		return !m.released && !m.releasing && m.reason == ReasonBalance && c.hasUnansweredGrant(now, m.part)
	})
	for _, m := range c.moves {
		switch {
		case m.released:
		case c.upstream.Lost || c.allGrantsExpired(now, m):
			m.released = c.allGrantsExpired(now, m)
		case !m.releasing && !c.hasGrantInFlight(m.part) && !c.hasUnansweredGrant(now, m.part):
			m.releasing = true
			a.Releases = append(a.Releases, Release{Range: m.part})
		}
		ready = ready || m.released
	}
	if ready && c.table != nil {
		a.Write = c.planMoves()
	}
}

// allGrantsExpired reports whether every grant ever sent for the keys of a move has expired.
func (c *Core) allGrantsExpired(now time.Time, m *move) bool {
	return !c.mayHoldUnknownGrants(now) && !c.anyGrant(m.part, func(g *grant) bool { return g.sentUntil.After(now) })
}

// ReleaseDone records the result of a release call. confirmed is false if there was no response.
func (c *Core) ReleaseDone(now time.Time, req Release, handover string, confirmed bool) {
	for _, m := range c.moves {
		if m.part != req.Range {
			continue
		}
		m.releasing = false
		if confirmed {
			m.released, m.handover = true, handover
			c.MarkAlive(now)
		}
	}
}

// planMoves returns the table change that assigns the keys of all released moves to their new holders.
func (c *Core) planMoves() *Write {
	if c.registration == 0 {
		return nil
	}
	w := &Write{Releaser: Registered{c.instance, c.registration}}
	for _, m := range c.moves {
		if !m.released {
			continue
		}
		to := m.to
		if dest, ok := c.members[to.Instance]; !ok || dest.Holder() != to || !dest.Usable() || c.evacuated[dest.Domain] {
			others := c.receivers(c.usableOthers(c.service()))
			switch {
			case len(others) > 0:
				to = others[int(m.part.From)%len(others)].Holder()
			case c.upstream.Usable() && !c.stopping:
				// Nobody else may be given the keys, so they stay.
				to = c.holder()
			default:
				continue
			}
		}
		w.Changes = append(w.Changes, newChange(c.service(), m.part, to, m.handover))
		w.Reason = m.reason
	}
	if len(w.Changes) == 0 {
		return nil
	}
	return w
}

func newChange(service string, r sequoiakeyspace.Range, to sequoiakeyspace.Holder, handover string) sequoiakeyspace.Change {
	return sequoiakeyspace.Change{Service: service, From: r.From, To: r.To, Holder: to, Handover: handover, Was: r.Fence}
}

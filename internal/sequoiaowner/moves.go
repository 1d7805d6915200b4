package sequoiaowner

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// Release is an order to the upstream to give keys back.
type Release struct {
	Range sequoiakeyspace.Range
}

// move is a range on its way to another holder, or away from one that is lost.
type move struct {
	part     sequoiakeyspace.Range
	to       sequoiakeyspace.Holder
	handover string
	// released is true when the upstream no longer holds the keys. releasing is true while it is being asked.
	released, releasing bool
	reason              string
}

// dropMoves ends moves whose keys are no longer this instance's.
func (c *Core) dropMoves() {
	c.moves = slices.DeleteFunc(c.moves, func(m *move) bool {
		r, ok := c.table.Find(c.service(), m.part.From)
		return !ok || r.Holder != m.part.Holder || r.Fence != m.part.Fence
	})
}

// Moves returns the number of ranges on their way.
func (c *Core) Moves() int { return len(c.moves) }

// BeginMove starts to move a part of one of the local upstream's ranges. It reports whether the move began.
func (c *Core) BeginMove(now time.Time, from, to sequoiakeyspace.Key, dest Member, reason string) bool {
	held := c.HeldRanges()
	i := slices.IndexFunc(held, func(r sequoiakeyspace.Range) bool { return r.Contains(from) && r.Contains(to) })
	if i < 0 || !dest.Usable() || !c.fresh(now) {
		return false
	}
	r := held[i]
	r.From, r.To = from, to
	if c.uncertain(now, r) || c.granting(r) {
		return false
	}
	c.moves = append(c.moves, &move{part: r, to: dest.Holder(), reason: reason})
	return true
}

// stepLeaving begins the moves of all keys of an upstream that leaves, is lost or whose process stops. Only a lost one's
// keys may be given up while the store may be failing: nobody could write their new holder.
func (c *Core) stepLeaving(now time.Time) {
	u := c.upstream
	if u.ID == "" || !u.Leaving && !u.Lost && !c.stopping {
		return
	}
	others := c.usable(u.Service)
	held := c.HeldRanges()
	if len(others) == 0 || len(held) == 0 || !u.Lost && !c.fresh(now) {
		return
	}
	total := 0.0
	for _, r := range held {
		total += c.weight(r)
	}
	share := total / float64(len(others))
	given := make([]float64, len(others))
	for _, r := range held {
		for _, part := range c.meter.Cut(r, int(c.weight(r)/share+0.5)) {
			least := slices.Index(given, slices.Min(given))
			given[least] += c.weight(part)
			c.moves = append(c.moves, &move{part: part, to: others[least].Holder(), reason: ReasonLeaving})
		}
	}
}

// keyWeight is the load that a key counts for besides what was measured, so that keys without requests are spread too.
const keyWeight = 1e-6

func (c *Core) weight(r sequoiakeyspace.Range) float64 {
	return c.meter.Sum(r.From, r.To) + keyWeight*float64(r.Size())
}

// usable returns the other members whose upstreams may get keys of a service, in the order of their instances.
func (c *Core) usable(service string) []Member {
	var out []Member
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[name]
		if name != c.instance && m.Upstream.Service == service && m.Usable() {
			out = append(out, m)
		}
	}
	return out
}

// candidates returns the members whose upstreams may get keys of a service: the others, then this process's own.
func (c *Core) candidates(service string) []Member {
	members := c.usable(service)
	if me, ok := c.members[c.instance]; ok && me.Upstream.Service == service && me.Usable() {
		members = append(members, me)
	}
	return members
}

func (c *Core) stepMoves(now time.Time, a *Actions) {
	ready := false
	c.moves = slices.DeleteFunc(c.moves, func(m *move) bool {
		return !m.released && !m.releasing && m.reason == ReasonBalance && c.uncertain(now, m.part)
	})
	for _, m := range c.moves {
		switch {
		case m.released:
		case c.upstream.Lost || c.ended(now, m):
			m.released = c.ended(now, m)
		case !m.releasing && !c.granting(m.part) && !c.uncertain(now, m.part):
			m.releasing = true
			a.Releases = append(a.Releases, Release{Range: m.part})
		}
		ready = ready || m.released
	}
	if ready && c.table != nil {
		a.Write = c.writeMoves()
	}
}

// ended reports whether no grant that was ever sent for the keys of a move still runs.
func (c *Core) ended(now time.Time, m *move) bool {
	if now.Before(c.started.Add(defaultHold)) {
		return false
	}
	return !c.anyGrant(m.part, func(g *grant) bool { return g.latest.After(now) })
}

// Released notes the end of a release call. confirmed is false if there was no answer.
func (c *Core) Released(now time.Time, order Release, handover string, confirmed bool) {
	for _, m := range c.moves {
		if m.part != order.Range {
			continue
		}
		m.releasing = false
		if confirmed {
			m.released, m.handover = true, handover
			c.Alive(now)
		}
	}
}

// writeMoves returns the change that gives the keys of all released moves to their new holders.
func (c *Core) writeMoves() *Write {
	w := &Write{}
	for _, m := range c.moves {
		if !m.released {
			continue
		}
		to := m.to
		if dest, ok := c.members[to.Instance]; !ok || dest.Holder() != to || !dest.Usable() {
			others := c.usable(c.service())
			if len(others) == 0 {
				continue
			}
			to = others[int(m.part.From)%len(others)].Holder()
		}
		w.Changes = append(w.Changes, change(c.service(), m.part, to, m.handover))
		w.Reason = m.reason
	}
	if len(w.Changes) == 0 {
		return nil
	}
	return w
}

func change(service string, r sequoiakeyspace.Range, to sequoiakeyspace.Holder, handover string) sequoiakeyspace.Change {
	return sequoiakeyspace.Change{Service: service, From: r.From, To: r.To, Holder: to, Handover: handover, Was: r.Fence}
}

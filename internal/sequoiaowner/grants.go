package sequoiaowner

import (
	"maps"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// Grant is a request to the upstream to hold keys, or to renew an earlier grant.
type Grant struct {
	Range    sequoiakeyspace.Range
	Duration time.Duration
	Sent     time.Time
}

// grant is the state of one range's grants at the upstream.
type grant struct {
	inFlight    bool
	nextAttempt time.Time
	// confirmedUntil is the end of the grants that the upstream confirmed, sentUntil the latest end of all grants sent,
	// and unansweredUntil the latest end of those that got no response.
	confirmedUntil, sentUntil, unansweredUntil time.Time
	// assignedAt is when the table first assigned these keys to the local upstream with this fence.
	assignedAt time.Time
	refused    bool
}

// Holds reports whether the local upstream may start a request on the key now, and when the confirmed grant ends.
func (c *Core) Holds(now time.Time, service string, key sequoiakeyspace.Key) (until time.Time, ok bool) {
	if c.table == nil || service != c.upstream.Service {
		return time.Time{}, false
	}
	r, found := c.table.Find(service, key)
	if !found || r.Holder != c.holder() {
		return time.Time{}, false
	}
	for _, p := range c.grantable(r) {
		if g := c.grants[grantKey(p)]; g != nil && p.Contains(key) && g.confirmedUntil.After(now) {
			return g.confirmedUntil, true
		}
	}
	return time.Time{}, false
}

// unmovedParts returns the parts of a range that are not being moved to another holder. They are renewed separately, so
// that a renewal cannot restore keys that have been released.
func (c *Core) unmovedParts(r sequoiakeyspace.Range) []sequoiakeyspace.Range {
	parts := []sequoiakeyspace.Range{r}
	for _, m := range c.moves {
		if m.part.Fence == r.Fence {
			parts = subtract(parts, m.part)
		}
	}
	return parts
}

// subtract returns the ranges without the keys of part.
func subtract(ranges []sequoiakeyspace.Range, part sequoiakeyspace.Range) []sequoiakeyspace.Range {
	var out []sequoiakeyspace.Range
	for _, r := range ranges {
		if !overlaps(r, part) {
			out = append(out, r)
			continue
		}
		if r.From < part.From {
			left := r
			left.To = part.From - 1
			out = append(out, left)
		}
		if r.To > part.To {
			right := r
			right.From = part.To + 1
			out = append(out, right)
		}
	}
	return out
}

func overlaps(a, b sequoiakeyspace.Range) bool { return a.From <= b.To && b.From <= a.To }

// CanGrant reports whether the local upstream is known and responding, so that keys can be granted to it.
func (c *Core) CanGrant() bool {
	return c.upstream.ID != "" && !c.upstream.Lost
}

// AssignedHere reports whether the table assigns the key to this instance, whether or not it is granted.
func (c *Core) AssignedHere(service string, key sequoiakeyspace.Key) bool {
	if c.table == nil {
		return false
	}
	r, found := c.table.Find(service, key)
	return found && r.Holder.Instance == c.instance
}

// HeldRanges returns the ranges of the local upstream that are not being moved.
func (c *Core) HeldRanges() []sequoiakeyspace.Range {
	if c.table == nil {
		return nil
	}
	var held []sequoiakeyspace.Range
	for _, r := range c.table.Services[c.service()] {
		if r.Holder == c.holder() {
			held = append(held, c.grantable(r)...)
		}
	}
	return held
}

func (c *Core) holder() sequoiakeyspace.Holder {
	return sequoiakeyspace.Holder{Instance: c.instance, Upstream: c.upstream.ID, Born: c.upstream.Born}
}

// grantKey returns the key of a range in Core.grants: the range without the fields that may change while the upstream
// holds it.
func grantKey(r sequoiakeyspace.Range) sequoiakeyspace.Range {
	return sequoiakeyspace.Range{From: r.From, To: r.To, Fence: r.Fence}
}

// HeldFor returns how long the table has assigned one of the local upstream's ranges to it.
func (c *Core) HeldFor(now time.Time, r sequoiakeyspace.Range) time.Duration {
	if g := c.grants[grantKey(r)]; g != nil {
		return now.Sub(g.assignedAt)
	}
	return 0
}

// anyGrant reports whether any grant that overlaps the keys, with their fence or an earlier one, satisfies a condition.
func (c *Core) anyGrant(part sequoiakeyspace.Range, condition func(g *grant) bool) bool {
	for key, g := range c.grants {
		if key.Fence <= part.Fence && overlaps(key, part) && condition(g) {
			return true
		}
	}
	return false
}

// heldWithEarlierFence reports whether the upstream may hold some of the keys with an earlier fence only. They must be
// granted with the current one before a release of it can be relied on.
func (c *Core) heldWithEarlierFence(now time.Time, r sequoiakeyspace.Range) bool {
	earlier := false
	for key, g := range c.grants {
		if !overlaps(key, r) {
			continue
		}
		if key.Fence == r.Fence && g.confirmedUntil.After(now) {
			return false
		}
		earlier = earlier || key.Fence < r.Fence && g.sentUntil.After(now)
	}
	return earlier
}

// hasUnansweredGrant reports whether a grant of some of the keys got no response and may still be applied, even after a
// release. It may be one that this process does not know.
func (c *Core) hasUnansweredGrant(now time.Time, part sequoiakeyspace.Range) bool {
	return c.mayHoldUnknownGrants(now) || c.anyGrant(part, func(g *grant) bool { return g.unansweredUntil.After(now) })
}

// mayHoldUnknownGrants reports whether the local upstream may hold keys by grants that are not in Core.grants: those of
// the process that ran on the instance before this one, and those sent while this process took the upstream for an
// earlier incarnation.
func (c *Core) mayHoldUnknownGrants(now time.Time) bool {
	return now.Before(c.grantsKnownSince.Add(grantDuration))
}

// hasGrantInFlight reports whether a grant of some of the keys is being sent.
func (c *Core) hasGrantInFlight(part sequoiakeyspace.Range) bool {
	return c.anyGrant(part, func(g *grant) bool { return g.inFlight })
}

// upstreamTimeout is how long the local upstream may be silent. One that holds keys responds to renewals; otherwise
// there are only its announcements, some of which arrive late.
func (c *Core) upstreamTimeout() time.Duration {
	for _, g := range c.grants {
		if g.confirmedUntil.After(c.lastSeen) {
			return holderTimeout
		}
	}
	return maxMissedAnnouncements * c.heartbeat
}

// stepGrants appends the due grants and renewals to the actions and deletes the state of grants that have ended.
func (c *Core) stepGrants(now time.Time, a *Actions) {
	if c.upstream.ID == "" {
		return
	}
	end := c.AuthorityUntil()
	current := map[sequoiakeyspace.Range]bool{}
	for _, r := range c.HeldRanges() {
		key := grantKey(r)
		current[key] = true
		g := c.grants[key]
		if g == nil {
			g = c.newGrant(now, key)
			c.grants[key] = g
		}
		duration := time.Duration(float64(min(grantDuration, end.Sub(now))) * (1 - clockDrift))
		if g.inFlight || g.refused || c.upstream.Lost || duration < minGrantDuration || now.Before(g.nextAttempt) {
			continue
		}
		g.inFlight = true
		g.sentUntil = later(g.sentUntil, now.Add(grantDuration))
		a.Grants = append(a.Grants, Grant{Range: r, Duration: duration, Sent: now})
	}
	maps.DeleteFunc(c.grants, func(key sequoiakeyspace.Range, g *grant) bool {
		return !current[key] && !g.inFlight && !g.sentUntil.After(now)
	})
}

// newGrant returns the state of a range that is new in the table. A part of a larger grant inherits that grant's state,
// since the upstream holds it with the same fence.
func (c *Core) newGrant(now time.Time, key sequoiakeyspace.Range) *grant {
	g := &grant{assignedAt: now}
	for k, old := range c.grants {
		if k.Fence == key.Fence && k.From <= key.From && key.To <= k.To {
			g.confirmedUntil, g.sentUntil, g.unansweredUntil, g.nextAttempt = old.confirmedUntil, old.sentUntil, old.unansweredUntil, old.nextAttempt
			g.assignedAt = old.assignedAt
		}
	}
	return g
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// GrantDone records the result of a grant call: confirmed if the upstream accepted it, fenced if the upstream has seen
// a higher fence, neither if there was no response.
func (c *Core) GrantDone(now time.Time, req Grant, confirmed, fenced bool) {
	g := c.grants[grantKey(req.Range)]
	if g == nil {
		return
	}
	g.inFlight = false
	switch {
	case fenced:
		g.refused = true
		g.confirmedUntil = time.Time{}
	case confirmed:
		c.MarkAlive(now)
		g.confirmedUntil = later(g.confirmedUntil, req.Sent.Add(req.Duration))
		g.nextAttempt = req.Sent.Add(renewInterval)
	default:
		g.unansweredUntil = later(g.unansweredUntil, req.Sent.Add(grantDuration))
		g.nextAttempt = now.Add(grantRetryDelay)
	}
}

// refusedRange returns a range whose grant the upstream refused because of a higher fence, which means that the table
// is out of date.
func (c *Core) refusedRange() *sequoiakeyspace.Range {
	for key, g := range c.grants {
		if !g.refused {
			continue
		}
		if r, ok := c.table.Find(c.service(), key.From); ok && grantKey(r) == key && r.Holder == c.holder() {
			return &r
		}
	}
	return nil
}

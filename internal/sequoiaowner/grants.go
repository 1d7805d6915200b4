package sequoiaowner

import (
	"maps"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// Grant is an order to the upstream to hold keys, or to renew them.
type Grant struct {
	Range sequoiakeyspace.Range
	Hold  time.Duration
	Sent  time.Time
}

// grant is the state of one range at the upstream.
type grant struct {
	inFlight bool
	next     time.Time
	// until is the end of what the upstream has confirmed, latest the end of all that was sent, and unconfirmed the end
	// of what was sent without an answer.
	until, latest, unconfirmed time.Time
	// since is when the table first named the local upstream for these keys with this fence.
	since   time.Time
	refused bool
}

// Holds reports whether the local upstream may begin a request on the key now, and until when the confirmed grant runs.
func (c *Core) Holds(now time.Time, service string, key sequoiakeyspace.Key) (until time.Time, ok bool) {
	if c.table == nil || service != c.upstream.Service {
		return time.Time{}, false
	}
	r, found := c.table.Find(service, key)
	if !found || r.Holder != c.holder() {
		return time.Time{}, false
	}
	for _, p := range c.pieces(r) {
		if g := c.grants[grantKey(p)]; g != nil && p.Contains(key) && g.until.After(now) {
			return g.until, true
		}
	}
	return time.Time{}, false
}

// pieces returns the parts of a range that are not on their way to another holder. They are renewed by themselves, so
// that a renewal cannot bring back keys that have been released.
func (c *Core) pieces(r sequoiakeyspace.Range) []sequoiakeyspace.Range {
	pieces := []sequoiakeyspace.Range{r}
	for _, m := range c.moves {
		if m.part.Fence == r.Fence {
			pieces = without(pieces, m.part)
		}
	}
	return pieces
}

// without returns the ranges less the keys of a part.
func without(ranges []sequoiakeyspace.Range, part sequoiakeyspace.Range) []sequoiakeyspace.Range {
	var out []sequoiakeyspace.Range
	for _, r := range ranges {
		if !overlap(r, part) {
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

func overlap(a, b sequoiakeyspace.Range) bool { return a.From <= b.To && b.From <= a.To }

// Granting reports whether the process is able to grant keys to the local upstream.
func (c *Core) Granting() bool {
	return c.upstream.ID != "" && !c.upstream.Lost
}

// Mine reports whether the table names the local upstream for the key, granted or not.
func (c *Core) Mine(service string, key sequoiakeyspace.Key) bool {
	if c.table == nil {
		return false
	}
	r, found := c.table.Find(service, key)
	return found && r.Holder.Instance == c.instance
}

// HeldRanges returns the ranges of the local upstream that are not on their way.
func (c *Core) HeldRanges() []sequoiakeyspace.Range {
	if c.table == nil {
		return nil
	}
	var held []sequoiakeyspace.Range
	for _, r := range c.table.Services[c.service()] {
		if r.Holder == c.holder() {
			held = append(held, c.pieces(r)...)
		}
	}
	return held
}

func (c *Core) holder() sequoiakeyspace.Holder {
	return sequoiakeyspace.Holder{Instance: c.instance, Upstream: c.upstream.ID, Born: c.upstream.Born}
}

// grantKey leaves out what may change while the grant stays the same.
func grantKey(r sequoiakeyspace.Range) sequoiakeyspace.Range {
	return sequoiakeyspace.Range{From: r.From, To: r.To, Fence: r.Fence}
}

// HeldFor returns how long the table has named the local upstream for the keys of one of its ranges.
func (c *Core) HeldFor(now time.Time, r sequoiakeyspace.Range) time.Duration {
	if g := c.grants[grantKey(r)]; g != nil {
		return now.Sub(g.since)
	}
	return 0
}

// anyGrant reports whether a grant of some of the keys, with their fence, meets a condition.
func (c *Core) anyGrant(part sequoiakeyspace.Range, meets func(g *grant) bool) bool {
	for key, g := range c.grants {
		if key.Fence == part.Fence && overlap(key, part) && meets(g) {
			return true
		}
	}
	return false
}

// uncertain reports whether a grant of some of the keys was sent without an answer and may still be applied, after a
// release too.
func (c *Core) uncertain(now time.Time, part sequoiakeyspace.Range) bool {
	return c.anyGrant(part, func(g *grant) bool { return g.unconfirmed.After(now) })
}

// granting reports whether a grant of some of the keys is being sent.
func (c *Core) granting(part sequoiakeyspace.Range) bool {
	return c.anyGrant(part, func(g *grant) bool { return g.inFlight })
}

// silence is how long the local upstream may show no sign of life. Renewals of grants are answered by one that holds
// keys; otherwise there are only its announcements, of which some come late.
func (c *Core) silence() time.Duration {
	for _, g := range c.grants {
		if g.until.After(c.alive) {
			return holderSilence
		}
	}
	return idleSilence * c.heartbeat
}

// stepGrants renews the local upstream's grants.
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
			g = c.adopt(now, key)
			c.grants[key] = g
		}
		hold := time.Duration(float64(min(defaultHold, end.Sub(now))) * (1 - drift))
		if g.inFlight || g.refused || c.upstream.Lost || hold < minHold || now.Before(g.next) {
			continue
		}
		g.inFlight = true
		g.latest = latest(g.latest, now.Add(defaultHold))
		a.Grants = append(a.Grants, Grant{Range: r, Hold: hold, Sent: now})
	}
	maps.DeleteFunc(c.grants, func(key sequoiakeyspace.Range, g *grant) bool {
		return !current[key] && !g.inFlight && !g.latest.After(now)
	})
}

// adopt returns the state of a range that the table names for the first time. A part of a larger grant has that
// grant's state, since the upstream holds it with the same fence.
func (c *Core) adopt(now time.Time, key sequoiakeyspace.Range) *grant {
	g := &grant{since: now}
	for k, old := range c.grants {
		if k.Fence == key.Fence && k.From <= key.From && key.To <= k.To {
			g.until, g.latest, g.unconfirmed, g.next = old.until, old.latest, old.unconfirmed, old.next
			g.since = old.since
		}
	}
	return g
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Granted notes the end of a grant call: confirmed if the upstream has taken it, fenced if it has seen a higher fence,
// neither if there was no answer.
func (c *Core) Granted(now time.Time, order Grant, confirmed, fenced bool) {
	g := c.grants[grantKey(order.Range)]
	if g == nil {
		return
	}
	g.inFlight = false
	switch {
	case fenced:
		g.refused = true
		g.until = time.Time{}
	case confirmed:
		c.Alive(now)
		g.until = latest(g.until, order.Sent.Add(order.Hold))
		g.next = order.Sent.Add(renewInterval)
	default:
		g.unconfirmed = latest(g.unconfirmed, order.Sent.Add(defaultHold))
		g.next = now.Add(retryInterval)
	}
}

// refused returns a range whose grant the upstream because of a higher fence, so that the table is out of date.
func (c *Core) refused() *sequoiakeyspace.Range {
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

package sequoiaowner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// Reasons of a change of the table.
const (
	ReasonBalance  = "Balance"
	ReasonLeaving  = "Leaving"
	ReasonRestart  = "UpstreamRestarted"
	ReasonRefused  = "GrantRefused"
	ReasonSpread   = "Spread"
	ReasonTakeover = "Takeover"
)

// Write is a change of the table. It holds only if the members named in Absent are not registered.
type Write struct {
	// Changes are the proposed assignments. Spread, if set, gives all keys of a service to holders for the first time.
	Changes sequoiakeyspace.Changes
	Spread  string
	Holders []sequoiakeyspace.Holder
	Absent  []string
	Reason  string
}

// Apply makes the write's changes to a table and returns those that still hold.
func (w *Write) Apply(t *sequoiakeyspace.Table) sequoiakeyspace.Changes {
	if w.Spread != "" && len(t.Services[w.Spread]) == 0 {
		t.Spread(w.Spread, w.Holders)
	}
	return t.Apply(w.Changes)
}

// plan returns the change of the table that is due, if any.
func (c *Core) plan(now time.Time) *Write {
	if c.table == nil || !c.fresh(now) {
		return nil
	}
	if w := c.planRenewal(); w != nil {
		return w
	}
	if w := c.planSpread(now); w != nil {
		return w
	}
	return c.planTakeover(now)
}

// planRenewal gives the keys of the local upstream's earlier life, and those that it refused, a new fence. An earlier
// life on the same instance and address has ended, so its keys wait for nothing.
func (c *Core) planRenewal() *Write {
	u := c.upstream
	if !u.Usable() || c.stopping || !c.keyed[u.Service] {
		return nil
	}
	w := &Write{Reason: ReasonRestart}
	for _, r := range c.table.Services[u.Service] {
		if r.Holder.Instance == c.instance && r.Holder != c.holder() {
			w.Changes = append(w.Changes, change(u.Service, r, c.holder(), ""))
		}
	}
	if r := c.refused(); len(w.Changes) == 0 && r != nil {
		w.Changes = append(w.Changes, change(u.Service, *r, c.holder(), r.Handover))
		w.Reason = ReasonRefused
	}
	if len(w.Changes) == 0 {
		return nil
	}
	return w
}

// planSpread assigns the keys of a service that has no holders yet.
func (c *Core) planSpread(now time.Time) *Write {
	for _, service := range slices.Sorted(maps.Keys(c.keyed)) {
		if len(c.table.Services[service]) > 0 {
			continue
		}
		members := c.candidates(service)
		slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
		if len(members) == 0 || now.Sub(c.changed) < settleTime+c.delay() {
			continue
		}
		var holders []sequoiakeyspace.Holder
		for _, m := range members {
			holders = append(holders, m.Holder())
		}
		return &Write{Spread: service, Holders: holders, Reason: ReasonSpread}
	}
	return nil
}

// planTakeover assigns the keys of members that have been missing for the duration of their authority.
func (c *Core) planTakeover(now time.Time) *Write {
	if now.Before(c.promised) || c.stopping {
		return nil
	}
	wait := DefaultAuthority
	if now.Sub(c.started) < maxAuthority+takeoverMargin {
		wait = maxAuthority
	}
	wait += takeoverMargin + c.delay()
	w := &Write{Reason: ReasonTakeover}
	for _, instance := range slices.Sorted(maps.Keys(c.absent)) {
		if now.Sub(c.absent[instance]) < wait && !c.replaced(instance) {
			continue
		}
		for service, ranges := range c.table.Services {
			members := c.candidates(service)
			if len(members) == 0 {
				continue
			}
			for _, r := range ranges {
				if r.Holder.Instance == instance {
					w.Changes = append(w.Changes, divide(len(w.Changes), service, r, members)...)
					w.Absent = append(w.Absent, instance)
				}
			}
		}
	}
	if len(w.Changes) == 0 {
		return nil
	}
	slices.Sort(w.Absent)
	w.Absent = slices.Compact(w.Absent)
	return w
}

// replaced reports whether another instance has the address of one that is missing. The platform gives an address away
// only when its machine is gone, so nothing there holds keys.
func (c *Core) replaced(instance string) bool {
	address, known := c.addresses[instance]
	for other, m := range c.members {
		if known && other != instance && m.Address == address {
			return true
		}
	}
	return false
}

// minPart is the smallest number of keys that a lost range is divided into.
const minPart = 256

// divide assigns a lost range in parts, so that its load does not fall on one upstream. first rotates the members.
func divide(first int, service string, r sequoiakeyspace.Range, members []Member) []sequoiakeyspace.Change {
	n := max(1, min(len(members), r.Size()/minPart))
	var changes []sequoiakeyspace.Change
	for i := range n {
		part := r
		part.From = r.From + sequoiakeyspace.Key(i*r.Size()/n)
		part.To = r.From + sequoiakeyspace.Key((i+1)*r.Size()/n-1)
		changes = append(changes, change(service, part, members[(first+i)%len(members)].Holder(), ""))
	}
	return changes
}

// delay returns how long this process waits before a change that any other may make too.
func (c *Core) delay() time.Duration {
	rank := slices.Index(slices.Sorted(maps.Keys(c.members)), c.instance)
	return time.Duration(min(max(rank, 0), 8)) * rankDelay
}

// Written notes the end of a write. After one that failed the table must be read, and the change be made again until it
// is known to hold: a write without an answer may still be carried out.
func (c *Core) Written(now time.Time, ok bool) {
	c.writing = false
	if !ok {
		c.nextWrite = now.Add(writeInterval)
		if c.takingOver {
			c.tookOver = now
		}
	}
	c.takingOver = false
}

// PutOff makes no write begin before the given time. SetTable ends it.
func (c *Core) PutOff(until time.Time) {
	if until.After(c.nextWrite) {
		c.nextWrite = until
	}
}

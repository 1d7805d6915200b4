package sequoiaowner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// Reasons for a table change.
const (
	ReasonBalance  = "Balance"
	ReasonLeaving  = "Leaving"
	ReasonRestart  = "UpstreamRestarted"
	ReasonRefused  = "GrantRefused"
	ReasonSpread   = "Spread"
	ReasonTakeover = "Takeover"
)

// Write is a table change. It is valid only if the members listed in Absent are not registered.
type Write struct {
	// Changes are the proposed assignments. Spread, if set, is the service whose keys are assigned to Holders for the
	// first time.
	Changes sequoiakeyspace.Changes
	Spread  string
	Holders []sequoiakeyspace.Holder
	Absent  []string
	Reason  string
}

// Apply applies the write to a table and returns the changes that were still valid, with their new fences.
func (w *Write) Apply(t *sequoiakeyspace.Table) sequoiakeyspace.Changes {
	if w.Spread != "" && len(t.Services[w.Spread]) == 0 {
		t.Spread(w.Spread, w.Holders)
	}
	return t.Apply(w.Changes)
}

// plan returns the table change that is due, if any.
func (c *Core) plan(now time.Time) *Write {
	if c.table == nil || !c.recentlyConfirmed(now) {
		return nil
	}
	if w := c.planNewFences(); w != nil {
		return w
	}
	if w := c.planSpread(now); w != nil {
		return w
	}
	return c.planTakeover(now)
}

// planNewFences assigns new fences to the keys of the local upstream's earlier incarnation, or to keys whose grant the
// upstream refused. An earlier incarnation on the same instance and address has ended, so its keys need no wait.
func (c *Core) planNewFences() *Write {
	u := c.upstream
	if !u.Usable() || c.stopping || !c.keyedServices[u.Service] {
		return nil
	}
	w := &Write{Reason: ReasonRestart}
	for _, r := range c.table.Services[u.Service] {
		if r.Holder.Instance == c.instance && r.Holder != c.holder() {
			w.Changes = append(w.Changes, newChange(u.Service, r, c.holder(), ""))
		}
	}
	if r := c.refusedRange(); len(w.Changes) == 0 && r != nil {
		w.Changes = append(w.Changes, newChange(u.Service, *r, c.holder(), r.Handover))
		w.Reason = ReasonRefused
	}
	if len(w.Changes) == 0 {
		return nil
	}
	return w
}

// planSpread assigns the keys of a service that has no holders yet.
func (c *Core) planSpread(now time.Time) *Write {
	for _, service := range slices.Sorted(maps.Keys(c.keyedServices)) {
		if len(c.table.Services[service]) > 0 {
			continue
		}
		members := c.candidates(service)
		slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
		if len(members) == 0 || now.Sub(c.membersChangedAt) < settleTime+c.staggerDelay() {
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

// planTakeover reassigns the keys of members that have been missing for as long as their authority may last.
func (c *Core) planTakeover(now time.Time) *Write {
	if now.Before(c.promisedUntil) || c.stopping {
		return nil
	}
	wait := DefaultAuthority
	if now.Sub(c.started) < maxAuthority+takeoverMargin {
		wait = maxAuthority
	}
	wait += takeoverMargin + c.staggerDelay()
	w := &Write{Reason: ReasonTakeover}
	for _, instance := range slices.Sorted(maps.Keys(c.missingSince)) {
		if now.Sub(c.missingSince[instance]) < wait && !c.addressReused(instance) {
			continue
		}
		for service, ranges := range c.table.Services {
			members := c.candidates(service)
			if len(members) == 0 {
				continue
			}
			for _, r := range ranges {
				if r.Holder.Instance == instance {
					w.Changes = append(w.Changes, divideRange(len(w.Changes), service, r, members)...)
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

// addressReused reports whether another instance has the address of a missing one. The platform reuses an address only
// after its machine is gone, so nothing at the old instance holds keys.
func (c *Core) addressReused(instance string) bool {
	address, known := c.lastAddresses[instance]
	for other, m := range c.members {
		if known && other != instance && m.Address == address {
			return true
		}
	}
	return false
}

// minPartSize is the smallest number of keys per part when a lost range is divided.
const minPartSize = 256

// divideRange splits a lost range among members, so that its load does not fall on one upstream. first is the index of
// the member that gets the first part.
func divideRange(first int, service string, r sequoiakeyspace.Range, members []Member) []sequoiakeyspace.Change {
	n := max(1, min(len(members), r.Size()/minPartSize))
	var changes []sequoiakeyspace.Change
	for i := range n {
		part := r
		part.From = r.From + sequoiakeyspace.Key(i*r.Size()/n)
		part.To = r.From + sequoiakeyspace.Key((i+1)*r.Size()/n-1)
		changes = append(changes, newChange(service, part, members[(first+i)%len(members)].Holder(), ""))
	}
	return changes
}

// staggerDelay returns how long this process waits before a change that other processes may make too.
func (c *Core) staggerDelay() time.Duration {
	rank := slices.Index(slices.Sorted(maps.Keys(c.members)), c.instance)
	return time.Duration(min(max(rank, 0), 8)) * staggerInterval
}

// WriteDone records the result of a write. After a failed write the table must be read and the change repeated until it
// is known to be applied: a write without a response may still be applied.
func (c *Core) WriteDone(now time.Time, ok bool) {
	c.writing = false
	if !ok {
		c.nextWrite = now.Add(writeRetryDelay)
		if c.takeoverInFlight {
			c.lastFailedTakeover = now
		}
	}
	c.takeoverInFlight = false
}

// DelayWrites prevents writes from starting before the given time. SetTable ends the delay.
func (c *Core) DelayWrites(until time.Time) {
	if until.After(c.nextWrite) {
		c.nextWrite = until
	}
}

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
	ReasonRestored = "StoreRestored"
	ReasonSettled  = "Settled"
	// ReasonEvacuation is the move of keys out of a failure domain that is being evacuated.
	ReasonEvacuation = "Evacuation"
)

// Write is a table change. It is valid only while its conditions hold: those in Absent and Releaser.
type Write struct {
	// Changes are the proposed assignments. Spread, if set, is the service whose keys are assigned to Holders for the
	// first time.
	Changes sequoiakeyspace.Changes
	Spread  string
	Holders []sequoiakeyspace.Holder
	Absent  []Absence
	// Releaser, if it names an instance, is the process whose upstream has released the keys.
	Releaser Registered
	// Recovery, if set, replaces the table. It is not sent to other processes.
	Recovery *Recovery `cbor:"-"`
	Reason   string
}

// Registered is a condition of a move: the process that released the keys is still the one that is registered on its
// instance. Its successor reads and grants the keys only after it has rewritten the registration record, so a move that
// is written later than that is refused.
type Registered struct {
	Instance string
	// Registration is the revision of the instance's registration record.
	Registration uint64
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
	if c.Recovering() {
		if w := c.planRecovery(now); w != nil || c.unrecovered() {
			return w
		}
		return c.planNewFences()
	}
	if c.table == nil || !c.RecentlyConfirmed(now) {
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
	if c.table == nil || !u.Usable() || c.stopping || !c.keyedServices[u.Service] {
		return nil
	}
	w := &Write{Reason: ReasonRestart}
	for _, r := range c.table.Services[u.Service] {
		if r.Holder.Instance == c.instance && r.Holder != c.holder() && c.settled(r) {
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

// WriteResult is the result of a write of the table.
type WriteResult int

// Results of a write.
const (
	// WriteApplied means that the table contains the changes.
	WriteApplied WriteResult = iota
	// WriteConflict means that a condition of the write does not hold, so that it will never be applied.
	WriteConflict
	// WriteRefused means that the write was not executed for another reason and will never be applied.
	WriteRefused
	// WriteInDoubt means that the write may have been applied, or may be applied later while its conditions hold.
	WriteInDoubt
)

// doubt is a takeover that may be applied as long as the table has the given revision.
type doubt struct {
	absent   []Absence
	revision uint64
}

// WriteDone records the result of the write that Step returned last. Unless it was applied, the table must be read and
// the change is proposed again.
func (c *Core) WriteDone(now time.Time, result WriteResult) {
	w := c.writing
	c.writing = nil
	if w == nil || result == WriteApplied {
		return
	}
	c.nextWrite = now.Add(writeRetryDelay)
	switch {
	case result == WriteConflict:
		c.dropAbsences(w.Absent)
	case result == WriteInDoubt && len(w.Absent) > 0:
		c.inDoubt = append(c.inDoubt, doubt{w.Absent, c.revision})
	}
}

// DelayWrites prevents writes from starting before the given time. SetTable ends the delay.
func (c *Core) DelayWrites(until time.Time) {
	if until.After(c.nextWrite) {
		c.nextWrite = until
	}
}

package sequoiacontrol

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// initialWait tracks the delay before keys without an owner are assigned.
type initialWait struct {
	index         uint64
	eligibleCount int
	startedAt     time.Time
	// changedAt is when the number of eligible members last changed.
	changedAt time.Time
	unowned   KeySet
}

// proposeInitialAssignments assigns keys without an owner, after a delay that lets the members of a starting fleet
// join.
func (c *Core) proposeInitialAssignments(b *batch) {
	for _, name := range c.table.ServiceNames() {
		if !c.isPlanner(name) {
			delete(c.initialWaits, name)
			continue
		}
		w := c.updateInitialWait(name)
		settled := c.now.Sub(w.changedAt) >= c.opt.timings.InitialWait
		expired := c.now.Sub(w.startedAt) >= c.opt.timings.InitialWaitLimit
		if settled || expired {
			c.proposePlacement(b, sequoiatable.AssignInitial, 0, w.unowned)
		}
	}
}

func (c *Core) updateInitialWait(name string) *initialWait {
	w := c.initialWaits[name]
	if w == nil {
		w = &initialWait{startedAt: c.now, changedAt: c.now}
		c.initialWaits[name] = w
	}
	if w.index == c.table.Index {
		return w
	}
	w.index = c.table.Index
	w.unowned = ownedKeys(c.table.Service(name), 0)
	if n := len(c.placementInput(name).Upstreams); n != w.eligibleCount {
		w.eligibleCount = n
		w.changedAt = c.now
	}
	return w
}

// advanceBalancing asks owners to move keys where the policy finds a better balance. It does nothing without a lease,
// because another process may have become the planner.
func (c *Core) advanceBalancing() {
	if c.now.Sub(c.balancedAt) < c.opt.timings.BalanceInterval || c.store.failing || !c.leaseEnd().After(c.now) {
		return
	}
	c.balancedAt = c.now
	for _, name := range c.table.ServiceNames() {
		if !c.isPlanner(name) {
			continue
		}
		for _, m := range c.opt.policy.Balance(c.placementInput(name)) {
			r := &Release{Keys: KeySet{Service: name, Shards: m.Shards, Keys: m.Keys}, To: m.To, Reason: m.Reason}
			c.sendRelease(m.From, r)
			// A merge moves no key and is requested again until the log contains it, so it must not delay moves.
			if m.From != m.To {
				c.lastMoveAt[name] = c.now
			}
		}
	}
}

func (c *Core) sendRelease(owner sequoiatable.IncarnationID, r *Release) {
	if owner == c.self {
		c.handleRelease(r)
		return
	}
	if c.liveMember(owner) != nil {
		c.send(owner, Message{Release: r})
	}
}

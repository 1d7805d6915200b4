package sequoiacontrol

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// initialWait delays the first assignment of keys without an owner.
type initialWait struct {
	index    uint64
	eligible int
	since    time.Time
	changed  time.Time
	unowned  KeySet
}

// wantInitial assigns keys without an owner, after a wait that lets a starting fleet assemble.
func (c *Core) wantInitial(b *batch) {
	for _, name := range c.table.ServiceNames() {
		if !c.isPlanner(name) {
			delete(c.initialWaits, name)
			continue
		}
		w := c.waitInitial(name)
		settled := c.now.Sub(w.changed) >= c.opt.timings.InitialWait
		limit := c.now.Sub(w.since) >= c.opt.timings.InitialWaitLimit
		if settled || limit {
			c.proposePlacement(b, sequoiatable.AssignInitial, 0, w.unowned)
		}
	}
}

func (c *Core) waitInitial(name string) *initialWait {
	w := c.initialWaits[name]
	if w == nil {
		w = &initialWait{since: c.now, changed: c.now}
		c.initialWaits[name] = w
	}
	if w.index == c.table.Index {
		return w
	}
	w.index = c.table.Index
	w.unowned = ownedKeys(c.table.Service(name), 0)
	if n := len(c.placementInput(name).Upstreams); n != w.eligible {
		w.eligible = n
		w.changed = c.now
	}
	return w
}

// advanceLoad asks owners to move keys where the policy wants a better balance. Without a lease another process may
// be the planner by now.
func (c *Core) advanceLoad() {
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
			// A merge at its owner is proposed until the log has it and moves no key, so it must not delay moves.
			if m.From != m.To {
				c.lastMoveAt[name] = c.now
			}
		}
	}
}

func (c *Core) sendRelease(owner sequoiatable.IncarnationID, r *Release) {
	if owner == c.self {
		c.release(r)
		return
	}
	if c.liveMember(owner) != nil {
		c.send(owner, Message{Release: r})
	}
}

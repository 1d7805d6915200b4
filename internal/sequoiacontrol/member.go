package sequoiacontrol

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// descriptionInterval is the minimum time between two changes of the member's own description.
const descriptionInterval = time.Second

// description returns the member record that this process publishes in the table. Without an upstream that takes new
// keys it names no service, so that the member is assigned none.
func (c *Core) description() sequoiatable.Member {
	m := c.opt.member
	m.Incarnation = c.self
	if c.upstream != nil && !c.upstream.Draining && c.drain == nil {
		m.Service = c.upstream.Service
		m.Slots = c.upstream.Slots
	}
	return m
}

// proposeMembership adds the change that joins, updates the description or leaves, if one is needed.
func (c *Core) proposeMembership(b *batch) {
	m := c.table.Member(c.self)
	if c.stopping() && (m == nil || c.drain.leaving) {
		if m != nil && m.Owned > 0 {
			c.proposeRevoke(b, c.self, "Drained")
		} else if m != nil {
			b.add(sequoiatable.Change{Leave: &sequoiatable.Leave{Incarnation: c.self}}, origin{})
		}
		return
	}
	if c.selfRevoke || (m != nil && (m.Revoked() || m.Member == c.description())) {
		return
	}
	waiting := c.now.Before(c.joinAfter)
	if waiting && (m != nil || c.upstream == nil) && c.drain == nil {
		return
	}
	proposed := func() { c.joinAfter = c.now.Add(descriptionInterval) }
	b.add(sequoiatable.Change{Join: &sequoiatable.Join{Member: c.description()}}, origin{onProposed: proposed})
}

// updateOwnState applies the state of this process in the table, such as its revocation by another process.
func (c *Core) updateOwnState() {
	c.findPredecessors()
	m := c.table.Member(c.self)
	if m != nil && !m.Revoked() {
		c.joined = true
		return
	}
	if m == nil && c.stopping() {
		c.joined = false
		return
	}
	if c.joined && !c.stopped() {
		c.renewIncarnation("Revoked")
	}
}

// renewIncarnation abandons the current incarnation and takes a new identifier. Keys that were closed for a move are
// opened: this process no longer owns them, so held requests are routed elsewhere or wait for the takeover.
func (c *Core) renewIncarnation(reason string) {
	c.emit(Record{Own: true, Decision: "NewIncarnation", Previous: c.self, Reason: reason})
	c.formerLeaseEnds[c.self] = c.publishedLeaseEnd
	c.self = c.newIncarnationID()
	c.joined = false
	c.selfRevoke = false
	c.publishedLeaseEnd = time.Time{}
	c.joinAfter = c.now.Add(c.opt.timings.ResendInterval)
	clear(c.plannerSince)
	c.authority.Reset()
	c.publish()
	for _, m := range c.moves {
		c.emit(OpenKeys{Move: m.id})
		m.finish(ErrNoOwner)
	}
	c.moves = nil
	if c.drain != nil {
		c.drain.leaving = true
	}
}

func (c *Core) handleUpstream(ev Upstream) {
	if ev.Gone {
		c.upstream = nil
		return
	}
	c.upstream = &ev
}

// advanceSelfRevoke decides to revoke the current incarnation when its local upstream is silent or has changed its
// service, since requests in progress may never end. An upstream that returns before the revocation is proposed cancels
// it.
func (c *Core) advanceSelfRevoke() {
	m := c.liveMember(c.self)
	if m == nil || c.revokePending() {
		return
	}
	lost := c.upstream == nil || (m.Service != "" && c.upstream.Service != m.Service)
	if !lost || m.Owned == 0 {
		c.upstreamLostAt = time.Time{}
		c.selfRevoke = false
		return
	}
	if c.upstreamLostAt.IsZero() {
		c.upstreamLostAt = c.now
	}
	c.selfRevoke = c.selfRevoke || c.storeRespondedSince(c.upstreamLostAt)
}

func (c *Core) revokePending() bool {
	if c.pending == nil {
		return false
	}
	for _, o := range c.pending.origins {
		if o.revoked == c.self {
			return true
		}
	}
	return false
}

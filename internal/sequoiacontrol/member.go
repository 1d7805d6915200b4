package sequoiacontrol

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// descriptionInterval separates two changes of the member's own description.
const descriptionInterval = time.Second

// description is the member as the others should see it. Without a service it gets no new keys.
func (c *Core) description() sequoiatable.Member {
	m := c.opt.member
	m.Incarnation = c.self
	if c.upstream != nil && !c.upstream.Draining && c.drain == nil {
		m.Service = c.upstream.Service
		m.Slots = c.upstream.Slots
	}
	return m
}

// wantMembership joins, corrects the description, or leaves.
func (c *Core) wantMembership(b *batch) {
	m := c.table.Member(c.self)
	if c.stopping() && (m == nil || c.drain.leaving) {
		if m != nil && m.Owned > 0 {
			c.wantRevoke(b, c.self, "Drained")
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

// noticeOwnState follows what the log says of this process.
func (c *Core) noticeOwnState() {
	c.notePredecessors()
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

// renewIncarnation gives up the incarnation and takes a new identifier (L6). Keys that were closed for a move are
// opened: this process no longer owns them, so held requests are routed elsewhere or wait for the takeover.
func (c *Core) renewIncarnation(reason string) {
	c.emit(Record{Own: true, Decision: "NewIncarnation", Previous: c.self, Reason: reason})
	c.former[c.self] = c.leaseOut
	c.self = c.newIncarnation()
	c.joined = false
	c.selfRevoke = false
	c.leaseOut = time.Time{}
	c.joinAfter = c.now.Add(c.opt.timings.Resend)
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

func (c *Core) upstreamAnnounced(ev Upstream) {
	if ev.Gone {
		c.upstream = nil
		return
	}
	c.upstream = &ev
}

// advanceSelfRevoke gives up the incarnation when the upstream beside it is silent or has changed its service, since
// requests in progress may never end. Until the revocation is written, a returning upstream cancels it.
func (c *Core) advanceSelfRevoke() {
	m := c.live(c.self)
	if m == nil || c.revokePending() {
		return
	}
	lost := c.upstream == nil || (m.Service != "" && c.upstream.Service != m.Service)
	if !lost || m.Owned == 0 {
		c.lostSince = time.Time{}
		c.selfRevoke = false
		return
	}
	if c.lostSince.IsZero() {
		c.lostSince = c.now
	}
	c.selfRevoke = c.selfRevoke || c.storeRespondedSince(c.lostSince)
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

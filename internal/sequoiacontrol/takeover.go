package sequoiacontrol

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// suspicionExpires ends a suspicion that is neither confirmed nor reported again.
const suspicionExpires = time.Second

// suspicion is a holder that a witness has reported as silent.
type suspicion struct {
	holder   sequoiatable.IncarnationID
	startAt  time.Time
	reported time.Time
	askedAt  time.Time
	// silent is when each witness last said that the holder is silent.
	silent      map[sequoiatable.IncarnationID]time.Time
	confirmedAt time.Time
}

// suspect starts or refreshes a suspicion. The delay by position leaves the revocation to the first planner if it is
// alive.
func (c *Core) suspect(holder sequoiatable.IncarnationID) *suspicion {
	if c.live(holder) == nil || holder == c.self {
		return nil
	}
	s := c.suspects[holder]
	if s == nil {
		delay := time.Duration(c.position(holder)) * c.opt.timings.PlannerDelay
		s = &suspicion{
			holder: holder, startAt: c.now.Add(delay), silent: map[sequoiatable.IncarnationID]time.Time{},
		}
		c.suspects[holder] = s
	}
	s.reported = c.now
	return s
}

// position returns this process's position among the planners, one after the last if it is none of them. Witnesses
// that are no planners have that position too.
func (c *Core) position(except sequoiatable.IncarnationID) int {
	planners := c.planners(except)
	for i, id := range planners {
		if id == c.self {
			return i
		}
	}
	return len(planners)
}

func (c *Core) suspectReported(from, holder sequoiatable.IncarnationID) {
	if s := c.suspect(holder); s != nil {
		s.silent[from] = c.now
	}
}

func (c *Core) suspectReply(from sequoiatable.IncarnationID, m *SuspectReply) {
	c.recordLossReply(from, m)
	s := c.suspects[m.Holder]
	if s == nil {
		return
	}
	if m.Silent {
		s.silent[from] = c.now
		return
	}
	delete(s.silent, from)
}

func (c *Core) advanceSuspects() {
	for _, id := range sortedKeys(c.suspects) {
		s := c.suspects[id]
		if c.live(id) == nil || c.now.Sub(s.reported) > suspicionExpires {
			delete(c.suspects, id)
			continue
		}
		if c.now.Before(s.startAt) {
			continue
		}
		if !c.authority.Confirm(s) {
			s.confirmedAt = time.Time{}
			continue
		}
		if s.confirmedAt.IsZero() {
			s.confirmedAt = c.now
		}
	}
}

// wantRevocations revokes all confirmed suspects in one entry, once the oldest has waited for others.
func (c *Core) wantRevocations(b *batch) {
	due := false
	for _, s := range c.suspects {
		if !s.confirmedAt.IsZero() && c.now.Sub(s.confirmedAt) >= c.opt.timings.SuspectBatch {
			due = true
		}
	}
	for _, id := range sortedKeys(c.suspects) {
		if due && !c.suspects[id].confirmedAt.IsZero() {
			c.wantRevoke(b, id, "Silent")
		}
	}
	for _, id := range sortedKeys(c.confirmed) {
		c.wantRevoke(b, id, "LossConfirmed")
	}
	if c.selfRevoke {
		c.wantRevoke(b, c.self, "UpstreamSilent")
	}
	c.wantPredecessorRevocations(b)
	c.wantRemovals(b)
}

func (c *Core) wantRevoke(b *batch, id sequoiatable.IncarnationID, reason string) {
	if c.live(id) == nil {
		return
	}
	change := sequoiatable.Change{Revoke: &sequoiatable.Revoke{Incarnation: id, Reason: reason}}
	b.add(change, origin{revoked: id})
}

// wantRemovals removes members that have had no witnesses for a long time.
func (c *Core) wantRemovals(b *batch) {
	me := c.live(c.self)
	if me == nil || !c.authority.Eligible(me) || len(c.view.unwatched) == 0 {
		return
	}
	position := c.position(0)
	wait := c.opt.timings.WithoutWitnesses + time.Duration(position)*c.opt.timings.PlannerDelay
	if position >= witnessCount || c.now.Sub(c.resumedAt) < wait {
		return
	}
	for _, id := range c.view.unwatched {
		if c.now.Sub(c.firstSeen[id]) >= wait {
			c.wantRevoke(b, id, "NoWitnesses")
		}
	}
}

// takeover is the end of a revoked holder's lease and the assignment of its keys to others.
type takeover struct {
	holder      sequoiatable.IncarnationID
	revokeIndex uint64
	since       time.Time
	startAt     time.Time
	askedAt     time.Time
	// ends is when the support of each witness, or the holder's own lease, ends by this process's clock.
	ends  map[sequoiatable.IncarnationID]time.Time
	ready bool
}

// advanceTakeovers takes the keys of revoked members. The process that revoked a member starts at once; the planners
// follow later, in case that process is lost.
func (c *Core) advanceTakeovers() {
	for _, id := range c.view.revoked {
		if c.takeovers[id] == nil {
			c.startTakeover(c.table.Member(id))
		}
	}
	for _, id := range sortedKeys(c.takeovers) {
		t := c.takeovers[id]
		if c.table.Member(id) == nil {
			delete(c.takeovers, id)
			continue
		}
		if !c.now.Before(t.startAt) && !t.ready {
			t.ready = c.authority.Fence(t) || c.lossConfirmed(t)
		}
	}
}

func (c *Core) startTakeover(m *sequoiatable.MemberState) {
	t := &takeover{
		holder: m.Incarnation, revokeIndex: m.RevokeIndex, since: c.now, startAt: c.now,
		ends: map[sequoiatable.IncarnationID]time.Time{},
	}
	if !c.revoked(m) {
		position := c.position(m.Incarnation)
		t.startAt = c.now.Add(c.opt.timings.Lease + time.Duration(position+1)*c.opt.timings.PlannerDelay)
	}
	c.takeovers[m.Incarnation] = t
}

// revoked reports whether this process wrote the entry that revoked the member.
func (c *Core) revoked(m *sequoiatable.MemberState) bool {
	if _, ok := c.former[m.Incarnation]; ok {
		return true
	}
	if _, ok := c.predecessors[m.Incarnation]; ok {
		return true
	}
	entries, ok := c.log.after(m.RevokeIndex - 1)
	return ok && len(entries) > 0 && c.isSelf(entries[0].Writer)
}

// lossConfirmed reports whether an operator has confirmed that the holder is lost. A lease that was valid when the
// revocation was written has then ended, as long as no witness has renewed it since.
func (c *Core) lossConfirmed(t *takeover) bool {
	return c.confirmed[t.holder] && c.now.Sub(t.since) >= c.opt.timings.Lease
}

// wantTakeovers assigns the keys of holders whose lease has ended.
func (c *Core) wantTakeovers(b *batch) {
	for _, id := range sortedKeys(c.takeovers) {
		if !c.takeovers[id].ready {
			continue
		}
		for _, name := range c.table.ServiceNames() {
			if c.servicePlanner(name) == 0 {
				continue
			}
			set := ownedKeys(c.table.Service(name), id)
			c.wantPlaced(b, sequoiatable.AssignTakeover, id, set)
		}
	}
}

// wantPlaced assigns keys to the members that the policy chooses.
func (c *Core) wantPlaced(b *batch, kind sequoiatable.AssignKind, from sequoiatable.IncarnationID, set KeySet) {
	if set.empty() {
		return
	}
	in := c.input(set.Service)
	if len(in.Upstreams) == 0 {
		return
	}
	if kind == sequoiatable.AssignTakeover {
		in.AvoidFailureDomain = c.table.Member(from).FailureDomain
	}
	for _, m := range c.opt.policy.Place(in, from, set.Shards, set.Keys) {
		if len(m.Shards) == 0 && len(m.Keys) == 0 {
			continue
		}
		b.add(sequoiatable.Change{Assign: &sequoiatable.Assign{
			Service: set.Service, Kind: kind, From: from, To: m.To, Shards: m.Shards, Keys: m.Keys, Reason: m.Reason,
		}}, origin{})
	}
}

package sequoiacontrol

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// suspicionTimeout is how long a suspicion is kept after its last report.
const suspicionTimeout = time.Second

// suspicion tracks a holder that a witness has reported as silent.
type suspicion struct {
	holder     sequoiatable.IncarnationID
	actAt      time.Time
	reportedAt time.Time
	askedAt    time.Time
	// silentAt is when each witness last reported that the holder is silent.
	silentAt    map[sequoiatable.IncarnationID]time.Time
	confirmedAt time.Time
}

// suspect starts or refreshes a suspicion. The delay grows with the planner position, so that the first planner does
// the revocation if it is alive.
func (c *Core) suspect(holder sequoiatable.IncarnationID) *suspicion {
	if c.liveMember(holder) == nil || holder == c.self {
		return nil
	}
	s := c.suspects[holder]
	if s == nil {
		delay := time.Duration(c.plannerPosition(holder)) * c.opt.timings.PlannerDelay
		s = &suspicion{
			holder: holder, actAt: c.now.Add(delay), silentAt: map[sequoiatable.IncarnationID]time.Time{},
		}
		c.suspects[holder] = s
	}
	s.reportedAt = c.now
	return s
}

// plannerPosition returns the zero-based position of this process among the planners. A process that is not a planner,
// which may still be a witness, gets the position after the last one.
func (c *Core) plannerPosition(except sequoiatable.IncarnationID) int {
	planners := c.planners(except)
	for i, id := range planners {
		if id == c.self {
			return i
		}
	}
	return len(planners)
}

func (c *Core) handleSuspect(from, holder sequoiatable.IncarnationID) {
	if s := c.suspect(holder); s != nil {
		s.silentAt[from] = c.now
	}
}

func (c *Core) handleSuspectReply(from sequoiatable.IncarnationID, m *SuspectReply) {
	c.recordLossReply(from, m)
	s := c.suspects[m.Holder]
	if s == nil {
		return
	}
	if m.Silent {
		s.silentAt[from] = c.now
		return
	}
	delete(s.silentAt, from)
}

func (c *Core) advanceSuspects() {
	for _, id := range sortedKeys(c.suspects) {
		s := c.suspects[id]
		if c.liveMember(id) == nil || c.now.Sub(s.reportedAt) > suspicionTimeout {
			delete(c.suspects, id)
			continue
		}
		if c.now.Before(s.actAt) {
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

// proposeRevocations adds the revocations that are due. Confirmed suspects are revoked together in one entry, once the
// first of them has been confirmed for SuspectBatchDelay.
func (c *Core) proposeRevocations(b *batch) {
	due := false
	for _, s := range c.suspects {
		if !s.confirmedAt.IsZero() && c.now.Sub(s.confirmedAt) >= c.opt.timings.SuspectBatchDelay {
			due = true
		}
	}
	for _, id := range sortedKeys(c.suspects) {
		if due && !c.suspects[id].confirmedAt.IsZero() {
			c.proposeRevoke(b, id, "Silent")
		}
	}
	for _, id := range sortedKeys(c.confirmedLosses) {
		c.proposeRevoke(b, id, "LossConfirmed")
	}
	if c.selfRevoke {
		c.proposeRevoke(b, c.self, "UpstreamSilent")
	}
	c.proposePredecessorRevocations(b)
	c.proposeRemovals(b)
}

func (c *Core) proposeRevoke(b *batch, id sequoiatable.IncarnationID, reason string) {
	if c.liveMember(id) == nil {
		return
	}
	change := sequoiatable.Change{Revoke: &sequoiatable.Revoke{Incarnation: id, Reason: reason}}
	b.add(change, origin{revoked: id})
}

// proposeRemovals revokes members that have been without witnesses for NoWitnessTimeout.
func (c *Core) proposeRemovals(b *batch) {
	self := c.liveMember(c.self)
	if self == nil || !c.authority.Eligible(self) || len(c.view.ineligible) == 0 {
		return
	}
	position := c.plannerPosition(0)
	wait := c.opt.timings.NoWitnessTimeout + time.Duration(position)*c.opt.timings.PlannerDelay
	if position >= witnessCount || c.now.Sub(c.resumedAt) < wait {
		return
	}
	for _, id := range c.view.ineligible {
		if c.now.Sub(c.firstSeen[id]) >= wait {
			c.proposeRevoke(b, id, "NoWitnesses")
		}
	}
}

// takeover tracks the end of a revoked holder's lease, after which its keys are assigned to others.
type takeover struct {
	holder           sequoiatable.IncarnationID
	revokeIndex      uint64
	revocationSeenAt time.Time
	startAt          time.Time
	askedAt          time.Time
	// leaseEnds is when the support of each witness, or the holder's own lease, ends by the clock of this process.
	leaseEnds  map[sequoiatable.IncarnationID]time.Time
	leaseEnded bool
}

// advanceTakeovers starts takeovers of revoked members and checks whether their leases have ended. The process that
// revoked a member starts at once; the planners start later, in case that process is lost.
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
		if !c.now.Before(t.startAt) && !t.leaseEnded {
			t.leaseEnded = c.authority.Fence(t) || c.lossConfirmed(t)
		}
	}
}

func (c *Core) startTakeover(m *sequoiatable.MemberState) {
	t := &takeover{
		holder: m.Incarnation, revokeIndex: m.RevokeIndex, revocationSeenAt: c.now, startAt: c.now,
		leaseEnds: map[sequoiatable.IncarnationID]time.Time{},
	}
	if !c.revokedBySelf(m) {
		position := c.plannerPosition(m.Incarnation)
		t.startAt = c.now.Add(c.opt.timings.Lease + time.Duration(position+1)*c.opt.timings.PlannerDelay)
	}
	c.takeovers[m.Incarnation] = t
}

// revokedBySelf reports whether this process wrote the entry that revoked the member. Former incarnations and
// predecessors of this process always count as revoked by it.
func (c *Core) revokedBySelf(m *sequoiatable.MemberState) bool {
	if _, ok := c.formerLeaseEnds[m.Incarnation]; ok {
		return true
	}
	if _, ok := c.predecessors[m.Incarnation]; ok {
		return true
	}
	entries, ok := c.log.after(m.RevokeIndex - 1)
	return ok && len(entries) > 0 && c.isSelf(entries[0].Writer)
}

// lossConfirmed reports whether an operator has confirmed the loss of the holder and one lease duration has passed
// since this process learned of the revocation. A lease that was valid at the revocation has then ended, provided that
// no witness has renewed it since.
func (c *Core) lossConfirmed(t *takeover) bool {
	return c.confirmedLosses[t.holder] && c.now.Sub(t.revocationSeenAt) >= c.opt.timings.Lease
}

// proposeTakeovers adds assignments for the keys of revoked holders whose lease has ended.
func (c *Core) proposeTakeovers(b *batch) {
	for _, id := range sortedKeys(c.takeovers) {
		if !c.takeovers[id].leaseEnded {
			continue
		}
		for _, name := range c.table.ServiceNames() {
			if c.servicePlanner(name) == 0 {
				continue
			}
			set := ownedKeys(c.table.Service(name), id)
			c.proposePlacement(b, sequoiatable.AssignTakeover, id, set)
		}
	}
}

// proposePlacement adds assignments of the keys to the members that the policy chooses.
func (c *Core) proposePlacement(b *batch, kind sequoiatable.AssignKind, from sequoiatable.IncarnationID, set KeySet) {
	if set.empty() {
		return
	}
	in := c.placementInput(set.Service)
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

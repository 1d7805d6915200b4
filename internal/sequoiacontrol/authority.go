package sequoiacontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Authority implements a lease protocol: how an owner's lease is renewed, expires and is ended by other processes. Only
// Core calls its functions.
type Authority struct {
	// Reset clears the lease state for a new incarnation.
	Reset func()
	// HandleEvent handles lease messages and lease events.
	HandleEvent func(ev Event)
	// Advance runs the work that is due, such as renewals.
	Advance func()
	// HandleTableChange is called after each change of the table.
	HandleTableChange func()
	// LeaseEnd returns the time at which the process must stop serving.
	LeaseEnd func() time.Time
	// Eligible reports whether a live member may own keys and be a planner.
	Eligible func(m *sequoiatable.MemberState) bool
	// Neighbours returns the members to which new log entries are sent immediately.
	Neighbours func() []sequoiatable.IncarnationID
	// ProposeChanges adds the authority's own changes to the next entry.
	ProposeChanges func(b *batch)
	// Confirm reports whether a suspect has to be revoked. It may query other processes and is called repeatedly.
	Confirm func(s *suspicion) bool
	// RecentlyRenewed reports whether this process has recently renewed the lease of a holder.
	RecentlyRenewed func(holder sequoiatable.IncarnationID) bool
	// Fence reports whether the lease of a revoked holder has ended. It may query other processes and is called
	// repeatedly.
	Fence func(t *takeover) bool
}

// StoreLeases returns the authority used as the baseline in comparisons: each incarnation has a lease in the store,
// which RenewLease actions renew.
func StoreLeases(c *Core) Authority {
	s := &storeLease{c: c, expired: map[sequoiatable.IncarnationID]bool{}}
	return Authority{
		Reset:             func() { *s = storeLease{c: c, expired: s.expired} },
		HandleEvent:       s.handle,
		Advance:           s.advance,
		HandleTableChange: func() {},
		LeaseEnd:          func() time.Time { return s.leaseEnd },
		Eligible:          func(*sequoiatable.MemberState) bool { return true },
		Neighbours:        s.neighbours,
		ProposeChanges:    func(*batch) {},
		// A suspect's lease has already ended for the holder, since the store counts it from a later time.
		Confirm:         func(*suspicion) bool { return true },
		RecentlyRenewed: func(sequoiatable.IncarnationID) bool { return false },
		Fence:           s.fence,
	}
}

type storeLease struct {
	c               *Core
	sequence        uint64
	sentAt          time.Time
	renewalInFlight bool
	leaseEnd        time.Time
	// expired holds members whose lease has ended until their revocation is in the log.
	expired map[sequoiatable.IncarnationID]bool
}

// advance renews the lease. An expired lease is not renewed; the process takes a new incarnation instead, because an
// entry that it has not read yet may have revoked the old one.
func (s *storeLease) advance() {
	t := s.c.opt.timings
	if !s.leaseEnd.IsZero() && !s.c.now.Before(s.leaseEnd) {
		s.c.renewIncarnation("LeaseExpired")
	}
	for _, id := range sortedKeys(s.expired) {
		if s.c.liveMember(id) == nil {
			delete(s.expired, id)
			continue
		}
		s.c.suspect(id)
	}
	due := s.c.now.Sub(s.sentAt) >= 2*t.RenewInterval
	timedOut := s.c.now.Sub(s.sentAt) >= t.Lease
	if s.c.selfRevoke || s.c.liveMember(s.c.self) == nil || !due || (s.renewalInFlight && !timedOut) {
		return
	}
	s.sequence++
	s.sentAt = s.c.now
	s.renewalInFlight = true
	s.c.emit(RenewLease{Incarnation: s.c.self, Sequence: s.sequence})
}

func (s *storeLease) handle(ev Event) {
	switch ev := ev.(type) {
	case LeaseRenewed:
		if ev.Incarnation != s.c.self || ev.Sequence != s.sequence {
			return
		}
		s.renewalInFlight = false
		if ev.Err == nil {
			s.leaseEnd = s.sentAt.Add(s.c.opt.timings.HolderLease)
		}
	case LeaseExpired:
		s.expired[ev.Incarnation] = true
	}
}

func (s *storeLease) neighbours() []sequoiatable.IncarnationID {
	return chooseWitnesses(s.c.table, s.c.self, nil, func(sequoiatable.IncarnationID) bool { return true })
}

func (s *storeLease) fence(t *takeover) bool {
	if end, ok := s.c.formerLeaseEnds[t.holder]; ok {
		return !s.c.now.Before(end)
	}
	return s.c.now.Sub(t.revocationSeenAt) >= s.c.opt.timings.Lease
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

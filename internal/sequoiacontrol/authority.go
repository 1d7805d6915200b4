package sequoiacontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Authority is the way in which the lease of an owner is kept alive, lost, and ended by others. Its functions are
// called by Core only.
type Authority struct {
	// Reset starts over for a new incarnation.
	Reset func()
	// Event handles messages and events that concern leases.
	Event func(ev Event)
	// Advance does what is due.
	Advance func()
	// TableChanged follows changes of the table.
	TableChanged func()
	// LeaseEnd returns the moment at which the process must stop serving.
	LeaseEnd func() time.Time
	// Eligible reports whether a live member may be given keys and plan.
	Eligible func(m *sequoiatable.MemberState) bool
	// Neighbours returns the members that get new entries at once.
	Neighbours func() []sequoiatable.IncarnationID
	// Want adds the changes that the authority wants written.
	Want func(b *batch)
	// Confirm reports whether a suspect has to be revoked. It may ask others and be called again.
	Confirm func(s *suspicion) bool
	// Renews reports whether this process has renewed the lease of a holder lately.
	Renews func(holder sequoiatable.IncarnationID) bool
	// Fence reports whether the lease of a revoked holder has ended. It may ask others and be called again.
	Fence func(t *takeover) bool
}

// StoreLeases returns the baseline: a store lease for each incarnation, renewed by RenewLease actions.
func StoreLeases(c *Core) Authority {
	s := &storeLease{c: c, expired: map[sequoiatable.IncarnationID]bool{}}
	return Authority{
		Reset:        func() { *s = storeLease{c: c, expired: s.expired} },
		Event:        s.event,
		Advance:      s.advance,
		TableChanged: func() {},
		LeaseEnd:     func() time.Time { return s.end },
		Eligible:     func(*sequoiatable.MemberState) bool { return true },
		Neighbours:   s.neighbours,
		Want:         func(*batch) {},
		Confirm:      func(*suspicion) bool { return true },
		Renews:       func(sequoiatable.IncarnationID) bool { return false },
		// A suspect's lease has ended already: the store counts it from a later moment than the holder.
		Fence: s.fence,
	}
}

type storeLease struct {
	c        *Core
	sequence uint64
	sent     time.Time
	waiting  bool
	end      time.Time
	// expired holds members whose lease has ended, until the log says that they are revoked.
	expired map[sequoiatable.IncarnationID]bool
}

// advance renews the lease. An incarnation whose lease has ended does not renew it: it may have been revoked in an
// entry that this process has not read yet.
func (s *storeLease) advance() {
	t := s.c.opt.timings
	if !s.end.IsZero() && !s.c.now.Before(s.end) {
		s.c.renewIncarnation("LeaseExpired")
	}
	for _, id := range sortedKeys(s.expired) {
		if s.c.live(id) == nil {
			delete(s.expired, id)
			continue
		}
		s.c.suspect(id)
	}
	due := s.c.now.Sub(s.sent) >= 2*t.RenewInterval
	late := s.c.now.Sub(s.sent) >= t.Lease
	if s.c.selfRevoke || s.c.live(s.c.self) == nil || !due || (s.waiting && !late) {
		return
	}
	s.sequence++
	s.sent = s.c.now
	s.waiting = true
	s.c.emit(RenewLease{Incarnation: s.c.self, Sequence: s.sequence})
}

func (s *storeLease) event(ev Event) {
	switch ev := ev.(type) {
	case LeaseRenewed:
		if ev.Incarnation != s.c.self || ev.Sequence != s.sequence {
			return
		}
		s.waiting = false
		if ev.Err == nil {
			s.end = s.sent.Add(s.c.opt.timings.HolderLease)
		}
	case LeaseExpired:
		s.expired[ev.Incarnation] = true
	}
}

func (s *storeLease) neighbours() []sequoiatable.IncarnationID {
	return chooseWitnesses(s.c.table, s.c.self, nil, func(sequoiatable.IncarnationID) bool { return true })
}

func (s *storeLease) fence(t *takeover) bool {
	if end, ok := s.c.former[t.holder]; ok {
		return !s.c.now.Before(end)
	}
	return s.c.now.Sub(t.since) >= s.c.opt.timings.Lease
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

package sequoiaowner_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

// errNoResponse is returned for a call to the model's store that times out.
var errNoResponse = errors.New("no response from the store")

// modelStore is a linearizable key-value store with leases, a history of events and writes that are applied late.
type modelStore struct {
	now      func() time.Time
	revision uint64
	items    map[string]sequoiaregistry.Item
	events   []sequoiaregistry.Item
	leases   map[uint64]time.Time
	late     []lateWrite
	down     bool
	oldEvent uint64
	// era counts the restores, and copies holds earlier states, one for each step, if the day restores the store.
	era    uint64
	copies []storeCopy
	keeps  bool
}

// storeCopy is a state of the store from which it may be restored.
type storeCopy struct {
	at       time.Time
	revision uint64
	items    map[string]sequoiaregistry.Item
	leases   map[uint64]time.Time
}

// keepCopy keeps the current state for a later restore.
func (s *modelStore) keepCopy() {
	s.copies = append(s.copies, storeCopy{s.now(), s.revision, maps.Clone(s.items), maps.Clone(s.leases)})
}

// restore returns to the state of some time ago. Leases that have ended since then are renewed once.
func (s *modelStore) restore(age time.Duration) {
	i := len(s.copies) - 1
	for i > 0 && s.now().Sub(s.copies[i].at) < age {
		i--
	}
	c := s.copies[i]
	s.copies = s.copies[:i+1]
	s.era++
	s.revision, s.items, s.leases = c.revision, maps.Clone(c.items), map[uint64]time.Time{}
	for id := range c.leases {
		s.leases[id] = s.now().Add(sequoiaregistry.LeaseTTL)
	}
	s.events = slices.DeleteFunc(s.events, func(e sequoiaregistry.Item) bool { return e.Revision > s.revision })
}

type lateWrite struct {
	at time.Time
	tx sequoiaregistry.Transaction
}

func newModelStore(now func() time.Time) *modelStore {
	return &modelStore{now: now, revision: 1, items: map[string]sequoiaregistry.Item{}, leases: map[uint64]time.Time{}}
}

// advance expires leases and applies writes that are due. An outage extends leases.
func (s *modelStore) advance(step time.Duration) {
	if s.down {
		for id := range s.leases {
			s.leases[id] = s.leases[id].Add(step)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.now().After(s.leases[id]) {
			s.endLease(id)
		}
	}
	if s.down {
		return
	}
	s.late = slices.DeleteFunc(s.late, func(l lateWrite) bool {
		if s.now().Before(l.at) {
			return false
		}
		_, _ = s.commit(l.tx)
		return true
	})
}

// endLeases ends all leases, as in an outage in which leases expire.
func (s *modelStore) endLeases() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.endLease(id)
	}
}

// endLease ends a lease; zero stands for none.
func (s *modelStore) endLease(id uint64) {
	if id == 0 {
		return
	}
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.revision++
			delete(s.items, key)
			s.events = append(s.events, sequoiaregistry.Item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
}

func (s *modelStore) commit(tx sequoiaregistry.Transaction) (uint64, error) {
	for key, revision := range tx.Expected {
		if s.items[key].Revision != revision {
			return 0, errors.WithStack(sequoiaregistry.ErrConflict)
		}
	}
	for _, it := range tx.Puts {
		if _, ok := s.leases[it.Lease]; it.Lease != 0 && !ok {
			return 0, errors.WithStack(sequoiaregistry.ErrLeaseEnded)
		}
	}
	s.revision++
	for _, it := range tx.Puts {
		it.Revision = s.revision
		s.items[it.Key] = it
		s.events = append(s.events, it)
	}
	return s.revision, nil
}

func (s *modelStore) list(prefix string) []sequoiaregistry.Item {
	var out []sequoiaregistry.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, s.items[key])
		}
	}
	return out
}

func (s *modelStore) since(prefix string, after uint64) []sequoiaregistry.Item {
	var out []sequoiaregistry.Item
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out
}

// client returns the store as one process sees it.
func (s *modelStore) client(p *process) sequoiaregistry.Store {
	eras := &sequoiaregistry.Eras{}
	combined := func(items []sequoiaregistry.Item) []sequoiaregistry.Item {
		out := slices.Clone(items)
		for i := range out {
			out[i].Revision = sequoiaregistry.Revision(s.era, out[i].Revision)
		}
		return out
	}
	reach := func() error {
		if s.down || p.is(faultCutFromStore) || p.is(faultIsolated) {
			return errors.WithStack(errNoResponse)
		}
		if p.is(faultRefused) {
			return errors.WithStack(sequoiaregistry.ErrRefused)
		}
		eras.Observe(s.era)
		return nil
	}
	return sequoiaregistry.Store{
		Get: func(_ context.Context, key string) (sequoiaregistry.Item, error) {
			if err := reach(); err != nil {
				return sequoiaregistry.Item{}, err
			}
			it, ok := s.items[key]
			it.Revision = sequoiaregistry.Revision(s.era, it.Revision)
			if !ok {
				return it, errors.WithStack(sequoiaregistry.ErrNotFound)
			}
			return it, nil
		},
		List: func(_ context.Context, prefix string) ([]sequoiaregistry.Item, uint64, error) {
			if err := reach(); err != nil {
				return nil, 0, err
			}
			return combined(s.list(prefix)), sequoiaregistry.Revision(s.era, s.revision), nil
		},
		Watch: func(_ context.Context, prefix string, after uint64, _ time.Duration) ([]sequoiaregistry.Item, uint64, error) {
			if err := reach(); err != nil {
				return nil, 0, err
			}
			after, err := eras.After(after)
			if err != nil {
				return nil, 0, err
			}
			if after < s.oldEvent {
				return nil, 0, errors.WithStack(sequoiaregistry.ErrCompacted)
			}
			return combined(s.since(prefix, after)), sequoiaregistry.Revision(s.era, s.revision), nil
		},
		Commit: func(_ context.Context, tx sequoiaregistry.Transaction) (uint64, error) {
			// The era of the conditions is the one that the process knows before the call.
			expected, _, err := eras.Expected(tx.Expected)
			if reachErr := reach(); reachErr != nil {
				return 0, reachErr
			}
			if err != nil {
				return 0, err
			}
			tx.Expected = expected
			switch {
			case p.is(faultLateWrites):
				s.late = append(s.late, lateWrite{s.now().Add(p.fault(faultLateWrites).delay), tx})
				return 0, errors.WithStack(errNoResponse)
			case p.is(faultLostAnswers):
				_, _ = s.commit(tx)
				return 0, errors.WithStack(errNoResponse)
			}
			revision, err := s.commit(tx)
			return sequoiaregistry.Revision(s.era, revision), err
		},
		NewLease: func(_ context.Context, ttl time.Duration) (uint64, error) {
			if err := reach(); err != nil {
				return 0, err
			}
			// Lease identifiers are not given out again after a restore.
			s.revision++
			id := s.era<<20 + s.revision
			s.leases[id] = s.now().Add(ttl)
			eras.AddLease(id, s.era)
			return id, nil
		},
		RenewLease: func(_ context.Context, id uint64) error {
			if err := reach(); err != nil {
				return err
			}
			if _, ok := s.leases[id]; !ok {
				return errors.WithStack(sequoiaregistry.ErrLeaseEnded)
			}
			s.leases[id] = s.now().Add(sequoiaregistry.LeaseTTL)
			return eras.CheckLease(id, s.era)
		},
		EndLease: func(_ context.Context, id uint64) error {
			if err := reach(); err != nil {
				return err
			}
			s.endLease(id)
			return nil
		},
	}
}

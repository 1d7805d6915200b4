package sequoiaregistry

import (
	"maps"
	"sync"

	"github.com/pkg/errors"
)

// revisionBits is the number of bits of a revision that hold the store's own revision. The bits above them hold the era.
const revisionBits = 40

// ErrRestored reports a call during which the store was restored from a copy. What it changed may be lost, or may have
// been applied to the copy.
var ErrRestored = errors.New("store was restored from a copy during the call")

// Revision returns the revision that orders the states of a store that may be restored from a copy. Such a store gives
// out its own revisions again; the era counts the restores.
func Revision(era, revision uint64) uint64 { return era<<revisionBits | revision }

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> revisionBits }

// StoreRevision returns the store's own revision, zero for a missing item.
func StoreRevision(revision uint64) uint64 { return revision & (1<<revisionBits - 1) }

// Eras keeps what a process knows of a store's eras. Calls that rely on a state of an earlier era fail: after a restore,
// the store's own revisions may name other states.
type Eras struct {
	mu      sync.Mutex
	known   bool
	current uint64
	// leases holds the era in which each lease was created.
	leases map[uint64]uint64
}

// Observe records the era of a response and reports whether it is the first one of a new era.
func (e *Eras) Observe(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era <= e.current {
		return false
	}
	restored := e.known
	e.known, e.current = true, era
	return restored
}

// Current returns the latest era.
func (e *Eras) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Expected returns the conditions of a transaction in the store's own revisions, and the era to which they belong. It
// returns ErrConflict if a condition belongs to an earlier era, in which case it cannot hold.
func (e *Eras) Expected(expected map[string]uint64) (map[string]uint64, uint64, error) {
	era := e.Current()
	out := make(map[string]uint64, len(expected))
	for key, revision := range expected {
		if revision != 0 && Era(revision) != era {
			return nil, era, errors.WithStack(ErrConflict)
		}
		out[key] = StoreRevision(revision)
	}
	return out, era, nil
}

// After returns the store's own revision from which to watch. It returns ErrCompacted if the revision belongs to an
// earlier era.
func (e *Eras) After(after uint64) (uint64, error) {
	if Era(after) != e.Current() {
		return 0, errors.WithStack(ErrCompacted)
	}
	return StoreRevision(after), nil
}

// AddLease records that a lease was created in an era.
func (e *Eras) AddLease(id, era uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leases == nil {
		e.leases = map[uint64]uint64{}
	}
	maps.DeleteFunc(e.leases, func(_, created uint64) bool { return created < e.current })
	e.leases[id] = era
}

// CheckLease returns ErrLeaseEnded if a lease was created before the era of a response. The store may have kept it, but
// not what was written under it.
func (e *Eras) CheckLease(id, era uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if created, ok := e.leases[id]; !ok || created != era {
		return errors.WithStack(ErrLeaseEnded)
	}
	return nil
}

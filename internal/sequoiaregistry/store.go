// Package sequoiaregistry keeps a process registered in the platform's store, and follows what the store holds: the
// members, the table of key ranges and the operator's configuration.
package sequoiaregistry

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the store. After any other error a write may have been carried out, or may be later while its condition
// holds.
var (
	// ErrNotFound reports a missing item.
	ErrNotFound = errors.New("no such item in the store")
	// ErrConflict reports a write whose condition does not hold.
	ErrConflict = errors.New("the condition of the write does not hold")
	// ErrLeaseEnded reports a lease that has ended or never was.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrNoHistory reports a watch from a revision that the store no longer has.
	ErrNoHistory = errors.New("the store no longer has this history")
	// ErrNotDone reports a call that was refused, and so has done nothing.
	ErrNotDone = errors.New("the store refused the call")
)

// Item is a key with its value and the revision of its last change.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64
	Deleted  bool
}

// Change is a write that is done as a whole if all conditions hold.
type Change struct {
	// Expected holds revisions; zero means that the key must not exist.
	Expected map[string]uint64
	Puts     []Item
}

// Exchange sends one call to the store and returns the status and the body of the answer.
type Exchange func(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error)

// Store is the platform's key-value store.
type Store struct {
	Get func(ctx context.Context, key string) (Item, error)
	// List returns all items whose keys begin with prefix and a revision from which a watch misses nothing.
	List func(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch returns the changes after a revision as soon as there are any, or none after wait, and the revision to go
	// on from.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Commit returns the revision of the write.
	Commit func(ctx context.Context, c Change) (uint64, error)
	// NewLease returns the identifier of a lease that runs for ttl unless it is kept.
	NewLease  func(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepLease func(ctx context.Context, id uint64) error
	EndLease  func(ctx context.Context, id uint64) error
}

// Package sequoiaregistry keeps a process registered in the platform's key-value store and watches the store for
// changes to the members, the table of key ranges and the operator's configuration.
package sequoiaregistry

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by Store. After any other error, a write may already have been applied, or may still be applied later
// as long as its condition holds.
var (
	// ErrNotFound reports a missing item.
	ErrNotFound = errors.New("key not found in the store")
	// ErrConflict reports a transaction whose conditions do not hold.
	ErrConflict = errors.New("transaction condition not met")
	// ErrLeaseEnded reports a lease that has ended or never existed.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrCompacted reports a watch from a revision whose events the store has discarded.
	ErrCompacted = errors.New("revision is older than the event history of the store")
	// ErrRefused reports a call that the store refused without applying any of it.
	ErrRefused = errors.New("store refused the call")
)

// Item is a key with its value and the revision of its last change; see Revision. Deleted is set for the deletion of a
// key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64
	Deleted  bool
}

// Transaction is an atomic write that is applied only if all its conditions hold.
type Transaction struct {
	// Expected maps keys to the revisions that they must have; zero means that the key must not exist.
	Expected map[string]uint64
	Puts     []Item
}

// Reply is the store's response to one call. Era counts how often the store was restored from a copy.
type Reply struct {
	Status int
	Body   []byte
	Era    uint64
}

// RoundTrip sends one call to the store and returns the response.
type RoundTrip func(ctx context.Context, method, path string, body []byte) (Reply, error)

// Store holds the operations of the platform's key-value store.
type Store struct {
	// Get returns an item. With ErrNotFound, it returns the revision that stands for a missing item in the current era.
	Get func(ctx context.Context, key string) (Item, error)
	// List returns all items whose keys begin with prefix, and a revision from which a watch misses no later change.
	List func(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch is a long poll: it returns the changes after a revision as soon as there are any, or none once wait has
	// elapsed, and the revision from which to watch next.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Commit applies a transaction and returns its revision.
	Commit func(ctx context.Context, t Transaction) (uint64, error)
	// NewLease returns the identifier of a lease that expires after ttl unless it is renewed.
	NewLease   func(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease func(ctx context.Context, id uint64) error
	EndLease   func(ctx context.Context, id uint64) error
}

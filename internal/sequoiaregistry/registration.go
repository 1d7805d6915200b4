package sequoiaregistry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// leaseTTL is how long an entry outlives the last renewal of its lease. It tolerates one lost renewal.
	leaseTTL = 2500 * time.Millisecond
	// renewInterval is the time between renewals of the lease. A renewal costs a tenth of a read.
	renewInterval = time.Second
	// CallTimeout bounds one call to the store. A slow store responds within about 250 ms.
	CallTimeout = 800 * time.Millisecond
	// registerRetryDelay is the delay before the next attempt after a failed call.
	registerRetryDelay = 150 * time.Millisecond
)

// Registration keeps the entry of one process in the store, under a lease, while the process runs.
type Registration struct {
	Store Store
	Key   string
	// Value returns the content of the entry.
	Value func() []byte
	// Now returns the time of a clock that keeps running while the instance is suspended.
	Now func() time.Time
	// ReadTable reads the table of key ranges, which may have changed while the entry was missing. It is called before
	// OnConfirmed if the entry may have been missing.
	ReadTable func(ctx context.Context) error
	// OnConfirmed is called when a response shows that the entry exists, with the time at which the call was sent.
	// OnCallFailed is called when a call has failed. After that, a renewed lease alone does not show that the entry
	// exists.
	OnConfirmed  func(sent time.Time)
	OnCallFailed func()
	// Confirmed reports whether the entry is known to exist: it was confirmed, and since then no call has failed and no
	// removal of the entry was observed.
	Confirmed func() bool
	// OnRegistered is called after each write of the entry, with its revision and its lease.
	OnRegistered func(revision, lease uint64)
	// OnError is called with the first of a series of errors, and with nil when a call succeeds again.
	OnError func(err error)

	changed chan struct{}
	lease   uint64
	written bool
	failing bool
}

// Start registers the process and renews its lease in the background until ctx ends.
func (g *Registration) Start(ctx context.Context) {
	g.changed = make(chan struct{}, 1)
	go g.run(ctx)
}

// Changed schedules another write of the entry. Call it when the result of Value has changed.
func (g *Registration) Changed() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Deregister ends the lease, which removes the entry.
func (g *Registration) Deregister(ctx context.Context) error {
	if g.lease == 0 {
		return nil
	}
	return g.Store.EndLease(ctx, g.lease)
}

func (g *Registration) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := g.ensureRegistered(ctx)
		if (err != nil) != g.failing && ctx.Err() == nil {
			g.failing = err != nil
			g.OnError(err)
		}
		if err != nil {
			g.OnCallFailed()
			if errors.Is(err, ErrLeaseEnded) {
				g.lease, g.written = 0, false
			}
			_ = sequoiatimer.Sleep(ctx, registerRetryDelay)
			continue
		}
		g.awaitRenewal(ctx)
	}
}

func (g *Registration) awaitRenewal(ctx context.Context) {
	t := time.NewTimer(renewInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.changed:
		g.written = false
	}
}

// ensureRegistered creates a lease and writes the entry if necessary, renews the lease, and confirms that the entry
// exists.
func (g *Registration) ensureRegistered(ctx context.Context) error {
	if g.lease == 0 {
		if err := g.newLease(ctx); err != nil {
			return err
		}
	}
	if !g.written {
		if err := g.write(ctx); err != nil {
			return err
		}
	}
	sent := g.Now()
	if err := g.call(ctx, func(ctx context.Context) error { return g.Store.RenewLease(ctx, g.lease) }); err != nil {
		return err
	}
	if !g.Confirmed() {
		return g.verify(ctx)
	}
	g.OnConfirmed(sent)
	return nil
}

func (g *Registration) newLease(ctx context.Context) error {
	return g.call(ctx, func(ctx context.Context) error {
		lease, err := g.Store.NewLease(ctx, leaseTTL)
		g.lease = lease
		return err
	})
}

func (g *Registration) write(ctx context.Context) error {
	return g.call(ctx, func(ctx context.Context) error {
		put := Item{Key: g.Key, Value: g.Value(), Lease: g.lease}
		revision, err := g.Store.Commit(ctx, Transaction{Puts: []Item{put}})
		if err != nil {
			return err
		}
		g.written = true
		g.OnRegistered(revision, g.lease)
		return nil
	})
}

// verify reads the entry and the table, then confirms the entry as of the time before the reads.
func (g *Registration) verify(ctx context.Context) error {
	sent := g.Now()
	return g.call(ctx, func(ctx context.Context) error {
		item, err := g.Store.Get(ctx, g.Key)
		if errors.Is(err, ErrNotFound) || err == nil && item.Lease != g.lease {
			g.written = false
			return errors.Wrapf(ErrLeaseEnded, "registration entry %s is missing or has another lease", g.Key)
		}
		if err != nil {
			return err
		}
		if err := g.ReadTable(ctx); err != nil {
			return err
		}
		g.OnConfirmed(sent)
		return nil
	})
}

func (g *Registration) call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return f(ctx)
}

package sequoiaregistry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// leaseTime is how long an entry outlives the last renewal of its lease, 2.5 s: one renewal may be lost.
	leaseTime = 2500 * time.Millisecond
	// keepInterval is the time between renewals of the lease, 1 s. A renewal costs a tenth of a read.
	keepInterval = time.Second
	// CallTimeout bounds one call to the store, 800 ms: a slow store answers within some 250 ms.
	CallTimeout = 800 * time.Millisecond
	// registerPause is the pause after a failed call.
	registerPause = 150 * time.Millisecond
)

// Registration keeps the entry of one process in the store for as long as the process lives.
type Registration struct {
	Store Store
	Key   string
	// Value returns what the entry says.
	Value func() []byte
	// Now is a clock that goes on while the instance is suspended.
	Now func() time.Time
	// Verify reads what depends on the entry, the table of keys, before a proof is given. It is called when the entry
	// may have been missing.
	Verify func(ctx context.Context) error
	// Proved is called with the time at which a call was sent whose answer shows that the entry exists. Doubted is
	// called when a call has failed, after which a renewed lease alone shows nothing.
	Proved  func(sent time.Time)
	Doubted func()
	// Verified reports whether nothing has cast doubt on the entry since the last proof.
	Verified func() bool
	// OnRegistered is called with the revision of each write of the entry.
	OnRegistered func(revision, lease uint64)
	// OnFault is called with the first error of a series, and with nil when the store answers again.
	OnFault func(err error)

	changed chan struct{}
	lease   uint64
	written bool
	failing bool
}

// Start registers and renews until ctx ends.
func (g *Registration) Start(ctx context.Context) {
	g.changed = make(chan struct{}, 1)
	go g.run(ctx)
}

// Changed makes the entry be written again.
func (g *Registration) Changed() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// End ends the lease, and with it the entry.
func (g *Registration) End(ctx context.Context) error {
	if g.lease == 0 {
		return nil
	}
	return g.Store.EndLease(ctx, g.lease)
}

func (g *Registration) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := g.step(ctx)
		if (err != nil) != g.failing && ctx.Err() == nil {
			g.failing = err != nil
			g.OnFault(err)
		}
		if err != nil {
			g.Doubted()
			if errors.Is(err, ErrLeaseEnded) {
				g.lease, g.written = 0, false
			}
			_ = sequoiatimer.Sleep(ctx, registerPause)
			continue
		}
		g.pause(ctx)
	}
}

func (g *Registration) pause(ctx context.Context) {
	t := time.NewTimer(keepInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.changed:
		g.written = false
	}
}

// step does what the entry needs: a lease, the write of the entry, a renewal.
func (g *Registration) step(ctx context.Context) error {
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
	if err := g.call(ctx, func(ctx context.Context) error { return g.Store.KeepLease(ctx, g.lease) }); err != nil {
		return err
	}
	if !g.Verified() {
		return g.verify(ctx)
	}
	g.Proved(sent)
	return nil
}

func (g *Registration) newLease(ctx context.Context) error {
	return g.call(ctx, func(ctx context.Context) error {
		lease, err := g.Store.NewLease(ctx, leaseTime)
		g.lease = lease
		return err
	})
}

func (g *Registration) write(ctx context.Context) error {
	return g.call(ctx, func(ctx context.Context) error {
		put := Item{Key: g.Key, Value: g.Value(), Lease: g.lease}
		revision, err := g.Store.Commit(ctx, Change{Puts: []Item{put}})
		if err != nil {
			return err
		}
		g.written = true
		g.OnRegistered(revision, g.lease)
		return nil
	})
}

// verify reads the entry and what depends on it. The proof counts from before the reads.
func (g *Registration) verify(ctx context.Context) error {
	sent := g.Now()
	return g.call(ctx, func(ctx context.Context) error {
		it, err := g.Store.Get(ctx, g.Key)
		if errors.Is(err, ErrNotFound) || err == nil && it.Lease != g.lease {
			g.written = false
			return errors.Wrapf(ErrLeaseEnded, "entry %s", g.Key)
		}
		if err != nil {
			return err
		}
		if err := g.Verify(ctx); err != nil {
			return err
		}
		g.Proved(sent)
		return nil
	})
}

func (g *Registration) call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return f(ctx)
}

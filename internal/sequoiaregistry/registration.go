package sequoiaregistry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// LeaseTTL is how long an entry outlives the last renewal of its lease. It tolerates one lost renewal.
	LeaseTTL = 2500 * time.Millisecond
	// RenewInterval is the time between renewals of the lease. A renewal costs a tenth of a read.
	RenewInterval = time.Second
	// CallTimeout bounds one call to the store. A slow store responds within about 250 ms.
	CallTimeout = 800 * time.Millisecond
	// RegisterRetryDelay is the delay before the next attempt after a failed call.
	RegisterRetryDelay = 150 * time.Millisecond
)

// Registration keeps the entry of one process in the store, under a lease, while the process runs.
type Registration struct {
	Store Store
	Key   string
	// RecordKey is the key of the registration record. It is under no lease, and every write of the entry rewrites it, so
	// that an unchanged record shows that the entry has not been written since.
	RecordKey string
	// Value returns the content of the entry, and Record that of the record. Each write of the entry writes both.
	Value  func() []byte
	Record func() []byte
	// OnRecord is called with the record in the store before this process writes it for the first time, and again if it
	// has changed unexpectedly. It has no value if there is none.
	OnRecord func(record Item)
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
	// OnRegistered is called after each write of the entry, with its revision, its lease and the record written with it.
	OnRegistered func(revision, lease uint64, record []byte)
	// OnError is called with the first of a series of errors, and with nil when a call succeeds again.
	OnError func(err error)

	// changed is true if the entry must be written again, and wake ends the wait for the next renewal.
	changed atomic.Bool
	wake    chan struct{}
	lease   uint64
	// record is the last known revision of the registration record, zero if there is none. It is unknown until recordRead.
	record     uint64
	recordRead bool
	written    bool
	failing    bool
	cancel     context.CancelFunc
	done       chan struct{}
}

// Start registers the process and renews its lease in the background until ctx ends.
func (g *Registration) Start(ctx context.Context) {
	g.wake, g.done = make(chan struct{}, 1), make(chan struct{})
	ctx, g.cancel = context.WithCancel(ctx)
	go func() {
		defer close(g.done)
		g.run(ctx)
	}()
}

// Changed schedules another write of the entry. Call it when the result of Value has changed.
func (g *Registration) Changed() {
	g.changed.Store(true)
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// ChangePending reports whether another write of the entry is scheduled.
func (g *Registration) ChangePending() bool { return g.changed.Load() }

// Deregister stops the renewals and ends the lease, which removes the entry.
func (g *Registration) Deregister(ctx context.Context) error {
	g.cancel()
	select {
	case <-g.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if g.lease == 0 {
		return nil
	}
	return g.Store.EndLease(ctx, g.lease)
}

func (g *Registration) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := g.Renew(ctx); err != nil {
			_ = sequoiatimer.Sleep(ctx, RegisterRetryDelay)
			continue
		}
		g.awaitRenewal(ctx)
	}
}

// Renew makes one attempt to register the process and renew its lease, and reports the result through the callbacks.
func (g *Registration) Renew(ctx context.Context) error {
	if g.changed.Swap(false) {
		g.written = false
	}
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
	}
	return err
}

func (g *Registration) awaitRenewal(ctx context.Context) {
	t := time.NewTimer(RenewInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.wake:
	}
}

// ensureRegistered reads the record if this process has not done so, creates a lease and writes the entry if necessary,
// renews the lease, and confirms that the entry exists.
func (g *Registration) ensureRegistered(ctx context.Context) error {
	if !g.recordRead {
		if err := g.call(ctx, g.readRecord); err != nil {
			return err
		}
	}
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
		lease, err := g.Store.NewLease(ctx, LeaseTTL)
		g.lease = lease
		return err
	})
}

// write writes the entry and the registration record. The condition on the record keeps a write whose response was lost
// from being applied after a later one, whose entry would then be under the lease of the earlier one.
func (g *Registration) write(ctx context.Context) error {
	return g.call(ctx, func(ctx context.Context) error {
		err := g.commit(ctx)
		if errors.Is(err, ErrConflict) {
			if err := g.readRecord(ctx); err != nil {
				return err
			}
			err = g.commit(ctx)
		}
		return err
	})
}

// commit writes the entry and the record as they are now.
func (g *Registration) commit(ctx context.Context) error {
	record := g.Record()
	revision, err := g.Store.Commit(ctx, Transaction{
		Expected: map[string]uint64{g.RecordKey: g.record},
		Puts:     []Item{{Key: g.Key, Value: g.Value(), Lease: g.lease}, {Key: g.RecordKey, Value: record}},
	})
	if err != nil {
		return err
	}
	g.written, g.record = true, revision
	g.OnRegistered(revision, g.lease, record)
	return nil
}

func (g *Registration) readRecord(ctx context.Context) error {
	it, err := g.Store.Get(ctx, g.RecordKey)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	g.record, g.recordRead = it.Revision, true
	if errors.Is(err, ErrNotFound) {
		g.record = 0
	}
	g.OnRecord(it)
	return nil
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

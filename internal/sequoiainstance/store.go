package sequoiainstance

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastore"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// storeTimeout bounds a call to the store. The result of a call that times out is unknown.
	storeTimeout = 2 * time.Second
	// watchRetryDelay is the delay after a failed Wait.
	watchRetryDelay = 200 * time.Millisecond
)

// watchTimeout is the duration of one Wait for the next log entry. Each Wait is one call to the store.
const watchTimeout = 10 * time.Second

// Store is the part of the platform's store that a process uses. It is a struct of functions so that a test can replace
// one of them.
type Store struct {
	Append          func(ctx context.Context, e sequoiatable.Entry) sequoiacontrol.Appended
	Read            func(ctx context.Context, after uint64) sequoiacontrol.LogRead
	Wait            func(ctx context.Context, after uint64, wait time.Duration) sequoiacontrol.LogRead
	WriteCheckpoint func(ctx context.Context, t *sequoiatable.Table) error
	RenewLease      func(ctx context.Context, id sequoiatable.IncarnationID) error
	// LeaseHeld reports whether the store lease of an incarnation is in force.
	LeaseHeld func(ctx context.Context, id sequoiatable.IncarnationID) (bool, error)
}

// NewStore returns a Store that calls a store client.
func NewStore(c *sequoiastore.Client) Store {
	leases := &storeLeases{client: c}
	return Store{
		Append: c.Append, Read: c.ReadLog, Wait: c.WaitLog, WriteCheckpoint: c.WriteCheckpoint,
		RenewLease: leases.renew, LeaseHeld: c.LeaseHeld,
	}
}

// storeLeases holds the store lease of the current incarnation for the StoreLeases authority.
type storeLeases struct {
	client *sequoiastore.Client
	mu     sync.Mutex
	holder sequoiatable.IncarnationID
	lease  *sequoiastore.Lease
}

func (l *storeLeases) renew(ctx context.Context, id sequoiatable.IncarnationID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease != nil && l.holder == id {
		return l.lease.Renew(ctx)
	}
	lease, err := l.client.AcquireLease(ctx, id)
	if err != nil {
		return err
	}
	l.holder, l.lease = id, lease
	return nil
}

func (in *Instance) append(e sequoiatable.Entry) {
	ctx, cancel := context.WithTimeout(in.ctx, storeTimeout)
	defer cancel()
	in.post(in.store.Append(ctx, e))
}

func (in *Instance) readLog(after uint64) {
	ctx, cancel := context.WithTimeout(in.ctx, storeTimeout)
	defer cancel()
	in.post(in.store.Read(ctx, after))
}

func (in *Instance) writeCheckpoint(t *sequoiatable.Table) {
	ctx, cancel := context.WithTimeout(in.ctx, storeTimeout)
	defer cancel()
	err := in.store.WriteCheckpoint(ctx, t)
	if errors.Is(err, sequoiastore.ErrConflict) {
		err = nil
	}
	if err != nil {
		in.logFault("CheckpointNotWritten", err)
	}
	in.post(sequoiacontrol.CheckpointWritten{Index: t.Index, Err: err})
}

// setWatch starts or stops watching the log for new entries.
func (in *Instance) setWatch(on bool) {
	if in.stopWatch != nil {
		in.stopWatch()
		in.stopWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(in.ctx)
	in.stopWatch = cancel
	in.goroutines.Go(func() { in.watchLog(ctx) })
}

func (in *Instance) watchLog(ctx context.Context) {
	after := in.snapshot.Load().Table.Index
	for ctx.Err() == nil {
		page := in.store.Wait(ctx, after, watchTimeout)
		if ctx.Err() != nil {
			return
		}
		in.post(page)
		if page.Err != nil {
			_ = sequoiatimer.Sleep(ctx, watchRetryDelay)
		}
		if n := len(page.Entries); n > 0 {
			after = page.Entries[n-1].Index
		}
		if page.Checkpoint != nil {
			after = page.Checkpoint.Index
		}
		after = max(after, in.snapshot.Load().Table.Index)
	}
}

func (in *Instance) renewLease(a sequoiacontrol.RenewLease) {
	ctx, cancel := context.WithTimeout(in.ctx, storeTimeout)
	defer cancel()
	err := in.store.RenewLease(ctx, a.Incarnation)
	in.post(sequoiacontrol.LeaseRenewed{Incarnation: a.Incarnation, Sequence: a.Sequence, Err: err})
}

// watchLeases polls the store leases of the members for the StoreLeases authority. It reports that a lease has ended
// only if an earlier poll found it in force.
func (in *Instance) watchLeases() {
	seen := map[sequoiatable.IncarnationID]bool{}
	for in.ctx.Err() == nil {
		table := in.snapshot.Load().Table
		for _, id := range table.Members() {
			in.checkLease(id, seen)
		}
		_ = sequoiatimer.Sleep(in.ctx, leasePollInterval)
	}
}

// leasePollInterval is the interval at which the StoreLeases authority checks for ended store leases.
const leasePollInterval = 500 * time.Millisecond

func (in *Instance) checkLease(id sequoiatable.IncarnationID, seen map[sequoiatable.IncarnationID]bool) {
	ctx, cancel := context.WithTimeout(in.ctx, storeTimeout)
	defer cancel()
	exists, err := in.store.LeaseHeld(ctx, id)
	switch {
	case err != nil:
	case exists:
		seen[id] = true
	case seen[id]:
		in.post(sequoiacontrol.LeaseExpired{Incarnation: id})
	}
}

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
	// storeTimeout bounds one call of the store; a call that takes longer has an unknown result.
	storeTimeout = 2 * time.Second
	// watchPause separates attempts to wait on a store that does not answer.
	watchPause = 200 * time.Millisecond
)

// watchWait is how long one wait for the next entry lasts; each wait is one call of the store.
const watchWait = 10 * time.Second

// Store is what a process needs of the platform's store. It is a struct of functions, so that a test can replace one.
type Store struct {
	Append          func(ctx context.Context, e sequoiatable.Entry) sequoiacontrol.Appended
	Read            func(ctx context.Context, after uint64) sequoiacontrol.LogRead
	Wait            func(ctx context.Context, after uint64, wait time.Duration) sequoiacontrol.LogRead
	WriteCheckpoint func(ctx context.Context, t *sequoiatable.Table) error
	RenewLease      func(ctx context.Context, id sequoiatable.IncarnationID) error
	// LeaseHeld reports whether the store lease of an incarnation is in force.
	LeaseHeld func(ctx context.Context, id sequoiatable.IncarnationID) (bool, error)
}

// NewStore returns the functions of a client.
func NewStore(c *sequoiastore.Client) Store {
	leases := &storeLeases{client: c}
	return Store{
		Append: c.Append, Read: c.ReadLog, Wait: c.WaitLog, WriteCheckpoint: c.WriteCheckpoint,
		RenewLease: leases.renew, LeaseHeld: c.LeaseHeld,
	}
}

// storeLeases keeps the store lease of the present incarnation for the StoreLeases authority.
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

// setWatch starts or stops the wait for the next entry.
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
	in.running.Go(func() { in.watch(ctx) })
}

func (in *Instance) watch(ctx context.Context) {
	after := in.snapshot.Load().Table.Index
	for ctx.Err() == nil {
		page := in.store.Wait(ctx, after, watchWait)
		if ctx.Err() != nil {
			return
		}
		in.post(page)
		if page.Err != nil {
			_ = sequoiatimer.Sleep(ctx, watchPause)
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

// watchLeases polls the store leases of the other members for the StoreLeases authority. It reports a lease as ended
// once it was seen in force before.
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

// leasePollInterval is how often the baseline looks for ended store leases.
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

package sequoiainstance

import (
	"context"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

const (
	// storeTimeout bounds one call of the store; a call that takes longer has an unknown result.
	storeTimeout = 2 * time.Second
	// watchPause separates attempts to wait on a store that does not answer.
	watchPause = 200 * time.Millisecond
)

// LogPage is what a read of the log returns. Checkpoint is set instead of Entries where the wanted entries are trimmed.
type LogPage struct {
	Entries    []sequoiatable.Entry
	Checkpoint *sequoiatable.Table
}

// Store is what a process needs of the platform's store. It is a struct of functions, so that a test can replace one.
type Store struct {
	Append          func(ctx context.Context, e sequoiatable.Entry) (sequoiacontrol.Appended, error)
	Read            func(ctx context.Context, after uint64) (LogPage, error)
	Wait            func(ctx context.Context, after uint64) (LogPage, error)
	WriteCheckpoint func(ctx context.Context, t *sequoiatable.Table) error
	RenewLease      func(ctx context.Context, id sequoiatable.IncarnationID) error
	// LeaseExists reports whether the store lease of an incarnation is in force.
	LeaseExists func(ctx context.Context, id sequoiatable.IncarnationID) (bool, error)
}

func (in *Instance) append(e sequoiatable.Entry) {
	ctx, cancel := context.WithTimeout(in.ctx, storeTimeout)
	defer cancel()
	result, err := in.store.Append(ctx, e)
	result.Index = e.Index
	result.Nonce = e.Nonce
	if err != nil {
		result.Result = sequoiacontrol.AppendUnknown
		result.Err = err
	}
	in.post(result)
}

func (in *Instance) readLog(after uint64) {
	ctx, cancel := context.WithTimeout(in.ctx, storeTimeout)
	defer cancel()
	page, err := in.store.Read(ctx, after)
	in.post(sequoiacontrol.LogRead{Entries: page.Entries, Checkpoint: page.Checkpoint, Err: err})
}

func (in *Instance) writeCheckpoint(t *sequoiatable.Table) {
	ctx, cancel := context.WithTimeout(in.ctx, storeTimeout)
	defer cancel()
	if err := in.store.WriteCheckpoint(ctx, t); err != nil {
		in.log.Warn("the checkpoint was not written", "Index", t.Index, "Err", err)
	}
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
		page, err := in.store.Wait(ctx, after)
		if ctx.Err() != nil {
			return
		}
		in.post(sequoiacontrol.LogRead{Entries: page.Entries, Checkpoint: page.Checkpoint, Err: err})
		if err != nil {
			pause(ctx, watchPause)
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
		pause(in.ctx, leasePollInterval)
	}
}

// leasePollInterval is how often the baseline looks for ended store leases.
const leasePollInterval = 500 * time.Millisecond

func (in *Instance) checkLease(id sequoiatable.IncarnationID, seen map[sequoiatable.IncarnationID]bool) {
	ctx, cancel := context.WithTimeout(in.ctx, storeTimeout)
	defer cancel()
	exists, err := in.store.LeaseExists(ctx, id)
	switch {
	case err != nil:
	case exists:
		seen[id] = true
	case seen[id]:
		in.post(sequoiacontrol.LeaseExpired{Incarnation: id})
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

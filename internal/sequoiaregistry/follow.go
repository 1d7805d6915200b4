package sequoiaregistry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// WatchGrace is how long after its wait time the response to a watch may arrive.
	WatchGrace = 600 * time.Millisecond
	// minWatchRetryDelay is the delay after the first failed list or watch call. It doubles up to maxWatchRetryDelay while
	// calls fail: the store charges for each list, also in an outage, and a configuration must be in force within 2.5 s.
	minWatchRetryDelay = 150 * time.Millisecond
	maxWatchRetryDelay = time.Second
)

// Watcher lists the items below a prefix and then reports their changes.
type Watcher struct {
	Store  Store
	Prefix string
	// Wait is the wait time of one long poll. The store counts each poll as one call, and a dead connection is detected
	// only when the poll times out.
	Wait time.Duration
	// CallLimit limits one call of Store.Watch; Wait and WatchGrace if it is zero.
	CallLimit time.Duration
	// BatchDelay, if set, returns the delay between receiving changes and the next watch, so that several changes at
	// about the same time cost one call.
	BatchDelay func() time.Duration
	// OnItems receives changes in order. A deleted item has the revision at which its deletion was observed.
	OnItems func(items []Item)
	// OnListed, if set, receives all items in place of OnItems when they are listed, with the revision of the list. Items
	// that are not among them and are older have been deleted.
	OnListed func(items []Item, revision uint64)
	// OnCurrent, if set, is called after OnItems with the time of Now before the call, up to which all changes have been
	// received.
	OnCurrent func(sent time.Time)
	// Now returns the time of a clock that keeps running while the instance is suspended.
	Now func() time.Time
	// OnError is called with the first of a series of errors, and with nil when a call succeeds again.
	OnError func(err error)

	// known maps the keys of the current items to their revisions; after is the revision from which to watch.
	known   map[string]uint64
	after   uint64
	listed  bool
	failing bool

	// interrupt cancels the call in progress.
	mu        sync.Mutex
	interrupt context.CancelFunc
}

// Run watches the prefix until ctx ends. Only a watch that succeeds ends the series of failures for which it waits longer
// and longer: a store that answers lists but no watches is listed again after each of them.
func (w *Watcher) Run(ctx context.Context) {
	delay := minWatchRetryDelay
	for ctx.Err() == nil {
		pollCtx, cancel := context.WithCancel(ctx)
		w.setInterrupt(cancel)
		watched := w.listed
		err := w.Poll(pollCtx)
		if err != nil && pollCtx.Err() == nil && !errors.Is(err, ErrCompacted) {
			_ = sequoiatimer.Sleep(pollCtx, delay)
			delay = min(2*delay, maxWatchRetryDelay)
		}
		if err == nil && watched || pollCtx.Err() != nil {
			delay = minWatchRetryDelay
		}
		cancel()
	}
}

func (w *Watcher) setInterrupt(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt = cancel
}

// Refresh makes Run repeat the call in progress, or the one that has failed, at once. Use it when the store is reached
// again: a call that was sent while the store was lost may never get a response.
func (w *Watcher) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.interrupt != nil {
		w.interrupt()
	}
}

// Poll makes one watch call and reports what it returned through the callbacks. It lists all items instead in the first
// call and after a watch that failed: the store may have discarded events since, and a watch from an earlier revision that
// begins just then gets no answer before its wait ends.
func (w *Watcher) Poll(ctx context.Context) error {
	call := w.list
	if w.listed {
		call = w.watch
	}
	sent := w.Now()
	err := call(ctx)
	w.listed = err == nil
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil && w.OnCurrent != nil {
		w.OnCurrent(sent)
	}
	if (err != nil) != w.failing {
		w.failing = err != nil
		w.OnError(err)
	}
	return err
}

func (w *Watcher) list(ctx context.Context) error {
	items, revision, err := w.Store.List(ctx, w.Prefix)
	if err != nil {
		return err
	}
	present := map[string]uint64{}
	for _, it := range items {
		present[it.Key] = it.Revision
	}
	if w.OnListed != nil {
		w.known, w.after = present, revision
		w.OnListed(items, revision)
		return nil
	}
	for key := range w.known {
		if _, ok := present[key]; !ok {
			items = append(items, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	w.known, w.after = present, revision
	w.OnItems(items)
	return nil
}

func (w *Watcher) watch(parent context.Context) error {
	limit := w.CallLimit
	if limit == 0 {
		limit = w.Wait + WatchGrace
	}
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	items, revision, err := w.Store.Watch(ctx, w.Prefix, w.after, w.Wait)
	if err != nil {
		return err
	}
	for _, it := range items {
		if it.Deleted {
			delete(w.known, it.Key)
		} else {
			w.known[it.Key] = it.Revision
		}
	}
	w.after = max(w.after, revision)
	if len(items) == 0 {
		return nil
	}
	w.OnItems(items)
	if w.BatchDelay == nil {
		return nil
	}
	if d := w.BatchDelay(); d > 0 {
		_ = sequoiatimer.Sleep(parent, d)
	}
	return nil
}

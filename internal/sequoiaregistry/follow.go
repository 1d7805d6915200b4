package sequoiaregistry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// watchGrace is how long after its wait time the response to a watch may arrive.
	watchGrace = 600 * time.Millisecond
	// watchRetryDelay is the delay after a failed list or watch call.
	watchRetryDelay = 150 * time.Millisecond
)

// Watcher lists the items below a prefix and then reports their changes.
type Watcher struct {
	Store  Store
	Prefix string
	// Wait is the wait time of one long poll. The store counts each poll as one call, and a dead connection is detected
	// only when the poll times out.
	Wait time.Duration
	// BatchDelay, if set, returns the delay between receiving changes and the next watch, so that several changes at
	// about the same time cost one call.
	BatchDelay func() time.Duration
	// OnItems receives changes in order. A deleted item has the revision at which its deletion was observed.
	OnItems func(items []Item)
	// OnError is called with the first of a series of errors, and with nil when a call succeeds again.
	OnError func(err error)

	// known maps the keys of the current items to their revisions; after is the revision from which to watch.
	known map[string]uint64
	after uint64
}

// Run watches the prefix until ctx ends. It lists all items again if the store has discarded events that the
// watcher has not received.
func (w *Watcher) Run(ctx context.Context) {
	failing := false
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = w.list(ctx)
			listed = err == nil
		} else {
			err = w.watch(ctx)
			listed = !errors.Is(err, ErrCompacted)
		}
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			w.OnError(err)
		}
		if err != nil && !errors.Is(err, ErrCompacted) {
			_ = sequoiatimer.Sleep(ctx, watchRetryDelay)
		}
	}
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
	ctx, cancel := context.WithTimeout(parent, w.Wait+watchGrace)
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
	if w.BatchDelay != nil {
		_ = sequoiatimer.Sleep(parent, w.BatchDelay())
	}
	return nil
}

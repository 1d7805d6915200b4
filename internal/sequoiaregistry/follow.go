package sequoiaregistry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// watchGrace is how long after the end of its wait the answer to a watch may come, 600 ms.
	watchGrace = 600 * time.Millisecond
	// followPause is the pause after a failed read or watch.
	followPause = 150 * time.Millisecond
)

// Follower passes on the items below a prefix and their changes.
type Follower struct {
	Store  Store
	Prefix string
	// Wait is how long a watch waits. A waiting watch counts as one call, and a connection that has gone silent is
	// noticed at its end.
	Wait time.Duration
	// Pause, if set, returns how long the follower waits after changes before it watches again, so that many changes at
	// about the same time cost one call.
	Pause func() time.Duration
	// OnItems gets changes in order. A deleted item has the revision at which it was known to be gone.
	OnItems func(items []Item)
	// OnFault is called with the first error of a series, and with nil when the store answers again.
	OnFault func(err error)

	known map[string]uint64
	after uint64
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failing := false
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = f.list(ctx)
			listed = err == nil
		} else {
			err = f.watch(ctx)
			listed = !errors.Is(err, ErrNoHistory)
		}
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			f.OnFault(err)
		}
		if err != nil && !errors.Is(err, ErrNoHistory) {
			_ = sequoiatimer.Sleep(ctx, followPause)
		}
	}
}

func (f *Follower) list(ctx context.Context) error {
	items, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	present := map[string]uint64{}
	for _, it := range items {
		present[it.Key] = it.Revision
	}
	for key := range f.known {
		if _, ok := present[key]; !ok {
			items = append(items, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	f.known, f.after = present, revision
	f.OnItems(items)
	return nil
}

func (f *Follower) watch(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, f.Wait+watchGrace)
	defer cancel()
	items, revision, err := f.Store.Watch(ctx, f.Prefix, f.after, f.Wait)
	if err != nil {
		return err
	}
	for _, it := range items {
		if it.Deleted {
			delete(f.known, it.Key)
		} else {
			f.known[it.Key] = it.Revision
		}
	}
	f.after = max(f.after, revision)
	if len(items) == 0 {
		return nil
	}
	f.OnItems(items)
	if f.Pause != nil {
		_ = sequoiatimer.Sleep(parent, f.Pause())
	}
	return nil
}

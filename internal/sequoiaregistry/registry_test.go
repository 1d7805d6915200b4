package sequoiaregistry_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Registry")
}

// fakeStore is an in-memory store that a test can make unavailable.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]sequoiaregistry.Item
	events   []sequoiaregistry.Item
	revision uint64
	leases   map[uint64]bool
	down     bool
	// firstRevision is the lowest revision from which a watch is possible.
	firstRevision uint64
}

var errDown = errors.New("the store is unavailable")

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]sequoiaregistry.Item{}, leases: map[uint64]bool{}, revision: 1}
}

func (f *fakeStore) store() sequoiaregistry.Store {
	return sequoiaregistry.Store{
		Get: f.get, List: f.list, Watch: f.watch, Commit: f.commit,
		NewLease: f.newLease, RenewLease: f.renewLease, EndLease: func(context.Context, uint64) error { return nil },
	}
}

func (f *fakeStore) get(_ context.Context, key string) (sequoiaregistry.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return sequoiaregistry.Item{}, errDown
	}
	it, ok := f.items[key]
	if !ok {
		return it, sequoiaregistry.ErrNotFound
	}
	return it, nil
}

func (f *fakeStore) list(context.Context, string) ([]sequoiaregistry.Item, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, errDown
	}
	var all []sequoiaregistry.Item
	for _, it := range f.items {
		all = append(all, it)
	}
	return all, f.revision, nil
}

func (f *fakeStore) watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]sequoiaregistry.Item, uint64, error) {
	for ctx.Err() == nil {
		f.mu.Lock()
		if f.down {
			f.mu.Unlock()
			return nil, 0, errDown
		}
		if after < f.firstRevision {
			f.mu.Unlock()
			return nil, 0, sequoiaregistry.ErrCompacted
		}
		var out []sequoiaregistry.Item
		for _, e := range f.events {
			if e.Revision > after {
				out = append(out, e)
			}
		}
		revision := f.revision
		f.mu.Unlock()
		if len(out) > 0 {
			return out, revision, nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil, after, nil
}

func (f *fakeStore) put(it sequoiaregistry.Item) {
	f.revision++
	it.Revision = f.revision
	f.items[it.Key] = it
	f.events = append(f.events, it)
}

func (f *fakeStore) remove(key string) {
	f.revision++
	delete(f.items, key)
	f.events = append(f.events, sequoiaregistry.Item{Key: key, Revision: f.revision, Deleted: true})
}

func (f *fakeStore) commit(_ context.Context, t sequoiaregistry.Transaction) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errDown
	}
	for _, it := range t.Puts {
		if it.Lease != 0 && !f.leases[it.Lease] {
			return 0, sequoiaregistry.ErrLeaseEnded
		}
		f.put(it)
	}
	return f.revision, nil
}

func (f *fakeStore) newLease(context.Context, time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errDown
	}
	id := uint64(len(f.leases) + 1)
	f.leases[id] = true
	return id, nil
}

func (f *fakeStore) renewLease(_ context.Context, id uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	if !f.leases[id] {
		return sequoiaregistry.ErrLeaseEnded
	}
	return nil
}

func (f *fakeStore) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// itemRecorder keeps the current items that a watcher has reported.
type itemRecorder struct {
	mu    sync.Mutex
	items map[string]sequoiaregistry.Item
}

func (r *itemRecorder) record(items []sequoiaregistry.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range items {
		if it.Deleted {
			delete(r.items, it.Key)
		} else {
			r.items[it.Key] = it
		}
	}
}

func (r *itemRecorder) keys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key := range r.items {
		keys = append(keys, key)
	}
	return keys
}

var _ = ginkgo.Describe("Watcher", func() {
	// Guards against an item that is kept for ever after its deletion, because the store has discarded the event.
	ginkgo.It("detects deletions whose events the store has discarded", func() {
		f := newFakeStore()
		f.put(sequoiaregistry.Item{Key: "a"})
		f.put(sequoiaregistry.Item{Key: "b"})
		r := &itemRecorder{items: map[string]sequoiaregistry.Item{}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		watcher := &sequoiaregistry.Watcher{Store: f.store(), Wait: 3 * time.Second, OnItems: r.record, OnError: func(error) {}}
		go watcher.Run(ctx)
		Eventually(r.keys).Should(ConsistOf("a", "b"))
		f.withLock(func() {
			f.remove("a")
			f.put(sequoiaregistry.Item{Key: "c"})
			f.events, f.firstRevision = nil, f.revision
		})
		Eventually(r.keys, "3s").Should(ConsistOf("b", "c"))
	})

	ginkgo.It("reports the start and the end of a store outage once each, and misses no change", func() {
		f := newFakeStore()
		r := &itemRecorder{items: map[string]sequoiaregistry.Item{}}
		reported := make(chan error, 100)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		watcher := &sequoiaregistry.Watcher{Store: f.store(), Wait: 3 * time.Second, OnItems: r.record, OnError: func(err error) { reported <- err }}
		go watcher.Run(ctx)
		f.withLock(func() { f.down = true })
		Eventually(reported).Should(Receive(MatchError(errDown)))
		f.withLock(func() {
			f.down = false
			f.put(sequoiaregistry.Item{Key: "a"})
		})
		Eventually(r.keys, "3s").Should(ConsistOf("a"))
		Eventually(reported).Should(Receive(BeNil()))
		Expect(reported).To(BeEmpty())
	})
})

// startRegistration starts a registration and returns a function that counts its confirmations.
func startRegistration(ctx context.Context, f *fakeStore) (g *sequoiaregistry.Registration, confirmations func() int) {
	var mu sync.Mutex
	n, confirmed := 0, false
	g = &sequoiaregistry.Registration{
		Store: f.store(), Key: "m", Value: func() []byte { return []byte("v") }, Now: time.Now,
		ReadTable: func(context.Context) error { return nil },
		OnConfirmed: func(time.Time) {
			mu.Lock()
			defer mu.Unlock()
			n, confirmed = n+1, true
		},
		OnCallFailed: func() {
			mu.Lock()
			defer mu.Unlock()
			confirmed = false
		},
		Confirmed: func() bool {
			mu.Lock()
			defer mu.Unlock()
			return confirmed
		},
		OnRegistered: func(uint64, uint64) {}, OnError: func(error) {},
	}
	g.Start(ctx)
	return g, func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

var _ = ginkgo.Describe("Registration", func() {
	entryLease := func(f *fakeStore) func() uint64 {
		return func() uint64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.items["m"].Lease
		}
	}

	// Guards against a process that keeps serving keys because its lease is renewed, although its entry is missing and
	// the keys may belong to another process.
	ginkgo.It("does not confirm a missing entry, and writes it again under a new lease", func() {
		f := newFakeStore()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, confirmations := startRegistration(ctx, f)
		Eventually(confirmations).Should(BeNumerically(">", 0))
		f.withLock(func() {
			f.leases[1] = false
			f.remove("m")
		})
		before := confirmations()
		Eventually(entryLease(f), "4s").Should(Equal(uint64(2)))
		Eventually(confirmations, "4s").Should(BeNumerically(">", before))
	})

	// Guards against a lease renewal that counts as confirmation although the entry was lost in an outage that did not
	// end the lease.
	ginkgo.It("verifies its entry after a failed call before the next confirmation", func() {
		f := newFakeStore()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, confirmations := startRegistration(ctx, f)
		Eventually(confirmations).Should(BeNumerically(">", 0))
		f.withLock(func() {
			f.down = true
			f.remove("m")
		})
		time.Sleep(1300 * time.Millisecond)
		f.withLock(func() { f.down = false })
		Eventually(entryLease(f), "4s").Should(BeNumerically(">", 0))
	})
})

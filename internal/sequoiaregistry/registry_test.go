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

// fakeStore is a store in memory whose answers a test can lose.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]sequoiaregistry.Item
	events   []sequoiaregistry.Item
	revision uint64
	leases   map[uint64]bool
	down     bool
	history  uint64
}

var errDown = errors.New("the store is down")

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]sequoiaregistry.Item{}, leases: map[uint64]bool{}, revision: 1}
}

func (f *fakeStore) store() sequoiaregistry.Store {
	return sequoiaregistry.Store{
		Get: f.get, List: f.list, Watch: f.watch, Commit: f.commit,
		NewLease: f.newLease, KeepLease: f.keepLease, EndLease: func(context.Context, uint64) error { return nil },
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
		if after < f.history {
			f.mu.Unlock()
			return nil, 0, sequoiaregistry.ErrNoHistory
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

func (f *fakeStore) commit(_ context.Context, c sequoiaregistry.Change) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errDown
	}
	for _, it := range c.Puts {
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

func (f *fakeStore) keepLease(_ context.Context, id uint64) error {
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

func (f *fakeStore) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// seen collects what a follower passes on.
type seen struct {
	mu    sync.Mutex
	items map[string]sequoiaregistry.Item
}

func (s *seen) take(items []sequoiaregistry.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range items {
		if it.Deleted {
			delete(s.items, it.Key)
		} else {
			s.items[it.Key] = it
		}
	}
}

func (s *seen) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		keys = append(keys, key)
	}
	return keys
}

var _ = ginkgo.Describe("Follower", func() {
	// Guards against an item that stays known for ever because it was deleted in a gap of the history.
	ginkgo.It("finds deletions in a gap of the history", func() {
		f := newFakeStore()
		f.put(sequoiaregistry.Item{Key: "a"})
		f.put(sequoiaregistry.Item{Key: "b"})
		s := &seen{items: map[string]sequoiaregistry.Item{}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		follower := &sequoiaregistry.Follower{Store: f.store(), Wait: 3 * time.Second, OnItems: s.take, OnFault: func(error) {}}
		go follower.Run(ctx)
		Eventually(s.keys).Should(ConsistOf("a", "b"))
		f.locked(func() {
			f.remove("a")
			f.put(sequoiaregistry.Item{Key: "c"})
			f.events, f.history = nil, f.revision
		})
		Eventually(s.keys, "3s").Should(ConsistOf("b", "c"))
	})

	ginkgo.It("reports the loss and the return of the store once each, and misses nothing", func() {
		f := newFakeStore()
		s := &seen{items: map[string]sequoiaregistry.Item{}}
		faults := make(chan error, 100)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		follower := &sequoiaregistry.Follower{Store: f.store(), Wait: 3 * time.Second, OnItems: s.take, OnFault: func(err error) { faults <- err }}
		go follower.Run(ctx)
		f.locked(func() { f.down = true })
		Eventually(faults).Should(Receive(MatchError(errDown)))
		f.locked(func() {
			f.down = false
			f.put(sequoiaregistry.Item{Key: "a"})
		})
		Eventually(s.keys, "3s").Should(ConsistOf("a"))
		Eventually(faults).Should(Receive(BeNil()))
		Expect(faults).To(BeEmpty())
	})
})

// registration starts a registration that counts its proofs.
func registration(ctx context.Context, f *fakeStore) (g *sequoiaregistry.Registration, proofs func() int) {
	var mu sync.Mutex
	n, verified := 0, false
	g = &sequoiaregistry.Registration{
		Store: f.store(), Key: "m", Value: func() []byte { return []byte("v") }, Now: time.Now,
		Verify: func(context.Context) error { return nil },
		Proved: func(time.Time) {
			mu.Lock()
			defer mu.Unlock()
			n, verified = n+1, true
		},
		Doubted: func() {
			mu.Lock()
			defer mu.Unlock()
			verified = false
		},
		Verified: func() bool {
			mu.Lock()
			defer mu.Unlock()
			return verified
		},
		OnRegistered: func(uint64, uint64) {}, OnFault: func(error) {},
	}
	g.Start(ctx)
	return g, func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

var _ = ginkgo.Describe("Registration", func() {
	entry := func(f *fakeStore) func() uint64 {
		return func() uint64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.items["m"].Lease
		}
	}

	// Guards against a process that goes on with keys that may be another's because its lease is renewed.
	ginkgo.It("gives no proof while its entry is missing, and writes it again with a lease that runs", func() {
		f := newFakeStore()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, proofs := registration(ctx, f)
		Eventually(proofs).Should(BeNumerically(">", 0))
		f.locked(func() {
			f.leases[1] = false
			f.remove("m")
		})
		before := proofs()
		Eventually(entry(f), "4s").Should(Equal(uint64(2)))
		Eventually(proofs, "4s").Should(BeNumerically(">", before))
	})

	// Guards against a renewal that counts although an outage took the entry away without ending the lease.
	ginkgo.It("verifies its entry after a failed call before the next proof", func() {
		f := newFakeStore()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, proofs := registration(ctx, f)
		Eventually(proofs).Should(BeNumerically(">", 0))
		f.locked(func() {
			f.down = true
			f.remove("m")
		})
		time.Sleep(1300 * time.Millisecond)
		f.locked(func() { f.down = false })
		Eventually(entry(f), "4s").Should(BeNumerically(">", 0))
	})
})

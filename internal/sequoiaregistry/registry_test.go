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
	// loseNextCommit makes the next transaction fail without a response; lost holds those transactions, which a test may
	// apply later.
	loseNextCommit bool
	lost           []sequoiaregistry.Transaction
	// hang makes watches that begin now hang until they are cancelled.
	hang bool
	// refuseWatches makes watches fail although the store is available.
	refuseWatches bool
	// lists is the number of list calls.
	lists int
}

var errDown = errors.New("the store is unavailable")

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]sequoiaregistry.Item{}, leases: map[uint64]bool{}, revision: 1}
}

func (f *fakeStore) store() sequoiaregistry.Store {
	return sequoiaregistry.Store{
		Get: f.get, List: f.list, Watch: f.watch, Commit: f.commit,
		NewLease: f.newLease, RenewLease: f.renewLease, EndLease: f.endLease,
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
	f.lists++
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
	f.mu.Lock()
	hang := f.hang
	f.mu.Unlock()
	if hang {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	for ctx.Err() == nil {
		f.mu.Lock()
		if f.down || f.refuseWatches {
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
	if f.loseNextCommit {
		f.loseNextCommit = false
		f.lost = append(f.lost, t)
		return 0, errDown
	}
	return f.apply(t)
}

// apply applies a transaction. The caller must hold mu.
func (f *fakeStore) apply(t sequoiaregistry.Transaction) (uint64, error) {
	for key, revision := range t.Expected {
		if f.items[key].Revision != revision {
			return 0, sequoiaregistry.ErrConflict
		}
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

func (f *fakeStore) endLease(_ context.Context, id uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases[id] = false
	for key, it := range f.items {
		if it.Lease == id {
			f.remove(key)
		}
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
		watcher := &sequoiaregistry.Watcher{Store: f.store(), Wait: 3 * time.Second, Now: time.Now, OnItems: r.record, OnError: func(error) {}}
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
		watcher := &sequoiaregistry.Watcher{Store: f.store(), Wait: 3 * time.Second, Now: time.Now, OnItems: r.record, OnError: func(err error) { reported <- err }}
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

	// Guards against a change that is missed until a watch ends which began just as the store discarded its events
	// (review/more/configuration.toml: all processes 3.7 to 4.4 s behind).
	ginkgo.It("lists the items after a watch that failed", func() {
		f := newFakeStore()
		r := &itemRecorder{items: map[string]sequoiaregistry.Item{}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		failed := make(chan error, 10)
		watcher := &sequoiaregistry.Watcher{
			Store: f.store(), Wait: time.Minute, Now: time.Now, OnItems: r.record, OnError: func(err error) { failed <- err },
		}
		f.put(sequoiaregistry.Item{Key: "a"})
		go watcher.Run(ctx)
		Eventually(r.keys).Should(ConsistOf("a"))
		f.withLock(func() { f.down = true })
		Eventually(failed).Should(Receive(MatchError(errDown)))
		f.withLock(func() {
			f.put(sequoiaregistry.Item{Key: "b"})
			f.events, f.down, f.hang = nil, false, true
		})
		Eventually(r.keys).Should(ConsistOf("a", "b"))
	})

	// Guards against changes that are seen only when a watch call times out that was sent while the store was lost, which
	// takes up to 6.6 s.
	ginkgo.It("repeats a call that hangs when it is told to", func() {
		f := newFakeStore()
		r := &itemRecorder{items: map[string]sequoiaregistry.Item{}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reported := make(chan error, 100)
		watcher := &sequoiaregistry.Watcher{
			Store: f.store(), Wait: time.Minute, Now: time.Now, OnItems: r.record, OnError: func(err error) { reported <- err },
		}
		f.withLock(func() {
			f.hang = true
			f.put(sequoiaregistry.Item{Key: "a"})
		})
		go watcher.Run(ctx)
		Eventually(r.keys).Should(ConsistOf("a"))
		f.withLock(func() {
			f.hang = false
			f.put(sequoiaregistry.Item{Key: "b"})
		})
		Consistently(r.keys, "300ms").Should(ConsistOf("a"))
		watcher.Refresh()
		Eventually(r.keys).Should(ConsistOf("a", "b"))
		Expect(reported).To(BeEmpty(), "a repeated call is no fault")
	})

	// Guards against an outage in which each process lists the items every 150 ms, which the store charges for.
	ginkgo.DescribeTable("calls a store that fails less and less often, and at once when it is told to",
		func(fail func(f *fakeStore)) {
			f := newFakeStore()
			r := &itemRecorder{items: map[string]sequoiaregistry.Item{}}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			watcher := &sequoiaregistry.Watcher{
				Store: f.store(), Wait: time.Minute, Now: time.Now, OnItems: r.record, OnError: func(error) {},
			}
			f.put(sequoiaregistry.Item{Key: "a"})
			go watcher.Run(ctx)
			Eventually(r.keys).Should(ConsistOf("a"))
			lists := func() (n int) {
				f.withLock(func() { n = f.lists })
				return n
			}
			before := lists()
			f.withLock(func() { fail(f) })
			// After 0.15, 0.45, 1.05 and 2.05 s.
			Eventually(func() int { return lists() - before }, "5s", "1ms").Should(Equal(4))
			Consistently(func() int { return lists() - before }, "500ms").Should(Equal(4))
			f.withLock(func() {
				f.down, f.refuseWatches = false, false
				f.put(sequoiaregistry.Item{Key: "b"})
			})
			watcher.Refresh()
			Eventually(r.keys, "200ms", "5ms").Should(ConsistOf("a", "b"))

			f.withLock(func() { f.put(sequoiaregistry.Item{Key: "c"}) })
			Eventually(r.keys, "200ms", "5ms").Should(ConsistOf("a", "b", "c"))
			f.withLock(func() { f.refuseWatches = true })
			before = lists()
			Eventually(func() int { return lists() - before }, "300ms", "5ms").Should(Equal(1), "a new series of failures")
		},
		ginkgo.Entry("that is down", func(f *fakeStore) { f.down = true }),
		ginkgo.Entry("that answers lists and refuses watches", func(f *fakeStore) { f.refuseWatches = true }),
	)

	ginkgo.It("reports up to which time it has received all changes", func() {
		f := newFakeStore()
		now := time.Unix(100, 0)
		var current []time.Time
		watcher := &sequoiaregistry.Watcher{
			Store: f.store(), Wait: time.Millisecond, OnItems: func([]sequoiaregistry.Item) { now = now.Add(time.Second) },
			OnError: func(error) {}, Now: func() time.Time { return now },
			OnCurrent: func(sent time.Time) { current = append(current, sent) },
		}
		Expect(watcher.Poll(context.Background())).To(Succeed())
		f.withLock(func() { f.put(sequoiaregistry.Item{Key: "a"}) })
		Expect(watcher.Poll(context.Background())).To(Succeed())
		f.withLock(func() { f.down = true })
		Expect(watcher.Poll(context.Background())).NotTo(Succeed())
		Expect(current).To(Equal([]time.Time{time.Unix(100, 0), time.Unix(101, 0)}))
	})
})

// startRegistration starts a registration and returns a function that counts its confirmations.
func startRegistration(ctx context.Context, f *fakeStore) (g *sequoiaregistry.Registration, confirmations func() int) {
	var mu sync.Mutex
	n, confirmed := 0, false
	g = &sequoiaregistry.Registration{
		Store: f.store(), Key: "m", RecordKey: "r", Value: func() []byte { return []byte("v") }, Now: time.Now,
		Record: func() []byte { return []byte("p") }, OnRecord: func(sequoiaregistry.Item) {},
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
		OnRegistered: func(uint64, uint64, []byte) {}, OnError: func(error) {},
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

	// Guards against a write that got no response and is applied after a later one: it would put the entry under the
	// lease of an earlier registration, which ends while the renewals of the later one still succeed.
	ginkgo.It("writes its entry so that an earlier write cannot be applied after it", func() {
		f := newFakeStore()
		f.loseNextCommit = true
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, confirmations := startRegistration(ctx, f)
		Eventually(confirmations, "4s").Should(BeNumerically(">", 0))
		f.withLock(func() {
			Expect(f.lost).To(HaveLen(1))
			_, err := f.apply(f.lost[0])
			Expect(err).To(MatchError(sequoiaregistry.ErrConflict))
		})
	})

	// Guards against a process that cannot register because its predecessor on the instance has left a record.
	ginkgo.It("rewrites the registration record with each write of the entry, under no lease", func() {
		f := newFakeStore()
		f.put(sequoiaregistry.Item{Key: "r", Value: []byte("predecessor")})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g, confirmations := startRegistration(ctx, f)
		Eventually(confirmations).Should(BeNumerically(">", 0))
		record := func() (it sequoiaregistry.Item) {
			f.withLock(func() { it = f.items["r"] })
			return it
		}
		first := record()
		Expect(first).To(HaveField("Value", []byte("p")))
		Expect(first.Lease).To(BeZero())
		g.Changed()
		Eventually(record).Should(HaveField("Revision", BeNumerically(">", first.Revision)))
	})

	// Guards against an entry that stays after a planned end, because the process registers again while it ends its lease.
	ginkgo.It("does not register again after it has deregistered", func() {
		f := newFakeStore()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g, confirmations := startRegistration(ctx, f)
		Eventually(confirmations).Should(BeNumerically(">", 0))
		g.Changed()
		Expect(g.Deregister(ctx)).To(Succeed())
		registered := func() (ok bool) {
			f.withLock(func() { _, ok = f.items["m"] })
			return ok
		}
		Expect(registered()).To(BeFalse())
		g.Changed()
		Consistently(registered, "1500ms").Should(BeFalse())
	})
})

var _ = ginkgo.Describe("Eras", func() {
	// Guards against revisions of a restored store that are taken for those of before, since the store gives them out again.
	ginkgo.It("orders states by era and then by the store's revision, and rejects conditions of an earlier era", func() {
		var e sequoiaregistry.Eras
		Expect(e.Observe(3)).To(BeFalse(), "the first response")
		before := sequoiaregistry.Revision(3, 500)
		after := sequoiaregistry.Revision(4, 20)
		Expect(after).To(BeNumerically(">", before))
		expected, era, err := e.Expected(map[string]uint64{"a": before, "b": 0})
		Expect(err).NotTo(HaveOccurred())
		Expect(era).To(Equal(uint64(3)))
		Expect(expected).To(Equal(map[string]uint64{"a": 500, "b": 0}))
		e.AddLease(7, 3)
		Expect(e.CheckLease(7, 3)).To(Succeed())

		Expect(e.Observe(4)).To(BeTrue())
		Expect(e.Observe(3)).To(BeFalse(), "a late response")
		_, _, err = e.Expected(map[string]uint64{"a": before})
		Expect(err).To(MatchError(sequoiaregistry.ErrConflict))
		_, err = e.After(before)
		Expect(err).To(MatchError(sequoiaregistry.ErrCompacted))
		from, err := e.After(after)
		Expect(err).NotTo(HaveOccurred())
		Expect(from).To(Equal(uint64(20)))
		Expect(e.CheckLease(7, 4)).To(MatchError(sequoiaregistry.ErrLeaseEnded))
	})
})

package sequoiamemory_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Memory")
}

const (
	kilobyte = 1 << 10
	limit    = 800 * kilobyte
	// largeLimit is what large holdings may use.
	largeLimit = limit / 8 * 7
)

func ExampleAccount() {
	a := sequoiamemory.New(1 << 20)
	h, ok := a.Reserve(sequoiamemory.Request, 4<<10)
	fmt.Println(ok, a.Held(sequoiamemory.Request))
	fmt.Println(h.Grow(2<<20), h.Grow(4<<10), a.Held(sequoiamemory.Request))
	h.Release()
	h.Release()
	fmt.Println(a.Held(sequoiamemory.Request))
	// Output:
	// true 4096
	// false true 8192
	// 0
}

// clock is a time that tests advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

var _ = ginkgo.Describe("Account", func() {
	var (
		a *sequoiamemory.Account
		c *clock
	)
	ginkgo.BeforeEach(func() {
		c = &clock{now: time.Unix(1000, 0)}
		a = sequoiamemory.New(limit, sequoiamemory.WithClock(c.Now))
	})
	reserve := func(kind sequoiamemory.Kind, n int64) *sequoiamemory.Holding {
		ginkgo.GinkgoHelper()
		h, ok := a.Reserve(kind, n)
		Expect(ok).To(BeTrue())
		return h
	}
	refused := func(kind sequoiamemory.Kind, n int64) {
		ginkgo.GinkgoHelper()
		_, ok := a.Reserve(kind, n)
		Expect(ok).To(BeFalse())
	}

	// Guards against large bodies that leave no room for the many requests without one.
	ginkgo.It("keeps an eighth for small requests, which lose it when they grow", func() {
		reserve(sequoiamemory.Request, largeLimit)
		refused(sequoiamemory.Request, sequoiamemory.SmallRequest+1)
		small := reserve(sequoiamemory.Request, sequoiamemory.SmallRequest)
		Expect(small.Grow(1)).To(BeFalse())
		for range limit/8/sequoiamemory.SmallRequest - 1 {
			reserve(sequoiamemory.Request, sequoiamemory.SmallRequest)
		}
		refused(sequoiamemory.Request, sequoiamemory.SmallRequest)
	})

	// Guards against a crowd of connections that leaves no room for their requests.
	ginkgo.It("keeps half for other things than connections", func() {
		for range limit / 2 / (4 * kilobyte) {
			reserve(sequoiamemory.Connection, 4*kilobyte)
		}
		refused(sequoiamemory.Connection, 1)
		reserve(sequoiamemory.Request, limit/4)
	})

	// Guards against the eviction of clients that are slow but make progress, and of more than are needed.
	ginkgo.It("evicts those longest without progress first, and only as many as needed", func() {
		evicted := make(chan int, 10)
		var held []*sequoiamemory.Holding
		for i := range 4 {
			h := reserve(sequoiamemory.Request, 150*kilobyte)
			h.OnEvict(func() { evicted <- i })
			held = append(held, h)
			c.advance(100 * time.Millisecond)
		}
		refused(sequoiamemory.Request, 300*kilobyte)
		c.advance(700 * time.Millisecond) // 1.1, 1.0, 0.9 and 0.8 s since the reservations
		held[0].Progress()
		reserve(sequoiamemory.Request, 200*kilobyte)
		Eventually(evicted).Should(Receive(Equal(1)))
		c.advance(2 * time.Second)
		held[2].Progress()
		reserve(sequoiamemory.Request, 200*kilobyte)
		reserve(sequoiamemory.Request, 100*kilobyte)
		var order []int
		for range 2 {
			var i int
			Eventually(evicted).Should(Receive(&i))
			order = append(order, i)
		}
		slices.Sort(order)
		Expect(order).To(Equal([]int{0, 3}))
		Expect(a.Evicted()).To(BeEquivalentTo(3))
		Expect(held[1].Grow(1)).To(BeFalse(), "an evicted holding")
		held[1].Release()
		Expect(a.Held(sequoiamemory.Request)).To(BeEquivalentTo(650 * kilobyte))
	})

	ginkgo.It("evicts nobody if that would not free enough, and no connection for a request", func() {
		evicted := make(chan struct{}, 10)
		reserve(sequoiamemory.Request, 500*kilobyte)
		reserve(sequoiamemory.Request, 100*kilobyte).OnEvict(func() { evicted <- struct{}{} })
		reserve(sequoiamemory.Connection, 100*kilobyte).OnEvict(func() { evicted <- struct{}{} })
		c.advance(2 * time.Second)
		refused(sequoiamemory.Request, 300*kilobyte)
		Consistently(evicted, "20ms").ShouldNot(Receive())
	})

	// Guards against buffers that no holding counts any more but that still occupy memory.
	ginkgo.It("collects what large holdings have returned, also evicted ones once their owners have released them", func() {
		collections := make(chan struct{}, 10)
		a = sequoiamemory.New(limit, sequoiamemory.WithClock(c.Now), sequoiamemory.WithCollect(func() { collections <- struct{}{} }))
		h := reserve(sequoiamemory.Request, 300*kilobyte)
		h.Grow(-90 * kilobyte)
		a.AwaitCollection(90 * kilobyte)
		Expect(collections).NotTo(Receive(), "nothing large is allocated")
		a.AwaitCollection(limit / 8)
		Expect(collections).To(Receive())
		a.AwaitCollection(limit / 8)
		Expect(collections).NotTo(Receive(), "nothing was returned since")
		h.OnEvict(func() {})
		c.advance(2 * time.Second)
		reserve(sequoiamemory.Request, 600*kilobyte)
		a.AwaitCollection(limit / 8)
		Expect(collections).NotTo(Receive(), "the owner may still use it")
		h.Release()
		Eventually(collections).Should(Receive())
		h.Release()
		for range 100 {
			reserve(sequoiamemory.Request, sequoiamemory.SmallRequest-1).Release()
		}
		c.advance(time.Second)
		a.AwaitCollection(limit / 8)
		Consistently(collections, "20ms").ShouldNot(Receive(), "small ones leave little")
	})

	// Guards against a copy that no holding counts beside buffers that others allocate or have left meanwhile.
	ginkgo.It("makes others wait during an exclusive allocation, with collections around it", func() {
		var events []string
		a = sequoiamemory.New(limit, sequoiamemory.WithCollect(func() { events = append(events, "collection") }))
		reserve(sequoiamemory.Request, 50*kilobyte).Release()
		waited := make(chan struct{})
		reserve(sequoiamemory.Request, 100*kilobyte).Exclusive(limit/8, func() {
			events = append(events, "allocation")
			go func() {
				a.AwaitCollection(1)
				close(waited)
			}()
			Consistently(waited, "20ms").ShouldNot(BeClosed())
		})
		Eventually(waited).Should(BeClosed())
		Expect(events).To(Equal([]string{"collection", "allocation", "collection"}))
		a.Exclusive(limit/8-1, func() {})
		Expect(events).To(HaveLen(3), "it is small")
	})

	ginkgo.It("does not evict a holder that must not be", func() {
		h := reserve(sequoiamemory.Request, 600*kilobyte)
		h.OnEvict(func() { ginkgo.Fail("evicted") })
		h.OnEvict(nil)
		c.advance(2 * time.Second)
		refused(sequoiamemory.Request, 600*kilobyte)
	})

	// Guards against reservations that stay after their holders are gone, until nothing is served any more.
	ginkgo.It("counts what is held after any sequence of operations", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			c := &clock{now: time.Unix(1000, 0)}
			a := sequoiamemory.New(limit, sequoiamemory.WithClock(c.Now))
			var mu sync.Mutex
			evicted := map[*sequoiamemory.Holding]bool{}
			var held []*sequoiamemory.Holding
			pick := func(t *rapid.T) *sequoiamemory.Holding {
				if len(held) == 0 {
					t.Skip("nothing is held")
				}
				return rapid.SampledFrom(held).Draw(t, "holding")
			}
			size := rapid.OneOf(rapid.Int64Range(0, 32*kilobyte), rapid.Int64Range(0, limit))
			t.Repeat(map[string]func(*rapid.T){
				"reserve": func(t *rapid.T) {
					kind := rapid.SampledFrom(sequoiamemory.Kinds()).Draw(t, "kind")
					h, ok := a.Reserve(kind, size.Draw(t, "size"))
					if !ok {
						return
					}
					held = append(held, h)
					if rapid.Bool().Draw(t, "evictable") {
						h.OnEvict(func() {
							mu.Lock()
							defer mu.Unlock()
							evicted[h] = true
						})
					}
				},
				"grow":     func(t *rapid.T) { pick(t).Grow(size.Draw(t, "size")) },
				"progress": func(t *rapid.T) { pick(t).Progress() },
				"release":  func(t *rapid.T) { pick(t).Release() },
				"wait": func(t *rapid.T) {
					c.advance(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "time")))
				},
				"": func(t *rapid.T) {
					total := int64(0)
					for _, k := range sequoiamemory.Kinds() {
						if a.Held(k) < 0 {
							t.Fatalf("%v: %d bytes are held", k, a.Held(k))
						}
						total += a.Held(k)
					}
					if total > limit || a.Held(sequoiamemory.Connection) > limit/2 {
						t.Fatalf("%d bytes are held, %d of them for connections", total, a.Held(sequoiamemory.Connection))
					}
				},
			})
			for _, h := range held {
				h.Release()
			}
			for _, k := range sequoiamemory.Kinds() {
				if a.Held(k) != 0 {
					t.Fatalf("%v: %d bytes are held after all were released", k, a.Held(k))
				}
			}
			if _, ok := a.Reserve(sequoiamemory.Request, largeLimit); !ok {
				t.Fatal("an empty account has no room")
			}
		})
	})
})

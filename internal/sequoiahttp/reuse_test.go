package sequoiahttp

import (
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Idle connections", func() {
	// burst sends n requests that are in progress at the same time. maxIdle is that of the first of them.
	burst := func(c *Client, s *server, n int, maxIdle time.Duration) {
		ginkgo.GinkgoHelper()
		hold := make(chan struct{})
		s.hold.Store(&hold)
		var wg sync.WaitGroup
		for i := range n {
			req := &Request{Method: "GET", Path: "/a"}
			if i == 0 {
				req.MaxIdle = maxIdle
			}
			connected := make(chan struct{})
			req.OnConnected = func() { close(connected) }
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				_, err := c.Do(ginkgo.GinkgoT().Context(), s.addr, req)
				Expect(err).NotTo(HaveOccurred())
			})
			<-connected
		}
		close(hold)
		wg.Wait()
	}

	// Guards against a new connection for almost every request of clients that send in bursts: one request that must not
	// use an old connection closed all of them.
	ginkgo.It("that are too old for one request carry others", func() {
		s, c := newServer(), New()
		ginkgo.DeferCleanup(c.Close)
		burst(c, s, 10, 0)
		Expect(s.accepted.Load()).To(Equal(int64(10)))
		const tooOld = 20 * time.Millisecond
		time.Sleep(2 * tooOld)
		burst(c, s, 10, tooOld)
		Expect(s.accepted.Load()).To(Equal(int64(11)), "9 requests had a connection that was fresh enough")
	})

	// Guards against a pool that is full of connections too old for use and closes those that have just been used.
	ginkgo.It("give way to one that has just been used if there are too many", func() {
		s, c := newServer(), New(WithMaxIdle(2))
		ginkgo.DeferCleanup(c.Close)
		burst(c, s, 2, 0)
		const tooOld = 300 * time.Millisecond
		time.Sleep(2 * tooOld)
		burst(c, s, 1, tooOld)
		Expect(s.accepted.Load()).To(Equal(int64(3)))
		burst(c, s, 1, tooOld)
		Expect(s.accepted.Load()).To(Equal(int64(3)))
	})
})

// Guards against connections that keep the identifiers of refused requests, which callers choose: 64 of up to 64 KB on each.
var _ = ginkgo.Describe("A connection on which requests with long identifiers were refused", func() {
	ginkgo.It("does not keep the identifiers", func() {
		const refusals, idBytes = maxRefused - 1, 60 << 10
		s, c := newServer(), New()
		ginkgo.DeferCleanup(c.Close)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range refusals {
			_, err := c.Do(ginkgo.GinkgoT().Context(), s.addr, &Request{
				Method: "GET", Path: "/a", ID: fmt.Sprintf("%0*d", idBytes, i), Refusal: func(int, http.Header) bool { return true },
			})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.accepted.Load()).To(Equal(int64(1)))
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", refusals*idBytes/4))
	})
})

package sequoiaclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/pkg/sequoiaclient"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiaclient")
}

// fakeProcess is an HTTP server that serves a table and passes requests to handle.
type fakeProcess struct {
	*httptest.Server
	mu       sync.Mutex
	doc      sequoiaclient.Document
	handle   http.HandlerFunc
	received []http.Header
}

func newFakeProcess(handle http.HandlerFunc) *fakeProcess {
	p := &fakeProcess{handle: handle}
	p.Server = httptest.NewServer(p)
	p.doc = newDocument(5, p.addr(), 0)
	return p
}

func (p *fakeProcess) addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(p.URL, "http://"))
}

// newDocument returns a table with one member, which owns all keys of the service dispatch if owner is 0.
func newDocument(epoch uint64, addr netip.AddrPort, owner int) sequoiaclient.Document {
	return sequoiaclient.Document{
		Index:    epoch,
		Members:  []sequoiaclient.DocumentMember{{HTTP: addr, Service: "dispatch"}},
		Services: []sequoiaclient.DocumentService{{Name: "dispatch", Runs: []sequoiaclient.DocumentRun{{Owner: owner, Epoch: epoch, Count: 8}}}},
	}
}

func (p *fakeProcess) setDocument(d sequoiaclient.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doc = d
}

func (p *fakeProcess) receivedHeaders() []http.Header {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received
}

func (p *fakeProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	if r.URL.Path == "/v1/table" {
		_ = json.NewEncoder(w).Encode(p.doc)
		p.mu.Unlock()
		return
	}
	p.received = append(p.received, r.Header.Clone())
	p.mu.Unlock()
	p.handle(w, r)
}

func respondWith(outcome, reason string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sequoia-Outcome", outcome)
		w.Header().Set("Sequoia-Reason", reason)
		_, _ = w.Write([]byte(outcome))
	}
}

func newClient(tb testing.TB, p *fakeProcess, opts ...sequoiaclient.Option) *sequoiaclient.Client {
	c, err := sequoiaclient.New([]netip.AddrPort{p.addr()}, opts...)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		c.Close()
		p.Close()
	})
	return c
}

var booking = &sequoiaclient.Request{Service: "dispatch", Key: "k", RequestID: "r1", Method: "POST", Path: "/book"}

func do(c *sequoiaclient.Client, req *sequoiaclient.Request) *sequoiaclient.Result {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	res, err := c.Do(ctx, req)
	Expect(err).NotTo(HaveOccurred())
	return res
}

var _ = ginkgo.Describe("The client", func() {
	ginkgo.It("takes a new first epoch after attempts that were not run, so that a takeover does not turn them into Unknown", func() {
		p := newFakeProcess(respondWith("NotRun", "QueueFull"))
		c := newClient(ginkgo.GinkgoTB(), p, sequoiaclient.WithRefresh(time.Millisecond))
		go func() {
			time.Sleep(15 * time.Millisecond)
			p.setDocument(newDocument(9, p.addr(), 0))
		}()
		res := do(c, booking)
		Expect(res.Outcome).To(Equal(sequoiaclient.NotRun))
		Expect(res.FirstSent).To(BeZero())
		received := p.receivedHeaders()
		Expect(len(received)).To(BeNumerically(">", 2))
		Expect(received[0].Get("Sequoia-First-Epoch")).To(Equal("5"))
		Expect(received[len(received)-1].Get("Sequoia-First-Epoch")).To(Equal("9"))
		for _, h := range received {
			Expect(h.Get("Sequoia-First-Attempt")).To(Equal("true"))
		}
	})

	ginkgo.It("keeps the epoch of an attempt that may have run, so that a new owner recognizes an old request", func() {
		var n atomic.Int32
		p := newFakeProcess(func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Sequoia-First-Epoch", "9")
			respondWith("NotRun", "QueueFull")(w, r)
		})
		c := newClient(ginkgo.GinkgoTB(), p, sequoiaclient.WithRefresh(time.Millisecond))
		first := do(c, booking)
		Expect(first.Outcome).To(Equal(sequoiaclient.Unknown))
		p.setDocument(newDocument(9, p.addr(), 0))
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		res, err := c.Resend(ctx, booking, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Outcome).To(Equal(sequoiaclient.Unknown))
		Expect(res.FirstEpoch).To(Equal(uint64(5)))
		received := p.receivedHeaders()
		Expect(len(received)).To(BeNumerically(">", 3))
		Expect(received[0].Get("Sequoia-First-Attempt")).To(Equal("true"))
		for _, h := range received {
			Expect(h.Get("Sequoia-First-Epoch")).To(Equal("5"))
		}
		for _, h := range received[1:] {
			Expect(h).NotTo(HaveKey("Sequoia-First-Attempt"))
		}
	})

	ginkgo.It("uses the epoch that the process reports for the first attempt that may have run", func() {
		p := newFakeProcess(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Sequoia-First-Epoch", "7")
			respondWith("Unknown", "UpstreamFailed")(w, r)
		})
		res := do(newClient(ginkgo.GinkgoTB(), p), booking)
		Expect(res.FirstEpoch).To(Equal(uint64(7)))
	})

	ginkgo.It("retries a request that may have run only if it is repeatable", func() {
		p := newFakeProcess(respondWith("Unknown", "UpstreamFailed"))
		c := newClient(ginkgo.GinkgoTB(), p)
		Expect(do(c, booking).Attempts).To(Equal(1))
		Expect(do(c, &sequoiaclient.Request{Service: "dispatch", Key: "k", Path: "/"}).Attempts).To(Equal(1))
		res := do(c, &sequoiaclient.Request{Service: "dispatch", Key: "k", Path: "/", Repeatable: true})
		Expect(res.Attempts).To(BeNumerically(">", 1))
	})

	ginkgo.It("does not report NotRun after an attempt that may have run", func() {
		n := 0
		p := newFakeProcess(func(w http.ResponseWriter, r *http.Request) {
			n++
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			respondWith("NotRun", "QueueFull")(w, r)
		})
		c := newClient(ginkgo.GinkgoTB(), p)
		res := do(c, &sequoiaclient.Request{Service: "dispatch", Key: "k", Path: "/", Repeatable: true})
		Expect(res.Outcome).To(Equal(sequoiaclient.Unknown))
		Expect(res.Attempts).To(BeNumerically(">", 1))
	})

	ginkgo.It("resends with the same identifier and epoch, but not after the resend window", func() {
		n := 0
		p := newFakeProcess(func(w http.ResponseWriter, r *http.Request) {
			n++
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			respondWith("Answered", "")(w, r)
		})
		c := newClient(ginkgo.GinkgoTB(), p, sequoiaclient.WithResendWindow(100*time.Millisecond))
		first := do(c, booking)
		Expect(first.Outcome).To(Equal(sequoiaclient.Unknown))
		again, err := c.Resend(context.Background(), booking, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Outcome).To(Equal(sequoiaclient.Answered))
		Expect(p.receivedHeaders()[1].Get("Sequoia-First-Epoch")).To(Equal(p.receivedHeaders()[0].Get("Sequoia-First-Epoch")))
		time.Sleep(100 * time.Millisecond)
		_, err = c.Resend(context.Background(), booking, first)
		Expect(err).To(MatchError(sequoiaclient.ErrResendWindow))
	})

	ginkgo.It("waits for an owner before the first attempt, whose epoch would otherwise be below the next floor", func() {
		p := newFakeProcess(respondWith("Answered", ""))
		p.setDocument(newDocument(6, p.addr(), -1))
		c := newClient(ginkgo.GinkgoTB(), p)
		go func() {
			time.Sleep(100 * time.Millisecond)
			p.setDocument(newDocument(8, p.addr(), 0))
		}()
		Expect(do(c, booking).Outcome).To(Equal(sequoiaclient.Answered))
		Expect(p.receivedHeaders()[0].Get("Sequoia-First-Epoch")).To(Equal("8"))
	})

	ginkgo.It("falls back to another process when the owner cannot be reached", func() {
		p := newFakeProcess(respondWith("Answered", ""))
		p.setDocument(newDocument(5, netip.MustParseAddrPort("127.0.0.1:1"), 0))
		c := newClient(ginkgo.GinkgoTB(), p)
		res := do(c, booking)
		Expect(res.Outcome).To(Equal(sequoiaclient.Answered))
		Expect(res.Attempts).To(Equal(2))
	})

	ginkgo.It("limits retries when all requests fail", func() {
		p := newFakeProcess(respondWith("NotRun", "QueueFull"))
		c := newClient(ginkgo.GinkgoTB(), p, sequoiaclient.WithRetryBudget(0.1, 2))
		for range 20 {
			do(c, booking)
		}
		Expect(len(p.receivedHeaders())).To(BeNumerically("<=", 20+2+2))
	})
})

func ExampleClient_Do() {
	p := newFakeProcess(respondWith("Answered", ""))
	defer p.Close()
	c, err := sequoiaclient.New([]netip.AddrPort{p.addr()})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := c.Do(ctx, &sequoiaclient.Request{
		Service: "dispatch", Key: "load-17", RequestID: "9f2c", Method: "POST", Path: "/book",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(res.Outcome, res.Status)
	// Output: Answered 200
}

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

// process is a stand-in for a process: it serves a table and answers requests by handle.
type process struct {
	*httptest.Server
	mu     sync.Mutex
	doc    sequoiaclient.Document
	handle http.HandlerFunc
	seen   []http.Header
}

func newProcess(handle http.HandlerFunc) *process {
	p := &process{handle: handle}
	p.Server = httptest.NewServer(p)
	p.doc = document(5, p.addr(), 0)
	return p
}

func (p *process) addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(p.URL, "http://"))
}

// document has one member, which owns all keys of dispatch if owner is 0.
func document(epoch uint64, addr netip.AddrPort, owner int) sequoiaclient.Document {
	return sequoiaclient.Document{
		Index:    epoch,
		Members:  []sequoiaclient.DocumentMember{{HTTP: addr, Service: "dispatch"}},
		Services: []sequoiaclient.DocumentService{{Name: "dispatch", Runs: []sequoiaclient.DocumentRun{{Owner: owner, Epoch: epoch, Count: 8}}}},
	}
}

func (p *process) setDocument(d sequoiaclient.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doc = d
}

func (p *process) headers() []http.Header {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen
}

func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	if r.URL.Path == "/v1/table" {
		_ = json.NewEncoder(w).Encode(p.doc)
		p.mu.Unlock()
		return
	}
	p.seen = append(p.seen, r.Header.Clone())
	p.mu.Unlock()
	p.handle(w, r)
}

func end(outcome, reason string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sequoia-Outcome", outcome)
		w.Header().Set("Sequoia-Reason", reason)
		_, _ = w.Write([]byte(outcome))
	}
}

func newClient(tb testing.TB, p *process, opts ...sequoiaclient.Option) *sequoiaclient.Client {
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
	ginkgo.It("stamps anew after attempts that were not run, which would else end as Unknown after a takeover", func() {
		p := newProcess(end("NotRun", "QueueFull"))
		c := newClient(ginkgo.GinkgoTB(), p, sequoiaclient.WithRefresh(time.Millisecond))
		go func() {
			time.Sleep(15 * time.Millisecond)
			p.setDocument(document(9, p.addr(), 0))
		}()
		res := do(c, booking)
		Expect(res.Outcome).To(Equal(sequoiaclient.NotRun))
		Expect(res.FirstSent).To(BeZero())
		seen := p.headers()
		Expect(len(seen)).To(BeNumerically(">", 2))
		Expect(seen[0].Get("Sequoia-First-Epoch")).To(Equal("5"))
		Expect(seen[len(seen)-1].Get("Sequoia-First-Epoch")).To(Equal("9"))
		for _, h := range seen {
			Expect(h.Get("Sequoia-First-Attempt")).To(Equal("true"))
		}
	})

	ginkgo.It("keeps the stamp of an attempt that may have run, so that a new owner can tell an old request", func() {
		var n atomic.Int32
		p := newProcess(func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Sequoia-First-Epoch", "9")
			end("NotRun", "QueueFull")(w, r)
		})
		c := newClient(ginkgo.GinkgoTB(), p, sequoiaclient.WithRefresh(time.Millisecond))
		first := do(c, booking)
		Expect(first.Outcome).To(Equal(sequoiaclient.Unknown))
		p.setDocument(document(9, p.addr(), 0))
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		res, err := c.Resend(ctx, booking, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Outcome).To(Equal(sequoiaclient.Unknown))
		Expect(res.FirstEpoch).To(Equal(uint64(5)))
		seen := p.headers()
		Expect(len(seen)).To(BeNumerically(">", 3))
		Expect(seen[0].Get("Sequoia-First-Attempt")).To(Equal("true"))
		for _, h := range seen {
			Expect(h.Get("Sequoia-First-Epoch")).To(Equal("5"))
		}
		for _, h := range seen[1:] {
			Expect(h).NotTo(HaveKey("Sequoia-First-Attempt"))
		}
	})

	ginkgo.It("takes over the stamp with which the process made the first attempt that may have run", func() {
		p := newProcess(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Sequoia-First-Epoch", "7")
			end("Unknown", "UpstreamFailed")(w, r)
		})
		res := do(newClient(ginkgo.GinkgoTB(), p), booking)
		Expect(res.FirstEpoch).To(Equal(uint64(7)))
	})

	ginkgo.It("does not repeat a request that may have run, and repeats one that may be repeated", func() {
		p := newProcess(end("Unknown", "UpstreamFailed"))
		c := newClient(ginkgo.GinkgoTB(), p)
		Expect(do(c, booking).Attempts).To(Equal(1))
		Expect(do(c, &sequoiaclient.Request{Service: "dispatch", Key: "k", Path: "/"}).Attempts).To(Equal(1))
		res := do(c, &sequoiaclient.Request{Service: "dispatch", Key: "k", Path: "/", Repeatable: true})
		Expect(res.Attempts).To(BeNumerically(">", 1))
	})

	ginkgo.It("does not tell NotRun after an attempt that may have run", func() {
		n := 0
		p := newProcess(func(w http.ResponseWriter, r *http.Request) {
			n++
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			end("NotRun", "QueueFull")(w, r)
		})
		c := newClient(ginkgo.GinkgoTB(), p)
		res := do(c, &sequoiaclient.Request{Service: "dispatch", Key: "k", Path: "/", Repeatable: true})
		Expect(res.Outcome).To(Equal(sequoiaclient.Unknown))
		Expect(res.Attempts).To(BeNumerically(">", 1))
	})

	ginkgo.It("resends with the same identifier and stamp, but not after the resend window", func() {
		n := 0
		p := newProcess(func(w http.ResponseWriter, r *http.Request) {
			n++
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			end("Answered", "")(w, r)
		})
		c := newClient(ginkgo.GinkgoTB(), p, sequoiaclient.WithResendWindow(100*time.Millisecond))
		first := do(c, booking)
		Expect(first.Outcome).To(Equal(sequoiaclient.Unknown))
		again, err := c.Resend(context.Background(), booking, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Outcome).To(Equal(sequoiaclient.Answered))
		Expect(p.headers()[1].Get("Sequoia-First-Epoch")).To(Equal(p.headers()[0].Get("Sequoia-First-Epoch")))
		time.Sleep(100 * time.Millisecond)
		_, err = c.Resend(context.Background(), booking, first)
		Expect(err).To(MatchError(sequoiaclient.ErrResendWindow))
	})

	ginkgo.It("waits for an owner before the first attempt, whose stamp would else be below the next floor", func() {
		p := newProcess(end("Answered", ""))
		p.setDocument(document(6, p.addr(), -1))
		c := newClient(ginkgo.GinkgoTB(), p)
		go func() {
			time.Sleep(100 * time.Millisecond)
			p.setDocument(document(8, p.addr(), 0))
		}()
		Expect(do(c, booking).Outcome).To(Equal(sequoiaclient.Answered))
		Expect(p.headers()[0].Get("Sequoia-First-Epoch")).To(Equal("8"))
	})

	ginkgo.It("falls back to another process when the owner's cannot be reached", func() {
		p := newProcess(end("Answered", ""))
		p.setDocument(document(5, netip.MustParseAddrPort("127.0.0.1:1"), 0))
		c := newClient(ginkgo.GinkgoTB(), p)
		res := do(c, booking)
		Expect(res.Outcome).To(Equal(sequoiaclient.Answered))
		Expect(res.Attempts).To(Equal(2))
	})

	ginkgo.It("limits retries under a total failure", func() {
		p := newProcess(end("NotRun", "QueueFull"))
		c := newClient(ginkgo.GinkgoTB(), p, sequoiaclient.WithRetryBudget(0.1, 2))
		for range 20 {
			do(c, booking)
		}
		Expect(len(p.headers())).To(BeNumerically("<=", 20+2+2))
	})
})

func ExampleClient_Do() {
	p := newProcess(end("Answered", ""))
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

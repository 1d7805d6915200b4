package sequoiaproxy_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaproxy"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	. "github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiaproxy")
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// process is a proxy with its router and listeners.
type process struct {
	metrics      *prometheus.Registry
	router       *sequoiarouter.Router
	proxy        *sequoiaproxy.Proxy
	callerAddr   netip.AddrPort
	upstreamAddr netip.AddrPort
}

// table returns a table with members 1 and 2 in which owner has the only shard of dispatch.
func table(owner IncarnationID) *Table {
	t := New()
	for _, c := range []Change{
		{SetConfiguration: &SetConfiguration{Services: []ServiceConfig{{Name: "dispatch", Shards: 1, Divided: true}}}},
		{Join: &Join{Member: Member{Incarnation: 1, Service: "dispatch", Slots: 8}}},
		{Join: &Join{Member: Member{Incarnation: 2, Service: "dispatch", Slots: 8, Forward: netip.MustParseAddrPort("127.0.0.2:9")}}},
		{Assign: &Assign{Service: "dispatch", Kind: AssignInitial, To: owner, Shards: []uint32{0}}},
	} {
		writer := IncarnationID(1)
		if c.Join != nil {
			writer = c.Join.Member.Incarnation
		}
		t, _, _ = t.Apply(Entry{Index: t.Index + 1, Writer: writer, Changes: []Change{c}})
	}
	return t
}

func newProcess(tb testing.TB, owner IncarnationID, opts ...sequoiaproxy.Option) *process {
	r := sequoiarouter.New()
	r.Publish(time.Now(), &sequoiacontrol.Snapshot{Table: table(owner), Self: 1, LeaseEnd: time.Now().Add(time.Minute)})
	reg := prometheus.NewRegistry()
	opts = append(opts, sequoiaproxy.WithAnnouncementTimeout(time.Minute), sequoiaproxy.WithRegistry(reg))
	p := &process{metrics: reg, router: r, proxy: sequoiaproxy.New(r, opts...)}
	var err error
	if p.callerAddr, err = p.proxy.ListenCallers(loopback); err != nil {
		tb.Fatal(err)
	}
	if p.upstreamAddr, err = p.proxy.ListenUpstream(loopback); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(p.proxy.Close)
	return p
}

func (p *process) announce(addr string) *http.Response {
	body := fmt.Sprintf(`{"Service":"dispatch","Address":%q,"Slots":8,"Connections":8,"ChecksGrants":true,"Healthy":true}`, addr)
	resp, err := http.Post("http://"+p.upstreamAddr.String()+"/v1/announce", "application/json", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	return resp
}

// serveUpstream starts a raw TCP server that handles each connection with handle, and announces it as the upstream.
func serveUpstream(tb testing.TB, p *process, handle func(c net.Conn, r *bufio.Reader)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	p.announce(ln.Addr().String())
}

type response struct {
	*http.Response
	body string
}

func (p *process) do(ctx context.Context, method, path string, header map[string]string) (response, error) {
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+p.callerAddr.String()+path, nil)
	req.Header.Set("Sequoia-Key", "k")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp, string(b)}, err
}

func (p *process) get(path string, header map[string]string) response {
	ginkgo.GinkgoHelper()
	resp, err := p.do(context.Background(), http.MethodGet, path, header)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

func reply(c net.Conn, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\nSequoia-Owner: forged\r\n\r\n%s", status, len(body), body)
}

func expectOutcome(resp response, status int, outcome, reason string) {
	ginkgo.GinkgoHelper()
	Expect([]any{resp.StatusCode, resp.Header.Get("Sequoia-Outcome"), resp.Header.Get("Sequoia-Reason")}).
		To(Equal([]any{status, outcome, reason}))
}

var _ = ginkgo.Describe("The proxy", func() {
	ginkgo.It("forwards the request without forged or hop-by-hop headers, and the response with its status", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		var got *http.Request
		serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
			got, _ = http.ReadRequest(r)
			reply(c, 299, "whole")
		})
		resp := p.get("/s/dispatch/a//b?q=1", map[string]string{
			"Sequoia-Epoch": "99", "Sequoia-Incarnation": "99", "Sequoia-Deadline": "1", "Sequoia_Epoch": "99",
			"Connection": "X-Drop", "X-Drop": "1", "X-Keep": "1",
		})
		expectOutcome(resp, 299, "Answered", "")
		Expect(resp.body).To(Equal("whole"))
		Expect(resp.Header.Get("Sequoia-Owner")).To(Equal("0000000000000001"))
		Expect(got.RequestURI).To(Equal("/a//b?q=1"))
		Expect(got.Header.Values("Sequoia-Epoch")).To(Equal([]string{"4"}))
		Expect(got.Header.Values("Sequoia-Incarnation")).To(Equal([]string{"0000000000000001"}))
		Expect(got.Header.Get("Sequoia-Deadline")).NotTo(Equal("1"))
		Expect(got.Header).NotTo(Or(HaveKey("Sequoia_epoch"), HaveKey("X-Drop")))
		Expect(got.Header.Get("X-Keep")).To(Equal("1"))
	})

	ginkgo.It("keeps the connection usable after a response to HEAD, whose Content-Length is not followed by a body", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if req.Method == http.MethodHead {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n")
					continue
				}
				reply(c, 200, "body")
			}
		})
		c, err := net.Dial("tcp", p.callerAddr.String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, _ = io.WriteString(c, "HEAD /s/dispatch/ HTTP/1.1\r\nHost: h\r\nSequoia-Key: k\r\n\r\n"+
			"GET /s/dispatch/ HTTP/1.1\r\nHost: h\r\nSequoia-Key: k\r\n\r\n")
		r := bufio.NewReader(c)
		head, err := http.ReadResponse(r, &http.Request{Method: http.MethodHead})
		Expect(err).NotTo(HaveOccurred())
		Expect(head.ContentLength).To(Equal(int64(7)))
		next, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		body, _ := io.ReadAll(next.Body)
		Expect(string(body)).To(Equal("body"))
	})

	ginkgo.It("holds a request while its key has no owner and sends it to the next owner", func() {
		p := newProcess(ginkgo.GinkgoTB(), 2)
		revoked, _, _ := table(2).Apply(Entry{Index: 5, Writer: 1, Changes: []Change{{Revoke: &Revoke{Incarnation: 2}}}})
		taken, _, _ := revoked.Apply(Entry{Index: 6, Writer: 1, Changes: []Change{{Assign: &Assign{
			Service: "dispatch", Kind: AssignTakeover, From: 2, To: 1, Shards: []uint32{0},
		}}}})
		lease := time.Now().Add(time.Minute)
		p.router.Publish(time.Now(), &sequoiacontrol.Snapshot{Table: revoked, Self: 1, LeaseEnd: lease})
		serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			reply(c, 200, "ok")
		})
		time.AfterFunc(100*time.Millisecond, func() {
			p.router.Publish(time.Now(), &sequoiacontrol.Snapshot{Table: taken, Self: 1, LeaseEnd: lease})
		})
		expectOutcome(p.get("/s/dispatch/", nil), 200, "Answered", "")
	})

	ginkgo.It("updates the stamp of a first attempt while no attempt may have run, and never the stamp of a request that may have run", func() {
		p := newProcess(ginkgo.GinkgoTB(), 2)
		revoked, _, _ := table(2).Apply(Entry{Index: 5, Writer: 1, Changes: []Change{{Revoke: &Revoke{Incarnation: 2}}}})
		taken, _, _ := revoked.Apply(Entry{Index: 6, Writer: 1, Changes: []Change{{Assign: &Assign{
			Service: "dispatch", Kind: AssignTakeover, From: 2, To: 1, Shards: []uint32{0},
		}}}})
		var runs atomic.Int32
		serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			runs.Add(1)
			reply(c, 200, "ok")
		})
		unsent := errors.New("not sent")
		fail := unsent
		var stamps []Epoch
		p.proxy.NotSent = func(err error) bool { return errors.Is(err, unsent) }
		p.proxy.Forward = func(_ context.Context, _ netip.AddrPort, req *sequoiarouter.Request) (*sequoiarouter.Response, error) {
			stamps = append(stamps, req.FirstEpoch)
			p.router.Publish(time.Now(), &sequoiacontrol.Snapshot{Table: taken, Self: 1, LeaseEnd: time.Now().Add(time.Minute)})
			return nil, fail
		}
		restore := func() {
			p.router.Publish(time.Now(), &sequoiacontrol.Snapshot{Table: table(2), Self: 1, LeaseEnd: time.Now().Add(time.Minute)})
		}
		header := func(id, first string) map[string]string {
			return map[string]string{"Sequoia-Request-Id": id, "Sequoia-First-Epoch": "4", "Sequoia-First-Attempt": first}
		}
		resp := p.get("/s/dispatch/", header("a", "true"))
		expectOutcome(resp, 200, "Answered", "")
		Expect(resp.Header.Get("Sequoia-First-Epoch")).To(Equal("6"))
		Expect(stamps).To(Equal([]Epoch{4}))

		restore()
		resp = p.get("/s/dispatch/", header("b", "false"))
		expectOutcome(resp, 504, "Unknown", sequoiarouter.ReasonBelowFloor)

		restore()
		fail = errors.New("reset")
		resp = p.get("/s/dispatch/", header("c", "true"))
		expectOutcome(resp, 504, "Unknown", sequoiarouter.ReasonUnreachable)
		Expect(resp.Header.Get("Sequoia-First-Epoch")).To(Equal("4"))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	ginkgo.DescribeTable("never forwards a response that is not provably complete",
		func(raw string) {
			p := newProcess(ginkgo.GinkgoTB(), 1, sequoiaproxy.WithMaxResponse(100))
			serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, raw)
			})
			resp := p.get("/s/dispatch/", nil)
			Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
			Expect(resp.Header.Get("Sequoia-Outcome")).To(Equal("Unknown"))
			Expect(resp.body).NotTo(ContainSubstring("partial"))
		},
		ginkgo.Entry("shorter than its Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\npartial"),
		ginkgo.Entry("without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npartial\r\n"),
		ginkgo.Entry("delimited by the end of the connection", "HTTP/1.0 200 OK\r\n\r\npartial"),
		ginkgo.Entry("larger than the limit", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"+strings.Repeat("partial", 20)),
		ginkgo.Entry("truncated headers", "HTTP/1.1 200 OK\r\nContent-Le"),
		ginkgo.Entry("unknown value of Sequoia-Refused", "HTTP/1.1 503 X\r\nSequoia-Refused: Perhaps\r\nContent-Length: 0\r\n\r\n"),
	)

	// Guards against a caller that gets a status like 000 as an answer, or none before its deadline.
	ginkgo.DescribeTable("takes no response that HTTP does not allow for an answer, and closes its connection",
		func(raw string) {
			p := newProcess(ginkgo.GinkgoTB(), 1)
			closed := make(chan struct{})
			serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, raw)
				_, _ = io.Copy(io.Discard, c)
				close(closed)
			})
			resp := p.get("/s/dispatch/x", map[string]string{"Sequoia-Timeout-Milliseconds": "3000"})
			expectOutcome(resp, http.StatusGatewayTimeout, "Unknown", sequoiarouter.ReasonBadResponse)
			Eventually(closed, "2s").Should(BeClosed())
		},
		ginkgo.Entry("status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("status 001", "HTTP/1.1 001 X\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("status 099", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("status 199 with a length", "HTTP/1.1 199 X\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("status 600", "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("status 999", "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("status with a sign", "HTTP/1.1 +200\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("status 101", "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n"),
		ginkgo.Entry("status 204 with a body", "HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("status 304 with a body", "HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("interim responses without end", strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 1000)),
	)

	ginkgo.It("never sends a late response to another caller", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if strings.HasPrefix(req.URL.Path, "/slow") {
					time.Sleep(80 * time.Millisecond)
				}
				reply(c, 200, req.URL.Path)
				if strings.HasPrefix(req.URL.Path, "/twice") {
					reply(c, 200, req.URL.Path)
				}
			}
		})
		for i := range 30 {
			kind := []string{"slow", "twice", "fast"}[i%3]
			path := fmt.Sprintf("/%s%d", kind, i)
			if kind == "slow" {
				resp := p.get("/s/dispatch"+path, map[string]string{"Sequoia-Timeout-Milliseconds": "40"})
				expectOutcome(resp, 504, "Unknown", sequoiarouter.ReasonDeadlinePassed)
				continue
			}
			// These requests have no short timeout, because a busy machine would exceed it.
			Expect(p.get("/s/dispatch"+path, nil).body).To(Equal(path))
			time.Sleep(time.Millisecond)
		}
	})

	ginkgo.It("reports Unknown for a request on an upstream connection that stops responding, and replaces the connection", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		var conns atomic.Int32
		serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
			first := conns.Add(1) == 1
			for n := 1; ; n++ {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if first && n > 1 {
					continue
				}
				reply(c, 200, "ok")
			}
		})
		expectOutcome(p.get("/s/dispatch/", nil), 200, "Answered", "")
		header := map[string]string{"Sequoia-Timeout-Milliseconds": "200", "Sequoia-Request-Id": "a"}
		expectOutcome(p.get("/s/dispatch/", header), 504, "Unknown", sequoiarouter.ReasonDeadlinePassed)
		expectOutcome(p.get("/s/dispatch/", header), 504, "Unknown", sequoiarouter.ReasonEarlierUnknown)
		expectOutcome(p.get("/s/dispatch/", nil), 200, "Answered", "")
		Expect(conns.Load()).To(Equal(int32(2)))
	})

	ginkgo.It("reports NotRun only if the upstream did not run the request", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		expectOutcome(p.get("/s/dispatch/", nil), 503, "NotRun", sequoiarouter.ReasonNoUpstream)
		expectOutcome(p.get("/s/none/", nil), 503, "NotRun", sequoiarouter.ReasonServiceUnknown)
		expectOutcome(p.get("/s/dispatch/", map[string]string{"Sequoia-First-Epoch": "x"}), 400, "NotRun", sequoiarouter.ReasonBadRequest)
		var runs atomic.Int32
		serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if req.URL.Path == "/run" {
					runs.Add(1)
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 503 X\r\nSequoia-Refused: Shed\r\nContent-Length: 0\r\n\r\n")
			}
		})
		expectOutcome(p.get("/s/dispatch/shed", nil), 503, "NotRun", sequoiarouter.ReasonShed)
		expectOutcome(p.get("/s/dispatch/run", nil), 504, "Unknown", sequoiarouter.ReasonUpstreamFailed)
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	// Guards against a caller that is told that its request was not run because its upstream wrote an earlier refusal again.
	ginkgo.It("takes no refusal that is written again for the answer to a request that ran", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		const refusal = "HTTP/1.1 503 X\r\nSequoia-Refused: Shed\r\nContent-Length: 0\r\n\r\n"
		serveUpstream(ginkgo.GinkgoTB(), p, func(c net.Conn, r *bufio.Reader) {
			for again := ""; ; {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, again)
				if again = ""; req.URL.Path == "/shed" {
					again = refusal
					_, _ = io.WriteString(c, refusal)
					continue
				}
				reply(c, 200, "ran")
			}
		})
		for range 5 {
			expectOutcome(p.get("/s/dispatch/shed", nil), 503, "NotRun", sequoiarouter.ReasonShed)
			expectOutcome(p.get("/s/dispatch/run", nil), 200, "Answered", "")
		}
	})

	ginkgo.It("cancels the upstream's request when the caller disconnects", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		closed := make(chan struct{})
		serveUpstream(ginkgo.GinkgoTB(), p, func(_ net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = r.ReadByte()
			close(closed)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := p.do(ctx, http.MethodGet, "/s/dispatch/", nil)
		Expect(err).To(HaveOccurred())
		Eventually(closed, time.Second).Should(BeClosed())
		Eventually(func() int { return p.router.Stats().InFlight + p.proxy.InProgress() }).Should(BeZero())
	})

	ginkgo.It("reports a failed forward as NotRun only if the request was provably not sent", func() {
		p := newProcess(ginkgo.GinkgoTB(), 2)
		unsent := errors.New("not sent")
		var fail error
		var calls int
		p.proxy.NotSent = func(err error) bool { return errors.Is(err, unsent) }
		p.proxy.Forward = func(_ context.Context, _ netip.AddrPort, req *sequoiarouter.Request) (*sequoiarouter.Response, error) {
			calls++
			Expect(req.Forwarded).To(BeTrue())
			if calls > 1 {
				return nil, unsent
			}
			return nil, fail
		}
		fail = errors.New("reset")
		expectOutcome(p.get("/s/dispatch/", nil), 504, "Unknown", sequoiarouter.ReasonUnreachable)
		Expect(calls).To(Equal(1))
		calls, fail = 0, errors.New("reset")
		resp := p.get("/s/dispatch/", map[string]string{"Sequoia-Repeatable": "true"})
		expectOutcome(resp, 504, "Unknown", sequoiarouter.ReasonEarlierUnknown)
		Expect(calls).To(BeNumerically(">", 1))
		calls, fail = 0, unsent
		expectOutcome(p.get("/s/dispatch/", nil), 503, "NotRun", sequoiarouter.ReasonUnreachable)
	})

	ginkgo.It("reports a silent upstream and rejects its announcements until the incarnation has ended", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1, sequoiaproxy.WithTimeout(time.Second))
		gone := make(chan struct{})
		q := sequoiaproxy.New(p.router, sequoiaproxy.WithAnnouncementTimeout(100*time.Millisecond))
		ginkgo.DeferCleanup(q.Close)
		q.OnUpstream = func(u sequoiacontrol.Upstream) {
			if u.Gone {
				close(gone)
			}
		}
		p.proxy = q
		var err error
		p.upstreamAddr, err = q.ListenUpstream(loopback)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.announce("127.0.0.1:1").StatusCode).To(Equal(200))
		Expect(p.announce("127.0.0.1:2").StatusCode).To(Equal(409))
		Eventually(gone, time.Second).Should(BeClosed())
		Expect(p.announce("127.0.0.1:1").StatusCode).To(Equal(409))
		p.router.Publish(time.Now(), &sequoiacontrol.Snapshot{Table: table(1), Self: 2})
		Expect(p.announce("127.0.0.1:2").StatusCode).To(Equal(200))
	})

	ginkgo.It("counts unknown services under one label, so that callers cannot add series without bound", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		for i := range 5 {
			p.get(fmt.Sprintf("/s/none%d/", i), nil)
		}
		families, err := p.metrics.Gather()
		Expect(err).NotTo(HaveOccurred())
		for _, f := range families {
			if f.GetName() == "sequoiaspring_requests_total" {
				Expect(f.GetMetric()).To(HaveLen(1))
				Expect(f.GetMetric()[0].GetCounter().GetValue()).To(Equal(5.0))
				return
			}
		}
		ginkgo.Fail("sequoiaspring_requests_total is not registered")
	})

	ginkgo.It("responds with 304 if the table is unchanged, and to a stamp request with the key's epoch", func() {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		resp := p.get("/v1/table", nil)
		Expect(resp.body).To(ContainSubstring(`"Runs":[{"Owner":0,"Epoch":4,"Count":1}]`))
		Expect(p.get("/v1/table", map[string]string{"If-None-Match": resp.Header.Get("ETag")}).StatusCode).To(Equal(304))
		Expect(p.get("/v1/stamp?service=dispatch&key=k", nil).Header.Get("Sequoia-First-Epoch")).To(Equal("4"))
	})
})

func BenchmarkProxiedRequest(b *testing.B) {
	p := newProcess(b, 1)
	serveUpstream(b, p, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			reply(c, 200, "ok")
		}
	})
	c, err := net.Dial("tcp", p.callerAddr.String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	request := []byte("GET /s/dispatch/ HTTP/1.1\r\nHost: h\r\nSequoia-Key: k\r\n\r\n")
	for b.Loop() {
		_, _ = c.Write(request)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			b.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if !bytes.Equal(body, []byte("ok")) {
			b.Fatalf("status %d, body %q", resp.StatusCode, body)
		}
	}
}

package sequoiafront_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

// listenBounded starts a server with an account of the size, whose refusals have a header with their status.
func listenBounded(
	size int64, h http.HandlerFunc, opts ...sequoiafront.ListenOption,
) (*sequoiafront.Server, netip.AddrPort) {
	ginkgo.GinkgoHelper()
	s := sequoiafront.New(64<<20, sequoiafront.WithServerAccount(sequoiamemory.New(size)), sequoiafront.WithWriteTimeout(10*time.Second))
	ginkgo.DeferCleanup(s.Close)
	opts = append(opts, sequoiafront.WithRepeatable(isGet), sequoiafront.WithRefusalHeader(func(status int, h http.Header) {
		h.Set("Refused", http.StatusText(status))
	}))
	addr, err := s.Listen(netip.MustParseAddrPort(serverAddress), h, opts...)
	Expect(err).NotTo(HaveOccurred())
	return s, addr
}

// expectRefusal reads a refusal, although the client has not stopped sending, and the end of the connection.
func expectRefusal(c net.Conn, status int) {
	ginkgo.GinkgoHelper()
	b := bufio.NewReader(c)
	resp, _ := receive(b, http.MethodGet)
	Expect(resp.StatusCode).To(Equal(status))
	Expect(resp.Header.Get("Refused")).To(Equal(http.StatusText(status)))
	Expect(resp.Close).To(BeTrue())
	_, err := b.ReadByte()
	Expect(err).To(HaveOccurred())
}

func held(s *sequoiafront.Server) func() int64 {
	return func() int64 {
		n := int64(0)
		for _, k := range sequoiamemory.Kinds() {
			n += s.Account().Held(k)
		}
		return n
	}
}

const (
	megabyte = 1 << 20
	// orderPause is the pause after the first of several connections that must be the one longest without progress. The
	// server notes progress a moment after the client.
	orderPause = 200 * time.Millisecond
)

var _ = ginkgo.Describe("memory of requests", func() {
	respondLength := func(w http.ResponseWriter, r *http.Request) {
		body, _ := sequoiafront.ReadBody(r)
		sequoiafront.WriteResponse(w, r, http.StatusOK, fmt.Append(nil, len(body)))
	}

	ginkgo.DescribeTable("is bounded by the shape of a head or trailer", func(request string, status int) {
		s, addr := listenBounded(8*megabyte, respondLength)
		c := dial(addr)
		_, _ = io.WriteString(c, request)
		expectRefusal(c, status)
		Expect(c.Close()).To(Succeed())
		Eventually(held(s)).Should(BeZero())
	},
		ginkgo.Entry("a target without end", "GET /"+strings.Repeat("x", 70<<10), 431),
		ginkgo.Entry("a header without end", "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 70<<10), 431),
		ginkgo.Entry("many short lines", "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("X:\r\n", 17000), 431),
		ginkgo.Entry("a long trailer", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"+
			strings.Repeat("X: "+strings.Repeat("x", 1<<10)+"\r\n", 70), 431),
		ginkgo.Entry("a head and a trailer of many lines", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"+
			strings.Repeat("X:\r\n", 8500)+"\r\n0\r\n"+strings.Repeat("X:\r\n", 8500), 431),
		ginkgo.Entry("long chunk extensions, which the standard library's reader of chunks rejects", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+
			strings.Repeat("1;"+strings.Repeat("x", 1<<10)+"\r\nx\r\n", 200), 400),
		ginkgo.Entry("many chunks of one byte", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+
			strings.Repeat("1\r\nx\r\n", 100000), 413),
		ginkgo.Entry("a length above the limit", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 67108865\r\n\r\n", 413),
		ginkgo.Entry("a length beyond all numbers, which nbhttp's parser rejects", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n", 400),
	)

	// Guards against legal requests that are refused for their number of lines, and against lines that take more memory than is
	// counted: a line of four bytes takes many times that once it is decoded.
	ginkgo.DescribeTable("counts what the lines of a head or trailer cost", func(request func(lines string) string) {
		const size, fitting, tooMany = megabyte, 260, 15000
		s, addr := listenBounded(size, respondLength)
		lines := func(n int) string {
			var b strings.Builder
			for i := range n {
				fmt.Fprintf(&b, "%x:\r\n", i%4096)
			}
			return b.String()
		}
		Expect(statusOf(addr, request(lines(fitting)))).To(Equal(http.StatusOK))
		c := dial(addr)
		_, _ = io.WriteString(c, request(lines(tooMany)))
		expectRefusal(c, http.StatusServiceUnavailable)
		Expect(c.Close()).To(Succeed())
		Eventually(held(s)).Should(BeZero())
	},
		ginkgo.Entry("of a head", func(lines string) string { return "GET / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n" }),
		ginkgo.Entry("of a trailer", func(lines string) string {
			return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + lines + "\r\n"
		}),
	)

	ginkgo.It("is bounded by the limits in force when the head is complete", func() {
		var limits atomic.Pointer[sequoiafront.Limits]
		limits.Store(&sequoiafront.Limits{})
		_, addr := listenBounded(8*megabyte, respondLength, sequoiafront.WithLimits(func() sequoiafront.Limits { return *limits.Load() }))
		head := "POST / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2<<10) + "\r\n"
		whole := head + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)
		chunked := head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n"
		for _, request := range []string{whole, chunked} {
			c := dial(addr)
			limits.Store(&sequoiafront.Limits{MaxHead: 4 << 10, MaxBody: 2000})
			b := bufio.NewReader(c)
			send(c, request)
			resp, body := receive(b, http.MethodPost)
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(body).To(Equal("2000"))
			limits.Store(&sequoiafront.Limits{MaxHead: 4 << 10, MaxBody: 1999})
			send(c, request)
			expectRefusal(c, http.StatusRequestEntityTooLarge)
			c = dial(addr)
			limits.Store(&sequoiafront.Limits{MaxHead: 1 << 10})
			send(c, request)
			expectRefusal(c, http.StatusRequestHeaderFieldsTooLarge)
		}
	})

	// Guards against a process that cannot serve the largest request although nothing else happens, on the smallest machine
	// (184 MB).
	ginkgo.DescribeTable("suffices for a body of 60 MB on a process with 184 MB", func(head string, frame func(piece string) string, end string) {
		s, addr := listenBounded(sequoiamemory.AccountLimit(184*megabyte), respondLength)
		c := dial(addr)
		Expect(c.SetDeadline(time.Now().Add(30 * time.Second))).To(Succeed())
		send(c, "POST / HTTP/1.1\r\nHost: h\r\n"+head+"\r\n\r\n")
		piece := frame(strings.Repeat("x", megabyte))
		for range 60 {
			send(c, piece)
		}
		send(c, end)
		resp, body := receive(bufio.NewReader(c), http.MethodPost)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("62914560"))
		Expect(c.Close()).To(Succeed())
		Eventually(held(s)).Should(BeZero())
	},
		ginkgo.Entry("with a length", "Content-Length: 62914560", func(p string) string { return p }, ""),
		ginkgo.Entry("in chunks", "Transfer-Encoding: chunked", func(p string) string {
			return fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}, "0\r\n\r\n"),
	)

	// Guards against memory that is given to clients for what they only announce.
	ginkgo.It("is hardly taken by a length that is only claimed", func() {
		s, addr := listenBounded(8*megabyte, respondLength)
		for range 20 {
			send(dial(addr), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\nx")
		}
		Eventually(func() int64 { return s.Account().Held(sequoiamemory.Request) }).Should(BeNumerically(">", 20*4<<10))
		Consistently(func() int64 { return s.Account().Held(sequoiamemory.Request) }, "50ms").Should(BeNumerically("<", 20*32<<10))
	})

	// Guards against a crowd with incomplete requests that fills the memory of the process, and against small requests that
	// are refused because of it.
	ginkgo.It("goes to small requests when large ones have taken theirs, and to large ones when others stall", func() {
		s, addr := listenBounded(8*megabyte, respondLength)
		var stalled []net.Conn
		for range 6 {
			c := dial(addr)
			Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			send(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", megabyte, strings.Repeat("x", megabyte-1)))
			stalled = append(stalled, c)
			if len(stalled) == 1 {
				Eventually(func() int64 { return s.Account().Held(sequoiamemory.Request) }).Should(BeNumerically(">", megabyte))
				time.Sleep(orderPause)
			}
		}
		Eventually(func() int64 { return s.Account().Held(sequoiamemory.Request) }).Should(BeNumerically(">", 6*megabyte))
		whole := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*megabyte, strings.Repeat("x", 2*megabyte))
		refused := dial(addr)
		_, _ = io.WriteString(refused, whole)
		expectRefusal(refused, http.StatusServiceUnavailable)
		small := dial(addr)
		send(small, post("/"))
		_, body := receive(bufio.NewReader(small), http.MethodPost)
		Expect(body).To(Equal("4"))
		Expect(s.Stats().Refusals["NoRoom"]).To(BeEquivalentTo(1))
		// The other requests have made no progress for a second after a second.
		Eventually(func() int { return statusOf(addr, whole) }, "8s", "100ms").Should(Equal(http.StatusOK))
		expectRefusal(stalled[0], http.StatusRequestTimeout)
		Eventually(func() uint64 { return s.Stats().Refusals["Silent"] }).Should(BeNumerically(">", 0))
	})

	// Guards against responses that pile up for clients that do not read them.
	ginkgo.It("counts responses until the client has taken them, and ends connections that take none", func() {
		s, addr := listenBounded(64*megabyte, func(w http.ResponseWriter, r *http.Request) {
			sequoiafront.WriteResponse(w, r, http.StatusOK, make([]byte, 16*megabyte))
		})
		for range 3 {
			send(dial(addr), get("/"))
		}
		responses := func() int64 { return s.Account().Held(sequoiamemory.Response) }
		Eventually(responses).Should(BeNumerically(">=", 48*megabyte))
		Eventually(func() uint64 {
			c := dial(addr)
			defer c.Close()
			send(c, get("/"))
			_, body := receive(bufio.NewReader(c), http.MethodGet)
			Expect(body).To(HaveLen(16 * megabyte))
			return s.Stats().Closed["Write"]
		}, "8s", "200ms").Should(BeNumerically(">", 0))
		Eventually(responses).Should(BeNumerically("<=", 33*megabyte))
	})

	// Guards against a response that is counted by nobody between its handler and the front, or twice.
	ginkgo.It("takes the memory that a handler has reserved for a response", func() {
		var s *sequoiafront.Server
		refused, handed := make(chan bool, 10), make(chan bool, 10)
		s, addr := listenBounded(24*megabyte, func(w http.ResponseWriter, r *http.Request) {
			h, ok := s.Account().Reserve(sequoiamemory.Response, 16*megabyte)
			refused <- !ok
			if !ok {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			sequoiafront.WriteResponse(w, r, http.StatusOK, make([]byte, 16*megabyte))
			handed <- sequoiafront.HoldResponse(r, h)
			handed <- sequoiafront.HoldResponse(r, h)
		})
		first := dial(addr)
		send(first, get("/"))
		Expect(<-refused).To(BeFalse())
		Expect(<-handed).To(BeTrue())
		Expect(<-handed).To(BeFalse(), "it has an owner already")
		Consistently(func() int64 { return s.Account().Held(sequoiamemory.Response) }, "100ms").
			Should(And(BeNumerically(">", 16*megabyte-1), BeNumerically("<", 16*megabyte+64<<10)))
		Expect(statusOf(addr, get("/"))).To(Equal(http.StatusBadGateway))
		_, body := receive(bufio.NewReader(first), http.MethodGet)
		Expect(body).To(HaveLen(16 * megabyte))
		Eventually(func() int64 { return s.Account().Held(sequoiamemory.Response) }).Should(BeZero())
		Expect(statusOf(addr, get("/"))).To(Equal(http.StatusOK))
	})

	ginkgo.It("is free after any end of a connection", func() {
		s, addr := listenBounded(8*megabyte, func(w http.ResponseWriter, r *http.Request) {
			if r.RequestURI == "/closes" {
				w.Header().Set("Connection", "close")
			}
			respondLength(w, r)
		})
		for _, request := range []string{
			"", "GET", get("/"), strings.Repeat(get("/"), 20), get("/closes") + strings.Repeat(post("/"), 10), "x\r\n", post("/") + "GET /",
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nx",
			"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx",
		} {
			c := dial(addr)
			send(c, request)
			time.Sleep(10 * time.Millisecond)
			Expect(c.Close()).To(Succeed())
		}
		Eventually(held(s)).Should(BeZero())
		Expect(s.InProgress()).To(BeZero())
	})
})

var _ = ginkgo.Describe("connections of a listener", func() {
	// Guards against idle connections that keep others out, and a listener whose crowd silences another one.
	ginkgo.It("are bounded, and the one idle longest makes room", func() {
		s, addr := listenBounded(8*megabyte, echoTarget, sequoiafront.WithMaxConns(16))
		var conns []net.Conn
		for range 16 {
			c := dial(addr)
			send(c, get("/"))
			receive(bufio.NewReader(c), http.MethodGet)
			conns = append(conns, c)
			if len(conns) == 1 {
				time.Sleep(orderPause)
			}
		}
		Expect(statusOf(addr, get("/"))).To(Equal(http.StatusOK))
		expectRefusal(conns[0], http.StatusRequestTimeout)
		Eventually(func() uint64 { return s.Stats().Closed["Replaced"] }).Should(BeEquivalentTo(1))
		other, err := s.Listen(netip.MustParseAddrPort(serverAddress), http.HandlerFunc(echoTarget), sequoiafront.WithAccount(sequoiamemory.New(megabyte)))
		Expect(err).NotTo(HaveOccurred())
		Expect(statusOf(other, get("/"))).To(Equal(http.StatusOK))
		send(conns[1], get("/"))
		resp, _ := receive(bufio.NewReader(conns[1]), http.MethodGet)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against requests that are broken off for new connections, and against more connections than the limit allows.
	ginkgo.It("with a request in progress make no room", func() {
		const conns = 16
		release := make(chan struct{})
		s, addr := listenBounded(8*megabyte, func(w http.ResponseWriter, r *http.Request) {
			<-release
			echoTarget(w, r)
		}, sequoiafront.WithMaxConns(conns))
		var busy []net.Conn
		for range conns {
			c := dial(addr)
			send(c, get("/"))
			busy = append(busy, c)
		}
		Eventually(s.InProgress).Should(Equal(conns))
		for range 4 * conns {
			Expect(statusOf(addr, get("/"))).To(BeZero())
		}
		Expect(s.Stats().Closed["NoRoom"]).To(BeEquivalentTo(4 * conns))
		Expect(s.Account().Held(sequoiamemory.Connection)).To(BeEquivalentTo(conns * 12 << 10))
		close(release)
		for _, c := range busy {
			resp, _ := receive(bufio.NewReader(c), http.MethodGet)
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
	})

	// Guards against clients that keep a connection busy with a request that arrives bit by bit, or with a response that they
	// do not read.
	ginkgo.DescribeTable("whose clients are too slow make room", func(request, piece string) {
		_, addr := listenBounded(32*megabyte, func(w http.ResponseWriter, r *http.Request) {
			sequoiafront.WriteResponse(w, r, http.StatusOK, make([]byte, len(r.RequestURI)/2*megabyte))
		}, sequoiafront.WithMaxConns(2))
		stop := make(chan struct{})
		defer close(stop)
		for range 2 {
			c := dial(addr)
			send(c, request)
			go func() {
				for !isClosed(stop) {
					_, _ = io.WriteString(c, piece)
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
		time.Sleep(orderPause)
		for range 3 {
			Expect(statusOf(addr, get("/"))).To(Equal(http.StatusOK))
		}
	},
		ginkgo.Entry("in a head", "GET / HTTP/1.1\r\nX: ", "x"),
		ginkgo.Entry("in a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("x", 100)),
		ginkgo.Entry("in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		ginkgo.Entry("in reading", get("/response/of/8/MB"), ""),
	)

	// Guards against connections that are closed before the client, which may use them for that long, has sent its request.
	ginkgo.It("and heads have the time that the limits in force give them", func() {
		limits := sequoiafront.Limits{HeadTimeout: 300 * time.Millisecond, IdleTimeout: 600 * time.Millisecond}
		s, addr := listenBounded(8*megabyte, echoTarget, sequoiafront.WithLimits(func() sequoiafront.Limits { return limits }))
		c := dial(addr)
		b := bufio.NewReader(c)
		for range 3 {
			time.Sleep(limits.IdleTimeout * 4 / 5)
			send(c, get("/"))
			resp, _ := receive(b, http.MethodGet)
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
		began := time.Now()
		expectRefusal(c, http.StatusRequestTimeout)
		Expect(time.Since(began)).To(BeNumerically(">=", limits.IdleTimeout-time.Millisecond))
		Expect(c.Close()).To(Succeed())
		Eventually(func() uint64 { return s.Stats().Closed["Idle"] }).Should(BeEquivalentTo(1))

		c = dial(addr)
		began = time.Now()
		for range 3 {
			send(c, "GET / HTTP/1.1\r\n"[:6])
			time.Sleep(50 * time.Millisecond)
		}
		expectRefusal(c, http.StatusRequestTimeout)
		Expect(time.Since(began)).To(BeNumerically(">=", limits.HeadTimeout-time.Millisecond))
		Expect(s.Stats().Refusals["Silent"]).To(BeEquivalentTo(1))
	})

	// Guards against clients that keep others out by requests that they never complete.
	ginkgo.It("with incomplete requests make room after a second without progress", func() {
		_, addr := listenBounded(8*megabyte, echoTarget, sequoiafront.WithMaxConns(8))
		var conns []net.Conn
		for range 8 {
			c := dial(addr)
			send(c, "GET / HTTP/1.1\r\nX")
			conns = append(conns, c)
			if len(conns) == 1 {
				time.Sleep(orderPause)
			}
		}
		Eventually(func() int { return statusOf(addr, get("/")) }, "4s", "100ms").Should(Equal(http.StatusOK))
		expectRefusal(conns[0], http.StatusRequestTimeout)
	})

	ginkgo.It("take at most half of the memory", func() {
		s, addr := listenBounded(240<<10, echoTarget)
		for range 20 {
			dial(addr)
		}
		Eventually(func() uint64 { return s.Stats().Closed["Replaced"] }, "10s").Should(BeNumerically(">=", 10), func() string { return fmt.Sprint(s.Stats()) })
		Expect(s.Account().Held(sequoiamemory.Connection)).To(BeNumerically("<=", 120<<10))
		Expect(statusOf(addr, get("/"))).To(Equal(http.StatusOK))
		Expect(s.Account().Held(sequoiamemory.Connection)).To(BeNumerically("<=", 120<<10))
	})
})

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// statusOf sends a request on a new connection and returns the status of the response, 0 if there is none.
func statusOf(addr netip.AddrPort, request string) int {
	ginkgo.GinkgoHelper()
	c := dial(addr)
	defer c.Close()
	_, _ = io.WriteString(c, request)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

package sequoiahttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// maxPeakBytes is the most memory that one endless response may cost.
	maxPeakBytes = 16 << 20
	// endlessPiece is how much of an endless response is written at once.
	endlessPiece = 16 << 10
)

// endlessServer responds to each request with a beginning and then a piece again and again, until the client closes.
type endlessServer struct {
	addr   netip.AddrPort
	closed chan struct{}
}

func newEndlessServer(beginning, piece string) *endlessServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(ln.Close)
	s := &endlessServer{addr: ln.Addr().(*net.TCPAddr).AddrPort(), closed: make(chan struct{}, 100)}
	// Writing a string would copy it each time, in the process whose memory is measured.
	pieces := []byte(strings.Repeat(piece, 1+endlessPiece/len(piece)))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, beginning, pieces)
		}
	}()
	return s
}

func (s *endlessServer) serve(c net.Conn, beginning string, pieces []byte) {
	defer func() {
		_ = c.Close()
		s.closed <- struct{}{}
	}()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, err := io.WriteString(c, beginning)
	for err == nil {
		_, err = c.Write(pieces)
	}
}

// peakMemory returns the most heap memory in use during f, beyond that before it.
func peakMemory(f func()) uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak := m.HeapAlloc, m.HeapAlloc
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return peak - before
		case <-time.After(time.Millisecond):
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
		}
	}
}

// Guards against a server in trouble whose bytes without end fill the memory of the process. Without limits on the head
// one request allocated 560 MB and more within its first second.
var _ = ginkgo.Describe("An endless response", func() {
	const ok = "HTTP/1.1 200 OK\r\n"
	ginkgo.DescribeTable("fails its request as one that may have run, and costs little memory",
		func(beginning, piece string) {
			s := newEndlessServer(beginning, piece)
			c := New(WithResponsesUntilClose())
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var err error
			peak := peakMemory(func() {
				_, err = c.Do(ctx, s.addr, &Request{
					Method: http.MethodGet, Path: "/", Matches: func(h http.Header) bool { return h.Get("Late") == "" },
				})
			})
			Expect(err).To(HaveOccurred())
			Expect(NotSent(err)).To(BeFalse())
			Expect(ctx.Err()).NotTo(HaveOccurred(), "it was not stopped by a limit")
			Expect(peak).To(BeNumerically("<", maxPeakBytes))
			Eventually(s.closed, "2s").Should(Receive(), "the connection stays open")
		},
		ginkgo.Entry("status line", "HTTP/1.1 200 ", "OK "),
		ginkgo.Entry("no line at all", "", "x"),
		ginkgo.Entry("header line", ok+"Name: ", "value "),
		ginkgo.Entry("header fields", ok, "Name: value\r\n"),
		ginkgo.Entry("informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
		ginkgo.Entry("body with a length", ok+"Content-Length: 99999999999\r\n\r\n", "x"),
		ginkgo.Entry("body in chunks", ok+"Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"),
		ginkgo.Entry("body in one chunk", ok+"Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "x"),
		ginkgo.Entry("chunk extension", ok+"Transfer-Encoding: chunked\r\n\r\n1;", "name=value;"),
		ginkgo.Entry("chunk extensions", ok+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("e", 1000)+"\r\nx\r\n"),
		ginkgo.Entry("trailer", ok+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"),
		ginkgo.Entry("body until the close", ok+"\r\n", "x"),
		ginkgo.Entry("late responses", "", ok+"Late: 1\r\nContent-Length: 4\r\n\r\nlate"),
		ginkgo.Entry("body of a late response", ok+"Late: 1\r\nContent-Length: 99999999999\r\n\r\n", "x"),
	)

	ginkgo.It("leaves memory for others when many arrive at once", func() {
		s := newEndlessServer(ok+"Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "x")
		const requests = 40
		c := New(WithMaxBuffered(4 << 20))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		failed := make(chan error, requests)
		peak := peakMemory(func() {
			for range requests {
				go func() {
					_, err := c.Do(ctx, s.addr, &Request{Method: http.MethodGet, Path: "/"})
					failed <- err
				}()
			}
			for range requests {
				Expect(<-failed).To(HaveOccurred())
			}
		})
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(peak).To(BeNumerically("<", maxPeakBytes))
	})

	ginkgo.It("returns the buffer's share when a response has been read", func() {
		body := strings.Repeat("x", 300<<10)
		s := newServerWith(ok + "Content-Length: 307200\r\n\r\n" + body)
		c := New(WithMaxBuffered(1 << 20))
		for range 20 {
			resp, err := c.Do(context.Background(), s, &Request{Method: http.MethodGet, Path: "/"})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal(body))
		}
	})

	// Bytes that arrive only after the next request has been sent fail that request instead.
	ginkgo.It("is told from bytes that follow a response on an idle connection, which is not used again", func() {
		s := newEndlessServer(ok+"Content-Length: 2\r\n\r\nok", "x")
		c := New()
		for range 3 {
			resp, err := c.Do(context.Background(), s.addr, &Request{Method: http.MethodGet, Path: "/"})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal("ok"))
			time.Sleep(50 * time.Millisecond)
		}
	})
})

var _ = ginkgo.Describe("A second copy of a response", func() {
	// request returns a request that accepts only responses with its identifier.
	request := func(id string) *Request {
		return &Request{
			Method: http.MethodGet, Path: "/", Header: http.Header{"Id": {id}},
			Matches: func(h http.Header) bool { return h.Get("Id") == id },
		}
	}
	respond := func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(id)) + "\r\n\r\n" + id
	}

	// Guards against a caller that gets the answer of an earlier request on a connection that is in use again.
	ginkgo.It("that comes before the next response is not taken for it", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(ln.Close)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			r, last := bufio.NewReader(c), ""
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				id := req.Header.Get("Id")
				if last != "" {
					_, _ = io.WriteString(c, respond(last))
					time.Sleep(20 * time.Millisecond)
				}
				_, _ = io.WriteString(c, respond(id))
				last = id
			}
		}()
		c := New()
		for _, id := range []string{"first", "second", "third"} {
			resp, err := c.Do(context.Background(), ln.Addr().(*net.TCPAddr).AddrPort(), request(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal(id))
		}
	})
})

var _ = ginkgo.Describe("A connection on which a request was refused", func() {
	request := func(id string) *Request {
		return &Request{
			Method: http.MethodGet, Path: "/" + id, Header: http.Header{}, ID: id,
			Refusal: func(status int, _ http.Header) bool { return status == http.StatusServiceUnavailable },
		}
	}
	// newRefusingServer returns a server that refuses all requests, and the number of its connections.
	newRefusingServer := func() (netip.AddrPort, *atomic.Int64) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		accepted := &atomic.Int64{}
		srv := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }),
			ConnState: func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					accepted.Add(1)
				}
			},
		}
		go func() { _ = srv.Serve(ln) }()
		ginkgo.DeferCleanup(srv.Close)
		return ln.Addr().(*net.TCPAddr).AddrPort(), accepted
	}
	do := func(c *Client, addr netip.AddrPort, id string) {
		_, err := c.Do(context.Background(), addr, request(id))
		Expect(err).NotTo(HaveOccurred())
	}

	// Guards against a refusal that is written again and taken for the response to a later attempt of the same request.
	ginkgo.It("carries other requests, but not the same one again", func() {
		addr, accepted := newRefusingServer()
		c := New()
		for i := range 10 {
			do(c, addr, strconv.Itoa(i))
		}
		Expect(accepted.Load()).To(Equal(int64(1)))
		do(c, addr, "3")
		Expect(accepted.Load()).To(Equal(int64(2)))
		do(c, addr, "3")
		Expect(accepted.Load()).To(Equal(int64(3)))
	})

	ginkgo.It("is closed if requests have no identifier, or after many refusals", func() {
		addr, accepted := newRefusingServer()
		c := New()
		do(c, addr, "")
		do(c, addr, "")
		Expect(accepted.Load()).To(Equal(int64(2)))
		for i := range 2 * maxRefused {
			do(c, addr, strconv.Itoa(i))
		}
		Expect(accepted.Load()).To(Equal(int64(4)))
	})
})

var _ = ginkgo.Describe("A response that is cut off", func() {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 7\r\nSignature: s\r\n"

	// serveOnce accepts one connection, reads a request, sends the bytes and closes.
	serveOnce := func(ln net.Listener, response string) {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
	}

	// Guards against a caller that gets a success with an empty or short body because its upstream broke off.
	ginkgo.DescribeTable("at any byte is no response",
		func(response string, complete int) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			ginkgo.DeferCleanup(ln.Close)
			addr := ln.Addr().(*net.TCPAddr).AddrPort()
			for n := range complete {
				go serveOnce(ln, response[:n])
				c := New(WithResponsesUntilClose())
				resp, err := c.Do(context.Background(), addr, &Request{Method: http.MethodGet, Path: "/", Header: http.Header{}})
				Expect(err).To(HaveOccurred(), "cut after %d bytes: %q, got %v", n, response[:n], resp)
				Expect(NotSent(err)).To(BeFalse())
			}
			go serveOnce(ln, response)
			c := New(WithResponsesUntilClose())
			resp, err := c.Do(context.Background(), addr, &Request{Method: http.MethodGet, Path: "/", Header: http.Header{}})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal("0123456789"))
		},
		ginkgo.Entry("with a length", head+"Content-Length: 10\r\n\r\n0123456789", len(head+"Content-Length: 10\r\n\r\n0123456789")),
		ginkgo.Entry("in chunks", head+"Transfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n4\r\n6789\r\n0\r\n\r\n",
			len(head+"Transfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n4\r\n6789\r\n0\r\n\r\n")),
		ginkgo.Entry("in the head of one that ends with its connection", head+"\r\n0123456789", len(head+"\r\n")),
		ginkgo.Entry("with a length, after an informational response", "HTTP/1.1 103 X\r\n\r\n"+head+"Content-Length: 10\r\n\r\n0123456789",
			len("HTTP/1.1 103 X\r\n\r\n"+head+"Content-Length: 10\r\n\r\n0123456789")),
		ginkgo.Entry("with bare line feeds", strings.ReplaceAll(head, "\r", "")+"Content-Length: 10\n\n0123456789",
			len(strings.ReplaceAll(head, "\r", "")+"Content-Length: 10\n\n0123456789")),
	)
})

// newServerWith returns the address of a server that sends the same bytes as response to each request.
func newServerWith(response string) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(ln.Close)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

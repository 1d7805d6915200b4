package sequoiahttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTP(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiahttp")
}

// server responds to requests with their path. After goSilent, it reads from the connections that are open at that time
// but does not respond; new connections work.
type server struct {
	addr         netip.AddrPort
	silenceCount atomic.Int64
	accepted     atomic.Int64
	requestsRun  atomic.Int64
	// partial makes a silent connection send the beginning of a response.
	partial atomic.Bool
	// hold, if set, is received from before each response.
	hold atomic.Pointer[chan struct{}]
}

func newServer() *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(ln.Close)
	s := &server{addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.serve(c, s.silenceCount.Load())
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, silenceAtAccept int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.silenceCount.Load() != silenceAtAccept {
			if s.partial.Load() {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			}
			continue
		}
		if hold := s.hold.Load(); hold != nil {
			<-*hold
		}
		s.requestsRun.Add(1)
		body := req.URL.Path
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+string(rune('0'+len(body)))+"\r\n\r\n"+body)
	}
}

func (s *server) goSilent() { s.silenceCount.Add(1) }

func post(c *Client, s *server, path string, timeout time.Duration) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Do(ctx, s.addr, &Request{Method: http.MethodPost, Path: path, Header: http.Header{}, Body: []byte("x")})
}

func expectAnswer(c *Client, s *server, path string) {
	ginkgo.GinkgoHelper()
	resp, err := post(c, s, path, 5*time.Second)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(resp.Body)).To(Equal(path))
}

var _ = ginkgo.Describe("A connection that stops responding without a reset", func() {
	var c *Client
	ginkgo.BeforeEach(func() {
		c = New()
		ginkgo.DeferCleanup(c.Close)
	})

	ginkgo.It("fails its request at the deadline as one that may have run, and is replaced", func() {
		s := newServer()
		expectAnswer(c, s, "/a")
		s.goSilent()
		start := time.Now()
		_, err := post(c, s, "/b", 200*time.Millisecond)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(NotSent(err)).To(BeFalse(), "a request that was sent is reported as not sent")
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		expectAnswer(c, s, "/c")
		Expect(s.accepted.Load()).To(Equal(int64(2)), "the silent connection was reused, or a request was sent twice")
		Expect(s.requestsRun.Load()).To(Equal(int64(2)))
	})

	ginkgo.It("returns no part of an incomplete response", func() {
		s := newServer()
		expectAnswer(c, s, "/a")
		s.partial.Store(true)
		s.goSilent()
		resp, err := post(c, s, "/b", 200*time.Millisecond)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(NotSent(err)).To(BeFalse())
		Expect(resp).To(BeNil())
		expectAnswer(c, s, "/c")
	})

	ginkgo.It("closes the other idle connections too, so that they do not fail one request each", func() {
		s := newServer()
		hold := make(chan struct{})
		s.hold.Store(&hold)
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				expectAnswer(c, s, "/a")
			})
		}
		Eventually(s.accepted.Load).Should(Equal(int64(4)))
		s.hold.Store(nil)
		close(hold)
		wg.Wait()
		s.goSilent()
		_, err := post(c, s, "/b", minSilence+100*time.Millisecond)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		expectAnswer(c, s, "/c")
		Expect(s.accepted.Load()).To(Equal(int64(5)))
	})

	ginkgo.It("keeps the other idle connections if the deadline is too short to detect a dead connection", func() {
		s := newServer()
		hold := make(chan struct{})
		s.hold.Store(&hold)
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				expectAnswer(c, s, "/a")
			})
		}
		Eventually(s.accepted.Load).Should(Equal(int64(2)))
		close(hold)
		wg.Wait()
		slow := make(chan struct{})
		s.hold.Store(&slow)
		_, err := post(c, s, "/b", 50*time.Millisecond)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		s.hold.Store(nil)
		close(slow)
		expectAnswer(c, s, "/c")
		Expect(s.accepted.Load()).To(Equal(int64(2)))
	})
})

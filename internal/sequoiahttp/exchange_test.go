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

// server answers requests with their path until silence, after which the open connections are read but not answered.
// Later connections work.
type server struct {
	addr     netip.AddrPort
	silences atomic.Int64
	accepted atomic.Int64
	ran      atomic.Int64
	// partial makes a silent connection send the start of a response.
	partial atomic.Bool
	// hold is received from before each answer, if it is set.
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
			go s.serve(c, s.silences.Load())
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, opened int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.silences.Load() != opened {
			if s.partial.Load() {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			}
			continue
		}
		if hold := s.hold.Load(); hold != nil {
			<-*hold
		}
		s.ran.Add(1)
		body := req.URL.Path
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+string(rune('0'+len(body)))+"\r\n\r\n"+body)
	}
}

func (s *server) goSilent() { s.silences.Add(1) }

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

var _ = ginkgo.Describe("A connection that goes silent without a reset", func() {
	var c *Client
	ginkgo.BeforeEach(func() {
		c = New()
		ginkgo.DeferCleanup(c.Close)
	})

	ginkgo.It("ends its request at the deadline as one that may have run, and is replaced", func() {
		s := newServer()
		expectAnswer(c, s, "/a")
		s.goSilent()
		start := time.Now()
		_, err := post(c, s, "/b", 200*time.Millisecond)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(NotSent(err)).To(BeFalse(), "a request that was sent is told as not run")
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		expectAnswer(c, s, "/c")
		Expect(s.accepted.Load()).To(Equal(int64(2)), "the silent connection was used again, or a request was sent twice")
		Expect(s.ran.Load()).To(Equal(int64(2)))
	})

	ginkgo.It("gives no part of a response that stops", func() {
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

	ginkgo.It("takes the other idle connections with it, so that not every one of them loses a request", func() {
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
		_, err := post(c, s, "/b", silentAfter+100*time.Millisecond)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		expectAnswer(c, s, "/c")
		Expect(s.accepted.Load()).To(Equal(int64(5)))
	})

	ginkgo.It("keeps the other idle connections after a deadline that is too short to show silence", func() {
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

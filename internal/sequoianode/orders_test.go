package sequoianode

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
)

// repeatingServer answers grants at once and releases after releaseWork. Where the response to a release is due, it
// first writes the response to the grant once more.
func repeatingServer(c net.Conn, releaseWork time.Duration) {
	defer c.Close()
	r, again := bufio.NewReader(c), ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/grant" {
			again = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, again)
			continue
		}
		_, _ = io.WriteString(c, again)
		time.Sleep(releaseWork)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nHandover: token\r\nContent-Length: 0\r\n\r\n")
	}
}

var _ = ginkgo.Describe("release", func() {
	// Guards against keys that are given away while their upstream still works on them, because it wrote the response to a
	// grant once more.
	ginkgo.It("takes no response to an earlier order for its own", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(ln.Close)
		const releaseWork = 50 * time.Millisecond
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go repeatingServer(c, releaseWork)
			}
		}()
		n := newCommitNode(&tableStore{})
		n.settings.Upstream = ln.Addr().(*net.TCPAddr).AddrPort()
		post := func(path string) *sequoiahttp.Request {
			return &sequoiahttp.Request{Method: http.MethodPost, Path: path, Header: http.Header{}}
		}
		n.dialect.Grant = func(sequoiaowner.Grant) (*sequoiahttp.Request, error) { return post("/grant"), nil }
		n.dialect.Release = func(sequoiaowner.Release) (*sequoiahttp.Request, error) { return post("/release"), nil }
		for range 3 {
			resp, err := n.sendGrant(context.Background(), sequoiaowner.Grant{})
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Status).To(Equal(http.StatusOK))
			began := time.Now()
			resp, err = n.sendRelease(context.Background(), sequoiaowner.Release{})
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Header.Get("Handover")).To(Equal("token"))
			Expect(time.Since(began)).To(BeNumerically(">=", releaseWork))
		}
	})
})

var _ = ginkgo.Describe("grants", func() {
	// Guards against new connections for most grants: ranges that were split are renewed at the same time, several times in
	// a grant's duration.
	ginkgo.It("that are sent at the same time use the same connections again", func() {
		const grants, rounds = 20, 5
		var accepted atomic.Int64
		var arrived sync.WaitGroup
		srv := &http.Server{
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				arrived.Done()
				arrived.Wait()
			}),
			ConnState: func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					accepted.Add(1)
				}
			},
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = srv.Serve(ln) }()
		ginkgo.DeferCleanup(srv.Close)
		n := newCommitNode(&tableStore{})
		n.settings.Upstream = ln.Addr().(*net.TCPAddr).AddrPort()
		n.dialect.Grant = func(sequoiaowner.Grant) (*sequoiahttp.Request, error) {
			return &sequoiahttp.Request{Method: http.MethodPost, Path: "/grant", Header: http.Header{}}, nil
		}
		for range rounds {
			arrived.Add(grants)
			var sent sync.WaitGroup
			for range grants {
				sent.Go(func() {
					defer ginkgo.GinkgoRecover()
					_, err := n.sendGrant(context.Background(), sequoiaowner.Grant{})
					Expect(err).NotTo(HaveOccurred())
				})
			}
			sent.Wait()
		}
		Expect(accepted.Load()).To(Equal(int64(grants)))
	})
})

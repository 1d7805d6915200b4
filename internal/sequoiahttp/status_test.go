package sequoiahttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// onceServer sends a response on each connection and then waits until the client closes it.
type onceServer struct {
	addr   netip.AddrPort
	closed chan struct{}
}

func newOnceServer(response string) *onceServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(ln.Close)
	s := &onceServer{addr: ln.Addr().(*net.TCPAddr).AddrPort(), closed: make(chan struct{}, 1)}
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, response)
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		s.closed <- struct{}{}
	}()
	return s
}

// Guards against an upstream in trouble whose status 000 a caller got as an answer, and against callers that wait until
// their deadline for a response after one that cannot be interim.
var _ = ginkgo.Describe("A response that HTTP does not allow", func() {
	do := func(method, response string) (*Response, *onceServer, error) {
		s := newOnceServer(response)
		c := New(WithResponsesUntilClose())
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		resp, err := c.Do(ctx, s.addr, &Request{Method: method, Path: "/", Header: http.Header{}})
		Expect(ctx.Err()).NotTo(HaveOccurred(), "it was waited for until the deadline")
		return resp, s, err
	}
	expectNone := func(method, response string) {
		ginkgo.GinkgoHelper()
		resp, s, err := do(method, response)
		Expect(err).To(MatchError(ErrMalformedResponse), "%q was taken for %+v", response, resp)
		Expect(NotSent(err)).To(BeFalse())
		Eventually(s.closed, "2s").Should(Receive(), "the connection stays open")
	}

	ginkgo.It("is no answer if its status is outside 100 to 599", func() {
		for status := range 1000 {
			if status < 100 || status > 599 {
				expectNone(http.MethodGet, fmt.Sprintf("HTTP/1.1 %03d X\r\nContent-Length: 2\r\n\r\nok", status))
			}
		}
	})

	ginkgo.DescribeTable("is no answer",
		expectNone,
		ginkgo.Entry("with a status of two digits", http.MethodGet, "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("with a status of four digits", http.MethodGet, "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("with a sign and three digits", http.MethodGet, "HTTP/1.1 +200\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("with a sign and two digits", http.MethodGet, "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("with a negative status", http.MethodGet, "HTTP/1.1 -20 OK\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("without a status", http.MethodGet, "HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("with a blank status", http.MethodGet, "HTTP/1.1    OK\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("of another protocol", http.MethodGet, "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("that is interim and has a length", http.MethodGet, "HTTP/1.1 199 X\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("that is interim and has a body", http.MethodGet,
			"HTTP/1.1 100 Continue\r\nContent-Length: 38\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("that is interim and has a body in chunks", http.MethodGet,
			"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		ginkgo.Entry("that follows too many interim ones", http.MethodGet,
			strings.Repeat("HTTP/1.1 103 X\r\n\r\n", maxInterim+1)+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
		ginkgo.Entry("that is 204 and has a body", http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("that is 204 and has a body in chunks", http.MethodGet, "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		ginkgo.Entry("that is 204 and is followed by a body", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\nok"),
		ginkgo.Entry("that is 304 and is followed by a body", http.MethodGet, "HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\nok"),
		ginkgo.Entry("to HEAD that is followed by a body", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
	)

	ginkgo.It("is no answer if the server switches protocols unasked", func() {
		_, s, err := do(http.MethodGet, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
		Expect(err).To(MatchError(ErrProtocolSwitch))
		Eventually(s.closed, "2s").Should(Receive())
	})

	ginkgo.It("leaves those that it allows as they are", func() {
		for status := 200; status < 600; status++ {
			response := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
			resp, _, err := do(http.MethodGet, strings.Repeat("HTTP/1.1 103 X\r\nLink: x\r\n\r\n", maxInterim)+response)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Status).To(Equal(status))
		}
	})

	// The body of such a response may come later and would be taken for the next response.
	ginkgo.It("is not followed by another on its connection, if it announces a body that it may not have", func() {
		for _, response := range []string{"HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n"} {
			resp, s, err := do(http.MethodGet, response)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Status).To(Equal(http.StatusNotModified))
			Eventually(s.closed, "2s").Should(Receive(), "the connection stays open")
		}
	})
})

// Guards against a caller that gets the beginning of a status line that was cut off.
var _ = ginkgo.Describe("A status line that is cut off", func() {
	ginkgo.It("is no answer", func() {
		const line = "HTTP/1.1 200 OK\r\n"
		for n := range len(line) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			ginkgo.DeferCleanup(ln.Close)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = c.Read(make([]byte, 1000))
				_, _ = c.Write([]byte(line[:n]))
			}()
			_, err = New(WithResponsesUntilClose()).Do(context.Background(), ln.Addr().(*net.TCPAddr).AddrPort(),
				&Request{Method: http.MethodGet, Path: "/", Header: http.Header{}})
			Expect(err).To(HaveOccurred(), line[:n])
			Expect(NotSent(err)).To(BeFalse())
		}
	})
})

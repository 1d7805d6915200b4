package sequoiafront_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Front")
}

// Addresses of this package's tests. Many short connections use up ports, which tests of other packages that bind ports
// of 127.0.0.1 again would then find in use.
const (
	serverAddress = "127.0.2.1:0"
	// These are the last parts of the clients' addresses.
	clientAddress = 3
	askerAddress  = 10
	leaverAddress = 30
	// churnTime is how long connections come and go, 5 s: enough for some of them to fail when descriptors are mixed up.
	churnTime = 5 * time.Second
)

// connect opens a connection from 127.0.2.from.
func connect(addr netip.AddrPort, from int) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 2, byte(from))}}
	return d.Dial("tcp", addr.String())
}

// listen starts a front that ends with the test.
func listen(h http.HandlerFunc) netip.AddrPort {
	f := sequoiafront.New(1 << 20)
	ginkgo.DeferCleanup(f.Close)
	addr, err := f.Listen(netip.MustParseAddrPort(serverAddress), h)
	Expect(err).NotTo(HaveOccurred())
	return addr
}

func dial(addr netip.AddrPort) net.Conn {
	c, err := connect(addr, clientAddress)
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	return c
}

var _ = ginkgo.Describe("Front", func() {
	// Guards against a connection that is cut because another one with the same descriptor has just been closed. Clients
	// that leave while a response is written to them, and clients that upload, make nbio's event loops do that.
	ginkgo.It("answers every request while other connections come and go", func() {
		large := make([]byte, 200<<10)
		addr := listen(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(2 * time.Millisecond)
			body := []byte("whole")
			if r.URL.Path == "/large" {
				body = large
			}
			sequoiafront.WriteBody(w, r, http.StatusOK, body)
		})
		ctx, cancel := context.WithTimeout(context.Background(), churnTime)
		defer cancel()
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() { leave(ctx, addr, leaverAddress+i) })
		}
		for range 4 {
			all.Go(func() { upload(ctx, addr) })
		}
		var asked, failed atomic.Int64
		for i := range 6 {
			all.Go(func() {
				for ctx.Err() == nil {
					asked.Add(1)
					if err := ask(addr, askerAddress+i); err != nil {
						ginkgo.GinkgoWriter.Println(err)
						failed.Add(1)
					}
				}
			})
		}
		all.Wait()
		Expect(asked.Load()).To(BeNumerically(">", 100))
		Expect(failed.Load()).To(BeZero(), "of %d", asked.Load())
	})

	ginkgo.It("cancels a request whose client has gone", func() {
		cancelled := make(chan struct{})
		addr := listen(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(cancelled)
		})
		c := dial(addr)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		Expect(c.Close()).To(Succeed())
		Eventually(cancelled, "2s").Should(BeClosed())
	})

	// Guards against nbhttp's blocking mode, which goes on after an error of the parser.
	ginkgo.It("runs nothing that follows bytes that are no request", func() {
		served := make(chan string, 10)
		addr := listen(func(w http.ResponseWriter, r *http.Request) {
			served <- r.RequestURI
			sequoiafront.WriteBody(w, r, http.StatusOK, nil)
		})
		c := dial(addr)
		_, err := io.WriteString(c, "\x00\x01garbage\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(c, "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
		Consistently(served, "300ms").ShouldNot(Receive())
	})

	ginkgo.It("answers a request before bytes that are no request, and then rejects those", func() {
		addr := listen(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			sequoiafront.WriteBody(w, r, http.StatusOK, []byte("whole"))
		})
		c := dial(addr)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		b := bufio.NewReader(c)
		for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
			resp, err := http.ReadResponse(b, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			_, err = io.Copy(io.Discard, resp.Body)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = b.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})
})

// leave sends requests and resets each connection at about the time at which the response is written.
func leave(ctx context.Context, addr netip.AddrPort, from int) {
	for ctx.Err() == nil {
		c, err := connect(addr, from)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(1500*time.Microsecond + time.Duration(rand.IntN(1500))*time.Microsecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// upload sends large requests on one connection.
func upload(ctx context.Context, addr netip.AddrPort) {
	c, err := connect(addr, clientAddress)
	if err != nil {
		return
	}
	defer c.Close()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	body := make([]byte, 500<<10)
	for ctx.Err() == nil {
		if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// ask sends one request on a new connection and reads the whole response.
func ask(addr netip.AddrPort, from int) error {
	c, err := connect(addr, from)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "whole" {
		return fmt.Errorf("body %q: %w", body, err)
	}
	return nil
}

package sequoiafront_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Front")
}

// The tests use addresses other than 127.0.0.1. Their many short connections would use up its ports, and tests of other
// packages that bind a port of 127.0.0.1 again would find it in use.
const (
	serverAddress = "127.0.2.1:0"
	// Last octets of the client addresses. Getters and resetters use consecutive octets, one each.
	clientOctet        = 3
	firstGetterOctet   = 10
	firstResetterOctet = 30
	// churnDuration is how long connections are opened and closed. It is long enough for some requests to fail if
	// connections with the same descriptor are confused.
	churnDuration = 5 * time.Second
)

// dialFrom opens a connection whose local address is 127.0.2.octet.
func dialFrom(addr netip.AddrPort, octet int) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 2, byte(octet))}}
	return d.Dial("tcp", addr.String())
}

// listen starts a server that is closed at the end of the test.
func listen(h http.HandlerFunc) netip.AddrPort {
	s := sequoiafront.New(1 << 20)
	ginkgo.DeferCleanup(s.Close)
	addr, err := s.Listen(netip.MustParseAddrPort(serverAddress), h)
	Expect(err).NotTo(HaveOccurred())
	return addr
}

func dial(addr netip.AddrPort) net.Conn {
	c, err := dialFrom(addr, clientOctet)
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	return c
}

var _ = ginkgo.Describe("Server", func() {
	// Guards against closing a connection because another one with the same file descriptor has just been closed. nbio's
	// event loops do this when clients reset connections during a response while other clients upload.
	ginkgo.It("answers every request while other connections come and go", func() {
		large := make([]byte, 200<<10)
		addr := listen(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(2 * time.Millisecond)
			body := []byte("whole")
			if r.URL.Path == "/large" {
				body = large
			}
			sequoiafront.WriteResponse(w, r, http.StatusOK, body)
		})
		ctx, cancel := context.WithTimeout(context.Background(), churnDuration)
		defer cancel()
		var clients sync.WaitGroup
		for i := range 8 {
			clients.Go(func() { resetConnections(ctx, addr, firstResetterOctet+i) })
		}
		for range 4 {
			clients.Go(func() { uploadBodies(ctx, addr) })
		}
		var sent, failed atomic.Int64
		for i := range 6 {
			clients.Go(func() {
				for ctx.Err() == nil {
					sent.Add(1)
					if err := getOnce(addr, firstGetterOctet+i); err != nil {
						ginkgo.GinkgoWriter.Println(err)
						failed.Add(1)
					}
				}
			})
		}
		clients.Wait()
		Expect(sent.Load()).To(BeNumerically(">", 100))
		Expect(failed.Load()).To(BeZero(), "of %d", sent.Load())
	})

	ginkgo.It("cancels a request whose client has closed the connection", func() {
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

	// Guards against running requests after a parse error, as nbhttp's blocking mode does.
	ginkgo.It("runs no request that follows malformed data", func() {
		served := make(chan string, 10)
		addr := listen(func(w http.ResponseWriter, r *http.Request) {
			served <- r.RequestURI
			sequoiafront.WriteResponse(w, r, http.StatusOK, nil)
		})
		c := dial(addr)
		_, err := io.WriteString(c, "\x00\x01garbage\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(c, "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
		Consistently(served, "300ms").ShouldNot(Receive())
	})

	ginkgo.It("responds to a request before malformed data, and then rejects the data", func() {
		addr := listen(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			sequoiafront.WriteResponse(w, r, http.StatusOK, []byte("whole"))
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

var _ = ginkgo.Describe("Listen", func() {
	// Guards against a body without end that fills the memory although its listener expects a short one.
	ginkgo.It("rejects bodies above the limit of its listener, with a length or in chunks", func() {
		s := sequoiafront.New(64 << 20)
		ginkgo.DeferCleanup(s.Close)
		var handled atomic.Int64
		addr, err := s.Listen(netip.MustParseAddrPort(serverAddress), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			sequoiafront.WriteResponse(w, r, http.StatusOK, nil)
		}), sequoiafront.WithMaxBody(1<<10))
		Expect(err).NotTo(HaveOccurred())
		for _, head := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
			c := dial(addr)
			_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", head)
			Expect(err).NotTo(HaveOccurred())
			sent := 0
			for err == nil && sent < 16<<20 {
				_, err = io.WriteString(c, "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n")
				sent += 1 << 10
			}
			Expect(err).To(HaveOccurred(), "%s: the connection stays open", head)
		}
		Expect(handled.Load()).To(BeZero())
	})
})

var _ = ginkgo.Describe("Drain", func() {
	// Guards against a planned stop that cuts off requests that have just been accepted (i7-signal-in-progress: one of 179
	// requests without an answer).
	ginkgo.It("answers every request on the connections of clients that keep sending", func() {
		for range 10 {
			s := sequoiafront.New(1 << 20)
			addr, err := s.Listen(netip.MustParseAddrPort(serverAddress), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(2 * time.Millisecond)
				sequoiafront.WriteResponse(w, r, http.StatusOK, []byte("whole"))
			}))
			Expect(err).NotTo(HaveOccurred())
			var cutOff, answered atomic.Int64
			var clients sync.WaitGroup
			for range 8 {
				clients.Go(func() { keepSending(addr, &answered, &cutOff) })
			}
			time.Sleep(50 * time.Millisecond)
			s.Drain(2 * time.Second)
			s.Close()
			clients.Wait()
			Expect(answered.Load()).To(BeNumerically(">", 0))
			Expect(cutOff.Load()).To(BeZero(), "of %d requests", answered.Load())
		}
	})

	// Guards against a request that is cut off because it crosses the close of its connection (i7-signal-in-progress: a
	// caller that sends a request every 225 ms was told that the request may have run).
	ginkgo.It("answers or refuses every request on the connections of clients that pause between requests", func() {
		var cutOff, answered, refused atomic.Int64
		for range 10 {
			s := sequoiafront.New(1<<20, sequoiafront.WithRefusal(http.Header{"Outcome": {"NotRun"}}))
			addr, err := s.Listen(netip.MustParseAddrPort(serverAddress), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				sequoiafront.WriteResponse(w, r, http.StatusOK, []byte("whole"))
			}))
			Expect(err).NotTo(HaveOccurred())
			var clients sync.WaitGroup
			for i := range 200 {
				clients.Go(func() {
					sendAfterPause(addr, 150*time.Millisecond+time.Duration(i)*time.Millisecond/2, &answered, &refused, &cutOff)
				})
			}
			time.Sleep(50 * time.Millisecond)
			s.Drain(2 * time.Second)
			s.Close()
			clients.Wait()
		}
		Expect(answered.Load()).To(BeNumerically(">", 0))
		Expect(cutOff.Load()).To(BeZero(), "%d requests were answered, %d refused", answered.Load(), refused.Load())
	})

	// Guards against a reset of connections that clients have opened and the process has not accepted yet (CI: requests
	// without an answer in the test above, all on connections opened just before the stop).
	ginkgo.It("answers requests on connections that were established and not accepted", func() {
		const conns = 100
		s := sequoiafront.New(1<<20, sequoiafront.WithRefusal(http.Header{"Outcome": {"NotRun"}}))
		addr, err := s.Listen(netip.MustParseAddrPort(serverAddress), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sequoiafront.WriteResponse(w, r, http.StatusOK, []byte("whole"))
		}))
		Expect(err).NotTo(HaveOccurred())
		// With one processor, no goroutine accepts connections before Drain waits.
		ginkgo.DeferCleanup(runtime.GOMAXPROCS, runtime.GOMAXPROCS(1))
		var answered atomic.Int64
		var clients sync.WaitGroup
		for range conns {
			connected := connectBlocking(addr)
			clients.Go(func() {
				defer connected.Close()
				c, err := net.FileConn(connected)
				if err != nil {
					return
				}
				defer c.Close()
				if _, body, err := exchange(c, bufio.NewReader(c)); err == nil && body == "whole" {
					answered.Add(1)
				}
			})
		}
		s.Drain(2 * time.Second)
		s.Close()
		clients.Wait()
		Expect(answered.Load()).To(Equal(int64(conns)))
	})

	ginkgo.It("ends after its limit if a request does not end", func() {
		s := sequoiafront.New(1 << 20)
		ginkgo.DeferCleanup(s.Close)
		s.AddInProgress(1)
		began := time.Now()
		s.Drain(200 * time.Millisecond)
		Expect(time.Since(began)).To(BeNumerically("~", 200*time.Millisecond, 100*time.Millisecond))
	})
})

// latency is the time from when a client decides to use a connection until its request arrives.
const latency = 5 * time.Millisecond

// connectBlocking opens a connection without letting other goroutines run.
func connectBlocking(addr netip.AddrPort) *os.File {
	ginkgo.GinkgoHelper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(unix.Connect(fd, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()})).To(Succeed())
	return os.NewFile(uintptr(fd), "client")
}

// sendAfterPause sends a request, and a second one after a pause on the same connection unless that has been closed.
func sendAfterPause(addr netip.AddrPort, pause time.Duration, answered, refused, cutOff *atomic.Int64) {
	c, err := dialFrom(addr, clientOctet)
	if err != nil {
		return
	}
	defer c.Close()
	responses := bufio.NewReader(c)
	for n := range 2 {
		if n > 0 {
			time.Sleep(pause)
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := responses.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return // The server has closed the connection or refused further requests.
		}
		time.Sleep(latency)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, body, err := exchange(c, responses)
		switch {
		case err == nil && resp.StatusCode == http.StatusRequestTimeout && resp.Header.Get("Outcome") == "NotRun":
			refused.Add(1)
			return
		case err != nil || body != "whole":
			cutOff.Add(1)
			return
		}
		answered.Add(1)
		if resp.Close {
			return
		}
	}
}

// exchange sends a request and returns its response and the body.
func exchange(c net.Conn, responses *bufio.Reader) (*http.Response, string, error) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// keepSending sends one request after another on one connection until it is told to close the connection.
func keepSending(addr netip.AddrPort, answered, cutOff *atomic.Int64) {
	c, err := dialFrom(addr, clientOctet)
	if err != nil {
		return
	}
	defer c.Close()
	responses := bufio.NewReader(c)
	for {
		resp, body, err := exchange(c, responses)
		if err != nil || body != "whole" {
			cutOff.Add(1)
			return
		}
		answered.Add(1)
		if resp.Close {
			return
		}
	}
}

// resetConnections sends requests and resets each connection at about the time when the response is written.
func resetConnections(ctx context.Context, addr netip.AddrPort, octet int) {
	for ctx.Err() == nil {
		c, err := dialFrom(addr, octet)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(1500*time.Microsecond + time.Duration(rand.IntN(1500))*time.Microsecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// uploadBodies sends requests with large bodies on one connection.
func uploadBodies(ctx context.Context, addr netip.AddrPort) {
	c, err := dialFrom(addr, clientOctet)
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

// getOnce sends one request on a new connection and reads the whole response.
func getOnce(addr netip.AddrPort, octet int) error {
	c, err := dialFrom(addr, octet)
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

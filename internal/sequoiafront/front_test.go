package sequoiafront_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
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
	clientAddress = "127.0.2.2"
	// leavePause is the time between two connections of a client that leaves at once.
	leavePause = time.Millisecond
)

// connect opens a connection from the clients' address.
func connect(addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(clientAddress)}}
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
	c, err := connect(addr)
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	return c
}

var _ = ginkgo.Describe("Front", func() {
	// Guards against a connection that is cut because another one with the same descriptor has just been closed. Clients
	// that leave at once and clients that wait use new connections all the time.
	ginkgo.It("answers every request while other connections come and go", func() {
		addr := listen(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(2 * time.Millisecond)
			sequoiafront.WriteBody(w, r, http.StatusOK, []byte("whole"))
		})
		stop := make(chan struct{})
		var leaving, asking sync.WaitGroup
		for range 4 {
			leaving.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if c, err := connect(addr); err == nil {
						_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
						_ = c.Close()
					}
					time.Sleep(leavePause)
				}
			})
		}
		var mu sync.Mutex
		var failed []error
		for range 4 {
			asking.Go(func() {
				for range 300 {
					if err := ask(addr); err != nil {
						mu.Lock()
						failed = append(failed, err)
						mu.Unlock()
					}
				}
			})
		}
		asking.Wait()
		close(stop)
		leaving.Wait()
		Expect(failed).To(BeEmpty())
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
})

// ask sends one request on a new connection and reads the whole response.
func ask(addr netip.AddrPort) error {
	c, err := connect(addr)
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

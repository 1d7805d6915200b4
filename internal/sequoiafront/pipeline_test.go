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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
)

// isGet is the rule of these tests for requests that may be repeated.
func isGet(r *http.Request) bool { return r.Method == http.MethodGet }

// listenPipelined starts a server that may run GET requests concurrently.
func listenPipelined(h http.HandlerFunc, opts ...sequoiafront.Option) (*sequoiafront.Server, netip.AddrPort) {
	ginkgo.GinkgoHelper()
	s := sequoiafront.New(1<<20, opts...)
	ginkgo.DeferCleanup(s.Close)
	addr, err := s.Listen(netip.MustParseAddrPort(serverAddress), h, sequoiafront.WithRepeatable(isGet))
	Expect(err).NotTo(HaveOccurred())
	return s, addr
}

func send(c net.Conn, requests ...string) {
	ginkgo.GinkgoHelper()
	_, err := io.WriteString(c, strings.Join(requests, ""))
	Expect(err).NotTo(HaveOccurred())
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
}

// receive reads a response to a request with the method.
func receive(b *bufio.Reader, method string) (*http.Response, string) {
	ginkgo.GinkgoHelper()
	resp, err := http.ReadResponse(b, &http.Request{Method: method})
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(body)
}

// echoTarget responds with the target of the request.
func echoTarget(w http.ResponseWriter, r *http.Request) {
	sequoiafront.WriteResponse(w, r, http.StatusOK, []byte(r.RequestURI))
}

var _ = ginkgo.Describe("pipelined requests", func() {
	// Guards against requests that wait for the whole work of those before them (clients that send two requests of 220 ms at
	// once lose the objective of the second), and against one client that holds all slots.
	ginkgo.It("run concurrently up to 8, and are answered in order", func() {
		const work, requests = 220 * time.Millisecond, 24
		var running, most atomic.Int64
		full := make(chan struct{})
		_, addr := listenPipelined(func(w http.ResponseWriter, r *http.Request) {
			n := running.Add(1)
			defer running.Add(-1)
			for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
			}
			if n == 8 {
				close(full)
			}
			select { // The first 8 wait for each other, so that the test does not depend on the machine's speed.
			case <-full:
			case <-r.Context().Done():
			}
			if r.RequestURI == "/0" {
				time.Sleep(work) // The others are ready long before the first.
			}
			echoTarget(w, r)
		})
		c := dial(addr)
		var all strings.Builder
		for i := range requests {
			all.WriteString(get("/" + strconv.Itoa(i)))
		}
		send(c, all.String())
		b := bufio.NewReader(c)
		for i := range requests {
			_, body := receive(b, http.MethodGet)
			Expect(body).To(Equal("/" + strconv.Itoa(i)))
		}
		Expect(most.Load()).To(BeEquivalentTo(8))
	})

	ginkgo.It("take about as long as one of them", func() {
		const work = 220 * time.Millisecond
		_, addr := listenPipelined(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(work)
			echoTarget(w, r)
		})
		c := dial(addr)
		began := time.Now()
		send(c, get("/0"), get("/1"), get("/2"), get("/3"))
		b := bufio.NewReader(c)
		for range 4 {
			receive(b, http.MethodGet)
		}
		Expect(time.Since(began)).To(BeNumerically("<", 3*work), "four durations would show that each waited for those before")
	})

	// Guards against a deadline that counts from the start of the handler, after the wait for earlier requests.
	ginkgo.It("have their arrival as the time, not their start", func() {
		const work = 100 * time.Millisecond
		waited := make(chan time.Duration, 2)
		_, addr := listenPipelined(func(w http.ResponseWriter, r *http.Request) {
			waited <- time.Since(sequoiafront.Arrival(r))
			time.Sleep(work)
			echoTarget(w, r)
		})
		c := dial(addr)
		send(c, post("/0"), post("/1"))
		b := bufio.NewReader(c)
		receive(b, http.MethodPost)
		receive(b, http.MethodPost)
		Expect(<-waited).To(BeNumerically("<", work))
		Expect(<-waited).To(BeNumerically(">=", work))
	})

	// Guards against a request that must not be repeated and has been run when an earlier response closes the connection,
	// after which the client sends it again.
	ginkgo.It("of mixed kinds run alone if they may not be repeated", func() {
		var mu sync.Mutex
		running, alone, faults := 0, false, 0
		_, addr := listenPipelined(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			if alone || running > 0 && !isGet(r) {
				faults++
			}
			running++
			alone = !isGet(r)
			mu.Unlock()
			time.Sleep(time.Millisecond)
			mu.Lock()
			running--
			alone = false
			mu.Unlock()
			echoTarget(w, r)
		})
		random := rand.New(rand.NewPCG(1, 2))
		for range 10 {
			c := dial(addr)
			var all strings.Builder
			for i := range 50 {
				kind := get
				if random.IntN(4) == 0 {
					kind = post
				}
				all.WriteString(kind("/" + strconv.Itoa(i)))
			}
			send(c, all.String())
			b := bufio.NewReader(c)
			for i := range 50 {
				_, body := receive(b, http.MethodGet)
				Expect(body).To(Equal("/" + strconv.Itoa(i)))
			}
			Expect(c.Close()).To(Succeed())
		}
		mu.Lock()
		defer mu.Unlock()
		Expect(faults).To(BeZero())
	})

	ginkgo.It("after a response that closes the connection are cancelled, and not started if they may not be repeated", func() {
		started := make(chan string, 10)
		cancelled := make(chan error, 10)
		_, addr := listenPipelined(func(w http.ResponseWriter, r *http.Request) {
			started <- r.RequestURI
			switch r.RequestURI {
			case "/closes":
				time.Sleep(20 * time.Millisecond)
				w.Header().Set("Connection", "close")
			case "/long":
				<-r.Context().Done()
				cancelled <- context.Cause(r.Context())
			}
			echoTarget(w, r)
		})
		c := dial(addr)
		send(c, get("/first"), get("/closes"), get("/long"), post("/unsafe"), get("/late"))
		b := bufio.NewReader(c)
		_, body := receive(b, http.MethodGet)
		Expect(body).To(Equal("/first"))
		resp, body := receive(b, http.MethodGet)
		Expect(body).To(Equal("/closes"))
		Expect(resp.Close).To(BeTrue())
		_, err := b.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Eventually(cancelled).Should(Receive(HaveOccurred()))
		Consistently(func() int { return len(started) }, "50ms").Should(Equal(3))
	})

	ginkgo.It("after one whose client closes the connection are not run", func() {
		started := make(chan string, 10)
		_, addr := listenPipelined(func(w http.ResponseWriter, r *http.Request) {
			started <- r.RequestURI
			time.Sleep(20 * time.Millisecond)
			echoTarget(w, r)
		})
		c := dial(addr)
		send(c, get("/0"), "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", get("/2"))
		b := bufio.NewReader(c)
		receive(b, http.MethodGet)
		resp, _ := receive(b, http.MethodGet)
		Expect(resp.Close).To(BeTrue())
		_, err := b.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(started).To(HaveLen(2))
	})

	// Guards against requests that hold slots for a client that has left, because the front does not read on.
	ginkgo.DescribeTable("are all cancelled when the client leaves", func(requests int) {
		var started, cancelled atomic.Int64
		s, addr := listenPipelined(func(_ http.ResponseWriter, r *http.Request) {
			started.Add(1)
			<-r.Context().Done()
			cancelled.Add(1)
		})
		c := dial(addr)
		send(c, strings.Repeat(get("/"), requests))
		Eventually(started.Load).Should(BeEquivalentTo(8))
		Expect(c.Close()).To(Succeed())
		Eventually(cancelled.Load).Should(BeEquivalentTo(8))
		Consistently(started.Load, "50ms").Should(BeEquivalentTo(8))
		Eventually(s.InProgress).Should(BeZero())
	},
		ginkgo.Entry("after few requests", 12),
		ginkgo.Entry("after more requests than are read ahead", 200),
	)

	// Guards against requests that hold slots for a client that does not read its responses.
	ginkgo.It("are all cancelled when the client takes no bytes for the write timeout", func() {
		large := make([]byte, 32<<20)
		cancelled := make(chan struct{})
		s, addr := listenPipelined(func(w http.ResponseWriter, r *http.Request) {
			if r.RequestURI == "/waits" {
				<-r.Context().Done()
				close(cancelled)
				return
			}
			sequoiafront.WriteResponse(w, r, http.StatusOK, large)
		}, sequoiafront.WithWriteTimeout(100*time.Millisecond))
		c := dial(addr)
		send(c, get("/large"), get("/waits"))
		Eventually(cancelled, "5s").Should(BeClosed())
		Eventually(s.InProgress).Should(BeZero())
	})

	ginkgo.It("are answered when there are a thousand on one connection", func() {
		_, addr := listenPipelined(echoTarget)
		c := dial(addr)
		go func() {
			for i := range 1000 {
				if _, err := io.WriteString(c, get("/"+strconv.Itoa(i))); err != nil {
					return
				}
			}
		}()
		b := bufio.NewReader(c)
		for i := range 1000 {
			_, body := receive(b, http.MethodGet)
			Expect(body).To(Equal("/" + strconv.Itoa(i)))
		}
	})

	// Guards against a process that stops and closes a connection while other requests of it are in progress.
	ginkgo.It("are answered while the listener closes connections, which end with the last response", func() {
		var closing atomic.Bool
		s := sequoiafront.New(1 << 20)
		ginkgo.DeferCleanup(s.Close)
		addr, err := s.Listen(netip.MustParseAddrPort(serverAddress), http.HandlerFunc(echoTarget), sequoiafront.WithClosing(closing.Load))
		Expect(err).NotTo(HaveOccurred())
		c := dial(addr)
		b := bufio.NewReader(c)
		send(c, get("/"))
		resp, _ := receive(b, http.MethodGet)
		Expect(resp.Close).To(BeFalse())
		closing.Store(true)
		send(c, post("/"))
		resp, _ = receive(b, http.MethodPost)
		Expect(resp.Close).To(BeTrue())
		_, err = b.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	// Guards against a stop that closes a connection after the first of several responses.
	ginkgo.It("in progress at a stop are answered, and the last response closes the connection", func() {
		var started atomic.Int64
		end := make(chan struct{})
		s, addr := listenPipelined(func(w http.ResponseWriter, r *http.Request) {
			started.Add(1)
			<-end
			echoTarget(w, r)
		})
		c := dial(addr)
		send(c, strings.Repeat(get("/"), 4))
		Eventually(started.Load).Should(BeEquivalentTo(4))
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			s.Drain(2 * time.Second)
		}()
		time.Sleep(20 * time.Millisecond)
		close(end)
		b := bufio.NewReader(c)
		for i := range 4 {
			resp, _ := receive(b, http.MethodGet)
			Expect(resp.Close).To(Equal(i == 3))
		}
		_, err := b.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		<-drained
	})
})

var _ = ginkgo.Describe("responses", func() {
	// Guards against responses that a client reads with a wrong end, and takes the next one for the rest of it.
	ginkgo.DescribeTable("are read to their end by net/http",
		func(method string, status, want int, body string) {
			addr := listen(func(w http.ResponseWriter, r *http.Request) {
				sequoiafront.WriteResponse(w, r, status, []byte("content"))
			})
			c := dial(addr)
			send(c, strings.Repeat(method+" / HTTP/1.1\r\nHost: h\r\n\r\n", 2))
			b := bufio.NewReader(c)
			for range 2 {
				resp, got := receive(b, method)
				Expect(resp.StatusCode).To(Equal(want))
				Expect(got).To(Equal(body))
			}
		},
		ginkgo.Entry("GET", "GET", 200, 200, "content"),
		ginkgo.Entry("HEAD", "HEAD", 200, 200, ""),
		ginkgo.Entry("no content", "GET", 204, 204, ""),
		ginkgo.Entry("not modified", "GET", 304, 304, ""),
		ginkgo.Entry("a status without a text", "GET", 299, 299, "content"),
		ginkgo.Entry("a status of an interim response", "GET", 103, 502, "content"),
		ginkgo.Entry("a status of two digits", "GET", 42, 502, "content"),
		ginkgo.Entry("a negative status", "GET", -1, 502, "content"),
		ginkgo.Entry("a status of four digits", "GET", 2000, 502, "content"),
		ginkgo.Entry("a status above 599", "GET", 600, 502, "content"),
	)

	ginkgo.DescribeTable("end the connection as the client wants",
		func(request string, closes bool) {
			c := dial(listen(echoTarget))
			send(c, request)
			b := bufio.NewReader(c)
			resp, body := receive(b, http.MethodGet)
			Expect(body).To(Equal("/"))
			Expect(resp.Close).To(Equal(closes))
			Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
			_, err := b.ReadByte()
			Expect(errors.Is(err, io.EOF)).To(Equal(closes))
		},
		ginkgo.Entry("HTTP/1.1", get("/"), false),
		ginkgo.Entry("HTTP/1.1 with close", "GET / HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n", true),
		ginkgo.Entry("HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", true),
		ginkgo.Entry("HTTP/1.0 with keep-alive", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", false),
	)

	// Guards against an upstream that adds headers, or another response, by a value with line ends.
	ginkgo.It("have no more headers than the handler set", func() {
		c := dial(listen(func(w http.ResponseWriter, r *http.Request) {
			w.Header()["X"] = []string{"y\r\nZ: z\r\n\r\nHTTP/1.1 200 OK"}
			w.Header()["A b"] = []string{"c"}
			w.Header()["Transfer-Encoding"] = []string{"chunked"}
			echoTarget(w, r)
		}))
		send(c, get("/"))
		resp, body := receive(bufio.NewReader(c), http.MethodGet)
		Expect(body).To(Equal("/"))
		Expect(resp.Header).To(HaveLen(4))
		Expect(resp.Header).To(HaveKeyWithValue("X", []string{"y  Z: z    HTTP/1.1 200 OK"}))
	})

	// Guards against clients that wait a second before they send a body that nobody has refused.
	ginkgo.It("tell a client that waits for it to send the body", func() {
		c := dial(listen(func(w http.ResponseWriter, r *http.Request) {
			body, _ := sequoiafront.ReadBody(r)
			sequoiafront.WriteResponse(w, r, http.StatusOK, body)
		}))
		send(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		b := bufio.NewReader(c)
		line, err := b.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("HTTP/1.1 100 Continue\r\n"))
		_, err = b.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		send(c, "body")
		_, body := receive(b, http.MethodPost)
		Expect(body).To(Equal("body"))
	})
})

var _ = ginkgo.Describe("requests", func() {
	// Guards against a request that the next implementation on its way reads in another way, and clients of that
	// implementation that get the responses of others.
	ginkgo.DescribeTable("that can be read in two ways are rejected", func(request string) {
		handled := make(chan struct{}, 10)
		c := dial(listen(func(w http.ResponseWriter, r *http.Request) {
			handled <- struct{}{}
			echoTarget(w, r)
		}))
		send(c, request)
		resp, _ := receive(bufio.NewReader(c), http.MethodGet)
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(handled).NotTo(Receive())
	},
		ginkgo.Entry("two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!"),
		ginkgo.Entry("one length twice", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody"),
		ginkgo.Entry("a list of lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4, 4\r\n\r\nbody"),
		ginkgo.Entry("a signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nbody"),
		ginkgo.Entry("a length and chunks", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		ginkgo.Entry("chunks and a length", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"),
		ginkgo.Entry("chunks of HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		ginkgo.Entry("an unknown encoding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
		ginkgo.Entry("a space before the colon", "GET / HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n"),
		ginkgo.Entry("a folded line", "GET / HTTP/1.1\r\nHost: h\r\nX: y\r\n z\r\n\r\n"),
		ginkgo.Entry("a line without CR", "GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n"),
		ginkgo.Entry("CR in a value", "GET / HTTP/1.1\r\nHost: h\r\nX: y\rZ: z\r\n\r\n"),
		ginkgo.Entry("NUL in a value", "GET / HTTP/1.1\r\nHost: h\r\nX: \x00\r\n\r\n"),
		ginkgo.Entry("a control character in the target", "GET /\x01 HTTP/1.1\r\nHost: h\r\n\r\n"),
		ginkgo.Entry("a tab in the target", "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n"),
		ginkgo.Entry("a space in the target", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n"),
		ginkgo.Entry("a byte above ASCII in the target", "GET /\xff HTTP/1.1\r\nHost: h\r\n\r\n"),
		ginkgo.Entry("a bad escape in the target", "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n"),
		ginkgo.Entry("a method in lower case", "get / HTTP/1.1\r\nHost: h\r\n\r\n"),
		ginkgo.Entry("two hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"),
		ginkgo.Entry("no host", "GET / HTTP/1.1\r\n\r\n"),
		ginkgo.Entry("a bad chunk size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n"),
		ginkgo.Entry("a bad trailer", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX y\r\n\r\n"),
	)

	ginkgo.It("are read when they arrive a byte at a time, with chunk extensions and a trailer", func() {
		c := dial(listen(func(w http.ResponseWriter, r *http.Request) {
			body, _ := sequoiafront.ReadBody(r)
			sequoiafront.WriteResponse(w, r, http.StatusOK, fmt.Appendf(nil, "%s %s", r.Header.Get("X"), body))
		}))
		request := "POST / HTTP/1.1\r\nHost: h\r\nX: \t y \r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n" +
			"4;name=value\r\nbody\r\n1\r\n!\r\n0\r\nSum: 1\r\n\r\n"
		for i := range len(request) {
			send(c, request[i:i+1])
		}
		_, body := receive(bufio.NewReader(c), http.MethodPost)
		Expect(body).To(Equal("y body!"))
	})
})

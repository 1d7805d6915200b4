package sequoiapeer

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

type serveFunc = func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response

func startForwarder(key []byte, serve serveFunc) *Forwarder {
	f, err := NewForwarder(key)
	Expect(err).NotTo(HaveOccurred())
	if serve != nil {
		f.Serve = serve
	}
	Expect(f.Listen(loopback)).To(Succeed())
	ginkgo.DeferCleanup(f.Close)
	return f
}

// echo answers with the request's key and body.
func echo(_ context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: 200, Reason: req.Key, Body: req.Body}
}

func request(key string, timeout time.Duration) *sequoiarouter.Request {
	return &sequoiarouter.Request{
		Service: "dispatch", Key: key, Method: "POST", Path: "/x?y=1", Deadline: time.Now().Add(timeout),
		Header: map[string][]string{"Accept": {"a", "b"}}, Body: []byte(key),
	}
}

// loopbackPair returns the two ends of a connection.
func loopbackPair(ctx context.Context) (dialed, accepted net.Conn, err error) {
	listener, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return nil, nil, err
	}
	defer listener.Close()
	if dialed, err = dialTCP(ctx, listener.Addr().(*net.TCPAddr).AddrPort()); err != nil {
		return nil, nil, err
	}
	accepted, err = listener.Accept()
	return dialed, accepted, err
}

// relay forwards bytes between a forwarder and addr. cut silently drops all further data on the open connections,
// without a reset; later connections work.
type relay struct {
	cuts  atomic.Int64
	bytes atomic.Int64
}

func (r *relay) cut() { r.cuts.Add(1) }

func (r *relay) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	clientConn, accepted, err := loopbackPair(ctx)
	if err != nil {
		return nil, err
	}
	serverConn, err := dialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	cutsAtDial := r.cuts.Load()
	cut := func() bool { return r.cuts.Load() != cutsAtDial }
	go r.copyBytes(accepted, serverConn, cut)
	go r.copyBytes(serverConn, accepted, cut)
	return clientConn, nil
}

// copyBytes does not propagate the close of a cut connection either. Otherwise the side that detects the silence first
// would notify the other by closing, which a network that drops all packets does not transmit.
func (r *relay) copyBytes(from, to net.Conn, cut func() bool) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			if !cut() {
				_ = to.Close()
			}
			return
		}
		r.bytes.Add(int64(n))
		if !cut() {
			_, _ = to.Write(b[:n])
		}
	}
}

// simulateIdle makes the connections of f appear unused and silent for a number of checks.
func simulateIdle(f *Forwarder, checks int) {
	for _, c := range f.connections() {
		c.mu.Lock()
		c.unusedChecks = checks
		c.mu.Unlock()
		c.silentChecks.Store(int32(checks))
		c.lastReceived.Store(int64(time.Since(monotonicOrigin) - time.Duration(checks)*checkInterval))
	}
}

// rawPeer reads and writes individual frames, as a client or as a server.
type rawPeer struct {
	net.Conn
}

func (r rawPeer) read() frame {
	ginkgo.GinkgoHelper()
	header := make([]byte, headerSize)
	_, err := io.ReadFull(r, header)
	Expect(err).NotTo(HaveOccurred())
	b := append(header, make([]byte, binary.BigEndian.Uint32(header[4:]))...)
	_, err = io.ReadFull(r, b[headerSize:])
	Expect(err).NotTo(HaveOccurred())
	fr, _, err := parseFrame(b, MaxFrame)
	Expect(err).NotTo(HaveOccurred())
	return fr
}

func (r rawPeer) write(b []byte) {
	ginkgo.GinkgoHelper()
	_, err := r.Write(b)
	Expect(err).NotTo(HaveOccurred())
}

func (r rawPeer) expectClosed() {
	ginkgo.GinkgoHelper()
	_ = r.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, err := io.Copy(io.Discard, r)
	Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the connection is still open")
}

// rawClient connects to f and authenticates.
func rawClient(f *Forwarder) rawPeer {
	ginkgo.GinkgoHelper()
	conn, err := net.Dial("tcp", f.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(conn.Close)
	r := rawPeer{conn}
	c := newChallenge(f.key)
	r.write(encodeFrame(frameHello, 0, c.clientNonce[:]))
	proof, err := c.answerChallenge(r.read().payload)
	Expect(err).NotTo(HaveOccurred())
	r.write(encodeFrame(frameProof, 0, proof))
	return r
}

// rawServer accepts one connection, authenticates and calls serve.
func rawServer(serve func(r rawPeer)) netip.AddrPort {
	listener, err := net.Listen("tcp", loopback.String())
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	key, err := deriveKey(testKey, labelForward)
	Expect(err).NotTo(HaveOccurred())
	go func() {
		defer ginkgo.GinkgoRecover()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := rawPeer{conn}
		c := newChallenge(key)
		answer, err := c.answerHello(r.read().payload)
		Expect(err).NotTo(HaveOccurred())
		r.write(encodeFrame(frameChallenge, 0, answer))
		Expect(c.checkProof(r.read().payload)).To(Succeed())
		Expect(r.read().kind).To(Equal(framePing))
		r.write(encodeFrame(framePong, 0, nil))
		serve(r)
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func response(number uint64, body string) []byte {
	buf := getBuffer()
	_ = encodeResponse(buf, number, &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Body: []byte(body)})
	return buf.Bytes()
}

func requestFrame(number uint64) []byte {
	buf := getBuffer()
	_ = encodeRequest(buf, request("k", time.Minute), time.Now())
	writeFrameHeader(buf.Bytes(), frameRequest, number)
	return buf.Bytes()
}

var _ = ginkgo.Describe("Forwarder", func() {
	ginkgo.It("passes on every field and marks the request as forwarded", func() {
		got := make(chan *sequoiarouter.Request, 1)
		server := startForwarder(testKey, func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			got <- req
			return echo(ctx, req)
		})
		client := startForwarder(testKey, nil)
		req := request("k", 5*time.Second)
		req.RequestID, req.FirstEpoch, req.Repeatable = "id", 9, true
		resp, err := client.Forward(context.Background(), server.Addr(), req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp).To(Equal(echo(context.Background(), req)))
		received := <-got
		Expect(received.Deadline).To(BeTemporally("~", req.Deadline, time.Second))
		received.Deadline, received.Forwarded = req.Deadline, !received.Forwarded
		Expect(received).To(Equal(req))
	})

	// Guards against one client whose header HTTP allows (obs-text, RFC 9110, section 5.5) costing others their responses: the
	// connection was closed with all requests on it.
	ginkgo.It("passes on text that is not UTF-8 in both directions, and keeps the connection", func() {
		const latin1 = "Zo\xeb"
		release := make(chan struct{})
		server := startForwarder(testKey, func(_ context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			if req.Key == "waits" {
				<-release
			}
			header := map[string][]string{"X-Name": req.Header["X-Name"], "X-Request": {req.RequestID}}
			return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: 200, Header: header, Body: req.Body}
		})
		client := startForwarder(testKey, nil)
		waiting := make(chan error, 1)
		go func() {
			_, err := client.Forward(context.Background(), server.Addr(), request("waits", 5*time.Second))
			waiting <- err
		}()
		for _, size := range []int{0, 3 * inlineResponse} {
			for _, version := range []int{0, sequoiarouter.ProtocolVersion} {
				req := request("odd", 5*time.Second)
				req.RequestID, req.Version, req.Body = latin1, version, make([]byte, size)
				req.Header["X-Name"] = []string{latin1}
				resp, err := client.Forward(context.Background(), server.Addr(), req)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Header).To(Equal(map[string][]string{"X-Name": {latin1}, "X-Request": {latin1}}))
				Expect(resp.Body).To(HaveLen(size))
			}
		}
		close(release)
		Expect(<-waiting).NotTo(HaveOccurred())
		Expect(server.Stats().Invalid + client.Stats().Invalid).To(BeZero())
	})

	ginkgo.It("gives each of many concurrent requests its own response when they finish out of order", func() {
		server := startForwarder(testKey, func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			time.Sleep(time.Duration(len(req.Key)%7) * time.Millisecond)
			return echo(ctx, req)
		})
		client := startForwarder(testKey, nil)
		var wrong atomic.Int64
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				key := fmt.Sprintf("%0*d", i%50+4, i)
				resp, err := client.Forward(context.Background(), server.Addr(), request(key, 30*time.Second))
				if err != nil || resp.Reason != key || string(resp.Body) != key {
					wrong.Add(1)
				}
			})
		}
		wg.Wait()
		Expect(wrong.Load()).To(BeZero())
		Expect(client.Stats().Connections).To(BeNumerically("<=", maxConnections))
	})

	ginkgo.It("transfers a body of several megabytes, and returns ErrNotSent for one above the frame limit", func() {
		server := startForwarder(testKey, echo)
		client := startForwarder(testKey, nil)
		req := request("k", 10*time.Second)
		req.Body = make([]byte, 8<<20)
		resp, err := client.Forward(context.Background(), server.Addr(), req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body).To(HaveLen(8 << 20))
		req.Body = make([]byte, MaxFrame)
		_, err = client.Forward(context.Background(), server.Addr(), req)
		Expect(err).To(MatchError(ErrNotSent))
		Expect(err).To(MatchError(ErrTooLarge))
	})

	ginkgo.It("does not give a response that arrives after the deadline to another request", func() {
		addr := rawServer(func(r rawPeer) {
			first, second := r.read(), frame{}
			for second.kind != frameRequest {
				second = r.read()
			}
			r.write(response(first.number, "late"))
			r.write(response(second.number, "second"))
			_, _ = io.Copy(io.Discard, r)
		})
		client := startForwarder(testKey, nil)
		_, err := client.Forward(context.Background(), addr, request("a", 100*time.Millisecond))
		Expect(err).To(MatchError(ErrUnknown))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		resp, err := client.Forward(context.Background(), addr, request("b", 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(Equal("second"))
		Expect(client.Stats().Invalid).To(BeZero())
	})

	ginkgo.DescribeTable("ends a request as unknown and closes the connection on an invalid response frame",
		func(corrupt func(number uint64) []byte) {
			addr := rawServer(func(r rawPeer) {
				r.write(corrupt(r.read().number))
				_, _ = io.Copy(io.Discard, r)
			})
			client := startForwarder(testKey, nil)
			_, err := client.Forward(context.Background(), addr, request("k", 5*time.Second))
			Expect(err).To(MatchError(ErrUnknown))
			Expect(err).NotTo(MatchError(context.DeadlineExceeded))
			Expect(client.Stats()).To(HaveField("Invalid", uint64(1)))
			Expect(client.Stats()).To(HaveField("Connections", 0))
		},
		ginkgo.Entry("checksum", func(n uint64) []byte {
			b := response(n, "x")
			b[len(b)-1]++
			return b
		}),
		ginkgo.Entry("length above the limit", func(n uint64) []byte {
			b := response(n, "x")
			binary.BigEndian.PutUint32(b[4:], MaxFrame+1)
			return b
		}),
		ginkgo.Entry("length that reaches into the next frame", func(n uint64) []byte {
			b := response(n, "x")
			binary.BigEndian.PutUint32(b[4:], uint32(len(b)))
			return append(b, make([]byte, 100)...)
		}),
		ginkgo.Entry("request number", func(n uint64) []byte { return response(n+1, "x") }),
		ginkgo.Entry("kind", func(n uint64) []byte { return requestFrame(n) }),
		ginkgo.Entry("payload", func(n uint64) []byte { return encodeFrame(frameResponse, n, []byte{0xff}) }),
		ginkgo.Entry("outcome", func(n uint64) []byte { return encodeFrame(frameResponse, n, []byte{0xa1, 1, 9}) }),
	)

	ginkgo.It("never runs a request with an invalid frame or a reused number, which would run it twice", func() {
		var runs atomic.Int64
		server := startForwarder(testKey, func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			runs.Add(1)
			return echo(ctx, req)
		})
		r := rawClient(server)
		b := requestFrame(1)
		b[headerSize+5]++
		r.write(b)
		r.expectClosed()
		Consistently(runs.Load, "100ms").Should(BeZero())
		r = rawClient(server)
		r.write(requestFrame(1))
		Eventually(runs.Load).Should(Equal(int64(1)))
		r.write(requestFrame(1))
		r.expectClosed()
		Consistently(runs.Load, "100ms").Should(Equal(int64(1)))
		Expect(server.Stats().Invalid).To(Equal(uint64(2)))
	})

	ginkgo.It("runs a request at most once whose number is used again before it is run", func() {
		var runs atomic.Int64
		server := startForwarder(testKey, func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			runs.Add(1)
			return echo(ctx, req)
		})
		r := rawClient(server)
		r.write(append(requestFrame(1), requestFrame(1)...))
		r.expectClosed()
		Consistently(runs.Load, "100ms").Should(BeNumerically("<=", 1))
		Expect(server.Stats().Invalid).To(Equal(uint64(1)))
	})

	ginkgo.It("returns ErrNotSent if the shared keys differ, and rejects the peer on both sides", func() {
		server := startForwarder(testKey, echo)
		client := startForwarder(otherKey, nil)
		_, err := client.Forward(context.Background(), server.Addr(), request("k", 5*time.Second))
		Expect(err).To(MatchError(ErrNotSent))
		Expect(err).To(MatchError(ErrUnauthenticated))
		Expect(client.Stats()).To(HaveField("Rejected", uint64(1)))
		Eventually(server.Stats).Should(HaveField("Rejected", uint64(1)))
	})

	ginkgo.DescribeTable("rejects a client that has not proved that it holds the key, and runs nothing for it",
		func(first func(f *Forwarder) []byte) {
			server := startForwarder(testKey, func(context.Context, *sequoiarouter.Request) *sequoiarouter.Response {
				defer ginkgo.GinkgoRecover()
				ginkgo.Fail("a request of an unauthenticated client was run")
				return nil
			})
			conn, err := net.Dial("tcp", server.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			r := rawPeer{conn}
			r.write(first(server))
			r.expectClosed()
			Eventually(server.Stats).Should(HaveField("Rejected", uint64(1)))
		},
		ginkgo.Entry("request without authentication", func(*Forwarder) []byte { return requestFrame(1) }),
		ginkgo.Entry("HTTP request", func(*Forwarder) []byte { return []byte("GET / HTTP/1.1\r\nHost: example\r\n\r\n") }),
		ginkgo.Entry("wrong proof", func(*Forwarder) []byte {
			hello := encodeFrame(frameHello, 0, make([]byte, nonceSize))
			return append(append(hello, encodeFrame(frameProof, 0, make([]byte, 32))...), requestFrame(1)...)
		}),
		ginkgo.Entry("nothing within the time limit", func(*Forwarder) []byte { return nil }),
	)

	// Guards against clients that keep other processes out by connections on which they do not authenticate, and come again
	// when these are closed: a process that had just started reached another one after 10 s.
	ginkgo.It("serves another process beside clients that do not authenticate and come again", func() {
		const allowed, clients = 8, 40
		server := startForwarder(testKey, echo)
		server.maxUnauthenticated = allowed
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() {
				for {
					time.Sleep(time.Millisecond)
					conn, err := net.Dial("tcp", server.Addr().String())
					if err != nil {
						continue
					}
					ended := make(chan struct{})
					go func() {
						defer close(ended)
						_, _ = io.Copy(io.Discard, conn)
					}()
					select {
					case <-ended:
						_ = conn.Close()
					case <-stop:
						_ = conn.Close()
						return
					}
				}
			})
		}
		Eventually(server.unauthenticated.Load).Should(BeNumerically(">=", allowed))
		for i := range 5 {
			client := startForwarder(testKey, nil)
			_, err := client.Forward(context.Background(), server.Addr(), request(fmt.Sprint(i), 10*time.Second))
			Expect(err).NotTo(HaveOccurred())
			Expect(server.unauthenticated.Load()).To(BeNumerically("<=", allowed))
		}
		close(stop)
		wg.Wait()
	})

	ginkgo.It("ends the context of a request that the caller cancels", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		server := startForwarder(testKey, func(ctx context.Context, _ *sequoiarouter.Request) *sequoiarouter.Response {
			close(started)
			<-ctx.Done()
			close(ended)
			return &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: "Cancelled"}
		})
		client := startForwarder(testKey, nil)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		_, err := client.Forward(ctx, server.Addr(), request("k", time.Minute))
		Expect(err).To(MatchError(ErrUnknown))
		Eventually(ended).Should(BeClosed())
	})

	ginkgo.It("ends requests on a lost connection as unknown on one side and cancelled on the other", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		server := startForwarder(testKey, func(ctx context.Context, _ *sequoiarouter.Request) *sequoiarouter.Response {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil
		})
		client := startForwarder(testKey, nil)
		go func() {
			<-started
			for _, c := range client.connections() {
				_ = c.nb.Close()
			}
		}()
		_, err := client.Forward(context.Background(), server.Addr(), request("k", time.Minute))
		Expect(err).To(MatchError(ErrUnknown))
		Expect(err).To(MatchError(ErrConnectionLost))
		Eventually(ended).Should(BeClosed())
	})

	ginkgo.It("closes a connection that goes silent without a reset, on both sides, and replaces it", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		server := startForwarder(testKey, func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			if req.Key == "b" {
				close(started)
				<-ctx.Done()
				close(ended)
			}
			return echo(ctx, req)
		})
		client := startForwarder(testKey, nil)
		r := &relay{}
		client.Dial = r.dial
		_, err := client.Forward(context.Background(), server.Addr(), request("a", 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		conn := client.connections()[0]
		checks := func() int {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			return conn.checks
		}
		atCut := make(chan int, 1)
		go func() {
			<-started
			r.cut()
			atCut <- checks()
		}()
		_, err = client.Forward(context.Background(), server.Addr(), request("b", time.Minute))
		Expect(err).To(MatchError(ErrUnknown))
		Expect(err).To(MatchError(ErrSilent))
		// Counted in checks of 500 ms, because these are delayed on a busy machine.
		Expect(checks()-<-atCut).To(BeNumerically("<=", maxSilentChecks+2), "silence detected later than 4 s")
		_, err = client.Forward(context.Background(), server.Addr(), request("c", 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended).WithTimeout(5 * time.Second).Should(BeClosed())
		Eventually(server.Stats).WithTimeout(5 * time.Second).Should(HaveField("Silent", uint64(1)))
		Expect(client.Stats()).To(HaveField("Silent", uint64(1)))
	})

	ginkgo.It("sends nothing on an idle connection, keeps it open and uses it again after a ping", func() {
		server := startForwarder(testKey, echo)
		client := startForwarder(testKey, nil)
		r := &relay{}
		client.Dial = r.dial
		_, err := client.Forward(context.Background(), server.Addr(), request("a", 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		before := r.bytes.Load()
		Eventually(func() int64 { return r.bytes.Load() - before }).WithTimeout(3*time.Second).Should(BeNumerically(">", 0),
			"no ping on a connection in use")
		Eventually(func() bool {
			before = r.bytes.Load()
			time.Sleep(2 * time.Second)
			return r.bytes.Load() == before
		}).WithTimeout(10*time.Second).Should(BeTrue(), "pings on an idle connection")
		time.Sleep(verifyAfter)
		Expect(r.bytes.Load()).To(Equal(before))
		Expect(client.Stats()).To(HaveField("Connections", 1))
		Expect(server.Stats()).To(HaveField("Connections", 1))
		_, err = client.Forward(context.Background(), server.Addr(), request("b", 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Stats()).To(HaveField("Dialed", uint64(1)))
	})

	ginkgo.It("sends a request on a new connection if the idle one has gone silent, so that it is not lost", func() {
		var runs atomic.Int64
		server := startForwarder(testKey, func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			runs.Add(1)
			return echo(ctx, req)
		})
		client := startForwarder(testKey, nil)
		r := &relay{}
		client.Dial = r.dial
		_, err := client.Forward(context.Background(), server.Addr(), request("a", 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		r.cut()
		simulateIdle(client, inUseChecks+1)
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				req := request(fmt.Sprint(i), 5*time.Second)
				req.RequestID = req.Key
				start := time.Now()
				_, err := client.Forward(context.Background(), server.Addr(), req)
				Expect(err).NotTo(HaveOccurred())
				Expect(time.Since(start)).To(BeNumerically("<", maxSilentChecks*checkInterval), "waited for the silence limit")
			})
		}
		wg.Wait()
		Expect(runs.Load()).To(Equal(int64(21)))
		Expect(client.Stats()).To(HaveField("Silent", uint64(1)))
	})

	ginkgo.It("does not accept an old pong as the answer to the ping that verifies a connection", func() {
		addr := rawServer(func(r rawPeer) {
			r.write(response(r.read().number, "a"))
			header := make([]byte, headerSize)
			for {
				if _, err := io.ReadFull(r, header); err != nil {
					return
				}
				_, _ = r.Write(encodeFrame(framePong, 0, nil))
			}
		})
		client := startForwarder(testKey, nil)
		_, err := client.Forward(context.Background(), addr, request("a", 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		simulateIdle(client, inUseChecks+1)
		_, err = client.Forward(context.Background(), addr, request("b", 2*time.Second))
		Expect(err).To(MatchError(ErrNotSent))
		Expect(client.Stats()).To(HaveField("Silent", uint64(1)))
	})

	ginkgo.It("closes a connection after 30 s without a request, and on the accepting side after 40 s without data", func() {
		server := startForwarder(testKey, echo)
		client := startForwarder(testKey, nil)
		_, err := client.Forward(context.Background(), server.Addr(), request("a", 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		simulateIdle(client, int(idleTimeout/checkInterval)-10)
		Consistently(client.Stats, "1s").Should(HaveField("Connections", 1))
		simulateIdle(client, int(idleTimeout/checkInterval))
		Eventually(client.Stats).WithTimeout(3 * time.Second).Should(HaveField("Connections", 0))
		Eventually(server.Stats).WithTimeout(3 * time.Second).Should(HaveField("Connections", 0))
		Expect(client.Stats()).To(HaveField("Silent", uint64(0)))

		r := rawClient(server)
		Eventually(server.Stats).Should(HaveField("Connections", 1))
		simulateIdle(server, int(acceptedIdleTimeout/checkInterval)-10)
		Consistently(server.Stats, "1s").Should(HaveField("Connections", 1))
		simulateIdle(server, int(acceptedIdleTimeout/checkInterval))
		r.expectClosed()
	})

	ginkgo.It("returns ErrNotSent for an unreachable process, an expired deadline and a closed forwarder", func() {
		client := startForwarder(testKey, nil)
		listener, err := net.Listen("tcp", loopback.String())
		Expect(err).NotTo(HaveOccurred())
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		Expect(listener.Close()).To(Succeed())
		_, err = client.Forward(context.Background(), addr, request("k", time.Second))
		Expect(err).To(MatchError(ErrNotSent))
		_, err = client.Forward(context.Background(), addr, request("k", -time.Second))
		Expect(err).To(MatchError(ErrNotSent))
		Expect(client.Close()).To(Succeed())
		_, err = client.Forward(context.Background(), addr, request("k", time.Second))
		Expect(err).To(MatchError(ErrNotSent))
		Expect(err).To(MatchError(ErrClosed))
	})
})

// holdingDial returns a dial function whose connections hold back what the client sends, its close included, while held
// is true. What was held is delivered in order, with a pause between the pieces.
func holdingDial(held *atomic.Bool) func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	const pause = time.Millisecond
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		far, err := dialTCP(ctx, addr)
		if err != nil {
			return nil, err
		}
		conn, accepted, err := loopbackPair(ctx)
		if err != nil {
			return nil, err
		}
		pieces := make(chan []byte, 64)
		go func() {
			defer close(pieces)
			for {
				b := make([]byte, 4096)
				n, err := accepted.Read(b)
				if err != nil {
					return
				}
				pieces <- b[:n]
			}
		}()
		go func() {
			defer far.Close()
			for piece := range pieces {
				for held.Load() {
					time.Sleep(pause)
				}
				_, _ = far.Write(piece)
				time.Sleep(pause)
			}
			for held.Load() {
				time.Sleep(pause)
			}
		}()
		go func() {
			defer accepted.Close()
			_, _ = io.Copy(accepted, far)
		}()
		return conn, nil
	}
}

var _ = ginkgo.Describe("A process that was stalled", func() {
	// Guards against requests that run after their clients have left, because the process did not run when they arrived
	// (grown Pinehollow, "mix --seed 634312888970": 0.6 s after the client had gone).
	ginkgo.DescribeTable("does not run requests that were cancelled meanwhile, and runs the others", func(checksFirst bool) {
		var run atomic.Int64
		server := startForwarder(testKey, func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			run.Add(1)
			return echo(ctx, req)
		})
		var held atomic.Bool
		client := startForwarder(testKey, nil)
		client.Dial = holdingDial(&held)
		_, err := client.Forward(context.Background(), server.Addr(), request("first", time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(run.Load()).To(Equal(int64(1)))

		held.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = client.Forward(ctx, server.Addr(), request("cancelled", time.Second))
		Expect(err).To(MatchError(ErrUnknown))
		answered := make(chan error, 1)
		go func() {
			_, err := client.Forward(context.Background(), server.Addr(), request("waiting", 2*time.Second))
			answered <- err
		}()
		time.Sleep(100 * time.Millisecond)
		server.lastCheck.Store(0)
		if checksFirst {
			server.checkConnections()
		}
		held.Store(false)
		Eventually(answered, "2s").Should(Receive(BeNil()))
		Expect(run.Load()).To(Equal(int64(2)))
	},
		ginkgo.Entry("if it reads them first", false),
		ginkgo.Entry("if it makes a liveness check first", true),
	)
})

package sequoiapeer

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoialink"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// slowLink is a link of 10 Mbit/s in bytes per second.
const slowLink = 1.25e6

// decodeRequest decodes a request that spent no time in queues.
func decodeRequest(payload []byte, now time.Time) (*sequoiarouter.Request, error) {
	w, err := decodeWireRequest(payload)
	if err != nil {
		return nil, err
	}
	return w.request(now), nil
}

// startLinkForwarder starts a forwarder with options.
func startLinkForwarder(serve serveFunc, opts ...ForwarderOption) *Forwarder {
	f, err := NewForwarder(testKey, append(opts, WithServe(serve))...)
	Expect(err).NotTo(HaveOccurred())
	Expect(f.Listen(loopback)).To(Succeed())
	ginkgo.DeferCleanup(f.Close)
	return f
}

// bodyRequest returns a request with a random body for a process with protocol version 2.
func bodyRequest(size int, timeout time.Duration) *sequoiarouter.Request {
	req := request("k", timeout)
	req.Version = sequoiarouter.ProtocolVersion
	req.Body = make([]byte, size)
	r := rand.NewChaCha8([32]byte{byte(size)})
	_, _ = r.Read(req.Body)
	return req
}

// pacedLink carries the bytes of all connections that are dialed through it at a limited rate, in the order in which they
// are sent.
type pacedLink struct {
	rate float64
	mu   sync.Mutex
	free time.Time
}

func (l *pacedLink) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dialed, accepted, err := loopbackPair(ctx)
	if err != nil {
		return nil, err
	}
	far, err := dialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	go func() {
		defer far.Close()
		b := make([]byte, 2048)
		for {
			n, err := accepted.Read(b)
			if err != nil {
				return
			}
			l.pass(n)
			_, _ = far.Write(b[:n])
		}
	}()
	go func() {
		defer accepted.Close()
		_, _ = io.Copy(accepted, far)
	}()
	return dialed, nil
}

func (l *pacedLink) pass(n int) {
	l.mu.Lock()
	// A sleep that ended late does not reduce the rate.
	if earliest := time.Now().Add(-10 * time.Millisecond); l.free.Before(earliest) {
		l.free = earliest
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// counter counts the bytes that are reserved in a forwarder.
type counter struct {
	held  atomic.Int64
	limit int64
}

func (c *counter) reserve(n int) (func(), bool) {
	if c.held.Add(int64(n)) > c.limit {
		c.held.Add(int64(-n))
		return nil, false
	}
	return sync.OnceFunc(func() { c.held.Add(int64(-n)) }), true
}

// offerFrame returns the frame of a request with an offered body.
func offerFrame(number uint64, size int, timeout time.Duration) []byte {
	req := request("k", timeout)
	req.Version, req.Body, req.BodySize = sequoiarouter.ProtocolVersion, nil, size
	return encodedRequest(frameOffer, number, req)
}

func encodedRequest(kind frameKind, number uint64, req *sequoiarouter.Request) []byte {
	var buf bytes.Buffer
	Expect(encodeRequest(&buf, req, time.Now())).To(Succeed())
	writeFrameHeader(buf.Bytes(), kind, number)
	return buf.Bytes()
}

// readKind returns the next frame that is not a ping or pong.
func (r rawPeer) readKind(kind frameKind) frame {
	ginkgo.GinkgoHelper()
	for {
		fr := r.read()
		if fr.kind == framePing || fr.kind == framePong {
			continue
		}
		Expect(fr.kind).To(Equal(kind))
		return fr
	}
}

// end closes the connection towards the forwarder, which closes it then.
func (r rawPeer) end() {
	ginkgo.GinkgoHelper()
	Expect(r.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
}

func grantFrame(number uint64, granted int) []byte {
	return encodeFrame(frameGrant, number, binary.BigEndian.AppendUint64(nil, uint64(granted)))
}

func notRun(reason string) types.GomegaMatcher {
	return And(HaveField("Outcome", sequoiarouter.NotRun), HaveField("Reason", reason))
}

var _ = ginkgo.Describe("A body in pieces", func() {
	ginkgo.It("of 40 MB arrives whole, and so does its response", func() {
		server := startLinkForwarder(echo)
		client := startForwarder(testKey, nil)
		req := bodyRequest(40<<20, time.Minute)
		resp, err := client.Forward(context.Background(), server.Addr(), req)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(resp.Body, req.Body)).To(BeTrue())
		Expect(server.BodyStats().Arrived).To(Equal(uint64(40 << 20)))
		Expect(server.BodyStats()).To(And(HaveField("Transfers", 0), HaveField("Outstanding", 0)))
		Expect(server.BodyStats().NoMemory).To(BeZero())
		_, err = client.Forward(context.Background(), server.Addr(), bodyRequest(MaxBody+1, time.Minute))
		Expect(err).To(And(MatchError(ErrNotSent), MatchError(ErrTooLarge)))
	})

	ginkgo.It("reaches the handler with every field of the request", func() {
		got := make(chan *sequoiarouter.Request, 1)
		server := startLinkForwarder(func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			got <- req
			return echo(ctx, req)
		})
		client := startForwarder(testKey, nil)
		req := bodyRequest(100<<10, 5*time.Second)
		req.RequestID, req.Priority = "id", 2
		_, err := client.Forward(context.Background(), server.Addr(), req)
		Expect(err).NotTo(HaveOccurred())
		received := <-got
		Expect(received.Deadline).To(BeTemporally("~", req.Deadline, time.Second))
		received.Deadline, received.Forwarded = req.Deadline, false
		Expect(received).To(Equal(req))
	})

	// Guards against small calls that miss their deadlines behind bodies on the link of the instance that they go to.
	ginkgo.It("lets small requests overtake it", func() {
		server := startLinkForwarder(echo, WithLinkRate(slowLink))
		client := startForwarder(testKey, nil)
		client.Dial = (&pacedLink{rate: slowLink}).dial
		const uploads, size = 8, 200_000 // 1.3 s of the link.
		var wg sync.WaitGroup
		for range uploads {
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				resp, err := client.Forward(context.Background(), server.Addr(), bodyRequest(size, time.Minute))
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Body).To(HaveLen(size))
			})
		}
		Eventually(server.BodyStats).Should(HaveField("Transfers", uploads))
		calls := 0
		for server.BodyStats().Transfers > 0 {
			begin := time.Now()
			_, err := client.Forward(context.Background(), server.Addr(), request("call", 5*time.Second))
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Since(begin)).To(BeNumerically("<", 400*time.Millisecond))
			calls++
		}
		Expect(calls).To(BeNumerically(">", 5))
		wg.Wait()
	})

	// Guards against bodies that are let in although they cannot arrive in time, after which no time is left to try another
	// instance.
	ginkgo.It("is refused at once if it cannot arrive before the deadline", func() {
		server := startLinkForwarder(echo, WithLinkRate(slowLink))
		client := startForwarder(testKey, nil)
		Expect(server.LinkDelay()).To(BeNumerically("~", 62*time.Millisecond, time.Millisecond))
		begin := time.Now()
		resp, err := client.Forward(context.Background(), server.Addr(), bodyRequest(10<<20, 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp).To(notRun(string(sequoialink.ReasonBusy)))
		Expect(resp.RetryAfter).To(BeNumerically("~", 5*time.Second, time.Second))
		Expect(time.Since(begin)).To(BeNumerically("<", 2*time.Second))
		Expect(server.BodyStats().Refused).To(HaveKeyWithValue(sequoialink.ReasonBusy, uint64(1)))
		Expect(server.BodyStats().Granted).To(BeZero())
	})

	ginkgo.It("is not taken for silence while it is on a slow link", func() {
		liveness := WithLiveness(50*time.Millisecond, time.Second)
		server := startLinkForwarder(echo, WithLinkRate(slowLink), liveness)
		client := startLinkForwarder(echo, liveness)
		client.Dial = (&pacedLink{rate: slowLink}).dial
		_, err := client.Forward(context.Background(), server.Addr(), bodyRequest(1_200_000, time.Minute))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Stats()).To(HaveField("Silent", uint64(0)))
		Expect(server.Stats()).To(HaveField("Silent", uint64(0)))
	})

	ginkgo.It("is sent in the order of deadlines if the sender's own link is slow", func() {
		received := make(chan uint64, 64)
		addr := rawServer(func(r rawPeer) {
			later, sooner := r.readKind(frameOffer).number, r.readKind(frameOffer).number
			r.write(grantFrame(later, 100<<10))
			r.write(grantFrame(sooner, 100<<10))
			for range 8 {
				received <- r.readKind(frameBody).number
			}
			_, _ = io.Copy(io.Discard, r)
		})
		client := startLinkForwarder(echo, WithLinkRate(400e3))
		for _, timeout := range []time.Duration{10 * time.Second, 5 * time.Second} {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			conns := client.Stats().Connections
			go func() { _, _ = client.Forward(ctx, addr, bodyRequest(100<<10, timeout)) }()
			Eventually(func() int {
				n := 0
				for _, c := range client.connections() {
					load, _ := c.load()
					n += load
				}
				return n
			}).Should(BeNumerically(">", conns))
		}
		// The first piece may be of the body that was granted first.
		<-received
		var order []uint64
		for range 7 {
			order = append(order, <-received)
		}
		Expect(order[:6]).To(HaveEach(uint64(2)))
	})
})

var _ = ginkgo.Describe("A request whose body is offered", func() {
	// Guards against requests that are told of as perhaps run although no upstream can have seen them, and so are not tried
	// again.
	ginkgo.It("has not run if the receiver ends with grants outstanding", func() {
		addr := rawServer(func(r rawPeer) {
			number := r.readKind(frameOffer).number
			r.write(grantFrame(number, sequoialink.Piece))
			Expect(r.readKind(frameBody).payload).To(HaveLen(sequoialink.Piece))
		})
		client := startForwarder(testKey, nil)
		_, err := client.Forward(context.Background(), addr, bodyRequest(100<<10, time.Minute))
		Expect(err).To(And(MatchError(ErrNotSent), MatchError(ErrConnectionLost)))
	})

	ginkgo.It("may have run if the receiver ends once the body has been sent completely", func() {
		addr := rawServer(func(r rawPeer) {
			number := r.readKind(frameOffer).number
			r.write(grantFrame(number, 20<<10))
			for arrived := 0; arrived < 20<<10; {
				arrived += len(r.readKind(frameBody).payload)
			}
		})
		client := startForwarder(testKey, nil)
		_, err := client.Forward(context.Background(), addr, bodyRequest(20<<10, time.Minute))
		Expect(err).To(MatchError(ErrUnknown))
	})

	ginkgo.It("has not run if the caller cancels it before its body has been sent, and the receiver is told", func() {
		cancelled := make(chan uint64, 1)
		ctx, cancel := context.WithCancel(context.Background())
		addr := rawServer(func(r rawPeer) {
			number := r.readKind(frameOffer).number
			r.write(grantFrame(number, sequoialink.Piece))
			r.readKind(frameBody)
			cancel()
			cancelled <- r.readKind(frameCancel).number
			r.write(grantFrame(number, 2*sequoialink.Piece))
			r.write(response(number, ""))
			_, _ = io.Copy(io.Discard, r)
		})
		client := startForwarder(testKey, nil)
		_, err := client.Forward(ctx, addr, bodyRequest(100<<10, time.Minute))
		Expect(err).To(And(MatchError(ErrNotSent), MatchError(context.Canceled)))
		Eventually(cancelled).Should(Receive(Equal(uint64(1))))
		Consistently(client.Stats, "100ms").Should(HaveField("Invalid", uint64(0)))
	})

	ginkgo.It("has not run if the receiver responds otherwise before the body has been sent", func() {
		addr := rawServer(func(r rawPeer) {
			r.write(response(r.readKind(frameOffer).number, "x"))
			_, _ = io.Copy(io.Discard, r)
		})
		client := startForwarder(testKey, nil)
		_, err := client.Forward(context.Background(), addr, bodyRequest(100<<10, time.Minute))
		Expect(err).To(And(MatchError(ErrNotSent), MatchError(ErrMalformed)))
		Expect(client.Stats()).To(HaveField("Invalid", uint64(1)))
	})

	// Guards against requests that run with a part of their body, and against memory and capacity that a lost sender keeps.
	ginkgo.DescribeTable("is dropped by the receiver",
		func(end func(r rawPeer), expected types.GomegaMatcher) {
			var runs atomic.Int64
			held := &counter{limit: 1 << 20}
			server := startLinkForwarder(func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
				runs.Add(1)
				return echo(ctx, req)
			}, WithLinkRate(slowLink))
			server.ReserveBody = held.reserve
			r := rawClient(server)
			r.write(offerFrame(1, 100<<10, time.Minute))
			Expect(binary.BigEndian.Uint64(r.readKind(frameGrant).payload)).To(Equal(uint64(2 * sequoialink.Piece)))
			r.write(encodeFrame(frameBody, 1, make([]byte, sequoialink.Piece)))
			Eventually(server.BodyStats).Should(HaveField("Arrived", uint64(sequoialink.Piece)))
			Expect(held.held.Load()).To(Equal(int64(100 << 10)))
			end(r)
			Eventually(held.held.Load).Should(BeZero())
			Expect(server.BodyStats()).To(And(HaveField("Transfers", 0), HaveField("Outstanding", 0)))
			if expected != nil {
				fr := r.readKind(frameGrant)
				for fr.kind == frameGrant {
					fr = r.read()
				}
				Expect(decodeResponse(fr.payload)).To(expected)
				// The connection goes on, also if a piece was on its way.
				r.write(encodeFrame(frameBody, 1, make([]byte, sequoialink.Piece)))
				r.write(requestFrame(2))
				Expect(r.readKind(frameResponse).number).To(Equal(uint64(2)))
				Expect(runs.Load()).To(Equal(int64(1)))
				return
			}
			Consistently(runs.Load, "100ms").Should(BeZero())
		},
		ginkgo.Entry("if the sender ends", func(r rawPeer) { r.end() }, nil),
		ginkgo.Entry("if the sender cancels it", func(r rawPeer) { r.write(encodeFrame(frameCancel, 1, nil)) }, notRun(reasonCancelled)),
		ginkgo.Entry("if the sender makes no progress", func(rawPeer) {}, notRun(string(sequoialink.ReasonStalled))),
	)

	ginkgo.DescribeTable("closes the connection of a sender that breaks the protocol",
		func(frames func() []byte) {
			server := startLinkForwarder(echo, WithLinkRate(slowLink))
			r := rawClient(server)
			r.write(frames())
			r.expectClosed()
			Expect(server.Stats()).To(HaveField("Invalid", uint64(1)))
			Expect(server.BodyStats()).To(HaveField("Transfers", 0))
		},
		ginkgo.Entry("a piece that was not granted", func() []byte {
			return append(offerFrame(1, 100<<10, time.Minute), encodeFrame(frameBody, 1, make([]byte, 50<<10))...)
		}),
		ginkgo.Entry("more than the size of the body", func() []byte {
			return append(offerFrame(1, 10<<10, time.Minute), encodeFrame(frameBody, 1, make([]byte, 11<<10))...)
		}),
		ginkgo.Entry("an empty piece", func() []byte {
			return append(offerFrame(1, 10<<10, time.Minute), encodeFrame(frameBody, 1, nil)...)
		}),
		ginkgo.Entry("a piece of an unknown request", func() []byte { return encodeFrame(frameBody, 7, []byte{1}) }),
		ginkgo.Entry("an offer of nothing", func() []byte { return offerFrame(1, 0, time.Minute) }),
		ginkgo.Entry("a reused number", func() []byte {
			return append(offerFrame(1, 10<<10, time.Minute), offerFrame(1, 10<<10, time.Minute)...)
		}),
	)

	// Guards against a process that exceeds its memory limit because of bodies, and is ended by the platform.
	ginkgo.It("is refused if there is no memory for it, and so is a large request in one frame", func() {
		held := &counter{limit: 100 << 10}
		server := startLinkForwarder(echo)
		server.ReserveBody = held.reserve
		client := startForwarder(testKey, nil)
		for _, version := range []int{0, sequoiarouter.ProtocolVersion} {
			req := bodyRequest(2<<20, 5*time.Second)
			req.Version = version
			Expect(client.Forward(context.Background(), server.Addr(), req)).To(notRun(ReasonNoMemory))
			req = bodyRequest(70<<10, 5*time.Second)
			req.Version = version
			resp, err := client.Forward(context.Background(), server.Addr(), req)
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(resp.Body, req.Body)).To(BeTrue())
			Eventually(held.held.Load).Should(BeZero())
		}
		Expect(client.Stats()).To(HaveField("Dialed", uint64(1)))
		Expect(server.BodyStats().NoMemory).To(Equal(uint64(2)))
	})

	// Guards against a process that exceeds its memory limit because of heads: short lines, which take many times their size
	// once they are decoded, were not counted when another process passed them on.
	ginkgo.It("and a request without one are refused if there is no memory for the header", func() {
		const lines = 1000
		held := &counter{limit: 100 * lines}
		server := startLinkForwarder(echo)
		server.ReserveBody = held.reserve
		client := startForwarder(testKey, nil)
		for _, version := range []int{0, sequoiarouter.ProtocolVersion} {
			for _, size := range []int{0, 1 << 10, 20 << 10} {
				req := bodyRequest(size, 5*time.Second)
				req.Version = version
				Expect(client.Forward(context.Background(), server.Addr(), req)).To(HaveField("Outcome", sequoiarouter.Answered))
				for i := range lines {
					req.Header[fmt.Sprint("x", i)] = []string{""}
				}
				Expect(client.Forward(context.Background(), server.Addr(), req)).To(notRun(ReasonNoMemory))
				Eventually(held.held.Load).Should(BeZero())
			}
		}
		Expect(client.Stats()).To(HaveField("Dialed", uint64(1)))
	})

	ginkgo.It("releases the memory of an incomplete frame when the connection is closed", func() {
		held := &counter{limit: 1 << 20}
		server := startLinkForwarder(echo)
		server.ReserveBody = held.reserve
		r := rawClient(server)
		req := request("k", time.Minute)
		req.Body = make([]byte, 500<<10)
		r.write(encodedRequest(frameRequest, 1, req)[:100<<10])
		Eventually(held.held.Load).Should(BeNumerically(">", 500<<10))
		r.end()
		Eventually(held.held.Load).Should(BeZero())
	})
})

// wireRequest1 and wireResponse1 are the encodings of protocol version 1.
type wireRequest1 struct {
	Service   string              `cbor:"1,keyasint"`
	Key       string              `cbor:"2,keyasint,omitempty"`
	RequestID string              `cbor:"3,keyasint,omitempty"`
	Remaining time.Duration       `cbor:"6,keyasint,omitempty"`
	Method    string              `cbor:"7,keyasint"`
	Path      string              `cbor:"8,keyasint"`
	Header    map[string][]string `cbor:"9,keyasint,omitempty"`
	Body      []byte              `cbor:"10,keyasint,omitempty"`
}

type wireResponse1 struct {
	Outcome sequoiarouter.Outcome `cbor:"1,keyasint"`
	Reason  string                `cbor:"2,keyasint,omitempty"`
	Load    struct {
		Running, Waiting, Slots int
		Work, StartDelay        time.Duration
	} `cbor:"10,keyasint"`
	Status int    `cbor:"6,keyasint,omitempty"`
	Body   []byte `cbor:"8,keyasint,omitempty"`
}

// Guards against processes of two builds that reject each other's frames while the fleet is upgraded.
var _ = ginkgo.Describe("A process with protocol version 1", func() {
	ginkgo.It("gets requests with bodies of any size in one frame that it can decode", func() {
		pinged := make(chan frame, 1)
		addr := rawServer(func(r rawPeer) {
			fr := r.readKind(frameRequest)
			var w wireRequest1
			Expect(decoder.Unmarshal(fr.payload, &w)).To(Succeed())
			r.write(response(fr.number, string(w.Body)))
			pinged <- r.read()
			_, _ = io.Copy(io.Discard, r)
		})
		client := startLinkForwarder(echo, WithLiveness(50*time.Millisecond, time.Second))
		req := bodyRequest(300<<10, 5*time.Second)
		req.Version = 0
		resp, err := client.Forward(context.Background(), addr, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(resp.Body, req.Body)).To(BeTrue())
		var ping frame
		Eventually(pinged).Should(Receive(&ping))
		Expect(ping.kind).To(Equal(framePing))
		Expect(ping.payload).To(BeEmpty())
	})

	ginkgo.It("is served, with responses in one frame that it can decode", func() {
		server := startLinkForwarder(echo, WithLinkRate(slowLink))
		r := rawClient(server)
		body := bytes.Repeat([]byte("0123456789"), 20<<10)
		payload, err := cbor.Marshal(wireRequest1{Service: "dispatch", Key: "k", Remaining: time.Minute, Method: "PUT", Path: "/", Body: body})
		Expect(err).NotTo(HaveOccurred())
		r.write(encodeFrame(frameRequest, 1, payload))
		var w wireResponse1
		Expect(decoder.Unmarshal(r.readKind(frameResponse).payload, &w)).To(Succeed())
		Expect(bytes.Equal(w.Body, body)).To(BeTrue())
	})
})

// Guards against requests of an earlier build that are rejected because they carry the field with the number 16, which
// this build no longer uses.
var _ = ginkgo.Describe("A process of an earlier build that marks calls", func() {
	ginkgo.It("is served", func() {
		server := startLinkForwarder(echo)
		r := rawClient(server)
		payload, err := cbor.Marshal(struct {
			Service   string        `cbor:"1,keyasint"`
			Remaining time.Duration `cbor:"6,keyasint"`
			Method    string        `cbor:"7,keyasint"`
			Body      []byte        `cbor:"10,keyasint"`
			Call      bool          `cbor:"16,keyasint"`
			Version   int           `cbor:"17,keyasint"`
		}{"dispatch", time.Minute, "PUT", []byte("body"), true, 2})
		Expect(err).NotTo(HaveOccurred())
		r.write(encodeFrame(frameRequest, 1, payload))
		var w wireResponse
		Expect(decoder.Unmarshal(r.readKind(frameResponse).payload, &w)).To(Succeed())
		Expect(w.Body).To(Equal([]byte("body")))
	})
})

var _ = ginkgo.Describe("A large response", func() {
	ginkgo.It("does not end the connection if its caller leaves in the middle", func() {
		server := startLinkForwarder(func(_ context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			size := 10
			if req.Key == "large" {
				size = 4 << 20
			}
			return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: 200, Body: make([]byte, size)}
		}, WithLinkRate(slowLink))
		client := startForwarder(testKey, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		req := request("large", 5*time.Second)
		req.Version = sequoiarouter.ProtocolVersion
		_, err := client.Forward(ctx, server.Addr(), req)
		Expect(err).To(MatchError(ErrUnknown))
		_, err = client.Forward(context.Background(), server.Addr(), request("small", 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			n, _ := client.connections()[0].load()
			return n
		}).Should(BeZero(), "the number of the cancelled request is still in use")
		Expect(client.Stats()).To(And(HaveField("Dialed", uint64(1)), HaveField("Invalid", uint64(0))))
	})

	// Guards against all requests of a connection that fail because a piece was being written when its response was
	// cancelled.
	ginkgo.It("may still send a piece after its cancellation", func() {
		ctx, cancel := context.WithCancel(context.Background())
		addr := rawServer(func(r rawPeer) {
			number := r.readKind(frameRequest).number
			var buf bytes.Buffer
			head := &wireResponseHead{Response: wireResponse{Outcome: sequoiarouter.Answered}, BodySize: 100 << 10}
			Expect(encodeResponseFrame(&buf, frameResponseHead, number, head)).To(Succeed())
			r.write(append(buf.Bytes(), encodeFrame(frameResponseBody, number, make([]byte, 16<<10))...))
			cancel()
			Expect(r.readKind(frameCancel).number).To(Equal(number))
			r.write(append(response(number, ""), encodeFrame(frameResponseBody, number, make([]byte, 16<<10))...))
			r.write(response(r.readKind(frameRequest).number, "second"))
			_, _ = io.Copy(io.Discard, r)
		})
		client := startForwarder(testKey, nil)
		_, err := client.Forward(ctx, addr, bodyRequest(0, time.Minute))
		Expect(err).To(MatchError(ErrUnknown))
		resp, err := client.Forward(context.Background(), addr, bodyRequest(0, time.Minute))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(Equal("second"))
	})

	// Guards against an event loop that waits for ever, with all of its connections, for the caller of a request that has left
	// at the moment at which its response was dropped.
	ginkgo.It("that is dropped does not keep its connection from being closed", func() {
		server := startLinkForwarder(echo)
		client := startForwarder(testKey, nil)
		conn, err := client.connection(context.Background(), server.Addr())
		Expect(err).NotTo(HaveOccurred())
		_, pending, err := conn.register(nil)
		Expect(err).NotTo(HaveOccurred())
		client.ReserveBody = (&counter{}).reserve
		var buf bytes.Buffer
		head := &wireResponseHead{Response: wireResponse{Outcome: sequoiarouter.Answered}, BodySize: 100 << 10}
		Expect(encodeResponseFrame(&buf, frameResponseHead, 1, head)).To(Succeed())
		Expect(conn.handleResponseHead(frame{kind: frameResponseHead, number: 1, payload: buf.Bytes()[headerSize:]})).To(Succeed())
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			conn.close(ErrClosed)
		}()
		Eventually(closed).Should(BeClosed())
		Expect((<-pending.done).err).To(MatchError(ErrNoMemory))
	})

	// Guards against a process that exceeds its memory limit because of responses.
	ginkgo.It("is dropped by a caller without memory for it, and its memory is released otherwise", func() {
		server := startLinkForwarder(echo)
		client := startForwarder(testKey, nil)
		held := &counter{limit: 500 << 10}
		client.ReserveBody = held.reserve
		_, err := client.Forward(context.Background(), server.Addr(), bodyRequest(1<<20, 5*time.Second))
		Expect(err).To(And(MatchError(ErrUnknown), MatchError(ErrNoMemory)))
		resp, err := client.Forward(context.Background(), server.Addr(), bodyRequest(400<<10, 5*time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body).To(HaveLen(400 << 10))
		Expect(held.held.Load()).To(BeZero())
		Eventually(func() int {
			n, _ := client.connections()[0].load()
			return n
		}).Should(BeZero())
		Expect(client.Stats()).To(And(HaveField("Dialed", uint64(1)), HaveField("Invalid", uint64(0))))
	})

	// Guards against responses that nothing counts while they wait for a slow link, and against memory that stays reserved.
	ginkgo.It("keeps the memory of its handler until it has been sent or dropped", func() {
		var released atomic.Int64
		server := startLinkForwarder(func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			Expect(AfterAnswer(ctx, func() { released.Add(1) })).To(BeTrue())
			return echo(ctx, req)
		}, WithLinkRate(slowLink))
		client := startForwarder(testKey, nil)
		forward := func(ctx context.Context, bytes int) chan error {
			done := make(chan error, 1)
			go func() {
				req := bodyRequest(0, time.Minute)
				req.Body = make([]byte, bytes)
				_, err := client.Forward(ctx, server.Addr(), req)
				done <- err
			}()
			return done
		}
		Eventually(forward(context.Background(), 10)).Should(Receive(BeNil()))
		Eventually(released.Load).Should(BeEquivalentTo(1))
		sent := forward(context.Background(), 300_000)
		Eventually(func() int { return sendingBodies(server) }).WithTimeout(5 * time.Second).Should(Equal(1))
		Expect(released.Load()).To(BeEquivalentTo(1))
		Eventually(sent).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		Eventually(released.Load).Should(BeEquivalentTo(2))
		ctx, cancel := context.WithCancel(context.Background())
		dropped := forward(ctx, 1_000_000)
		Eventually(func() int { return sendingBodies(server) }).WithTimeout(5 * time.Second).Should(Equal(1))
		cancel()
		Eventually(dropped).Should(Receive(HaveOccurred()))
		Eventually(released.Load).Should(BeEquivalentTo(3))
		lost := forward(context.Background(), 1_000_000)
		Eventually(func() int { return sendingBodies(server) }).WithTimeout(5 * time.Second).Should(Equal(1))
		client.Close()
		Eventually(lost).Should(Receive(HaveOccurred()))
		Eventually(released.Load).Should(BeEquivalentTo(4))
	})

	ginkgo.It("lets small ones overtake it", func() {
		server := startLinkForwarder(echo, WithLinkRate(slowLink))
		client := startForwarder(testKey, nil)
		large := make(chan error, 1)
		go func() {
			req := bodyRequest(0, time.Minute)
			req.Body = make([]byte, 1_000_000)
			// Bodies of both directions share the rate of the link here.
			_, err := client.Forward(context.Background(), server.Addr(), req)
			large <- err
		}()
		Eventually(func() int { return sendingBodies(server) }).WithTimeout(5 * time.Second).Should(Equal(1))
		for range 5 {
			_, err := client.Forward(context.Background(), server.Addr(), request("small", 5*time.Second))
			Expect(err).NotTo(HaveOccurred())
			Expect(sendingBodies(server)).To(Equal(1), "the small response came after the large one")
		}
		Eventually(large).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		Expect(sendingBodies(server)).To(BeZero())
	})
})

// sendingBodies returns the number of responses whose bodies a forwarder is sending.
func sendingBodies(f *Forwarder) (n int) {
	for _, c := range f.connections() {
		c.mu.Lock()
		n += len(c.sending)
		c.mu.Unlock()
	}
	return n
}

var _ = ginkgo.Describe("The time in queues", func() {
	ginkgo.It("is what a frame took longer than the fastest one lately, whatever the clocks are", func() {
		var q queueDelay
		now := monotonicOrigin.Add(time.Hour)
		sentAt := 7 * time.Second
		Expect(q.observe(now, sentAt)).To(BeZero())
		after := func(elapsed, queued time.Duration) time.Duration {
			return q.observe(now.Add(elapsed+queued), sentAt+elapsed)
		}
		Expect(after(time.Second, 1800*time.Millisecond)).To(Equal(1800 * time.Millisecond))
		Expect(after(3*time.Second, -2*time.Millisecond)).To(BeZero())
		Expect(after(4*time.Second, 0)).To(Equal(2 * time.Millisecond))
		Expect(after(8*time.Second, 100*time.Millisecond)).To(Equal(102 * time.Millisecond))
		Expect(after(14*time.Second, 100*time.Millisecond)).To(BeZero(), "an offset older than two periods is still used")
		Expect(after(60*time.Second, time.Second)).To(BeZero())
	})

	// Guards against requests that run after their clients have left, because they and their cancellations waited in the
	// link (1.8 s).
	ginkgo.It("is taken off the time that is left for a request", func() {
		deadlines := make(chan time.Duration, 4)
		server := startLinkForwarder(func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			deadlines <- time.Until(req.Deadline)
			return echo(ctx, req)
		})
		r := rawClient(server)
		send := func(number uint64, age, remaining time.Duration) *sequoiarouter.Response {
			payload, err := cbor.Marshal(wireRequest{
				Service: "dispatch", Method: "GET", Path: "/", Version: sequoiarouter.ProtocolVersion, Remaining: remaining,
				SentAt: time.Hour + time.Since(monotonicOrigin) - age,
			})
			Expect(err).NotTo(HaveOccurred())
			r.write(encodeFrame(frameRequest, number, payload))
			resp, err := decodeResponse(r.readKind(frameResponse).payload)
			Expect(err).NotTo(HaveOccurred())
			return resp
		}
		Expect(send(1, 0, 20*time.Second)).To(HaveField("Outcome", sequoiarouter.Answered))
		Expect(<-deadlines).To(BeNumerically("~", 20*time.Second, 5*time.Second))
		Expect(send(2, 10*time.Second, 20*time.Second)).To(HaveField("Outcome", sequoiarouter.Answered))
		Expect(<-deadlines).To(BeNumerically("~", 10*time.Second, 5*time.Second))
		Expect(send(3, 60*time.Second, 20*time.Second)).To(HaveField("Outcome", sequoiarouter.NotRun))
		Expect(deadlines).To(BeEmpty())
		Expect(server.Stats()).To(HaveField("Expired", uint64(1)))
	})
})

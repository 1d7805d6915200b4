package sequoiapeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"reflect"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// receivedMessage is a message with its sender.
type receivedMessage struct {
	from sequoiatable.IncarnationID
	m    sequoiacontrol.Message
}

// startControl starts a Control on a free loopback port. The returned channel gets the messages it receives.
func startControl(
	key []byte, id sequoiatable.IncarnationID, n *blackholeNetwork, opts ...ControlOption,
) (*Control, chan receivedMessage) {
	received := make(chan receivedMessage, 1000)
	c, err := NewControl(key, append(opts, WithReceive(func(from sequoiatable.IncarnationID, m sequoiacontrol.Message) {
		received <- receivedMessage{from, m}
	}))...)
	Expect(err).NotTo(HaveOccurred())
	if n != nil {
		c.ListenPacket = n.listen
	}
	c.SetIncarnation(id)
	Expect(c.Listen(loopback)).To(Succeed())
	ginkgo.DeferCleanup(c.Close)
	return c, received
}

func renew(n uint64) sequoiacontrol.Message {
	return sequoiacontrol.Message{LogIndex: 7, Renew: &sequoiacontrol.Renew{Holder: 1, Witness: 2, Sequence: n}}
}

// awaitNoPackets waits until no packets arrive at c. A packet that was sent before the network is cut and arrives after
// it would count as received data, and the silence would be detected only after the next message.
func awaitNoPackets(c *Control) {
	ginkgo.GinkgoHelper()
	packets := func() (n uint64) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for conn := range c.conns {
			n += conn.ConnectionStats().PacketsReceived
		}
		return n
	}
	Eventually(func() bool {
		before := packets()
		time.Sleep(200 * time.Millisecond)
		return packets() == before
	}).WithTimeout(5 * time.Second).Should(BeTrue())
}

var _ = ginkgo.Describe("Control", func() {
	ginkgo.It("delivers small and large messages with the sender's incarnation, over one connection in both directions", func() {
		a, atA := startControl(testKey, 1, nil)
		b, atB := startControl(testKey, 2, nil)
		a.Send(2, b.Addr(), renew(1))
		Eventually(atB).Should(Receive(Equal(receivedMessage{1, renew(1)})))
		large := sequoiacontrol.Message{Checkpoint: &sequoiacontrol.Checkpoint{Index: 9, Parts: [][]byte{make([]byte, 3<<20)}}}
		b.Send(1, a.Addr(), large)
		Eventually(atA).WithTimeout(5 * time.Second).Should(Receive(Equal(receivedMessage{2, large})))
		Expect(a.Connections()).To(Equal(1))
		Expect(b.Connections()).To(Equal(1))
		Expect(b.Stats().Dialed).To(BeZero(), "replies must use the accepted connection")
	})

	ginkgo.It("rejects a peer with another shared key on both sides", func() {
		a, _ := startControl(otherKey, 1, nil)
		reported := make(chan error, 10)
		b, atB := startControl(testKey, 2, nil, WithRejected(func(_ netip.AddrPort, err error) { reported <- err }))
		a.Send(2, b.Addr(), renew(1))
		Eventually(func() uint64 { return b.Stats().Rejected }).ShouldNot(BeZero())
		Eventually(reported).Should(Receive(MatchError(ErrUnauthenticated)))
		Eventually(func() uint64 { return a.Stats().Rejected }).ShouldNot(BeZero())
		Consistently(atB, "200ms").ShouldNot(Receive())
	})

	ginkgo.DescribeTable("rejects a client without a certificate of the authority, which could forge renewals, even if it skips verification",
		func(config func() *tls.Config) {
			b, _ := startControl(testKey, 2, nil)
			rejected := func() uint64 { return b.Stats().Rejected }
			// On a busy machine the server may abort a handshake by its timeout, without notifying the client.
			dials := uint64(0)
			for ; dials < 5 && rejected() == 0; dials++ {
				conn, err := quic.DialAddr(context.Background(), b.Addr().String(), config(), quicConfig())
				if err == nil {
					ginkgo.DeferCleanup(func() { _ = conn.CloseWithError(0, "") })
				}
				for end := time.Now().Add(2 * time.Second); rejected() == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				if err == nil && rejected() > 0 {
					Eventually(conn.Context().Done()).Should(BeClosed())
				}
			}
			Expect(rejected()).To(And(BeNumerically(">=", 1), BeNumerically("<=", dials)))
			Consistently(rejected, "100ms").Should(BeNumerically("<=", dials), "a rejection was counted twice")
			Expect(b.Connections()).To(BeZero())
		},
		ginkgo.Entry("no certificate", func() *tls.Config {
			return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{controlProtocol}}
		}),
		ginkgo.Entry("a certificate of another authority", func() *tls.Config {
			creds, err := newCredentials(otherKey)
			Expect(err).NotTo(HaveOccurred())
			config := creds.clientConfig()
			config.InsecureSkipVerify = true
			return config
		}),
	)

	ginkgo.It("replaces a silent connection and resends its lost messages before the witnesses suspect the holder", func() {
		network := &blackholeNetwork{}
		a, _ := startControl(testKey, 1, network)
		b, atB := startControl(testKey, 2, network)
		a.Send(2, b.Addr(), renew(1))
		Eventually(atB).Should(Receive())
		awaitNoPackets(a)
		network.set(b.Addr(), true)
		a.Send(2, b.Addr(), renew(2))
		Eventually(func() uint64 { return a.Stats().Silent }).WithTimeout(2 * time.Second).Should(Equal(uint64(1)))
		network.set(b.Addr(), false)
		Eventually(atB).WithTimeout(2 * time.Second).Should(Receive(Equal(receivedMessage{1, renew(2)})))
		Expect(a.Stats().Dialed).To(Equal(uint64(2)))
	})

	ginkgo.It("reaches a process that was restarted at the same address", func() {
		a, _ := startControl(testKey, 1, nil)
		b, atB := startControl(testKey, 2, nil)
		addr := b.Addr()
		a.Send(2, addr, renew(1))
		Eventually(atB).Should(Receive())
		Expect(b.Close()).To(Succeed())
		restarted, err := NewControl(testKey)
		Expect(err).NotTo(HaveOccurred())
		received := make(chan receivedMessage, 10)
		restarted.Receive = func(from sequoiatable.IncarnationID, m sequoiacontrol.Message) { received <- receivedMessage{from, m} }
		Expect(restarted.Listen(addr)).To(Succeed())
		ginkgo.DeferCleanup(restarted.Close)
		a.Send(2, addr, renew(2))
		Eventually(received).WithTimeout(2 * time.Second).Should(Receive(Equal(receivedMessage{1, renew(2)})))
	})

	ginkgo.It("does not block the sender or delay other peers while a peer is unreachable", func() {
		a, _ := startControl(testKey, 1, nil)
		b, atB := startControl(testKey, 2, nil)
		unreachable, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
		Expect(err).NotTo(HaveOccurred())
		defer unreachable.Close()
		start := time.Now()
		for i := range 500 {
			a.Send(3, addrPort(unreachable.LocalAddr()), renew(uint64(i)))
		}
		a.Send(2, b.Addr(), renew(1))
		Expect(time.Since(start)).To(BeNumerically("<", 200*time.Millisecond))
		Eventually(atB).WithTimeout(300 * time.Millisecond).Should(Receive())
		Expect(a.Stats().Dropped).To(BeNumerically(">=", 500-maxQueued-1))
	})

	ginkgo.It("closes the connection of an authenticated peer that sends a malformed message", func() {
		b, _ := startControl(testKey, 2, nil)
		creds, err := newCredentials(testKey)
		Expect(err).NotTo(HaveOccurred())
		conn, err := quic.DialAddr(context.Background(), b.Addr().String(), creds.clientConfig(), quicConfig())
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SendDatagram([]byte("not CBOR"))).To(Succeed())
		Eventually(conn.Context().Done()).Should(BeClosed())
		Expect(b.Stats().Invalid).To(Equal(uint64(1)))
	})

	ginkgo.It("rejects a shared key that is too short, because it could be guessed", func() {
		_, err := NewControl([]byte("short"))
		Expect(err).To(MatchError(ErrKey))
	})

	ginkgo.It("accepts every kind of message, so that a kind added to Message is not dropped as malformed", func() {
		t := reflect.TypeFor[sequoiacontrol.Message]()
		for i := range t.NumField() {
			if t.Field(i).Type.Kind() != reflect.Pointer {
				continue
			}
			var m sequoiacontrol.Message
			field := reflect.ValueOf(&m).Elem().Field(i)
			field.Set(reflect.New(field.Type().Elem()))
			b, err := encodeControl(1, m)
			Expect(err).NotTo(HaveOccurred(), t.Field(i).Name)
			_, err = decodeControl(b)
			Expect(err).NotTo(HaveOccurred(), t.Field(i).Name)
		}
	})

	ginkgo.DescribeTable("rejects encodings that two decoders could read differently",
		func(encoded any, want error) {
			b, err := encoder.Marshal(encoded)
			Expect(err).NotTo(HaveOccurred())
			_, err = decodeControl(b)
			Expect(err).To(MatchError(want))
		},
		ginkgo.Entry("unknown field", map[string]any{"From": 1, "Message": map[string]any{"Extra": 1}}, ErrMalformed),
		ginkgo.Entry("field name in another case", map[string]any{"from": 1, "Message": renew(1)}, ErrMalformed),
		ginkgo.Entry("no sender", envelope{Message: renew(1)}, ErrMessage),
		ginkgo.Entry("no kind", envelope{From: 1}, ErrMessage),
		ginkgo.Entry("two kinds", envelope{From: 1, Message: sequoiacontrol.Message{
			Renew: &sequoiacontrol.Renew{}, Renewed: &sequoiacontrol.Renewed{},
		}}, ErrMessage),
	)
})

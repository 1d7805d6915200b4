package sequoiapeer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// ErrClosed reports the use of a transport that is closed.
var ErrClosed = errors.New("the transport is closed")

const (
	// controlIdleTimeout is how long a control connection stays open without packets.
	controlIdleTimeout = 30 * time.Second
	// handshakeTimeout limits the QUIC handshake. It is short because the next attempt starts at once, so that a lost
	// packet causes little delay.
	handshakeTimeout = 400 * time.Millisecond
	// streamTimeout limits the transfer of one large message.
	streamTimeout = 10 * time.Second
	// maxIncomingStreams limits the large messages that one peer sends concurrently.
	maxIncomingStreams = 8
	// receiveWindow is the initial flow control window of a connection in bytes.
	receiveWindow = 256 << 10
)

// Application error codes of closed control connections.
const (
	codeShutdown quic.ApplicationErrorCode = iota + 1
	codeSilent
	codeInvalidMessage
)

// ControlStats counts events of a Control since its start.
type ControlStats struct {
	Sent     uint64
	Received uint64
	// Dropped counts messages that were not sent: expired, displaced from a full queue, or too large.
	Dropped uint64
	// Rejected counts peers that failed authentication.
	Rejected uint64
	// Invalid counts received messages that could not be decoded.
	Invalid uint64
	// Dialed counts established outgoing connections, DialFailures failed attempts.
	Dialed       uint64
	DialFailures uint64
	// Silent counts connections closed because the peer did not acknowledge packets.
	Silent uint64
}

// Control sends and receives control messages over QUIC, with one connection per peer address.
type Control struct {
	// Receive is called for each message of an authenticated peer, from several goroutines. It must not block. A
	// message may be delivered more than once.
	Receive func(from sequoiatable.IncarnationID, m sequoiacontrol.Message)
	// Rejected is called for each peer that fails authentication (ErrUnauthenticated) or sends a message that cannot
	// be decoded (ErrTooLarge, ErrMalformed, ErrMessage). It is also called for the recipient of a message that Send
	// cannot encode.
	Rejected func(peer netip.AddrPort, err error)
	// ListenPacket opens the UDP socket. Tests replace it to drop packets.
	ListenPacket func(addr netip.AddrPort) (net.PacketConn, error)

	sharedKey   []byte
	credentials credentials
	incarnation atomic.Uint64
	transport   *quic.Transport
	listener    *quic.Listener
	ctx         context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	conns  map[*quic.Conn]struct{}
	closed bool

	sent, received, dropped, rejected, invalid atomic.Uint64
	dialed, dialFailures, silent               atomic.Uint64
}

// ControlOption configures a Control.
type ControlOption func(*Control)

// WithReceive sets the handler of received messages.
func WithReceive(f func(from sequoiatable.IncarnationID, m sequoiacontrol.Message)) ControlOption {
	return func(c *Control) { c.Receive = f }
}

// WithRejected sets the handler that is called for each rejected peer.
func WithRejected(f func(peer netip.AddrPort, err error)) ControlOption {
	return func(c *Control) { c.Rejected = f }
}

// NewControl returns a Control that authenticates with the shared key. It returns ErrKey if the key is too short.
func NewControl(sharedKey []byte, opts ...ControlOption) (*Control, error) {
	creds, err := newCredentials(sharedKey)
	if err != nil {
		return nil, err
	}
	c := &Control{
		Receive:      func(sequoiatable.IncarnationID, sequoiacontrol.Message) {},
		Rejected:     func(netip.AddrPort, error) {},
		ListenPacket: listenUDP,
		sharedKey:    slices.Clone(sharedKey),
		credentials:  creds,
		links:        map[netip.AddrPort]*link{},
		conns:        map[*quic.Conn]struct{}{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

func listenUDP(addr netip.AddrPort) (net.PacketConn, error) {
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
}

// Listen opens the UDP socket for incoming and outgoing connections. It is called once, before Send.
func (c *Control) Listen(addr netip.AddrPort) error {
	// A key derived from the address lets a restarted process send stateless resets for connections of its predecessor.
	// With one key for all addresses, an attacker could obtain a process's reset tokens from any other process (RFC
	// 9000, section 21.11).
	reset, err := deriveKey(c.sharedKey, labelReset+" "+addr.String())
	if err != nil {
		return err
	}
	packetConn, err := c.ListenPacket(addr)
	if err != nil {
		return errors.Wrapf(err, "listen for control connections on %v", addr)
	}
	c.transport = &quic.Transport{
		Conn:              packetConn,
		StatelessResetKey: (*quic.StatelessResetKey)(reset),
		ConnContext:       c.watchHandshake,
	}
	c.listener, err = c.transport.Listen(c.credentials.serverConfig(), quicConfig())
	if err != nil {
		_ = packetConn.Close()
		return errors.Wrapf(err, "listen for control connections on %v", addr)
	}
	c.running.Go(c.accept)
	return nil
}

// Addr returns the local UDP address. It is valid after Listen.
func (c *Control) Addr() netip.AddrPort {
	return addrPort(c.listener.Addr())
}

// SetIncarnation sets the sender of the messages sent from now on.
func (c *Control) SetIncarnation(id sequoiatable.IncarnationID) {
	c.incarnation.Store(uint64(id))
}

// Send queues a message and returns at once. Delivery is not guaranteed. The recipient is the process at addr; to is
// not transmitted, because a revoked process still has to answer messages to its earlier incarnation.
func (c *Control) Send(to sequoiatable.IncarnationID, addr netip.AddrPort, m sequoiacontrol.Message) {
	b, err := encodeControl(sequoiatable.IncarnationID(c.incarnation.Load()), m)
	if err != nil {
		c.dropped.Add(1)
		c.Rejected(addr, errors.Wrapf(err, "message to %v not sent", to))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.transport == nil {
		c.dropped.Add(1)
		return
	}
	c.link(unmap(addr)).enqueue(b)
}

// Stats returns the counts so far.
func (c *Control) Stats() ControlStats {
	return ControlStats{
		Sent: c.sent.Load(), Received: c.received.Load(), Dropped: c.dropped.Load(), Rejected: c.rejected.Load(),
		Invalid: c.invalid.Load(), Dialed: c.dialed.Load(), DialFailures: c.dialFailures.Load(),
		Silent: c.silent.Load(),
	}
}

// Connections returns the number of open connections.
func (c *Control) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Close closes all connections and waits for the goroutines that use them.
func (c *Control) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	conns := make([]*quic.Conn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	c.cancel()
	for _, conn := range conns {
		_ = conn.CloseWithError(codeShutdown, "shutdown")
	}
	if c.transport == nil {
		return nil
	}
	_ = c.listener.Close()
	err := c.transport.Close()
	_ = c.transport.Conn.Close()
	c.running.Wait()
	return err
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 controlIdleTimeout,
		EnableDatagrams:                true,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          maxIncomingStreams,
		InitialStreamReceiveWindow:     receiveWindow,
		InitialConnectionReceiveWindow: receiveWindow,
		// MTU probes add packets on every connection, and nearly all messages fit the initial packet size.
		DisablePathMTUDiscovery: true,
	}
}

// link returns the link to a peer address and creates it if needed. The caller holds mu.
func (c *Control) link(addr netip.AddrPort) *link {
	l := c.links[addr]
	if l == nil {
		l = newLink(c, addr)
		c.links[addr] = l
	}
	return l
}

// watchHandshake reports incoming connections that fail with a TLS error, which Accept does not return.
func (c *Control) watchHandshake(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	context.AfterFunc(ctx, func() { c.reportTLSError(addrPort(info.RemoteAddr), context.Cause(ctx)) })
	return ctx, nil
}

// reportTLSError counts and reports err if it is a TLS error.
func (c *Control) reportTLSError(peer netip.AddrPort, err error) {
	var transportErr *quic.TransportError
	if !errors.As(err, &transportErr) || !transportErr.ErrorCode.IsCryptoError() {
		return
	}
	c.rejected.Add(1)
	c.Rejected(peer, errors.Wrap(ErrUnauthenticated, transportErr.Error()))
}

func (c *Control) accept() {
	for {
		conn, err := c.listener.Accept(c.ctx)
		if err != nil {
			return
		}
		addr := addrPort(conn.RemoteAddr())
		if !c.serve(conn, addr) {
			continue
		}
		c.mu.Lock()
		l := c.link(addr)
		c.mu.Unlock()
		l.setConnection(conn)
	}
}

// serve starts the receive goroutines of a new connection. It returns false if the transport is closed.
func (c *Control) serve(conn *quic.Conn, addr netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.CloseWithError(codeShutdown, "shutdown")
		return false
	}
	c.conns[conn] = struct{}{}
	c.running.Go(func() { c.receiveDatagrams(conn, addr) })
	c.running.Go(func() { c.receiveStreams(conn, addr) })
	return true
}

func (c *Control) receiveDatagrams(conn *quic.Conn, addr netip.AddrPort) {
	defer c.removeConnection(conn)
	for {
		b, err := conn.ReceiveDatagram(conn.Context())
		if err != nil {
			return
		}
		c.handleMessage(conn, addr, b)
	}
}

func (c *Control) receiveStreams(conn *quic.Conn, addr netip.AddrPort) {
	for {
		stream, err := conn.AcceptUniStream(conn.Context())
		if err != nil {
			return
		}
		c.running.Go(func() { c.receiveStream(conn, addr, stream) })
	}
}

// receiveStream reads one message. It discards a truncated message, which the sender has to repeat.
func (c *Control) receiveStream(conn *quic.Conn, addr netip.AddrPort, stream *quic.ReceiveStream) {
	_ = stream.SetReadDeadline(time.Now().Add(streamTimeout))
	b, err := io.ReadAll(io.LimitReader(stream, MaxControlMessage+1))
	stream.CancelRead(0)
	if err != nil {
		return
	}
	c.handleMessage(conn, addr, b)
}

func (c *Control) handleMessage(conn *quic.Conn, addr netip.AddrPort, b []byte) {
	e, err := decodeControl(b)
	if err != nil {
		c.invalid.Add(1)
		c.Rejected(addr, err)
		_ = conn.CloseWithError(codeInvalidMessage, "invalid message")
		return
	}
	c.received.Add(1)
	c.Receive(e.From, e.Message)
}

// removeConnection removes a closed connection, and its link if nothing else uses it.
func (c *Control) removeConnection(conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	addr := addrPort(conn.RemoteAddr())
	if l := c.links[addr]; l != nil && l.connectionClosed(conn) {
		delete(c.links, addr)
	}
}

func addrPort(addr net.Addr) netip.AddrPort {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return unmap(udp.AddrPort())
}

func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

package sequoiapeer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// maxDatagram is the largest message in bytes that is sent as a datagram. It fits the minimum QUIC packet size.
	maxDatagram = 1000
	// maxQueued limits the send queue of a peer. A full queue drops its oldest message, the least useful one.
	maxQueued = 64
	// maxQueueAge is the age at which a queued message is dropped. Renewals and reports are repeated sooner than that.
	maxQueueAge = 2 * time.Second
	// maxUnacknowledged limits the datagrams kept for retransmission on the connection that replaces a silent one.
	maxUnacknowledged = 8
	// silenceLimit is how long after a send a connection without any packet from the peer is replaced. A reachable peer
	// acknowledges a datagram within 25 ms plus a round trip.
	silenceLimit = 300 * time.Millisecond
	// silenceRoundTrips is the minimum silence limit in round trips, for paths with a high latency.
	silenceRoundTrips = 4
	// minBackoff and maxBackoff limit the delay between failed connection attempts.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxOutgoingStreams limits the large messages that are sent to one peer concurrently.
	maxOutgoingStreams = 4
)

// queuedMessage is an encoded message in the send queue.
type queuedMessage struct {
	payload  []byte
	queuedAt time.Time
}

// link sends messages to one peer address. Its goroutine runs only while there are messages to send, and does not hold
// the lock during I/O, so enqueue does not block.
type link struct {
	control *Control
	addr    netip.AddrPort
	streams chan struct{}

	mu      sync.Mutex
	queue   []queuedMessage
	running bool
	conn    *quic.Conn
	// unacknowledged holds the datagrams sent since the peer's last packet, in order.
	unacknowledged []queuedMessage
	// packetsReceived is the number of packets received on conn when the first unacknowledged datagram was sent.
	packetsReceived uint64
	silenceTimer    *time.Timer
}

func newLink(c *Control, addr netip.AddrPort) *link {
	return &link{control: c, addr: addr, streams: make(chan struct{}, maxOutgoingStreams)}
}

// enqueue queues a message. The caller holds the lock of the Control, which serializes enqueue with Close.
func (l *link) enqueue(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= maxQueued {
		l.queue = l.queue[1:]
		l.control.dropped.Add(1)
	}
	l.queue = append(l.queue, queuedMessage{payload: b, queuedAt: time.Now()})
	l.start()
}

// start starts the send goroutine if it is not running. The caller holds mu.
func (l *link) start() {
	if l.running {
		return
	}
	l.running = true
	l.control.running.Go(l.run)
}

// setConnection makes conn the connection to send on, because the newest is the likeliest to work. The previous one
// stays open until its idle timeout, since the peer may still send on it.
func (l *link) setConnection(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.Context().Err() != nil {
		return
	}
	l.conn = conn
	l.requeue()
}

// connectionClosed removes a closed connection and reports whether the link is unused. Unacknowledged datagrams are
// queued again, which opens a new connection at once.
func (l *link) connectionClosed(conn *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
		l.requeue()
	}
	return l.conn == nil && !l.running && len(l.queue) == 0
}

// requeue puts unacknowledged datagrams back at the head of the queue. The caller holds mu.
func (l *link) requeue() {
	if len(l.unacknowledged) == 0 || l.control.ctx.Err() != nil {
		return
	}
	l.queue = append(l.unacknowledged, l.queue...)
	l.unacknowledged = nil
	l.start()
}

// dequeue returns the oldest message that has not expired. If there is none it returns false, and the send goroutine
// must end.
func (l *link) dequeue() (queuedMessage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > 0 {
		m := l.queue[0]
		l.queue = l.queue[1:]
		if time.Since(m.queuedAt) <= maxQueueAge {
			return m, true
		}
		l.control.dropped.Add(1)
	}
	l.queue = nil
	l.running = false
	return queuedMessage{}, false
}

func (l *link) run() {
	var backoff time.Duration
	for l.control.ctx.Err() == nil {
		m, ok := l.dequeue()
		if !ok {
			return
		}
		if !l.deliver(m, &backoff) {
			l.control.dropped.Add(1)
		}
	}
}

// deliver sends a message, and retries once on another connection if the first is replaced before the send. It returns
// false if the message is lost. There is only one retry, because a peer that rejects this process closes each
// connection at once.
func (l *link) deliver(m queuedMessage, backoff *time.Duration) bool {
	replaced := false
	for time.Since(m.queuedAt) <= maxQueueAge && l.control.ctx.Err() == nil {
		conn := l.connect(backoff)
		if conn == nil {
			continue
		}
		sent, err := l.send(conn, m)
		if replaced || !errors.Is(err, errConnectionReplaced) {
			return sent
		}
		replaced = true
	}
	return false
}

// connect returns the current connection or dials a new one. After a failure the next call waits for the backoff.
func (l *link) connect(backoff *time.Duration) *quic.Conn {
	if conn := l.current(); conn != nil {
		return conn
	}
	if !l.wait(*backoff) {
		return nil
	}
	if conn := l.current(); conn != nil {
		return conn
	}
	conn, err := l.dial()
	if err != nil {
		l.control.dialFailures.Add(1)
		l.control.reportTLSError(l.addr, err)
		*backoff = min(max(2**backoff, minBackoff), maxBackoff)
		return nil
	}
	*backoff = 0
	return conn
}

func (l *link) current() *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn
	}
	return nil
}

// wait sleeps for d with jitter. It returns false if the transport is closed meanwhile.
func (l *link) wait(d time.Duration) bool {
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.control.ctx.Done():
		return false
	}
}

func (l *link) dial() (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(l.control.ctx, handshakeTimeout)
	defer cancel()
	c := l.control
	conn, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(l.addr), c.credentials.clientConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	c.dialed.Add(1)
	// The server checks the client's certificate after Dial has returned.
	context.AfterFunc(conn.Context(), func() { c.reportTLSError(l.addr, context.Cause(conn.Context())) })
	if !c.serve(conn, l.addr) {
		return nil, errors.WithStack(ErrClosed)
	}
	l.setConnection(conn)
	return conn, nil
}

// errConnectionReplaced reports that the link uses another connection now and that nothing was sent.
var errConnectionReplaced = errors.New("the connection was replaced")

// send sends a message on conn. It returns false if the message is lost, and errConnectionReplaced if the caller has to
// use another connection.
func (l *link) send(conn *quic.Conn, m queuedMessage) (sent bool, err error) {
	if len(m.payload) > maxDatagram {
		return l.sendStream(conn, m), nil
	}
	if !l.trackUnacknowledged(conn, m) {
		return false, errConnectionReplaced
	}
	err = conn.SendDatagram(m.payload)
	var tooLarge *quic.DatagramTooLargeError
	if errors.As(err, &tooLarge) {
		return l.sendStream(conn, m), nil
	}
	if err == nil {
		l.control.sent.Add(1)
	}
	// After any other error the tracked message is sent again on the connection that replaces this one.
	return true, nil
}

// trackUnacknowledged records a datagram that is about to be sent, and starts the silence timer. It returns false if
// conn has been replaced.
func (l *link) trackUnacknowledged(conn *quic.Conn, m queuedMessage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return false
	}
	received := conn.ConnectionStats().PacketsReceived
	if received != l.packetsReceived || len(l.unacknowledged) == 0 {
		l.packetsReceived = received
		l.unacknowledged = l.unacknowledged[:0]
		l.startSilenceTimer(conn)
	}
	if len(l.unacknowledged) == maxUnacknowledged {
		l.unacknowledged = l.unacknowledged[1:]
	}
	l.unacknowledged = append(l.unacknowledged, m)
	return true
}

// startSilenceTimer restarts the silence timer. The caller holds mu.
func (l *link) startSilenceTimer(conn *quic.Conn) {
	if l.silenceTimer != nil {
		l.silenceTimer.Stop()
	}
	limit := max(silenceLimit, silenceRoundTrips*conn.ConnectionStats().SmoothedRTT)
	l.silenceTimer = time.AfterFunc(limit, func() { l.checkSilence(conn) })
}

// checkSilence closes a connection on which no packet has arrived since the oldest unacknowledged datagram was sent.
func (l *link) checkSilence(conn *quic.Conn) {
	l.mu.Lock()
	answered := l.conn != conn || len(l.unacknowledged) == 0 || conn.ConnectionStats().PacketsReceived != l.packetsReceived
	if answered && l.conn == conn {
		l.unacknowledged = nil
	}
	l.mu.Unlock()
	if answered {
		return
	}
	l.control.silent.Add(1)
	_ = conn.CloseWithError(codeSilent, "no acknowledgement")
}

// sendStream sends a large message on its own stream, so that it does not delay renewals. It returns false if too many
// are in progress or no stream can be opened.
func (l *link) sendStream(conn *quic.Conn, m queuedMessage) bool {
	select {
	case l.streams <- struct{}{}:
	default:
		return false
	}
	stream, err := conn.OpenUniStream()
	if err != nil {
		<-l.streams
		return false
	}
	l.control.running.Go(func() {
		defer func() { <-l.streams }()
		_ = stream.SetWriteDeadline(time.Now().Add(streamTimeout))
		if _, err := stream.Write(m.payload); err != nil {
			stream.CancelWrite(0)
			l.control.dropped.Add(1)
			return
		}
		_ = stream.Close()
		l.control.sent.Add(1)
	})
	return true
}

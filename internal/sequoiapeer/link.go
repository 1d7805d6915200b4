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
	// maxDatagram is the largest message in bytes that is sent as a datagram. It fits the smallest QUIC packet.
	maxDatagram = 1000
	// maxQueued bounds the messages that wait for one peer. The oldest is dropped, since it is the least useful.
	maxQueued = 64
	// maxQueueAge is the age at which a waiting message is dropped. A renewal or report is repeated sooner.
	maxQueueAge = 2 * time.Second
	// maxUnanswered bounds the datagrams kept to be sent again on the connection that replaces a silent one.
	maxUnanswered = 8
	// silenceLimit is the time without any packet from the peer after a send at which a connection is replaced. A
	// live peer acknowledges a datagram within 25 ms and a round trip.
	silenceLimit = 300 * time.Millisecond
	// silenceRoundTrips raises silenceLimit on paths where the round trip is long.
	silenceRoundTrips = 4
	// minBackoff and maxBackoff bound the wait between failed attempts to connect.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxOutgoingStreams bounds the large messages that are sent to one peer at the same time.
	maxOutgoingStreams = 4
)

// queued is an encoded message that waits to be sent.
type queued struct {
	b  []byte
	at time.Time
}

// link sends messages to one peer address. Its goroutine runs only while there are messages to send, and never holds
// the lock during input or output, so push does not block.
type link struct {
	control *Control
	addr    netip.AddrPort
	streams chan struct{}

	mu      sync.Mutex
	queue   []queued
	running bool
	conn    *quic.Conn
	// unanswered are the datagrams sent since the peer's last packet, in order.
	unanswered []queued
	// mark is the number of packets received on conn when the first of unanswered was sent.
	mark  uint64
	timer *time.Timer
}

func newLink(c *Control, addr netip.AddrPort) *link {
	return &link{control: c, addr: addr, streams: make(chan struct{}, maxOutgoingStreams)}
}

// push queues a message. It requires the control's lock, which orders it with Close.
func (l *link) push(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= maxQueued {
		l.queue = l.queue[1:]
		l.control.dropped.Add(1)
	}
	l.queue = append(l.queue, queued{b: b, at: time.Now()})
	l.start()
}

// start requires mu.
func (l *link) start() {
	if l.running {
		return
	}
	l.running = true
	l.control.running.Go(l.run)
}

// adopt makes a new connection the one to send on, because the newest is the likeliest to work. An earlier one is
// left to its idle timeout, since the peer may still send on it.
func (l *link) adopt(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.Context().Err() != nil {
		return
	}
	l.conn = conn
	l.requeue()
}

// lose forgets a closed connection and reports whether the link is of no further use. Datagrams that the peer did not
// answer are queued again, which opens a new connection at once.
func (l *link) lose(conn *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
		l.requeue()
	}
	return l.conn == nil && !l.running && len(l.queue) == 0
}

// requeue requires mu.
func (l *link) requeue() {
	if len(l.unanswered) == 0 || l.control.ctx.Err() != nil {
		return
	}
	l.queue = append(l.unanswered, l.queue...)
	l.unanswered = nil
	l.start()
}

// next returns the oldest message that is still of use. It returns false, and the goroutine must end, if there is
// none.
func (l *link) next() (queued, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > 0 {
		m := l.queue[0]
		l.queue = l.queue[1:]
		if time.Since(m.at) <= maxQueueAge {
			return m, true
		}
		l.control.dropped.Add(1)
	}
	l.queue = nil
	l.running = false
	return queued{}, false
}

func (l *link) run() {
	var backoff time.Duration
	for l.control.ctx.Err() == nil {
		m, ok := l.next()
		if !ok {
			return
		}
		if !l.deliver(m, &backoff) {
			l.control.dropped.Add(1)
		}
	}
}

// deliver sends a message, on another connection if the first one is lost before the message is sent on it. It returns
// false if the message is lost. It tries only one other connection, because a peer that rejects this process closes
// each one at once.
func (l *link) deliver(m queued, backoff *time.Duration) bool {
	replaced := false
	for time.Since(m.at) <= maxQueueAge && l.control.ctx.Err() == nil {
		conn := l.connect(backoff)
		if conn == nil {
			continue
		}
		sent, err := l.send(conn, m)
		if replaced || !errors.Is(err, errReplaced) {
			return sent
		}
		replaced = true
	}
	return false
}

// connect returns the current connection or dials one. After a failure the next call waits for the backoff.
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
		l.control.noteAuthentication(l.addr, err)
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
	context.AfterFunc(conn.Context(), func() { c.noteAuthentication(l.addr, context.Cause(conn.Context())) })
	if !c.serve(conn, l.addr) {
		return nil, errors.WithStack(ErrClosed)
	}
	l.adopt(conn)
	return conn, nil
}

// errReplaced reports a connection that is no longer the link's, on which nothing was sent.
var errReplaced = errors.New("the connection was replaced")

// send sends a message on conn. It returns false if the message is lost, and errReplaced if another connection is to be
// used.
func (l *link) send(conn *quic.Conn, m queued) (sent bool, err error) {
	if len(m.b) > maxDatagram {
		return l.sendStream(conn, m), nil
	}
	if !l.expectAnswer(conn, m) {
		return false, errReplaced
	}
	err = conn.SendDatagram(m.b)
	var tooLarge *quic.DatagramTooLargeError
	if errors.As(err, &tooLarge) {
		return l.sendStream(conn, m), nil
	}
	if err == nil {
		l.control.sent.Add(1)
	}
	// After another error the noted message is sent again when the closed connection is replaced.
	return true, nil
}

// expectAnswer notes a datagram that is about to be sent, and starts the timer for the peer's silence. It returns
// false if conn has been replaced.
func (l *link) expectAnswer(conn *quic.Conn, m queued) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return false
	}
	received := conn.ConnectionStats().PacketsReceived
	if received != l.mark || len(l.unanswered) == 0 {
		l.mark = received
		l.unanswered = l.unanswered[:0]
		l.startTimer(conn)
	}
	if len(l.unanswered) == maxUnanswered {
		l.unanswered = l.unanswered[1:]
	}
	l.unanswered = append(l.unanswered, m)
	return true
}

// startTimer requires mu.
func (l *link) startTimer(conn *quic.Conn) {
	if l.timer != nil {
		l.timer.Stop()
	}
	limit := max(silenceLimit, silenceRoundTrips*conn.ConnectionStats().SmoothedRTT)
	l.timer = time.AfterFunc(limit, func() { l.checkSilence(conn) })
}

// checkSilence closes a connection on which nothing has arrived since mark.
func (l *link) checkSilence(conn *quic.Conn) {
	l.mu.Lock()
	answered := l.conn != conn || len(l.unanswered) == 0 || conn.ConnectionStats().PacketsReceived != l.mark
	if answered && l.conn == conn {
		l.unanswered = nil
	}
	l.mu.Unlock()
	if answered {
		return
	}
	l.control.silent.Add(1)
	_ = conn.CloseWithError(codeSilent, "no acknowledgement")
}

// sendStream sends a large message on a stream of its own, so that it does not delay renewals. It returns false if
// too many are in progress.
func (l *link) sendStream(conn *quic.Conn, m queued) bool {
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
		if _, err := stream.Write(m.b); err != nil {
			stream.CancelWrite(0)
			l.control.dropped.Add(1)
			return
		}
		_ = stream.Close()
		l.control.sent.Add(1)
	})
	return true
}

package sequoiafront

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

// serverConn reads the requests of one client connection. It keeps reading while handlers run, so that closing the
// connection cancels the requests.
type serverConn struct {
	net.Conn
	server   *Server
	listener *listenConfig
	r        *bufio.Reader
	// received is the number of bytes that have been read from the connection, including those that r holds.
	received int64
	// extended is the time of the last extension of the read deadline.
	extended time.Time
	// holding is what the connection counts in the account.
	holding *sequoiamemory.Holding
	ctx     context.Context
	cancel  context.CancelCauseFunc

	// pace is the time in Unix nanoseconds up to which the request that is being read has kept up with minRate.
	pace atomic.Int64
	// headEnd is the time by which the head that is being read must be complete, zero if none is, and headLimited is true
	// once it is the read deadline. Most heads arrive at once and need none.
	headEnd     time.Time
	headLimited bool
	// replaceableAt is the time in Unix nanoseconds from which another connection may take the place of this one, zero while
	// none may.
	replaceableAt atomic.Int64
	// cut is true once the connection was closed because there were too many that were being closed. The mutex of the slots
	// protects it.
	cut bool

	mu sync.Mutex
	// changed is signaled when an exchange ends.
	changed  sync.Cond
	pipeline pipeline
	// closing is true once the last response has been or is being written. What arrives after that is not run.
	closing bool
	// idleSince is the latest time at which no request was in progress any more.
	idleSince time.Time
	// reading is the number of the request that is being read, zero if none is, and requests that of all so far.
	reading, requests uint64
	// stalled is true once the request that is being read was evicted, because others need its memory or its connection.
	stalled bool
	// refused is true once a response has been written that refuses a request.
	refused bool
	// reason is why the connection ends, if that is known before it does.
	reason closeReason
}

func newServerConn(s *Server, conn net.Conn, cfg *listenConfig) *serverConn {
	c := &serverConn{Conn: conn, server: s, listener: cfg, idleSince: time.Now()}
	// Its goroutine may take a while to start, and until then it would count as one with a request in progress.
	c.updateReplaceable()
	c.changed.L = &c.mu
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.r = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read reads from the client and counts the bytes.
func (c *serverConn) Read(b []byte) (int, error) {
	if !c.headEnd.IsZero() && !c.headLimited {
		c.headLimited = true
		c.mu.Lock()
		c.setReadDeadline(c.headEnd)
		c.mu.Unlock()
	}
	n, err := c.Conn.Read(b)
	c.received += int64(n)
	return n, err
}

// write writes to the client in pieces, each with a deadline, since the client may have stopped reading. Each piece that
// the client has taken is progress of the holding and of the connection.
func (c *serverConn) write(b []byte, timeout time.Duration, h *sequoiamemory.Holding) error {
	for len(b) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		c.replaceableAt.Store(time.Now().Add(stallTime).UnixNano())
		n, err := c.Conn.Write(b[:min(len(b), writePiece)])
		if err != nil {
			return err
		}
		h.Progress()
		b = b[n:]
	}
	return nil
}

// serve reads requests until the connection ends.
func (c *serverConn) serve() {
	defer c.server.unregister(c)
	err := c.readRequests()
	if i, ok := refusalOf(err); ok {
		c.refuse(i)
	}
	if c.isClosing() {
		c.discard()
	}
	c.mu.Lock()
	c.end(err)
	c.server.counters.closed(cmp.Or(c.reason, closeReasonOf(c.ctx, c.refused)))
	c.mu.Unlock()
	_ = c.Close()
	c.awaitHandlers()
}

// readRequests reads requests until one cannot be read or the connection takes no more. It reads only as far ahead as
// maxPipelined allows.
func (c *serverConn) readRequests() error {
	for c.await(maxPipelined - 1) {
		if err := c.awaitRequest(); err != nil {
			return err
		}
		e, err := c.readRequest()
		if err != nil {
			return err
		}
		if !c.enqueue(e) {
			e.holding.Release()
			break
		}
	}
	return errors.WithStack(errConnectionClosing)
}

// awaitRequest waits for the first byte of a request.
func (c *serverConn) awaitRequest() error {
	for {
		c.extendReadDeadline()
		_, err := c.r.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !c.mayWait() {
			c.endIdle()
			return err
		}
		c.extended = time.Time{}
	}
}

// mayWait reports whether the connection stays open although the client has sent nothing for the idle timeout, because a
// request has been in progress meanwhile.
func (c *serverConn) mayWait() bool {
	limit := c.limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && (len(c.pipeline.exchanges) > 0 || time.Since(c.idleSince) < limit)
}

// endIdle ends a connection whose client has sent nothing for the idle timeout. A request that is on its way is refused.
func (c *serverConn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.reason = closedIdle
		c.refuseRequestsLocked(c.listener.refusalResponse(http.StatusRequestTimeout))
	}
}

// updateReplaceable sets from when another connection may take the place of this one. The caller must hold mu.
func (c *serverConn) updateReplaceable() {
	at := int64(0)
	switch {
	case c.closing || c.pipeline.ended:
	case c.pipeline.current != nil:
		return // write does it.
	case len(c.pipeline.exchanges) > 0:
	case c.reading > 0:
		at = c.pace.Load() + int64(minTurn)
	default:
		at = c.idleSince.Add(minTurn).UnixNano()
	}
	c.replaceableAt.Store(at)
}

// replace ends the connection so that another one takes its place, if it still may be replaced from the given time on.
func (c *serverConn) replace(at int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing || c.replaceableAt.Load() != at:
		return false
	case c.pipeline.current != nil:
		c.abandonLocked(errNotTaken)
	case len(c.pipeline.exchanges) > 0:
		return false
	case c.reading > 0:
		c.evictRequestLocked(c.reading)
	default:
		c.refuseRequestsLocked(c.listener.refusalResponse(http.StatusRequestTimeout))
	}
	c.reason = closedReplaced
	c.listener.slots.beginClose(c)
	return true
}

// evictRequest ends the reading of a request that has arrived too slowly.
func (c *serverConn) evictRequest(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictRequestLocked(number)
}

func (c *serverConn) evictRequestLocked(number uint64) {
	if c.reading == number && !c.closing {
		c.stalled = true
		_ = c.SetReadDeadline(time.Now())
	}
}

// beginReading records that a request is being read, of which the first byte has arrived, and returns its number.
func (c *serverConn) beginReading() (number uint64) {
	now := time.Now()
	c.headEnd, c.headLimited = now.Add(c.limits().HeadTimeout), false
	c.pace.Store(now.UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.reading = c.requests
	c.updateReplaceable()
	return c.reading
}

// beginBody ends the time for the head, and makes the pace that of the body.
func (c *serverConn) beginBody() {
	now := time.Now()
	c.headEnd = time.Time{}
	c.extended = now
	c.pace.Store(now.UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadline(now.Add(maxLag))
}

// endReading records that a request has been read or that its reading has failed. It reports whether it was evicted.
func (c *serverConn) endReading() (evicted bool) {
	c.headEnd = time.Time{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = 0
	return c.stalled
}

// keepPace counts n bytes of the request that is being read, and returns the time up to which it has kept up with minRate.
func (c *serverConn) keepPace(n int) time.Time {
	pace := min(c.pace.Load()+int64(n)*int64(time.Second)/minRate, time.Now().UnixNano())
	c.pace.Store(pace)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateReplaceable()
	return time.Unix(0, pace)
}

// extendReadDeadline gives the client time for its next bytes: until the end of the time for a head, as long as a body may
// lag behind, and otherwise the idle timeout.
func (c *serverConn) extendReadDeadline() {
	now := time.Now()
	if !c.headEnd.IsZero() || now.Sub(c.extended) < extendInterval {
		return
	}
	c.extended = now
	idle := c.limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading > 0 {
		c.setReadDeadline(time.Unix(0, c.pace.Load()).Add(maxLag))
	} else {
		c.setReadDeadline(now.Add(idle))
	}
}

// setReadDeadline sets the read deadline, unless the connection is being closed or its request was evicted. The caller must
// hold mu.
func (c *serverConn) setReadDeadline(t time.Time) {
	if !c.closing && !c.stalled {
		_ = c.SetReadDeadline(t)
	}
}

func (c *serverConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// beginClose ends the connection in the direction of the client and limits for how long the rest of what it sends is
// read. The caller must hold mu.
func (c *serverConn) beginClose() {
	c.limitReading()
	c.closeWrite()
}

// limitReading makes the connection take no further requests. The caller must hold mu.
func (c *serverConn) limitReading() {
	c.closing = true
	c.updateReplaceable()
	c.listener.slots.beginClose(c)
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
}

func (c *serverConn) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// discard reads what the client has sent without knowing that the connection is being closed. Closing it with unread
// bytes would discard the last response on its way to the client.
func (c *serverConn) discard() {
	_, _ = io.CopyN(io.Discard, c.r, maxLingerBytes)
}

// refuse writes a response that says that a request was not run, after the responses to those before it.
func (c *serverConn) refuse(index int) {
	if !c.await(0) {
		return
	}
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	c.limitReading()
	c.refused = true
	c.mu.Unlock()
	c.server.counters.refusals[index].Add(1)
	_ = c.write(c.listener.refusalResponse(refusals[index].status), c.server.writeTimeout, nil)
	c.closeWrite()
}

// refuseRequests writes a response that refuses any request that may be on its way, unless one is in progress, and ends
// the connection once the client has closed its side.
func (c *serverConn) refuseRequests(response []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseRequestsLocked(response)
}

func (c *serverConn) refuseRequestsLocked(response []byte) {
	if len(c.pipeline.exchanges) > 0 || c.closing {
		return
	}
	c.limitReading()
	c.refused = true
	go func() {
		_ = c.write(response, c.server.writeTimeout, nil)
		c.closeWrite()
	}()
}

// writeResponse writes the response to a request.
func (c *serverConn) writeResponse(e *exchange, closes bool) error {
	head, body := e.response.encode(closes)
	timeout := c.server.writeTimeout
	if e.holding == nil {
		timeout = min(timeout, noRoomWriteTimeout)
	}
	e.holding.OnEvict(func() { c.abandon(errNotTaken) })
	// Only what is to be written is kept while the client takes it.
	e.response.header, e.response.body = nil, nil
	switch {
	case len(body) <= joinedBody:
		head, body = append(head, body...), nil
	case len(head)+len(body) <= writePiece:
		return c.writeBuffers(net.Buffers{head, body}, timeout)
	}
	if err := c.write(head, timeout, e.holding); err != nil {
		return err
	}
	return c.write(body, timeout, e.holding)
}

// writeBuffers writes to the client without a copy, with one deadline.
func (c *serverConn) writeBuffers(b net.Buffers, timeout time.Duration) error {
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	c.replaceableAt.Store(time.Now().Add(stallTime).UnixNano())
	_, err := b.WriteTo(c.Conn)
	return err
}

// continueRequest tells a client that waits before it sends the body of a request to send it, after the responses to the
// requests before.
func (c *serverConn) continueRequest(r *http.Request) error {
	if c.r.Buffered() > 0 || r.ProtoMinor == 0 || !hasToken(r.Header["Expect"], "100-continue") {
		return nil
	}
	if !c.await(0) {
		return errors.WithStack(errConnectionClosing)
	}
	return c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), c.server.writeTimeout, nil)
}

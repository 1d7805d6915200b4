package sequoiafront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
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

	mu sync.Mutex
	// changed is signaled when an exchange ends.
	changed  sync.Cond
	pipeline pipeline
	// closing is true once the last response has been or is being written. What arrives after that is not run.
	closing bool
	// idle is true while no request is in progress, and since when it is for the latest time.
	idle      bool
	idleSince time.Time
	// stalled is true once the request that is being read was evicted from the account.
	stalled bool
	// evicted is true once the connection must make room for another one.
	evicted bool
	// refused is true once a response has been written that refuses a request.
	refused bool
}

func newServerConn(s *Server, conn net.Conn, cfg *listenConfig) *serverConn {
	c := &serverConn{Conn: conn, server: s, listener: cfg}
	c.changed.L = &c.mu
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.r = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read reads from the client and counts the bytes.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received += int64(n)
	return n, err
}

// write writes to the client in pieces, each with a deadline, since the client may have stopped reading. Each piece that
// the client has taken is progress of the holding.
func (c *serverConn) write(b []byte, timeout time.Duration, h *sequoiamemory.Holding) error {
	for len(b) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
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
	c.mu.Lock()
	c.updateIdle()
	c.mu.Unlock()
	err := c.readRequests()
	if i, ok := refusalOf(err); ok {
		c.refuse(i)
	}
	if c.isClosing() {
		c.discard()
	}
	c.mu.Lock()
	c.end(err)
	c.server.counters.closed(closeReasonOf(c.ctx, c.refused))
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
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.mayWait() {
			c.holding.Progress()
			return err
		}
	}
}

// mayWait reports whether the connection stays open although the client has sent nothing for idleTimeout, because a request
// has been in progress meanwhile.
func (c *serverConn) mayWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && (len(c.pipeline.exchanges) > 0 || c.idle && time.Since(c.idleSince) < idleTimeout)
}

// updateIdle lets a connection without a request in progress make room for another one. One whose client is sending a
// request makes progress as it arrives; otherwise clients that send incomplete requests could keep all others out. The
// caller must hold mu.
func (c *serverConn) updateIdle() {
	idle := len(c.pipeline.exchanges) == 0 && !c.closing
	if idle == c.idle {
		return
	}
	c.idle = idle
	if !idle {
		c.holding.OnEvict(nil)
		return
	}
	c.idleSince = time.Now()
	c.holding.OnEvict(c.evictConn)
}

// evictConn ends the connection, which had no request in progress, or lets it end after the requests that have arrived since.
func (c *serverConn) evictConn() {
	c.mu.Lock()
	c.evicted = true
	c.mu.Unlock()
	c.refuseRequests(c.listener.refusalResponse(http.StatusRequestTimeout))
}

// evictRequest ends the reading of a request that has made no progress.
func (c *serverConn) evictRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.stalled = true
		_ = c.SetReadDeadline(time.Now())
	}
}

// extendReadDeadline gives the client idleTimeout for its next bytes, unless the connection is being closed.
func (c *serverConn) extendReadDeadline() {
	now := time.Now()
	if now.Sub(c.extended) < extendInterval {
		return
	}
	c.extended = now
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing && !c.stalled {
		_ = c.SetReadDeadline(now.Add(idleTimeout))
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
	c.updateIdle()
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
	if len(head)+len(body) <= writePiece {
		head, body = append(head, body...), nil
	}
	if err := c.write(head, timeout, e.holding); err != nil {
		return err
	}
	return c.write(body, timeout, e.holding)
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

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
	ctx      context.Context
	cancel   context.CancelCauseFunc

	mu sync.Mutex
	// changed is signaled when an exchange ends.
	changed  sync.Cond
	pipeline pipeline
	// closing is true once the last response has been or is being written. What arrives after that is not run.
	closing bool
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

// Write writes to the client in pieces, each with a deadline, since the client may have stopped reading.
func (c *serverConn) Write(b []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.server.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writePiece)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// serve reads requests until the connection ends.
func (c *serverConn) serve() {
	defer c.server.unregister(c)
	err := c.readRequests()
	if r := refusalOf(err); r != nil {
		c.refuse(r)
	}
	if c.isClosing() {
		c.discard()
	}
	c.mu.Lock()
	c.end(err)
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
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.busy() {
			return err
		}
	}
}

// extendReadDeadline gives the client idleTimeout for its next bytes, unless the connection is being closed.
func (c *serverConn) extendReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
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
func (c *serverConn) refuse(r *refusal) {
	if !c.await(0) {
		return
	}
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	c.limitReading()
	c.mu.Unlock()
	_, _ = c.Write(c.listener.refusalResponse(r.status))
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
	go func() {
		_, _ = c.Write(response)
		c.closeWrite()
	}()
}

// writeResponse writes the response to a request.
func (c *serverConn) writeResponse(w *responseWriter, closes bool) error {
	head, body := w.encode(closes)
	if len(head)+len(body) <= writePiece {
		head, body = append(head, body...), nil
	}
	if _, err := c.Write(head); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	_, err := c.Write(body)
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
	_, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

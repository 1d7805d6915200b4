package sequoiafront

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// serverConn reads requests from one client connection and runs their handlers in order. It keeps reading while a
// handler runs, so that closing the connection cancels the request.
type serverConn struct {
	net.Conn
	server *Server
	parser *nbhttp.Parser
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	jobs    []func()
	running bool
	// refusing is true once the server has refused further requests. What arrives after that is not run.
	refusing bool
	// idle is signaled when running becomes false.
	idle sync.Cond
}

func newServerConn(s *Server, conn net.Conn, e *nbhttp.Engine) *serverConn {
	c := &serverConn{Conn: conn, server: s}
	c.idle.L = &c.mu
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.parser = nbhttp.NewParser(c, e, nbhttp.NewServerProcessor(), false, c.enqueue)
	return c
}

// setRequestContext sets the context of a request to that of its connection, and whether the connection is to be closed
// after the response. nbhttp calls it before it queues the request.
func setRequestContext(w http.ResponseWriter, r *http.Request) {
	c := w.(*nbhttp.Response).Parser.Conn.(*serverConn)
	*r = *r.WithContext(c.ctx)
	r.Close = r.Close || c.server.draining.Load()
}

// Write writes to the client with a deadline, since the client may have stopped reading.
func (c *serverConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// serve reads and parses requests until the connection ends or the client sends malformed data.
func (c *serverConn) serve() {
	defer c.server.unregister(c)
	err := c.SetReadDeadline(time.Now().Add(idleTimeout))
	b := make([]byte, readBufferSize)
	for err == nil {
		var n int
		n, err = c.Read(b)
		if n == 0 || c.isRefusing() {
			continue
		}
		if parseErr := c.parser.Parse(b[:n]); parseErr != nil {
			err = parseErr
			c.reject(parseErr)
		}
	}
	c.cancel(err)
	_ = c.Close()
	c.parser.CloseAndClean(err)
	c.waitIdle()
}

func (c *serverConn) isRefusing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusing
}

// refuseRequests writes a response that refuses any request that may be on its way, unless one is in progress, and ends
// the connection once the client has closed its side.
func (c *serverConn) refuseRequests(response []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running || c.refusing {
		return
	}
	c.refusing = true
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = c.Write(response)
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
	}()
}

// waitIdle waits until no handler is running or queued.
func (c *serverConn) waitIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.running {
		c.idle.Wait()
	}
}

// reject responds to malformed data, after the responses to the requests before it have been written.
func (c *serverConn) reject(err error) {
	c.waitIdle()
	status := http.StatusBadRequest
	if errors.Is(err, nbhttp.ErrTooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	_, _ = c.Write([]byte(statusLine(status) + "Connection: close\r\nContent-Length: 0\r\n\r\n"))
}

func (c *serverConn) enqueue(job func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusing {
		return false
	}
	if len(c.jobs) >= maxPipelined {
		_ = c.Close()
		return false
	}
	c.server.inProgress.Add(1)
	c.jobs = append(c.jobs, job)
	if !c.running {
		c.running = true
		go c.runJobs()
	}
	return true
}

func (c *serverConn) runJobs() {
	for {
		c.mu.Lock()
		if len(c.jobs) == 0 {
			c.running = false
			c.idle.Broadcast()
			c.mu.Unlock()
			return
		}
		job := c.jobs[0]
		c.jobs = c.jobs[1:]
		c.mu.Unlock()
		job()
		c.server.inProgress.Add(-1)
	}
}

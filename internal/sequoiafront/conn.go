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

// callerConn reads the requests of one connection and runs them in order. It goes on reading while a handler runs, so
// that the end of the connection cancels the request.
type callerConn struct {
	net.Conn
	front  *Front
	parser *nbhttp.Parser
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	jobs    []func()
	running bool
	// done is notified when running becomes false.
	done sync.Cond
}

func newCallerConn(f *Front, conn net.Conn, e *nbhttp.Engine) *callerConn {
	c := &callerConn{Conn: conn, front: f}
	c.done.L = &c.mu
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.parser = nbhttp.NewParser(c, e, nbhttp.NewServerProcessor(), false, c.execute)
	return c
}

// prepare is called by nbhttp before a request is queued. It gives the request the connection's context.
func prepare(w http.ResponseWriter, r *http.Request) {
	c := w.(*nbhttp.Response).Parser.Conn.(*callerConn)
	*r = *r.WithContext(c.ctx)
}

// Write writes to a client that may not read.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// read parses what the client sends, until the connection ends or the bytes are no request.
func (c *callerConn) read() {
	defer c.front.unregister(c)
	err := c.SetReadDeadline(time.Now().Add(keepalive))
	b := make([]byte, readBuffer)
	for err == nil {
		var n int
		n, err = c.Read(b)
		if n == 0 {
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
	c.awaitJobs()
}

// awaitJobs returns once no handler runs.
func (c *callerConn) awaitJobs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.running {
		c.done.Wait()
	}
}

// reject answers bytes that are no request, after the responses to the requests before them.
func (c *callerConn) reject(err error) {
	c.awaitJobs()
	status := http.StatusBadRequest
	if errors.Is(err, nbhttp.ErrTooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	_, _ = c.Write([]byte(head(status) + "Connection: close\r\nContent-Length: 0\r\n\r\n"))
}

func (c *callerConn) execute(job func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.jobs) >= maxPipelined {
		_ = c.Close()
		return false
	}
	c.front.inProgress.Add(1)
	c.jobs = append(c.jobs, job)
	if !c.running {
		c.running = true
		go c.run()
	}
	return true
}

func (c *callerConn) run() {
	for {
		c.mu.Lock()
		if len(c.jobs) == 0 {
			c.running = false
			c.done.Broadcast()
			c.mu.Unlock()
			return
		}
		job := c.jobs[0]
		c.jobs = c.jobs[1:]
		c.mu.Unlock()
		job()
		c.front.inProgress.Add(-1)
	}
}

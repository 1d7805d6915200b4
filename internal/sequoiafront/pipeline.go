package sequoiafront

import (
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

// maxConcurrent is the maximum number of requests of one connection that are in progress at the same time. Without it,
// one client could hold all slots of an upstream.
const maxConcurrent = 8

const (
	// watchInterval is how often it is checked whether a client has left whose connection is not being read.
	watchInterval = 100 * time.Millisecond
	// noRoomWriteTimeout is the write timeout of a response for which the account has no room.
	noRoomWriteTimeout = time.Second
)

// Causes of the cancellation of requests.
var (
	errConnectionClosing = errors.New("an earlier response closed the connection")
	errNotTaken          = errors.New("the client did not take a response")
)

// exchangeState is the state of an exchange.
type exchangeState int

const (
	waiting exchangeState = iota
	running
	// ready means that the handler has returned and the response can be written.
	ready
)

// exchange is one request of a connection with its response.
type exchange struct {
	request *http.Request
	body    []byte
	// arrival is the time at which the last byte of the request was read.
	arrival time.Time
	// repeatable is true if the request may be run more than once.
	repeatable bool
	response   *responseWriter
	state      exchangeState
	// holding is the memory of the request, and after the handler that of the response. It is nil if there was no room for
	// the response.
	holding *sequoiamemory.Holding
	// handed is memory that the handler has reserved for the response, nil if it has reserved none.
	handed *sequoiamemory.Holding
}

// holdResponse releases the memory of the request and reserves that of the response.
func (e *exchange) holdResponse(a *sequoiamemory.Account) {
	held := e.holding
	e.request, e.body, e.holding = nil, nil, nil
	held.Release()
	if e.handed != nil {
		// Without room for the head, which is bounded, the body stays counted.
		e.handed.Resize(e.response.size())
		e.holding, e.handed = e.handed, nil
		return
	}
	if h, ok := a.Reserve(sequoiamemory.Response, e.response.size()); ok {
		e.holding = h
	}
}

// HoldResponse gives a Server the memory that the handler of a request has reserved for the response, so that the response is
// counted all the time until the client has taken it. It returns false if no Server has read the request, or if it has
// memory for the response already. Otherwise the Server releases h.
func HoldResponse(r *http.Request, h *sequoiamemory.Holding) bool {
	e := exchangeOf(r)
	if e == nil || e.handed != nil {
		return false
	}
	e.handed = h
	return true
}

// exchangeKey is the key of the exchange in a request's context.
type exchangeKey struct{}

func exchangeOf(r *http.Request) *exchange {
	e, _ := r.Context().Value(exchangeKey{}).(*exchange)
	return e
}

// Arrival returns the time at which the last byte of a request was read, even if the request has waited for its turn
// since. For a request that no Server has read, it is the present.
func Arrival(r *http.Request) time.Time {
	if e := exchangeOf(r); e != nil {
		return e.arrival
	}
	return time.Now()
}

// ReadBody returns the body of a request. If a Server has read the request, that is the Server's own copy, which stays valid
// after the handler has returned.
func ReadBody(r *http.Request) ([]byte, error) {
	if e := exchangeOf(r); e != nil {
		return e.body, nil
	}
	return io.ReadAll(r.Body)
}

// pipeline holds the exchanges of a connection whose responses have not been written, in the order of their requests.
// It is protected by the connection's mutex.
type pipeline struct {
	exchanges []*exchange
	// started is the number of exchanges, counted from the first, whose handlers have been started.
	started int
	// running is the number of handlers that have not returned, including those of exchanges that were dropped.
	running int
	// current is the exchange whose response is being written, nil if none is.
	current *exchange
	// ended is true once no further request is run and no further response is written.
	ended bool
}

// mayStart reports whether the first exchange that has not been started may be: it is the only one, or it and all those
// before it may be repeated and leave the connection open. An exchange that may not be repeated is started only as the
// first, so that the one before tells about all of them.
func (p *pipeline) mayStart() bool {
	if p.ended || p.started >= min(len(p.exchanges), maxConcurrent) {
		return false
	}
	if p.started == 0 {
		return true
	}
	before := p.exchanges[p.started-1]
	return p.exchanges[p.started].repeatable && before.repeatable && !before.response.closing
}

// enqueue adds an exchange and starts it if it may start. It returns false if the connection takes no further requests.
func (c *serverConn) enqueue(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline.ended || c.closing {
		return false
	}
	c.server.inProgress.Add(1)
	c.pipeline.exchanges = append(c.pipeline.exchanges, e)
	c.updateReplaceable()
	c.startExchanges()
	return true
}

// startExchanges starts the handlers that may run now. The caller must hold mu.
func (c *serverConn) startExchanges() {
	p := &c.pipeline
	for p.mayStart() {
		e := p.exchanges[p.started]
		e.state = running
		p.started++
		p.running++
		go c.run(e)
	}
}

// run runs the handler of an exchange, and writes its response if all those before it have been written.
func (c *serverConn) run(e *exchange) {
	c.listener.handler.ServeHTTP(e.response, e.request)
	e.holdResponse(c.listener.account)
	c.mu.Lock()
	defer c.mu.Unlock()
	e.state = ready
	c.pipeline.running--
	switch {
	case c.pipeline.ended:
		c.release(e)
	case e.holding == nil && e != c.pipeline.exchanges[0]:
		// The response cannot be held until its turn. All requests in progress here may be repeated.
		c.abandonLocked(errNoRoom)
	case c.pipeline.current == nil:
		c.writeResponses()
	}
	c.changed.Broadcast()
}

// writeResponses writes the responses that are ready and whose turn it is. The caller must hold mu, which is unlocked
// during each write.
func (c *serverConn) writeResponses() {
	p := &c.pipeline
	for len(p.exchanges) > 0 && p.exchanges[0].state == ready {
		e := p.exchanges[0]
		p.current = e
		// A stop closes the connection only after the last response, since it answers what is in progress.
		closes := e.response.closes() || len(p.exchanges) == 1 && c.closesWhenIdle()
		c.mu.Unlock()
		err := c.writeResponse(e, closes)
		c.mu.Lock()
		p.current = nil
		c.release(e)
		if p.ended {
			return
		}
		p.exchanges[0] = nil
		p.exchanges = p.exchanges[1:]
		p.started--
		switch {
		case err != nil:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				err = errNotTaken
			}
			c.abandonLocked(errors.Wrap(err, "write a response"))
		case closes:
			c.beginClose()
			c.end(errConnectionClosing)
		default:
			if len(p.exchanges) == 0 {
				c.idleSince = time.Now()
			}
			c.startExchanges()
			c.updateReplaceable()
			c.changed.Broadcast()
		}
	}
}

// end cancels the requests in progress and drops those that wait. The caller must hold mu.
func (c *serverConn) end(cause error) {
	p := &c.pipeline
	if p.ended {
		return
	}
	p.ended = true
	c.cancel(cause)
	for _, e := range p.exchanges {
		if e.state != running && e != p.current {
			c.release(e)
		}
	}
	p.exchanges, p.started = nil, 0
	c.changed.Broadcast()
}

// abandon closes the connection and cancels its requests.
func (c *serverConn) abandon(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandonLocked(cause)
}

func (c *serverConn) abandonLocked(cause error) {
	c.end(errors.WithStack(cause))
	_ = c.Close()
}

// release is called once for each exchange, when its response has been written or the exchange was dropped.
func (c *serverConn) release(e *exchange) {
	// Nothing may refer to a body once its memory counts as free.
	e.request, e.body, e.response = nil, nil, nil
	e.holding.Release()
	c.server.inProgress.Add(-1)
}

// closesWhenIdle reports whether the connection is to be closed after the last response.
func (c *serverConn) closesWhenIdle() bool {
	return c.server.draining.Load() || c.listener.closing != nil && c.listener.closing()
}

// await waits until at most n responses are pending or the exchanges have ended. It reports whether they have not ended.
func (c *serverConn) await(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline.ended || len(c.pipeline.exchanges) <= n {
		return !c.pipeline.ended
	}
	done := make(chan struct{})
	defer close(done)
	go c.watchClient(done)
	for !c.pipeline.ended && len(c.pipeline.exchanges) > n {
		c.changed.Wait()
	}
	return !c.pipeline.ended
}

// watchClient cancels the requests when the client leaves, until done is closed. It is needed only while the connection is
// not read, since reading shows the same.
func (c *serverConn) watchClient(done <-chan struct{}) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			if peerClosed(conn) {
				c.abandon(io.EOF)
				return
			}
		}
	}
}

// awaitHandlers waits until no handler is running and no response is being written.
func (c *serverConn) awaitHandlers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pipeline.running > 0 || c.pipeline.current != nil {
		c.changed.Wait()
	}
}

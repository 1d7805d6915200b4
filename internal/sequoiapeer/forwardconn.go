package sequoiapeer

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// checkInterval is the interval of the checks below. They count ticks rather than read the clock, so that a pause
	// of this process is not taken for the peer's silence.
	checkInterval = 500 * time.Millisecond
	// pingTicks is the number of checks between pings of a connection in use: 1 s.
	pingTicks = 2
	// recentTicks is the number of checks after a request for which a connection counts as in use: 3 s. Pings on every
	// idle connection would exceed the 21 KB/s of a process that has thousands of peers.
	recentTicks = 6
	// silentTicks is the number of checks without data after which a connection in use is closed: 3 s.
	silentTicks = 6
	// idleTime is how long a connection may be without a request before it is closed.
	idleTime = 30 * time.Second
	// acceptedIdleTime is how long the accepting side keeps a connection without data. It is longer than idleTime, so
	// that the side that sends requests closes first and none is on its way.
	acceptedIdleTime = 40 * time.Second
	// trustTime is the time since the peer's last data up to which a connection gets a request without a ping first.
	trustTime = 3 * time.Second
	// verifyTimeout bounds the wait for the pong without which an idle connection gets no request. A new connection
	// takes its place then.
	verifyTimeout = 300 * time.Millisecond
	// handshakeTime is how long a connection may take to authenticate.
	handshakeTime = time.Second
	// maxInFlight bounds the requests in progress on one connection, abandoned ones included.
	maxInFlight = 1024
	// maxRetainedBuffer is the size in bytes above which an empty receive buffer is released.
	maxRetainedBuffer = 16 << 10
)

// connState is how far the authentication of a connection has come.
type connState uint8

const (
	stateHello connState = iota
	stateChallenge
	stateProof
	stateConfirm
	stateReady
)

// call is a request that waits for its response. done has room for the one result that it gets.
type call struct {
	done chan callResult
	// abandoned is set when the caller no longer waits. The call keeps its number until the response arrives, so that
	// a late response is neither given to another request nor taken for a wrong number.
	abandoned bool
}

type callResult struct {
	payload []byte
	err     error
}

// forwardConn is one TCP connection. The side that dialed it sends requests, the other one responses.
type forwardConn struct {
	forwarder *Forwarder
	nb        *nbio.Conn
	addr      netip.AddrPort
	dialed    bool
	ready     chan struct{}
	done      chan struct{}
	// retired is closed when the connection takes no more requests although some are in progress.
	retired chan struct{}

	// The following are used only by the poller's goroutine.
	buf         []byte
	state       connState
	challenge   *challenge
	lastRequest uint64

	// silent is the number of checks since data was received.
	silent atomic.Int32
	// heard is when data was received last, as the time since epoch. Unlike the checks it counts a pause of this process,
	// after which nothing is known of the connection.
	heard atomic.Int64
	// partial is true while a frame is incomplete.
	partial atomic.Bool

	sendMu sync.Mutex

	mu            sync.Mutex
	authenticated bool
	ended         error
	// full is set when the connection takes no more requests because it is about to be closed.
	full        bool
	nextNumber  uint64
	calls       map[uint64]*call
	serving     map[uint64]context.CancelFunc
	unusedTicks int
	ticks       int
	// verifying is closed when the pong with number verifyNumber arrives, nil if none is awaited.
	verifying    chan struct{}
	verifyNumber uint64
}

// epoch is the origin of forwardConn.heard.
var epoch = time.Now()

func newForwardConn(f *Forwarder, nb *nbio.Conn, addr netip.AddrPort, dialed bool) *forwardConn {
	c := &forwardConn{
		forwarder: f, nb: nb, addr: addr, dialed: dialed,
		ready:     make(chan struct{}),
		done:      make(chan struct{}),
		retired:   make(chan struct{}),
		challenge: newChallenge(f.key),
		calls:     map[uint64]*call{},
		serving:   map[uint64]context.CancelFunc{},
	}
	if dialed {
		c.state = stateChallenge
	}
	return c
}

// helloFrame returns the client's first frame.
func (c *forwardConn) helloFrame() []byte {
	return encodeFrame(frameHello, 0, c.challenge.clientNonce[:])
}

// send writes a request and returns its number. After an error nothing was written.
func (c *forwardConn) send(req *sequoiarouter.Request) (uint64, *call, error) {
	now := time.Now()
	if !req.Deadline.IsZero() && !req.Deadline.After(now) {
		return 0, nil, errors.WithStack(context.DeadlineExceeded)
	}
	buf := getBuffer()
	defer putBuffer(buf)
	if err := encodeRequest(buf, req, now); err != nil {
		return 0, nil, err
	}
	// The receiver rejects numbers that do not increase, so requests are numbered and written in the same order.
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	number, p, err := c.register()
	if err != nil {
		return 0, nil, err
	}
	sealFrame(buf.Bytes(), frameRequest, number)
	if err := c.write(buf.Bytes()); err != nil {
		c.unregister(number)
		return 0, nil, lost(err)
	}
	return number, p, nil
}

// register reserves a request number. It returns an error if the connection has ended or is full.
func (c *forwardConn) register() (uint64, *call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		return 0, nil, c.ended
	}
	if c.full || len(c.calls) >= maxInFlight {
		return 0, nil, errors.WithStack(ErrBusy)
	}
	if c.unusedTicks > recentTicks {
		// Nothing was expected of the peer while the connection was idle.
		c.silent.Store(0)
	}
	c.nextNumber++
	c.unusedTicks = 0
	p := &call{done: make(chan callResult, 1)}
	c.calls[c.nextNumber] = p
	return c.nextNumber, p, nil
}

func (c *forwardConn) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, number)
}

// finish decodes the result of a request.
func (c *forwardConn) finish(result callResult) (*sequoiarouter.Response, error) {
	if result.err != nil {
		return nil, unknown(result.err)
	}
	resp, err := decodeResponse(result.payload)
	if err != nil {
		c.close(err)
		return nil, unknown(err)
	}
	return resp, nil
}

// abandon tells the peer that the caller no longer waits.
func (c *forwardConn) abandon(number uint64) {
	c.mu.Lock()
	p := c.calls[number]
	if p != nil {
		p.abandoned = true
	}
	c.mu.Unlock()
	if p != nil {
		_ = c.write(encodeFrame(frameCancel, number, nil))
	}
}

// trusted reports whether a request may be sent without a ping first.
func (c *forwardConn) trusted() bool {
	return time.Since(epoch)-time.Duration(c.heard.Load()) <= trustTime
}

// startVerifying sends a ping, unless one is awaited, and returns a channel that is closed when its pong arrives. A
// connection without a pong in time gets no further request.
func (c *forwardConn) startVerifying() <-chan struct{} {
	c.mu.Lock()
	if c.verifying != nil {
		defer c.mu.Unlock()
		return c.verifying
	}
	verified := make(chan struct{})
	c.verifying = verified
	c.verifyNumber++
	number := c.verifyNumber
	c.mu.Unlock()
	_ = c.write(encodeFrame(framePing, number, nil))
	time.AfterFunc(verifyTimeout, func() { c.notVerified(verified) })
	return verified
}

func (c *forwardConn) notVerified(verified chan struct{}) {
	c.mu.Lock()
	if c.verifying != verified {
		c.mu.Unlock()
		return
	}
	c.full = true
	unused := len(c.calls) == 0
	c.mu.Unlock()
	if unused {
		c.close(errors.WithStack(ErrSilent))
		return
	}
	// Requests sent before end by their responses or by the check for silence.
	c.forwarder.retire(c)
}

// verify waits until the connection has answered a ping. After an error the connection takes no requests.
func (c *forwardConn) verify(ctx context.Context) error {
	verified := c.startVerifying()
	select {
	case <-verified:
		return nil
	case <-c.done:
		return c.reason()
	case <-c.retired:
		return errors.WithStack(ErrSilent)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ponged handles a pong. Only one with the number of the ping proves that the peer is there now.
func (c *forwardConn) ponged(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.verifying != nil && number == c.verifyNumber && !c.full {
		close(c.verifying)
		c.verifying = nil
	}
}

// load returns the number of requests in progress, and false if the connection cannot take one.
func (c *forwardConn) load() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.calls)
	return n, c.authenticated && c.ended == nil && !c.full && n < maxInFlight
}

// write passes a whole frame to nbio, which copies what the socket does not take. After an error nothing of the frame
// was written.
func (c *forwardConn) write(b []byte) error {
	_, err := c.nb.Write(b)
	return err
}

// close ends the connection and the requests on it. Only the first reason counts.
func (c *forwardConn) close(reason error) {
	c.mu.Lock()
	if c.ended != nil {
		c.mu.Unlock()
		return
	}
	c.ended = reason
	authenticated := c.authenticated
	calls := c.calls
	c.calls = map[uint64]*call{}
	serving := c.serving
	c.serving = map[uint64]context.CancelFunc{}
	c.mu.Unlock()
	if !authenticated {
		c.forwarder.unauthenticated.Add(-1)
	}
	// The pool and the counts are changed before a request on the connection ends, so that a caller that has seen the
	// failure finds it in Stats and does not get the connection again.
	c.forwarder.remove(c, reason)
	close(c.done)
	_ = c.nb.Close()
	for _, p := range calls {
		p.done <- callResult{err: reason}
	}
	for _, cancel := range serving {
		cancel()
	}
	c.forwarder.report(c, reason)
}

// reason returns why the connection has ended, nil if it has not.
func (c *forwardConn) reason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// receive handles bytes from the socket. Only the poller's goroutine calls it; b is valid until it returns.
func (c *forwardConn) receive(b []byte) {
	c.silent.Store(0)
	c.heard.Store(int64(time.Since(epoch)))
	buffered := len(c.buf) > 0
	if buffered {
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	consumed, err := c.parse(b)
	if err != nil {
		if c.state != stateReady && !errors.Is(err, ErrUnauthenticated) {
			err = errors.Wrap(ErrUnauthenticated, err.Error())
		}
		c.close(err)
		return
	}
	c.keep(b[consumed:], buffered && consumed == 0)
}

// keep saves an incomplete frame for the next call of receive. A frame that is in the buffer already is not moved,
// because a copy at each read makes a large frame cost the square of its size.
func (c *forwardConn) keep(rest []byte, inPlace bool) {
	c.partial.Store(len(rest) > 0)
	switch {
	case inPlace:
	case len(rest) == 0 && cap(c.buf) > maxRetainedBuffer:
		c.buf = nil
	default:
		c.buf = append(c.buf[:0], rest...)
	}
}

// parse handles the complete frames in b and returns the number of bytes they occupy.
func (c *forwardConn) parse(b []byte) (consumed int, err error) {
	for {
		limit := MaxFrame
		if c.state != stateReady {
			limit = maxHandshakeFrame
		}
		fr, size, err := parseFrame(b[consumed:], limit)
		if err != nil || size == 0 {
			return consumed, err
		}
		if err := c.handle(fr); err != nil {
			return consumed, err
		}
		consumed += size
	}
}

func (c *forwardConn) handle(fr frame) error {
	if c.state != stateReady {
		return c.handshake(fr)
	}
	switch {
	case fr.kind == frameRequest && !c.dialed:
		return c.handleRequest(fr)
	case fr.kind == frameCancel && !c.dialed:
		return c.handleCancel(fr)
	case fr.kind == frameResponse && c.dialed:
		return c.handleResponse(fr)
	case fr.kind == framePing && !c.dialed:
		return c.write(encodeFrame(framePong, fr.number, nil))
	case fr.kind == framePong && c.dialed:
		c.ponged(fr.number)
		return nil
	}
	return errors.Wrapf(ErrFrame, "kind %d", fr.kind)
}

func (c *forwardConn) handshake(fr frame) error {
	switch {
	case c.state == stateHello && fr.kind == frameHello:
		answer, err := c.challenge.answerHello(fr.payload)
		if err != nil {
			return err
		}
		c.state = stateProof
		return c.write(encodeFrame(frameChallenge, 0, answer))
	case c.state == stateChallenge && fr.kind == frameChallenge:
		answer, err := c.challenge.answerChallenge(fr.payload)
		if err != nil {
			// An empty proof tells the server that the keys differ; a lost connection would not.
			_ = c.write(encodeFrame(frameProof, 0, nil))
			return err
		}
		c.state = stateConfirm
		return c.write(append(encodeFrame(frameProof, 0, answer), encodeFrame(framePing, 0, nil)...))
	case c.state == stateConfirm && fr.kind == framePong:
		// The pong is read in a later turn of the event loop than the challenge. nbio may take an event that was
		// reported for an earlier connection with the same descriptor for one of this connection, and close it in the
		// turn in which it reads its first data; a request sent by then would be lost.
		c.setReady()
		return nil
	case c.state == stateProof && fr.kind == frameProof:
		if err := c.challenge.checkProof(fr.payload); err != nil {
			return err
		}
		c.setReady()
		return nil
	}
	return errors.Wrapf(ErrUnauthenticated, "frame of kind %d", fr.kind)
}

func (c *forwardConn) setReady() {
	c.state = stateReady
	c.challenge = nil
	c.mu.Lock()
	ended := c.ended != nil
	c.authenticated = true
	c.mu.Unlock()
	if !ended {
		c.forwarder.unauthenticated.Add(-1)
	}
	close(c.ready)
}

// handleResponse gives a response to the request with its number.
func (c *forwardConn) handleResponse(fr frame) error {
	c.mu.Lock()
	p := c.calls[fr.number]
	delete(c.calls, fr.number)
	abandoned := p != nil && p.abandoned
	c.mu.Unlock()
	if p == nil {
		return errors.Wrapf(ErrRequestNumber, "response %d", fr.number)
	}
	if abandoned {
		return nil
	}
	p.done <- callResult{payload: bytes.Clone(fr.payload)}
	return nil
}

// handleRequest starts a request. Numbers that do not increase would run a request twice.
func (c *forwardConn) handleRequest(fr frame) error {
	if fr.number <= c.lastRequest {
		return errors.Wrapf(ErrRequestNumber, "request %d after %d", fr.number, c.lastRequest)
	}
	c.lastRequest = fr.number
	req, err := decodeRequest(fr.payload, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := requestContext(req)
	c.mu.Lock()
	refused := c.ended != nil || len(c.serving) >= maxInFlight
	if !refused {
		c.serving[fr.number] = cancel
	}
	c.mu.Unlock()
	if refused {
		cancel()
		return c.respond(fr.number, &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: "TooManyRequests"})
	}
	c.forwarder.running.Go(func() { c.serve(ctx, fr.number, req) })
	return nil
}

func requestContext(req *sequoiarouter.Request) (context.Context, context.CancelFunc) {
	if req.Deadline.IsZero() {
		return context.WithCancel(context.Background())
	}
	return context.WithDeadline(context.Background(), req.Deadline)
}

// handleCancel ends the context of a request. One that has just been answered is not an error.
func (c *forwardConn) handleCancel(fr frame) error {
	if fr.number > c.lastRequest {
		return errors.Wrapf(ErrRequestNumber, "cancel %d after %d", fr.number, c.lastRequest)
	}
	c.mu.Lock()
	cancel := c.serving[fr.number]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return nil
}

func (c *forwardConn) serve(ctx context.Context, number uint64, req *sequoiarouter.Request) {
	resp := c.forwarder.Serve(ctx, req)
	c.mu.Lock()
	cancel := c.serving[number]
	delete(c.serving, number)
	c.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	if resp == nil {
		resp = &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: "NoResponse"}
	}
	if err := c.respond(number, resp); err != nil {
		c.close(err)
	}
}

// respond sends a response. One that is too large is replaced, since the request has run.
func (c *forwardConn) respond(number uint64, resp *sequoiarouter.Response) error {
	buf := getBuffer()
	defer putBuffer(buf)
	err := encodeResponse(buf, number, resp)
	if errors.Is(err, ErrTooLarge) {
		buf.Reset()
		small := &sequoiarouter.Response{
			Outcome: sequoiarouter.Unknown, Reason: "ResponseTooLarge", Owner: resp.Owner, Epoch: resp.Epoch,
			LogIndex: resp.LogIndex,
		}
		err = encodeResponse(buf, number, small)
	}
	if err != nil {
		return err
	}
	return c.write(buf.Bytes())
}

// check is called at each tick. It closes the connection if the peer is silent or the connection is unused, and
// otherwise pings the peer when due. Silence counts only while the connection is in use, because an idle one is not
// pinged.
func (c *forwardConn) check() {
	silent := c.silent.Add(1)
	c.mu.Lock()
	c.ticks++
	c.unusedTicks++
	if len(c.calls) > 0 {
		c.unusedTicks = 0
	}
	inUse := c.dialed && c.unusedTicks <= recentTicks || !c.dialed && (len(c.serving) > 0 || c.partial.Load())
	idle := c.dialed && c.forwarder.elapsed(c.unusedTicks) > idleTime ||
		!c.dialed && c.forwarder.elapsed(int(silent)) > acceptedIdleTime
	late := !c.authenticated && c.forwarder.elapsed(c.ticks) > handshakeTime
	due := c.authenticated && inUse && c.ticks%pingTicks == 0
	if idle && c.dialed {
		// Set here, so that no request is registered before close.
		c.full = true
	}
	c.mu.Unlock()
	switch {
	case late:
		c.close(errors.Wrap(ErrUnauthenticated, "handshake not finished in time"))
	case inUse && silent > silentTicks:
		c.close(errors.WithStack(ErrSilent))
	case idle:
		c.close(errors.WithStack(errIdle))
	case due && c.dialed:
		_ = c.write(encodeFrame(framePing, 0, nil))
	case due && c.partial.Load():
		// The client's ping waits behind the large frame that is being received.
		_ = c.write(encodeFrame(framePong, 0, nil))
	}
}

package sequoiapeer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// checkInterval is the interval of the liveness checks. Timeouts below count checks instead of reading the clock, so
	// that a pause of this process is not mistaken for silence of the peer.
	checkInterval = 500 * time.Millisecond
	// checksPerPing is the number of checks between pings of a connection in use: 1 s.
	checksPerPing = 2
	// inUseChecks is the number of checks after a request during which a connection counts as in use: 3 s. Pings on all
	// idle connections would exceed the 21 KB/s of a process with thousands of peers.
	inUseChecks = 6
	// maxSilentChecks is the number of checks without data after which a connection in use is closed: 3 s.
	maxSilentChecks = 6
	// idleTimeout is how long a connection may go without a request before it is closed.
	idleTimeout = 30 * time.Second
	// acceptedIdleTimeout is how long the accepting side keeps a connection without data. It is longer than idleTimeout,
	// so that the requesting side closes first and no request is in flight at that time.
	acceptedIdleTimeout = 40 * time.Second
	// verifyAfter is the time since the peer's last data after which a connection needs a ping before its next request.
	verifyAfter = 3 * time.Second
	// verifyTimeout limits the wait for the pong that an idle connection needs before its next request. Without a pong
	// a new connection replaces it.
	verifyTimeout = 300 * time.Millisecond
	// authenticationTimeout limits the authentication of a connection.
	authenticationTimeout = time.Second
	// maxInFlight limits the requests in progress on one connection, including abandoned ones.
	maxInFlight = 1024
	// maxRetainedBuffer is the size in bytes above which an empty receive buffer is released.
	maxRetainedBuffer = 16 << 10
)

// connState is the authentication state of a connection.
type connState uint8

const (
	stateAwaitHello connState = iota
	stateAwaitChallenge
	stateAwaitProof
	stateAwaitPong
	stateReady
)

// call is a request that waits for its response. done is buffered for the single result.
type call struct {
	done chan callResult
	// abandoned is set when the caller no longer waits, or gets a result although the response has not arrived. The call
	// keeps its number until the response arrives, so that a late response is neither delivered to another request nor
	// rejected as an unexpected request number.
	abandoned bool
	// body is the request's body if it is sent in pieces.
	body *outgoingBody
	// response is the response whose body is being received in pieces.
	response *incomingResponse
	// release releases the memory of a response in one frame, nil if none is reserved.
	release func()
}

// callResult is the payload of a response, a response whose body came in pieces, or an error.
type callResult struct {
	payload []byte
	resp    *sequoiarouter.Response
	err     error
}

// forwardConn is one TCP connection. The dialing side sends requests, the accepting side responses.
type forwardConn struct {
	forwarder *Forwarder
	nb        *nbio.Conn
	addr      netip.AddrPort
	dialed    bool
	opened    time.Time
	ready     chan struct{}
	done      chan struct{}
	// retired is closed when the connection accepts no new requests although some are still in progress.
	retired chan struct{}

	// The following fields are used only by the event loop's goroutine.
	buf         []byte
	state       connState
	challenge   *challenge
	lastRequest uint64
	queueDelay  queueDelay
	// skip is the number of bytes left of a frame for which there was no memory.
	skip int

	// silentChecks is the number of checks since data was received.
	silentChecks atomic.Int32
	// lastReceived is when data was last received, as the time since monotonicOrigin. Unlike the checks it includes
	// pauses of this process, after which the state of the connection is not known.
	lastReceived atomic.Int64
	// partial is true while an incomplete frame is buffered.
	partial atomic.Bool
	// unwritten is the number of bytes that the socket has not accepted yet.
	unwritten atomic.Int64
	// releaseFrame releases the memory reserved for the incomplete frame in buf, nil if none is reserved.
	releaseFrame atomic.Pointer[func()]
	// timed is true if the peer reads the times in pings.
	timed atomic.Bool

	sendMu sync.Mutex

	mu            sync.Mutex
	authenticated bool
	closeErr      error
	// noNewRequests is set when the connection accepts no more requests because it is about to be closed.
	noNewRequests bool
	nextNumber    uint64
	calls         map[uint64]*call
	serving       map[uint64]context.CancelFunc
	// receiving holds the requests whose bodies are being received, and sending the bodies of responses that are being
	// sent in pieces.
	receiving map[uint64]*incomingBody
	sending   map[uint64]*outgoingBody
	// unusedChecks is the number of liveness checks since the last request was in progress, checks that since the
	// connection was opened.
	unusedChecks int
	checks       int
	// pendingPong is closed when the pong with number pingNumber arrives. It is nil if none is expected.
	pendingPong chan struct{}
	pingNumber  uint64
}

// monotonicOrigin is the reference time of forwardConn.lastReceived and of the times that are sent to other processes.
var monotonicOrigin = time.Now()

func newForwardConn(f *Forwarder, nb *nbio.Conn, addr netip.AddrPort, dialed bool) *forwardConn {
	c := &forwardConn{
		forwarder: f, nb: nb, addr: addr, dialed: dialed, opened: time.Now(),
		ready:     make(chan struct{}),
		done:      make(chan struct{}),
		retired:   make(chan struct{}),
		challenge: newChallenge(f.key),
		calls:     map[uint64]*call{},
		serving:   map[uint64]context.CancelFunc{},
		receiving: map[uint64]*incomingBody{},
		sending:   map[uint64]*outgoingBody{},
	}
	if dialed {
		c.state = stateAwaitChallenge
	}
	return c
}

// helloFrame returns the client's first frame.
func (c *forwardConn) helloFrame() []byte {
	return encodeFrame(frameHello, 0, c.challenge.clientNonce[:])
}

// send writes a request and returns its number. If it returns an error, nothing was written.
func (c *forwardConn) send(req *sequoiarouter.Request) (uint64, *call, error) {
	now := time.Now()
	if !req.Deadline.IsZero() && !req.Deadline.After(now) {
		return 0, nil, errors.WithStack(context.DeadlineExceeded)
	}
	kind, body := frameRequest, c.newBody(req)
	if body != nil {
		offered := *req
		offered.Body, offered.BodySize = nil, len(req.Body)
		kind, req = frameOffer, &offered
		if len(body.body) > MaxBody {
			return 0, nil, errors.Wrapf(ErrTooLarge, "body of %d bytes, at most %d", len(body.body), MaxBody)
		}
	}
	buf := getBuffer()
	defer putBuffer(buf)
	if err := encodeRequest(buf, req, now); err != nil {
		return 0, nil, err
	}
	// The receiver rejects numbers that do not increase, so requests are numbered and written in the same order.
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	number, pending, err := c.register(body)
	if err != nil {
		return 0, nil, err
	}
	writeFrameHeader(buf.Bytes(), kind, number)
	if err := c.write(buf.Bytes()); err != nil {
		c.unregister(number)
		return 0, nil, connectionLost(err)
	}
	return number, pending, nil
}

// newBody returns the body of a request that is sent in pieces, and nil if it is sent within the request's frame.
func (c *forwardConn) newBody(req *sequoiarouter.Request) *outgoingBody {
	if req.Version < sequoiarouter.ProtocolVersion {
		return nil
	}
	c.timed.Store(true)
	if len(req.Body) <= inlineBody {
		return nil
	}
	return &outgoingBody{conn: c, kind: frameBody, body: req.Body, deadline: req.Deadline}
}

// register reserves the number of a request, whose body is nil if it is not sent in pieces. It returns an error if the
// connection is closed or accepts no more requests.
func (c *forwardConn) register(body *outgoingBody) (uint64, *call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return 0, nil, c.closeErr
	}
	if c.noNewRequests || len(c.calls) >= maxInFlight {
		return 0, nil, errors.WithStack(ErrBusy)
	}
	if c.unusedChecks > inUseChecks {
		// An idle connection is not pinged, so the peer had no reason to send data.
		c.silentChecks.Store(0)
	}
	c.nextNumber++
	c.unusedChecks = 0
	pending := &call{done: make(chan callResult, 1), body: body}
	if body != nil {
		body.number = c.nextNumber
	}
	c.calls[c.nextNumber] = pending
	return c.nextNumber, pending, nil
}

func (c *forwardConn) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, number)
}

// finish decodes the result of a request. A request whose body has not been sent completely has not run.
func (c *forwardConn) finish(pending *call, result callResult) (*sequoiarouter.Response, error) {
	sent := c.stopBody(pending)
	if result.err != nil {
		return nil, failed(sent, result.err)
	}
	resp, err := result.resp, error(nil)
	if resp == nil {
		resp, err = decodeResponse(result.payload)
	}
	if err == nil && !sent && resp.Outcome != sequoiarouter.NotRun {
		err = errors.Wrapf(ErrMalformed, "response %v to a request whose body was not sent", resp.Outcome)
	}
	if err != nil {
		c.close(err)
		return nil, failed(sent, err)
	}
	return resp, nil
}

// stopBody ends the sending of a request's body. It returns true if the request has been sent completely.
func (c *forwardConn) stopBody(pending *call) bool {
	return pending.body == nil || c.forwarder.writer.stop(pending.body)
}

// abandon sends a cancellation for a request whose caller no longer waits. It returns true if the request had been sent
// completely.
func (c *forwardConn) abandon(number uint64, call *call) (sent bool) {
	sent = c.stopBody(call)
	c.mu.Lock()
	pending := c.calls[number]
	if pending != nil {
		pending.abandoned = true
	}
	c.mu.Unlock()
	if pending != nil {
		_ = c.write(encodeFrame(frameCancel, number, nil))
	}
	return sent
}

// usableWithoutPing reports whether a request may be sent without a ping first.
func (c *forwardConn) usableWithoutPing() bool {
	return time.Since(monotonicOrigin)-time.Duration(c.lastReceived.Load()) <= verifyAfter
}

// startVerification sends a ping unless a pong is pending, and returns a channel that is closed when the pong arrives.
// If it does not arrive within verifyTimeout, the connection accepts no more requests.
func (c *forwardConn) startVerification() <-chan struct{} {
	c.mu.Lock()
	if c.pendingPong != nil {
		defer c.mu.Unlock()
		return c.pendingPong
	}
	verified := make(chan struct{})
	c.pendingPong = verified
	c.pingNumber++
	number := c.pingNumber
	c.mu.Unlock()
	_ = c.ping(number)
	time.AfterFunc(verifyTimeout, func() { c.verificationTimedOut(verified) })
	return verified
}

func (c *forwardConn) verificationTimedOut(verified chan struct{}) {
	c.mu.Lock()
	if c.pendingPong != verified {
		c.mu.Unlock()
		return
	}
	c.noNewRequests = true
	unused := len(c.calls) == 0
	c.mu.Unlock()
	if unused {
		c.close(errors.WithStack(ErrSilent))
		return
	}
	// Requests in progress end with their responses or when the liveness check closes the connection.
	c.forwarder.retire(c)
}

// verify waits until the peer has answered a ping. It returns an error if the connection is closed or retired first, or
// if ctx ends.
func (c *forwardConn) verify(ctx context.Context) error {
	verified := c.startVerification()
	select {
	case <-verified:
		return nil
	case <-c.done:
		return c.closeReason()
	case <-c.retired:
		return errors.WithStack(ErrSilent)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handlePong handles a pong. Only a pong with the number of the latest ping proves that the connection works now.
func (c *forwardConn) handlePong(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingPong != nil && number == c.pingNumber && !c.noNewRequests {
		close(c.pendingPong)
		c.pendingPong = nil
	}
}

// load returns the number of requests in progress, and false if the connection cannot accept another.
func (c *forwardConn) load() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.calls)
	return n, c.authenticated && c.closeErr == nil && !c.noNewRequests && n < maxInFlight
}

// write passes a whole frame to nbio, which buffers what the socket does not accept. If it returns an error, no part of
// the frame was written.
func (c *forwardConn) write(b []byte) error {
	c.unwritten.Add(int64(len(b)))
	_, err := c.nb.Write(b)
	return err
}

// queuedBytes returns the number of bytes that were written and that the peer has not acknowledged.
func (c *forwardConn) queuedBytes() int {
	return int(c.unwritten.Load()) + unacknowledgedBytes(c.nb)
}

// ping sends a ping. A peer with protocol version 2 learns from the time in it how long frames take without a queue.
func (c *forwardConn) ping(number uint64) error {
	if c.timed.Load() {
		return c.write(encodeFrame(framePing, number, encodeSentAt(time.Now())))
	}
	return c.write(encodeFrame(framePing, number, nil))
}

// close closes the connection and fails the requests on it. Only the first call has an effect.
func (c *forwardConn) close(reason error) {
	c.mu.Lock()
	if c.closeErr != nil {
		c.mu.Unlock()
		return
	}
	c.closeErr = reason
	authenticated := c.authenticated
	calls := c.calls
	c.calls = map[uint64]*call{}
	serving := c.serving
	c.serving = map[uint64]context.CancelFunc{}
	receiving := c.receiving
	c.receiving = map[uint64]*incomingBody{}
	sending := c.sending
	c.sending = map[uint64]*outgoingBody{}
	c.mu.Unlock()
	if !authenticated {
		c.forwarder.unauthenticated.Add(-1)
	}
	// The pool and the counters are updated before the requests fail, so that a caller that has seen the failure finds
	// it in Stats and does not get the connection again.
	c.forwarder.remove(c, reason)
	for _, b := range receiving {
		c.forwarder.bodies.remove(b)
		b.end()
	}
	c.frameComplete()
	close(c.done)
	_ = c.nb.Close()
	for _, pending := range calls {
		// The caller of an abandoned call has left or has a result, which would still be in the channel if it has left.
		if !pending.abandoned {
			pending.done <- callResult{err: reason}
		}
	}
	for _, cancel := range serving {
		cancel()
	}
	for _, b := range sending {
		b.end()
	}
	c.forwarder.reportRejected(c, reason)
}

// closeReason returns the error that closed the connection, or nil if it is open.
func (c *forwardConn) closeReason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr
}

// handshakeState reports whether the peer has authenticated, and whether the connection is closed.
func (c *forwardConn) handshakeState() (authenticated, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.authenticated, c.closeErr != nil
}

// isClosed reports whether the connection is closed.
func (c *forwardConn) isClosed() bool { return c.closeReason() != nil }

// receive handles bytes from the socket. Only the event loop's goroutine calls it; b is valid until it returns.
func (c *forwardConn) receive(b []byte) {
	c.silentChecks.Store(0)
	c.lastReceived.Store(int64(time.Since(monotonicOrigin)))
	b = c.skipped(b)
	buffered := len(c.buf) > 0
	if buffered {
		c.buf = append(c.buf, b...)
		b = c.buf
	}
	consumed, err := c.parse(b)
	if consumed > 0 {
		c.frameComplete()
	}
	rest := b[consumed:]
	if err == nil {
		rest, err = c.reserveFrame(rest)
	}
	if err != nil {
		c.frameComplete()
		if c.state != stateReady && !errors.Is(err, ErrUnauthenticated) {
			err = errors.Wrap(ErrUnauthenticated, err.Error())
		}
		c.close(err)
		return
	}
	c.saveIncomplete(rest, buffered && consumed == 0 && len(rest) > 0)
}

// saveIncomplete keeps an incomplete frame for the next call of receive. A frame that is already in the buffer is not
// copied, because a copy per read would take quadratic time for large frames.
func (c *forwardConn) saveIncomplete(rest []byte, inPlace bool) {
	c.partial.Store(len(rest) > 0 || c.skip > 0)
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
		if sentAt, ok := decodeSentAt(fr.payload); ok {
			c.queueDelay.observe(time.Now(), sentAt)
		}
		return c.write(encodeFrame(framePong, fr.number, nil))
	case fr.kind == frameOffer && !c.dialed:
		return c.handleOffer(fr)
	case fr.kind == frameBody && !c.dialed:
		return c.handleBody(fr)
	case fr.kind == frameGrant && c.dialed:
		return c.handleGrant(fr)
	case fr.kind == frameResponseHead && c.dialed:
		return c.handleResponseHead(fr)
	case fr.kind == frameResponseBody && c.dialed:
		return c.handleResponseBody(fr)
	case fr.kind == framePong && c.dialed:
		c.handlePong(fr.number)
		return nil
	}
	return errors.Wrapf(ErrFrame, "kind %d", fr.kind)
}

func (c *forwardConn) handshake(fr frame) error {
	switch {
	case c.state == stateAwaitHello && fr.kind == frameHello:
		answer, err := c.challenge.answerHello(fr.payload)
		if err != nil {
			return err
		}
		c.state = stateAwaitProof
		return c.write(encodeFrame(frameChallenge, 0, answer))
	case c.state == stateAwaitChallenge && fr.kind == frameChallenge:
		answer, err := c.challenge.answerChallenge(fr.payload)
		if err != nil {
			// An empty proof makes the server report a key mismatch, which a closed connection would not.
			_ = c.write(encodeFrame(frameProof, 0, nil))
			return err
		}
		c.state = stateAwaitPong
		return c.write(append(encodeFrame(frameProof, 0, answer), encodeFrame(framePing, 0, nil)...))
	case c.state == stateAwaitPong && fr.kind == framePong:
		// The pong is read in a later iteration of the event loop than the challenge. nbio may apply a stale event of an
		// earlier connection with the same file descriptor to this connection, and close it in the iteration that reads
		// its first data; a request sent by then would be lost.
		c.setReady()
		return nil
	case c.state == stateAwaitProof && fr.kind == frameProof:
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
	ended := c.closeErr != nil
	c.authenticated = true
	c.mu.Unlock()
	if !ended {
		c.forwarder.unauthenticated.Add(-1)
	}
	close(c.ready)
}

// handleResponse delivers a response to the call with the same number. Its memory is reserved before it is copied: responses
// may arrive faster than their callers read them.
func (c *forwardConn) handleResponse(fr frame) error {
	if len(fr.payload) <= unreservedResponse {
		return c.endCall(fr.number, callResult{payload: fr.payload}, nil)
	}
	// The copy and what is decoded from it exist at the same time.
	release, ok := c.forwarder.ReserveBody(2 * len(fr.payload))
	if !ok {
		c.forwarder.bodies.countNoMemory()
		return c.endCall(fr.number, callResult{err: errors.Wrapf(ErrNoMemory, "response with %d bytes", len(fr.payload))}, nil)
	}
	return c.endCall(fr.number, callResult{payload: fr.payload}, release)
}

// endCall delivers a result, with a copy of its payload, to the call with a number. release releases its memory, nil if none
// is reserved.
func (c *forwardConn) endCall(number uint64, result callResult, release func()) error {
	c.mu.Lock()
	pending := c.calls[number]
	delete(c.calls, number)
	delivered := pending != nil && !pending.abandoned
	if delivered {
		pending.release = release
	}
	c.mu.Unlock()
	if !delivered && release != nil {
		release()
	}
	if pending == nil {
		return errors.Wrapf(ErrRequestNumber, "response %d", number)
	}
	if !delivered {
		return nil
	}
	result.payload = bytes.Clone(result.payload)
	pending.done <- result
	return nil
}

// handleGrant lets more of a request's body be sent. A grant for a request that has already ended is not an error.
func (c *forwardConn) handleGrant(fr frame) error {
	if len(fr.payload) != 8 {
		return errors.Wrapf(ErrFrame, "grant of %d bytes", len(fr.payload))
	}
	c.mu.Lock()
	pending, last := c.calls[fr.number], c.nextNumber
	c.mu.Unlock()
	switch {
	case fr.number > last:
		return errors.Wrapf(ErrRequestNumber, "grant %d after %d", fr.number, last)
	case pending == nil:
		return nil
	case pending.body == nil:
		return errors.Wrapf(ErrFrame, "grant %d for a request without an offer", fr.number)
	}
	granted := binary.BigEndian.Uint64(fr.payload)
	c.forwarder.writer.grant(pending.body, int(min(granted, MaxBody)))
	return nil
}

// acceptNumber rejects request numbers that do not increase, so that no request runs twice.
func (c *forwardConn) acceptNumber(number uint64) error {
	if number <= c.lastRequest {
		return errors.Wrapf(ErrRequestNumber, "request %d after %d", number, c.lastRequest)
	}
	c.lastRequest = number
	return nil
}

// readRequest decodes a request. The time that it spent in queues on its way is taken off the time that is left for it.
func (c *forwardConn) readRequest(fr frame) (*sequoiarouter.Request, error) {
	if err := c.acceptNumber(fr.number); err != nil {
		return nil, err
	}
	w, err := decodeWireRequest(fr.payload)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if w.SentAt == 0 {
		return w.request(now), nil
	}
	delay := c.queueDelay.observe(now, w.SentAt)
	if w.Remaining > 0 && delay >= w.Remaining {
		c.forwarder.expired.Add(1)
	}
	return w.request(now.Add(-delay)), nil
}

// handleRequest starts to serve a request.
func (c *forwardConn) handleRequest(fr frame) error {
	req, err := c.readRequest(fr)
	if err != nil {
		return err
	}
	if req.BodySize > 0 {
		return errors.Wrapf(ErrMalformed, "request: offered body of %d bytes", req.BodySize)
	}
	release, ok := c.reserveRequest(len(fr.payload), req)
	if !ok {
		return c.refuseNoMemory(fr.number, req)
	}
	ctx, cancel := requestContext(req)
	return c.start(ctx, cancel, fr.number, req, release)
}

// start starts to serve a request. release is called once the request has ended.
func (c *forwardConn) start(
	ctx context.Context, cancel context.CancelFunc, number uint64, req *sequoiarouter.Request, release func(),
) error {
	c.mu.Lock()
	refused := c.closeErr != nil || len(c.serving)+len(c.receiving) >= maxInFlight
	if !refused {
		c.serving[number] = cancel
	}
	c.mu.Unlock()
	if refused {
		cancel()
		release()
		return c.respond(number, &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: reasonTooMany})
	}
	stalled := c.forwarder.stalled()
	c.forwarder.running.Go(func() {
		defer release()
		if stalled {
			_ = sequoiatimer.Sleep(ctx, resumeDelay)
		}
		c.serve(ctx, number, req)
	})
	return nil
}

func requestContext(req *sequoiarouter.Request) (context.Context, context.CancelFunc) {
	if req.Deadline.IsZero() {
		return context.WithCancel(context.Background())
	}
	return context.WithDeadline(context.Background(), req.Deadline)
}

// handleCancel cancels the context of a request. A request that has already been answered is not an error.
func (c *forwardConn) handleCancel(fr frame) error {
	if fr.number > c.lastRequest {
		return errors.Wrapf(ErrRequestNumber, "cancel %d after %d", fr.number, c.lastRequest)
	}
	c.mu.Lock()
	cancel := c.serving[fr.number]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
		return nil
	}
	if c.cancelBody(fr.number) {
		return nil
	}
	_, err := c.cancelResponseBody(fr.number)
	return err
}

func (c *forwardConn) serve(ctx context.Context, number uint64, req *sequoiarouter.Request) {
	var resp *sequoiarouter.Response
	end := &answerEnd{}
	defer end.run()
	ctx = context.WithValue(ctx, answerEndKey{}, end)
	if ctx.Err() == nil {
		resp = c.forwarder.Serve(ctx, req)
	} else {
		resp = &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: reasonCancelled}
	}
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
	if err := c.answer(number, req, resp, end); err != nil {
		c.close(err)
	}
}

// respond sends a response. A response that is too large is replaced by one with outcome Unknown, since the request has
// already run.
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

// check runs at each liveness check. It closes the connection if the peer is silent, authentication is late or the
// connection has been idle for too long, and otherwise sends a ping when due. Silence counts only while the connection
// is in use, because an idle connection is not pinged.
func (c *forwardConn) check() {
	silent := c.silentChecks.Add(1)
	c.mu.Lock()
	c.checks++
	c.unusedChecks++
	if len(c.calls) > 0 {
		c.unusedChecks = 0
	}
	inUse := c.dialed && c.unusedChecks <= inUseChecks || !c.dialed && (len(c.serving)+len(c.receiving)+len(c.sending) > 0 || c.partial.Load())
	idle := c.dialed && c.forwarder.checksDuration(c.unusedChecks) > idleTimeout ||
		!c.dialed && c.forwarder.checksDuration(int(silent)) > acceptedIdleTimeout
	late := !c.authenticated && c.forwarder.checksDuration(c.checks) > authenticationTimeout
	due := c.authenticated && inUse && c.checks%checksPerPing == 0
	if idle && c.dialed {
		// Set under the lock, so that no request is registered before the connection is closed.
		c.noNewRequests = true
	}
	c.mu.Unlock()
	switch {
	case late:
		c.close(errors.Wrap(ErrUnauthenticated, "authentication timed out"))
	case inUse && silent > maxSilentChecks:
		c.close(errors.WithStack(ErrSilent))
	case idle:
		c.close(errors.WithStack(errIdle))
	case due && c.dialed:
		_ = c.ping(0)
	case due && c.partial.Load():
		// The client's pings are queued behind the large frame that is being received, so the pong is sent without one.
		_ = c.write(encodeFrame(framePong, 0, nil))
	}
}

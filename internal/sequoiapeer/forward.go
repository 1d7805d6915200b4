package sequoiapeer

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapoller"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Outcomes of Forward. Every error it returns matches one of them.
var (
	// ErrNotSent means that the peer is known not to have received the request.
	ErrNotSent = errors.New("the request was not sent")
	// ErrUnknown means that the peer may have received the request.
	ErrUnknown = errors.New("the request may have been received")
)

// Causes for which a connection is closed or refuses a request.
var (
	// ErrBusy reports a connection with too many requests in progress.
	ErrBusy = errors.New("too many requests in progress")
	// ErrSilent reports a peer that has sent nothing for 3 s, or has not answered the ping that an idle connection needs
	// before its next request.
	ErrSilent = errors.New("the peer is silent")
	// ErrNoMemory reports a response for whose body there is no memory.
	ErrNoMemory = errors.New("no memory for the body")
	// ErrConnectionLost reports a connection closed by the peer or the network.
	ErrConnectionLost = errors.New("the connection was lost")

	errIdle     = errors.New("the connection was idle")
	errReplaced = errors.New("another connection took the place of one that had not authenticated")
)

const (
	// dialTimeout limits connecting and authentication together.
	dialTimeout = time.Second
	// maxConnections limits the connection pool of one address.
	maxConnections = 4
	// dialLoadThreshold is the number of requests in progress on the least loaded pooled connection at which another
	// connection is opened.
	dialLoadThreshold = 64
	// maxSendAttempts is the number of connections on which a request is tried before it fails with ErrNotSent.
	maxSendAttempts = 2
	// maxUnauthenticated is the number of unauthenticated connections at which a further incoming one takes the place of the
	// oldest, unless an option says otherwise.
	maxUnauthenticated = 256
	// minHandshake is how long an incoming connection has to authenticate before another one may take its place.
	minHandshake = 100 * time.Millisecond
	// maxPollers limits nbio's event loops, each of which has its own read buffer.
	maxPollers = 4
	// readBuffer is the size in bytes of an event loop's read buffer.
	readBuffer = 32 << 10
	// maxWriteBuffer limits in bytes the data buffered for a peer that does not read.
	maxWriteBuffer = 4 * MaxFrame
	// stallChecks is the number of intervals without a liveness check after which this process counts as stalled.
	stallChecks = 3
	// resumeDelay is how long a process that was stalled waits before it runs a request. Meanwhile it reads what has
	// arrived after the request, which may be its cancellation or the end of the connection.
	resumeDelay = 10 * time.Millisecond
	// maxPooledBuffer is the largest encoding buffer in bytes that is kept for reuse.
	maxPooledBuffer = 64 << 10
)

// ForwardStats counts events of a Forwarder since its start.
type ForwardStats struct {
	// Rejected counts peers that failed authentication.
	Rejected uint64
	// Invalid counts connections closed because of an invalid frame.
	Invalid uint64
	// Dialed counts authenticated outgoing connections, DialFailures failed attempts.
	Dialed       uint64
	DialFailures uint64
	// Silent counts connections closed with ErrSilent: the peer sent nothing for 3 s or did not answer a ping.
	Silent uint64
	// Expired counts requests of other processes that arrived after their deadlines because of queues on their way.
	Expired uint64
	// Connections is the number of open connections.
	Connections int
}

// Forwarder sends requests to other processes, and serves theirs, over pooled TCP connections.
type Forwarder struct {
	// Serve runs a request of another process. Its context ends on cancellation, at the deadline and when the
	// connection is lost. It is called in a goroutine of its own.
	Serve func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response
	// Rejected is called for each peer that fails authentication (ErrUnauthenticated) or sends an invalid frame
	// (ErrFrame, ErrChecksum, ErrTooLarge, ErrRequestNumber, ErrMalformed).
	Rejected func(peer netip.AddrPort, err error)
	// Dial opens a TCP connection. Tests replace it to cut connections.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// ReserveBody reserves memory for n bytes of an offered body, a large request or response of another process, or the body of a
	// response that comes in pieces. release is called once, when the request has ended or Forward returns the response. A
	// request for which ok is false is refused as not run; for a response, Forward returns ErrNoMemory.
	ReserveBody func(n int) (release func(), ok bool)
	// Offered returns how long a request whose body is offered is expected to wait and run once its body has arrived. If
	// the request would not be run at all, it returns the response to it instead, and the body is not sent. It returns at
	// once.
	Offered func(req *sequoiarouter.Request) (after time.Duration, refusal *sequoiarouter.Response)
	// Refuse returns the response to a request whose body is refused, with an outcome of NotRun. It returns at once.
	Refuse func(req *sequoiarouter.Request, reason string, retryAfter time.Duration) *sequoiarouter.Response

	// interval is the time between liveness checks of a connection, connectTimeout the limit on connecting and
	// authentication.
	interval, connectTimeout time.Duration

	maxUnauthenticated int64
	// linkRate is the capacity of this instance's link in bytes per second, zero if it is not known.
	linkRate float64
	bodies   *bodyReceiver
	writer   *bodyWriter

	key      []byte
	timers   *sequoiatimer.Service
	checks   *sequoiatimer.Subscription
	engine   *nbio.Engine
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	// handshakes are the incoming connections that had not authenticated when they were last looked at, oldest first.
	handshakes []*forwardConn
	// opening tracks the goroutines that accept or dial connections, running those that serve requests.
	opening, running sync.WaitGroup
	unauthenticated  atomic.Int64
	// lastCheck is the boot time of the latest liveness check, and resumed that of the latest one after which this process
	// counted as stalled, both in nanoseconds.
	lastCheck, resumed atomic.Int64

	mu     sync.Mutex
	conns  map[*forwardConn]struct{}
	pools  map[netip.AddrPort]*pool
	closed bool

	rejected, invalid, dialed, dialFailures, silent, expired atomic.Uint64
}

// pool holds the connections to one address. The forwarder's lock protects it.
type pool struct {
	conns []*forwardConn
	// dialing is the attempt in progress, nil if there is none.
	dialing *dialAttempt
}

// dialAttempt is shared by the requests that wait for the same connection. err is set before done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *forwardConn
	err  error
}

// ForwarderOption configures a Forwarder.
type ForwarderOption func(*Forwarder)

// WithServe sets the handler of requests from other processes.
func WithServe(f func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response) ForwarderOption {
	return func(fw *Forwarder) { fw.Serve = f }
}

// WithForwardRejected sets the handler that is called for each rejected peer.
func WithForwardRejected(f func(peer netip.AddrPort, err error)) ForwarderOption {
	return func(fw *Forwarder) { fw.Rejected = f }
}

// WithLinkRate sets the capacity of this instance's link in bytes per second. Without it, bodies are not paced.
func WithLinkRate(bytesPerSecond float64) ForwarderOption {
	return func(fw *Forwarder) { fw.linkRate = bytesPerSecond }
}

// WithBodies sets ReserveBody, Offered and Refuse.
func WithBodies(
	reserve func(n int) (release func(), ok bool),
	offered func(req *sequoiarouter.Request) (after time.Duration, refusal *sequoiarouter.Response),
	refuse func(req *sequoiarouter.Request, reason string, retryAfter time.Duration) *sequoiarouter.Response,
) ForwarderOption {
	return func(fw *Forwarder) { fw.ReserveBody, fw.Offered, fw.Refuse = reserve, offered, refuse }
}

// WithReserve sets ReserveBody.
func WithReserve(reserve func(n int) (release func(), ok bool)) ForwarderOption {
	return func(fw *Forwarder) { fw.ReserveBody = reserve }
}

// WithMaxUnauthenticated sets the number of unauthenticated connections at which a further incoming one takes the place of the
// oldest.
func WithMaxUnauthenticated(n int) ForwarderOption {
	return func(fw *Forwarder) { fw.maxUnauthenticated = int64(n) }
}

// WithTimers sets the timer service that runs the liveness checks.
func WithTimers(s *sequoiatimer.Service) ForwarderOption {
	return func(fw *Forwarder) { fw.timers = s }
}

// WithLiveness sets the interval of the liveness checks and the timeout of connecting and authentication. A connection
// in use is pinged at every second check and closed after six checks without data.
func WithLiveness(interval, connect time.Duration) ForwarderOption {
	return func(fw *Forwarder) { fw.interval, fw.connectTimeout = interval, connect }
}

// NewForwarder returns a Forwarder that authenticates with the shared key and has started its event loops. It returns
// ErrKey if the key is too short.
func NewForwarder(sharedKey []byte, opts ...ForwarderOption) (*Forwarder, error) {
	key, err := deriveKey(sharedKey, labelForward)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{
		Serve:              refuse,
		Rejected:           func(netip.AddrPort, error) {},
		Dial:               dialTCP,
		ReserveBody:        func(int) (func(), bool) { return func() {}, true },
		Offered:            func(*sequoiarouter.Request) (time.Duration, *sequoiarouter.Response) { return 0, nil },
		Refuse:             refuseBody,
		interval:           checkInterval,
		maxUnauthenticated: maxUnauthenticated,
		connectTimeout:     dialTimeout,
		key:                key,
		timers:             sequoiatimer.New(),
		conns:              map[*forwardConn]struct{}{},
		pools:              map[netip.AddrPort]*pool{},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(f)
	}
	f.bodies = newBodyReceiver(f.timers, f.linkRate)
	f.writer = newBodyWriter(f.timers, f.linkRate)
	// At lower levels nbio logs its start and stop to standard output, which is reserved for JSON lines.
	logging.SetLevel(logging.LevelError)
	f.engine = nbio.NewEngine(nbio.Config{
		Name:               "forward",
		NPoller:            min(maxPollers, runtime.NumCPU()),
		ReadBufferSize:     readBuffer,
		MaxWriteBufferSize: maxWriteBuffer,
	})
	loops := sequoiapoller.New(f.engine, func(nb *nbio.Conn, b []byte) { nb.Session().(*forwardConn).receive(b) })
	f.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := nb.Session().(*forwardConn); ok {
			c.unwritten.Add(-int64(n))
		}
	})
	f.engine.OnClose(func(nb *nbio.Conn, err error) {
		if !sequoiapoller.IsProbe(nb) {
			nb.Session().(*forwardConn).close(connectionLost(err))
		}
	})
	if err := f.engine.Start(); err != nil {
		return nil, errors.Wrap(err, "start the event loops")
	}
	if err := loops.AwaitStart(); err != nil {
		return nil, err
	}
	f.lastCheck.Store(sequoiatimer.BootTime().UnixNano())
	f.checks = f.timers.Every(f.interval, func(time.Time) { f.checkConnections() })
	return f, nil
}

// checksDuration converts a number of liveness checks to a duration.
func (f *Forwarder) checksDuration(checks int) time.Duration {
	return time.Duration(checks) * f.interval
}

func refuse(context.Context, *sequoiarouter.Request) *sequoiarouter.Response {
	return &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: "NotServing"}
}

func refuseBody(_ *sequoiarouter.Request, reason string, retryAfter time.Duration) *sequoiarouter.Response {
	return &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: reason, RetryAfter: retryAfter}
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

func connectionLost(err error) error {
	if err == nil {
		return errors.WithStack(ErrConnectionLost)
	}
	return errors.Wrap(ErrConnectionLost, err.Error())
}

// Listen accepts connections on addr. It is called at most once; a Forwarder that only sends needs no listener.
func (f *Forwarder) Listen(addr netip.AddrPort) error {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrapf(err, "listen for forwarded requests on %v", addr)
	}
	f.listener = listener
	f.opening.Go(f.accept)
	return nil
}

// Addr returns the local TCP address. It is valid after Listen.
func (f *Forwarder) Addr() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stats returns the counts so far.
func (f *Forwarder) Stats() ForwardStats {
	f.mu.Lock()
	n := len(f.conns)
	f.mu.Unlock()
	return ForwardStats{
		Rejected: f.rejected.Load(), Invalid: f.invalid.Load(), Dialed: f.dialed.Load(),
		DialFailures: f.dialFailures.Load(), Silent: f.silent.Load(), Expired: f.expired.Load(),
		Connections: n,
	}
}

// LinkDelay returns how long one more body of 64 KB would take to arrive over this instance's link, zero if the capacity of
// the link is not known.
func (f *Forwarder) LinkDelay() time.Duration { return f.bodies.delay() }

// Sending returns the number of connections on which responses to other processes are being sent. Those of requests that
// have ended are among them: large bodies follow at the rate of the link.
func (f *Forwarder) Sending() (n int) {
	for _, c := range f.connections() {
		if c.sendsResponses() {
			n++
		}
	}
	return n
}

// BodyStats returns the counts of offered bodies so far.
func (f *Forwarder) BodyStats() BodyStats { return f.bodies.stats() }

// Forward sends a request to the process at addr and waits for its response, until ctx ends or the request's deadline
// passes. Its errors match ErrNotSent or ErrUnknown.
func (f *Forwarder) Forward(ctx context.Context, addr netip.AddrPort, req *sequoiarouter.Request) (*sequoiarouter.Response, error) {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	conn, number, pending, err := f.send(ctx, unmap(addr), req)
	if err != nil {
		return nil, notSent(err)
	}
	defer conn.endResponse(pending)
	select {
	case result := <-pending.done:
		return conn.finish(pending, result)
	case <-ctx.Done():
		return nil, failed(conn.abandon(number, pending), ctx.Err())
	}
}

// send writes a request on a pooled connection. It retries on another connection if the first has just been closed.
func (f *Forwarder) send(
	ctx context.Context, addr netip.AddrPort, req *sequoiarouter.Request,
) (conn *forwardConn, number uint64, pending *call, err error) {
	for range maxSendAttempts {
		conn, err = f.connection(ctx, addr)
		if err != nil {
			return nil, 0, nil, err
		}
		number, pending, err = conn.send(req)
		if err == nil || errors.Is(err, ErrTooLarge) {
			break
		}
	}
	return conn, number, pending, err
}

// Close closes all connections and waits for the requests that are being served.
func (f *Forwarder) Close() error {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return nil
	}
	f.closed = true
	f.mu.Unlock()
	f.checks.Cancel()
	f.cancel()
	if f.listener != nil {
		_ = f.listener.Close()
	}
	// A connection must not be closed while it is being added to the event loops.
	f.opening.Wait()
	for _, c := range f.connections() {
		c.close(errors.WithStack(ErrClosed))
	}
	f.engine.Stop()
	f.running.Wait()
	return nil
}

// forwardError combines an outcome of Forward with its cause; errors.Is matches both.
type forwardError struct {
	result error
	cause  error
}

func notSent(cause error) error { return &forwardError{ErrNotSent, cause} }

// failed returns the error of a request that got no response. One that has not been sent completely has not run.
func failed(sent bool, cause error) error {
	if !sent {
		return notSent(cause)
	}
	return &forwardError{ErrUnknown, cause}
}

// Error returns the messages of the result and the cause.
func (e *forwardError) Error() string { return e.result.Error() + ": " + e.cause.Error() }

// Unwrap returns the result and the cause, for errors.Is.
func (e *forwardError) Unwrap() []error { return []error{e.result, e.cause} }

// connection returns the least loaded connection to addr, or waits for a new one. A connection that has been idle for
// longer than the silence limit may be dead, so the peer has to answer a ping first: a request sent on a dead
// connection would get no response and could not safely be retried. Repeatable requests are verified too, because they
// would otherwise wait for the whole silence limit.
func (f *Forwarder) connection(ctx context.Context, addr netip.AddrPort) (*forwardConn, error) {
	for {
		conn, attempt, err := f.chooseConnection(ctx, addr)
		switch {
		case err != nil:
			return nil, err
		case conn == nil:
			return attempt.wait(ctx)
		case conn.usableWithoutPing():
			return conn, nil
		}
		// All pooled connections are pinged at once, since those to a lost peer fail together. A connection that does
		// not answer is removed from the pool, so the loop ends.
		for _, c := range f.pooledConnections(addr) {
			c.startVerification()
		}
		if conn.verify(ctx) == nil {
			return conn, nil
		}
	}
}

// chooseConnection returns a usable connection, or the pending dial attempt. It starts an attempt if all connections
// are busy.
func (f *Forwarder) chooseConnection(ctx context.Context, addr netip.AddrPort) (*forwardConn, *dialAttempt, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, nil, errors.WithStack(ErrClosed)
	}
	p := f.pools[addr]
	if p == nil {
		p = &pool{}
		f.pools[addr] = p
	}
	conn, load := p.leastLoaded()
	if (conn == nil || load >= dialLoadThreshold) && len(p.conns) < maxConnections && p.dialing == nil {
		p.dialing = &dialAttempt{done: make(chan struct{})}
		attempt := p.dialing
		f.opening.Go(func() { f.dial(addr, p, attempt) })
	}
	if conn == nil && p.dialing == nil {
		return nil, nil, errors.WithStack(ErrBusy)
	}
	return conn, p.dialing, nil
}

func (f *Forwarder) pooledConnections(addr netip.AddrPort) []*forwardConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[addr]; p != nil {
		return slices.Clone(p.conns)
	}
	return nil
}

func (a *dialAttempt) wait(ctx context.Context) (*forwardConn, error) {
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// leastLoaded returns the usable connection with the fewest requests in progress, and prefers connections that need no
// ping first.
func (p *pool) leastLoaded() (best *forwardConn, load int) {
	bestNeedsNoPing := false
	for _, c := range p.conns {
		n, ok := c.load()
		if !ok {
			continue
		}
		needsNoPing := c.usableWithoutPing()
		if best == nil || needsNoPing && !bestNeedsNoPing || needsNoPing == bestNeedsNoPing && n < load {
			best, load, bestNeedsNoPing = c, n, needsNoPing
		}
	}
	return best, load
}

// dial performs a dial attempt and adds the connection to the pool.
func (f *Forwarder) dial(addr netip.AddrPort, p *pool, attempt *dialAttempt) {
	attempt.conn, attempt.err = f.open(addr)
	f.mu.Lock()
	p.dialing = nil
	switch {
	case attempt.err != nil:
		f.dialFailures.Add(1)
		f.dropEmptyPool(addr)
	default:
		f.dialed.Add(1)
		if _, open := f.conns[attempt.conn]; open {
			p.conns = append(p.conns, attempt.conn)
		}
	}
	f.mu.Unlock()
	close(attempt.done)
}

// open connects to addr and waits for the mutual authentication.
func (f *Forwarder) open(addr netip.AddrPort) (*forwardConn, error) {
	ctx, cancel := context.WithTimeout(f.ctx, f.connectTimeout)
	defer cancel()
	netConn, err := f.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c, err := f.add(netConn, addr, true)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.ready:
		return c, nil
	case <-c.done:
		return nil, c.closeReason()
	case <-ctx.Done():
		c.close(errors.Wrap(ErrConnectionLost, "authentication not finished"))
		return nil, ctx.Err()
	}
}

func (f *Forwarder) accept() {
	for {
		netConn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Accept fails, for example, while the process has no free file descriptors.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		f.replaceUnauthenticated()
		peer := netConn.RemoteAddr().(*net.TCPAddr).AddrPort()
		if c, err := f.add(netConn, unmap(peer), false); err == nil {
			f.handshakes = append(f.handshakes, c)
		}
	}
}

// replaceUnauthenticated closes the oldest incoming connection that has not authenticated if there are too many of them.
// Connections that come meanwhile wait in the kernel's queue, so that clients that come again at once do not overtake other
// processes. Only accept calls it.
func (f *Forwarder) replaceUnauthenticated() {
	for {
		f.handshakes = slices.DeleteFunc(f.handshakes, func(c *forwardConn) bool {
			authenticated, closed := c.handshakeState()
			return authenticated || closed
		})
		if f.unauthenticated.Load() < f.maxUnauthenticated || len(f.handshakes) == 0 {
			return
		}
		oldest := f.handshakes[0]
		if wait := minHandshake - time.Since(oldest.opened); wait > 0 {
			if sequoiatimer.Sleep(f.ctx, wait) != nil {
				return
			}
			continue
		}
		f.rejected.Add(1)
		oldest.close(errors.WithStack(errReplaced))
	}
}

// add registers a connection with the event loops and, if it was dialed, sends Hello.
func (f *Forwarder) add(netConn net.Conn, addr netip.AddrPort, dialed bool) (*forwardConn, error) {
	nb, err := nbio.NBConn(netConn)
	if err != nil {
		_ = netConn.Close()
		return nil, errors.Wrap(err, "add the connection to the event loops")
	}
	c := newForwardConn(f, nb, addr, dialed)
	nb.SetSession(c)
	hello := c.helloFrame()
	f.unauthenticated.Add(1)
	if _, err := f.engine.AddConn(nb); err != nil {
		c.close(connectionLost(err))
		return nil, errors.Wrap(err, "add the connection to the event loops")
	}
	f.mu.Lock()
	closed := f.closed
	if c.closeReason() == nil {
		f.conns[c] = struct{}{}
	}
	f.mu.Unlock()
	if closed {
		c.close(errors.WithStack(ErrClosed))
		return nil, errors.WithStack(ErrClosed)
	}
	if !dialed {
		return c, nil
	}
	if err := c.write(hello); err != nil {
		c.close(connectionLost(err))
		return nil, connectionLost(err)
	}
	return c, nil
}

// remove removes a closed connection from the pool and counts the reason.
func (f *Forwarder) remove(c *forwardConn, reason error) {
	f.mu.Lock()
	delete(f.conns, c)
	if p := f.pools[c.addr]; p != nil && c.dialed {
		p.conns = slices.DeleteFunc(p.conns, func(other *forwardConn) bool { return other == c })
		f.dropEmptyPool(c.addr)
	}
	f.mu.Unlock()
	switch {
	case errors.Is(reason, ErrUnauthenticated):
		f.rejected.Add(1)
	case isProtocolError(reason):
		f.invalid.Add(1)
	case errors.Is(reason, ErrSilent):
		f.silent.Add(1)
	}
}

// retire removes a connection from its pool. Requests in progress on it may still finish.
func (f *Forwarder) retire(c *forwardConn) {
	f.mu.Lock()
	if p := f.pools[c.addr]; p != nil {
		p.conns = slices.DeleteFunc(p.conns, func(other *forwardConn) bool { return other == c })
		f.dropEmptyPool(c.addr)
	}
	f.mu.Unlock()
	close(c.retired)
}

// reportRejected calls Rejected if the connection was closed because the peer failed authentication or sent an invalid
// frame.
func (f *Forwarder) reportRejected(c *forwardConn, reason error) {
	if errors.Is(reason, ErrUnauthenticated) || isProtocolError(reason) {
		f.Rejected(c.addr, reason)
	}
}

func isProtocolError(err error) bool {
	for _, wrong := range []error{ErrFrame, ErrChecksum, ErrTooLarge, ErrRequestNumber, ErrMalformed} {
		if errors.Is(err, wrong) {
			return true
		}
	}
	return false
}

// dropEmptyPool deletes the pool of addr if it is unused. The caller holds mu.
func (f *Forwarder) dropEmptyPool(addr netip.AddrPort) {
	if p := f.pools[addr]; p != nil && len(p.conns) == 0 && p.dialing == nil {
		delete(f.pools, addr)
	}
}

// stalled reports whether this process did not run for a while until just now: it was paused, or had no processor time.
func (f *Forwarder) stalled() bool {
	now := sequoiatimer.BootTime().UnixNano()
	return now-f.lastCheck.Load() > int64(f.checksDuration(stallChecks)) || now-f.resumed.Load() < int64(f.interval)
}

func (f *Forwarder) checkConnections() {
	now := sequoiatimer.BootTime().UnixNano()
	if now-f.lastCheck.Swap(now) > int64(f.checksDuration(stallChecks)) {
		f.resumed.Store(now)
	}
	for _, c := range f.connections() {
		c.check()
	}
}

func (f *Forwarder) connections() []*forwardConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	conns := make([]*forwardConn, 0, len(f.conns))
	for c := range f.conns {
		conns = append(conns, c)
	}
	return conns
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func getBuffer() *bytes.Buffer {
	return buffers.Get().(*bytes.Buffer)
}

func putBuffer(buf *bytes.Buffer) {
	if buf.Cap() > maxPooledBuffer {
		return
	}
	buf.Reset()
	buffers.Put(buf)
}

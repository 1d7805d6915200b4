// Package sequoiafront is an HTTP/1.1 server based on nbhttp's parser. It cancels a request when its connection is closed,
// writes responses with exactly the status and length that the handler set, and runs pipelined requests concurrently if
// they may be repeated.
//
// It reads each connection itself instead of using nbhttp's engine, whose event loops look up connections by file
// descriptor, so that an event for a connection that a handler has closed can close a new connection with the same
// descriptor, and whose blocking mode continues after a parse error.
package sequoiafront

import (
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Limits of a server.
const (
	// maxPipelined is the maximum number of requests of one connection that have been read and have no response yet. The
	// connection is not read beyond them.
	maxPipelined = 64
	// maxConns is the maximum number of connections of a listener, unless WithMaxConns sets another.
	maxConns = 20000
	// connectionBytes is what a connection counts in the account: its read buffer, its goroutine's stack and its records.
	connectionBytes = 12 << 10
	shutdownTimeout = time.Second
	// maxHeaderBytes is the maximum size of a request line and its headers.
	maxHeaderBytes = 64 << 10
	// readBufferSize is the size in bytes of a connection's read buffer. Most requests fit, and each idle connection
	// holds one such buffer.
	readBufferSize = 4 << 10
	// idleTimeout closes idle connections, unless the limits in force set another time.
	idleTimeout = 120 * time.Second
	// headTimeout limits the time from the first byte of a request to the end of its head, unless the limits in force set
	// another time.
	headTimeout = 30 * time.Second
	// minRate is the rate in bytes per second at which a request must arrive. One that is maxLag behind is refused; one that
	// is less behind gives way to others that need its place or its memory.
	minRate = 16 << 10
	maxLag  = 30 * time.Second
	// extendInterval is the least time between two extensions of a read deadline.
	extendInterval = time.Second
	// writeTimeout bounds the write of writePiece bytes to a client that does not read. It is longer than clients wait for a
	// response.
	writeTimeout = 30 * time.Second
	writePiece   = 64 << 10
	// drainSettleTime is how long no request must have been in progress at the end of a drain. A client that received its
	// last response before that has had time to send the next request on the same connection, and to be told to close it.
	drainSettleTime   = 150 * time.Millisecond
	drainPollInterval = 5 * time.Millisecond
	// lingerTime is how long the server still reads from a connection that it has refused further requests on.
	// Closing it with unread bytes would discard the refusal on its way to the client.
	lingerTime = 500 * time.Millisecond
	// maxLingerBytes bounds what is read meanwhile.
	maxLingerBytes = 1 << 20
	// acceptRetryDelay is the delay after a failed accept, for example when the process is out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server is a set of listeners that share one count of requests in progress.
type Server struct {
	maxBody      int
	writeTimeout time.Duration
	account      *sequoiamemory.Account
	counters     counters
	// joinMu is held while a large body is copied from its pieces; see joinPieces.
	joinMu sync.Mutex
	// refusal is the response that ends an idle connection in a drain, nil to end it without one.
	refusal    []byte
	inProgress atomic.Int64
	openConns  sync.WaitGroup
	// draining is true once Drain has been called.
	draining atomic.Bool

	mu        sync.Mutex
	closed    bool
	listeners []*net.TCPListener
	conns     map[*serverConn]struct{}
}

// Option changes a setting of a Server.
type Option func(*Server)

// WithRefusal makes Drain end idle connections with a response that says that the request was not run, with status 408
// and the header. A client that has sent a request meanwhile takes it for the response, and the request was not run; one
// that has not takes the connection for closed (RFC 9110, section 15.5.9).
func WithRefusal(h http.Header) Option {
	response := encodeRefusal(http.StatusRequestTimeout, h)
	return func(s *Server) { s.refusal = response }
}

// WithWriteTimeout sets how long a client may take no bytes of a response before its connection is closed, in place of 30 s.
func WithWriteTimeout(d time.Duration) Option {
	return func(s *Server) { s.writeTimeout = d }
}

// WithServerAccount sets the account in which the server reserves memory, in place of one of the default size.
func WithServerAccount(a *sequoiamemory.Account) Option {
	return func(s *Server) { s.account = a }
}

// New returns a Server that rejects request bodies above maxBody bytes.
func New(maxBody int, opts ...Option) *Server {
	s := &Server{maxBody: maxBody, writeTimeout: writeTimeout, conns: map[*serverConn]struct{}{}}
	for _, o := range opts {
		o(s)
	}
	if s.account == nil {
		s.account = sequoiamemory.New(sequoiamemory.AccountLimit(0))
	}
	return s
}

// AddInProgress adds n to the count of requests in progress, for requests that arrive by other means.
func (s *Server) AddInProgress(n int64) { s.inProgress.Add(n) }

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// Drain prepares Close: it stops accepting connections, tells clients to close theirs, waits until no request has been in
// progress for drainSettleTime, and refuses further requests on the connections that are left, if WithRefusal is set. It
// returns after limit at the latest. Without it, Close cuts off requests that have just arrived.
func (s *Server) Drain(limit time.Duration) {
	s.draining.Store(true)
	s.stopAccepting()
	end, quietSince := time.Now().Add(limit), time.Now()
	for now := time.Now(); now.Before(end) && now.Sub(quietSince) < drainSettleTime; now = time.Now() {
		if s.InProgress() > 0 {
			quietSince = now
		}
		time.Sleep(drainPollInterval)
	}
	if s.refusal == nil {
		return
	}
	for time.Now().Before(end) && s.refuseRequests() {
		time.Sleep(drainPollInterval)
	}
}

// refuseRequests ends the idle connections. It reports whether connections are left.
func (s *Server) refuseRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.refuseRequests(s.refusal)
	}
	return len(s.conns) > 0
}

// stopAccepting makes the goroutines that accept connections close their listeners.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ln := range s.listeners {
		_ = ln.SetDeadline(time.Now())
	}
}

// Close stops all listeners, closes the connections and waits up to shutdownTimeout for their handlers to return.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	sequoiatimer.WaitWithTimeout(&s.openConns, shutdownTimeout)
}

// limitLibraryLog suppresses nbio's log lines below the error level, since the log of the process contains only JSON
// lines.
var limitLibraryLog = sync.OnceFunc(func() { logging.SetLevel(logging.LevelError) })

// listenConfig is the configuration of one listener.
type listenConfig struct {
	handler  http.Handler
	maxBody  int
	maxConns int
	account  *sequoiamemory.Account
	slots    *slots
	// The following functions may be nil.
	repeatable    func(r *http.Request) bool
	closing       func() bool
	refusalHeader func(status int, h http.Header)
	limits        func() Limits
}

func (s *Server) newListenConfig(h http.Handler, opts ...ListenOption) *listenConfig {
	cfg := &listenConfig{handler: h, maxBody: s.maxBody, maxConns: maxConns, account: s.account}
	for _, o := range opts {
		o(cfg)
	}
	cfg.slots = newSlots(min(cfg.maxConns, connectionsWithin(cfg.account)))
	return cfg
}

// Limits are bounds on requests. Zero values set no limit beyond those of the listener.
type Limits struct {
	// MaxHead and MaxBody are sizes in bytes.
	MaxHead, MaxBody int
	// HeadTimeout is the time from the first byte of a request to the end of its head, IdleTimeout that between two requests.
	HeadTimeout, IdleTimeout time.Duration
}

// WithLimits sets a function that returns the limits in force. It is called at the beginning of a request, when its head is
// complete, and while a connection is idle.
func WithLimits(f func() Limits) ListenOption {
	return func(c *listenConfig) { c.limits = f }
}

// WithAccount makes a listener reserve memory in an account of its own instead of the server's.
func WithAccount(a *sequoiamemory.Account) ListenOption {
	return func(c *listenConfig) { c.account = a }
}

// WithMaxConns sets the maximum number of connections of a listener. When it is reached, a new one takes the place of
// another; see slots.
func WithMaxConns(n int) ListenOption {
	return func(c *listenConfig) { c.maxConns = n }
}

// ListenOption changes a setting of a listener.
type ListenOption func(*listenConfig)

// WithMaxBody limits the request bodies of a listener, in bytes, in place of the server's limit.
func WithMaxBody(n int) ListenOption {
	return func(c *listenConfig) { c.maxBody = n }
}

// WithRepeatable makes a listener run the requests of a connection concurrently if repeatable returns true for them. It
// returns true for a request that may be run more than once.
func WithRepeatable(repeatable func(r *http.Request) bool) ListenOption {
	return func(c *listenConfig) { c.repeatable = repeatable }
}

// WithClosing makes a listener close connections after the last response while closing returns true.
func WithClosing(closing func() bool) ListenOption {
	return func(c *listenConfig) { c.closing = closing }
}

// WithRefusalHeader sets a function that adds the header of responses to requests that the front refuses. Such a request
// was not run.
func WithRefusalHeader(f func(status int, h http.Header)) ListenOption {
	return func(c *listenConfig) { c.refusalHeader = f }
}

// Listen serves h on addr and returns the bound address.
func (s *Server) Listen(addr netip.AddrPort, h http.Handler, opts ...ListenOption) (netip.AddrPort, error) {
	cfg := s.newListenConfig(h, opts...)
	limitLibraryLog()
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "listen on %s", addr)
	}
	bound, err := netip.ParseAddrPort(ln.Addr().String())
	if err != nil {
		_ = ln.Close()
		return netip.AddrPort{}, err
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	go s.accept(ln, cfg)
	return bound, nil
}

// accept accepts connections until the listener is closed, or until stopAccepting and no established connection is left.
// Those would be reset with the requests that have been sent on them.
func (s *Server) accept(ln *net.TCPListener, cfg *listenConfig) {
	stopping := false
	for !stopping || hasPendingConnection(ln) {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			s.startConn(conn, cfg)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			stopping = true
			_ = ln.SetDeadline(time.Time{})
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
	_ = ln.Close()
}

func (s *Server) startConn(conn net.Conn, cfg *listenConfig) {
	c := newServerConn(s, conn, cfg)
	if !s.register(c) {
		s.counters.closed(closedNoRoom)
		_ = conn.Close()
		return
	}
	go c.serve()
}

// register adds a connection. It returns false if the server is closed or the listener has no room for the connection.
func (s *Server) register(c *serverConn) bool {
	acquired := c.listener.slots.acquire(c, func() (ok bool) {
		c.holding, ok = c.listener.account.Reserve(sequoiamemory.Connection, connectionBytes)
		return ok
	})
	if !acquired {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.listener.slots.release(c)
		c.holding.Release()
		return false
	}
	s.conns[c] = struct{}{}
	s.openConns.Add(1)
	return true
}

// connectionsWithin returns how many connections find room in an account together with those that are being closed.
func connectionsWithin(a *sequoiamemory.Account) int {
	n := a.ConnectionLimit() / connectionBytes
	return int(n * closingFraction / (closingFraction + 1))
}

func (s *Server) unregister(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.holding.Release()
	c.listener.slots.release(c)
	s.openConns.Done()
}

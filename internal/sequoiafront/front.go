// Package sequoiafront is an HTTP/1.1 server based on nbhttp. It cancels a request when its connection is closed, and
// it writes responses with exactly the status and length that the handler set.
package sequoiafront

import (
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Limits of a server.
const (
	// maxPipelined is the maximum number of pipelined requests that wait on one connection.
	maxPipelined    = 64
	maxConns        = 20000
	shutdownTimeout = time.Second
	// maxHeaderBytes is the maximum size of a request line and its headers.
	maxHeaderBytes = 64 << 10
	// readBufferSize is the size in bytes of a connection's read buffer. Most requests fit, and each idle connection
	// holds one such buffer.
	readBufferSize = 4 << 10
	// idleTimeout closes idle connections. It is longer than the idle timeouts that operators configure, so that a
	// client does not send a request on a connection that is being closed.
	idleTimeout = 120 * time.Second
	// writeTimeout bounds a write to a client that does not read. It is longer than clients wait for a response.
	writeTimeout = 30 * time.Second
	// drainSettleTime is how long no request must have been in progress at the end of a drain. A client that received its
	// last response before that has had time to send the next request on the same connection, and to be told to close it.
	drainSettleTime   = 150 * time.Millisecond
	drainPollInterval = 5 * time.Millisecond
	// lingerTime is how long the server still reads from a connection that it has refused further requests on.
	// Closing it with unread bytes would discard the refusal on its way to the client.
	lingerTime = 500 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept, for example when the process is out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server is a set of listeners that share one count of requests in progress.
type Server struct {
	maxBody int
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
	var b bytes.Buffer
	b.WriteString(statusLine(http.StatusRequestTimeout))
	_ = h.Write(&b) // A Buffer never returns an error.
	b.WriteString("Connection: close\r\nContent-Length: 0\r\n\r\n")
	return func(s *Server) { s.refusal = b.Bytes() }
}

// New returns a Server that rejects request bodies above maxBody bytes.
func New(maxBody int, opts ...Option) *Server {
	s := &Server{maxBody: maxBody, conns: map[*serverConn]struct{}{}}
	for _, o := range opts {
		o(s)
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
	maxBody int
}

// ListenOption changes a setting of a listener.
type ListenOption func(*listenConfig)

// WithMaxBody limits the request bodies of a listener, in bytes, in place of the server's limit.
func WithMaxBody(n int) ListenOption {
	return func(c *listenConfig) { c.maxBody = n }
}

// Listen serves h on addr and returns the bound address.
func (s *Server) Listen(addr netip.AddrPort, h http.Handler, opts ...ListenOption) (netip.AddrPort, error) {
	cfg := listenConfig{maxBody: s.maxBody}
	for _, o := range opts {
		o(&cfg)
	}
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
	// The engine is never started. Its event loops look up connections by file descriptor, so an event for a connection
	// that a handler has closed can close a new connection with the same descriptor. Its blocking mode continues after
	// a parse error. Therefore the server reads each connection itself and uses nbhttp only to parse and respond.
	e := nbhttp.NewEngine(nbhttp.Config{
		Handler: h, OnRequest: setRequestContext, ReadLimit: cfg.maxBody + maxHeaderBytes, MaxHTTPBodySize: cfg.maxBody,
		KeepaliveTime: idleTimeout, SupportServerOnly: true, ServerExecutor: func(job func()) { go job() },
	})
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	go s.accept(ln, e)
	return bound, nil
}

// accept accepts connections until the listener is closed, or until stopAccepting and no established connection is left.
// Those would be reset with the requests that have been sent on them.
func (s *Server) accept(ln *net.TCPListener, e *nbhttp.Engine) {
	stopping := false
	for !stopping || hasPendingConnection(ln) {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			s.startConn(conn, e)
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

func (s *Server) startConn(conn net.Conn, e *nbhttp.Engine) {
	c := newServerConn(s, conn, e)
	if !s.register(c) {
		_ = conn.Close()
		return
	}
	go c.serve()
}

// register adds a connection. It returns false if the server is closed or already has maxConns connections.
func (s *Server) register(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConns {
		return false
	}
	s.conns[c] = struct{}{}
	s.openConns.Add(1)
	return true
}

func (s *Server) unregister(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.openConns.Done()
}

// Package sequoiafront serves HTTP/1.1 with nbhttp. It cancels a request when its connection is closed, and it writes
// responses whose status and length are the handler's.
package sequoiafront

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Limits of the front.
const (
	// maxPipelined bounds the requests that one connection may have outstanding.
	maxPipelined = 64
	maxConns     = 20000
	shutdownTime = time.Second
	// maxHead bounds what a request may have besides its body, in bytes.
	maxHead = 64 << 10
	// readBuffer is the size of a connection's buffer, 4 KB: most requests fit, and each idle connection holds one.
	readBuffer = 4 << 10
	// keepalive is how long a connection may be idle, 120 s: longer than the idle timeouts that operators configure,
	// so that a client does not send a request on a connection that is being closed.
	keepalive = 120 * time.Second
	// writeTimeout bounds a write to a client that does not read, 30 s: longer than clients wait for a response.
	writeTimeout = 30 * time.Second
	// acceptPause is the pause after a failed accept, 20 ms: the process may have no descriptors left.
	acceptPause = 20 * time.Millisecond
)

// Front is a set of listeners that share the count of requests in progress.
type Front struct {
	maxBody    int
	inProgress atomic.Int64
	serving    sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	listeners []net.Listener
	conns     map[*callerConn]struct{}
}

// New returns a Front that rejects bodies above maxBody bytes.
func New(maxBody int) *Front {
	return &Front{maxBody: maxBody, conns: map[*callerConn]struct{}{}}
}

// Add changes the count of requests in progress, for requests that come from elsewhere.
func (f *Front) Add(n int64) { f.inProgress.Add(n) }

// InProgress returns the number of requests in progress.
func (f *Front) InProgress() int { return int(f.inProgress.Load()) }

// Close stops all listeners, closes the connections and waits until their handlers return, for shutdownTime at most.
func (f *Front) Close() {
	f.mu.Lock()
	f.closed = true
	for _, ln := range f.listeners {
		_ = ln.Close()
	}
	for c := range f.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	sequoiatimer.WaitWithTimeout(&f.serving, shutdownTime)
}

// quietLibrary keeps nbio's own lines out of the process's log, which has JSON lines only.
var quietLibrary = sync.OnceFunc(func() { logging.SetLevel(logging.LevelError) })

// Listen serves h on addr and returns the bound address.
func (f *Front) Listen(addr netip.AddrPort, h http.Handler) (netip.AddrPort, error) {
	quietLibrary()
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "listen on %s", addr)
	}
	bound, err := netip.ParseAddrPort(ln.Addr().String())
	if err != nil {
		_ = ln.Close()
		return netip.AddrPort{}, err
	}
	// The engine is never started: its event loops look a connection up by its descriptor, so that an event of a
	// connection that a handler has closed ends a new one with the same descriptor. Its blocking mode goes on after
	// bytes that are no request. So the front reads each connection itself and leaves the rest to nbhttp.
	e := nbhttp.NewEngine(nbhttp.Config{
		Handler: h, OnRequest: prepare, ReadLimit: f.maxBody + maxHead, MaxHTTPBodySize: f.maxBody, KeepaliveTime: keepalive,
		SupportServerOnly: true, ServerExecutor: func(job func()) { go job() },
	})
	f.mu.Lock()
	f.listeners = append(f.listeners, ln)
	f.mu.Unlock()
	go f.accept(ln, e)
	return bound, nil
}

func (f *Front) accept(ln net.Listener, e *nbhttp.Engine) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c := newCallerConn(f, conn, e)
		if !f.register(c) {
			_ = conn.Close()
			continue
		}
		go c.read()
	}
}

// register returns false if the front is closed or full.
func (f *Front) register(c *callerConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.conns) >= maxConns {
		return false
	}
	f.conns[c] = struct{}{}
	f.serving.Add(1)
	return true
}

func (f *Front) unregister(c *callerConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	f.serving.Done()
}

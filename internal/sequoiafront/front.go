// Package sequoiafront serves HTTP/1.1 with nbhttp. It cancels a request when its connection is closed, and it writes
// responses whose status and length are the handler's.
package sequoiafront

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapoller"
)

// Limits of the front.
const (
	// maxPipelined bounds the requests that one connection may have outstanding.
	maxPipelined  = 64
	maxConns      = 20000
	maxWriteQueue = 32 << 20 // bytes
	shutdownTime  = time.Second
	// maxHead bounds what a request may have besides its body, in bytes.
	maxHead = 64 << 10
	// keepalive is how long a connection may be idle, 120 s: longer than the idle timeouts that operators configure,
	// so that a client does not send a request on a connection that is being closed.
	keepalive = 120 * time.Second
)

// Front is a set of listeners that share the count of requests in progress.
type Front struct {
	maxBody    int
	conns      sync.Map // *nbhttp.Parser to *callerConn
	inProgress atomic.Int64

	mu      sync.Mutex
	engines []*nbhttp.Engine
}

// New returns a Front that rejects bodies above maxBody bytes.
func New(maxBody int) *Front {
	return &Front{maxBody: maxBody}
}

// Add changes the count of requests in progress, for requests that come from elsewhere.
func (f *Front) Add(n int64) { f.inProgress.Add(n) }

// InProgress returns the number of requests in progress.
func (f *Front) InProgress() int { return int(f.inProgress.Load()) }

// Close stops all listeners, within shutdownTime.
func (f *Front) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	var all sync.WaitGroup
	for _, e := range f.engines {
		all.Go(func() { _ = e.Shutdown(ctx) })
	}
	all.Wait()
	f.engines = nil
}

// quietLibrary keeps nbio's own lines about starts and stops out of the process's log, which has JSON lines only.
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
		return netip.AddrPort{}, err
	}
	e := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{bound.String()}, Handler: h, OnRequest: f.prepare, MaxLoad: maxConns,
		ReadLimit: f.maxBody + maxHead, MaxHTTPBodySize: f.maxBody, MaxWriteBufferSize: maxWriteQueue,
		KeepaliveTime: keepalive, IOMod: nbhttp.IOModNonBlocking, SupportServerOnly: true,
		Listen: func(string, string) (net.Listener, error) { return ln, nil },
	})
	loops := sequoiapoller.New(e.Engine, func(c *nbio.Conn, b []byte) { c.DataHandler()(c, b) })
	if err := e.Start(); err != nil {
		_ = ln.Close()
		return netip.AddrPort{}, errors.Wrapf(err, "listen on %s", addr)
	}
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	if err := loops.AwaitStart(); err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "listen on %s", addr)
	}
	return bound, nil
}

// callerConn runs the requests of one connection in order. nbhttp would run the close callback of a connection only
// after its running handler, so a disconnection would not cancel a request; with an executor of its own it does.
type callerConn struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	jobs    []func()
	running bool
}

// prepare is called by nbhttp before a request is queued. It gives the request the connection's context.
func (f *Front) prepare(w http.ResponseWriter, r *http.Request) {
	parser := w.(*nbhttp.Response).Parser
	v, ok := f.conns.Load(parser)
	if !ok {
		c := &callerConn{}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		f.conns.Store(parser, c)
		parser.Execute = func(job func()) bool {
			f.inProgress.Add(1)
			if c.execute(parser.Conn, func() {
				defer f.inProgress.Add(-1)
				job()
			}) {
				return true
			}
			f.inProgress.Add(-1)
			return false
		}
		parser.OnClose(func(parser *nbhttp.Parser, _ error) {
			c.cancel()
			f.conns.Delete(parser)
		})
		v = c
	}
	*r = *r.WithContext(v.(*callerConn).ctx)
}

func (c *callerConn) execute(conn net.Conn, job func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.jobs) >= maxPipelined {
		_ = conn.Close()
		return false
	}
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
			c.mu.Unlock()
			return
		}
		job := c.jobs[0]
		c.jobs = c.jobs[1:]
		c.mu.Unlock()
		job()
	}
}

package sequoiaproxy

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapoller"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Headers of this system.
const (
	headerPrefix      = "sequoia-"
	headerKey         = "Sequoia-Key"
	headerRequestID   = "Sequoia-Request-Id"
	headerFirstEpoch  = "Sequoia-First-Epoch"
	headerFirst       = "Sequoia-First-Attempt"
	headerRepeatable  = "Sequoia-Repeatable"
	headerTimeout     = "Sequoia-Timeout-Milliseconds"
	headerOutcome     = "Sequoia-Outcome"
	headerEpoch       = "Sequoia-Epoch"
	headerOwner       = "Sequoia-Owner"
	headerReason      = "Sequoia-Reason"
	headerLogIndex    = "Sequoia-Log-Index"
	headerIncarnation = "Sequoia-Incarnation"
	headerDeadline    = "Sequoia-Deadline"
	headerRefused     = "Sequoia-Refused"
)

// Limits of the front.
const (
	// maxPipelined bounds the requests that one connection may have outstanding.
	maxPipelined  = 64
	maxConns      = 20000
	maxWriteQueue = 32 << 20 // bytes
	maxKeyLength  = 1024     // bytes, of keys and request identifiers
	shutdownTime  = time.Second
	// maxHead bounds what a request may have besides its body, in bytes.
	maxHead = 64 << 10
)

// fronts are the running listeners.
type fronts struct {
	mu      sync.Mutex
	engines []*nbhttp.Engine
}

func (f *fronts) add(e *nbhttp.Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines = append(f.engines, e)
}

func (f *fronts) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
		_ = e.Shutdown(ctx)
		cancel()
	}
	f.engines = nil
}

// ListenCallers starts the front for callers and returns its address.
func (p *Proxy) ListenCallers(addr netip.AddrPort) (netip.AddrPort, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/stamp", p.serveStamp)
	mux.HandleFunc("GET /v1/table", p.serveTable)
	// The mux would redirect paths that it considers unclean, so services are matched before it.
	return p.listen(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, servicePrefix) {
			p.serveRequest(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// ListenUpstream starts the listener for the local upstream's announcements and returns its address.
func (p *Proxy) ListenUpstream(addr netip.AddrPort) (netip.AddrPort, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", p.serveAnnounce)
	return p.listen(addr, mux)
}

// quietLibrary keeps nbio's own lines about starts and stops out of the process's log, which has JSON lines only.
var quietLibrary = sync.OnceFunc(func() { logging.SetLevel(logging.LevelError) })

func (p *Proxy) listen(addr netip.AddrPort, h http.Handler) (netip.AddrPort, error) {
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
		Network: "tcp", Addrs: []string{bound.String()}, Handler: h, OnRequest: p.prepare, MaxLoad: maxConns,
		ReadLimit: p.maxBody + maxHead, MaxHTTPBodySize: p.maxBody, MaxWriteBufferSize: maxWriteQueue,
		IOMod: nbhttp.IOModNonBlocking, SupportServerOnly: true,
		Listen: func(string, string) (net.Listener, error) { return ln, nil },
	})
	loops := sequoiapoller.New(e.Engine, func(c *nbio.Conn, b []byte) { c.DataHandler()(c, b) })
	if err := e.Start(); err != nil {
		_ = ln.Close()
		return netip.AddrPort{}, errors.Wrapf(err, "listen on %s", addr)
	}
	p.fronts.add(e)
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
func (p *Proxy) prepare(w http.ResponseWriter, r *http.Request) {
	parser := w.(*nbhttp.Response).Parser
	v, ok := p.conns.Load(parser)
	if !ok {
		c := &callerConn{}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		p.conns.Store(parser, c)
		parser.Execute = func(job func()) bool {
			p.inProgress.Add(1)
			if c.execute(parser.Conn, func() {
				defer p.inProgress.Add(-1)
				job()
			}) {
				return true
			}
			p.inProgress.Add(-1)
			return false
		}
		parser.OnClose(func(parser *nbhttp.Parser, _ error) {
			c.cancel()
			p.conns.Delete(parser)
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

const servicePrefix = "/s/"

func (p *Proxy) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, err := p.parseRequest(r)
	if err != nil {
		p.metrics.badRequests.Inc()
		writeResponse(w, r, &sequoiarouter.Response{
			Outcome: sequoiarouter.NotRun, Reason: sequoiarouter.ReasonBadRequest, Body: []byte(err.Error() + "\n"),
		})
		return
	}
	resp := p.Do(r.Context(), req)
	if r.Context().Err() != nil {
		return
	}
	if req.RequestID != "" && req.FirstEpoch != 0 {
		w.Header().Set(headerFirstEpoch, strconv.FormatUint(uint64(req.FirstEpoch), 10))
	}
	writeResponse(w, r, resp)
}

// parseRequest reads a caller's request whole, because nbhttp reuses its memory after the handler.
func (p *Proxy) parseRequest(r *http.Request) (*sequoiarouter.Request, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.RequestURI, servicePrefix), "/")
	if service == "" || strings.ContainsAny(service, "?#%") {
		return nil, errors.Errorf("path %q: want /s/<service>/<path>", r.RequestURI)
	}
	req := &sequoiarouter.Request{
		Service: service, Path: "/" + path, Method: r.Method, Header: r.Header,
		Key: r.Header.Get(headerKey), RequestID: r.Header.Get(headerRequestID),
	}
	if len(req.Key) > maxKeyLength || len(req.RequestID) > maxKeyLength {
		return nil, errors.Errorf("%s and %s: want at most %d bytes", headerKey, headerRequestID, maxKeyLength)
	}
	if r.Method == http.MethodConnect {
		return nil, errors.New("method CONNECT cannot be forwarded")
	}
	if err := p.parseOptions(req, r.Header); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read the body")
	}
	if limit := p.router.Limits(req.Service).MaximumBodyBytes; limit > 0 && int64(len(body)) > limit {
		return nil, errors.Errorf("the body has %d bytes; allowed: %d", len(body), limit)
	}
	req.Body = body
	return req, nil
}

func (p *Proxy) parseOptions(req *sequoiarouter.Request, h http.Header) error {
	if v := h.Get(headerFirstEpoch); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return errors.Errorf("%s %q: want an unsigned number", headerFirstEpoch, v)
		}
		req.FirstEpoch = sequoiatable.Epoch(n)
	}
	var err error
	if req.Repeatable, err = parseFlag(h, headerRepeatable); err != nil {
		return err
	}
	if req.FirstAttempt, err = parseFlag(h, headerFirst); err != nil {
		return err
	}
	limits := p.router.Limits(req.Service)
	timeout := cmp.Or(limits.Timeout, p.timeout)
	if v := h.Get(headerTimeout); v != "" {
		n, err := strconv.ParseUint(v, 10, 31)
		if err != nil || n == 0 {
			return errors.Errorf("%s %q: want a positive number", headerTimeout, v)
		}
		timeout = time.Duration(n) * time.Millisecond
	}
	req.Deadline = time.Now().Add(min(timeout, p.maxTimeout))
	return nil
}

// parseFlag returns false for a header that is not set.
func parseFlag(h http.Header, name string) (bool, error) {
	switch v := h.Get(name); v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, errors.Errorf("%s %q: want true or false", name, v)
	}
}

// writeResponse writes the end of a request to the caller.
func writeResponse(w http.ResponseWriter, r *http.Request, resp *sequoiarouter.Response) {
	h := w.Header()
	for k, vs := range resp.Header {
		h[k] = vs
	}
	h.Set(headerOutcome, resp.Outcome.String())
	h.Set(headerEpoch, strconv.FormatUint(uint64(resp.Epoch), 10))
	h.Set(headerLogIndex, strconv.FormatUint(resp.LogIndex, 10))
	if resp.Owner != 0 {
		h.Set(headerOwner, resp.Owner.String())
	}
	if resp.Reason != "" {
		h.Set(headerReason, resp.Reason)
	}
	status, body := resp.Status, resp.Body
	if resp.Outcome != sequoiarouter.Answered {
		status = failureStatus(resp)
		if len(body) == 0 {
			body = []byte(resp.Outcome.String() + " " + resp.Reason + "\n")
		}
	}
	writeBody(w, r, status, body)
}

// failureStatus separates faults of the request itself from those that another attempt may not meet.
func failureStatus(resp *sequoiarouter.Response) int {
	if resp.Outcome == sequoiarouter.Unknown {
		return http.StatusGatewayTimeout
	}
	if resp.Reason == sequoiarouter.ReasonBadRequest {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func writeBody(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	// Without a length nbhttp would add chunks, even to the response to HEAD, which has no body.
	if r.Method != http.MethodHead || w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if http.StatusText(status) == "" {
		writeRaw(w, r, status, body)
		return
	}
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

// writeRaw writes a response with a status that has no standard text, which nbhttp would turn into 200.
func writeRaw(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	header := w.Header()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " \r\n")
	if r.Close {
		header.Set("Connection", "close")
	}
	_ = header.Write(&b)
	b.WriteString("\r\n")
	if r.Method != http.MethodHead {
		b.Write(body)
	}
	_, _ = conn.Write([]byte(b.String()))
	if r.Close {
		_ = conn.Close()
	}
}

// Package sequoiahttp sends HTTP/1.1 requests on pooled connections and reports, when a request fails, whether any byte
// of it was sent.
//
// nbhttp's client does not report that, and it aborts a request only after a timeout that is set in advance. net/http's
// Transport automatically retries a GET when a reused connection fails, which could run a request twice. Therefore this
// package manages its own connections and uses only net/http's message encoding.
package sequoiahttp

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Defaults of a Client.
const (
	defaultMaxIdle          = 64
	defaultMaxResponseBytes = 8 << 20 // bytes
	defaultDialTimeout      = time.Second
	// maxIdleTime is shorter than the usual idle timeouts of servers (5 s and more), so that a server rarely closes a
	// connection while a request is being sent.
	maxIdleTime = 4 * time.Second
	// maxUnmatched is the number of late responses to earlier requests that are discarded before the connection is
	// closed.
	maxUnmatched = 2
	// minSilence is how long a request must have waited without receiving a byte for its connection to be considered
	// dead when the deadline passes. After a shorter wait, the deadline may simply have been too short.
	minSilence = 500 * time.Millisecond
	// readBufferSize is large enough for the status line and header of a typical response, in bytes.
	readBufferSize = 4096
)

// Errors of an exchange.
var (
	// ErrResponseTooLarge reports a response body above the limit.
	ErrResponseTooLarge = errors.New("the response is larger than the limit")
	// ErrNotDelimited reports a response with neither a Content-Length nor chunked encoding. Its end cannot be
	// distinguished from a broken connection.
	ErrNotDelimited = errors.New("the response has neither a Content-Length nor chunked encoding")
	// ErrUnmatchedResponse reports responses that do not belong to the current request.
	ErrUnmatchedResponse = errors.New("the response belongs to another request")
	// ErrProtocolSwitch reports that the server switched protocols without being asked to.
	ErrProtocolSwitch = errors.New("the server switched protocols")
)

// Error describes a failed exchange.
type Error struct {
	// Sent is true if a byte of the request may have left this process.
	Sent bool
	Err  error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err proves that no byte of the request was sent.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Request is an HTTP request.
type Request struct {
	Method string
	// Path includes the query.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Matches, if set, reports whether a response with this header belongs to the request. Any other response is a late
	// response to an earlier request and is read and discarded.
	Matches func(h http.Header) bool
	// MaxIdle, if positive, is the maximum idle time of a reused connection.
	MaxIdle time.Duration
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends requests and pools idle connections. Use New to create one.
type Client struct {
	maxResponseBytes int64
	dialTimeout      time.Duration
	dialer           net.Dialer
	// allowUntilClose accepts responses that are delimited by the close of the connection.
	allowUntilClose bool
	// reuseCancelled is set only by tests.
	reuseCancelled bool

	mu        sync.Mutex
	maxIdle   int
	idle      map[netip.AddrPort][]*conn
	lastSweep time.Time
	closed    bool
}

// Option changes a setting of a Client.
type Option func(*Client)

// WithMaxIdle limits the number of idle connections per address.
func WithMaxIdle(n int) Option {
	return func(c *Client) { c.maxIdle = n }
}

// WithMaxResponse limits the size of a response body, in bytes.
func WithMaxResponse(n int64) Option {
	return func(c *Client) { c.maxResponseBytes = n }
}

// WithDialTimeout limits the time to establish a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(c *Client) { c.dialTimeout = d }
}

// WithResponsesUntilClose accepts responses with neither a Content-Length nor chunked encoding, which end when the
// connection is closed. A connection reset is still an error, but a response truncated by an orderly close cannot be
// distinguished from a complete one.
func WithResponsesUntilClose() Option {
	return func(c *Client) { c.allowUntilClose = true }
}

// WithReuseOfCancelled disables a safeguard, so that a test can show that it detects the fault that the safeguard
// prevents: the connection of a cancelled request is reused, and the next request gets the late response. Only tests
// use it.
func WithReuseOfCancelled() Option {
	return func(c *Client) { c.reuseCancelled = true }
}

// New returns a Client.
func New(opts ...Option) *Client {
	c := &Client{
		maxIdle: defaultMaxIdle, maxResponseBytes: defaultMaxResponseBytes, dialTimeout: defaultDialTimeout,
		idle: map[netip.AddrPort][]*conn{},
	}
	// Keep-alive probes detect an unreachable host within about 3 s while waiting for a response. They do not detect a
	// stalled connection to a live host, nor one with unacknowledged request data; those fail at the deadline.
	c.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do sends the request and reads the whole response. Every error is an *Error. When ctx is done the connection is
// closed, which is how an HTTP/1.1 server detects a cancellation.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, req *Request) (*Response, error) {
	hr, err := encode(addr, req)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: err}
	}
	cn, err := c.get(ctx, addr, cmp.Or(req.MaxIdle, maxIdleTime))
	if err != nil {
		return nil, &Error{Err: err}
	}
	started := time.Now()
	stop := context.AfterFunc(ctx, func() { c.interrupt(cn) })
	resp, reusable, err := cn.exchange(hr, req.Matches, c.maxResponseBytes, c.allowUntilClose)
	if !stop() {
		reusable = false
	}
	if c.reuseCancelled && err != nil && ctx.Err() != nil {
		_ = cn.SetReadDeadline(time.Time{})
		c.put(addr, cn)
	} else if err != nil || !reusable {
		_ = cn.Close()
	} else {
		c.put(addr, cn)
	}
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		if errors.Is(err, context.DeadlineExceeded) && !cn.received && time.Since(started) >= minSilence {
			c.dropIdle(addr, started)
		}
		return nil, &Error{Sent: cn.sent, Err: err}
	}
	return resp, nil
}

// interrupt aborts an exchange in progress.
func (c *Client) interrupt(cn *conn) {
	if c.reuseCancelled {
		_ = cn.SetReadDeadline(time.Now())
		return
	}
	_ = cn.Close()
}

// SetMaxIdle sets the maximum number of idle connections per address.
func (c *Client) SetMaxIdle(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = n
}

// Close closes the idle connections. Connections in use are closed once their response has been read.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, cns := range c.idle {
		for _, cn := range cns {
			_ = cn.Close()
		}
		delete(c.idle, addr)
	}
}

func (c *Client) get(ctx context.Context, addr netip.AddrPort, maxIdle time.Duration) (*conn, error) {
	for {
		cn := c.pop(addr)
		if cn == nil {
			break
		}
		if time.Since(cn.idleSince) < min(maxIdle, maxIdleTime) && idleAndOpen(cn.Conn) {
			cn.sent, cn.received = false, false
			return cn, nil
		}
		_ = cn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	nc, err := c.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: nc}
	cn.r = bufio.NewReaderSize(cn, readBufferSize)
	return cn, nil
}

func (c *Client) pop(addr netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cns := c.idle[addr]
	if len(cns) == 0 {
		return nil
	}
	cn := cns[len(cns)-1]
	c.idle[addr] = cns[:len(cns)-1]
	return cn
}

func (c *Client) put(addr netip.AddrPort, cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[addr]) >= c.maxIdle {
		_ = cn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
	c.sweep(cn.idleSince)
}

// dropIdle closes the connections to addr that have been idle since before the given time. They may have failed for the
// same reason as a connection that stopped responding since then, and HTTP/1.1 has no way to check them.
func (c *Client) dropIdle(addr netip.AddrPort, before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[addr] = slices.DeleteFunc(c.idle[addr], func(cn *conn) bool {
		idleBefore := cn.idleSince.Before(before)
		if idleBefore {
			_ = cn.Close()
		}
		return idleBefore
	})
	if len(c.idle[addr]) == 0 {
		delete(c.idle, addr)
	}
}

// sweep closes connections that have been idle for too long, including those to addresses that are no longer used.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < maxIdleTime {
		return
	}
	c.lastSweep = now
	for addr, cns := range c.idle {
		n := 0
		for n < len(cns) && now.Sub(cns[n].idleSince) >= maxIdleTime {
			_ = cns[n].Close()
			n++
		}
		c.idle[addr] = cns[n:]
		if n == len(cns) {
			delete(c.idle, addr)
		}
	}
}

// conn is a connection that runs one exchange at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	idleSince time.Time
	// sent is true once a byte of the current request may have been sent, and received once a byte has arrived since.
	sent     bool
	received bool
}

// Read records whether any byte arrived.
func (cn *conn) Read(p []byte) (int, error) {
	n, err := cn.Conn.Read(p)
	if n > 0 {
		cn.received = true
	}
	return n, err
}

// Write records whether any byte was sent.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	if n > 0 {
		cn.sent = true
	}
	return n, err
}

// exchange sends a request and reads its response. It returns reusable only if the response was read completely, no
// bytes follow it and the server keeps the connection open.
func (cn *conn) exchange(
	req *http.Request, matches func(http.Header) bool, limit int64, untilClose bool,
) (resp *Response, reusable bool, err error) {
	if err := req.Write(cn); err != nil {
		return nil, false, err
	}
	for range maxUnmatched + 1 {
		resp, reusable, err = cn.readResponse(req, limit, untilClose)
		if err != nil || matches == nil || matches(resp.Header) {
			return resp, reusable, err
		}
		if !reusable && cn.r.Buffered() == 0 {
			break
		}
	}
	return nil, false, errors.WithStack(ErrUnmatchedResponse)
}

func (cn *conn) readResponse(req *http.Request, limit int64, untilClose bool) (*Response, bool, error) {
	hr, err := cn.readHead(req, untilClose)
	if err != nil {
		return nil, false, err
	}
	defer hr.Body.Close()
	body, err := io.ReadAll(io.LimitReader(hr.Body, limit+1))
	if err != nil {
		return nil, false, err
	}
	if int64(len(body)) > limit {
		return nil, false, errors.Wrapf(ErrResponseTooLarge, "limit %d bytes", limit)
	}
	reusable := !hr.Close && cn.r.Buffered() == 0
	return &Response{Status: hr.StatusCode, Header: hr.Header, Body: body}, reusable, nil
}

// readHead reads the status line and header of the final response, skipping informational responses.
func (cn *conn) readHead(req *http.Request, untilClose bool) (*http.Response, error) {
	for {
		hr, err := http.ReadResponse(cn.r, req)
		if err != nil {
			return nil, err
		}
		switch {
		case hr.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrProtocolSwitch
		case hr.StatusCode < http.StatusOK:
			continue
		case !untilClose && hr.ContentLength < 0 && len(hr.TransferEncoding) == 0 && req.Method != http.MethodHead:
			return nil, ErrNotDelimited
		}
		return hr, nil
	}
}

func encode(addr netip.AddrPort, req *Request) (*http.Request, error) {
	if !validMethod(req.Method) {
		return nil, errors.Errorf("method %q cannot be forwarded", req.Method)
	}
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, err
	}
	if u.Host != "" || u.Scheme != "" {
		return nil, errors.Errorf("path %q must not contain a scheme or host", req.Path)
	}
	u.Scheme, u.Host = "http", addr.String()
	hr := &http.Request{
		Method: req.Method, URL: u, Host: req.Host, Header: req.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(req.Body)),
	}
	if len(req.Body) > 0 {
		hr.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return hr, nil
}

// validMethod accepts names of upper-case letters and hyphens, except CONNECT, which would turn the connection into a
// tunnel.
func validMethod(m string) bool {
	if m == "" || m == http.MethodConnect {
		return false
	}
	for _, c := range []byte(m) {
		if (c < 'A' || c > 'Z') && c != '-' {
			return false
		}
	}
	return true
}

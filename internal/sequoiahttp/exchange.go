// Package sequoiahttp sends one HTTP/1.1 request on a pooled connection and says of a failure whether any byte of the
// request was sent.
//
// nbhttp's client cannot say that, and it ends a request only by a timeout that its caller sets in advance. net/http's
// Transport sends a GET again by itself when a reused connection fails, which could run a request twice. So this
// package uses net/http's encoding of messages on connections of its own.
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
	defaultMaxIdle     = 64
	defaultMaxResponse = 8 << 20 // bytes
	defaultDialTimeout = time.Second
	// maxIdleTime is shorter than the idle timeouts that servers commonly have (5 s and more), so that a server
	// rarely closes a connection while a request is on its way.
	maxIdleTime = 4 * time.Second
	// maxForeign bounds the late responses to earlier requests that are dropped before the connection is given up.
	maxForeign = 2
	// silentAfter is the wait without any byte of a response after which a connection whose request has reached its
	// deadline counts as silent. A shorter one says more about the deadline than about the connection.
	silentAfter = 500 * time.Millisecond
	// readBuffer holds the head of a usual response, in bytes.
	readBuffer = 4096
)

// Errors of an exchange.
var (
	// ErrResponseTooLarge reports a body above the limit.
	ErrResponseTooLarge = errors.New("the response is larger than the limit")
	// ErrNotDelimited reports a response with neither a length nor chunks, whose end cannot be told from a broken
	// connection.
	ErrNotDelimited = errors.New("the response has neither a length nor chunks")
	// ErrForeign reports responses that belong to no request in progress.
	ErrForeign = errors.New("the response belongs to another request")
	// ErrProtocol reports a switch of protocols, which was not asked for.
	ErrProtocol = errors.New("the server switched protocols")
)

// Error is a failed exchange.
type Error struct {
	// Sent is true if a byte of the request may have left this process.
	Sent bool
	Err  error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err proves that no byte of the request was sent.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Request is one request.
type Request struct {
	Method string
	// Path is the path with the query.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Matches, if set, reports whether a response with this header belongs to the request. One that does not is a late
	// response to an earlier request: it is read and dropped.
	Matches func(h http.Header) bool
	// MaxIdle, if positive, is the longest time for which a reused connection may have been idle.
	MaxIdle time.Duration
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client holds the idle connections. The zero value is not usable.
type Client struct {
	maxResponse int64
	dialTimeout time.Duration
	dialer      net.Dialer
	// untilClose accepts a response that ends with its connection.
	untilClose bool
	// reuseCancelled is set by tests only.
	reuseCancelled bool

	mu      sync.Mutex
	maxIdle int
	idle    map[netip.AddrPort][]*conn
	swept   time.Time
	closed  bool
}

// Option changes a setting of a Client.
type Option func(*Client)

// WithMaxIdle bounds the idle connections to each address.
func WithMaxIdle(n int) Option {
	return func(c *Client) { c.maxIdle = n }
}

// WithMaxResponse bounds the body of a response, in bytes.
func WithMaxResponse(n int64) Option {
	return func(c *Client) { c.maxResponse = n }
}

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(d time.Duration) Option {
	return func(c *Client) { c.dialTimeout = d }
}

// WithResponsesUntilClose accepts responses that have neither a length nor chunks and end with their connection. One
// whose connection is reset is still an error; one that the server cuts off in an orderly way cannot be told from a
// complete one.
func WithResponsesUntilClose() Option {
	return func(c *Client) { c.untilClose = true }
}

// WithReuseOfCancelled removes a safeguard, so that a test can show that it detects the fault which it prevents: the
// connection of a cancelled request is used again, and the next request gets the late response. The product never uses
// it.
func WithReuseOfCancelled() Option {
	return func(c *Client) { c.reuseCancelled = true }
}

// New returns a Client.
func New(opts ...Option) *Client {
	c := &Client{
		maxIdle: defaultMaxIdle, maxResponse: defaultMaxResponse, dialTimeout: defaultDialTimeout,
		idle: map[netip.AddrPort][]*conn{},
	}
	// Keep-alive probes find a lost host within about 3 s while a response is awaited. They do not find a silent
	// connection to a host that is alive, nor one that has not acknowledged the request; the deadline ends those.
	c.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do sends the request and reads the whole response. Every error is an *Error. The end of ctx closes the connection,
// which is how an HTTP/1.1 server learns of a cancellation.
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
	resp, reusable, err := cn.exchange(hr, req.Matches, c.maxResponse, c.untilClose)
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
		if errors.Is(err, context.DeadlineExceeded) && !cn.answered && time.Since(started) >= silentAfter {
			c.dropIdle(addr, started)
		}
		return nil, &Error{Sent: cn.written, Err: err}
	}
	return resp, nil
}

// interrupt ends an exchange in progress.
func (c *Client) interrupt(cn *conn) {
	if c.reuseCancelled {
		_ = cn.SetReadDeadline(time.Now())
		return
	}
	_ = cn.Close()
}

// SetMaxIdle changes the limit of idle connections to each address.
func (c *Client) SetMaxIdle(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = n
}

// Close closes the idle connections; connections in use are closed when their response has been read.
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
		if time.Since(cn.idleSince) < min(maxIdle, maxIdleTime) && quiet(cn.Conn) {
			cn.written, cn.answered = false, false
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
	cn.r = bufio.NewReaderSize(cn, readBuffer)
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

// dropIdle closes the connections to addr that have been idle since before the given moment. What made another
// connection silent since then may have made these silent too, and HTTP/1.1 has no way to ask.
func (c *Client) dropIdle(addr netip.AddrPort, before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[addr] = slices.DeleteFunc(c.idle[addr], func(cn *conn) bool {
		drop := cn.idleSince.Before(before)
		if drop {
			_ = cn.Close()
		}
		return drop
	})
	if len(c.idle[addr]) == 0 {
		delete(c.idle, addr)
	}
}

// sweep closes connections that are too old for use, among them those to addresses that are no longer called.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.swept) < maxIdleTime {
		return
	}
	c.swept = now
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
	// written is true once a write of the current request may have sent a byte, answered once a byte has arrived since.
	written  bool
	answered bool
}

// Read records whether any byte arrived.
func (cn *conn) Read(p []byte) (int, error) {
	n, err := cn.Conn.Read(p)
	if n > 0 {
		cn.answered = true
	}
	return n, err
}

// Write records whether any byte was sent.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	if n > 0 {
		cn.written = true
	}
	return n, err
}

// exchange returns reusable only if exactly one whole response has been read.
func (cn *conn) exchange(
	req *http.Request, matches func(http.Header) bool, limit int64, untilClose bool,
) (resp *Response, reusable bool, err error) {
	if err := req.Write(cn); err != nil {
		return nil, false, err
	}
	for range maxForeign + 1 {
		resp, reusable, err = cn.readResponse(req, limit, untilClose)
		if err != nil || matches == nil || matches(resp.Header) {
			return resp, reusable, err
		}
		if !reusable && cn.r.Buffered() == 0 {
			break
		}
	}
	return nil, false, errors.WithStack(ErrForeign)
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

// readHead reads the head of the final response.
func (cn *conn) readHead(req *http.Request, untilClose bool) (*http.Response, error) {
	for {
		hr, err := http.ReadResponse(cn.r, req)
		if err != nil {
			return nil, err
		}
		switch {
		case hr.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrProtocol
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
		return nil, errors.Errorf("path %q is not a path", req.Path)
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

// validMethod excludes CONNECT, which would turn the connection into a tunnel.
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

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
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Defaults of a Client.
const (
	defaultMaxIdle = 64
	// defaultMaxResponseBytes limits a response body.
	defaultMaxResponseBytes = 8 << 20
	// maxHeadBytes limits the status lines and headers of all responses that are read for one request, informational
	// ones included. A server in trouble may send any of them without end.
	maxHeadBytes = 64 << 10
	// maxBufferedBytes limits the response bodies that a Client reads at the same time; instances have 184 MB and more.
	maxBufferedBytes   = 32 << 20
	defaultDialTimeout = time.Second
	// maxIdleTime is shorter than the usual idle timeouts of servers (5 s and more), so that a server rarely closes a
	// connection while a request is being sent.
	maxIdleTime = 4 * time.Second
	// maxRefused is the number of refused requests after which a connection is closed.
	maxRefused = 64
	// maxInterim is the number of interim responses (1xx) that are read for one request.
	maxInterim = 16
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
	// ErrResponseTooLarge reports a response whose head or body is above its limit.
	ErrResponseTooLarge = errors.New("the response is larger than the limit")
	// ErrTooMuchBuffered reports a response that was not read because too many others are being read.
	ErrTooMuchBuffered = errors.New("too many bytes of responses are being read")
	// ErrNotDelimited reports a response with neither a Content-Length nor chunked encoding. Its end cannot be
	// distinguished from a broken connection.
	ErrNotDelimited = errors.New("the response has neither a Content-Length nor chunked encoding")
	// ErrUnmatchedResponse reports responses that do not belong to the current request.
	ErrUnmatchedResponse = errors.New("the response belongs to another request")
	// ErrMalformedResponse reports a response that HTTP/1.1 does not allow, such as one with a status outside 100 to 599.
	ErrMalformedResponse = errors.New("the response is malformed")
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
	// ID identifies the request in its response; it is empty if responses name no requests.
	ID string
	// Refusal, if set, reports whether a response says that the request was not run. A faulty server may write such a
	// response once more where the next one is due, so its connection is not used for a request with the same ID again,
	// and not at all if the request has no ID.
	Refusal func(status int, h http.Header) bool
	// OwnConnection makes the request use a connection that carries nothing else. Use it if a response names no request
	// and must not be mistaken for an earlier one that the server writes again.
	OwnConnection bool
	// OnConnected, if set, is called once the request has a connection, before a byte of it is sent.
	OnConnected func()
	// MaxIdle, if positive, is the maximum idle time of a reused connection.
	MaxIdle time.Duration
	// Reserve, if set, reserves memory for a header of many lines, and for n more bytes of the response's body before they are
	// read, and may wait for it
	// until ctx is done. It returns false if there is none; the request then fails with ErrTooMuchBuffered. A negative n
	// returns memory: Do returns all that it has reserved if it fails. After a response the caller owns what is reserved.
	Reserve func(ctx context.Context, n int64) bool
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// reserved is the number of bytes reserved for the body by Request.Reserve.
	reserved int64
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
	// maxBuffered limits buffered, the bytes that are reserved for bodies being read.
	maxBuffered int64
	buffered    atomic.Int64
	// joinMu is held while the pieces of a large body are joined: the copy is not reserved, so there is one at a time.
	joinMu sync.Mutex

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

// WithMaxBuffered limits the response bodies that are read at the same time, in bytes.
func WithMaxBuffered(n int64) Option {
	return func(c *Client) { c.maxBuffered = n }
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
		maxBuffered: maxBufferedBytes, idle: map[netip.AddrPort][]*conn{},
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
	cn, err := c.get(ctx, addr, req)
	if err != nil {
		return nil, &Error{Err: err}
	}
	started := time.Now()
	if req.OnConnected != nil {
		req.OnConnected()
	}
	stop := context.AfterFunc(ctx, func() { c.interrupt(cn) })
	resp, reusable, err := c.exchange(ctx, cn, hr, req)
	if !stop() || req.OwnConnection {
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

func (c *Client) get(ctx context.Context, addr netip.AddrPort, req *Request) (*conn, error) {
	maxIdle := min(cmp.Or(req.MaxIdle, maxIdleTime), maxIdleTime)
	for !req.OwnConnection {
		cn := c.pop(addr, req.ID, maxIdle)
		if cn == nil {
			break
		}
		if idleAndOpen(cn.Conn) {
			cn.sent, cn.received = false, false
			return cn, nil
		}
		_ = cn.Close()
	}
	return c.dial(ctx, addr)
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
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

// Connect opens a connection and keeps it for a later request. It returns the error if the server does not accept it.
func (c *Client) Connect(ctx context.Context, addr netip.AddrPort) error {
	cn, err := c.dial(ctx, addr)
	if err != nil {
		return err
	}
	c.put(addr, cn)
	return nil
}

// pop removes the connection from the pool that was used last among those that may carry a request with the ID. It leaves
// those that have been idle for longer than maxIdle to requests that may use them.
func (c *Client) pop(addr netip.AddrPort, id string, maxIdle time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cns, hash := c.idle[addr], hashID(id)
	for i, cn := range slices.Backward(cns) {
		if time.Since(cn.idleSince) >= maxIdle {
			return nil
		}
		if id == "" || !slices.Contains(cn.refused, hash) {
			c.idle[addr] = slices.Delete(cns, i, i+1)
			return cn
		}
	}
	return nil
}

func (c *Client) put(addr netip.AddrPort, cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.maxIdle <= 0 {
		_ = cn.Close()
		return
	}
	cns := c.idle[addr]
	for len(cns) >= c.maxIdle {
		_ = cns[0].Close()
		cns = slices.Delete(cns, 0, 1)
	}
	c.idle[addr] = append(cns, cn)
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

// Package sequoiastore is the client of the platform's key-value store: it appends to the log, reads it, waits for new
// entries, and reads and writes checkpoints, contacts and the leases of the baseline. All calls are safe for concurrent
// use. Times are on the monotonic clock.
package sequoiastore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Defaults of a client.
const (
	// DefaultCallTimeout bounds one call, so that a connection that went silent is given up. The store usually answers
	// within milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// DefaultTrimPause separates the deletions of a trim: 100 a second leave the store's write limit of several hundred
	// a second to others.
	DefaultTrimPause = 10 * time.Millisecond
)

// Limits of a response, in bytes. A range response holds 4 MB of values in base64.
const (
	maxValueBytes = 1_000_000
	maxRangeBytes = 8 << 20
)

// Errors of a client's calls.
var (
	ErrUnavailable  = errors.New("the store did not answer")
	ErrRejected     = errors.New("the store rejected the call")
	ErrBadValue     = errors.New("the store holds a bad value")
	ErrNoCheckpoint = errors.New("the store holds no checkpoint")
	ErrTrimmed      = errors.New("the log entry is trimmed")
	ErrConflict     = errors.New("another writer changed the value")
	ErrLeaseLost    = errors.New("the store lease has ended")
)

// BadValueError names the key whose value cannot be used. It matches ErrBadValue and its cause.
type BadValueError struct {
	Key   string
	Cause error
}

// Error names the key and the fault.
func (e *BadValueError) Error() string {
	return fmt.Sprintf("%v: key %s: %v", ErrBadValue, e.Key, e.Cause)
}

// Unwrap lets errors.Is find ErrBadValue and the cause.
func (e *BadValueError) Unwrap() []error {
	return []error{ErrBadValue, e.Cause}
}

func badValue(key string, cause error) error {
	return errors.WithStack(&BadValueError{Key: key, Cause: cause})
}

// Client calls one store.
type Client struct {
	addr        netip.AddrPort
	http        *http.Client
	callTimeout time.Duration
	trimPause   time.Duration
}

// Option changes a default of a client.
type Option func(*Client)

// WithCallTimeout sets the time limit of one call. A wait may take its own time in addition.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.callTimeout = d }
}

// WithTrimPause sets the pause between two deletions of a trim.
func WithTrimPause(d time.Duration) Option {
	return func(c *Client) { c.trimPause = d }
}

// New returns a client of the store at an address. It does not connect yet.
func New(addr netip.AddrPort, options ...Option) *Client {
	c := &Client{addr: addr, callTimeout: DefaultCallTimeout, trimPause: DefaultTrimPause}
	for _, o := range options {
		o(c)
	}
	dialer := &net.Dialer{Timeout: c.callTimeout}
	c.http = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4}}
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// call is one HTTP call to the store.
type call struct {
	method string
	path   string
	query  url.Values
	// header and headerValue are a precondition, empty for none.
	header      string
	headerValue string
	body        []byte
	// wait is the time that the store may hold the call.
	wait  time.Duration
	limit int64
}

// reply is the store's response to a call.
type reply struct {
	status   int
	revision uint64
	body     []byte
}

func (r reply) ok() bool {
	return r.status/100 == 2
}

// do returns ErrUnavailable if no complete response came or its status is 5xx: a write may then have been applied.
func (c *Client) do(ctx context.Context, k call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, k.wait+c.callTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: c.addr.String(), Path: k.path, RawQuery: k.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, k.method, u.String(), bytes.NewReader(k.body))
	if err != nil {
		return reply{}, errors.Wrap(ErrRejected, err.Error())
	}
	if k.header != "" {
		req.Header.Set(k.header, k.headerValue)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	limit := max(k.limit, maxValueBytes)
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return reply{}, errors.Wrapf(ErrUnavailable, "%s %s: %v", k.method, k.path, err)
	}
	if int64(len(body)) > limit {
		return reply{}, badValue(k.path, errors.Errorf("more than %d bytes", limit))
	}
	if resp.StatusCode/100 == 5 {
		return reply{}, errors.Wrapf(ErrUnavailable, "%s %s: status %d", k.method, k.path, resp.StatusCode)
	}
	return reply{status: resp.StatusCode, revision: parseETag(resp.Header.Get("ETag")), body: body}, nil
}

// parseETag returns zero, which no value has, for anything but a quoted revision.
func parseETag(s string) uint64 {
	unquoted, err := strconv.Unquote(s)
	if err != nil {
		return 0
	}
	v, err := strconv.ParseUint(unquoted, 10, 64)
	if err != nil {
		return 0
	}
	return v
}

func rejected(k call, r reply) error {
	return errors.Wrapf(ErrRejected, "%s %s: status %d: %.200s", k.method, k.path, r.status, r.body)
}

// value is a stored value; revision is zero if the key does not exist.
type value struct {
	data     []byte
	revision uint64
}

func (c *Client) get(ctx context.Context, key string, wait time.Duration) (value, error) {
	k := call{method: http.MethodGet, path: "/v1/keys/" + key, wait: wait}
	if wait > 0 {
		k.query = url.Values{"wait": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	}
	r, err := c.do(ctx, k)
	switch {
	case err != nil:
		return value{}, err
	case r.status == http.StatusNotFound:
		return value{}, nil
	case !r.ok():
		return value{}, rejected(k, r)
	case r.revision == 0:
		return value{}, badValue(key, errors.New("the response has no revision"))
	}
	return value{data: r.body, revision: r.revision}, nil
}

// putIf writes a value if the key still has the revision, or does not exist for revision zero. It returns ErrConflict
// otherwise. After ErrUnavailable the value may have been written.
func (c *Client) putIf(ctx context.Context, key string, data []byte, revision uint64) error {
	k := call{method: http.MethodPut, path: "/v1/keys/" + key, body: data, header: "If-None-Match", headerValue: "*"}
	if revision != 0 {
		k.header, k.headerValue = "If-Match", strconv.Quote(strconv.FormatUint(revision, 10))
	}
	return c.write(ctx, k)
}

func (c *Client) write(ctx context.Context, k call) error {
	r, err := c.do(ctx, k)
	switch {
	case err != nil:
		return err
	case r.status == http.StatusPreconditionFailed:
		return errors.Wrap(ErrConflict, k.path)
	case !r.ok():
		return rejected(k, r)
	}
	return nil
}

// delete removes a key. A key that does not exist is no error.
func (c *Client) delete(ctx context.Context, key string) error {
	k := call{method: http.MethodDelete, path: "/v1/keys/" + key}
	r, err := c.do(ctx, k)
	if err != nil {
		return err
	}
	if !r.ok() && r.status != http.StatusNotFound {
		return rejected(k, r)
	}
	return nil
}

// rangeItem and rangeResponse are the store's list of keys.
type rangeItem struct {
	Key      string
	Revision uint64
	Value    []byte
}

type rangeResponse struct {
	Items []rangeItem
	More  bool
}

func (c *Client) list(ctx context.Context, prefix, after string, limit int) (rangeResponse, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	k := call{method: http.MethodGet, path: "/v1/range", query: query, limit: maxRangeBytes}
	r, err := c.do(ctx, k)
	if err != nil {
		return rangeResponse{}, err
	}
	if !r.ok() {
		return rangeResponse{}, rejected(k, r)
	}
	var resp rangeResponse
	if err := decodeJSON(prefix, r.body, &resp); err != nil {
		return rangeResponse{}, err
	}
	return resp, nil
}

// decodeJSON reads a whole JSON value. Unknown fields and trailing bytes are errors.
func decodeJSON(key string, data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return badValue(key, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return badValue(key, errors.New("bytes after the value"))
	}
	return nil
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) error {
	if err := sequoiatimer.Sleep(ctx, d); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

// Package sequoiastore is the client of the platform's key-value store. It appends to the log, reads it, waits for new
// entries, and reads and writes checkpoints, contacts and the leases of the store-lease baseline. All calls are safe
// for concurrent use. Times are on the monotonic clock.
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
	// DefaultCallTimeout is the time limit of one call, so that a call on a dead connection fails. The store usually
	// answers within milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// DefaultTrimPause is the pause between the deletions of a trim. It limits a trim to 100 deletions a second, which
	// leaves the rest of the store's write limit, several hundred a second, to other writers.
	DefaultTrimPause = 10 * time.Millisecond
)

// Size limits of a response, in bytes. A range response holds up to 4 MB of values, encoded in base64.
const (
	maxValueBytes = 1_000_000
	maxRangeBytes = 8 << 20
)

// Errors of a client's calls.
var (
	ErrUnavailable  = errors.New("the store did not answer")
	ErrRejected     = errors.New("the store rejected the call")
	ErrBadValue     = errors.New("the store holds an invalid value")
	ErrNoCheckpoint = errors.New("the store holds no checkpoint")
	ErrTrimmed      = errors.New("the log entry has been trimmed")
	ErrConflict     = errors.New("another writer changed the value")
	ErrLeaseLost    = errors.New("the store lease has ended")
)

// BadValueError reports a key whose value is invalid. errors.Is matches it with ErrBadValue and with its cause.
type BadValueError struct {
	Key   string
	Cause error
}

// Error returns a message with the key and the cause.
func (e *BadValueError) Error() string {
	return fmt.Sprintf("%v: key %s: %v", ErrBadValue, e.Key, e.Cause)
}

// Unwrap lets errors.Is find ErrBadValue and the cause.
func (e *BadValueError) Unwrap() []error {
	return []error{ErrBadValue, e.Cause}
}

func newBadValueError(key string, cause error) error {
	return errors.WithStack(&BadValueError{Key: key, Cause: cause})
}

// Client is a client of one store.
type Client struct {
	addr        netip.AddrPort
	http        *http.Client
	callTimeout time.Duration
	trimPause   time.Duration
}

// Option changes a default of a client.
type Option func(*Client)

// WithCallTimeout sets the time limit of one call. A call that waits for a key may take its wait time in addition.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.callTimeout = d }
}

// WithTrimPause sets the pause between the deletions of a trim.
func WithTrimPause(d time.Duration) Option {
	return func(c *Client) { c.trimPause = d }
}

// New returns a client of the store at an address. It opens no connection before the first call.
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

// request is an HTTP request to the store.
type request struct {
	method string
	path   string
	query  url.Values
	// preconditionHeader and preconditionValue make the request conditional. They are empty if it is not.
	preconditionHeader string
	preconditionValue  string
	body               []byte
	// maxHold is how long the store may hold the request before it responds.
	maxHold      time.Duration
	maxBodyBytes int64
}

// response is the store's response to a request.
type response struct {
	status   int
	revision uint64
	body     []byte
}

func (r response) success() bool {
	return r.status/100 == 2
}

// do sends a request. It returns ErrUnavailable if there is no complete response or its status is 5xx; a write may have
// been applied nevertheless.
func (c *Client) do(ctx context.Context, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, req.maxHold+c.callTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: c.addr.String(), Path: req.path, RawQuery: req.query.Encode()}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, u.String(), bytes.NewReader(req.body))
	if err != nil {
		return response{}, errors.Wrap(ErrRejected, err.Error())
	}
	if req.preconditionHeader != "" {
		httpReq.Header.Set(req.preconditionHeader, req.preconditionValue)
	}
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		return response{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = httpResp.Body.Close() }()
	limit := max(req.maxBodyBytes, maxValueBytes)
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, limit+1))
	if err != nil {
		return response{}, errors.Wrapf(ErrUnavailable, "%s %s: %v", req.method, req.path, err)
	}
	if int64(len(body)) > limit {
		return response{}, newBadValueError(req.path, errors.Errorf("the response exceeds %d bytes", limit))
	}
	if httpResp.StatusCode/100 == 5 {
		return response{}, errors.Wrapf(ErrUnavailable, "%s %s: status %d", req.method, req.path, httpResp.StatusCode)
	}
	return response{status: httpResp.StatusCode, revision: parseETag(httpResp.Header.Get("ETag")), body: body}, nil
}

// parseETag returns the revision in a quoted ETag, or zero, which no stored value has, for any other text.
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

func rejectedError(req request, resp response) error {
	return errors.Wrapf(ErrRejected, "%s %s: status %d: %.200s", req.method, req.path, resp.status, resp.body)
}

// storedValue is the value of a key. Its revision is zero if the key does not exist.
type storedValue struct {
	data     []byte
	revision uint64
}

func (c *Client) get(ctx context.Context, key string, wait time.Duration) (storedValue, error) {
	req := request{method: http.MethodGet, path: "/v1/keys/" + key, maxHold: wait}
	if wait > 0 {
		req.query = url.Values{"wait": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	}
	resp, err := c.do(ctx, req)
	switch {
	case err != nil:
		return storedValue{}, err
	case resp.status == http.StatusNotFound:
		return storedValue{}, nil
	case !resp.success():
		return storedValue{}, rejectedError(req, resp)
	case resp.revision == 0:
		return storedValue{}, newBadValueError(key, errors.New("the response has no revision"))
	}
	return storedValue{data: resp.body, revision: resp.revision}, nil
}

// putIf writes a value if the key has the given revision, where zero means that the key must not exist. Otherwise it
// returns ErrConflict. If it returns ErrUnavailable, the value may have been written.
func (c *Client) putIf(ctx context.Context, key string, data []byte, revision uint64) error {
	req := request{
		method: http.MethodPut, path: "/v1/keys/" + key, body: data,
		preconditionHeader: "If-None-Match", preconditionValue: "*",
	}
	if revision != 0 {
		req.preconditionHeader, req.preconditionValue = "If-Match", strconv.Quote(strconv.FormatUint(revision, 10))
	}
	return c.write(ctx, req)
}

func (c *Client) write(ctx context.Context, req request) error {
	resp, err := c.do(ctx, req)
	switch {
	case err != nil:
		return err
	case resp.status == http.StatusPreconditionFailed:
		return errors.Wrap(ErrConflict, req.path)
	case !resp.success():
		return rejectedError(req, resp)
	}
	return nil
}

// delete removes a key. It returns no error if the key does not exist.
func (c *Client) delete(ctx context.Context, key string) error {
	req := request{method: http.MethodDelete, path: "/v1/keys/" + key}
	resp, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	if !resp.success() && resp.status != http.StatusNotFound {
		return rejectedError(req, resp)
	}
	return nil
}

// rangeItem and rangeResponse are the JSON form of the store's response to a range request.
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
	req := request{method: http.MethodGet, path: "/v1/range", query: query, maxBodyBytes: maxRangeBytes}
	resp, err := c.do(ctx, req)
	if err != nil {
		return rangeResponse{}, err
	}
	if !resp.success() {
		return rangeResponse{}, rejectedError(req, resp)
	}
	var page rangeResponse
	if err := decodeJSON(prefix, resp.body, &page); err != nil {
		return rangeResponse{}, err
	}
	return page, nil
}

// decodeJSON decodes data, which must be one JSON value without unknown fields and without trailing data.
func decodeJSON(key string, data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return newBadValueError(key, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return newBadValueError(key, errors.New("unexpected data after the JSON value"))
	}
	return nil
}

// sleep waits for a duration. It returns ErrUnavailable if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if err := sequoiatimer.Sleep(ctx, d); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

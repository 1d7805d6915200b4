package sequoiaclient

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	defaultTimeout         = 5 * time.Second
	defaultResendWindow    = 60 * time.Second
	defaultRefreshInterval = 2 * time.Second
	defaultRetryFraction   = 0.1
	defaultRetryBurst      = 10
	maxAttempts            = 8
	minBackoff             = 10 * time.Millisecond
	maxBackoff             = 320 * time.Millisecond
	// ownerPollInterval is the interval between reads of the table while a key has no owner.
	ownerPollInterval = 50 * time.Millisecond
	// tableReadTimeout bounds the read of the table from one process, which may not respond.
	tableReadTimeout = 500 * time.Millisecond
)

// Errors that the client returns if it did not attempt to send the request.
var (
	ErrNoProcesses  = errors.New("no process addresses given")
	ErrInvalid      = errors.New("invalid request")
	ErrResendWindow = errors.New("the resend window of the first attempt has expired")
)

// Outcome tells whether the upstream ran a request.
type Outcome uint8

// Values of Outcome.
const (
	// Answered means that the upstream ran the request and returned a complete response.
	Answered Outcome = iota + 1
	// NotRun means that the upstream certainly did not run the request.
	NotRun
	// Unknown means that the upstream may have run the request.
	Unknown
)

// String returns the outcome's name as used in headers and logs.
func (o Outcome) String() string {
	return sequoiarouter.Outcome(o).String()
}

// Request is a request to a service. It must not be modified until the call that sends it returns.
type Request struct {
	Service string
	// Key determines the owner. It may be empty if the service is not divided by key.
	Key string
	// RequestID identifies a request that must not run more than once. It is unique per key.
	RequestID string
	// Repeatable allows the client to retry a request without a RequestID even if it may have run.
	Repeatable bool
	// Method is the HTTP method, GET if empty.
	Method string
	// Path is the path and query sent to the upstream. It starts with a slash.
	Path   string
	Header http.Header
	Body   []byte
}

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	// Reason is a PascalCase word that says why the outcome is not Answered.
	Reason string
	// Owner is the incarnation of the process that determined the outcome, as 16 hexadecimal digits. It is empty if none
	// did.
	Owner    string
	Status   int
	Header   http.Header
	Body     []byte
	Attempts int
	// FirstEpoch and FirstSent are the epoch and the time of the first attempt that may have run. They are zero if no
	// attempt can have run. Resend uses them.
	FirstEpoch uint64
	FirstSent  time.Time
}

// Client sends requests to the owners of their keys. It is safe for concurrent use. Call Close to release its
// resources.
type Client struct {
	processes       []netip.AddrPort
	timeout         time.Duration
	resendWindow    time.Duration
	refreshInterval time.Duration
	retryFraction   float64
	retryBurst      float64
	http            *sequoiahttp.Client
	table           atomic.Pointer[tableView]
	nextProcess     atomic.Uint32

	mu          sync.Mutex
	retryBudget sequoiarouter.RetryBudget

	readMu        sync.Mutex
	lastReadStart time.Time
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of requests whose context has no deadline.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithResendWindow sets how long after its first attempt a request may be resent. It must not exceed the resend window
// that the processes use.
func WithResendWindow(d time.Duration) Option {
	return func(c *Client) { c.resendWindow = d }
}

// WithRefresh sets the interval between reads of the table. The client also reads the table when the result of
// an attempt indicates that it is out of date.
func WithRefresh(d time.Duration) Option {
	return func(c *Client) { c.refreshInterval = d }
}

// WithRetryBudget limits retries to a fraction of the requests plus a burst.
func WithRetryBudget(fraction, burst float64) Option {
	return func(c *Client) { c.retryFraction, c.retryBurst = fraction, burst }
}

// New returns a Client that reads the table from any of the given processes. It returns ErrNoProcesses if there are
// none.
func New(processes []netip.AddrPort, opts ...Option) (*Client, error) {
	if len(processes) == 0 {
		return nil, ErrNoProcesses
	}
	c := &Client{
		processes: processes, timeout: defaultTimeout, resendWindow: defaultResendWindow, refreshInterval: defaultRefreshInterval,
		retryFraction: defaultRetryFraction, retryBurst: defaultRetryBurst, http: sequoiahttp.New(),
	}
	for _, o := range opts {
		o(c)
	}
	c.retryBudget = sequoiarouter.NewRetryBudget(c.retryFraction, c.retryBurst)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wg.Go(c.refreshTable)
	return c, nil
}

// Close stops reading the table and closes idle connections.
func (c *Client) Close() {
	c.cancel()
	c.wg.Wait()
	c.http.Close()
}

// Do sends a new request. An error means that no attempt was made.
func (c *Client) Do(ctx context.Context, req *Request) (*Result, error) {
	return c.send(ctx, &call{req: req})
}

// Resend resends a request whose outcome was Unknown. The request needs a RequestID, by which the owner recognizes it,
// and is sent with the epoch of the first attempt that may have run. Resend returns ErrResendWindow once the owner may
// have dropped the identifier.
func (c *Client) Resend(ctx context.Context, req *Request, first *Result) (*Result, error) {
	if req.RequestID == "" {
		return nil, errors.Wrap(ErrInvalid, "cannot resend a request without a RequestID")
	}
	if c.resendWindowOver(first.FirstSent) {
		return nil, ErrResendWindow
	}
	return c.send(ctx, &call{
		req: req, maybeSent: !first.FirstSent.IsZero(), firstEpoch: first.FirstEpoch, firstSent: first.FirstSent,
		mayHaveRun: first.Outcome != NotRun,
	})
}

func (c *Client) resendWindowOver(firstSent time.Time) bool {
	return !firstSent.IsZero() && time.Since(firstSent) >= c.resendWindow
}

// call is a request and the state of its attempts.
type call struct {
	req *Request
	// maybeSent is true once any byte of an attempt may have been sent, unless the attempt is known not to have run.
	// firstEpoch no longer changes from then on.
	maybeSent  bool
	firstEpoch uint64
	firstSent  time.Time
	mayHaveRun bool
	// unreachable is the address of the process if the last attempt to reach it failed.
	unreachable netip.AddrPort
}

func (c *Client) send(ctx context.Context, k *call) (*Result, error) {
	if k.req.Service == "" || len(k.req.Path) == 0 || k.req.Path[0] != '/' {
		return nil, errors.Wrap(ErrInvalid, "the service must be set and the path must start with a slash")
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	c.mu.Lock()
	c.retryBudget.AddRequest()
	c.mu.Unlock()
	for n := 1; ; n++ {
		res := c.attempt(ctx, k)
		k.mayHaveRun = k.mayHaveRun || res.Outcome == Unknown
		if res.Outcome == NotRun && !k.mayHaveRun {
			// An epoch from before a takeover would make the new owner answer Unknown although no attempt has run.
			k.maybeSent, k.firstEpoch, k.firstSent = false, 0, time.Time{}
		}
		res.Attempts, res.FirstEpoch, res.FirstSent = n, k.firstEpoch, k.firstSent
		if !c.mayRetry(ctx, k, res) || sequoiatimer.Sleep(ctx, min(maxBackoff, minBackoff<<(n-1))) != nil || c.resendWindowOver(k.firstSent) {
			return withEarlierAttempts(res, k.mayHaveRun), nil
		}
		if res.Reason == sequoiarouter.ReasonNotOwner || res.Reason == sequoiarouter.ReasonUnreachable {
			c.readTable(ctx)
		}
	}
}

// withEarlierAttempts changes NotRun to Unknown if an earlier attempt may have run.
func withEarlierAttempts(res *Result, mayHaveRun bool) *Result {
	if res.Outcome == NotRun && mayHaveRun {
		res.Outcome, res.Reason = Unknown, sequoiarouter.ReasonEarlierUnknown
	}
	return res
}

func (c *Client) mayRetry(ctx context.Context, k *call, res *Result) bool {
	if ctx.Err() != nil || res.Attempts >= maxAttempts || c.resendWindowOver(k.firstSent) {
		return false
	}
	switch res.Outcome {
	case Answered:
		return false
	case NotRun:
		switch res.Reason {
		case sequoiarouter.ReasonBadRequest, sequoiarouter.ReasonKeyMissing, sequoiarouter.ReasonServiceUnknown,
			sequoiarouter.ReasonDeadlinePassed:
			return false
		case sequoiarouter.ReasonUnreachable:
			// Nothing was sent, so no process has spent work on the request yet. The retry needs no budget.
			return true
		}
	default:
		if !k.req.Repeatable || k.req.RequestID != "" {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryBudget.Take()
}

// attempt sends the request once.
func (c *Client) attempt(ctx context.Context, k *call) *Result {
	addr, err := c.chooseProcess(ctx, k)
	if err != nil {
		return &Result{Outcome: NotRun, Reason: sequoiarouter.ReasonNoOwner}
	}
	start := time.Now()
	resp, err := c.http.Do(ctx, addr, encodeRequest(ctx, k))
	first := !k.maybeSent
	if !sequoiahttp.NotSent(err) && first {
		k.maybeSent = true
		k.firstSent = start
	}
	if err != nil {
		k.unreachable = addr
		return resultOfError(ctx, err)
	}
	k.unreachable = netip.AddrPort{}
	if first {
		k.firstEpoch = max(k.firstEpoch, firstEpochOf(resp))
	}
	return c.decodeResponse(resp)
}

// firstEpochOf returns the epoch that the process reports for the first attempt, zero if it reports none. The process
// may have known a later epoch than the client when it made the first attempt that may have run.
func firstEpochOf(resp *sequoiahttp.Response) uint64 {
	n, err := strconv.ParseUint(resp.Header.Get("Sequoia-First-Epoch"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// chooseProcess returns the address of the process that owns the key, or of any process if the owner is unknown or
// could not be reached. It updates the first epoch as long as no attempt may have been sent.
func (c *Client) chooseProcess(ctx context.Context, k *call) (netip.AddrPort, error) {
	key := k.req.Key
	if key == "" {
		key = k.req.RequestID
	}
	for {
		t := c.table.Load()
		if t == nil {
			c.readTable(ctx)
			t = c.table.Load()
		}
		if t == nil || key == "" {
			break
		}
		addr, epoch, hasOwner := t.owner(k.req.Service, key)
		if !k.maybeSent {
			k.firstEpoch = epoch
		}
		if addr.IsValid() && addr != k.unreachable {
			return addr, nil
		}
		if hasOwner || k.maybeSent || k.req.RequestID == "" || !t.hasService(k.req.Service) {
			break
		}
		// A first attempt with the epoch of a lost owner would end as Unknown after the takeover, so wait for the next
		// owner.
		if sequoiatimer.Sleep(ctx, ownerPollInterval) != nil {
			return netip.AddrPort{}, ctx.Err()
		}
		c.readTable(ctx)
	}
	if k.req.RequestID != "" && k.firstEpoch == 0 && c.table.Load() == nil {
		return netip.AddrPort{}, errors.New("no process returned a table, which is needed for the epoch of the request")
	}
	return c.anyProcess(k.unreachable), nil
}

// anyProcess returns the next process in round-robin order that is not the excluded one. If there is no other, it
// returns the excluded one.
func (c *Client) anyProcess(excluded netip.AddrPort) netip.AddrPort {
	for range c.processes {
		addr := c.processes[int(c.nextProcess.Add(1))%len(c.processes)]
		if addr != excluded {
			return addr
		}
	}
	return excluded
}

func encodeRequest(ctx context.Context, k *call) *sequoiahttp.Request {
	h := k.req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if k.req.Key != "" {
		h.Set("Sequoia-Key", k.req.Key)
	}
	if k.req.RequestID != "" {
		h.Set("Sequoia-Request-Id", k.req.RequestID)
		h.Set("Sequoia-First-Epoch", strconv.FormatUint(k.firstEpoch, 10))
		if !k.maybeSent {
			h.Set("Sequoia-First-Attempt", "true")
		}
	}
	if k.req.Repeatable {
		h.Set("Sequoia-Repeatable", "true")
	}
	if d, ok := ctx.Deadline(); ok {
		h.Set("Sequoia-Timeout-Milliseconds", strconv.FormatInt(max(1, time.Until(d).Milliseconds()), 10))
	}
	method := k.req.Method
	if method == "" {
		method = http.MethodGet
	}
	return &sequoiahttp.Request{Method: method, Path: "/s/" + k.req.Service + k.req.Path, Header: h, Body: k.req.Body}
}

func resultOfError(ctx context.Context, err error) *Result {
	res := &Result{Outcome: Unknown, Reason: sequoiarouter.ReasonUnreachable}
	if sequoiahttp.NotSent(err) {
		res.Outcome = NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.Reason = sequoiarouter.ReasonDeadlinePassed
	case ctx.Err() != nil:
		res.Reason = sequoiarouter.ReasonCancelled
	}
	return res
}

// decodeResponse converts a process's response to a Result. A response without a valid outcome does not show whether
// the request has run, so its outcome is Unknown.
func (c *Client) decodeResponse(resp *sequoiahttp.Response) *Result {
	res := &Result{
		Reason: resp.Header.Get("Sequoia-Reason"), Owner: resp.Header.Get("Sequoia-Owner"),
		Status: resp.Status, Header: resp.Header, Body: resp.Body,
	}
	switch resp.Header.Get("Sequoia-Outcome") {
	case "Answered":
		res.Outcome = Answered
	case "NotRun":
		res.Outcome = NotRun
	case "Unknown":
		res.Outcome = Unknown
	default:
		res.Outcome, res.Reason = Unknown, sequoiarouter.ReasonBadResponse
	}
	return res
}

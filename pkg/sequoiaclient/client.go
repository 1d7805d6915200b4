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

// Defaults and limits.
const (
	defaultTimeout      = 5 * time.Second
	defaultResendWindow = 60 * time.Second
	defaultRefresh      = 2 * time.Second
	defaultFraction     = 0.1
	defaultBurst        = 10
	maxAttempts         = 8
	backoffBase         = 10 * time.Millisecond
	backoffMax          = 320 * time.Millisecond
	// ownerWait is the pause between reads of the table while a key has no owner.
	ownerWait = 50 * time.Millisecond
	// tableTimeout bounds the read of the table from one process, which may be silent.
	tableTimeout = 500 * time.Millisecond
)

// Errors of the client. They mean that no attempt was made.
var (
	ErrNoProcesses  = errors.New("no process address is given")
	ErrInvalid      = errors.New("the request is not valid")
	ErrResendWindow = errors.New("the resend window of the first attempt is over")
)

// Outcome says what is known of a request's execution.
type Outcome uint8

// The outcomes.
const (
	// Answered comes with the upstream's complete response.
	Answered Outcome = iota + 1
	// NotRun means that the upstream provably did not run the request.
	NotRun
	// Unknown means that the upstream may have run the request.
	Unknown
)

// String returns the name used in headers and logs.
func (o Outcome) String() string {
	return sequoiarouter.Outcome(o).String()
}

// Request is one request. It must not be changed while it is in use.
type Request struct {
	Service string
	// Key selects the owner. It may be empty in a service that is not divided by key.
	Key string
	// RequestID is set on a request that must not be repeated. It is unique per key.
	RequestID string
	// Repeatable allows the client to run a request without RequestID more than once.
	Repeatable bool
	// Method is GET if empty.
	Method string
	// Path is the path for the upstream, with the query; it starts with a slash.
	Path   string
	Header http.Header
	Body   []byte
}

// Result is the end of a request.
type Result struct {
	Outcome Outcome
	// Reason says why the outcome is not Answered, as one word in Pascal case.
	Reason string
	// Owner is the incarnation that decided, as 16 hexadecimal digits, empty if none did.
	Owner    string
	Status   int
	Header   http.Header
	Body     []byte
	Attempts int
	// FirstEpoch and FirstSent are the stamp and the moment of the first attempt that may have run, zero if every
	// attempt was provably not run; Resend needs them.
	FirstEpoch uint64
	FirstSent  time.Time
}

// Client sends requests. It is safe for concurrent use. Close ends it.
type Client struct {
	processes    []netip.AddrPort
	timeout      time.Duration
	resendWindow time.Duration
	refresh      time.Duration
	fraction     float64
	burst        float64
	http         *sequoiahttp.Client
	table        atomic.Pointer[tableView]
	next         atomic.Uint32

	mu     sync.Mutex
	budget sequoiarouter.RetryBudget

	reading  sync.Mutex
	lastRead time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Option changes a setting of a Client.
type Option func(*Client)

// WithTimeout bounds requests whose context has no deadline.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithResendWindow sets the resend window, which must not be longer than the processes'.
func WithResendWindow(d time.Duration) Option {
	return func(c *Client) { c.resendWindow = d }
}

// WithRefresh sets how often the table is read when nothing shows that it is out of date.
func WithRefresh(d time.Duration) Option {
	return func(c *Client) { c.refresh = d }
}

// WithRetryBudget allows retries up to a fraction of requests and a burst.
func WithRetryBudget(fraction, burst float64) Option {
	return func(c *Client) { c.fraction, c.burst = fraction, burst }
}

// New returns a Client that finds the system through any of the given processes. It returns ErrNoProcesses if there
// are none.
func New(processes []netip.AddrPort, opts ...Option) (*Client, error) {
	if len(processes) == 0 {
		return nil, ErrNoProcesses
	}
	c := &Client{
		processes: processes, timeout: defaultTimeout, resendWindow: defaultResendWindow, refresh: defaultRefresh,
		fraction: defaultFraction, burst: defaultBurst, http: sequoiahttp.New(),
	}
	for _, o := range opts {
		o(c)
	}
	c.budget = sequoiarouter.NewRetryBudget(c.fraction, c.burst)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.done.Go(c.keepTable)
	return c, nil
}

// Close ends the reading of the table and closes idle connections.
func (c *Client) Close() {
	c.cancel()
	c.done.Wait()
	c.http.Close()
}

// Do sends a request for the first time. An error means that no attempt was made.
func (c *Client) Do(ctx context.Context, req *Request) (*Result, error) {
	return c.run(ctx, &call{req: req})
}

// Resend sends a request again whose outcome was Unknown. It needs RequestID, by which the owner recognises the
// request, and carries the stamp of the first attempt that may have run. It returns ErrResendWindow once the owner may have forgotten
// the identifier.
func (c *Client) Resend(ctx context.Context, req *Request, first *Result) (*Result, error) {
	if req.RequestID == "" {
		return nil, errors.Wrap(ErrInvalid, "a request without RequestID cannot be resent")
	}
	if c.windowOver(first.FirstSent) {
		return nil, ErrResendWindow
	}
	return c.run(ctx, &call{
		req: req, sent: !first.FirstSent.IsZero(), stamp: first.FirstEpoch, firstSent: first.FirstSent,
		mayHaveRun: first.Outcome != NotRun,
	})
}

func (c *Client) windowOver(firstSent time.Time) bool {
	return !firstSent.IsZero() && time.Since(firstSent) >= c.resendWindow
}

// call is a request with what its attempts have shown.
type call struct {
	req *Request
	// sent is true once a byte of an attempt may have been sent that was not provably not run; the stamp is fixed from
	// then on.
	sent       bool
	stamp      uint64
	firstSent  time.Time
	mayHaveRun bool
	// avoid is the address that the last attempt could not reach.
	avoid netip.AddrPort
}

func (c *Client) run(ctx context.Context, k *call) (*Result, error) {
	if k.req.Service == "" || len(k.req.Path) == 0 || k.req.Path[0] != '/' {
		return nil, errors.Wrap(ErrInvalid, "want a service and a path that starts with a slash")
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	c.mu.Lock()
	c.budget.AddRequest()
	c.mu.Unlock()
	for n := 1; ; n++ {
		res := c.attempt(ctx, k)
		k.mayHaveRun = k.mayHaveRun || res.Outcome == Unknown
		if res.Outcome == NotRun && !k.mayHaveRun {
			// A stamp from before a takeover would make the new owner answer Unknown, although nothing has run.
			k.sent, k.stamp, k.firstSent = false, 0, time.Time{}
		}
		res.Attempts, res.FirstEpoch, res.FirstSent = n, k.stamp, k.firstSent
		if !c.mayRetry(ctx, k, res) || sequoiatimer.Sleep(ctx, min(backoffMax, backoffBase<<(n-1))) != nil || c.windowOver(k.firstSent) {
			return truthful(res, k.mayHaveRun), nil
		}
		if res.Reason == sequoiarouter.ReasonNotOwner || res.Reason == sequoiarouter.ReasonUnreachable {
			c.readTable(ctx)
		}
	}
}

// truthful turns NotRun into Unknown if an earlier attempt may have run.
func truthful(res *Result, mayHaveRun bool) *Result {
	if res.Outcome == NotRun && mayHaveRun {
		res.Outcome, res.Reason = Unknown, sequoiarouter.ReasonEarlierUnknown
	}
	return res
}

func (c *Client) mayRetry(ctx context.Context, k *call, res *Result) bool {
	if ctx.Err() != nil || res.Attempts >= maxAttempts || c.windowOver(k.firstSent) {
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
			// Nothing was sent, so that the next process is the first one to have any work with the request.
			return true
		}
	default:
		if !k.req.Repeatable || k.req.RequestID != "" {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Take()
}

// attempt sends the request once.
func (c *Client) attempt(ctx context.Context, k *call) *Result {
	addr, err := c.choose(ctx, k)
	if err != nil {
		return &Result{Outcome: NotRun, Reason: sequoiarouter.ReasonNoOwner}
	}
	started := time.Now()
	resp, err := c.http.Do(ctx, addr, encode(ctx, k))
	first := !k.sent
	if !sequoiahttp.NotSent(err) && first {
		k.sent = true
		k.firstSent = started
	}
	if err != nil {
		k.avoid = addr
		return failed(ctx, err)
	}
	k.avoid = netip.AddrPort{}
	if first {
		k.stamp = max(k.stamp, stampOf(resp))
	}
	return c.decode(resp)
}

// stampOf returns the stamp that the process gave the request, zero if it gave none. The process may have seen a later
// epoch than the client before it made the first attempt that may have run.
func stampOf(resp *sequoiahttp.Response) uint64 {
	n, err := strconv.ParseUint(resp.Header.Get("Sequoia-First-Epoch"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// choose returns the owner's process, or any process if the owner's is unknown or was not reached. It sets the stamp
// until the request has been sent.
func (c *Client) choose(ctx context.Context, k *call) (netip.AddrPort, error) {
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
		addr, epoch, served := t.owner(k.req.Service, key)
		if !k.sent {
			k.stamp = epoch
		}
		if addr.IsValid() && addr != k.avoid {
			return addr, nil
		}
		if served || k.sent || k.req.RequestID == "" || !t.has(k.req.Service) {
			break
		}
		// A first attempt stamped with the epoch of a lost owner would end as Unknown after the takeover, so it
		// waits for the next owner.
		if sequoiatimer.Sleep(ctx, ownerWait) != nil {
			return netip.AddrPort{}, ctx.Err()
		}
		c.readTable(ctx)
	}
	if k.req.RequestID != "" && k.stamp == 0 && c.table.Load() == nil {
		return netip.AddrPort{}, errors.New("no process has answered with a table to stamp the request")
	}
	return c.any(k.avoid), nil
}

func (c *Client) any(avoid netip.AddrPort) netip.AddrPort {
	for range c.processes {
		addr := c.processes[int(c.next.Add(1))%len(c.processes)]
		if addr != avoid {
			return addr
		}
	}
	return avoid
}

func encode(ctx context.Context, k *call) *sequoiahttp.Request {
	h := k.req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if k.req.Key != "" {
		h.Set("Sequoia-Key", k.req.Key)
	}
	if k.req.RequestID != "" {
		h.Set("Sequoia-Request-Id", k.req.RequestID)
		h.Set("Sequoia-First-Epoch", strconv.FormatUint(k.stamp, 10))
		if !k.sent {
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

func failed(ctx context.Context, err error) *Result {
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

// decode reads a process's response. One without a known outcome proves nothing.
func (c *Client) decode(resp *sequoiahttp.Response) *Result {
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

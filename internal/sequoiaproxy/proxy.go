// Package sequoiaproxy is the HTTP side of a process: it serves callers, receives the announcements of the local
// upstream and sends requests to it.
package sequoiaproxy

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Defaults and limits.
const (
	defaultTimeout             = 5 * time.Second
	defaultMaxTimeout          = 60 * time.Second
	defaultMaxBody             = 4 << 20 // bytes
	defaultMaxResponse         = 8 << 20 // bytes
	defaultAnnouncementTimeout = 600 * time.Millisecond
	// tickInterval is the interval at which deadlines, leases and the announcement timeout are checked.
	tickInterval = 50 * time.Millisecond
	// maxIndexWait bounds the wait for log entries that another process has already applied.
	maxIndexWait = 250 * time.Millisecond
	// maxOwnerWait bounds the wait for a key's next owner. It is the maximum duration of a takeover.
	maxOwnerWait = 2 * time.Second
	// ownerRetryInterval is the interval of attempts to reach an unavailable owner.
	ownerRetryInterval = 100 * time.Millisecond
	// backoffBase is the delay before the first retry. It doubles for each further retry.
	backoffBase = 10 * time.Millisecond
)

// Proxy handles the requests of one process.
type Proxy struct {
	// Forward sends a request to the process at addr. It must not be changed after the first request.
	Forward func(ctx context.Context, addr netip.AddrPort, req *sequoiarouter.Request) (*sequoiarouter.Response, error)
	// NotSent reports whether an error of Forward proves that the request was not sent.
	NotSent func(err error) bool
	// OnUpstream is called when the local upstream's announcement changes and when its announcement timeout has passed.
	OnUpstream func(sequoiacontrol.Upstream)
	// OnRequestDone, if set, is called at the end of every request that this process received from a caller.
	OnRequestDone func(req *sequoiarouter.Request, resp *sequoiarouter.Response)

	router              *sequoiarouter.Router
	upstream            *sequoiahttp.Client
	metrics             *metrics
	announcements       announcementState
	timeout             time.Duration
	maxTimeout          time.Duration
	announcementTimeout time.Duration
	maxBody             int
	maxResponse         int64
	registry            prometheus.Registerer
	table               atomic.Pointer[encodedTable]
	stop                chan struct{}
	stopped             sync.WaitGroup
	stopOnce            sync.Once
	server              *sequoiafront.Server
	removedSafeguards   safeguards
}

// Option configures a Proxy.
type Option func(*Proxy)

// WithTimeout sets the default timeout of a request, which applies if the caller specifies none.
func WithTimeout(d time.Duration) Option {
	return func(p *Proxy) { p.timeout = d }
}

// WithAnnouncementTimeout sets the time without an announcement after which the local upstream counts as gone.
func WithAnnouncementTimeout(d time.Duration) Option {
	return func(p *Proxy) { p.announcementTimeout = d }
}

// WithMaxResponse bounds the body of an upstream's response, in bytes.
func WithMaxResponse(n int64) Option {
	return func(p *Proxy) { p.maxResponse = n }
}

// WithMaxBody bounds the body of a caller's request, in bytes.
func WithMaxBody(n int) Option {
	return func(p *Proxy) { p.maxBody = n }
}

// WithRegistry registers the metrics with a registry.
func WithRegistry(r prometheus.Registerer) Option {
	return func(p *Proxy) { p.registry = r }
}

// New returns a Proxy that routes and admits requests by the router's decisions.
func New(router *sequoiarouter.Router, opts ...Option) *Proxy {
	p := &Proxy{
		router: router, timeout: defaultTimeout, maxTimeout: defaultMaxTimeout, announcementTimeout: defaultAnnouncementTimeout,
		maxBody: defaultMaxBody, maxResponse: defaultMaxResponse, stop: make(chan struct{}),
		NotSent: sequoiahttp.NotSent,
	}
	for _, o := range opts {
		o(p)
	}
	p.server = sequoiafront.New(p.maxBody, sequoiafront.WithRefusal(http.Header{
		headerOutcome: {sequoiarouter.NotRun.String()}, headerReason: {sequoiarouter.ReasonDraining},
	}))
	p.upstream = sequoiahttp.New(append(p.removedSafeguards.clientOptions(), sequoiahttp.WithMaxResponse(p.maxResponse))...)
	p.metrics = newMetrics(p.registry, router)
	p.stopped.Go(p.run)
	return p
}

// Account returns the account in which memory is reserved for requests and responses.
func (p *Proxy) Account() *sequoiamemory.Account { return p.server.Account() }

func (p *Proxy) run() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
			now := time.Now()
			p.checkSilence(now)
			p.router.Tick(now)
		}
	}
}

// Do handles a caller's request. It routes the request, forwards it at most once per attempt, and retries it if it did
// not run or may be repeated. On return, req holds the stamp of the first attempt that may have run.
func (p *Proxy) Do(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	started := time.Now()
	done := p.metrics.requestStarted()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	p.router.BeginRequest(req.Service)
	resp := p.runAttempts(ctx, req)
	done()
	p.metrics.requestEnded(req, resp, time.Since(started))
	if p.OnRequestDone != nil {
		p.OnRequestDone(req, resp)
	}
	return resp
}

func (p *Proxy) runAttempts(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	var tried []sequoiatable.IncarnationID
	mayHaveRun := false
	ownerDeadline := time.Now().Add(maxOwnerWait)
	for n := 1; ; n++ {
		target, resp := p.routeToLiveOwner(ctx, req, tried)
		if resp == nil {
			tried = append(tried, target.Incarnation)
			req.StampFirstEpoch(target.Epoch)
			out := *req
			resp = p.attempt(ctx, target, &out)
		}
		req.RecordAttempt(resp)
		if ownerUnavailable(target, resp) && time.Now().Before(ownerDeadline) && p.awaitOwner(ctx) {
			n--
			continue
		}
		mayHaveRun = mayHaveRun || resp.Outcome == sequoiarouter.Unknown
		if ctx.Err() != nil || !p.router.MayRetry(time.Now(), req, resp, n) || !p.waitBeforeRetry(ctx, resp, n) {
			return finalResponse(resp, mayHaveRun)
		}
		p.metrics.retries.WithLabelValues(p.metrics.serviceLabel(req.Service), resp.Reason).Inc()
	}
}

// routeToLiveOwner routes a request. While its key has no live owner, it waits for at most the maximum duration of a
// takeover. The wait causes no load on other processes, so it uses no retry budget.
func (p *Proxy) routeToLiveOwner(
	ctx context.Context, req *sequoiarouter.Request, tried []sequoiatable.IncarnationID,
) (sequoiarouter.Target, *sequoiarouter.Response) {
	waitCtx, cancel := context.WithTimeout(ctx, maxOwnerWait)
	defer cancel()
	for {
		target, resp := p.router.Route(time.Now(), req, tried)
		if resp == nil || (resp.Reason != sequoiarouter.ReasonNoOwner && resp.Reason != sequoiarouter.ReasonOwnerRevoked) {
			return target, resp
		}
		changed := make(chan struct{})
		stop := p.router.WaitIndex(resp.LogIndex+1, func() { close(changed) })
		select {
		case <-changed:
		case <-waitCtx.Done():
			stop()
			return target, resp
		}
	}
}

// ownerUnavailable reports whether a key's owner provably did not run a request because it is unreachable or cannot
// serve at present. Either its keys are then taken over or it becomes available again. Epoch is zero for a request that
// may go to any upstream.
func ownerUnavailable(t sequoiarouter.Target, resp *sequoiarouter.Response) bool {
	if t.Epoch == 0 || resp.Outcome != sequoiarouter.NotRun {
		return false
	}
	switch resp.Reason {
	case sequoiarouter.ReasonUnreachable, sequoiarouter.ReasonLeaseEnded, sequoiarouter.ReasonNoUpstream,
		sequoiarouter.ReasonUpstreamFailed:
		return true
	}
	return false
}

// awaitOwner waits for a new table, but at most for ownerRetryInterval, after which the owner may be available again.
// The failed attempt reached no upstream, so it uses no retry budget; with a budget, requests would fail during each
// takeover. It returns false if the request's deadline passes first.
func (p *Proxy) awaitOwner(ctx context.Context) bool {
	index := uint64(0)
	if s := p.router.Snapshot(); s != nil {
		index = s.Table.Index
	}
	return p.awaitIndex(ctx, index+1, ownerRetryInterval)
}

// finalResponse returns the response for the caller. It changes NotRun to Unknown if an earlier attempt may have run.
func finalResponse(resp *sequoiarouter.Response, mayHaveRun bool) *sequoiarouter.Response {
	if resp.Outcome == sequoiarouter.NotRun && mayHaveRun {
		resp.Outcome = sequoiarouter.Unknown
		resp.Reason = sequoiarouter.ReasonEarlierUnknown
	}
	return resp
}

func (p *Proxy) attempt(
	ctx context.Context, target sequoiarouter.Target, req *sequoiarouter.Request,
) *sequoiarouter.Response {
	p.router.BeginAttempt(target)
	var resp *sequoiarouter.Response
	if target.Local {
		resp = p.runLocal(ctx, req)
	} else {
		resp = p.forward(ctx, target, req)
	}
	p.router.EndAttempt(time.Now(), target, resp)
	return resp
}

func (p *Proxy) forward(
	ctx context.Context, target sequoiarouter.Target, req *sequoiarouter.Request,
) *sequoiarouter.Response {
	if p.Forward == nil {
		return &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: sequoiarouter.ReasonUnreachable}
	}
	out := *req
	out.Forwarded = true
	resp, err := p.Forward(ctx, target.Forward, &out)
	if err == nil {
		return resp
	}
	resp = &sequoiarouter.Response{
		Outcome: sequoiarouter.Unknown, Reason: failureReason(ctx, sequoiarouter.ReasonUnreachable),
		Owner: target.Incarnation, Epoch: target.Epoch,
	}
	if p.NotSent(err) || p.removedSafeguards.notSent {
		resp.Outcome = sequoiarouter.NotRun
	}
	return resp
}

// waitBeforeRetry waits for the log entries on which another process based its refusal of the request, or otherwise for
// a backoff delay. It returns false if the request's deadline passes first.
func (p *Proxy) waitBeforeRetry(ctx context.Context, resp *sequoiarouter.Response, attempt int) bool {
	if resp.Reason == sequoiarouter.ReasonNotOwner {
		return p.awaitIndex(ctx, resp.LogIndex, maxIndexWait)
	}
	return sequoiatimer.Sleep(ctx, backoffBase<<(attempt-1)) == nil
}

// awaitIndex waits until the table has reached an index, but at most for the limit. It returns false if ctx ends first.
func (p *Proxy) awaitIndex(ctx context.Context, index uint64, limit time.Duration) bool {
	reached := make(chan struct{})
	defer p.router.WaitIndex(index, func() { close(reached) })()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-reached:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// ServeForwarded handles a request that another process has forwarded. It never forwards the request again.
func (p *Proxy) ServeForwarded(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	p.server.AddInProgress(1)
	defer p.server.AddInProgress(-1)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	return p.runLocal(ctx, req)
}

// InProgress returns the number of requests in progress from callers and other processes. A caller's request ends when
// its response has been written. A drain ends only once the number is zero, because a process that has no keys left may
// still forward requests.
func (p *Proxy) InProgress() int {
	if p.removedSafeguards.drainWait {
		return 0
	}
	return p.server.InProgress()
}

// Drain stops accepting connections and waits until requests that have just arrived are answered, at most for limit.
func (p *Proxy) Drain(limit time.Duration) { p.server.Drain(limit) }

// Close stops the listeners and the timer.
func (p *Proxy) Close() {
	p.stopOnce.Do(func() {
		close(p.stop)
		p.server.Close()
		p.stopped.Wait()
		p.upstream.Close()
	})
}

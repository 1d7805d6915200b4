// Package sequoiaproxy is the HTTP side of a process: the front for callers, the announcements of the local upstream
// and the call to it.
package sequoiaproxy

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Defaults and limits.
const (
	defaultTimeout     = 5 * time.Second
	defaultMaxTimeout  = 60 * time.Second
	defaultMaxBody     = 4 << 20 // bytes
	defaultMaxResponse = 8 << 20 // bytes
	defaultSilence     = 600 * time.Millisecond
	// tickInterval is how often deadlines, leases and the upstream's silence are checked.
	tickInterval = 50 * time.Millisecond
	// indexWait bounds the wait for the log entries that another process already has.
	indexWait = 250 * time.Millisecond
	// ownerWait is the bound of a takeover, 2 s.
	ownerWait = 2 * time.Second
	// absentRetry is the interval at which an owner that could not be reached is tried again.
	absentRetry = 100 * time.Millisecond
	// backoffBase is the pause before the first retry, doubled for each further one.
	backoffBase = 10 * time.Millisecond
)

// Proxy carries out requests for one process.
type Proxy struct {
	// Forward sends a request to the process at addr. It must not be changed after the first request.
	Forward func(ctx context.Context, addr netip.AddrPort, req *sequoiarouter.Request) (*sequoiarouter.Response, error)
	// NotSent reports whether an error of Forward proves that the request was not sent.
	NotSent func(err error) bool
	// OnUpstream is called when the local upstream's announcement changes or it falls silent.
	OnUpstream func(sequoiacontrol.Upstream)
	// OnDecision, if set, is called for the end of every request that this process received from a caller.
	OnDecision func(req *sequoiarouter.Request, resp *sequoiarouter.Response)

	router      *sequoiarouter.Router
	upstream    *sequoiahttp.Client
	metrics     *metrics
	announce    announcer
	timeout     time.Duration
	maxTimeout  time.Duration
	silence     time.Duration
	maxBody     int
	maxResponse int64
	registry    prometheus.Registerer
	table       atomic.Pointer[encodedTable]
	stop        chan struct{}
	stopped     sync.WaitGroup
	stopOnce    sync.Once
	front       *sequoiafront.Server
	removed     safeguards
}

// Option changes a setting of a Proxy.
type Option func(*Proxy)

// WithTimeout sets the time allowed for a request whose caller names none.
func WithTimeout(d time.Duration) Option {
	return func(p *Proxy) { p.timeout = d }
}

// WithSilence sets the silence after which the local upstream counts as gone.
func WithSilence(d time.Duration) Option {
	return func(p *Proxy) { p.silence = d }
}

// WithMaxResponse bounds the body of an upstream's response, in bytes.
func WithMaxResponse(n int64) Option {
	return func(p *Proxy) { p.maxResponse = n }
}

// WithMaxBody bounds the body of a caller's request, in bytes.
func WithMaxBody(n int) Option {
	return func(p *Proxy) { p.maxBody = n }
}

// WithRegistry registers the metrics.
func WithRegistry(r prometheus.Registerer) Option {
	return func(p *Proxy) { p.registry = r }
}

// New returns a Proxy that decides by the router.
func New(router *sequoiarouter.Router, opts ...Option) *Proxy {
	p := &Proxy{
		router: router, timeout: defaultTimeout, maxTimeout: defaultMaxTimeout, silence: defaultSilence,
		maxBody: defaultMaxBody, maxResponse: defaultMaxResponse, stop: make(chan struct{}),
		NotSent: sequoiahttp.NotSent,
	}
	for _, o := range opts {
		o(p)
	}
	p.front = sequoiafront.New(p.maxBody)
	p.upstream = sequoiahttp.New(append(p.removed.upstream(), sequoiahttp.WithMaxResponse(p.maxResponse))...)
	p.metrics = newMetrics(p.registry, router)
	p.stopped.Go(p.run)
	return p
}

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

// Do carries out a caller's request: it routes, forwards at most once per attempt, and retries where that is truthful.
// It leaves the stamp of the first attempt that may have run in req.
func (p *Proxy) Do(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	started := time.Now()
	done := p.metrics.begin()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	p.router.BeginRequest(req.Service)
	resp := p.attempts(ctx, req)
	done()
	p.metrics.end(req, resp, time.Since(started))
	if p.OnDecision != nil {
		p.OnDecision(req, resp)
	}
	return resp
}

func (p *Proxy) attempts(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	var tried []sequoiatable.IncarnationID
	mayHaveRun := false
	patience := time.Now().Add(ownerWait)
	for n := 1; ; n++ {
		target, resp := p.routeToOwned(ctx, req, tried)
		if resp == nil {
			tried = append(tried, target.Incarnation)
			req.StampFirstEpoch(target.Epoch)
			out := *req
			resp = p.attempt(ctx, target, &out)
		}
		req.RecordAttempt(resp)
		if ownerAbsent(target, resp) && time.Now().Before(patience) && p.awaitOwner(ctx) {
			n--
			continue
		}
		mayHaveRun = mayHaveRun || resp.Outcome == sequoiarouter.Unknown
		if ctx.Err() != nil || !p.router.MayRetry(time.Now(), req, resp, n) || !p.pause(ctx, resp, n) {
			return truthful(resp, mayHaveRun)
		}
		p.metrics.retries.WithLabelValues(p.metrics.service(req.Service), resp.Reason).Inc()
	}
}

// routeToOwned routes a request and waits while its key has no live owner, within the time that a takeover needs. The
// wait costs other processes nothing, so it takes no retry budget.
func (p *Proxy) routeToOwned(
	ctx context.Context, req *sequoiarouter.Request, tried []sequoiatable.IncarnationID,
) (sequoiarouter.Target, *sequoiarouter.Response) {
	limit, cancel := context.WithTimeout(ctx, ownerWait)
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
		case <-limit.Done():
			stop()
			return target, resp
		}
	}
}

// ownerAbsent reports whether a key's owner provably did not take a request because it cannot be reached or cannot
// serve at present. Its keys are then taken over, or it returns. Epoch is zero for a request that may go to any
// upstream.
func ownerAbsent(t sequoiarouter.Target, resp *sequoiarouter.Response) bool {
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

// awaitOwner waits for a new table, or for a short time in which the owner may have returned. Such an attempt reached
// no upstream, so it takes no retry budget; a budget would end requests during each takeover. It returns false if the
// request's time is over.
func (p *Proxy) awaitOwner(ctx context.Context) bool {
	index := uint64(0)
	if s := p.router.Snapshot(); s != nil {
		index = s.Table.Index
	}
	return p.awaitIndex(ctx, index+1, absentRetry)
}

// truthful turns NotRun into Unknown if an earlier attempt may have run.
func truthful(resp *sequoiarouter.Response, mayHaveRun bool) *sequoiarouter.Response {
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
	if p.NotSent(err) || p.removed.notSent {
		resp.Outcome = sequoiarouter.NotRun
	}
	return resp
}

// pause waits before a retry: for the log entries by which another process refused the request, or with a backoff. It
// returns false if the request's time is over.
func (p *Proxy) pause(ctx context.Context, resp *sequoiarouter.Response, attempt int) bool {
	if resp.Reason == sequoiarouter.ReasonNotOwner {
		return p.awaitIndex(ctx, resp.LogIndex, indexWait)
	}
	return sequoiatimer.Sleep(ctx, backoffBase<<(attempt-1)) == nil
}

// awaitIndex waits until the table has reached an index, at most for a time. It returns false if ctx ends first.
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

// ServeForwarded carries out a request that another process has passed on. It is never passed on again.
func (p *Proxy) ServeForwarded(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	p.front.AddInProgress(1)
	defer p.front.AddInProgress(-1)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	return p.runLocal(ctx, req)
}

// InProgress returns the number of requests of callers and other processes that have not ended; a caller's ends when
// its response has been written. The end of a drain waits for it, since a process that has no keys left may still pass
// on requests.
func (p *Proxy) InProgress() int {
	if p.removed.drainWait {
		return 0
	}
	return p.front.InProgress()
}

// Close stops the listeners and the timer.
func (p *Proxy) Close() {
	p.stopOnce.Do(func() {
		close(p.stop)
		p.front.Close()
		p.stopped.Wait()
		p.upstream.Close()
	})
}

package sequoiarouter

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Defaults of the options.
const (
	defaultResendWindow   = 60 * time.Second
	defaultMaxQueue       = 256
	defaultMaxIdentifiers = 1 << 18
	defaultMaxRetained    = 32 << 20 // bytes
	defaultRetryFraction  = 0.1
	defaultRetryBurst     = 10
	defaultSlowStart      = 10 * time.Second
)

// Reasons that accompany NotRun and Unknown.
const (
	ReasonNoTable           = "NoTable"
	ReasonServiceUnknown    = "ServiceUnknown"
	ReasonKeyMissing        = "KeyMissing"
	ReasonNoOwner           = "NoOwner"
	ReasonOwnerRevoked      = "OwnerRevoked"
	ReasonNotOwner          = "NotOwner"
	ReasonStaleTable        = "StaleTable"
	ReasonLeaseEnded        = "LeaseEnded"
	ReasonNoUpstream        = "NoUpstream"
	ReasonUpstreamFailed    = "UpstreamFailed"
	ReasonUnreachable       = "Unreachable"
	ReasonQueueFull         = "QueueFull"
	ReasonIdentifiersFull   = "IdentifiersFull"
	ReasonDeadlinePassed    = "DeadlinePassed"
	ReasonCancelled         = "Cancelled"
	ReasonDraining          = "Draining"
	ReasonShed              = "Shed"
	ReasonStaleGrant        = "StaleGrant"
	ReasonBelowFloor        = "BelowFloor"
	ReasonFirstEpochMissing = "FirstEpochMissing"
	ReasonFirstStillRunning = "FirstStillRunning"
	ReasonEarlierUnknown    = "EarlierAttemptUnknown"
	ReasonNotRetained       = "ResponseNotRetained"
	ReasonBadResponse       = "BadResponse"
	ReasonBadRequest        = "BadRequest"
)

// config holds the options of a Router.
type config struct {
	resendWindow   time.Duration
	maxQueue       int
	maxIdentifiers int
	maxRetained    int
	retryFraction  float64
	retryBurst     float64
	slowStart      time.Duration
	rand           *rand.Rand
	removed        safeguards
}

// Option changes a setting of a Router.
type Option func(*config)

// WithResendWindow sets how long identifiers are retained after their request finished.
func WithResendWindow(d time.Duration) Option {
	return func(c *config) { c.resendWindow = d }
}

// WithMaxQueue bounds the number of requests that wait at the owner, for a slot, a move or a duplicate.
func WithMaxQueue(n int) Option {
	return func(c *config) { c.maxQueue = n }
}

// WithMaxIdentifiers bounds the number of retained identifiers. At the bound a new request that must not be repeated
// is answered NotRun, since forgetting an older identifier could run that one twice.
func WithMaxIdentifiers(n int) Option {
	return func(c *config) { c.maxIdentifiers = n }
}

// WithMaxRetained bounds the bytes of retained responses. Above it the oldest responses are dropped; their
// identifiers stay, and a duplicate is answered Unknown.
func WithMaxRetained(bytes int) Option {
	return func(c *config) { c.maxRetained = bytes }
}

// WithRetryBudget allows retries up to a fraction of requests and a burst.
func WithRetryBudget(fraction, burst float64) Option {
	return func(c *config) { c.retryFraction, c.retryBurst = fraction, burst }
}

// WithSlowStart sets the time over which a newly joined upstream reaches its full share of requests without a key.
func WithSlowStart(d time.Duration) Option {
	return func(c *config) { c.slowStart = d }
}

// WithRand sets the source of random choices.
func WithRand(r *rand.Rand) Option {
	return func(c *config) { c.rand = r }
}

// upstream is the local upstream as last announced.
type upstream struct {
	service      string
	address      netip.AddrPort
	slots        int
	connections  int
	checksGrants bool
	draining     bool
}

// Router makes the decisions for one process. Its methods may be called concurrently. Callbacks run on the caller's
// goroutine after the router's lock is released.
type Router struct {
	cfg config

	mu       sync.Mutex
	calls    []func()
	snapshot *sequoiacontrol.Snapshot
	upstream *upstream
	active   map[*Ticket]struct{}
	queue    []*waiter
	waiting  int
	moves    map[uint64]*closedMove
	memory   memory
	peers    map[sequoiatable.IncarnationID]*peerState
	// members lists, by service, the members that may serve requests without a key.
	members map[string][]*sequoiatable.MemberState
	budgets map[string]*RetryBudget
	limits  map[string]Limits
	// localService is the service that the local upstream last announced.
	localService string
	indexes      []indexSeen
	load         loadMeter
	waits        map[*indexWait]struct{}
}

// New returns a Router that answers NotRun until it has a snapshot and an upstream.
func New(opts ...Option) *Router {
	cfg := config{
		resendWindow: defaultResendWindow, maxQueue: defaultMaxQueue, maxIdentifiers: defaultMaxIdentifiers,
		maxRetained: defaultMaxRetained, retryFraction: defaultRetryFraction, retryBurst: defaultRetryBurst,
		slowStart: defaultSlowStart,
	}
	for _, o := range opts {
		o(&cfg)
	}
	if cfg.rand == nil {
		cfg.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Router{
		cfg: cfg, active: map[*Ticket]struct{}{}, moves: map[uint64]*closedMove{}, memory: newMemory(),
		peers: map[sequoiatable.IncarnationID]*peerState{}, budgets: map[string]*RetryBudget{},
		load: newLoadMeter(), waits: map[*indexWait]struct{}{},
	}
}

// locked runs f under the lock and then the callbacks that it scheduled.
func (r *Router) locked(f func()) {
	r.mu.Lock()
	f()
	calls := r.calls
	r.calls = nil
	r.mu.Unlock()
	for _, c := range calls {
		c()
	}
}

func (r *Router) call(f func()) {
	r.calls = append(r.calls, f)
}

// Publish installs a new snapshot and decides again about the requests that wait for a slot.
func (r *Router) Publish(now time.Time, s *sequoiacontrol.Snapshot) {
	r.locked(func() {
		changed := r.snapshot == nil || r.snapshot.Table.Index != s.Table.Index
		r.snapshot = s
		if changed {
			r.sawIndex(now, s.Table.Index)
			r.updatePeers(now)
			r.releaseIndexWaits()
		}
		r.pump(now)
	})
}

// Snapshot returns the snapshot in force, nil before the first Publish.
func (r *Router) Snapshot() *sequoiacontrol.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// SetUpstream records what the local upstream has announced, or with Gone that it is silent. Requests that wait for
// a slot of an upstream that is gone end as NotRun.
func (r *Router) SetUpstream(now time.Time, u sequoiacontrol.Upstream) {
	r.locked(func() {
		r.upstream = nil
		if !u.Gone {
			r.localService = u.Service
			r.upstream = &upstream{
				service: u.Service, address: u.Address, slots: u.Slots, connections: u.Connections,
				checksGrants: u.ChecksGrants, draining: u.Draining,
			}
		}
		r.pump(now)
	})
}

// Tick ends waiting requests whose deadline or lease has passed and forgets expired identifiers. It is called every
// 50 ms or more often.
func (r *Router) Tick(now time.Time) {
	r.locked(func() {
		r.pump(now)
		for _, m := range r.moves {
			r.expireHeld(now, m)
		}
		r.expireFollowers(now)
		r.memory.expire(now.Add(-r.localLimits().ResendWindow))
		if r.snapshot != nil {
			r.sawIndex(now, r.snapshot.Table.Index)
		}
	})
}

// Stats are the sizes of the router's state.
type Stats struct {
	InFlight      int
	Waiting       int
	ClosedKeys    int
	Identifiers   int
	RetainedBytes int
}

// Stats returns the present sizes.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Stats{
		InFlight: len(r.active), Waiting: r.waiting, Identifiers: len(r.memory.records),
		RetainedBytes: r.memory.bytes,
	}
	for _, m := range r.moves {
		s.ClosedKeys += len(m.shards) + len(m.keys)
	}
	return s
}

// indexSeen says that the table had reached an index at a moment.
type indexSeen struct {
	at    time.Time
	index uint64
}

// indexResolution bounds the number of observations that sawIndex keeps per resend window.
const indexResolution = time.Second

func (r *Router) sawIndex(now time.Time, index uint64) {
	n := len(r.indexes)
	if n == 0 || now.Sub(r.indexes[n-1].at) >= indexResolution {
		r.indexes = append(r.indexes, indexSeen{now, index})
	}
	old := now.Add(-r.localLimits().ResendWindow)
	for len(r.indexes) > 1 && !r.indexes[1].at.After(old) {
		r.indexes = r.indexes[1:]
	}
}

// older reports whether the log entry is known to be older than the resend window. Entries carry no time, so this
// compares with the indexes that this process had reached; a process that started less than a resend window ago knows
// of no old entry.
func (r *Router) older(now time.Time, e sequoiatable.Epoch) bool {
	if len(r.indexes) == 0 {
		return false
	}
	first := r.indexes[0]
	return now.Sub(first.at) >= r.localLimits().ResendWindow && uint64(e) <= first.index
}

// indexWait is a request that waits for the table to reach an index.
type indexWait struct {
	index uint64
	then  func()
}

// WaitIndex calls then once the published table has reached the index. The caller bounds the wait by cancel.
func (r *Router) WaitIndex(index uint64, then func()) (cancel func()) {
	w := &indexWait{index, then}
	r.locked(func() {
		r.waits[w] = struct{}{}
		r.releaseIndexWaits()
	})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.waits, w)
	}
}

func (r *Router) releaseIndexWaits() {
	if r.snapshot == nil {
		return
	}
	for w := range r.waits {
		if w.index <= r.snapshot.Table.Index {
			r.call(w.then)
			delete(r.waits, w)
		}
	}
}

// respond returns a response without an upstream's answer.
func (r *Router) respond(o Outcome, reason string, a sequoiatable.Assignment) *Response {
	resp := &Response{Outcome: o, Reason: reason, Owner: a.Owner, Epoch: a.Epoch}
	if r.snapshot != nil {
		resp.LogIndex = r.snapshot.Table.Index
	}
	return resp
}

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
	defaultResendWindow     = 60 * time.Second
	defaultMaxQueue         = 256
	defaultMaxIdentifiers   = 1 << 18
	defaultMaxRetainedBytes = 32 << 20 // bytes
	defaultRetryFraction    = 0.1
	defaultRetryBurst       = 10
	defaultSlowStart        = 10 * time.Second
)

// Reasons for the outcomes NotRun and Unknown.
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
	resendWindow     time.Duration
	maxQueue         int
	maxIdentifiers   int
	maxRetainedBytes int
	retryFraction    float64
	retryBurst       float64
	slowStart        time.Duration
	rand             *rand.Rand
	disabled         safeguards
}

// Option changes a setting of a Router.
type Option func(*config)

// WithResendWindow sets how long identifiers are retained after their request finished.
func WithResendWindow(d time.Duration) Option {
	return func(c *config) { c.resendWindow = d }
}

// WithMaxQueue limits the number of requests that wait at the owner for a slot, for a move, or for another copy of the
// same request.
func WithMaxQueue(n int) Option {
	return func(c *config) { c.maxQueue = n }
}

// WithMaxIdentifiers limits the number of retained identifiers. At the limit, a new request that must not be repeated
// is answered NotRun, because evicting an older identifier could let its request run twice.
func WithMaxIdentifiers(n int) Option {
	return func(c *config) { c.maxIdentifiers = n }
}

// WithMaxRetainedBytes limits the total size of retained responses. Above the limit the oldest responses are dropped;
// their identifiers are kept, and a duplicate is answered Unknown.
func WithMaxRetainedBytes(bytes int) Option {
	return func(c *config) { c.maxRetainedBytes = bytes }
}

// WithRetryBudget limits retries to a fraction of requests plus a burst.
func WithRetryBudget(fraction, burst float64) Option {
	return func(c *config) { c.retryFraction, c.retryBurst = fraction, burst }
}

// WithSlowStart sets the time in which a newly joined upstream ramps up to its full share of requests without a key.
func WithSlowStart(d time.Duration) Option {
	return func(c *config) { c.slowStart = d }
}

// WithRand sets the random number generator.
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

// Router makes the routing and admission decisions of one process. Its methods may be called concurrently. Callbacks
// run on the caller's goroutine after the router's lock is released.
type Router struct {
	cfg config

	mu          sync.Mutex
	callbacks   []func()
	snapshot    *sequoiacontrol.Snapshot
	upstream    *upstream
	active      map[*Ticket]struct{}
	queue       []*pendingRequest
	waiting     int
	moves       map[uint64]*closedKeySet
	identifiers identifierStore
	peers       map[sequoiatable.IncarnationID]*peerState
	// members maps a service to the members that may serve requests without a key.
	members map[string][]*sequoiatable.MemberState
	budgets map[string]*RetryBudget
	limits  map[string]Limits
	// localService is the service that the local upstream last announced.
	localService string
	indexHistory []indexObservation
	load         loadMeter
	indexWaits   map[*indexWait]struct{}
}

// New returns a Router that answers NotRun until it has a snapshot and an upstream.
func New(opts ...Option) *Router {
	cfg := config{
		resendWindow: defaultResendWindow, maxQueue: defaultMaxQueue, maxIdentifiers: defaultMaxIdentifiers,
		maxRetainedBytes: defaultMaxRetainedBytes, retryFraction: defaultRetryFraction, retryBurst: defaultRetryBurst,
		slowStart: defaultSlowStart,
	}
	for _, o := range opts {
		o(&cfg)
	}
	if cfg.rand == nil {
		cfg.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Router{
		cfg: cfg, active: map[*Ticket]struct{}{}, moves: map[uint64]*closedKeySet{}, identifiers: newIdentifierStore(),
		peers: map[sequoiatable.IncarnationID]*peerState{}, budgets: map[string]*RetryBudget{},
		load: newLoadMeter(), indexWaits: map[*indexWait]struct{}{},
	}
}

// withLock runs f with the lock held, and then the scheduled callbacks without it.
func (r *Router) withLock(f func()) {
	r.mu.Lock()
	f()
	calls := r.callbacks
	r.callbacks = nil
	r.mu.Unlock()
	for _, c := range calls {
		c()
	}
}

func (r *Router) scheduleCallback(f func()) {
	r.callbacks = append(r.callbacks, f)
}

// Publish installs a new snapshot and re-evaluates the queued requests.
func (r *Router) Publish(now time.Time, s *sequoiacontrol.Snapshot) {
	r.withLock(func() {
		changed := r.snapshot == nil || r.snapshot.Table.Index != s.Table.Index
		r.snapshot = s
		if changed {
			r.recordIndex(now, s.Table.Index)
			r.updatePeers(now)
			r.releaseIndexWaits()
		}
		r.dispatchQueue(now)
	})
}

// Snapshot returns the current snapshot, or nil before the first Publish.
func (r *Router) Snapshot() *sequoiacontrol.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// SetUpstream records the local upstream's announcement or, if u.Gone is set, that it no longer announces itself.
// Queued requests for an upstream that is gone are answered NotRun.
func (r *Router) SetUpstream(now time.Time, u sequoiacontrol.Upstream) {
	r.withLock(func() {
		r.upstream = nil
		if !u.Gone {
			r.localService = u.Service
			r.upstream = &upstream{
				service: u.Service, address: u.Address, slots: u.Slots, connections: u.Connections,
				checksGrants: u.ChecksGrants, draining: u.Draining,
			}
		}
		r.dispatchQueue(now)
	})
}

// Tick answers waiting requests whose deadline or lease has passed and removes expired identifiers. It must be called
// at least every 50 ms.
func (r *Router) Tick(now time.Time) {
	r.withLock(func() {
		r.dispatchQueue(now)
		for _, c := range r.moves {
			r.expireHeld(now, c)
		}
		r.expireDuplicates(now)
		r.identifiers.expire(now.Add(-r.localLimits().ResendWindow))
		if r.snapshot != nil {
			r.recordIndex(now, r.snapshot.Table.Index)
		}
	})
}

// Stats are the sizes of the router's state.
type Stats struct {
	InFlight int
	Waiting  int
	// ClosedAssignments is the number of shards and hot keys that are closed for a move.
	ClosedAssignments int
	Identifiers       int
	RetainedBytes     int
}

// Stats returns the current sizes.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Stats{
		InFlight: len(r.active), Waiting: r.waiting, Identifiers: len(r.identifiers.records),
		RetainedBytes: r.identifiers.retainedBytes,
	}
	for _, c := range r.moves {
		s.ClosedAssignments += len(c.shards) + len(c.keys)
	}
	return s
}

// indexObservation records that the table had reached a log index at a time.
type indexObservation struct {
	at    time.Time
	index uint64
}

// minIndexInterval is the minimum time between observations that recordIndex keeps, which bounds their number per
// resend window.
const minIndexInterval = time.Second

func (r *Router) recordIndex(now time.Time, index uint64) {
	n := len(r.indexHistory)
	if n == 0 || now.Sub(r.indexHistory[n-1].at) >= minIndexInterval {
		r.indexHistory = append(r.indexHistory, indexObservation{now, index})
	}
	windowStart := now.Add(-r.localLimits().ResendWindow)
	for len(r.indexHistory) > 1 && !r.indexHistory[1].at.After(windowStart) {
		r.indexHistory = r.indexHistory[1:]
	}
}

// olderThanResendWindow reports whether epoch e, which is the index of a log entry, is known to be older than the
// resend window. Entries have no timestamp, so this compares e with the indexes that this process observed; a process
// that started less than a resend window ago returns false.
func (r *Router) olderThanResendWindow(now time.Time, e sequoiatable.Epoch) bool {
	if len(r.indexHistory) == 0 {
		return false
	}
	first := r.indexHistory[0]
	return now.Sub(first.at) >= r.localLimits().ResendWindow && uint64(e) <= first.index
}

// indexWait is a callback that waits for the table to reach a log index.
type indexWait struct {
	index     uint64
	onReached func()
}

// WaitIndex calls onReached once the published table has reached the log index. The caller limits the wait by calling
// cancel.
func (r *Router) WaitIndex(index uint64, onReached func()) (cancel func()) {
	w := &indexWait{index, onReached}
	r.withLock(func() {
		r.indexWaits[w] = struct{}{}
		r.releaseIndexWaits()
	})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.indexWaits, w)
	}
}

func (r *Router) releaseIndexWaits() {
	if r.snapshot == nil {
		return
	}
	for w := range r.indexWaits {
		if w.index <= r.snapshot.Table.Index {
			r.scheduleCallback(w.onReached)
			delete(r.indexWaits, w)
		}
	}
}

// respond returns a response that the router creates itself, without an upstream's response.
func (r *Router) respond(o Outcome, reason string, a sequoiatable.Assignment) *Response {
	resp := &Response{Outcome: o, Reason: reason, Owner: a.Owner, Epoch: a.Epoch}
	if r.snapshot != nil {
		resp.LogIndex = r.snapshot.Table.Index
	}
	return resp
}

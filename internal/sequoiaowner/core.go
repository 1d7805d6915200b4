// Package sequoiaowner decides which upstream owns which keys and when it may serve them. Core is a state machine that
// takes events and returns actions; it does no I/O.
//
// The table of key ranges is one value in the platform's store, changed only by compare-and-swap. A process grants the
// keys that the table assigns to its local upstream, and only while it has authority: for a fixed time after it sent
// the last call that the store answered and that confirms its member entry. Grants never outlast the authority.
//
// Each process has a registration record beside its entry, under no lease, which every write of the entry rewrites. A
// process takes keys over if it has read that record and then seen in an answer of the store that the entry is missing,
// has waited for as long as an authority lasts, and writes on the condition that the record has not changed. The owner
// then had no entry since that answer, so its last confirmation was sent before it.
//
// While no process reaches the store, none can take keys over. A process that loses the store therefore keeps its
// authority if all other members promise that they have lost the store too and will take over no keys for a limited
// time. A member that the process does not know of is not asked, so a process waits after it has registered before it
// takes over keys.
package sequoiaowner

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

// Times of ownership.
const (
	// DefaultAuthority is how long a process may grant keys after its registration was last confirmed. Keys of a lost
	// instance wait that long; three lease renewals fit into it.
	DefaultAuthority = 3500 * time.Millisecond
	// maxAuthority bounds the authority when the other members' promises extend it. It exceeds the usual store outage.
	maxAuthority = 12 * time.Second
	// PromiseTime is how long a member that cannot reach the store promises to take over no keys.
	PromiseTime = 1500 * time.Millisecond
	// promiseAfter is the age of the last confirmation from which a member gives promises and asks for them.
	promiseAfter = 1200 * time.Millisecond
	// grantDuration is the duration of a grant: longer than the requests served under it, but short because the keys of a
	// failed upstream wait until it ends.
	grantDuration = 2500 * time.Millisecond
	// renewInterval is the time between renewals of a grant. Two renewals may be lost before the grant ends.
	renewInterval = 700 * time.Millisecond
	// grantRetryDelay is the delay before a grant that got no response is sent again.
	grantRetryDelay = 250 * time.Millisecond
	// clockDrift is the fraction by which a grant is shortened to allow for a slow upstream clock; the specified bound is
	// 2%.
	clockDrift = 0.03
	// minGrantDuration is the shortest grant worth sending.
	minGrantDuration = 300 * time.Millisecond
	// takeoverMargin covers the clock difference between two processes over the authority's duration.
	takeoverMargin = 300 * time.Millisecond
	// joinWait is how long a process waits after it has registered under a new lease before it takes over keys. A member
	// that does not know of the process, and so does not ask for its promise, has lost its authority by then. It exceeds
	// maxAuthority by 4 s, so that a view of the members that was up to 4 s old at the last confirmation does not end an
	// extended authority early.
	joinWait = 16 * time.Second
	// joinMargin covers the clock difference between two processes over joinWait, at 2%.
	joinMargin = 400 * time.Millisecond
	// staggerInterval separates the attempts of several processes to make the same change.
	staggerInterval = 700 * time.Millisecond
	// settleTime is how long a service's members must be unchanged before its keys are first assigned to them.
	settleTime = 2 * time.Second
	// holderTimeout is how long an upstream that holds keys may be silent: two renewals and a margin.
	holderTimeout = 1500 * time.Millisecond
	// maxMissedAnnouncements is how many announcements an upstream without keys may miss.
	maxMissedAnnouncements = 3
	// defaultHeartbeat is the interval of an upstream's announcements.
	defaultHeartbeat = time.Second
	// writeRetryDelay is the delay after a failed write of the table.
	writeRetryDelay = 150 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation up to which a move may begin. After that the store may be
	// failing.
	maxConfirmationAge = 1800 * time.Millisecond
	// MaxRanges bounds the ranges of one upstream, each of which is renewed separately.
	MaxRanges = 24
)

// Member is a process that is registered in the store.
type Member struct {
	Instance string
	// Address accepts requests forwarded by other processes.
	Address netip.AddrPort
	// Domain is the failure domain of the instance.
	Domain string
	// Process identifies one run of the process on its instance.
	Process  string
	Upstream Upstream
	// Protocol is the version of the protocol between processes that the process speaks, zero for one before version 2.
	Protocol int `json:",omitempty"`
	// ColdFor is how much longer the upstream was cold when the entry was written.
	ColdFor time.Duration `json:",omitempty"`
	// Revision is the entry's revision in the store. It is not encoded.
	Revision uint64 `json:"-"`
}

// Upstream is what a process publishes about its local upstream.
type Upstream struct {
	ID      string
	Born    int64
	Service string
	Slots   int
	// Leaving is true once the upstream has announced its shutdown.
	Leaving bool
	// Lost is true while the upstream does not respond.
	Lost bool
}

// Usable reports whether the upstream may be given keys and requests.
func (u Upstream) Usable() bool { return u.ID != "" && !u.Leaving && !u.Lost }

// Holder returns the upstream as the table identifies it.
func (m Member) Holder() sequoiakeyspace.Holder {
	return sequoiakeyspace.Holder{Instance: m.Instance, Upstream: m.Upstream.ID, Born: m.Upstream.Born}
}

// Usable reports whether the member's upstream may be given keys and requests.
func (m Member) Usable() bool { return m.Upstream.Usable() }

// Actions are the calls that the caller of Step must make.
type Actions struct {
	Grants   []Grant
	Releases []Release
	Write    *Write
	// Observe asks the caller to read an Observation from the store and to pass it to ObservationDone.
	Observe bool
}

// Core is the ownership state of one process. It is not safe for concurrent use.
type Core struct {
	instance  string
	heartbeat time.Duration
	meter     *sequoiakeyspace.Meter
	// longestRun returns how much longer requests in progress at the local upstream on some keys may take, zero if there
	// are none.
	longestRun func(from, to sequoiakeyspace.Key) time.Duration
	// domain is the failure domain of the instance, evacuated the set of domains that are being evacuated, and room returns
	// how much more work a member's upstream can take.
	domain    string
	evacuated map[string]bool
	room      func(m Member) float64

	members          map[string]Member
	membersChangedAt time.Time
	presence         presence
	lastAddresses    map[string]netip.AddrPort
	table            *sequoiakeyspace.Table
	// tableInstances is the set of instances that hold keys in the table.
	tableInstances map[string]bool
	revision       uint64
	keyedServices  map[string]bool
	upstream       Upstream
	lastSeen       time.Time
	// grantsKnownSince is since when all grants sent to the local upstream are in grants.
	grantsKnownSince      time.Time
	confirmedAt           time.Time
	extendedUntil         time.Time
	promisedUntil         time.Time
	registrationConfirmed bool
	grants                map[sequoiakeyspace.Range]*grant
	moves                 []*move
	// lease is the lease of this process's entry, and joinedAt is when the entry was first written under it. registration
	// is the revision of the registration record.
	lease        uint64
	joinedAt     time.Time
	registration uint64
	// viewedAt is a time up to which the members are known completely.
	viewedAt time.Time
	// writing is the write in progress, and inDoubt holds takeovers that may still be applied.
	writing   *Write
	inDoubt   []doubt
	nextWrite time.Time
	stopping  bool
	// endedProcesses holds the processes that reported their end, by instance.
	endedProcesses map[string]string
	recovery       recovery
	// memberSince is when the entry was first written after it may have been missing.
	memberSince   time.Time
	registeredEra uint64
	// latestRevision is the highest revision of the table that another process is known to have.
	latestRevision uint64
}

// Option configures a Core.
type Option func(*Core)

// WithHeartbeat sets the interval of the local upstream's announcements.
func WithHeartbeat(d time.Duration) Option {
	return func(c *Core) { c.heartbeat = d }
}

// WithMeter sets the measured load of the local upstream's keys.
func WithMeter(m *sequoiakeyspace.Meter) Option {
	return func(c *Core) { c.meter = m }
}

// WithLongestRun sets the function that returns how much longer requests in progress at the local upstream on the keys
// from through to may take. Step calls it.
func WithLongestRun(f func(from, to sequoiakeyspace.Key) time.Duration) Option {
	return func(c *Core) { c.longestRun = f }
}

// WithDomain sets the failure domain of the instance.
func WithDomain(domain string) Option {
	return func(c *Core) { c.domain = domain }
}

// WithRoom sets the function that returns how much more work the upstream of a member can take, compared with those of
// other members: zero if it must be given no keys while there is another one, for example because it is cold. Step
// calls it.
func WithRoom(f func(m Member) float64) Option {
	return func(c *Core) { c.room = f }
}

// New returns the Core of the process on an instance. All times must come from a clock that keeps running while the
// instance is suspended.
func New(instance string, now time.Time, opts ...Option) *Core {
	c := &Core{
		instance: instance, heartbeat: defaultHeartbeat, grantsKnownSince: now, lastSeen: now,
		meter: sequoiakeyspace.NewMeter(), longestRun: func(_, _ sequoiakeyspace.Key) time.Duration { return 0 },
		room:    func(Member) float64 { return 1 },
		members: map[string]Member{}, presence: newPresence(), lastAddresses: map[string]netip.AddrPort{},
		keyedServices: map[string]bool{}, endedProcesses: map[string]string{},
		grants: map[sequoiakeyspace.Range]*grant{}, membersChangedAt: now,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// SetKeyedServices sets the services whose upstreams own keys.
func (c *Core) SetKeyedServices(services []string) {
	c.keyedServices = map[string]bool{}
	for _, s := range services {
		c.keyedServices[s] = true
	}
}

// Members returns the registered members by instance. The map must not be changed.
func (c *Core) Members() map[string]Member { return c.members }

// Table returns the table and its revision; the table is nil until one has been read. It must not be changed.
func (c *Core) Table() (*sequoiakeyspace.Table, uint64) { return c.table, c.revision }

// SetTable stores the table with its store revision. It ignores a table that is not newer than the current one. A table
// that a restored store holds is kept aside until it is recovered.
func (c *Core) SetTable(t *sequoiakeyspace.Table, revision uint64) bool {
	if revision < c.revision || (revision == c.revision && c.table != nil) {
		return false
	}
	c.enterEra(sequoiaregistry.Era(revision))
	if c.setRestored(t, revision) {
		return false
	}
	if revision > c.recovery.base {
		c.recovery.restored = nil
	}
	c.table, c.revision = t, revision
	c.tableInstances = t.Instances()
	c.nextWrite = time.Time{}
	c.inDoubt = slices.DeleteFunc(c.inDoubt, func(d doubt) bool { return d.revision < revision })
	c.dropStaleMoves()
	return true
}

func (c *Core) service() string { return c.upstream.Service }

// SetUpstream records an announcement of the local upstream. An announcement of an earlier incarnation is ignored.
func (c *Core) SetUpstream(now time.Time, u Upstream) bool {
	if c.upstream.ID != "" && u.Born < c.upstream.Born {
		return false
	}
	if u.ID != c.upstream.ID || u.Born != c.upstream.Born {
		c.grants = map[sequoiakeyspace.Range]*grant{}
		if c.upstream.ID != "" {
			c.grantsKnownSince = now
		}
		c.moves = nil
		c.recovery.continuous = nil
	} else if c.upstream.Leaving {
		u.Leaving = true
	}
	c.upstream = u
	c.lastSeen = now
	return true
}

// Upstream returns the local upstream.
func (c *Core) Upstream() Upstream { return c.upstream }

// MarkAlive records that the local upstream responded.
func (c *Core) MarkAlive(now time.Time) {
	c.lastSeen = now
	c.upstream.Lost = false
}

// MarkUpstreamLost records that the local upstream refuses connections.
func (c *Core) MarkUpstreamLost() {
	if c.upstream.ID != "" {
		c.upstream.Lost = true
	}
}

// Stop makes the process move its keys away, because it and its upstream are shutting down. It takes over no more keys.
func (c *Core) Stop() { c.stopping = true }

// Step returns the actions that are due.
func (c *Core) Step(now time.Time) Actions {
	var a Actions
	c.updateLiveness(now)
	if c.table != nil {
		c.stepLeaving(now)
		c.stepGrants(now, &a)
		c.stepMoves(now, &a)
	}
	if a.Write == nil || c.unrecovered() {
		a.Write = c.plan(now)
	}
	if c.writing != nil || now.Before(c.nextWrite) || c.table == nil && c.recovery.restored == nil {
		a.Write = nil
	} else {
		c.writing = a.Write
	}
	a.Observe = c.startObservation(now)
	return a
}

// updateLiveness records whether the local upstream has timed out, and which members seem to be missing.
func (c *Core) updateLiveness(now time.Time) {
	if c.upstream.ID != "" && now.Sub(c.lastSeen) > c.upstreamTimeout() {
		c.upstream.Lost = true
	}
	if c.table != nil {
		c.updateMissing(now)
	}
}

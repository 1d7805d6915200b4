// Package sequoiaowner decides which upstream holds which keys and when it may serve them. Its Core takes what happened
// and returns what is to be done; it does no input or output.
//
// The table of ranges is one value in the platform's store, changed by compare-and-swap only. A process grants the keys
// that the table names for the upstream beside it, and only while it has authority: for a fixed time after it sent the
// last call that the store answered and that proves that its entry among the members exists. Grants end with the
// authority at the latest. So a process whose entry has been missing for that time, in the same write that takes its
// keys, holds none.
//
// While nobody reaches the store nobody can take keys over either. So a process that has lost the store goes on if all
// other members promise that they have lost it too and take nothing over for a while. A member that has joined since
// the last proof is not asked, so a process that is young waits longer before it takes keys over.
package sequoiaowner

import (
	"maps"
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// Times of ownership.
const (
	// DefaultAuthority is how long a process may grant keys after its last proof, 3.5 s. A lost instance's keys wait that
	// long; three renewals of a lease fit into it.
	DefaultAuthority = 3500 * time.Millisecond
	// maxAuthority bounds the authority with the promises of the other members, 12 s: longer than outages of the store
	// usually are, and the longest wait for the keys of a lost instance.
	maxAuthority = 12 * time.Second
	// PromiseTime is how long a member that does not reach the store promises to take no keys over, 1.5 s.
	PromiseTime = 1500 * time.Millisecond
	// promiseAfter is the age of the last proof from which a member promises, and asks for promises, 1.2 s.
	promiseAfter = 1200 * time.Millisecond
	// defaultHold is the duration of a grant, 2.5 s: longer than the requests that run on it, and short because the keys
	// of an upstream that fails wait for its end.
	defaultHold = 2500 * time.Millisecond
	// renewInterval is the time between renewals of a grant, 700 ms, so that two may be lost.
	renewInterval = 700 * time.Millisecond
	// retryInterval is the time to the next attempt after a grant without an answer.
	retryInterval = 250 * time.Millisecond
	// drift is the part of a grant's duration by which an upstream's clock may exceed it; 2% is the stated bound.
	drift = 0.03
	// minHold is the shortest grant worth sending.
	minHold = 300 * time.Millisecond
	// takeoverMargin covers the difference between the clocks of two processes over the authority's duration.
	takeoverMargin = 300 * time.Millisecond
	// rankDelay separates the attempts of several processes to make the same change.
	rankDelay = 700 * time.Millisecond
	// settleTime is how long the members of a service must be unchanged before its keys are spread over them.
	settleTime = 2 * time.Second
	// holderSilence is how long an upstream that holds keys may show no sign of life, 1.5 s: two renewals and a margin.
	holderSilence = 1500 * time.Millisecond
	// idleSilence is how many announcements an upstream without keys may miss.
	idleSilence = 3
	// defaultHeartbeat is the interval of an upstream's announcements, 1 s.
	defaultHeartbeat = time.Second
	// takeoverSettle is how long a takeover without an answer may still be carried out, 2 s: a call lasts 800 ms, and
	// what a slow store has received it answers within some 250 ms.
	takeoverSettle = 2 * time.Second
	// writeInterval is the time between attempts to write the table.
	writeInterval = 150 * time.Millisecond
	// freshProof is the age of the last proof up to which a move may begin. Later the store may be failing.
	freshProof = 1800 * time.Millisecond
	// MaxRanges bounds the ranges of one upstream, each of which is renewed by itself.
	MaxRanges = 24
)

// Member is a process that is registered in the store.
type Member struct {
	Instance string
	// Address takes requests that other processes forward.
	Address netip.AddrPort
	Domain  string
	// Process names one life of the process.
	Process  string
	Upstream Upstream
	// Revision is the store's. It is not encoded.
	Revision uint64 `json:"-"`
}

// Upstream is what a process says of the upstream beside it.
type Upstream struct {
	ID      string
	Born    int64
	Service string
	Slots   int
	// Leaving is true once the upstream has announced that it will end.
	Leaving bool
	// Lost is true while the upstream shows no sign of life.
	Lost bool
}

// Usable reports whether the upstream may get keys and requests.
func (u Upstream) Usable() bool { return u.ID != "" && !u.Leaving && !u.Lost }

// Holder returns the upstream as the table names it.
func (m Member) Holder() sequoiakeyspace.Holder {
	return sequoiakeyspace.Holder{Instance: m.Instance, Upstream: m.Upstream.ID, Born: m.Upstream.Born}
}

// Usable reports whether the member's upstream may get keys and requests.
func (m Member) Usable() bool { return m.Upstream.Usable() }

// Actions are what the core wants done.
type Actions struct {
	Grants   []Grant
	Releases []Release
	Write    *Write
}

// Core is the state of one process's ownership. It is not safe for concurrent use.
type Core struct {
	instance  string
	heartbeat time.Duration
	meter     *sequoiakeyspace.Meter

	members   map[string]Member
	changed   time.Time
	absent    map[string]time.Time
	addresses map[string]netip.AddrPort
	table     *sequoiakeyspace.Table
	// named has the instances that the table names.
	named     map[string]bool
	revision  uint64
	keyed     map[string]bool
	upstream  Upstream
	alive     time.Time
	started   time.Time
	proof     time.Time
	extended  time.Time
	promised  time.Time
	verified  bool
	grants    map[sequoiakeyspace.Range]*grant
	moves     []*move
	writing   bool
	nextWrite time.Time
	// takingOver is true while a takeover is being written, and tookOver is when the last one ended without success.
	takingOver bool
	tookOver   time.Time
	stopping   bool
	// gone has the processes that have said that they end, by instance.
	gone map[string]string
}

// Option changes a Core under construction.
type Option func(*Core)

// WithHeartbeat sets the interval of the local upstream's announcements.
func WithHeartbeat(d time.Duration) Option {
	return func(c *Core) { c.heartbeat = d }
}

// WithMeter sets the measured load of the local upstream's keys.
func WithMeter(m *sequoiakeyspace.Meter) Option {
	return func(c *Core) { c.meter = m }
}

// New returns the Core of the process on an instance. All times must come from a clock that goes on while the instance
// is suspended.
func New(instance string, now time.Time, opts ...Option) *Core {
	c := &Core{
		instance: instance, heartbeat: defaultHeartbeat, started: now, alive: now,
		meter:   sequoiakeyspace.NewMeter(),
		members: map[string]Member{}, absent: map[string]time.Time{}, addresses: map[string]netip.AddrPort{}, keyed: map[string]bool{}, gone: map[string]string{},
		grants: map[sequoiakeyspace.Range]*grant{}, changed: now,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// SetKeyed names the services whose upstreams own keys.
func (c *Core) SetKeyed(services []string) {
	c.keyed = map[string]bool{}
	for _, s := range services {
		c.keyed[s] = true
	}
}

// SetMember notes a member's entry in the store.
func (c *Core) SetMember(now time.Time, m Member) {
	old, known := c.members[m.Instance]
	if known && old.Revision > m.Revision {
		return
	}
	if !known || old.Upstream != m.Upstream {
		c.changed = now
	}
	c.members[m.Instance] = m
	c.addresses[m.Instance] = m.Address
	delete(c.absent, m.Instance)
}

// RemoveMember notes that a member's entry is gone. A process whose own entry is gone has no new proof until it is
// registered again.
func (c *Core) RemoveMember(now time.Time, instance string, revision uint64) {
	if m, known := c.members[instance]; !known || m.Revision > revision {
		return
	}
	delete(c.members, instance)
	c.changed = now
	if instance == c.instance {
		c.verified = false
	}
}

// Members returns the registered members by instance. The map must not be changed.
func (c *Core) Members() map[string]Member { return c.members }

// Table returns the table and its revision; the table is nil until one has been read. It must not be changed.
func (c *Core) Table() (*sequoiakeyspace.Table, uint64) { return c.table, c.revision }

// SetTable notes the table with its revision in the store. A table older than the known one is ignored.
func (c *Core) SetTable(t *sequoiakeyspace.Table, revision uint64) bool {
	if revision < c.revision || (revision == c.revision && c.table != nil) {
		return false
	}
	c.table, c.revision = t, revision
	c.named = t.Instances()
	c.nextWrite = time.Time{}
	c.dropMoves()
	return true
}

func (c *Core) service() string { return c.upstream.Service }

// SetUpstream notes what the local upstream says of itself. An announcement of an earlier life is ignored.
func (c *Core) SetUpstream(now time.Time, u Upstream) bool {
	if c.upstream.ID != "" && u.Born < c.upstream.Born {
		return false
	}
	if u.ID != c.upstream.ID || u.Born != c.upstream.Born {
		c.grants = map[sequoiakeyspace.Range]*grant{}
		c.moves = nil
	} else if c.upstream.Leaving {
		u.Leaving = true
	}
	c.upstream = u
	c.alive = now
	return true
}

// Upstream returns the local upstream.
func (c *Core) Upstream() Upstream { return c.upstream }

// Alive notes a sign of life of the local upstream.
func (c *Core) Alive(now time.Time) {
	c.alive = now
	c.upstream.Lost = false
}

// UpstreamLost notes that the local upstream refuses connections.
func (c *Core) UpstreamLost() {
	if c.upstream.ID != "" {
		c.upstream.Lost = true
	}
}

// Stop makes the process give its keys away, because it is about to end and its upstream has ended or will. It takes
// nothing over any more.
func (c *Core) Stop() { c.stopping = true }

// Step returns what is to be done now.
func (c *Core) Step(now time.Time) Actions {
	var a Actions
	c.observe(now)
	if c.table != nil {
		c.stepLeaving(now)
		c.stepGrants(now, &a)
		c.stepMoves(now, &a)
	}
	if a.Write == nil {
		a.Write = c.plan(now)
	}
	if a.Write != nil {
		if c.writing || now.Before(c.nextWrite) || c.table == nil {
			a.Write = nil
		} else {
			c.writing = true
			c.takingOver = len(a.Write.Absent) > 0
		}
	}
	return a
}

// observe notes since when members that hold keys have been missing, and whether the local upstream is alive.
func (c *Core) observe(now time.Time) {
	if c.upstream.ID != "" && now.Sub(c.alive) > c.silence() {
		c.upstream.Lost = true
	}
	if c.table == nil {
		return
	}
	for instance := range c.named {
		_, registered := c.members[instance]
		_, known := c.absent[instance]
		if !registered && !known {
			c.absent[instance] = now
		}
	}
	maps.DeleteFunc(c.absent, func(instance string, _ time.Time) bool { return !c.named[instance] })
}

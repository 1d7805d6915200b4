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
	"slices"
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
	// Revision and Lease are the store's. They are not encoded.
	Revision uint64 `json:"-"`
	Lease    uint64 `json:"-"`
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

// Holder returns the upstream as the table names it.
func (m Member) Holder() sequoiakeyspace.Holder {
	return sequoiakeyspace.Holder{Instance: m.Instance, Upstream: m.Upstream.ID, Born: m.Upstream.Born}
}

// Usable reports whether the member's upstream may get keys and requests.
func (m Member) Usable() bool {
	return m.Upstream.ID != "" && !m.Upstream.Leaving && !m.Upstream.Lost
}

// Grant is an order to the upstream to hold keys, or to renew them.
type Grant struct {
	Range sequoiakeyspace.Range
	Hold  time.Duration
	Sent  time.Time
}

// Release is an order to the upstream to give keys back.
type Release struct {
	Range sequoiakeyspace.Range
}

// Reasons of a change of the table.
const (
	ReasonBalance  = "Balance"
	ReasonLeaving  = "Leaving"
	ReasonRestart  = "UpstreamRestarted"
	ReasonRefused  = "GrantRefused"
	ReasonSpread   = "Spread"
	ReasonTakeover = "Takeover"
)

// Write is a change of the table. It holds only if the members named in Absent are not registered.
type Write struct {
	// Changes are the proposed assignments. Spread, if set, gives all keys of a service to holders for the first time.
	Changes []sequoiakeyspace.Change
	Spread  string
	Holders []sequoiakeyspace.Holder
	Absent  []string
	Reason  string
}

// Apply makes the write's changes to a table and returns those that still hold.
func (w *Write) Apply(t *sequoiakeyspace.Table) []sequoiakeyspace.Change {
	if w.Spread != "" && len(t.Services[w.Spread]) == 0 {
		t.Spread(w.Spread, w.Holders)
	}
	return t.Apply(w.Changes)
}

// Actions are what the core wants done.
type Actions struct {
	Grants   []Grant
	Releases []Release
	Write    *Write
	// ReadTable asks for a read of the table that is not stale.
	ReadTable bool
}

// grant is the state of one range at the upstream.
type grant struct {
	inFlight bool
	next     time.Time
	// until is the end of what the upstream has confirmed, latest the end of all that was sent, and unconfirmed the end
	// of what was sent without an answer.
	until, latest, unconfirmed time.Time
	// since is when the table first named the local upstream for these keys with this fence.
	since   time.Time
	refused bool
}

// move is a range on its way to another holder, or away from one that is lost.
type move struct {
	part     sequoiakeyspace.Range
	to       sequoiakeyspace.Holder
	handover string
	// released is true when the upstream no longer holds the keys. releasing is true while it is being asked.
	released, releasing bool
	reason              string
}

// Core is the state of one process's ownership. It is not safe for concurrent use.
type Core struct {
	instance  string
	authority time.Duration
	hold      time.Duration
	heartbeat time.Duration
	meter     *sequoiakeyspace.Meter

	members   map[string]Member
	changed   time.Time
	absent    map[string]time.Time
	addresses map[string]netip.AddrPort
	table     *sequoiakeyspace.Table
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
	reading   bool
	stopping  bool
}

// Option changes a Core under construction.
type Option func(*Core)

// WithAuthority sets how long a process may grant keys after its last proof.
func WithAuthority(d time.Duration) Option {
	return func(c *Core) { c.authority = d }
}

// WithHold sets the duration of a grant.
func WithHold(d time.Duration) Option {
	return func(c *Core) { c.hold = d }
}

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
		instance: instance, authority: DefaultAuthority, hold: defaultHold, heartbeat: defaultHeartbeat, started: now, alive: now,
		meter:   sequoiakeyspace.NewMeter(),
		members: map[string]Member{}, absent: map[string]time.Time{}, addresses: map[string]netip.AddrPort{}, keyed: map[string]bool{},
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
	c.nextWrite = time.Time{}
	c.dropMoves()
	return true
}

// dropMoves ends moves whose keys are no longer this instance's.
func (c *Core) dropMoves() {
	c.moves = slices.DeleteFunc(c.moves, func(m *move) bool {
		r, ok := c.rangeOf(m.part)
		return !ok || r.Holder != m.part.Holder || r.Fence != m.part.Fence
	})
}

func (c *Core) rangeOf(part sequoiakeyspace.Range) (sequoiakeyspace.Range, bool) {
	return c.table.Find(c.service(), part.From)
}

func (c *Core) service() string { return c.upstream.Service }

// Prove notes that the store answered a call sent at the given time, which shows that this process's entry exists.
func (c *Core) Prove(sent time.Time) {
	c.verified = true
	if sent.After(c.proof) {
		c.proof = sent
	}
}

// Doubt notes that the entry of this process may be gone although a lease was renewed, as after a failed call.
func (c *Core) Doubt() { c.verified = false }

// Verified reports whether the entry of this process is known to exist since the last failed call.
func (c *Core) Verified() bool { return c.verified }

// AuthorityUntil returns the time at which all grants end without another proof.
func (c *Core) AuthorityUntil() time.Time {
	if c.proof.IsZero() {
		return time.Time{}
	}
	end := latest(c.proof.Add(c.authority), c.extended)
	if limit := c.proof.Add(maxAuthority); end.After(limit) {
		return limit
	}
	return end
}

// NeedsPromises reports whether the process has keys and has not reached the store for a while, so that it should ask
// the other members for their promises.
func (c *Core) NeedsPromises(now time.Time) bool {
	age := now.Sub(c.proof)
	return !c.proof.IsZero() && age > promiseAfter && age < maxAuthority && len(c.HeldRanges()) > 0
}

// Promise returns true if this process does not reach the store either. It then takes no keys over for PromiseTime.
func (c *Core) Promise(now time.Time) bool {
	if now.Sub(c.proof) < promiseAfter || c.writing {
		return false
	}
	c.promised = now.Add(PromiseTime + takeoverMargin)
	return true
}

// Extend notes that all other members have promised, when asked at the given time.
func (c *Core) Extend(asked time.Time) {
	c.extended = latest(c.extended, asked.Add(PromiseTime))
}

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

// Stop makes the process give its keys away, because it is about to end and its upstream has ended or will.
func (c *Core) Stop() { c.stopping = true }

// Holds reports whether the local upstream may begin a request on the key now, and until when the confirmed grant runs.
func (c *Core) Holds(now time.Time, service string, key sequoiakeyspace.Key) (until time.Time, ok bool) {
	if c.table == nil || service != c.upstream.Service {
		return time.Time{}, false
	}
	r, found := c.table.Find(service, key)
	if !found || r.Holder != c.holder() {
		return time.Time{}, false
	}
	for _, p := range c.pieces(r) {
		if g := c.grants[grantKey(p)]; g != nil && p.Contains(key) && g.until.After(now) {
			return g.until, true
		}
	}
	return time.Time{}, false
}

// pieces returns the parts of a range that are not on their way to another holder. They are renewed by themselves, so
// that a renewal cannot bring back keys that have been released.
func (c *Core) pieces(r sequoiakeyspace.Range) []sequoiakeyspace.Range {
	pieces := []sequoiakeyspace.Range{r}
	for _, m := range c.moves {
		if m.part.Fence == r.Fence {
			pieces = without(pieces, m.part)
		}
	}
	return pieces
}

// without returns the ranges less the keys of a part.
func without(ranges []sequoiakeyspace.Range, part sequoiakeyspace.Range) []sequoiakeyspace.Range {
	var out []sequoiakeyspace.Range
	for _, r := range ranges {
		if !overlap(r, part) {
			out = append(out, r)
			continue
		}
		if r.From < part.From {
			left := r
			left.To = part.From - 1
			out = append(out, left)
		}
		if r.To > part.To {
			right := r
			right.From = part.To + 1
			out = append(out, right)
		}
	}
	return out
}

func overlap(a, b sequoiakeyspace.Range) bool { return a.From <= b.To && b.From <= a.To }

// Granting reports whether the process is able to grant keys to the local upstream.
func (c *Core) Granting() bool {
	return c.upstream.ID != "" && !c.upstream.Lost
}

// Mine reports whether the table names the local upstream for the key, granted or not.
func (c *Core) Mine(service string, key sequoiakeyspace.Key) bool {
	if c.table == nil {
		return false
	}
	r, found := c.table.Find(service, key)
	return found && r.Holder.Instance == c.instance
}

// Moves returns the number of ranges on their way.
func (c *Core) Moves() int { return len(c.moves) }

// HeldRanges returns the ranges of the local upstream that are not on their way.
func (c *Core) HeldRanges() []sequoiakeyspace.Range {
	if c.table == nil {
		return nil
	}
	var held []sequoiakeyspace.Range
	for _, r := range c.table.Services[c.service()] {
		if r.Holder == c.holder() {
			held = append(held, c.pieces(r)...)
		}
	}
	return held
}

func (c *Core) holder() sequoiakeyspace.Holder {
	return sequoiakeyspace.Holder{Instance: c.instance, Upstream: c.upstream.ID, Born: c.upstream.Born}
}

// grantKey leaves out what may change while the grant stays the same.
func grantKey(r sequoiakeyspace.Range) sequoiakeyspace.Range {
	return sequoiakeyspace.Range{From: r.From, To: r.To, Fence: r.Fence}
}

// BeginMove starts to move a part of one of the local upstream's ranges. It reports whether the move began.
func (c *Core) BeginMove(now time.Time, from, to sequoiakeyspace.Key, dest Member, reason string) bool {
	i := slices.IndexFunc(c.HeldRanges(), func(r sequoiakeyspace.Range) bool { return r.Contains(from) && r.Contains(to) })
	if i < 0 || !dest.Usable() || now.Sub(c.proof) > freshProof || !c.verified {
		return false
	}
	r := c.HeldRanges()[i]
	r.From, r.To = from, to
	if c.uncertain(now, r) || c.granting(r) {
		return false
	}
	c.moves = append(c.moves, &move{part: r, to: dest.Holder(), reason: reason})
	return true
}

// HeldFor returns how long the table has named the local upstream for the keys of one of its ranges.
func (c *Core) HeldFor(now time.Time, r sequoiakeyspace.Range) time.Duration {
	if g := c.grants[grantKey(r)]; g != nil {
		return now.Sub(g.since)
	}
	return 0
}

// uncertain reports whether a grant of some of the keys was sent without an answer and may still be applied, after a
// release too.
func (c *Core) uncertain(now time.Time, part sequoiakeyspace.Range) bool {
	for key, g := range c.grants {
		if key.Fence == part.Fence && overlap(key, part) && g.unconfirmed.After(now) {
			return true
		}
	}
	return false
}

// granting reports whether a grant of some of the keys is being sent.
func (c *Core) granting(part sequoiakeyspace.Range) bool {
	for key, g := range c.grants {
		if key.Fence == part.Fence && overlap(key, part) && g.inFlight {
			return true
		}
	}
	return false
}

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
	named := map[string]bool{}
	for _, ranges := range c.table.Services {
		for _, r := range ranges {
			named[r.Holder.Instance] = true
		}
	}
	for instance := range named {
		_, registered := c.members[instance]
		_, known := c.absent[instance]
		if !registered && !known {
			c.absent[instance] = now
		}
	}
	maps.DeleteFunc(c.absent, func(instance string, _ time.Time) bool { return !named[instance] })
}

// silence is how long the local upstream may show no sign of life. Renewals of grants are answered by one that holds
// keys; otherwise there are only its announcements, of which some come late.
func (c *Core) silence() time.Duration {
	for _, g := range c.grants {
		if g.until.After(c.alive) {
			return holderSilence
		}
	}
	return idleSilence * c.heartbeat
}

// stepGrants renews the local upstream's grants.
func (c *Core) stepGrants(now time.Time, a *Actions) {
	if c.upstream.ID == "" {
		return
	}
	end := c.AuthorityUntil()
	current := map[sequoiakeyspace.Range]bool{}
	for _, r := range c.HeldRanges() {
		key := grantKey(r)
		current[key] = true
		g := c.grants[key]
		if g == nil {
			g = c.adopt(now, key)
			c.grants[key] = g
		}
		hold := time.Duration(float64(min(c.hold, end.Sub(now))) * (1 - drift))
		if g.inFlight || g.refused || c.upstream.Lost || hold < minHold || now.Before(g.next) {
			continue
		}
		g.inFlight = true
		g.latest = latest(g.latest, now.Add(c.hold))
		a.Grants = append(a.Grants, Grant{Range: r, Hold: hold, Sent: now})
	}
	maps.DeleteFunc(c.grants, func(key sequoiakeyspace.Range, g *grant) bool {
		return !current[key] && !g.inFlight && !g.latest.After(now)
	})
}

// adopt returns the state of a range that the table names for the first time. A part of a larger grant has that
// grant's state, since the upstream holds it with the same fence.
func (c *Core) adopt(now time.Time, key sequoiakeyspace.Range) *grant {
	g := &grant{since: now}
	for k, old := range c.grants {
		if k.Fence == key.Fence && k.From <= key.From && key.To <= k.To {
			g.until, g.latest, g.unconfirmed, g.next = old.until, old.latest, old.unconfirmed, old.next
			g.since = old.since
		}
	}
	return g
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Granted notes the end of a grant call. err is ErrFenced if the upstream has seen a higher fence; confirmed is false
// if there was no answer.
func (c *Core) Granted(now time.Time, order Grant, confirmed, fenced bool) {
	g := c.grants[grantKey(order.Range)]
	if g == nil {
		return
	}
	g.inFlight = false
	switch {
	case fenced:
		g.refused = true
		g.until = time.Time{}
	case confirmed:
		c.Alive(now)
		g.until = latest(g.until, order.Sent.Add(order.Hold))
		g.next = order.Sent.Add(renewInterval)
	default:
		g.unconfirmed = latest(g.unconfirmed, order.Sent.Add(c.hold))
		g.next = now.Add(retryInterval)
	}
}

// Refused reports whether the upstream refused a grant because of a higher fence, so that the table is out of date.
func (c *Core) refused() *sequoiakeyspace.Range {
	for key, g := range c.grants {
		if !g.refused {
			continue
		}
		if r, ok := c.table.Find(c.service(), key.From); ok && grantKey(r) == key && r.Holder == c.holder() {
			return &r
		}
	}
	return nil
}

// stepLeaving begins the moves of all keys of an upstream that leaves, is lost or whose process stops. Only a lost one's
// keys may be given up while the store may be failing: nobody could write their new holder.
func (c *Core) stepLeaving(now time.Time) {
	u := c.upstream
	if u.ID == "" || !u.Leaving && !u.Lost && !c.stopping {
		return
	}
	others := c.usable(u.Service)
	held := c.HeldRanges()
	if len(others) == 0 || len(held) == 0 || !u.Lost && (now.Sub(c.proof) > freshProof || !c.verified) {
		return
	}
	total := 0.0
	for _, r := range held {
		total += c.weight(r)
	}
	share := total / float64(len(others))
	given := make([]float64, len(others))
	for _, r := range held {
		for _, part := range c.meter.Cut(r, int(c.weight(r)/share+0.5)) {
			least := slices.Index(given, slices.Min(given))
			given[least] += c.weight(part)
			c.moves = append(c.moves, &move{part: part, to: others[least].Holder(), reason: ReasonLeaving})
		}
	}
}

// keyWeight is the load that a key counts for besides what was measured, so that keys without requests are spread too.
const keyWeight = 1e-6

func (c *Core) weight(r sequoiakeyspace.Range) float64 {
	return c.meter.Sum(r.From, r.To) + keyWeight*float64(r.Size())
}

// usable returns the other members whose upstreams may get keys of a service, in the order of their instances.
func (c *Core) usable(service string) []Member {
	var out []Member
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[name]
		if name != c.instance && m.Upstream.Service == service && m.Usable() {
			out = append(out, m)
		}
	}
	return out
}

func (c *Core) stepMoves(now time.Time, a *Actions) {
	ready := false
	c.moves = slices.DeleteFunc(c.moves, func(m *move) bool {
		return !m.released && !m.releasing && m.reason == ReasonBalance && c.uncertain(now, m.part)
	})
	for _, m := range c.moves {
		switch {
		case m.released:
		case c.upstream.Lost || c.ended(now, m):
			m.released = c.ended(now, m)
		case !m.releasing && !c.granting(m.part) && !c.uncertain(now, m.part):
			m.releasing = true
			a.Releases = append(a.Releases, Release{Range: m.part})
		}
		ready = ready || m.released
	}
	if ready && c.table != nil {
		a.Write = c.writeMoves()
	}
}

// ended reports whether no grant that was ever sent for the keys of a move still runs.
func (c *Core) ended(now time.Time, m *move) bool {
	if now.Before(c.started.Add(c.hold)) {
		return false
	}
	for key, g := range c.grants {
		if key.Fence == m.part.Fence && overlap(key, m.part) && g.latest.After(now) {
			return false
		}
	}
	return true
}

// Released notes the end of a release call. confirmed is false if there was no answer.
func (c *Core) Released(now time.Time, order Release, handover string, confirmed bool) {
	for _, m := range c.moves {
		if m.part != order.Range {
			continue
		}
		m.releasing = false
		if confirmed {
			m.released, m.handover = true, handover
			c.Alive(now)
		}
	}
}

// writeMoves returns the change that gives the keys of all released moves to their new holders.
func (c *Core) writeMoves() *Write {
	w := &Write{}
	for _, m := range c.moves {
		if !m.released {
			continue
		}
		to := m.to
		if dest, ok := c.members[to.Instance]; !ok || dest.Holder() != to || !dest.Usable() {
			others := c.usable(c.service())
			if len(others) == 0 {
				continue
			}
			to = others[int(m.part.From)%len(others)].Holder()
		}
		w.Changes = append(w.Changes, change(c.service(), m.part, to, m.handover))
		w.Reason = m.reason
	}
	if len(w.Changes) == 0 {
		return nil
	}
	return w
}

func change(service string, r sequoiakeyspace.Range, to sequoiakeyspace.Holder, handover string) sequoiakeyspace.Change {
	return sequoiakeyspace.Change{Service: service, From: r.From, To: r.To, Holder: to, Handover: handover, Was: r.Fence}
}

// plan returns the change of the table that is due, if any.
func (c *Core) plan(now time.Time) *Write {
	if c.table == nil || !c.verified || now.Sub(c.proof) > freshProof {
		return nil
	}
	if w := c.planRenewal(); w != nil {
		return w
	}
	if w := c.planSpread(now); w != nil {
		return w
	}
	return c.planTakeover(now)
}

// planRenewal gives the keys of the local upstream's earlier life, and those that it refused, a new fence. An earlier
// life on the same instance and address has ended, so its keys wait for nothing.
func (c *Core) planRenewal() *Write {
	u := c.upstream
	if u.ID == "" || u.Lost || u.Leaving || c.stopping || !c.keyed[u.Service] {
		return nil
	}
	w := &Write{Reason: ReasonRestart}
	for _, r := range c.table.Services[u.Service] {
		if r.Holder.Instance == c.instance && r.Holder != c.holder() {
			w.Changes = append(w.Changes, change(u.Service, r, c.holder(), ""))
		}
	}
	if r := c.refused(); len(w.Changes) == 0 && r != nil {
		w.Changes = append(w.Changes, change(u.Service, *r, c.holder(), r.Handover))
		w.Reason = ReasonRefused
	}
	if len(w.Changes) == 0 {
		return nil
	}
	return w
}

// planSpread assigns the keys of a service that has no holders yet.
func (c *Core) planSpread(now time.Time) *Write {
	for _, service := range slices.Sorted(maps.Keys(c.keyed)) {
		if len(c.table.Services[service]) > 0 {
			continue
		}
		members := c.usable(service)
		if me, ok := c.members[c.instance]; ok && me.Upstream.Service == service && me.Usable() {
			members = append(members, me)
			slices.SortFunc(members, func(a, b Member) int { return compare(a.Instance, b.Instance) })
		}
		if len(members) == 0 || now.Sub(c.changed) < settleTime+c.delay() {
			continue
		}
		var holders []sequoiakeyspace.Holder
		for _, m := range members {
			holders = append(holders, m.Holder())
		}
		return &Write{Spread: service, Holders: holders, Reason: ReasonSpread}
	}
	return nil
}

// planTakeover assigns the keys of members that have been missing for the duration of their authority.
func (c *Core) planTakeover(now time.Time) *Write {
	if now.Before(c.promised) {
		return nil
	}
	wait := c.authority
	if now.Sub(c.started) < maxAuthority+takeoverMargin {
		wait = maxAuthority
	}
	wait += takeoverMargin + c.delay()
	w := &Write{Reason: ReasonTakeover}
	for _, instance := range slices.Sorted(maps.Keys(c.absent)) {
		if now.Sub(c.absent[instance]) < wait && !c.replaced(instance) {
			continue
		}
		for service, ranges := range c.table.Services {
			members := c.usable(service)
			if me, ok := c.members[c.instance]; ok && me.Upstream.Service == service && me.Usable() {
				members = append(members, me)
			}
			if len(members) == 0 {
				continue
			}
			for _, r := range ranges {
				if r.Holder.Instance == instance {
					w.Changes = append(w.Changes, divide(len(w.Changes), service, r, members)...)
					w.Absent = append(w.Absent, instance)
				}
			}
		}
	}
	if len(w.Changes) == 0 {
		return nil
	}
	slices.Sort(w.Absent)
	w.Absent = slices.Compact(w.Absent)
	return w
}

// replaced reports whether another instance has the address of one that is missing. The platform gives an address away
// only when its machine is gone, so nothing there holds keys.
func (c *Core) replaced(instance string) bool {
	address, known := c.addresses[instance]
	for other, m := range c.members {
		if known && other != instance && m.Address == address {
			return true
		}
	}
	return false
}

// minPart is the smallest number of keys that a lost range is divided into.
const minPart = 256

// divide assigns a lost range in parts, so that its load does not fall on one upstream. first rotates the members.
func divide(first int, service string, r sequoiakeyspace.Range, members []Member) []sequoiakeyspace.Change {
	n := max(1, min(len(members), r.Size()/minPart))
	var changes []sequoiakeyspace.Change
	for i := range n {
		part := r
		part.From = r.From + sequoiakeyspace.Key(i*r.Size()/n)
		part.To = r.From + sequoiakeyspace.Key((i+1)*r.Size()/n-1)
		changes = append(changes, change(service, part, members[(first+i)%len(members)].Holder(), ""))
	}
	return changes
}

// delay returns how long this process waits before a change that any other may make too.
func (c *Core) delay() time.Duration {
	rank := slices.Index(slices.Sorted(maps.Keys(c.members)), c.instance)
	return time.Duration(min(max(rank, 0), 8)) * rankDelay
}

// Written notes the end of a write. After one that failed the table must be read, and the change be made again until it
// is known to hold: a write without an answer may still be carried out.
func (c *Core) Written(now time.Time, ok bool) {
	c.writing = false
	if !ok {
		c.nextWrite = now.Add(writeInterval)
	}
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

package sequoiacontrol

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Core is the control-plane state machine of one process. It is not safe for concurrent use.
//
// Core keeps no queue of changes to write: collect derives them from the table and the state below each time an append
// is possible. An append that loses a race therefore needs no special handling, since the changes are derived again
// from the table that includes the winning entry.
type Core struct {
	opt        options
	authority  Authority
	now        time.Time
	lastStepAt time.Time
	startedAt  time.Time
	// resumedAt is the end of the last pause of the process.
	resumedAt time.Time
	actions   []Action

	table     *sequoiatable.Table
	self      sequoiatable.IncarnationID
	joined    bool
	joinAfter time.Time
	// formerLeaseEnds maps earlier incarnations of this process to the latest lease end published to the data path.
	formerLeaseEnds map[sequoiatable.IncarnationID]time.Time
	// predecessors maps incarnations of earlier processes at this process's address to the time by which their leases
	// and the grants based on them have expired.
	predecessors map[sequoiatable.IncarnationID]time.Time

	// tableFromPeer is set once the table has been received from a peer because the store was unavailable.
	// peerTableRevision is the configuration revision recorded at that time.
	tableFromPeer     bool
	peerTableRevision uint64

	published *Snapshot
	// publishedLeaseEnd is the latest lease end that this incarnation has published to the data path. Grants and request
	// deadlines may extend up to it.
	publishedLeaseEnd time.Time

	store   storeState
	log     retainedLog
	peers   map[sequoiatable.IncarnationID]*peer
	pending *pendingAppend

	upstream   *Upstream
	selfRevoke bool
	// upstreamLostAt is when the upstream of an owner stopped announcing itself, zero while it does.
	upstreamLostAt time.Time

	suspects  map[sequoiatable.IncarnationID]*suspicion
	takeovers map[sequoiatable.IncarnationID]*takeover
	firstSeen map[sequoiatable.IncarnationID]time.Time
	// confirmedLosses holds members whose loss an operator has confirmed.
	confirmedLosses map[sequoiatable.IncarnationID]bool
	view            view

	initialWaits map[string]*initialWait
	loads        map[sequoiatable.IncarnationID]measuredLoad
	loadSentAt   time.Time
	// loadBatchSentAt is when this process last relayed the load reports of its failure domain.
	loadBatchSentAt time.Time
	balancedAt      time.Time
	// lastMoveAt is when keys of each service last moved; plannerSince is when this process became its planner.
	lastMoveAt   map[string]time.Time
	plannerSince map[string]time.Time
	checkpoint   *pendingCheckpoint

	moves []*move
	// merges lists the hot keys of each service that are to be merged back into their shards.
	merges   map[string][]string
	lastID   uint64
	commands []*command
	drain    *drainState
	// drainIndividually makes a drain move each shard and hot key on its own, since some have a long request in progress.
	drainIndividually bool
}

// New returns a Core with an empty table. The first call of Step starts it.
func New(opts ...Option) *Core {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	c := &Core{
		opt:             o,
		table:           sequoiatable.New(),
		formerLeaseEnds: map[sequoiatable.IncarnationID]time.Time{},
		predecessors:    map[sequoiatable.IncarnationID]time.Time{},
		peers:           map[sequoiatable.IncarnationID]*peer{},
		suspects:        map[sequoiatable.IncarnationID]*suspicion{},
		takeovers:       map[sequoiatable.IncarnationID]*takeover{},
		firstSeen:       map[sequoiatable.IncarnationID]time.Time{},
		confirmedLosses: map[sequoiatable.IncarnationID]bool{},
		initialWaits:    map[string]*initialWait{},
		merges:          map[string][]string{},
		loads:           map[sequoiatable.IncarnationID]measuredLoad{},
		lastMoveAt:      map[string]time.Time{},

		plannerSince: map[string]time.Time{},
	}
	c.self = c.newIncarnationID()
	c.authority = o.authority(c)
	c.authority.Reset()
	return c
}

// Step handles one event and returns the resulting actions. now must not decrease between calls.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.actions = nil
	c.detectPause()
	c.handle(ev)
	c.advance()
	return c.actions
}

// Self returns the current incarnation of the process.
func (c *Core) Self() sequoiatable.IncarnationID {
	return c.self
}

func (c *Core) detectPause() {
	if c.startedAt.IsZero() {
		c.startedAt = c.now
		c.resumedAt = c.now
		c.joinAfter = c.now.Add(c.opt.timings.JoinWait)
	} else if c.now.Sub(c.lastStepAt) > c.opt.timings.PauseThreshold {
		c.resumedAt = c.now
		clear(c.suspects)
	}
	c.lastStepAt = c.now
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case Received:
		c.handleMessage(ev.From, ev.Message)
	case LogRead:
		c.handleLogRead(ev)
	case Appended:
		c.handleAppended(ev)
	case Upstream:
		c.handleUpstream(ev)
	case KeysDrained:
		c.handleKeysDrained(ev)
	case MemoryInstalled:
		c.send(ev.From, Message{MemoryReceived: &MemoryReceived{Move: ev.Move, Part: ev.Part}})
	case CheckpointWritten:
		c.handleCheckpointWritten(ev)
	case LoadMeasured:
		c.handleLoadMeasured(ev.Load)
	case Command:
		c.handleCommand(ev)
	case LeaseRenewed, LeaseExpired:
		c.authority.HandleEvent(ev)
	}
}

// advance runs all time-driven and state-driven work. publish runs before the moves, so that closed keys are opened
// under the table that assigns them elsewhere, and before the append, so that a witness set is proposed only after the
// shortened lease is in force.
func (c *Core) advance() {
	c.authority.Advance()
	c.advanceSelfRevoke()
	c.publish()
	c.advanceStore()
	c.advanceCheckpoint()
	c.advancePeers()
	c.advanceSuspects()
	c.advanceTakeovers()
	c.advanceBalancing()
	c.advanceDrain()
	c.advanceMoves()
	c.advanceMerges()
	c.advanceCommands()
	c.advanceAppend()
	c.publish()
}

func (c *Core) handleMessage(from sequoiatable.IncarnationID, m Message) {
	c.recordHeard(from, m.LogIndex)
	switch {
	case m.Renew != nil, m.Renewed != nil, m.SuspectQuery != nil, m.Promise != nil, m.Promised != nil:
		c.authority.HandleEvent(Received{From: from, Message: m})
	case m.Suspect != nil:
		c.handleSuspect(from, m.Suspect.Holder)
	case m.SuspectReply != nil:
		c.handleSuspectReply(from, m.SuspectReply)
	case m.Entries != nil:
		c.handleEntries(from, m.Entries.Entries)
	case m.EntriesRequest != nil:
		c.peer(from).replyTo = m.EntriesRequest.ReplyTo
		c.sendEntries(from, m.EntriesRequest.After)
	case m.Checkpoint != nil:
		c.handleCheckpoint(from, m.Checkpoint)
	case m.LoadReport != nil:
		c.recordLoad(m.LoadReport.Load, 0)
	case m.LoadBatch != nil:
		c.handleLoadBatch(m.LoadBatch)
	case m.Release != nil:
		c.handleRelease(m.Release)
	case m.Memory != nil:
		c.emit(InstallMemory{
			From: from, Move: m.Memory.Move, Part: m.Memory.Part, Keys: m.Memory.Keys, Identifiers: m.Memory.Identifiers,
		})
	case m.MemoryReceived != nil:
		c.handleMemoryReceived(from, m.MemoryReceived)
	}
}

func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}

// send sends a message to the control address of a process and drops it if the address is unknown.
func (c *Core) send(to sequoiatable.IncarnationID, m Message) {
	addr := c.controlAddress(to)
	if !addr.IsValid() {
		return
	}
	m.LogIndex = c.table.Index
	c.emit(Send{To: to, Addr: addr, Message: m})
}

// controlAddress returns the control address of a process: that in the table for a member, else the reply address that
// the process gave. It returns an invalid address if neither is known.
func (c *Core) controlAddress(id sequoiatable.IncarnationID) netip.AddrPort {
	if member := c.table.Member(id); member != nil {
		return member.Control
	}
	if p := c.peers[id]; p != nil {
		return p.replyTo
	}
	return netip.AddrPort{}
}

func (c *Core) publish() {
	s := Snapshot{Table: c.table, Self: c.self, LeaseEnd: c.leaseEnd(), Draining: c.drain != nil}
	if c.published != nil && *c.published == s {
		return
	}
	if s.LeaseEnd.After(c.publishedLeaseEnd) {
		c.publishedLeaseEnd = s.LeaseEnd
	}
	c.published = &s
	c.emit(Publish{Snapshot: &s})
}

// leaseEnd returns the end of this process's lease, or zero while the process must not serve even with a valid lease.
func (c *Core) leaseEnd() time.Time {
	if c.selfRevoke || c.liveMember(c.self) == nil {
		return time.Time{}
	}
	return c.authority.LeaseEnd()
}

func (c *Core) newIncarnationID() sequoiatable.IncarnationID {
	for {
		if v := c.opt.random(); v != 0 {
			return sequoiatable.IncarnationID(v)
		}
	}
}

func (c *Core) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// liveMember returns the member's state, or nil if the member is unknown or revoked.
func (c *Core) liveMember(id sequoiatable.IncarnationID) *sequoiatable.MemberState {
	m := c.table.Member(id)
	if m == nil || m.Revoked() {
		return nil
	}
	return m
}

// isSelf reports whether the incarnation is the current one or a former one of this process.
func (c *Core) isSelf(id sequoiatable.IncarnationID) bool {
	_, isFormer := c.formerLeaseEnds[id]
	return isFormer || id == c.self
}

// planners returns the lowest-ranked live members of up to 3 failure domains, one for each, excluding the given member.
// Members without witnesses are skipped, since their loss would not be detected. These planners handle suspicions,
// revocations, takeovers and checkpoints. The planner of a service (see isPlanner) assigns the service's keys without
// an owner and balances its load.
func (c *Core) planners(except sequoiatable.IncarnationID) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	domains := map[string]bool{}
	for _, id := range c.view.eligible {
		m := c.liveMember(id)
		if id == except || domains[m.FailureDomain] {
			continue
		}
		domains[m.FailureDomain] = true
		ids = append(ids, id)
		if len(ids) == witnessCount {
			break
		}
	}
	return ids
}

// isPlanner reports whether this process is the planner of a service: the service's lowest-ranked eligible member.
func (c *Core) isPlanner(service string) bool {
	return c.servicePlanner(service) == c.self
}

func (c *Core) servicePlanner(service string) sequoiatable.IncarnationID {
	return c.view.planner[service]
}

// loadNeverMeasured is the age of a load that was never measured. Policies ignore loads of that age; with an age of
// zero the upstream would look idle and receive keys first.
const loadNeverMeasured = time.Duration(math.MaxInt64)

// placementInput describes the members that may be given keys of the service. The previous planner may have requested
// moves that are not in the log yet, so the time since the last move is limited to the time since this process became
// the planner.
func (c *Core) placementInput(service string) sequoiaplacement.Input {
	since := latest(c.startedAt, c.lastMoveAt[service], c.plannerSince[service])
	in := sequoiaplacement.Input{
		Table: c.table.Service(service), SinceLastMove: c.now.Sub(since), Tuning: c.opt.tuning(service),
	}
	for _, id := range c.view.eligible {
		m := c.liveMember(id)
		if m.Service != service || c.suspects[id] != nil {
			continue
		}
		u := sequoiaplacement.Upstream{
			Incarnation: id, FailureDomain: m.FailureDomain, Slots: m.Slots, Uptime: c.now.Sub(c.firstSeen[id]),
			LoadAge: loadNeverMeasured,
		}
		if l, ok := c.loads[id]; ok {
			u.BusySlots, u.Keys, u.Shards, u.LoadAge = l.BusySlots, l.Keys, l.Shards, c.now.Sub(l.measuredAt)
			u.ReportedBusySlots, u.HasReport = l.ReportedBusySlots, l.HasReport
		}
		in.Upstreams = append(in.Upstreams, u)
	}
	return in
}

// ownedKeys returns all shards and hot keys of a service that an incarnation owns. An owner of zero selects those
// without an owner.
func ownedKeys(s *sequoiatable.ServiceTable, owner sequoiatable.IncarnationID) KeySet {
	set := KeySet{Service: s.Name}
	for n := range s.Shards {
		if s.Shard(n).Owner == owner {
			set.Shards = append(set.Shards, n)
		}
	}
	for _, k := range s.HotKeys() {
		if a, _ := s.HotKey(k); a.Owner == owner {
			set.Keys = append(set.Keys, k)
		}
	}
	return set
}

func (k KeySet) empty() bool {
	return len(k.Shards) == 0 && len(k.Keys) == 0
}

// split returns one set for each shard and hot key.
func (k KeySet) split() []KeySet {
	var sets []KeySet
	for _, n := range k.Shards {
		sets = append(sets, KeySet{Service: k.Service, Shards: []uint32{n}})
	}
	for _, key := range k.Keys {
		sets = append(sets, KeySet{Service: k.Service, Keys: []string{key}})
	}
	return sets
}

// owners returns the distinct current owners of the keys. The owner is zero for keys without one and for shards out of
// range.
func (k KeySet) owners(t *sequoiatable.Table) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	for _, id := range k.ownerPerKey(t) {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (k KeySet) ownerPerKey(t *sequoiatable.Table) []sequoiatable.IncarnationID {
	s := t.Service(k.Service)
	if s == nil {
		return nil
	}
	ids := make([]sequoiatable.IncarnationID, 0, len(k.Shards)+len(k.Keys))
	for _, n := range k.Shards {
		if n >= s.Shards {
			ids = append(ids, 0)
			continue
		}
		ids = append(ids, s.Shard(n).Owner)
	}
	for _, key := range k.Keys {
		ids = append(ids, s.Lookup(key).Owner)
	}
	return ids
}

// ownedBy returns the subset that an incarnation owns.
func (k KeySet) ownedBy(t *sequoiatable.Table, owner sequoiatable.IncarnationID) KeySet {
	part := KeySet{Service: k.Service}
	for i, id := range k.ownerPerKey(t) {
		if id != owner {
			continue
		}
		if i < len(k.Shards) {
			part.Shards = append(part.Shards, k.Shards[i])
		} else {
			part.Keys = append(part.Keys, k.Keys[i-len(k.Shards)])
		}
	}
	return part
}

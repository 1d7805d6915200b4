package sequoiacontrol

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Core is the control state of one process. It is used by one goroutine.
//
// Nothing that Core wants to write is queued: collect derives the wanted changes from the table and the state below
// each time an append is possible. A lost race so needs no handling of its own; the changes are decided again from the
// table with the winning entry.
type Core struct {
	opt       options
	authority Authority
	now       time.Time
	lastStep  time.Time
	started   time.Time
	// resumedAt is the end of the last pause of the process.
	resumedAt time.Time
	actions   []Action

	table     *sequoiatable.Table
	self      sequoiatable.IncarnationID
	joined    bool
	joinAfter time.Time
	// former maps earlier incarnations of this process to the latest lease end that the data path was given.
	former map[sequoiatable.IncarnationID]time.Time
	// predecessors maps incarnations of earlier processes at this process's address to the end of what they granted.
	predecessors map[sequoiatable.IncarnationID]time.Time

	// peerTable is set once the table came from a peer while the store did not answer, with the revision recorded then.
	peerTable    bool
	peerRevision uint64

	published *Snapshot
	// leaseOut is the latest lease end given to the data path, hence to grants and deadlines, by this incarnation.
	leaseOut time.Time

	store   storeState
	log     retainedLog
	peers   map[sequoiatable.IncarnationID]*peer
	pending *pendingAppend

	upstream   *Upstream
	selfRevoke bool
	// lostSince is when the upstream of an owner fell silent, zero while it announces itself.
	lostSince time.Time

	suspects  map[sequoiatable.IncarnationID]*suspicion
	takeovers map[sequoiatable.IncarnationID]*takeover
	firstSeen map[sequoiatable.IncarnationID]time.Time
	// confirmed holds members whose loss an operator has confirmed.
	confirmed map[sequoiatable.IncarnationID]bool
	view      view

	initial  map[string]*initialWait
	loads    map[sequoiatable.IncarnationID]measuredLoad
	loadSent time.Time
	// batchSent is when this process last passed on the loads of its failure domain.
	batchSent time.Time
	balanced  time.Time
	// lastMove is when keys of each service last moved, plannerSince when this process became the service's planner.
	lastMove     map[string]time.Time
	plannerSince map[string]time.Time
	checkpoint   *pendingCheckpoint

	moves []*move
	// merges lists hot keys of each service that are to be folded into their shards.
	merges   map[string][]string
	lastID   uint64
	commands []*command
	drain    *drainState
	// singly makes a drain move each shard and hot key alone, since some have a long request in progress.
	singly bool
}

// New returns a Core that has read nothing yet. The first Step starts it.
func New(opts ...Option) *Core {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	c := &Core{
		opt:          o,
		table:        sequoiatable.New(),
		former:       map[sequoiatable.IncarnationID]time.Time{},
		predecessors: map[sequoiatable.IncarnationID]time.Time{},
		peers:        map[sequoiatable.IncarnationID]*peer{},
		suspects:     map[sequoiatable.IncarnationID]*suspicion{},
		takeovers:    map[sequoiatable.IncarnationID]*takeover{},
		firstSeen:    map[sequoiatable.IncarnationID]time.Time{},
		confirmed:    map[sequoiatable.IncarnationID]bool{},
		initial:      map[string]*initialWait{},
		merges:       map[string][]string{},
		loads:        map[sequoiatable.IncarnationID]measuredLoad{},
		lastMove:     map[string]time.Time{},

		plannerSince: map[string]time.Time{},
	}
	c.self = c.newIncarnation()
	c.authority = o.authority(c)
	c.authority.Reset()
	return c
}

// Step handles one event and returns the actions that follow from it. now must not decrease.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.actions = nil
	c.noticePause()
	c.handle(ev)
	c.advance()
	return c.actions
}

// Self returns the incarnation of the process.
func (c *Core) Self() sequoiatable.IncarnationID {
	return c.self
}

func (c *Core) noticePause() {
	if c.started.IsZero() {
		c.started = c.now
		c.resumedAt = c.now
		c.joinAfter = c.now.Add(c.opt.timings.JoinWait)
	} else if c.now.Sub(c.lastStep) > c.opt.timings.PauseAfter {
		c.resumedAt = c.now
		clear(c.suspects)
	}
	c.lastStep = c.now
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case Received:
		c.receive(ev.From, ev.Message)
	case LogRead:
		c.handleLogRead(ev)
	case Appended:
		c.handleAppended(ev)
	case Upstream:
		c.upstreamAnnounced(ev)
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
		c.authority.Event(ev)
	}
}

// advance does what is due. Publish precedes the moves, so that keys are opened under the table that assigns them
// elsewhere, and precedes the append, so that a witness set is proposed after the shortened lease is in force.
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

func (c *Core) receive(from sequoiatable.IncarnationID, m Message) {
	c.recordHeard(from, m.LogIndex)
	switch {
	case m.Renew != nil, m.Renewed != nil, m.SuspectQuery != nil, m.Promise != nil, m.Promised != nil:
		c.authority.Event(Received{From: from, Message: m})
	case m.Suspect != nil:
		c.suspectReported(from, m.Suspect.Holder)
	case m.SuspectReply != nil:
		c.suspectReply(from, m.SuspectReply)
	case m.Entries != nil:
		c.receiveEntries(from, m.Entries.Entries)
	case m.EntriesRequest != nil:
		c.peer(from).replyTo = m.EntriesRequest.ReplyTo
		c.sendEntries(from, m.EntriesRequest.After)
	case m.Checkpoint != nil:
		c.receiveCheckpoint(from, m.Checkpoint)
	case m.LoadReport != nil:
		c.recordLoad(m.LoadReport.Load, 0)
	case m.LoadBatch != nil:
		c.recordBatch(m.LoadBatch)
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

// send addresses a member by the table, and others by the address that they gave.
func (c *Core) send(to sequoiatable.IncarnationID, m Message) {
	addr := c.addressOf(to)
	if !addr.IsValid() {
		return
	}
	m.LogIndex = c.table.Index
	c.emit(Send{To: to, Addr: addr, Message: m})
}

// addressOf returns a process's control address, which is not valid if it is not known.
func (c *Core) addressOf(id sequoiatable.IncarnationID) netip.AddrPort {
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
	if s.LeaseEnd.After(c.leaseOut) {
		c.leaseOut = s.LeaseEnd
	}
	c.published = &s
	c.emit(Publish{Snapshot: &s})
}

// leaseEnd is zero while the process must not serve whatever its witnesses say.
func (c *Core) leaseEnd() time.Time {
	if c.selfRevoke || c.live(c.self) == nil {
		return time.Time{}
	}
	return c.authority.LeaseEnd()
}

func (c *Core) newIncarnation() sequoiatable.IncarnationID {
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

// live returns a member that is not revoked, nil for others.
func (c *Core) live(id sequoiatable.IncarnationID) *sequoiatable.MemberState {
	m := c.table.Member(id)
	if m == nil || m.Revoked() {
		return nil
	}
	return m
}

// isSelf reports whether the incarnation is, or was, this process.
func (c *Core) isSelf(id sequoiatable.IncarnationID) bool {
	_, was := c.former[id]
	return was || id == c.self
}

// planners returns the lowest-ranked live members in up to 3 failure domains, without the given one. Members that no
// witness watches are left out, since their loss would not be noticed.
func (c *Core) planners(except sequoiatable.IncarnationID) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	domains := map[string]bool{}
	for _, id := range c.view.eligible {
		m := c.live(id)
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

// plans reports whether this process is the planner of a service: its lowest-ranked live member.
func (c *Core) plans(service string) bool {
	return c.servicePlanner(service) == c.self
}

func (c *Core) servicePlanner(service string) sequoiatable.IncarnationID {
	return c.view.planner[service]
}

// notMeasured is the age of a load that was never measured. Policies count no load of that age; an age of zero would
// make the upstream look idle, and it would be the first to receive keys.
const notMeasured = time.Duration(math.MaxInt64)

// input describes the members that may be given keys of the service. The former planner may have asked for moves that
// the log does not show yet, so the time since the last move is at most that since this process became the planner.
func (c *Core) input(service string) sequoiaplacement.Input {
	since := latest(c.started, c.lastMove[service], c.plannerSince[service])
	in := sequoiaplacement.Input{
		Table: c.table.Service(service), SinceLastMove: c.now.Sub(since), Tuning: c.opt.tuning(service),
	}
	for _, id := range c.view.eligible {
		m := c.live(id)
		if m.Service != service || c.suspects[id] != nil {
			continue
		}
		u := sequoiaplacement.Upstream{
			Incarnation: id, FailureDomain: m.FailureDomain, Slots: m.Slots, Uptime: c.now.Sub(c.firstSeen[id]),
			LoadAge: notMeasured,
		}
		if l, ok := c.loads[id]; ok {
			u.BusySlots, u.Keys, u.Shards, u.LoadAge = l.BusySlots, l.Keys, l.Shards, c.now.Sub(l.measuredAt)
			u.ReportedBusySlots, u.HasReport = l.ReportedBusySlots, l.HasReport
		}
		in.Upstreams = append(in.Upstreams, u)
	}
	return in
}

// ownedKeys returns all shards and hot keys of a service that an incarnation owns, zero for those without an owner.
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

// each returns the shards and hot keys as sets of one.
func (k KeySet) each() []KeySet {
	var sets []KeySet
	for _, n := range k.Shards {
		sets = append(sets, KeySet{Service: k.Service, Shards: []uint32{n}})
	}
	for _, key := range k.Keys {
		sets = append(sets, KeySet{Service: k.Service, Keys: []string{key}})
	}
	return sets
}

// owners returns the current owners of the keys, each once. Shards out of range have no owner.
func (k KeySet) owners(t *sequoiatable.Table) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	for _, id := range k.ownerOfEach(t) {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (k KeySet) ownerOfEach(t *sequoiatable.Table) []sequoiatable.IncarnationID {
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

// ownedBy returns the part of the set that an incarnation owns.
func (k KeySet) ownedBy(t *sequoiatable.Table, owner sequoiatable.IncarnationID) KeySet {
	part := KeySet{Service: k.Service}
	for i, id := range k.ownerOfEach(t) {
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

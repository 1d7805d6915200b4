package sequoiacontrol

import (
	"bytes"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

const (
	// checkpointInterval is the number of entries between checkpoints.
	checkpointInterval = 1024
	// retainedEntries is the number of entries that a process keeps for peers whose logs lag behind.
	retainedEntries = 2 * checkpointInterval
	// entriesPerMessage is the maximum number of entries in an Entries message.
	entriesPerMessage = 64
	// peerSilenceTimeout is the time without a message from any peer after which a member reads the store itself.
	peerSilenceTimeout = time.Second
	// refusedChangeDelay delays the next append after a refused change, which would otherwise be retried immediately.
	refusedChangeDelay = 200 * time.Millisecond
)

// Errors that a Reply carries.
var (
	ErrResultUnknown = errors.New("the result of writing the change to the store is unknown")
	ErrTimeout       = errors.New("the change was not made before the timeout")
	ErrInvalidTarget = errors.New("the target is not a live member of the service")
	ErrNoOwner       = errors.New("the keys have no live owner")
	ErrMemberAlive   = errors.New("the member is alive: it or one of its witnesses reported that its lease is still being renewed")
)

// storeState tracks this process's reads from and appends to the store.
type storeState struct {
	// hasRead is set once a read of the log has succeeded.
	hasRead    bool
	reading    bool
	nextReadAt time.Time
	lastReadAt time.Time
	watching   bool
	failing    bool
	appending  bool
	// appendNonce is the nonce of the append sent last.
	appendNonce  uint64
	nextAppendAt time.Time
	// lostRaces counts the lost appends since the last successful one.
	lostRaces int
	// respondedAt is when the store last responded to a call.
	respondedAt time.Time
	// deferUntil is the time before which non-urgent changes are not appended after a lost append.
	deferUntil time.Time
}

// retainedLog holds the most recent entries, without gaps.
type retainedLog struct {
	entries []sequoiatable.Entry
}

func (l *retainedLog) add(e sequoiatable.Entry) {
	l.entries = append(l.entries, e)
	if len(l.entries) > 2*retainedEntries {
		l.entries = append([]sequoiatable.Entry(nil), l.entries[len(l.entries)-retainedEntries:]...)
	}
}

// after returns the entries after an index, or false if the entry following the index is no longer retained.
func (l *retainedLog) after(index uint64) ([]sequoiatable.Entry, bool) {
	if len(l.entries) == 0 || l.entries[0].Index > index+1 {
		return nil, false
	}
	skip := index + 1 - l.entries[0].Index
	if skip > uint64(len(l.entries)) {
		return nil, true
	}
	return l.entries[skip:], true
}

// pendingAppend is an entry whose append result is unknown. The append is retried unchanged until the entry at its
// index is known.
type pendingAppend struct {
	entry   sequoiatable.Entry
	origins []origin
	retryAt time.Time
}

// origin identifies what a change in an entry was made for.
type origin struct {
	witnesses bool
	revoked   sequoiatable.IncarnationID
	move      *move
	// merge is the service of a Merge change, empty for other changes.
	merge     string
	configure *command
	// onProposed is called when the change is included in an entry, which may be later than when it was first
	// collected.
	onProposed func()
}

func (c *Core) handleLogRead(ev LogRead) {
	c.store.reading = false
	if ev.Err != nil {
		c.store.failing = true
		c.store.nextReadAt = c.now.Add(c.opt.timings.StoreRetryInterval)
		return
	}
	c.store.hasRead = true
	c.recordStoreResponse()
	c.store.lastReadAt = c.now
	c.store.nextReadAt = c.now.Add(peerSilenceTimeout / 2)
	if ev.Checkpoint != nil {
		c.installTable(ev.Checkpoint)
	}
	c.applyAll(ev.Entries)
}

func (c *Core) recordStoreResponse() {
	c.store.failing = false
	c.store.respondedAt = c.now
}

// storeRespondedSince reports whether the store has responded since t, and starts a read if it has not. A change that
// ends this process's own ownership is written only after such a response: it cannot be withdrawn while the result of
// its append is unknown, so in a store outage a brief fault would leave the keys without an owner until the store
// responds.
func (c *Core) storeRespondedSince(t time.Time) bool {
	if c.store.respondedAt.After(t) {
		return true
	}
	if !c.store.failing || !c.now.Before(c.store.nextReadAt) {
		c.readLog()
	}
	return false
}

func (c *Core) handleAppended(ev Appended) {
	if c.store.appendNonce == ev.Nonce {
		c.store.appending = false
	}
	p := c.pending
	if p == nil || p.entry.Index != ev.Index || p.entry.Nonce != ev.Nonce {
		return
	}
	switch ev.Result {
	case AppendWon:
		c.recordStoreResponse()
		c.applyAll([]sequoiatable.Entry{p.entry})
	case AppendLost:
		c.recordStoreResponse()
		p.retryAt = c.now.Add(c.opt.timings.StoreRetryInterval)
		if ev.Winner != nil {
			c.applyAll([]sequoiatable.Entry{*ev.Winner})
		} else {
			c.readLog()
		}
	case AppendUnknown:
		c.store.failing = true
		p.retryAt = c.now.Add(c.opt.timings.StoreRetryInterval)
	}
}

// applyAll applies the entries that follow the table's index and skips those already applied. It returns false if an
// entry is missing.
func (c *Core) applyAll(entries []sequoiatable.Entry) bool {
	before := c.table.Index
	complete := true
	for _, e := range entries {
		if e.Index <= c.table.Index {
			continue
		}
		if !c.apply(e) {
			complete = false
			break
		}
	}
	if c.table.Index != before {
		c.handleTableChange()
		c.pushEntries()
	}
	return complete
}

func (c *Core) apply(e sequoiatable.Entry) bool {
	next, refused, err := c.table.Apply(e)
	if err != nil {
		return false
	}
	c.table = next
	c.log.add(e)
	c.recordEntry(e, refused)
	c.resolvePending(e, refused)
	if e.Index%c.opt.checkpointInterval == 0 {
		c.scheduleCheckpoint(next, c.isSelf(e.Writer))
	}
	return true
}

// resolvePending completes the pending append if the entry has its index.
func (c *Core) resolvePending(e sequoiatable.Entry, refused []sequoiatable.Refusal) {
	p := c.pending
	if p == nil || e.Index != p.entry.Index {
		return
	}
	c.pending = nil
	if e.Writer != p.entry.Writer || e.Nonce != p.entry.Nonce {
		c.backOffAppend()
		return
	}
	c.store.lostRaces = 0
	for i, o := range p.origins {
		var err error
		for _, r := range refused {
			if r.ChangeIndex == i {
				err = r.Err
				c.store.nextAppendAt = c.now.Add(refusedChangeDelay)
			}
		}
		if o.configure != nil {
			c.replyConfigure(o.configure, err)
		}
		if o.move != nil {
			o.move.refused = err != nil
		}
	}
}

// installTable replaces the table with a later one. The result of a pending append at or before its index is then
// derived from the table.
func (c *Core) installTable(t *sequoiatable.Table) {
	if t.Index <= c.table.Index {
		return
	}
	c.table = t
	c.log = retainedLog{}
	if p := c.pending; p != nil && p.entry.Index <= t.Index {
		c.pending = nil
		for _, o := range p.origins {
			if o.configure != nil {
				c.replyConfigureFromTable(o.configure)
			}
		}
	}
	c.handleTableChange()
}

func (c *Core) replyConfigureFromTable(cmd *command) {
	var err error
	if !bytes.Equal(c.table.Configuration.Document, cmd.Configure.Document) {
		err = ErrResultUnknown
	}
	c.replyConfigure(cmd, err)
}

// handleTableChange updates the state derived from the table.
func (c *Core) handleTableChange() {
	c.view = newView(c.table, c.authority.Eligible)
	seen := map[sequoiatable.IncarnationID]time.Time{}
	for _, id := range c.table.Members() {
		at, ok := c.firstSeen[id]
		if !ok {
			at = c.now
		}
		seen[id] = at
	}
	c.firstSeen = seen
	for id := range c.loads {
		if _, ok := seen[id]; !ok {
			delete(c.loads, id)
		}
	}
	c.updatePlannerSince()
	c.updateOwnState()
	c.authority.HandleTableChange()
	c.publish()
}

// updatePlannerSince records when this process became the planner of each service.
func (c *Core) updatePlannerSince() {
	for _, name := range c.table.ServiceNames() {
		if !c.isPlanner(name) {
			delete(c.plannerSince, name)
		} else if _, ok := c.plannerSince[name]; !ok {
			c.plannerSince[name] = c.now
		}
	}
}

func (c *Core) recordEntry(e sequoiatable.Entry, refused []sequoiatable.Refusal) {
	isRefused := map[int]bool{}
	for _, r := range refused {
		isRefused[r.ChangeIndex] = true
	}
	for i, change := range e.Changes {
		if isRefused[i] {
			continue
		}
		if a := change.Assign; a != nil {
			if a.Kind == sequoiatable.AssignPlanned {
				c.lastMoveAt[a.Service] = c.now
			}
			c.emit(Record{
				Own: c.isSelf(e.Writer), Decision: "Assign" + a.Kind.String(), Service: a.Service,
				Keys:  KeySet{Service: a.Service, Shards: a.Shards, Keys: a.Keys},
				Owner: a.To, Previous: a.From, Epoch: sequoiatable.Epoch(e.Index), Reason: a.Reason,
			})
		}
		if r := change.Revoke; r != nil && c.isSelf(e.Writer) {
			c.emit(Record{Own: true, Decision: "Revoke", Previous: r.Incarnation, Epoch: sequoiatable.Epoch(e.Index), Reason: r.Reason})
		}
		if s := change.SetWitnesses; s != nil && s.Holder == c.self {
			c.emit(Record{Own: true, Decision: "SetWitnesses", Owner: c.self, Epoch: sequoiatable.Epoch(e.Index)})
		}
	}
}

// advanceStore reads the log if no peer would send new entries, and watches the log while this process is the store
// reader of its failure domain.
func (c *Core) advanceStore() {
	if !c.now.Before(c.store.nextReadAt) && !c.store.reading && (!c.store.hasRead || c.isolated()) {
		c.readLog()
	}
	isReader := c.isStoreReader()
	if isReader != c.store.watching {
		c.store.watching = isReader
		c.emit(WatchLog{On: isReader})
	}
}

func (c *Core) readLog() {
	if c.store.reading {
		return
	}
	c.store.reading = true
	c.emit(ReadLog{After: c.table.Index})
	if c.store.failing && !c.joined {
		c.requestFromContacts()
	}
}

func (c *Core) requestFromContacts() {
	for _, addr := range c.opt.contacts {
		c.emit(Send{Addr: addr, Message: Message{LogIndex: c.table.Index, EntriesRequest: c.newEntriesRequest()}})
	}
}

func (c *Core) newEntriesRequest() *EntriesRequest {
	return &EntriesRequest{After: c.table.Index, ReplyTo: c.opt.member.Control}
}

// isolated reports whether this process cannot expect entries from peers.
func (c *Core) isolated() bool {
	if !c.joined || c.liveMember(c.self) == nil {
		return true
	}
	for _, p := range c.peers {
		if c.now.Sub(p.heardAt) < peerSilenceTimeout {
			return false
		}
	}
	return true
}

// isStoreReader reports whether this process is the lowest-ranked live member of its failure domain. Members without
// witnesses rank after the others.
func (c *Core) isStoreReader() bool {
	me := c.liveMember(c.self)
	if me == nil {
		return false
	}
	first := c.view.storeReader[me.FailureDomain]
	return first == 0 || first == c.self
}

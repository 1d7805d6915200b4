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
	// retainedEntries is how many entries a process keeps for peers that are behind.
	retainedEntries = 2 * checkpointInterval
	// entriesPerMessage bounds one Entries message.
	entriesPerMessage = 64
	// lonelyAfter is the time without any message after which a member reads the store itself.
	lonelyAfter = time.Second
	// refusedDelay delays the next append after a refused change, which would otherwise be repeated at once.
	refusedDelay = 200 * time.Millisecond
)

// Errors that a Reply carries.
var (
	ErrResultUnknown = errors.New("the store has not said whether the change was made")
	ErrTimeout       = errors.New("the change was not made in time")
	ErrTarget        = errors.New("the target is not a live member of the service")
	ErrNoOwner       = errors.New("the keys have no live owner")
	ErrStillRenews   = errors.New("the member is alive: it or one of its witnesses has answered that its lease is renewed")
)

// storeState is what the process knows of its connection to the store.
type storeState struct {
	read       bool
	reading    bool
	readAfter  time.Time
	readAt     time.Time
	watching   bool
	failing    bool
	appending  bool
	appendSent uint64
	notBefore  time.Time
	// lostRaces counts the appends since the last one that won; changes that are not urgent wait until patientUntil.
	lostRaces int
	// answeredAt is when the store last answered a call.
	answeredAt   time.Time
	patientUntil time.Time
}

// retainedLog holds the last entries without gaps.
type retainedLog struct {
	entries []sequoiatable.Entry
}

func (l *retainedLog) add(e sequoiatable.Entry) {
	l.entries = append(l.entries, e)
	if len(l.entries) > 2*retainedEntries {
		l.entries = append([]sequoiatable.Entry(nil), l.entries[len(l.entries)-retainedEntries:]...)
	}
}

// after returns the entries after an index, false if the next one is no longer retained.
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

// pendingAppend is an entry whose result is not known. It is repeated unchanged until the entry at its index is.
type pendingAppend struct {
	entry   sequoiatable.Entry
	origins []origin
	retryAt time.Time
}

// origin says what a change was made for.
type origin struct {
	witnesses bool
	revoked   sequoiatable.IncarnationID
	move      *move
	// merge is the service of a Merge change.
	merge     string
	configure *command
	// proposed is called when the change becomes part of an entry, which may be later than it is first wanted.
	proposed func()
}

func (c *Core) logRead(ev LogRead) {
	c.store.reading = false
	if ev.Err != nil {
		c.store.failing = true
		c.store.readAfter = c.now.Add(c.opt.timings.StoreRetry)
		return
	}
	c.store.read = true
	c.storeAnswered()
	c.store.readAt = c.now
	c.store.readAfter = c.now.Add(lonelyAfter / 2)
	if ev.Checkpoint != nil {
		c.install(ev.Checkpoint)
	}
	c.applyAll(ev.Entries)
}

func (c *Core) storeAnswered() {
	c.store.failing = false
	c.store.answeredAt = c.now
}

// storeAnswersSince reports whether the store has answered after a moment, and asks it if not. A change that ends this
// process's own ownership is written only then: while the result of its append is unknown it cannot be withdrawn, so
// in a store outage a short disturbance would keep the keys without an owner until the store answers.
func (c *Core) storeAnswersSince(t time.Time) bool {
	if c.store.answeredAt.After(t) {
		return true
	}
	if !c.store.failing || !c.now.Before(c.store.readAfter) {
		c.readLog()
	}
	return false
}

func (c *Core) appended(ev Appended) {
	if c.store.appendSent == ev.Nonce {
		c.store.appending = false
	}
	p := c.pending
	if p == nil || p.entry.Index != ev.Index || p.entry.Nonce != ev.Nonce {
		return
	}
	switch ev.Result {
	case AppendWon:
		c.storeAnswered()
		c.applyAll([]sequoiatable.Entry{p.entry})
	case AppendLost:
		c.storeAnswered()
		p.retryAt = c.now.Add(c.opt.timings.StoreRetry)
		if ev.Winner != nil {
			c.applyAll([]sequoiatable.Entry{*ev.Winner})
		} else {
			c.readLog()
		}
	case AppendUnknown:
		c.store.failing = true
		p.retryAt = c.now.Add(c.opt.timings.StoreRetry)
	}
}

// applyAll applies the entries that follow the table and skips those that it has. It returns false on a gap.
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
		c.tableChanged()
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
	c.resolve(e, refused)
	if e.Index%c.opt.checkpointInterval == 0 {
		c.startCheckpoint(next, c.isSelf(e.Writer))
	}
	return true
}

// resolve ends the pending append if the entry is the one at its index.
func (c *Core) resolve(e sequoiatable.Entry, refused []sequoiatable.Refusal) {
	p := c.pending
	if p == nil || e.Index != p.entry.Index {
		return
	}
	c.pending = nil
	if e.Writer != p.entry.Writer || e.Nonce != p.entry.Nonce {
		c.backOff()
		return
	}
	c.store.lostRaces = 0
	for i, o := range p.origins {
		var err error
		for _, r := range refused {
			if r.ChangeIndex == i {
				err = r.Err
				c.store.notBefore = c.now.Add(refusedDelay)
			}
		}
		if o.configure != nil {
			c.configured(o.configure, err)
		}
		if o.move != nil {
			o.move.refused = err != nil
		}
	}
}

// install replaces the table by a later one. Results of appends before its index are then read from the table.
func (c *Core) install(t *sequoiatable.Table) {
	if t.Index <= c.table.Index {
		return
	}
	c.table = t
	c.log = retainedLog{}
	if p := c.pending; p != nil && p.entry.Index <= t.Index {
		c.pending = nil
		for _, o := range p.origins {
			if o.configure != nil {
				c.configuredByCheckpoint(o.configure)
			}
		}
	}
	c.tableChanged()
}

func (c *Core) configuredByCheckpoint(cmd *command) {
	var err error
	if !bytes.Equal(c.table.Configuration.Document, cmd.Configure.Document) {
		err = ErrResultUnknown
	}
	c.configured(cmd, err)
}

// tableChanged updates what is derived from the table.
func (c *Core) tableChanged() {
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
	c.noticePlanner()
	c.noticeOwnState()
	c.authority.TableChanged()
	c.publish()
}

// noticePlanner notes since when this process has planned each service.
func (c *Core) noticePlanner() {
	for _, name := range c.table.ServiceNames() {
		if !c.plans(name) {
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
				c.lastMove[a.Service] = c.now
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

// advanceStore reads the log where no other process would tell of it, and names one reader per failure domain.
func (c *Core) advanceStore() {
	if !c.now.Before(c.store.readAfter) && !c.store.reading && (!c.store.read || c.lonely()) {
		c.readLog()
	}
	reads := c.readsStore()
	if reads != c.store.watching {
		c.store.watching = reads
		c.emit(WatchLog{On: reads})
	}
}

func (c *Core) readLog() {
	if c.store.reading {
		return
	}
	c.store.reading = true
	c.emit(ReadLog{After: c.table.Index})
	if c.store.failing && !c.joined {
		c.askContacts()
	}
}

func (c *Core) askContacts() {
	for _, addr := range c.opt.contacts {
		c.emit(Send{Addr: addr, Message: Message{LogIndex: c.table.Index, EntriesRequest: c.entriesRequest()}})
	}
}

func (c *Core) entriesRequest() *EntriesRequest {
	return &EntriesRequest{After: c.table.Index, ReplyTo: c.opt.member.Control}
}

// lonely reports whether entries cannot be expected from peers.
func (c *Core) lonely() bool {
	if !c.joined || c.live(c.self) == nil {
		return true
	}
	for _, p := range c.peers {
		if c.now.Sub(p.heard) < lonelyAfter {
			return false
		}
	}
	return true
}

// readsStore reports whether this is the lowest-ranked live member of its failure domain. Members that no witness
// watches come after the others.
func (c *Core) readsStore() bool {
	me := c.live(c.self)
	if me == nil {
		return false
	}
	first := c.view.reader[me.FailureDomain]
	return first == 0 || first == c.self
}

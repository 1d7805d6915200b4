package sequoiacontrol

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// movePhase is the progress of a planned move.
type movePhase uint8

const (
	// moveAsking waits for an answer of the store, with the keys open: a move that begins in a store outage would keep
	// them closed until the store answers.
	moveAsking movePhase = iota
	// moveClosing waits for requests in progress to finish.
	moveClosing
	// moveMemory waits for the next owner to have the request identifiers.
	moveMemory
	// moveAssigning waits for the entry that assigns the keys.
	moveAssigning
)

// move is a planned move of keys that this process owns. A phase that times out abandons the move and opens the keys,
// with one exception: while an append that assigns them has an unknown result the keys stay closed, because the next
// owner may already serve them.
type move struct {
	id         uint64
	keys       KeySet
	to         sequoiatable.IncarnationID
	reason     string
	phase      movePhase
	phaseSince time.Time
	// closeLimit bounds the wait for requests in progress.
	closeLimit time.Duration
	parts      []*memoryPart
	refused    bool
	ended      bool
	err        error
}

func (m *move) finish(err error) {
	m.ended = true
	m.err = err
}

// release starts a planned move of the part of the keys that this process owns and is not moving already.
func (c *Core) release(r *Release) {
	c.startMove(r, c.opt.timings.CloseTimeout)
}

func (c *Core) startMove(r *Release, closeLimit time.Duration) {
	if r.To == c.self {
		c.mergeKeys(r.Keys)
		return
	}
	keys := r.Keys.ownedBy(c.table, c.self)
	target := c.liveMember(r.To)
	if keys.empty() || target == nil || target.Service != keys.Service {
		return
	}
	if c.store.failing || c.selfRevoke || c.conflicts(keys) {
		return
	}
	m := &move{id: c.nextID(), keys: keys, to: r.To, reason: r.Reason, phaseSince: c.now, closeLimit: closeLimit}
	c.moves = append(c.moves, m)
	c.storeAnswersSince(c.now)
}

// conflicts reports whether a move in progress concerns some of the keys, directly or through a hot key's shard.
func (c *Core) conflicts(keys KeySet) bool {
	s := c.table.Service(keys.Service)
	merging := KeySet{Service: keys.Service, Keys: c.merges[keys.Service]}
	if overlap(s, keys, merging) || overlap(s, merging, keys) {
		return true
	}
	for _, m := range c.moves {
		if m.keys.Service != keys.Service {
			continue
		}
		if overlap(s, keys, m.keys) || overlap(s, m.keys, keys) {
			return true
		}
	}
	return false
}

func overlap(s *sequoiatable.ServiceTable, a, b KeySet) bool {
	for _, n := range a.Shards {
		if slices.Contains(b.Shards, n) {
			return true
		}
	}
	for _, k := range a.Keys {
		if slices.Contains(b.Keys, k) || slices.Contains(b.Shards, sequoiatable.ShardOf(k, s.Shards)) {
			return true
		}
	}
	return false
}

func (c *Core) findMove(id uint64) *move {
	for _, m := range c.moves {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (c *Core) keysDrained(ev KeysDrained) {
	if c.drain != nil && c.drain.closeAll == ev.Move && ev.Move != 0 {
		c.drain.leave = true
		return
	}
	m := c.findMove(ev.Move)
	if m == nil || m.phase != moveClosing {
		return
	}
	m.parts = splitMemory(ev.Identifiers)
	c.enterPhase(m, moveMemory)
}

func (c *Core) memoryReceived(from sequoiatable.IncarnationID, r *MemoryReceived) {
	m := c.findMove(r.Move)
	if m != nil && m.phase == moveMemory && from == m.to && m.acknowledge(r.Part, c.now) {
		c.enterPhase(m, moveAssigning)
	}
}

func (c *Core) enterPhase(m *move, p movePhase) {
	m.phase = p
	m.phaseSince = c.now
}

func (c *Core) advanceMoves() {
	for _, m := range c.moves {
		c.advanceMove(m)
	}
	c.moves = slices.DeleteFunc(c.moves, func(m *move) bool { return m.ended })
}

func (c *Core) advanceMove(m *move) {
	switch {
	case c.movePending(m):
		if c.opt.disabled.reopenOnUnknownResult && c.now.Sub(m.phaseSince) >= c.opt.timings.AssignTimeout {
			c.endMove(m, ErrTimeout)
		}
		return
	case !c.ownsAll(m):
		c.endMove(m, nil)
		return
	case m.refused:
		c.endMove(m, ErrTarget)
		return
	case c.now.Sub(m.phaseSince) >= c.phaseTimeout(m):
		c.endMove(m, ErrTimeout)
		return
	}
	if target := c.liveMember(m.to); target == nil || target.Service != m.keys.Service {
		c.endMove(m, ErrTarget)
		return
	}
	switch {
	case m.phase == moveAsking && c.storeAnswersSince(m.phaseSince):
		c.enterPhase(m, moveClosing)
		c.emit(CloseKeys{Move: m.id, Keys: m.keys})
	case m.phase == moveMemory:
		c.sendMemory(m)
	}
}

// movePending reports whether the result of an append that assigns the keys is unknown.
func (c *Core) movePending(m *move) bool {
	p := c.pending
	return p != nil && slices.ContainsFunc(p.origins, func(o origin) bool { return o.move == m })
}

// ownsAll reports whether the table still names this process as the owner of all keys of the move.
func (c *Core) ownsAll(m *move) bool {
	owners := m.keys.owners(c.table)
	return len(owners) == 1 && owners[0] == c.self
}

func (c *Core) phaseTimeout(m *move) time.Duration {
	switch m.phase {
	case moveAsking:
		return c.opt.timings.AssignTimeout
	case moveClosing:
		return m.closeLimit
	case moveMemory:
		return c.opt.timings.MemoryTimeout
	case moveAssigning:
		return c.opt.timings.AssignTimeout
	}
	return 0
}

func (c *Core) endMove(m *move, err error) {
	m.finish(err)
	c.emit(OpenKeys{Move: m.id})
	if err != nil && m.phase == moveClosing {
		c.drainIndividually = true
	}
	if err != nil {
		c.emit(Record{
			Own: true, Decision: "MoveAbandoned", Service: m.keys.Service, Keys: m.keys, Owner: c.self, Reason: err.Error(),
		})
	}
}

// answerFresh is how recent the store's last answer has to be for the append that ends a move.
const answerFresh = 250 * time.Millisecond

// wantMoves assigns the keys of moves whose next owner has the request identifiers. A move that waited long for
// requests in progress asks the store once more, since an append without a result keeps the keys closed.
func (c *Core) wantMoves(b *batch) {
	for _, m := range c.moves {
		if m.phase != moveAssigning || m.ended || !c.ownsAll(m) {
			continue
		}
		if c.now.Sub(c.store.answeredAt) > answerFresh {
			c.storeAnswersSince(c.now)
			continue
		}
		b.add(sequoiatable.Change{Assign: &sequoiatable.Assign{
			Service: m.keys.Service, Kind: sequoiatable.AssignPlanned, From: c.self, To: m.to,
			Shards: m.keys.Shards, Keys: m.keys.Keys, Reason: m.reason,
		}}, origin{move: m})
	}
}

package sequoiacontrol

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// movePhase is the progress of a planned move.
type movePhase uint8

const (
	// moveProbingStore waits for a response from the store while the keys stay open. Without it, a move that starts
	// during a store outage would keep the keys closed until the store responds.
	moveProbingStore movePhase = iota
	// moveClosing waits for requests in progress to finish.
	moveClosing
	// moveTransferring waits for the next owner to acknowledge all request identifiers.
	moveTransferring
	// moveAssigning waits for the entry that assigns the keys.
	moveAssigning
)

// move is a planned move of keys that this process owns. If a phase times out, the move is abandoned and the keys are
// opened, with one exception: while the result of the append that assigns them is unknown, the keys stay closed because
// the next owner may already be serving them.
type move struct {
	id         uint64
	keys       KeySet
	to         sequoiatable.IncarnationID
	reason     string
	phase      movePhase
	phaseSince time.Time
	// closeTimeout bounds the wait for requests in progress.
	closeTimeout time.Duration
	parts        []*identifierPart
	refused      bool
	ended        bool
	err          error
}

func (m *move) finish(err error) {
	m.ended = true
	m.err = err
}

// handleRelease starts a planned move of those of the keys that this process owns, unless some are already being moved.
func (c *Core) handleRelease(r *Release) {
	c.startMove(r, c.opt.timings.CloseTimeout)
}

func (c *Core) startMove(r *Release, closeTimeout time.Duration) {
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
	m := &move{id: c.nextID(), keys: keys, to: r.To, reason: r.Reason, phaseSince: c.now, closeTimeout: closeTimeout}
	c.moves = append(c.moves, m)
	c.storeRespondedSince(c.now)
}

// conflicts reports whether a move or merge in progress involves any of the keys, directly or through a hot key's
// shard.
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

// overlap reports whether a and b share a shard or hot key, or whether b contains the shard of a hot key of a.
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

func (c *Core) handleKeysDrained(ev KeysDrained) {
	if c.drain != nil && c.drain.closeID == ev.Move && ev.Move != 0 {
		c.drain.leaving = true
		return
	}
	m := c.findMove(ev.Move)
	if m == nil || m.phase != moveClosing {
		return
	}
	m.parts = splitIdentifiers(ev.Identifiers)
	c.enterPhase(m, moveTransferring)
}

func (c *Core) handleMemoryReceived(from sequoiatable.IncarnationID, r *MemoryReceived) {
	m := c.findMove(r.Move)
	if m != nil && m.phase == moveTransferring && from == m.to && m.acknowledge(r.Part, c.now) {
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
		c.endMove(m, ErrInvalidTarget)
		return
	case c.now.Sub(m.phaseSince) >= c.phaseTimeout(m):
		c.endMove(m, ErrTimeout)
		return
	}
	if target := c.liveMember(m.to); target == nil || target.Service != m.keys.Service {
		c.endMove(m, ErrInvalidTarget)
		return
	}
	switch {
	case m.phase == moveProbingStore && c.storeRespondedSince(m.phaseSince):
		c.enterPhase(m, moveClosing)
		c.emit(CloseKeys{Move: m.id, Keys: m.keys})
	case m.phase == moveTransferring:
		c.sendIdentifiers(m)
	}
}

// movePending reports whether an append that assigns the keys has an unknown result.
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
	case moveProbingStore:
		return c.opt.timings.AssignTimeout
	case moveClosing:
		return m.closeTimeout
	case moveTransferring:
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

// storeResponseFreshness is the maximum age of the store's last response for the append that completes a move.
const storeResponseFreshness = 250 * time.Millisecond

// proposeMoves assigns the keys of moves whose next owner has all request identifiers. If the store's last response is
// too old, for example after a long wait for requests in progress, the store is probed again first, since an append
// without a result would keep the keys closed.
func (c *Core) proposeMoves(b *batch) {
	for _, m := range c.moves {
		if m.phase != moveAssigning || m.ended || !c.ownsAll(m) {
			continue
		}
		if c.now.Sub(c.store.respondedAt) > storeResponseFreshness {
			c.storeRespondedSince(c.now)
			continue
		}
		b.add(sequoiatable.Change{Assign: &sequoiatable.Assign{
			Service: m.keys.Service, Kind: sequoiatable.AssignPlanned, From: c.self, To: m.to,
			Shards: m.keys.Shards, Keys: m.keys.Keys, Reason: m.reason,
		}}, origin{move: m})
	}
}

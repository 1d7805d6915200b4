package sequoiarouter

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// ErrIdentifiersFull reports that the retained identifiers of moved keys do not fit beside this process's own.
var ErrIdentifiersFull = errors.New("the number of retained request identifiers has reached its limit")

// closedMove is a set of keys that are closed until their move has ended.
type closedMove struct {
	// all closes the whole process at the end of a drain.
	all     bool
	service string
	shards  map[uint32]struct{}
	keys    map[string]struct{}
	pending int
	held    []*waiter
	drained func([]sequoiacontrol.Identifier)
}

func newClosedMove(keys sequoiacontrol.KeySet) *closedMove {
	m := &closedMove{service: keys.Service, shards: map[uint32]struct{}{}, keys: map[string]struct{}{}}
	for _, n := range keys.Shards {
		m.shards[n] = struct{}{}
	}
	for _, k := range keys.Keys {
		m.keys[k] = struct{}{}
	}
	return m
}

// covers reports whether the move includes a key. A shard does not include its hot keys.
func (m *closedMove) covers(s *sequoiatable.ServiceTable, key string) bool {
	if s == nil || s.Name != m.service {
		return false
	}
	if _, ok := m.keys[key]; ok {
		return true
	}
	if _, hot := s.HotKey(key); hot {
		return false
	}
	_, ok := m.shards[sequoiatable.ShardOf(key, s.Shards)]
	return ok
}

// CloseKeys holds new and queued requests for the keys. Once no request for them is in progress it calls drained
// with the retained identifiers, which then no longer change.
func (r *Router) CloseKeys(
	now time.Time, move uint64, keys sequoiacontrol.KeySet, drained func([]sequoiacontrol.Identifier),
) {
	r.locked(func() {
		if r.snapshot == nil || r.moves[move] != nil {
			return
		}
		m := newClosedMove(keys)
		m.drained = drained
		r.moves[move] = m
		s := r.snapshot.Table.Service(keys.Service)
		for t := range r.active {
			if t.keyed && t.service == m.service && m.covers(s, t.key) {
				t.closing = append(t.closing, m)
				m.pending++
			}
		}
		r.holdQueued(now, m, s)
		r.checkDrained(now, m)
	})
}

// CloseAll refuses new and queued requests, those without a key included, and calls drained once none is in progress.
// It is used at the end of a drain, when other processes own all keys; a refused request is sent to one of them.
func (r *Router) CloseAll(now time.Time, move uint64, drained func()) {
	r.locked(func() {
		if r.snapshot == nil || r.moves[move] != nil {
			return
		}
		m := newClosedMove(sequoiacontrol.KeySet{})
		m.all = true
		m.drained = func([]sequoiacontrol.Identifier) { drained() }
		r.moves[move] = m
		for t := range r.active {
			t.closing = append(t.closing, m)
			m.pending++
		}
		r.pump(now)
		r.checkDrained(now, m)
	})
}

// closedToAll reports whether the process has been closed by CloseAll.
func (r *Router) closedToAll() bool {
	for _, m := range r.moves {
		if m.all {
			return true
		}
	}
	return false
}

// holdQueued moves requests that wait for a slot to the closed keys. They lose their place as the first copy of their
// identifier, so that nothing of a closed key counts as running.
func (r *Router) holdQueued(now time.Time, m *closedMove, s *sequoiatable.ServiceTable) {
	r.queue = slices.DeleteFunc(r.queue, func(w *waiter) bool {
		if !w.keyed || w.req.Service != m.service || !m.covers(s, w.key) {
			return false
		}
		m.held = append(m.held, w)
		if w.record != nil {
			m.held = append(m.held, w.record.followers...)
			w.record.followers = nil
			r.memory.remove(w.record)
			w.record = nil
		}
		return true
	})
}

func (r *Router) checkDrained(now time.Time, m *closedMove) {
	if m.pending > 0 && !r.cfg.removed.drainWait || m.drained == nil {
		return
	}
	drained := m.drained
	m.drained = nil
	var ids []sequoiacontrol.Identifier
	if !m.all {
		ids = r.memory.identifiers(now, r.snapshot.Table.Service(m.service), m)
	}
	r.call(func() { drained(ids) })
}

// OpenKeys ends CloseKeys. Held requests are decided again by the snapshot in force: they run if this process is
// still the owner, and are otherwise answered NotRun with the log index.
func (r *Router) OpenKeys(now time.Time, move uint64) {
	r.locked(func() {
		m := r.moves[move]
		if m == nil {
			return
		}
		delete(r.moves, move)
		for t := range r.active {
			t.closing = slices.DeleteFunc(t.closing, func(c *closedMove) bool { return c == m })
		}
		for _, w := range m.held {
			r.readmit(now, w)
		}
	})
}

// closedBy returns the move that has closed a key, nil if it is open.
func (r *Router) closedBy(s *sequoiatable.ServiceTable, key string) *closedMove {
	for _, m := range r.moves {
		if m.covers(s, key) {
			return m
		}
	}
	return nil
}

// expireHeld ends held requests whose deadline has passed, or all of them once the lease has ended.
func (r *Router) expireHeld(now time.Time, m *closedMove) {
	m.held = slices.DeleteFunc(m.held, func(w *waiter) bool {
		switch {
		case w.done:
		case !now.Before(w.req.Deadline):
			r.settle(w, Admission{Response: r.respond(NotRun, ReasonDeadlinePassed, sequoiatable.Assignment{})})
		case !r.snapshot.Serves(now):
			r.settle(w, Admission{Response: r.respond(NotRun, ReasonLeaseEnded, sequoiatable.Assignment{})})
		}
		return w.done
	})
}

// InstallMemory adds the retained identifiers of keys that will be assigned to this process. On ErrIdentifiersFull
// none is added and the keys must not be accepted.
func (r *Router) InstallMemory(now time.Time, keys sequoiacontrol.KeySet, ids []sequoiacontrol.Identifier) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.memory.records)+len(ids) > r.cfg.maxIdentifiers {
		return errors.Wrapf(ErrIdentifiersFull, "%d retained, %d to add", len(r.memory.records), len(ids))
	}
	for _, id := range ids {
		r.memory.install(now, keys.Service, id, r.cfg.maxRetained)
	}
	return nil
}

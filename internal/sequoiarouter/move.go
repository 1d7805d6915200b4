package sequoiarouter

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// ErrIdentifiersFull reports that the retained identifiers of moved keys would exceed this process's limit.
var ErrIdentifiersFull = errors.New("the number of retained request identifiers has reached its limit")

// closedKeySet is a set of keys whose requests are held until the move of the keys has ended.
type closedKeySet struct {
	// all is true if all requests are refused, at the end of a drain.
	all       bool
	service   string
	shards    map[uint32]struct{}
	keys      map[string]struct{}
	inFlight  int
	held      []*pendingRequest
	onDrained func([]sequoiacontrol.Identifier)
}

func newClosedKeySet(keys sequoiacontrol.KeySet) *closedKeySet {
	c := &closedKeySet{service: keys.Service, shards: map[uint32]struct{}{}, keys: map[string]struct{}{}}
	for _, n := range keys.Shards {
		c.shards[n] = struct{}{}
	}
	for _, k := range keys.Keys {
		c.keys[k] = struct{}{}
	}
	return c
}

// covers reports whether a key is closed. Closing a shard does not close its hot keys.
func (c *closedKeySet) covers(s *sequoiatable.ServiceTable, key string) bool {
	if s == nil || s.Name != c.service {
		return false
	}
	if _, ok := c.keys[key]; ok {
		return true
	}
	if _, hot := s.HotKey(key); hot {
		return false
	}
	_, ok := c.shards[sequoiatable.ShardOf(key, s.Shards)]
	return ok
}

// CloseKeys holds new and queued requests for the keys. Once no request for them is in progress, it calls onDrained
// with the retained identifiers, which no longer change from then on.
func (r *Router) CloseKeys(
	now time.Time, move uint64, keys sequoiacontrol.KeySet, onDrained func([]sequoiacontrol.Identifier),
) {
	r.withLock(func() {
		if r.snapshot == nil || r.moves[move] != nil {
			return
		}
		c := newClosedKeySet(keys)
		c.onDrained = onDrained
		r.moves[move] = c
		s := r.snapshot.Table.Service(keys.Service)
		for t := range r.active {
			if t.keyed && t.service == c.service && c.covers(s, t.key) {
				t.closedKeySets = append(t.closedKeySets, c)
				c.inFlight++
			}
		}
		r.holdQueued(now, c, s)
		r.checkDrained(now, c)
	})
}

// CloseAll refuses new and queued requests, including those without a key, and calls onDrained once none is in
// progress. It is used at the end of a drain, when other processes own all keys; a refused request is sent to one of
// them.
func (r *Router) CloseAll(now time.Time, move uint64, onDrained func()) {
	r.withLock(func() {
		if r.snapshot == nil || r.moves[move] != nil {
			return
		}
		c := newClosedKeySet(sequoiacontrol.KeySet{})
		c.all = true
		c.onDrained = func([]sequoiacontrol.Identifier) { onDrained() }
		r.moves[move] = c
		for t := range r.active {
			t.closedKeySets = append(t.closedKeySets, c)
			c.inFlight++
		}
		r.dispatchQueue(now)
		r.checkDrained(now, c)
	})
}

// allClosed reports whether CloseAll is in effect.
func (r *Router) allClosed() bool {
	for _, c := range r.moves {
		if c.all {
			return true
		}
	}
	return false
}

// holdQueued holds queued requests for the closed keys and removes the records of their identifiers, so that no request
// for a closed key counts as running.
func (r *Router) holdQueued(now time.Time, c *closedKeySet, s *sequoiatable.ServiceTable) {
	r.queue = slices.DeleteFunc(r.queue, func(w *pendingRequest) bool {
		if !w.keyed || w.req.Service != c.service || !c.covers(s, w.key) {
			return false
		}
		c.held = append(c.held, w)
		if w.record != nil {
			c.held = append(c.held, w.record.duplicates...)
			w.record.duplicates = nil
			r.identifiers.remove(w.record)
			w.record = nil
		}
		return true
	})
}

func (r *Router) checkDrained(now time.Time, c *closedKeySet) {
	if c.inFlight > 0 && !r.cfg.disabled.drainWait || c.onDrained == nil {
		return
	}
	onDrained := c.onDrained
	c.onDrained = nil
	var ids []sequoiacontrol.Identifier
	if !c.all {
		ids = r.identifiers.finishedFor(now, r.snapshot.Table.Service(c.service), c)
	}
	r.scheduleCallback(func() { onDrained(ids) })
}

// OpenKeys reverts CloseKeys or CloseAll. Held requests are admitted again with the current snapshot: they run if this
// process is still the owner, and are otherwise answered NotRun with the log index.
func (r *Router) OpenKeys(now time.Time, move uint64) {
	r.withLock(func() {
		c := r.moves[move]
		if c == nil {
			return
		}
		delete(r.moves, move)
		for t := range r.active {
			t.closedKeySets = slices.DeleteFunc(t.closedKeySets, func(other *closedKeySet) bool { return other == c })
		}
		for _, w := range c.held {
			r.readmit(now, w)
		}
	})
}

// closedBy returns the closed set that covers a key, or nil if the key is open.
func (r *Router) closedBy(s *sequoiatable.ServiceTable, key string) *closedKeySet {
	for _, c := range r.moves {
		if c.covers(s, key) {
			return c
		}
	}
	return nil
}

// expireHeld refuses held requests whose deadline has passed, or all of them once the lease has ended.
func (r *Router) expireHeld(now time.Time, c *closedKeySet) {
	c.held = slices.DeleteFunc(c.held, func(w *pendingRequest) bool {
		switch {
		case w.done:
		case !now.Before(w.req.Deadline):
			r.complete(w, Admission{Response: r.respond(NotRun, ReasonDeadlinePassed, sequoiatable.Assignment{})})
		case !r.snapshot.Serves(now):
			r.complete(w, Admission{Response: r.respond(NotRun, ReasonLeaseEnded, sequoiatable.Assignment{})})
		}
		return w.done
	})
}

// InstallIdentifiers adds the retained identifiers of keys that will be assigned to this process. If it returns
// ErrIdentifiersFull, no identifier was added and the keys must not be accepted.
func (r *Router) InstallIdentifiers(now time.Time, keys sequoiacontrol.KeySet, ids []sequoiacontrol.Identifier) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.identifiers.records)+len(ids) > r.cfg.maxIdentifiers {
		return errors.Wrapf(ErrIdentifiersFull, "%d retained, %d to add", len(r.identifiers.records), len(ids))
	}
	for _, id := range ids {
		r.identifiers.install(now, keys.Service, id, r.cfg.maxRetainedBytes)
	}
	return nil
}

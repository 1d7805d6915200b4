package sequoiarouter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Ticket is the permission to send one request to the local upstream. It ends with Finish.
type Ticket struct {
	// Incarnation, Epoch and Deadline are sent to the upstream.
	Incarnation sequoiatable.IncarnationID
	Epoch       sequoiatable.Epoch
	// Deadline is the caller's, and for an upstream that does not check grants not later than the lease end.
	Deadline time.Time
	Address  netip.AddrPort

	service  string
	key      string
	keyed    bool
	hot      bool
	shard    uint32
	record   *record
	closing  []*closedMove
	started  time.Time
	logIndex uint64
}

// Admission is the end of Admit. Exactly one field is set.
type Admission struct {
	Ticket   *Ticket
	Response *Response
}

// waiter is a request that has not been admitted yet.
type waiter struct {
	req    *Request
	key    string
	keyed  bool
	then   func(Admission)
	record *record
	// counted is true while the waiter counts towards the limit of waiting requests.
	counted bool
	done    bool
}

// Admit decides about a request at this process: whether its upstream runs it, now or after waiting, or what the
// caller is told instead. then is called exactly once, possibly before Admit returns. The returned function ends the
// wait of a request whose caller has gone.
func (r *Router) Admit(now time.Time, req *Request, then func(Admission)) (cancel func(now time.Time)) {
	w := &waiter{req: req, then: then}
	r.locked(func() { r.admit(now, w) })
	return func(now time.Time) {
		r.locked(func() { r.cancel(now, w) })
	}
}

func (r *Router) admit(now time.Time, w *waiter) {
	if r.snapshot == nil {
		r.refuse(w, ReasonNoTable, sequoiatable.Assignment{})
		return
	}
	s := r.snapshot.Table.Service(w.req.Service)
	if s == nil {
		r.refuse(w, ReasonServiceUnknown, sequoiatable.Assignment{})
		return
	}
	w.key, w.keyed = effectiveKey(s, w.req)
	if !w.keyed && s.Divided {
		r.refuse(w, ReasonKeyMissing, sequoiatable.Assignment{})
		return
	}
	// Retained identifiers come before every other rule, because NotRun would be false for a request that has run.
	if r.answerDuplicate(w) {
		return
	}
	if !now.Before(w.req.Deadline) {
		r.refuse(w, ReasonDeadlinePassed, sequoiatable.Assignment{})
		return
	}
	if !w.keyed {
		r.enqueue(now, w)
		return
	}
	a := s.Lookup(w.key)
	if a.Owner != r.snapshot.Self {
		r.refuse(w, ReasonNotOwner, a)
		return
	}
	if m := r.closedBy(s, w.key); m != nil {
		r.hold(w, m)
		return
	}
	if w.req.RequestID != "" && !r.remember(now, w, a) {
		return
	}
	r.enqueue(now, w)
}

// answerDuplicate ends or attaches a request whose identifier is retained.
func (r *Router) answerDuplicate(w *waiter) bool {
	if w.req.RequestID == "" || !w.keyed || r.cfg.removed.identifiers {
		return false
	}
	rec := r.memory.records[recordID{w.req.Service, w.key, w.req.RequestID}]
	switch {
	case rec == nil:
		return false
	case !rec.finished && r.count(w):
		rec.followers = append(rec.followers, w)
	case !rec.finished:
		r.settle(w, Admission{Response: r.respond(Unknown, ReasonFirstStillRunning, sequoiatable.Assignment{})})
	default:
		r.settle(w, Admission{Response: r.retainedResponse(rec)})
	}
	return true
}

func (r *Router) retainedResponse(rec *record) *Response {
	if rec.unknown {
		return r.respond(Unknown, ReasonEarlierUnknown, sequoiatable.Assignment{})
	}
	if rec.response == nil {
		return r.respond(Unknown, ReasonNotRetained, sequoiatable.Assignment{})
	}
	resp := *rec.response
	return &resp
}

// remember makes the request the first copy of its identifier, unless an earlier owner may have run it.
func (r *Router) remember(now time.Time, w *waiter, a sequoiatable.Assignment) bool {
	first := w.req.FirstEpoch
	switch {
	case uint64(first) > r.snapshot.Table.Index:
		r.refuse(w, ReasonStaleTable, a)
		return false
	case first != 0 && first < a.Floor && !r.cfg.removed.floor:
		r.settle(w, Admission{Response: r.respond(Unknown, ReasonBelowFloor, a)})
		return false
	case first == 0 && a.Floor != 0 && !r.older(now, a.Floor):
		r.settle(w, Admission{Response: r.respond(Unknown, ReasonFirstEpochMissing, a)})
		return false
	case len(r.memory.records) >= r.cfg.maxIdentifiers:
		r.refuse(w, ReasonIdentifiersFull, a)
		return false
	}
	rec := &record{id: recordID{w.req.Service, w.key, w.req.RequestID}}
	r.memory.records[rec.id] = rec
	w.record = rec
	return true
}

func (r *Router) enqueue(now time.Time, w *waiter) {
	if reason := r.blocked(now, w); reason != "" {
		r.endUnstarted(now, w, reason)
		return
	}
	if len(r.queue) == 0 && len(r.active) < r.capacity() {
		r.start(now, w)
		return
	}
	if !r.count(w) {
		r.endUnstarted(now, w, ReasonQueueFull)
		return
	}
	r.queue = append(r.queue, w)
}

// blocked returns why a request cannot run at this moment even with a free slot, empty if it can.
func (r *Router) blocked(now time.Time, w *waiter) string {
	switch {
	case !r.snapshot.Serves(now):
		return ReasonLeaseEnded
	case r.upstream == nil || r.upstream.service != w.req.Service:
		return ReasonNoUpstream
	case !w.keyed && (r.upstream.draining || r.snapshot.Draining), r.closedToAll():
		return ReasonDraining
	case !now.Before(w.req.Deadline):
		return ReasonDeadlinePassed
	}
	if !w.keyed {
		return ""
	}
	s := r.snapshot.Table.Service(w.req.Service)
	if s == nil || s.Lookup(w.key).Owner != r.snapshot.Self {
		return ReasonNotOwner
	}
	return ""
}

// pump starts queued requests in order and ends those that can no longer run.
func (r *Router) pump(now time.Time) {
	if r.snapshot == nil {
		return
	}
	queue := r.queue
	r.queue = nil
	for _, w := range queue {
		if w.done {
			continue
		}
		if reason := r.blocked(now, w); reason != "" {
			r.endUnstarted(now, w, reason)
			continue
		}
		if len(r.active) < r.capacity() {
			r.start(now, w)
			continue
		}
		r.queue = append(r.queue, w)
	}
}

func (r *Router) start(now time.Time, w *waiter) {
	t := &Ticket{
		Incarnation: r.snapshot.Self, Deadline: w.req.Deadline, Address: r.upstream.address,
		service: w.req.Service, key: w.key, keyed: w.keyed, record: w.record, started: now,
		logIndex: r.snapshot.Table.Index,
	}
	if !r.upstream.checksGrants && r.snapshot.LeaseEnd.Before(t.Deadline) {
		t.Deadline = r.snapshot.LeaseEnd
	}
	if w.keyed {
		s := r.snapshot.Table.Service(w.req.Service)
		t.Epoch = s.Lookup(w.key).Epoch
		_, t.hot = s.HotKey(w.key)
		t.shard = sequoiatable.ShardOf(w.key, s.Shards)
	}
	r.load.change(now, len(r.active))
	r.active[t] = struct{}{}
	r.settle(w, Admission{Ticket: t})
}

// Finish ends a ticket with what the upstream answered, completes the response with owner, epoch and log index, and
// answers the duplicates that waited for it.
func (r *Router) Finish(now time.Time, t *Ticket, resp *Response) {
	resp.Owner, resp.Epoch, resp.LogIndex = t.Incarnation, t.Epoch, t.logIndex
	r.locked(func() {
		if _, ok := r.active[t]; !ok {
			return
		}
		r.load.change(now, len(r.active))
		r.load.finish(now, t)
		delete(r.active, t)
		if t.record != nil {
			r.finishRecord(now, t.record, resp)
		}
		for _, m := range t.closing {
			m.pending--
			r.checkDrained(now, m)
		}
		r.pump(now)
	})
}

func (r *Router) finishRecord(now time.Time, rec *record, resp *Response) {
	followers := rec.followers
	rec.followers = nil
	if resp.Outcome == NotRun {
		r.memory.remove(rec)
		for _, w := range followers {
			r.readmit(now, w)
		}
		return
	}
	kept := *resp
	r.memory.finish(rec, now, &kept, r.cfg.maxRetained)
	for _, w := range followers {
		copied := *resp
		r.settle(w, Admission{Response: &copied})
	}
}

// readmit decides again about a request that has waited for something that has ended.
func (r *Router) readmit(now time.Time, w *waiter) {
	if w.done {
		return
	}
	r.uncount(w)
	r.admit(now, w)
}

// endUnstarted answers NotRun for a request that was never started. Duplicates that waited for it are decided anew.
func (r *Router) endUnstarted(now time.Time, w *waiter, reason string) {
	var a sequoiatable.Assignment
	if s := r.snapshot.Table.Service(w.req.Service); s != nil && w.keyed {
		a = s.Lookup(w.key)
	}
	rec := w.record
	w.record = nil
	r.refuse(w, reason, a)
	if rec == nil {
		return
	}
	r.memory.remove(rec)
	for _, f := range rec.followers {
		r.readmit(now, f)
	}
}

func (r *Router) refuse(w *waiter, reason string, a sequoiatable.Assignment) {
	r.settle(w, Admission{Response: r.respond(NotRun, reason, a)})
}

func (r *Router) hold(w *waiter, m *closedMove) {
	if !r.count(w) {
		r.refuse(w, ReasonQueueFull, sequoiatable.Assignment{})
		return
	}
	m.held = append(m.held, w)
}

// cancel ends the wait of a request whose caller has gone. A duplicate of a running request ends as Unknown.
func (r *Router) cancel(now time.Time, w *waiter) {
	if w.done {
		return
	}
	reason := ReasonCancelled
	if !now.Before(w.req.Deadline) {
		reason = ReasonDeadlinePassed
	}
	if i := slices.Index(r.queue, w); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
		r.endUnstarted(now, w, reason)
		return
	}
	for _, m := range r.moves {
		if i := slices.Index(m.held, w); i >= 0 {
			m.held = slices.Delete(m.held, i, i+1)
			r.refuse(w, reason, sequoiatable.Assignment{})
			return
		}
	}
	r.settle(w, Admission{Response: r.respond(Unknown, reason, sequoiatable.Assignment{})})
}

// expireFollowers ends duplicates whose deadline has passed while the first copy is still running.
func (r *Router) expireFollowers(now time.Time) {
	for t := range r.active {
		if t.record == nil {
			continue
		}
		t.record.followers = r.expireEach(now, t.record.followers)
	}
	for _, w := range r.queue {
		if w.record != nil {
			w.record.followers = r.expireEach(now, w.record.followers)
		}
	}
}

func (r *Router) expireEach(now time.Time, ws []*waiter) []*waiter {
	return slices.DeleteFunc(ws, func(w *waiter) bool {
		if !w.done && !now.Before(w.req.Deadline) {
			r.settle(w, Admission{Response: r.respond(Unknown, ReasonFirstStillRunning, sequoiatable.Assignment{})})
		}
		return w.done
	})
}

func (r *Router) settle(w *waiter, a Admission) {
	if w.done {
		return
	}
	w.done = true
	r.uncount(w)
	r.call(func() { w.then(a) })
}

// count reserves one of the places for waiting requests.
func (r *Router) count(w *waiter) bool {
	if w.counted {
		return true
	}
	if r.waiting >= r.localLimits().Queued {
		return false
	}
	r.waiting++
	w.counted = true
	return true
}

func (r *Router) uncount(w *waiter) {
	if w.counted {
		w.counted = false
		r.waiting--
	}
}

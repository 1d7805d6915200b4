package sequoiarouter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Ticket permits sending one request to the local upstream. It is valid until Finish is called.
type Ticket struct {
	// Incarnation, Epoch and Deadline are sent to the upstream.
	Incarnation sequoiatable.IncarnationID
	Epoch       sequoiatable.Epoch
	// Deadline is the caller's deadline. For an upstream that does not check grants, it is at most the lease end.
	Deadline time.Time
	Address  netip.AddrPort

	service       string
	key           string
	keyed         bool
	hot           bool
	shard         uint32
	record        *record
	closedKeySets []*closedKeySet
	started       time.Time
	logIndex      uint64
}

// Admission is the result of Admit. Exactly one field is set.
type Admission struct {
	Ticket   *Ticket
	Response *Response
}

// pendingRequest is a request that has been neither admitted nor answered.
type pendingRequest struct {
	req         *Request
	key         string
	keyed       bool
	onAdmission func(Admission)
	record      *record
	// reserved is true while the request counts towards the limit on waiting requests.
	reserved bool
	done     bool
}

// Admit decides whether this process's upstream runs a request, immediately or after queueing, or which response the
// caller gets instead. onAdmission is called exactly once, possibly before Admit returns. The returned function cancels
// a waiting request whose caller has disconnected.
func (r *Router) Admit(now time.Time, req *Request, onAdmission func(Admission)) (cancel func(now time.Time)) {
	w := &pendingRequest{req: req, onAdmission: onAdmission}
	r.withLock(func() { r.admit(now, w) })
	return func(now time.Time) {
		r.withLock(func() { r.cancel(now, w) })
	}
}

func (r *Router) admit(now time.Time, w *pendingRequest) {
	if r.snapshot == nil {
		r.refuse(w, ReasonNoTable, sequoiatable.Assignment{})
		return
	}
	s := r.snapshot.Table.Service(w.req.Service)
	if s == nil || s.Withdrawn {
		r.refuse(w, ReasonServiceUnknown, sequoiatable.Assignment{})
		return
	}
	w.key, w.keyed = effectiveKey(s, w.req)
	if !w.keyed && s.Divided {
		r.refuse(w, ReasonKeyMissing, sequoiatable.Assignment{})
		return
	}
	// Retained identifiers are checked before the following rules, because a request that has run must not be answered
	// NotRun.
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
	if c := r.closedBy(s, w.key); c != nil {
		r.holdForMove(w, c)
		return
	}
	if w.req.RequestID != "" && !r.registerIdentifier(now, w, a) {
		return
	}
	r.enqueue(now, w)
}

// answerDuplicate handles a request whose identifier is retained: it is answered from the record, or waits for the
// first copy to finish. It returns false if the identifier is not retained.
func (r *Router) answerDuplicate(w *pendingRequest) bool {
	if w.req.RequestID == "" || !w.keyed || r.cfg.disabled.identifiers {
		return false
	}
	rec := r.identifiers.records[recordID{w.req.Service, w.key, w.req.RequestID}]
	switch {
	case rec == nil:
		return false
	case !rec.finished && r.reserveWait(w):
		rec.duplicates = append(rec.duplicates, w)
	case !rec.finished:
		r.complete(w, Admission{Response: r.respond(Unknown, ReasonFirstStillRunning, sequoiatable.Assignment{})})
	default:
		r.complete(w, Admission{Response: r.retainedResponse(rec)})
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

// registerIdentifier adds a record for the request's identifier. If an earlier owner may have run the request, this
// process's table is older than the request's first epoch, or the limit on records is reached, it answers the request
// and returns false.
func (r *Router) registerIdentifier(now time.Time, w *pendingRequest, a sequoiatable.Assignment) bool {
	first := w.req.FirstEpoch
	switch {
	case uint64(first) > r.snapshot.Table.Index:
		r.refuse(w, ReasonStaleTable, a)
		return false
	case first != 0 && first < a.Floor && !r.cfg.disabled.floor:
		r.complete(w, Admission{Response: r.respond(Unknown, ReasonBelowFloor, a)})
		return false
	case first == 0 && a.Floor != 0 && !r.olderThanResendWindow(now, a.Floor):
		r.complete(w, Admission{Response: r.respond(Unknown, ReasonFirstEpochMissing, a)})
		return false
	case len(r.identifiers.records) >= r.cfg.maxIdentifiers:
		r.refuse(w, ReasonIdentifiersFull, a)
		return false
	}
	rec := &record{id: recordID{w.req.Service, w.key, w.req.RequestID}}
	r.identifiers.records[rec.id] = rec
	w.record = rec
	return true
}

// enqueue starts the request if a slot is free, queues it if none is, and refuses it if it cannot run or wait.
func (r *Router) enqueue(now time.Time, w *pendingRequest) {
	if reason := r.blockReason(now, w); reason != "" {
		r.refuseUnstarted(now, w, reason)
		return
	}
	if len(r.queue) == 0 && len(r.active) < r.capacity() {
		r.start(now, w)
		return
	}
	if !r.reserveWait(w) {
		r.refuseUnstarted(now, w, ReasonQueueFull)
		return
	}
	r.queue = append(r.queue, w)
}

// blockReason returns why a request cannot run now, even if a slot is free. It returns "" if the request can run.
func (r *Router) blockReason(now time.Time, w *pendingRequest) string {
	switch {
	case !r.snapshot.Serves(now):
		return ReasonLeaseEnded
	case r.upstream == nil || r.upstream.service != w.req.Service:
		return ReasonNoUpstream
	case !w.keyed && (r.upstream.draining || r.snapshot.Draining), r.allClosed():
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

// dispatchQueue starts queued requests in order and refuses those that can no longer run.
func (r *Router) dispatchQueue(now time.Time) {
	if r.snapshot == nil {
		return
	}
	queue := r.queue
	r.queue = nil
	for _, w := range queue {
		if w.done {
			continue
		}
		if reason := r.blockReason(now, w); reason != "" {
			r.refuseUnstarted(now, w, reason)
			continue
		}
		if len(r.active) < r.capacity() {
			r.start(now, w)
			continue
		}
		r.queue = append(r.queue, w)
	}
}

func (r *Router) start(now time.Time, w *pendingRequest) {
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
	r.load.advance(now, len(r.active))
	r.active[t] = struct{}{}
	r.complete(w, Admission{Ticket: t})
}

// Finish releases a ticket with the upstream's response, sets the owner, epoch and log index of the response, and
// answers the duplicates that were waiting for it.
func (r *Router) Finish(now time.Time, t *Ticket, resp *Response) {
	resp.Owner, resp.Epoch, resp.LogIndex = t.Incarnation, t.Epoch, t.logIndex
	r.withLock(func() {
		if _, ok := r.active[t]; !ok {
			return
		}
		r.load.advance(now, len(r.active))
		r.load.finish(now, t)
		delete(r.active, t)
		if t.record != nil {
			r.finishRecord(now, t.record, resp)
		}
		for _, c := range t.closedKeySets {
			c.inFlight--
			r.checkDrained(now, c)
		}
		r.dispatchQueue(now)
	})
}

func (r *Router) finishRecord(now time.Time, rec *record, resp *Response) {
	duplicates := rec.duplicates
	rec.duplicates = nil
	if resp.Outcome == NotRun {
		r.identifiers.remove(rec)
		for _, w := range duplicates {
			r.readmit(now, w)
		}
		return
	}
	kept := *resp
	r.identifiers.finish(rec, now, &kept, r.cfg.maxRetainedBytes)
	for _, w := range duplicates {
		copied := *resp
		r.complete(w, Admission{Response: &copied})
	}
}

// readmit repeats the admission decision for a request that was held or waited for another copy.
func (r *Router) readmit(now time.Time, w *pendingRequest) {
	if w.done {
		return
	}
	r.releaseWait(w)
	r.admit(now, w)
}

// refuseUnstarted answers NotRun to a request that was never started and admits the duplicates that waited for it
// again.
func (r *Router) refuseUnstarted(now time.Time, w *pendingRequest, reason string) {
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
	r.identifiers.remove(rec)
	for _, d := range rec.duplicates {
		r.readmit(now, d)
	}
}

func (r *Router) refuse(w *pendingRequest, reason string, a sequoiatable.Assignment) {
	r.complete(w, Admission{Response: r.respond(NotRun, reason, a)})
}

func (r *Router) holdForMove(w *pendingRequest, c *closedKeySet) {
	if !r.reserveWait(w) {
		r.refuse(w, ReasonQueueFull, sequoiatable.Assignment{})
		return
	}
	c.held = append(c.held, w)
}

// cancel removes a waiting request whose caller has disconnected. A duplicate of a running request is answered Unknown.
func (r *Router) cancel(now time.Time, w *pendingRequest) {
	if w.done {
		return
	}
	reason := ReasonCancelled
	if !now.Before(w.req.Deadline) {
		reason = ReasonDeadlinePassed
	}
	if i := slices.Index(r.queue, w); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
		r.refuseUnstarted(now, w, reason)
		return
	}
	for _, c := range r.moves {
		if i := slices.Index(c.held, w); i >= 0 {
			c.held = slices.Delete(c.held, i, i+1)
			r.refuse(w, reason, sequoiatable.Assignment{})
			return
		}
	}
	r.complete(w, Admission{Response: r.respond(Unknown, reason, sequoiatable.Assignment{})})
}

// expireDuplicates answers duplicates whose deadline has passed while the first copy is queued or running.
func (r *Router) expireDuplicates(now time.Time) {
	for t := range r.active {
		if t.record == nil {
			continue
		}
		t.record.duplicates = r.expirePending(now, t.record.duplicates)
	}
	for _, w := range r.queue {
		if w.record != nil {
			w.record.duplicates = r.expirePending(now, w.record.duplicates)
		}
	}
}

func (r *Router) expirePending(now time.Time, ws []*pendingRequest) []*pendingRequest {
	return slices.DeleteFunc(ws, func(w *pendingRequest) bool {
		if !w.done && !now.Before(w.req.Deadline) {
			r.complete(w, Admission{Response: r.respond(Unknown, ReasonFirstStillRunning, sequoiatable.Assignment{})})
		}
		return w.done
	})
}

func (r *Router) complete(w *pendingRequest, a Admission) {
	if w.done {
		return
	}
	w.done = true
	r.releaseWait(w)
	r.scheduleCallback(func() { w.onAdmission(a) })
}

// reserveWait counts a request towards the limit on waiting requests. It returns false if the limit is reached.
func (r *Router) reserveWait(w *pendingRequest) bool {
	if w.reserved {
		return true
	}
	if r.waiting >= r.localLimits().Queued {
		return false
	}
	r.waiting++
	w.reserved = true
	return true
}

func (r *Router) releaseWait(w *pendingRequest) {
	if w.reserved {
		w.reserved = false
		r.waiting--
	}
}

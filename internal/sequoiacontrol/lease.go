package sequoiacontrol

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

const (
	// unresponsiveFor is how long a witness that did not answer is not chosen again.
	unresponsiveFor = 10 * time.Second
	// witnessChangeInterval separates two changes of a witness set.
	witnessChangeInterval = 500 * time.Millisecond
	// reviewInterval is the longest time between two choices of the witness set; a choice scans all members.
	reviewInterval = time.Second
	// isolatedChangeInterval applies while no quorum answers. A holder that is itself cut off would otherwise name new
	// witnesses faster than they can suspect it, and its keys would never be taken over.
	isolatedChangeInterval = 3 * time.Second
)

// Witnesses returns the authority of the design: leases renewed by 2 of 3 witnesses (rules L1 to L5).
//
// A set of witnesses alone does not bound what the holder has promised to others: deadlines and grants reach to the
// latest lease end that was published (Core.leaseOut), and that may rest on a witness which the next set leaves out.
// So a holder that changes its set first shortens its lease to what both sets support, and proposes the new set only
// when that set supports leaseOut too, or leaseOut has passed. Otherwise promises of the new set could allow a
// takeover before the last deadline.
func Witnesses(c *Core) Authority {
	w := &witnessing{c: c, records: map[recordKey]*record{}}
	return Authority{
		Reset:        w.reset,
		Event:        w.event,
		Advance:      w.advance,
		TableChanged: w.tableChanged,
		LeaseEnd:     w.leaseEnd,
		Eligible:     func(m *sequoiatable.MemberState) bool { return len(m.Witnesses) > 0 },
		Neighbours:   w.neighbours,
		Want:         w.want,
		Confirm:      w.confirm,
		Renews:       w.renews,
		Fence:        w.fence,
	}
}

// quorum returns how many of n witnesses have to agree: any two quorums share a witness.
func quorum(n int) int {
	return n/2 + 1
}

// recordKey names a holder and the incarnation of this process that was its witness.
type recordKey struct {
	witness sequoiatable.IncarnationID
	holder  sequoiatable.IncarnationID
}

// record is what a witness knows of a holder. Records of former incarnations are kept for promises only.
type record struct {
	namedAt  time.Time
	heard    time.Time
	answered time.Time
	// promised is the index of the revocation for which a promise was given, zero if none was.
	promised   uint64
	reportedAt time.Time
}

// witnessing is both sides of the lease protocol.
type witnessing struct {
	c *Core

	// The holder's side, reset for each incarnation.
	sequence uint64
	sentAt   map[uint64]time.Time
	nextSend time.Time
	// supports is the lease end that each witness supports.
	supports  map[sequoiatable.IncarnationID]time.Time
	answered  map[sequoiatable.IncarnationID]time.Time
	namedAt   map[sequoiatable.IncarnationID]time.Time
	avoid     map[sequoiatable.IncarnationID]time.Time
	next      []sequoiatable.IncarnationID
	changedAt time.Time
	// review is set when the set has to be chosen again; reviewedAt is when it last was.
	review     bool
	reviewedAt time.Time

	// The witness's side, kept for the life of the process.
	records map[recordKey]*record
	holders []sequoiatable.IncarnationID
}

func (w *witnessing) reset() {
	w.sentAt = map[uint64]time.Time{}
	w.supports = map[sequoiatable.IncarnationID]time.Time{}
	w.answered = map[sequoiatable.IncarnationID]time.Time{}
	w.namedAt = map[sequoiatable.IncarnationID]time.Time{}
	w.avoid = map[sequoiatable.IncarnationID]time.Time{}
	w.next = nil
	w.holders = nil
	w.nextSend = time.Time{}
	w.changedAt = time.Time{}
}

func (w *witnessing) current() []sequoiatable.IncarnationID {
	if m := w.c.live(w.c.self); m != nil {
		return m.Witnesses
	}
	return nil
}

func (w *witnessing) event(ev Event) {
	r, ok := ev.(Received)
	if !ok {
		return
	}
	switch m := r.Message; {
	case m.Renew != nil:
		w.renew(r.From, m.Renew)
	case m.Renewed != nil:
		w.renewed(m.Renewed)
	case m.SuspectQuery != nil:
		silent := w.silent(m.SuspectQuery.Holder)
		w.c.send(r.From, Message{SuspectReply: &SuspectReply{Holder: m.SuspectQuery.Holder, Silent: silent}})
	case m.Promise != nil:
		if p := w.promise(m.Promise); p != nil {
			w.c.send(r.From, Message{Promised: p})
		}
	case m.Promised != nil:
		w.promised(m.Promised)
	}
}

func (w *witnessing) advance() {
	w.reviewSet()
	w.sendRenewals()
	w.reportSilent()
}

// leaseEnd is the end that the witness set in force supports and, while another one is proposed, that one as well.
func (w *witnessing) leaseEnd() time.Time {
	end := w.supported(w.current())
	if w.next != nil && len(w.current()) > 0 {
		if e := w.supported(w.next); e.Before(end) {
			end = e
		}
	}
	return end
}

// supported returns the latest moment up to which a quorum of the set supports the lease.
func (w *witnessing) supported(set []sequoiatable.IncarnationID) time.Time {
	if len(set) == 0 {
		return time.Time{}
	}
	ends := make([]time.Time, 0, len(set))
	for _, id := range set {
		ends = append(ends, w.supports[id])
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[quorum(len(set))-1]
}

func (w *witnessing) sendRenewals() {
	c := w.c
	if c.selfRevoke || c.live(c.self) == nil || c.now.Before(w.nextSend) {
		return
	}
	w.nextSend = c.now.Add(c.opt.timings.RenewInterval)
	w.sequence++
	w.sentAt[w.sequence] = c.now
	for seq, at := range w.sentAt {
		if c.now.Sub(at) > c.opt.timings.Lease {
			delete(w.sentAt, seq)
		}
	}
	for _, id := range union(w.current(), w.next) {
		c.send(id, Message{Renew: &Renew{Holder: c.self, Witness: id, Sequence: w.sequence}})
	}
}

func (w *witnessing) renewed(m *Renewed) {
	if m.Holder != w.c.self {
		return
	}
	at, ok := w.sentAt[m.Sequence]
	if !ok {
		return
	}
	if w.c.opt.removed.leaseFromAnswer {
		at = w.c.now
	}
	w.answered[m.Witness] = w.c.now
	if end := at.Add(w.c.opt.timings.HolderLease); end.After(w.supports[m.Witness]) {
		w.supports[m.Witness] = end
	}
}

// pendingSet reports whether an append with an unknown result names a new witness set.
func (w *witnessing) pendingSet() bool {
	p := w.c.pending
	return p != nil && slices.ContainsFunc(p.origins, func(o origin) bool { return o.witnesses })
}

// reviewSet decides whether the witness set has to change.
func (w *witnessing) reviewSet() {
	c := w.c
	if c.live(c.self) == nil || c.selfRevoke || c.stopping() || w.pendingSet() {
		return
	}
	w.noticeUnresponsive()
	if !w.review && c.now.Sub(w.reviewedAt) < reviewInterval {
		return
	}
	w.reviewedAt = c.now
	set := chooseWitnesses(c.table, c.self, w.current(), w.usable)
	if set == nil || sameSet(set, w.current()) {
		w.next = nil
		w.review = false
		return
	}
	if w.next == nil && c.now.Sub(w.changedAt) < w.changeInterval() {
		return
	}
	w.next = set
	w.review = false
}

func (w *witnessing) changeInterval() time.Duration {
	if len(w.current()) > 0 && !w.supported(w.current()).After(w.c.now) {
		return isolatedChangeInterval
	}
	return witnessChangeInterval
}

func (w *witnessing) usable(id sequoiatable.IncarnationID) bool {
	return !w.c.now.Before(w.avoid[id])
}

func (w *witnessing) noticeUnresponsive() {
	c := w.c
	for _, id := range w.current() {
		since := latest(w.answered[id], w.namedAt[id], c.resumedAt)
		if c.now.Sub(since) > c.opt.timings.SuspectAfter {
			w.review = w.review || w.usable(id)
			w.avoid[id] = c.now.Add(unresponsiveFor)
		}
	}
}

func (w *witnessing) want(b *batch) {
	c := w.c
	if w.next == nil || c.live(c.self) == nil {
		return
	}
	covered := !w.supported(w.next).Before(c.leaseOut) || !c.now.Before(c.leaseOut)
	if !covered && !c.opt.removed.witnessSetAtOnce {
		return
	}
	proposed := func() { w.changedAt = c.now }
	change := sequoiatable.Change{SetWitnesses: &sequoiatable.SetWitnesses{Holder: c.self, Witnesses: w.next}}
	b.add(change, origin{witnesses: true, onProposed: proposed})
}

func (w *witnessing) tableChanged() {
	c := w.c
	w.review = true
	current := w.current()
	if w.next != nil && !w.pendingSet() && sameSet(w.next, current) {
		w.next = nil
	}
	for _, id := range current {
		if _, ok := w.namedAt[id]; !ok {
			w.namedAt[id] = c.now
			w.nextSend = c.now
		}
	}
	for id := range w.namedAt {
		if !slices.Contains(current, id) {
			delete(w.namedAt, id)
		}
	}
	w.updateHolders()
}

// updateHolders finds the holders that name this incarnation, and forgets those that the log has removed.
func (w *witnessing) updateHolders() {
	c := w.c
	w.holders = nil
	for _, id := range c.table.Members() {
		m := c.live(id)
		if m == nil || !slices.Contains(m.Witnesses, c.self) {
			continue
		}
		w.holders = append(w.holders, id)
		key := recordKey{c.self, id}
		if w.records[key] == nil {
			w.records[key] = &record{namedAt: c.now}
		}
	}
	for key, r := range w.records {
		if c.table.Member(key.holder) == nil && r.promised <= c.table.Index {
			delete(w.records, key)
		}
	}
}

// neighbours are the witnesses of the process and the holders that chose it.
func (w *witnessing) neighbours() []sequoiatable.IncarnationID {
	return union(union(w.current(), w.next), w.holders)
}

func (w *witnessing) renew(from sequoiatable.IncarnationID, m *Renew) {
	c := w.c
	if m.Witness != c.self || c.live(m.Holder) == nil {
		return
	}
	// A holder that has proposed this witness but cannot read the result back, as in a store outage, is answered too: it
	// counts the answer only together with its earlier set (L3).
	key := recordKey{c.self, m.Holder}
	if w.records[key] == nil {
		w.records[key] = &record{namedAt: c.now}
	}
	r := w.records[key]
	if r.promised != 0 {
		return
	}
	r.heard = c.now
	r.answered = c.now
	c.send(from, Message{Renewed: &Renewed{Holder: m.Holder, Witness: c.self, Sequence: m.Sequence}})
}

// silent reports whether this witness has received no renewal for the suspicion time. The time during which this
// process itself was paused does not count.
func (w *witnessing) silent(holder sequoiatable.IncarnationID) bool {
	r := w.records[recordKey{w.c.self, holder}]
	if r == nil || !slices.Contains(w.holders, holder) {
		return false
	}
	return w.c.now.Sub(latest(r.heard, r.namedAt, w.c.resumedAt)) >= w.c.opt.timings.SuspectAfter
}

func (w *witnessing) renews(holder sequoiatable.IncarnationID) bool {
	return slices.Contains(w.holders, holder) && !w.silent(holder)
}

func (w *witnessing) reportSilent() {
	c := w.c
	for _, holder := range w.holders {
		r := w.records[recordKey{c.self, holder}]
		if !w.silent(holder) || c.now.Sub(r.reportedAt) < 2*c.opt.timings.Resend {
			continue
		}
		r.reportedAt = c.now
		// A witness that is no planner acts last, for the case that no planner can be reached.
		c.suspectReported(c.self, holder)
		for _, id := range c.planners(holder) {
			if id != c.self {
				c.send(id, Message{Suspect: &Suspect{Holder: holder}})
			}
		}
	}
}

// confirm asks the other witnesses until a quorum is silent (L5).
func (w *witnessing) confirm(s *suspicion) bool {
	c := w.c
	m := c.live(s.holder)
	if m == nil || len(m.Witnesses) == 0 {
		return false
	}
	silent := 0
	ask := c.now.Sub(s.askedAt) >= c.opt.timings.Resend
	for _, id := range m.Witnesses {
		at, known := s.silent[id]
		switch {
		case id == c.self && w.silent(s.holder), known && c.now.Sub(at) < 3*c.opt.timings.Resend:
			silent++
		case id != c.self && ask:
			s.askedAt = c.now
			c.send(id, Message{SuspectQuery: &SuspectQuery{Holder: s.holder}})
		}
	}
	return silent >= quorum(len(m.Witnesses))
}

// promise gives the promise of L4. It returns nil if this process neither has been the incarnation that is asked nor
// succeeds it.
func (w *witnessing) promise(m *Promise) *Promised {
	c := w.c
	if reply := c.promiseFor(m); reply != nil {
		return reply
	}
	if !c.isSelf(m.Witness) {
		return nil
	}
	reply := &Promised{Holder: m.Holder, Witness: m.Witness, RevokeIndex: m.RevokeIndex}
	if m.Witness == m.Holder {
		if m.Holder == c.self {
			c.renewIncarnation("Revoked")
		}
		reply.Remaining = max(0, c.former[m.Holder].Sub(c.now))
		return reply
	}
	key := recordKey{m.Witness, m.Holder}
	r := w.records[key]
	if r == nil {
		r = &record{namedAt: c.now}
		w.records[key] = r
	}
	r.promised = max(r.promised, m.RevokeIndex)
	if !r.answered.IsZero() {
		reply.Remaining = max(0, r.answered.Add(c.opt.timings.Lease).Sub(c.now))
	}
	return reply
}

func (w *witnessing) promised(m *Promised) {
	t := w.c.takeovers[m.Holder]
	if t == nil || t.revokeIndex != m.RevokeIndex {
		return
	}
	if _, ok := t.ends[m.Witness]; !ok {
		t.ends[m.Witness] = w.c.now.Add(m.Remaining)
	}
}

// fence reports whether no valid lease of the holder can exist: it has said so itself, or a quorum of its witnesses
// has promised and their renewals have run out.
func (w *witnessing) fence(t *takeover) bool {
	c := w.c
	m := c.table.Member(t.holder)
	if len(m.Witnesses) == 0 || c.opt.removed.takeoverWithoutPromises {
		return true
	}
	w.askPromises(t, m)
	if end, ok := t.ends[t.holder]; ok && !c.now.Before(end) {
		return true
	}
	ended := 0
	for _, id := range m.Witnesses {
		if end, ok := t.ends[id]; ok && !c.now.Before(end) {
			ended++
		}
	}
	return ended >= quorum(len(m.Witnesses))
}

func (w *witnessing) askPromises(t *takeover, m *sequoiatable.MemberState) {
	c := w.c
	if c.now.Sub(t.askedAt) < c.opt.timings.Resend {
		return
	}
	t.askedAt = c.now
	for _, id := range append(slices.Clone(m.Witnesses), t.holder) {
		if _, ok := t.ends[id]; ok {
			continue
		}
		p := &Promise{Holder: t.holder, Witness: id, RevokeIndex: t.revokeIndex}
		if _, ok := c.predecessors[id]; !ok && !c.isSelf(id) {
			c.send(id, Message{Promise: p})
			continue
		}
		if reply := w.promise(p); reply != nil {
			w.promised(reply)
		}
	}
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// union returns a, then what b adds to it.
func union(a, b []sequoiatable.IncarnationID) []sequoiatable.IncarnationID {
	u := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(u, id) {
			u = append(u, id)
		}
	}
	return u
}

func sameSet(a, b []sequoiatable.IncarnationID) bool {
	return len(a) == len(b) && len(union(a, b)) == len(a)
}

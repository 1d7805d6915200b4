package sequoiacontrol

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

const (
	// witnessExclusionTime is how long an unresponsive witness is excluded from selection.
	witnessExclusionTime = 10 * time.Second
	// witnessChangeInterval is the minimum time between two changes of a witness set.
	witnessChangeInterval = 500 * time.Millisecond
	// witnessReviewInterval is the maximum time between two reviews of the witness set. Each review scans all members,
	// so it does not run on every step.
	witnessReviewInterval = time.Second
	// isolatedWitnessChangeInterval replaces witnessChangeInterval while no quorum responds. Otherwise an isolated holder
	// would select new witnesses faster than they can suspect it, and its keys would never be taken over.
	isolatedWitnessChangeInterval = 3 * time.Second
)

// Witnesses returns the default authority: a lease is valid while 2 of the holder's 3 witnesses renew it.
//
// The current witness set alone does not bound the commitments of the holder: request deadlines and grants extend up to
// the latest published lease end (Core.publishedLeaseEnd), which may depend on a witness that the next set drops. A
// holder that changes its set therefore first shortens its lease to what both sets support, and proposes the new set
// only once that set also supports publishedLeaseEnd or publishedLeaseEnd has passed. Otherwise the promises of the new
// set could allow a takeover before the last deadline.
func Witnesses(c *Core) Authority {
	w := &witnessAuthority{c: c, records: map[holderRecordKey]*holderRecord{}}
	return Authority{
		Reset:             w.reset,
		HandleEvent:       w.handle,
		Advance:           w.advance,
		HandleTableChange: w.handleTableChange,
		LeaseEnd:          w.leaseEnd,
		Eligible:          func(m *sequoiatable.MemberState) bool { return len(m.Witnesses) > 0 },
		Neighbours:        w.neighbours,
		ProposeChanges:    w.proposeChanges,
		Confirm:           w.confirmSilent,
		RecentlyRenewed:   w.recentlyRenewed,
		Fence:             w.fence,
	}
}

// quorum returns how many of n witnesses have to agree, such that any two quorums share a witness.
func quorum(n int) int {
	return n/2 + 1
}

// holderRecordKey identifies a holder and the incarnation of this process that is or was its witness.
type holderRecordKey struct {
	witness sequoiatable.IncarnationID
	holder  sequoiatable.IncarnationID
}

// holderRecord is the state that a witness keeps for a holder. Records of former incarnations of this process are used
// for promises only.
type holderRecord struct {
	trackedSince time.Time
	renewedAt    time.Time
	repliedAt    time.Time
	// promisedIndex is the log index of the revocation for which a promise was given, zero if none was.
	promisedIndex uint64
	reportedAt    time.Time
}

// witnessAuthority implements the holder and the witness side of the lease protocol.
type witnessAuthority struct {
	c *Core

	// State of the holder side, reset for each incarnation.
	sequence    uint64
	sentAt      map[uint64]time.Time
	nextRenewal time.Time
	// supportedUntil is the lease end that each witness supports.
	supportedUntil map[sequoiatable.IncarnationID]time.Time
	repliedAt      map[sequoiatable.IncarnationID]time.Time
	witnessSince   map[sequoiatable.IncarnationID]time.Time
	excludedUntil  map[sequoiatable.IncarnationID]time.Time
	proposedSet    []sequoiatable.IncarnationID
	proposedAt     time.Time
	// reviewDue requests a review of the witness set; reviewedAt is the time of the last review.
	reviewDue  bool
	reviewedAt time.Time

	// State of the witness side, kept for the lifetime of the process.
	records map[holderRecordKey]*holderRecord
	holders []sequoiatable.IncarnationID
}

func (w *witnessAuthority) reset() {
	w.sentAt = map[uint64]time.Time{}
	w.supportedUntil = map[sequoiatable.IncarnationID]time.Time{}
	w.repliedAt = map[sequoiatable.IncarnationID]time.Time{}
	w.witnessSince = map[sequoiatable.IncarnationID]time.Time{}
	w.excludedUntil = map[sequoiatable.IncarnationID]time.Time{}
	w.proposedSet = nil
	w.holders = nil
	w.nextRenewal = time.Time{}
	w.proposedAt = time.Time{}
}

func (w *witnessAuthority) currentSet() []sequoiatable.IncarnationID {
	if m := w.c.liveMember(w.c.self); m != nil {
		return m.Witnesses
	}
	return nil
}

func (w *witnessAuthority) handle(ev Event) {
	r, ok := ev.(Received)
	if !ok {
		return
	}
	switch m := r.Message; {
	case m.Renew != nil:
		w.handleRenew(r.From, m.Renew)
	case m.Renewed != nil:
		w.handleRenewed(m.Renewed)
	case m.SuspectQuery != nil:
		silent := w.isSilent(m.SuspectQuery.Holder)
		w.c.send(r.From, Message{SuspectReply: &SuspectReply{Holder: m.SuspectQuery.Holder, Silent: silent}})
	case m.Promise != nil:
		if p := w.promise(m.Promise); p != nil {
			w.c.send(r.From, Message{Promised: p})
		}
	case m.Promised != nil:
		w.handlePromised(m.Promised)
	}
}

func (w *witnessAuthority) advance() {
	w.reviewSet()
	w.sendRenewals()
	w.reportSilent()
}

// leaseEnd returns the lease end that the current witness set supports. While another set is proposed, it returns the
// earlier of the ends that the two sets support.
func (w *witnessAuthority) leaseEnd() time.Time {
	end := w.supportedEnd(w.currentSet())
	if w.proposedSet != nil && len(w.currentSet()) > 0 {
		if e := w.supportedEnd(w.proposedSet); e.Before(end) {
			end = e
		}
	}
	return end
}

// supportedEnd returns the latest time up to which a quorum of the set supports the lease.
func (w *witnessAuthority) supportedEnd(set []sequoiatable.IncarnationID) time.Time {
	if len(set) == 0 {
		return time.Time{}
	}
	ends := make([]time.Time, 0, len(set))
	for _, id := range set {
		ends = append(ends, w.supportedUntil[id])
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[quorum(len(set))-1]
}

func (w *witnessAuthority) sendRenewals() {
	c := w.c
	if c.selfRevoke || c.liveMember(c.self) == nil || c.now.Before(w.nextRenewal) {
		return
	}
	w.nextRenewal = c.now.Add(c.opt.timings.RenewInterval)
	w.sequence++
	w.sentAt[w.sequence] = c.now
	for seq, at := range w.sentAt {
		if c.now.Sub(at) > c.opt.timings.Lease {
			delete(w.sentAt, seq)
		}
	}
	for _, id := range union(w.currentSet(), w.proposedSet) {
		c.send(id, Message{Renew: &Renew{Holder: c.self, Witness: id, Sequence: w.sequence}})
	}
}

func (w *witnessAuthority) handleRenewed(m *Renewed) {
	if m.Holder != w.c.self {
		return
	}
	at, ok := w.sentAt[m.Sequence]
	if !ok {
		return
	}
	if w.c.opt.disabled.leaseFromReply {
		at = w.c.now
	}
	w.repliedAt[m.Witness] = w.c.now
	if end := at.Add(w.c.opt.timings.HolderLease); end.After(w.supportedUntil[m.Witness]) {
		w.supportedUntil[m.Witness] = end
	}
}

// setChangePending reports whether the pending append, whose result is not known yet, changes the witness set.
func (w *witnessAuthority) setChangePending() bool {
	p := w.c.pending
	return p != nil && slices.ContainsFunc(p.origins, func(o origin) bool { return o.witnesses })
}

// reviewSet selects a new witness set if the current one has to change.
func (w *witnessAuthority) reviewSet() {
	c := w.c
	if c.liveMember(c.self) == nil || c.selfRevoke || c.stopping() || w.setChangePending() {
		return
	}
	w.excludeUnresponsive()
	if !w.reviewDue && c.now.Sub(w.reviewedAt) < witnessReviewInterval {
		return
	}
	w.reviewedAt = c.now
	set := chooseWitnesses(c.table, c.self, w.currentSet(), w.usable)
	if set == nil || sameSet(set, w.currentSet()) {
		w.proposedSet = nil
		w.reviewDue = false
		return
	}
	if w.proposedSet == nil && c.now.Sub(w.proposedAt) < w.changeInterval() {
		return
	}
	w.proposedSet = set
	w.reviewDue = false
}

func (w *witnessAuthority) changeInterval() time.Duration {
	if len(w.currentSet()) > 0 && !w.supportedEnd(w.currentSet()).After(w.c.now) {
		return isolatedWitnessChangeInterval
	}
	return witnessChangeInterval
}

func (w *witnessAuthority) usable(id sequoiatable.IncarnationID) bool {
	return !w.c.now.Before(w.excludedUntil[id])
}

func (w *witnessAuthority) excludeUnresponsive() {
	c := w.c
	for _, id := range w.currentSet() {
		since := latest(w.repliedAt[id], w.witnessSince[id], c.resumedAt)
		if c.now.Sub(since) > c.opt.timings.SuspectAfter {
			w.reviewDue = w.reviewDue || w.usable(id)
			w.excludedUntil[id] = c.now.Add(witnessExclusionTime)
		}
	}
}

func (w *witnessAuthority) proposeChanges(b *batch) {
	c := w.c
	if w.proposedSet == nil || c.liveMember(c.self) == nil {
		return
	}
	covered := !w.supportedEnd(w.proposedSet).Before(c.publishedLeaseEnd) || !c.now.Before(c.publishedLeaseEnd)
	if !covered && !c.opt.disabled.uncoveredWitnessSet {
		return
	}
	proposed := func() { w.proposedAt = c.now }
	change := sequoiatable.Change{SetWitnesses: &sequoiatable.SetWitnesses{Holder: c.self, Witnesses: w.proposedSet}}
	b.add(change, origin{witnesses: true, onProposed: proposed})
}

func (w *witnessAuthority) handleTableChange() {
	c := w.c
	w.reviewDue = true
	current := w.currentSet()
	if w.proposedSet != nil && !w.setChangePending() && sameSet(w.proposedSet, current) {
		w.proposedSet = nil
	}
	for _, id := range current {
		if _, ok := w.witnessSince[id]; !ok {
			w.witnessSince[id] = c.now
			w.nextRenewal = c.now
		}
	}
	for id := range w.witnessSince {
		if !slices.Contains(current, id) {
			delete(w.witnessSince, id)
		}
	}
	w.updateHolders()
}

// updateHolders collects the holders that have this incarnation as a witness and deletes the records of holders that
// are no longer in the table.
func (w *witnessAuthority) updateHolders() {
	c := w.c
	w.holders = nil
	for _, id := range c.table.Members() {
		m := c.liveMember(id)
		if m == nil || !slices.Contains(m.Witnesses, c.self) {
			continue
		}
		w.holders = append(w.holders, id)
		key := holderRecordKey{c.self, id}
		if w.records[key] == nil {
			w.records[key] = &holderRecord{trackedSince: c.now}
		}
	}
	for key, r := range w.records {
		if c.table.Member(key.holder) == nil && r.promisedIndex <= c.table.Index {
			delete(w.records, key)
		}
	}
}

// neighbours returns the current and proposed witnesses of this process and the holders that it is a witness of.
func (w *witnessAuthority) neighbours() []sequoiatable.IncarnationID {
	return union(union(w.currentSet(), w.proposedSet), w.holders)
}

func (w *witnessAuthority) handleRenew(from sequoiatable.IncarnationID, m *Renew) {
	c := w.c
	if m.Witness != c.self || c.liveMember(m.Holder) == nil {
		return
	}
	// Also reply to a holder that has proposed this witness but cannot read the result, as in a store outage. The holder
	// limits its lease to what its previous set supports as well.
	key := holderRecordKey{c.self, m.Holder}
	if w.records[key] == nil {
		w.records[key] = &holderRecord{trackedSince: c.now}
	}
	r := w.records[key]
	if r.promisedIndex != 0 {
		return
	}
	r.renewedAt = c.now
	r.repliedAt = c.now
	c.send(from, Message{Renewed: &Renewed{Holder: m.Holder, Witness: c.self, Sequence: m.Sequence}})
}

// isSilent reports whether this witness has received no renewal from the holder for SuspectAfter. Time during which
// this process was paused does not count.
func (w *witnessAuthority) isSilent(holder sequoiatable.IncarnationID) bool {
	r := w.records[holderRecordKey{w.c.self, holder}]
	if r == nil || !slices.Contains(w.holders, holder) {
		return false
	}
	return w.c.now.Sub(latest(r.renewedAt, r.trackedSince, w.c.resumedAt)) >= w.c.opt.timings.SuspectAfter
}

func (w *witnessAuthority) recentlyRenewed(holder sequoiatable.IncarnationID) bool {
	return slices.Contains(w.holders, holder) && !w.isSilent(holder)
}

func (w *witnessAuthority) reportSilent() {
	c := w.c
	for _, holder := range w.holders {
		r := w.records[holderRecordKey{c.self, holder}]
		if !w.isSilent(holder) || c.now.Sub(r.reportedAt) < 2*c.opt.timings.ResendInterval {
			continue
		}
		r.reportedAt = c.now
		// A witness that is not a planner acts after all planners, in case none of them is reachable.
		c.handleSuspect(c.self, holder)
		for _, id := range c.planners(holder) {
			if id != c.self {
				c.send(id, Message{Suspect: &Suspect{Holder: holder}})
			}
		}
	}
}

// confirmSilent queries the other witnesses and reports whether a quorum considers the holder silent.
func (w *witnessAuthority) confirmSilent(s *suspicion) bool {
	c := w.c
	m := c.liveMember(s.holder)
	if m == nil || len(m.Witnesses) == 0 {
		return false
	}
	silent := 0
	ask := c.now.Sub(s.askedAt) >= c.opt.timings.ResendInterval
	for _, id := range m.Witnesses {
		at, known := s.silentAt[id]
		switch {
		case id == c.self && w.isSilent(s.holder), known && c.now.Sub(at) < 3*c.opt.timings.ResendInterval:
			silent++
		case id != c.self && ask:
			s.askedAt = c.now
			c.send(id, Message{SuspectQuery: &SuspectQuery{Holder: s.holder}})
		}
	}
	return silent >= quorum(len(m.Witnesses))
}

// promise commits this process to stop renewing the lease of a revoked holder and returns how long the lease may still
// be valid. It returns nil if the requested witness is neither a current or former incarnation of this process nor a
// predecessor.
func (w *witnessAuthority) promise(m *Promise) *Promised {
	c := w.c
	if reply := c.predecessorPromise(m); reply != nil {
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
		reply.Remaining = max(0, c.formerLeaseEnds[m.Holder].Sub(c.now))
		return reply
	}
	key := holderRecordKey{m.Witness, m.Holder}
	r := w.records[key]
	if r == nil {
		r = &holderRecord{trackedSince: c.now}
		w.records[key] = r
	}
	r.promisedIndex = max(r.promisedIndex, m.RevokeIndex)
	if !r.repliedAt.IsZero() {
		reply.Remaining = max(0, r.repliedAt.Add(c.opt.timings.Lease).Sub(c.now))
	}
	return reply
}

func (w *witnessAuthority) handlePromised(m *Promised) {
	t := w.c.takeovers[m.Holder]
	if t == nil || t.revokeIndex != m.RevokeIndex {
		return
	}
	if _, ok := t.leaseEnds[m.Witness]; !ok {
		t.leaseEnds[m.Witness] = w.c.now.Add(m.Remaining)
	}
}

// fence reports whether the holder can no longer have a valid lease: the holder itself has given it up, or a quorum of
// its witnesses has promised not to renew it and their last renewals have expired.
func (w *witnessAuthority) fence(t *takeover) bool {
	c := w.c
	m := c.table.Member(t.holder)
	if len(m.Witnesses) == 0 || c.opt.disabled.takeoverWithoutPromises {
		return true
	}
	w.requestPromises(t, m)
	if end, ok := t.leaseEnds[t.holder]; ok && !c.now.Before(end) {
		return true
	}
	ended := 0
	for _, id := range m.Witnesses {
		if end, ok := t.leaseEnds[id]; ok && !c.now.Before(end) {
			ended++
		}
	}
	return ended >= quorum(len(m.Witnesses))
}

func (w *witnessAuthority) requestPromises(t *takeover, m *sequoiatable.MemberState) {
	c := w.c
	if c.now.Sub(t.askedAt) < c.opt.timings.ResendInterval {
		return
	}
	t.askedAt = c.now
	for _, id := range append(slices.Clone(m.Witnesses), t.holder) {
		if _, ok := t.leaseEnds[id]; ok {
			continue
		}
		p := &Promise{Holder: t.holder, Witness: id, RevokeIndex: t.revokeIndex}
		if _, ok := c.predecessors[id]; !ok && !c.isSelf(id) {
			c.send(id, Message{Promise: p})
			continue
		}
		if reply := w.promise(p); reply != nil {
			w.handlePromised(reply)
		}
	}
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// union returns the elements of a followed by those of b that are not in a.
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

// Package sequoialink decides when the bodies of requests may use the link of an instance. It does no I/O.
//
// The process beside an upstream owns its link: senders offer bodies, and a body follows only as far as the Scheduler has
// granted it. What has been granted and has not arrived is at most what the link carries in a short window, so a small
// message never waits longer than that behind bodies. A body that cannot arrive in time is refused at once, while its
// sender can still try another instance.
package sequoialink

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Piece is the size in bytes in which bodies are sent.
const Piece = 16 << 10

// BodyShare is the share of a link that bodies may use. The rest is left to small messages.
const BodyShare = 0.85

const (
	// window is how long the bytes that are granted and have not arrived may occupy the link.
	window = 40 * time.Millisecond
	// progressTimeout is how long a sender may keep granted bytes back before it loses the grant.
	progressTimeout = 500 * time.Millisecond
	// heldBackAfter is how much later a grant may arrive than another one given at the same time, because of the distances
	// to their senders.
	heldBackAfter = 15 * time.Millisecond
	// quietAfter is the time without an arrival after which all outstanding bytes count as held back. A link of half its
	// rate would have carried the whole window.
	quietAfter = 2 * window
	// unpacedWindow limits the granted bytes of one body on a link of unknown rate.
	unpacedWindow = 256 << 10
	// lateShare is the share of the time to its deadline that a body which misses its objective may wait for the link.
	lateShare = 0.5
	// delayBody is the size in bytes of the body for which Delay is computed.
	delayBody = 64 << 10
	// maxTransfers limits the bodies that are offered at one time.
	maxTransfers = 4096
	// speedPeriod is the time over which the speed of the link is measured while it limits the grants.
	speedPeriod = 150 * time.Millisecond
	// speedMemory is how long a measured speed is used after the link has last limited the grants.
	speedMemory = time.Second
	// speedSmoothing is the weight of a new measurement, and minSpeed the lowest speed that is assumed.
	speedSmoothing = 0.5
	minSpeed       = 0.25
	// minRetryAfter is the shortest time after which a refused sender is asked to try again.
	minRetryAfter = 20 * time.Millisecond
)

// Reason is why a body is refused, as one word in Pascal case.
type Reason string

// Reasons for a refusal.
const (
	// ReasonBusy means that the body could not arrive early enough for its request to wait and run before its deadline.
	ReasonBusy Reason = "LinkBusy"
	// ReasonFull means that too many bodies are offered.
	ReasonFull Reason = "LinkFull"
	// ReasonStalled means that the sender has made no progress with granted bytes.
	ReasonStalled Reason = "BodyStalled"
)

// ErrNotGranted reports bytes of a body that were not granted.
var ErrNotGranted = errors.New("the body exceeds what was granted")

// Refusal is the reason why a body must not be sent.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the link is expected to have capacity for the body.
	RetryAfter time.Duration
}

// Decision is a grant, or the end of a transfer that had been accepted.
type Decision struct {
	Transfer *Transfer
	// Granted is the number of bytes, from the start of the body, that may be sent. It is valid if Refused is nil.
	Granted int
	// Refused is set if the transfer has ended. It is not part of the Scheduler any more.
	Refused *Refusal
}

// Stats counts events since the start of a Scheduler.
type Stats struct {
	// Granted and Arrived are numbers of bytes.
	Granted, Arrived uint64
	// Refused counts refusals by reason.
	Refused map[Reason]uint64
	// Transfers is the number of bodies that are offered and have not arrived, Outstanding the number of bytes granted
	// that have not arrived.
	Transfers, Outstanding int
}

// Scheduler grants the use of one link. It is not safe for concurrent use.
type Scheduler struct {
	// linkRate is the capacity of the link and rate what bodies may use of it, in bytes per second. Both are zero if the
	// capacity is unknown; then only the bytes in flight are limited.
	linkRate, rate float64
	// window limits the outstanding bytes of all transfers, bodyWindow those of one. One sender that is slow to use its
	// grants cannot occupy the whole window of a fast link.
	window, bodyWindow int
	// transfers are in the order in which they are granted.
	transfers   []*Transfer
	outstanding int
	// arrivedGrant is the time of the latest grant that has arrived.
	arrivedGrant time.Time
	// arrivedAt is when something last arrived, or when bytes were granted while none were outstanding.
	arrivedAt time.Time
	// credit is the number of bytes that the rate allows to grant at creditAt.
	credit   float64
	creditAt time.Time
	// speed is the measured rate of bodies as a part of rate, at most 1: other traffic may use more of the link than what
	// BodyShare leaves to it.
	speed float64
	// limitedSince is the start of the current measurement, zero if the link does not limit the grants. limitedArrived is
	// the number of bytes that have arrived since then, and measuredAt the end of the last measurement.
	limitedSince, measuredAt time.Time
	limitedArrived           int
	lastSequence             uint64
	stats                    Stats
}

// New returns a Scheduler of a link with the given capacity in bytes per second, zero if it is not known.
func New(linkRate float64) *Scheduler {
	s := &Scheduler{
		linkRate: linkRate, rate: BodyShare * linkRate, bodyWindow: unpacedWindow, speed: 1,
		stats: Stats{Refused: map[Reason]uint64{}},
	}
	if linkRate > 0 {
		s.window = max(Piece, int(linkRate*window.Seconds()))
		s.bodyWindow = min(s.window, max(2*Piece, s.window/2))
		s.credit = float64(s.window)
	}
	return s
}

// Offer accepts a body, or returns why it must not be sent. A refused transfer is not part of the Scheduler. Call Advance
// afterwards.
func (s *Scheduler) Offer(now time.Time, t *Transfer) *Refusal {
	if len(s.transfers) >= maxTransfers {
		return s.refuse(ReasonFull, s.Delay())
	}
	s.lastSequence++
	t.sequence = s.lastSequence
	i, _ := slices.BinarySearchFunc(s.transfers, t, order)
	late := s.lateness(now, t, i)
	if late == 0 {
		late = s.excess(now, t, i)
	}
	if late > 0 {
		return s.refuse(ReasonBusy, late)
	}
	s.transfers = slices.Insert(s.transfers, i, t)
	s.demoteLate(now)
	return nil
}

// excess returns by how much the bodies that are offered exceed what a transfer, granted as the i-th, may wait for if it
// misses its objective: lateShare of the time that it has. The rest is for those to come that can still meet theirs.
func (s *Scheduler) excess(now time.Time, t *Transfer, i int) time.Duration {
	if t.Objective.IsZero() || t.Deadline.IsZero() {
		return 0
	}
	ahead, all := t.Size, t.Size
	for j, other := range s.transfers {
		if j < i {
			ahead += other.missing()
		}
		all += other.missing()
	}
	if !now.Add(s.duration(ahead) + t.After).After(t.Objective) {
		return 0
	}
	allowed := time.Duration(lateShare * float64(t.Deadline.Sub(now)-t.After))
	return max(0, s.duration(all)-max(allowed, 0))
}

// demoteLate marks transfers as late until all others can meet their objectives one after another. If some cannot, the
// largest of those up to the first that would be late gives way, which leaves the most that are in time (Moore and
// Hodgson). In order of objectives alone, all of them would arrive just after their objectives while a link has more
// bodies than it can carry. A transfer that has been granted bytes is not marked, because it would occupy the window, nor
// is one that would miss its deadline as the last.
func (s *Scheduler) demoteLate(now time.Time) {
	if s.rate <= 0 {
		return
	}
	ahead, all := 0, 0
	for _, t := range s.transfers {
		all += t.missing()
	}
	last := now.Add(s.duration(all))
	var inTime []*Transfer
	demoted := false
	for i, t := range s.transfers {
		if i > 0 && !t.sameRank(s.transfers[i-1]) {
			inTime = inTime[:0]
		}
		ahead += t.missing()
		if t.late || t.Objective.IsZero() {
			continue
		}
		if t.granted == 0 && t.lateBy(last) == 0 {
			inTime = append(inTime, t)
		}
		if !now.Add(s.duration(ahead)+t.After).After(t.Objective) || len(inTime) == 0 {
			continue
		}
		largest := slices.MaxFunc(inTime, func(a, b *Transfer) int { return cmp.Compare(a.Size, b.Size) })
		largest.late, demoted = true, true
		ahead -= largest.missing()
		inTime = slices.DeleteFunc(inTime, func(t *Transfer) bool { return t == largest })
	}
	if demoted {
		slices.SortStableFunc(s.transfers, order)
	}
}

func (s *Scheduler) refuse(reason Reason, retryAfter time.Duration) *Refusal {
	s.stats.Refused[reason]++
	return &Refusal{Reason: reason, RetryAfter: max(retryAfter, minRetryAfter)}
}

// lateness returns by how much a transfer, granted as the i-th, would miss its deadline, or would make another one of the
// same rank miss its own that meets it without it. Transfers of a lower rank give way.
func (s *Scheduler) lateness(now time.Time, t *Transfer, i int) time.Duration {
	ahead := 0
	for _, other := range s.transfers[:i] {
		ahead += other.missing()
	}
	ahead += t.Size
	late := t.lateBy(now.Add(s.duration(ahead)))
	for _, other := range s.transfers[i:] {
		ahead += other.missing()
		if !t.sameRank(other) {
			break
		}
		if other.lateBy(now.Add(s.duration(ahead-t.Size))) <= 0 {
			late = max(late, other.lateBy(now.Add(s.duration(ahead))))
		}
	}
	return late
}

// duration returns how long bodies with n bytes in all take at the measured rate of bodies.
func (s *Scheduler) duration(n int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / (s.rate * s.speed) * float64(time.Second))
}

// measureSpeed measures the speed while the link limits the grants without interruption.
func (s *Scheduler) measureSpeed(now time.Time, limited bool) {
	if now.Sub(s.measuredAt) > speedMemory {
		s.speed = 1
	}
	if !limited || s.rate <= 0 {
		s.limitedSince = time.Time{}
		return
	}
	if s.limitedSince.IsZero() {
		s.limitedSince, s.limitedArrived = now, 0
		return
	}
	elapsed := now.Sub(s.limitedSince)
	if elapsed < speedPeriod {
		return
	}
	measured := float64(s.limitedArrived) / elapsed.Seconds() / s.rate
	s.speed += speedSmoothing * (min(max(measured, minSpeed), 1) - s.speed)
	s.limitedSince, s.limitedArrived, s.measuredAt = now, 0, now
}

// Arrived records that the next n bytes of a body have arrived. It returns true once the body is complete; the transfer is
// then no longer part of the Scheduler. It returns ErrNotGranted if n exceeds the grant. Call Advance afterwards.
func (s *Scheduler) Arrived(now time.Time, t *Transfer, n int) (complete bool, err error) {
	if n > t.outstanding() {
		return false, errors.Wrapf(ErrNotGranted, "%d bytes, granted %d", n, t.outstanding())
	}
	t.arrived += n
	t.progressed, s.arrivedAt = now, now
	for len(t.grants) > 0 && t.grants[0].end <= t.arrived {
		if at := t.grants[0].at; at.After(s.arrivedGrant) {
			s.arrivedGrant = at
		}
		t.grants = t.grants[1:]
	}
	s.outstanding -= n
	s.stats.Arrived += uint64(n)
	s.limitedArrived += n
	if t.missing() > 0 {
		return false, nil
	}
	s.Remove(t)
	return true, nil
}

// Remove ends a transfer whose request was cancelled or whose connection was lost. Call Advance afterwards.
func (s *Scheduler) Remove(t *Transfer) {
	i := slices.Index(s.transfers, t)
	if i < 0 {
		return
	}
	s.transfers = slices.Delete(s.transfers, i, i+1)
	s.outstanding -= t.outstanding()
}

// Advance returns the grants that can be given now and the transfers that have ended. Call it after each change and at
// Next.
func (s *Scheduler) Advance(now time.Time) []Decision {
	decisions := s.endLate(now)
	s.addCredit(now)
	first := len(decisions)
	for {
		t, n := s.nextGrant()
		if t == nil || !s.allows(n) {
			s.measureSpeed(now, t != nil)
			return decisions
		}
		if t.outstanding() == 0 {
			t.progressed = now
		}
		if s.outstanding == 0 {
			s.arrivedAt = now
		}
		t.granted += n
		t.grants = append(t.grants, grant{t.granted, now})
		s.outstanding += n
		s.credit -= float64(n)
		s.stats.Granted += uint64(n)
		if last := len(decisions) - 1; last >= first && decisions[last].Transfer == t {
			decisions[last].Granted = t.granted
			continue
		}
		decisions = append(decisions, Decision{Transfer: t, Granted: t.granted})
	}
}

// endLate removes the transfers that have stalled, or that can no longer arrive before their deadlines even if bodies use
// the whole link.
func (s *Scheduler) endLate(now time.Time) (decisions []Decision) {
	ahead := 0
	s.transfers = slices.DeleteFunc(s.transfers, func(t *Transfer) bool {
		var refusal *Refusal
		switch {
		case t.outstanding() > 0 && now.Sub(t.progressed) >= progressTimeout:
			refusal = s.refuse(ReasonStalled, 0)
		case !t.Deadline.IsZero() && !now.Add(s.shortest(ahead+t.missing())).Before(t.Deadline):
			refusal = s.refuse(ReasonBusy, s.duration(ahead))
		default:
			ahead += t.missing()
			return false
		}
		s.outstanding -= t.outstanding()
		decisions = append(decisions, Decision{Transfer: t, Refused: refusal})
		return true
	})
	return decisions
}

// shortest returns the time in which the link carries n bytes if bodies use all of it.
func (s *Scheduler) shortest(n int) time.Duration {
	if s.linkRate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / (s.linkRate * s.speed) * float64(time.Second))
}

func (s *Scheduler) addCredit(now time.Time) {
	if !s.creditAt.IsZero() {
		s.credit += s.rate * now.Sub(s.creditAt).Seconds()
	}
	s.creditAt = now
	s.credit = min(s.credit, float64(s.window))
}

// nextGrant returns the transfer that is granted next and the number of bytes, or nil if none can use a grant.
func (s *Scheduler) nextGrant() (*Transfer, int) {
	for _, t := range s.transfers {
		n := min(Piece, t.Size-t.granted)
		if n > 0 && t.outstanding()+n <= s.bodyWindow {
			return t, n
		}
	}
	return nil, 0
}

// allows reports whether n more bytes may be granted now.
func (s *Scheduler) allows(n int) bool {
	return s.rate <= 0 || s.fits(n) && s.credit >= float64(n)
}

// fits reports whether the window has room for n more bytes at the time of the last call of Advance. Bytes that senders
// hold back count only beyond a window of their own: they are not on the link. The link carries bytes in order, so what was
// granted well before something that has arrived would have arrived too if its sender had sent it; and if nothing has
// arrived for a while, nothing is on the link.
func (s *Scheduler) fits(n int) bool {
	if s.outstanding+n <= s.window {
		return true
	}
	before := s.arrivedGrant.Add(-heldBackAfter)
	if s.creditAt.Sub(s.arrivedAt) >= quietAfter {
		before = s.arrivedAt.Add(quietAfter)
	}
	held := 0
	for _, t := range s.transfers {
		held += t.heldBack(before)
	}
	return s.outstanding-min(held, s.window)+n <= s.window
}

// Next returns how long after now Advance has to be called if nothing else happens, and false if it need not be called.
func (s *Scheduler) Next(now time.Time) (time.Duration, bool) {
	var next time.Time
	earliest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if t, n := s.nextGrant(); t != nil && s.rate > 0 {
		missing := max(0, float64(n)-s.credit)
		enough := s.creditAt.Add(time.Duration(missing/s.rate*float64(time.Second)) + time.Microsecond)
		quiet := s.arrivedAt.Add(quietAfter)
		switch {
		case s.fits(n):
			earliest(enough)
		case s.creditAt.Before(quiet):
			earliest(quiet)
		}
	}
	for _, t := range s.transfers {
		if t.outstanding() > 0 {
			earliest(t.progressed.Add(progressTimeout))
		}
		if !t.Deadline.IsZero() {
			earliest(t.Deadline)
		}
	}
	return max(0, next.Sub(now)), !next.IsZero()
}

// Delay returns how long it would take until one more body of 64 KB has arrived that is granted after all others. It is
// zero if the capacity of the link is not known.
func (s *Scheduler) Delay() time.Duration {
	n := delayBody
	for _, t := range s.transfers {
		n += t.missing()
	}
	return s.duration(n)
}

// Stats returns the counts so far.
func (s *Scheduler) Stats() Stats {
	stats := s.stats
	stats.Refused = make(map[Reason]uint64, len(s.stats.Refused))
	for reason, n := range s.stats.Refused {
		stats.Refused[reason] = n
	}
	stats.Transfers, stats.Outstanding = len(s.transfers), s.outstanding
	return stats
}

// Package sequoiaadmission implements admission control: it decides which requests an upstream processes, which ones
// are queued and which are rejected. It does no I/O.
//
// All requests for an upstream pass through the process on its instance, so that the queue knows exactly how many are
// running. The order is by priority and then by objective, so that short ones do not wait behind long ones that have time
// left; those that miss their objective are ordered as if it were some of their durations later. Under overload, a request that would be
// late is rejected at once, while another upstream can still serve it in time, unless few others of its priority wait.
// Queued requests that will miss their objective are evicted in favor of those that can meet it.
package sequoiaadmission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Reasons for a rejection.
const (
	// ReasonBusy means that the request would miss its objective because of the requests ahead of it.
	ReasonBusy = "Busy"
	// ReasonDeadline means that the time left before the deadline is less than half of the expected duration.
	ReasonDeadline = "Deadline"
	// ReasonFull means that the queue has reached its maximum length.
	ReasonFull = "Full"
	// ReasonLeaving means that the upstream is leaving and gets no more requests.
	ReasonLeaving = "Leaving"
	// ReasonStopping means that the request might not end before the process does.
	ReasonStopping = "Stopping"
)

const (
	// meanSmoothing is the weight of a new sample in the moving average of durations.
	meanSmoothing = 0.1
	// initialDurationShare is the expected duration of a request as a fraction of the time to its objective, until a
	// request of its class has ended.
	initialDurationShare = 0.35
	// maxWaitingPerSlot is the maximum length of the queue for each slot.
	maxWaitingPerSlot = 8
	// lateQueueLimitPerSlot is the number of queued requests that go before it, for each slot, below which a request that is
	// expected to miss its objective is still queued. Late requests use slots that become free between bursts. With a
	// limit of 6, upstreams spent much of their time on late responses while others were free.
	lateQueueLimitPerSlot = 0.7
	// keyedLateQueueLimitPerSlot is the same for requests that no other upstream can serve.
	keyedLateQueueLimitPerSlot = 2
	// lateDelay is the number of expected durations by which a request that misses its objective is ordered later. A
	// short one goes before long ones that have time left, and costs them little.
	lateDelay = 4
	// evictionThresholdPerSlot is the number of queued requests that can meet their objective and go before a late one,
	// for each slot, from which the late one is evicted.
	evictionThresholdPerSlot = 0.3
	// shareTime is the time constant of the share of a class's requests that are started.
	shareTime = 6 * time.Second
	// minShareSample is the number of recent requests from which the share of a class is judged.
	minShareSample = 10
	// starvedShare is the part of the mean share over all classes below which a request of a class goes first. No class
	// may be served for less than a quarter of the mean.
	starvedShare = 0.4
	// retryJitter is the part of a Retry-After time that is added to it at most. Clients that are rejected together must
	// not return together.
	retryJitter = 0.5
	// minRetryAfter is the shortest time after which a rejected client is asked to retry. A slot becomes free about
	// every 40 ms.
	minRetryAfter = 40 * time.Millisecond
	// StoppingRetryAfter is the Retry-After time of a process that is stopping. Its clients need about a second to switch
	// to another one.
	StoppingRetryAfter = 300 * time.Millisecond
)

// Ticket represents one request in the queue.
type Ticket struct {
	// Class groups requests that take about the same time.
	Class string
	// Priority ranks the request; a lower number goes first.
	Priority int
	// Alone is true if the request must not run at the same time as another one with Alone.
	Alone bool
	// Keyed is true if no other upstream can serve the request.
	Keyed bool
	// Arrived is the time of arrival. A response loses part of its value after Objective and all of it after Deadline.
	Arrived, Objective, Deadline time.Time
	// OnDecision is called once: with an empty reason when the request may run, or with the reason for its rejection.
	OnDecision func(reason string, retryAfter time.Duration)

	started time.Time
	// late is true if the request will probably miss its objective, rank is its priority or starvedRank, and due is its
	// place among requests of its rank, all as of the last call of assess.
	late bool
	rank int
	due  time.Time
}

// starvedRank is the rank of the requests of a class that has been served too little, while none of them runs. It is higher
// than all priorities.
const starvedRank = -1

// class holds what is known about the requests of a class.
type class struct {
	// mean and deviation are moving averages of the duration and of its difference from the mean. mean is zero if no
	// request of the class has ended.
	mean, deviation time.Duration
	// submitted and started are the numbers of requests, which decay with shareTime. They are valid at updated.
	submitted, started float64
	updated            time.Time
	// running is the number of running requests.
	running int
	starved bool
}

// ended records the duration of a request.
func (c *class) ended(duration time.Duration) {
	if c.mean > 0 {
		c.deviation += time.Duration(meanSmoothing * float64((duration-c.mean).Abs()-c.deviation))
	}
	c.mean = updateMean(c.mean, duration)
}

// decay updates the numbers of requests.
func (c *class) decay(now time.Time) {
	if elapsed := now.Sub(c.updated); elapsed > 0 {
		f := math.Exp(-elapsed.Seconds() / shareTime.Seconds())
		c.submitted, c.started, c.updated = c.submitted*f, c.started*f, now
	}
}

// Queue holds the running and waiting requests of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running map[*Ticket]struct{}
	// alone is the number of running requests with Alone.
	alone   int
	waiting []*Ticket
	classes map[string]*class
	mean    time.Duration
	pace    pace
	// random returns a random number from 0 to 1.
	random func() float64
	// latestDeadline is the latest deadline of requests that may start, zero if there is none.
	latestDeadline time.Time
	// lastStart is when the last request may start, zero if there is no such time.
	lastStart time.Time
}

// New returns a queue for an upstream that processes up to slots requests concurrently.
func New(slots int, options ...Option) *Queue {
	q := &Queue{slots: max(1, slots), running: map[*Ticket]struct{}{}, classes: map[string]*class{}, random: rand.Float64}
	for _, o := range options {
		o(q)
	}
	return q
}

// Option configures a Queue.
type Option func(q *Queue)

// WithRandom replaces the source of random numbers from 0 to 1.
func WithRandom(random func() float64) Option {
	return func(q *Queue) { q.random = random }
}

// SetSlots changes the maximum number of concurrent requests.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// SetLimit changes the number of requests per second that may start, and starts or rejects queued requests accordingly.
func (q *Queue) SetLimit(now time.Time, perSecond float64) {
	q.SetLimitFrom(now, perSecond, time.Time{})
}

// SetLimitFrom is SetLimit for a limit that begins at a time, without a burst: no request starts before. A call with the
// time of an earlier call does not begin the limit again.
func (q *Queue) SetLimitFrom(now time.Time, perSecond float64, from time.Time) {
	q.pace.set(now, max(perSecond, minRate), from)
	q.Advance(now)
}

// RemoveLimit removes the limit on requests per second.
func (q *Queue) RemoveLimit(now time.Time) {
	q.pace = pace{}
	q.Advance(now)
}

// SetLatestDeadline rejects the queued requests that have later deadlines, and all such requests from now on. Running ones
// are not affected. It is for a process that stops: what it starts must end before it does.
func (q *Queue) SetLatestDeadline(deadline time.Time) {
	q.latestDeadline = deadline
	q.waiting = slices.DeleteFunc(q.waiting, q.rejectPastDeadline)
}

// SetLastStart sets the time after which no request starts, because the upstream is leaving. Queued requests that will
// probably not start before are rejected at once, while another upstream can still serve them. Call Advance at that time.
func (q *Queue) SetLastStart(now, last time.Time) {
	q.lastStart = last
	late := map[*Ticket]bool{}
	for _, t := range q.waiting {
		late[t] = now.Add(q.expectedWait(now, t)).After(last)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		if late[t] {
			t.OnDecision(ReasonLeaving, minRetryAfter)
		}
		return late[t]
	})
	q.Advance(now)
}

// RemoveLastStart lets requests start again, at another upstream.
func (q *Queue) RemoveLastStart() { q.lastStart = time.Time{} }

// closed reports whether no request may start any more.
func (q *Queue) closed(now time.Time) bool { return !q.lastStart.IsZero() && now.After(q.lastStart) }

// rejectPastDeadline rejects a request whose deadline is later than the latest one. It reports whether it did so.
func (q *Queue) rejectPastDeadline(t *Ticket) bool {
	past := !q.latestDeadline.IsZero() && t.Deadline.After(q.latestDeadline)
	if past {
		t.OnDecision(ReasonStopping, StoppingRetryAfter)
	}
	return past
}

// Advance starts the queued requests that may run now, or rejects them if none may start any more, and rejects those whose
// deadline can no longer be met. Call it at NextEvent.
func (q *Queue) Advance(now time.Time) {
	q.startWaiting(now)
	q.rejectExpired(now)
}

// NextStart returns the time until the next queued request may start because of the limit on requests per second. It
// returns false if no request waits for that.
func (q *Queue) NextStart(now time.Time) (time.Duration, bool) {
	if !q.pace.limited() || len(q.running) >= q.slots || !slices.ContainsFunc(q.waiting, q.mayRun) {
		return 0, false
	}
	return q.pace.delay(now, 1), true
}

// NextEvent returns the time until the next queued request may start because of the limit on requests per second, or can
// no longer meet its deadline. It returns false if no request waits.
func (q *Queue) NextEvent(now time.Time) (next time.Duration, ok bool) {
	next, ok = q.NextStart(now)
	for _, t := range q.waiting {
		if d := max(0, q.latestStart(t).Sub(now)); !ok || d < next {
			next, ok = d, true
		}
	}
	return next, ok
}

// latestStart returns the last time at which it makes sense to start the request: after that, it would probably be
// interrupted at its deadline.
func (q *Queue) latestStart(t *Ticket) time.Time { return t.Deadline.Add(-q.ExpectedDuration(t) / 2) }

// rejectExpired rejects the queued requests that can no longer meet their deadline. Their callers are told before the
// deadline that the request has not run, and may send it again.
func (q *Queue) rejectExpired(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		expired := now.After(q.latestStart(t))
		if expired {
			t.OnDecision(ReasonDeadline, 0)
		}
		return expired
	})
}

// StartDelay returns how long one more request would wait because of the limit on requests per second.
func (q *Queue) StartDelay(now time.Time) time.Duration { return q.pace.delay(now, len(q.waiting)+1) }

// Capacity returns the number of requests per second that the upstream can process, or zero if it is not known.
func (q *Queue) Capacity() float64 {
	capacity := 0.0
	if q.mean > 0 {
		capacity = float64(q.slots) / q.mean.Seconds()
	}
	if q.pace.limited() && (capacity == 0 || q.pace.perSecond < capacity) {
		capacity = q.pace.perSecond
	}
	return capacity
}

// Cost returns the part of the upstream's capacity that a request of the given duration uses, as the time for which it
// would occupy a slot of an upstream without a limit on requests per second.
func (q *Queue) Cost(duration time.Duration) time.Duration {
	if !q.pace.limited() {
		return duration
	}
	return max(duration, time.Duration(float64(q.slots)/q.pace.perSecond*float64(time.Second)))
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the maximum number of concurrent requests.
func (q *Queue) Slots() int { return q.slots }

// MeanDuration returns the moving average of request durations at the upstream, or zero if none has ended.
func (q *Queue) MeanDuration() time.Duration { return q.mean }

// ExpectedDuration returns the expected duration of the request at the upstream.
func (q *Queue) ExpectedDuration(t *Ticket) time.Duration {
	if c := q.classes[t.Class]; c != nil && c.mean > 0 {
		return c.mean
	}
	return time.Duration(float64(t.Objective.Sub(t.Arrived)) * initialDurationShare)
}

// likelyDuration returns a duration that most requests of the class do not exceed: the expected one and the mean
// deviation. Requests that start when only the expected duration is left are late half of the time.
func (q *Queue) likelyDuration(t *Ticket) time.Duration {
	d := q.ExpectedDuration(t)
	if c := q.classes[t.Class]; c != nil {
		d += c.deviation
	}
	return d
}

// ExpectedEnd returns how long a request that is submitted now is expected to wait and run.
func (q *Queue) ExpectedEnd(now time.Time, t *Ticket) time.Duration {
	return q.expectedWait(now, t) + q.ExpectedDuration(t)
}

// Submit starts, queues or rejects the request.
func (q *Queue) Submit(now time.Time, t *Ticket) {
	if q.rejectPastDeadline(t) {
		return
	}
	if q.closed(now) {
		t.OnDecision(ReasonLeaving, minRetryAfter)
		return
	}
	if now.After(q.latestStart(t)) {
		t.OnDecision(ReasonDeadline, 0)
		return
	}
	q.countSubmitted(now, t)
	if q.canStart(now) && q.mayRun(t) && !slices.ContainsFunc(q.waiting, q.mayRun) {
		q.start(now, t)
		return
	}
	wait := q.expectedWait(now, t)
	end := now.Add(wait + q.likelyDuration(t))
	if q.limitBinds() {
		end = end.Add(paceMargin)
	}
	if end.After(t.Objective) && !q.mayQueueLate(end, t) {
		q.reject(t, ReasonBusy, max(wait, minRetryAfter))
		return
	}
	if len(q.waiting) >= maxWaitingPerSlot*q.slots && !q.displaceLast(now, t) {
		q.reject(t, ReasonFull, q.retryAfter(now))
		return
	}
	q.waiting = append(q.waiting, t)
	if q.pace.limited() {
		q.startWaiting(now)
	}
}

// limitBinds reports whether the limit on requests per second is lower than what the slots can process.
func (q *Queue) limitBinds() bool { return q.pace.limited() && q.Capacity() == q.pace.perSecond }

// canStart reports whether a slot is free and the limit on requests per second allows a request to start.
func (q *Queue) canStart(now time.Time) bool {
	return len(q.running) < q.slots && q.pace.delay(now, 1) == 0
}

// mayRun reports whether the requests that are running allow a queued request to run beside them.
func (q *Queue) mayRun(t *Ticket) bool { return !t.Alone || q.alone == 0 }

// mayQueueLate reports whether a request may be queued that would end at the given time, after its objective. This is
// allowed while few requests that go before it wait, so that late requests can use slots that become free between
// bursts. If the limit on requests per second binds, free slots are of no use.
func (q *Queue) mayQueueLate(end time.Time, t *Ticket) bool {
	if q.limitBinds() || end.After(t.Deadline) {
		return false
	}
	limit := lateQueueLimitPerSlot
	if t.Keyed {
		limit = keyedLateQueueLimitPerSlot
	}
	ahead := 0
	for _, other := range q.waiting {
		if before(other, t) {
			ahead++
		}
	}
	return float64(ahead) < limit*float64(q.slots)
}

// displaceLast rejects the last request of a full queue if t goes before it. It reports whether it did so.
func (q *Queue) displaceLast(now time.Time, t *Ticket) bool {
	last := 0
	for i, other := range q.waiting {
		if before(q.waiting[last], other) {
			last = i
		}
	}
	other := q.waiting[last]
	if !before(t, other) {
		return false
	}
	q.waiting = slices.Delete(q.waiting, last, last+1)
	q.reject(other, ReasonFull, q.retryAfter(now))
	return true
}

// reject rejects a request because of the others, with some jitter in the Retry-After time.
func (q *Queue) reject(t *Ticket, reason string, retryAfter time.Duration) {
	t.OnDecision(reason, retryAfter+time.Duration(retryJitter*q.random()*float64(retryAfter)))
}

// assess updates late, rank and due of the queued requests and of others. It must be called before requests are compared.
func (q *Queue) assess(now time.Time, others ...*Ticket) {
	q.findStarved(now)
	for _, tickets := range [][]*Ticket{q.waiting, others} {
		for _, t := range tickets {
			t.late = q.missesObjective(now, t)
			t.rank, t.due = t.Priority, t.Objective
			if t.late {
				t.due = t.due.Add(lateDelay * q.ExpectedDuration(t))
			}
			if c := q.classes[t.Class]; c != nil && c.starved && c.running == 0 {
				t.rank = starvedRank
			}
		}
	}
}

// findStarved finds the classes of which a much smaller share is started than of the others. There are none while the limit
// on requests per second binds: requests that have been told to wait for it would be displaced.
func (q *Queue) findStarved(now time.Time) {
	sum, n := 0.0, 0
	limited := q.limitBinds()
	for _, c := range q.classes {
		c.decay(now)
		if c.submitted >= minShareSample {
			sum += c.started / c.submitted
			n++
		}
	}
	for _, c := range q.classes {
		c.starved = !limited && c.submitted >= minShareSample && c.started/c.submitted < starvedShare*sum/float64(n)
	}
}

// countSubmitted counts a request for the share of its class.
func (q *Queue) countSubmitted(now time.Time, t *Ticket) {
	c := q.classes[t.Class]
	if c == nil {
		c = &class{updated: now}
		q.classes[t.Class] = c
	}
	c.decay(now)
	c.submitted++
}

// before reports whether queued request a starts before b. A late request of a higher priority goes before all of a lower
// one.
func before(a, b *Ticket) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.due.Before(b.due)
}

func (q *Queue) missesObjective(now time.Time, t *Ticket) bool {
	return now.Add(q.likelyDuration(t)).After(t.Objective)
}

// expectedWait returns the expected time until the request would start.
func (q *Queue) expectedWait(now time.Time, t *Ticket) time.Duration {
	q.assess(now, t)
	// alone is the wait for the requests that must not run beside this one.
	var ahead, alone time.Duration
	for r := range q.running {
		remaining := max(q.ExpectedDuration(r)-now.Sub(r.started), q.ExpectedDuration(r)/4)
		ahead += remaining
		if t.Alone && r.Alone {
			alone += remaining
		}
	}
	first := 1
	for _, other := range q.waiting {
		if before(other, t) {
			ahead += q.ExpectedDuration(other)
			first++
			if t.Alone && other.Alone {
				alone += q.ExpectedDuration(other)
			}
		}
	}
	if len(q.running) < q.slots {
		ahead = 0
	}
	return max(0, ahead/time.Duration(q.slots), alone, q.pace.delay(now, first))
}

func (q *Queue) retryAfter(now time.Time) time.Duration {
	return max(minRetryAfter, q.mean/time.Duration(q.slots)*time.Duration(len(q.waiting)), q.StartDelay(now))
}

func (q *Queue) start(now time.Time, t *Ticket) {
	t.started = now
	q.pace.take()
	c := q.classes[t.Class]
	c.decay(now)
	c.started++
	c.running++
	q.running[t] = struct{}{}
	if t.Alone {
		q.alone++
	}
	t.OnDecision("", 0)
}

// SetAlone sets Alone of a request that has been submitted. Others that are running already run on.
func (q *Queue) SetAlone(t *Ticket) {
	if _, running := q.running[t]; running && !t.Alone {
		q.alone++
	}
	t.Alone = true
}

// Remove removes a queued request whose client has disconnected. It reports whether the request was queued.
func (q *Queue) Remove(t *Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Done records the end of a running request, starts queued requests and returns how long the request ran. counted is
// true if the upstream processed the request to its end; only then does its duration count for the expected durations.
func (q *Queue) Done(now time.Time, t *Ticket, counted bool) time.Duration {
	if _, ok := q.running[t]; !ok {
		return 0
	}
	delete(q.running, t)
	if t.Alone {
		q.alone--
	}
	duration := now.Sub(t.started)
	c := q.classes[t.Class]
	c.running--
	if counted {
		c.ended(duration)
		q.mean = updateMean(q.mean, duration)
	}
	q.startWaiting(now)
	return duration
}

func updateMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(meanSmoothing*float64(sample-mean))
}

// startWaiting starts queued requests while slots are free and rejects those that would miss their deadline.
func (q *Queue) startWaiting(now time.Time) {
	if q.closed(now) {
		for _, t := range q.waiting {
			t.OnDecision(ReasonLeaving, minRetryAfter)
		}
		q.waiting = nil
		return
	}
	if len(q.waiting) == 0 {
		return
	}
	for q.canStart(now) {
		q.assess(now)
		best := -1
		for i, t := range q.waiting {
			if q.mayRun(t) && (best < 0 || before(t, q.waiting[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		t := q.waiting[best]
		q.waiting = slices.Delete(q.waiting, best, best+1)
		if now.After(q.latestStart(t)) {
			t.OnDecision(ReasonDeadline, 0)
			continue
		}
		q.start(now, t)
	}
	q.assess(now)
	if q.limitBinds() {
		q.evictUnservable(now)
		return
	}
	q.evictLate(now)
}

// evictUnservable rejects the queued requests that will miss their objective in the order and at the rate in which
// requests start. The one that is next may be late.
func (q *Queue) evictUnservable(now time.Time) {
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		switch {
		case before(a, b):
			return -1
		case before(b, a):
			return 1
		}
		return 0
	})
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		wait := q.pace.delay(now, len(kept)+1)
		end := now.Add(wait + q.ExpectedDuration(t))
		if end.After(t.Deadline) || end.After(t.Objective) && len(kept) > 0 {
			q.reject(t, ReasonBusy, max(wait, minRetryAfter))
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// evictLate rejects the queued requests that will miss their objective if enough others that can meet theirs go before
// them: the late ones would wait without a chance of being served on time.
func (q *Queue) evictLate(now time.Time) {
	onTime := make([]*Ticket, 0, len(q.waiting))
	for _, t := range q.waiting {
		if !t.late {
			onTime = append(onTime, t)
		}
	}
	threshold := evictionThresholdPerSlot * float64(q.slots)
	if float64(len(onTime)) < threshold {
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		if !t.late {
			return false
		}
		ahead := 0
		for _, other := range onTime {
			if before(other, t) {
				ahead++
			}
		}
		if float64(ahead) < threshold {
			return false
		}
		q.reject(t, ReasonBusy, q.retryAfter(now))
		return true
	})
}

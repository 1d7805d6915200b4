// Package sequoiaadmission decides which requests an upstream works on, which wait for it and which are rejected. It
// does no input or output.
//
// All requests for an upstream pass through the process beside it, so that the queue knows exactly how many are
// running. Requests that can meet their objective go first, by priority and then by objective, so that short ones do not
// wait behind long ones that have time. It answers overload: a request that cannot end before its deadline is rejected
// at once, when its client can still try again, and one that has become late makes room for those that can be in time.
package sequoiaadmission

import (
	"slices"
	"time"
)

// Reasons of a rejection.
const (
	// ReasonBusy means that the requests ahead would make the request late.
	ReasonBusy = "Busy"
	// ReasonDeadline means that too little time is left for the work.
	ReasonDeadline = "Deadline"
	// ReasonFull means that the queue is at its limit.
	ReasonFull = "Full"
)

const (
	// smoothing is the weight of a new measurement in a mean duration.
	smoothing = 0.1
	// initialShare is the part of the objective that a request is expected to take before any has ended.
	initialShare = 0.35
	// maxWaiting bounds the queue, per slot.
	maxWaiting = 8
	// lateShare is the length of the queue, per slot, up to which a request may wait that will be late: it uses slots that
	// become free between bursts.
	lateShare = 6
	// evictShare is the number of requests, per slot, that wait and can be in time, from which late ones are rejected.
	evictShare = 1.5
	// minRetryAfter is the shortest time after which a rejected client is asked to come back, 40 ms: a slot becomes
	// free at about this interval.
	minRetryAfter = 40 * time.Millisecond
)

// Ticket is one request in the queue.
type Ticket struct {
	// Class groups requests that take about the same time.
	Class    string
	Priority int
	// Arrived is when the request came, Objective when its response loses part of its value, Deadline when it loses all.
	Arrived, Objective, Deadline time.Time
	// Start is called once when the request may run, with an empty reason, or is rejected.
	Start func(reason string, retryAfter time.Duration)

	started time.Time
}

// Queue is the queue of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running map[*Ticket]struct{}
	waiting []*Ticket
	work    map[string]time.Duration
	mean    time.Duration
}

// New returns a queue for an upstream that works on the given number of requests at once.
func New(slots int) *Queue {
	return &Queue{slots: max(1, slots), running: map[*Ticket]struct{}{}, work: map[string]time.Duration{}}
}

// SetSlots changes the number of requests that run at once.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// Running returns the number of requests that run.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of requests that may run at once.
func (q *Queue) Slots() int { return q.slots }

// MeanWork returns the mean duration of all requests at the upstream, zero if none has ended.
func (q *Queue) MeanWork() time.Duration { return q.mean }

// Work returns the expected duration of a ticket's request at the upstream.
func (q *Queue) Work(t *Ticket) time.Duration {
	if w, ok := q.work[t.Class]; ok {
		return w
	}
	return time.Duration(float64(t.Objective.Sub(t.Arrived)) * initialShare)
}

// Enter starts the request, lets it wait or rejects it.
func (q *Queue) Enter(now time.Time, t *Ticket) {
	work := q.Work(t)
	if now.Add(work / 2).After(t.Deadline) {
		t.Start(ReasonDeadline, 0)
		return
	}
	if len(q.running) < q.slots {
		q.start(now, t)
		return
	}
	if len(q.waiting) >= maxWaiting*q.slots {
		t.Start(ReasonFull, q.retryAfter())
		return
	}
	wait := q.wait(now, t)
	if late := now.Add(wait + work).After(t.Objective); late && !q.mayBeLate(now.Add(wait+work), t) {
		t.Start(ReasonBusy, max(wait, minRetryAfter))
		return
	}
	q.waiting = append(q.waiting, t)
}

// mayBeLate reports whether a request that would end at the given time, after its objective, may wait all the same: a
// few may, to use slots that become free between bursts.
func (q *Queue) mayBeLate(end time.Time, t *Ticket) bool {
	return !end.After(t.Deadline) && len(q.waiting) < lateShare*q.slots
}

// before reports whether a waiting request goes before another: first those that can still meet their objective, then by
// priority, then by objective.
func (q *Queue) before(now time.Time, a, b *Ticket) bool {
	lateA, lateB := q.late(now, a), q.late(now, b)
	switch {
	case lateA != lateB:
		return lateB
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	}
	return a.Objective.Before(b.Objective)
}

func (q *Queue) late(now time.Time, t *Ticket) bool {
	return now.Add(q.Work(t)).After(t.Objective)
}

// wait returns the expected time until the request would start.
func (q *Queue) wait(now time.Time, t *Ticket) time.Duration {
	var ahead time.Duration
	for r := range q.running {
		ahead += max(q.Work(r)-now.Sub(r.started), q.Work(r)/4)
	}
	for _, w := range q.waiting {
		if q.before(now, w, t) {
			ahead += q.Work(w)
		}
	}
	return max(0, ahead/time.Duration(q.slots))
}

func (q *Queue) retryAfter() time.Duration {
	return max(minRetryAfter, q.mean/time.Duration(q.slots)*time.Duration(len(q.waiting)))
}

func (q *Queue) start(now time.Time, t *Ticket) {
	t.started = now
	q.running[t] = struct{}{}
	t.Start("", 0)
}

// Leave takes a waiting request out, because its client has gone. It reports whether it was waiting.
func (q *Queue) Leave(t *Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Done notes the end of a running request and starts others. counted is true if the upstream worked on it to the end,
// so that its duration says something of the next ones. Done returns how long the request ran.
func (q *Queue) Done(now time.Time, t *Ticket, counted bool) time.Duration {
	if _, ok := q.running[t]; !ok {
		return 0
	}
	delete(q.running, t)
	took := now.Sub(t.started)
	if counted {
		q.work[t.Class] = mix(q.work[t.Class], took)
		q.mean = mix(q.mean, took)
	}
	q.fill(now)
	return took
}

func mix(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}

// fill starts waiting requests while there are slots, and rejects those that would miss their deadline.
func (q *Queue) fill(now time.Time) {
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		best := 0
		for i, t := range q.waiting {
			if q.before(now, t, q.waiting[best]) {
				best = i
			}
		}
		t := q.waiting[best]
		q.waiting = slices.Delete(q.waiting, best, best+1)
		if now.Add(q.Work(t) / 2).After(t.Deadline) {
			t.Start(ReasonDeadline, 0)
			continue
		}
		q.start(now, t)
	}
	q.evict(now)
}

// evict rejects the late requests that wait while others that can meet their objective fill the queue: they would be
// held for nothing.
func (q *Queue) evict(now time.Time) {
	inTime := 0
	for _, t := range q.waiting {
		if !q.late(now, t) {
			inTime++
		}
	}
	if float64(inTime) < evictShare*float64(q.slots) {
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		if !q.late(now, t) {
			return false
		}
		t.Start(ReasonBusy, q.retryAfter())
		return true
	})
}

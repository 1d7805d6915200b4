package sequoiaadmission_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
)

// class is a kind of request in a simulated load.
type class struct {
	name                          string
	priority                      int
	perSecond                     float64
	duration, objective, deadline time.Duration
	value, lateValue              float64
}

// outcome counts the results of the requests of a class and the value of their responses to the callers.
type outcome struct {
	requests, onTime, late, rejected int
	value, maxValue                  float64
	// starts are the times at which requests started, and rejectedAfter how long the rejected ones had waited.
	starts        []time.Time
	rejectedAfter []time.Duration
}

func (o outcome) valueShare() float64 { return o.value / o.maxValue }

// event is a step of the simulation.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// rejectionPenalty is the fraction of a request's value that is subtracted when it is rejected without a further retry.
const rejectionPenalty = 0.3

// simulate sends a load to a queue for d and returns the outcome of each class. A rejected caller retries once, after
// the requested delay but at most a third of its remaining time. Durations vary by up to half around their mean.
func simulate(q *sequoiaadmission.Queue, classes []class, d time.Duration, seed uint64) map[string]outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(0, 0)
	// clock is the time of the current event: a request may start long after it was submitted.
	clock := start
	var pending events
	results := map[string]outcome{}
	add := func(name string, f func(o *outcome)) {
		o := results[name]
		f(&o)
		results[name] = o
	}
	var submit func(c class, first time.Time, retry bool) func(now time.Time)
	submit = func(c class, first time.Time, retry bool) func(now time.Time) {
		return func(now time.Time) {
			t := &sequoiaadmission.Ticket{
				Class: c.name, Priority: c.priority, Arrived: now, Objective: now.Add(c.objective), Deadline: first.Add(c.deadline),
			}
			if t.Objective.After(t.Deadline) {
				t.Objective = t.Deadline
			}
			t.OnDecision = func(reason string, retryAfter time.Duration) {
				at := clock
				if reason != "" {
					add(c.name, func(o *outcome) { o.rejectedAfter = append(o.rejectedAfter, at.Sub(t.Arrived)) })
					left := t.Deadline.Sub(at)
					if !retry && left > 0 {
						heap.Push(&pending, event{at.Add(min(max(retryAfter, 10*time.Millisecond), left/3)), submit(c, first, true)})
						return
					}
					add(c.name, func(o *outcome) {
						o.rejected++
						o.value -= rejectionPenalty * c.value
					})
					return
				}
				add(c.name, func(o *outcome) { o.starts = append(o.starts, at) })
				duration := time.Duration(float64(c.duration) * (0.5 + random.Float64()))
				heap.Push(&pending, event{at.Add(duration), func(end time.Time) {
					add(c.name, func(o *outcome) {
						switch took := end.Sub(first); {
						case took <= c.objective:
							o.onTime++
							o.value += c.value
						case took <= c.deadline:
							o.late++
							o.value += c.lateValue
						}
					})
					clock = end
					q.Done(end, t, true)
				}})
			}
			clock = now
			q.Submit(now, t)
		}
	}
	for _, c := range classes {
		for at := start; at.Before(start.Add(d)); {
			at = at.Add(time.Duration(random.ExpFloat64() / c.perSecond * float64(time.Second)))
			heap.Push(&pending, event{at, func(now time.Time) {
				add(c.name, func(o *outcome) {
					o.requests++
					o.maxValue += c.value
				})
				submit(c, now, false)(now)
			}})
		}
	}
	advanceAt := time.Time{}
	for pending.Len() > 0 {
		e := heap.Pop(&pending).(event)
		e.run(e.at)
		if wait, ok := q.NextStart(e.at); ok && !e.at.Before(advanceAt) {
			advanceAt = e.at.Add(wait + time.Millisecond)
			heap.Push(&pending, event{advanceAt, func(now time.Time) {
				clock = now
				q.Advance(now)
			}})
		}
	}
	return results
}

// totalValueShare returns the value of all responses as a fraction of the maximum.
func totalValueShare(results map[string]outcome) float64 {
	value, maxValue := 0.0, 0.0
	for _, o := range results {
		value += o.value
		maxValue += o.maxValue
	}
	return value / maxValue
}

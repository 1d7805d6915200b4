package sequoiaadmission_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
)

// class is a kind of request in a played load.
type class struct {
	name                string
	priority            int
	perSecond           float64
	work, aim, deadline time.Duration
	worth, lateWorth    float64
}

// outcome is what the callers of a class got.
type outcome struct {
	asked, inTime, late, refused int
	value, owed                  float64
}

func (o outcome) share() float64 { return o.value / o.owed }

// event is something that happens in a played load.
type event struct {
	at time.Time
	do func(now time.Time)
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

// refusedAgain is the part of a request's worth that its caller loses besides, when it came back and is refused again.
const refusedAgain = 0.3

// play offers a load to a queue for d and returns what the callers of each class got. A caller that is refused comes back
// once, when it was told to, but within a third of its time. Work varies by half around its mean.
func play(q *sequoiaadmission.Queue, classes []class, d time.Duration, seed uint64) map[string]outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(0, 0)
	// clock is the time of the event that is being played: a ticket may start long after it has entered.
	clock := start
	var queue events
	results := map[string]outcome{}
	add := func(name string, f func(o *outcome)) {
		o := results[name]
		f(&o)
		results[name] = o
	}
	var enter func(c class, first time.Time, again bool) func(now time.Time)
	enter = func(c class, first time.Time, again bool) func(now time.Time) {
		return func(now time.Time) {
			t := &sequoiaadmission.Ticket{
				Class: c.name, Priority: c.priority, Arrived: now, Objective: now.Add(c.aim), Deadline: first.Add(c.deadline),
			}
			if t.Objective.After(t.Deadline) {
				t.Objective = t.Deadline
			}
			t.Start = func(reason string, retryAfter time.Duration) {
				at := clock
				if reason != "" {
					left := t.Deadline.Sub(at)
					if !again && left > 0 {
						heap.Push(&queue, event{at.Add(min(max(retryAfter, 10*time.Millisecond), left/3)), enter(c, first, true)})
						return
					}
					add(c.name, func(o *outcome) {
						o.refused++
						o.value -= refusedAgain * c.worth
					})
					return
				}
				work := time.Duration(float64(c.work) * (0.5 + random.Float64()))
				heap.Push(&queue, event{at.Add(work), func(end time.Time) {
					add(c.name, func(o *outcome) {
						switch took := end.Sub(first); {
						case took <= c.aim:
							o.inTime++
							o.value += c.worth
						case took <= c.deadline:
							o.late++
							o.value += c.lateWorth
						}
					})
					clock = end
					q.Done(end, t, true)
				}})
			}
			clock = now
			q.Enter(now, t)
		}
	}
	for _, c := range classes {
		for at := start; at.Before(start.Add(d)); {
			at = at.Add(time.Duration(random.ExpFloat64() / c.perSecond * float64(time.Second)))
			heap.Push(&queue, event{at, func(now time.Time) {
				add(c.name, func(o *outcome) {
					o.asked++
					o.owed += c.worth
				})
				enter(c, now, false)(now)
			}})
		}
	}
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(event)
		e.do(e.at)
	}
	return results
}

// total returns the value that all callers got over what they were owed.
func total(results map[string]outcome) float64 {
	value, owed := 0.0, 0.0
	for _, o := range results {
		value += o.value
		owed += o.owed
	}
	return value / owed
}

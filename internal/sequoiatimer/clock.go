// Package sequoiatimer is the timer service that components subscribe to. It has a system clock and, for tests, a
// manual clock that moves only when told to.
package sequoiatimer

import (
	"container/heap"
	"sync"
	"time"
)

// Clock is a source of time. Both functions must be set.
type Clock struct {
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
	// AfterFunc calls f once after d. The returned function prevents a call that has not started.
	AfterFunc func(d time.Duration, f func()) (stop func())
}

// SystemClock returns the clock of the operating system.
func SystemClock() Clock {
	return Clock{
		Now: time.Now,
		AfterFunc: func(d time.Duration, f func()) func() {
			t := time.AfterFunc(d, f)
			return func() { t.Stop() }
		},
	}
}

// ManualClock is a clock for tests. Its functions run in the goroutine that advances it.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	events eventHeap
	order  uint64
}

// NewManualClock returns a manual clock that shows start.
func NewManualClock(start time.Time) *ManualClock {
	return &ManualClock{now: start}
}

// Clock returns the functions that read and use m.
func (m *ManualClock) Clock() Clock {
	return Clock{Now: m.Now, AfterFunc: m.afterFunc}
}

// Now returns the time that the clock shows.
func (m *ManualClock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock by d and calls every due function at its own time, in order of time.
func (m *ManualClock) Advance(d time.Duration) {
	end := m.Now().Add(d)
	for f := m.nextDue(end); f != nil; f = m.nextDue(end) {
		f()
	}
	m.set(end)
}

// Jump moves the clock by d at once and then calls the due functions, as after a pause of the process.
func (m *ManualClock) Jump(d time.Duration) {
	m.set(m.Now().Add(d))
	m.Advance(0)
}

func (m *ManualClock) set(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}

// nextDue removes the earliest function due by end and moves the clock to its time, never backwards.
func (m *ManualClock) nextDue(end time.Time) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.events) > 0 && !m.events[0].due.After(end) {
		e := heap.Pop(&m.events).(*event)
		if e.stopped {
			continue
		}
		if e.due.After(m.now) {
			m.now = e.due
		}
		return e.f
	}
	return nil
}

func (m *ManualClock) afterFunc(d time.Duration, f func()) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.order++
	e := &event{due: m.now.Add(max(d, 0)), order: m.order, f: f}
	heap.Push(&m.events, e)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		e.stopped = true
	}
}

type event struct {
	due     time.Time
	order   uint64
	f       func()
	stopped bool
}

// eventHeap orders events by time, and events of the same time by the order of their creation.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].order < h[j].order
	}
	return h[i].due.Before(h[j].due)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// Package sequoiatimer provides a timer service that calls subscribers once or periodically. It runs on the system
// clock or, in tests, on a manual clock that only the test advances.
package sequoiatimer

import (
	"container/heap"
	"sync"
	"time"
)

// Clock provides the current time and timers. Both functions must be set.
type Clock struct {
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
	// AfterFunc calls f once after d. The returned function stops the timer if the call has not started.
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

// ManualClock is a clock for tests. Timer functions run in the goroutine that advances it.
type ManualClock struct {
	mu           sync.Mutex
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

// NewManualClock returns a manual clock that is set to start.
func NewManualClock(start time.Time) *ManualClock {
	return &ManualClock{now: start}
}

// Clock returns a Clock that is backed by m.
func (m *ManualClock) Clock() Clock {
	return Clock{Now: m.Now, AfterFunc: m.afterFunc}
}

// Now returns the clock's current time.
func (m *ManualClock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d. It calls each due function in chronological order, with the clock set to the
// function's due time.
func (m *ManualClock) Advance(d time.Duration) {
	end := m.Now().Add(d)
	for f := m.nextDue(end); f != nil; f = m.nextDue(end) {
		f()
	}
	m.set(end)
}

// Jump moves the clock forward by d in one step and then calls the due functions, as if the process had been paused.
func (m *ManualClock) Jump(d time.Duration) {
	m.set(m.Now().Add(d))
	m.Advance(0)
}

func (m *ManualClock) set(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}

// nextDue removes and returns the earliest function that is due by end, or nil. It moves the clock to the function's
// due time unless the clock is already later.
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
	m.lastSequence++
	e := &event{due: m.now.Add(max(d, 0)), sequence: m.lastSequence, f: f}
	heap.Push(&m.events, e)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		e.stopped = true
	}
}

type event struct {
	due      time.Time
	sequence uint64
	f        func()
	stopped  bool
}

// eventHeap orders events by due time, and events with the same due time by creation order.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].sequence < h[j].sequence
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

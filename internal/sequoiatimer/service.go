package sequoiatimer

import (
	"sync"
	"time"
)

// Service calls subscribers at the requested times. Subscriptions run independently, so a slow subscriber does not
// delay the others.
type Service struct {
	clock Clock

	mu     sync.Mutex
	active map[*Subscription]struct{}
	closed bool
}

// Option changes a Service under construction.
type Option func(*Service)

// WithClock sets the clock, which defaults to the system clock.
func WithClock(c Clock) Option {
	return func(s *Service) { s.clock = c }
}

// New returns a timer service that uses the system clock unless an option says otherwise.
func New(opts ...Option) *Service {
	s := &Service{clock: SystemClock(), active: map[*Subscription]struct{}{}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Now returns the current time of the service's clock.
func (s *Service) Now() time.Time {
	return s.clock.Now()
}

// Every calls f at each multiple of interval from now on, never concurrently with itself. Late ticks, because the
// process was paused or f was slow, are coalesced into one call. The interval must be positive.
func (s *Service) Every(interval time.Duration, f func(now time.Time)) *Subscription {
	if interval <= 0 {
		panic("sequoiatimer: interval must be positive")
	}
	return s.subscribe(interval, interval, f)
}

// After calls f once after d.
func (s *Service) After(d time.Duration, f func(now time.Time)) *Subscription {
	return s.subscribe(d, 0, f)
}

// Close cancels all subscriptions. Subscriptions that are added later never run.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	active := s.active
	s.active = map[*Subscription]struct{}{}
	s.mu.Unlock()
	for sub := range active {
		sub.Cancel()
	}
}

func (s *Service) subscribe(d, interval time.Duration, f func(now time.Time)) *Subscription {
	sub := &Subscription{service: s, interval: interval, f: f, due: s.clock.Now().Add(d)}
	s.mu.Lock()
	sub.cancelled = s.closed
	if !s.closed {
		s.active[sub] = struct{}{}
	}
	s.mu.Unlock()
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.schedule(s.clock.Now())
	return sub
}

func (s *Service) remove(sub *Subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, sub)
}

// Subscription is a scheduled one-time or periodic call of a subscriber.
type Subscription struct {
	service  *Service
	interval time.Duration
	f        func(now time.Time)

	mu        sync.Mutex
	due       time.Time
	stop      func()
	cancelled bool
}

// Cancel prevents further calls. It does not wait for a call that has already started.
func (sub *Subscription) Cancel() {
	sub.mu.Lock()
	sub.cancelled = true
	if sub.stop != nil {
		sub.stop()
	}
	sub.mu.Unlock()
	sub.service.remove(sub)
}

// schedule starts the timer for the next call. The caller must hold sub.mu.
func (sub *Subscription) schedule(now time.Time) {
	if sub.cancelled {
		return
	}
	sub.stop = sub.service.clock.AfterFunc(sub.due.Sub(now), sub.fire)
}

func (sub *Subscription) fire() {
	sub.mu.Lock()
	cancelled := sub.cancelled
	sub.mu.Unlock()
	if cancelled {
		return
	}
	sub.f(sub.service.clock.Now())
	if sub.interval == 0 {
		sub.service.remove(sub)
		return
	}
	sub.mu.Lock()
	defer sub.mu.Unlock()
	now := sub.service.clock.Now()
	sub.due = nextTick(sub.due, sub.interval, now)
	sub.schedule(now)
}

// nextTick returns the first multiple of interval after due that is later than now.
func nextTick(due time.Time, interval time.Duration, now time.Time) time.Time {
	late := max(now.Sub(due), 0)
	return due.Add((late/interval + 1) * interval)
}

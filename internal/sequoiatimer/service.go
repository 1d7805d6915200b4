package sequoiatimer

import (
	"sync"
	"time"
)

// Service calls subscribers at the times they asked for. Each subscription runs on its own, so a slow subscriber
// delays no other one.
type Service struct {
	clock Clock

	mu     sync.Mutex
	active map[*Subscription]struct{}
	closed bool
}

// Option changes a Service under construction.
type Option func(*Service)

// WithClock replaces the system clock.
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

// Every calls f at each multiple of interval from now on, never concurrently with itself. Ticks that are late, because
// the process was paused or f took long, are coalesced into one call. The interval must be positive.
func (s *Service) Every(interval time.Duration, f func(now time.Time)) *Subscription {
	if interval <= 0 {
		panic("sequoiatimer: the interval is not positive")
	}
	return s.subscribe(interval, interval, f)
}

// After calls f once after d.
func (s *Service) After(d time.Duration, f func(now time.Time)) *Subscription {
	return s.subscribe(d, 0, f)
}

// Close cancels all subscriptions. Later ones never run.
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

// Subscription is one subscriber's request to be called.
type Subscription struct {
	service  *Service
	interval time.Duration
	f        func(now time.Time)

	mu        sync.Mutex
	due       time.Time
	stop      func()
	cancelled bool
}

// Cancel prevents further calls. A call that has already started is not waited for.
func (sub *Subscription) Cancel() {
	sub.mu.Lock()
	sub.cancelled = true
	if sub.stop != nil {
		sub.stop()
	}
	sub.mu.Unlock()
	sub.service.remove(sub)
}

// schedule requires mu.
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

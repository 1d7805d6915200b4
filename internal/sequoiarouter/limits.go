package sequoiarouter

import "time"

// Limits are a service's limits in the current configuration. Zero selects the router's default for ResendWindow,
// Queued and RetryFraction.
type Limits struct {
	// ResendWindow is how long identifiers are retained after their request finished.
	ResendWindow time.Duration
	// InFlight is the maximum number of requests in progress at the local upstream; zero means its number of slots.
	InFlight int
	// Queued is the maximum number of requests that wait at the owner.
	Queued int
	// RetryFraction is the ratio of retries to requests; a negative value disables retries.
	RetryFraction float64
	// Timeout is the time limit of a request whose caller sets no deadline.
	Timeout time.Duration
	// MaximumBodyBytes is the maximum size of a request body.
	MaximumBodyBytes int64
}

// Configure replaces the limits of all services. Requests that are already waiting are kept, even above a new limit.
func (r *Router) Configure(now time.Time, limits map[string]Limits) {
	r.withLock(func() {
		r.limits = limits
		r.dispatchQueue(now)
	})
}

// Limits returns a service's limits with the router's defaults filled in. Timeout and MaximumBodyBytes have no default.
func (r *Router) Limits(service string) Limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limitsOf(service)
}

func (r *Router) limitsOf(service string) Limits {
	l := r.limits[service]
	if l.ResendWindow == 0 {
		l.ResendWindow = r.cfg.resendWindow
	}
	if l.Queued == 0 {
		l.Queued = r.cfg.maxQueue
	}
	if l.RetryFraction == 0 {
		l.RetryFraction = r.cfg.retryFraction
	}
	return l
}

// localLimits returns the limits of the service that the local upstream last announced. They keep applying while the
// upstream is unreachable, because falling back to a shorter resend window would expire identifiers too early.
func (r *Router) localLimits() Limits {
	return r.limitsOf(r.localService)
}

// capacity returns the maximum number of requests in progress at the local upstream.
func (r *Router) capacity() int {
	u := r.upstream
	n := u.slots
	if inFlight := r.limitsOf(u.service).InFlight; inFlight > 0 {
		n = inFlight
	}
	return min(n, u.connections)
}

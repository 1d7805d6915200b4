package sequoiarouter

import "time"

// Limits are a service's limits in the configuration in force. A zero field stands for the router's default.
type Limits struct {
	// ResendWindow is how long identifiers are retained after their request finished.
	ResendWindow time.Duration
	// InFlight is the most requests in progress at the local upstream; zero means as many as it has slots.
	InFlight int
	// Queued is the most requests that wait at the owner.
	Queued int
	// RetryFraction is the share of requests that may be sent again; a negative number allows none.
	RetryFraction float64
	// Timeout is the deadline of a request whose caller names none.
	Timeout time.Duration
	// MaximumBodyBytes bounds the body of a request.
	MaximumBodyBytes int64
}

// Configure replaces the limits of all services. Requests that already wait keep their places.
func (r *Router) Configure(now time.Time, limits map[string]Limits) {
	r.locked(func() {
		r.limits = limits
		r.pump(now)
	})
}

// Limits returns a service's limits with the router's defaults filled in. Timeout and MaximumBodyBytes have none.
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

// localLimits returns the limits of the service that the local upstream last announced. They stay in force while the
// upstream is silent, since a shorter resend window would forget identifiers too early.
func (r *Router) localLimits() Limits {
	return r.limitsOf(r.localService)
}

// capacity returns the number of requests that the local upstream may have in progress.
func (r *Router) capacity() int {
	u := r.upstream
	n := u.slots
	if inFlight := r.limitsOf(u.service).InFlight; inFlight > 0 {
		n = inFlight
	}
	return min(n, u.connections)
}

package sequoiarouter

import (
	"time"
)

// maxAttempts bounds the attempts of one request, the first included.
const maxAttempts = 4

// RetryBudget is a token bucket that limits retries to a fraction of requests, so that a total failure does not
// multiply the load. It is not safe for concurrent use.
type RetryBudget struct {
	fraction float64
	burst    float64
	tokens   float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(fraction, burst float64) RetryBudget {
	return RetryBudget{fraction: fraction, burst: burst, tokens: burst}
}

// Request adds the share of one new request.
func (b *RetryBudget) Request() {
	b.tokens = min(b.burst, b.tokens+b.fraction)
}

// Take takes the token of one retry. It returns false if there is none.
func (b *RetryBudget) Take() bool {
	if b.fraction < 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// BeginRequest counts a caller's request for the retry budget of its service.
func (r *Router) BeginRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.budget(service); b != nil {
		b.Request()
	}
}

// budget returns the retry budget of a service, nil for a service that the table does not have: callers' requests
// must not grow the state.
func (r *Router) budget(service string) *RetryBudget {
	if r.snapshot == nil || r.snapshot.Table.Service(service) == nil {
		return nil
	}
	fraction := r.limitsOf(service).RetryFraction
	b := r.budgets[service]
	if b == nil || b.fraction != fraction {
		fresh := NewRetryBudget(fraction, r.cfg.retryBurst)
		b = &fresh
		r.budgets[service] = b
	}
	return b
}

// MayRetry decides whether a request that ended with resp is attempted again. Only a request that was not run, or one
// that may be repeated, is. attempts counts those made. A redirection by a newer table takes no budget.
func (r *Router) MayRetry(now time.Time, req *Request, resp *Response, attempts int) bool {
	if attempts >= maxAttempts || !now.Before(req.Deadline) || !truthfulRetry(req, resp) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if resp.Reason == ReasonNotOwner && r.snapshot != nil && resp.LogIndex > 0 {
		return true
	}
	b := r.budget(req.Service)
	return b != nil && b.Take()
}

// truthfulRetry reports whether another attempt cannot run a request twice that must not be repeated, and could end
// differently.
func truthfulRetry(req *Request, resp *Response) bool {
	switch resp.Outcome {
	case NotRun:
		// A request without an owner has already waited for one.
		switch resp.Reason {
		case ReasonServiceUnknown, ReasonKeyMissing, ReasonBadRequest, ReasonCancelled, ReasonDeadlinePassed,
			ReasonNoOwner, ReasonOwnerRevoked:
			return false
		}
		return true
	case Unknown:
		return req.Repeatable && req.RequestID == "" && resp.Reason != ReasonCancelled
	}
	return false
}

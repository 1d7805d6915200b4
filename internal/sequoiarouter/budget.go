package sequoiarouter

import (
	"time"
)

// maxAttempts is the maximum number of attempts of one request, including the first.
const maxAttempts = 4

// RetryBudget is a token bucket that limits retries to a fraction of requests, so that retries do not multiply the load
// when all requests fail. It is not safe for concurrent use.
type RetryBudget struct {
	fraction float64
	burst    float64
	tokens   float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(fraction, burst float64) RetryBudget {
	return RetryBudget{fraction: fraction, burst: burst, tokens: burst}
}

// AddRequest adds the tokens that one new request earns.
func (b *RetryBudget) AddRequest() {
	b.tokens = min(b.burst, b.tokens+b.fraction)
}

// Take removes the token for one retry. It returns false if no token is left or a negative fraction disables retries.
func (b *RetryBudget) Take() bool {
	if b.fraction < 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// BeginRequest credits a caller's request to the retry budget of its service.
func (r *Router) BeginRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.budget(service); b != nil {
		b.AddRequest()
	}
}

// budget returns the retry budget of a service. It returns nil for a service that is not in the table, so that requests
// for unknown services cannot grow the map.
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

// MayRetry reports whether to retry a request that ended with resp after the given number of attempts. Only a request
// that was not run or is repeatable is retried. A NotOwner response with a log index does not use the retry budget.
func (r *Router) MayRetry(now time.Time, req *Request, resp *Response, attempts int) bool {
	if attempts >= maxAttempts || !now.Before(req.Deadline) || !retrySafe(req, resp) {
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

// retrySafe reports whether a retry may succeed and cannot run a non-repeatable request twice.
func retrySafe(req *Request, resp *Response) bool {
	switch resp.Outcome {
	case NotRun:
		// With NoOwner and OwnerRevoked, the request has already waited for an owner.
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

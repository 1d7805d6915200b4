package sequoiaadmission

import "time"

const (
	// burstTime times the limit, but at least one, is the number of requests that may start at once after a pause.
	burstTime = 500 * time.Millisecond
	// minRate is the lowest number of requests per second. An upstream that accepts none shows only in a response that
	// it accepts requests again.
	minRate = 0.5
	// paceMargin is the time by which a request that waits for the limit must end before its objective. Starts are up to
	// a few milliseconds late, and a request that misses its objective by that would be rejected after the whole wait.
	paceMargin = 20 * time.Millisecond
	// startTolerance absorbs the rounding of times and token counts.
	startTolerance = 1e-6
)

// pace limits how many requests start per second, as a token bucket. The zero value has no limit.
type pace struct {
	perSecond float64
	tokens    float64
	// updated is the time for which tokens is valid. It is in the future until the limit begins.
	updated time.Time
	// from is the latest time at which the limit was set to begin.
	from time.Time
}

// set changes the limit; zero removes it. A new limit begins without a burst, because the upstream has counted the
// requests that were started before. If from is later than in earlier calls, no request starts before it and there is no
// burst then.
func (p *pace) set(now time.Time, perSecond float64, from time.Time) {
	if p.perSecond == 0 {
		p.tokens, p.updated = 0, now
	}
	if from.After(p.from) {
		p.tokens, p.updated, p.from = min(p.tokens, 0), from, from
	}
	p.refill(now)
	p.perSecond = perSecond
	p.tokens = min(p.tokens, p.burst())
}

func (p *pace) limited() bool { return p.perSecond > 0 }

func (p *pace) burst() float64 { return max(1, p.perSecond*burstTime.Seconds()) }

func (p *pace) refill(now time.Time) {
	if elapsed := now.Sub(p.updated); elapsed > 0 {
		p.tokens = min(p.burst(), p.tokens+p.perSecond*elapsed.Seconds())
		p.updated = now
	}
}

// delay returns the time until n more requests may have started.
func (p *pace) delay(now time.Time, n int) time.Duration {
	if !p.limited() {
		return 0
	}
	p.refill(now)
	missing := float64(n) - p.tokens
	if missing <= startTolerance {
		return 0
	}
	return max(0, p.updated.Sub(now)) + time.Duration(missing/p.perSecond*float64(time.Second))
}

// take records that a request starts.
func (p *pace) take() {
	if p.limited() {
		p.tokens--
	}
}

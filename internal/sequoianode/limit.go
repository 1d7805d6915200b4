package sequoianode

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// queueTimerMargin is added to the time until a request may start, so that the timer does not fire just before it.
const queueTimerMargin = time.Millisecond

// rateLimit is the limit that the local upstream names in its responses.
type rateLimit struct {
	named     bool
	perSecond float64
	// namedAt is when the latest response that named a limit arrived.
	namedAt time.Time
}

// update applies a response to a request that was sent at the given time. A response without a limit ends the limit
// only if its request was sent after the limit was last named: responses to concurrent requests arrive out of order. It
// reports whether the limit has changed.
func (l *rateLimit) update(sent, now time.Time, v ResponseAttributes) bool {
	old := *l
	switch {
	case v.Limited:
		*l = rateLimit{named: true, perSecond: v.RateLimit, namedAt: now}
	case (v.Signed || v.NotRun) && v.Malformed == nil && sent.After(l.namedAt):
		*l = rateLimit{namedAt: l.namedAt}
	}
	return l.named != old.named || l.perSecond != old.perSecond
}

// applyUpstreamState applies what a response of the local upstream says about the upstream itself. u is the upstream
// that the request was sent to, at the given time.
func (n *Node) applyUpstreamState(u sequoiaowner.Upstream, sent time.Time, v ResponseAttributes) {
	if v.Malformed != nil {
		n.log.Event("upstream response has a malformed header", "Upstream", u.ID, "Error", v.Malformed)
	}
	n.mu.Lock()
	now := time.Now()
	current := n.core.Upstream()
	same := current.ID == u.ID && current.Born == u.Born
	changed := same && n.limit.update(sent, now, v)
	limit := n.limit
	if same {
		n.noteWarmupResponse(now, sent, v)
	}
	if changed {
		n.applyLimit(now)
	}
	leaves := same && v.Leaving && !current.Leaving
	if leaves {
		current.Leaving = true
		n.core.SetUpstream(sequoiatimer.BootTime(), current)
		n.beginDrain(now)
	}
	n.mu.Unlock()
	if leaves {
		n.log.Event("upstream says in a response that it is leaving", "Upstream", u.ID)
		n.memberChanged()
	}
	if changed {
		n.log.Event("upstream limit changed", "Upstream", u.ID, "Limited", limit.named, "PerSecond", limit.perSecond)
	}
}

// applyLimit sets the local upstream's limit in the queue: the one that it names or that for a cold upstream, whichever is
// lower. The caller must hold mu.
func (n *Node) applyLimit(now time.Time) {
	cold := n.warmup.limit
	switch {
	case cold.PerSecond > 0 && n.limit.named:
		n.queue.SetLimitFrom(now, min(cold.PerSecond, n.limit.perSecond), cold.From)
	case cold.PerSecond > 0:
		n.queue.SetLimitFrom(now, cold.PerSecond, cold.From)
	case n.limit.named:
		n.queue.SetLimit(now, n.limit.perSecond)
	default:
		n.queue.RemoveLimit(now)
	}
	n.scheduleQueue(now)
}

// scheduleQueue makes the queue start its next request when the limit allows it, and reject requests when their deadline
// can no longer be met. Call it after each change of the queue. The caller must hold mu.
func (n *Node) scheduleQueue(now time.Time) {
	d, waiting := n.queue.NextEvent(now)
	at := now.Add(d + queueTimerMargin)
	if !waiting || n.queueTimer != nil && !at.Before(n.queueTimerAt) {
		return
	}
	if n.queueTimer != nil {
		n.queueTimer.Cancel()
	}
	n.queueTimerAt = at
	n.queueTimer = n.timers.After(d+queueTimerMargin, func(time.Time) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.queueTimerAt != at {
			return // Replaced by an earlier one.
		}
		n.queueTimer = nil
		now := time.Now()
		n.stepWarmup(now)
		n.queue.Advance(now)
		n.scheduleQueue(now)
	})
}

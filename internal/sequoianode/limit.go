package sequoianode

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
)

// rateLimit is the limit that the local upstream names in its responses.
type rateLimit struct {
	// perSecond is zero if the upstream names no limit.
	perSecond float64
	// namedAt is when the latest response that named a limit arrived.
	namedAt time.Time
}

// update applies a response to a request that was sent at the given time. A response without a limit ends the limit
// only if its request was sent after the limit was last named: responses to concurrent requests arrive out of order. It
// reports whether the limit has changed.
func (l *rateLimit) update(sent, now time.Time, v ResponseAttributes) bool {
	old := l.perSecond
	switch {
	case v.Limited:
		l.perSecond, l.namedAt = v.RateLimit, now
	case (v.Signed || v.NotRun) && v.Malformed == nil && sent.After(l.namedAt):
		l.perSecond = 0
	}
	return l.perSecond != old
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
	changed := current.ID == u.ID && current.Born == u.Born && n.limit.update(sent, now, v)
	limit := n.limit.perSecond
	n.mu.Unlock()
	if changed {
		n.log.Event("upstream limit changed", "Upstream", u.ID, "PerSecond", limit)
	}
}

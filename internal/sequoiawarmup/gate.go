// Package sequoiawarmup decides how fast a cold upstream is given requests. An upstream that has just started, or has been
// reset later, is slow for a while and crashes if it gets many more requests per second than its service's warm-up rate.
// The package does no I/O; see docs/design/cold-upstreams.md.
package sequoiawarmup

import (
	"math"
	"time"
)

const (
	// window is the time over which the requests to a cold upstream are counted, and windowMargin covers the time between
	// the decision to start a request and its arrival.
	window       = time.Second
	windowMargin = 50 * time.Millisecond
	// defaultOver is the factor of the bound if the deployment names none: what a token bucket with a burst of half a second
	// lets through in one second. defaultSlack covers the requests that are on their way at either end of the second.
	defaultOver  = 1.5
	defaultSlack = 2.0
	// startMargin is subtracted from the bound, for a request on its way at either end of the second.
	startMargin = 2
	// maxSilence is the number of announcement intervals after which a silent upstream may have been replaced.
	maxSilence = 2
	// bufferedTime is how long after the end of an upstream its last responses may still be read.
	bufferedTime = 50 * time.Millisecond
	// minSent is how many times of requests are kept at least. It also covers a rule that is not known yet.
	minSent = 64
	// defaultInterval is the interval of announcements.
	defaultInterval = time.Second
)

// Rule is what a service and the deployment say about cold upstreams.
type Rule struct {
	// Period is how long an upstream is cold after its start, and Rate the number of requests per second that it tolerates
	// then. A rate of zero means that cold upstreams need no limit.
	Period time.Duration
	Rate   float64
	// Over and Slack are the bound of a deployment: in each second, a cold upstream may be sent at most Over times Rate plus
	// Slack requests. An Over of zero means that it names no bound.
	Over, Slack float64
}

// bound returns the number of requests that a cold upstream may be sent in one second.
func (r Rule) bound() float64 {
	if r.Over <= 0 {
		return defaultOver*r.Rate + defaultSlack
	}
	return r.Over*r.Rate + r.Slack
}

// earlier returns how many of the requests of the last second may have been sent before the limit began: what the bound
// leaves beside those that start under the limit.
func (r Rule) earlier() int {
	return max(0, int(math.Floor(r.bound()))-int(math.Ceil(r.Rate))-startMargin)
}

// State is what is known about the warm-up of an upstream.
type State int

// States of an upstream.
const (
	// Warm means that the upstream needs no limit.
	Warm State = iota
	// Cold means that the upstream says that it is cold, or has just started.
	Cold
	// Suspect means that the upstream may have been replaced or reset. It is treated as cold.
	Suspect
)

// String returns the name of the state as it is logged.
func (s State) String() string {
	switch s {
	case Cold:
		return "Cold"
	case Suspect:
		return "Suspect"
	}
	return "Warm"
}

// Limit is the limit that is in force. The zero value is no limit.
type Limit struct {
	PerSecond float64
	// From is when the limit begins: no request may start before, and there is no burst then.
	From time.Time
}

// Announcement is what the upstream says about itself.
type Announcement struct {
	// New is true if it is the first announcement of an incarnation that this process receives.
	New bool
	// Born is when the incarnation started, zero if it is not known.
	Born time.Time
	// Remaining is how much longer the upstream is cold. Stated is false if the announcement does not say.
	Remaining time.Duration
	Stated    bool
}

// Gate tracks whether the local upstream is cold. It is not safe for concurrent use. All times must come from the same clock.
type Gate struct {
	interval time.Duration
	rule     Rule
	// created is when the process started. What an earlier process on the instance sent in the second before is not known.
	created time.Time
	// seen is when the latest announcement arrived, zero if there was none.
	seen time.Time
	// coldUntil is when the upstream becomes warm, as it said at statedAt. An upstream that has not said it is cold for the
	// period of the rule from startedAt.
	coldUntil, statedAt, startedAt time.Time
	// refused is true if the upstream has refused a connection since its latest announcement, and lostAt is when it lost
	// a connection with a request since then.
	refused bool
	lostAt  time.Time
	// sent holds the times of the latest requests, oldest first: as many as matter when a limit begins.
	sent []time.Time
	// state is the state at the latest call of State, and from is when the limit in force began.
	state State
	from  time.Time
}

// Option configures a Gate.
type Option func(*Gate)

// WithInterval sets the interval of the upstream's announcements.
func WithInterval(d time.Duration) Option {
	return func(g *Gate) {
		if d > 0 {
			g.interval = d
		}
	}
}

// New returns the gate of a process that starts now.
func New(now time.Time, opts ...Option) *Gate {
	g := &Gate{interval: defaultInterval, created: now}
	for _, o := range opts {
		o(g)
	}
	return g
}

// SetRule sets what the configuration in force says.
func (g *Gate) SetRule(r Rule) { g.rule = r }

// Announced records an announcement, which ends all suspicion. One of a known incarnation that does not say how long the
// upstream is cold changes nothing else.
func (g *Gate) Announced(now time.Time, a Announcement) {
	g.seen, g.refused, g.lostAt = now, false, time.Time{}
	switch {
	case a.Stated:
		g.setCold(now, now.Add(a.Remaining))
	case a.New:
		g.coldUntil, g.statedAt, g.startedAt = time.Time{}, time.Time{}, now
		if !a.Born.IsZero() && a.Born.Before(now) {
			g.startedAt = a.Born
		}
	}
}

// Responded records that a response says how much longer the upstream is cold. A response to a request that was sent before
// the upstream last said it cannot end the warm-up: it may be older.
func (g *Gate) Responded(now, sent time.Time, remaining time.Duration) {
	if until := now.Add(remaining); remaining > 0 && until.After(g.until()) || sent.After(g.statedAt) {
		g.setCold(now, until)
	}
}

// setCold records that the upstream says that it becomes warm at a time.
func (g *Gate) setCold(now, until time.Time) {
	g.coldUntil, g.statedAt, g.startedAt = until, now, time.Time{}
}

// Sent records that a request starts at the upstream.
func (g *Gate) Sent(now time.Time) {
	g.sent = append(g.sent, now)
	if keep := max(minSent, g.rule.earlier()+1); len(g.sent) > 2*keep {
		g.sent = append(g.sent[:0], g.sent[len(g.sent)-keep:]...)
	}
}

// Answered records that the upstream has answered a request that was sent at the given time. An upstream that answers within
// a second after it lost a connection has not ended, unless the response may have been on its way before.
func (g *Gate) Answered(now, sent time.Time) {
	since := now.Sub(g.lostAt)
	if !g.lostAt.IsZero() && since <= window && (sent.After(g.lostAt) || since > bufferedTime) {
		g.lostAt = time.Time{}
	}
}

// Refused records that the upstream refused a connection.
func (g *Gate) Refused() { g.refused = true }

// ConnectionLost records that a connection to the upstream was lost while a request ran on it.
func (g *Gate) ConnectionLost(now time.Time) {
	if !g.seen.IsZero() {
		g.lostAt = now
	}
}

// until returns when the upstream becomes warm.
func (g *Gate) until() time.Time {
	if !g.startedAt.IsZero() {
		return g.startedAt.Add(g.rule.Period)
	}
	return g.coldUntil
}

// suspect reports whether the upstream may have been replaced or reset since its latest announcement.
func (g *Gate) suspect(now time.Time) bool {
	return g.refused || !g.lostAt.IsZero() || g.seen.IsZero() || now.Sub(g.seen) > maxSilence*g.interval
}

// State returns whether the upstream is cold. It begins or ends the limit when the state changes.
func (g *Gate) State(now time.Time) State {
	state := Warm
	switch {
	case g.rule.Rate <= 0:
	case g.suspect(now):
		state = Suspect
	case now.Before(g.until()):
		state = Cold
	}
	if state != Warm && g.state == Warm {
		g.from = g.begin(now)
	}
	g.state = state
	return state
}

// begin returns when a limit may begin: once so few requests of the last second were sent before it that the bound holds.
// The requests of an earlier process on the instance are all more than a second old by then.
func (g *Gate) begin(now time.Time) time.Time {
	from := now
	if unknown := g.created.Add(window + windowMargin); unknown.After(from) {
		from = unknown
	}
	if i := len(g.sent) - g.rule.earlier() - 1; i >= 0 {
		if full := g.sent[i].Add(window + windowMargin); full.After(from) {
			from = full
		}
	}
	return from
}

// Limit returns the limit in force.
func (g *Gate) Limit(now time.Time) Limit {
	if g.State(now) == Warm {
		return Limit{}
	}
	return Limit{PerSecond: g.rule.Rate, From: g.from}
}

// ColdFor returns how much longer the upstream is treated as cold, zero if it is warm. A suspect is until its next
// announcement.
func (g *Gate) ColdFor(now time.Time) time.Duration {
	switch g.State(now) {
	case Cold:
		return g.until().Sub(now)
	case Suspect:
		return max(g.interval, g.until().Sub(now))
	}
	return 0
}

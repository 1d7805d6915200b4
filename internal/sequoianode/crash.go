package sequoianode

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaquarantine"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// upstreamProbeTimeout limits a probe of the upstream, which is on the same instance.
const upstreamProbeTimeout = 100 * time.Millisecond

// upstreamProbe tells a lost connection from an upstream that has ended. It is shared by the requests that lose their
// connections at the same time.
type upstreamProbe struct {
	mu      sync.Mutex
	began   time.Time
	refused bool
}

// upstreamRefuses reports whether the upstream refuses connections, as seen after the given time.
func (n *Node) upstreamRefuses(ctx context.Context, after time.Time) bool {
	p := &n.upstreamProbe
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.began.After(after) {
		return p.refused
	}
	p.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, upstreamProbeTimeout)
	defer cancel()
	err := n.upstreamClient.Connect(ctx, n.settings.Upstream)
	p.refused = errors.Is(err, syscall.ECONNREFUSED)
	return p.refused
}

// run is a request for the local upstream, with its place in the queue.
type run = sequoiaquarantine.Run[*sequoiaadmission.Ticket]

// identity returns what the repeats of a request have in common with it.
func (n *Node) identity(req *sequoiarouter.Request) sequoiaquarantine.Identity {
	return sequoiaquarantine.Identity{
		Method: req.Method, Host: req.Host, Path: req.Path, Key: req.Key,
		Caller: n.dialect.Caller(http.Header(req.Header)), Body: req.Body,
	}
}

// runSent records that a run is being sent to the local upstream. known is what was known of the request when it was
// decided whether it runs alone: a strike that became known later does not show that it ran beside no other suspect.
func (n *Node) runSent(r *run, known sequoiaquarantine.Mark) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs.Sent(time.Now(), r, known)
}

// endRun records the end of a run without a response.
func (n *Node) endRun(r *run, notSent, interrupted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case notSent:
		n.runs.NotSent(r)
	case interrupted:
		n.runs.Abandoned(time.Now(), r)
	default:
		now := time.Now()
		n.runs.Lost(now, r)
		n.warmup.gate.ConnectionLost(now)
		n.stepWarmup(now)
	}
}

// upstreamEnded handles that the local upstream refuses connections. It returns false if that was announced.
func (n *Node) upstreamEnded() bool {
	n.mu.Lock()
	u := n.core.Upstream()
	n.recordUpstreamEnd(u)
	n.core.MarkUpstreamLost()
	n.warmup.gate.Refused()
	n.stepWarmup(time.Now())
	announced := n.endAnnounced(u)
	n.mu.Unlock()
	n.memberChanged()
	return !announced
}

// endAnnounced reports whether upstream u has announced its end and its drain is over. The caller must hold mu.
func (n *Node) endAnnounced(u sequoiaowner.Upstream) bool {
	return u.Leaving && !n.leavingSince.IsZero() && time.Since(n.leavingSince) > n.settings.DrainPeriod
}

// recordUpstreamEnd records which requests were in progress when upstream u ended. None of them is the cause if the end
// was announced. The caller must hold mu.
func (n *Node) recordUpstreamEnd(u sequoiaowner.Upstream) {
	runs := n.runs.UpstreamEnded()
	if len(runs) == 0 {
		return
	}
	n.metrics.upstreamEnds.Inc()
	n.metrics.runsEnded.Add(float64(len(runs)))
	prints := make([]string, len(runs))
	for i, r := range runs {
		prints[i] = r.Fingerprint().String()
	}
	announced := n.endAnnounced(u)
	n.log.Event("upstream ended with requests in progress", "Upstream", u.ID, "Announced", announced, "Requests", prints)
	if !announced {
		n.quarantine.strike(runs)
	}
}

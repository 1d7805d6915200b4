package sequoianode

import (
	"context"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// shutdownDelay is the minimum time that a stopping process keeps serving clients. They need two failed readiness
	// checks, one per second, to switch to another process.
	shutdownDelay = 2300 * time.Millisecond
	// shutdownSettleTime is how long a stopping process rejects new requests before it exits, so that requests already
	// in transit get a response and the responses are written.
	shutdownSettleTime = 100 * time.Millisecond
	// maxClosingTime is the most that a process keeps of its grace period for its own end, after the last request.
	maxClosingTime = 500 * time.Millisecond
	// closingShare is the most that this may be as a share of the grace period, whose last sixth is for the end of the
	// process: requests in progress may be broken off only then.
	closingShare = 1.0 / 12
	// leaseEndTimeout limits the call that ends the lease. A lease that is not ended expires.
	leaseEndTimeout = 300 * time.Millisecond
)

// stopPlan divides the grace period of a planned stop between those who wait for answers and the end of the process.
type stopPlan struct {
	// latestDeadline is the latest deadline of requests that are accepted. They are answered before end, if only with a
	// timeout.
	latestDeadline time.Time
	// end is when requests that are still in progress are broken off: those accepted before the stop.
	end time.Time
}

// planStop returns the plan of a stop with a grace period.
func planStop(start time.Time, grace time.Duration) stopPlan {
	closing := min(maxClosingTime, time.Duration(closingShare*float64(grace)))
	end := start.Add(grace - closing)
	return stopPlan{latestDeadline: end.Add(-min(shutdownSettleTime, closing)), end: end}
}

// stop shuts down gracefully: it fails readiness checks so that clients switch to other processes, hands over the keys
// and waits for requests in progress.
func (n *Node) stop(ctx context.Context) {
	start := time.Now()
	plan := planStop(start, n.settings.GracePeriod)
	n.stopDeadline.Store(plan.latestDeadline.UnixNano())
	n.log.Event("process stopping", "InProgress", n.front.InProgress())
	n.stopping.Store(true)
	n.watches.stop()
	n.withCore(func(c *sequoiaowner.Core) {
		c.Stop()
		n.queue.SetLatestDeadline(plan.latestDeadline)
	})
	n.registration.Changed()
	for time.Now().Before(plan.latestDeadline) {
		if time.Since(start) >= shutdownDelay && n.front.InProgress() == 0 && !n.hasKeysToHandOver() {
			break
		}
		_ = sequoiatimer.Sleep(ctx, ownershipStepInterval)
	}
	// From here on new requests and attempts are rejected, so that none starts between the last check and the exit.
	n.stopDeadline.Store(0)
	settledAt := time.Now().Add(shutdownSettleTime)
	left := make(chan struct{})
	go func() {
		defer close(left)
		n.leave(ctx, plan.end)
	}()
	for time.Now().Before(plan.end) && (time.Now().Before(settledAt) || n.front.InProgress() > 0 || n.forwarder.Sending() > 0) {
		_ = sequoiatimer.Sleep(ctx, ownershipStepInterval/5)
	}
	<-left
	n.log.Event("process stopped", "InProgress", n.front.InProgress(), "Milliseconds", time.Since(start).Milliseconds())
}

// leave tells the other processes that this one takes over no more keys, and ends its lease unless it is started again. A
// lease that is not ended before the deadline expires.
func (n *Node) leave(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	n.announceExit(ctx)
	if n.expectsRestart() {
		return
	}
	ctx, cancel = context.WithTimeout(ctx, leaseEndTimeout)
	defer cancel()
	if err := n.registration.Deregister(ctx); err != nil {
		n.log.Event("failed to end the lease", "Error", err)
	}
}

// exceedsStopDeadline reports whether the process is stopping and a request with the given deadline might still be
// running when it exits. Such a request must not be started.
func (n *Node) exceedsStopDeadline(deadline time.Time) bool {
	return n.stopping.Load() && deadline.UnixNano() > n.stopDeadline.Load()
}

// limitToStop returns the deadline of the next attempt of a request. That of a stopping process ends before the process
// does, so that another process does not start what this one would break off.
func (n *Node) limitToStop(deadline time.Time) time.Time {
	if !n.exceedsStopDeadline(deadline) {
		return deadline
	}
	if latest := n.stopDeadline.Load(); latest > 0 {
		return time.Unix(0, latest)
	}
	return time.Now()
}

// expectsRestart reports whether the upstream keeps running, in which case this process will be restarted next to it.
func (n *Node) expectsRestart() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Upstream().Usable()
}

// longestRun returns how much longer requests for the local upstream on the keys from through to may take, zero if there
// are none. The caller must hold mu.
func (n *Node) longestRun(from, to sequoiakeyspace.Key) time.Duration {
	var longest time.Duration
	n.runs.Open(func(r *run) {
		if key, err := parseKey(r.Identity.Key); err == nil && from <= key && key <= to {
			longest = max(longest, time.Until(r.Owner.Deadline))
		}
	})
	return longest
}

// hasKeysToHandOver reports whether the local upstream still has keys that need new holders.
func (n *Node) hasKeysToHandOver() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.core.HeldRanges()) > 0 || n.core.MoveCount() > 0
}

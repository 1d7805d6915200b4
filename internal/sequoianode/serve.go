package sequoianode

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaquarantine"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// grantWaitTimeout limits how long a request waits while its key is being granted or moved. A move takes about as
	// long as the requests that are running on its keys.
	grantWaitTimeout = 350 * time.Millisecond
	// drainFraction is the fraction of the drain period after which a leaving upstream receives no more requests.
	drainFraction = 0.6
	// maxUnsafeIdle is the maximum idle time of a reused upstream connection for a request that must not run twice. If
	// the connection fails, it is unknown whether the upstream received the request or only the response was lost.
	maxUnsafeIdle = 1500 * time.Millisecond
	// maxSuspectPause is how much longer than AbandonedTime the next suspect waits for an answer of the upstream to another
	// request, and suspectCheckInterval the time between two looks at it.
	maxSuspectPause      = time.Second
	suspectCheckInterval = 20 * time.Millisecond
)

func formatKey(key sequoiakeyspace.Key) string { return strconv.Itoa(int(key)) }

func parseKey(s string) (sequoiakeyspace.Key, error) {
	v, err := strconv.ParseUint(s, 10, 16)
	return sequoiakeyspace.Key(v), err
}

// serveForwarded handles client requests and peer messages that other processes send.
func (n *Node) serveForwarded(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	if req.Service == peerService {
		resp := n.servePeerMessage(ctx, req)
		resp.Load = resp.Load.ForVersion(req.Version)
		return resp
	}
	if n.config.Load() == nil {
		// It is not known yet how fast a cold upstream may be sent requests.
		resp := n.notRunResponseWithLoad(reasonNoConfiguration, notServingRetryAfter)
		resp.Load = resp.Load.ForVersion(req.Version)
		return resp
	}
	if n.exceedsStopDeadline(req.Deadline) {
		resp := n.notRunResponseWithLoad(reasonStopping, upstreamRetryAfter)
		resp.Load = resp.Load.ForVersion(req.Version)
		return resp
	}
	n.front.AddInProgress(1)
	defer n.front.AddInProgress(-1)
	ctx, memory := withResponseMemory(ctx, n.responses, sequoiamemory.Forwarded)
	if !sequoiapeer.AfterAnswer(ctx, memory.release) {
		defer memory.release()
	}
	resp := n.serveLocal(ctx, req)
	resp.Load = resp.Load.ForVersion(req.Version)
	return resp
}

// serveLocal runs a request on the local upstream.
func (n *Node) serveLocal(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	var key sequoiakeyspace.Key
	if req.Key != "" {
		var err error
		if key, err = parseKey(req.Key); err != nil {
			return n.notRunResponseWithLoad(reasonBadRequest, 0)
		}
		if resp := n.awaitGrant(ctx, req.Service, key); resp != nil {
			return resp
		}
	}
	j := n.quarantine.judge(judgement{}, req)
	if resp := j.refusal(); resp != nil {
		return n.notRunResponseWithLoad(resp.Reason, resp.RetryAfter)
	}
	suspect := j.alone()
	expected := n.meterArrival(req, key)
	r, reason, retryAfter := n.admit(ctx, req, suspect)
	if j = n.quarantine.judge(j, req); reason == "" && j.alone() && !suspect {
		// The request became a suspect while it waited.
		n.finish(r, nil)
		r, reason, retryAfter = n.admit(ctx, req, true)
		j = n.quarantine.judge(j, req)
	}
	if reason != "" {
		n.meterRejected(req, key, reason, expected)
		return n.notRunResponseWithLoad(n.currentReason(req, key, reason), retryAfter)
	}
	j = n.quarantine.startTrial(ctx, j)
	resp := j.refusal()
	if resp == nil {
		resp = n.callUpstream(ctx, req, j, r)
	}
	took := n.finish(r, resp)
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.Key != "" {
		work := time.Duration(0)
		if resp.Outcome == sequoiarouter.Answered {
			work = n.queue.Cost(took)
		}
		n.meter.Correct(key, work-expected)
	}
	resp.Load = n.loadLocked()
	_, resp.LogIndex = n.core.Table()
	return resp
}

// currentReason returns the reason to send for a rejection. While a request waited for an upstream that is leaving, its key
// may have been given to another one, where the request can be served.
func (n *Node) currentReason(req *sequoiarouter.Request, key sequoiakeyspace.Key, reason string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reason == reasonLeaving && req.Key != "" && !n.core.AssignedHere(req.Service, key) {
		return reasonNotOwner
	}
	return reason
}

// finish frees the slot of a request in the queue and returns how long the request ran. resp is nil if it did not run. The
// slot of a suspect that the upstream may still work on is freed later, so that no other suspect runs beside it.
func (n *Node) finish(r *run, resp *sequoiarouter.Response) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs.NotSent(r)
	n.quarantine.markSuspects()
	if r.Owner.Alone && resp != nil && resp.Outcome == sequoiarouter.Unknown && resp.Reason != reasonUpstreamEnded {
		n.timers.After(sequoiaquarantine.AbandonedTime, func(now time.Time) { n.finishAbandoned(r, now.Add(maxSuspectPause)) })
		return 0
	}
	now := time.Now()
	n.stepWarmup(now)
	took := n.queue.Done(now, r.Owner, resp != nil && resp.Outcome == sequoiarouter.Answered)
	n.scheduleQueue(now)
	return took
}

// finishAbandoned frees the slot of a suspect that has not been answered, once it would no longer count as in progress if
// the upstream ended, or at the given time. Otherwise another suspect that ends the upstream would be a strike for both.
func (n *Node) finishAbandoned(r *run, latest time.Time) {
	n.mu.Lock()
	counts := n.runs.MayBeRunning(r)
	n.mu.Unlock()
	if counts && time.Now().Before(latest) {
		n.timers.After(suspectCheckInterval, func(time.Time) { n.finishAbandoned(r, latest) })
		return
	}
	n.finish(r, nil)
}

// meterArrival adds the expected work of a request to the load of its key and returns it. If only requests that have ended
// counted, those that wait would be missing at the onset of an overload.
func (n *Node) meterArrival(req *sequoiarouter.Request, key sequoiakeyspace.Key) time.Duration {
	if req.Key == "" {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	expected := n.queue.Cost(n.queue.MeanDuration())
	n.meter.Add(key, expected)
	return expected
}

// meterRejected removes the expected work of a rejected request from the load of its key, unless it was rejected for lack
// of capacity. Otherwise the measured load of a full upstream would never exceed its capacity.
func (n *Node) meterRejected(req *sequoiarouter.Request, key sequoiakeyspace.Key, reason string, expected time.Duration) {
	if req.Key == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if reason == sequoiaadmission.ReasonBusy || reason == sequoiaadmission.ReasonFull {
		n.balancer.pace.Refused()
		return
	}
	n.meter.Correct(key, -expected)
}

// notRunResponseWithLoad returns a NotRun response with the table revision and the load of the local upstream.
func (n *Node) notRunResponseWithLoad(reason string, retryAfter time.Duration) *sequoiarouter.Response {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, revision := n.core.Table()
	return &sequoiarouter.Response{
		Outcome: sequoiarouter.NotRun, Reason: reason, RetryAfter: retryAfter, LogIndex: revision, Load: n.loadLocked(),
	}
}

// awaitGrant waits until the local upstream holds the key, as long as a grant is expected. It returns nil once the key
// is held, and otherwise the response to send.
func (n *Node) awaitGrant(ctx context.Context, service string, key sequoiakeyspace.Key) *sequoiarouter.Response {
	reason, retryAfter := "", upstreamRetryAfter
	decided := n.awaitOwnership(ctx, grantWaitTimeout, func() bool {
		if _, holds := n.core.Holds(sequoiatimer.BootTime(), service, key); holds {
			return true
		}
		if !n.core.AssignedHere(service, key) {
			reason = reasonNotOwner
		} else if !n.core.CanGrant() {
			reason = reasonNoOwner
		} else if wait, awaits := n.core.AwaitsSettling(sequoiatimer.BootTime(), service, key); awaits {
			reason, retryAfter = reasonNoOwner, max(wait, upstreamRetryAfter)
		}
		return reason != ""
	})
	switch {
	case !decided:
		return n.notRunResponseWithLoad(reasonNoOwner, upstreamRetryAfter)
	case reason != "":
		return n.notRunResponseWithLoad(reason, retryAfter)
	}
	return nil
}

// awaitOwnership waits until met returns true. It calls met with mu held, once at the start and after each ownership
// change. It returns false on timeout.
func (n *Node) awaitOwnership(ctx context.Context, limit time.Duration, met func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		n.mu.Lock()
		ok := met()
		changed := n.ownershipChanged
		n.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// admit waits until the request may run. With alone, it runs beside no other request with alone. admit returns an empty
// reason on admission, otherwise the reason of the rejection and the Retry-After time.
func (n *Node) admit(ctx context.Context, req *sequoiarouter.Request, alone bool) (*run, string, time.Duration) {
	type decision struct {
		reason     string
		retryAfter time.Duration
	}
	decided := make(chan decision, 1)
	now := time.Now()
	t := &sequoiaadmission.Ticket{
		Class: req.Route, Priority: req.Priority, Alone: alone, Keyed: req.Key != "", Arrived: now, Deadline: req.Deadline,
		Objective: objective(now, req),
		OnDecision: func(reason string, retryAfter time.Duration) {
			n.noteStart(reason)
			decided <- decision{reason, retryAfter}
		},
	}
	n.mu.Lock()
	if !n.acceptsLocked(req.Service) || n.refusesEvacuated(now, req) {
		n.mu.Unlock()
		return nil, reasonLeaving, upstreamRetryAfter
	}
	n.quarantine.markSuspects()
	r := &run{Identity: n.identity(req), Owner: t}
	n.runs.Add(r)
	n.stepWarmup(now)
	n.queue.Submit(now, t)
	n.scheduleQueue(now)
	n.mu.Unlock()
	var d decision
	select {
	case d = <-decided:
		if d.reason == "" {
			return r, "", 0
		}
	case <-ctx.Done():
		d.reason = reasonCancelled
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs.NotSent(r)
	now = time.Now()
	if !n.queue.Remove(t) {
		n.queue.Done(now, t, false)
	}
	n.scheduleQueue(now)
	return nil, d.reason, d.retryAfter
}

// acceptsLocked reports whether the local upstream accepts requests of a service. The caller must hold mu.
func (n *Node) acceptsLocked(service string) bool {
	u := n.core.Upstream()
	leaving := !n.leavingSince.IsZero() && time.Since(n.leavingSince) > n.settings.drainLimit()
	return u.ID != "" && !u.Lost && !leaving && u.Service == service
}

// objective returns the time by which the request should be answered to meet its latency objective. It ignores the
// transfer time between processes, which is unknown and short.
func objective(now time.Time, req *sequoiarouter.Request) time.Time {
	if req.Objective <= 0 {
		return req.Deadline
	}
	if o := now.Add(req.Objective); o.Before(req.Deadline) {
		return o
	}
	return req.Deadline
}

// callUpstream sends the request to the local upstream and classifies the result.
func (n *Node) callUpstream(
	ctx context.Context, req *sequoiarouter.Request, j judgement, r *run,
) *sequoiarouter.Response {
	n.mu.Lock()
	u := n.core.Upstream()
	n.mu.Unlock()
	remaining := time.Until(req.Deadline)
	if remaining <= 0 {
		return notRunResponse(reasonDeadline, 0)
	}
	releaseHeader, ok := reserveHeader(ctx, req.Header)
	if !ok {
		return notRunResponse(sequoiapeer.ReasonNoMemory, upstreamRetryAfter)
	}
	defer releaseHeader()
	h := http.Header(maps.Clone(req.Header))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // Keeps net/http from adding its default.
	}
	n.dialect.PrepareUpstream(h, UpstreamCall{Remaining: remaining, UpstreamID: u.ID, Origin: req.Origin})
	call := &sequoiahttp.Request{
		Method: req.Method, Path: req.Path, Host: req.Host, Header: h, Body: req.Body,
		Matches: func(h http.Header) bool { return req.RequestID == "" || n.dialect.RequestID(h) == req.RequestID },
		ID:      req.RequestID,
		Refusal: func(status int, h http.Header) bool { return n.dialect.ReadResponse(status, h).Refused() },
		Reserve: responseReserver(ctx),
	}
	if !req.Repeatable {
		call.MaxIdle = maxUnsafeIdle
	}
	sent := time.Now()
	call.OnConnected = func() { n.runSent(r, j.verdict.Mark) }
	resp, err := n.upstreamClient.Do(ctx, n.settings.Upstream, call)
	noRoom := errors.Is(err, sequoiahttp.ErrTooMuchBuffered)
	if err != nil && !noRoom {
		return n.handleUpstreamError(ctx, req, r, err)
	}
	n.withCore(func(c *sequoiaowner.Core) {
		c.MarkAlive(sequoiatimer.BootTime())
		n.runs.Answered(r)
	})
	if noRoom {
		n.log.Event("no memory for a response", "RequestID", req.RequestID)
		return &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: sequoiapeer.ReasonNoMemory}
	}
	v := n.dialect.ReadResponse(resp.Status, resp.Header)
	n.applyUpstreamState(u, sent, v)
	if v.Signed && !v.NotRun && resp.Status < http.StatusInternalServerError {
		n.quarantine.answered(j, req)
	}
	switch {
	case v.Refused():
		n.log.Event("upstream refused a request", "RequestID", req.RequestID, "Status", resp.Status, "Key", req.Key)
		return notRunResponse(reasonUpstreamRefused, upstreamRetryAfter)
	case !v.Signed && resp.Status < http.StatusMultipleChoices:
		n.log.Event("upstream response has no signature", "RequestID", req.RequestID, "Status", resp.Status)
		return &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reasonUpstreamFailed}
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: resp.Status, Header: resp.Header, Body: resp.Body}
}

// handleUpstreamError returns the response for a run that failed with err. If the upstream refuses connections, it is
// marked as lost.
func (n *Node) handleUpstreamError(
	ctx context.Context, req *sequoiarouter.Request, r *run, err error,
) *sequoiarouter.Response {
	notSent, interrupted := sequoiahttp.NotSent(err), ctx.Err() != nil
	if !interrupted {
		n.log.Event("upstream failed", "RequestID", req.RequestID, "NotSent", notSent, "Error", err)
	}
	ended := !interrupted && (errors.Is(err, syscall.ECONNREFUSED) || !notSent && n.upstreamRefuses(ctx, time.Now()))
	n.endRun(r, notSent, interrupted)
	crashed := ended && n.upstreamEnded()
	if notSent {
		return notRunResponse(reasonUnreachable, upstreamRetryAfter)
	}
	reason := reasonConnectionLost
	switch {
	case crashed:
		reason = reasonUpstreamEnded
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = reasonDeadline
	case ctx.Err() != nil:
		reason = reasonCancelled
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reason}
}

// serveReady handles the platform's readiness check.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	status := http.StatusServiceUnavailable
	if r.URL.Path == n.dialect.ReadyPath && n.ready.Load() && !n.stopping.Load() && n.config.Load() != nil {
		status = http.StatusOK
	}
	sequoiafront.WriteResponse(w, r, status, nil)
}

// memberChanged triggers an update of this process's entry in the store. Announcements arrive before there is a
// registration, which writes the entry as it is then.
func (n *Node) memberChanged() {
	n.mu.Lock()
	r := n.registration
	n.mu.Unlock()
	if r != nil {
		r.Changed()
	}
}

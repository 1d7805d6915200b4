package sequoianode

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Reasons of a response that was not produced by an upstream.
const (
	reasonNoConfiguration = "NoConfiguration"
	reasonNoRoute         = "NoRoute"
	reasonBadRequest      = "BadRequest"
	reasonNoUpstream      = "NoUpstream"
	reasonNoOwner         = "NoOwner"
	reasonNotOwner        = "NotOwner"
	reasonUnreachable     = "Unreachable"
	reasonDeadline        = "Deadline"
	reasonConnectionLost  = "ConnectionLost"
	reasonUpstreamEnded   = "UpstreamEnded"
	reasonQuarantined     = "Quarantined"
	reasonUpstreamRefused = "UpstreamRefused"
	reasonUpstreamFailed  = "UpstreamFailed"
	reasonLeaving         = sequoiaadmission.ReasonLeaving
	reasonStopping        = sequoiaadmission.ReasonStopping
	reasonCancelled       = "Cancelled"
)

const (
	// defaultTimeout applies to a request on a route without a timeout.
	defaultTimeout = 5 * time.Second
	// maxSends limits how often a request is sent to a process, including the first attempt. It also counts attempts that
	// reach no upstream.
	maxSends = 4
	// upstreamRetryAfter is the Retry-After time of a request that no process or upstream accepted, for example because
	// its key has no reachable owner.
	upstreamRetryAfter = 250 * time.Millisecond
	// notServingRetryAfter is the Retry-After time of a process that has no configuration yet.
	notServingRetryAfter = 300 * time.Millisecond
	// tableRetryDelay is the pause before a request is resent to an owner that did not have the current table yet.
	tableRetryDelay = 15 * time.Millisecond
	// probeInterval is the interval of probes of an unreachable process.
	probeInterval = 150 * time.Millisecond
	// minAttemptTime is the minimum remaining time for which another attempt is made.
	minAttemptTime = 15 * time.Millisecond
)

// removeHopHeaders removes the hop-by-hop headers, including those named by Connection.
func removeHopHeaders(h http.Header) {
	named := sequoiafront.NamedByConnection(h)
	maps.DeleteFunc(h, func(name string, _ []string) bool { return sequoiafront.HopByHop(name) || named[name] })
}

// notRunResponse returns the response to a request that no upstream has run.
func notRunResponse(reason string, retryAfter time.Duration) *sequoiarouter.Response {
	return &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// serveClient handles a client's request.
func (n *Node) serveClient(w http.ResponseWriter, r *http.Request) {
	began := sequoiafront.Arrival(r)
	cfg := n.config.Load()
	if cfg == nil {
		n.writeResponse(w, r, nil, notRunResponse(reasonNoConfiguration, notServingRetryAfter), began)
		return
	}
	route, ok := cfg.Find(r.Host, r.RequestURI)
	if !ok {
		n.writeResponse(w, r, nil, notRunResponse(reasonNoRoute, 0), began)
		return
	}
	req, attrs, err := n.readRequest(r, cfg, route, began)
	if err != nil {
		n.log.Event("request rejected", "Host", r.Host, "Path", r.URL.Path, "Error", err)
		n.writeResponse(w, r, nil, notRunResponse(reasonBadRequest, 0), began)
		return
	}
	if n.exceedsStopDeadline(req.Deadline) {
		n.writeResponse(w, r, req, notRunResponse(reasonStopping, sequoiaadmission.StoppingRetryAfter), began)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	ctx, memory := withResponseMemory(ctx, n.responses, sequoiamemory.Response)
	defer memory.release()
	resp := n.dispatch(ctx, req, attrs, route, cfg.Services[req.Service].Keyed)
	if r.Context().Err() != nil {
		n.metrics.cancelled.Inc()
		n.log.Event("client gone", "RequestID", req.RequestID, "Route", req.Route, "Target", req.Target,
			"Milliseconds", time.Since(began).Milliseconds(), "Error", context.Cause(r.Context()))
		return
	}
	n.writeResponse(w, r, req, resp, began)
	if resp.Outcome == sequoiarouter.Answered {
		memory.handOver(r)
	}
}

// mayRunAgain reports whether a client's request may be run more than once, so that it may also run beside others of its
// connection.
func (n *Node) mayRunAgain(r *http.Request) bool {
	cfg := n.config.Load()
	if cfg == nil {
		return false
	}
	route, ok := cfg.Find(r.Host, r.RequestURI)
	return ok && route.Idempotent && (r.Method == http.MethodGet || r.Method == http.MethodHead || r.ContentLength == 0)
}

// setRefusalHeader sets the header of a response to a request that the front refuses.
func (n *Node) setRefusalHeader(status int, h http.Header) {
	if status == http.StatusServiceUnavailable {
		n.dialect.SetRetryAfter(h, upstreamRetryAfter)
	}
}

// readRequest returns the request to send to an upstream for a client's request that arrived at began.
func (n *Node) readRequest(
	r *http.Request, cfg *sequoiaroute.Configuration, route *sequoiaroute.Route, began time.Time,
) (*sequoiarouter.Request, RequestAttributes, error) {
	attrs, err := n.dialect.ReadRequest(r.Header)
	if err != nil {
		return nil, attrs, err
	}
	body, err := sequoiafront.ReadBody(r)
	if err != nil {
		return nil, attrs, errors.Wrap(err, "read the request body")
	}
	if limit := cfg.Limits.MaxBodyBytes; limit > 0 && len(body) > limit {
		return nil, attrs, errors.Errorf("the request body has %d bytes; the limit is %d", len(body), limit)
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if attrs.Timeout > 0 {
		timeout = min(timeout, attrs.Timeout)
	}
	removeHopHeaders(r.Header)
	return &sequoiarouter.Request{
		Service: n.splitter.Choose(route), RequestID: attrs.ID, Repeatable: route.Idempotent,
		Deadline: began.Add(timeout), Method: r.Method, Path: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Route: route.Name, Origin: n.settings.Service, Priority: route.Priority, Objective: route.Objective,
	}, attrs, nil
}

// attemptState holds the results of a request's previous attempts.
type attemptState struct {
	// upstreamAttempts counts the attempts that an upstream may have received.
	upstreamAttempts int
	tried            map[string]bool
	// lastInstance is the instance that the last attempt was sent to.
	lastInstance string
	// sends counts all attempts; see maxSends.
	sends int
	// bestResponse is the most informative response so far; see addResponse.
	bestResponse *sequoiarouter.Response
}

// dispatch sends the request to upstreams until one responds or no further attempt is allowed.
func (n *Node) dispatch(
	ctx context.Context, req *sequoiarouter.Request, attrs RequestAttributes, route *sequoiaroute.Route, keyed bool,
) *sequoiarouter.Response {
	n.retries.countRequest(req.Service, n.memberCount())
	a := &attemptState{tried: map[string]bool{}}
	if keyed && !attrs.HasKey {
		return notRunResponse(reasonBadRequest, 0)
	}
	if keyed {
		req.Key = formatKey(attrs.Key)
	}
	var j judgement
	for i := range maxSends {
		req.Deadline = n.limitToStop(req.Deadline)
		j = n.quarantine.judge(j, req)
		resp := j.refusal()
		switch {
		case resp != nil:
		case keyed:
			resp = n.sendToOwner(ctx, req, attrs.Key, a)
		default:
			resp = n.sendToAny(ctx, req, j, a)
		}
		if resp == nil {
			break
		}
		if resp.Reason == reasonUpstreamEnded {
			n.quarantine.noteUpstreamEnded(req)
		}
		a.sends = i + 1
		a.addResponse(resp)
		if i == maxSends-1 || !n.shouldRetry(ctx, req, route, keyed, resp, a) {
			break
		}
	}
	return a.result(ctx, req)
}

// addResponse records the response of an attempt. It keeps the most informative one: a response of an upstream,
// otherwise one after which the request may have run, otherwise the latest, with the shortest time after which any of
// the upstreams has room.
func (a *attemptState) addResponse(resp *sequoiarouter.Response) {
	if resp.Outcome != sequoiarouter.NotRun || resp.Reason == reasonUpstreamRefused {
		a.upstreamAttempts++
	}
	if a.bestResponse == nil || a.bestResponse.Outcome == sequoiarouter.NotRun || resp.Outcome == sequoiarouter.Answered {
		if old := a.bestResponse; old != nil && resp.Outcome == sequoiarouter.NotRun && old.RetryAfter > 0 {
			if resp.RetryAfter == 0 || old.RetryAfter < resp.RetryAfter {
				resp.RetryAfter = old.RetryAfter
			}
		}
		a.bestResponse = resp
	}
}

// result returns the response for the client.
func (a *attemptState) result(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	req.Target, req.Attempts = a.lastInstance, a.sends
	if a.bestResponse == nil {
		return notRunResponse(reasonNoUpstream, upstreamRetryAfter)
	}
	if a.bestResponse.Outcome == sequoiarouter.NotRun && ctx.Err() != nil {
		a.bestResponse.Reason = reasonDeadline
	}
	return a.bestResponse
}

// shouldRetry reports whether the request is sent again. A request that may have run is retried only if it is
// idempotent.
func (n *Node) shouldRetry(
	ctx context.Context, req *sequoiarouter.Request, route *sequoiaroute.Route, keyed bool,
	resp *sequoiarouter.Response, a *attemptState,
) bool {
	if ctx.Err() != nil || time.Until(req.Deadline) < minAttemptTime {
		return false
	}
	if !req.Repeatable && n.exceedsStopDeadline(req.Deadline) {
		// The process might end before the next attempt does, and the client could not send the request again.
		return false
	}
	switch resp.Outcome {
	case sequoiarouter.Answered:
		if resp.Status < http.StatusInternalServerError || !req.Repeatable {
			return false
		}
	case sequoiarouter.Unknown:
		if !req.Repeatable || resp.Reason == reasonCancelled || resp.Reason == reasonDeadline {
			return false
		}
	case sequoiarouter.NotRun:
		if resp.Reason == reasonQuarantined {
			return false
		}
		if resp.Reason == reasonNotOwner {
			return n.reconcileTable(ctx, a.lastInstance, resp.LogIndex)
		}
		if resp.Reason != reasonUpstreamRefused {
			// No upstream has received the request, so another attempt does not count as a retry.
			return !keyed && resp.Reason != reasonNoUpstream
		}
	}
	if a.upstreamAttempts >= max(1, route.MaxAttempts) || a.bestResponse.Outcome == sequoiarouter.Unknown && !req.Repeatable {
		return false
	}
	if !n.retries.take(req.Service) {
		n.metrics.retriesDenied.Inc()
		return false
	}
	n.metrics.retries.Inc()
	return true
}

// sendToOwner sends the request to the process next to the upstream that holds the request's key.
func (n *Node) sendToOwner(
	ctx context.Context, req *sequoiarouter.Request, key sequoiakeyspace.Key, a *attemptState,
) *sequoiarouter.Response {
	t, _ := n.table()
	var holder sequoiakeyspace.Holder
	if t != nil {
		r, _ := t.Find(req.Service, key)
		holder = r.Holder
	}
	if holder.Zero() {
		return notRunResponse(reasonNoOwner, upstreamRetryAfter)
	}
	a.lastInstance = holder.Instance
	return n.send(ctx, req, holder.Instance)
}

// sendToAny sends the request to the upstream with the lowest expected delay. A suspect goes to the one that all
// processes choose for it, where its copies run one after the other. sendToAny returns nil if no untried upstream is
// left.
func (n *Node) sendToAny(ctx context.Context, req *sequoiarouter.Request, j judgement, a *attemptState) *sequoiarouter.Response {
	var m sequoiaowner.Member
	var ok bool
	if j.alone() {
		m, ok = n.directory.chooseFor(req.Service, j.fingerprint, a.tried)
	} else {
		m, ok = n.directory.choose(req, a.tried)
	}
	if !ok {
		return nil
	}
	a.tried[m.Instance] = true
	a.lastInstance = m.Instance
	return n.send(ctx, req, m.Instance)
}

// send runs the request on the local upstream or forwards it to another process. It marks a process that does not
// answer as unreachable and starts probing it.
func (n *Node) send(ctx context.Context, req *sequoiarouter.Request, instance string) *sequoiarouter.Response {
	if n.directory.drained(instance) {
		return notRunResponse(reasonLeaving, upstreamRetryAfter)
	}
	upstream, began := n.directory.beginRequest(instance), time.Now()
	if instance == n.settings.Instance {
		resp := n.serveLocal(ctx, req)
		n.directory.endRequest(instance, resp)
		n.directory.observe(req, time.Since(began), resp)
		n.noteLeaving(upstream, resp)
		return resp
	}
	addr, ok := n.directory.address(instance)
	if !ok {
		n.directory.endRequest(instance, nil)
		return notRunResponse(reasonUnreachable, upstreamRetryAfter)
	}
	req.Version = min(n.directory.protocol(instance), sequoiarouter.ProtocolVersion)
	resp, err := n.forwarder.Forward(ctx, addr, req)
	if err == nil && !holdForwarded(ctx, resp) {
		n.log.Event("no memory for a response", "RequestID", req.RequestID)
		resp = &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: sequoiapeer.ReasonNoMemory, Load: resp.Load, LogIndex: resp.LogIndex}
	}
	if err == nil {
		n.directory.endRequest(instance, resp)
		n.directory.observe(req, time.Since(began), resp)
		n.noteLeaving(upstream, resp)
		n.fetchIfNewer(instance, resp.LogIndex)
		return resp
	}
	n.directory.endRequest(instance, nil)
	if ctx.Err() == nil && indicatesUnreachable(err, time.Until(req.Deadline)) && n.directory.markUnreachable(instance) {
		n.log.Event("process unreachable", "Member", instance, "RequestID", req.RequestID, "Error", err)
		go n.probe(instance, addr)
	}
	return forwardErrorResponse(ctx, err)
}

// noteLeaving records that an upstream is leaving if its response says so.
func (n *Node) noteLeaving(upstream sequoiakeyspace.Holder, resp *sequoiarouter.Response) {
	if resp.Outcome == sequoiarouter.Answered && n.dialect.ReadResponse(resp.Status, resp.Header).Leaving {
		n.directory.markLeaving(upstream)
	}
}

// indicatesUnreachable reports whether the error of a failed request indicates that the process itself does not answer.
// An expired request deadline does not, because the upstream may be slow.
func indicatesUnreachable(err error, remaining time.Duration) bool {
	if errors.Is(err, sequoiapeer.ErrSilent) || errors.Is(err, sequoiapeer.ErrConnectionLost) {
		return true
	}
	return errors.Is(err, sequoiapeer.ErrNotSent) && !errors.Is(err, sequoiapeer.ErrTooLarge) && remaining > 0
}

// forwardErrorResponse returns the response for a forwarded request that failed with err.
func forwardErrorResponse(ctx context.Context, err error) *sequoiarouter.Response {
	reason := reasonConnectionLost
	switch {
	case errors.Is(err, sequoiapeer.ErrNotSent):
		return notRunResponse(reasonUnreachable, upstreamRetryAfter)
	case errors.Is(ctx.Err(), context.Canceled):
		reason = reasonCancelled
	case errors.Is(err, context.DeadlineExceeded):
		reason = reasonDeadline
	case errors.Is(err, sequoiapeer.ErrNoMemory):
		reason = sequoiapeer.ReasonNoMemory
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reason}
}

// probe polls an unreachable process until it answers or unreachableTimeout passes. Meanwhile
// no client request is sent to the process, so none fails only to find out whether it answers again.
func (n *Node) probe(instance string, addr netip.AddrPort) {
	start := time.Now()
	for time.Since(start) < unreachableTimeout {
		_ = sequoiatimer.Sleep(context.Background(), probeInterval)
		if _, ok := n.balancer.fetchLoad(context.Background(), sequoiaowner.Member{Instance: instance, Address: addr}, peerTimeout, nil); ok {
			n.log.Event("process reached again", "Member", instance, "After", time.Since(start).Milliseconds())
			break
		}
	}
	n.directory.markReachable(instance)
}

// reconcileTable is called after a process rejected a request because it does not own the key. Either process may have
// an outdated table. reconcileTable updates the older of the two tables and reports whether the request may be sent
// again.
func (n *Node) reconcileTable(ctx context.Context, instance string, revision uint64) bool {
	if _, known := n.table(); known < revision {
		n.fetchTable(ctx, instance)
		return true
	}
	if addr, reachable := n.directory.address(instance); reachable {
		if u, ok := n.updateSince(revision); ok {
			n.broadcastUpdate(context.WithoutCancel(ctx), u, []netip.AddrPort{addr})
		}
	}
	return sequoiatimer.Sleep(ctx, tableRetryDelay) == nil
}

func (n *Node) memberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.core.Members())
}

// writeResponse writes the response to the client and records the request. req is nil if the request could not be read
// or has no route.
func (n *Node) writeResponse(
	w http.ResponseWriter, r *http.Request, req *sequoiarouter.Request, resp *sequoiarouter.Response, began time.Time,
) {
	status, body := resp.Status, resp.Body
	h := w.Header()
	if resp.Outcome == sequoiarouter.Answered {
		for name, values := range resp.Header {
			if !sequoiafront.HopByHop(name) {
				h[name] = values
			}
		}
	} else {
		status = failureStatus(resp)
		body = []byte(resp.Outcome.String() + " " + resp.Reason + "\n")
		if status == http.StatusServiceUnavailable {
			n.dialect.SetRetryAfter(h, resp.RetryAfter)
		}
	}
	sequoiafront.WriteResponse(w, r, status, body)
	n.recordRequest(r, req, resp, status, time.Since(began))
}

// recordRequest updates the metrics and the log for a finished client request.
func (n *Node) recordRequest(
	r *http.Request, req *sequoiarouter.Request, resp *sequoiarouter.Response, status int, took time.Duration,
) {
	n.metrics.request(resp, status, took)
	fields := []any{"Outcome", resp.Outcome, "Status", status, "Reason", resp.Reason, "Milliseconds", took.Milliseconds()}
	if req != nil {
		fields = append(fields, "RequestID", req.RequestID, "Route", req.Route, "Service", req.Service, "Key", req.Key,
			"Target", req.Target, "Attempts", req.Attempts, "Waiting", resp.Load.Waiting, "Running", resp.Load.Running,
			"Left", time.Until(req.Deadline).Milliseconds())
	} else {
		fields = append(fields, "Host", r.Host, "Path", r.URL.Path)
	}
	if resp.Outcome == sequoiarouter.Answered && status < http.StatusInternalServerError {
		n.log.Success("request answered", fields...)
		return
	}
	n.log.Event("request failed", append(fields, "RetryAfter", resp.RetryAfter.Milliseconds())...)
}

// failureStatus returns the HTTP status for a response that was not produced by an upstream. It returns 503 only if the
// request has not run and will not run.
func failureStatus(resp *sequoiarouter.Response) int {
	switch {
	case resp.Reason == reasonNoRoute:
		return http.StatusNotFound
	case resp.Reason == reasonBadRequest:
		return http.StatusBadRequest
	case resp.Outcome == sequoiarouter.NotRun:
		return http.StatusServiceUnavailable
	case resp.Reason == reasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

package sequoianode

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Reasons of a response that no upstream gave.
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
	reasonUpstreamRefused = "UpstreamRefused"
	reasonUpstreamFailed  = "UpstreamFailed"
	reasonLeaving         = "Leaving"
	reasonStopping        = "Stopping"
	reasonCancelled       = "Cancelled"
)

const (
	// defaultTimeout applies to a request that names no deadline on a route without a timeout.
	defaultTimeout = 5 * time.Second
	// maxHops bounds the processes that a request is offered to.
	maxHops = 4
	// ownerRetry is when a client should come back whose key has no reachable owner, 250 ms.
	ownerRetry = 250 * time.Millisecond
	// startRetry is when a client should come back to a process that does not know its configuration yet.
	startRetry = 300 * time.Millisecond
	// tableWait is the pause before a request goes to an owner again that did not have the table yet, 15 ms.
	tableWait = 15 * time.Millisecond
	// probeInterval is the time between probes of a process that could not be reached.
	probeInterval = 150 * time.Millisecond
	// minRemaining is the least time in which another attempt may succeed.
	minRemaining = 15 * time.Millisecond
)

func removeHopHeaders(h http.Header) {
	named := sequoiafront.NamedByConnection(h)
	maps.DeleteFunc(h, func(name string, _ []string) bool { return sequoiafront.HopByHop(name) || named[name] })
}

// rejected is the end of a request that no upstream has had.
func rejected(reason string, retryAfter time.Duration) *sequoiarouter.Response {
	return &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// serveClient carries out a client's request.
func (n *Node) serveClient(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	cfg := n.config.Load()
	if cfg == nil {
		n.finish(w, r, nil, rejected(reasonNoConfiguration, startRetry), began)
		return
	}
	route, ok := cfg.Find(r.Host, r.RequestURI)
	if !ok {
		n.finish(w, r, nil, rejected(reasonNoRoute, 0), began)
		return
	}
	req, attrs, err := n.readRequest(r, cfg, route, began)
	if err != nil {
		n.log.Event("request rejected", "Host", r.Host, "Path", r.URL.Path, "Error", err)
		n.finish(w, r, nil, rejected(reasonBadRequest, 0), began)
		return
	}
	if n.outlives(req.Deadline) {
		n.finish(w, r, req, rejected(reasonStopping, startRetry), began)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	resp := n.carryOut(ctx, req, attrs, route, cfg.Services[req.Service].Keyed)
	if r.Context().Err() != nil {
		n.metrics.cancelled.Inc()
		n.log.Event("client gone", "RequestID", req.RequestID, "Route", req.Route, "Target", req.Target,
			"Milliseconds", time.Since(began).Milliseconds(), "Error", context.Cause(r.Context()))
		return
	}
	n.finish(w, r, req, resp, began)
}

// readRequest reads a request whole, because nbhttp reuses its memory after the handler.
func (n *Node) readRequest(
	r *http.Request, cfg *sequoiaroute.Configuration, route *sequoiaroute.Route, began time.Time,
) (*sequoiarouter.Request, Attributes, error) {
	attrs, err := n.dialect.ReadRequest(r.Header)
	if err != nil {
		return nil, attrs, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, attrs, errors.Wrap(err, "read the body")
	}
	if limit := cfg.Limits.MaxBodyBytes; limit > 0 && len(body) > limit {
		return nil, attrs, errors.Errorf("the body has %d bytes; allowed: %d", len(body), limit)
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
		Route: route.Name, Origin: n.id.Service, Priority: route.Priority, Objective: route.Objective,
	}, attrs, nil
}

// attempt is what is known of a request's earlier attempts.
type attempt struct {
	// offered counts those that an upstream may have received.
	offered int
	tried   map[string]bool
	// instance is where the last attempt went.
	instance string
	hops     int
	// last is the most telling response so far.
	last *sequoiarouter.Response
}

// carryOut offers the request to upstreams until one responds or nothing more can be tried truthfully.
func (n *Node) carryOut(
	ctx context.Context, req *sequoiarouter.Request, attrs Attributes, route *sequoiaroute.Route, keyed bool,
) *sequoiarouter.Response {
	n.retries.begin(req.Service, n.memberCount())
	a := &attempt{tried: map[string]bool{}}
	if keyed && !attrs.HasKey {
		return rejected(reasonBadRequest, 0)
	}
	for hop := range maxHops {
		var resp *sequoiarouter.Response
		if keyed {
			req.Key = formatKey(attrs.Key)
			resp = n.sendToOwner(ctx, req, attrs.Key, a)
		} else {
			resp = n.sendToAny(ctx, req, a)
		}
		if resp == nil {
			break
		}
		a.hops = hop + 1
		a.note(resp)
		if hop == maxHops-1 || !n.again(ctx, req, route, keyed, resp, a) {
			break
		}
	}
	return a.result(ctx, req)
}

// note keeps the response that says most: one of an upstream, else one that the request may have run, else the last.
func (a *attempt) note(resp *sequoiarouter.Response) {
	if resp.Outcome != sequoiarouter.NotRun || resp.Reason == reasonUpstreamRefused {
		a.offered++
	}
	if a.last == nil || a.last.Outcome == sequoiarouter.NotRun || resp.Outcome == sequoiarouter.Answered {
		if a.last != nil && resp.Outcome == sequoiarouter.NotRun && resp.RetryAfter == 0 {
			resp.RetryAfter = a.last.RetryAfter
		}
		a.last = resp
	}
}

func (a *attempt) result(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	req.Target, req.Attempts = a.instance, a.hops
	if a.last == nil {
		return rejected(reasonNoUpstream, ownerRetry)
	}
	if a.last.Outcome == sequoiarouter.NotRun && ctx.Err() != nil {
		a.last.Reason = reasonDeadline
	}
	return a.last
}

// again reports whether the request is offered once more. One that may have run is repeated only if it is idempotent.
func (n *Node) again(
	ctx context.Context, req *sequoiarouter.Request, route *sequoiaroute.Route, keyed bool,
	resp *sequoiarouter.Response, a *attempt,
) bool {
	if ctx.Err() != nil || time.Until(req.Deadline) < minRemaining {
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
		if resp.Reason == reasonNotOwner {
			return n.newerTable(ctx, a.instance, resp.LogIndex)
		}
		if resp.Reason != reasonUpstreamRefused {
			// No upstream has had the request, so that another offer is no retry.
			return !keyed && resp.Reason != reasonNoUpstream
		}
	}
	if a.offered >= max(1, route.MaxAttempts) || a.last.Outcome == sequoiarouter.Unknown && !req.Repeatable {
		return false
	}
	if !n.retries.take(req.Service) {
		n.metrics.retriesDenied.Inc()
		return false
	}
	n.metrics.retries.Inc()
	return true
}

// sendToOwner sends the request to the process beside the upstream that holds its key.
func (n *Node) sendToOwner(
	ctx context.Context, req *sequoiarouter.Request, key sequoiakeyspace.Key, a *attempt,
) *sequoiarouter.Response {
	t, _ := n.table()
	var holder sequoiakeyspace.Holder
	if t != nil {
		r, _ := t.Find(req.Service, key)
		holder = r.Holder
	}
	if holder.Zero() {
		return rejected(reasonNoOwner, ownerRetry)
	}
	a.instance = holder.Instance
	return n.send(ctx, req, holder.Instance)
}

// sendToAny sends the request to the upstream with the lowest expected delay. It returns nil if there is none left.
func (n *Node) sendToAny(ctx context.Context, req *sequoiarouter.Request, a *attempt) *sequoiarouter.Response {
	m, ok := n.directory.choose(req.Service, a.tried)
	if !ok {
		return nil
	}
	a.tried[m.Instance] = true
	a.instance = m.Instance
	return n.send(ctx, req, m.Instance)
}

func (n *Node) send(ctx context.Context, req *sequoiarouter.Request, instance string) *sequoiarouter.Response {
	n.directory.begin(instance)
	if instance == n.id.Instance {
		resp := n.serveLocal(ctx, req)
		n.directory.end(instance, resp)
		return resp
	}
	addr, ok := n.directory.address(instance)
	if !ok {
		n.directory.end(instance, nil)
		return rejected(reasonUnreachable, ownerRetry)
	}
	resp, err := n.forwarder.Forward(ctx, addr, req)
	if err == nil {
		n.directory.end(instance, resp)
		n.noteRevision(instance, resp.LogIndex)
		return resp
	}
	n.directory.end(instance, nil)
	if ctx.Err() == nil && showsUnreachable(err, time.Until(req.Deadline)) && n.directory.unreachable(instance) {
		n.log.Event("process unreachable", "Member", instance, "RequestID", req.RequestID, "Error", err)
		go n.probe(instance, addr)
	}
	return forwardFailed(ctx, err)
}

// showsUnreachable reports whether a failed request is evidence that the process does not answer. One whose own time ran
// out is not: the upstream may be slow.
func showsUnreachable(err error, remaining time.Duration) bool {
	if errors.Is(err, sequoiapeer.ErrSilent) || errors.Is(err, sequoiapeer.ErrConnectionLost) {
		return true
	}
	return errors.Is(err, sequoiapeer.ErrNotSent) && remaining > 0
}

// forwardFailed judges a request that another process has not answered.
func forwardFailed(ctx context.Context, err error) *sequoiarouter.Response {
	reason := reasonConnectionLost
	switch {
	case errors.Is(err, sequoiapeer.ErrNotSent):
		return rejected(reasonUnreachable, ownerRetry)
	case errors.Is(ctx.Err(), context.Canceled):
		reason = reasonCancelled
	case errors.Is(err, context.DeadlineExceeded):
		reason = reasonDeadline
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reason}
}

// probe asks a process that could not be reached until it answers, so that no request has to find out.
func (n *Node) probe(instance string, addr netip.AddrPort) {
	began := time.Now()
	for time.Since(began) < maxUnreachable {
		_ = sequoiatimer.Sleep(context.Background(), probeInterval)
		if _, ok := n.balancer.ask(context.Background(), sequoiaowner.Member{Instance: instance, Address: addr}); ok {
			n.log.Event("process reached again", "Member", instance, "After", time.Since(began).Milliseconds())
			break
		}
	}
	n.directory.reached(instance)
}

// newerTable gets a table that is at least as new as that of the process that refused the request for its key. The one
// with the older table may be this process or the other. It reports whether the request may be sent again.
func (n *Node) newerTable(ctx context.Context, instance string, revision uint64) bool {
	if _, known := n.table(); known < revision {
		n.fetchTable(ctx, instance)
		return true
	}
	if u, ok := n.updateSince(revision); ok {
		n.sendUpdate(context.WithoutCancel(ctx), u, []string{instance})
	}
	return sequoiatimer.Sleep(ctx, tableWait) == nil
}

func (n *Node) memberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.core.Members())
}

// finish writes the response to the client and logs the request's end. req is nil if the request could not be read.
func (n *Node) finish(
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
	if n.stopping.Load() {
		h.Set("Connection", "close")
	}
	sequoiafront.WriteResponse(w, r, status, body)
	n.record(r, req, resp, status, time.Since(began))
}

// record counts and logs the end of a client's request.
func (n *Node) record(
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

// failureStatus returns 503 only for a request that has not run and never will.
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

package sequoianode

import (
	"context"
	"io"
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
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// grantWait bounds the wait of a request whose key is being granted or moved, 350 ms: a move lasts about as long as
	// the requests that run on its keys.
	grantWait = 350 * time.Millisecond
	// leaveShare is the part of the drain time after which a leaving upstream gets nothing more.
	leaveShare = 0.6
	// unsafeIdle is how long a connection to the upstream may have been idle for a request that must not run twice,
	// 1.5 s. The loss of such a connection cannot be told from the loss of the response.
	unsafeIdle = 1500 * time.Millisecond
)

func formatKey(key sequoiakeyspace.Key) string { return strconv.Itoa(int(key)) }

// serveForwarded takes what other processes send: clients' requests, and messages on the balance of load.
func (n *Node) serveForwarded(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	if req.Service == peerService {
		return n.servePeer(ctx, req)
	}
	if n.outlives(req.Deadline) {
		return n.notRun(reasonStopping, ownerRetry)
	}
	n.front.AddInProgress(1)
	defer n.front.AddInProgress(-1)
	return n.serveLocal(ctx, req)
}

// serveLocal runs a request on the local upstream.
func (n *Node) serveLocal(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	var key sequoiakeyspace.Key
	if req.Key != "" {
		v, err := strconv.ParseUint(req.Key, 10, 16)
		if err != nil {
			return n.notRun(reasonBadRequest, 0)
		}
		key = sequoiakeyspace.Key(v)
		if resp := n.awaitGrant(ctx, req.Service, key); resp != nil {
			return resp
		}
	}
	t, reason, retryAfter := n.admit(ctx, req)
	if reason != "" {
		n.meterRejected(req, key, reason)
		return n.notRun(reason, retryAfter)
	}
	resp := n.callUpstream(ctx, req)
	n.mu.Lock()
	defer n.mu.Unlock()
	took := n.queue.Done(time.Now(), t, resp.Outcome == sequoiarouter.Answered)
	if req.Key != "" && resp.Outcome == sequoiarouter.Answered {
		n.meter.Add(key, took)
	}
	resp.Load = n.loadLocked()
	_, resp.LogIndex = n.core.Table()
	return resp
}

// meterRejected counts the work of a request that was rejected for lack of room as load of its key. Otherwise the load of
// a full upstream would seem to be no more than it can do.
func (n *Node) meterRejected(req *sequoiarouter.Request, key sequoiakeyspace.Key, reason string) {
	if req.Key == "" || reason != sequoiaadmission.ReasonBusy && reason != sequoiaadmission.ReasonFull {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meter.Add(key, n.queue.MeanDuration())
}

func (n *Node) notRun(reason string, retryAfter time.Duration) *sequoiarouter.Response {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, revision := n.core.Table()
	return &sequoiarouter.Response{
		Outcome: sequoiarouter.NotRun, Reason: reason, RetryAfter: retryAfter, LogIndex: revision, Load: n.loadLocked(),
	}
}

// awaitGrant waits until the local upstream holds the key, if it is about to. It returns nil once it does.
func (n *Node) awaitGrant(ctx context.Context, service string, key sequoiakeyspace.Key) *sequoiarouter.Response {
	reason := ""
	decided := n.awaitOwnership(ctx, grantWait, func() bool {
		if _, holds := n.core.Holds(sequoiatimer.BootTime(), service, key); holds {
			return true
		}
		if !n.core.AssignedHere(service, key) {
			reason = reasonNotOwner
		} else if !n.core.CanGrant() {
			reason = reasonNoOwner
		}
		return reason != ""
	})
	switch {
	case !decided:
		return n.notRun(reasonNoOwner, ownerRetry)
	case reason != "":
		return n.notRun(reason, ownerRetry)
	}
	return nil
}

// awaitOwnership waits until met returns true, which is called with mu held, at first and after each change of ownership.
// It returns false if the time runs out.
func (n *Node) awaitOwnership(ctx context.Context, limit time.Duration, met func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		n.mu.Lock()
		ok := met()
		changed := n.changed
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

// admit waits until the request may run. The reason is empty if it may.
func (n *Node) admit(ctx context.Context, req *sequoiarouter.Request) (*sequoiaadmission.Ticket, string, time.Duration) {
	type start struct {
		reason     string
		retryAfter time.Duration
	}
	started := make(chan start, 1)
	now := time.Now()
	t := &sequoiaadmission.Ticket{
		Class: req.Route, Priority: req.Priority, Arrived: now, Deadline: req.Deadline,
		Objective:  objective(now, req),
		OnDecision: func(reason string, retryAfter time.Duration) { started <- start{reason, retryAfter} },
	}
	n.mu.Lock()
	u := n.core.Upstream()
	leaving := !n.leftAt.IsZero() && time.Since(n.leftAt) > time.Duration(leaveShare*float64(n.id.Drain))
	if u.ID == "" || u.Lost || leaving || u.Service != req.Service {
		n.mu.Unlock()
		return nil, reasonLeaving, ownerRetry
	}
	n.queue.Submit(now, t)
	n.mu.Unlock()
	select {
	case s := <-started:
		return t, s.reason, s.retryAfter
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.queue.Remove(t) {
		n.queue.Done(now, t, false)
	}
	return nil, reasonCancelled, 0
}

// objective returns when the response loses part of its value. The time on the way between processes is not known, and
// is short.
func objective(now time.Time, req *sequoiarouter.Request) time.Time {
	if req.Objective <= 0 {
		return req.Deadline
	}
	if o := now.Add(req.Objective); o.Before(req.Deadline) {
		return o
	}
	return req.Deadline
}

// callUpstream sends the request to the local upstream and judges the response.
func (n *Node) callUpstream(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	n.mu.Lock()
	u := n.core.Upstream()
	n.mu.Unlock()
	remaining := time.Until(req.Deadline)
	if remaining <= 0 {
		return rejected(reasonDeadline, 0)
	}
	h := http.Header(maps.Clone(req.Header))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // Without it net/http would add its own.
	}
	n.dialect.PrepareUpstream(h, UpstreamCall{Remaining: remaining, Upstream: u.ID, Origin: req.Origin})
	call := &sequoiahttp.Request{
		Method: req.Method, Path: req.Path, Host: req.Host, Header: h, Body: req.Body,
		Matches: func(h http.Header) bool {
			id := n.dialect.RequestID(h)
			return id == "" || id == req.RequestID
		},
	}
	if !req.Repeatable {
		call.MaxIdle = unsafeIdle
	}
	resp, err := n.upstream.Do(ctx, n.id.Upstream, call)
	if err != nil {
		return n.upstreamFailed(ctx, req, err)
	}
	n.withCore(func(c *sequoiaowner.Core) { c.MarkAlive(sequoiatimer.BootTime()) })
	v := n.dialect.ReadResponse(resp.Status, resp.Header)
	switch {
	case v.NotRun || v.WrongUpstream:
		n.log.Event("upstream refused a request", "RequestID", req.RequestID, "Status", resp.Status, "Key", req.Key)
		return rejected(reasonUpstreamRefused, ownerRetry)
	case !v.Signed && resp.Status < http.StatusMultipleChoices:
		n.log.Event("upstream's response has no signature", "RequestID", req.RequestID, "Status", resp.Status)
		return &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reasonUpstreamFailed}
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: resp.Status, Header: resp.Header, Body: resp.Body}
}

// upstreamFailed judges an exchange without a response.
func (n *Node) upstreamFailed(ctx context.Context, req *sequoiarouter.Request, err error) *sequoiarouter.Response {
	if ctx.Err() == nil {
		n.log.Event("upstream failed", "RequestID", req.RequestID, "NotSent", sequoiahttp.NotSent(err), "Error", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.withCore(func(c *sequoiaowner.Core) { c.MarkUpstreamLost() })
			n.memberChanged()
		}
	}
	if sequoiahttp.NotSent(err) {
		return rejected(reasonUnreachable, ownerRetry)
	}
	reason := reasonConnectionLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = reasonDeadline
	case ctx.Err() != nil:
		reason = reasonCancelled
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reason}
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	status := http.StatusServiceUnavailable
	if r.URL.Path == n.dialect.ReadyPath && n.ready.Load() && !n.stopping.Load() && n.config.Load() != nil {
		status = http.StatusOK
	}
	sequoiafront.WriteResponse(w, r, status, nil)
}

// serveAnnouncement takes what the local upstream says of itself. The acknowledgement binds this process alone: it is
// the only one that sends requests to the upstream.
func (n *Node) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		sequoiafront.WriteResponse(w, r, http.StatusBadRequest, nil)
		return
	}
	a, ok, err := n.dialect.ReadAnnouncement(r, body)
	switch {
	case !ok:
		sequoiafront.WriteResponse(w, r, http.StatusNotFound, nil)
		return
	case err != nil:
		n.log.Event("announcement rejected", "Error", err)
		sequoiafront.WriteResponse(w, r, http.StatusBadRequest, []byte(err.Error()+"\n"))
		return
	}
	n.takeAnnouncement(a)
	w.Header().Set("Content-Type", "application/json")
	sequoiafront.WriteResponse(w, r, http.StatusOK, []byte("{}"))
}

func (n *Node) takeAnnouncement(a Announcement) {
	n.mu.Lock()
	now := sequoiatimer.BootTime()
	old := n.core.Upstream()
	same := old.ID == a.Upstream.ID && (a.Gone || old.Born == a.Upstream.Born)
	if a.Gone {
		if !same {
			n.mu.Unlock()
			return
		}
		a.Upstream = old
		a.Upstream.Leaving = true
	} else if a.Upstream.Service != n.id.Service || a.Address.IsValid() && a.Address != n.id.Upstream || same && a.Sequence <= n.sequence {
		n.mu.Unlock()
		return
	}
	if !n.core.SetUpstream(now, a.Upstream) {
		n.mu.Unlock()
		return
	}
	if !a.Gone {
		n.sequence = a.Sequence
		n.queue.SetSlots(a.Upstream.Slots)
	}
	u := n.core.Upstream()
	if !same {
		n.leftAt = time.Time{}
		n.warm = time.Now().Add(a.Warming)
	}
	if u.Leaving && n.leftAt.IsZero() {
		n.leftAt = time.Now()
	}
	changed := u != old
	n.mu.Unlock()
	if changed {
		n.log.Event("upstream announced", "Upstream", u.ID, "Born", u.Born, "Slots", u.Slots, "Leaving", u.Leaving, "Gone", a.Gone)
		n.memberChanged()
	}
}

// memberChanged makes this process's entry in the store follow the local upstream.
func (n *Node) memberChanged() {
	if n.registration != nil {
		n.registration.Changed()
	}
}

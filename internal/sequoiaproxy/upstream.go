package sequoiaproxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// runLocal waits for admission and calls the local upstream.
func (p *Proxy) runLocal(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	admitted := make(chan sequoiarouter.Admission, 1)
	cancel := p.router.Admit(time.Now(), req, func(a sequoiarouter.Admission) { admitted <- a })
	var a sequoiarouter.Admission
	select {
	case a = <-admitted:
	case <-ctx.Done():
		cancel(time.Now())
		a = <-admitted
	}
	if a.Response != nil {
		return a.Response
	}
	resp := p.callUpstream(ctx, a.Ticket, req)
	p.router.Finish(time.Now(), a.Ticket, resp)
	return resp
}

func (p *Proxy) callUpstream(
	ctx context.Context, t *sequoiarouter.Ticket, req *sequoiarouter.Request,
) *sequoiarouter.Response {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	resp, err := p.upstream.Do(ctx, t.Address, upstreamRequest(t, req, time.Now()))
	if err != nil {
		return failureResponse(ctx, err)
	}
	if refused := resp.Header.Get(headerRefused); refused != "" {
		return refusalResponse(refused)
	}
	h := forwardedHeader(resp.Header)
	if n := resp.Header.Get("Content-Length"); req.Method == http.MethodHead && n != "" {
		h.Set("Content-Length", n)
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: resp.Status, Header: h, Body: resp.Body}
}

func failureResponse(ctx context.Context, err error) *sequoiarouter.Response {
	resp := &sequoiarouter.Response{Outcome: sequoiarouter.Unknown}
	if sequoiahttp.NotSent(err) {
		resp.Outcome = sequoiarouter.NotRun
	}
	switch {
	case errors.Is(err, sequoiahttp.ErrResponseTooLarge), errors.Is(err, sequoiahttp.ErrNotDelimited),
		errors.Is(err, sequoiahttp.ErrProtocolSwitch), errors.Is(err, sequoiahttp.ErrMalformedResponse):
		resp.Reason = sequoiarouter.ReasonBadResponse
	default:
		resp.Reason = failureReason(ctx, sequoiarouter.ReasonUpstreamFailed)
	}
	return resp
}

func failureReason(ctx context.Context, reason string) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return sequoiarouter.ReasonDeadlinePassed
	case ctx.Err() != nil:
		return sequoiarouter.ReasonCancelled
	}
	return reason
}

// refusalResponse returns the response for a value of Sequoia-Refused. Only the specified values prove that the request
// was not run.
func refusalResponse(refused string) *sequoiarouter.Response {
	switch refused {
	case sequoiarouter.ReasonStaleGrant, sequoiarouter.ReasonShed, sequoiarouter.ReasonDraining,
		sequoiarouter.ReasonDeadlinePassed:
		return &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: refused}
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: sequoiarouter.ReasonBadResponse}
}

func upstreamRequest(t *sequoiarouter.Ticket, req *sequoiarouter.Request, now time.Time) *sequoiahttp.Request {
	h := forwardedHeader(req.Header)
	if req.Key != "" {
		h.Set(headerKey, req.Key)
	}
	if req.RequestID != "" {
		h.Set(headerRequestID, req.RequestID)
	}
	h.Set(headerEpoch, strconv.FormatUint(uint64(t.Epoch), 10))
	h.Set(headerIncarnation, t.Incarnation.String())
	// The wall clock may have been set since the deadline was computed, so the header is the current wall clock time plus
	// the remaining time.
	h.Set(headerDeadline, strconv.FormatInt(now.Add(t.Deadline.Sub(now)).UnixMilli(), 10))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return &sequoiahttp.Request{
		Method: req.Method, Path: req.Path, Host: hostOf(req.Header), Header: h, Body: req.Body,
		Refusal: func(_ int, h http.Header) bool { return h.Get(headerRefused) != "" },
	}
}

func hostOf(h map[string][]string) string {
	if v := h["Host"]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// forwardedHeader copies the headers that may pass through the proxy. Host is set separately. Sequoia headers are
// dropped because only the proxy may set them. So are their spellings with underscores, which some servers treat as
// equal.
func forwardedHeader(in map[string][]string) http.Header {
	named := sequoiafront.NamedByConnection(in)
	out := make(http.Header, len(in)+6)
	for k, vs := range in {
		c := http.CanonicalHeaderKey(k)
		if c == "Host" || sequoiafront.HopByHop(c) || named[c] || isReservedHeader(c) {
			continue
		}
		out[c] = append(out[c], vs...)
	}
	return out
}

func isReservedHeader(name string) bool {
	return strings.HasPrefix(strings.ToLower(strings.ReplaceAll(name, "_", "-")), headerPrefix)
}

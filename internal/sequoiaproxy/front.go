package sequoiaproxy

import (
	"cmp"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Sequoia-specific HTTP headers.
const (
	headerPrefix       = "sequoia-"
	headerKey          = "Sequoia-Key"
	headerRequestID    = "Sequoia-Request-Id"
	headerFirstEpoch   = "Sequoia-First-Epoch"
	headerFirstAttempt = "Sequoia-First-Attempt"
	headerRepeatable   = "Sequoia-Repeatable"
	headerTimeout      = "Sequoia-Timeout-Milliseconds"
	headerOutcome      = "Sequoia-Outcome"
	headerEpoch        = "Sequoia-Epoch"
	headerOwner        = "Sequoia-Owner"
	headerReason       = "Sequoia-Reason"
	headerLogIndex     = "Sequoia-Log-Index"
	headerIncarnation  = "Sequoia-Incarnation"
	headerDeadline     = "Sequoia-Deadline"
	headerRefused      = "Sequoia-Refused"
)

// Limits on requests of callers.
const (
	maxKeyBytes = 1024 // for keys and request identifiers
)

// ListenCallers starts the listener for callers and returns its address.
func (p *Proxy) ListenCallers(addr netip.AddrPort) (netip.AddrPort, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/stamp", p.serveStamp)
	mux.HandleFunc("GET /v1/table", p.serveTable)
	// Requests to services bypass the mux, which would redirect paths that it considers unclean.
	return p.server.Listen(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, servicePrefix) {
			p.serveRequest(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	}), sequoiafront.WithRepeatable(isRepeatable))
}

// ListenUpstream starts the listener for the local upstream's announcements and returns its address.
func (p *Proxy) ListenUpstream(addr netip.AddrPort) (netip.AddrPort, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", p.serveAnnounce)
	return p.server.Listen(addr, mux)
}

const servicePrefix = "/s/"

func (p *Proxy) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, err := p.parseRequest(r)
	if err != nil {
		p.metrics.badRequests.Inc()
		writeResponse(w, r, &sequoiarouter.Response{
			Outcome: sequoiarouter.NotRun, Reason: sequoiarouter.ReasonBadRequest, Body: []byte(err.Error() + "\n"),
		})
		return
	}
	resp := p.Do(r.Context(), req)
	if r.Context().Err() != nil {
		return
	}
	if req.RequestID != "" && req.FirstEpoch != 0 {
		w.Header().Set(headerFirstEpoch, strconv.FormatUint(uint64(req.FirstEpoch), 10))
	}
	writeResponse(w, r, resp)
}

// isRepeatable reports whether a caller allows more than one run of a request.
func isRepeatable(r *http.Request) bool {
	repeatable, err := parseFlag(r.Header, headerRepeatable)
	return err == nil && repeatable && strings.HasPrefix(r.RequestURI, servicePrefix)
}

// parseRequest parses a caller's request.
func (p *Proxy) parseRequest(r *http.Request) (*sequoiarouter.Request, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.RequestURI, servicePrefix), "/")
	if service == "" || strings.ContainsAny(service, "?#%") {
		return nil, errors.Errorf("path %q: want /s/<service>/<path>", r.RequestURI)
	}
	req := &sequoiarouter.Request{
		Service: service, Path: "/" + path, Method: r.Method, Header: r.Header,
		Key: r.Header.Get(headerKey), RequestID: r.Header.Get(headerRequestID),
	}
	if len(req.Key) > maxKeyBytes || len(req.RequestID) > maxKeyBytes {
		return nil, errors.Errorf("%s and %s: want at most %d bytes", headerKey, headerRequestID, maxKeyBytes)
	}
	if r.Method == http.MethodConnect {
		return nil, errors.New("method CONNECT cannot be forwarded")
	}
	if err := p.parseOptions(req, r.Header, sequoiafront.Arrival(r)); err != nil {
		return nil, err
	}
	body, err := sequoiafront.ReadBody(r)
	if err != nil {
		return nil, errors.Wrap(err, "read the body")
	}
	if limit := p.router.Limits(req.Service).MaximumBodyBytes; limit > 0 && int64(len(body)) > limit {
		return nil, errors.Errorf("the body has %d bytes; allowed: %d", len(body), limit)
	}
	req.Body = body
	return req, nil
}

func (p *Proxy) parseOptions(req *sequoiarouter.Request, h http.Header, arrival time.Time) error {
	if v := h.Get(headerFirstEpoch); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return errors.Errorf("%s %q: want an unsigned number", headerFirstEpoch, v)
		}
		req.FirstEpoch = sequoiatable.Epoch(n)
	}
	var err error
	if req.Repeatable, err = parseFlag(h, headerRepeatable); err != nil {
		return err
	}
	if req.FirstAttempt, err = parseFlag(h, headerFirstAttempt); err != nil {
		return err
	}
	limits := p.router.Limits(req.Service)
	timeout := cmp.Or(limits.Timeout, p.timeout)
	if v := h.Get(headerTimeout); v != "" {
		n, err := strconv.ParseUint(v, 10, 31)
		if err != nil || n == 0 {
			return errors.Errorf("%s %q: want a positive number", headerTimeout, v)
		}
		timeout = time.Duration(n) * time.Millisecond
	}
	req.Deadline = arrival.Add(min(timeout, p.maxTimeout))
	return nil
}

// parseFlag parses a boolean header. A missing or empty header is false.
func parseFlag(h http.Header, name string) (bool, error) {
	switch v := h.Get(name); v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, errors.Errorf("%s %q: want true or false", name, v)
	}
}

// writeResponse writes the response to a caller's request, with the Sequoia headers.
func writeResponse(w http.ResponseWriter, r *http.Request, resp *sequoiarouter.Response) {
	h := w.Header()
	for k, vs := range resp.Header {
		h[k] = vs
	}
	h.Set(headerOutcome, resp.Outcome.String())
	h.Set(headerEpoch, strconv.FormatUint(uint64(resp.Epoch), 10))
	h.Set(headerLogIndex, strconv.FormatUint(resp.LogIndex, 10))
	if resp.Owner != 0 {
		h.Set(headerOwner, resp.Owner.String())
	}
	if resp.Reason != "" {
		h.Set(headerReason, resp.Reason)
	}
	status, body := resp.Status, resp.Body
	if resp.Outcome != sequoiarouter.Answered {
		status = failureStatus(resp)
		if len(body) == 0 {
			body = []byte(resp.Outcome.String() + " " + resp.Reason + "\n")
		}
	}
	sequoiafront.WriteResponse(w, r, status, body)
}

// failureStatus returns the HTTP status for an outcome other than Answered. It distinguishes errors in the request
// itself from failures after which another attempt may succeed.
func failureStatus(resp *sequoiarouter.Response) int {
	if resp.Outcome == sequoiarouter.Unknown {
		return http.StatusGatewayTimeout
	}
	if resp.Reason == sequoiarouter.ReasonBadRequest {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

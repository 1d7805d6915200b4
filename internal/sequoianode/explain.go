package sequoianode

import (
	"cmp"
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaspread"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// ExplainPath is the path on the metrics address at which a process explains where a request would go.
const ExplainPath = "/explain"

const (
	// maxExplainedText limits the host and the path of an explained request, in bytes.
	maxExplainedText = 2048
	// maxExplainedUpstreams limits each list of upstreams in an explanation, and maxExplainedServices that of services.
	maxExplainedUpstreams = 128
	maxExplainedServices  = 16
)

// What a process would do with a request.
const (
	ActionSend   = "Send"
	ActionWait   = "Wait"
	ActionRefuse = "Refuse"
)

// What an explanation says of the quarantine.
const (
	// QuarantineEmpty means that no request is known to crash upstreams.
	QuarantineEmpty = "Empty"
	// QuarantineUnknown means that some requests are, and that it is not known whether the explained one is among them:
	// this also depends on its method, headers and body.
	QuarantineUnknown = "Unknown"
)

// Reasons for which an upstream is left out, besides reasonUnreachable and reasonLeaving.
const (
	leftOutLost      = "Lost"
	leftOutEvacuated = "Evacuated"
	leftOutCold      = "Cold"
)

// reasonBodyTooLarge is the reason for which a request with a body above the limit of the configuration is refused.
const reasonBodyTooLarge = "BodyTooLarge"

// errExplain reports a malformed question.
var errExplain = errors.New("malformed question")

// Explanation describes where a process would send a request now. If Error is not empty, it could not find out.
type Explanation struct {
	Error, Detail        string `json:",omitempty"`
	Instance, Domain     string
	ConfigurationVersion uint64
	// Quarantine is QuarantineEmpty or QuarantineUnknown.
	Quarantine string
	Route      string
	// Services are the services that share the route's requests, each with what holds for a request that it gets.
	Services []ExplainedService
}

// ExplainedService describes what a process would do with a request that a service gets.
type ExplainedService struct {
	Service string
	// Weight is the weight of the service in the route's split.
	Weight int
	// Keyed is true if the service is divided by key.
	Keyed bool
	// Action is ActionSend, ActionWait or ActionRefuse, Reason why a request waits or is refused, and Target the instance
	// to whose upstream it is sent.
	Action, Reason, Target string
	Key                    *ExplainedKey       `json:",omitempty"`
	Choice                 *ExplainedChoice    `json:",omitempty"`
	Candidates             []ExplainedUpstream `json:",omitempty"`
	LeftOut                []ExplainedUpstream `json:",omitempty"`
	// Omitted is the number of candidates and upstreams left out that the lists do not show.
	Omitted int `json:",omitempty"`
}

// ExplainedKey describes the range of keys that a key belongs to, and its holder.
type ExplainedKey struct {
	Key, From, To    sequoiakeyspace.Key
	Holder, Upstream string
	Fence            sequoiakeyspace.Fence
	TableRevision    uint64
	// Known is true if the holder is among the members, and the following fields describe it as this process knows it.
	Known, Reachable, Leaving, Evacuated, Cold bool
}

// ExplainedChoice describes the choice between the best upstreams in the failure domain and outside.
type ExplainedChoice struct {
	Chosen string
	Leaves bool
	// Compare is true if there are candidates in the failure domain and outside, so that leaving was weighed.
	Compare bool
	// GainMilliseconds is what leaving the failure domain gains, and CostMilliseconds what it must gain.
	GainMilliseconds, CostMilliseconds float64
	// Sampled is true if a request is compared with a random sample of the candidates only. The chosen one is then the best
	// of all, and a request may go to another one.
	Sampled bool
}

// ExplainedUpstream describes an upstream as the process knows it.
type ExplainedUpstream struct {
	Instance, Domain string
	// Reason is why the upstream is left out, empty for a candidate.
	Reason             string `json:",omitempty"`
	FinishMilliseconds float64
	Outstanding        int
	Running, Waiting   int
	Slots              int
	// Reported is true if the upstream has reported its load, AgeMilliseconds ago.
	Reported        bool
	AgeMilliseconds float64
}

// question is a request to explain.
type question struct {
	host, path string
	key        sequoiakeyspace.Key
	hasKey     bool
	bodyBytes  int
}

// readQuestion decodes the query of a call of ExplainPath.
func readQuestion(query url.Values) (q question, err error) {
	q.host, q.path = query.Get("host"), query.Get("path")
	switch {
	case q.host == "" || len(q.host) > maxExplainedText:
		return q, errors.Wrapf(errExplain, "host: want a name of up to %d bytes", maxExplainedText)
	case q.path == "" || q.path[0] != '/' || len(q.path) > maxExplainedText:
		return q, errors.Wrapf(errExplain, "path: want a path of up to %d bytes that begins with a slash", maxExplainedText)
	}
	if v := query.Get("key"); v != "" {
		if q.key, err = parseKey(v); err != nil {
			return q, errors.Wrapf(errExplain, "key: want a number from 0 to %d", sequoiakeyspace.MaxKey)
		}
		q.hasKey = true
	}
	if v := query.Get("bytes"); v != "" {
		n, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return q, errors.Wrap(errExplain, "bytes: want the size of the body")
		}
		q.bodyBytes = int(n)
	}
	return q, nil
}

// serveControl handles the requests at the metrics address.
func (n *Node) serveControl() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(ExplainPath, n.serveExplain)
	mux.Handle("/", n.metrics.handler())
	return mux
}

// serveExplain explains where a request would go. It sends nothing and changes no state.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		writeExplanation(w, http.StatusMethodNotAllowed, Explanation{Error: "MethodNotAllowed"})
		return
	}
	q, err := readQuestion(r.URL.Query())
	if err != nil {
		writeExplanation(w, http.StatusBadRequest, Explanation{Error: reasonBadRequest, Detail: err.Error()})
		return
	}
	e := n.explain(time.Now(), q)
	status := http.StatusOK
	switch e.Error {
	case reasonNoConfiguration:
		status = http.StatusServiceUnavailable
	case reasonNoRoute:
		status = http.StatusNotFound
	}
	writeExplanation(w, status, e)
}

func writeExplanation(w http.ResponseWriter, status int, e Explanation) {
	b, err := json.Marshal(e)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// explain returns where a request would go now.
func (n *Node) explain(now time.Time, q question) Explanation {
	e := Explanation{Instance: n.settings.Instance, Domain: n.settings.Domain, Quarantine: QuarantineEmpty}
	if !n.quarantine.empty() {
		e.Quarantine = QuarantineUnknown
	}
	cfg := n.config.Load()
	if cfg == nil {
		e.Error, e.Detail = reasonNoConfiguration, "the process has not read a configuration yet"
		return e
	}
	e.ConfigurationVersion = cfg.Version
	route, ok := cfg.Find(q.host, q.path)
	if !ok {
		e.Error, e.Detail = reasonNoRoute, "no route of the configuration matches the host and the path"
		return e
	}
	e.Route = route.Name
	for _, target := range route.Split[:min(len(route.Split), maxExplainedServices)] {
		s := n.explainService(now, q, cfg, route, target.Service)
		s.Weight = target.Weight
		e.Services = append(e.Services, s)
	}
	return e
}

// explainService returns what the process would do with a request that a service gets.
func (n *Node) explainService(
	now time.Time, q question, cfg *sequoiaroute.Configuration, route *sequoiaroute.Route, service string,
) ExplainedService {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	req := &sequoiarouter.Request{Service: service, Route: route.Name, Objective: route.Objective, Deadline: now.Add(timeout)}
	s := ExplainedService{Service: service, Keyed: cfg.Services[service].Keyed}
	if s.Keyed && q.hasKey {
		n.explainKey(now, req, q.key, &s)
	}
	if !s.Keyed {
		n.directory.explain(now, req, q.bodyBytes, &s)
		if s.Target == n.settings.Instance {
			n.explainLocal(now, req, &s)
		}
	}
	switch limit := cfg.Limits.MaxBodyBytes; {
	case limit > 0 && q.bodyBytes > limit || q.bodyBytes > maxBodyBytes:
		s.refuse(reasonBodyTooLarge)
	case s.Keyed && !q.hasKey:
		s.refuse(reasonBadRequest)
	case n.exceedsStopDeadline(req.Deadline):
		s.refuse(reasonStopping)
	}
	return s
}

func (s *ExplainedService) refuse(reason string) {
	s.Action, s.Reason, s.Target = ActionRefuse, reason, ""
}

// explainKey describes the holder of a key and what the process would do with a request for it, as sendToOwner does.
func (n *Node) explainKey(now time.Time, req *sequoiarouter.Request, key sequoiakeyspace.Key, s *ExplainedService) {
	t, revision := n.table()
	k := &ExplainedKey{Key: key, TableRevision: revision}
	s.Key = k
	if t != nil {
		r, _ := t.Find(req.Service, key)
		k.From, k.To, k.Fence, k.Holder, k.Upstream = r.From, r.To, r.Fence, r.Holder.Instance, r.Holder.Upstream
	}
	if k.Holder == "" && k.Upstream == "" {
		s.refuse(reasonNoOwner)
		return
	}
	drained := n.directory.explainHolder(now, k)
	req.Key = formatKey(key)
	s.Action, s.Target = ActionSend, k.Holder
	switch {
	case drained:
		s.refuse(reasonLeaving)
	case k.Holder == n.settings.Instance:
		n.explainGrant(req, key, s)
		if s.Action != ActionRefuse {
			n.explainLocal(now, req, s)
		}
	case !k.Reachable:
		s.refuse(reasonUnreachable)
	}
}

// explainGrant describes whether the local upstream holds a key that is assigned to it, as awaitGrant does.
func (n *Node) explainGrant(req *sequoiarouter.Request, key sequoiakeyspace.Key, s *ExplainedService) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, holds := n.core.Holds(sequoiatimer.BootTime(), req.Service, key); holds {
		return
	}
	_, settling := n.core.AwaitsSettling(sequoiatimer.BootTime(), req.Service, key)
	switch {
	case !n.core.AssignedHere(req.Service, key):
		s.refuse(reasonNotOwner)
	case !n.core.CanGrant() || settling:
		s.refuse(reasonNoOwner)
	default:
		s.Action, s.Reason = ActionWait, "Grant"
	}
}

// explainLocal refuses a request that the local upstream may not be sent.
func (n *Node) explainLocal(now time.Time, req *sequoiarouter.Request, s *ExplainedService) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !n.acceptsLocked(req.Service) || n.refusesEvacuated(now, req):
		s.refuse(reasonLeaving)
	case s.Action == ActionSend && n.queue.Running() >= n.queue.Slots():
		s.Action, s.Reason = ActionWait, "Slot"
	}
}

// explainHolder describes the holder of a key, and reports whether it may get no more requests.
func (d *directory) explainHolder(now time.Time, k *ExplainedKey) (drained bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[k.Holder]
	if p == nil {
		return false
	}
	since, leaving := d.leaving[p.member.Holder()]
	k.Known, k.Reachable = true, !now.Before(p.unreachableUntil)
	k.Leaving, k.Evacuated = leaving || p.member.Upstream.Leaving, d.avoids(p)
	k.Cold = d.warmupRates[p.member.Upstream.Service] > 0 && now.Before(p.coldUntil)
	return leaving && now.Sub(since) > d.settings.drainLimit() || d.closed(now, p)
}

// explain describes the choice among the upstreams of a service for a request without a key.
func (d *directory) explain(now time.Time, req *sequoiarouter.Request, bodyBytes int, s *ExplainedService) {
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := d.candidates(now, req.Service, nil)
	// A cold upstream counts as left out unless it may take all requests.
	peers := d.withoutCold(now, req.Service, usable, func() float64 { return math.Nextafter(1, 0) })
	candidates := d.spreadCandidates(now, peers, bodyBytes)
	expected := d.usage.expect(req)
	expected.BodyBytes = bodyBytes
	decision := d.chooser.Compare(candidates, expected)
	for i, p := range peers {
		u := p.explained(now)
		u.FinishMilliseconds = milliseconds(sequoiaspread.ExpectedFinish(&candidates[i], expected))
		s.Candidates = append(s.Candidates, u)
	}
	if decision.Chosen < 0 {
		s.refuse(reasonNoUpstream)
	} else {
		s.Action, s.Target = ActionSend, peers[decision.Chosen].member.Instance
		s.Choice = &ExplainedChoice{
			Chosen: s.Target, Leaves: peers[decision.Chosen].member.Domain != d.settings.Domain,
			Compare:          decision.Home >= 0 && decision.Away >= 0,
			GainMilliseconds: milliseconds(decision.Gain), CostMilliseconds: milliseconds(decision.Cost), Sampled: decision.Sampled,
		}
	}
	for _, p := range d.peers {
		if p.member.Upstream.Service == req.Service && !slices.Contains(peers, p) {
			u := p.explained(now)
			u.Reason = d.leftOut(now, p)
			s.LeftOut = append(s.LeftOut, u)
		}
	}
	s.limitLists()
}

// limitLists sorts the lists of upstreams and limits their lengths.
func (s *ExplainedService) limitLists() {
	for _, list := range []*[]ExplainedUpstream{&s.Candidates, &s.LeftOut} {
		slices.SortFunc(*list, func(a, b ExplainedUpstream) int {
			return cmp.Or(cmp.Compare(a.FinishMilliseconds, b.FinishMilliseconds), cmp.Compare(a.Instance, b.Instance))
		})
		s.Omitted += max(0, len(*list)-maxExplainedUpstreams)
		*list = (*list)[:min(len(*list), maxExplainedUpstreams)]
	}
}

// leftOut returns why requests without keys do not go to a peer. The caller must hold mu.
func (d *directory) leftOut(now time.Time, p *peer) string {
	_, leaving := d.leaving[p.member.Holder()]
	switch {
	case now.Before(p.unreachableUntil):
		return reasonUnreachable
	case leaving || p.member.Upstream.Leaving:
		return reasonLeaving
	case !p.usable(now):
		return leftOutLost
	case d.avoids(p):
		return leftOutEvacuated
	}
	return leftOutCold
}

// explained returns the peer's upstream for an explanation.
func (p *peer) explained(now time.Time) ExplainedUpstream {
	u := ExplainedUpstream{
		Instance: p.member.Instance, Domain: p.member.Domain, Outstanding: p.outstanding, Running: p.load.Running,
		Waiting: p.load.Waiting, Slots: p.member.Upstream.Slots, Reported: !p.loadReportedAt.IsZero(),
	}
	if u.Reported {
		u.AgeMilliseconds = milliseconds(now.Sub(p.loadReportedAt))
	}
	return u
}

// milliseconds returns a duration in milliseconds, rounded to a tenth.
func milliseconds(d time.Duration) float64 {
	return math.Round(float64(d)/float64(time.Millisecond)*10) / 10
}

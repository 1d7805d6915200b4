package sequoiarouter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Parameters of outlier ejection and slow start. An upstream is ejected after ejectFailures consecutive failures, first
// for ejectBase and then twice as long each time, up to ejectMax.
const (
	ejectFailures = 5
	ejectBase     = time.Second
	ejectMax      = 30 * time.Second
	// minSlowStart is the initial share of the load of a newly joined upstream.
	minSlowStart = 0.1
)

// Target is the destination of a request.
type Target struct {
	// Local is true for this process's own upstream.
	Local       bool
	Incarnation sequoiatable.IncarnationID
	// Forward is the address of the process that serves the chosen upstream.
	Forward netip.AddrPort
	Epoch   sequoiatable.Epoch
}

// peerState is an upstream's state as observed from this router's own requests.
type peerState struct {
	firstSeen    time.Time
	inFlight     int
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// effectiveKey returns the key that selects the owner. In a service that is not divided by key, a request without a key
// uses its identifier as key, so that a single owner retains it. A request with neither has no key.
func effectiveKey(s *sequoiatable.ServiceTable, req *Request) (string, bool) {
	if req.Key != "" {
		return req.Key, true
	}
	if !s.Divided && req.RequestID != "" {
		return req.RequestID, true
	}
	return "", false
}

// Route selects the target of a caller's request. Upstreams in tried are avoided if the request may be sent to any
// upstream. If there is no target, the response gives the reason.
func (r *Router) Route(now time.Time, req *Request, tried []sequoiatable.IncarnationID) (Target, *Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var none sequoiatable.Assignment
	if r.snapshot == nil {
		return Target{}, r.respond(NotRun, ReasonNoTable, none)
	}
	s := r.snapshot.Table.Service(req.Service)
	if s == nil || s.Withdrawn {
		return Target{}, r.respond(NotRun, ReasonServiceUnknown, none)
	}
	key, keyed := effectiveKey(s, req)
	if keyed {
		return r.routeToOwner(s.Lookup(key))
	}
	if s.Divided {
		return Target{}, r.respond(NotRun, ReasonKeyMissing, none)
	}
	return r.routeToAny(now, req.Service, tried)
}

func (r *Router) routeToOwner(a sequoiatable.Assignment) (Target, *Response) {
	if a.Owner == 0 {
		return Target{}, r.respond(NotRun, ReasonNoOwner, a)
	}
	t := Target{Local: a.Owner == r.snapshot.Self, Incarnation: a.Owner, Epoch: a.Epoch}
	if t.Local {
		return t, nil
	}
	m := r.snapshot.Table.Member(a.Owner)
	if m == nil || m.Revoked() {
		return Target{}, r.respond(NotRun, ReasonOwnerRevoked, a)
	}
	t.Forward = m.Forward
	return t, nil
}

func (r *Router) routeToAny(now time.Time, service string, tried []sequoiatable.IncarnationID) (Target, *Response) {
	var candidates, fallback []*sequoiatable.MemberState
	for _, m := range r.sample(service) {
		id := m.Incarnation
		if r.localUnusable(id) {
			continue
		}
		fallback = append(fallback, m)
		if p := r.peers[id]; !slices.Contains(tried, id) && (p == nil || !now.Before(p.ejectedUntil)) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		candidates = fallback
	}
	if len(candidates) == 0 {
		return Target{}, r.respond(NotRun, ReasonNoUpstream, sequoiatable.Assignment{})
	}
	m := r.lessLoaded(now, candidates)
	return Target{Local: m.Incarnation == r.snapshot.Self, Incarnation: m.Incarnation, Forward: m.Forward}, nil
}

// sampleSize is the maximum number of members that one selection examines. Choosing the better of two needs two members
// that are not ejected. At most half of a service is ejected, so 16 random members are all ejected in 1 of 65,536
// cases.
const sampleSize = 16

// sample returns the members of a service that may serve requests without a key, or a random sample if there are more
// than sampleSize.
func (r *Router) sample(service string) []*sequoiatable.MemberState {
	all := r.members[service]
	if len(all) <= sampleSize {
		return all
	}
	sampled := make([]*sequoiatable.MemberState, sampleSize)
	for i := range sampled {
		sampled[i] = all[r.cfg.rand.IntN(len(all))]
	}
	return sampled
}

// localUnusable reports whether id is this process and its upstream is gone or draining. Other processes learn of this
// only through log entries that change the table.
func (r *Router) localUnusable(id sequoiatable.IncarnationID) bool {
	if id != r.snapshot.Self {
		return false
	}
	return r.upstream == nil || r.upstream.draining || r.snapshot.Draining
}

// lessLoaded returns the less loaded of two random members (power of two choices).
func (r *Router) lessLoaded(now time.Time, ms []*sequoiatable.MemberState) *sequoiatable.MemberState {
	if len(ms) == 1 {
		return ms[0]
	}
	i := r.cfg.rand.IntN(len(ms))
	j := r.cfg.rand.IntN(len(ms) - 1)
	if j >= i {
		j++
	}
	if r.score(now, ms[j]) < r.score(now, ms[i]) {
		return ms[j]
	}
	return ms[i]
}

// score returns the member's relative load if it were sent one more request.
func (r *Router) score(now time.Time, m *sequoiatable.MemberState) float64 {
	inFlight, warmup := 0, 1.0
	if p := r.peers[m.Incarnation]; p != nil {
		inFlight = p.inFlight
		if r.cfg.slowStart > 0 {
			warmup = min(1, max(minSlowStart, float64(now.Sub(p.firstSeen))/float64(r.cfg.slowStart)))
		}
	}
	return float64(inFlight+1) / (float64(m.Slots) * warmup)
}

// updatePeers updates members and peers from the table. It is called once for each new log index.
func (r *Router) updatePeers(now time.Time) {
	first := len(r.peers) == 0
	r.members = map[string][]*sequoiatable.MemberState{}
	for _, id := range r.snapshot.Table.Members() {
		if m := r.snapshot.Table.Member(id); m.Service != "" && !m.Revoked() && m.Slots > 0 {
			r.members[m.Service] = append(r.members[m.Service], m)
		}
		if r.peers[id] != nil {
			continue
		}
		p := &peerState{firstSeen: now}
		if first {
			// The members of the first table were serving before this process started, so they need no slow start.
			p.firstSeen = now.Add(-r.cfg.slowStart)
		}
		r.peers[id] = p
	}
	for id, p := range r.peers {
		if r.snapshot.Table.Member(id) == nil && p.inFlight == 0 {
			delete(r.peers, id)
		}
	}
}

// BeginAttempt counts a request to a local or remote target as in flight until EndAttempt.
func (r *Router) BeginAttempt(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[t.Incarnation]; p != nil {
		p.inFlight++
	}
}

// EndAttempt records the response to an attempt and ejects the upstream after several consecutive failures.
func (r *Router) EndAttempt(now time.Time, t Target, resp *Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[t.Incarnation]
	if p == nil {
		return
	}
	p.inFlight--
	if !upstreamFault(resp) {
		p.failures, p.ejections = 0, 0
		return
	}
	p.failures++
	if p.failures >= ejectFailures && r.mayEject(now, t.Incarnation) {
		p.ejectedUntil = now.Add(min(ejectMax, ejectBase<<min(p.ejections, 5)))
		p.ejections++
		p.failures = 0
	}
}

// upstreamFault reports whether a response counts as a failure of the upstream. A cancellation or deadline of the
// caller and a decision based on the table do not.
func upstreamFault(resp *Response) bool {
	switch resp.Reason {
	case ReasonUnreachable, ReasonUpstreamFailed, ReasonBadResponse, ReasonNoUpstream, ReasonLeaseEnded, ReasonStaleGrant:
		return true
	}
	return false
}

// mayEject reports whether at least half of the service stays in use if the member is ejected. If most upstreams seem
// to fail, the cause is probably elsewhere.
func (r *Router) mayEject(now time.Time, id sequoiatable.IncarnationID) bool {
	if r.snapshot == nil || r.snapshot.Table.Member(id) == nil {
		return false
	}
	service := r.snapshot.Table.Member(id).Service
	total, ejected := 0, 0
	for _, other := range r.snapshot.Table.Members() {
		m := r.snapshot.Table.Member(other)
		if m.Service != service || m.Revoked() {
			continue
		}
		total++
		if p := r.peers[other]; other != id && p != nil && now.Before(p.ejectedUntil) {
			ejected++
		}
	}
	return 2*(ejected+1) <= total
}

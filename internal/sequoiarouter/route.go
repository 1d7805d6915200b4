package sequoiarouter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Limits of ejection. An upstream is ejected after ejectFailures failures in a row, first for ejectBase and twice as
// long each time, up to ejectMax.
const (
	ejectFailures = 5
	ejectBase     = time.Second
	ejectMax      = 30 * time.Second
	// minSlowStart is the share that a cold upstream gets at first.
	minSlowStart = 0.1
)

// Target says where a request goes.
type Target struct {
	// Local is true for the upstream beside this process.
	Local       bool
	Incarnation sequoiatable.IncarnationID
	// Forward is the address of the process beside the chosen upstream.
	Forward netip.AddrPort
	Epoch   sequoiatable.Epoch
}

// peerState is what the router knows of an upstream from its own requests.
type peerState struct {
	since        time.Time
	inFlight     int
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// effectiveKey returns the key that selects the owner. A request without a key in a service not divided by key uses
// its identifier, so that one owner retains it; without an identifier there is none.
func effectiveKey(s *sequoiatable.ServiceTable, req *Request) (string, bool) {
	if req.Key != "" {
		return req.Key, true
	}
	if !s.Divided && req.RequestID != "" {
		return req.RequestID, true
	}
	return "", false
}

// Route decides where a caller's request goes. Upstreams in tried are avoided where the request may go to any. If
// there is no target, the response says why.
func (r *Router) Route(now time.Time, req *Request, tried []sequoiatable.IncarnationID) (Target, *Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var none sequoiatable.Assignment
	if r.snapshot == nil {
		return Target{}, r.respond(NotRun, ReasonNoTable, none)
	}
	s := r.snapshot.Table.Service(req.Service)
	if s == nil {
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
	var open, fallback []*sequoiatable.MemberState
	for _, m := range r.sample(service) {
		id := m.Incarnation
		if r.localUnusable(id) {
			continue
		}
		fallback = append(fallback, m)
		if p := r.peers[id]; !slices.Contains(tried, id) && (p == nil || !now.Before(p.ejectedUntil)) {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		open = fallback
	}
	if len(open) == 0 {
		return Target{}, r.respond(NotRun, ReasonNoUpstream, sequoiatable.Assignment{})
	}
	m := r.lessLoaded(now, open)
	return Target{Local: m.Incarnation == r.snapshot.Self, Incarnation: m.Incarnation, Forward: m.Forward}, nil
}

// sampleSize bounds the members that one choice looks at. Two random choices need two that are open; since at most
// half of a service is ejected, 16 random members have none that is open in 1 of 65,536 cases.
const sampleSize = 16

// sample returns the members that may serve requests without a key of a service, or a random part of them.
func (r *Router) sample(service string) []*sequoiatable.MemberState {
	all := r.members[service]
	if len(all) <= sampleSize {
		return all
	}
	some := make([]*sequoiatable.MemberState, sampleSize)
	for i := range some {
		some[i] = all[r.cfg.rand.IntN(len(all))]
	}
	return some
}

// localUnusable is true for this process when its upstream is silent or about to leave, which others learn only from
// the log.
func (r *Router) localUnusable(id sequoiatable.IncarnationID) bool {
	if id != r.snapshot.Self {
		return false
	}
	return r.upstream == nil || r.upstream.draining || r.snapshot.Draining
}

// lessLoaded returns the less loaded of two random members.
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

// score is the load of the member if it got one more request.
func (r *Router) score(now time.Time, m *sequoiatable.MemberState) float64 {
	inFlight, warm := 0, 1.0
	if p := r.peers[m.Incarnation]; p != nil {
		inFlight = p.inFlight
		if r.cfg.slowStart > 0 {
			warm = min(1, max(minSlowStart, float64(now.Sub(p.since))/float64(r.cfg.slowStart)))
		}
	}
	return float64(inFlight+1) / (float64(m.Slots) * warm)
}

// updatePeers follows the table's members, once for each new log index.
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
		p := &peerState{since: now}
		if first {
			// The members of the first table have been serving before this process started.
			p.since = now.Add(-r.cfg.slowStart)
		}
		r.peers[id] = p
	}
	for id, p := range r.peers {
		if r.snapshot.Table.Member(id) == nil && p.inFlight == 0 {
			delete(r.peers, id)
		}
	}
}

// Sent counts a request to a target, local or not, until Done.
func (r *Router) Sent(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[t.Incarnation]; p != nil {
		p.inFlight++
	}
}

// Done ends Sent with the request's response and ejects an upstream that failed several times in a row.
func (r *Router) Done(now time.Time, t Target, resp *Response) {
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

// upstreamFault reports whether a response speaks against the upstream, rather than for a caller's cancellation or
// deadline or a decision by the table.
func upstreamFault(resp *Response) bool {
	switch resp.Reason {
	case ReasonUnreachable, ReasonUpstreamFailed, ReasonBadResponse, ReasonNoUpstream, ReasonLeaseEnded, ReasonStaleGrant:
		return true
	}
	return false
}

// mayEject keeps at least half of the service in use: if most upstreams look broken, the fault is likely not theirs.
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

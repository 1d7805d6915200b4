package sequoianode

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafollow"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaquarantine"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaspread"
)

const (
	// removedMemberGracePeriod is how long a member is used after its entry disappeared. Entries that expired during a
	// store outage are registered again within 2 s of its end.
	removedMemberGracePeriod = 2500 * time.Millisecond
	// leavingMemory is how long an upstream that is leaving is remembered. It exceeds the longest drain.
	leavingMemory = 5 * time.Minute
	// unreachableTimeout is how long an unreachable process gets no requests unless it answers a probe earlier. It is also
	// how long randomPeers returns a process whose entry has disappeared.
	unreachableTimeout = 15 * time.Second
	// failureSmoothing is the weight of a new result in the moving average of the failure rate.
	failureSmoothing = 0.15
)

// peer holds the state of a member and its upstream as known to this process.
type peer struct {
	member         sequoiaowner.Member
	removedAt      time.Time
	load           sequoiarouter.Load
	loadReportedAt time.Time
	outstanding    int
	// sent is the number of requests that this process has sent to the upstream since loadReportedAt.
	sent int
	// failureRate is the moving average of the failures as of resultAt.
	failureRate      float64
	resultAt         time.Time
	unreachableUntil time.Time
	// coldUntil is when the upstream becomes warm, as its entry or its process's latest response said.
	coldUntil time.Time
}

// directory tracks the members and selects an upstream for requests that any upstream of the service may run.
type directory struct {
	settings Settings
	chooser  *sequoiaspread.Chooser
	usage    usage

	mu    sync.Mutex
	peers map[string]*peer
	// leaving holds since when upstreams are known to be shutting down, from their responses or their entries.
	leaving map[sequoiakeyspace.Holder]time.Time
	// warmupRates holds the requests per second that a cold upstream of each service tolerates.
	warmupRates map[string]float64
	// evacuated maps each failure domain that is being evacuated to the time from which no request may go there.
	evacuated map[string]time.Time
}

func newDirectory(settings Settings) *directory {
	return &directory{
		settings: settings, chooser: sequoiaspread.New(settings.Domain, rand.IntN), usage: newUsage(),
		peers: map[string]*peer{}, leaving: map[sequoiakeyspace.Holder]time.Time{},
	}
}

// markLeaving records that an upstream said in a response that it is shutting down.
func (d *directory) markLeaving(h sequoiakeyspace.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.leaving[h]; known || h.Upstream == "" {
		return
	}
	now := time.Now()
	maps.DeleteFunc(d.leaving, func(_ sequoiakeyspace.Holder, since time.Time) bool { return now.Sub(since) > leavingMemory })
	d.leaving[h] = now
}

// withLeaving returns the member with its upstream marked as leaving if this process knows it from a response or from an
// earlier entry, which a restored store has lost.
func (d *directory) withLeaving(m sequoiaowner.Member) sequoiaowner.Member {
	if m.Upstream.Leaving {
		d.markLeaving(m.Holder())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, leaving := d.leaving[m.Holder()]; leaving {
		m.Upstream.Leaving = true
	}
	return m
}

// drained reports whether the upstream at an instance is leaving, or its failure domain is being evacuated, and it may get no
// more requests.
func (d *directory) drained(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[instance]
	if p == nil {
		return false
	}
	since, leaving := d.leaving[p.member.Holder()]
	return leaving && time.Since(since) > d.settings.drainLimit() || d.closed(time.Now(), p)
}

// setMembers updates the peers to the members that are registered in the store.
func (d *directory) setMembers(members map[string]sequoiaowner.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for instance, m := range members {
		p := d.peers[instance]
		if p == nil || p.member.Upstream.ID != m.Upstream.ID || p.member.Upstream.Born != m.Upstream.Born {
			p = &peer{}
			d.peers[instance] = p
		}
		if p.member.Process != m.Process {
			p.unreachableUntil = time.Time{}
		}
		if p.member.Revision != m.Revision {
			p.coldUntil = time.Now().Add(m.ColdFor)
		}
		p.member = m
		p.removedAt = time.Time{}
	}
	for instance, p := range d.peers {
		if _, ok := members[instance]; !ok && p.removedAt.IsZero() {
			p.removedAt = time.Now()
		}
	}
}

// address returns the address of a process unless it is marked unreachable. This includes a process whose entry has
// disappeared: the entry may have expired in a store outage while the process is still running.
func (d *directory) address(instance string) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[instance]
	if p == nil || time.Now().Before(p.unreachableUntil) {
		return netip.AddrPort{}, false
	}
	return p.member.Address, true
}

// watchMembers returns the registered members for the choice of the one that is asked for changes of the store.
func (d *directory) watchMembers() []sequoiafollow.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	members := make([]sequoiafollow.Member, 0, len(d.peers))
	for instance, p := range d.peers {
		if !p.removedAt.IsZero() {
			continue
		}
		u := p.member.Upstream
		members = append(members, sequoiafollow.Member{
			Instance: instance, Domain: p.member.Domain,
			// A process that is stopping publishes its upstream as lost.
			Excluded: now.Before(p.unreachableUntil) || u.Leaving || u.Lost || p.member.Protocol < watchProtocol,
		})
	}
	return members
}

// protocol returns the version of the protocol that the process on an instance speaks, zero if it is not known.
func (d *directory) protocol(instance string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[instance]; p != nil {
		return p.member.Protocol
	}
	return 0
}

// instances returns the instances of all known peers.
func (d *directory) instances() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.peers))
}

// isOther reports whether a peer is another process that probably runs: it is not marked unreachable, and its entry is
// there or has disappeared only recently. The caller must hold mu.
func (d *directory) isOther(now time.Time, instance string, p *peer) bool {
	return instance != d.settings.Instance && !now.Before(p.unreachableUntil) &&
		(p.removedAt.IsZero() || now.Sub(p.removedAt) < unreachableTimeout)
}

// others returns the addresses of the other processes, those of a failure domain next to each other, in an order that is
// random otherwise.
func (d *directory) others() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	byDomain := map[string][]netip.AddrPort{}
	for instance, p := range d.peers {
		if d.isOther(now, instance, p) {
			byDomain[p.member.Domain] = append(byDomain[p.member.Domain], p.member.Address)
		}
	}
	var all []netip.AddrPort
	for _, addrs := range byDomain {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		all = append(all, addrs...)
	}
	return all
}

// randomPeers returns the addresses of up to n other processes in random order.
func (d *directory) randomPeers(n int) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var all []netip.AddrPort
	for instance, p := range d.peers {
		if d.isOther(now, instance, p) {
			all = append(all, p.member.Address)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// usable reports whether requests may go to the peer's upstream.
func (p *peer) usable(now time.Time) bool {
	return p.member.Usable() && (p.removedAt.IsZero() || now.Sub(p.removedAt) < removedMemberGracePeriod) && !now.Before(p.unreachableUntil)
}

// choose returns the member whose upstream a request without a key should go to, among those that were not tried yet.
func (d *directory) choose(req *sequoiarouter.Request, tried map[string]bool) (sequoiaowner.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	peers := d.withoutCold(now, req.Service, d.candidates(now, req.Service, tried), rand.Float64)
	candidates := d.spreadCandidates(now, peers, len(req.Body))
	best := d.chooser.Choose(candidates, d.usage.expect(req))
	if best < 0 {
		return sequoiaowner.Member{}, false
	}
	return peers[best].member, true
}

// spreadCandidates returns the peers' upstreams as candidates for a request with a body of the given size. The caller must
// hold mu.
func (d *directory) spreadCandidates(now time.Time, peers []*peer, bodyBytes int) []sequoiaspread.Candidate {
	candidates := make([]sequoiaspread.Candidate, len(peers))
	for i, p := range peers {
		candidates[i] = p.candidate(now)
		if bodyBytes <= linkBody || p.member.Instance == d.settings.Instance {
			candidates[i].LinkDelay = 0
		}
	}
	return candidates
}

// candidate returns the peer's upstream as a candidate for a request.
func (p *peer) candidate(now time.Time) sequoiaspread.Candidate {
	return sequoiaspread.Candidate{
		Domain: p.member.Domain, Running: p.load.Running, Waiting: p.load.Waiting, Age: now.Sub(p.loadReportedAt),
		Outstanding: p.outstanding, Sent: p.sent, Slots: p.member.Upstream.Slots, Work: p.load.Work,
		StartDelay: p.load.StartDelay, LinkDelay: p.load.LinkDelay, FailureRate: p.fadedFailureRate(now),
	}
}

// fadedFailureRate returns what the peer's failure rate is worth now.
func (p *peer) fadedFailureRate(now time.Time) float64 {
	return sequoiaspread.FadedFailureRate(p.failureRate, now.Sub(p.resultAt))
}

// candidates returns the peers whose upstreams of a service are usable and were not tried yet. The caller must hold mu.
func (d *directory) candidates(now time.Time, service string, tried map[string]bool) (candidates []*peer) {
	for instance, p := range d.peers {
		_, leaving := d.leaving[p.member.Holder()]
		if p.member.Upstream.Service == service && p.usable(now) && !leaving && !d.avoids(p) && !tried[instance] {
			candidates = append(candidates, p)
		}
	}
	return candidates
}

// chooseFor returns a member whose upstream was not tried yet, the same one at all processes with the same members: the
// one with the highest hash of the fingerprint and the instance.
func (d *directory) chooseFor(service string, f sequoiaquarantine.Fingerprint, tried map[string]bool) (sequoiaowner.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best sequoiaowner.Member
	highest, found := uint64(0), false
	for _, p := range d.candidates(time.Now(), service, tried) {
		if h := xxhash.Sum64String(string(f[:]) + p.member.Instance); !found || h > highest {
			best, highest, found = p.member, h, true
		}
	}
	return best, found
}

// beginRequest records that a request is being sent to an instance, and returns the upstream that it is sent to.
func (d *directory) beginRequest(instance string) sequoiakeyspace.Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[instance]
	if p == nil {
		return sequoiakeyspace.Holder{}
	}
	p.outstanding++
	p.sent++
	return p.member.Holder()
}

// markReachable allows requests to a process again, after it answered a probe or unreachableTimeout passed.
func (d *directory) markReachable(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[instance]; p != nil {
		p.unreachableUntil = time.Time{}
	}
}

// markUnreachable excludes a process from requests for unreachableTimeout. It returns false if the process is unknown
// or already marked.
func (d *directory) markUnreachable(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[instance]
	now := time.Now()
	if p == nil || now.Before(p.unreachableUntil) {
		return false
	}
	p.unreachableUntil = now.Add(unreachableTimeout)
	return true
}

// observe records what an upstream's response to a request has taken and transferred.
func (d *directory) observe(req *sequoiarouter.Request, took time.Duration, resp *sequoiarouter.Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.usage.observe(req, took, resp)
}

// endRequest records the result of a request to an instance. resp is nil if the instance did not respond.
func (d *directory) endRequest(instance string, resp *sequoiarouter.Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[instance]
	if p == nil {
		return
	}
	p.outstanding--
	if resp == nil {
		return
	}
	if resp.Load.Slots > 0 {
		p.load, p.loadReportedAt, p.sent = resp.Load, time.Now(), 0
		p.coldUntil = p.loadReportedAt.Add(resp.Load.ColdFor)
	}
	failed := 0.0
	if resp.Outcome == sequoiarouter.Unknown || resp.Reason == reasonUpstreamRefused || resp.Status >= 500 {
		failed = 1
	}
	now := time.Now()
	rate := p.fadedFailureRate(now)
	p.failureRate, p.resultAt = rate+failureSmoothing*(failed-rate), now
}

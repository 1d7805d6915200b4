package sequoianode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiabalance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// loadTimeout limits a load report or a reservation of room for a plan. The other processes answer without waiting for
// anything; one that takes longer is left out.
const loadTimeout = 100 * time.Millisecond

// beginAttempts and beginRetryDelay limit the attempts to start a move. One cannot start while a grant of its keys is being
// renewed, which takes a few milliseconds at an upstream that is not slow.
const (
	beginAttempts   = 4
	beginRetryDelay = 25 * time.Millisecond
)

// balancer moves keys from the local upstream to less loaded ones. sequoiabalance decides which ones. Each process
// balances only its own upstream and asks as many others for their load as the excess needs.
type balancer struct {
	node    *Node
	running atomic.Bool

	// The following fields are protected by the node's mu.
	pace         sequoiabalance.Pace
	reservations sequoiabalance.Reservations
	// current is the local upstream's current utilization at the end of the last interval.
	current float64
}

func newBalancer(n *Node) *balancer { return &balancer{node: n} }

// run ends an interval of the meter and starts a plan if one is due.
func (b *balancer) run(ctx context.Context) {
	own, due := b.measure()
	if !due || !b.running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer b.running.Store(false)
		b.offload(ctx, own)
	}()
}

// measure ends an interval of the meter. It returns the load of the local upstream and whether a plan is due.
func (b *balancer) measure() (sequoiabalance.Owner, bool) {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.meter.Advance()
	now, held := sequoiatimer.BootTime(), n.core.HeldRanges()
	for _, r := range b.reservations.Arrived(now, held) {
		n.meter.Seed(r.From, r.To, r.Rates)
		b.pace.Arrived(now, r.Utilization)
	}
	recent := 0.0
	for _, r := range held {
		recent += n.meter.RecentRate(r.From, r.To)
	}
	own := sequoiabalance.Owner{Report: n.loadReportLocked(), MaxRanges: sequoiaowner.MaxRanges}
	own.Current = b.pace.Measured(now, own.Utilization, recent, n.meter.RecentDeviation(), own.Slots)
	b.current = own.Current
	due := b.pace.Due(now, own.Report, n.core.MoveCount())
	if !due || len(held) == 0 || !n.core.Upstream().Usable() || !n.core.RecentlyConfirmed(now) || n.stopping.Load() {
		return own, false
	}
	own.RequestRate = n.meter.RequestRate(own.UseRecent())
	for _, r := range held {
		own.Held = append(own.Held, sequoiabalance.Held{
			Profile: n.meter.Profile(r, own.UseRecent()), Since: n.core.HeldFor(now, r), Fixed: !n.core.Movable(now, r),
		})
	}
	return own, true
}

// currentLoadReport returns the load of the local upstream.
func (n *Node) currentLoadReport() sequoiabalance.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loadReportLocked()
}

// loadReportLocked is currentLoadReport for callers that hold mu.
func (n *Node) loadReportLocked() sequoiabalance.Report {
	held := n.core.HeldRanges()
	rate := 0.0
	for _, r := range held {
		rate += n.meter.Rate(r.From, r.To)
	}
	return sequoiabalance.Report{
		Utilization: rate / float64(n.queue.Slots()), Slots: n.queue.Slots(), Capacity: n.queue.Capacity(),
		Open: n.core.Upstream().Usable() && !n.stopping.Load() && time.Now().After(n.warmUntil) && n.warmup.gate.ColdFor(time.Now()) == 0 && !n.evacuated() &&
			n.core.RegistrationConfirmed() && len(held) < sequoiaowner.MaxRanges,
		Current: n.balancer.current, Steady: n.balancer.pace.Steady(), Reserved: n.balancer.reservations.Utilization(sequoiatimer.BootTime()), Ranges: len(held), Empty: len(held) == 0,
	}
}

// serveLoad handles a request for the load report, which may ask to reserve room for keys.
func (n *Node) serveLoad(req *sequoiarouter.Request) *sequoiarouter.Response {
	var r sequoiabalance.Reservation
	if len(req.Body) > 0 {
		if err := json.Unmarshal(req.Body, &r); err != nil || r.To < r.From {
			n.log.Event("reservation rejected", "Error", err)
			return n.notRunResponseWithLoad(reasonBadRequest, 0)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	report := n.loadReportLocked()
	switch {
	case r.Cancelled:
		n.balancer.reservations.Cancel(r)
	case len(req.Body) > 0:
		report.Refused = !n.balancer.reservations.Reserve(sequoiatimer.BootTime(), r, report, sequoiaowner.MaxRanges)
	}
	return okResponse(json.Marshal(report))
}

// offload fetches the load of a sample of other upstreams, plans moves and starts those for which the destinations have
// reserved room.
func (b *balancer) offload(ctx context.Context, own sequoiabalance.Owner) {
	n := b.node
	n.mu.Lock()
	size := b.pace.SampleSize(own.Report)
	n.mu.Unlock()
	members := map[string]sequoiaowner.Member{}
	moves := sequoiabalance.Plan(own, b.candidates(ctx, size, members))
	reserved := make([]bool, len(moves))
	var wg sync.WaitGroup
	for i, m := range moves {
		wg.Go(func() {
			r, ok := b.fetchLoad(ctx, members[m.Candidate.Instance], loadTimeout, &m.Reservation)
			reserved[i] = ok && r.Open && !r.Refused
		})
	}
	wg.Wait()
	moves = slices.DeleteFunc(moves, func(sequoiabalance.Move) bool {
		keep := reserved[0]
		reserved = reserved[1:]
		return !keep
	})
	started, load := 0, 0.0
	for range beginAttempts {
		moves = slices.DeleteFunc(moves, func(m sequoiabalance.Move) bool {
			if !b.begin(m, members[m.Candidate.Instance], own.Report) {
				return false
			}
			started++
			load += m.Load
			return true
		})
		if len(moves) == 0 || sequoiatimer.Sleep(ctx, beginRetryDelay) != nil {
			break
		}
	}
	n.mu.Lock()
	b.pace.Planned(sequoiatimer.BootTime(), own.Report, started, load)
	n.mu.Unlock()
	if started > 0 {
		n.stepOwnership(ctx) // Sends the releases.
	}
	for _, m := range moves {
		m.Reservation.Cancelled = true
		go b.fetchLoad(ctx, members[m.Candidate.Instance], loadTimeout, &m.Reservation)
	}
}

// begin starts a move and reports whether it was possible.
func (b *balancer) begin(m sequoiabalance.Move, dest sequoiaowner.Member, own sequoiabalance.Report) bool {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.core.BeginMove(sequoiatimer.BootTime(), m.From, m.To, dest, sequoiaowner.ReasonBalance) {
		return false
	}
	n.log.Event("keys move for balance", "From", m.From, "To", m.To, "Destination", dest.Instance,
		"Utilization", own.Utilization, "Current", own.Current, "Other", m.Candidate.Report.Expected(), "Load", m.Load)
	return true
}

// candidates returns the load of at most size other upstreams that may get keys, drawn at random, and adds them to
// members.
func (b *balancer) candidates(ctx context.Context, size int, members map[string]sequoiaowner.Member) []sequoiabalance.Candidate {
	n := b.node
	n.mu.Lock()
	var others []sequoiaowner.Member
	service := n.core.Upstream().Service
	for instance, m := range n.core.Members() {
		if instance != n.settings.Instance && m.Upstream.Service == service && m.Usable() && !n.core.Evacuated(m.Domain) {
			others = append(others, m)
		}
	}
	n.mu.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(size, len(others))]
	var mu sync.Mutex
	var candidates []sequoiabalance.Candidate
	var wg sync.WaitGroup
	for _, m := range others {
		members[m.Instance] = m
		wg.Go(func() {
			r, ok := b.fetchLoad(ctx, m, loadTimeout, nil)
			if !ok || !r.Open {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			candidates = append(candidates, sequoiabalance.Candidate{Instance: m.Instance, Report: r})
		})
	}
	wg.Wait()
	return candidates
}

// fetchLoad fetches the load report of a member's process. With a reservation, it asks the process to reserve room.
func (b *balancer) fetchLoad(
	ctx context.Context, m sequoiaowner.Member, timeout time.Duration, r *sequoiabalance.Reservation,
) (sequoiabalance.Report, bool) {
	req := &sequoiarouter.Request{Path: pathLoad, Method: http.MethodGet}
	if r != nil {
		body, err := json.Marshal(r)
		if err != nil {
			return sequoiabalance.Report{}, false
		}
		req.Method, req.Body = http.MethodPost, body
	}
	resp, err := b.node.sendMessage(ctx, m.Address, timeout, req)
	if err != nil {
		return sequoiabalance.Report{}, false
	}
	var report sequoiabalance.Report
	if err := json.Unmarshal(resp.Body, &report); err != nil {
		b.node.log.Event("load report rejected", "Member", m.Instance, "Error", err)
		return sequoiabalance.Report{}, false
	}
	return report, true
}

package sequoianode

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// balanceInterval is the interval of load balancing runs.
	balanceInterval = 300 * time.Millisecond
	// meterDecay is the factor applied to the measured load at each run, so that it covers about 2 s.
	meterDecay = 0.86
	// moveCooldown is how long keys stay at an upstream after a move before they may be moved for balance again. The
	// measured load is noisy, and without a cooldown a busy key would move back and forth.
	moveCooldown = 3 * time.Second
	// sampleSize is the number of other upstreams that a process compares its upstream's load with.
	sampleSize = 4
	// minUtilization is the utilization below which no keys are moved, except to an idle upstream. Below it, requests
	// hardly wait.
	minUtilization = 0.45
	// minDifference is the difference in utilization below which no keys are moved. The measured utilization of an
	// upstream with six slots varies by about half of this.
	minDifference = 0.18
	// idleUtilization is the utilization below which an upstream counts as idle, such as one that has just joined.
	// idleDifference is the difference in utilization from which an idle upstream is given keys.
	idleUtilization = 0.08
	idleDifference  = 0.12
	// overloadUtilization is the utilization above which keys are moved regardless of moveCooldown.
	overloadUtilization = 0.9
	// targetUtilization is the utilization up to which another upstream is filled in one run.
	targetUtilization = 0.7
	// minMoveFraction and maxMoveFraction limit the load that is moved, relative to the desired load.
	minMoveFraction, maxMoveFraction = 0.5, 1.1
)

// loadReport is the load of a process's upstream, as sent to other processes.
type loadReport struct {
	// Utilization is the measured work per second divided by the number of slots. Under a limit on requests per second,
	// the work of a request is the part of the limit that it uses.
	Utilization float64
	Slots       int
	// Capacity is the number of requests per second that the upstream can process, zero if it is not known.
	Capacity float64
	// Open is true if the upstream accepts more keys.
	Open bool
}

// balancer moves keys from the local upstream to less loaded ones. Each process balances only its own upstream and
// compares it with a small sample of others, so the number of messages per process does not grow with the fleet.
type balancer struct {
	node    *Node
	running atomic.Bool
}

func newBalancer(n *Node) *balancer { return &balancer{node: n} }

// run decays the measured load and starts moving keys if the local upstream has enough load to offload.
func (b *balancer) run(ctx context.Context) {
	n := b.node
	own := n.currentLoadReport()
	n.mu.Lock()
	n.meter.Decay(meterDecay)
	held := n.core.HeldRanges()
	moving := n.core.MoveCount()
	usable := n.core.Upstream().Usable()
	n.mu.Unlock()
	if len(held) == 0 || moving > 0 || !usable || own.Utilization < idleDifference || n.stopping.Load() {
		return
	}
	if !b.running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer b.running.Store(false)
		b.offload(ctx, own)
	}()
}

// currentLoadReport returns the load of the local upstream.
func (n *Node) currentLoadReport() loadReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := n.core.HeldRanges()
	work := 0.0
	for _, r := range held {
		work += n.meter.Sum(r.From, r.To)
	}
	// A load that is multiplied by f at each interval and grows at a constant rate converges to rate*interval/(1-f).
	rate := work * (1 - meterDecay) / balanceInterval.Seconds()
	return loadReport{
		Utilization: rate / float64(n.queue.Slots()), Slots: n.queue.Slots(), Capacity: n.queue.Capacity(),
		Open: n.core.Upstream().Usable() && !n.stopping.Load() && time.Now().After(n.warmUntil) && n.warmup.gate.ColdFor(time.Now()) == 0 && !n.evacuated() &&
			n.core.RegistrationConfirmed() && len(held) < sequoiaowner.MaxRanges,
	}
}

// offload fetches the load of a sample of other upstreams and moves keys to the least loaded ones, to each as many as
// it has capacity for. A burst on adjacent keys may need several upstreams at once.
func (b *balancer) offload(ctx context.Context, own loadReport) {
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
	var candidates []candidate
	for _, m := range others[:min(sampleSize, len(others))] {
		if r, ok := b.fetchLoad(ctx, m); ok && r.Open {
			candidates = append(candidates, candidate{m, r})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.report.Utilization, y.report.Utilization) })
	cooldown := moveCooldown
	if own.Utilization > overloadUtilization {
		cooldown = 0
	}
	for _, c := range candidates {
		if !shouldMove(own.Utilization, c.report.Utilization) {
			return
		}
		share := moveShare(own, c.report)
		want := share * float64(own.Slots) * balanceInterval.Seconds() / (1 - meterDecay)
		if b.beginMove(c, want, own, cooldown) {
			own.Utilization -= share
		}
	}
}

// candidate is a possible destination for keys.
type candidate struct {
	member sequoiaowner.Member
	report loadReport
}

// shouldMove reports whether keys should move from an upstream with utilization own to one with utilization other.
func shouldMove(own, other float64) bool {
	if other < idleUtilization {
		return own-other >= idleDifference
	}
	return own >= minUtilization && own-other >= minDifference
}

// moveShare returns the part of the upstream's own capacity that should move to another upstream, so that both are
// equally utilized and the other one is not filled beyond targetUtilization.
func moveShare(own, other loadReport) float64 {
	ratio := 1.0
	if own.Capacity > 0 && other.Capacity > 0 {
		ratio = own.Capacity / other.Capacity
	}
	return min((own.Utilization-other.Utilization)/(1+ratio), max(targetUtilization-other.Utilization, minDifference/2)/ratio)
}

// beginMove starts moving the smallest range of keys whose load is close to the desired one. It reports whether a move
// was started.
func (b *balancer) beginMove(c candidate, want float64, own loadReport, cooldown time.Duration) bool {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := sequoiatimer.BootTime()
	best, found := sequoiakeyspace.Window{}, false
	for _, r := range n.core.HeldRanges() {
		if n.core.HeldFor(now, r) < cooldown {
			continue
		}
		w, ok := n.meter.FindWindow(r, want*minMoveFraction, want*maxMoveFraction)
		if ok && (!found || w.Size() < best.Size()) {
			best, found = w, true
		}
	}
	if !found || !n.core.BeginMove(now, best.From, best.To, c.member, sequoiaowner.ReasonBalance) {
		return false
	}
	n.log.Event("keys move for balance", "From", best.From, "To", best.To, "Destination", c.member.Instance,
		"Utilization", own.Utilization, "Other", c.report.Utilization, "Load", best.Load, "Wanted", want)
	return true
}

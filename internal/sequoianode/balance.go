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
	// balanceInterval is the time between looks at the balance of load, 300 ms.
	balanceInterval = 300 * time.Millisecond
	// meterDecay ages the measured load at each look, so that it covers about 2 s.
	meterDecay = 0.86
	// settledTime is how long keys stay after a move before they may be moved for balance again, 3 s. Measured load is
	// noisy, and without it a busy key would move back and forth.
	settledTime = 3 * time.Second
	// sampled is the number of other upstreams that an overloaded one compares itself with.
	sampled = 4
	// minUtilization is the utilization below which nothing is moved, except to an upstream that has next to no load.
	// Requests hardly wait below it.
	minUtilization = 0.45
	// minDifference is the difference of utilization below which nothing is moved. Of an upstream with six slots the
	// measured one varies by about half of that.
	minDifference = 0.18
	// idleUtilization is that of an upstream that has next to no load, as one that has just joined, and idleDifference
	// the difference at which it gets keys.
	idleUtilization = 0.08
	idleDifference  = 0.12
	// overloaded is the utilization from which keys are moved again although they have just come.
	overloaded = 0.9
	// fillTarget is the utilization up to which another upstream is given keys at once.
	fillTarget = 0.7
	// moveLow and moveHigh bound the load that is moved, as parts of the wanted one.
	moveLow, moveHigh = 0.5, 1.1
)

// loadReport is what a process tells another of its upstream.
type loadReport struct {
	// Utilization is the measured work per second over the slots.
	Utilization float64
	Slots       int
	// Open is true if the upstream may get keys.
	Open bool
}

// balancer moves keys from this instance's upstream to others with less load. Each process looks after its own upstream
// alone: it compares itself with a few others, so the messages of a process do not grow with the fleet.
type balancer struct {
	n       *Node
	running atomic.Bool
}

func newBalancer(n *Node) *balancer { return &balancer{n: n} }

// run decays the measured load and moves keys away if another upstream has much less of it.
func (b *balancer) run(ctx context.Context) {
	n := b.n
	own := n.report()
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

// report returns the local upstream's load.
func (n *Node) report() loadReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := n.core.HeldRanges()
	work := 0.0
	for _, r := range held {
		work += n.meter.Sum(r.From, r.To)
	}
	// A load that decays by f at each interval and grows at a constant rate settles at rate*interval/(1-f).
	rate := work * (1 - meterDecay) / balanceInterval.Seconds()
	return loadReport{
		Utilization: rate / float64(n.queue.Slots()), Slots: n.queue.Slots(),
		Open: n.core.Upstream().Usable() && !n.stopping.Load() && time.Now().After(n.warm) &&
			n.core.RegistrationConfirmed() && len(held) < sequoiaowner.MaxRanges,
	}
}

// offload asks some other upstreams for their load and moves keys to those with the least, to each as many as it has room
// for: a burst on neighbouring keys may need several upstreams at once.
func (b *balancer) offload(ctx context.Context, own loadReport) {
	n := b.n
	n.mu.Lock()
	var others []sequoiaowner.Member
	service := n.core.Upstream().Service
	for instance, m := range n.core.Members() {
		if instance != n.id.Instance && m.Upstream.Service == service && m.Usable() {
			others = append(others, m)
		}
	}
	n.mu.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var asked []candidate
	for _, m := range others[:min(sampled, len(others))] {
		if r, ok := b.ask(ctx, m); ok && r.Open {
			asked = append(asked, candidate{m, r})
		}
	}
	slices.SortFunc(asked, func(x, y candidate) int { return cmp.Compare(x.report.Utilization, y.report.Utilization) })
	settled := settledTime
	if own.Utilization > overloaded {
		settled = 0
	}
	for _, c := range asked {
		if !worthMoving(own.Utilization, c.report.Utilization) {
			return
		}
		share := min((own.Utilization-c.report.Utilization)/2, max(fillTarget-c.report.Utilization, minDifference/2))
		want := share * float64(own.Slots) * balanceInterval.Seconds() / (1 - meterDecay)
		if b.move(c, want, own, settled) {
			own.Utilization -= share
		}
	}
}

// candidate is an upstream that may get keys.
type candidate struct {
	member sequoiaowner.Member
	report loadReport
}

// worthMoving reports whether keys should move from an upstream to another with less load.
func worthMoving(own, other float64) bool {
	if other < idleUtilization {
		return own-other >= idleDifference
	}
	return own >= minUtilization && own-other >= minDifference
}

// move begins the move of the fewest keys that have about the wanted load. It reports whether it began.
func (b *balancer) move(c candidate, want float64, own loadReport, settled time.Duration) bool {
	n := b.n
	n.mu.Lock()
	defer n.mu.Unlock()
	now := sequoiatimer.BootTime()
	best, found := sequoiakeyspace.Window{}, false
	for _, r := range n.core.HeldRanges() {
		if n.core.HeldFor(now, r) < settled {
			continue
		}
		w, ok := n.meter.FindWindow(r, want*moveLow, want*moveHigh)
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

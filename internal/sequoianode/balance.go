package sequoianode

import (
	"context"
	"math/rand/v2"
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
	// minUtilization is the utilization below which nothing is moved.
	minUtilization = 0.25
	// minDifference is the difference of utilization below which nothing is moved.
	minDifference = 0.12
	// moveShare is the part of half the difference that is moved at once, low to high.
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
	moving := n.core.Moves()
	u := n.core.Upstream()
	n.mu.Unlock()
	if len(held) == 0 || moving > 0 || u.Leaving || u.Lost || own.Utilization < minUtilization || n.stopping.Load() {
		return
	}
	if !b.running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer b.running.Store(false)
		b.offload(ctx, own, held)
	}()
}

// report returns the local upstream's load.
func (n *Node) report() loadReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := n.core.Upstream()
	work := 0.0
	for _, r := range n.core.HeldRanges() {
		work += n.meter.Sum(r.From, r.To)
	}
	// A load that decays by f at each interval and grows at a constant rate settles at rate*interval/(1-f).
	rate := work * (1 - meterDecay) / balanceInterval.Seconds()
	return loadReport{
		Utilization: rate / float64(n.queue.Slots()), Slots: n.queue.Slots(),
		Open: u.ID != "" && !u.Leaving && !u.Lost && !n.stopping.Load() && time.Now().After(n.warm) &&
			n.core.Verified() && len(n.core.HeldRanges()) < sequoiaowner.MaxRanges,
	}
}

// offload asks some other upstreams for their load and moves keys to the one with the least.
func (b *balancer) offload(ctx context.Context, own loadReport, held []sequoiakeyspace.Range) {
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
	best, found := loadReport{}, -1
	for i, m := range others[:min(sampled, len(others))] {
		r, ok := b.ask(ctx, m)
		if ok && r.Open && (found < 0 || r.Utilization < best.Utilization) {
			best, found = r, i
		}
	}
	if found < 0 || own.Utilization-best.Utilization < minDifference {
		return
	}
	want := (own.Utilization - best.Utilization) / 2 * float64(own.Slots) * balanceInterval.Seconds() / (1 - meterDecay)
	b.move(held, others[found], want, own, best)
}

// move begins the move of the fewest keys that have about the wanted load.
func (b *balancer) move(held []sequoiakeyspace.Range, dest sequoiaowner.Member, want float64, own, other loadReport) {
	n := b.n
	n.mu.Lock()
	defer n.mu.Unlock()
	best, found := sequoiakeyspace.Window{}, false
	for _, r := range held {
		if n.core.HeldFor(sequoiatimer.BootTime(), r) < settledTime {
			continue
		}
		w, ok := n.meter.Pick(r, want*moveLow, want*moveHigh)
		if ok && (!found || w.Size() < best.Size()) {
			best, found = w, true
		}
	}
	if !found {
		return
	}
	if n.core.BeginMove(sequoiatimer.BootTime(), best.From, best.To, dest, sequoiaowner.ReasonBalance) {
		n.log.Event("keys move for balance", "From", best.From, "To", best.To, "Destination", dest.Instance,
			"Utilization", own.Utilization, "Other", other.Utilization, "Load", best.Load, "Wanted", want)
	}
}

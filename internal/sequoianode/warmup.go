package sequoianode

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaspread"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiawarmup"
)

// warmup is what the process knows about the warm-up of the local upstream, and the limit and the state that were applied
// last. It is protected by Node.mu.
type warmup struct {
	gate  *sequoiawarmup.Gate
	limit sequoiawarmup.Limit
	state sequoiawarmup.State
}

func newWarmup(now time.Time, settings Settings) warmup {
	return warmup{gate: sequoiawarmup.New(now, sequoiawarmup.WithInterval(settings.Heartbeat))}
}

// stepWarmup applies the limit for a cold upstream if it has changed. Call it after each event of the gate, and before the
// queue may start requests. The caller must hold mu.
func (n *Node) stepWarmup(now time.Time) {
	limit, state := n.warmup.gate.Limit(now), n.warmup.gate.State(now)
	if state != n.warmup.state {
		n.warmup.state = state
		n.log.Event("warm-up state of the upstream changed", "Upstream", n.core.Upstream().ID, "State", state,
			"PerSecond", limit.PerSecond, "Milliseconds", n.warmup.gate.ColdFor(now).Milliseconds())
	}
	if limit != n.warmup.limit {
		n.warmup.limit = limit
		n.applyLimit(now)
	}
}

// setWarmupRule applies the configuration of the local upstream's service. The caller must hold mu.
func (n *Node) setWarmupRule(s sequoiaroute.Service) {
	n.warmup.gate.SetRule(sequoiawarmup.Rule{
		Period: s.WarmupPeriod, Rate: s.WarmupRate, Over: n.settings.ColdOver, Slack: n.settings.ColdSlack,
	})
	n.stepWarmup(time.Now())
}

// noteWarmupAnnouncement records an announcement of the local upstream. isNew is true if it is the first one of an
// incarnation that this process accepts. The caller must hold mu.
func (n *Node) noteWarmupAnnouncement(a Announcement, isNew bool) {
	now := time.Now()
	said := sequoiawarmup.Announcement{New: isNew, Remaining: a.WarmUp, Stated: a.WarmUpStated}
	if a.Upstream.Born > 0 {
		said.Born = time.UnixMilli(a.Upstream.Born)
	}
	n.warmup.gate.Announced(now, said)
	n.stepWarmup(now)
}

// noteWarmupResponse records a response of the local upstream to a request that was sent at the given time. The caller must
// hold mu.
func (n *Node) noteWarmupResponse(now, sent time.Time, v ResponseAttributes) {
	if !v.WrongUpstream {
		n.warmup.gate.Answered(now, sent)
	}
	if v.ColdStated && !v.WrongUpstream {
		n.warmup.gate.Responded(now, sent, v.ColdFor)
	}
	n.stepWarmup(now)
}

// noteStart records the decision on a request: with an empty reason, it starts at the local upstream. The caller must hold
// mu.
func (n *Node) noteStart(reason string) {
	if reason == "" {
		n.warmup.gate.Sent(time.Now())
	}
}

// setWarmupRates applies a configuration.
func (d *directory) setWarmupRates(cfg *sequoiaroute.Configuration) {
	rates := map[string]float64{}
	for name, s := range cfg.Services {
		rates[name] = s.WarmupRate
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.warmupRates = rates
}

// withoutCold leaves out cold upstreams for all but the share of the requests that they can take. roll returns random
// numbers from 0 to 1. The caller must hold mu.
func (d *directory) withoutCold(now time.Time, service string, candidates []*peer, roll func() float64) []*peer {
	rate := d.warmupRates[service]
	if rate <= 0 {
		return candidates
	}
	upstreams := make([]sequoiawarmup.Upstream, len(candidates))
	for i, p := range candidates {
		upstreams[i] = sequoiawarmup.Upstream{Cold: now.Before(p.coldUntil), Slots: p.member.Upstream.Slots, Work: p.load.Work}
	}
	share := sequoiawarmup.Share(rate, upstreams, sequoiaspread.DefaultWork)
	var considered []*peer
	for _, i := range sequoiawarmup.Considered(upstreams, share, roll) {
		considered = append(considered, candidates[i])
	}
	return considered
}

// minRoom is the room that is reported for an upstream that is full but not cold.
const minRoom = 0.1

// room returns how much more work the upstream of a member can take, zero if it is cold. The caller must hold mu.
func (n *Node) room(m sequoiaowner.Member) float64 {
	if m.Instance != n.settings.Instance {
		return n.directory.room(m.Instance)
	}
	if n.warmup.gate.ColdFor(time.Now()) > 0 {
		return 0
	}
	return max(minRoom, float64(n.queue.Slots()-n.queue.Running()))
}

// cold reports whether the upstream of an instance is cold, as far as this process knows.
func (d *directory) cold(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[instance]
	return p != nil && d.warmupRates[p.member.Upstream.Service] > 0 && time.Now().Before(p.coldUntil)
}

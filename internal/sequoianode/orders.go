package sequoianode

import (
	"context"
	"net/http"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// step carries out what ownership needs now.
func (n *Node) step(ctx context.Context) {
	n.mu.Lock()
	before := n.core.Upstream()
	a := n.core.Step(sequoiatimer.BootTime())
	after := n.core.Upstream()
	alone := n.core.NeedsPromises(sequoiatimer.BootTime())
	n.mu.Unlock()
	if alone {
		go n.askPromises(ctx)
	}
	if before != after {
		n.log.Event("upstream changed", "Upstream", after.ID, "Lost", after.Lost, "Leaving", after.Leaving)
		n.memberChanged()
	}
	for _, g := range a.Grants {
		go n.grant(ctx, g)
	}
	for _, r := range a.Releases {
		go n.release(ctx, r)
	}
	if a.Write != nil {
		go n.write(ctx, a.Write)
	}
}

// order sends an order to the upstream.
func (n *Node) order(
	ctx context.Context, timeout time.Duration, req *sequoiahttp.Request, err error,
) (*sequoiahttp.Response, error) {
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.orders.Do(ctx, n.id.Upstream, req)
}

func (n *Node) grant(ctx context.Context, g sequoiaowner.Grant) {
	req, err := n.dialect.Grant(g)
	resp, err := n.order(ctx, orderTimeout, req, err)
	confirmed := err == nil && resp.Status == http.StatusOK
	fenced := err == nil && n.dialect.Fenced(resp.Status)
	n.mu.Lock()
	had, held := n.core.Holds(sequoiatimer.BootTime(), n.id.Service, g.Range.From)
	n.core.GrantDone(sequoiatimer.BootTime(), g, confirmed, fenced)
	n.notify()
	n.mu.Unlock()
	n.metrics.grants.Inc()
	switch {
	case !confirmed:
		n.log.Event("grant not confirmed", "From", g.Range.From, "To", g.Range.To, "Fence", g.Range.Fence,
			"Fenced", fenced, "Error", err)
	case !held:
		n.log.Event("keys granted", "From", g.Range.From, "To", g.Range.To, "Fence", g.Range.Fence,
			"HoldMilliseconds", g.Duration.Milliseconds(), "Handover", g.Range.Handover != "", "Before", had)
	}
}

func (n *Node) release(ctx context.Context, r sequoiaowner.Release) {
	req, err := n.dialect.Release(r)
	resp, err := n.order(ctx, releaseTimeout, req, err)
	confirmed := err == nil && resp.Status == http.StatusOK
	handover := ""
	if confirmed {
		handover = n.dialect.Handover(resp.Header)
	}
	n.mu.Lock()
	n.core.ReleaseDone(sequoiatimer.BootTime(), r, handover, confirmed)
	n.mu.Unlock()
	n.log.Event("keys released", "From", r.Range.From, "To", r.Range.To, "Fence", r.Range.Fence,
		"Confirmed", confirmed, "Error", err)
	n.step(ctx)
}

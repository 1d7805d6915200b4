package sequoianode

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaevacuation"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// evacuationPeers is the number of processes that a process tells of an order. Each of them passes on what it did not know,
// so that a process whose watch hangs learns of it as well.
const evacuationPeers = 6

// orderOf returns the order that an item in the store stands for. It returns false for other items.
func (n *Node) orderOf(it sequoiaregistry.Item) (sequoiaevacuation.Order, bool) {
	domain, ok := n.dialect.EvacuatedDomain(it.Key)
	return sequoiaevacuation.Order{Domain: domain, Revision: it.Revision, Withdrawn: it.Deleted}, ok
}

// onOperatorListed applies a list of all items of the operator. An order that is not among them has been withdrawn; a new one
// may have been given at any time since the items were last known. The orders come first, so that no request is served
// without them.
func (n *Node) onOperatorListed(items []sequoiaregistry.Item, revision uint64) {
	var orders []sequoiaevacuation.Order
	listed := map[string]bool{}
	n.mu.Lock()
	defer n.mu.Unlock()
	age := sequoiatimer.BootTime().Sub(n.operatorItemsAt)
	for _, it := range items {
		if order, ok := n.orderOf(it); ok {
			order.Age = age
			orders = append(orders, order)
			listed[order.Domain] = true
		}
	}
	for _, domain := range n.orders.Domains() {
		if !listed[domain] {
			orders = append(orders, sequoiaevacuation.Order{Domain: domain, Revision: revision, Withdrawn: true})
		}
	}
	n.applyOrders(orders, "Store")
	n.applyStoreItems(items)
}

// operatorItemsCurrent records that the operator's items are known as they were at the given time.
func (n *Node) operatorItemsCurrent(asOf time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.operatorItemsAt = asOf
}

// applyOrders applies orders to evacuate failure domains from the given source, and tells other processes of those that it
// did not know. The caller must hold mu.
func (n *Node) applyOrders(orders []sequoiaevacuation.Order, source string) {
	now, changed := time.Now(), false
	for _, order := range orders {
		if !n.orders.Apply(now, order) {
			continue
		}
		changed = true
		msg := "failure domain is being evacuated"
		if order.Withdrawn {
			msg = "evacuation of a failure domain withdrawn"
		}
		n.log.Event(msg, "Domain", order.Domain, "Revision", order.Revision, "Source", source)
	}
	if !changed {
		return
	}
	n.core.SetEvacuated(n.orders.Domains())
	n.directory.setEvacuated(n.orders)
	n.applyLastStart(now)
	n.announceOrders(n.orders.Known(now))
}

// announceOrders tells some other processes of the orders.
func (n *Node) announceOrders(orders []sequoiaevacuation.Order) {
	body, err := json.Marshal(orders)
	if err != nil {
		panic(err) // Every value of the type can be encoded.
	}
	for _, addr := range n.directory.randomPeers(evacuationPeers) {
		go func() {
			_, err := n.sendMessage(context.Background(), addr, peerTimeout, &sequoiarouter.Request{
				Path: pathEvacuation, Method: http.MethodPost, Body: body,
			})
			if err != nil {
				n.metrics.messagesLost.Inc()
			}
		}()
	}
}

// serveEvacuation handles the message of a process that has learned of an order.
func (n *Node) serveEvacuation(req *sequoiarouter.Request) *sequoiarouter.Response {
	var orders []sequoiaevacuation.Order
	if err := json.Unmarshal(req.Body, &orders); err != nil {
		n.log.Event("evacuation orders rejected", "Error", err)
		return n.notRunResponseWithLoad(reasonBadRequest, 0)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyOrders(orders, "Peer")
	return okResponse(nil, nil)
}

// evacuated reports whether the local failure domain is being evacuated. The caller must hold mu.
func (n *Node) evacuated() bool { return n.orders.Evacuated(n.settings.Domain) }

// refusesEvacuated reports whether the local upstream may not be sent the request because its failure domain is being
// evacuated. The caller must hold mu.
func (n *Node) refusesEvacuated(now time.Time, req *sequoiarouter.Request) bool {
	return n.evacuated() && (req.Key == "" || n.orders.Closed(now, n.settings.Domain))
}

// lastStart returns the time after which no request may start at the local upstream, because it is leaving or its failure
// domain is being evacuated; zero if there is none. The caller must hold mu.
func (n *Node) lastStart(now time.Time) time.Time {
	var last time.Time
	if !n.leavingSince.IsZero() {
		last = n.leavingSince.Add(n.settings.drainLimit())
	}
	at, evacuated := n.orders.ClosesAt(n.settings.Domain)
	if !evacuated {
		return last
	}
	if cfg := n.config.Load(); cfg == nil || !cfg.Services[n.settings.Service].Keyed {
		at = now.Add(-1)
	}
	if last.IsZero() || at.Before(last) {
		last = at
	}
	return last
}

// applyLastStart makes the queue follow lastStart. The caller must hold mu.
func (n *Node) applyLastStart(now time.Time) {
	last := n.lastStart(now)
	if last.IsZero() {
		n.queue.RemoveLastStart()
		return
	}
	n.queue.SetLastStart(now, last)
	n.timers.After(max(0, last.Sub(now))+queueTimerMargin, func(time.Time) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.queue.Advance(time.Now())
	})
}

// setEvacuated applies the orders to evacuate failure domains.
func (d *directory) setEvacuated(orders *sequoiaevacuation.Orders) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated = map[string]time.Time{}
	for _, domain := range orders.Domains() {
		d.evacuated[domain], _ = orders.ClosesAt(domain)
	}
}

// avoids reports whether requests without keys may not go to a peer because its failure domain is being evacuated. The
// caller must hold mu.
func (d *directory) avoids(p *peer) bool {
	_, evacuated := d.evacuated[p.member.Domain]
	return evacuated
}

// closed reports whether no request may go to a peer any more because its failure domain is being evacuated. The caller must
// hold mu.
func (d *directory) closed(now time.Time, p *peer) bool {
	at, evacuated := d.evacuated[p.member.Domain]
	return evacuated && !now.Before(at)
}

// room returns how many more requests the upstream of an instance could process at the same time, zero if it is cold.
func (d *directory) room(instance string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[instance]
	now := time.Now()
	switch {
	case p == nil:
		return 1
	case d.warmupRates[p.member.Upstream.Service] > 0 && now.Before(p.coldUntil):
		return 0
	}
	candidate := p.candidate(now)
	return max(minRoom, float64(candidate.Slots)-candidate.InProgress())
}

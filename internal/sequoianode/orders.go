package sequoianode

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
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
func (n *Node) order(ctx context.Context, timeout time.Duration, req *sequoiahttp.Request, err error) (*sequoiahttp.Response, error) {
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
	n.core.Granted(sequoiatimer.BootTime(), g, confirmed, fenced)
	n.notify()
	n.mu.Unlock()
	n.metrics.grants.Inc()
	switch {
	case !confirmed:
		n.log.Event("grant not confirmed", "From", g.Range.From, "To", g.Range.To, "Fence", g.Range.Fence, "Fenced", fenced, "Error", err)
	case !held:
		n.log.Event("keys granted", "From", g.Range.From, "To", g.Range.To, "Fence", g.Range.Fence,
			"HoldMilliseconds", g.Hold.Milliseconds(), "Handover", g.Range.Handover != "", "Before", had)
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
	n.core.Released(sequoiatimer.BootTime(), r, handover, confirmed)
	n.mu.Unlock()
	n.log.Event("keys released", "From", r.Range.From, "To", r.Range.To, "Fence", r.Range.Fence, "Confirmed", confirmed, "Error", err)
	n.step(ctx)
}

// write changes the table in the store. If the result is not known, the table is read and the change is made again
// until it is: a write without an answer may still be carried out while the table has the revision that it names.
func (n *Node) write(ctx context.Context, w *sequoiaowner.Write) {
	revision, err := n.commit(ctx, w)
	n.mu.Lock()
	n.core.Written(sequoiatimer.BootTime(), w, revision, err == nil)
	n.notify()
	n.mu.Unlock()
	n.metrics.tableWrites.Inc()
	n.log.Event("table written", "Reason", w.Reason, "Base", w.Base, "Revision", revision, "Absent", w.Absent, "Error", err)
	if err == nil {
		n.sendTable(ctx, revision, w.Table, n.directory.instances())
		n.step(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := n.readTable(ctx); err != nil {
		n.log.Event("table not read", "Error", err)
	}
}

func (n *Node) commit(ctx context.Context, w *sequoiaowner.Write) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b, err := w.Table.Encode()
	if err != nil {
		return 0, err
	}
	change := sequoiaregistry.Change{
		Expected: map[string]uint64{tableKey: w.Base}, Puts: []sequoiaregistry.Item{{Key: tableKey, Value: b}},
	}
	for _, instance := range w.Absent {
		change.Expected[memberPrefix+instance] = 0
	}
	revision, err := n.store.Commit(ctx, change)
	return revision, errors.Wrap(err, "write the table")
}

package sequoianode

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// stepOwnership runs one step of the ownership state machine and starts the resulting actions.
func (n *Node) stepOwnership(ctx context.Context) {
	n.mu.Lock()
	n.stepWarmup(time.Now())
	before := n.core.Upstream()
	era := n.core.Era()
	a := n.core.Step(sequoiatimer.BootTime())
	after := n.core.Upstream()
	needsPromises := n.core.NeedsPromises(sequoiatimer.BootTime())
	restored := n.eraKnown && era != n.era
	t, _ := n.core.Table()
	n.era, n.eraKnown = era, n.eraKnown || t != nil
	n.mu.Unlock()
	if restored {
		n.log.Event("store restored from a copy", "Era", era)
		n.onRestored()
	}
	if needsPromises {
		go n.requestPromises(ctx)
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
		go n.writeTable(ctx, a.Write)
	}
	if a.Observe {
		go n.observe(ctx)
	}
}

// observe reads the members from the store for the ownership state machine, because one of them seems to be missing.
func (n *Node) observe(ctx context.Context) {
	o, err := n.readObservation(ctx)
	n.mu.Lock()
	_, wasRegistered := n.core.Members()[n.settings.Instance]
	n.core.ObservationDone(sequoiatimer.BootTime(), o)
	rewrite := n.membersChanged(wasRegistered)
	members := len(n.core.Members())
	n.mu.Unlock()
	if o != nil && rewrite {
		n.registration.Changed()
	}
	n.log.Event("members read", "Members", members, "Error", err)
}

// readObservation reads the registration records and then the members.
func (n *Node) readObservation(ctx context.Context) (*sequoiaowner.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
	defer cancel()
	registrations, err := n.readRegistrations(ctx)
	if err != nil {
		return nil, err
	}
	items, revision, err := n.store.List(ctx, memberPrefix)
	if err != nil {
		return nil, err
	}
	o := &sequoiaowner.Observation{Registrations: registrations, Revision: revision}
	o.Members, o.Unreadable = n.decodeMembers(items)
	return o, nil
}

// readRegistrations reads the revisions of the registration records, by instance.
func (n *Node) readRegistrations(ctx context.Context) (map[string]uint64, error) {
	records, _, err := n.store.List(ctx, registrationPrefix)
	if err != nil {
		return nil, err
	}
	registrations := map[string]uint64{}
	for _, it := range records {
		registrations[strings.TrimPrefix(it.Key, registrationPrefix)] = it.Revision
	}
	return registrations, nil
}

// sendGrant sends a grant request to the upstream.
func (n *Node) sendGrant(ctx context.Context, g sequoiaowner.Grant) (*sequoiahttp.Response, error) {
	req, err := n.dialect.Grant(g)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return n.commandClient.Do(ctx, n.settings.Upstream, req)
}

// sendRelease sends a release request to the upstream, on a connection that carries nothing else.
func (n *Node) sendRelease(ctx context.Context, r sequoiaowner.Release) (*sequoiahttp.Response, error) {
	req, err := n.dialect.Release(r)
	if err != nil {
		return nil, err
	}
	req.OwnConnection = true
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	return n.commandClient.Do(ctx, n.settings.Upstream, req)
}

// grant sends a grant to the upstream and records the result.
func (n *Node) grant(ctx context.Context, g sequoiaowner.Grant) {
	resp, err := n.sendGrant(ctx, g)
	confirmed := err == nil && resp.Status == http.StatusOK
	fenced := err == nil && n.dialect.Fenced(resp.Status)
	n.mu.Lock()
	previousUntil, held := n.core.Holds(sequoiatimer.BootTime(), n.settings.Service, g.Range.From)
	n.core.GrantDone(sequoiatimer.BootTime(), g, confirmed, fenced)
	n.notifyOwnershipChanged()
	n.mu.Unlock()
	n.metrics.grants.Inc()
	switch {
	case !confirmed:
		n.log.Event("grant not confirmed", "From", g.Range.From, "To", g.Range.To, "Fence", g.Range.Fence,
			"Fenced", fenced, "Error", err)
	case !held:
		n.log.Event("keys granted", "From", g.Range.From, "To", g.Range.To, "Fence", g.Range.Fence,
			"HoldMilliseconds", g.Duration.Milliseconds(), "Handover", g.Range.Handover != "", "Before", previousUntil)
	}
}

// release asks the upstream to release keys and records the result.
func (n *Node) release(ctx context.Context, r sequoiaowner.Release) {
	resp, err := n.sendRelease(ctx, r)
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
	n.stepOwnership(ctx)
}

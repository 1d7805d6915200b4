package sequoianode

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// updateFanout is the number of processes to which a process sends an update of the table. They pass it on, so that an
// update of 4 KB for 66 others does not occupy a link of 10 Mbit/s for 0.2 s, while requests wait behind it.
const updateFanout = 8

// headerPassOn is the header of an update that names the addresses of the processes to which the receiver sends it on.
const headerPassOn = "Pass-On"

// group is one process that gets an update, with those to which it passes the update on.
type group struct {
	head netip.AddrPort
	rest []netip.AddrPort
}

// divide divides the recipients of an update into at most updateFanout groups of about the same size.
func divide(recipients []netip.AddrPort) []group {
	n := min(updateFanout, len(recipients))
	groups := make([]group, 0, n)
	for i := range n {
		members := recipients[i*len(recipients)/n : (i+1)*len(recipients)/n]
		groups = append(groups, group{members[0], members[1:]})
	}
	return groups
}

// broadcastUpdate sends an update to other processes without waiting for responses. A process that misses it learns of
// the newer revision from the next response that it receives.
func (n *Node) broadcastUpdate(ctx context.Context, u update, recipients []netip.AddrPort) {
	body, err := cbor.Marshal(u)
	if err != nil {
		n.log.Event("failed to encode a table update", "Error", err)
		return
	}
	n.sendUpdate(ctx, body, recipients)
}

// sendUpdate sends an encoded update to the recipients, through some of them if there are many.
func (n *Node) sendUpdate(ctx context.Context, body []byte, recipients []netip.AddrPort) {
	for _, g := range divide(recipients) {
		go n.sendToGroup(ctx, body, g)
	}
}

// sendToGroup sends an encoded update to the first process of a group that takes it.
func (n *Node) sendToGroup(ctx context.Context, body []byte, g group) {
	for {
		req := &sequoiarouter.Request{Path: pathTable, Method: http.MethodPost, Body: body}
		if len(g.rest) > 0 {
			passOn := make([]string, len(g.rest))
			for i, addr := range g.rest {
				passOn[i] = addr.String()
			}
			req.Header = map[string][]string{headerPassOn: passOn}
		}
		resp, err := n.sendMessage(ctx, g.head, peerTimeout, req)
		if err != nil {
			n.metrics.messagesLost.Inc()
		}
		// A process that cannot apply the update to its table has passed it on.
		if err == nil || resp != nil && resp.Reason == reasonNotOwner || len(g.rest) == 0 {
			return
		}
		g = group{g.rest[0], g.rest[1:]}
	}
}

// passUpdateOn sends an update that this process has received on to those that it names.
func (n *Node) passUpdateOn(req *sequoiarouter.Request) {
	var recipients []netip.AddrPort
	for _, text := range req.Header[headerPassOn] {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			n.log.Event("table update names an invalid address", "Error", err)
			return
		}
		recipients = append(recipients, addr)
	}
	n.sendUpdate(context.Background(), req.Body, recipients)
}

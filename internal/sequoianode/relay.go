package sequoianode

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// relayDuration is how long store calls go to other processes first, after a direct call failed or was refused.
	// Then the store is called directly again.
	relayDuration = time.Second
	// maxRelayPeers limits the number of processes that are tried for one call.
	maxRelayPeers = 2
	// relayMargin is the part of a call's timeout that is reserved for the transfer between the two processes.
	relayMargin = 20 * time.Millisecond
)

// relay sends store calls through other processes while this process cannot reach the store. The store may reject
// calls from some instances, or a network link may be down, while other instances are still served.
type relay struct {
	node   *Node
	direct sequoiaregistry.RoundTrip

	mu          sync.Mutex
	lastFailure time.Time
}

func newRelay(n *Node, direct sequoiaregistry.RoundTrip) *relay {
	return &relay{node: n, direct: direct}
}

// exchange makes a store call, directly or through another process.
func (r *relay) exchange(ctx context.Context, method, path string, body []byte) (sequoiaregistry.Reply, error) {
	mayHaveRun := false
	if r.recentlyFailed() {
		var reply sequoiaregistry.Reply
		var err error
		if reply, mayHaveRun, err = r.callThroughPeer(ctx, method, path, body); err == nil {
			return reply, nil
		}
	}
	reply, err := r.direct(ctx, method, path, body)
	r.recordResult(ctx, err != nil || storeRefused(reply.Status))
	if err == nil && mayHaveRun && storeRefused(reply.Status) {
		return sequoiaregistry.Reply{}, errors.WithStack(errRelayInDoubt)
	}
	return reply, err
}

// errRelayInDoubt reports a call that the store refused, but that another process may have made before.
var errRelayInDoubt = errors.New("the store refused the call, which another process may have made before")

// storeRefused reports whether the status means that the store refused to serve this instance.
func storeRefused(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (r *relay) recentlyFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastFailure.IsZero() && time.Since(r.lastFailure) < relayDuration
}

func (r *relay) recordResult(ctx context.Context, failed bool) {
	if failed && ctx.Err() == context.Canceled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFailure = time.Time{}
	if failed {
		r.lastFailure = time.Now()
	}
}

// errNoPeer reports a call that no other process made.
var errNoPeer = errors.New("no other process made the call to the store")

// callThroughPeer asks other processes to make the call. It returns an error if none of them returned the store's
// response; mayHaveRun is then true if one of them may have made a call that changes something.
func (r *relay) callThroughPeer(
	ctx context.Context, method, path string, body []byte,
) (reply sequoiaregistry.Reply, mayHaveRun bool, err error) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return reply, false, errNoPeer
	}
	for _, addr := range r.node.directory.randomPeers(maxRelayPeers) {
		req := &sequoiarouter.Request{Path: pathStore + path, Method: method, Body: body}
		resp, err := r.node.sendMessage(ctx, addr, time.Until(deadline), req)
		if err == nil {
			r.node.metrics.relayed.Inc()
			return sequoiaregistry.Reply{Status: resp.Status, Body: resp.Body, Era: resp.LogIndex}, false, nil
		}
		mayHaveRun = method != http.MethodGet && !errors.Is(err, sequoiapeer.ErrNotSent)
		if mayHaveRun || ctx.Err() != nil {
			break
		}
	}
	return reply, mayHaveRun, errNoPeer
}

// serve makes a store call on behalf of another process. The response carries the store's era in place of a revision.
func (r *relay) serve(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	if r.recentlyFailed() {
		return r.node.notRunResponseWithLoad(reasonUnreachable, 0)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(-relayMargin))
	defer cancel()
	reply, err := r.direct(ctx, req.Method, strings.TrimPrefix(req.Path, pathStore), req.Body)
	if err != nil || storeRefused(reply.Status) {
		return r.node.notRunResponseWithLoad(reasonUnreachable, 0)
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: reply.Status, Body: reply.Body, LogIndex: reply.Era}
}

package sequoianode

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// relayTime is how long calls go through other processes after one that the store did not answer, 1 s. Then the
	// store is tried directly again.
	relayTime = time.Second
	// relayPeers bounds the processes that are asked for one call.
	relayPeers = 2
	// relayMargin is the part of a call's time that is left for the way to the other process.
	relayMargin = 20 * time.Millisecond
)

// relay reaches the store through other processes while this one does not reach it. The store may turn some instances
// away, or a link may be cut, while it serves the others.
type relay struct {
	n      *Node
	direct sequoiaregistry.RoundTrip

	mu     sync.Mutex
	failed time.Time
}

func newRelay(n *Node, direct sequoiaregistry.RoundTrip) *relay {
	return &relay{n: n, direct: direct}
}

// exchange sends a call to the store, directly or through another process.
func (r *relay) exchange(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	if r.failing() {
		if status, answer, ok := r.throughPeer(ctx, method, path, body); ok {
			return status, answer, nil
		}
	}
	status, answer, err := r.direct(ctx, method, path, body)
	r.note(ctx, err != nil || turnedAway(status))
	return status, answer, err
}

// turnedAway reports whether the store refused to serve this instance.
func turnedAway(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (r *relay) failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failed.IsZero() && time.Since(r.failed) < relayTime
}

func (r *relay) note(ctx context.Context, failed bool) {
	if failed && ctx.Err() == context.Canceled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = time.Time{}
	if failed {
		r.failed = time.Now()
	}
}

// throughPeer asks other processes to make the call. ok is false if none reached the store.
func (r *relay) throughPeer(ctx context.Context, method, path string, body []byte) (status int, answer []byte, ok bool) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return 0, nil, false
	}
	for _, addr := range r.n.directory.others(relayPeers) {
		req := &sequoiarouter.Request{Path: pathStore + path, Method: method, Body: body}
		resp, err := r.n.message(ctx, addr, time.Until(deadline), req)
		if err == nil {
			r.n.metrics.relayed.Inc()
			return resp.Status, resp.Body, true
		}
		if method != http.MethodGet || ctx.Err() != nil {
			// The other process may have made the call.
			break
		}
	}
	return 0, nil, false
}

// serve makes a call to the store for another process.
func (r *relay) serve(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	if r.failing() {
		return r.n.notRun(reasonUnreachable, 0)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(-relayMargin))
	defer cancel()
	status, body, err := r.direct(ctx, req.Method, strings.TrimPrefix(req.Path, pathStore), req.Body)
	if err != nil || turnedAway(status) {
		return r.n.notRun(reasonUnreachable, 0)
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: status, Body: body}
}

package sequoianode

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// peerService is the name under which processes send each other messages. No configuration has a service with it.
const peerService = "\x00peer"

// Paths of messages between processes.
const (
	// pathLoad asks for the load of the upstream beside a process.
	pathLoad = "/load"
	// pathTable brings a table, with its revision as the key.
	pathTable = "/table"
	// pathDelta brings a change of the table, with the new revision as the key.
	pathDelta = "/delta"
	// pathPropose brings changes to the process that writes the table.
	pathPropose = "/propose"
	// pathFetch asks for the table.
	pathFetch = "/fetch"
	// pathPromise asks for the promise to take no keys over.
	pathPromise = "/promise"
	// pathStore is a call to the store on behalf of a process that does not reach it. The store's path follows.
	pathStore = "/store"
)

const (
	// peerTimeout bounds a message between processes, 300 ms.
	peerTimeout = 300 * time.Millisecond
	// promisePause is the time between rounds of asking for promises, 400 ms: three fit into the time of one promise.
	promisePause = 400 * time.Millisecond
)

// reasonPromise means that the process reaches the store, so that it does not promise to take no keys over.
const reasonPromise = "StoreReached"

// errPeer reports a message that another process could not carry out.
var errPeer = errors.New("the other process could not carry out the message")

// message sends a message to another process and returns the answer.
func (n *Node) message(
	ctx context.Context, addr netip.AddrPort, timeout time.Duration, req *sequoiarouter.Request,
) (*sequoiarouter.Response, error) {
	req.Service, req.Repeatable, req.Deadline = peerService, true, time.Now().Add(timeout)
	resp, err := n.forwarder.Forward(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	if resp.Outcome != sequoiarouter.Answered {
		return nil, errors.Wrap(errPeer, resp.Reason)
	}
	return resp, nil
}

// servePeer answers a message of another process.
func (n *Node) servePeer(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	switch {
	case req.Path == pathLoad:
		return answer(json.Marshal(n.report()))
	case req.Path == pathTable:
		n.takePeerTable(req.Key, req.Body)
		return answer(nil, nil)
	case req.Path == pathDelta:
		if !n.takeDelta(req.Key, req.Body) {
			return n.notRun(reasonNotOwner, 0)
		}
		return answer(nil, nil)
	case req.Path == pathPropose:
		return n.servePropose(ctx, req)
	case req.Path == pathPromise:
		return n.promise()
	case req.Path == pathFetch:
		return n.tableAnswer()
	case strings.HasPrefix(req.Path, pathStore+"/"):
		return n.relay.serve(ctx, req)
	}
	return n.notRun(reasonBadRequest, 0)
}

// promise answers a process that has lost the store.
func (n *Node) promise() *sequoiarouter.Response {
	n.mu.Lock()
	given := n.core.Promise(sequoiatimer.BootTime())
	n.mu.Unlock()
	if !given {
		return n.notRun(reasonPromise, 0)
	}
	return answer(nil, nil)
}

// askPromises extends this process's authority if all other members promise that they do not reach the store either.
func (n *Node) askPromises(ctx context.Context) {
	if !n.asking.CompareAndSwap(false, true) {
		return
	}
	defer n.asking.Store(false)
	n.mu.Lock()
	var others []netip.AddrPort
	for instance, m := range n.core.Members() {
		if instance != n.id.Instance {
			others = append(others, m.Address)
		}
	}
	n.mu.Unlock()
	asked := sequoiatimer.BootTime()
	var promised atomic.Int64
	var all sync.WaitGroup
	for _, addr := range others {
		all.Go(func() {
			req := &sequoiarouter.Request{Path: pathPromise, Method: http.MethodPost}
			if _, err := n.message(ctx, addr, peerTimeout, req); err == nil {
				promised.Add(1)
			}
		})
	}
	all.Wait()
	complete := promised.Load() == int64(len(others))
	if complete {
		n.withCore(func(c *sequoiaowner.Core) { c.Extend(asked) })
	}
	n.log.Event("asked for promises while the store is lost", "Members", len(others), "Promised", promised.Load(), "Extended", complete)
	_ = sequoiatimer.Sleep(ctx, promisePause)
}

func answer(body []byte, err error) *sequoiarouter.Response {
	if err != nil {
		return rejected(reasonBadRequest, 0)
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: http.StatusOK, Body: body}
}

func (n *Node) tableAnswer() *sequoiarouter.Response {
	t, revision := n.table()
	if t == nil {
		return n.notRun(reasonNoOwner, 0)
	}
	resp := answer(t.Encode())
	resp.LogIndex = revision
	return resp
}

// takePeerTable takes a table that another process has read from the store or written to it.
func (n *Node) takePeerTable(revision string, body []byte) {
	v, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		n.log.Event("table of a peer rejected", "Error", err)
		return
	}
	n.setPeerTable(v, body)
}

func (n *Node) setPeerTable(revision uint64, body []byte) {
	t, err := sequoiakeyspace.Decode(body)
	if err != nil {
		n.log.Event("table of a peer rejected", "Revision", revision, "Error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core.SetTable(t, revision) {
		n.log.Event("table from a peer", "Revision", revision, "Fence", t.Fence)
		n.notify()
	}
}

// sendTable brings the whole table to other processes.
func (n *Node) sendTable(ctx context.Context, revision uint64, t *sequoiakeyspace.Table, instances []string) {
	body, err := t.Encode()
	if err != nil {
		n.log.Event("table not sent", "Error", err)
		return
	}
	n.sendAll(ctx, instances, &sequoiarouter.Request{
		Path: pathTable, Method: http.MethodPost, Key: strconv.FormatUint(revision, 10), Body: body,
	})
}

// sendAll sends a message to other processes and waits for none. One that is lost is made up for by noteRevision.
func (n *Node) sendAll(ctx context.Context, instances []string, req *sequoiarouter.Request) {
	for _, instance := range instances {
		addr, ok := n.directory.address(instance)
		if !ok || instance == n.id.Instance {
			continue
		}
		own := *req
		go func() {
			if _, err := n.message(ctx, addr, peerTimeout, &own); err != nil {
				n.metrics.messagesLost.Inc()
			}
		}()
	}
}

// noteRevision fetches the table of a process whose response shows that it has a newer one.
func (n *Node) noteRevision(instance string, revision uint64) {
	_, known := n.table()
	if revision <= known || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		n.fetchTable(context.Background(), instance)
	}()
}

// fetchTable reads the table of a process that has a newer one.
func (n *Node) fetchTable(ctx context.Context, instance string) {
	addr, ok := n.directory.address(instance)
	if !ok {
		return
	}
	resp, err := n.message(ctx, addr, peerTimeout, &sequoiarouter.Request{Path: pathFetch, Method: http.MethodGet})
	if err != nil {
		n.log.Event("table not fetched", "Member", instance, "Error", err)
		return
	}
	n.setPeerTable(resp.LogIndex, resp.Body)
}

func (b *balancer) ask(ctx context.Context, m sequoiaowner.Member) (loadReport, bool) {
	resp, err := b.n.message(ctx, m.Address, peerTimeout, &sequoiarouter.Request{Path: pathLoad, Method: http.MethodGet})
	if err != nil {
		return loadReport{}, false
	}
	var r loadReport
	if err := json.Unmarshal(resp.Body, &r); err != nil {
		b.n.log.Event("load report rejected", "Member", m.Instance, "Error", err)
		return loadReport{}, false
	}
	return r, true
}

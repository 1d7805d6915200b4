package sequoianode

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

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
	// pathTable brings an update of the table.
	pathTable = "/table"
	// pathPropose brings changes to the process that writes the table.
	pathPropose = "/propose"
	// pathFetch asks for an update of the table, with the known revision as the key.
	pathFetch = "/fetch"
	// pathPromise asks for the promise to take no keys over.
	pathPromise = "/promise"
	// pathEnd says that the process named as the key, on the instance in the body, ends and takes no keys over.
	pathEnd = "/end"
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
		if !n.takeUpdate(req.Body) {
			return n.notRun(reasonNotOwner, 0)
		}
		return answer(nil, nil)
	case req.Path == pathPropose:
		return n.servePropose(ctx, req)
	case req.Path == pathPromise:
		return n.promise()
	case req.Path == pathEnd:
		n.withCore(func(c *sequoiaowner.Core) { c.MarkProcessEnded(string(req.Body), req.Key) })
		return answer(nil, nil)
	case req.Path == pathFetch:
		return n.serveFetch(req)
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
	others := n.core.RequiredPromisers()
	n.mu.Unlock()
	asked := sequoiatimer.BootTime()
	missing := n.askAll(ctx, others, &sequoiarouter.Request{Path: pathPromise, Method: http.MethodPost})
	complete := len(missing) == 0
	if complete {
		n.withCore(func(c *sequoiaowner.Core) { c.ExtendAuthority(asked) })
	}
	n.log.Event("asked for promises while the store is lost", "Members", len(others), "Missing", missing, "Extended", complete)
	_ = sequoiatimer.Sleep(ctx, promisePause)
}

// announceEnd tells the other members that they need no promise of this process any more. In an outage of the store its
// entry stays, and without this their authority would end with the first process that is restarted.
func (n *Node) announceEnd(ctx context.Context) {
	n.mu.Lock()
	ends := n.core.TakeoversStopped(sequoiatimer.BootTime())
	members := n.core.RequiredPromisers()
	n.mu.Unlock()
	if !ends {
		return
	}
	failed := n.askAll(ctx, members, &sequoiarouter.Request{
		Path: pathEnd, Method: http.MethodPost, Key: n.process, Body: []byte(n.id.Instance),
	})
	n.metrics.messagesLost.Add(float64(len(failed)))
}

// askAll sends a message to members and waits for the answers. It returns the errors by instance.
func (n *Node) askAll(ctx context.Context, members []sequoiaowner.Member, req *sequoiarouter.Request) map[string]string {
	var mu sync.Mutex
	failed := map[string]string{}
	var all sync.WaitGroup
	for _, m := range members {
		own := *req
		all.Go(func() {
			if _, err := n.message(ctx, m.Address, peerTimeout, &own); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed[m.Instance] = err.Error()
			}
		})
	}
	all.Wait()
	return failed
}

func answer(body []byte, err error) *sequoiarouter.Response {
	if err != nil {
		return rejected(reasonBadRequest, 0)
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: http.StatusOK, Body: body}
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

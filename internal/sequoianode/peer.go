package sequoianode

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// peerService is the reserved service name for messages between processes. No configured service has this name.
const peerService = "\x00peer"

// Paths of messages between processes.
const (
	// pathLoad returns the load of the process's upstream. A body asks to reserve room for keys.
	pathLoad = "/load"
	// pathTable delivers a table update.
	pathTable = "/table"
	// pathPropose sends table changes to the writer.
	pathPropose = "/propose"
	// pathFetch returns a table update. The request's key is the sender's table revision.
	pathFetch = "/fetch"
	// pathPromise asks the process to promise that it takes over no keys. The request's key is the asking instance. The
	// response carries the process ID and the revision of the table.
	pathPromise = "/promise"
	// pathEnd announces that a process exits and takes over no keys. The request's key is the process ID, the body is its
	// instance, and headerRevision is the revision of its table.
	pathEnd = "/end"
	// pathConfigurationNews says which configuration the process has. The request's key is the version, and the body is
	// the process's instance. pathConfiguration returns the configuration.
	pathConfigurationNews = "/configuration/news"
	pathConfiguration     = "/configuration"
	// pathQuarantine delivers records of requests that crash upstreams.
	pathQuarantine = "/quarantine"
	// pathEvacuation delivers orders to evacuate failure domains.
	pathEvacuation = "/evacuation"
	// pathStore relays a store call for a process that cannot reach the store. It is followed by the path of the call.
	pathStore = "/store"
	// pathWatch is a watch of the store that a process asks of another one. The body is a watchQuestion, that of the
	// response a watchAnswer.
	pathWatch = "/watch"
)

const (
	// peerTimeout limits a message between processes.
	peerTimeout = 300 * time.Millisecond
	// promiseInterval is the pause between rounds of promise requests. Three rounds fit into the duration of a promise.
	promiseInterval = 400 * time.Millisecond
)

// headerRevision is the header of a message that carries the revision of the sender's table.
const headerRevision = "Revision"

// reasonStoreReached means that the process gives no promise, because it reaches the store or because one of its own
// takeover writes may still be applied.
const reasonStoreReached = "StoreReached"

// errMessageNotHandled reports that another process could not handle a message.
var errMessageNotHandled = errors.New("the other process could not handle the message")

// sendMessage sends a message to another process and returns the response. With errMessageNotHandled, it returns the
// rejection as well.
func (n *Node) sendMessage(
	ctx context.Context, addr netip.AddrPort, timeout time.Duration, req *sequoiarouter.Request,
) (*sequoiarouter.Response, error) {
	req.Service, req.Repeatable, req.Deadline = peerService, true, time.Now().Add(timeout)
	resp, err := n.forwarder.Forward(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	if resp.Outcome != sequoiarouter.Answered {
		return resp, errors.Wrap(errMessageNotHandled, resp.Reason)
	}
	return resp, nil
}

// servePeerMessage handles a message from another process.
func (n *Node) servePeerMessage(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	switch {
	case req.Path == pathLoad:
		return n.serveLoad(req)
	case req.Path == pathTable:
		n.passUpdateOn(req)
		if !n.applyUpdate(req.Body) {
			return n.notRunResponseWithLoad(reasonNotOwner, 0)
		}
		return okResponse(nil, nil)
	case req.Path == pathPropose:
		return n.servePropose(ctx, req)
	case req.Path == pathPromise:
		return n.servePromise(req)
	case req.Path == pathEnd:
		return n.serveEnd(req)
	case req.Path == pathConfigurationNews:
		return n.serveConfigurationNews(req)
	case req.Path == pathConfiguration:
		return n.serveConfiguration()
	case req.Path == pathQuarantine:
		return n.quarantine.serveAnnouncement(req)
	case req.Path == pathEvacuation:
		return n.serveEvacuation(req)
	case req.Path == pathFetch:
		return n.serveFetch(req)
	case req.Path == pathWatch:
		return n.watches.serve(ctx, req)
	case strings.HasPrefix(req.Path, pathStore+"/"):
		return n.relay.serve(ctx, req)
	}
	return n.notRunResponseWithLoad(reasonBadRequest, 0)
}

// servePromise handles the promise request of a process that has lost the store.
func (n *Node) servePromise(req *sequoiarouter.Request) *sequoiarouter.Response {
	n.mu.Lock()
	promised := n.core.Promise(sequoiatimer.BootTime(), req.Key)
	_, revision := n.core.Table()
	n.mu.Unlock()
	if !promised {
		return n.notRunResponseWithLoad(reasonStoreReached, 0)
	}
	resp := okResponse([]byte(n.processID), nil)
	resp.LogIndex = revision
	return resp
}

// serveEnd handles the message of a process that exits.
func (n *Node) serveEnd(req *sequoiarouter.Request) *sequoiarouter.Response {
	revision := uint64(0)
	if values := req.Header[headerRevision]; len(values) > 0 {
		var err error
		if revision, err = strconv.ParseUint(values[0], 10, 64); err != nil {
			n.log.Event("end of a process rejected", "Member", string(req.Body), "Error", err)
			return n.notRunResponseWithLoad(reasonBadRequest, 0)
		}
	}
	n.withCore(func(c *sequoiaowner.Core) { c.MarkProcessEnded(string(req.Body), req.Key, revision) })
	return okResponse(nil, nil)
}

// requestPromises extends this process's authority if all other members promise to take over no keys. A running member
// promises this only if it cannot reach the store either.
func (n *Node) requestPromises(ctx context.Context) {
	if !n.requestingPromises.CompareAndSwap(false, true) {
		return
	}
	defer n.requestingPromises.Store(false)
	n.mu.Lock()
	others := n.core.RequiredPromisers()
	n.mu.Unlock()
	askedAt := sequoiatimer.BootTime()
	responses, missing := n.broadcastAndWait(ctx, others, &sequoiarouter.Request{
		Path: pathPromise, Method: http.MethodPost, Key: n.settings.Instance,
	})
	promises := map[string]sequoiaowner.Promised{}
	for instance, resp := range responses {
		promises[instance] = sequoiaowner.Promised{Process: string(resp.Body), Revision: resp.LogIndex}
		n.fetchIfNewer(instance, resp.LogIndex)
	}
	extended := false
	n.withCore(func(c *sequoiaowner.Core) { extended = c.ExtendAuthority(askedAt, promises) })
	n.log.Event("asked for promises while the store is lost", "Members", len(others), "Missing", missing, "Extended", extended)
	_ = sequoiatimer.Sleep(ctx, promiseInterval)
}

// announceExit tells the other members that they no longer need a promise from this process. During a store outage the
// entry of an exited process stays, so without this message the other members would lose their authority as soon as one
// process is restarted.
func (n *Node) announceExit(ctx context.Context) {
	n.mu.Lock()
	takeoversStopped := n.core.TakeoversStopped()
	members := n.core.RequiredPromisers()
	_, revision := n.core.Table()
	n.mu.Unlock()
	if !takeoversStopped {
		return
	}
	_, failed := n.broadcastAndWait(ctx, members, &sequoiarouter.Request{
		Path: pathEnd, Method: http.MethodPost, Key: n.processID, Body: []byte(n.settings.Instance),
		Header: map[string][]string{headerRevision: {strconv.FormatUint(revision, 10)}},
	})
	n.metrics.messagesLost.Add(float64(len(failed)))
}

// broadcastAndWait sends a message to members and waits for the responses. It returns the responses and the errors by
// instance.
func (n *Node) broadcastAndWait(
	ctx context.Context, members []sequoiaowner.Member, req *sequoiarouter.Request,
) (responses map[string]*sequoiarouter.Response, failed map[string]string) {
	var mu sync.Mutex
	responses, failed = map[string]*sequoiarouter.Response{}, map[string]string{}
	var wg sync.WaitGroup
	for _, m := range members {
		msg := *req
		wg.Go(func() {
			resp, err := n.sendMessage(ctx, m.Address, peerTimeout, &msg)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed[m.Instance] = err.Error()
				return
			}
			responses[m.Instance] = resp
		})
	}
	wg.Wait()
	return responses, failed
}

// okResponse returns a response with the body, or a rejection if encoding the body failed.
func okResponse(body []byte, err error) *sequoiarouter.Response {
	if err != nil {
		return notRunResponse(reasonBadRequest, 0)
	}
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: http.StatusOK, Body: body}
}

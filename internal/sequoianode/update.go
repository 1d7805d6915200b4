package sequoianode

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// maxHistory is the number of changes of the table that a process keeps for others that have missed them: those of
	// about 5 s in which all upstreams restart.
	maxHistory = 32
	// updateWait is how long a process waits for a change that is on its way before it asks for it, 60 ms.
	updateWait = 60 * time.Millisecond
)

// delta is one change of the table.
type delta struct {
	_        struct{} `cbor:",toarray"`
	Base     uint64
	Revision uint64
	Changes  sequoiakeyspace.Changes
}

// update brings another process's table up to a revision, with the changes since its own or with the whole table. A whole
// table of a large fleet takes 20 KB, which a process with 10 Mbit/s cannot send to all others many times a second.
type update struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Table    []byte
	Deltas   []delta
}

// history is the last changes of the table, the newest at the end.
type history []delta

func (h *history) add(d delta) {
	if len(*h) >= maxHistory {
		*h = slices.Delete(*h, 0, 1)
	}
	*h = append(*h, d)
}

// since returns the changes that lead from one revision to another, and false if some are not known.
func (h history) since(base, revision uint64) ([]delta, bool) {
	first := slices.IndexFunc(h, func(d delta) bool { return d.Base == base })
	if first < 0 {
		return nil, false
	}
	for i, d := range h[first:] {
		if d.Base != base {
			return nil, false
		}
		base = d.Revision
		if base == revision {
			return slices.Clone(h[first : first+i+1]), true
		}
	}
	return nil, false
}

// updateSince returns what a process with the table of a revision needs, and false if there is nothing newer here.
func (n *Node) updateSince(base uint64) (update, bool) {
	n.mu.Lock()
	t, revision := n.core.Table()
	deltas, ok := n.history.since(base, revision)
	n.mu.Unlock()
	if t == nil || revision <= base {
		return update{}, false
	}
	if ok {
		return update{Revision: revision, Deltas: deltas}, true
	}
	b, err := t.Encode()
	if err != nil {
		n.log.Event("table not sent", "Error", err)
		return update{}, false
	}
	return update{Revision: revision, Table: b}, true
}

func (n *Node) serveFetch(req *sequoiarouter.Request) *sequoiarouter.Response {
	base, err := strconv.ParseUint(req.Key, 10, 64)
	if err != nil {
		return n.notRun(reasonBadRequest, 0)
	}
	u, ok := n.updateSince(base)
	if !ok {
		return n.notRun(reasonNoOwner, 0)
	}
	return answer(cbor.Marshal(u))
}

// takeUpdate takes an update of another process. It reports whether this process has the update's revision now.
func (n *Node) takeUpdate(body []byte) bool {
	var u update
	var t *sequoiakeyspace.Table
	err := cbor.Unmarshal(body, &u)
	if err == nil && u.Table != nil {
		t, err = sequoiakeyspace.Decode(u.Table)
	}
	if err != nil {
		n.log.Event("update of the table rejected", "Revision", u.Revision, "Error", err)
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if t != nil && n.core.SetTable(t, u.Revision) {
		n.log.Event("table from a peer", "Revision", u.Revision, "Fence", t.Fence, "Bytes", len(u.Table))
		n.notify()
	}
	for _, d := range u.Deltas {
		n.takeDelta(d)
	}
	_, known := n.core.Table()
	return known >= u.Revision
}

// takeDelta makes a change if it follows the table that this process has. The caller holds mu.
func (n *Node) takeDelta(d delta) {
	t, known := n.core.Table()
	if t == nil || known != d.Base {
		return
	}
	t = t.Clone()
	if len(t.Apply(d.Changes)) != len(d.Changes) {
		return
	}
	n.core.SetTable(t, d.Revision)
	n.history.add(d)
	n.notify()
}

// sendUpdate brings an update to other processes and waits for none.
func (n *Node) sendUpdate(ctx context.Context, u update, instances []string) {
	body, err := cbor.Marshal(u)
	if err != nil {
		n.log.Event("update of the table not sent", "Error", err)
		return
	}
	n.sendAll(ctx, instances, &sequoiarouter.Request{Path: pathTable, Method: http.MethodPost, Body: body})
}

// awaitRevision waits for an update that is on its way. It reports whether this process has the revision.
func (n *Node) awaitRevision(ctx context.Context, revision uint64) bool {
	return n.awaitOwnership(ctx, updateWait, func() bool {
		_, known := n.core.Table()
		return known >= revision
	})
}

// noteRevision fetches the table of a process whose response shows that it has a newer one.
func (n *Node) noteRevision(instance string, revision uint64) {
	_, known := n.table()
	if revision <= known || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		if !n.awaitRevision(context.Background(), revision) {
			n.fetchTable(context.Background(), instance)
		}
	}()
}

// fetchTable gets what a process with a newer table has changed.
func (n *Node) fetchTable(ctx context.Context, instance string) {
	addr, ok := n.directory.address(instance)
	if !ok {
		return
	}
	_, known := n.table()
	resp, err := n.message(ctx, addr, peerTimeout, &sequoiarouter.Request{
		Path: pathFetch, Method: http.MethodGet, Key: strconv.FormatUint(known, 10),
	})
	if err != nil {
		n.log.Event("table not fetched", "Member", instance, "Error", err)
		return
	}
	n.takeUpdate(resp.Body)
}

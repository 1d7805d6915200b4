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
	// maxHistory is the number of table changes that a process keeps for peers that missed them. It covers about 5 s
	// while all upstreams restart.
	maxHistory = 32
	// updateWaitTimeout is how long a process waits for an update that another process is already sending before it
	// fetches the update itself.
	updateWaitTimeout = 60 * time.Millisecond
)

// delta holds the changes between two consecutive revisions of the table.
type delta struct {
	_        struct{} `cbor:",toarray"`
	Base     uint64
	Revision uint64
	Changes  sequoiakeyspace.Changes
}

// update brings the table of another process to a revision. It contains either the deltas since that process's own
// revision or the full table. The full table of a large fleet takes 20 KB, which a process with a 10 Mbit/s link cannot
// send to all others many times per second.
type update struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Table    []byte
	Deltas   []delta
}

// history holds the most recent table changes, oldest first.
type history []delta

func (h *history) add(d delta) {
	if len(*h) >= maxHistory {
		*h = slices.Delete(*h, 0, 1)
	}
	*h = append(*h, d)
}

// since returns the changes that lead from revision base to the given revision. It returns false if any of them is
// missing.
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

// updateSince returns the update for a process whose table has revision base. It returns false if this process has no
// newer table.
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
		n.log.Event("failed to encode the table", "Error", err)
		return update{}, false
	}
	return update{Revision: revision, Table: b}, true
}

func (n *Node) serveFetch(req *sequoiarouter.Request) *sequoiarouter.Response {
	base, err := strconv.ParseUint(req.Key, 10, 64)
	if err != nil {
		return n.notRunResponseWithLoad(reasonBadRequest, 0)
	}
	u, ok := n.updateSince(base)
	if !ok {
		return n.notRunResponseWithLoad(reasonNoOwner, 0)
	}
	return okResponse(cbor.Marshal(u))
}

// applyUpdate applies an update from another process. It reports whether the local table has at least the update's
// revision afterwards.
func (n *Node) applyUpdate(body []byte) bool {
	var u update
	var t *sequoiakeyspace.Table
	err := cbor.Unmarshal(body, &u)
	if err == nil && u.Table != nil {
		t, err = sequoiakeyspace.Decode(u.Table)
	}
	if err != nil {
		n.log.Event("table update rejected", "Revision", u.Revision, "Error", err)
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if t != nil && n.core.SetTable(t, u.Revision) {
		n.log.Event("table from a peer", "Revision", u.Revision, "Fence", t.Fence, "Bytes", len(u.Table))
		n.notifyOwnershipChanged()
	}
	for _, d := range u.Deltas {
		n.applyDelta(d)
	}
	_, known := n.core.Table()
	return known >= u.Revision
}

// applyDelta applies a delta if it is based on the revision of the local table. The caller must hold mu.
func (n *Node) applyDelta(d delta) {
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
	n.notifyOwnershipChanged()
}

// broadcastUpdate sends an update to other processes without waiting for responses.
func (n *Node) broadcastUpdate(ctx context.Context, u update, instances []string) {
	body, err := cbor.Marshal(u)
	if err != nil {
		n.log.Event("failed to encode a table update", "Error", err)
		return
	}
	n.broadcast(ctx, instances, &sequoiarouter.Request{Path: pathTable, Method: http.MethodPost, Body: body})
}

// awaitRevision waits for an update that another process is already sending. It reports whether the local table reached
// the revision in time.
func (n *Node) awaitRevision(ctx context.Context, revision uint64) bool {
	return n.awaitOwnership(ctx, updateWaitTimeout, func() bool {
		_, known := n.core.Table()
		return known >= revision
	})
}

// fetchIfNewer starts fetching table updates from a process whose response carries a newer revision, unless a fetch is
// already running.
func (n *Node) fetchIfNewer(instance string, revision uint64) {
	_, known := n.table()
	if revision <= known || !n.fetchingTable.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetchingTable.Store(false)
		if !n.awaitRevision(context.Background(), revision) {
			n.fetchTable(context.Background(), instance)
		}
	}()
}

// fetchTable fetches the table changes since the local revision from another process and applies them.
func (n *Node) fetchTable(ctx context.Context, instance string) {
	addr, ok := n.directory.address(instance)
	if !ok {
		return
	}
	_, known := n.table()
	resp, err := n.sendMessage(ctx, addr, peerTimeout, &sequoiarouter.Request{
		Path: pathFetch, Method: http.MethodGet, Key: strconv.FormatUint(known, 10),
	})
	if err != nil {
		n.log.Event("failed to fetch the table", "Member", instance, "Error", err)
		return
	}
	n.applyUpdate(resp.Body)
}

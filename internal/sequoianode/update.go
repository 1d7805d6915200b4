package sequoianode

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// maxHistory is the number of table changes that a process keeps for peers that missed them. It covers about 5 s
	// while all upstreams restart.
	maxHistory = 32
	// tableBytesPerSecond limits the whole tables that a process sends to others, to a fifth of a link of 10 Mbit/s.
	// Without a limit, all processes of a large fleet fetch the table of 30 KB from the one that has just changed it, and
	// requests wait behind 2 MB on its link.
	tableBytesPerSecond = 250e3
	// tableBurstBytes is how much of whole tables a process may send at once. A larger table may be sent once the whole
	// burst is available.
	tableBurstBytes = 64 << 10
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

// tableSender encodes whole tables for other processes, each once, and limits the bytes that are sent. It is safe for
// concurrent use.
type tableSender struct {
	mu sync.Mutex
	// encoded is the table of a revision.
	encoded  []byte
	revision uint64
	budget   float64
	updated  time.Time
}

// table returns the encoding of the table of a revision. It returns nil if it must not be sent now.
func (s *tableSender) table(now time.Time, t *sequoiakeyspace.Table, revision uint64) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encoded == nil || s.revision != revision {
		b, err := t.Encode()
		if err != nil {
			return nil, err
		}
		s.encoded, s.revision = b, revision
	}
	if !s.take(now, len(s.encoded)) {
		return nil, nil
	}
	return s.encoded, nil
}

// take reports whether the given number of bytes may be sent now. The caller must hold mu.
func (s *tableSender) take(now time.Time, size int) bool {
	if s.updated.IsZero() {
		s.budget = tableBurstBytes
	} else {
		s.budget = min(tableBurstBytes, s.budget+now.Sub(s.updated).Seconds()*tableBytesPerSecond)
	}
	s.updated = now
	if s.budget < min(tableBurstBytes, float64(size)) {
		return false
	}
	s.budget -= float64(size)
	return true
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
// newer table, or has sent too many whole ones.
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
	b, err := n.tables.table(time.Now(), t, revision)
	if err != nil {
		n.log.Event("failed to encode the table", "Error", err)
		return update{}, false
	}
	if b == nil {
		n.metrics.tablesWithheld.Inc()
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

// fetchTable fetches the table changes since the local revision from another process and applies them. If that process
// sends none, because it is sending its table to many others, a random process is asked, which may have it by now.
func (n *Node) fetchTable(ctx context.Context, instance string) {
	addr, ok := n.directory.address(instance)
	if !ok {
		return
	}
	_, known := n.table()
	msg := sequoiarouter.Request{Path: pathFetch, Method: http.MethodGet, Key: strconv.FormatUint(known, 10)}
	first := msg
	resp, err := n.sendMessage(ctx, addr, peerTimeout, &first)
	if errors.Is(err, errMessageNotHandled) {
		for _, addr := range n.directory.randomPeers(1) {
			resp, err = n.sendMessage(ctx, addr, peerTimeout, &msg)
		}
	}
	if err != nil {
		n.log.Event("failed to fetch the table", "Member", instance, "Error", err)
		return
	}
	n.applyUpdate(resp.Body)
}

package sequoianode

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// collectTime is how long the writer collects the changes of other processes for one write, 40 ms.
	collectTime = 40 * time.Millisecond
	// commitAttempts bounds the attempts to write the same changes when another process has changed the table.
	commitAttempts = 3
	// storeRetry is the pause after a write that the store has not carried out, 600 ms. A store that refuses calls goes on
	// for seconds, and each process of a large fleet asks it.
	storeRetry = 600 * time.Millisecond
	// proposeTimeout bounds a proposal to the writer: its collecting, and two calls to the store.
	proposeTimeout = 900 * time.Millisecond
)

// outdated reports whether a write failed because the table had changed.
func outdated(err error) bool {
	return errors.Is(err, sequoiaregistry.ErrConflict) || errors.Is(err, errNotWritten)
}

// errNotWritten reports changes that the table does not have.
var errNotWritten = errors.New("the change is not in the table")

// proposal is a write that waits for the next commit.
type proposal struct {
	write *sequoiaowner.Write
	done  chan error
}

// write changes the table. Changes go to one process, the writer, which makes many of them with one call to the store:
// with a compare-and-swap of each process's own, all but one of those that write at the same time would fail. If the
// writer is not reached, the process writes by itself.
func (n *Node) write(ctx context.Context, w *sequoiaowner.Write) {
	err := n.propose(ctx, w)
	n.withCore(func(c *sequoiaowner.Core) {
		now := sequoiatimer.BootTime()
		c.WriteDone(now, err == nil)
		if err != nil && !outdated(err) {
			c.DelayWrites(now.Add(storeRetry))
		}
		n.notify()
	})
	n.log.Event("table change proposed", "Reason", w.Reason, "Changes", len(w.Changes), "Absent", w.Absent, "Error", err)
	if err == nil {
		n.step(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
	defer cancel()
	if err := n.readTable(ctx); err != nil {
		n.log.Event("table not read", "Error", err)
	}
}

func (n *Node) propose(ctx context.Context, w *sequoiaowner.Write) error {
	if writer := n.writer(); writer != n.id.Instance && len(w.Absent) == 0 {
		if addr, ok := n.directory.address(writer); ok && n.proposeTo(ctx, writer, addr, w) == nil {
			return nil
		}
	}
	return n.collect(ctx, w)
}

// writer returns the instance that writes for all: the first one among the members.
func (n *Node) writer() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := slices.Sorted(maps.Keys(n.core.Members()))
	if len(names) == 0 {
		return n.id.Instance
	}
	return names[0]
}

// proposeTo sends a write to the writer. The writer sends the change to all processes, so its answer has the revision only.
func (n *Node) proposeTo(ctx context.Context, writer string, addr netip.AddrPort, w *sequoiaowner.Write) error {
	body, err := cbor.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encode a proposal")
	}
	resp, err := n.message(ctx, addr, proposeTimeout, &sequoiarouter.Request{Path: pathPropose, Method: http.MethodPost, Body: body})
	if err != nil {
		return err
	}
	if !n.awaitRevision(ctx, resp.LogIndex) {
		n.fetchTable(ctx, writer)
	}
	return nil
}

// servePropose writes the changes of another process.
func (n *Node) servePropose(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	var w sequoiaowner.Write
	if err := cbor.Unmarshal(req.Body, &w); err != nil || len(w.Absent) > 0 {
		n.log.Event("proposal rejected", "Error", err)
		return n.notRun(reasonBadRequest, 0)
	}
	if err := n.collect(ctx, &w); err != nil {
		return n.notRun(reasonNotOwner, 0)
	}
	resp := answer(nil, nil)
	_, resp.LogIndex = n.table()
	return resp
}

// collect adds a write to the next commit and waits for it.
func (n *Node) collect(ctx context.Context, w *sequoiaowner.Write) error {
	p := proposal{w, make(chan error, 1)}
	n.mu.Lock()
	n.proposals = append(n.proposals, p)
	first := len(n.proposals) == 1
	n.mu.Unlock()
	if first {
		n.timers.After(collectTime, func(time.Time) { n.commit() })
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// commit writes the collected changes.
func (n *Node) commit() {
	n.committing.Lock()
	defer n.committing.Unlock()
	n.mu.Lock()
	proposals := n.proposals
	n.proposals = nil
	n.mu.Unlock()
	var err error
	for range commitAttempts {
		if err = n.commitOnce(proposals); !errors.Is(err, sequoiaregistry.ErrConflict) {
			break
		}
	}
	for _, p := range proposals {
		if err == nil {
			err = n.holds(p.write)
		}
		p.done <- err
	}
}

// holds reports an error unless the table has the changes of a write.
func (n *Node) holds(w *sequoiaowner.Write) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, _ := n.core.Table()
	for _, c := range w.Changes {
		if r, ok := t.Find(c.Service, c.From); !ok || r.Holder != c.Holder || !r.Contains(c.To) {
			return errors.WithStack(errNotWritten)
		}
	}
	return nil
}

func (n *Node) commitOnce(proposals []proposal) error {
	t, base := n.table()
	if t == nil {
		return errors.WithStack(errNotWritten)
	}
	t = t.Clone()
	change := sequoiaregistry.Transaction{Expected: map[string]uint64{tableKey: base}}
	var made sequoiakeyspace.Changes
	spread := false
	for _, p := range proposals {
		made = append(made, p.write.Apply(t)...)
		spread = spread || p.write.Spread != ""
		for _, instance := range p.write.Absent {
			change.Expected[memberPrefix+instance] = 0
		}
	}
	if len(made) == 0 && !spread {
		return errors.WithStack(errNotWritten)
	}
	b, err := t.Encode()
	if err != nil {
		return err
	}
	change.Puts = []sequoiaregistry.Item{{Key: tableKey, Value: b}}
	ctx, cancel := context.WithTimeout(context.Background(), sequoiaregistry.CallTimeout)
	defer cancel()
	revision, err := n.store.Commit(ctx, change)
	n.metrics.tableWrites.Inc()
	n.log.Event("table written", "Proposals", len(proposals), "Changes", len(made), "Base", base, "Revision", revision, "Error", err)
	if err != nil {
		if errors.Is(err, sequoiaregistry.ErrConflict) {
			if readErr := n.readTable(ctx); readErr != nil {
				n.log.Event("table not read", "Error", readErr)
			}
		}
		return errors.Wrap(err, "write the table")
	}
	u := update{Revision: revision, Table: b}
	n.mu.Lock()
	n.core.SetTable(t, revision)
	if !spread {
		d := delta{Base: base, Revision: revision, Changes: made}
		n.history.add(d)
		u = update{Revision: revision, Deltas: []delta{d}}
	}
	n.notify()
	n.mu.Unlock()
	// Nobody watches the table in the store, where each change would cost a call of every process. One that misses a change
	// learns from the next response that there is a newer table.
	n.sendUpdate(context.Background(), u, n.directory.instances())
	return nil
}

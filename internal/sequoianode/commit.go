package sequoianode

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
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
	// proposalBatchWindow is how long the writer collects proposals before it commits them in one store call.
	proposalBatchWindow = 40 * time.Millisecond
	// maxCommitAttempts limits the attempts to commit the same changes when another process has changed the table.
	maxCommitAttempts = 3
	// storeRetryDelay is the pause after a write that the store did not execute. A store that refuses calls usually
	// does so for seconds, and each process of a large fleet retries.
	storeRetryDelay = 600 * time.Millisecond
	// maxConditions limits the conditions of one commit besides that of the table. A transaction of the store has at most 32
	// entries, and the table's condition and value are two of them.
	maxConditions = 30
	// proposeTimeout limits a proposal to the writer. It covers proposalBatchWindow and two store calls.
	proposeTimeout = 900 * time.Millisecond
)

// Errors of a write of the table.
var (
	// errNotWritten reports that the table does not contain the proposed changes.
	errNotWritten = errors.New("the table does not contain the change")
	// errTableChanged reports that the table changed during each attempt to write it.
	errTableChanged = errors.New("the table changed during each attempt to write it")
)

// writeResult returns the meaning of a write's error for the ownership state machine.
func writeResult(err error) sequoiaowner.WriteResult {
	switch {
	case err == nil:
		return sequoiaowner.WriteApplied
	case errors.Is(err, sequoiaregistry.ErrConflict):
		return sequoiaowner.WriteConflict
	case errors.Is(err, errNotWritten), errors.Is(err, errTableChanged), errors.Is(err, sequoiaregistry.ErrRefused),
		errors.Is(err, sequoiaregistry.ErrLeaseEnded):
		return sequoiaowner.WriteRefused
	}
	return sequoiaowner.WriteInDoubt
}

// proposal is a pending write for the next commit. done receives its result.
type proposal struct {
	write *sequoiaowner.Write
	done  chan error
}

// writeTable changes the table. Processes send their changes to a single writer process, which batches them into one
// compare-and-swap in the store. If each process made its own, all but one of the concurrent writes would fail. If the
// writer cannot be reached, the process writes to the store itself.
func (n *Node) writeTable(ctx context.Context, w *sequoiaowner.Write) {
	err := n.propose(ctx, w)
	n.withCore(func(c *sequoiaowner.Core) {
		now, result := sequoiatimer.BootTime(), writeResult(err)
		c.WriteDone(now, result)
		if result == sequoiaowner.WriteInDoubt || errors.Is(err, sequoiaregistry.ErrRefused) {
			c.DelayWrites(now.Add(storeRetryDelay))
		}
		n.notifyOwnershipChanged()
	})
	n.log.Event("table change proposed", "Reason", w.Reason, "Changes", len(w.Changes), "Absent", w.Absent, "Error", err)
	if err == nil {
		n.stepOwnership(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
	defer cancel()
	if err := n.readTable(ctx); err != nil {
		n.log.Event("failed to read the table", "Error", err)
	}
}

// propose sends a write to the writer. It commits the write locally if this process is the writer, if the writer does
// not commit the write, or if the write requires that certain members are not registered.
func (n *Node) propose(ctx context.Context, w *sequoiaowner.Write) error {
	if w.Recovery != nil {
		return n.replaceTable(ctx, w)
	}
	if writer := n.writer(); writer != n.settings.Instance && len(w.Absent) == 0 {
		if addr, ok := n.directory.address(writer); ok && n.proposeToWriter(ctx, writer, addr, w) == nil {
			return nil
		}
	}
	return n.submitProposal(ctx, w)
}

// replaceTable writes a whole table in place of the one in the store, after a restore of the store.
func (n *Node) replaceTable(ctx context.Context, w *sequoiaowner.Write) error {
	if w.Reason == sequoiaowner.ReasonRestored && n.fetchTables(ctx) {
		return errors.WithStack(errTableChanged)
	}
	n.commitMu.Lock()
	defer n.commitMu.Unlock()
	t := w.Recovery.Table
	b, err := t.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
	defer cancel()
	revision, err := n.store.Commit(ctx, sequoiaregistry.Transaction{
		Expected: map[string]uint64{tableKey: w.Recovery.Base}, Puts: []sequoiaregistry.Item{{Key: tableKey, Value: b}},
	})
	n.metrics.tableWrites.Inc()
	n.log.Event("table replaced after a restore", "Reason", w.Reason, "Base", w.Recovery.Base, "Revision", revision, "Fence", t.Fence, "Error", err)
	if err != nil {
		return errors.Wrap(err, "replace the table")
	}
	n.publishTable(t, update{Revision: revision, Table: b})
	return nil
}

// publishTable applies a table that has been written to the store, and sends the update that leads to it to all
// processes. They do not watch the table in the store, because each change would then cost a store call by every
// process. A process that misses a change learns of the newer revision from the next response it receives.
func (n *Node) publishTable(t *sequoiakeyspace.Table, u update) {
	n.mu.Lock()
	n.core.SetTable(t, u.Revision)
	for _, d := range u.Deltas {
		n.history.add(d)
	}
	n.notifyOwnershipChanged()
	n.mu.Unlock()
	n.broadcastUpdate(context.Background(), u, n.directory.others())
}

// fetchTables fetches newer tables from all other processes. It reports whether there was one.
func (n *Node) fetchTables(ctx context.Context) bool {
	_, before := n.table()
	var wg sync.WaitGroup
	for _, instance := range n.directory.instances() {
		if instance != n.settings.Instance {
			wg.Go(func() { n.fetchTable(ctx, instance) })
		}
	}
	wg.Wait()
	_, after := n.table()
	return after > before
}

// writer returns the instance whose process writes the table for all: the first member in sorted order.
func (n *Node) writer() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := slices.Sorted(maps.Keys(n.core.Members()))
	if len(names) == 0 {
		return n.settings.Instance
	}
	return names[0]
}

// proposeToWriter sends a write to the writer and waits until the local table includes it. The writer broadcasts the
// change to all processes, so its response contains only the revision.
func (n *Node) proposeToWriter(ctx context.Context, writer string, addr netip.AddrPort, w *sequoiaowner.Write) error {
	body, err := cbor.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encode a proposal")
	}
	resp, err := n.sendMessage(ctx, addr, proposeTimeout, &sequoiarouter.Request{Path: pathPropose, Method: http.MethodPost, Body: body})
	if err != nil {
		return err
	}
	if !n.awaitRevision(ctx, resp.LogIndex) {
		n.fetchTable(ctx, writer)
	}
	return nil
}

// servePropose commits a write on behalf of another process.
func (n *Node) servePropose(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	var w sequoiaowner.Write
	if err := cbor.Unmarshal(req.Body, &w); err != nil || len(w.Absent) > 0 {
		n.log.Event("proposal rejected", "Error", err)
		return n.notRunResponseWithLoad(reasonBadRequest, 0)
	}
	if err := n.submitProposal(ctx, &w); err != nil {
		return n.notRunResponseWithLoad(reasonNotOwner, 0)
	}
	resp := okResponse(nil, nil)
	_, resp.LogIndex = n.table()
	return resp
}

// submitProposal adds a write to the next commit and waits for the result.
func (n *Node) submitProposal(ctx context.Context, w *sequoiaowner.Write) error {
	p := proposal{w, make(chan error, 1)}
	n.mu.Lock()
	n.proposals = append(n.proposals, p)
	first := len(n.proposals) == 1
	n.mu.Unlock()
	if first {
		n.timers.After(proposalBatchWindow, func(time.Time) { n.commit() })
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// commit writes all pending proposals to the store.
func (n *Node) commit() {
	n.commitMu.Lock()
	defer n.commitMu.Unlock()
	n.mu.Lock()
	proposals := n.proposals
	n.proposals = nil
	n.mu.Unlock()
	for len(proposals) > 0 {
		batch := nextBatch(proposals)
		n.commitProposals(batch)
		proposals = proposals[len(batch):]
	}
}

// nextBatch returns the first proposals that can be written together.
func nextBatch(proposals []proposal) []proposal {
	all := map[string]uint64{}
	for i, p := range proposals {
		own := conditions(p.write)
		contradicts := false
		for key, revision := range own {
			known, ok := all[key]
			contradicts = contradicts || ok && known != revision
		}
		maps.Copy(all, own)
		if i > 0 && (contradicts || len(all) > maxConditions) {
			return proposals[:i]
		}
	}
	return proposals
}

// conditions returns the revisions of items in the store on which a write depends, besides the table.
func conditions(w *sequoiaowner.Write) map[string]uint64 {
	expected := map[string]uint64{}
	for _, a := range w.Absent {
		expected[memberPrefix+a.Instance] = 0
		expected[registrationPrefix+a.Instance] = a.Registration
	}
	if r := w.Releaser; r.Instance != "" {
		expected[registrationPrefix+r.Instance] = r.Registration
	}
	return expected
}

// commitProposals writes the proposals together. If the table is the one that the write was based on and a condition
// fails nevertheless, it is a condition of one of the proposals; the others are then written without it.
func (n *Node) commitProposals(proposals []proposal) {
	var err error
	for range maxCommitAttempts {
		_, base := n.table()
		if err = n.commitOnce(proposals); !errors.Is(err, sequoiaregistry.ErrConflict) {
			break
		}
		if _, revision := n.table(); revision == base {
			n.commitValid(proposals, err)
			return
		}
		err = errors.WithStack(errTableChanged)
	}
	for _, p := range proposals {
		if err != nil {
			p.done <- err
			continue
		}
		p.done <- n.verifyWritten(p.write)
	}
}

// commitValid rejects the takeovers among the proposals and the moves of processes that have registered since with err,
// and writes the others.
func (n *Node) commitValid(proposals []proposal, err error) {
	var others []proposal
	valid := n.releasersRegistered(proposals)
	for i, p := range proposals {
		if len(p.write.Absent) > 0 || !valid[i] {
			p.done <- err
		} else {
			others = append(others, p)
		}
	}
	switch {
	case len(others) == 0:
	case len(others) == len(proposals):
		// No condition is the cause, so the table in the store is not the one that was read: it will be read again.
		for _, p := range others {
			p.done <- errors.WithStack(errTableChanged)
		}
	default:
		n.commitProposals(others)
	}
}

// releasersRegistered reports for each proposal whether the condition on its releaser holds. It reads the registration
// records from the store if there are such conditions; if that fails, none of them counts as met.
func (n *Node) releasersRegistered(proposals []proposal) []bool {
	valid := make([]bool, len(proposals))
	conditional := false
	for i, p := range proposals {
		valid[i] = p.write.Releaser.Instance == ""
		conditional = conditional || !valid[i]
	}
	if !conditional {
		return valid
	}
	ctx, cancel := context.WithTimeout(context.Background(), sequoiaregistry.CallTimeout)
	defer cancel()
	records, err := n.readRegistrations(ctx)
	if err != nil {
		n.log.Event("failed to read the registrations", "Error", err)
	}
	for i, p := range proposals {
		if r := p.write.Releaser; r.Instance != "" {
			revision, ok := records[r.Instance]
			valid[i] = ok && revision == r.Registration
		}
	}
	return valid
}

// verifyWritten returns an error unless the table contains the changes of a write.
func (n *Node) verifyWritten(w *sequoiaowner.Write) error {
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

// commitOnce applies the proposals to a copy of the table, writes it to the store and broadcasts the changes.
func (n *Node) commitOnce(proposals []proposal) error {
	t, base := n.table()
	if t == nil {
		return errors.WithStack(errNotWritten)
	}
	t = t.Clone()
	tx := sequoiaregistry.Transaction{Expected: map[string]uint64{tableKey: base}}
	var applied sequoiakeyspace.Changes
	spread := false
	for _, p := range proposals {
		applied = append(applied, p.write.Apply(t)...)
		spread = spread || p.write.Spread != ""
		maps.Copy(tx.Expected, conditions(p.write))
	}
	if len(applied) == 0 && !spread {
		return errors.WithStack(errNotWritten)
	}
	b, err := t.Encode()
	if err != nil {
		return err
	}
	tx.Puts = []sequoiaregistry.Item{{Key: tableKey, Value: b}}
	ctx, cancel := context.WithTimeout(context.Background(), sequoiaregistry.CallTimeout)
	defer cancel()
	revision, err := n.store.Commit(ctx, tx)
	n.metrics.tableWrites.Inc()
	n.log.Event("table written", "Proposals", len(proposals), "Changes", len(applied), "Base", base, "Revision", revision, "Error", err)
	if err != nil {
		if errors.Is(err, sequoiaregistry.ErrConflict) {
			if readErr := n.readTable(ctx); readErr != nil {
				n.log.Event("failed to read the table", "Error", readErr)
			}
		}
		return errors.Wrap(err, "write the table")
	}
	u := update{Revision: revision, Table: b}
	if !spread {
		u = update{Revision: revision, Deltas: []delta{{Base: base, Revision: revision, Changes: applied}}}
	}
	n.publishTable(t, u)
	return nil
}

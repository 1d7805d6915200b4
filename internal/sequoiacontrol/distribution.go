package sequoiacontrol

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// peer tracks how much of the log another process has.
type peer struct {
	logIndex uint64
	heardAt  time.Time
	// replyTo is the control address from the process's EntriesRequest, used while the process is not a member.
	replyTo netip.AddrPort
	// pushedIndex is the index of the last entry sent to the peer.
	pushedIndex uint64
	// pushedAt and requestedAt limit the rate of repeated pushes and requests.
	pushedAt    time.Time
	requestedAt time.Time
}

func (c *Core) peer(id sequoiatable.IncarnationID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	return p
}

func (c *Core) recordHeard(id sequoiatable.IncarnationID, index uint64) {
	p := c.peer(id)
	p.heardAt = c.now
	p.logIndex = max(p.logIndex, index)
	if index < c.table.Index {
		c.pushTo(id)
	}
}

// pushEntries sends new entries to the neighbours given by the authority.
func (c *Core) pushEntries() {
	for _, id := range c.authority.Neighbours() {
		c.pushTo(id)
	}
}

// pushTo sends the entries that the peer lacks. Within two renewal intervals of the last push it sends only entries
// newer than those already pushed.
func (c *Core) pushTo(id sequoiatable.IncarnationID) {
	p := c.peer(id)
	if p.logIndex >= c.table.Index {
		return
	}
	recent := c.now.Sub(p.pushedAt) < 2*c.opt.timings.RenewInterval
	if recent && p.pushedIndex >= c.table.Index {
		return
	}
	after := p.logIndex
	if recent {
		after = max(after, p.pushedIndex)
	}
	p.pushedIndex = c.sendEntries(id, after)
	p.pushedAt = c.now
}

// sendEntries sends the entries after an index, or a checkpoint if they are no longer retained. It returns the log
// index that the receiver will have reached.
func (c *Core) sendEntries(to sequoiatable.IncarnationID, after uint64) uint64 {
	if after >= c.table.Index {
		return after
	}
	entries, ok := c.log.after(after)
	if !ok {
		return c.sendCheckpoint(to, after)
	}
	entries = entries[:min(len(entries), entriesPerMessage)]
	if len(entries) == 0 {
		return after
	}
	c.send(to, Message{Entries: &Entries{Entries: entries}})
	return entries[len(entries)-1].Index
}

func (c *Core) sendCheckpoint(to sequoiatable.IncarnationID, after uint64) uint64 {
	if c.opt.codec.Encode == nil {
		return after
	}
	parts, err := c.opt.codec.Encode(c.table)
	if err != nil {
		c.emit(Record{Own: true, Decision: "CheckpointNotSent", Owner: to, Reason: err.Error()})
		return after
	}
	c.send(to, Message{Checkpoint: &Checkpoint{Index: c.table.Index, Parts: parts}})
	return c.table.Index
}

func (c *Core) handleEntries(from sequoiatable.IncarnationID, entries []sequoiatable.Entry) {
	if len(entries) == 0 {
		return
	}
	p := c.peer(from)
	p.logIndex = max(p.logIndex, entries[len(entries)-1].Index)
	c.applyAll(entries)
	if p.logIndex > c.table.Index {
		c.requestEntries(from, p)
		return
	}
	c.recordPeerTable(from)
}

// recordPeerTable records that this process got its table from a peer because it could not read the store. Entries with
// a lower index have no effect, so the table is the latest that any peer has sent.
func (c *Core) recordPeerTable(from sequoiatable.IncarnationID) {
	rev := c.table.Configuration.Revision
	if c.store.hasRead || !c.store.failing || (c.tableFromPeer && rev == c.peerTableRevision) {
		return
	}
	c.tableFromPeer, c.peerTableRevision = true, rev
	c.emit(Record{
		Own: true, Decision: "TableFromPeers", Previous: from, Epoch: sequoiatable.Epoch(rev),
		Reason: fmt.Sprintf("the store does not respond; log index %d, configuration revision %d", c.table.Index, rev),
	})
}

func (c *Core) handleCheckpoint(from sequoiatable.IncarnationID, m *Checkpoint) {
	if c.opt.codec.Decode == nil || m.Index <= c.table.Index {
		return
	}
	t, err := c.opt.codec.Decode(m.Parts)
	if err != nil {
		c.emit(Record{Own: true, Decision: "CheckpointRejected", Reason: err.Error()})
		return
	}
	c.installTable(t)
	c.pushEntries()
	c.recordPeerTable(from)
}

func (c *Core) requestEntries(id sequoiatable.IncarnationID, p *peer) {
	p.requestedAt = c.now
	if !c.controlAddress(id).IsValid() {
		c.requestFromContacts()
		return
	}
	c.send(id, Message{EntriesRequest: c.newEntriesRequest()})
}

// advancePeers requests entries that peers have but did not push, and drops peers that have been silent for too long.
func (c *Core) advancePeers() {
	for _, id := range sortedKeys(c.peers) {
		p := c.peers[id]
		// A planner occasionally gets a message from every member. Keeping only the peers that send regularly limits
		// the work per event.
		gone := c.now.Sub(p.heardAt) > 10*peerSilenceTimeout
		if gone {
			delete(c.peers, id)
			continue
		}
		recent := c.now.Sub(p.heardAt) < peerSilenceTimeout
		if recent && p.logIndex > c.table.Index && c.now.Sub(p.requestedAt) >= 2*c.opt.timings.ResendInterval {
			c.requestEntries(id, p)
		}
	}
}

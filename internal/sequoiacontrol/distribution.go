package sequoiacontrol

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// peer is what is known of the log of another process.
type peer struct {
	index uint64
	heard time.Time
	// replyTo is the control address that the process gave while it was no member.
	replyTo netip.AddrPort
	pushed  uint64
	// pushedAt and askedAt limit repeated pushes and requests.
	pushedAt time.Time
	askedAt  time.Time
}

func (c *Core) peer(id sequoiatable.IncarnationID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	return p
}

func (c *Core) heardFrom(id sequoiatable.IncarnationID, index uint64) {
	p := c.peer(id)
	p.heard = c.now
	p.index = max(p.index, index)
	if index < c.table.Index {
		c.pushTo(id)
	}
}

// pushEntries sends new entries to the process's neighbours.
func (c *Core) pushEntries() {
	for _, id := range c.authority.Neighbours() {
		c.pushTo(id)
	}
}

// pushTo sends what the peer lacks, at most once per resend interval unless the log has grown.
func (c *Core) pushTo(id sequoiatable.IncarnationID) {
	p := c.peer(id)
	if p.index >= c.table.Index {
		return
	}
	recent := c.now.Sub(p.pushedAt) < 2*c.opt.timings.RenewInterval
	if recent && p.pushed >= c.table.Index {
		return
	}
	after := p.index
	if recent {
		after = max(after, p.pushed)
	}
	p.pushed = c.sendEntries(id, after)
	p.pushedAt = c.now
}

// sendEntries sends the entries after an index, or a checkpoint where they are no longer retained. It returns the
// index that the receiver has afterwards.
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

func (c *Core) receiveEntries(from sequoiatable.IncarnationID, entries []sequoiatable.Entry) {
	if len(entries) == 0 {
		return
	}
	p := c.peer(from)
	p.index = max(p.index, entries[len(entries)-1].Index)
	c.applyAll(entries)
	if p.index > c.table.Index {
		c.askEntries(from, p)
		return
	}
	c.recordPeerTable(from)
}

// recordPeerTable records that a process which could not read the store has its table from a peer. Entries of lower
// index change nothing, so the table is the latest that any peer has sent.
func (c *Core) recordPeerTable(from sequoiatable.IncarnationID) {
	rev := c.table.Configuration.Revision
	if c.store.read || !c.store.failing || (c.tableFromPeer && rev == c.peerTableRevision) {
		return
	}
	c.tableFromPeer, c.peerTableRevision = true, rev
	c.emit(Record{
		Own: true, Decision: "TableFromPeers", Previous: from, Epoch: sequoiatable.Epoch(rev),
		Reason: fmt.Sprintf("the store does not answer; log index %d, configuration revision %d", c.table.Index, rev),
	})
}

func (c *Core) receiveCheckpoint(from sequoiatable.IncarnationID, m *Checkpoint) {
	if c.opt.codec.Decode == nil || m.Index <= c.table.Index {
		return
	}
	t, err := c.opt.codec.Decode(m.Parts)
	if err != nil {
		c.emit(Record{Own: true, Decision: "CheckpointRejected", Reason: err.Error()})
		return
	}
	c.install(t)
	c.pushEntries()
	c.recordPeerTable(from)
}

func (c *Core) askEntries(id sequoiatable.IncarnationID, p *peer) {
	p.askedAt = c.now
	if !c.controlAddress(id).IsValid() {
		c.askContacts()
		return
	}
	c.send(id, Message{EntriesRequest: c.entriesRequest()})
}

// advancePeers asks peers for entries that they have and did not push, and forgets peers that have left.
func (c *Core) advancePeers() {
	for _, id := range sortedKeys(c.peers) {
		p := c.peers[id]
		// A planner hears of every member now and then; only those that speak regularly are worth a look at each event.
		gone := c.now.Sub(p.heard) > 10*lonelyAfter
		if gone {
			delete(c.peers, id)
			continue
		}
		recent := c.now.Sub(p.heard) < lonelyAfter
		if recent && p.index > c.table.Index && c.now.Sub(p.askedAt) >= 2*c.opt.timings.ResendInterval {
			c.askEntries(id, p)
		}
	}
}

package sequoiacontrol

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

func (c *Core) advanceAppend() {
	if c.store.appending || !c.store.hasRead {
		return
	}
	if p := c.pending; p != nil {
		if !c.now.Before(p.retryAt) {
			c.sendAppend()
		}
		return
	}
	if c.now.Before(c.store.nextAppendAt) {
		return
	}
	changes, origins := c.collect()
	if len(changes) == 0 || !slices.ContainsFunc(changes, urgent) && !c.mayAppendNonUrgent() {
		return
	}
	c.pending = &pendingAppend{
		entry: sequoiatable.Entry{
			Index: c.table.Index + 1, Writer: c.self, Nonce: c.opt.random(), Changes: changes,
		},
		origins: origins,
	}
	for _, o := range origins {
		if o.onProposed != nil {
			o.onProposed()
		}
	}
	c.publish()
	c.sendAppend()
}

const (
	// minBackOff and maxBackOff bound the limit of the random delay after a lost race. The limit doubles with each
	// lost race.
	minBackOff = 4 * time.Millisecond
	maxBackOff = 2 * time.Second
	// readFreshness is how long a read of the log is treated as up to date.
	readFreshness = 25 * time.Millisecond
)

// backOffAppend delays the next append of non-urgent changes by a random time. After the loss of a failure domain a
// quarter of the fleet changes its witnesses; if all these members retried immediately, each entry would cost one store
// call per member and delay the takeover.
func (c *Core) backOffAppend() {
	wait := min(maxBackOff, minBackOff<<min(c.store.lostRaces, 16))
	c.store.lostRaces++
	c.store.deferUntil = c.now.Add(time.Duration(c.opt.random() % uint64(wait)))
}

// mayAppendNonUrgent reports whether non-urgent changes may be written now. After a lost race, a process that gets no
// entries from peers first reads the log to its end, since each further lost race would reveal only one more entry.
func (c *Core) mayAppendNonUrgent() bool {
	if c.now.Before(c.store.deferUntil) || c.store.reading || c.store.failing && c.now.Before(c.store.nextReadAt) {
		return false
	}
	if c.store.lostRaces > 0 && c.isolated() && c.now.Sub(c.store.lastReadAt) > readFreshness {
		c.readLog()
		return false
	}
	return true
}

// urgent reports whether keys may lack an owner, or an operator may be waiting, until the change is written.
func urgent(change sequoiatable.Change) bool {
	return change.Join == nil && change.SetWitnesses == nil
}

func (c *Core) sendAppend() {
	c.store.appending = true
	c.store.appendNonce = c.pending.entry.Nonce
	c.pending.retryAt = c.now.Add(c.opt.timings.StoreRetryInterval)
	c.emit(Append{Entry: c.pending.entry})
}

// batch collects the changes of one entry.
type batch struct {
	changes []sequoiatable.Change
	origins []origin
	// size is an upper bound on the encoded size in bytes.
	size int
}

// maxBatchBytes leaves a margin below the store's limit of 1 MB per value. The takeover of a lost failure domain in a
// fleet of 3,800 members produces 1.85 MB of changes, which need several entries.
const maxBatchBytes = 768 << 10

// add adds a change if it fits. A change that does not fit is collected again for the next entry, since the changes are
// derived from the table each time.
func (b *batch) add(change sequoiatable.Change, o origin) {
	size := changeSize(change)
	if len(b.changes) > 0 && b.size+size > maxBatchBytes {
		return
	}
	b.size += size
	b.changes = append(b.changes, change)
	b.origins = append(b.origins, o)
}

// changeSize returns an upper bound on a change's encoded size in bytes.
func changeSize(change sequoiatable.Change) int {
	const (
		fixed    = 256
		perShard = 5
		perKey   = 5
	)
	size := fixed
	if a := change.Assign; a != nil {
		size += perShard*len(a.Shards) + len(a.Service) + len(a.Reason)
		for _, k := range a.Keys {
			size += perKey + len(k)
		}
	}
	if s := change.SetConfiguration; s != nil {
		size += len(s.Document)
	}
	return size
}

// collect returns the changes to write next, derived from the table and the state of the process.
func (c *Core) collect() ([]sequoiatable.Change, []origin) {
	b := &batch{}
	c.proposeMembership(b)
	c.authority.ProposeChanges(b)
	c.proposeRevocations(b)
	c.proposeTakeovers(b)
	c.proposeInitialAssignments(b)
	c.proposeMoves(b)
	c.proposeMerges(b)
	c.proposeConfiguration(b)
	return b.changes, b.origins
}

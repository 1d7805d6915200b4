package sequoiacontrol

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

func (c *Core) advanceAppend() {
	if c.store.appending || !c.store.read {
		return
	}
	if p := c.pending; p != nil {
		if !c.now.Before(p.retryAt) {
			c.sendAppend()
		}
		return
	}
	if c.now.Before(c.store.notBefore) {
		return
	}
	changes, origins := c.collect()
	if len(changes) == 0 || !slices.ContainsFunc(changes, urgent) && !c.mayAppendPatiently() {
		return
	}
	c.pending = &pendingAppend{
		entry: sequoiatable.Entry{
			Index: c.table.Index + 1, Writer: c.self, Nonce: c.opt.random(), Changes: changes,
		},
		origins: origins,
	}
	for _, o := range origins {
		if o.proposed != nil {
			o.proposed()
		}
	}
	c.publish()
	c.sendAppend()
}

const (
	// firstBackOff and maxBackOff bound the wait after a lost race, which doubles with each one.
	firstBackOff = 4 * time.Millisecond
	maxBackOff   = 2 * time.Second
	// freshFor is how long the result of a read counts as the end of the log.
	freshFor = 25 * time.Millisecond
)

// backOff delays the next attempt to write changes that are not urgent. After the loss of a failure domain a quarter of
// the fleet changes its witnesses; if all repeated their appends at once, each entry would cost a call of every one of
// them and delay the takeover.
func (c *Core) backOff() {
	wait := min(maxBackOff, firstBackOff<<min(c.store.lostRaces, 16))
	c.store.lostRaces++
	c.store.patientUntil = c.now.Add(time.Duration(c.opt.random() % uint64(wait)))
}

// mayAppendPatiently reports whether changes that are not urgent may be written now. A process that gets no entries
// from peers reads the log to its end first: each lost race would show it only one entry more.
func (c *Core) mayAppendPatiently() bool {
	if c.now.Before(c.store.patientUntil) || c.store.reading || c.store.failing && c.now.Before(c.store.readAfter) {
		return false
	}
	if c.store.lostRaces > 0 && c.lonely() && c.now.Sub(c.store.readAt) > freshFor {
		c.readLog()
		return false
	}
	return true
}

// urgent reports whether keys may be without an owner, or an operator waits, until the change is written.
func urgent(change sequoiatable.Change) bool {
	return change.Join == nil && change.SetWitnesses == nil
}

func (c *Core) sendAppend() {
	c.store.appending = true
	c.store.appendSent = c.pending.entry.Nonce
	c.pending.retryAt = c.now.Add(c.opt.timings.StoreRetryInterval)
	c.emit(Append{Entry: c.pending.entry})
}

// batch collects the changes of one entry.
type batch struct {
	changes []sequoiatable.Change
	origins []origin
	// size is an upper estimate of the encoded size in bytes.
	size int
}

// maxBatchBytes leaves room below the 1 MB that a value of the store holds. The takeover of a lost failure domain at
// 3,800 members has 1.85 MB of changes.
const maxBatchBytes = 768 << 10

// add adds a change if it fits. One that does not fit is wanted again for the next entry, since wanted changes are
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

// changeSize is an upper estimate of a change's encoded size in bytes.
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

// collect returns the changes that the process wants by the table and its state.
func (c *Core) collect() ([]sequoiatable.Change, []origin) {
	b := &batch{}
	c.proposeMembership(b)
	c.authority.ProposeChanges(b)
	c.proposeRevocations(b)
	c.proposeTakeovers(b)
	c.wantInitial(b)
	c.wantMoves(b)
	c.wantMerges(b)
	c.wantConfiguration(b)
	return b.changes, b.origins
}

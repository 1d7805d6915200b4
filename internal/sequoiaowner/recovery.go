package sequoiaowner

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

// A store that is restored from a copy has lost table changes that may be in use. The first process that finds such a
// table replaces it with the latest one that the processes still have, and gives every range a fence above all of
// earlier eras. The replacement may lack a change that only an unreachable process knows. So a range that has only been
// recovered is granted by the upstream that has held it all along; any other holder waits until every authority from
// before the replacement has ended. Then a second write settles the table.

const (
	// eraFenceBits is the number of bits of a fence below its era.
	eraFenceBits = 20
	// unknownTableDelay is how much longer a process waits that has no table of its own to recover.
	unknownTableDelay = 3 * time.Second
)

// firstFence returns the fence below all that are assigned in an era.
func firstFence(era uint64) sequoiakeyspace.Fence { return sequoiakeyspace.Fence(era) << eraFenceBits }

// Recovery is a table that replaces the one in the store, which must have the revision Base.
type Recovery struct {
	Table *sequoiakeyspace.Table
	Base  uint64
}

// recovery is what a process knows of the store's restores.
type recovery struct {
	// era is the latest era of the store.
	era uint64
	// restored is the store's table of that era while it is not recovered, and base its revision.
	restored *sequoiakeyspace.Table
	base     uint64
	// continuous holds the keys that the local upstream has held without interruption since before the restore.
	continuous []sequoiakeyspace.Range
	// subject identifies what the process has waited for since the given time: the revision of a table that it may
	// recover, or the fence of a recovered table that it may settle.
	subject uint64
	since   time.Time
}

// enterEra records that the store was restored.
func (c *Core) enterEra(era uint64) {
	if era <= c.recovery.era {
		return
	}
	c.recovery = recovery{era: era, continuous: c.HeldRanges()}
	c.presence.absences, c.presence.missingSince = map[string]absence{}, map[string]time.Time{}
	c.registrationConfirmed = false
}

// setRestored keeps a table that the restored store holds. It reports whether the table is one that must be recovered.
func (c *Core) setRestored(t *sequoiakeyspace.Table, revision uint64) bool {
	first := firstFence(sequoiaregistry.Era(revision))
	if t.Fence >= first {
		return false
	}
	if len(t.Services) == 0 && c.table == nil {
		t.Fence = first
		return false
	}
	c.recovery.restored, c.recovery.base = t, revision
	return true
}

// unrecovered reports whether the table is of an era before the latest one.
func (c *Core) unrecovered() bool {
	return c.recovery.restored != nil || sequoiaregistry.Era(c.revision) < c.recovery.era
}

// Recovering reports whether the store was restored and its table is not settled yet.
func (c *Core) Recovering() bool {
	return c.unrecovered() || c.table != nil && c.table.RecoveredFence > 0
}

// Era returns the latest era of the store that the process knows.
func (c *Core) Era() uint64 { return c.recovery.era }

// AwaitsSettling reports whether the table assigns a key to this instance that cannot be granted until the table is
// settled, and how long that takes at least.
func (c *Core) AwaitsSettling(now time.Time, service string, key sequoiakeyspace.Key) (time.Duration, bool) {
	if c.table == nil || !c.Recovering() {
		return 0, false
	}
	r, ok := c.table.Find(service, key)
	if !ok || c.settled(r) || slices.ContainsFunc(c.recovery.continuous, func(h sequoiakeyspace.Range) bool { return h.Contains(key) }) {
		return 0, false
	}
	wait := DefaultAuthority + takeoverMargin
	if !c.unrecovered() {
		wait -= now.Sub(c.recovery.since)
	}
	return max(0, wait), true
}

// settled reports whether the holder of a range may grant it without having held it before the store was restored.
func (c *Core) settled(r sequoiakeyspace.Range) bool {
	return !c.unrecovered() && r.Fence > c.table.RecoveredFence
}

// grantable returns the parts of a range that the local upstream may be granted, besides those being moved.
func (c *Core) grantable(r sequoiakeyspace.Range) []sequoiakeyspace.Range {
	parts := c.unmovedParts(r)
	if c.settled(r) {
		return parts
	}
	var out []sequoiakeyspace.Range
	for _, p := range parts {
		for _, h := range c.recovery.continuous {
			if overlaps(p, h) {
				part := p
				part.From, part.To = max(p.From, h.From), min(p.To, h.To)
				out = append(out, part)
			}
		}
	}
	return mergeParts(out)
}

// mergeParts joins adjacent parts of one range, so that each needs one grant.
func mergeParts(parts []sequoiakeyspace.Range) []sequoiakeyspace.Range {
	slices.SortFunc(parts, func(a, b sequoiakeyspace.Range) int { return int(a.From) - int(b.From) })
	var out []sequoiakeyspace.Range
	for _, p := range parts {
		if n := len(out); n > 0 && int(out[n-1].To)+1 >= int(p.From) {
			out[n-1].To = max(out[n-1].To, p.To)
			continue
		}
		out = append(out, p)
	}
	return out
}

// planRecovery returns the write that recovers the table in the store, or that settles it.
func (c *Core) planRecovery(now time.Time) *Write {
	subject := c.recovery.base
	if c.recovery.restored == nil && c.table != nil {
		subject = uint64(c.table.RecoveredFence)
	}
	if c.recovery.subject != subject || c.recovery.since.IsZero() {
		c.recovery.subject, c.recovery.since = subject, now
	}
	waited := now.Sub(c.recovery.since) - c.staggerDelay()
	switch {
	case c.stopping || !c.RecentlyConfirmed(now):
		return nil
	case c.recovery.restored != nil:
		if waited < 0 || c.table == nil && waited < unknownTableDelay {
			return nil
		}
		return &Write{Reason: ReasonRestored, Recovery: c.recoverTable()}
	case c.unrecovered() || waited < DefaultAuthority+takeoverMargin || now.Before(c.promisedUntil) || now.Before(c.memberSince.Add(joinWait+joinMargin)):
		return nil
	}
	t := c.table.Clone()
	t.RecoveredFence = 0
	return &Write{Reason: ReasonSettled, Recovery: &Recovery{Table: t, Base: c.revision}}
}

// recoverTable returns the latest known table with fences of the current era.
func (c *Core) recoverTable() *Recovery {
	latest := c.recovery.restored
	if c.table != nil {
		latest = c.table
	}
	t := latest.Clone()
	t.Fence = max(t.Fence, c.recovery.restored.Fence, firstFence(c.recovery.era))
	for _, ranges := range t.Services {
		for i := range ranges {
			t.Fence++
			ranges[i].Fence = t.Fence
		}
	}
	t.RecoveredFence = t.Fence
	return &Recovery{Table: t, Base: c.recovery.base}
}

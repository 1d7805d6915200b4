package sequoiaowner

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

// ConfirmRegistration records that the store answered a call sent at the given time, which confirms this process's
// member entry.
func (c *Core) ConfirmRegistration(sent time.Time) {
	c.registrationConfirmed = true
	if sent.After(c.AuthorityUntil()) {
		c.recovery.continuous = nil
	}
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
}

// MarkRegistrationUnconfirmed records that a call to the store failed. After that, a renewed lease alone does not show
// that this process's entry exists.
func (c *Core) MarkRegistrationUnconfirmed() { c.registrationConfirmed = false }

// RegistrationConfirmed reports whether this process's entry has been confirmed since the last failed call or the
// removal of the entry. While the table is recovered, each confirmation must read the table, so that an owner learns of
// the recovery before its authority is extended.
func (c *Core) RegistrationConfirmed() bool { return c.registrationConfirmed && !c.Recovering() }

// RecentlyConfirmed reports whether the last confirmation is recent enough that the store is likely to respond.
func (c *Core) RecentlyConfirmed(now time.Time) bool {
	return c.registrationConfirmed && now.Sub(c.confirmedAt) <= maxConfirmationAge
}

// MarkRegistered records that this process's entry and its registration record were written at a revision, the entry
// under a lease.
func (c *Core) MarkRegistered(now time.Time, revision, lease uint64) {
	era := sequoiaregistry.Era(revision)
	c.enterEra(era)
	c.registration = revision
	if lease == c.lease {
		return
	}
	// An entry that was confirmed within its lease and then lost by a restore was never missing before the restore.
	lostByRestore := era > c.registeredEra && c.lease != 0 && now.Sub(c.confirmedAt) < sequoiaregistry.LeaseTTL
	if !lostByRestore {
		c.memberSince = now
	}
	c.lease, c.joinedAt, c.registeredEra = lease, now, era
}

// ConfirmView records that a call to the store, sent at the given time, returned all members or all changes of them up
// to then.
func (c *Core) ConfirmView(sent time.Time) { c.viewedAt = later(c.viewedAt, sent) }

// AuthorityUntil returns the time at which all grants end unless the registration is confirmed again. Promises extend
// it only as long as every member that this process does not know of still waits before it takes over keys.
func (c *Core) AuthorityUntil() time.Time {
	if c.confirmedAt.IsZero() {
		return time.Time{}
	}
	extended := c.extendedUntil
	for _, limit := range []time.Time{c.confirmedAt.Add(maxAuthority), c.viewedAt.Add(joinWait)} {
		if extended.After(limit) {
			extended = limit
		}
	}
	return later(c.confirmedAt.Add(DefaultAuthority), extended)
}

// registered reports whether this process's own entry is among the members that it knows.
func (c *Core) registered() bool {
	_, ok := c.members[c.instance]
	return ok
}

// NeedsPromises reports whether the process holds keys and has not reached the store for a while, so that it should ask
// the other members for promises.
func (c *Core) NeedsPromises(now time.Time) bool {
	age := now.Sub(c.confirmedAt)
	return !c.confirmedAt.IsZero() && age > promiseAfter && age < maxAuthority && c.registered() && len(c.HeldRanges()) > 0
}

// Promise returns true if this process cannot reach the store either; it then takes over no keys for PromiseTime. It
// returns false while a takeover from the asking instance may still be applied; an empty name stands for any instance.
// A process that has not read the table since its start gives no promise.
func (c *Core) Promise(now time.Time, instance string) bool {
	if c.mayTakeOver(instance) {
		return false
	}
	if c.stopping {
		return true
	}
	if c.table == nil || c.confirmedAt.IsZero() || now.Sub(c.confirmedAt) < promiseAfter {
		return false
	}
	c.promisedUntil = now.Add(PromiseTime + takeoverMargin)
	return true
}

// mayTakeOver reports whether a takeover from an instance, or from any if the name is empty, is being written or may
// still be applied.
func (c *Core) mayTakeOver(instance string) bool {
	names := func(absent []Absence) bool {
		return slices.ContainsFunc(absent, func(a Absence) bool { return instance == "" || a.Instance == instance })
	}
	return c.writing != nil && names(c.writing.Absent) ||
		slices.ContainsFunc(c.inDoubt, func(d doubt) bool { return names(d.absent) })
}

// TakeoversStopped reports whether the process is stopping and will never take over keys again, so that the other
// members may rely on that after it exits. Its successor on the instance waits after it has registered.
func (c *Core) TakeoversStopped() bool { return c.stopping && !c.mayTakeOver("") }

// MarkProcessEnded records that a process has exited and that none of its takeovers may still be applied. revision is
// the revision of the table that it had.
func (c *Core) MarkProcessEnded(instance, process string, revision uint64) {
	c.endedProcesses[instance] = process
	c.latestRevision = max(c.latestRevision, revision)
}

// RequiredPromisers returns the members whose promises are needed. A member whose process has exited is left out until
// another process registers on its instance.
func (c *Core) RequiredPromisers() []Member {
	var members []Member
	for instance, m := range c.members {
		if instance != c.instance && (m.Process == "" || c.endedProcesses[instance] != m.Process) {
			members = append(members, m)
		}
	}
	return members
}

// Promised is the promise of one process.
type Promised struct {
	Process string
	// Revision is the revision of the process's table. It shows a takeover that this process has not heard of.
	Revision uint64
}

// ExtendAuthority records the promises, by instance, that other members gave when asked at the given time. It reports
// whether they extend the authority: all members must have promised, each by the process that is registered, and none
// may have a newer table. A process whose own entry is known to be missing needs to register again first.
func (c *Core) ExtendAuthority(asked time.Time, promises map[string]Promised) bool {
	for _, p := range promises {
		c.latestRevision = max(c.latestRevision, p.Revision)
	}
	if !c.registered() || c.revision < c.latestRevision || c.Recovering() {
		return false
	}
	for _, m := range c.RequiredPromisers() {
		if p, ok := promises[m.Instance]; !ok || p.Process != m.Process {
			return false
		}
	}
	c.extendedUntil = later(c.extendedUntil, asked.Add(PromiseTime))
	return true
}

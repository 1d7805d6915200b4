package sequoiaowner

import "time"

// ConfirmRegistration records that the store answered a call sent at the given time, which confirms this process's
// member entry.
func (c *Core) ConfirmRegistration(sent time.Time) {
	c.registrationConfirmed = true
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
}

// MarkRegistrationUnconfirmed records that a call to the store failed. After that, a renewed lease alone does not show
// that this process's entry exists.
func (c *Core) MarkRegistrationUnconfirmed() { c.registrationConfirmed = false }

// RegistrationConfirmed reports whether this process's entry has been confirmed since the last failed call or the
// removal of the entry.
func (c *Core) RegistrationConfirmed() bool { return c.registrationConfirmed }

// recentlyConfirmed reports whether the last confirmation is recent enough that the store is likely to respond.
func (c *Core) recentlyConfirmed(now time.Time) bool {
	return c.registrationConfirmed && now.Sub(c.confirmedAt) <= maxConfirmationAge
}

// AuthorityUntil returns the time at which all grants end unless the registration is confirmed again.
func (c *Core) AuthorityUntil() time.Time {
	if c.confirmedAt.IsZero() {
		return time.Time{}
	}
	end := later(c.confirmedAt.Add(DefaultAuthority), c.extendedUntil)
	if limit := c.confirmedAt.Add(maxAuthority); end.After(limit) {
		return limit
	}
	return end
}

// NeedsPromises reports whether the process holds keys and has not reached the store for a while, so that it should ask
// the other members for promises.
func (c *Core) NeedsPromises(now time.Time) bool {
	age := now.Sub(c.confirmedAt)
	return !c.confirmedAt.IsZero() && age > promiseAfter && age < maxAuthority && len(c.HeldRanges()) > 0
}

// Promise returns true if this process cannot reach the store either; it then takes over no keys for PromiseTime. It
// returns false while a takeover write without a response may still be applied. A pending write that reassigns only
// this process's own keys is not a takeover and does not prevent a promise.
func (c *Core) Promise(now time.Time) bool {
	if c.TakeoversStopped(now) {
		return true
	}
	if now.Sub(c.confirmedAt) < promiseAfter || !c.noTakeoverPending(now) {
		return false
	}
	c.promisedUntil = now.Add(PromiseTime + takeoverMargin)
	return true
}

// noTakeoverPending reports whether no takeover write of this process may still be applied.
func (c *Core) noTakeoverPending(now time.Time) bool {
	return !c.takeoverInFlight && now.Sub(c.lastFailedTakeover) >= takeoverInDoubtTime
}

// TakeoversStopped reports whether the process is stopping and will never take over keys again, so that the other
// members may rely on that after it exits. Its successor on the instance takes over no keys of members that it has
// never seen until maxAuthority after its own start.
func (c *Core) TakeoversStopped(now time.Time) bool { return c.stopping && c.noTakeoverPending(now) }

// MarkProcessEnded records that a process has exited and that none of its takeover writes may still be applied.
func (c *Core) MarkProcessEnded(instance, process string) { c.endedProcesses[instance] = process }

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

// ExtendAuthority records that all other members promised when asked at the given time.
func (c *Core) ExtendAuthority(asked time.Time) {
	c.extendedUntil = later(c.extendedUntil, asked.Add(PromiseTime))
}

package sequoiaowner

import "time"

// Prove notes that the store answered a call sent at the given time, which shows that this process's entry exists.
func (c *Core) Prove(sent time.Time) {
	c.verified = true
	if sent.After(c.proof) {
		c.proof = sent
	}
}

// Doubt notes that the entry of this process may be gone although a lease was renewed, as after a failed call.
func (c *Core) Doubt() { c.verified = false }

// Verified reports whether the entry of this process is known to exist since the last failed call.
func (c *Core) Verified() bool { return c.verified }

// fresh reports whether the last proof is so recent that the store is likely to answer.
func (c *Core) fresh(now time.Time) bool { return c.verified && now.Sub(c.proof) <= freshProof }

// AuthorityUntil returns the time at which all grants end without another proof.
func (c *Core) AuthorityUntil() time.Time {
	if c.proof.IsZero() {
		return time.Time{}
	}
	end := latest(c.proof.Add(DefaultAuthority), c.extended)
	if limit := c.proof.Add(maxAuthority); end.After(limit) {
		return limit
	}
	return end
}

// NeedsPromises reports whether the process has keys and has not reached the store for a while, so that it should ask
// the other members for their promises.
func (c *Core) NeedsPromises(now time.Time) bool {
	age := now.Sub(c.proof)
	return !c.proof.IsZero() && age > promiseAfter && age < maxAuthority && len(c.HeldRanges()) > 0
}

// Promise returns true if this process does not reach the store either. It then takes no keys over for PromiseTime. A
// takeover that has been sent may be carried out although there was no answer; a write that changes the holder of this
// process's own keys takes nothing over.
func (c *Core) Promise(now time.Time) bool {
	if c.MayEnd(now) {
		return true
	}
	if now.Sub(c.proof) < promiseAfter || !c.settled(now) {
		return false
	}
	c.promised = now.Add(PromiseTime + takeoverMargin)
	return true
}

// settled reports whether no takeover of this process may still be carried out.
func (c *Core) settled(now time.Time) bool {
	return !c.takingOver && now.Sub(c.tookOver) >= takeoverSettle
}

// MayEnd reports whether the process is stopping and will never take keys over, so that the other members may count on it
// after its end. Its successor on the instance takes nothing over from the members that it does not know.
func (c *Core) MayEnd(now time.Time) bool { return c.stopping && c.settled(now) }

// Ended notes that a process has ended and has taken nothing over that may still be carried out.
func (c *Core) Ended(instance, process string) { c.gone[instance] = process }

// Promisers returns the members whose promises are needed. A member whose process has ended needs to give none, until
// another process is registered on its instance.
func (c *Core) Promisers() []Member {
	var members []Member
	for instance, m := range c.members {
		if instance != c.instance && (m.Process == "" || c.gone[instance] != m.Process) {
			members = append(members, m)
		}
	}
	return members
}

// Extend notes that all other members have promised, when asked at the given time.
func (c *Core) Extend(asked time.Time) {
	c.extended = latest(c.extended, asked.Add(PromiseTime))
}

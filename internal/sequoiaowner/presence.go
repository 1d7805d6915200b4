package sequoiaowner

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// observationInterval is the pause between two observations of the store.
const observationInterval = 300 * time.Millisecond

// Absence is a condition of a takeover: the instance has no member entry, and it has not registered since its
// registration record had the given revision.
type Absence struct {
	Instance string
	// Registration is the revision of the record, zero if the instance has none.
	Registration uint64
}

// Observation is what the store holds about the members. The registrations must be read before the members: then an
// instance that is missing from the members has had no entry since, unless its registration record has changed.
type Observation struct {
	// Registrations maps each instance to the revision of its registration record. A process writes the record with
	// every write of its entry, and the record is under no lease.
	Registrations map[string]uint64
	Members       map[string]Member
	// Unreadable holds the instances whose entries exist but cannot be read.
	Unreadable map[string]bool
	// Revision is the store's revision at the first read of the members.
	Revision uint64
}

// absence is the evidence that an instance's entry is missing.
type absence struct {
	registration uint64
	// seen is when the store's answer arrived. The instance's last confirmation was sent before that.
	seen time.Time
}

// presence is what a process knows of the other members' entries.
type presence struct {
	// missingSince holds the instances that own keys and seem to have no entry, from the watch of the members. It only
	// decides when to observe the store.
	missingSince map[string]time.Time
	absences     map[string]absence
	observing    bool
	nextObserve  time.Time
	// removed holds the revisions at which entries were known to be missing, so that an event that arrives late does
	// not bring an entry back.
	removed map[string]uint64
}

func newPresence() presence {
	return presence{missingSince: map[string]time.Time{}, absences: map[string]absence{}, removed: map[string]uint64{}}
}

// SetMember records a member's entry in the store.
func (c *Core) SetMember(now time.Time, m Member) {
	old, known := c.members[m.Instance]
	if known && old.Revision > m.Revision || m.Revision < c.presence.removed[m.Instance] {
		return
	}
	if !known || old.Upstream != m.Upstream {
		c.membersChangedAt = now
	}
	c.members[m.Instance] = m
	c.lastAddresses[m.Instance] = m.Address
	delete(c.presence.removed, m.Instance)
	delete(c.presence.missingSince, m.Instance)
	delete(c.presence.absences, m.Instance)
}

// RemoveMember records that a member's entry was removed. A process whose own entry was removed is unconfirmed until it
// registers again.
func (c *Core) RemoveMember(now time.Time, instance string, revision uint64) {
	if m, known := c.members[instance]; known && m.Revision > revision {
		return
	}
	c.presence.removed[instance] = max(c.presence.removed[instance], revision)
	if _, known := c.members[instance]; !known {
		return
	}
	delete(c.members, instance)
	c.membersChangedAt = now
	if instance == c.instance {
		c.registrationConfirmed = false
	}
}

// SetMembers records all members' entries as read at a revision of the store.
func (c *Core) SetMembers(now time.Time, members map[string]Member, revision uint64) {
	for _, m := range members {
		c.SetMember(now, m)
	}
	for _, instance := range slices.Sorted(maps.Keys(c.members)) {
		if _, ok := members[instance]; !ok {
			c.RemoveMember(now, instance, revision)
		}
	}
}

// updateMissing records since when instances that own keys have seemed to be missing.
func (c *Core) updateMissing(now time.Time) {
	p := &c.presence
	for instance := range c.tableInstances {
		_, registered := c.members[instance]
		_, known := p.missingSince[instance]
		if !registered && !known {
			p.missingSince[instance] = now
		}
	}
	maps.DeleteFunc(p.missingSince, func(instance string, _ time.Time) bool { return !c.tableInstances[instance] })
	maps.DeleteFunc(p.absences, func(instance string, _ absence) bool { return !c.tableInstances[instance] })
}

// startObservation reports whether the process should read the members from the store, because an instance that owns
// keys seems to be missing and there is no evidence of it yet. Processes start one after another, so that in a large
// fleet only a few do this after a loss.
func (c *Core) startObservation(now time.Time) bool {
	p := &c.presence
	if p.observing || now.Before(p.nextObserve) || c.stopping || !c.RecentlyConfirmed(now) {
		return false
	}
	delay := c.staggerDelay()
	for instance, since := range p.missingSince {
		_, registered := c.members[instance]
		_, observed := p.absences[instance]
		if !registered && !observed && now.Sub(since) >= delay {
			p.observing = true
			return true
		}
	}
	return false
}

// ObservationDone records what the process has read from the store, nil if that failed. It corrects the members, too: a
// watch may hang on a dead connection.
func (c *Core) ObservationDone(now time.Time, o *Observation) {
	p := &c.presence
	p.observing, p.nextObserve = false, now.Add(observationInterval)
	if o == nil {
		return
	}
	c.SetMembers(now, o.Members, o.Revision)
	for instance := range c.tableInstances {
		_, listed := o.Members[instance]
		listed = listed || o.Unreadable[instance]
		registration := o.Registrations[instance]
		if a, ok := p.absences[instance]; !listed && (!ok || a.registration != registration) {
			p.absences[instance] = absence{registration, now}
		}
	}
}

// dropAbsences removes the evidence on which a refused takeover was based.
func (c *Core) dropAbsences(absent []Absence) {
	for _, a := range absent {
		delete(c.presence.absences, a.Instance)
	}
}

// maxAbsences limits the instances whose keys one write takes over. A transaction has at most 32 entries; each instance
// needs two conditions, and the table needs a condition and a value.
const maxAbsences = 15

// planTakeover reassigns the keys of missing members once their authority has ended. It must not begin before the
// members that this process does not count among their promisers have lost their authority as well.
func (c *Core) planTakeover(now time.Time) *Write {
	if now.Before(c.promisedUntil) || c.stopping {
		return nil
	}
	joining := c.joinedAt.IsZero() || now.Before(c.joinedAt.Add(joinWait+joinMargin))
	w := &Write{Reason: ReasonTakeover}
	for _, instance := range slices.Sorted(maps.Keys(c.presence.absences)) {
		a := c.presence.absences[instance]
		ended := !joining && now.Sub(a.seen) >= DefaultAuthority+takeoverMargin
		if len(w.Absent) == maxAbsences || !ended && !c.addressReused(instance) {
			continue
		}
		if changes := c.reassign(instance, len(w.Changes)); len(changes) > 0 {
			w.Changes = append(w.Changes, changes...)
			w.Absent = append(w.Absent, Absence{instance, a.registration})
		}
	}
	if len(w.Changes) == 0 {
		return nil
	}
	return w
}

// reassign returns the changes that divide the keys of an instance among the usable members. first is the index of the
// member that gets the first part.
func (c *Core) reassign(instance string, first int) sequoiakeyspace.Changes {
	var changes sequoiakeyspace.Changes
	for _, service := range slices.Sorted(maps.Keys(c.table.Services)) {
		members := c.candidates(service)
		if len(members) == 0 {
			continue
		}
		for _, r := range c.table.Services[service] {
			if r.Holder.Instance == instance {
				changes = append(changes, divideRange(first+len(changes), service, r, members)...)
			}
		}
	}
	return changes
}

// addressReused reports whether another instance has the address of a missing one. The platform reuses an address only
// after its machine is gone, so nothing at the old instance holds keys.
func (c *Core) addressReused(instance string) bool {
	address, known := c.lastAddresses[instance]
	for other, m := range c.members {
		if known && other != instance && m.Address == address {
			return true
		}
	}
	return false
}

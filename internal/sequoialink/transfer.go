package sequoialink

import (
	"cmp"
	"time"
)

// Transfer is a body that a sender has offered. The exported fields must not change after Offer.
type Transfer struct {
	// Size is the size of the body in bytes.
	Size int
	// Priority ranks the request; a lower number goes first.
	Priority int
	// Objective is when the request should be answered, Deadline when it must be. A zero deadline is none.
	Objective, Deadline time.Time
	// After is how long the request is expected to wait and run once its body has arrived.
	After time.Duration

	granted, arrived int
	// late is true if the request will probably miss its objective. It gives way to those that can still meet theirs.
	late bool
	// progressed is when the oldest outstanding grant was given, or bytes last arrived.
	progressed time.Time
	// grants are the grants that have not arrived completely, in order.
	grants   []grant
	sequence uint64
}

// grant is a part of a body: the bytes up to end were granted at a time.
type grant struct {
	end int
	at  time.Time
}

// outstanding returns the bytes that are granted and have not arrived.
func (t *Transfer) outstanding() int { return t.granted - t.arrived }

// heldBack returns the outstanding bytes that were granted before the given time.
func (t *Transfer) heldBack(before time.Time) int {
	held := 0
	for _, g := range t.grants {
		if !g.at.Before(before) {
			break
		}
		held = g.end - t.arrived
	}
	return held
}

// missing returns the bytes that have not arrived.
func (t *Transfer) missing() int { return t.Size - t.arrived }

// sameRank reports whether neither transfer goes before the other whatever their objectives are.
func (t *Transfer) sameRank(other *Transfer) bool {
	return t.Priority == other.Priority
}

// order compares transfers by the order in which they are granted: by priority, then those that can meet their objective
// first, by objective and by time of the offer.
func order(a, b *Transfer) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority), compareBool(a.late, b.late),
		a.Objective.Compare(b.Objective), cmp.Compare(a.sequence, b.sequence),
	)
}

// compareBool compares truth values; false is less than true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// lateBy returns how long after its deadline the request would end if its body arrived at the given time.
func (t *Transfer) lateBy(arrival time.Time) time.Duration {
	if t.Deadline.IsZero() {
		return 0
	}
	return max(0, arrival.Add(t.After).Sub(t.Deadline))
}

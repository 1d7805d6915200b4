// Package sequoiakeyspace implements the table that assigns ranges of numeric keys to upstreams, its holders.
//
// A contiguous range needs a single grant, while hashing would scatter the keys and need a grant for nearly every busy
// key. Busy keys lie close together, so ranges are split by load, down to single keys.
package sequoiakeyspace

import (
	"slices"
	"sort"

	"github.com/pkg/errors"
)

// Key is the number to which a request's key is mapped.
type Key uint16

// MaxKey is the highest key.
const MaxKey = Key(1<<16 - 1)

// Errors that are returned for tables and changes.
var (
	// ErrMalformed reports data that does not encode a valid table or valid changes.
	ErrMalformed = errors.New("malformed table")
	// ErrEmptyRange reports a range whose end lies before its start.
	ErrEmptyRange = errors.New("the range is empty")
)

// Fence is a fencing token: it increases with each assignment, so that an upstream can tell a newer grant from an older
// one.
type Fence uint64

// Holder identifies one incarnation of an upstream, from start to exit, and the instance on which it runs.
type Holder struct {
	Instance string
	Upstream string
	// Born is the start time of the upstream in Unix milliseconds. It tells incarnations apart, because a restarted
	// upstream may keep its identifier.
	Born int64
}

// Zero reports whether h is the zero value, which identifies no upstream.
func (h Holder) Zero() bool { return h == Holder{} }

// Range is the assignment of the keys From through To to a holder.
type Range struct {
	From, To Key
	Holder   Holder
	Fence    Fence
	// Handover is the value that the previous holder returned when it released the keys. It is empty if the holder did
	// not release them.
	Handover string
}

// Size returns the number of keys in the range.
func (r Range) Size() int { return int(r.To) - int(r.From) + 1 }

// Contains reports whether key is in the range.
func (r Range) Contains(key Key) bool { return r.From <= key && key <= r.To }

// Table maps each service to its ranges, which are sorted and cover all keys without gaps, so that each key has exactly
// one holder.
type Table struct {
	Services map[string][]Range
	// Fence is the highest fence that was assigned.
	Fence Fence
	// RecoveredFence is the highest fence of the ranges that were recovered after a restore of the store and may have
	// had another holder before. It is zero once that holder can no longer have authority.
	RecoveredFence Fence
}

// NewTable returns a table without services.
func NewTable() *Table {
	return &Table{Services: map[string][]Range{}}
}

// Clone returns a deep copy.
func (t *Table) Clone() *Table {
	c := &Table{Services: make(map[string][]Range, len(t.Services)), Fence: t.Fence, RecoveredFence: t.RecoveredFence}
	for name, ranges := range t.Services {
		c.Services[name] = slices.Clone(ranges)
	}
	return c
}

// Find returns the range that contains the key.
func (t *Table) Find(service string, key Key) (Range, bool) {
	ranges := t.Services[service]
	i := findIndex(ranges, key)
	if i == len(ranges) {
		return Range{}, false
	}
	return ranges[i], true
}

// findIndex returns the index of the range that contains the key, or the number of ranges if there is none.
func findIndex(ranges []Range, key Key) int {
	return sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= key })
}

// Instances returns the set of instances that hold keys.
func (t *Table) Instances() map[string]bool {
	instances := map[string]bool{}
	for _, ranges := range t.Services {
		for _, r := range ranges {
			instances[r.Holder.Instance] = true
		}
	}
	return instances
}

// Spread divides all keys of a service equally among the holders, one range for each in their order. Each range gets a
// new fence.
func (t *Table) Spread(service string, holders []Holder) {
	n := len(holders)
	var ranges []Range
	for i, h := range holders {
		t.Fence++
		from, to := i*(int(MaxKey)+1)/n, (i+1)*(int(MaxKey)+1)/n-1
		ranges = append(ranges, Range{From: Key(from), To: Key(to), Holder: h, Fence: t.Fence})
	}
	t.Services[service] = ranges
}

// Assign assigns a range of keys, including both ends, to a holder under a new fence. It splits the ranges that reach
// beyond these keys. It changes nothing for a service that has no ranges, and returns ErrEmptyRange if to is less than
// from.
func (t *Table) Assign(service string, from, to Key, h Holder, handover string) error {
	if to < from {
		return errors.Wrapf(ErrEmptyRange, "keys %d to %d", from, to)
	}
	ranges := t.Services[service]
	first, last := findIndex(ranges, from), findIndex(ranges, to)
	if first == len(ranges) {
		return nil
	}
	t.Fence++
	// At most three ranges replace the overlapping ones. Doing this in place avoids a copy of the slice for each of the
	// many changes after the restart of an upstream: only the ranges that follow are moved.
	parts := make([]Range, 0, 3)
	if r := ranges[first]; r.From < from {
		r.To = from - 1
		parts = append(parts, r)
	}
	parts = append(parts, Range{From: from, To: to, Holder: h, Fence: t.Fence, Handover: handover})
	if r := ranges[last]; r.To > to {
		r.From = to + 1
		parts = append(parts, r)
	}
	t.Services[service] = slices.Replace(ranges, first, last+1, parts...)
	return nil
}

// Change is one assignment, either proposed or applied. Applied changes are sent to the other processes.
type Change struct {
	Service  string
	From     Key
	To       Key
	Holder   Holder
	Handover string
	// Was is the expected current fence of the keys. The change is applied only if they still have it.
	Was Fence
	// Fence is the new fence, zero in a proposal.
	Fence Fence
}

// Apply applies the changes whose keys still have the fence Was and returns them with their new fences. It skips the
// others. A change that already has a fence keeps it, so that all processes derive the same table from it.
func (t *Table) Apply(changes Changes) Changes {
	var applied Changes
	services := map[string]bool{}
	for _, c := range changes {
		r, ok := t.Find(c.Service, c.From)
		if !ok || r.Fence != c.Was || !r.Contains(c.To) || c.To < c.From {
			continue
		}
		if c.Fence > 0 {
			// Assign increments the fence before it uses it.
			t.Fence = max(t.Fence, c.Fence) - 1
		}
		if err := t.Assign(c.Service, c.From, c.To, c.Holder, c.Handover); err != nil {
			continue
		}
		c.Fence = t.Fence
		applied = append(applied, c)
		services[c.Service] = true
	}
	for name := range services {
		t.MergeAdjacent(name)
	}
	return applied
}

// MergeAdjacent merges adjacent ranges with the same holder, fence and handover: they stem from one assignment.
func (t *Table) MergeAdjacent(service string) {
	ranges := t.Services[service]
	out := ranges[:0:0]
	for _, r := range ranges {
		if n := len(out); n > 0 && out[n-1].Holder == r.Holder && out[n-1].Fence == r.Fence && out[n-1].Handover == r.Handover {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	t.Services[service] = out
}

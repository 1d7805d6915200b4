// Package sequoiakeyspace is the table of key ranges and their holders, for services whose keys are numbers.
//
// Contiguous ranges need one grant each, where hashed keys would need one for nearly every busy key. Busy keys lie
// close together, so ranges are split by load, and single busy keys may become ranges of their own.
package sequoiakeyspace

import (
	"slices"
	"sort"

	"github.com/pkg/errors"
)

// Key is the number that a request's key is mapped to.
type Key uint16

// MaxKey is the highest key.
const MaxKey = Key(1<<16 - 1)

// Errors of a table.
var (
	// ErrMalformed reports a value that is not the encoding of a valid table.
	ErrMalformed = errors.New("malformed table")
	// ErrRange reports a range whose end lies before its start.
	ErrRange = errors.New("the range is empty")
)

// Fence is the number by which an upstream tells a newer grant from an older one. It increases with each assignment.
type Fence uint64

// Holder names one life of an upstream and the instance that it runs on.
type Holder struct {
	Instance string
	Upstream string
	// Born is the upstream's start in Unix milliseconds. An upstream may start again under its identifier.
	Born int64
}

// Zero reports whether no upstream is named.
func (h Holder) Zero() bool { return h == Holder{} }

// Range is an assignment of the keys From to To, both inclusive.
type Range struct {
	From, To Key
	Holder   Holder
	Fence    Fence
	// Handover is what the last holder returned when it released the keys, empty if it did not.
	Handover string
}

// Size returns the number of keys.
func (r Range) Size() int { return int(r.To) - int(r.From) + 1 }

// Contains reports whether key is in the range.
func (r Range) Contains(key Key) bool { return r.From <= key && key <= r.To }

// Table holds the ranges of each service, in order and without gaps, so that each key has one holder.
type Table struct {
	Services map[string][]Range
	// Fence is the highest fence in use.
	Fence Fence
}

// NewTable returns a table without services.
func NewTable() *Table {
	return &Table{Services: map[string][]Range{}}
}

// Clone returns a copy that can be changed.
func (t *Table) Clone() *Table {
	c := &Table{Services: make(map[string][]Range, len(t.Services)), Fence: t.Fence}
	for name, ranges := range t.Services {
		c.Services[name] = slices.Clone(ranges)
	}
	return c
}

// Find returns the range that has the key.
func (t *Table) Find(service string, key Key) (Range, bool) {
	ranges := t.Services[service]
	i := find(ranges, key)
	if i == len(ranges) {
		return Range{}, false
	}
	return ranges[i], true
}

// find returns the index of the range that has the key, or the number of ranges if there is none.
func find(ranges []Range, key Key) int {
	return sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= key })
}

// Instances returns the instances that hold keys.
func (t *Table) Instances() map[string]bool {
	instances := map[string]bool{}
	for _, ranges := range t.Services {
		for _, r := range ranges {
			instances[r.Holder.Instance] = true
		}
	}
	return instances
}

// Spread assigns all keys of a service in equal parts, in the order of the holders, each with a fence of its own.
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

// Assign gives the keys to a holder with a new fence, and splits ranges that reach beyond them. It returns ErrRange.
func (t *Table) Assign(service string, from, to Key, h Holder, handover string) error {
	if to < from {
		return errors.Wrapf(ErrRange, "%d to %d", from, to)
	}
	t.Fence++
	ranges := t.Services[service]
	first, last := find(ranges, from), find(ranges, to)
	if first == len(ranges) {
		return nil
	}
	// Up to three ranges take the place of those that have the keys. Changing the slice in place keeps the cost of many
	// changes, as at the restart of an upstream, to that of moving a part of it.
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

// Change is one assignment, as it is proposed and as it is sent to other processes.
type Change struct {
	Service  string
	From     Key
	To       Key
	Holder   Holder
	Handover string
	// Was is the fence that the keys have before the change. The change holds only if they still have it.
	Was Fence
	// Fence is the new one, zero in a proposal.
	Fence Fence
}

// Apply makes the changes whose keys still have the fence that they name, and returns those that were made, with their
// new fences. Changes that have a fence already keep it, so that each process gets the same table from them.
func (t *Table) Apply(changes Changes) Changes {
	var made Changes
	services := map[string]bool{}
	for _, c := range changes {
		r, ok := t.Find(c.Service, c.From)
		if !ok || r.Fence != c.Was || !r.Contains(c.To) || c.To < c.From {
			continue
		}
		if c.Fence > 0 {
			t.Fence = max(t.Fence, c.Fence) - 1
		}
		if err := t.Assign(c.Service, c.From, c.To, c.Holder, c.Handover); err != nil {
			continue
		}
		c.Fence = t.Fence
		made = append(made, c)
		services[c.Service] = true
	}
	for name := range services {
		t.Join(name)
	}
	return made
}

// Join merges neighbours that have the same holder and fence, which are parts of one grant.
func (t *Table) Join(service string) {
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

package sequoiakeyspace

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// encodedTable is the stored and transmitted form of a Table. To keep a range at about 10 bytes, each holder is written
// once and referenced by index, the start of a range is implied by the end of the one before, and a fence is stored as
// its distance below the highest one. Size matters because a process with a link of 10 Mbit/s may send the table to 100
// others.
type encodedTable struct {
	_        struct{} `cbor:",toarray"`
	Holders  []encodedHolder
	Services []encodedService
	Fence    Fence
}

// recoveredTable is the form of a Table with a RecoveredFence. Other tables have the form that earlier versions read.
type recoveredTable struct {
	_         struct{} `cbor:",toarray"`
	Table     encodedTable
	Recovered Fence
}

type encodedHolder struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	Upstream string
	Born     int64
}

type encodedService struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Ranges []encodedRange
}

// encodedRange starts at the key after the end of the previous range, or at 0.
type encodedRange struct {
	_ struct{} `cbor:",toarray"`
	// More is the number of keys after the first.
	More Key
	// Holder is an index into encodedTable.Holders.
	Holder uint
	// Below is the distance of the fence below encodedTable.Fence.
	Below    Fence
	Handover string
}

// holderList assigns indexes to holders in order of first use.
type holderList struct {
	list    []encodedHolder
	indexes map[Holder]uint
}

func (l *holderList) index(h Holder) uint {
	i, ok := l.indexes[h]
	if !ok {
		if l.indexes == nil {
			l.indexes = map[Holder]uint{}
		}
		i = uint(len(l.list))
		l.indexes[h] = i
		l.list = append(l.list, encodedHolder{Instance: h.Instance, Upstream: h.Upstream, Born: h.Born})
	}
	return i
}

func decodeHolder(holders []encodedHolder, i uint) (Holder, error) {
	if i >= uint(len(holders)) {
		return Holder{}, errors.Wrapf(ErrMalformed, "holder index %d, with %d holders", i, len(holders))
	}
	h := holders[i]
	return Holder{Instance: h.Instance, Upstream: h.Upstream, Born: h.Born}, nil
}

// Encode returns the CBOR encoding of the table, to be read by Decode.
func (t *Table) Encode() ([]byte, error) {
	var holders holderList
	e := encodedTable{Services: []encodedService{}, Fence: t.Fence}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		s := encodedService{Name: name, Ranges: make([]encodedRange, 0, len(t.Services[name]))}
		for _, r := range t.Services[name] {
			s.Ranges = append(s.Ranges, encodedRange{
				More: r.To - r.From, Holder: holders.index(r.Holder), Below: t.Fence - r.Fence, Handover: r.Handover,
			})
		}
		e.Services = append(e.Services, s)
	}
	e.Holders = holders.list
	var v any = e
	if t.RecoveredFence > 0 {
		v = recoveredTable{Table: e, Recovered: t.RecoveredFence}
	}
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "encode the key range table")
}

// Decode parses the output of Table.Encode. It returns ErrMalformed if the data is not a valid table or if the ranges
// of a service do not cover all keys.
func Decode(b []byte) (*Table, error) {
	var r recoveredTable
	if cbor.Unmarshal(b, &r) != nil {
		r = recoveredTable{}
		if err := cbor.Unmarshal(b, &r.Table); err != nil {
			return nil, errors.Wrap(ErrMalformed, err.Error())
		}
	}
	e := r.Table
	t := &Table{Services: make(map[string][]Range, len(e.Services)), Fence: e.Fence, RecoveredFence: r.Recovered}
	for _, s := range e.Services {
		ranges := make([]Range, 0, len(s.Ranges))
		next := 0
		for _, r := range s.Ranges {
			h, err := decodeHolder(e.Holders, r.Holder)
			if err != nil {
				return nil, err
			}
			to := next + int(r.More)
			if to > int(MaxKey) || r.Below > e.Fence {
				return nil, errors.Wrapf(ErrMalformed, "service %q: invalid range %d to %d with a fence %d below %d", s.Name, next, to, r.Below, e.Fence)
			}
			ranges = append(ranges, Range{From: Key(next), To: Key(to), Holder: h, Fence: e.Fence - r.Below, Handover: r.Handover})
			next = to + 1
		}
		if next != int(MaxKey)+1 {
			return nil, errors.Wrapf(ErrMalformed, "service %q: ranges end at key %d", s.Name, next-1)
		}
		if _, ok := t.Services[s.Name]; ok {
			return nil, errors.Wrapf(ErrMalformed, "duplicate service %q", s.Name)
		}
		t.Services[s.Name] = ranges
	}
	return t, nil
}

// Changes lists assignments in the order in which they are applied. The encoding writes each holder and service once,
// so that the changes after the restart of an upstream take about 15 bytes for each of its ranges.
type Changes []Change

type encodedChanges struct {
	_        struct{} `cbor:",toarray"`
	Holders  []encodedHolder
	Services []string
	Changes  []encodedChange
}

type encodedChange struct {
	_ struct{} `cbor:",toarray"`
	// Service and Holder are indexes into the fields of encodedChanges.
	Service uint
	From    Key
	// More is the number of keys after the first.
	More     Key
	Holder   uint
	Was      Fence
	Fence    Fence
	Handover string
}

// MarshalCBOR implements cbor.Marshaler.
func (c Changes) MarshalCBOR() ([]byte, error) {
	var holders holderList
	e := encodedChanges{Changes: make([]encodedChange, 0, len(c))}
	for _, x := range c {
		service := slices.Index(e.Services, x.Service)
		if service < 0 {
			service = len(e.Services)
			e.Services = append(e.Services, x.Service)
		}
		if x.To < x.From {
			return nil, errors.Wrapf(ErrEmptyRange, "keys %d to %d", x.From, x.To)
		}
		e.Changes = append(e.Changes, encodedChange{
			Service: uint(service), From: x.From, More: x.To - x.From, Holder: holders.index(x.Holder),
			Was: x.Was, Fence: x.Fence, Handover: x.Handover,
		})
	}
	e.Holders = holders.list
	return cbor.Marshal(e)
}

// UnmarshalCBOR implements cbor.Unmarshaler. It returns ErrMalformed if the data is not an encoding by MarshalCBOR.
func (c *Changes) UnmarshalCBOR(b []byte) error {
	var e encodedChanges
	if err := cbor.Unmarshal(b, &e); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	out := make(Changes, 0, len(e.Changes))
	for _, x := range e.Changes {
		h, err := decodeHolder(e.Holders, x.Holder)
		if err != nil {
			return err
		}
		if x.Service >= uint(len(e.Services)) || int(x.From)+int(x.More) > int(MaxKey) {
			return errors.Wrapf(ErrMalformed, "change of %d keys starting at %d, service index %d", int(x.More)+1, x.From, x.Service)
		}
		out = append(out, Change{
			Service: e.Services[x.Service], From: x.From, To: x.From + x.More, Holder: h,
			Was: x.Was, Fence: x.Fence, Handover: x.Handover,
		})
	}
	*c = out
	return nil
}

package sequoiakeyspace

import "github.com/pkg/errors"

// encoding is a table as it is kept and sent. Each holder is written once, and ranges follow one another, so that a range
// takes about 20 bytes.
type encoding struct {
	Holders  []Holder
	Services map[string][]encodedRange
	Fence    Fence
}

// encodedRange begins behind the range before it.
type encodedRange struct {
	To       Key    `json:"T"`
	Holder   int    `json:"H"`
	Fence    Fence  `json:"F"`
	Handover string `json:"O,omitempty"`
}

func (t *Table) encoding() encoding {
	e := encoding{Services: map[string][]encodedRange{}, Fence: t.Fence}
	known := map[Holder]int{}
	for name, ranges := range t.Services {
		for _, r := range ranges {
			i, ok := known[r.Holder]
			if !ok {
				i = len(e.Holders)
				known[r.Holder] = i
				e.Holders = append(e.Holders, r.Holder)
			}
			e.Services[name] = append(e.Services[name], encodedRange{r.To, i, r.Fence, r.Handover})
		}
	}
	return e
}

func (e encoding) table() (*Table, error) {
	t := &Table{Services: map[string][]Range{}, Fence: e.Fence}
	for name, ranges := range e.Services {
		next := 0
		t.Services[name] = []Range{}
		for _, r := range ranges {
			if r.Holder < 0 || r.Holder >= len(e.Holders) || next > int(MaxKey) {
				return nil, errors.Wrapf(ErrMalformed, "service %q: the range to %d has holder %d", name, r.To, r.Holder)
			}
			t.Services[name] = append(t.Services[name], Range{
				From: Key(next), To: r.To, Holder: e.Holders[r.Holder], Fence: r.Fence, Handover: r.Handover,
			})
			next = int(r.To) + 1
		}
	}
	return t, nil
}

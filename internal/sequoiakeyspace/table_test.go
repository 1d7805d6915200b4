package sequoiakeyspace_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

func TestKeyspace(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Keyspace")
}

func holder(name string) sequoiakeyspace.Holder {
	return sequoiakeyspace.Holder{Instance: name, Upstream: "u-" + name, Born: 1}
}

func ExampleTable_Assign() {
	t := sequoiakeyspace.NewTable()
	t.Spread("dispatch", []sequoiakeyspace.Holder{holder("a")})
	_ = t.Assign("dispatch", 100, 199, holder("b"), "")
	for _, r := range t.Services["dispatch"] {
		fmt.Println(r.From, r.To, r.Holder.Instance, r.Fence)
	}
	// Output:
	// 0 99 a 1
	// 100 199 b 2
	// 200 65535 a 1
}

// restartChanges returns a table and the changes that follow the restart of every other upstream.
func restartChanges(ranges, upstreams int) (*sequoiakeyspace.Table, sequoiakeyspace.Changes) {
	t := sequoiakeyspace.NewTable()
	var holders []sequoiakeyspace.Holder
	for i := range ranges {
		holders = append(holders, holder(fmt.Sprintf("sidecar-howrah-north-%d@10.1.0.%d", i%upstreams, i%upstreams)))
	}
	t.Spread("dispatch", holders)
	var changes sequoiakeyspace.Changes
	for i, r := range t.Services["dispatch"] {
		if i%upstreams%2 == 0 {
			h := r.Holder
			h.Born = 2
			changes = append(changes, sequoiakeyspace.Change{Service: "dispatch", From: r.From, To: r.To, Holder: h, Was: r.Fence})
		}
	}
	return t, changes
}

var _ = ginkgo.Describe("Table", func() {
	// Guards against keys with no holder or with two after any sequence of assignments.
	ginkgo.It("keeps exactly one holder for each key and increases the fence with each assignment", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			table := sequoiakeyspace.NewTable()
			table.Spread("s", []sequoiakeyspace.Holder{holder("a"), holder("b"), holder("c")})
			for range rapid.IntRange(0, 20).Draw(t, "assignments") {
				from := rapid.Uint16().Draw(t, "from")
				to := rapid.Uint16Range(from, 65535).Draw(t, "to")
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "holder")
				before := table.Fence
				if err := table.Assign("s", sequoiakeyspace.Key(from), sequoiakeyspace.Key(to), holder(name), ""); err != nil {
					t.Fatal(err)
				}
				if table.Fence <= before {
					t.Fatalf("fence %d after %d", table.Fence, before)
				}
				r, ok := table.Find("s", sequoiakeyspace.Key(from))
				if !ok || r.Holder.Instance != name || r.Fence != table.Fence {
					t.Fatalf("key %d: %+v", from, r)
				}
				table.MergeAdjacent("s")
			}
			encoded, err := table.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := sequoiakeyspace.Decode(encoded)
			if err != nil || !reflect.DeepEqual(decoded, table) {
				t.Fatalf("decoded %+v, want %+v: %v", decoded, table, err)
			}
		})
	})

	ginkgo.It("rejects an encoding that is not a valid table", func() {
		type list = []any
		lastKey := sequoiakeyspace.MaxKey
		for name, v := range map[string]any{
			"a map":                     map[string]any{"Fence": 1},
			"no fence":                  list{list{}, list{}},
			"no ranges":                 list{list{}, list{list{"s", list{}}}, 0},
			"a range short of the end":  list{list{list{"a", "u", 1}}, list{list{"s", list{list{lastKey - 1, 0, 0, ""}}}}, 0},
			"a range beyond the end":    list{list{list{"a", "u", 1}}, list{list{"s", list{list{10, 0, 0, ""}, list{lastKey, 0, 0, ""}}}}, 0},
			"a negative range":          list{list{list{"a", "u", 1}}, list{list{"s", list{list{10, 0, 0, ""}, list{-2, 0, 0, ""}}}}, 0},
			"a fence above the highest": list{list{list{"a", "u", 1}}, list{list{"s", list{list{lastKey, 0, -6, ""}}}}, 3},
			"a fence below zero":        list{list{list{"a", "u", 1}}, list{list{"s", list{list{lastKey, 0, 9, ""}}}}, 3},
			"an unknown holder":         list{list{list{"a", "u", 1}}, list{list{"s", list{list{lastKey, 1, 0, ""}}}}, 0},
			"a negative holder":         list{list{list{"a", "u", 1}}, list{list{"s", list{list{lastKey, -1, 0, ""}}}}, 0},
			"a service twice": list{
				list{list{"a", "u", 1}}, list{list{"s", list{list{lastKey, 0, 0, ""}}}, list{"s", list{list{lastKey, 0, 0, ""}}}}, 0,
			},
		} {
			b, err := cbor.Marshal(v)
			Expect(err).NotTo(HaveOccurred())
			_, err = sequoiakeyspace.Decode(b)
			Expect(err).To(MatchError(sequoiakeyspace.ErrMalformed), name)
		}
		for _, b := range []string{"", "{", `{"Services":{}}`} {
			_, err := sequoiakeyspace.Decode([]byte(b))
			Expect(err).To(MatchError(sequoiakeyspace.ErrMalformed), b)
		}
	})

	// Guards against encodings that saturate the links of a large fleet, since the writer sends each change to all
	// other processes. At 29 bytes for a range and 154 for a change, a writer with a link of 10 Mbit/s was busy for
	// seconds after all upstreams had restarted.
	ginkgo.It("takes few bytes for each range and each change", func() {
		table, changes := restartChanges(1700, 37)
		b, err := table.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(b)).To(BeNumerically("<=", 20*1700))
		b, err = cbor.Marshal(changes)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(b)).To(BeNumerically("<=", 25*len(changes)))
	})

	// Guards against copying the whole table for each change: 683 changes to a table of 1,700 ranges took 88 ms.
	ginkgo.It("makes many changes without copying the table for each", func() {
		table, changes := restartChanges(1700, 37)
		applied := 0
		allocated := testing.AllocsPerRun(5, func() { applied = len(table.Clone().Apply(changes)) })
		Expect(applied).To(Equal(len(changes)))
		Expect(allocated).To(BeNumerically("<", float64(len(changes))/4))
	})

	ginkgo.It("produces changes from which other processes derive the same table", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			table, changes := restartChanges(rapid.IntRange(3, 60).Draw(t, "ranges"), 3)
			other := table.Clone()
			applied := table.Apply(changes[:rapid.IntRange(0, len(changes)).Draw(t, "changes")])
			b, err := cbor.Marshal(applied)
			if err != nil {
				t.Fatal(err)
			}
			var received sequoiakeyspace.Changes
			if err := cbor.Unmarshal(b, &received); err != nil {
				t.Fatal(err)
			}
			if got := other.Apply(received); len(got) != len(applied) || !reflect.DeepEqual(other, table) {
				t.Fatalf("%+v, want %+v", other, table)
			}
		})
	})

	ginkgo.It("rejects an encoding of invalid changes", func() {
		type list = []any
		for name, v := range map[string]any{
			"text":               "changes",
			"an unknown holder":  list{list{}, list{"s"}, list{list{0, 1, 1, 0, 0, 0, ""}}},
			"an unknown service": list{list{list{"a", "u", 1}}, list{}, list{list{0, 1, 1, 0, 0, 0, ""}}},
			"keys past the end":  list{list{list{"a", "u", 1}}, list{"s"}, list{list{0, 65535, 1, 0, 0, 0, ""}}},
		} {
			b, err := cbor.Marshal(v)
			Expect(err).NotTo(HaveOccurred())
			var c sequoiakeyspace.Changes
			Expect(cbor.Unmarshal(b, &c)).To(MatchError(sequoiakeyspace.ErrMalformed), name)
		}
	})

	ginkgo.It("uses no fence if it assigns nothing", func() {
		table := sequoiakeyspace.NewTable()
		table.Spread("s", []sequoiakeyspace.Holder{holder("a")})
		before := table.Fence
		Expect(table.Assign("unknown", 0, 1, holder("b"), "")).To(Succeed())
		Expect(table.Fence).To(Equal(before))
	})

	ginkgo.It("rejects an empty range", func() {
		t := sequoiakeyspace.NewTable()
		Expect(t.Assign("s", 2, 1, holder("a"), "")).To(MatchError(sequoiakeyspace.ErrEmptyRange))
	})
})

var _ = ginkgo.Describe("Meter", func() {
	allKeys := sequoiakeyspace.Range{From: 0, To: sequoiakeyspace.MaxKey}
	// perSecond is the load in a profile of one second of work in the long average.
	const perSecond = (1 - 0.86) / 0.3

	ginkgo.It("finds the fewest keys with a load within the bounds", func() {
		m := sequoiakeyspace.NewMeter()
		for key := range sequoiakeyspace.Key(1000) {
			m.Add(key, time.Millisecond)
		}
		m.Add(5000, 300*time.Millisecond)
		w, ok := m.Profile(allKeys, false).FindWindow(0.25*perSecond, 0.35*perSecond)
		Expect(ok).To(BeTrue())
		Expect(w.From).To(Equal(sequoiakeyspace.Key(5000)))
		Expect(w.Size()).To(Equal(1))
	})

	ginkgo.It("finds no window if a single key exceeds the upper bound", func() {
		m := sequoiakeyspace.NewMeter()
		m.Add(7, time.Second)
		_, ok := m.Profile(allKeys, false).FindWindow(0.2*perSecond, 0.5*perSecond)
		Expect(ok).To(BeFalse())
	})

	ginkgo.It("splits a range into contiguous parts that cover it", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			m := sequoiakeyspace.NewMeter()
			for range rapid.IntRange(0, 50).Draw(t, "keys") {
				m.Add(sequoiakeyspace.Key(rapid.Uint16().Draw(t, "key")), time.Millisecond)
			}
			n := rapid.IntRange(1, 6).Draw(t, "n")
			next := 0
			parts := m.Split(allKeys, n)
			if len(parts) > n {
				t.Fatalf("%d parts, want at most %d", len(parts), n)
			}
			for _, p := range parts {
				if int(p.From) != next || p.To < p.From {
					t.Fatalf("parts %+v", parts)
				}
				next = int(p.To) + 1
			}
			if next != 65536 {
				t.Fatalf("the parts end at key %d", next-1)
			}
		})
	})
})

package sequoiakeyspace_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

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

var _ = ginkgo.Describe("Table", func() {
	// Guards against keys without a holder, or with two, after any sequence of moves.
	ginkgo.It("gives each key exactly one holder, and a new fence above all others with each move", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			table := sequoiakeyspace.NewTable()
			table.Spread("s", []sequoiakeyspace.Holder{holder("a"), holder("b"), holder("c")})
			for range rapid.IntRange(0, 20).Draw(t, "moves") {
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
				table.Join("s")
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

	ginkgo.It("rejects what is not a valid table", func() {
		for _, text := range []string{
			"", "{", `{"Services":{"s":[]}}`,
			`{"Holders":[{}],"Services":{"s":[{"T":65534}]}}`,
			`{"Holders":[{}],"Services":{"s":[{"T":10},{"T":9},{"T":65535}]}}`,
			`{"Holders":[{}],"Services":{"s":[{"T":65535},{"T":65535}]}}`,
			`{"Holders":[{}],"Services":{"s":[{"T":65535,"F":9}]},"Fence":3}`,
			`{"Holders":[{}],"Services":{"s":[{"T":65535,"H":1}]}}`,
			`{"Holders":[{}],"Services":{"s":[{"T":65535,"H":-1}]}}`,
		} {
			_, err := sequoiakeyspace.Decode([]byte(text))
			Expect(err).To(MatchError(sequoiakeyspace.ErrMalformed), text)
		}
	})

	ginkgo.It("rejects an empty range", func() {
		t := sequoiakeyspace.NewTable()
		Expect(t.Assign("s", 2, 1, holder("a"), "")).To(MatchError(sequoiakeyspace.ErrRange))
	})
})

var _ = ginkgo.Describe("Meter", func() {
	whole := sequoiakeyspace.Range{From: 0, To: sequoiakeyspace.MaxKey}

	ginkgo.It("picks the fewest keys that have about the wanted load", func() {
		m := sequoiakeyspace.NewMeter()
		for key := range sequoiakeyspace.Key(1000) {
			m.Add(key, time.Millisecond)
		}
		m.Add(5000, 300*time.Millisecond)
		w, ok := m.Pick(whole, 0.25, 0.35)
		Expect(ok).To(BeTrue())
		Expect(w.From).To(Equal(sequoiakeyspace.Key(5000)))
		Expect(w.Size()).To(Equal(1))
	})

	ginkgo.It("picks nothing if a single key has more than the wanted load", func() {
		m := sequoiakeyspace.NewMeter()
		m.Add(7, time.Second)
		_, ok := m.Pick(whole, 0.2, 0.5)
		Expect(ok).To(BeFalse())
	})

	ginkgo.It("cuts a range into parts of about the same load that cover it", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			m := sequoiakeyspace.NewMeter()
			for range rapid.IntRange(0, 50).Draw(t, "keys") {
				m.Add(sequoiakeyspace.Key(rapid.Uint16().Draw(t, "key")), time.Millisecond)
			}
			n := rapid.IntRange(1, 6).Draw(t, "n")
			next := 0
			parts := m.Cut(whole, n)
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
				t.Fatalf("the parts end at %d", next-1)
			}
		})
	})
})

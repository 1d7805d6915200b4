package sequoiatable_test

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	. "github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// fullEntry has each kind of change.
func fullEntry() Entry {
	addr := netip.MustParseAddrPort("127.0.0.1:7001")
	return Entry{Index: 9, Writer: 1, Nonce: 5, Changes: []Change{
		{Join: &Join{Member{Incarnation: 1, Instance: "a", Service: "dispatch", Slots: 6, Control: addr, Forward: addr}}},
		{Leave: &Leave{Incarnation: 4}},
		{Revoke: &Revoke{Incarnation: 3, Reason: "silent"}},
		{SetWitnesses: &SetWitnesses{Holder: 1, Witnesses: []IncarnationID{2, 3}}},
		{Assign: &Assign{Service: "dispatch", Kind: AssignPlanned, From: 1, To: 2, Shards: []uint32{3}, Keys: []string{"k"}}},
		{Merge: &Merge{Service: "dispatch", Keys: []string{"k"}}},
		{SetConfiguration: &SetConfiguration{
			Base: 3, Document: []byte("{}"), Services: []ServiceConfig{{Name: "dispatch", Shards: 8}}, Operator: "op",
		}},
	}}
}

// largeTable returns a table of one service in which member 1 owns all shards and a second member owns nothing.
func largeTable(shards uint32) (*Table, []uint32) {
	t := New()
	all := make([]uint32, shards)
	for i := range all {
		all[i] = uint32(i)
	}
	join := func(id IncarnationID) Change {
		return Change{Join: &Join{Member{Incarnation: id, Service: "dispatch"}}}
	}
	for _, e := range []Entry{
		{Index: 1, Writer: 1, Changes: []Change{
			{SetConfiguration: &SetConfiguration{Services: []ServiceConfig{{Name: "dispatch", Shards: shards}}}},
			join(1),
			{Assign: &Assign{Service: "dispatch", Kind: AssignInitial, To: 1, Shards: all}},
		}},
		{Index: 2, Writer: 2, Changes: []Change{join(2)}},
	} {
		t, _, _ = t.Apply(e)
	}
	return t, all
}

var _ = ginkgo.Describe("Entry codec", func() {
	ginkgo.It("returns the entry that was encoded, with every kind of change", func() {
		data, err := EncodeEntry(fullEntry())
		Expect(err).NotTo(HaveOccurred())
		Expect(DecodeEntry(data)).To(Equal(fullEntry()))
	})

	ginkgo.It("names the fault of a bad value, so that it is never applied in part", func() {
		good, _ := EncodeEntry(fullEntry())
		unknown, _ := cbor.Marshal(map[string]any{"Index": 1, "Writer": 1, "Extra": 1})
		noWriter, _ := cbor.Marshal(map[string]any{"Index": 1, "Writer": 0, "Nonce": 0, "Changes": nil})
		noChange, _ := cbor.Marshal(map[string]any{"Index": 1, "Writer": 1, "Changes": []any{map[string]any{}}})
		huge, _ := cbor.Marshal(Entry{Index: 1, Writer: 1, Changes: []Change{
			{SetConfiguration: &SetConfiguration{Services: []ServiceConfig{{Name: "s", Shards: 1 << 31}}}},
		}})
		for _, c := range []struct {
			data []byte
			want error
		}{
			{nil, ErrEncoding},
			{good[:len(good)-1], ErrEncoding},
			{append(bytes.Clone(good), 0), ErrTrailing},
			{unknown, ErrUnknownField},
			{noWriter, ErrContent},
			{noChange, ErrContent},
			{huge, ErrContent},
			{make([]byte, MaxEntryBytes+1), ErrTooLarge},
		} {
			_, err := DecodeEntry(c.data)
			Expect(err).To(MatchError(c.want))
		}
	})

	ginkgo.It("refuses to encode what a reader would reject, which would block the log", func() {
		_, err := EncodeEntry(Entry{Index: 1, Writer: 1, Changes: []Change{{}}})
		Expect(err).To(MatchError(ErrContent))
		document := make([]byte, MaxEntryBytes)
		_, err = EncodeEntry(Entry{Index: 1, Writer: 1, Changes: []Change{
			{SetConfiguration: &SetConfiguration{Document: document}},
		}})
		Expect(err).To(MatchError(ErrTooLarge))
	})

	ginkgo.It("fits the takeover of 22,000 shards into one store value", func() {
		_, shards := largeTable(22_000)
		data, err := EncodeEntry(Entry{Index: 3, Writer: 2, Changes: []Change{
			{Assign: &Assign{Service: "dispatch", Kind: AssignTakeover, From: 1, To: 2, Shards: shards}},
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", 128<<10))
	})
})

var _ = ginkgo.Describe("Checkpoint", func() {
	ginkgo.It("restores the table, with hot keys and revoked owners", func() {
		t := twoMembers()
		t = mustApply(t, 1, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignPlanned, From: 1, To: 2, Shards: []uint32{3}, Keys: []string{"hot"},
		}}, Change{SetWitnesses: &SetWitnesses{Holder: 1, Witnesses: []IncarnationID{2}}})
		t = mustApply(t, 2, Change{Revoke: &Revoke{Incarnation: 1}})
		parts := t.Encode(MinPartBytes)
		Expect(len(parts)).To(BeNumerically(">", 2))
		Expect(DecodeCheckpoint(parts)).To(Equal(t))
	})

	ginkgo.It("rejects missing, exchanged, changed and mixed parts", func() {
		t := twoMembers()
		parts := t.Encode(MinPartBytes)
		other := mustApply(t, 2, Change{Leave: &Leave{Incarnation: 2}}).Encode(MinPartBytes)
		changed := bytes.Clone(parts[1])
		changed[len(changed)-1] ^= 1
		for _, c := range []struct {
			parts [][]byte
			want  error
		}{
			{nil, ErrEncoding},
			{parts[1:], ErrEncoding},
			{append([][]byte{parts[1], parts[0]}, parts[2:]...), ErrEncoding},
			{append([][]byte{parts[0], other[1]}, parts[2:]...), ErrEncoding},
			{append([][]byte{parts[0], changed}, parts[2:]...), ErrChecksum},
			{[][]byte{make([]byte, MaxCheckpointBytes+1)}, ErrTooLarge},
		} {
			_, err := DecodeCheckpoint(c.parts)
			Expect(err).To(MatchError(c.want))
		}
	})
})

var _ = ginkgo.Describe("Merge", func() {
	hot := func(to IncarnationID) *Table {
		return mustApply(twoMembers(), 1, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignPlanned, From: 1, To: to, Keys: []string{"hot"},
		}})
	}
	fold := Change{Merge: &Merge{Service: "dispatch", Keys: []string{"hot"}}}

	ginkgo.It("gives the shard a new epoch, so that the folded key's epoch does not go back", func() {
		t := mustApply(hot(1), 1, fold)
		s := t.Service("dispatch")
		Expect(s.HotKeys()).To(BeEmpty())
		Expect(s.Lookup("hot")).To(Equal(Assignment{Owner: 1, Epoch: Epoch(t.Index)}))
		Expect(t.Member(1).Owned).To(Equal(8))
	})

	ginkgo.It("keeps the higher floor, so that an identifier lost in a takeover is not run again", func() {
		t := mustApply(hot(2), 1, Change{Revoke: &Revoke{Incarnation: 2}})
		t = mustApply(t, 1, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignTakeover, From: 2, To: 1, Keys: []string{"hot"},
		}})
		floor := Epoch(t.Index)
		t = mustApply(t, 1, fold)
		Expect(t.Service("dispatch").Lookup("hot").Floor).To(Equal(floor))
	})

	ginkgo.It("refuses another owner's key, another writer and a repeated key", func() {
		for _, c := range []struct {
			t      *Table
			writer IncarnationID
			change Change
			want   error
		}{
			{hot(2), 1, fold, ErrNotOwner},
			{hot(2), 2, fold, ErrNotOwner},
			{hot(1), 2, fold, ErrNotOwner},
			{twoMembers(), 1, fold, ErrNotHotKey},
			{hot(1), 1, Change{Merge: &Merge{Service: "dispatch", Keys: []string{"hot", "hot"}}}, ErrMalformed},
		} {
			next, refused, err := c.t.Apply(entry(c.t, c.writer, c.change))
			Expect(err).NotTo(HaveOccurred())
			Expect(refused).To(HaveLen(1))
			Expect(refused[0].Err).To(MatchError(c.want))
			Expect(next.Service("dispatch").HotKeys()).To(Equal(c.t.Service("dispatch").HotKeys()))
		}
	})

	ginkgo.It("counts a shard that one change lists twice only once", func() {
		t := mustApply(twoMembers(), 1, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignPlanned, From: 1, To: 2, Shards: []uint32{3, 3},
		}})
		Expect(t.Member(1).Owned).To(Equal(7))
		Expect(t.Member(2).Owned).To(Equal(1))
	})
})

// FuzzDecodeEntry guards against a panic, or a value that changes when it is encoded again.
func FuzzDecodeEntry(f *testing.F) {
	RegisterTestingT(f)
	members := twoMembers()
	data, _ := EncodeEntry(fullEntry())
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeEntry(data)
		if err != nil {
			return
		}
		first, err := EncodeEntry(e)
		if err != nil {
			t.Fatalf("decoded entry is not encoded: %v", err)
		}
		again, err := DecodeEntry(first)
		if err != nil {
			t.Fatalf("encoded entry is not decoded: %v", err)
		}
		if second, _ := EncodeEntry(again); !bytes.Equal(first, second) {
			t.Fatal("the encoding is not stable")
		}
		_, _, _ = members.Apply(Entry{Index: members.Index + 1, Writer: e.Writer, Changes: e.Changes})
	})
}

// FuzzDecodeCheckpoint guards against a panic, or a checkpoint that changes when it is encoded again.
func FuzzDecodeCheckpoint(f *testing.F) {
	RegisterTestingT(f)
	f.Add(twoMembers().Encode(1 << 16)[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) >= 29 {
			// With the checksum corrected, the changed content reaches the decoder.
			data = bytes.Clone(data)
			binary.BigEndian.PutUint64(data[21:], xxhash.Sum64(data[29:]))
		}
		table, err := DecodeCheckpoint([][]byte{data})
		if err != nil {
			return
		}
		again, err := DecodeCheckpoint(table.Encode(1 << 20))
		if err != nil {
			t.Fatalf("encoded checkpoint is not decoded: %v", err)
		}
		if !bytes.Equal(bytes.Join(table.Encode(1<<20), nil), bytes.Join(again.Encode(1<<20), nil)) {
			t.Fatal("the encoding is not stable")
		}
	})
}

// BenchmarkApplyTakeover measures the entry that reassigns a lost failure domain.
func BenchmarkApplyTakeover(b *testing.B) {
	t, shards := largeTable(22_000)
	t, _, _ = t.Apply(Entry{Index: 3, Writer: 2, Changes: []Change{
		{Revoke: &Revoke{Incarnation: 1, Reason: strings.Repeat("x", 10)}},
	}})
	e := Entry{Index: 4, Writer: 2, Changes: []Change{
		{Assign: &Assign{Service: "dispatch", Kind: AssignTakeover, From: 1, To: 2, Shards: shards}},
	}}
	for b.Loop() {
		if _, refused, err := t.Apply(e); err != nil || len(refused) > 0 {
			b.Fatal(err, refused)
		}
	}
}

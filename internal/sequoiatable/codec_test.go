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

// entryWithAllChanges returns an entry with one change of each kind.
func entryWithAllChanges() Entry {
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

// largeTable returns a table of one service in which member 1 owns all shards and member 2 none, and the numbers of the
// shards.
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
		data, err := EncodeEntry(entryWithAllChanges())
		Expect(err).NotTo(HaveOccurred())
		Expect(DecodeEntry(data)).To(Equal(entryWithAllChanges()))
	})

	ginkgo.It("rejects an invalid value with the error for its kind, so that it is never applied in part", func() {
		good, _ := EncodeEntry(entryWithAllChanges())
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
			{append(bytes.Clone(good), 0), ErrTrailingData},
			{unknown, ErrUnknownField},
			{noWriter, ErrInvalidContent},
			{noChange, ErrInvalidContent},
			{huge, ErrInvalidContent},
			{make([]byte, MaxEntryBytes+1), ErrTooLarge},
		} {
			_, err := DecodeEntry(c.data)
			Expect(err).To(MatchError(c.want))
		}
	})

	ginkgo.It("refuses to encode an entry that no reader would decode, since it would block the log", func() {
		_, err := EncodeEntry(Entry{Index: 1, Writer: 1, Changes: []Change{{}}})
		Expect(err).To(MatchError(ErrInvalidContent))
		document := make([]byte, MaxEntryBytes)
		_, err = EncodeEntry(Entry{Index: 1, Writer: 1, Changes: []Change{
			{SetConfiguration: &SetConfiguration{Document: document}},
		}})
		Expect(err).To(MatchError(ErrTooLarge))
	})

	ginkgo.It("encodes a takeover of 22,000 shards in one store value", func() {
		_, shards := largeTable(22_000)
		data, err := EncodeEntry(Entry{Index: 3, Writer: 2, Changes: []Change{
			{Assign: &Assign{Service: "dispatch", Kind: AssignTakeover, From: 1, To: 2, Shards: shards}},
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", 128<<10))
	})
})

var _ = ginkgo.Describe("Checkpoint", func() {
	ginkgo.It("restores a table with hot keys and revoked owners", func() {
		t := tableWithTwoMembers()
		t = mustApply(t, 1, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignPlanned, From: 1, To: 2, Shards: []uint32{3}, Keys: []string{"hot"},
		}}, Change{SetWitnesses: &SetWitnesses{Holder: 1, Witnesses: []IncarnationID{2}}})
		t = mustApply(t, 2, Change{Revoke: &Revoke{Incarnation: 1}})
		parts := t.Encode(MinPartBytes)
		Expect(len(parts)).To(BeNumerically(">", 2))
		Expect(DecodeCheckpoint(parts)).To(Equal(t))
	})

	ginkgo.It("rejects parts that are missing, reordered, corrupted or from another checkpoint", func() {
		t := tableWithTwoMembers()
		parts := t.Encode(MinPartBytes)
		other := mustApply(t, 2, Change{Leave: &Leave{Incarnation: 2}}).Encode(MinPartBytes)
		corrupted := bytes.Clone(parts[1])
		corrupted[len(corrupted)-1] ^= 1
		for _, c := range []struct {
			parts [][]byte
			want  error
		}{
			{nil, ErrEncoding},
			{parts[1:], ErrEncoding},
			{append([][]byte{parts[1], parts[0]}, parts[2:]...), ErrEncoding},
			{append([][]byte{parts[0], other[1]}, parts[2:]...), ErrEncoding},
			{append([][]byte{parts[0], corrupted}, parts[2:]...), ErrChecksum},
			{[][]byte{make([]byte, MaxCheckpointBytes+1)}, ErrTooLarge},
		} {
			_, err := DecodeCheckpoint(c.parts)
			Expect(err).To(MatchError(c.want))
		}
	})
})

var _ = ginkgo.Describe("Merge", func() {
	hot := func(to IncarnationID) *Table {
		return mustApply(tableWithTwoMembers(), 1, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignPlanned, From: 1, To: to, Keys: []string{"hot"},
		}})
	}
	mergeHot := Change{Merge: &Merge{Service: "dispatch", Keys: []string{"hot"}}}

	ginkgo.It("gives the shard a new epoch, so that the epoch of the merged key does not decrease", func() {
		t := mustApply(hot(1), 1, mergeHot)
		s := t.Service("dispatch")
		Expect(s.HotKeys()).To(BeEmpty())
		Expect(s.Lookup("hot")).To(Equal(Assignment{Owner: 1, Epoch: Epoch(t.Index)}))
		Expect(t.Member(1).Owned).To(Equal(8))
	})

	ginkgo.It("keeps the higher floor, so that no request whose identifier a takeover lost is run again", func() {
		t := mustApply(hot(2), 1, Change{Revoke: &Revoke{Incarnation: 2}})
		t = mustApply(t, 1, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignTakeover, From: 2, To: 1, Keys: []string{"hot"},
		}})
		floor := Epoch(t.Index)
		t = mustApply(t, 1, mergeHot)
		Expect(t.Service("dispatch").Lookup("hot").Floor).To(Equal(floor))
	})

	ginkgo.It("refuses a key or shard of another owner, another writer, an unknown hot key and a repeated key", func() {
		for _, c := range []struct {
			t      *Table
			writer IncarnationID
			change Change
			want   error
		}{
			{hot(2), 1, mergeHot, ErrNotOwner},
			{hot(2), 2, mergeHot, ErrNotOwner},
			{hot(1), 2, mergeHot, ErrNotOwner},
			{tableWithTwoMembers(), 1, mergeHot, ErrNotHotKey},
			{hot(1), 1, Change{Merge: &Merge{Service: "dispatch", Keys: []string{"hot", "hot"}}}, ErrMalformed},
		} {
			next, refused, err := c.t.Apply(nextEntry(c.t, c.writer, c.change))
			Expect(err).NotTo(HaveOccurred())
			Expect(refused).To(HaveLen(1))
			Expect(refused[0].Err).To(MatchError(c.want))
			Expect(next.Service("dispatch").HotKeys()).To(Equal(c.t.Service("dispatch").HotKeys()))
		}
	})

	ginkgo.It("counts a shard once that one change lists twice", func() {
		t := mustApply(tableWithTwoMembers(), 1, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignPlanned, From: 1, To: 2, Shards: []uint32{3, 3},
		}})
		Expect(t.Member(1).Owned).To(Equal(7))
		Expect(t.Member(2).Owned).To(Equal(1))
	})
})

// FuzzDecodeEntry checks that no input causes a panic and that re-encoding a decoded entry is stable.
func FuzzDecodeEntry(f *testing.F) {
	RegisterTestingT(f)
	members := tableWithTwoMembers()
	data, _ := EncodeEntry(entryWithAllChanges())
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeEntry(data)
		if err != nil {
			return
		}
		first, err := EncodeEntry(e)
		if err != nil {
			t.Fatalf("cannot encode the decoded entry: %v", err)
		}
		again, err := DecodeEntry(first)
		if err != nil {
			t.Fatalf("cannot decode the re-encoded entry: %v", err)
		}
		if second, _ := EncodeEntry(again); !bytes.Equal(first, second) {
			t.Fatal("the encoding is not stable")
		}
		_, _, _ = members.Apply(Entry{Index: members.Index + 1, Writer: e.Writer, Changes: e.Changes})
	})
}

// FuzzDecodeCheckpoint checks that no input causes a panic and that re-encoding a decoded checkpoint is stable.
func FuzzDecodeCheckpoint(f *testing.F) {
	RegisterTestingT(f)
	f.Add(tableWithTwoMembers().Encode(1 << 16)[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) >= 29 {
			// Correct the checksum, so that the mutated content reaches the decoder.
			data = bytes.Clone(data)
			binary.BigEndian.PutUint64(data[21:], xxhash.Sum64(data[29:]))
		}
		table, err := DecodeCheckpoint([][]byte{data})
		if err != nil {
			return
		}
		again, err := DecodeCheckpoint(table.Encode(1 << 20))
		if err != nil {
			t.Fatalf("cannot decode the re-encoded checkpoint: %v", err)
		}
		if !bytes.Equal(bytes.Join(table.Encode(1<<20), nil), bytes.Join(again.Encode(1<<20), nil)) {
			t.Fatal("the encoding is not stable")
		}
	})
}

// BenchmarkApplyTakeover measures Apply for an entry that reassigns the 22,000 shards of a lost failure domain.
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

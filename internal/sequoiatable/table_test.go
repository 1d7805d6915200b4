package sequoiatable_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	. "github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

func TestTable(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiatable")
}

// nextEntry returns an entry that follows the last one of t.
func nextEntry(t *Table, writer IncarnationID, changes ...Change) Entry {
	return Entry{Index: t.Index + 1, Writer: writer, Changes: changes}
}

func mustApply(t *Table, writer IncarnationID, changes ...Change) *Table {
	next, refused, err := t.Apply(nextEntry(t, writer, changes...))
	Expect(err).NotTo(HaveOccurred())
	Expect(refused).To(BeEmpty())
	return next
}

// tableWithTwoMembers returns a table with service "dispatch" and members 1 and 2; member 1 owns all 8 shards.
func tableWithTwoMembers() *Table {
	services := []ServiceConfig{{Name: "dispatch", Shards: 8, Divided: true}}
	t := mustApply(New(), 1, Change{SetConfiguration: &SetConfiguration{Services: services}})
	t = mustApply(t, 1, Change{Join: &Join{Member{Incarnation: 1, Service: "dispatch"}}})
	t = mustApply(t, 2, Change{Join: &Join{Member{Incarnation: 2, Service: "dispatch"}}})
	return mustApply(t, 1, Change{Assign: &Assign{
		Service: "dispatch", Kind: AssignInitial, To: 1, Shards: []uint32{0, 1, 2, 3, 4, 5, 6, 7},
	}})
}

var _ = ginkgo.Describe("Table", func() {
	ginkgo.It("refuses a takeover from an owner that is not revoked, since the key would then have two owners", func() {
		t := tableWithTwoMembers()
		next, refused, err := t.Apply(nextEntry(t, 2, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignTakeover, From: 1, To: 2, Shards: []uint32{3},
		}}))
		Expect(err).NotTo(HaveOccurred())
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Err).To(MatchError(ErrNotRevoked))
		Expect(next.Service("dispatch").Shard(3).Owner).To(Equal(IncarnationID(1)))
	})

	ginkgo.It("refuses a planned move that the owner did not write, since the owner would not have drained", func() {
		t := tableWithTwoMembers()
		_, refused, _ := t.Apply(nextEntry(t, 2, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignPlanned, From: 1, To: 2, Shards: []uint32{3},
		}}))
		Expect(refused[0].Err).To(MatchError(ErrWriterNotAllowed))
	})

	ginkgo.It("leaves earlier tables unchanged, so that readers of a table see a consistent state", func() {
		t := tableWithTwoMembers()
		next := mustApply(t, 1, Change{Assign: &Assign{
			Service: "dispatch", Kind: AssignPlanned, From: 1, To: 2, Shards: []uint32{3}, Keys: []string{"hot"},
		}})
		Expect(t.Service("dispatch").Shard(3).Owner).To(Equal(IncarnationID(1)))
		Expect(t.Service("dispatch").HotKeys()).To(BeEmpty())
		Expect(next.Service("dispatch").Lookup("hot").Owner).To(Equal(IncarnationID(2)))
		Expect(next.Member(2).Owned).To(Equal(2))
	})

	ginkgo.It("refuses a configuration based on an outdated revision, as from the slower of two operators", func() {
		t := tableWithTwoMembers()
		_, refused, _ := t.Apply(nextEntry(t, 2, Change{SetConfiguration: &SetConfiguration{Base: 0}}))
		Expect(refused[0].Err).To(MatchError(ErrStaleConfiguration))
	})

	// Guards against a service that operators have removed and that is still served.
	ginkgo.It("marks a service that a configuration leaves out as withdrawn, and keeps its owners", func() {
		t := tableWithTwoMembers()
		before := t.Service("dispatch").Shard(3)
		t = mustApply(t, 2, Change{SetConfiguration: &SetConfiguration{
			Base: t.Configuration.Revision, Services: []ServiceConfig{{Name: "parts", Shards: 1}},
		}})
		Expect(t.Service("dispatch").Withdrawn).To(BeTrue())
		Expect(t.Service("dispatch").Shard(3)).To(Equal(before))
		Expect(t.Service("parts").Withdrawn).To(BeFalse())
		decoded, err := DecodeCheckpoint(t.Encode(1 << 20))
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Service("dispatch").Withdrawn).To(BeTrue())
		t = mustApply(t, 2, Change{SetConfiguration: &SetConfiguration{
			Base: t.Configuration.Revision, Services: []ServiceConfig{{Name: "dispatch", Shards: 8, Divided: true}},
		}})
		Expect(t.Service("dispatch").Withdrawn).To(BeFalse())
		Expect(t.Service("dispatch").Shard(3)).To(Equal(before))
	})
})

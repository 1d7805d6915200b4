package sequoiacontrol

import (
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

var _ = ginkgo.Describe("The changes of one entry", func() {
	entrySize := func(b *batch) int {
		data, err := sequoiatable.EncodeEntry(sequoiatable.Entry{Index: 1, Writer: 1, Changes: b.changes})
		Expect(err).NotTo(HaveOccurred())
		return len(data)
	}

	ginkgo.It("fit into one store value, so that the store does not reject the takeover of a lost failure domain because of its size", func() {
		b := &batch{}
		for i := range 22_000 {
			b.add(sequoiatable.Change{Assign: &sequoiatable.Assign{
				Service: testService, Kind: sequoiatable.AssignTakeover, From: sequoiatable.IncarnationID(i%345 + 1), To: 1 << 63,
				Shards: []uint32{uint32(i)}, Reason: "Spread",
			}}, origin{})
		}
		Expect(len(b.changes)).To(BeNumerically(">", 1000))
		Expect(entrySize(b)).To(BeNumerically("<", sequoiatable.MaxEntryBytes))
	})

	ginkgo.It("leave a large configuration for a separate entry", func() {
		b := &batch{}
		b.add(sequoiatable.Change{Revoke: &sequoiatable.Revoke{Incarnation: 1, Reason: "Silent"}}, origin{})
		document := []byte(strings.Repeat(" ", maxBatchBytes))
		b.add(sequoiatable.Change{SetConfiguration: &sequoiatable.SetConfiguration{Document: document}}, origin{})
		Expect(b.changes).To(HaveLen(1))
	})
})

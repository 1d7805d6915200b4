package sequoianode

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("history", func() {
	// Guards against an update that omits a change, which would make the receiver's table differ from all others.
	ginkgo.It("returns the changes between two revisions only if it has all of them", func() {
		var h history
		for _, revision := range []uint64{12, 15, 19} {
			base := uint64(10)
			if len(h) > 0 {
				base = h[len(h)-1].Revision
			}
			h.add(delta{Base: base, Revision: revision})
		}
		got, ok := h.since(12, 19)
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal([]delta{{Base: 12, Revision: 15}, {Base: 15, Revision: 19}}))
		for _, bounds := range [][2]uint64{{11, 19}, {9, 19}, {12, 20}, {19, 19}} {
			_, ok := h.since(bounds[0], bounds[1])
			Expect(ok).To(BeFalse(), "%v", bounds)
		}
		h.add(delta{Base: 25, Revision: 30})
		_, ok = h.since(12, 30)
		Expect(ok).To(BeFalse(), "the change from 19 to 25 is missing")
	})

	ginkgo.It("keeps the newest changes", func() {
		var h history
		for i := range uint64(2 * maxHistory) {
			h.add(delta{Base: i, Revision: i + 1})
		}
		Expect(h).To(HaveLen(maxHistory))
		_, ok := h.since(maxHistory, 2*maxHistory)
		Expect(ok).To(BeTrue())
	})
})

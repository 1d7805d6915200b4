package sequoianode

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
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

var _ = ginkgo.Describe("updates for other processes", func() {
	// Guards against a link that is full of tables while requests wait behind them (LOST on grown Pinehollow's scale-1: 60
	// tables of 29 KB in one second, and requests that arrived 0.95 s late).
	ginkgo.It("contain few whole tables per second, and all changes", func() {
		n := newCommitNode(&tableStore{})
		t, base := n.table()
		const ranges = 2000
		for i := range ranges {
			from := sequoiakeyspace.Key(20 * i)
			r, _ := t.Find("dispatch", from)
			t.Apply(sequoiakeyspace.Changes{{
				Service: "dispatch", From: from, To: from + 9, Was: r.Fence, Holder: sequoiakeyspace.Holder{Instance: "c"},
			}})
		}
		sent := 0
		for began := time.Now(); time.Since(began) < 300*time.Millisecond; {
			u, ok := n.updateSince(base - 1)
			if ok {
				Expect(u.Table).NotTo(BeEmpty())
				sent += len(u.Table)
			}
		}
		Expect(sent).To(BeNumerically(">", 0))
		Expect(sent).To(BeNumerically("<=", tableBurstBytes+tableBytesPerSecond/2))
		n.history.add(delta{Base: base - 1, Revision: base})
		for range 100 {
			u, ok := n.updateSince(base - 1)
			Expect(ok).To(BeTrue())
			Expect(u.Deltas).To(HaveLen(1))
		}
	})

	ginkgo.It("contain a table that is larger than the burst once the whole burst is available", func() {
		var b tableSender
		now := time.Unix(1000, 0)
		Expect(b.take(now, 4*tableBurstBytes)).To(BeTrue())
		Expect(b.take(now.Add(100*time.Millisecond), 1)).To(BeFalse())
		Expect(b.take(now.Add(10*time.Second), 4*tableBurstBytes)).To(BeTrue())
	})
})

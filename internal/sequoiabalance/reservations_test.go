package sequoiabalance_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiabalance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

var _ = ginkgo.Describe("Reservations", func() {
	now := time.Unix(1000, 0)
	room := func(from, to sequoiakeyspace.Key) sequoiabalance.Reservation {
		return sequoiabalance.Reservation{From: from, To: to, Utilization: 0.3, Limit: 0.7, Rates: []float64{1, 2}}
	}
	own := sequoiabalance.Report{Utilization: 0.3, Slots: 9, Open: true}

	// Guards against several owners that fill the same upstream.
	ginkgo.It("count for 2 s", func() {
		var s sequoiabalance.Reservations
		Expect(s.Reserve(now, room(1, 9), own, 24)).To(BeTrue())
		Expect(s.Reserve(now, room(20, 29), own, 24)).To(BeFalse())
		Expect(s.Utilization(now.Add(1999 * time.Millisecond))).To(Equal(0.3))
		Expect(s.Utilization(now.Add(2 * time.Second))).To(BeZero())
		Expect(s.Reserve(now.Add(2*time.Second), room(20, 29), own, 24)).To(BeTrue())
	})

	// Guards against promises for keys that did not move, which keep others out.
	ginkgo.It("are replaced by one for the same keys, or cancelled", func() {
		var s sequoiabalance.Reservations
		Expect(s.Reserve(now, room(1, 9), own, 24)).To(BeTrue())
		Expect(s.Reserve(now, room(5, 12), own, 24)).To(BeTrue())
		Expect(s.Utilization(now)).To(Equal(0.3))
		s.Cancel(room(5, 12))
		Expect(s.Utilization(now)).To(BeZero())
	})

	// Guards against an upstream that has no range left for the keys of a lost one.
	ginkgo.It("leave some ranges free", func() {
		var s sequoiabalance.Reservations
		held := own
		held.Ranges = 20
		Expect(s.Reserve(now, room(1, 9), held, 24)).To(BeFalse())
		held.Ranges = 19
		Expect(s.Reserve(now, room(1, 9), held, 24)).To(BeTrue())
	})

	// Guards against the load of keys that never arrived, and against load that is counted twice.
	ginkgo.It("are told once, when the keys have arrived", func() {
		var s sequoiabalance.Reservations
		Expect(s.Reserve(now, room(1, 9), own, 24)).To(BeTrue())
		Expect(s.Arrived(now, []sequoiakeyspace.Range{{From: 1, To: 8}})).To(BeEmpty())
		Expect(s.Arrived(now, []sequoiakeyspace.Range{{From: 1, To: 9}})).To(Equal([]sequoiabalance.Reservation{room(1, 9)}))
		Expect(s.Arrived(now, []sequoiakeyspace.Range{{From: 1, To: 9}})).To(BeEmpty())
		Expect(s.Utilization(now)).To(BeZero())
	})
})

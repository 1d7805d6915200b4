package sequoiaadmission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Admission")
}

const ms = time.Millisecond

// stock is the load of an undivided upstream: long reads, short reservations, and calls of other upstreams, whose parents
// fail with them. rho is the offered work over the slots.
func stock(slots int, rho float64) []class {
	return scaled(slots, rho, []class{
		{name: "read", priority: 2, perSecond: 127, work: 150 * ms, aim: 400 * ms, deadline: 1500 * ms, worth: 1, lateWorth: 0.3},
		{name: "reserve", priority: 2, perSecond: 45, work: 48 * ms, aim: 150 * ms, deadline: 600 * ms, worth: 1, lateWorth: 0.3},
		{name: "call", priority: 1, perSecond: 200, work: 15 * ms, aim: 60 * ms, deadline: 200 * ms, worth: 0.7, lateWorth: 0.5},
	})
}

// desk is the load of a keyed upstream: reads, and bookings of twice their worth.
func desk(slots int, rho float64) []class {
	return scaled(slots, rho, []class{
		{name: "read", priority: 2, perSecond: 285, work: 80 * ms, aim: 200 * ms, deadline: 800 * ms, worth: 1, lateWorth: 0.3},
		{name: "book", priority: 1, perSecond: 109, work: 78 * ms, aim: 250 * ms, deadline: time.Second, worth: 2, lateWorth: 0.6},
	})
}

func scaled(slots int, rho float64, classes []class) []class {
	work := 0.0
	for _, c := range classes {
		work += c.perSecond * c.work.Seconds()
	}
	for i := range classes {
		classes[i].perSecond *= rho * float64(slots) / work
	}
	return classes
}

var _ = ginkgo.Describe("Queue under load", func() {
	for _, seed := range []uint64{1, 2, 3} {
		ginkgo.It(fmt.Sprintf("answers nearly all in time at 85%% of the capacity, seed %d", seed), func() {
			for _, load := range [][]class{stock(9, 0.85), desk(9, 0.85)} {
				Expect(total(play(sequoiaadmission.New(9), load, 60*time.Second, seed))).To(BeNumerically(">", 0.95))
			}
		})

		// A first-come queue that rejects what would be late served 0.14 of this load's worth, mostly long reads.
		ginkgo.It(fmt.Sprintf("does not let long requests push short ones out at 140%% of the capacity, seed %d", seed), func() {
			got := play(sequoiaadmission.New(9), stock(9, 1.4), 60*time.Second, seed)
			Expect(total(got)).To(BeNumerically(">", 0.6))
			Expect(got["reserve"].share()).To(BeNumerically(">", 0.8))
			Expect(got["call"].share()).To(BeNumerically(">", 0.8))
		})

		ginkgo.It(fmt.Sprintf("serves the more urgent class first at 140%% of the capacity, seed %d", seed), func() {
			got := play(sequoiaadmission.New(9), desk(9, 1.4), 60*time.Second, seed)
			Expect(got["book"].share()).To(BeNumerically(">", 0.85))
			Expect(got["book"].share()).To(BeNumerically(">", got["read"].share()))
			Expect(total(got)).To(BeNumerically(">", 0.5))
		})
	}
})

var _ = ginkgo.Describe("Queue", func() {
	now := time.Unix(1000, 0)
	ticket := func(priority int, aim time.Duration, ended *string) *sequoiaadmission.Ticket {
		return &sequoiaadmission.Ticket{
			Class: "c", Priority: priority, Arrived: now, Objective: now.Add(aim), Deadline: now.Add(2 * aim),
			Start: func(reason string, _ time.Duration) { *ended = "started" + reason },
		}
	}

	ginkgo.It("rejects at once what has no time left for half of its work", func() {
		q := sequoiaadmission.New(1)
		var got string
		t := ticket(1, 100*ms, &got)
		t.Deadline = now.Add(ms)
		q.Enter(now, t)
		Expect(got).To(Equal("started" + sequoiaadmission.ReasonDeadline))
	})

	ginkgo.It("starts the higher priority first and frees the slot of a request that ended", func() {
		q := sequoiaadmission.New(1)
		var first, low, high string
		running := ticket(1, time.Second, &first)
		q.Enter(now, running)
		q.Enter(now, ticket(2, time.Second, &low))
		q.Enter(now, ticket(1, time.Second, &high))
		Expect(q.Waiting()).To(Equal(2))
		q.Done(now.Add(ms), running, true)
		Expect(high).To(Equal("started"))
		Expect(low).To(BeEmpty())
	})

	ginkgo.It("forgets a waiting request whose client has gone", func() {
		q := sequoiaadmission.New(1)
		var first, second string
		running := ticket(1, time.Second, &first)
		waiting := ticket(1, time.Second, &second)
		q.Enter(now, running)
		q.Enter(now, waiting)
		Expect(q.Leave(waiting)).To(BeTrue())
		Expect(q.Leave(running)).To(BeFalse())
		q.Done(now, running, false)
		Expect(second).To(BeEmpty())
		Expect(q.Running()).To(BeZero())
	})
})

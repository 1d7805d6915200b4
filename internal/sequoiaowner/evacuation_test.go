package sequoiaowner_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
)

// evacuee is a fleet whose instances are in the failure domains that their names begin with.
type evacuee struct {
	*fleet
	rooms map[string]float64
}

func newEvacuee(instances ...string) *evacuee {
	f := &evacuee{&fleet{
		now: time.Unix(1000, 0), table: sequoiakeyspace.NewTable(), members: map[string]sequoiaowner.Member{},
		registrations: map[string]uint64{}, cores: map[string]*sequoiaowner.Core{}, held: map[string][]heldRange{},
		storeLost: map[string]bool{}, runs: map[string]sequoiakeyspace.Key{},
		confirms: func(string, sequoiaowner.Grant) bool { return true },
	}, map[string]float64{}}
	for i, name := range instances {
		f.startIn(name, i, name[:1], func(m sequoiaowner.Member) float64 {
			if room, ok := f.rooms[m.Instance]; ok {
				return room
			}
			return 1
		})
	}
	f.run(20 * time.Second)
	return f
}

// order sets the orders that all processes know.
func (f *evacuee) order(domains ...string) {
	for _, c := range f.cores {
		c.SetEvacuated(domains)
	}
}

// keysIn returns how many of the sampled keys are assigned to instances of a failure domain.
func (f *evacuee) keysIn(domain string) (n int) {
	for key := 0; key <= int(sequoiakeyspace.MaxKey); key += sampleDistance {
		if f.owner(sequoiakeyspace.Key(key))[:1] == domain {
			n++
		}
	}
	return n
}

// expectServed checks that each sampled key is held by its owner and nobody else.
func (f *evacuee) expectServed() {
	ginkgo.GinkgoHelper()
	for key := sequoiakeyspace.Key(0); int(key)+sampleDistance <= int(sequoiakeyspace.MaxKey); key += sampleDistance {
		Expect(f.holders(key)).To(ConsistOf(f.owner(key)), "key %d", key)
	}
}

var _ = ginkgo.Describe("Evacuation", func() {
	ginkgo.It("moves all keys out of the failure domain at once, with their handover, and lets none in", func() {
		f := newEvacuee("n1", "n2", "s1", "s2", "w1")
		Expect(f.keysIn("n")).To(BeNumerically(">", 0))
		before := f.owner(0)
		f.order("n")
		f.run(500 * time.Millisecond)
		Expect(f.keysIn("n")).To(BeZero())
		if before[:1] == "n" {
			r, _ := f.table.Find(service, 0)
			Expect(r.Handover).To(Equal("handover"))
		}
		f.run(time.Second)
		f.expectServed()
		from := f.owner(0)
		Expect(f.cores[from].BeginMove(f.now, 0, 10, f.members["n1"], sequoiaowner.ReasonBalance)).To(BeFalse())
	})

	// Guards against a loss during an evacuation whose keys go back into the failure domain.
	ginkgo.It("lets no key in by a takeover, also by a process of the failure domain", func() {
		f := newEvacuee("n1", "n2", "s1", "s2")
		f.order("n")
		f.run(time.Second)
		delete(f.cores, "s1")
		delete(f.members, "s1")
		delete(f.held, "s1")
		f.run(15 * time.Second)
		Expect(f.keysIn("n")).To(BeZero())
		Expect(f.table.Instances()).NotTo(HaveKey("s1"))
		f.expectServed()
	})

	ginkgo.It("keeps the keys where they are if every failure domain is evacuated", func() {
		f := newEvacuee("n1", "s1")
		revision := f.rev
		f.order("n", "s")
		f.run(3 * time.Second)
		Expect(f.rev).To(Equal(revision))
		f.expectServed()
		f.order("n")
		f.run(time.Second)
		Expect(f.keysIn("n")).To(BeZero())
		f.expectServed()
	})

	// Guards against keys that were released and never assigned because their destination was evacuated meanwhile.
	ginkgo.It("assigns keys that are on their way when a second failure domain is evacuated, and all others", func() {
		f := newEvacuee("n1", "n2", "s1", "s2", "w1", "w2")
		f.order("n")
		for _, name := range []string{"n1", "n2"} {
			f.step(name, f.cores[name]) // The keys are released and not assigned yet.
		}
		f.order("n", "s")
		f.run(time.Second)
		Expect(f.keysIn("n") + f.keysIn("s")).To(BeZero())
		f.expectServed()
		f.order("n", "s", "w")
		f.run(time.Second)
		f.expectServed()
	})

	// Guards against keys without an owner because the only other upstream is evacuated while they move to it.
	ginkgo.It("keeps keys that were on their way into a failure domain if nobody else may have them", func() {
		f := newEvacuee("n1", "s1")
		from := f.owner(0)
		to := map[string]string{"n1": "s1", "s1": "n1"}[from]
		Expect(f.cores[from].BeginMove(f.now, 0, 100, f.members[to], sequoiaowner.ReasonBalance)).To(BeTrue())
		f.order(to[:1])
		f.run(time.Second)
		Expect(f.keysIn(to[:1])).To(BeZero())
		f.expectServed()
	})

	ginkgo.It("completes the moves that have begun when it is withdrawn, and begins no others", func() {
		f := newEvacuee("n1", "n2", "s1")
		f.order("n")
		f.step("n1", f.cores["n1"])
		moving := f.cores["n1"].MoveCount()
		Expect(moving).To(BeNumerically(">", 0))
		f.order()
		kept := len(f.cores["n2"].HeldRanges())
		f.run(time.Second)
		Expect(f.cores["n2"].HeldRanges()).To(HaveLen(kept))
		Expect(f.cores["n1"].MoveCount()).To(BeZero())
		f.expectServed()
	})

	ginkgo.It("assigns keys to another member if the one that was to get them dies", func() {
		f := newEvacuee("n1", "s1", "s2", "s3")
		f.order("n")
		f.step("n1", f.cores["n1"])
		delete(f.cores, "s1")
		delete(f.members, "s1")
		delete(f.held, "s1")
		f.run(15 * time.Second)
		Expect(f.table.Instances()).NotTo(HaveKey("s1"))
		Expect(f.keysIn("n")).To(BeZero())
		f.expectServed()
	})

	// Guards against an upstream that gives its keys up while the new holders cannot be written.
	ginkgo.It("moves no keys while the store is lost, and all once it returns", func() {
		f := newEvacuee("n1", "s1", "s2")
		f.storeLost["n1"] = true
		f.run(2 * time.Second)
		f.order("n")
		f.run(500 * time.Millisecond)
		Expect(f.cores["n1"].MoveCount()).To(BeZero())
		f.storeLost["n1"] = false
		f.run(time.Second)
		Expect(f.keysIn("n")).To(BeZero())
		f.expectServed()
	})

	ginkgo.It("gives the keys to upstreams with room and to no cold one, if there is another", func() {
		f := newEvacuee("n1", "s1", "s2", "s3", "w1")
		f.rooms = map[string]float64{"s1": 0, "s2": 4, "s3": 1, "w1": 1}
		cold, most, least := f.keysOf("s1"), f.keysOf("s2"), f.keysOf("s3")
		f.order("n")
		f.run(time.Second)
		Expect(f.keysIn("n")).To(BeZero())
		Expect(f.keysOf("s1")).To(Equal(cold))
		Expect(f.keysOf("s2") - most).To(BeNumerically(">", f.keysOf("s3")-least))
		f.rooms = map[string]float64{"s1": 0, "s2": 0, "s3": 0, "w1": 0}
		f.order("n", "w")
		f.run(time.Second)
		Expect(f.keysIn("w")).To(BeZero())
		f.expectServed()
	})

	// Guards against owners that divide their ranges among all other members, so that each of those gets more ranges than it
	// may have.
	ginkgo.It("spreads the keys of many owners without giving any member many ranges", func() {
		var names []string
		for _, domain := range []string{"n", "s", "w"} {
			for i := range 10 {
				names = append(names, domain+string(rune('0'+i)))
			}
		}
		f := newEvacuee(names...)
		f.order("n")
		f.run(time.Second)
		Expect(f.keysIn("n")).To(BeZero())
		counts := map[string]int{}
		for _, r := range f.table.Services[service] {
			counts[r.Holder.Instance]++
		}
		for name, n := range counts {
			Expect(n).To(BeNumerically("<=", sequoiaowner.MaxRanges/2), "%s", name)
		}
		Expect(counts).To(HaveLen(20))
	})
})

// keysOf returns how many of the sampled keys are assigned to an instance.
func (f *evacuee) keysOf(instance string) (n int) {
	for key := 0; key <= int(sequoiakeyspace.MaxKey); key += sampleDistance {
		if f.owner(sequoiakeyspace.Key(key)) == instance {
			n++
		}
	}
	return n
}

package sequoiaevacuation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaevacuation"
)

func TestEvacuation(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Evacuation Suite")
}

var _ = ginkgo.Describe("Orders", func() {
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	order := func(domain string, revision uint64) sequoiaevacuation.Order {
		return sequoiaevacuation.Order{Domain: domain, Revision: revision}
	}
	withdrawal := func(domain string, revision uint64) sequoiaevacuation.Order {
		return sequoiaevacuation.Order{Domain: domain, Revision: revision, Withdrawn: true}
	}

	ginkgo.It("close a domain to requests with keys after 0.6 of the time", func() {
		o := sequoiaevacuation.New(4 * time.Second)
		Expect(o.Closed(now, "north")).To(BeFalse())
		Expect(o.Apply(now, order("north", 5))).To(BeTrue())
		Expect(o.Evacuated("north")).To(BeTrue())
		Expect(o.Evacuated("south")).To(BeFalse())
		Expect(o.Closed(at(2399*time.Millisecond), "north")).To(BeFalse())
		Expect(o.Closed(at(2400*time.Millisecond), "north")).To(BeTrue())
		Expect(o.Closed(at(time.Hour), "south")).To(BeFalse())
	})

	ginkgo.It("are followed without a time in the settings", func() {
		o := sequoiaevacuation.New(0)
		Expect(o.Apply(now, order("north", 5))).To(BeTrue())
		Expect(o.Closed(at(2999*time.Millisecond), "north")).To(BeFalse())
		Expect(o.Closed(at(3*time.Second), "north")).To(BeTrue())
	})

	// Guards against an order whose time begins again with each list of the store or message of another process.
	ginkgo.It("keep the time at which they were learned when they are repeated", func() {
		o := sequoiaevacuation.New(4 * time.Second)
		o.Apply(now, order("north", 5))
		Expect(o.Apply(at(2*time.Second), order("north", 5))).To(BeFalse())
		Expect(o.Apply(at(2*time.Second), order("north", 9))).To(BeFalse())
		Expect(o.Closed(at(2400*time.Millisecond), "north")).To(BeTrue())
	})

	// Guards against requests that a process sends for 3 s more because it was restarted or its watch hung.
	ginkgo.It("that were given earlier than a process learned of them close a domain earlier", func() {
		o, other := sequoiaevacuation.New(4*time.Second), sequoiaevacuation.New(4*time.Second)
		late := order("north", 5)
		late.Age = 2 * time.Second
		o.Apply(now, late)
		Expect(o.Closed(at(399*time.Millisecond), "north")).To(BeFalse())
		Expect(o.Closed(at(400*time.Millisecond), "north")).To(BeTrue())
		other.Apply(at(300*time.Millisecond), o.Known(at(300 * time.Millisecond))[0])
		Expect(other.Closed(at(400*time.Millisecond), "north")).To(BeTrue())
	})

	ginkgo.It("of an unknown domain are not withdrawn", func() {
		o := sequoiaevacuation.New(0)
		Expect(o.Apply(now, withdrawal("north", 5))).To(BeFalse())
		Expect(o.Apply(now, order("", 6))).To(BeFalse())
		Expect(o.Domains()).To(BeEmpty())
	})

	// Guards against a withdrawn order that returns with a late message of another process, and one that is lost the same way.
	ginkgo.It("hold by their revisions, in whatever order they arrive", func() {
		news := []sequoiaevacuation.Order{
			order("north", 3), withdrawal("north", 4), order("north", 7), order("south", 2), withdrawal("south", 6), order("east", 5),
		}
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			random.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
			o, other := sequoiaevacuation.New(0), sequoiaevacuation.New(0)
			for _, n := range news {
				o.Apply(now, n)
			}
			Expect(o.Domains()).To(Equal([]string{"east", "north"}))
			for _, n := range o.Known(now) {
				other.Apply(at(time.Second), n)
			}
			Expect(other.Domains()).To(Equal(o.Domains()))
		}
	})
})

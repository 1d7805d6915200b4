package sequoiabalance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Balance Suite")
}

const onset = 4 * time.Second

// hotLoad returns a service's usual requests, and from the onset those to hot keys.
func hotLoad(perSecond, share float64, from, count int) []traffic {
	return []traffic{
		{perSecond: perSecond * (1 - share), count: 65536},
		{perSecond: perSecond * share, count: 65536, end: onset},
		{perSecond: perSecond * share, from: from, count: count, start: onset, end: onset + 5*time.Second},
	}
}

var _ = ginkgo.Describe("a simulated service", func() {
	// Guards against excess that is divided in many rounds: requests were refused for more than 8 s.
	ginkgo.DescribeTable("serves hot keys within 2.5 s of the onset",
		func(upstreams, slots int, perSecond, share float64, keys int, work time.Duration) {
			seeds := uint64(8)
			if upstreams > 100 {
				seeds = 3
			}
			for seed := range seeds {
				s := newSimulation(seed, upstreams, slots, work, hotLoad(perSecond, share, 20000, keys)...)
				s.run(onset + 5*time.Second)
				took := s.settled(onset, onset+5*time.Second)
				fmt.Fprintf(ginkgo.GinkgoWriter, "settled %v refused %.3f moves %d keys %d maxRanges %d\n",
					took, s.refusedShare(onset, onset+5*time.Second), s.moves, s.movedKeys, s.maxHeld())
				Expect(took).To(BeNumerically("<=", 2500*time.Millisecond), "seed %d", seed)
				Expect(s.maxHeld()).To(BeNumerically("<=", maxRanges))
			}
		},
		ginkgo.Entry("10 upstreams", 10, 9, 216.0, 0.38, 200, 280*time.Millisecond),
		ginkgo.Entry("44 upstreams", 44, 9, 950.0, 0.38, 200, 280*time.Millisecond),
		ginkgo.Entry("44 upstreams, 60 keys", 44, 9, 950.0, 0.38, 60, 280*time.Millisecond),
		ginkgo.Entry("41 upstreams of 6 slots", 41, 6, 220.0, 0.35, 200, 255*time.Millisecond),
		ginkgo.Entry("300 upstreams", 300, 9, 6477.0, 0.38, 200, 280*time.Millisecond),
		ginkgo.Entry("300 upstreams with the hot load of 44", 300, 9, 6477.0, 0.056, 200, 280*time.Millisecond),
	)

	// Guards against moves that are started by noise.
	ginkgo.DescribeTable("moves next to nothing on a steady load",
		func(upstreams, slots int, perSecond float64, work time.Duration) {
			s := newSimulation(1, upstreams, slots, work, traffic{perSecond: perSecond, count: 65536})
			s.run(time.Minute)
			fmt.Fprintf(ginkgo.GinkgoWriter, "moves %d keys %d refused %.4f\n", s.moves, s.movedKeys, s.refusedShare(0, time.Minute))
			Expect(s.moves).To(BeNumerically("<=", 5))
		},
		ginkgo.Entry("44 upstreams at 0.3", 44, 9, 424.0, 280*time.Millisecond),
		ginkgo.Entry("44 upstreams at 0.5", 44, 9, 707.0, 280*time.Millisecond),
		ginkgo.Entry("44 upstreams at 0.67", 44, 9, 950.0, 280*time.Millisecond),
		ginkgo.Entry("41 upstreams of 6 slots at 0.23", 41, 6, 220.0, 255*time.Millisecond),
	)

	// Guards against plans that see one hot range only, or that move everything between two of one owner.
	ginkgo.DescribeTable("serves several hot ranges within 2.5 s",
		func(starts ...int) {
			for seed := range uint64(3) {
				share := 0.38 / float64(len(starts))
				loads := []traffic{
					{perSecond: 950 * 0.62, count: 65536}, {perSecond: 950 * 0.38, count: 65536, end: onset},
				}
				for _, from := range starts {
					loads = append(loads, traffic{perSecond: 950 * share, from: from, count: 80, start: onset})
				}
				s := newSimulation(seed, 44, 9, 280*time.Millisecond, loads...)
				s.run(onset + 5*time.Second)
				fmt.Fprintf(ginkgo.GinkgoWriter, "settled %v moves %d keys %d ranges %d\n",
					s.settled(onset, onset+5*time.Second), s.moves, s.movedKeys, s.maxHeld())
				Expect(s.settled(onset, onset+5*time.Second)).To(BeNumerically("<=", 2500*time.Millisecond), "seed %d", seed)
				Expect(s.movedKeys).To(BeNumerically("<", 65536/10))
			}
		},
		ginkgo.Entry("of three owners", 10000, 30000, 50000),
		ginkgo.Entry("of one owner", 30000, 30600),
	)

	// Guards against keys that go back and forth while the hot load lasts. In the first half minute, some upstreams give away
	// single parts whose load looked smaller at the onset.
	ginkgo.It("comes to rest while the hot load lasts", func() {
		loads := hotLoad(950, 0.38, 20000, 200)
		loads[2].end = 0
		s := newSimulation(1, 44, 9, 280*time.Millisecond, loads...)
		s.run(onset + 35*time.Second)
		moves := s.moves
		s.run(onset + 95*time.Second)
		fmt.Fprintf(ginkgo.GinkgoWriter, "moves %d, then %d\n", moves, s.moves-moves)
		Expect(moves).To(BeNumerically("<=", 60))
		Expect(s.moves - moves).To(BeNumerically("<=", 5))
		Expect(slices.Max(s.movesOf[:])).To(BeNumerically("<=", 3))
		Expect(s.refusedShare(onset+5*time.Second, onset+95*time.Second)).To(BeNumerically("<", 0.01))
	})

	// Guards against a key that passes its overload on from upstream to upstream, and against neighbours that suffer from it.
	ginkgo.DescribeTable("moves a key that is too much for an upstream only to a larger one",
		func(larger int, moves bool) {
			loads := []traffic{
				{perSecond: 160, count: 65536},
				{perSecond: 8, from: 30000, count: 200},
				{perSecond: 50, from: 30100, count: 1, start: onset},
			}
			for seed := range uint64(5) {
				s := newSimulation(seed, 10, 9, 280*time.Millisecond, loads...)
				s.uncounted = 30100
				owner := s.owner[30100]
				if larger > 0 {
					s.upstreams[9].slots, s.upstreams[9].busy = larger, make([]time.Duration, larger)
				}
				s.run(onset + 10*time.Second)
				fmt.Fprintf(ginkgo.GinkgoWriter, "settled %v moves %d keys %d ranges %d\n",
					s.settled(onset, onset+10*time.Second), s.moves, s.movedKeys, s.maxHeld())
				Expect(s.settled(onset, onset+10*time.Second)).To(BeNumerically("<=", 2500*time.Millisecond), "seed %d", seed)
				if moves {
					owner = 9
				}
				Expect(s.owner[30100]).To(Equal(owner), "seed %d", seed)
			}
		},
		ginkgo.Entry("if there is none", 0, false),
		ginkgo.Entry("if the largest is a tenth larger", 10, false),
		ginkgo.Entry("if one is more than a quarter larger", 18, true),
	)

	// Guards against many small moves to idle upstreams on a calm day, and against an upstream that joins and stays idle.
	ginkgo.DescribeTable("gives keys to an empty upstream only from a busy one",
		func(perSecond float64, moves bool) {
			s := newSimulation(1, 10, 9, 280*time.Millisecond, traffic{perSecond: perSecond, count: 65536})
			s.upstreams = append(s.upstreams, newSimulation(2, 1, 9, 0).upstreams[0])
			s.upstreams[10].held, s.upstreams[10].since = nil, nil
			s.run(time.Minute)
			Expect(len(s.upstreams[10].held) > 0).To(Equal(moves))
			Expect(s.moves).To(BeNumerically("<=", 4))
		},
		ginkgo.Entry("at 0.25", 10*9/0.28*0.25, false),
		ginkgo.Entry("at 0.45", 10*9/0.28*0.45, true),
	)
})

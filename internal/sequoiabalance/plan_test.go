package sequoiabalance_test

import (
	"fmt"
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
			for seed := range uint64(3) {
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
})

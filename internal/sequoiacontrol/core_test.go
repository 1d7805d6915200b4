package sequoiacontrol

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiacontrol")
}

var _ = ginkgo.Describe("A starting fleet", func() {
	ginkgo.It("serves every shard from an empty log, spread over all members", func() {
		f := startFleet(1, 5, 3)
		Expect(f.served()).To(Equal(testShards))
		Expect(f.owners()).To(HaveLen(5))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("names witnesses in 3 failure domains, so that the loss of one leaves a quorum", func() {
		f := startFleet(2, 6, 3)
		table := f.nodes[0].snapshot.Table
		for _, id := range table.Members() {
			domains := map[string]bool{}
			for _, w := range table.Member(id).Witnesses {
				domains[table.Member(w).FailureDomain] = true
			}
			Expect(domains).To(HaveLen(3))
		}
	})
})

var _ = ginkgo.Describe("The loss of an owner", func() {
	ginkgo.It("is repaired within the 2 s bound after a kill", func() {
		for seed := range uint64(20) {
			f := startFleet(seed, 5, 3)
			f.nodes[2].killed = true
			f.run(4 * time.Second)
			Expect(f.served()).To(Equal(testShards), "seed %d", seed)
			Expect(f.longestUnserved()).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

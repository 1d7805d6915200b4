package sequoiacontrol

import (
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// maxConfigurationDelay is the time within which a change must be in force in every process (requirement I8).
const maxConfigurationDelay = 12 * time.Second

func (n *node) revision() uint64 {
	return n.snapshot.Table.Configuration.Revision
}

func (n *node) configure(f *fleet, id uint64, document string) {
	n.step(f, Command{ID: id, Configure: &sequoiatable.SetConfiguration{
		Base: n.revision(), Document: []byte(document), Operator: document,
	}})
}

// awaitRevision runs the fleet until every running process has the revision, for at most a minute, and returns the time
// taken. The revision function returns 0 while the revision does not exist yet.
func (f *fleet) awaitRevision(revision func() uint64) time.Duration {
	start := f.now
	for f.now.Sub(start) < time.Minute {
		behind := 0
		for _, n := range f.nodes {
			if n.snapshot == nil || revision() == 0 || n.revision() < revision() {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		f.run(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

// logRevision returns the configuration revision in the log.
func (f *fleet) logRevision() uint64 {
	t := sequoiatable.New()
	for _, e := range f.log {
		t, _, _ = t.Apply(e)
	}
	return t.Configuration.Revision
}

var _ = ginkgo.Describe("A configuration change among 40 members", func() {
	ginkgo.It("is in force everywhere within 12 s and never reverts, with two operators and a store outage", func() {
		for seed := range uint64(2) {
			f := startFleet(100+seed, 40, 4)
			before := f.logRevision()
			f.nodes[1].configure(f, 7, "one")
			f.nodes[2].configure(f, 7, "two")
			took := f.awaitRevision(func() uint64 {
				if r := f.logRevision(); r > before {
					return r
				}
				return 0
			})
			Expect(took).To(BeNumerically("<", maxConfigurationDelay), "seed %d", seed)
			f.run(time.Second)
			results := []bool{f.nodes[1].replies[7].Err == nil, f.nodes[2].replies[7].Err == nil}
			Expect(results).To(ConsistOf(true, false), "seed %d", seed)

			lagging := f.nodes[3]
			lagging.dropEntries, lagging.cutStore = true, true
			f.nodes[4].configure(f, 8, "three")
			f.run(time.Second)
			Expect(f.nodes[4].replies[8].Err).NotTo(HaveOccurred(), "seed %d", seed)
			f.storeDown = true
			f.nodes[5].configure(f, 9, "during the outage")
			started := f.add("domain-0", WithContacts([]netip.AddrPort{lagging.addr, f.nodes[6].addr}))
			f.run(5 * time.Second)
			Expect(lagging.revision()).To(BeNumerically("<", f.logRevision()), "seed %d", seed)
			Expect(started.revision()).To(Equal(f.logRevision()), "seed %d", seed)
			Expect(started.records).To(ContainElement(And(
				HaveField("Decision", "TableFromPeers"), HaveField("Epoch", sequoiatable.Epoch(f.logRevision())),
			)), "seed %d", seed)
			Expect(f.servedShardsByNode()).NotTo(HaveKey(started.number))
			f.run(10 * time.Second)
			Expect(f.nodes[5].replies).To(HaveKey(uint64(9)), "seed %d", seed)

			lagging.dropEntries, lagging.cutStore, f.storeDown = false, false, false
			f.nodes[7].configure(f, 10, "after the outage")
			f.run(time.Second)
			Expect(f.awaitRevision(f.logRevision)).To(BeNumerically("<", maxConfigurationDelay-time.Second), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
		}
	})
})

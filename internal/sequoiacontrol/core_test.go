package sequoiacontrol

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiacontrol")
}

var _ = ginkgo.Describe("A starting fleet", func() {
	ginkgo.It("serves every shard from an empty log, spread over all members", func() {
		f := startFleet(1, 5, 3)
		Expect(f.settled()).To(Equal(testShards))
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
			Expect(f.settled()).To(Equal(testShards), "seed %d", seed)
			Expect(f.longestUnserved()).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

// chaos injects random kills, pauses, partitions, store outages and moves for some simulated time.
func chaos(f *fleet, rounds int) {
	for range rounds {
		f.storeDown = f.random.IntN(6) == 0
		n := f.nodes[f.random.IntN(len(f.nodes))]
		n.cutPeers = f.random.IntN(4) == 0
		n.cutStore = f.random.IntN(4) == 0
		if f.random.IntN(3) == 0 {
			n.paused = true
		}
		f.moveRandom()
		f.run(time.Duration(f.random.IntN(1500)) * time.Millisecond)
		n.resume(f)
		n.cutPeers, n.cutStore = false, false
	}
	f.storeDown = false
}

// replace stops, kills or freezes a random process and starts another one in its failure domain.
func replace(f *fleet) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(3) {
	case 0:
		n.killed = true
	case 1:
		n.step(f, Command{ID: uint64(f.order), Drain: &Drain{Reason: "replace"}})
	case 2:
		n.frozen = true
		f.run(600 * time.Millisecond)
		n.step(f, Upstream{Gone: true})
		f.run(time.Second)
		n.frozen = false
		n.step(f, Upstream{Service: testService, Slots: 6})
		return
	}
	f.add(n.domain)
}

func (f *fleet) moveRandom() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	to := f.nodes[f.random.IntN(len(f.nodes))]
	n.step(f, Command{ID: uint64(f.order), Move: &Release{
		Keys: KeySet{Service: testService, Shards: []uint32{f.random.Uint32N(testShards)}}, To: to.core.Self(),
	}})
}

// without removes one safeguard.
func without(s safeguards) Option {
	return func(o *options) { o.removed = s }
}

// findsViolation reports whether one of some seeds of a scenario shows two owners at once.
func findsViolation(seeds uint64, scenario func(f *fleet), opts ...Option) bool {
	for seed := range seeds {
		f := startFleet(seed, 6, 3, opts...)
		scenario(f)
		if len(f.violations) > 0 {
			return true
		}
	}
	return false
}

// cutOff separates one owner from its peers, so that it is revoked while it still believes in its lease.
func cutOff(f *fleet) {
	n := f.nodes[1]
	n.cutPeers = true
	f.run(3 * time.Second)
}

// slowAnswers delays the answers to one owner, then drops what it sends while the answers under way still arrive.
func slowAnswers(f *fleet) {
	n := f.nodes[1]
	n.slow = 400 * time.Millisecond
	f.run(time.Second)
	n.mute = true
	f.run(3 * time.Second)
}

// changeWitnesses makes owners change witnesses by loss while others are cut off.
func changeWitnesses(f *fleet) {
	f.loss = 0.2
	chaos(f, 40)
}

var _ = ginkgo.Describe("Two owners at once", func() {
	ginkgo.It("never occur under kills, pauses, partitions, loss and store outages, and the fleet recovers", func() {
		for seed := range uint64(40) {
			f := startFleet(seed, 6, 3)
			f.loss, f.storeLoss = 0.05, 0.05
			chaos(f, 20)
			f.loss, f.storeLoss = 0, 0
			f.run(15 * time.Second)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
			Expect(f.settled()).To(Equal(testShards), "seed %d", seed)
		}
	})

	ginkgo.It("never occur while processes are replaced one after the other", func() {
		for seed := range uint64(20) {
			f := startFleet(seed, 6, 3)
			f.loss, f.storeLoss = 0.02, 0.02
			for range 10 {
				replace(f)
				f.run(time.Duration(2000+f.random.IntN(3000)) * time.Millisecond)
				f.moveRandom()
			}
			f.loss, f.storeLoss = 0, 0
			f.run(15 * time.Second)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
			Expect(f.settled()).To(Equal(testShards), "seed %d", seed)
		}
	})

	ginkgo.It("are detected if the takeover does not wait for the promises", func() {
		Expect(findsViolation(10, cutOff)).To(BeFalse())
		Expect(findsViolation(10, cutOff, without(safeguards{takeoverWithoutPromises: true}))).To(BeTrue())
	})

	ginkgo.It("are detected if the holder counts its lease from the answer", func() {
		Expect(findsViolation(10, slowAnswers)).To(BeFalse())
		Expect(findsViolation(10, slowAnswers, without(safeguards{leaseFromAnswer: true}))).To(BeTrue())
	})

	ginkgo.It("are detected if a witness set is proposed before it supports the lease end that is published", func() {
		Expect(findsViolation(10, changeWitnesses)).To(BeFalse())
		Expect(findsViolation(30, changeWitnesses, without(safeguards{witnessSetAtOnce: true}))).To(BeTrue())
	})
})

var _ = ginkgo.Describe("Failures of one process", func() {
	ginkgo.It("pause: the process stops at its lease end and returns under a new incarnation", func() {
		f := startFleet(3, 5, 3)
		n := f.nodes[1]
		before := n.core.Self()
		n.paused = true
		f.run(3 * time.Second)
		n.resume(f)
		f.run(3 * time.Second)
		Expect(n.core.Self()).NotTo(Equal(before))
		Expect(n.snapshot.Table.Member(n.core.Self())).NotTo(BeNil())
		Expect(f.settled()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("silent upstream: its own process revokes the incarnation and the keys are served in about 1.7 s", func() {
		for seed := range uint64(10) {
			f := startFleet(seed, 5, 3)
			n := f.nodes[1]
			n.frozen = true
			f.run(600 * time.Millisecond)
			n.step(f, Upstream{Gone: true})
			f.run(4 * time.Second)
			Expect(f.settled()).To(Equal(testShards), "seed %d", seed)
			Expect(f.longestUnserved()).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
			n.frozen = false
			n.step(f, Upstream{Service: testService, Slots: 6})
			f.run(3 * time.Second)
			m := n.snapshot.Table.Member(n.core.Self())
			Expect(m.Service).To(Equal(testService), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	ginkgo.It("partition from the store only: entries come from peers and the owner keeps serving", func() {
		f := startFleet(4, 5, 3)
		before := f.nodes[1].core.Self()
		f.nodes[1].cutStore = true
		f.nodes[3].killed = true
		f.run(5 * time.Second)
		Expect(f.nodes[1].core.Self()).To(Equal(before))
		Expect(f.nodes[1].index()).To(Equal(uint64(len(f.log))))
		Expect(f.settled()).To(Equal(testShards))
	})

	ginkgo.It("loss of a failure domain: every shard is served again within the 2 s bound", func() {
		for seed := range uint64(20) {
			f := startFleet(seed, 9, 3)
			for _, n := range f.nodes {
				n.killed = n.domain == "domain-1"
			}
			f.run(5 * time.Second)
			Expect(f.settled()).To(Equal(testShards), "seed %d", seed)
			Expect(f.longestUnserved()).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	ginkgo.It("store outage: live owners keep serving, and a kill is repaired when the store answers", func() {
		f := startFleet(5, 5, 3)
		f.storeDown = true
		f.run(30 * time.Second)
		Expect(f.longestUnserved()).To(BeZero())
		f.nodes[0].killed = true
		f.run(5 * time.Second)
		f.storeDown = false
		f.run(2 * time.Second)
		Expect(f.settled()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("A planned move", func() {
	owned := func(f *fleet, n *node) []uint32 {
		return ownedKeys(n.snapshot.Table.Service(testService), n.core.Self()).Shards
	}

	ginkgo.It("by an operator at another process gives the keys to the target", func() {
		f := startFleet(6, 5, 3)
		from, to := f.nodes[1], f.nodes[2]
		keys := KeySet{Service: testService, Shards: owned(f, from)[:1], Keys: []string{"hot"}}
		f.nodes[4].step(f, Command{ID: 7, Move: &Release{Keys: keys, To: to.core.Self()}})
		f.run(3 * time.Second)
		Expect(f.nodes[4].replies[7].Err).NotTo(HaveOccurred())
		Expect(keys.owners(f.nodes[0].snapshot.Table)).To(ConsistOf(to.core.Self()))
		Expect(f.settled()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("opens the keys again if the target is lost before it has the identifiers", func() {
		f := startFleet(7, 5, 3)
		from, to := f.nodes[1], f.nodes[2]
		to.cutPeers = true
		from.step(f, Command{ID: 7, Move: &Release{
			Keys: KeySet{Service: testService, Shards: owned(f, from)[:1]}, To: to.core.Self(),
		}})
		f.run(100 * time.Millisecond)
		Expect(from.closed).To(HaveLen(1))
		f.run(12 * time.Second)
		Expect(from.closed).To(BeEmpty())
		Expect(from.replies[7].Err).To(HaveOccurred())
		Expect(f.settled()).To(Equal(testShards))
	})

	// The call reaches the store but its reply and all reads are lost, so the target may serve already.
	lostReply := func(opts ...Option) *fleet {
		f := startFleet(8, 5, 3, opts...)
		from, to := f.nodes[1], f.nodes[2]
		from.step(f, Command{ID: 7, Move: &Release{
			Keys: KeySet{Service: testService, Shards: owned(f, from)[:1]}, To: to.core.Self(),
		}})
		before := len(f.log)
		for len(f.log) == before {
			f.run(time.Millisecond)
		}
		from.cutStore = true
		from.deaf = true
		f.run(6 * time.Second)
		return f
	}

	ginkgo.It("keeps the keys closed while the result of its append is unknown", func() {
		f := lostReply()
		Expect(f.violations).To(BeEmpty())
		f.nodes[1].cutStore, f.nodes[1].deaf = false, false
		f.run(2 * time.Second)
		Expect(f.nodes[1].closed).To(BeEmpty())
		Expect(f.settled()).To(Equal(testShards))
		Expect(lostReply(without(safeguards{reopenUnknown: true})).violations).NotTo(BeEmpty())
	})

	ginkgo.It("empties a draining process, which leaves without interrupting anything", func() {
		f := startFleet(9, 5, 3)
		f.nodes[2].step(f, Command{ID: 7, Drain: &Drain{Reason: "test"}})
		f.run(3 * time.Second)
		Expect(f.nodes[2].stopped).To(BeTrue())
		Expect(f.nodes[2].replies[7].Err).NotTo(HaveOccurred())
		Expect(f.settled()).To(Equal(testShards))
		Expect(f.longestUnserved()).To(BeNumerically("<", 200*time.Millisecond))
		Expect(f.violations).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("Hot keys", func() {
	ginkgo.It("get an assignment of their own and are folded back by the planner's moves", func() {
		key := "hot"
		shard := sequoiatable.ShardOf(key, testShards)
		hot := true
		balance := func(in sequoiaplacement.Input) []sequoiaplacement.Move {
			a, home := in.Table.Lookup(key), in.Table.Shard(shard).Owner
			to := home
			if hot && a.Owner == home {
				to = in.Upstreams[(slices.IndexFunc(in.Upstreams, func(u sequoiaplacement.Upstream) bool {
					return u.Incarnation == home
				})+1)%len(in.Upstreams)].Incarnation
			}
			if _, own := in.Table.HotKey(key); hot == own {
				return nil
			}
			return []sequoiaplacement.Move{{From: a.Owner, To: to, Keys: []string{key}}}
		}
		f := startFleet(12, 5, 3, WithPolicy(Policy{Place: sequoiaplacement.Place, Balance: balance}))
		f.run(6 * time.Second)
		s := f.nodes[0].snapshot.Table.Service(testService)
		Expect(s.Lookup(key).Owner).NotTo(Equal(s.Shard(shard).Owner))
		hot = false
		f.run(12 * time.Second)
		s = f.nodes[0].snapshot.Table.Service(testService)
		Expect(s.HotKeys()).To(BeEmpty())
		Expect(f.violations).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("The store-lease baseline", func() {
	ginkgo.It("serves, repairs a kill and never shows two owners", func() {
		for seed := range uint64(10) {
			f := startFleet(seed, 5, 3, WithAuthority(StoreLeases))
			Expect(f.settled()).To(Equal(testShards), "seed %d", seed)
			f.nodes[2].killed = true
			f.nodes[3].cutStore = true
			f.run(4 * time.Second)
			f.nodes[3].cutStore = false
			f.run(4 * time.Second)
			Expect(f.settled()).To(Equal(testShards), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

var _ = ginkgo.Describe("An owner lost with two witnesses", func() {
	ginkgo.It("keeps its keys until an operator confirms the loss", func() {
		f := startFleet(13, 6, 3)
		lost := f.nodes[1]
		id := lost.core.Self()
		lost.killed = true
		for i, w := range lost.snapshot.Table.Member(id).Witnesses {
			for _, n := range f.nodes {
				n.killed = n.killed || (i < 2 && n.core.Self() == w)
			}
		}
		f.run(5 * time.Second)
		Expect(f.served()).To(BeNumerically("<", testShards))
		for _, n := range f.nodes {
			n.step(f, Command{ID: 7, ConfirmLoss: &ConfirmLoss{Incarnation: id}})
		}
		f.run(12 * time.Second)
		Expect(f.violations).To(BeEmpty())
		Expect(f.nodes[0].snapshot.Table.Service(testService)).NotTo(BeNil())
		for _, n := range f.nodes {
			if !n.killed {
				Expect(n.snapshot.Table.Member(id)).To(BeNil())
			}
		}
	})
})

var _ = ginkgo.Describe("An operator's confirmation of a loss", func() {
	ginkgo.It("is refused for a member that still renews its lease, which would get a second owner", func() {
		f := startFleet(14, 6, 3)
		id := f.nodes[1].core.Self()
		for _, n := range f.nodes {
			if n != f.nodes[1] {
				n.step(f, Command{ID: 7, ConfirmLoss: &ConfirmLoss{Incarnation: id}})
			}
		}
		f.run(3 * time.Second)
		for _, n := range f.nodes {
			if n != f.nodes[1] {
				Expect(n.replies[7].Err).To(MatchError(ErrMemberAlive))
			}
		}
		Expect(f.nodes[1].core.Self()).To(Equal(id))
		Expect(f.longestUnserved()).To(BeZero())
		Expect(f.violations).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("An operator's configuration", func() {
	ginkgo.It("is refused with the winning revision if another one was written first", func() {
		f := startFleet(10, 5, 3)
		base := f.nodes[0].snapshot.Table.Configuration.Revision
		for i, n := range f.nodes[:2] {
			n.step(f, Command{ID: 7, Configure: &sequoiatable.SetConfiguration{Base: base, Document: []byte{byte('a' + i)}}})
		}
		f.run(2 * time.Second)
		a, b := f.nodes[0].replies[7], f.nodes[1].replies[7]
		Expect([]bool{a.Err == nil, b.Err == nil}).To(ConsistOf(true, false))
		Expect(a.Index).To(Equal(b.Index))
	})
})

var _ = ginkgo.Describe("A peer that lacks trimmed entries", func() {
	ginkgo.It("receives a checkpoint and joins", func() {
		f := startFleet(11, 5, 3)
		for _, n := range f.nodes {
			n.core.log.entries = n.core.log.entries[len(n.core.log.entries)-1:]
		}
		contact := WithContacts([]netip.AddrPort{f.nodes[0].addr})
		n := f.add("domain-0", contact)
		n.cutStore = true
		f.run(2 * time.Second)
		Expect(n.index()).To(Equal(uint64(len(f.log))))
		Expect(f.owners()).NotTo(HaveKey(n.name))
		n.cutStore = false
		f.run(3 * time.Second)
		Expect(n.snapshot.Table.Member(n.core.Self())).NotTo(BeNil())
	})
})

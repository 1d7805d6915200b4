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
	ginkgo.It("serves every shard, spread over all members, after starting from an empty log", func() {
		f := startFleet(1, 5, 3)
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.servedShardsByNode()).To(HaveLen(5))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("selects witnesses in 3 failure domains, so that the loss of one domain leaves a quorum", func() {
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
	ginkgo.It("is recovered within the 2 s limit after a kill", func() {
		for seed := range uint64(20) {
			f := startFleet(seed, 5, 3)
			f.nodes[2].killed = true
			f.run(4 * time.Second)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
			Expect(f.longestUnserved()).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

// injectFaults injects random pauses, partitions, store outages and moves for a number of rounds of random length.
func injectFaults(f *fleet, rounds int) {
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

// replaceRandomNode drains or kills a random process and starts another one in its failure domain, or freezes its
// upstream for a while.
func replaceRandomNode(f *fleet) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(3) {
	case 0:
		n.killed = true
	case 1:
		n.step(f, Command{ID: uint64(f.order), Drain: &Drain{Reason: "replace"}})
	case 2:
		n.upstreamFrozen = true
		f.run(600 * time.Millisecond)
		n.step(f, Upstream{Gone: true})
		f.run(time.Second)
		n.upstreamFrozen = false
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

// withoutSafeguards disables the given safeguards.
func withoutSafeguards(s disabledSafeguards) Option {
	return func(o *options) { o.disabled = s }
}

// findsViolation reports whether the scenario violates an invariant, such as single ownership, for any of the seeds.
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

// isolateOwner cuts one owner off from its peers, so that it may be revoked while it still considers its lease valid.
func isolateOwner(f *fleet) {
	n := f.nodes[1]
	n.cutPeers = true
	f.run(3 * time.Second)
}

// delayReplies delays the replies to one owner, then drops what it sends while delayed replies still arrive.
func delayReplies(f *fleet) {
	n := f.nodes[1]
	n.receiveDelay = 400 * time.Millisecond
	f.run(time.Second)
	n.dropSends = true
	f.run(3 * time.Second)
}

// changeWitnesses makes owners change witnesses through message loss and injected faults.
func changeWitnesses(f *fleet) {
	f.messageLoss = 0.2
	injectFaults(f, 40)
}

var _ = ginkgo.Describe("Two owners at once", func() {
	ginkgo.It("never occur under pauses, partitions, message loss and store outages, and the fleet recovers", func() {
		for seed := range uint64(40) {
			f := startFleet(seed, 6, 3)
			f.messageLoss, f.storeLoss = 0.05, 0.05
			injectFaults(f, 20)
			f.messageLoss, f.storeLoss = 0, 0
			f.run(15 * time.Second)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
		}
	})

	ginkgo.It("never occur while processes are replaced one after another", func() {
		for seed := range uint64(20) {
			f := startFleet(seed, 6, 3)
			f.messageLoss, f.storeLoss = 0.02, 0.02
			for range 10 {
				replaceRandomNode(f)
				f.run(time.Duration(2000+f.random.IntN(3000)) * time.Millisecond)
				f.moveRandom()
			}
			f.messageLoss, f.storeLoss = 0, 0
			f.run(15 * time.Second)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
		}
	})

	ginkgo.It("are detected if the takeover does not wait for the promises", func() {
		Expect(findsViolation(10, isolateOwner)).To(BeFalse())
		Expect(findsViolation(10, isolateOwner, withoutSafeguards(disabledSafeguards{takeoverWithoutPromises: true}))).To(BeTrue())
	})

	ginkgo.It("are detected if the holder counts its lease from the reply", func() {
		Expect(findsViolation(10, delayReplies)).To(BeFalse())
		Expect(findsViolation(10, delayReplies, withoutSafeguards(disabledSafeguards{leaseFromReply: true}))).To(BeTrue())
	})

	ginkgo.It("are detected if a witness set is proposed before it supports the published lease end", func() {
		Expect(findsViolation(10, changeWitnesses)).To(BeFalse())
		Expect(findsViolation(30, changeWitnesses, withoutSafeguards(disabledSafeguards{uncoveredWitnessSet: true}))).To(BeTrue())
	})
})

var _ = ginkgo.Describe("Failures of one process", func() {
	ginkgo.It("pause: the process stops serving at its lease end and rejoins under a new incarnation", func() {
		f := startFleet(3, 5, 3)
		n := f.nodes[1]
		before := n.core.Self()
		n.paused = true
		f.run(3 * time.Second)
		n.resume(f)
		f.run(3 * time.Second)
		Expect(n.core.Self()).NotTo(Equal(before))
		Expect(n.snapshot.Table.Member(n.core.Self())).NotTo(BeNil())
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("silent upstream: the process revokes its own incarnation and the keys are served again after about 1.7 s", func() {
		for seed := range uint64(10) {
			f := startFleet(seed, 5, 3)
			n := f.nodes[1]
			n.upstreamFrozen = true
			f.run(600 * time.Millisecond)
			n.step(f, Upstream{Gone: true})
			f.run(4 * time.Second)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
			Expect(f.longestUnserved()).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
			n.upstreamFrozen = false
			n.step(f, Upstream{Service: testService, Slots: 6})
			f.run(3 * time.Second)
			m := n.snapshot.Table.Member(n.core.Self())
			Expect(m.Service).To(Equal(testService), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	ginkgo.It("partition from the store only: the owner receives entries from peers and keeps serving", func() {
		f := startFleet(4, 5, 3)
		before := f.nodes[1].core.Self()
		f.nodes[1].cutStore = true
		f.nodes[3].killed = true
		f.run(5 * time.Second)
		Expect(f.nodes[1].core.Self()).To(Equal(before))
		Expect(f.nodes[1].index()).To(Equal(uint64(len(f.log))))
		Expect(f.settledShards()).To(Equal(testShards))
	})

	ginkgo.It("loss of a failure domain: every shard is served again within the 2 s limit", func() {
		for seed := range uint64(20) {
			f := startFleet(seed, 9, 3)
			for _, n := range f.nodes {
				n.killed = n.domain == "domain-1"
			}
			f.run(5 * time.Second)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
			Expect(f.longestUnserved()).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	ginkgo.It("store outage: live owners keep serving, and a killed owner is replaced once the store responds", func() {
		f := startFleet(5, 5, 3)
		f.storeDown = true
		f.run(30 * time.Second)
		Expect(f.longestUnserved()).To(BeZero())
		f.nodes[0].killed = true
		f.run(5 * time.Second)
		f.storeDown = false
		f.run(2 * time.Second)
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("A planned move", func() {
	owned := func(f *fleet, n *node) []uint32 {
		return ownedKeys(n.snapshot.Table.Service(testService), n.core.Self()).Shards
	}

	ginkgo.It("requested by an operator at another process assigns the keys to the target", func() {
		f := startFleet(6, 5, 3)
		from, to := f.nodes[1], f.nodes[2]
		keys := KeySet{Service: testService, Shards: owned(f, from)[:1], Keys: []string{"hot"}}
		f.nodes[4].step(f, Command{ID: 7, Move: &Release{Keys: keys, To: to.core.Self()}})
		f.run(3 * time.Second)
		Expect(f.nodes[4].replies[7].Err).NotTo(HaveOccurred())
		Expect(keys.owners(f.nodes[0].snapshot.Table)).To(ConsistOf(to.core.Self()))
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("opens the keys again if the target is lost before it has received the identifiers", func() {
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
		Expect(f.settledShards()).To(Equal(testShards))
	})

	// lostReply moves a shard such that the append reaches the store but its reply and all reads are lost. The target may
	// already serve the shard.
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
		from.dropEntries = true
		f.run(6 * time.Second)
		return f
	}

	ginkgo.It("keeps the keys closed while the result of its append is unknown", func() {
		f := lostReply()
		Expect(f.violations).To(BeEmpty())
		f.nodes[1].cutStore, f.nodes[1].dropEntries = false, false
		f.run(2 * time.Second)
		Expect(f.nodes[1].closed).To(BeEmpty())
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(lostReply(withoutSafeguards(disabledSafeguards{reopenOnUnknownResult: true})).violations).NotTo(BeEmpty())
	})

	ginkgo.It("moves all keys off a draining process, which leaves with little interruption of service", func() {
		f := startFleet(9, 5, 3)
		f.nodes[2].step(f, Command{ID: 7, Drain: &Drain{Reason: "test"}})
		f.run(3 * time.Second)
		Expect(f.nodes[2].stopped).To(BeTrue())
		Expect(f.nodes[2].replies[7].Err).NotTo(HaveOccurred())
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.longestUnserved()).To(BeNumerically("<", 200*time.Millisecond))
		Expect(f.violations).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("Hot keys", func() {
	ginkgo.It("get their own assignment and are merged back into their shards by the planner's moves", func() {
		key := "hot"
		shard := sequoiatable.ShardOf(key, testShards)
		hot := true
		balance := func(in sequoiaplacement.Input) []sequoiaplacement.Move {
			a, shardOwner := in.Table.Lookup(key), in.Table.Shard(shard).Owner
			to := shardOwner
			if hot && a.Owner == shardOwner {
				to = in.Upstreams[(slices.IndexFunc(in.Upstreams, func(u sequoiaplacement.Upstream) bool {
					return u.Incarnation == shardOwner
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
	ginkgo.It("serves, recovers from a kill and never has two owners at once", func() {
		for seed := range uint64(10) {
			f := startFleet(seed, 5, 3, WithAuthority(StoreLeases))
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
			f.nodes[2].killed = true
			f.nodes[3].cutStore = true
			f.run(4 * time.Second)
			f.nodes[3].cutStore = false
			f.run(4 * time.Second)
			Expect(f.settledShards()).To(Equal(testShards), "seed %d", seed)
			Expect(f.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})

var _ = ginkgo.Describe("An owner lost together with two of its witnesses", func() {
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
		Expect(f.servedShards()).To(BeNumerically("<", testShards))
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
	ginkgo.It("is refused for a member that still renews its lease, since its keys would get a second owner", func() {
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
	ginkgo.It("is refused and reports the winning revision if another configuration was written first", func() {
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
		Expect(f.servedShardsByNode()).NotTo(HaveKey(n.number))
		n.cutStore = false
		f.run(3 * time.Second)
		Expect(n.snapshot.Table.Member(n.core.Self())).NotTo(BeNil())
	})
})

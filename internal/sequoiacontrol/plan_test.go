package sequoiacontrol

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// plannedAssignments counts the shards and hot keys assigned by planned moves.
func (f *fleet) plannedAssignments() int {
	count := 0
	for _, e := range f.log {
		for _, c := range e.Changes {
			if c.Assign != nil && c.Assign.Kind == sequoiatable.AssignPlanned {
				count += len(c.Assign.Shards) + len(c.Assign.Keys)
			}
		}
	}
	return count
}

// planner returns the node that is the planner of the test service.
func (f *fleet) planner() *node {
	for _, n := range f.nodes {
		if !n.killed && n.core.isPlanner(testService) {
			return n
		}
	}
	return nil
}

func withBalance(b func(in sequoiaplacement.Input) []sequoiaplacement.Move) Option {
	return WithPolicy(Policy{Place: sequoiaplacement.Place, Balance: b})
}

// moveFirstShard moves shard 0 to the member after its owner.
func moveFirstShard(in sequoiaplacement.Input) []sequoiaplacement.Move {
	from := in.Table.Shard(0).Owner
	for i, u := range in.Upstreams {
		if u.Incarnation == from {
			to := in.Upstreams[(i+1)%len(in.Upstreams)].Incarnation
			return []sequoiaplacement.Move{{From: from, To: to, Shards: []uint32{0}}}
		}
	}
	return nil
}

var _ = ginkgo.Describe("The planner", func() {
	ginkgo.It("does not move keys to an upstream merely because it has never reported a load", func() {
		f := startFleet(21, 5, 3)
		f.run(40 * time.Second)
		before := f.plannedAssignments()
		for range 60 {
			for _, n := range f.nodes[1:] {
				n.step(f, LoadMeasured{Load: Load{Service: testService, BusySlots: 3, Slots: 6}})
			}
			f.run(time.Second)
		}
		Expect(f.plannedAssignments()).To(Equal(before))
	})

	ginkgo.It("waits a full interval after replacing another planner, whose last moves may not be in the log yet", func() {
		const interval = 10 * time.Second
		var asked []time.Time
		var f *fleet
		active := false
		f = startFleet(22, 5, 3, withBalance(func(in sequoiaplacement.Input) []sequoiaplacement.Move {
			if !active || in.SinceLastMove < interval {
				return nil
			}
			asked = append(asked, f.now)
			return moveFirstShard(in)
		}))
		f.run(interval)
		for _, n := range f.nodes {
			n.drainTime = 8 * time.Second
		}
		active = true
		for len(asked) == 0 {
			f.run(100 * time.Millisecond)
		}
		f.planner().killed = true
		f.run(30 * time.Second)
		Expect(len(asked)).To(BeNumerically(">", 1))
		for i := range asked[1:] {
			Expect(asked[i+1].Sub(asked[i])).To(BeNumerically(">=", interval))
		}
	})

	ginkgo.It("does not delay moves while a merge waits for its log entry", func() {
		var longest time.Duration
		f := startFleet(23, 5, 3, withBalance(func(in sequoiaplacement.Input) []sequoiaplacement.Move {
			longest = max(longest, in.SinceLastMove)
			owner := in.Table.Lookup("hot").Owner
			return []sequoiaplacement.Move{{From: owner, To: owner, Keys: []string{"hot"}, Reason: sequoiaplacement.ReasonMerge}}
		}))
		f.run(30 * time.Second)
		Expect(longest).To(BeNumerically(">", 20*time.Second))
	})
})

var _ = ginkgo.Describe("A checkpoint", func() {
	dueAtNextEntry := func(seed uint64) *fleet {
		f := startFleet(seed, 5, 3)
		for _, n := range f.nodes {
			n.core.opt.checkpointInterval = uint64(len(f.log) + 1)
		}
		return f
	}
	configure := func(f *fleet, n *node) {
		base := n.snapshot.Table.Configuration.Revision
		n.step(f, Command{ID: 7, Configure: &sequoiatable.SetConfiguration{Base: base, Document: []byte("{ }")}})
	}

	ginkgo.It("is written by a planner if the writer of the log entry dies", func() {
		f := dueAtNextEntry(24)
		due := uint64(len(f.log) + 1)
		f.killCheckpointWriter = true
		configure(f, f.nodes[2])
		f.run(35 * time.Second)
		Expect(f.nodes[2].killed).To(BeTrue())
		Expect(f.checkpoints).To(ConsistOf(due))
	})

	ginkgo.It("is written after a store outage ends", func() {
		f := dueAtNextEntry(25)
		due := uint64(len(f.log) + 1)
		configure(f, f.nodes[2])
		for len(f.log) < int(due) {
			f.run(time.Millisecond)
		}
		f.storeDown = true
		f.run(35 * time.Second)
		Expect(f.checkpoints).To(BeEmpty())
		f.storeDown = false
		f.run(12 * time.Second)
		Expect(f.checkpoints).To(ConsistOf(due))
	})
})

var _ = ginkgo.Describe("The identifiers of moved keys", func() {
	move := func(f *fleet, from, to *node) {
		keys := ownedKeys(from.snapshot.Table.Service(testService), from.core.Self())
		keys.Shards = keys.Shards[:1]
		from.step(f, Command{ID: 7, Move: &Release{Keys: keys, To: to.core.Self()}})
		f.run(8 * time.Second)
		Expect(from.replies[7].Err).NotTo(HaveOccurred())
	}

	ginkgo.It("arrive completely, in parts below the transport's message limit, even if messages are lost", func() {
		f := startFleet(26, 5, 3)
		from, to := f.nodes[1], f.nodes[2]
		want := map[string]bool{}
		for i := range 60 {
			id := Identifier{Key: "a", RequestID: string(rune('A' + i)), Body: make([]byte, 100<<10)}
			from.identifiers = append(from.identifiers, id)
			want[id.RequestID] = true
		}
		for _, p := range splitIdentifiers(from.identifiers) {
			Expect(len(p.identifiers)).To(BeNumerically("<=", identifierPartBytes/(100<<10)))
		}
		f.messageLoss = 0.2
		move(f, from, to)
		got := map[string]bool{}
		for _, id := range to.installed {
			got[id.RequestID] = true
		}
		Expect(got).To(Equal(want))
	})

	ginkgo.It("are transferred with an unknown outcome if the response alone is too large, instead of failing the move", func() {
		f := startFleet(27, 5, 3)
		from, to := f.nodes[1], f.nodes[2]
		from.identifiers = []Identifier{{Key: "a", RequestID: "large", Body: make([]byte, maxIdentifierBytes)}}
		move(f, from, to)
		Expect(to.installed).To(ContainElement(Identifier{Key: "a", RequestID: "large", Unknown: true}))
	})
})

var _ = ginkgo.Describe("A drain", func() {
	drain := func(f *fleet, n *node) {
		n.step(f, Command{ID: 7, Drain: &Drain{Reason: "test"}})
	}
	decisions := func(n *node) []string {
		var names []string
		for _, r := range n.records {
			names = append(names, r.Decision)
		}
		return names
	}

	ginkgo.It("waits for a request of 60 s and keeps only that request's shard closed meanwhile", func() {
		f := startFleet(28, 5, 3)
		n := f.nodes[2]
		n.busyShard = ownedKeys(n.snapshot.Table.Service(testService), n.core.Self()).Shards[0]
		n.busyTime = 60 * time.Second
		drain(f, n)
		f.run(60 * time.Second)
		Expect(n.stopped).To(BeFalse())
		for shard, d := range f.unserved {
			if shard != n.busyShard {
				Expect(d).To(BeNumerically("<", 2*time.Second))
			}
		}
		f.run(5 * time.Second)
		Expect(n.stopped).To(BeTrue())
		Expect(decisions(n)).NotTo(ContainElement("DrainTimeout"))
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("without another member of the service refuses new work within 3 s, and the next member gets the keys", func() {
		f := startFleet(29, 4, 3)
		n := f.nodes[0]
		for _, other := range f.nodes[1:] {
			other.step(f, Upstream{Service: "other", Slots: 6})
		}
		f.run(6 * time.Second)
		Expect(f.servedShardsByNode()).To(Equal(map[int]int{0: testShards}))
		drain(f, n)
		f.run(3 * time.Second)
		Expect(f.servedShards()).To(BeZero())
		f.run(2 * time.Second)
		Expect(n.stopped).To(BeTrue())
		f.add("domain-0")
		f.run(5 * time.Second)
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("while the store is down refuses new work within 3 s, and the keys are taken over when the store responds again", func() {
		f := startFleet(30, 5, 3)
		n := f.nodes[2]
		owned := f.servedShardsByNode()[n.number]
		f.storeDown = true
		drain(f, n)
		f.run(3 * time.Second)
		Expect(f.servedShardsByNode()).NotTo(HaveKey(n.number))
		Expect(f.servedShards()).To(Equal(testShards - owned))
		f.run(6 * time.Second)
		Expect(n.stopped).To(BeTrue())
		f.storeDown = false
		f.run(4 * time.Second)
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.violations).To(BeEmpty())
	})

	ginkgo.It("of the upstream alone moves its keys away and keeps the process", func() {
		f := startFleet(31, 5, 3)
		n := f.nodes[2]
		before := n.core.Self()
		n.step(f, Upstream{Service: testService, Slots: 6, Draining: true})
		f.run(3 * time.Second)
		Expect(f.settledShards()).To(Equal(testShards))
		Expect(f.servedShardsByNode()).NotTo(HaveKey(n.number))
		Expect(f.longestUnserved()).To(BeNumerically("<", 200*time.Millisecond))
		f.run(10 * time.Second)
		Expect(n.stopped).To(BeFalse())
		Expect(n.core.Self()).To(Equal(before))
		Expect(n.snapshot.Table.Member(before)).NotTo(BeNil())
		n.step(f, Upstream{Service: testService, Slots: 6})
		f.run(2 * time.Second)
		Expect(n.snapshot.Table.Member(before).Service).To(Equal(testService))
		Expect(f.violations).To(BeEmpty())
	})
})

package sequoiaplacement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiaplacement")
}

// cluster applies moves to a table, as the control core does.
type cluster struct {
	table *sequoiatable.Table
}

func (c *cluster) apply(writer sequoiatable.IncarnationID, change sequoiatable.Change) {
	next, refused, err := c.table.Apply(sequoiatable.Entry{
		Index: c.table.Index + 1, Writer: writer, Changes: []sequoiatable.Change{change},
	})
	if err != nil || len(refused) > 0 {
		panic(refused)
	}
	c.table = next
}

func (c *cluster) service() *sequoiatable.ServiceTable {
	return c.table.Service("dispatch")
}

func (c *cluster) move(moves []sequoiaplacement.Move) {
	for _, m := range moves {
		kind := sequoiatable.AssignPlanned
		if m.From == 0 {
			kind = sequoiatable.AssignInitial
		}
		c.apply(m.From, sequoiatable.Change{Assign: &sequoiatable.Assign{
			Service: "dispatch", Kind: kind, From: m.From, To: m.To, Shards: m.Shards, Keys: m.Keys,
		}})
	}
}

func (c *cluster) owned(id sequoiatable.IncarnationID) []uint32 {
	var shards []uint32
	for n := range c.service().Shards {
		if c.service().Shard(n).Owner == id {
			shards = append(shards, n)
		}
	}
	return shards
}

// newCluster returns a cluster whose shards are placed on upstreams with the given slots, incarnations from 1.
func newCluster(shards uint32, slots ...int) (*cluster, []sequoiaplacement.Upstream) {
	c := &cluster{table: sequoiatable.New()}
	c.apply(1, sequoiatable.Change{SetConfiguration: &sequoiatable.SetConfiguration{
		Services: []sequoiatable.ServiceConfig{{Name: "dispatch", Shards: shards, Divided: true}},
	}})
	var upstreams []sequoiaplacement.Upstream
	for i, n := range slots {
		upstreams = append(upstreams, c.join(sequoiatable.IncarnationID(i+1), n))
	}
	c.move(sequoiaplacement.Place(c.input(upstreams), 0, c.owned(0), nil))
	return c, upstreams
}

func (c *cluster) join(id sequoiatable.IncarnationID, slots int) sequoiaplacement.Upstream {
	c.apply(id, sequoiatable.Change{Join: &sequoiatable.Join{
		Member: sequoiatable.Member{Incarnation: id, Service: "dispatch", Slots: slots},
	}})
	return sequoiaplacement.Upstream{Incarnation: id, Slots: slots, Uptime: time.Hour}
}

func (c *cluster) input(upstreams []sequoiaplacement.Upstream) sequoiaplacement.Input {
	return sequoiaplacement.Input{Table: c.service(), Upstreams: upstreams, SinceLastMove: time.Hour}
}

// expectedShare returns the number of shards in proportion to an upstream's slots.
func expectedShare(shards uint32, upstreams []sequoiaplacement.Upstream, i int) float64 {
	total := 0
	for _, u := range upstreams {
		total += u.Slots
	}
	return float64(shards) * float64(upstreams[i].Slots) / float64(total)
}

// Guards against a leave or join that moves keys between remaining upstreams, which interrupts callers needlessly, or
// that ignores the shares, which overloads an upstream.
func TestMembershipChangesMoveFewestShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.Uint32Range(256, 600).Draw(t, "shards")
		slots := rapid.SliceOfN(rapid.IntRange(2, 12), 2, 8).Draw(t, "slots")
		c, upstreams := newCluster(shards, slots...)
		for i := range upstreams {
			if n := len(c.owned(upstreams[i].Incarnation)); float64(n) > math.Ceil(expectedShare(shards, upstreams, i)) {
				t.Fatalf("upstream %d got %d shards of %d", i, n, shards)
			}
		}

		joined := c.join(100, rapid.IntRange(2, 12).Draw(t, "joined slots"))
		upstreams = append(upstreams, joined)
		for range shards {
			moves := sequoiaplacement.Balance(c.input(upstreams))
			if len(moves) == 0 {
				break
			}
			for _, m := range moves {
				if m.To != joined.Incarnation {
					t.Fatalf("a join moved %v from %s to %s", m.Shards, m.From, m.To)
				}
			}
			c.move(moves)
		}
		if n, most := len(c.owned(100)), expectedShare(shards, upstreams, len(upstreams)-1); float64(n) > math.Ceil(most) || float64(n) < 0.75*most-1 {
			t.Fatalf("the joined upstream has %d shards, its share is %.1f", n, most)
		}

		leaving := upstreams[rapid.IntRange(0, len(upstreams)-1).Draw(t, "leaving")].Incarnation
		before := c.owned(leaving)
		var moved []uint32
		for _, m := range sequoiaplacement.Place(c.input(upstreams), leaving, before, nil) {
			if m.From != leaving || m.To == leaving {
				t.Fatalf("a leave of %s moved shards from %s to %s", leaving, m.From, m.To)
			}
			moved = append(moved, m.Shards...)
		}
		if len(moved) != len(before) {
			t.Fatalf("%d of %d shards got an owner", len(moved), len(before))
		}
	})
}

// setLoads gives each upstream a load that is spread evenly over its shards.
func setLoads(c *cluster, upstreams []sequoiaplacement.Upstream, busy ...float64) []sequoiaplacement.Upstream {
	for i := range upstreams {
		u := &upstreams[i]
		owned := c.owned(u.Incarnation)
		u.BusySlots = busy[i]
		u.Shards = nil
		for _, n := range owned {
			u.Shards = append(u.Shards, sequoiaplacement.ShardLoad{Shard: n, BusySlots: busy[i] / float64(len(owned))})
		}
	}
	return upstreams
}

func countMoved(moves []sequoiaplacement.Move) (shards int, keys []string) {
	for _, m := range moves {
		shards += len(m.Shards)
		keys = append(keys, m.Keys...)
	}
	return shards, keys
}

var _ = ginkgo.Describe("Place", func() {
	ginkgo.It("fills other failure domains first after a loss, because the rest of the lost domain may fail next", func() {
		c, upstreams := newCluster(60, 4, 4, 4, 4)
		for i, domain := range []string{"a", "a", "b", "b"} {
			upstreams[i].FailureDomain = domain
		}
		in := c.input(upstreams)
		in.AvoidFailureDomain = "a"
		lost := c.owned(1)
		for _, m := range sequoiaplacement.Place(in, 1, lost[:8], nil) {
			Expect(m.To).To(BeElementOf(sequoiatable.IncarnationID(3), sequoiatable.IncarnationID(4)))
		}
	})

	ginkgo.It("gives each upstream its share if there are more upstreams than it scores, so that none is starved or overfilled", func() {
		// All but one shard are needed to give each its whole share.
		const n, shards = 300, 6*300 + 1
		slots := make([]int, n)
		for i := range slots {
			slots[i] = 6
		}
		c, upstreams := newCluster(shards, slots...)
		for _, u := range upstreams {
			Expect(len(c.owned(u.Incarnation))).To(BeElementOf(shards/n, shards/n+1))
		}
	})

	ginkgo.It("counts owned shards again after each table change, so that no upstream is filled by outdated counts", func() {
		c, upstreams := newCluster(12, 4, 4, 4)
		c.move([]sequoiaplacement.Move{{From: 1, To: 2, Shards: c.owned(1)}})
		for _, m := range sequoiaplacement.Place(c.input(upstreams), 3, c.owned(3), nil) {
			Expect(m.To).To(Equal(sequoiatable.IncarnationID(1)))
		}
	})

	ginkgo.It("returns no moves if only the owner is left, rather than a move to itself", func() {
		c, upstreams := newCluster(8, 4)
		Expect(sequoiaplacement.Place(c.input(upstreams), 1, c.owned(1), nil)).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("Balance", func() {
	ginkgo.It("moves nothing below the hysteresis, for a stale load, or for a load that is not a number", func() {
		c, upstreams := newCluster(64, 6, 6, 6)
		Expect(sequoiaplacement.Balance(c.input(setLoads(c, upstreams, 3.3, 3, 2.8)))).To(BeEmpty())
		setLoads(c, upstreams, 6, 1, 1)
		Expect(sequoiaplacement.Balance(c.input(upstreams))).NotTo(BeEmpty())
		upstreams[0].LoadAge = time.Hour
		Expect(sequoiaplacement.Balance(c.input(upstreams))).To(BeEmpty())
		setLoads(c, upstreams, math.NaN(), 1, 1)
		upstreams[0].LoadAge = 0
		Expect(sequoiaplacement.Balance(c.input(upstreams))).To(BeEmpty())
	})

	ginkgo.It("ignores a load endpoint that contradicts the process's own count", func() {
		c, upstreams := newCluster(64, 6, 6, 6)
		setLoads(c, upstreams, 6, 1, 1)
		withoutReports := sequoiaplacement.Balance(c.input(upstreams))
		// Upstream 2 reports itself busy, upstream 3 idle; neither agrees with the count.
		upstreams[1].HasReport, upstreams[1].ReportedBusySlots = true, 6
		upstreams[2].HasReport, upstreams[2].ReportedBusySlots = true, -5
		Expect(sequoiaplacement.Balance(c.input(upstreams))).To(Equal(withoutReports))
	})

	ginkgo.It("observes the limit on moves per minute, which bounds the number of keys whose requests wait", func() {
		c, upstreams := newCluster(256, 6, 6, 6)
		since, movedInMinute := time.Hour, 0
		for second := range 60 {
			in := c.input(setLoads(c, upstreams, 6, 1, 1))
			in.SinceLastMove = since
			in.Tuning.MovesPerMinute = 6
			moves := sequoiaplacement.Balance(in)
			n, _ := countMoved(moves)
			movedInMinute += n
			since += time.Second
			if n > 0 {
				since = time.Second
			}
			c.move(moves)
			Expect(movedInMinute).To(BeNumerically("<=", 6), "second %d", second)
		}
		Expect(movedInMinute).To(Equal(6))
	})

	ginkgo.It("does not keep moving keys for a load measured before the last move, which would overshoot", func() {
		c, upstreams := newCluster(64, 6, 6)
		setLoads(c, upstreams, 5, 1)
		for range 100 {
			c.move(sequoiaplacement.Balance(c.input(upstreams)))
		}
		left := 5 * float64(len(c.owned(1))) / 32
		Expect(left).To(BeNumerically("~", 3, 0.7))
	})

	ginkgo.It("gives a hot key, which has the most load per key moved, its own assignment and merges it once it has cooled", func() {
		c, upstreams := newCluster(64, 6, 6, 6)
		setLoads(c, upstreams, 3, 1, 1)
		key, _, _ := keyOwnedBy(c, 1)
		upstreams[0].Keys = []sequoiaplacement.KeyLoad{{Key: key, BusySlots: 1.2}}
		upstreams[0].BusySlots = 4.2
		in := c.input(upstreams)
		in.Tuning.MovesPerMinute = 1
		moves := sequoiaplacement.Balance(in)
		_, keys := countMoved(moves)
		Expect(keys).To(Equal([]string{key}))
		c.move(moves)

		upstreams[0].Keys = nil
		receiver := &upstreams[moves[0].To-1]
		receiver.Keys = []sequoiaplacement.KeyLoad{{Key: key, BusySlots: 0.3}}
		setLoads(c, upstreams, 2, 2, 2)
		Expect(sequoiaplacement.Balance(c.input(upstreams))).To(BeEmpty(), "a key between the thresholds stays")
		receiver.Keys[0].BusySlots = 0.1
		Expect(sequoiaplacement.Balance(c.input(upstreams))).To(Equal([]sequoiaplacement.Move{
			{From: receiver.Incarnation, To: 1, Keys: []string{key}, Reason: sequoiaplacement.ReasonMerge},
		}))
	})

	ginkgo.It("fills a cold upstream only to a fraction of its share, because its caches are empty", func() {
		c, upstreams := newCluster(60, 6, 6)
		joined := c.join(3, 6)
		joined.Uptime = 3 * time.Second
		upstreams = append(upstreams, joined)
		for range 100 {
			c.move(sequoiaplacement.Balance(c.input(upstreams)))
		}
		Expect(len(c.owned(3))).To(BeNumerically("~", 5, 1))
	})
})

// keyOwnedBy returns a key that the upstream owns, and the key's shard.
func keyOwnedBy(c *cluster, id sequoiatable.IncarnationID) (string, uint32, bool) {
	for i := range 10_000 {
		key := "booking-" + string(rune('a'+i%26)) + string(rune('a'+i/26%26))
		if a := c.service().Lookup(key); a.Owner == id {
			return key, sequoiatable.ShardOf(key, c.service().Shards), true
		}
	}
	return "", 0, false
}

var _ = ginkgo.Describe("Choose", func() {
	ginkgo.It("ejects failing upstreams, but at most half of them, so that a common fault does not overload the rest", func() {
		candidates := []sequoiaplacement.Candidate{
			{Slots: 6, Failures: 9}, {Slots: 6}, {Slots: 6, Failures: 7}, {Slots: 6, Failures: 8},
		}
		Expect(sequoiaplacement.Eligible(candidates)).To(Equal([]int{1, 2}))
		Expect(sequoiaplacement.Eligible([]sequoiaplacement.Candidate{{Failures: 99}})).To(Equal([]int{0}))
		Expect(sequoiaplacement.Choose(rand.New(rand.NewPCG(1, 1)), nil, sequoiaplacement.Tuning{})).To(Equal(-1))
	})

	ginkgo.It("sends a cold upstream fewer requests than a warm one, so that it is not overloaded at its start", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		candidates := []sequoiaplacement.Candidate{{Slots: 6, Uptime: time.Second}, {Slots: 6, Uptime: time.Hour}}
		for range 60 {
			candidates[sequoiaplacement.Choose(rng, candidates, sequoiaplacement.Tuning{})].InFlight++
		}
		Expect(candidates[0].InFlight).To(BeNumerically("<", candidates[1].InFlight/2))
	})
})

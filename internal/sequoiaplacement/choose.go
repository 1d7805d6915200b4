package sequoiaplacement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Candidate is an upstream that can run a request of a service whose keys are not divided among upstreams.
type Candidate struct {
	Incarnation sequoiatable.IncarnationID
	Slots       int
	// InFlight is the number of requests that the choosing process has in progress at the upstream.
	InFlight int
	Uptime   time.Duration
	// Failures counts the requests that failed or exceeded their deadline since the last success.
	Failures int
}

// ejectAfter is the number of consecutive failures after which an upstream is ejected.
const ejectAfter = 5

// Choose returns the index of the upstream for a request. It picks two candidates at random and takes the one with the
// lower utilization ("power of two choices"). The capacity of an upstream that is warming up is reduced, and upstreams
// that keep failing are ejected, but at most half of the candidates. It returns -1 if there are no candidates.
func Choose(rng *rand.Rand, candidates []Candidate, tuning Tuning) int {
	eligible := Eligible(candidates)
	if len(eligible) == 0 {
		return -1
	}
	tuning = tuning.withDefaults()
	if len(eligible) == 1 {
		return eligible[0]
	}
	// The two must differ: an upstream drawn twice would get the request whatever its load.
	first := rng.IntN(len(eligible))
	second := rng.IntN(len(eligible) - 1)
	if second >= first {
		second++
	}
	a, b := eligible[first], eligible[second]
	if utilizationWithRequest(candidates[b], tuning) < utilizationWithRequest(candidates[a], tuning) {
		return b
	}
	return a
}

// utilizationWithRequest returns the utilization that an upstream would have with one more request.
func utilizationWithRequest(c Candidate, tuning Tuning) float64 {
	return float64(c.InFlight+1) / (float64(max(1, c.Slots)) * tuning.warmUpFraction(c.Uptime))
}

// Eligible returns the indexes of the candidates that are not ejected. At most half are ejected, those with the most
// failures first: if most upstreams fail, they more likely share one cause, and the rest could not carry the load.
func Eligible(candidates []Candidate) []int {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(candidates[b].Failures, candidates[a].Failures)
	})
	ejected := 0
	for ejected < len(order)/2 && candidates[order[ejected]].Failures >= ejectAfter {
		ejected++
	}
	order = order[ejected:]
	slices.Sort(order)
	return order
}

// Policy is a strategy for placing keys and choosing upstreams.
type Policy struct {
	Name string
	// Place and Balance have the same contracts as the functions Place and Balance.
	Place   func(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []Move
	Balance func(in Input) []Move
	// Choose returns the index of the upstream for request number n of the service.
	Choose func(rng *rand.Rand, candidates []Candidate, n int) int
}

// NewPolicy returns the production policy with the given parameters.
func NewPolicy(name string, tuning Tuning) Policy {
	return Policy{
		Name: name,
		Place: func(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []Move {
			in.Tuning = tuning
			return Place(in, from, shards, keys)
		},
		Balance: func(in Input) []Move {
			in.Tuning = tuning
			return Balance(in)
		},
		Choose: func(rng *rand.Rand, candidates []Candidate, _ int) int {
			return Choose(rng, candidates, tuning)
		},
	}
}

// Baselines returns the policies that the production policy is compared with.
func Baselines() []Policy {
	return []Policy{moduloPolicy(), consistentHashingPolicy(), roundRobinPolicy(), randomPolicy()}
}

// moduloPolicy assigns shard n to upstream n modulo the number of upstreams, so that a change of that number moves most
// shards.
func moduloPolicy() Policy {
	owner := func(in Input, shard uint32) sequoiatable.IncarnationID {
		return in.Upstreams[int(shard)%len(in.Upstreams)].Incarnation
	}
	return Policy{
		Name: "Modulo", Place: placeByHash(owner), Balance: rebalanceByHash(owner),
		Choose: func(_ *rand.Rand, candidates []Candidate, n int) int {
			return int(hashPair(strconv.Itoa(n), 0) % uint64(len(candidates)))
		},
	}
}

// consistentHashingPolicy assigns a shard to the next upstream on a hash ring and ignores load.
func consistentHashingPolicy() Policy {
	owner := func(in Input, shard uint32) sequoiatable.IncarnationID {
		ids := make([]sequoiatable.IncarnationID, len(in.Upstreams))
		for i, u := range in.Upstreams {
			ids[i] = u.Incarnation
		}
		return ids[ringOwner(ids, "shard/"+strconv.FormatUint(uint64(shard), 10))]
	}
	return Policy{
		Name: "ConsistentHashing", Place: placeByHash(owner), Balance: rebalanceByHash(owner),
		Choose: func(_ *rand.Rand, candidates []Candidate, n int) int {
			ids := make([]sequoiatable.IncarnationID, len(candidates))
			for i, c := range candidates {
				ids[i] = c.Incarnation
			}
			return ringOwner(ids, strconv.Itoa(n))
		},
	}
}

// virtualNodesPerUpstream is the number of points of an upstream on the hash ring.
const virtualNodesPerUpstream = 16

// virtualNodeNames are hashed with an incarnation to compute its points on the ring.
var virtualNodeNames = func() (names [virtualNodesPerUpstream]string) {
	for p := range names {
		names[p] = "point/" + strconv.Itoa(p)
	}
	return names
}()

func ringOwner(ids []sequoiatable.IncarnationID, name string) int {
	position := hashPair(name, 0)
	best, bestDistance := 0, ^uint64(0)
	for i, id := range ids {
		for _, node := range virtualNodeNames {
			// The subtraction wraps around, as the ring does.
			if distance := hashPair(node, id) - position; distance < bestDistance {
				best, bestDistance = i, distance
			}
		}
	}
	return best
}

func roundRobinPolicy() Policy {
	return Policy{
		Name: "RoundRobin",
		Place: func(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []Move {
			return placeByFunc(in, from, shards, keys, func(i int, _ string, n int) int { return i % n })
		},
		Balance: func(Input) []Move { return nil },
		Choose:  func(_ *rand.Rand, candidates []Candidate, n int) int { return n % len(candidates) },
	}
}

func randomPolicy() Policy {
	return Policy{
		Name: "Random",
		Place: func(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []Move {
			return placeByFunc(in, from, shards, keys, func(_ int, name string, n int) int {
				return int(hashPair(name, from) % uint64(n))
			})
		},
		Balance: func(Input) []Move { return nil },
		Choose:  func(rng *rand.Rand, candidates []Candidate, _ int) int { return rng.IntN(len(candidates)) },
	}
}

// placeByFunc places shards and keys on the upstreams other than from. pick chooses one of n upstreams by the position
// and name of the shard or key.
func placeByFunc(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string, pick func(i int, name string, n int) int) []Move {
	ids := otherUpstreams(in, from)
	moves := newMoveSet()
	if len(ids) == 0 {
		return nil
	}
	for i, n := range shards {
		moves.addShard(from, ids[pick(i, "shard/"+strconv.FormatUint(uint64(n), 10), len(ids))], n, ReasonSpread)
	}
	for i, k := range keys {
		moves.addKey(from, ids[pick(i, "key/"+k, len(ids))], k, ReasonSpread)
	}
	return moves.list
}

func otherUpstreams(in Input, from sequoiatable.IncarnationID) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	for _, u := range in.Upstreams {
		if u.Incarnation != from {
			ids = append(ids, u.Incarnation)
		}
	}
	return ids
}

// placeByHash returns a Place function that applies a hash function to the upstreams other than the owner.
func placeByHash(owner func(Input, uint32) sequoiatable.IncarnationID) func(Input, sequoiatable.IncarnationID, []uint32, []string) []Move {
	return func(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []Move {
		in.Upstreams = slices.DeleteFunc(slices.Clone(in.Upstreams), func(u Upstream) bool { return u.Incarnation == from })
		moves := newMoveSet()
		if len(in.Upstreams) == 0 {
			return nil
		}
		for _, n := range shards {
			moves.addShard(from, owner(in, n), n, ReasonSpread)
		}
		for _, k := range keys {
			moves.addKey(from, owner(in, sequoiatable.ShardOf(k, in.Table.Shards)), k, ReasonSpread)
		}
		return moves.list
	}
}

// rebalanceByHash returns a Balance function that moves every shard to the upstream that a hash function assigns it to.
func rebalanceByHash(owner func(Input, uint32) sequoiatable.IncarnationID) func(Input) []Move {
	return func(in Input) []Move {
		moves := newMoveSet()
		if len(in.Upstreams) == 0 {
			return nil
		}
		for n := range in.Table.Shards {
			from := in.Table.Shard(n).Owner
			if to := owner(in, n); to != from {
				moves.addShard(from, to, n, ReasonRehash)
			}
		}
		return moves.list
	}
}

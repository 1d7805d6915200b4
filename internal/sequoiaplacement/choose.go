package sequoiaplacement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Candidate is an upstream that may run a request of a service that is not divided by key.
type Candidate struct {
	Incarnation sequoiatable.IncarnationID
	Slots       int
	// InFlight is the number of requests that the choosing process has in progress there.
	InFlight int
	Uptime   time.Duration
	// Failures counts the requests that failed or passed their deadline since the last success.
	Failures int
}

// ejectAfter is the number of consecutive failures after which an upstream is ejected.
const ejectAfter = 5

// Choose returns the position of the upstream for a request: the one with fewer requests in progress for its capacity
// of two that are drawn at random. A cold upstream counts with less capacity, and upstreams that keep failing are
// ejected, but at most half of them. It returns -1 if there are no candidates.
func Choose(rng *rand.Rand, candidates []Candidate, tuning Tuning) int {
	eligible := Eligible(candidates)
	if len(eligible) == 0 {
		return -1
	}
	tuning = tuning.withDefaults()
	if len(eligible) == 1 {
		return eligible[0]
	}
	// The two are distinct: drawing one twice would send it requests whatever its load.
	first := rng.IntN(len(eligible))
	second := rng.IntN(len(eligible) - 1)
	if second >= first {
		second++
	}
	a, b := eligible[first], eligible[second]
	if pressure(candidates[b], tuning) < pressure(candidates[a], tuning) {
		return b
	}
	return a
}

// pressure is the utilization that an upstream would have with one more request.
func pressure(c Candidate, tuning Tuning) float64 {
	return float64(c.InFlight+1) / (float64(max(1, c.Slots)) * tuning.warmth(c.Uptime))
}

// Eligible returns the positions of the candidates that are not ejected. At most half are ejected, those with the most
// failures first: when most upstreams fail, the cause is more likely a common one, and the rest could not carry the
// load.
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

// Policy is a way to place keys and to choose upstreams.
type Policy struct {
	Name string
	// Place and Balance have the contracts of the functions of the same name.
	Place   func(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []Move
	Balance func(in Input) []Move
	// Choose returns the position of the upstream for request number n of the service.
	Choose func(rng *rand.Rand, candidates []Candidate, n int) int
}

// NewPolicy returns the policy that processes use, with the given parameters.
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

// Baselines returns the policies that the project's own is measured against.
func Baselines() []Policy {
	return []Policy{moduloPolicy(), consistentPolicy(), roundRobinPolicy(), randomPolicy()}
}

// moduloPolicy puts shard n on upstream n modulo their number, so that a change of the number moves most shards.
func moduloPolicy() Policy {
	owner := func(in Input, shard uint32) sequoiatable.IncarnationID {
		return in.Upstreams[int(shard)%len(in.Upstreams)].Incarnation
	}
	return Policy{
		Name: "Modulo", Place: placeBy(owner), Balance: rehashBy(owner),
		Choose: func(_ *rand.Rand, candidates []Candidate, n int) int {
			return int(hashPair(strconv.Itoa(n), 0) % uint64(len(candidates)))
		},
	}
}

// consistentPolicy puts a shard on the first upstream after it on a ring of hash values and ignores load.
func consistentPolicy() Policy {
	owner := func(in Input, shard uint32) sequoiatable.IncarnationID {
		ids := make([]sequoiatable.IncarnationID, len(in.Upstreams))
		for i, u := range in.Upstreams {
			ids[i] = u.Incarnation
		}
		return ids[ringOwner(ids, "shard/"+strconv.FormatUint(uint64(shard), 10))]
	}
	return Policy{
		Name: "ConsistentHashing", Place: placeBy(owner), Balance: rehashBy(owner),
		Choose: func(_ *rand.Rand, candidates []Candidate, n int) int {
			ids := make([]sequoiatable.IncarnationID, len(candidates))
			for i, c := range candidates {
				ids[i] = c.Incarnation
			}
			return ringOwner(ids, strconv.Itoa(n))
		},
	}
}

// ringPoints is the number of points of an upstream on the ring.
const ringPoints = 16

// pointNames are hashed with an incarnation to give its points.
var pointNames = func() (names [ringPoints]string) {
	for p := range names {
		names[p] = "point/" + strconv.Itoa(p)
	}
	return names
}()

func ringOwner(ids []sequoiatable.IncarnationID, name string) int {
	at := hashPair(name, 0)
	best, bestDistance := 0, ^uint64(0)
	for i, id := range ids {
		for _, point := range pointNames {
			// The subtraction wraps around, as the ring does.
			if distance := hashPair(point, id) - at; distance < bestDistance {
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
			return dealKeys(in, from, shards, keys, func(i int, _ string, n int) int { return i % n })
		},
		Balance: func(Input) []Move { return nil },
		Choose:  func(_ *rand.Rand, candidates []Candidate, n int) int { return n % len(candidates) },
	}
}

func randomPolicy() Policy {
	return Policy{
		Name: "Random",
		Place: func(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []Move {
			return dealKeys(in, from, shards, keys, func(_ int, name string, n int) int {
				return int(hashPair(name, from) % uint64(n))
			})
		},
		Balance: func(Input) []Move { return nil },
		Choose:  func(rng *rand.Rand, candidates []Candidate, _ int) int { return rng.IntN(len(candidates)) },
	}
}

// dealKeys places shards and keys on the upstreams other than from by a function of position and name.
func dealKeys(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string, pick func(i int, name string, n int) int) []Move {
	ids := others(in, from)
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

func others(in Input, from sequoiatable.IncarnationID) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	for _, u := range in.Upstreams {
		if u.Incarnation != from {
			ids = append(ids, u.Incarnation)
		}
	}
	return ids
}

// placeBy returns a Place that follows a hash function over the upstreams other than the owner.
func placeBy(owner func(Input, uint32) sequoiatable.IncarnationID) func(Input, sequoiatable.IncarnationID, []uint32, []string) []Move {
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

// rehashBy returns a Balance that moves every shard to where a hash function over the upstreams puts it.
func rehashBy(owner func(Input, uint32) sequoiatable.IncarnationID) func(Input) []Move {
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

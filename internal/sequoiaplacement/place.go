package sequoiaplacement

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Place chooses an upstream for each of the given shards and hot keys of one owner, which is leaving, lost, or zero.
// It returns no moves if there is no upstream other than the owner.
//
// Each shard goes to the upstream that has room and the highest weighted rendezvous hashing score. An upstream has room
// until it owns its share of all shards by capacity, rounded up. Keys that are not given stay where they are, so that
// as few keys as possible move, and the same input gives every planner the same result.
//
// If there are many upstreams, only a sample drawn by the shard's hash is scored. When a failure domain is lost at
// 3,800 members, scoring all 3,455 remaining upstreams for each of its 22,080 shards takes seconds.
func Place(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []Move {
	p := newPlacer(in, from)
	if len(p.targets) == 0 {
		return nil
	}
	moves := newMoveSet()
	for _, n := range slices.Sorted(slices.Values(shards)) {
		t := p.place("shard/"+strconv.FormatUint(uint64(n), 10), p.shardRoom)
		t.shards++
		moves.addShard(from, t.Incarnation, n, ReasonSpread)
	}
	for _, k := range slices.Sorted(slices.Values(keys)) {
		t := p.place("key/"+k, p.keyRoom)
		t.keys++
		moves.addKey(from, t.Incarnation, k, ReasonSpread)
	}
	return moves.list
}

// target is an upstream that may receive keys.
type target struct {
	Upstream
	capacity float64
	shards   int
	keys     int
	avoid    bool
}

type placer struct {
	targets  []*target
	capacity float64
	// shards and keys are the numbers of shards and hot keys of the whole service.
	shards int
	keys   int
}

func newPlacer(in Input, from sequoiatable.IncarnationID) *placer {
	tuning := in.Tuning.withDefaults()
	p := &placer{}
	owned := ownedCache.get(in.Table)
	for _, u := range in.Upstreams {
		if u.Incarnation == from {
			continue
		}
		t := &target{
			Upstream: u, capacity: tuning.capacity(u), shards: owned[u.Incarnation].shards,
			keys:  owned[u.Incarnation].keys,
			avoid: in.AvoidFailureDomain != "" && u.FailureDomain == in.AvoidFailureDomain,
		}
		p.capacity += t.capacity
		p.targets = append(p.targets, t)
	}
	if in.Table != nil {
		p.shards = int(in.Table.Shards)
		p.keys = len(in.Table.HotKeys())
	}
	return p
}

// room is how far an upstream is below its share.
type room int

const (
	full room = iota
	// belowCeiling means that the upstream is below its share only by the fraction of a shard that is rounded up.
	belowCeiling
	// belowFloor means that the upstream is at least one whole shard below its share. Such upstreams are filled first,
	// so that rounding starves no upstream.
	belowFloor
)

func roomOf(owned int, share float64) room {
	switch {
	case float64(owned) < math.Floor(share):
		return belowFloor
	case float64(owned) < math.Ceil(share):
		return belowCeiling
	}
	return full
}

// shareOf returns the part of count that is proportional to capacity. It multiplies before it divides: otherwise
// rounding could put a whole share just above the integer, and its ceiling would be one too high.
func shareOf(count int, capacity, total float64) float64 {
	return float64(count) * capacity / total
}

func (p *placer) shardRoom(t *target) room {
	return roomOf(t.shards, shareOf(p.shards, t.capacity, p.capacity))
}

func (p *placer) keyRoom(t *target) room {
	return roomOf(t.keys, shareOf(p.keys, t.capacity, p.capacity))
}

// sampleSize is the number of upstreams that are scored. In a service with no more upstreams, all are scored.
const sampleSize = 64

// place returns the target with the highest score among those with the most room. Targets outside the avoided failure
// domain come first if any of them has room. If no target has room, place returns the one with the fewest shards for
// its capacity.
func (p *placer) place(name string, roomFor func(*target) room) *target {
	if len(p.targets) > sampleSize {
		// If nothing in the sample has room for a whole shard, an upstream outside it may.
		if t := best(p.sample(name), name, roomFor); t != nil && !t.avoid && roomFor(t) == belowFloor {
			return t
		}
	}
	if t := best(p.targets, name, roomFor); t != nil {
		return t
	}
	return slices.MinFunc(p.targets, func(a, b *target) int {
		return compareFloat(float64(a.shards)/a.capacity, float64(b.shards)/b.capacity)
	})
}

// sample returns targets drawn pseudorandomly, seeded with the hash of the name. It may contain duplicates.
func (p *placer) sample(name string) []*target {
	h := xxhash.Sum64String(name)
	rng := rand.New(rand.NewPCG(h, h))
	targets := make([]*target, sampleSize)
	for i := range targets {
		targets[i] = p.targets[rng.IntN(len(p.targets))]
	}
	return targets
}

// best returns the preferred target among those with room, or nil if none has room. Targets outside the avoided failure
// domain come first, then those with more room, then those with the higher score.
func best(targets []*target, name string, roomFor func(*target) room) *target {
	var best *target
	var bestRoom room
	bestScore := 0.0
	for _, t := range targets {
		r := roomFor(t)
		if r == full {
			continue
		}
		score := rendezvousScore(name, t.Incarnation, t.capacity)
		better := best == nil || score > bestScore
		switch {
		case best == nil:
		case t.avoid != best.avoid:
			better = best.avoid
		case r != bestRoom:
			better = r > bestRoom
		}
		if better {
			best, bestRoom, bestScore = t, r, score
		}
	}
	return best
}

// rendezvousScore returns -w/ln(u) with u uniform in (0, 1). With this score a node wins with a probability
// proportional to its weight w, and changing one node does not affect the order of the others.
func rendezvousScore(name string, id sequoiatable.IncarnationID, weight float64) float64 {
	u := (float64(hashPair(name, id)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

func hashPair(name string, id sequoiatable.IncarnationID) uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, name...)
	buf = append(buf, 0)
	buf = binary.BigEndian.AppendUint64(buf, uint64(id))
	return xxhash.Sum64(buf)
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ownedCount holds the numbers of shards and hot keys that one upstream owns.
type ownedCount struct {
	shards int
	keys   int
}

// ownedCache caches the counts of the latest table of each service. The takeover of a failure domain places the keys of
// hundreds of members with the same table, and counting the table's shards again for each member takes seconds.
var ownedCache = ownedCountCache{services: map[string]tableCounts{}}

// maxCachedServices bounds the number of tables that the cache keeps in memory.
const maxCachedServices = 64

type ownedCountCache struct {
	mu       sync.Mutex
	services map[string]tableCounts
}

// tableCounts holds a table and its counts. Neither is modified.
type tableCounts struct {
	table *sequoiatable.ServiceTable
	owned map[sequoiatable.IncarnationID]ownedCount
}

func (c *ownedCountCache) get(table *sequoiatable.ServiceTable) map[sequoiatable.IncarnationID]ownedCount {
	if table == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	latest, ok := c.services[table.Name]
	if ok && latest.table == table {
		return latest.owned
	}
	if !ok && len(c.services) >= maxCachedServices {
		clear(c.services)
	}
	owned := countOwned(table)
	c.services[table.Name] = tableCounts{table, owned}
	return owned
}

func countOwned(table *sequoiatable.ServiceTable) map[sequoiatable.IncarnationID]ownedCount {
	owned := map[sequoiatable.IncarnationID]ownedCount{}
	for n := range table.Shards {
		c := owned[table.Shard(n).Owner]
		c.shards++
		owned[table.Shard(n).Owner] = c
	}
	for _, k := range table.HotKeys() {
		a, _ := table.HotKey(k)
		c := owned[a.Owner]
		c.keys++
		owned[a.Owner] = c
	}
	return owned
}

// moveSet collects shards and keys into one move per source, destination and reason, in order of first use.
type moveSet struct {
	list  []Move
	index map[moveKey]int
	count int
}

type moveKey struct {
	from, to sequoiatable.IncarnationID
	reason   string
}

func newMoveSet() *moveSet {
	return &moveSet{index: map[moveKey]int{}}
}

func (s *moveSet) addShard(from, to sequoiatable.IncarnationID, n uint32, reason string) {
	m := s.findOrAdd(from, to, reason)
	m.Shards = append(m.Shards, n)
}

func (s *moveSet) addKey(from, to sequoiatable.IncarnationID, key, reason string) {
	m := s.findOrAdd(from, to, reason)
	m.Keys = append(m.Keys, key)
}

func (s *moveSet) findOrAdd(from, to sequoiatable.IncarnationID, reason string) *Move {
	s.count++
	id := moveKey{from: from, to: to, reason: reason}
	i, ok := s.index[id]
	if !ok {
		i = len(s.list)
		s.index[id] = i
		s.list = append(s.list, Move{From: from, To: to, Reason: reason})
	}
	return &s.list[i]
}

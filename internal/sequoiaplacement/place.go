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
// Each shard goes to the upstream with the highest score of weighted rendezvous hashing that still has room. The room
// is the upstream's share of all shards by capacity, rounded up. Keys that are not given stay where they are, so the
// fewest keys move, and the same input gives every planner the same result.
//
// Among many upstreams only a sample of them, drawn by the hash of the shard, is scored: to score all 3,455 that remain
// for each of the 22,080 shards of a failure domain lost at 3,800 takes seconds.
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
	// shards and keys count all of the service.
	shards int
	keys   int
}

func newPlacer(in Input, from sequoiatable.IncarnationID) *placer {
	tuning := in.Tuning.withDefaults()
	p := &placer{}
	owned := counted.of(in.Table)
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

// room says how far an upstream is below its share.
type room int

const (
	full room = iota
	// belowCeiling is room for the part of a shard by which a share is rounded up.
	belowCeiling
	// belowFloor is room for a whole shard of the share. It is filled first, so that rounding starves no upstream.
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

// shareOf multiplies first: the quotient of a whole share would otherwise be rounded to just above it, and its ceiling
// would be one too many.
func shareOf(count int, capacity, total float64) float64 {
	return float64(count) * capacity / total
}

func (p *placer) shardRoom(t *target) room {
	return roomOf(t.shards, shareOf(p.shards, t.capacity, p.capacity))
}

func (p *placer) keyRoom(t *target) room {
	return roomOf(t.keys, shareOf(p.keys, t.capacity, p.capacity))
}

// sampleSize is the number of upstreams that are scored. A service with no more has all of them scored.
const sampleSize = 64

// place returns the target with the highest score among those with the most room, outside the avoided failure domain
// if one there has any. If none has room it is the one with the fewest shards for its capacity.
func (p *placer) place(name string, roomFor func(*target) room) *target {
	if len(p.targets) > sampleSize {
		// Others may have more room than a sample without room for a whole shard.
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

// sample returns targets at positions drawn by the hash of the name. One may be drawn twice.
func (p *placer) sample(name string) []*target {
	h := xxhash.Sum64String(name)
	rng := rand.New(rand.NewPCG(h, h))
	targets := make([]*target, sampleSize)
	for i := range targets {
		targets[i] = p.targets[rng.IntN(len(p.targets))]
	}
	return targets
}

// best returns the target to be chosen among those with room, nil if none has any.
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

// rendezvousScore is -w/ln(u) with u uniform in (0, 1), which lets a node win with a probability proportional to its
// weight w, and lets no change of one node affect the order of the others.
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

// ownedCount counts what one upstream owns.
type ownedCount struct {
	shards int
	keys   int
}

// counted are the counts of the latest table of each service. The takeover of a failure domain places the keys of
// hundreds of members by the same table, and to count its shards for each of them takes seconds.
var counted = ownedCounts{services: map[string]tableCounts{}}

// maxCountedServices bounds the tables that the counts keep alive.
const maxCountedServices = 64

type ownedCounts struct {
	mu       sync.Mutex
	services map[string]tableCounts
}

// tableCounts are the counts of a table, neither of which is modified.
type tableCounts struct {
	table *sequoiatable.ServiceTable
	owned map[sequoiatable.IncarnationID]ownedCount
}

func (c *ownedCounts) of(table *sequoiatable.ServiceTable) map[sequoiatable.IncarnationID]ownedCount {
	if table == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	latest, ok := c.services[table.Name]
	if ok && latest.table == table {
		return latest.owned
	}
	if !ok && len(c.services) >= maxCountedServices {
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

// moveSet collects moves, one for each owner, receiver and reason, in the order of their first use.
type moveSet struct {
	list  []Move
	index map[moveID]int
	count int
}

type moveID struct {
	from, to sequoiatable.IncarnationID
	reason   string
}

func newMoveSet() *moveSet {
	return &moveSet{index: map[moveID]int{}}
}

func (s *moveSet) addShard(from, to sequoiatable.IncarnationID, n uint32, reason string) {
	m := s.move(from, to, reason)
	m.Shards = append(m.Shards, n)
}

func (s *moveSet) addKey(from, to sequoiatable.IncarnationID, key, reason string) {
	m := s.move(from, to, reason)
	m.Keys = append(m.Keys, key)
}

func (s *moveSet) move(from, to sequoiatable.IncarnationID, reason string) *Move {
	s.count++
	id := moveID{from: from, to: to, reason: reason}
	i, ok := s.index[id]
	if !ok {
		i = len(s.list)
		s.index[id] = i
		s.list = append(s.list, Move{From: from, To: to, Reason: reason})
	}
	return &s.list[i]
}

package sequoiaplacement

import (
	"cmp"
	"math"
	"slices"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Balance returns the moves that the measured load and the joined upstreams call for, none if the service is balanced
// well enough.
//
// Each step takes the upstream with the highest load for its capacity. If that exceeds its share by more than the
// hysteresis, the move is made that removes the most load per key moved among those that lower the higher load of the
// two upstreams concerned. Where no load calls for a move, an upstream with few shards is filled up to its share. Hot
// keys that have cooled return to their shard's owner. The cap on moves per minute holds for all of these together.
func Balance(in Input) []Move {
	b := newBalancer(in)
	if len(b.upstreams) == 0 || in.Table == nil {
		return nil
	}
	budget := b.tuning.budget(in.SinceLastMove)
	b.merge(budget)
	for b.moves.count < budget {
		if in.Table.Divided && b.moveLoad() {
			continue
		}
		if !b.fill() {
			break
		}
	}
	return b.moves.list
}

// balanced is the balancer's estimate for one upstream, updated with each move it plans.
type balanced struct {
	Upstream
	capacity float64
	// load is the estimated mean number of requests in progress.
	load   float64
	shards map[uint32]bool
	keys   map[string]bool
}

func (u *balanced) utilization() float64 {
	return u.load / u.capacity
}

type balancer struct {
	in        Input
	tuning    Tuning
	upstreams []*balanced
	byID      map[sequoiatable.IncarnationID]*balanced
	moves     *moveSet
	// shardLoad and keyLoad are the discounted loads of those that the reports list. rest is the mean load of a shard
	// that they do not list.
	shardLoad map[uint32]float64
	keyLoad   map[string]float64
	rest      map[sequoiatable.IncarnationID]float64
	capacity  float64
	// moved marks what this decision moves already.
	movedShards map[uint32]bool
	movedKeys   map[string]bool
}

func newBalancer(in Input) *balancer {
	b := &balancer{
		in: in, tuning: in.Tuning.withDefaults(), moves: newMoveSet(),
		byID:      map[sequoiatable.IncarnationID]*balanced{},
		shardLoad: map[uint32]float64{}, keyLoad: map[string]float64{},
		rest:        map[sequoiatable.IncarnationID]float64{},
		movedShards: map[uint32]bool{}, movedKeys: map[string]bool{},
	}
	for _, u := range in.Upstreams {
		s := &balanced{
			Upstream: u, capacity: b.tuning.capacity(u),
			shards: map[uint32]bool{}, keys: map[string]bool{},
		}
		b.capacity += s.capacity
		b.upstreams = append(b.upstreams, s)
		b.byID[u.Incarnation] = s
	}
	if in.Table != nil {
		b.readTable()
		b.readLoads()
	}
	return b
}

func (b *balancer) readTable() {
	for n := range b.in.Table.Shards {
		if u := b.byID[b.in.Table.Shard(n).Owner]; u != nil {
			u.shards[n] = true
		}
	}
	for _, k := range b.in.Table.HotKeys() {
		a, _ := b.in.Table.HotKey(k)
		if u := b.byID[a.Owner]; u != nil {
			u.keys[k] = true
		}
	}
}

// validLoad rejects loads that no measurement gives. They come from other processes.
func validLoad(load float64) bool {
	return load >= 0 && !math.IsInf(load, 0)
}

// trust returns the part of a measured load that counts at its age.
func (b *balancer) trust(u Upstream) float64 {
	if !validLoad(u.BusySlots) {
		return 0
	}
	return max(0, 1-float64(u.LoadAge)/float64(b.tuning.StaleAfter))
}

// readLoads estimates each upstream's load. The part that its age takes from a measurement is replaced by the
// upstream's share of the mean, which causes no move. Load of keys that have moved since it was measured is counted
// for their present owner.
func (b *balancer) readLoads() {
	busy, slots := 0.0, 0.0
	for _, u := range b.upstreams {
		w := b.trust(u.Upstream)
		if w > 0 {
			busy += w * u.BusySlots
			slots += w * float64(max(1, u.Slots))
		}
	}
	mean := 0.0
	if slots > 0 {
		mean = busy / slots
	}
	for _, u := range b.upstreams {
		w := b.trust(u.Upstream)
		u.load = (1 - w) * mean * float64(max(1, u.Slots))
		if w > 0 {
			u.load += w * u.BusySlots
		}
	}
	for _, u := range b.upstreams {
		b.readListed(u)
	}
}

func (b *balancer) readListed(u *balanced) {
	w := b.trust(u.Upstream)
	listed := 0.0
	for _, s := range u.Shards {
		if s.Shard >= b.in.Table.Shards || !validLoad(s.BusySlots) {
			continue
		}
		load := w * s.BusySlots
		listed += load
		b.attribute(u, b.in.Table.Shard(s.Shard).Owner, load, b.listsShard(b.in.Table.Shard(s.Shard).Owner, s.Shard))
		b.shardLoad[s.Shard] = max(b.shardLoad[s.Shard], load)
	}
	for _, k := range u.Keys {
		if !validLoad(k.BusySlots) {
			continue
		}
		load := w * k.BusySlots
		listed += load
		b.attribute(u, b.in.Table.Lookup(k.Key).Owner, load, b.listsKey(b.in.Table.Lookup(k.Key).Owner, k.Key))
		b.keyLoad[k.Key] = max(b.keyLoad[k.Key], load)
	}
	if n := len(u.shards) - len(u.Shards); n > 0 {
		b.rest[u.Incarnation] = max(0, w*u.BusySlots-listed) / float64(n)
	}
}

// attribute moves load from the upstream that measured it to the present owner of the keys, unless the owner has
// measured it too.
func (b *balancer) attribute(u *balanced, owner sequoiatable.IncarnationID, load float64, measured bool) {
	if owner == u.Incarnation {
		return
	}
	u.load = max(0, u.load-load)
	if o := b.byID[owner]; o != nil && !measured {
		o.load += load
	}
}

func (b *balancer) listsShard(owner sequoiatable.IncarnationID, n uint32) bool {
	o := b.byID[owner]
	return o != nil && slices.ContainsFunc(o.Shards, func(s ShardLoad) bool { return s.Shard == n })
}

func (b *balancer) listsKey(owner sequoiatable.IncarnationID, key string) bool {
	o := b.byID[owner]
	return o != nil && slices.ContainsFunc(o.Keys, func(k KeyLoad) bool { return k.Key == key })
}

// mean returns the load for one unit of capacity if all upstreams had their share.
func (b *balancer) mean() float64 {
	total := 0.0
	for _, u := range b.upstreams {
		total += u.load
	}
	return total / b.capacity
}

// merge returns hot keys that have cooled to their shard's owner.
func (b *balancer) merge(budget int) {
	for _, k := range b.in.Table.HotKeys() {
		a, _ := b.in.Table.HotKey(k)
		owner := b.byID[a.Owner]
		shardOwner := b.in.Table.Shard(sequoiatable.ShardOf(k, b.in.Table.Shards)).Owner
		if owner == nil || b.byID[shardOwner] == nil || !b.cooled(owner, k) {
			continue
		}
		if a.Owner != shardOwner && b.moves.count >= budget {
			continue
		}
		b.moves.addKey(a.Owner, shardOwner, k, ReasonMerge)
		if a.Owner == shardOwner {
			// No key changes owner, so the cap on moves does not apply.
			b.moves.count--
		}
		b.movedKeys[k] = true
	}
}

// cooled reports whether a recent measurement by the owner shows that a hot key causes little load. A key that the
// owner's list omits causes no more than the last one listed.
func (b *balancer) cooled(owner *balanced, key string) bool {
	if b.trust(owner.Upstream) < 0.5 || owner.Uptime < b.tuning.WarmUp {
		return false
	}
	limit := mergeBelow * b.tuning.HotKeyBusySlots
	for _, k := range owner.Keys {
		if k.Key == key {
			return k.BusySlots < limit
		}
	}
	return len(owner.Keys) == 0 || owner.Keys[len(owner.Keys)-1].BusySlots < limit
}

// candidate is a shard or hot key that may move.
type candidate struct {
	shard uint32
	// key is empty for a shard.
	key  string
	load float64
	// perKey is the load removed per key moved.
	perKey float64
}

// moveLoad plans one move from the most loaded upstream and reports whether it found one.
func (b *balancer) moveLoad() bool {
	mean := b.mean()
	from := b.mostLoaded()
	if mean <= 0 || from.utilization() <= mean*(1+b.tuning.Hysteresis) {
		return false
	}
	to := b.leastLoaded(from)
	if to == nil {
		return false
	}
	excess := from.load - mean*from.capacity
	var best *candidate
	for _, c := range b.candidates(from) {
		if !useful(from, to, c.load, excess, mean) {
			continue
		}
		if best == nil || c.perKey > best.perKey {
			best = &c
		}
	}
	if best == nil {
		return false
	}
	b.plan(from, to, *best, ReasonLoad)
	return true
}

// minimumExcessPart is the part of an upstream's excess that a move must remove. Moves that remove less cost an
// interruption and change nothing that can be measured.
const minimumExcessPart = 0.02

// useful reports whether the move lowers the higher utilization of the two upstreams and leaves the receiver within
// its share, or at most as far above it as the giver remains.
func useful(from, to *balanced, load, excess, mean float64) bool {
	if load < minimumExcessPart*excess {
		return false
	}
	after := (to.load + load) / to.capacity
	left := (from.load - load) / from.capacity
	return after <= max(mean, left)
}

func (b *balancer) mostLoaded() *balanced {
	return slices.MaxFunc(b.upstreams, func(x, y *balanced) int {
		return cmp.Or(compareFloat(x.utilization(), y.utilization()), cmp.Compare(len(x.shards), len(y.shards)),
			cmp.Compare(y.Incarnation, x.Incarnation))
	})
}

// leastLoaded returns the upstream with the lowest utilization other than from. Between equals the trusted reports of
// the upstreams decide, then the number of shards, then the order of incarnations.
func (b *balancer) leastLoaded(from *balanced) *balanced {
	var best *balanced
	for _, u := range b.upstreams {
		if u == from {
			continue
		}
		if best == nil || compareReceivers(u, best) < 0 {
			best = u
		}
	}
	return best
}

func compareReceivers(a, b *balanced) int {
	return cmp.Or(
		compareFloat(a.utilization(), b.utilization()),
		compareFloat(reportedUtilization(a.Upstream), reportedUtilization(b.Upstream)),
		cmp.Compare(float64(len(a.shards))/a.capacity, float64(len(b.shards))/b.capacity),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// Bounds within which a reported load agrees with the process's own count: a quarter of it and half a slot, which a
// request that starts or ends between the two measurements can explain.
const (
	reportTolerance      = 0.25
	reportToleranceSlots = 0.5
)

// trustedReport reports whether the upstream's own report agrees with the count of the process beside it.
func trustedReport(u Upstream) bool {
	if !u.HasReport || !validLoad(u.ReportedBusySlots) {
		return false
	}
	return math.Abs(u.ReportedBusySlots-u.BusySlots) <= reportTolerance*u.BusySlots+reportToleranceSlots
}

func reportedUtilization(u Upstream) float64 {
	if trustedReport(u) {
		return u.ReportedBusySlots / float64(max(1, u.Slots))
	}
	return u.BusySlots / float64(max(1, u.Slots))
}

// candidates lists what may move from an upstream, in a fixed order.
func (b *balancer) candidates(from *balanced) []candidate {
	var list []candidate
	for _, k := range from.Keys {
		own := from.keys[k.Key]
		inShard := !own && b.in.Table.Lookup(k.Key).Owner == from.Incarnation &&
			from.shards[sequoiatable.ShardOf(k.Key, b.in.Table.Shards)]
		hot := k.BusySlots >= b.tuning.HotKeyBusySlots
		if (own || inShard && hot) && !b.movedKeys[k.Key] {
			load := b.keyLoad[k.Key]
			list = append(list, candidate{key: k.Key, load: load, perKey: load})
		}
	}
	for _, n := range sortedShards(from.shards) {
		if !b.movedShards[n] {
			load := b.loadOfShard(from, n)
			list = append(list, candidate{shard: n, load: load, perKey: load / b.tuning.KeysPerShard})
		}
	}
	return list
}

// loadOfShard includes the listed hot keys that move with the shard because they have no assignment of their own.
func (b *balancer) loadOfShard(from *balanced, n uint32) float64 {
	load, ok := b.shardLoad[n]
	if !ok {
		load = b.rest[from.Incarnation]
	}
	for _, k := range from.Keys {
		_, own := b.in.Table.HotKey(k.Key)
		if !own && !b.movedKeys[k.Key] && sequoiatable.ShardOf(k.Key, b.in.Table.Shards) == n {
			load += b.keyLoad[k.Key]
		}
	}
	return load
}

func sortedShards(set map[uint32]bool) []uint32 {
	list := make([]uint32, 0, len(set))
	for n := range set {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

// fill plans one move of a shard to the upstream that is furthest below its share of the shards, and reports whether
// there is one. It takes no shard that would put the receiver above its share of the load, so that an upstream with
// few heavy shards is not filled.
func (b *balancer) fill() bool {
	to := slices.MinFunc(b.upstreams, func(x, y *balanced) int {
		return cmp.Or(compareFloat(float64(len(x.shards))/x.capacity, float64(len(y.shards))/y.capacity),
			cmp.Compare(x.Incarnation, y.Incarnation))
	})
	share := math.Floor(b.share(to))
	mean := b.mean()
	if float64(len(to.shards)) >= share*(1-b.tuning.Hysteresis) || to.load > mean*to.capacity*(1-b.tuning.Hysteresis) {
		return false
	}
	from := b.donor(to)
	if from == nil {
		return false
	}
	room := mean*to.capacity - to.load
	best := candidate{load: -1}
	for _, n := range sortedShards(from.shards) {
		load := b.loadOfShard(from, n)
		if load <= room && load > best.load && !b.movedShards[n] {
			best = candidate{shard: n, load: load}
		}
	}
	if best.load < 0 {
		return false
	}
	b.plan(from, to, best, ReasonJoin)
	return true
}

func (b *balancer) share(u *balanced) float64 {
	return shareOf(int(b.in.Table.Shards), u.capacity, b.capacity)
}

// donor returns the most loaded upstream among those that have more shards than their share.
func (b *balancer) donor(to *balanced) *balanced {
	var best *balanced
	for _, u := range b.upstreams {
		if u == to || float64(len(u.shards)) <= math.Floor(b.share(u)) {
			continue
		}
		if best == nil || cmp.Or(compareFloat(u.utilization(), best.utilization()),
			cmp.Compare(len(u.shards), len(best.shards))) > 0 {
			best = u
		}
	}
	return best
}

func (b *balancer) plan(from, to *balanced, c candidate, reason string) {
	from.load = max(0, from.load-c.load)
	to.load += c.load
	if c.key != "" {
		delete(from.keys, c.key)
		b.movedKeys[c.key] = true
		b.moves.addKey(from.Incarnation, to.Incarnation, c.key, ReasonHotKey)
		return
	}
	delete(from.shards, c.shard)
	to.shards[c.shard] = true
	b.movedShards[c.shard] = true
	b.moves.addShard(from.Incarnation, to.Incarnation, c.shard, reason)
}

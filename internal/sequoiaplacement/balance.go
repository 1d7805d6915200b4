package sequoiaplacement

import (
	"cmp"
	"math"
	"slices"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Balance returns the moves that even out the measured load and fill upstreams that have joined. It returns none if the
// service is balanced within the hysteresis.
//
// Each step considers the upstream with the highest utilization. If its load exceeds its share by more than the
// hysteresis, Balance plans the move that removes the most load per key moved, among the moves that lower the higher
// utilization of source and destination. If no such move is needed, an upstream with few shards is filled up to its
// share. Hot keys that have cooled return to their shard's owner. The limit on moves per minute applies to all of these
// together.
func Balance(in Input) []Move {
	b := newBalancer(in)
	if len(b.upstreams) == 0 || in.Table == nil {
		return nil
	}
	budget := b.tuning.moveBudget(in.SinceLastMove)
	b.mergeCooledKeys(budget)
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

// upstreamState is the balancer's estimated state of one upstream, updated with each planned move.
type upstreamState struct {
	Upstream
	capacity float64
	// load is the estimated mean number of requests in progress.
	load   float64
	shards map[uint32]bool
	keys   map[string]bool
}

func (u *upstreamState) utilization() float64 {
	return u.load / u.capacity
}

type balancer struct {
	in        Input
	tuning    Tuning
	upstreams []*upstreamState
	byID      map[sequoiatable.IncarnationID]*upstreamState
	moves     *moveSet
	// shardLoad and keyLoad are the loads of the shards and keys that the load reports list, discounted by age.
	// unlistedShardLoad is the mean load of a shard that an upstream's report does not list.
	shardLoad         map[uint32]float64
	keyLoad           map[string]float64
	unlistedShardLoad map[sequoiatable.IncarnationID]float64
	capacity          float64
	// movedShards and movedKeys are the shards and keys that this decision already moves.
	movedShards map[uint32]bool
	movedKeys   map[string]bool
}

func newBalancer(in Input) *balancer {
	b := &balancer{
		in: in, tuning: in.Tuning.withDefaults(), moves: newMoveSet(),
		byID:      map[sequoiatable.IncarnationID]*upstreamState{},
		shardLoad: map[uint32]float64{}, keyLoad: map[string]float64{},
		unlistedShardLoad: map[sequoiatable.IncarnationID]float64{},
		movedShards:       map[uint32]bool{}, movedKeys: map[string]bool{},
	}
	for _, u := range in.Upstreams {
		s := &upstreamState{
			Upstream: u, capacity: b.tuning.capacity(u),
			shards: map[uint32]bool{}, keys: map[string]bool{},
		}
		b.capacity += s.capacity
		b.upstreams = append(b.upstreams, s)
		b.byID[u.Incarnation] = s
	}
	if in.Table != nil {
		b.readTable()
		b.estimateLoads()
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

// validLoad reports whether a load is neither negative, infinite nor NaN. Loads come from other processes and are not
// trusted.
func validLoad(load float64) bool {
	return load >= 0 && !math.IsInf(load, 0)
}

// loadWeight returns the weight of an upstream's measured load, which falls from 1 to 0 as the measurement ages.
func (b *balancer) loadWeight(u Upstream) float64 {
	if !validLoad(u.BusySlots) {
		return 0
	}
	return max(0, 1-float64(u.LoadAge)/float64(b.tuning.StaleAfter))
}

// estimateLoads estimates each upstream's load as the weighted mean of its measured load and its share of the overall
// load. An old measurement thus tends toward the upstream's share, which causes no moves. The load of keys that have
// moved since it was measured is attributed to their current owner.
func (b *balancer) estimateLoads() {
	busy, slots := 0.0, 0.0
	for _, u := range b.upstreams {
		w := b.loadWeight(u.Upstream)
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
		w := b.loadWeight(u.Upstream)
		u.load = (1 - w) * mean * float64(max(1, u.Slots))
		if w > 0 {
			u.load += w * u.BusySlots
		}
	}
	for _, u := range b.upstreams {
		b.applyListedLoads(u)
	}
}

func (b *balancer) applyListedLoads(u *upstreamState) {
	w := b.loadWeight(u.Upstream)
	listed := 0.0
	for _, s := range u.Shards {
		if s.Shard >= b.in.Table.Shards || !validLoad(s.BusySlots) {
			continue
		}
		load := w * s.BusySlots
		listed += load
		b.reassignLoad(u, b.in.Table.Shard(s.Shard).Owner, load, b.listsShard(b.in.Table.Shard(s.Shard).Owner, s.Shard))
		b.shardLoad[s.Shard] = max(b.shardLoad[s.Shard], load)
	}
	for _, k := range u.Keys {
		if !validLoad(k.BusySlots) {
			continue
		}
		load := w * k.BusySlots
		listed += load
		b.reassignLoad(u, b.in.Table.Lookup(k.Key).Owner, load, b.listsKey(b.in.Table.Lookup(k.Key).Owner, k.Key))
		b.keyLoad[k.Key] = max(b.keyLoad[k.Key], load)
	}
	if n := len(u.shards) - len(u.Shards); n > 0 {
		b.unlistedShardLoad[u.Incarnation] = max(0, w*u.BusySlots-listed) / float64(n)
	}
}

// reassignLoad moves load from the upstream where it was measured to the current owner of the keys. The owner's load is
// not increased if its own measurement already includes them.
func (b *balancer) reassignLoad(u *upstreamState, owner sequoiatable.IncarnationID, load float64, measured bool) {
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

// mean returns the load per unit of capacity over all upstreams.
func (b *balancer) mean() float64 {
	total := 0.0
	for _, u := range b.upstreams {
		total += u.load
	}
	return total / b.capacity
}

// mergeCooledKeys plans the return of hot keys that have cooled to their shard's owner.
func (b *balancer) mergeCooledKeys(budget int) {
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
			// No key changes owner, so the limit on moves does not apply.
			b.moves.count--
		}
		b.movedKeys[k] = true
	}
}

// cooled reports whether a recent measurement shows that a hot key causes little load. A key that is not in the owner's
// list causes no more load than the last key listed.
func (b *balancer) cooled(owner *upstreamState, key string) bool {
	if b.loadWeight(owner.Upstream) < 0.5 || owner.Uptime < b.tuning.WarmUp {
		return false
	}
	limit := mergeThresholdFraction * b.tuning.HotKeyBusySlots
	for _, k := range owner.Keys {
		if k.Key == key {
			return k.BusySlots < limit
		}
	}
	return len(owner.Keys) == 0 || owner.Keys[len(owner.Keys)-1].BusySlots < limit
}

// moveCandidate is a shard or hot key that may move.
type moveCandidate struct {
	shard uint32
	// key is empty for a shard.
	key  string
	load float64
	// perKey is the load removed per key moved.
	perKey float64
}

// moveLoad plans one move away from the most loaded upstream and reports whether it found one.
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
	var best *moveCandidate
	for _, c := range b.candidates(from) {
		if !improvesBalance(from, to, c.load, excess, mean) {
			continue
		}
		if best == nil || c.perKey > best.perKey {
			best = &c
		}
	}
	if best == nil {
		return false
	}
	b.planMove(from, to, *best, ReasonLoad)
	return true
}

// minExcessFraction is the smallest fraction of an upstream's excess load that a move must remove. Moves that remove
// less interrupt requests without a measurable effect.
const minExcessFraction = 0.02

// improvesBalance reports whether the move removes enough of the excess load and lowers the higher utilization of the
// two upstreams: it must leave the destination within its share, or no more utilized than the source.
func improvesBalance(from, to *upstreamState, load, excess, mean float64) bool {
	if load < minExcessFraction*excess {
		return false
	}
	toAfter := (to.load + load) / to.capacity
	fromAfter := (from.load - load) / from.capacity
	return toAfter <= max(mean, fromAfter)
}

func (b *balancer) mostLoaded() *upstreamState {
	return slices.MaxFunc(b.upstreams, func(x, y *upstreamState) int {
		return cmp.Or(compareFloat(x.utilization(), y.utilization()), cmp.Compare(len(x.shards), len(y.shards)),
			cmp.Compare(y.Incarnation, x.Incarnation))
	})
}

// leastLoaded returns the upstream with the lowest utilization other than from. Ties are broken by the load that the
// upstreams report, if it agrees with the measured load, then by shards per capacity, then by incarnation.
func (b *balancer) leastLoaded(from *upstreamState) *upstreamState {
	var best *upstreamState
	for _, u := range b.upstreams {
		if u == from {
			continue
		}
		if best == nil || compareDestinations(u, best) < 0 {
			best = u
		}
	}
	return best
}

func compareDestinations(a, b *upstreamState) int {
	return cmp.Or(
		compareFloat(a.utilization(), b.utilization()),
		compareFloat(reportedUtilization(a.Upstream), reportedUtilization(b.Upstream)),
		cmp.Compare(float64(len(a.shards))/a.capacity, float64(len(b.shards))/b.capacity),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// A reported load agrees with the process's own count if it differs by at most a quarter of the count plus half a slot.
// A request that starts or ends between the two measurements can account for that difference.
const (
	reportTolerance      = 0.25
	reportToleranceSlots = 0.5
)

// reportAgrees reports whether the load that the upstream reports agrees with the count of the process on its instance.
func reportAgrees(u Upstream) bool {
	if !u.HasReport || !validLoad(u.ReportedBusySlots) {
		return false
	}
	return math.Abs(u.ReportedBusySlots-u.BusySlots) <= reportTolerance*u.BusySlots+reportToleranceSlots
}

func reportedUtilization(u Upstream) float64 {
	if reportAgrees(u) {
		return u.ReportedBusySlots / float64(max(1, u.Slots))
	}
	return u.BusySlots / float64(max(1, u.Slots))
}

// candidates returns the hot keys and shards that may move from an upstream, in a deterministic order.
func (b *balancer) candidates(from *upstreamState) []moveCandidate {
	var list []moveCandidate
	for _, k := range from.Keys {
		own := from.keys[k.Key]
		inShard := !own && b.in.Table.Lookup(k.Key).Owner == from.Incarnation &&
			from.shards[sequoiatable.ShardOf(k.Key, b.in.Table.Shards)]
		hot := k.BusySlots >= b.tuning.HotKeyBusySlots
		if (own || inShard && hot) && !b.movedKeys[k.Key] {
			load := b.keyLoad[k.Key]
			list = append(list, moveCandidate{key: k.Key, load: load, perKey: load})
		}
	}
	for _, n := range sortedShards(from.shards) {
		if !b.movedShards[n] {
			load := b.loadOfShard(from, n)
			list = append(list, moveCandidate{shard: n, load: load, perKey: load / b.tuning.KeysPerShard})
		}
	}
	return list
}

// loadOfShard returns the load of a shard, including listed hot keys that move with it because they have no assignment
// of their own.
func (b *balancer) loadOfShard(from *upstreamState, n uint32) float64 {
	load, ok := b.shardLoad[n]
	if !ok {
		load = b.unlistedShardLoad[from.Incarnation]
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

// fill plans the move of one shard to the upstream with the fewest shards for its capacity and reports whether it found
// one. It moves no shard that would raise the destination above its share of the load, so that an upstream with few but
// heavily loaded shards is not filled.
func (b *balancer) fill() bool {
	to := slices.MinFunc(b.upstreams, func(x, y *upstreamState) int {
		return cmp.Or(compareFloat(float64(len(x.shards))/x.capacity, float64(len(y.shards))/y.capacity),
			cmp.Compare(x.Incarnation, y.Incarnation))
	})
	share := math.Floor(b.share(to))
	mean := b.mean()
	if float64(len(to.shards)) >= share*(1-b.tuning.Hysteresis) || to.load > mean*to.capacity*(1-b.tuning.Hysteresis) {
		return false
	}
	from := b.fillSource(to)
	if from == nil {
		return false
	}
	room := mean*to.capacity - to.load
	best := moveCandidate{load: -1}
	for _, n := range sortedShards(from.shards) {
		load := b.loadOfShard(from, n)
		if load <= room && load > best.load && !b.movedShards[n] {
			best = moveCandidate{shard: n, load: load}
		}
	}
	if best.load < 0 {
		return false
	}
	b.planMove(from, to, best, ReasonJoin)
	return true
}

func (b *balancer) share(u *upstreamState) float64 {
	return shareOf(int(b.in.Table.Shards), u.capacity, b.capacity)
}

// fillSource returns the most loaded of the upstreams that have more shards than their share, or nil if there is none.
func (b *balancer) fillSource(to *upstreamState) *upstreamState {
	var best *upstreamState
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

func (b *balancer) planMove(from, to *upstreamState, c moveCandidate, reason string) {
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

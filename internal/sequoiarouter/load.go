package sequoiarouter

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
)

// Numbers of keys and shards that are counted and reported. With many members, sequoiacontrol truncates the reported
// lists.
const (
	countedKeys    = 256
	countedShards  = 256
	reportedKeys   = 16
	reportedShards = 16
)

// topCounter tracks the items with the highest sums in bounded memory, using the Space-Saving algorithm: when the table
// is full, a new item replaces the one with the lowest sum and takes over that sum as its maximum error.
type topCounter[K comparable] struct {
	size  int
	items map[K]*topItem
}

type topItem struct {
	sum      time.Duration
	maxError time.Duration
}

func newTopCounter[K comparable](size int) topCounter[K] {
	return topCounter[K]{size: size, items: map[K]*topItem{}}
}

func (c *topCounter[K]) add(k K, d time.Duration) {
	if it := c.items[k]; it != nil {
		it.sum += d
		return
	}
	it := &topItem{sum: d}
	if len(c.items) >= c.size {
		lowest := c.lowest()
		it.maxError = c.items[lowest].sum
		it.sum += it.maxError
		delete(c.items, lowest)
	}
	c.items[k] = it
}

func (c *topCounter[K]) lowest() K {
	var key K
	var low *topItem
	for k, it := range c.items {
		if low == nil || it.sum < low.sum {
			key, low = k, it
		}
	}
	return key
}

// topEntry is an item with the guaranteed lower bound of its sum.
type topEntry[K comparable] struct {
	key K
	sum time.Duration
}

// top returns the n items with the highest lower bounds, in descending order.
func (c *topCounter[K]) top(n int) []topEntry[K] {
	var all []topEntry[K]
	for k, it := range c.items {
		if it.sum > it.maxError {
			all = append(all, topEntry[K]{k, it.sum - it.maxError})
		}
	}
	slices.SortFunc(all, func(a, b topEntry[K]) int { return cmp.Compare(b.sum, a.sum) })
	return all[:min(n, len(all))]
}

// loadMeter measures the local upstream's load since the last report.
type loadMeter struct {
	intervalStart time.Time
	updatedAt     time.Time
	busy          time.Duration
	requests      int
	keys          topCounter[string]
	shards        topCounter[uint32]
}

func newLoadMeter() loadMeter {
	return loadMeter{keys: newTopCounter[string](countedKeys), shards: newTopCounter[uint32](countedShards)}
}

// advance adds the busy time of inFlight requests since the last call. It is called before that number changes.
func (l *loadMeter) advance(now time.Time, inFlight int) {
	if l.intervalStart.IsZero() {
		l.intervalStart, l.updatedAt = now, now
	}
	l.busy += time.Duration(inFlight) * now.Sub(l.updatedAt)
	l.updatedAt = now
}

func (l *loadMeter) finish(now time.Time, t *Ticket) {
	l.requests++
	l.attribute(now, t)
}

// attribute adds the part of a request's duration that lies in this interval to its key and shard.
func (l *loadMeter) attribute(now time.Time, t *Ticket) {
	if !t.keyed {
		return
	}
	from := t.started
	if from.Before(l.intervalStart) {
		from = l.intervalStart
	}
	l.keys.add(t.key, now.Sub(from))
	if !t.hot {
		l.shards.add(t.shard, now.Sub(from))
	}
}

// MeasureLoad returns the local upstream's load since the last call and starts a new interval.
func (r *Router) MeasureLoad(now time.Time) sequoiacontrol.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.load
	l.advance(now, len(r.active))
	for t := range r.active {
		l.attribute(now, t)
	}
	var out sequoiacontrol.Load
	if r.snapshot != nil {
		out.Incarnation = r.snapshot.Self
	}
	if r.upstream != nil {
		out.Service, out.Slots = r.upstream.service, r.upstream.slots
	}
	if interval := now.Sub(l.intervalStart); interval > 0 {
		out.BusySlots = l.busy.Seconds() / interval.Seconds()
		out.Requests = float64(l.requests) / interval.Seconds()
		for _, e := range l.keys.top(reportedKeys) {
			busy := e.sum.Seconds() / interval.Seconds()
			out.Keys = append(out.Keys, sequoiaplacement.KeyLoad{Key: e.key, BusySlots: busy})
		}
		for _, e := range l.shards.top(reportedShards) {
			busy := e.sum.Seconds() / interval.Seconds()
			out.Shards = append(out.Shards, sequoiaplacement.ShardLoad{Shard: e.key, BusySlots: busy})
		}
	}
	r.load = newLoadMeter()
	r.load.advance(now, 0)
	return out
}

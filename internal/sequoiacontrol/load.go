package sequoiacontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Load reports go to the service's planner directly in a small fleet. In a large one the interval between a member's
// reports would exceed the time after which control connections close, and the planner would spend more than its share
// of the processor on handshakes. So a member reports to the relay of its failure domain, which passes on one bounded
// batch per service. Both intervals are such that the receiver gets no more than the bytes per second given here.
const (
	// reportBytes is the size of an encoded report, which trimReport keeps unless one key exceeds it.
	reportBytes          = 512
	reportBytesPerSecond = 8 * 1024
	minReportInterval    = time.Second
	// batchBytes is the size of an encoded batch. The rate is lower than that of reports because the lowest-ranked
	// member is relay and planner at once.
	batchBytes          = 4096
	batchBytesPerSecond = 4 * 1024
	// batchMembers is the number of members of each kind in a batch: the most loaded, the least loaded, and those that
	// own the hottest keys.
	batchMembers = 6
)

// Upper estimates of encoded sizes in bytes, without the names of services and keys.
const (
	envelopeBytes  = 96
	loadBytes      = 160
	keyLoadBytes   = 30
	shardLoadBytes = 36
)

type measuredLoad struct {
	Load
	at time.Time
}

func (c *Core) loadMeasured(l Load) {
	l.Incarnation = c.self
	c.recordLoad(l, 0)
	c.reportLoad(l)
	c.relayLoads()
}

func (c *Core) reportLoad(l Load) {
	to, interval := c.servicePlanner(l.Service), c.directInterval()
	if relay := c.relay(); relay != 0 {
		to, interval = relay, c.relayedInterval()
	}
	// A report to a lost relay would be missing for a whole interval, so it waits for the next relay.
	if c.now.Sub(c.loadSentAt) < interval || c.suspects[to] != nil {
		return
	}
	c.loadSentAt = c.now
	if to == 0 || to == c.self {
		return
	}
	if interval > minReportInterval {
		l = trimReport(l)
	}
	c.send(to, Message{LoadReport: &LoadReport{Load: l}})
}

// directInterval grows with the fleet so that the planner's traffic does not.
func (c *Core) directInterval() time.Duration {
	return reportInterval(c.view.members, reportBytes, reportBytesPerSecond)
}

// relayedInterval is the interval between reports to this process's relay.
func (c *Core) relayedInterval() time.Duration {
	me := c.liveMember(c.self)
	if me == nil {
		return minReportInterval
	}
	return reportInterval(c.view.eligibleInDomain[me.FailureDomain], reportBytes, reportBytesPerSecond)
}

// batchInterval is the interval between a relay's batches. It counts the relays, which all send to one planner of a
// service, or the planners, to all of which a relay sends.
func (c *Core) batchInterval() time.Duration {
	return reportInterval(max(len(c.view.storeReader), len(c.view.planner)), batchBytes, batchBytesPerSecond)
}

func reportInterval(senders, bytes, bytesPerSecond int) time.Duration {
	return max(minReportInterval, time.Duration(senders*bytes)*time.Second/time.Duration(bytesPerSecond))
}

// relay returns the member that passes on the loads of this process's failure domain, zero if reports go to the
// planners directly.
func (c *Core) relay() sequoiatable.IncarnationID {
	me := c.liveMember(c.self)
	if me == nil || c.directInterval() <= c.opt.timings.DirectReportInterval {
		return 0
	}
	return c.view.storeReader[me.FailureDomain]
}

// relayLoads passes on the loads of this process's failure domain, if it is the relay there.
func (c *Core) relayLoads() {
	if c.relay() != c.self || c.now.Sub(c.loadBatchSentAt) < c.batchInterval() {
		return
	}
	c.loadBatchSentAt = c.now
	domain := c.liveMember(c.self).FailureDomain
	byService := map[string][]measuredLoad{}
	for _, id := range c.view.eligible {
		l, ok := c.loads[id]
		if ok && c.liveMember(id).FailureDomain == domain {
			byService[l.Service] = append(byService[l.Service], l)
		}
	}
	for _, service := range c.table.ServiceNames() {
		planner := c.servicePlanner(service)
		if planner == 0 || planner == c.self || len(byService[service]) == 0 {
			continue
		}
		c.send(planner, Message{LoadBatch: newLoadBatch(c.now, byService[service])})
	}
}

func (c *Core) recordBatch(b *LoadBatch) {
	for _, l := range b.Loads {
		c.recordLoad(l.Load, max(0, l.Age))
	}
}

// recordLoad keeps the newest load of each member; a batch may be older than a direct report.
func (c *Core) recordLoad(l Load, age time.Duration) {
	at := c.now.Add(-age)
	if old, ok := c.loads[l.Incarnation]; ok && old.at.After(at) {
		return
	}
	c.loads[l.Incarnation] = measuredLoad{Load: l, at: at}
}

func keyBytes(k sequoiaplacement.KeyLoad) int {
	return keyLoadBytes + len(k.Key)
}

// trimReport shortens the lists of a report to reportBytes. A list of keys that is not empty keeps its first one,
// because an empty list says that no key causes load.
func trimReport(l Load) Load {
	room := reportBytes - envelopeBytes - loadBytes - len(l.Service)
	keys, shards := l.Keys, l.Shards
	l.Keys, l.Shards = nil, nil
	for i := range max(len(keys), len(shards)) {
		if i < len(keys) && len(l.Keys) == i && (i == 0 || keyBytes(keys[i]) <= room) {
			room -= keyBytes(keys[i])
			l.Keys = keys[:i+1]
		}
		if i < len(shards) && len(l.Shards) == i && shardLoadBytes <= room {
			room -= shardLoadBytes
			l.Shards = shards[:i+1]
		}
	}
	return l
}

// loadBatch collects loads up to batchBytes. Each list in it is the head of the member's own list, so that a key that is
// left out causes no more load than the last one listed.
type loadBatch struct {
	now    time.Time
	room   int
	full   []measuredLoad
	listed []AgedLoad
}

// newLoadBatch returns the loads that stand out among those of a service.
func newLoadBatch(now time.Time, loads []measuredLoad) *LoadBatch {
	b := &loadBatch{now: now, room: batchBytes - envelopeBytes}
	byLoad := slices.Clone(loads)
	slices.SortFunc(byLoad, func(x, y measuredLoad) int {
		return cmp.Or(cmp.Compare(y.utilization(), x.utilization()), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	byKey := slices.Clone(loads)
	slices.SortFunc(byKey, func(x, y measuredLoad) int {
		return cmp.Or(cmp.Compare(y.hottest(), x.hottest()), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	for i := range min(batchMembers, len(loads)) {
		b.add(byKey[i])
		b.add(byLoad[i])
		b.add(byLoad[len(loads)-1-i])
	}
	shardRoom := min(b.room, 2*batchMembers*shardLoadBytes)
	b.room -= shardRoom
	extend(b, keyBytes, func(l *Load) *[]sequoiaplacement.KeyLoad { return &l.Keys },
		func(k sequoiaplacement.KeyLoad) float64 { return k.BusySlots })
	b.room += shardRoom
	extend(b, func(sequoiaplacement.ShardLoad) int { return shardLoadBytes },
		func(l *Load) *[]sequoiaplacement.ShardLoad { return &l.Shards },
		func(s sequoiaplacement.ShardLoad) float64 { return s.BusySlots })
	return &LoadBatch{Loads: b.listed}
}

func (l Load) utilization() float64 {
	return l.BusySlots / float64(max(1, l.Slots))
}

// hottest returns the load of the hottest key.
func (l Load) hottest() float64 {
	if len(l.Keys) == 0 {
		return 0
	}
	return l.Keys[0].BusySlots
}

// add lists a member with its hottest key, unless it is listed or does not fit. An empty list of keys would say that no
// key causes load.
func (b *loadBatch) add(m measuredLoad) {
	size := loadBytes + len(m.Service)
	if len(m.Keys) > 0 {
		size += keyBytes(m.Keys[0])
	}
	if size > b.room || slices.ContainsFunc(b.full, func(o measuredLoad) bool { return o.Incarnation == m.Incarnation }) {
		return
	}
	b.room -= size
	b.full = append(b.full, m)
	l := m.Load
	l.Keys = m.Keys[:min(1, len(m.Keys))]
	l.Shards = nil
	b.listed = append(b.listed, AgedLoad{Load: l, Age: b.now.Sub(m.at)})
}

// extend lengthens the lists of one kind, each time the one whose next entry has the highest load.
func extend[T any](b *loadBatch, size func(T) int, list func(*Load) *[]T, load func(T) float64) {
	next := func(i int) *T {
		all, n := *list(&b.full[i].Load), len(*list(&b.listed[i].Load))
		if n >= len(all) || size(all[n]) > b.room {
			return nil
		}
		return &all[n]
	}
	for {
		best := -1
		for i := range b.full {
			if e := next(i); e != nil && (best < 0 || load(*e) > load(*next(best))) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		b.room -= size(*next(best))
		listed := list(&b.listed[best].Load)
		*listed = (*list(&b.full[best].Load))[:len(*listed)+1]
	}
}

package sequoiacontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// In a small fleet, members send load reports directly to the service's planner. In a large fleet the interval between
// reports of a member would exceed the idle timeout of control connections, and the planner would spend too much CPU
// time on handshakes. There, members report to the relay of their failure domain, which forwards one bounded batch per
// service. Both intervals limit the receiver's traffic to the bytes per second below.
const (
	// reportBytes is the maximum size of an encoded report, enforced by trimReport unless a single key exceeds it.
	reportBytes          = 512
	reportBytesPerSecond = 8 * 1024
	minReportInterval    = time.Second
	// batchBytes is the maximum size of an encoded batch. The rate is lower than that of reports because the
	// lowest-ranked member is both relay and planner.
	batchBytes          = 4096
	batchBytesPerSecond = 4 * 1024
	// batchMembers is the number of members of each kind in a batch: the most loaded, the least loaded, and those that
	// own the hottest keys.
	batchMembers = 6
)

// Upper bounds on encoded sizes in bytes, excluding service names and keys.
const (
	envelopeBytes  = 96
	loadBytes      = 160
	keyLoadBytes   = 30
	shardLoadBytes = 36
)

type measuredLoad struct {
	Load
	measuredAt time.Time
}

func (c *Core) handleLoadMeasured(l Load) {
	l.Incarnation = c.self
	c.recordLoad(l, 0)
	c.reportLoad(l)
	c.relayLoads()
}

func (c *Core) reportLoad(l Load) {
	to, interval := c.servicePlanner(l.Service), c.directReportInterval()
	if relay := c.relay(); relay != 0 {
		to, interval = relay, c.relayedReportInterval()
	}
	// A report sent to a lost relay would be missing for a whole interval, so it is held back until the next relay
	// takes over.
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

// directReportInterval returns the interval between reports sent directly to a planner. It grows with the fleet so that
// the planner's traffic does not.
func (c *Core) directReportInterval() time.Duration {
	return reportInterval(c.view.members, reportBytes, reportBytesPerSecond)
}

// relayedReportInterval returns the interval between reports to this process's relay.
func (c *Core) relayedReportInterval() time.Duration {
	me := c.liveMember(c.self)
	if me == nil {
		return minReportInterval
	}
	return reportInterval(c.view.eligibleInDomain[me.FailureDomain], reportBytes, reportBytesPerSecond)
}

// batchInterval returns the interval between a relay's batches. It depends on the larger of the number of relays, which
// all send to the planner of a service, and the number of planners, to all of which a relay sends.
func (c *Core) batchInterval() time.Duration {
	return reportInterval(max(len(c.view.storeReader), len(c.view.planner)), batchBytes, batchBytesPerSecond)
}

func reportInterval(senders, bytes, bytesPerSecond int) time.Duration {
	return max(minReportInterval, time.Duration(senders*bytes)*time.Second/time.Duration(bytesPerSecond))
}

// relay returns the member that forwards the loads of this process's failure domain, or zero if reports go directly to
// the planners.
func (c *Core) relay() sequoiatable.IncarnationID {
	me := c.liveMember(c.self)
	if me == nil || c.directReportInterval() <= c.opt.timings.DirectReportInterval {
		return 0
	}
	return c.view.storeReader[me.FailureDomain]
}

// relayLoads forwards the loads of this process's failure domain if this process is its relay.
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

func (c *Core) handleLoadBatch(b *LoadBatch) {
	for _, l := range b.Loads {
		c.recordLoad(l.Load, max(0, l.Age))
	}
}

// recordLoad keeps the most recent load of each member; a batch may be older than a direct report.
func (c *Core) recordLoad(l Load, age time.Duration) {
	at := c.now.Add(-age)
	if old, ok := c.loads[l.Incarnation]; ok && old.measuredAt.After(at) {
		return
	}
	c.loads[l.Incarnation] = measuredLoad{Load: l, measuredAt: at}
}

func keyBytes(k sequoiaplacement.KeyLoad) int {
	return keyLoadBytes + len(k.Key)
}

// trimReport shortens the lists of a report to fit reportBytes. A non-empty list of keys keeps its first key, because
// an empty list means that no key causes load.
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

// loadBatch collects loads up to batchBytes. Each list in it is a prefix of the member's own list, so that an omitted
// key causes no more load than the last listed one.
type loadBatch struct {
	now       time.Time
	remaining int
	untrimmed []measuredLoad
	listed    []AgedLoad
}

// newLoadBatch selects the highest and lowest loads and the hottest keys among the loads of a service.
func newLoadBatch(now time.Time, loads []measuredLoad) *LoadBatch {
	b := &loadBatch{now: now, remaining: batchBytes - envelopeBytes}
	byLoad := slices.Clone(loads)
	slices.SortFunc(byLoad, func(x, y measuredLoad) int {
		return cmp.Or(cmp.Compare(y.utilization(), x.utilization()), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	byKey := slices.Clone(loads)
	slices.SortFunc(byKey, func(x, y measuredLoad) int {
		return cmp.Or(cmp.Compare(y.hottestKeyLoad(), x.hottestKeyLoad()), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	for i := range min(batchMembers, len(loads)) {
		b.add(byKey[i])
		b.add(byLoad[i])
		b.add(byLoad[len(loads)-1-i])
	}
	shardRoom := min(b.remaining, 2*batchMembers*shardLoadBytes)
	b.remaining -= shardRoom
	extend(b, keyBytes, func(l *Load) *[]sequoiaplacement.KeyLoad { return &l.Keys },
		func(k sequoiaplacement.KeyLoad) float64 { return k.BusySlots })
	b.remaining += shardRoom
	extend(b, func(sequoiaplacement.ShardLoad) int { return shardLoadBytes },
		func(l *Load) *[]sequoiaplacement.ShardLoad { return &l.Shards },
		func(s sequoiaplacement.ShardLoad) float64 { return s.BusySlots })
	return &LoadBatch{Loads: b.listed}
}

func (l Load) utilization() float64 {
	return l.BusySlots / float64(max(1, l.Slots))
}

// hottestKeyLoad returns the load of the hottest key, or zero if no key is listed.
func (l Load) hottestKeyLoad() float64 {
	if len(l.Keys) == 0 {
		return 0
	}
	return l.Keys[0].BusySlots
}

// add lists a member with its hottest key, unless it is already listed or does not fit. An empty list of keys would
// mean that no key causes load.
func (b *loadBatch) add(m measuredLoad) {
	size := loadBytes + len(m.Service)
	if len(m.Keys) > 0 {
		size += keyBytes(m.Keys[0])
	}
	if size > b.remaining || slices.ContainsFunc(b.untrimmed, func(o measuredLoad) bool { return o.Incarnation == m.Incarnation }) {
		return
	}
	b.remaining -= size
	b.untrimmed = append(b.untrimmed, m)
	l := m.Load
	l.Keys = m.Keys[:min(1, len(m.Keys))]
	l.Shards = nil
	b.listed = append(b.listed, AgedLoad{Load: l, Age: b.now.Sub(m.measuredAt)})
}

// extend appends further entries to the members' lists of keys or shards, highest load first, while they fit.
func extend[T any](b *loadBatch, size func(T) int, list func(*Load) *[]T, load func(T) float64) {
	next := func(i int) *T {
		all, n := *list(&b.untrimmed[i].Load), len(*list(&b.listed[i].Load))
		if n >= len(all) || size(all[n]) > b.remaining {
			return nil
		}
		return &all[n]
	}
	for {
		best := -1
		for i := range b.untrimmed {
			if e := next(i); e != nil && (best < 0 || load(*e) > load(*next(best))) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		b.remaining -= size(*next(best))
		listed := list(&b.listed[best].Load)
		*listed = (*list(&b.untrimmed[best].Load))[:len(*listed)+1]
	}
}

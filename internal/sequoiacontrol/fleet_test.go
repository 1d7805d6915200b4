package sequoiacontrol

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

const (
	testService  = "dispatch"
	testShards   = 12
	tickInterval = 25 * time.Millisecond
	storeTimeout = 300 * time.Millisecond
)

var errStoreDown = errors.New("store is unavailable")

// fleet simulates several Cores that share one log and one network, in simulated time. Runs are deterministic per seed.
type fleet struct {
	random      *rand.Rand
	now         time.Time
	queue       eventQueue
	order       int
	log         []sequoiatable.Entry
	nodes       []*node
	messageLoss float64
	// storeLoss is the probability that a store call, or its reply, is lost.
	storeLoss float64
	storeDown bool
	// leases holds the end of each store lease.
	leases map[sequoiatable.IncarnationID]time.Time
	tables map[uint64]*sequoiatable.Table
	// servingUntil is the latest time up to which each node may still act on a shard: the lease end under which it last
	// served.
	servingUntil map[uint32]map[*node]time.Time
	violations   []string
	// checkpoints lists the indexes of the written checkpoints. killCheckpointWriter kills the next process that is asked
	// to write one.
	checkpoints          []uint64
	killCheckpointWriter bool
	// regions maps failure domains to regions. Failure domains that it does not list share the unnamed region.
	regions map[string]string
	// plannerRegion is the region whose processes get the lowest identifiers, so that all planners are there.
	plannerRegion string
	// disconnected reports whether two nodes cannot reach each other.
	disconnected func(a, b *node) bool
	shards       uint32
	// checkInterval is the minimum simulated time between checks of ownership, zero for a check at each event.
	checkInterval time.Duration
	sinceCheck    time.Duration
	// storeCalls counts reads and appends.
	storeCalls int
	// unserved is the total time for which no node has served each shard since resetUnserved.
	unserved map[uint32]time.Duration
}

// node simulates one process and its data path.
type node struct {
	core     *Core
	number   int
	domain   string
	addr     netip.AddrPort
	snapshot *Snapshot
	watching bool
	// closed holds the keys of moves between CloseKeys and OpenKeys.
	closed     map[uint64]KeySet
	killed     bool
	paused     bool
	heldEvents []Event
	cutPeers   bool
	cutStore   bool
	// dropEntries drops incoming Entries messages, so that the node receives the log only from the store.
	dropEntries    bool
	upstreamFrozen bool
	// dropSends drops messages that the node sends to peers. receiveDelay is added to the delay of those it receives.
	dropSends    bool
	receiveDelay time.Duration
	drainTime    time.Duration
	// busyTime is how long requests for busyShard take, zero for drainTime.
	busyShard uint32
	busyTime  time.Duration
	closedAll bool
	// identifiers are those that KeysDrained carries; installed are those received with InstallMemory.
	identifiers []Identifier
	installed   []Identifier
	replies     map[uint64]Reply
	stopped     bool
	records     []Record
}

type scheduled struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          time.Unix(1000, 0),
		servingUntil: map[uint32]map[*node]time.Time{},
		unserved:     map[uint32]time.Duration{},
		leases:       map[sequoiatable.IncarnationID]time.Time{},
		tables:       map[uint64]*sequoiatable.Table{},
		shards:       testShards,
		disconnected: func(*node, *node) bool { return false },
	}
}

// startFleet returns a fleet of n processes in the given number of failure domains, with a configured service.
func startFleet(seed uint64, n, domains int, opts ...Option) *fleet {
	f := newFleet(seed)
	f.populate(n, domains, 6*time.Second, opts...)
	return f
}

// populate starts n processes, configures the service and runs the simulation for the given time.
func (f *fleet) populate(n, domains int, wait time.Duration, opts ...Option) {
	for i := range n {
		f.add(fmt.Sprintf("domain-%d", i%domains), opts...)
	}
	f.run(time.Second)
	f.nodes[0].step(f, Command{ID: 1, Configure: &sequoiatable.SetConfiguration{
		Document: []byte("{}"),
		Services: []sequoiatable.ServiceConfig{{Name: testService, Shards: f.shards, Divided: true}},
	}})
	f.run(wait)
	f.resetUnserved()
}

func (f *fleet) add(domain string, opts ...Option) *node {
	n := &node{
		number: len(f.nodes), domain: domain, drainTime: 20 * time.Millisecond,
		addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+len(f.nodes))),
		closed: map[uint64]KeySet{}, replies: map[uint64]Reply{},
	}
	random := f.random.Uint64
	if f.plannerRegion != "" && f.regions[domain] == f.plannerRegion {
		random = func() uint64 { return f.random.Uint64() >> 16 }
	}
	all := append([]Option{
		WithRandom(random),
		WithMember(sequoiatable.Member{FailureDomain: domain, Region: f.regions[domain], Control: n.addr}),
		WithTableCodec(TableCodec{Encode: f.encode, Decode: f.decode}),
	}, opts...)
	n.core = New(all...)
	f.nodes = append(f.nodes, n)
	f.after(f.delay(), func() { n.step(f, Upstream{Service: testService, Slots: 6}) })
	f.tick(n)
	return n
}

func (f *fleet) encode(t *sequoiatable.Table) ([][]byte, error) {
	f.tables[t.Index] = t
	return [][]byte{fmt.Append(nil, t.Index)}, nil
}

func (f *fleet) decode(parts [][]byte) (*sequoiatable.Table, error) {
	var index uint64
	if _, err := fmt.Sscan(string(parts[0]), &index); err != nil {
		return nil, errors.Wrap(err, "table index")
	}
	return f.tables[index], nil
}

func (f *fleet) tick(n *node) {
	if n.killed || n.stopped {
		return
	}
	if !n.paused {
		n.step(f, Tick{})
		f.pollStore(n)
	}
	f.after(tickInterval, func() { f.tick(n) })
}

// pollStore simulates the watch on the store.
func (f *fleet) pollStore(n *node) {
	if n.watching && f.storeReachable(n) && len(f.log) > int(n.index()) {
		f.read(n, n.index())
	}
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, scheduled{f.now.Add(d), f.order, run})
}

func (f *fleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.random.Int64N(int64(2*time.Millisecond)))
}

// run advances the simulated time and checks ownership before each event and at the end.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		s := heap.Pop(&f.queue).(scheduled)
		f.checkOwnership(s.at.Sub(f.now))
		f.now = s.at
		s.run()
	}
	f.checkOwnership(end.Sub(f.now))
	f.now = end
}

// checkOwnership records a violation for each shard that one node serves while another may still act on it. It also
// adds up the time for which shards are not served.
func (f *fleet) checkOwnership(elapsed time.Duration) {
	f.sinceCheck += elapsed
	if f.sinceCheck < f.checkInterval {
		return
	}
	elapsed = f.sinceCheck
	f.sinceCheck = 0
	served := make([]bool, f.shards)
	for _, n := range f.nodes {
		s := n.serving(f.now)
		if s == nil {
			continue
		}
		for shard := range f.shards {
			if s.Shard(shard).Owner == n.snapshot.Self && !n.isClosed(shard) {
				served[shard] = true
				f.recordServing(n, shard)
			}
		}
	}
	for shard, ok := range served {
		if !ok {
			f.unserved[uint32(shard)] += elapsed
		}
	}
}

func (f *fleet) recordServing(n *node, shard uint32) {
	until := f.servingUntil[shard]
	if until == nil {
		until = map[*node]time.Time{}
		f.servingUntil[shard] = until
	}
	for _, other := range f.nodes {
		if other != n && until[other].After(f.now) {
			f.violations = append(f.violations, fmt.Sprintf("shard %d: node %d serves, node %d may still act for %s",
				shard, n.number, other.number, until[other].Sub(f.now)))
		}
	}
	if n.snapshot.LeaseEnd.After(until[n]) {
		until[n] = n.snapshot.LeaseEnd
	}
}

func (f *fleet) resetUnserved() {
	clear(f.unserved)
}

// longestUnserved returns the longest total time for which any shard was not served.
func (f *fleet) longestUnserved() time.Duration {
	var longest time.Duration
	for _, d := range f.unserved {
		longest = max(longest, d)
	}
	return longest
}

// servedShardsByNode returns the number of shards that each node currently serves.
func (f *fleet) servedShardsByNode() map[int]int {
	counts := map[int]int{}
	for _, n := range f.nodes {
		for shard := range f.shards {
			if n.serves(f.now, shard) {
				counts[n.number]++
			}
		}
	}
	return counts
}

func (f *fleet) servedShards() int {
	total := 0
	for _, n := range f.servedShardsByNode() {
		total += n
	}
	return total
}

// settledShards returns servedShards after waiting up to 200 ms for planned moves in progress, which close their keys
// for about 50 ms.
func (f *fleet) settledShards() int {
	for range 20 {
		if f.servedShards() == testShards {
			break
		}
		f.run(10 * time.Millisecond)
	}
	return f.servedShards()
}

func (n *node) index() uint64 {
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Table.Index
}

// serving returns the assignments of the service if the node may serve the keys that it owns, else nil.
func (n *node) serving(now time.Time) *sequoiatable.ServiceTable {
	s := n.snapshot
	if n.killed || n.paused || n.upstreamFrozen || n.stopped || n.closedAll || s == nil || !s.Serves(now) {
		return nil
	}
	return s.Table.Service(testService)
}

func (n *node) isClosed(shard uint32) bool {
	for _, keys := range n.closed {
		if slices.Contains(keys.Shards, shard) {
			return true
		}
	}
	return false
}

func (n *node) serves(now time.Time, shard uint32) bool {
	s := n.serving(now)
	return s != nil && s.Shard(shard).Owner == n.snapshot.Self && !n.isClosed(shard)
}

func (n *node) step(f *fleet, ev Event) {
	if n.killed || n.stopped {
		return
	}
	if n.paused {
		n.heldEvents = append(n.heldEvents, ev)
		return
	}
	for _, a := range n.core.Step(f.now, ev) {
		f.perform(n, a)
	}
}

func (n *node) resume(f *fleet) {
	n.paused = false
	held := n.heldEvents
	n.heldEvents = nil
	for _, ev := range held {
		n.step(f, ev)
	}
}

func (f *fleet) perform(n *node, a Action) {
	switch a := a.(type) {
	case Publish:
		if n.snapshot != nil && a.Snapshot.Table.Configuration.Revision < n.snapshot.Table.Configuration.Revision {
			f.violations = append(f.violations, fmt.Sprintf("node %d: configuration reverted to an older revision", n.number))
		}
		n.snapshot = a.Snapshot
	case Send:
		f.send(n, a)
	case Append:
		f.append(n, a.Entry)
	case RenewLease:
		f.renewLease(n, a)
	case ReadLog:
		f.read(n, a.After)
	case WatchLog:
		n.watching = a.On
	case CloseKeys:
		n.closed[a.Move] = a.Keys
		n.closedAll = n.closedAll || a.All
		d := n.drainTime
		if n.busyTime > 0 && slices.Contains(a.Keys.Shards, n.busyShard) {
			d = n.busyTime
		}
		f.after(d, func() { f.drained(n, a) })
	case OpenKeys:
		delete(n.closed, a.Move)
	case InstallMemory:
		n.installed = append(n.installed, a.Identifiers...)
		f.after(time.Millisecond, func() { n.step(f, MemoryInstalled{From: a.From, Move: a.Move, Part: a.Part}) })
	case WriteCheckpoint:
		f.writeCheckpoint(n, a.Table.Index)
	case Reply:
		n.replies[a.ID] = a
	case Record:
		n.records = append(n.records, a)
	case Stopped:
		n.stopped = true
	}
}

func (f *fleet) drained(n *node, a CloseKeys) {
	if _, ok := n.closed[a.Move]; !ok || n.killed || n.paused {
		return
	}
	for shard := range f.shards {
		if a.All || slices.Contains(a.Keys.Shards, shard) {
			delete(f.servingUntil[shard], n)
		}
	}
	n.step(f, KeysDrained{Move: a.Move, Identifiers: n.identifiers})
}

func (f *fleet) writeCheckpoint(n *node, index uint64) {
	if f.killCheckpointWriter {
		f.killCheckpointWriter = false
		n.killed = true
		return
	}
	f.after(f.delay(), func() {
		if !f.storeReachable(n) {
			n.step(f, CheckpointWritten{Index: index, Err: errStoreDown})
			return
		}
		if !slices.Contains(f.checkpoints, index) {
			f.checkpoints = append(f.checkpoints, index)
		}
		n.step(f, CheckpointWritten{Index: index})
	})
}

func (f *fleet) send(n *node, a Send) {
	if n.cutPeers || n.dropSends || f.random.Float64() < f.messageLoss {
		return
	}
	from := n.core.Self()
	for _, to := range f.nodes {
		if to.addr == a.Addr {
			f.after(f.delay()+to.receiveDelay, func() {
				if !to.cutPeers && !f.disconnected(n, to) && (!to.dropEntries || a.Message.Entries == nil) {
					to.step(f, Received{From: from, Message: a.Message})
				}
			})
		}
	}
}

func (f *fleet) storeReachable(n *node) bool {
	return !f.storeDown && !n.cutStore
}

func (f *fleet) read(n *node, after uint64) {
	f.storeCalls++
	f.after(f.delay(), func() {
		if !f.storeReachable(n) || f.random.Float64() < f.storeLoss {
			f.after(storeTimeout, func() { n.step(f, LogRead{Err: errStoreDown}) })
			return
		}
		entries := slices.Clone(f.log[min(int(after), len(f.log)):])
		f.after(f.delay(), func() { n.step(f, LogRead{Entries: entries}) })
	})
}

// append writes an entry unless its index is taken. The call or its reply may be lost.
func (f *fleet) append(n *node, e sequoiatable.Entry) {
	f.storeCalls++
	unknown := Appended{Index: e.Index, Nonce: e.Nonce, Result: AppendUnknown, Err: errStoreDown}
	f.after(f.delay(), func() {
		if !f.storeReachable(n) || f.random.Float64() < f.storeLoss {
			f.after(storeTimeout, func() { n.step(f, unknown) })
			return
		}
		if int(e.Index) == len(f.log)+1 {
			f.log = append(f.log, e)
		}
		stored := f.log[e.Index-1]
		result := Appended{Index: e.Index, Nonce: e.Nonce, Result: AppendLost, Winner: &stored}
		if stored.Writer == e.Writer && stored.Nonce == e.Nonce {
			result.Result = AppendWon
		}
		if f.random.Float64() < f.storeLoss {
			f.after(storeTimeout, func() { n.step(f, unknown) })
			return
		}
		f.after(f.delay(), func() {
			if n.cutStore {
				result = unknown
			}
			n.step(f, result)
		})
	})
}

// renewLease simulates the leases of the store. Every node that can reach the store is notified when a lease has ended.
func (f *fleet) renewLease(n *node, a RenewLease) {
	f.after(f.delay(), func() {
		if !f.storeReachable(n) {
			f.after(storeTimeout, func() { n.step(f, LeaseRenewed{a.Incarnation, a.Sequence, errStoreDown}) })
			return
		}
		end := f.now.Add(DefaultTimings().Lease)
		f.leases[a.Incarnation] = end
		f.after(f.delay(), func() { n.step(f, LeaseRenewed{a.Incarnation, a.Sequence, nil}) })
		f.after(DefaultTimings().Lease, func() {
			for _, other := range f.nodes {
				if f.leases[a.Incarnation].Equal(end) && f.storeReachable(other) {
					other.step(f, LeaseExpired{a.Incarnation})
				}
			}
		})
	})
}

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
	testService = "dispatch"
	testShards  = 12
	tickEvery   = 25 * time.Millisecond
	storeWait   = 300 * time.Millisecond
)

var errStoreDown = errors.New("the store does not answer")

// fleet runs several Cores against one log and one network in simulated time. The same seed gives the same run.
type fleet struct {
	random *rand.Rand
	now    time.Time
	queue  eventQueue
	order  int
	log    []sequoiatable.Entry
	nodes  []*node
	loss   float64
	// storeLoss is the probability that a store call, or its reply, is lost.
	storeLoss float64
	storeDown bool
	// leases holds the end of each store lease.
	leases map[sequoiatable.IncarnationID]time.Time
	tables map[uint64]*sequoiatable.Table
	// reach is the latest moment to which each node may still act on a shard: the lease end under which it last served.
	reach      map[uint32]map[*node]time.Time
	violations []string
	// checkpoints lists the indexes of the written ones. killWriter ends the next process that is to write one.
	checkpoints []uint64
	killWriter  bool
	// regions maps failure domains to regions; those it does not list are in one region.
	regions map[string]string
	// lowRank is the region whose processes come first in the order of identifiers, so that all planners are there.
	lowRank string
	// cut reports whether two nodes cannot reach each other.
	cut    func(a, b *node) bool
	shards uint32
	// sampleEvery is the interval between checks of ownership, zero for a check after each event.
	sampleEvery time.Duration
	unchecked   time.Duration
	// calls counts the calls of the store.
	calls int
	// unserved is the time during which each shard had no owner that serves, since resetUnserved.
	unserved map[uint32]time.Duration
}

// node is one process and its data path.
type node struct {
	core     *Core
	name     int
	domain   string
	addr     netip.AddrPort
	snapshot *Snapshot
	watching bool
	// closed holds the keys of moves between CloseKeys and OpenKeys.
	closed   map[uint64]KeySet
	killed   bool
	paused   bool
	held     []Event
	cutPeers bool
	cutStore bool
	// deaf drops Entries messages, so that the log reaches the node from the store only.
	deaf   bool
	frozen bool
	// mute drops what the node sends to peers; slow is added to the delay of what it receives.
	mute      bool
	slow      time.Duration
	drainTime time.Duration
	// busyTime is how long requests for busyShard take, zero for drainTime.
	busyShard uint32
	busyTime  time.Duration
	closedAll bool
	// identifiers is what KeysDrained carries, installed what InstallMemory brought.
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
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1000, 0),
		reach:    map[uint32]map[*node]time.Time{},
		unserved: map[uint32]time.Duration{},
		leases:   map[sequoiatable.IncarnationID]time.Time{},
		tables:   map[uint64]*sequoiatable.Table{},
		shards:   testShards,
		cut:      func(*node, *node) bool { return false },
	}
}

// start returns a fleet of n processes in the given number of failure domains, with a configured service.
func startFleet(seed uint64, n, domains int, opts ...Option) *fleet {
	f := newFleet(seed)
	f.populate(n, domains, 6*time.Second, opts...)
	return f
}

// populate starts n processes, configures the service and waits.
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
		name: len(f.nodes), domain: domain, drainTime: 20 * time.Millisecond,
		addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+len(f.nodes))),
		closed: map[uint64]KeySet{}, replies: map[uint64]Reply{},
	}
	random := f.random.Uint64
	if f.lowRank != "" && f.regions[domain] == f.lowRank {
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
		f.poll(n)
	}
	f.after(tickEvery, func() { f.tick(n) })
}

// poll is the store's watch.
func (f *fleet) poll(n *node) {
	if n.watching && f.storeAnswers(n) && len(f.log) > int(n.index()) {
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

// run advances the simulated time and checks ownership after each event.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		s := heap.Pop(&f.queue).(scheduled)
		f.check(s.at.Sub(f.now))
		f.now = s.at
		s.run()
	}
	f.check(end.Sub(f.now))
	f.now = end
}

// check finds shards that one node serves while another node's requests for it may still run.
func (f *fleet) check(elapsed time.Duration) {
	f.unchecked += elapsed
	if f.unchecked < f.sampleEvery {
		return
	}
	elapsed = f.unchecked
	f.unchecked = 0
	served := make([]bool, f.shards)
	for _, n := range f.nodes {
		s := n.serving(f.now)
		if s == nil {
			continue
		}
		for shard := range f.shards {
			if s.Shard(shard).Owner == n.snapshot.Self && !n.isClosed(shard) {
				served[shard] = true
				f.serve(n, shard)
			}
		}
	}
	for shard, ok := range served {
		if !ok {
			f.unserved[uint32(shard)] += elapsed
		}
	}
}

func (f *fleet) serve(n *node, shard uint32) {
	reach := f.reach[shard]
	if reach == nil {
		reach = map[*node]time.Time{}
		f.reach[shard] = reach
	}
	for _, other := range f.nodes {
		if other != n && reach[other].After(f.now) {
			f.violations = append(f.violations, fmt.Sprintf("shard %d: node %d serves, node %d may act for %s",
				shard, n.name, other.name, reach[other].Sub(f.now)))
		}
	}
	if n.snapshot.LeaseEnd.After(reach[n]) {
		reach[n] = n.snapshot.LeaseEnd
	}
}

func (f *fleet) resetUnserved() {
	clear(f.unserved)
}

// longestUnserved is the longest total time that any shard was not served.
func (f *fleet) longestUnserved() time.Duration {
	var longest time.Duration
	for _, d := range f.unserved {
		longest = max(longest, d)
	}
	return longest
}

// owners counts the shards that each node serves now.
func (f *fleet) owners() map[int]int {
	counts := map[int]int{}
	for _, n := range f.nodes {
		for shard := range f.shards {
			if n.serves(f.now, shard) {
				counts[n.name]++
			}
		}
	}
	return counts
}

func (f *fleet) served() int {
	total := 0
	for _, n := range f.owners() {
		total += n
	}
	return total
}

// settled is served, after the end of a planned move that may be in progress; it closes its keys for about 50 ms.
func (f *fleet) settled() int {
	for range 20 {
		if f.served() == testShards {
			break
		}
		f.run(10 * time.Millisecond)
	}
	return f.served()
}

func (n *node) index() uint64 {
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Table.Index
}

// serving returns the service's assignments while the node may serve what it owns, else nil.
func (n *node) serving(now time.Time) *sequoiatable.ServiceTable {
	s := n.snapshot
	if n.killed || n.paused || n.frozen || n.stopped || n.closedAll || s == nil || !s.Serves(now) {
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
		n.held = append(n.held, ev)
		return
	}
	for _, a := range n.core.Step(f.now, ev) {
		f.act(n, a)
	}
}

func (n *node) resume(f *fleet) {
	n.paused = false
	held := n.held
	n.held = nil
	for _, ev := range held {
		n.step(f, ev)
	}
}

func (f *fleet) act(n *node, a Action) {
	switch a := a.(type) {
	case Publish:
		if n.snapshot != nil && a.Snapshot.Table.Configuration.Revision < n.snapshot.Table.Configuration.Revision {
			f.violations = append(f.violations, fmt.Sprintf("node %d: the configuration reverts", n.name))
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
			delete(f.reach[shard], n)
		}
	}
	n.step(f, KeysDrained{Move: a.Move, Identifiers: n.identifiers})
}

func (f *fleet) writeCheckpoint(n *node, index uint64) {
	if f.killWriter {
		f.killWriter = false
		n.killed = true
		return
	}
	f.after(f.delay(), func() {
		if !f.storeAnswers(n) {
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
	if n.cutPeers || n.mute || f.random.Float64() < f.loss {
		return
	}
	from := n.core.Self()
	for _, to := range f.nodes {
		if to.addr == a.Addr {
			f.after(f.delay()+to.slow, func() {
				if !to.cutPeers && !f.cut(n, to) && (!to.deaf || a.Message.Entries == nil) {
					to.step(f, Received{From: from, Message: a.Message})
				}
			})
		}
	}
}

func (f *fleet) storeAnswers(n *node) bool {
	return !f.storeDown && !n.cutStore
}

func (f *fleet) read(n *node, after uint64) {
	f.calls++
	f.after(f.delay(), func() {
		if !f.storeAnswers(n) || f.random.Float64() < f.storeLoss {
			f.after(storeWait, func() { n.step(f, LogRead{Err: errStoreDown}) })
			return
		}
		entries := slices.Clone(f.log[min(int(after), len(f.log)):])
		f.after(f.delay(), func() { n.step(f, LogRead{Entries: entries}) })
	})
}

// append writes an entry if there is none at its index. The call or its reply may be lost.
func (f *fleet) append(n *node, e sequoiatable.Entry) {
	f.calls++
	unknown := Appended{Index: e.Index, Nonce: e.Nonce, Result: AppendUnknown, Err: errStoreDown}
	f.after(f.delay(), func() {
		if !f.storeAnswers(n) || f.random.Float64() < f.storeLoss {
			f.after(storeWait, func() { n.step(f, unknown) })
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
			f.after(storeWait, func() { n.step(f, unknown) })
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

// renewLease is the store's side of StoreLeases. Every watching node is told when a lease has ended.
func (f *fleet) renewLease(n *node, a RenewLease) {
	f.after(f.delay(), func() {
		if !f.storeAnswers(n) {
			f.after(storeWait, func() { n.step(f, LeaseRenewed{a.Incarnation, a.Sequence, errStoreDown}) })
			return
		}
		end := f.now.Add(DefaultTimings().Lease)
		f.leases[a.Incarnation] = end
		f.after(f.delay(), func() { n.step(f, LeaseRenewed{a.Incarnation, a.Sequence, nil}) })
		f.after(DefaultTimings().Lease, func() {
			for _, other := range f.nodes {
				if f.leases[a.Incarnation].Equal(end) && f.storeAnswers(other) {
					other.step(f, LeaseExpired{a.Incarnation})
				}
			}
		})
	})
}

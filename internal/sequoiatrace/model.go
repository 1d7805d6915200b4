package sequoiatrace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Times of the model in seconds. A takeover takes the longest time expected after a kill; a planned move adds a store
// write and its distribution to the time that the requests in progress need.
const (
	takeoverSeconds    = 1.4
	plannedMoveSeconds = 0.01
	detectionSeconds   = 0.6
	warmUpSeconds      = 30.0
	// shedAfterSeconds is the wait from which an upstream sheds a request.
	shedAfterSeconds = 5.0
	// windowSeconds is the window of the imbalance figures.
	windowSeconds = 10
	// loadMemorySeconds is the time constant of the measured loads.
	loadMemorySeconds = 10.0
	// failureMemorySeconds is the time after its last failure at which an ejected upstream is tried again.
	failureMemorySeconds = 10.0
	reportedShards       = 32
	reportedKeys         = 8
	// leastListedKeyBusySlots leaves keys out of the list that no parameter of the policy can make hot.
	leastListedKeyBusySlots = 0.02
	// balanceSeconds separates the decisions about balance; it divides the interval between batches of moves.
	balanceSeconds = 5
)

// coldFactor is how much longer the requests of an upstream take at its start.
const coldFactor = 2.0

// server is an upstream of the model. A request takes the slot that is free first and waits for it in order.
type server struct {
	Upstream
	free    []float64
	joined  float64
	leftAt  float64
	lost    bool
	factor  float64
	lies    bool
	lie     float64
	work    float64 // assigned in the current window, in slot seconds
	average float64 // for services not divided by key: measured load
	// pending has the ends of the requests in progress, by the process that sent them.
	pending  [][]float64
	failures int
	failedAt float64
}

func (s *server) id() sequoiatable.IncarnationID {
	return sequoiatable.IncarnationID(s.ID)
}

func (s *server) slowdown(now float64) float64 {
	uptime := now - s.joined
	if uptime >= warmUpSeconds {
		return s.factor
	}
	return s.factor * (coldFactor - (coldFactor-1)*uptime/warmUpSeconds)
}

func (s *server) inFlight(process int, now float64) int {
	s.pending[process] = slices.DeleteFunc(s.pending[process], func(end float64) bool { return end <= now })
	return len(s.pending[process])
}

// model is the state of one run.
type model struct {
	header  *Header
	policy  sequoiaplacement.Policy
	rng     *rand.Rand
	now     float64
	rate    float64
	table   *sequoiatable.Table
	servers []*server
	// cumulative has the sums of the keys' weights.
	cumulative []float64
	hot        map[int]float64
	keyNames   []string
	keyShard   []uint32
	keysOf     []int
	// Loads measured per shard and key, as decaying means of the slots in use.
	shardWork, shardLoad []float64
	keyWork, keyLoad     []float64
	// closedUntil and lastEnd are per shard.
	closedUntil []float64
	lastEnd     []float64
	lastMove    float64
	takeovers   []takeover
	requests    int
	recent      []balanceMoves
	figures     Result
	windows     int
}

// takeover is a lost upstream whose keys get a new owner at a time.
type takeover struct {
	at   float64
	from *server
}

type balanceMoves struct {
	at    float64
	count int
}

func newModel(h *Header, policy sequoiaplacement.Policy) (*model, error) {
	m := &model{
		header: h, policy: policy, rng: rand.New(rand.NewPCG(h.Seed, 1)), table: sequoiatable.New(),
		hot: map[int]float64{}, cumulative: make([]float64, h.Keys), keyNames: make([]string, h.Keys),
		keyShard: make([]uint32, h.Keys), keysOf: make([]int, h.Shards),
		shardWork: make([]float64, h.Shards), shardLoad: make([]float64, h.Shards),
		keyWork: make([]float64, h.Keys), keyLoad: make([]float64, h.Keys),
		closedUntil: make([]float64, h.Shards), lastEnd: make([]float64, h.Shards), lastMove: -3600,
	}
	m.figures.Policy = policy.Name
	sum := 0.0
	for k := range h.Keys {
		sum += 1 / float64(k+10)
		m.cumulative[k] = sum
		m.keyNames[k] = "key-" + strconv.Itoa(k)
		m.keyShard[k] = sequoiatable.ShardOf(m.keyNames[k], h.Shards)
		m.keysOf[m.keyShard[k]]++
	}
	services := []sequoiatable.ServiceConfig{{Name: h.Service, Shards: h.Shards, Divided: h.Divided}}
	if err := m.apply(0, sequoiatable.Change{SetConfiguration: &sequoiatable.SetConfiguration{Services: services}}); err != nil {
		return nil, err
	}
	for _, u := range h.Upstreams {
		joined := -3600.0
		if h.Cold {
			joined = 0
		}
		if err := m.join(u, joined); err != nil {
			return nil, err
		}
	}
	moves := policy.Place(m.input(), 0, m.owned(0), nil)
	return m, m.carryOut(moves, sequoiatable.AssignInitial)
}

func (m *model) apply(writer sequoiatable.IncarnationID, c sequoiatable.Change) error {
	next, refused, err := m.table.Apply(sequoiatable.Entry{
		Index: m.table.Index + 1, Writer: writer, Changes: []sequoiatable.Change{c},
	})
	if err != nil {
		return err
	}
	if len(refused) > 0 {
		return errors.Wrapf(refused[0].Err, "%s at %.1f s", m.policy.Name, m.now)
	}
	m.table = next
	return nil
}

func (m *model) service() *sequoiatable.ServiceTable {
	return m.table.Service(m.header.Service)
}

func (m *model) join(u Upstream, at float64) error {
	s := &server{Upstream: u, free: make([]float64, u.Slots), joined: at, factor: 1, pending: make([][]float64, len(m.header.Upstreams))}
	m.servers = append(m.servers, s)
	return m.apply(s.id(), sequoiatable.Change{Join: &sequoiatable.Join{
		Member: sequoiatable.Member{Incarnation: s.id(), Service: m.header.Service, Slots: u.Slots},
	}})
}

func (m *model) server(id sequoiatable.IncarnationID) *server {
	i := slices.IndexFunc(m.servers, func(s *server) bool { return s.id() == id })
	if i < 0 {
		return nil
	}
	return m.servers[i]
}

func (m *model) live() []*server {
	var live []*server
	for _, s := range m.servers {
		if !s.lost && s.leftAt == 0 {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

func (m *model) owned(id sequoiatable.IncarnationID) []uint32 {
	var shards []uint32
	for n := range m.header.Shards {
		if m.service().Shard(n).Owner == id {
			shards = append(shards, n)
		}
	}
	return shards
}

func (m *model) ownedKeys(id sequoiatable.IncarnationID) []string {
	var keys []string
	for _, k := range m.service().HotKeys() {
		if a, _ := m.service().HotKey(k); a.Owner == id {
			keys = append(keys, k)
		}
	}
	return keys
}

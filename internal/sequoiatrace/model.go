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

// Parameters of the model. A takeover takes the longest time expected after a process is killed. A planned move waits
// for the requests in progress and then takes plannedMoveSeconds for the store write and its distribution.
const (
	takeoverSeconds    = 1.4
	plannedMoveSeconds = 0.01
	detectionSeconds   = 0.6
	warmUpSeconds      = 30.0
	// shedAfterSeconds is the queueing time above which an upstream sheds a request.
	shedAfterSeconds = 5.0
	// windowSeconds is the length of the windows over which imbalance is measured.
	windowSeconds = 10
	// loadTimeConstantSeconds is the time constant of the exponential averages of the loads.
	loadTimeConstantSeconds = 10.0
	// ejectionSeconds is the time after its last failure until an ejected upstream is tried again.
	ejectionSeconds   = 10.0
	maxReportedShards = 32
	maxReportedKeys   = 8
	// minReportedKeyBusySlots is the load below which a key is not reported. No setting of the policy treats such a key
	// as hot.
	minReportedKeyBusySlots = 0.02
	// balanceIntervalSeconds is the interval of balancing decisions. It divides the interval between batches of moves.
	balanceIntervalSeconds = 5
)

// coldStartFactor is the factor by which requests take longer on an upstream that has just started.
const coldStartFactor = 2.0

// server is a simulated upstream. A request is queued for the slot that becomes free first, in order of arrival.
type server struct {
	Upstream
	slotFreeAt           []float64
	joinedAt             float64
	leftAt               float64
	lost                 bool
	slowFactor           float64
	misreports           bool
	misreportedBusySlots float64
	windowWork           float64 // work assigned in the current window, in slot-seconds
	windowBusySlots      float64 // busy slots over the previous window; the load of services that are not divided by key
	// requestEnds has the end times of the requests in progress, indexed by the process that sent them.
	requestEnds [][]float64
	failures    int
	failedAt    float64
}

func (s *server) id() sequoiatable.IncarnationID {
	return sequoiatable.IncarnationID(s.ID)
}

func (s *server) slowdown(now float64) float64 {
	uptime := now - s.joinedAt
	if uptime >= warmUpSeconds {
		return s.slowFactor
	}
	return s.slowFactor * (coldStartFactor - (coldStartFactor-1)*uptime/warmUpSeconds)
}

func (s *server) inFlight(process int, now float64) int {
	s.requestEnds[process] = slices.DeleteFunc(s.requestEnds[process], func(end float64) bool { return end <= now })
	return len(s.requestEnds[process])
}

// model is the state of the replay of a trace under one policy.
type model struct {
	header  *Header
	policy  sequoiaplacement.Policy
	rng     *rand.Rand
	now     float64
	rate    float64
	table   *sequoiatable.Table
	servers []*server
	// cumulativeWeights has the running sums of the keys' weights.
	cumulativeWeights []float64
	hotKeyShares      map[int]float64
	keyNames          []string
	shardOfKey        []uint32
	keysPerShard      []int
	// shardLoad and keyLoad are exponential averages of the busy slots. shardWork and keyWork are the work since the
	// last update, in slot-seconds.
	shardWork, shardLoad []float64
	keyWork, keyLoad     []float64
	// closedUntil and lastRequestEnd are indexed by shard.
	closedUntil      []float64
	lastRequestEnd   []float64
	lastMove         float64
	pendingTakeovers []pendingTakeover
	requests         int
	recentMoves      []balanceMoves
	totals           Result
	windows          int
}

// pendingTakeover is a lost upstream whose keys are reassigned at dueAt.
type pendingTakeover struct {
	dueAt float64
	lost  *server
}

// balanceMoves is the number of moves of one balancing decision.
type balanceMoves struct {
	at    float64
	count int
}

func newModel(h *Header, policy sequoiaplacement.Policy) (*model, error) {
	m := &model{
		header: h, policy: policy, rng: rand.New(rand.NewPCG(h.Seed, 1)), table: sequoiatable.New(),
		hotKeyShares: map[int]float64{}, cumulativeWeights: make([]float64, h.Keys), keyNames: make([]string, h.Keys),
		shardOfKey: make([]uint32, h.Keys), keysPerShard: make([]int, h.Shards),
		shardWork: make([]float64, h.Shards), shardLoad: make([]float64, h.Shards),
		keyWork: make([]float64, h.Keys), keyLoad: make([]float64, h.Keys),
		closedUntil: make([]float64, h.Shards), lastRequestEnd: make([]float64, h.Shards), lastMove: -3600,
	}
	m.totals.Policy = policy.Name
	sum := 0.0
	for k := range h.Keys {
		sum += 1 / float64(k+10)
		m.cumulativeWeights[k] = sum
		m.keyNames[k] = "key-" + strconv.Itoa(k)
		m.shardOfKey[k] = sequoiatable.ShardOf(m.keyNames[k], h.Shards)
		m.keysPerShard[m.shardOfKey[k]]++
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
	moves := policy.Place(m.placementInput(), 0, m.ownedShards(0), nil)
	return m, m.applyMoves(moves, sequoiatable.AssignInitial)
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
	s := &server{Upstream: u, slotFreeAt: make([]float64, u.Slots), joinedAt: at, slowFactor: 1, requestEnds: make([][]float64, len(m.header.Upstreams))}
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

func (m *model) liveServers() []*server {
	var live []*server
	for _, s := range m.servers {
		if !s.lost && s.leftAt == 0 {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

func (m *model) ownedShards(id sequoiatable.IncarnationID) []uint32 {
	var shards []uint32
	for n := range m.header.Shards {
		if m.service().Shard(n).Owner == id {
			shards = append(shards, n)
		}
	}
	return shards
}

func (m *model) ownedHotKeys(id sequoiatable.IncarnationID) []string {
	var keys []string
	for _, k := range m.service().HotKeys() {
		if a, _ := m.service().HotKey(k); a.Owner == id {
			keys = append(keys, k)
		}
	}
	return keys
}

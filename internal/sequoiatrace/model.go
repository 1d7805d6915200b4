package sequoiatrace

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

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

// input describes the live upstreams. Loads are exact decaying means, so the figures show the decisions and not the
// errors of a measurement.
func (m *model) input() sequoiaplacement.Input {
	in := sequoiaplacement.Input{
		Table: m.service(), SinceLastMove: time.Duration((m.now - m.lastMove) * float64(time.Second)),
	}
	for _, s := range m.live() {
		u := sequoiaplacement.Upstream{
			Incarnation: s.id(), FailureDomain: s.FailureDomain, Slots: s.Slots, LoadAge: time.Second,
			Uptime: time.Duration((m.now - s.joined) * float64(time.Second)), BusySlots: s.average,
			HasReport: true, ReportedBusySlots: s.average,
		}
		if m.header.Divided {
			m.addLoads(&u)
		}
		if s.lies {
			u.ReportedBusySlots = s.lie
		}
		in.Upstreams = append(in.Upstreams, u)
	}
	return in
}

func (m *model) addLoads(u *sequoiaplacement.Upstream) {
	table := m.service()
	var keys []int
	total := 0.0
	for k := range m.keyLoad {
		if m.keyLoad[k] > 0 && m.ownerOf(table, k) == u.Incarnation {
			total += m.keyLoad[k]
			if m.keyLoad[k] >= leastListedKeyBusySlots {
				keys = append(keys, k)
			}
		}
	}
	slices.SortFunc(keys, func(a, b int) int { return cmp.Or(cmp.Compare(m.keyLoad[b], m.keyLoad[a]), cmp.Compare(a, b)) })
	listed := map[uint32]float64{}
	for _, k := range keys[:min(len(keys), reportedKeys)] {
		u.Keys = append(u.Keys, sequoiaplacement.KeyLoad{Key: m.keyNames[k], BusySlots: m.keyLoad[k]})
		listed[m.keyShard[k]] += m.keyLoad[k]
	}
	var shards []sequoiaplacement.ShardLoad
	for _, n := range m.owned(u.Incarnation) {
		shards = append(shards, sequoiaplacement.ShardLoad{Shard: n, BusySlots: max(0, m.shardLoad[n]-listed[n])})
	}
	slices.SortStableFunc(shards, func(a, b sequoiaplacement.ShardLoad) int { return cmp.Compare(b.BusySlots, a.BusySlots) })
	u.Shards = shards[:min(len(shards), reportedShards)]
	u.BusySlots, u.ReportedBusySlots = total, total
}

// ownerOf is ServiceTable.Lookup without hashing the key again.
func (m *model) ownerOf(table *sequoiatable.ServiceTable, key int) sequoiatable.IncarnationID {
	if a, ok := table.HotKey(m.keyNames[key]); ok {
		return a.Owner
	}
	return table.Shard(m.keyShard[key]).Owner
}

// carryOut applies moves and closes their shards for the time that a move of the kind takes.
func (m *model) carryOut(moves []sequoiaplacement.Move, kind sequoiatable.AssignKind) error {
	for _, mv := range moves {
		if mv.From == mv.To {
			// Ends an assignment of a key without a change of owner.
			continue
		}
		writer := mv.From
		if kind == sequoiatable.AssignTakeover {
			writer = mv.To
		}
		if err := m.apply(writer, sequoiatable.Change{Assign: &sequoiatable.Assign{
			Service: m.header.Service, Kind: kind, From: mv.From, To: mv.To, Shards: mv.Shards, Keys: mv.Keys, Reason: mv.Reason,
		}}); err != nil {
			return err
		}
		if kind != sequoiatable.AssignInitial {
			m.countMoves(mv, kind)
		}
	}
	return nil
}

func (m *model) countMoves(mv sequoiaplacement.Move, kind sequoiatable.AssignKind) {
	m.figures.Moves += len(mv.Shards) + len(mv.Keys)
	for _, n := range mv.Shards {
		m.figures.keysMoved += m.keysOf[n]
		if kind == sequoiatable.AssignPlanned {
			m.close(n, float64(m.keysOf[n]), max(0, m.lastEnd[n]-m.now)+plannedMoveSeconds)
		}
	}
	for _, k := range mv.Keys {
		m.figures.keysMoved++
		if kind == sequoiatable.AssignPlanned {
			n := sequoiatable.ShardOf(k, m.header.Shards)
			m.unavailable(1, max(0, m.lastEnd[n]-m.now)+plannedMoveSeconds)
		}
	}
}

func (m *model) close(shard uint32, keys, seconds float64) {
	m.closedUntil[shard] = max(m.closedUntil[shard], m.now+seconds)
	m.unavailable(keys, seconds)
}

func (m *model) unavailable(keys, seconds float64) {
	if !m.header.Divided {
		// Any upstream serves requests without a key, so a move interrupts none.
		return
	}
	m.figures.UnavailableKeySeconds += keys * seconds
	m.figures.LongestUnavailableSeconds = max(m.figures.LongestUnavailableSeconds, seconds)
}

// handle carries out an event of the trace.
func (m *model) handle(e *Event) error {
	switch e.Kind {
	case KindRate:
		m.rate = e.PerSecond
	case KindHotKey:
		m.hot[e.Key] = e.Share
	case KindSlow:
		m.server(sequoiatable.IncarnationID(e.Upstream.ID)).factor = e.Factor
	case KindLie:
		s := m.server(sequoiatable.IncarnationID(e.Upstream.ID))
		s.lies, s.lie = true, e.ReportedBusySlots
	case KindJoin:
		if err := m.join(*e.Upstream, m.now); err != nil {
			return err
		}
		m.figures.fewest += m.shareOf(e.Upstream.Slots)
	case KindLeave:
		return m.leave(m.server(sequoiatable.IncarnationID(e.Upstream.ID)))
	case KindLoseDomain:
		return m.loseDomain(e.FailureDomain)
	}
	return nil
}

func (m *model) shareOf(slots int) int {
	total := 0
	for _, s := range m.live() {
		total += s.Slots
	}
	return int(m.header.Shards) * slots / total
}

func (m *model) leave(s *server) error {
	s.leftAt = m.now
	if len(m.live()) == 0 {
		return errors.Wrap(ErrTrace, "the last upstream leaves")
	}
	shards, keys := m.owned(s.id()), m.ownedKeys(s.id())
	m.figures.fewest += len(shards) + len(keys)
	return m.carryOut(m.policy.Place(m.input(), s.id(), shards, keys), sequoiatable.AssignPlanned)
}

func (m *model) loseDomain(domain string) error {
	for _, s := range m.live() {
		if s.FailureDomain != domain {
			continue
		}
		s.lost = true
		m.takeovers = append(m.takeovers, takeover{at: m.now + takeoverSeconds, from: s})
		shards, keys := m.owned(s.id()), m.ownedKeys(s.id())
		m.figures.fewest += len(shards) + len(keys)
		for _, n := range shards {
			m.close(n, float64(m.keysOf[n]), takeoverSeconds)
		}
		m.unavailable(float64(len(keys)), takeoverSeconds)
		if err := m.apply(s.id(), sequoiatable.Change{Revoke: &sequoiatable.Revoke{Incarnation: s.id(), Reason: "Lost"}}); err != nil {
			return err
		}
	}
	if len(m.live()) == 0 {
		return errors.Wrap(ErrTrace, "all upstreams are lost")
	}
	return nil
}

func (m *model) takeOver() error {
	for len(m.takeovers) > 0 && m.takeovers[0].at <= m.now {
		lost := m.takeovers[0].from
		m.takeovers = m.takeovers[1:]
		in := m.input()
		in.AvoidFailureDomain = lost.FailureDomain
		moves := m.policy.Place(in, lost.id(), m.owned(lost.id()), m.ownedKeys(lost.id()))
		if err := m.carryOut(moves, sequoiatable.AssignTakeover); err != nil {
			return err
		}
	}
	return nil
}

// balance asks the policy for moves, but not between a loss and its takeover, when the owners of the lost
// keys are not settled.
func (m *model) balance() error {
	if len(m.takeovers) > 0 {
		return nil
	}
	moves := m.policy.Balance(m.input())
	count := 0
	for _, mv := range moves {
		if mv.From != mv.To {
			count += len(mv.Shards) + len(mv.Keys)
		}
	}
	if count == 0 {
		return nil
	}
	m.lastMove = m.now
	m.recent = append(m.recent, balanceMoves{at: m.now, count: count})
	inMinute := 0
	for _, r := range m.recent {
		if r.at > m.now-60 {
			inMinute += r.count
		}
	}
	m.figures.MostMovesPerMinute = max(m.figures.MostMovesPerMinute, inMinute)
	return m.carryOut(moves, sequoiatable.AssignPlanned)
}

// request runs the next request of the service.
func (m *model) request() {
	m.requests++
	key := m.drawKey()
	duration := m.rng.ExpFloat64() * m.header.RequestSeconds
	process := m.rng.IntN(len(m.header.Upstreams))
	if !m.header.Divided {
		m.chooseAndRun(process, duration)
		return
	}
	shard := m.keyShard[key]
	s := m.server(m.ownerOf(m.service(), key))
	if s == nil || s.lost {
		m.figures.Failed++
		return
	}
	if s.leftAt > 0 {
		m.figures.DepartureSeconds = max(m.figures.DepartureSeconds, m.now-s.leftAt)
	}
	end, work, ok := m.run(s, process, max(m.now, m.closedUntil[shard]), duration)
	if !ok {
		return
	}
	m.lastEnd[shard] = max(m.lastEnd[shard], end)
	m.keyWork[key] += work
	m.shardWork[shard] += work
}

func (m *model) drawKey() int {
	at := m.rng.Float64()
	for _, k := range m.hotKeys() {
		if at < m.hot[k] {
			return k
		}
		at -= m.hot[k]
	}
	x := m.rng.Float64() * m.cumulative[len(m.cumulative)-1]
	k, _ := slices.BinarySearch(m.cumulative, x)
	return min(k, len(m.cumulative)-1)
}

func (m *model) hotKeys() []int {
	if len(m.hot) == 0 {
		return nil
	}
	keys := make([]int, 0, len(m.hot))
	for k := range m.hot {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// chooseAndRun sends a request without a key to the upstream that the policy chooses. A lost one is still chosen until
// its loss is detected.
func (m *model) chooseAndRun(process int, duration float64) {
	var candidates []sequoiaplacement.Candidate
	var servers []*server
	for _, s := range m.servers {
		detected := s.lost && !slices.ContainsFunc(m.takeovers, func(t takeover) bool {
			return t.from == s && m.now < t.at-takeoverSeconds+detectionSeconds
		})
		if detected || s.leftAt > 0 {
			continue
		}
		if m.now > s.failedAt+failureMemorySeconds {
			s.failures = 0
		}
		servers = append(servers, s)
		candidates = append(candidates, sequoiaplacement.Candidate{
			Incarnation: s.id(), Slots: s.Slots, InFlight: s.inFlight(process, m.now), Failures: s.failures,
			Uptime: time.Duration((m.now - s.joined) * float64(time.Second)),
		})
	}
	s := servers[m.policy.Choose(m.rng, candidates, m.requests)]
	if s.lost {
		s.failures++
		s.failedAt = m.now
		m.figures.Failed++
		return
	}
	if _, _, ok := m.run(s, process, m.now, duration); !ok {
		s.failures++
		s.failedAt = m.now
		return
	}
	s.failures = 0
}

// run gives a request the first free slot from the time at which it may start.
func (m *model) run(s *server, process int, from, duration float64) (end, work float64, ok bool) {
	slot := 0
	for i := range s.free {
		if s.free[i] < s.free[slot] {
			slot = i
		}
	}
	start := max(from, s.free[slot])
	work = duration * s.slowdown(m.now)
	// Work that is shed counts too: it is load that the upstream was given.
	s.work += work
	if start-m.now > shedAfterSeconds {
		m.figures.Shed++
		return 0, 0, false
	}
	end = start + work
	s.free[slot] = end
	if !m.header.Divided {
		s.pending[process] = append(s.pending[process], end)
	}
	return end, work, true
}

// measure updates the measured loads once a second.
func (m *model) measure() {
	keep := math.Exp(-1 / loadMemorySeconds)
	for n := range m.shardLoad {
		m.shardLoad[n] = m.shardLoad[n]*keep + m.shardWork[n]*(1-keep)
		m.shardWork[n] = 0
	}
	for k := range m.keyLoad {
		m.keyLoad[k] = m.keyLoad[k]*keep + m.keyWork[k]*(1-keep)
		m.keyWork[k] = 0
	}
}

// window adds the imbalance of the last window to the figures.
func (m *model) window() {
	live := m.live()
	sum, peak, squares := 0.0, 0.0, 0.0
	for _, s := range live {
		u := s.work / windowSeconds / float64(s.Slots)
		s.average = s.work / windowSeconds
		sum += u
		squares += u * u
		peak = max(peak, u)
	}
	for _, s := range m.servers {
		s.work = 0
	}
	mean := sum / float64(len(live))
	if mean == 0 {
		return
	}
	m.windows++
	m.figures.PeakOverMean += peak / mean
	m.figures.Variation += math.Sqrt(max(0, squares/float64(len(live))-mean*mean)) / mean
	if peak > 1 {
		m.figures.OverloadedSeconds += windowSeconds
	}
}

package sequoiameasure

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// The shape of the simulated system.
const (
	simulatedService = "dispatch"
	shardsEach       = 64
	simulatedDomains = 11
	simulatedRegions = 5
	simulatedSlots   = 6
	hotKeys          = 170
	// simulatedTick is the interval of the ticks of a process.
	simulatedTick = 25 * time.Millisecond
	// renewInterval is that of the control protocol.
	renewInterval = 250 * time.Millisecond
	// Lists of a load report are as long as the router makes them.
	reportedItems = 16
	// busyItem is the load of each reported key and shard.
	busyItem = 0.01
)

// errTable reports a simulated table that was not built as intended.
var errTable = errors.New("the simulated table is not complete")

// system is a simulated system at a moment at which every shard has an owner and every member its witnesses.
type system struct {
	n     int
	table *sequoiatable.Table
}

// member returns the incarnation of the i-th member. Identifiers are as long as random ones, and their order is that
// of i, so that the first member plans and the last one does not.
func member(i int) sequoiatable.IncarnationID {
	return sequoiatable.IncarnationID(math.MaxUint64/2 + uint64(i+1)*1_000_003)
}

func describe(i int) sequoiatable.Member {
	domain := i % simulatedDomains
	region := domain % simulatedRegions
	host := netip.AddrFrom4([4]byte{10, byte(domain), byte(i >> 8), byte(i)})
	return sequoiatable.Member{
		Incarnation: member(i), Instance: fmt.Sprintf("instance-%04d", i),
		Region: fmt.Sprintf("region-%d", region), FailureDomain: fmt.Sprintf("region-%d-domain-%02d", region, domain),
		Service: simulatedService, Slots: simulatedSlots, Control: netip.AddrPortFrom(host, 7001),
		Forward: netip.AddrPortFrom(host, 7002), HTTP: netip.AddrPortFrom(host, 7003),
	}
}

// witnessesOf returns 3 members of other failure domains.
func (s *system) witnessesOf(i int) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	domains := []int{i % simulatedDomains}
	for j := i + 1; len(ids) < 3; j++ {
		k := j % s.n
		if slices.Contains(domains, k%simulatedDomains) {
			continue
		}
		domains = append(domains, k%simulatedDomains)
		ids = append(ids, member(k))
	}
	return ids
}

// witnessedBy returns the holders that name the i-th member.
func (s *system) witnessedBy(i int) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	for _, id := range s.table.Members() {
		if slices.Contains(s.table.Member(id).Witnesses, member(i)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// ownerOf returns the position of the owner of a shard. Shards of one owner are not neighbours, as after a while of
// balancing and takeovers.
func (s *system) ownerOf(shard uint32) int {
	return int(shard) % s.n
}

// newSystem builds the table of n members by applying entries.
func newSystem(n int) (*system, error) {
	s := &system{n: n, table: sequoiatable.New()}
	shards := uint32(n * shardsEach)
	err := s.apply(member(0), sequoiatable.Change{SetConfiguration: &sequoiatable.SetConfiguration{
		Document: []byte("{}"),
		Services: []sequoiatable.ServiceConfig{{Name: simulatedService, Shards: shards, Divided: true}},
	}})
	for i := 0; i < n && err == nil; i++ {
		err = s.apply(member(i), sequoiatable.Change{Join: &sequoiatable.Join{Member: describe(i)}})
	}
	for i := 0; i < n && err == nil; i++ {
		err = s.apply(member(i), sequoiatable.Change{SetWitnesses: &sequoiatable.SetWitnesses{
			Holder: member(i), Witnesses: s.witnessesOf(i),
		}})
	}
	assigns := make([]sequoiatable.Change, n)
	for i := range assigns {
		assigns[i].Assign = &sequoiatable.Assign{Service: simulatedService, Kind: sequoiatable.AssignInitial, To: member(i)}
	}
	for shard := range shards {
		a := assigns[s.ownerOf(shard)].Assign
		a.Shards = append(a.Shards, shard)
	}
	if err == nil {
		err = s.apply(member(0), assigns...)
	}
	for k := 0; k < hotKeys && err == nil; k++ {
		key := fmt.Sprintf("booking-%08d", k)
		from := s.table.Service(simulatedService).Lookup(key).Owner
		to := member(k % n)
		err = s.apply(from, sequoiatable.Change{Assign: &sequoiatable.Assign{
			Service: simulatedService, Kind: sequoiatable.AssignPlanned, From: from, To: to, Keys: []string{key},
		}})
	}
	return s, err
}

func (s *system) apply(writer sequoiatable.IncarnationID, changes ...sequoiatable.Change) error {
	e := sequoiatable.Entry{Index: s.table.Index + 1, Writer: writer, Changes: changes}
	next, refused, err := s.table.Apply(e)
	if err != nil {
		return err
	}
	if len(refused) > 0 {
		return errors.Wrapf(errTable, "entry %d: %v", e.Index, refused[0].Err)
	}
	s.table = next
	return nil
}

// loadReport returns a report of the i-th member as long as the router makes them.
func loadReport(s *system, i int) sequoiacontrol.Load {
	l := sequoiacontrol.Load{
		Incarnation: member(i), Service: simulatedService, BusySlots: 2.345678, HasReport: true,
		ReportedBusySlots: 2.456789, Slots: simulatedSlots, Requests: 3684.2105,
	}
	for k := range reportedItems {
		l.Keys = append(l.Keys, sequoiaplacement.KeyLoad{Key: fmt.Sprintf("booking-%08d", i*reportedItems+k), BusySlots: busyItem + float64(k)/1e5})
		l.Shards = append(l.Shards, sequoiaplacement.ShardLoad{Shard: uint32(i + k*s.n), BusySlots: busyItem + float64(k)/1e5})
	}
	return l
}

// simulation drives the core and the router of one member of a system whose other members answer at once and whose
// store answers at the next tick. Only the processor time of the member is of interest; that of the driver is a small
// part of it.
type simulation struct {
	s      *system
	i      int
	now    time.Time
	core   *sequoiacontrol.Core
	router *sequoiarouter.Router
	// holders are the members that this one is a witness of.
	holders  []sequoiatable.IncarnationID
	appends  []sequoiatable.Entry
	written  []sequoiatable.Entry
	renewed  time.Time
	messages int
	sequence uint64
	last     *sequoiacontrol.Snapshot
}

// simulate starts the core of the i-th member with the system's table.
func simulate(s *system, i int) *simulation {
	next := uint64(member(i))
	sim := &simulation{
		s: s, i: i, now: time.Unix(1_000_000, 0), router: sequoiarouter.New(), holders: s.witnessedBy(i),
		core: sequoiacontrol.New(
			sequoiacontrol.WithMember(describe(i)),
			sequoiacontrol.WithRandom(func() uint64 { next++; return next - 1 }),
		),
	}
	sim.step(sequoiacontrol.Upstream{Service: simulatedService, Slots: simulatedSlots})
	sim.step(sequoiacontrol.LogRead{Checkpoint: s.table})
	return sim
}

func (sim *simulation) step(ev sequoiacontrol.Event) {
	for _, a := range sim.core.Step(sim.now, ev) {
		sim.act(a)
	}
}

func (sim *simulation) act(a sequoiacontrol.Action) {
	switch a := a.(type) {
	case sequoiacontrol.Publish:
		sim.last = a.Snapshot
		sim.router.Publish(sim.now, a.Snapshot)
	case sequoiacontrol.Append:
		sim.appends = append(sim.appends, a.Entry)
	case sequoiacontrol.Send:
		sim.messages++
		sim.answer(a)
	}
}

// answer plays the receiver of a message.
func (sim *simulation) answer(a sequoiacontrol.Send) {
	reply := sequoiacontrol.Message{LogIndex: sim.last.Table.Index}
	switch m := a.Message; {
	case m.Renew != nil:
		reply.Renewed = &sequoiacontrol.Renewed{Holder: m.Renew.Holder, Witness: m.Renew.Witness, Sequence: m.Renew.Sequence}
	case m.Promise != nil:
		p := m.Promise
		reply.Promised = &sequoiacontrol.Promised{Holder: p.Holder, Witness: p.Witness, RevokeIndex: p.RevokeIndex}
	default:
		return
	}
	sim.step(sequoiacontrol.Received{From: a.To, Message: reply})
}

// tick advances the time by one tick.
func (sim *simulation) tick() {
	sim.now = sim.now.Add(simulatedTick)
	due := sim.appends
	sim.appends = nil
	for _, e := range due {
		sim.written = append(sim.written, e)
		sim.step(sequoiacontrol.Appended{Index: e.Index, Nonce: e.Nonce, Result: sequoiacontrol.AppendWon})
	}
	if sim.now.Sub(sim.renewed) >= renewInterval {
		sim.renewed = sim.now
		sim.sequence++
		for _, id := range sim.holders {
			sim.step(sequoiacontrol.Received{From: id, Message: sequoiacontrol.Message{
				LogIndex: sim.last.Table.Index,
				Renew:    &sequoiacontrol.Renew{Holder: id, Witness: member(sim.i), Sequence: sim.sequence},
			}})
		}
	}
	sim.step(sequoiacontrol.Tick{})
	sim.router.Tick(sim.now)
}

// run advances the time by d.
func (sim *simulation) run(d time.Duration) {
	for range int(d / simulatedTick) {
		sim.tick()
	}
}

// runPlanner advances the time by d while load reports arrive at the designed interval.
func (sim *simulation) runPlanner(d time.Duration, interval time.Duration) {
	each := float64(sim.s.n) * simulatedTick.Seconds() / interval.Seconds()
	due, next := 0.0, 0
	for range int(d / simulatedTick) {
		sim.tick()
		for due += each; due >= 1; due-- {
			sim.report(next)
			next = (next + 1) % sim.s.n
		}
	}
}

// report delivers the load report of the i-th member.
func (sim *simulation) report(i int) {
	sim.step(sequoiacontrol.Received{From: member(i), Message: sequoiacontrol.Message{
		LogIndex: sim.last.Table.Index, LoadReport: &sequoiacontrol.LoadReport{Load: loadReport(sim.s, i)},
	}})
}

// append delivers an entry that another member wrote.
func (sim *simulation) append(writer sequoiatable.IncarnationID, changes ...sequoiatable.Change) sequoiatable.Entry {
	e := sequoiatable.Entry{Index: sim.last.Table.Index + 1, Writer: writer, Nonce: math.MaxUint64 / 3, Changes: changes}
	sim.step(sequoiacontrol.LogRead{Entries: []sequoiatable.Entry{e}})
	return e
}

// lostDomain returns the positions of the members of the failure domain of the i-th one.
func (s *system) lostDomain(i int) []int {
	var lost []int
	for k := i % simulatedDomains; k < s.n; k += simulatedDomains {
		lost = append(lost, k)
	}
	return lost
}

// reportInterval is the interval of load reports in the design.
func (s *system) reportInterval() time.Duration {
	const reportBytes, bytesPerSecond = 100, 8 << 10
	return max(time.Second, time.Duration(s.n)*reportBytes*time.Second/bytesPerSecond)
}

// largest returns the size of the longest encoding and the number of entries that the codec refuses, as it does those
// longer than a value of the store.
func largest(entries []sequoiatable.Entry) (size, refused int, err error) {
	for _, e := range entries {
		data, err := cbor.Marshal(e)
		if err != nil {
			return 0, 0, errors.Wrap(err, "encode an entry")
		}
		size = max(size, len(data))
		if _, err := sequoiatable.EncodeEntry(e); err != nil {
			refused++
		}
	}
	return size, refused, nil
}

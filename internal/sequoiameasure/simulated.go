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

// Parameters of the simulated system.
const (
	simulatedService = "dispatch"
	shardsPerMember  = 64
	simulatedDomains = 11
	simulatedRegions = 5
	simulatedSlots   = 6
	hotKeyCount      = 170
	// simulatedTick is the tick interval of a process.
	simulatedTick = 25 * time.Millisecond
	// renewInterval is the interval at which holders renew their leases in the control protocol.
	renewInterval = 250 * time.Millisecond
	// itemsPerLoadReport is the length of the key and shard lists of a load report, as in the router's reports.
	itemsPerLoadReport = 16
	// reportedItemBusySlots is the approximate load of each reported key and shard.
	reportedItemBusySlots = 0.01
)

// errIncompleteTable reports a simulated table that could not be built, or a takeover that did not finish.
var errIncompleteTable = errors.New("the simulated table is not complete")

// system is a simulated system in which every shard has an owner and every member has its witnesses.
type system struct {
	members int
	table   *sequoiatable.Table
}

// incarnationOf returns the incarnation ID of the i-th member. IDs are encoded in as many bytes as random ones and
// ascend with i, so that the first member is the planner and the last one is not.
func incarnationOf(i int) sequoiatable.IncarnationID {
	return sequoiatable.IncarnationID(math.MaxUint64/2 + uint64(i+1)*1_000_003)
}

func newMember(i int) sequoiatable.Member {
	domain := i % simulatedDomains
	region := domain % simulatedRegions
	host := netip.AddrFrom4([4]byte{10, byte(domain), byte(i >> 8), byte(i)})
	return sequoiatable.Member{
		Incarnation: incarnationOf(i), Instance: fmt.Sprintf("instance-%04d", i),
		Region: fmt.Sprintf("region-%d", region), FailureDomain: fmt.Sprintf("region-%d-domain-%02d", region, domain),
		Service: simulatedService, Slots: simulatedSlots, Control: netip.AddrPortFrom(host, 7001),
		Forward: netip.AddrPortFrom(host, 7002), HTTP: netip.AddrPortFrom(host, 7003),
	}
}

// witnessesOf returns 3 members of different failure domains, none of them that of the i-th member.
func (s *system) witnessesOf(i int) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	domains := []int{i % simulatedDomains}
	for j := i + 1; len(ids) < 3; j++ {
		k := j % s.members
		if slices.Contains(domains, k%simulatedDomains) {
			continue
		}
		domains = append(domains, k%simulatedDomains)
		ids = append(ids, incarnationOf(k))
	}
	return ids
}

// witnessedBy returns the holders that have the i-th member as a witness.
func (s *system) witnessedBy(i int) []sequoiatable.IncarnationID {
	var ids []sequoiatable.IncarnationID
	for _, id := range s.table.Members() {
		if slices.Contains(s.table.Member(id).Witnesses, incarnationOf(i)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// ownerOf returns the index of the member that owns a shard. The shards of a member are not adjacent, as is typical
// after balancing and takeovers.
func (s *system) ownerOf(shard uint32) int {
	return int(shard) % s.members
}

// newSystem builds the table of a system of n members by applying entries.
func newSystem(n int) (*system, error) {
	s := &system{members: n, table: sequoiatable.New()}
	shards := uint32(n * shardsPerMember)
	err := s.applyEntry(incarnationOf(0), sequoiatable.Change{SetConfiguration: &sequoiatable.SetConfiguration{
		Document: []byte("{}"),
		Services: []sequoiatable.ServiceConfig{{Name: simulatedService, Shards: shards, Divided: true}},
	}})
	for i := 0; i < n && err == nil; i++ {
		err = s.applyEntry(incarnationOf(i), sequoiatable.Change{Join: &sequoiatable.Join{Member: newMember(i)}})
	}
	for i := 0; i < n && err == nil; i++ {
		err = s.applyEntry(incarnationOf(i), sequoiatable.Change{SetWitnesses: &sequoiatable.SetWitnesses{
			Holder: incarnationOf(i), Witnesses: s.witnessesOf(i),
		}})
	}
	assigns := make([]sequoiatable.Change, n)
	for i := range assigns {
		assigns[i].Assign = &sequoiatable.Assign{Service: simulatedService, Kind: sequoiatable.AssignInitial, To: incarnationOf(i)}
	}
	for shard := range shards {
		a := assigns[s.ownerOf(shard)].Assign
		a.Shards = append(a.Shards, shard)
	}
	if err == nil {
		err = s.applyEntry(incarnationOf(0), assigns...)
	}
	for k := 0; k < hotKeyCount && err == nil; k++ {
		key := fmt.Sprintf("booking-%08d", k)
		from := s.table.Service(simulatedService).Lookup(key).Owner
		to := incarnationOf(k % n)
		err = s.applyEntry(from, sequoiatable.Change{Assign: &sequoiatable.Assign{
			Service: simulatedService, Kind: sequoiatable.AssignPlanned, From: from, To: to, Keys: []string{key},
		}})
	}
	return s, err
}

func (s *system) applyEntry(writer sequoiatable.IncarnationID, changes ...sequoiatable.Change) error {
	e := sequoiatable.Entry{Index: s.table.Index + 1, Writer: writer, Changes: changes}
	next, refused, err := s.table.Apply(e)
	if err != nil {
		return err
	}
	if len(refused) > 0 {
		return errors.Wrapf(errIncompleteTable, "entry %d: %v", e.Index, refused[0].Err)
	}
	s.table = next
	return nil
}

// loadReport returns a load report of the i-th member, of the same length as those of the router.
func loadReport(s *system, i int) sequoiacontrol.Load {
	l := sequoiacontrol.Load{
		Incarnation: incarnationOf(i), Service: simulatedService, BusySlots: 2.345678, HasReport: true,
		ReportedBusySlots: 2.456789, Slots: simulatedSlots, Requests: 3684.2105,
	}
	for k := range itemsPerLoadReport {
		l.Keys = append(l.Keys, sequoiaplacement.KeyLoad{Key: fmt.Sprintf("booking-%08d", i*itemsPerLoadReport+k), BusySlots: reportedItemBusySlots + float64(k)/1e5})
		l.Shards = append(l.Shards, sequoiaplacement.ShardLoad{Shard: uint32(i + k*s.members), BusySlots: reportedItemBusySlots + float64(k)/1e5})
	}
	return l
}

// simulation drives the core and the router of one member. The other members respond immediately and the store responds
// at the next tick. CPU time measured around it is that of the member, plus a small part for the simulation itself.
type simulation struct {
	system      *system
	memberIndex int
	now         time.Time
	core        *sequoiacontrol.Core
	router      *sequoiarouter.Router
	// witnessedHolders are the members of which this one is a witness.
	witnessedHolders []sequoiatable.IncarnationID
	pendingAppends   []sequoiatable.Entry
	appendedEntries  []sequoiatable.Entry
	lastRenewal      time.Time
	sentMessages     int
	renewSequence    uint64
	snapshot         *sequoiacontrol.Snapshot
}

// newSimulation starts the core of the i-th member with the system's table.
func newSimulation(s *system, i int) *simulation {
	next := uint64(incarnationOf(i))
	sim := &simulation{
		system: s, memberIndex: i, now: time.Unix(1_000_000, 0), router: sequoiarouter.New(), witnessedHolders: s.witnessedBy(i),
		core: sequoiacontrol.New(
			sequoiacontrol.WithMember(newMember(i)),
			sequoiacontrol.WithRandom(func() uint64 { next++; return next - 1 }),
		),
	}
	sim.step(sequoiacontrol.Upstream{Service: simulatedService, Slots: simulatedSlots})
	sim.step(sequoiacontrol.LogRead{Checkpoint: s.table})
	return sim
}

func (sim *simulation) step(ev sequoiacontrol.Event) {
	for _, a := range sim.core.Step(sim.now, ev) {
		sim.perform(a)
	}
}

func (sim *simulation) perform(a sequoiacontrol.Action) {
	switch a := a.(type) {
	case sequoiacontrol.Publish:
		sim.snapshot = a.Snapshot
		sim.router.Publish(sim.now, a.Snapshot)
	case sequoiacontrol.Append:
		sim.pendingAppends = append(sim.pendingAppends, a.Entry)
	case sequoiacontrol.Send:
		sim.sentMessages++
		sim.replyTo(a)
	}
}

// replyTo delivers the receiver's reply to a message, if it has one.
func (sim *simulation) replyTo(a sequoiacontrol.Send) {
	reply := sequoiacontrol.Message{LogIndex: sim.snapshot.Table.Index}
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

// tick advances the time by one tick. It completes pending appends, delivers renewals that are due and then ticks the
// core and the router.
func (sim *simulation) tick() {
	sim.now = sim.now.Add(simulatedTick)
	due := sim.pendingAppends
	sim.pendingAppends = nil
	for _, e := range due {
		sim.appendedEntries = append(sim.appendedEntries, e)
		sim.step(sequoiacontrol.Appended{Index: e.Index, Nonce: e.Nonce, Result: sequoiacontrol.AppendWon})
	}
	if sim.now.Sub(sim.lastRenewal) >= renewInterval {
		sim.lastRenewal = sim.now
		sim.renewSequence++
		for _, id := range sim.witnessedHolders {
			sim.step(sequoiacontrol.Received{From: id, Message: sequoiacontrol.Message{
				LogIndex: sim.snapshot.Table.Index,
				Renew:    &sequoiacontrol.Renew{Holder: id, Witness: incarnationOf(sim.memberIndex), Sequence: sim.renewSequence},
			}})
		}
	}
	sim.step(sequoiacontrol.Tick{})
	sim.router.Tick(sim.now)
}

// run advances the time by d, tick by tick.
func (sim *simulation) run(d time.Duration) {
	for range int(d / simulatedTick) {
		sim.tick()
	}
}

// runPlanner advances the time by d. Each member sends one load report per interval.
func (sim *simulation) runPlanner(d time.Duration, interval time.Duration) {
	reportsPerTick := float64(sim.system.members) * simulatedTick.Seconds() / interval.Seconds()
	due, next := 0.0, 0
	for range int(d / simulatedTick) {
		sim.tick()
		for due += reportsPerTick; due >= 1; due-- {
			sim.deliverLoadReport(next)
			next = (next + 1) % sim.system.members
		}
	}
}

// deliverLoadReport delivers a load report of the i-th member.
func (sim *simulation) deliverLoadReport(i int) {
	sim.step(sequoiacontrol.Received{From: incarnationOf(i), Message: sequoiacontrol.Message{
		LogIndex: sim.snapshot.Table.Index, LoadReport: &sequoiacontrol.LoadReport{Load: loadReport(sim.system, i)},
	}})
}

// deliverEntry delivers a log entry with the given writer.
func (sim *simulation) deliverEntry(writer sequoiatable.IncarnationID, changes ...sequoiatable.Change) sequoiatable.Entry {
	e := sequoiatable.Entry{Index: sim.snapshot.Table.Index + 1, Writer: writer, Nonce: math.MaxUint64 / 3, Changes: changes}
	sim.step(sequoiacontrol.LogRead{Entries: []sequoiatable.Entry{e}})
	return e
}

// failureDomainMembers returns the indexes of the members in the failure domain of the i-th member.
func (s *system) failureDomainMembers(i int) []int {
	var lost []int
	for k := i % simulatedDomains; k < s.members; k += simulatedDomains {
		lost = append(lost, k)
	}
	return lost
}

// loadReportInterval returns the assumed interval of each member's load reports. It grows with the number of members,
// so that the planner receives at most bytesPerSecond.
func (s *system) loadReportInterval() time.Duration {
	const reportBytes, bytesPerSecond = 100, 8 << 10
	return max(time.Second, time.Duration(s.members)*reportBytes*time.Second/bytesPerSecond)
}

// measureEncodings returns the size of the largest encoded entry and the number of entries that the codec rejects, as
// it does those that exceed the size limit of a store value.
func measureEncodings(entries []sequoiatable.Entry) (size, refused int, err error) {
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

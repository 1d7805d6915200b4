package sequoiatable

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Reasons for which Apply refuses a change.
var (
	ErrIndex              = errors.New("the entry is not the next one of the log")
	ErrMalformed          = errors.New("the change does not have exactly one field set")
	ErrNotMember          = errors.New("the incarnation is not a member")
	ErrRevoked            = errors.New("the incarnation is revoked")
	ErrNotRevoked         = errors.New("the incarnation is not revoked")
	ErrNotOwner           = errors.New("the keys have another owner")
	ErrWriter             = errors.New("the writer may not make this change")
	ErrOwnsKeys           = errors.New("the incarnation still owns keys")
	ErrService            = errors.New("the service is not in the configuration")
	ErrNotHotKey          = errors.New("the key has no assignment of its own")
	ErrShard              = errors.New("the shard is outside the service's range")
	ErrStaleConfiguration = errors.New("another configuration revision is in force")
	ErrShardCount         = errors.New("the number of shards of a service cannot change")
)

// MaxShards is the highest number of shards of a service. It bounds what a bad configuration entry can allocate.
const MaxShards = 1 << 20

// Assignment says who owns a shard or a hot key. Owner is zero if nobody does.
type Assignment struct {
	Owner IncarnationID
	Epoch Epoch
	// Floor is the oldest epoch whose request identifiers the owner's memory covers; zero covers all.
	Floor Epoch
}

// MemberState is a member with what the log says of it. Values in a Table are never modified.
type MemberState struct {
	Member
	Witnesses []IncarnationID
	// WitnessIndex is the index of the entry that set Witnesses.
	WitnessIndex uint64
	// RevokeIndex is the index of the entry that revoked the member, zero if none did.
	RevokeIndex uint64
	// JoinIndex is the index of the entry that first added the member.
	JoinIndex uint64
	// Owned counts the shards and hot keys that the member owns.
	Owned int
}

// Revoked reports whether the member has lost its authority.
func (m *MemberState) Revoked() bool {
	return m.RevokeIndex != 0
}

// Configuration is the operators' document in force.
type Configuration struct {
	Revision uint64
	Document []byte
	Operator string
}

// shardsPerChunk bounds what one change of a shard copies.
const shardsPerChunk = 1024

// ServiceTable holds the assignments of one service. Values in a Table are never modified.
type ServiceTable struct {
	ServiceConfig
	chunks [][]Assignment
	keys   map[string]Assignment
}

func newServiceTable(cfg ServiceConfig) *ServiceTable {
	s := &ServiceTable{ServiceConfig: cfg, keys: map[string]Assignment{}}
	for left := int(cfg.Shards); left > 0; left -= shardsPerChunk {
		s.chunks = append(s.chunks, make([]Assignment, min(left, shardsPerChunk)))
	}
	return s
}

func (s *ServiceTable) clone() *ServiceTable {
	c := *s
	c.chunks = slices.Clone(s.chunks)
	return &c
}

// Shard returns the assignment of a shard, which must be in range.
func (s *ServiceTable) Shard(n uint32) Assignment {
	return s.chunks[n/shardsPerChunk][n%shardsPerChunk]
}

// HotKey returns the assignment of a key that has one of its own.
func (s *ServiceTable) HotKey(key string) (Assignment, bool) {
	a, ok := s.keys[key]
	return a, ok
}

// HotKeys returns the keys that have an assignment of their own, sorted.
func (s *ServiceTable) HotKeys() []string {
	return slices.Sorted(maps.Keys(s.keys))
}

// Lookup returns the assignment that is in force for a key.
func (s *ServiceTable) Lookup(key string) Assignment {
	if a, ok := s.keys[key]; ok {
		return a
	}
	return s.Shard(ShardOf(key, s.Shards))
}

// Table is the state after the log's entries up to Index. A Table is immutable: Apply returns a new one that shares
// what did not change, so readers need no lock.
type Table struct {
	Index         uint64
	Configuration Configuration
	services      map[string]*ServiceTable
	members       map[IncarnationID]*MemberState
	// order lists the members in ascending order. It is replaced when a member is added or removed, not modified.
	order []IncarnationID
}

// New returns the table of the empty log.
func New() *Table {
	return &Table{services: map[string]*ServiceTable{}, members: map[IncarnationID]*MemberState{}}
}

// Service returns the assignments of a service, nil if the configuration does not name it.
func (t *Table) Service(name string) *ServiceTable {
	return t.services[name]
}

// ServiceNames returns the names of the services, sorted.
func (t *Table) ServiceNames() []string {
	return slices.Sorted(maps.Keys(t.services))
}

// Member returns a member, nil if the log does not name it or it has left.
func (t *Table) Member(id IncarnationID) *MemberState {
	return t.members[id]
}

// Members returns the members' identifiers in ascending order, revoked ones that still own keys included.
func (t *Table) Members() []IncarnationID {
	return slices.Clone(t.order)
}

// Refusal names a change that Apply left out.
type Refusal struct {
	// Change is the position of the change in the entry.
	Change int
	Err    error
}

// Apply returns the table after the entry. It returns ErrIndex if the entry is not the next one. Changes that are not
// allowed are left out, the same ones in every process, and returned as refusals.
func (t *Table) Apply(e Entry) (*Table, []Refusal, error) {
	if e.Index != t.Index+1 {
		return t, nil, errors.Wrapf(ErrIndex, "entry %d after %d", e.Index, t.Index)
	}
	b := newBuilder(t, e)
	var refused []Refusal
	for i, c := range e.Changes {
		if err := b.apply(c); err != nil {
			refused = append(refused, Refusal{Change: i, Err: err})
		}
	}
	return b.next, refused, nil
}

// builder copies the parts of a table that an entry changes, each at most once.
type builder struct {
	next           *Table
	entry          Entry
	membersCopied  bool
	servicesCopied bool
	ownMember      map[IncarnationID]bool
	ownService     map[string]bool
	ownChunk       map[chunkID]bool
	ownKeys        map[string]bool
}

type chunkID struct {
	service string
	chunk   uint32
}

func newBuilder(t *Table, e Entry) *builder {
	next := *t
	next.Index = e.Index
	return &builder{
		next: &next, entry: e,
		ownMember:  map[IncarnationID]bool{},
		ownService: map[string]bool{}, ownChunk: map[chunkID]bool{}, ownKeys: map[string]bool{},
	}
}

func (b *builder) apply(c Change) error {
	if c.fieldsSet() != 1 {
		return ErrMalformed
	}
	switch {
	case c.Join != nil:
		return b.join(c.Join)
	case c.Leave != nil:
		return b.leave(c.Leave)
	case c.Revoke != nil:
		return b.revoke(c.Revoke)
	case c.SetWitnesses != nil:
		return b.setWitnesses(c.SetWitnesses)
	case c.Assign != nil:
		return b.assign(c.Assign)
	case c.Merge != nil:
		return b.merge(c.Merge)
	}
	return b.setConfiguration(c.SetConfiguration)
}

func (b *builder) join(c *Join) error {
	id := c.Member.Incarnation
	if id == 0 {
		return ErrMalformed
	}
	if id != b.entry.Writer {
		return errors.Wrapf(ErrWriter, "%s joins %s", b.entry.Writer, id)
	}
	old := b.next.members[id]
	if old == nil {
		b.setMember(&MemberState{Member: c.Member, JoinIndex: b.entry.Index})
		return nil
	}
	if old.Revoked() {
		return errors.Wrap(ErrRevoked, id.String())
	}
	m := *old
	m.Member = c.Member
	b.setMember(&m)
	return nil
}

func (b *builder) leave(c *Leave) error {
	m, err := b.liveMember(c.Incarnation)
	if err != nil {
		return err
	}
	if b.entry.Writer != c.Incarnation {
		return errors.Wrapf(ErrWriter, "%s removes %s", b.entry.Writer, c.Incarnation)
	}
	if m.Owned > 0 {
		return errors.Wrapf(ErrOwnsKeys, "%s owns %d", c.Incarnation, m.Owned)
	}
	b.removeMember(c.Incarnation)
	return nil
}

func (b *builder) revoke(c *Revoke) error {
	m, err := b.liveMember(c.Incarnation)
	if err != nil {
		return err
	}
	if m.Owned == 0 {
		b.removeMember(c.Incarnation)
		return nil
	}
	n := *m
	n.RevokeIndex = b.entry.Index
	b.setMember(&n)
	return nil
}

func (b *builder) setWitnesses(c *SetWitnesses) error {
	m, err := b.liveMember(c.Holder)
	if err != nil {
		return err
	}
	if b.entry.Writer != c.Holder {
		return errors.Wrapf(ErrWriter, "%s sets the witnesses of %s", b.entry.Writer, c.Holder)
	}
	for _, w := range c.Witnesses {
		if w == c.Holder {
			return errors.Wrapf(ErrMalformed, "%s is its own witness", w)
		}
		if _, err := b.liveMember(w); err != nil {
			return err
		}
	}
	n := *m
	n.Witnesses = slices.Clone(c.Witnesses)
	n.WitnessIndex = b.entry.Index
	b.setMember(&n)
	return nil
}

func (b *builder) setConfiguration(c *SetConfiguration) error {
	if c.Base != b.next.Configuration.Revision {
		return errors.Wrapf(ErrStaleConfiguration, "base %d, in force %d", c.Base, b.next.Configuration.Revision)
	}
	for _, s := range c.Services {
		if s.Name == "" || s.Shards == 0 || s.Shards > MaxShards {
			return errors.Wrapf(ErrMalformed, "service %q with %d shards", s.Name, s.Shards)
		}
		if old := b.next.services[s.Name]; old != nil && old.Shards != s.Shards {
			return errors.Wrapf(ErrShardCount, "%s: %d to %d", s.Name, old.Shards, s.Shards)
		}
	}
	b.next.Configuration = Configuration{Revision: b.entry.Index, Document: c.Document, Operator: c.Operator}
	for _, s := range c.Services {
		if b.next.services[s.Name] == nil {
			b.setService(newServiceTable(s))
			continue
		}
		b.service(s.Name).ServiceConfig = s
	}
	return nil
}

// assign checks the whole change before it makes any of it.
func (b *builder) assign(c *Assign) error {
	if err := b.checkAssign(c); err != nil {
		return err
	}
	s := b.service(c.Service)
	moved := 0
	for _, n := range c.Shards {
		old := s.Shard(n)
		b.setShard(s, n, b.assignment(c, old))
		// A shard that the change lists twice has moved at its first mention.
		if old.Owner == c.From {
			moved++
		}
	}
	b.count(c.From, -moved)
	b.count(c.To, moved)
	for _, k := range c.Keys {
		b.setKey(s, k, b.assignment(c, s.Lookup(k)))
	}
	b.dropIfEmpty(c.From)
	return nil
}

func (b *builder) assignment(c *Assign, old Assignment) Assignment {
	a := Assignment{Owner: c.To, Epoch: Epoch(b.entry.Index), Floor: old.Floor}
	if c.Kind == AssignTakeover {
		a.Floor = a.Epoch
	}
	return a
}

func (b *builder) checkAssign(c *Assign) error {
	to, err := b.liveMember(c.To)
	if err != nil {
		return err
	}
	s := b.next.services[c.Service]
	if s == nil {
		return errors.Wrap(ErrService, c.Service)
	}
	if to.Service != c.Service {
		return errors.Wrapf(ErrService, "%s serves %q, not %q", c.To, to.Service, c.Service)
	}
	if err := b.checkAssignKind(c); err != nil {
		return err
	}
	for _, n := range c.Shards {
		if n >= s.Shards {
			return errors.Wrapf(ErrShard, "%s: %d of %d", c.Service, n, s.Shards)
		}
		if a := s.Shard(n); a.Owner != c.From {
			return errors.Wrapf(ErrNotOwner, "%s shard %d: %s, not %s", c.Service, n, a.Owner, c.From)
		}
	}
	for _, k := range c.Keys {
		if a := s.Lookup(k); a.Owner != c.From {
			return errors.Wrapf(ErrNotOwner, "%s key %q: %s, not %s", c.Service, k, a.Owner, c.From)
		}
	}
	return nil
}

func (b *builder) checkAssignKind(c *Assign) error {
	switch c.Kind {
	case AssignInitial:
		if c.From != 0 {
			return errors.Wrapf(ErrMalformed, "an initial assignment from %s", c.From)
		}
		return nil
	case AssignPlanned:
		if _, err := b.liveMember(c.From); err != nil {
			return err
		}
		if b.entry.Writer != c.From {
			return errors.Wrapf(ErrWriter, "%s moves keys of %s", b.entry.Writer, c.From)
		}
		return nil
	case AssignTakeover:
		from := b.next.members[c.From]
		if from == nil {
			return errors.Wrap(ErrNotMember, c.From.String())
		}
		if !from.Revoked() {
			return errors.Wrap(ErrNotRevoked, c.From.String())
		}
		return nil
	}
	return errors.Wrapf(ErrMalformed, "assignment kind %d", c.Kind)
}

func (b *builder) liveMember(id IncarnationID) (*MemberState, error) {
	m := b.next.members[id]
	if m == nil {
		return nil, errors.Wrap(ErrNotMember, id.String())
	}
	if m.Revoked() {
		return nil, errors.Wrap(ErrRevoked, id.String())
	}
	return m, nil
}

func (b *builder) setMember(m *MemberState) {
	if !b.membersCopied {
		b.next.members = maps.Clone(b.next.members)
		b.membersCopied = true
	}
	if i, found := slices.BinarySearch(b.next.order, m.Incarnation); !found {
		b.next.order = slices.Insert(slices.Clone(b.next.order), i, m.Incarnation)
	}
	b.next.members[m.Incarnation] = m
	b.ownMember[m.Incarnation] = true
}

func (b *builder) removeMember(id IncarnationID) {
	if !b.membersCopied {
		b.next.members = maps.Clone(b.next.members)
		b.membersCopied = true
	}
	if i, found := slices.BinarySearch(b.next.order, id); found {
		b.next.order = slices.Delete(slices.Clone(b.next.order), i, i+1)
	}
	delete(b.next.members, id)
	delete(b.ownMember, id)
}

// dropIfEmpty removes a revoked member once it owns nothing, since no rule refers to it any more.
func (b *builder) dropIfEmpty(id IncarnationID) {
	if m := b.next.members[id]; m != nil && m.Revoked() && m.Owned == 0 {
		b.removeMember(id)
	}
}

func (b *builder) setService(s *ServiceTable) {
	if !b.servicesCopied {
		b.next.services = maps.Clone(b.next.services)
		b.servicesCopied = true
	}
	b.next.services[s.Name] = s
	b.ownService[s.Name] = true
}

func (b *builder) service(name string) *ServiceTable {
	if !b.ownService[name] {
		b.setService(b.next.services[name].clone())
	}
	return b.next.services[name]
}

// setShard leaves the owners' counts to the caller, which updates them once for all the shards of a change.
func (b *builder) setShard(s *ServiceTable, n uint32, a Assignment) {
	id := chunkID{s.Name, n / shardsPerChunk}
	if !b.ownChunk[id] {
		s.chunks[id.chunk] = slices.Clone(s.chunks[id.chunk])
		b.ownChunk[id] = true
	}
	s.chunks[id.chunk][n%shardsPerChunk] = a
}

func (b *builder) setKey(s *ServiceTable, key string, a Assignment) {
	b.copyKeys(s)
	if old, ok := s.keys[key]; ok {
		b.count(old.Owner, -1)
	}
	s.keys[key] = a
	b.count(a.Owner, 1)
}

func (b *builder) copyKeys(s *ServiceTable) {
	if b.ownKeys[s.Name] {
		return
	}
	s.keys = maps.Clone(s.keys)
	b.ownKeys[s.Name] = true
}

// count changes the number of shards and hot keys that a member owns. The member is copied at most once per entry.
func (b *builder) count(id IncarnationID, d int) {
	m := b.next.members[id]
	if m == nil || d == 0 {
		return
	}
	if !b.ownMember[id] {
		n := *m
		m = &n
		b.setMember(m)
	}
	m.Owned += d
}

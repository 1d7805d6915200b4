package sequoiatable

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Errors of Apply. ErrUnexpectedIndex refuses the whole entry, the others one change.
var (
	ErrUnexpectedIndex    = errors.New("the entry is not the next in the log")
	ErrMalformed          = errors.New("the change is malformed")
	ErrNotMember          = errors.New("the incarnation is not a member")
	ErrRevoked            = errors.New("the incarnation is revoked")
	ErrNotRevoked         = errors.New("the incarnation is not revoked")
	ErrNotOwner           = errors.New("the keys belong to another owner")
	ErrWriterNotAllowed   = errors.New("the writer is not allowed to make this change")
	ErrOwnsKeys           = errors.New("the incarnation still owns keys")
	ErrWrongService       = errors.New("the service is not configured or not the one that the member serves")
	ErrNotHotKey          = errors.New("the key is not a hot key")
	ErrShardOutOfRange    = errors.New("the shard number is out of range")
	ErrStaleConfiguration = errors.New("another configuration revision is in force")
	ErrShardCount         = errors.New("the number of shards of a service cannot change")
)

// MaxShards is the maximum number of shards of a service. It limits the memory that an invalid entry can allocate.
const MaxShards = 1 << 20

// Assignment is the ownership of a shard or a hot key. Owner is zero if no member owns it.
type Assignment struct {
	Owner IncarnationID
	Epoch Epoch
	// Floor is the oldest epoch for which the owner has the identifiers of all requests, zero if it has them for all.
	Floor Epoch
}

// MemberState is a member with its state according to the log. Values in a Table are never modified.
type MemberState struct {
	Member
	Witnesses []IncarnationID
	// WitnessIndex is the index of the entry that last set Witnesses, zero if none did.
	WitnessIndex uint64
	// RevokeIndex is the index of the entry that revoked the member, zero if none did.
	RevokeIndex uint64
	// JoinIndex is the index of the entry that first added the member.
	JoinIndex uint64
	// Owned counts the shards and hot keys that the member owns.
	Owned int
}

// Revoked reports whether an entry revoked the member.
func (m *MemberState) Revoked() bool {
	return m.RevokeIndex != 0
}

// Configuration is the operators' configuration document in force.
type Configuration struct {
	Revision uint64
	Document []byte
	Operator string
}

// shardsPerChunk is the unit of copy-on-write: changing one shard copies its chunk.
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

// HotKey returns the assignment of a hot key and whether the key is one.
func (s *ServiceTable) HotKey(key string) (Assignment, bool) {
	a, ok := s.keys[key]
	return a, ok
}

// HotKeys returns the service's hot keys, sorted.
func (s *ServiceTable) HotKeys() []string {
	return slices.Sorted(maps.Keys(s.keys))
}

// Lookup returns the assignment of a key: its own if it is a hot key, otherwise that of its shard.
func (s *ServiceTable) Lookup(key string) Assignment {
	if a, ok := s.keys[key]; ok {
		return a
	}
	return s.Shard(ShardOf(key, s.Shards))
}

// Table is the state after applying the log's entries up to Index. It is immutable, so readers need no lock: Apply
// returns a new Table that shares the unchanged parts.
type Table struct {
	Index         uint64
	Configuration Configuration
	services      map[string]*ServiceTable
	members       map[IncarnationID]*MemberState
	// memberIDs is in ascending order. Adding or removing a member replaces the slice instead of modifying it.
	memberIDs []IncarnationID
}

// New returns the table of an empty log.
func New() *Table {
	return &Table{services: map[string]*ServiceTable{}, members: map[IncarnationID]*MemberState{}}
}

// Service returns the assignments of a service, nil if it was never configured. They remain if the service is withdrawn.
func (t *Table) Service(name string) *ServiceTable {
	return t.services[name]
}

// ServiceNames returns the names of the services, sorted.
func (t *Table) ServiceNames() []string {
	return slices.Sorted(maps.Keys(t.services))
}

// Member returns a member, nil if it never joined or has been removed.
func (t *Table) Member(id IncarnationID) *MemberState {
	return t.members[id]
}

// Members returns the members' identifiers in ascending order. It includes revoked members that still own keys.
func (t *Table) Members() []IncarnationID {
	return slices.Clone(t.memberIDs)
}

// Refusal describes a change that Apply skipped.
type Refusal struct {
	// ChangeIndex is the position of the change in the entry.
	ChangeIndex int
	Err         error
}

// Apply returns the table after the entry. It returns ErrUnexpectedIndex if the entry is not the next one. Changes that
// are not allowed are skipped, the same ones in every process, and returned as refusals.
func (t *Table) Apply(e Entry) (*Table, []Refusal, error) {
	if e.Index != t.Index+1 {
		return t, nil, errors.Wrapf(ErrUnexpectedIndex, "entry %d after %d", e.Index, t.Index)
	}
	b := newBuilder(t, e)
	var refused []Refusal
	for i, c := range e.Changes {
		if err := b.apply(c); err != nil {
			refused = append(refused, Refusal{ChangeIndex: i, Err: err})
		}
	}
	return b.next, refused, nil
}

// builder applies an entry to a copy of a table. It copies only the parts that change, each at most once.
type builder struct {
	next             *Table
	entry            Entry
	memberMapCopied  bool
	serviceMapCopied bool
	copiedMembers    map[IncarnationID]bool
	copiedServices   map[string]bool
	copiedChunks     map[chunkID]bool
	copiedKeys       map[string]bool
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
		copiedMembers:  map[IncarnationID]bool{},
		copiedServices: map[string]bool{}, copiedChunks: map[chunkID]bool{}, copiedKeys: map[string]bool{},
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
		return errors.Wrapf(ErrWriterNotAllowed, "%s cannot add %s", b.entry.Writer, id)
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
	m, err := b.unrevokedMember(c.Incarnation)
	if err != nil {
		return err
	}
	if b.entry.Writer != c.Incarnation {
		return errors.Wrapf(ErrWriterNotAllowed, "%s cannot remove %s", b.entry.Writer, c.Incarnation)
	}
	if m.Owned > 0 {
		return errors.Wrapf(ErrOwnsKeys, "%s owns %d shards and hot keys", c.Incarnation, m.Owned)
	}
	b.removeMember(c.Incarnation)
	return nil
}

func (b *builder) revoke(c *Revoke) error {
	m, err := b.unrevokedMember(c.Incarnation)
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
	m, err := b.unrevokedMember(c.Holder)
	if err != nil {
		return err
	}
	if b.entry.Writer != c.Holder {
		return errors.Wrapf(ErrWriterNotAllowed, "%s cannot set the witnesses of %s", b.entry.Writer, c.Holder)
	}
	for _, w := range c.Witnesses {
		if w == c.Holder {
			return errors.Wrapf(ErrMalformed, "%s is listed as its own witness", w)
		}
		if _, err := b.unrevokedMember(w); err != nil {
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
			return errors.Wrapf(ErrShardCount, "%s: from %d to %d", s.Name, old.Shards, s.Shards)
		}
	}
	b.next.Configuration = Configuration{Revision: b.entry.Index, Document: c.Document, Operator: c.Operator}
	for name, s := range b.next.services {
		if !s.Withdrawn {
			b.mutableService(name).Withdrawn = true
		}
	}
	for _, s := range c.Services {
		s.Withdrawn = false
		if b.next.services[s.Name] == nil {
			b.setService(newServiceTable(s))
			continue
		}
		b.mutableService(s.Name).ServiceConfig = s
	}
	return nil
}

// assign applies the change in full or not at all.
func (b *builder) assign(c *Assign) error {
	if err := b.checkAssign(c); err != nil {
		return err
	}
	s := b.mutableService(c.Service)
	moved := 0
	for _, n := range c.Shards {
		old := s.Shard(n)
		b.setShard(s, n, b.newAssignment(c, old))
		// If the change lists a shard twice, its owner is no longer c.From the second time.
		if old.Owner == c.From {
			moved++
		}
	}
	b.addOwned(c.From, -moved)
	b.addOwned(c.To, moved)
	for _, k := range c.Keys {
		b.setKey(s, k, b.newAssignment(c, s.Lookup(k)))
	}
	b.removeRevokedIfEmpty(c.From)
	return nil
}

func (b *builder) newAssignment(c *Assign, old Assignment) Assignment {
	a := Assignment{Owner: c.To, Epoch: Epoch(b.entry.Index), Floor: old.Floor}
	if c.Kind == AssignTakeover {
		a.Floor = a.Epoch
	}
	return a
}

func (b *builder) checkAssign(c *Assign) error {
	to, err := b.unrevokedMember(c.To)
	if err != nil {
		return err
	}
	s := b.next.services[c.Service]
	if s == nil {
		return errors.Wrap(ErrWrongService, c.Service)
	}
	if to.Service != c.Service {
		return errors.Wrapf(ErrWrongService, "%s serves %q, not %q", c.To, to.Service, c.Service)
	}
	if err := b.checkAssignKind(c); err != nil {
		return err
	}
	for _, n := range c.Shards {
		if n >= s.Shards {
			return errors.Wrapf(ErrShardOutOfRange, "%s: shard %d, the service has %d", c.Service, n, s.Shards)
		}
		if a := s.Shard(n); a.Owner != c.From {
			return errors.Wrapf(ErrNotOwner, "%s shard %d is owned by %s, not %s", c.Service, n, a.Owner, c.From)
		}
	}
	for _, k := range c.Keys {
		if a := s.Lookup(k); a.Owner != c.From {
			return errors.Wrapf(ErrNotOwner, "%s key %q is owned by %s, not %s", c.Service, k, a.Owner, c.From)
		}
	}
	return nil
}

func (b *builder) checkAssignKind(c *Assign) error {
	switch c.Kind {
	case AssignInitial:
		if c.From != 0 {
			return errors.Wrapf(ErrMalformed, "initial assignment with previous owner %s", c.From)
		}
		return nil
	case AssignPlanned:
		if _, err := b.unrevokedMember(c.From); err != nil {
			return err
		}
		if b.entry.Writer != c.From {
			return errors.Wrapf(ErrWriterNotAllowed, "%s cannot move keys of %s", b.entry.Writer, c.From)
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
	return errors.Wrapf(ErrMalformed, "unknown assignment kind %d", c.Kind)
}

func (b *builder) unrevokedMember(id IncarnationID) (*MemberState, error) {
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
	if !b.memberMapCopied {
		b.next.members = maps.Clone(b.next.members)
		b.memberMapCopied = true
	}
	if i, found := slices.BinarySearch(b.next.memberIDs, m.Incarnation); !found {
		b.next.memberIDs = slices.Insert(slices.Clone(b.next.memberIDs), i, m.Incarnation)
	}
	b.next.members[m.Incarnation] = m
	b.copiedMembers[m.Incarnation] = true
}

func (b *builder) removeMember(id IncarnationID) {
	if !b.memberMapCopied {
		b.next.members = maps.Clone(b.next.members)
		b.memberMapCopied = true
	}
	if i, found := slices.BinarySearch(b.next.memberIDs, id); found {
		b.next.memberIDs = slices.Delete(slices.Clone(b.next.memberIDs), i, i+1)
	}
	delete(b.next.members, id)
	delete(b.copiedMembers, id)
}

// removeRevokedIfEmpty removes a revoked member that owns nothing, since no later change can refer to it.
func (b *builder) removeRevokedIfEmpty(id IncarnationID) {
	if m := b.next.members[id]; m != nil && m.Revoked() && m.Owned == 0 {
		b.removeMember(id)
	}
}

func (b *builder) setService(s *ServiceTable) {
	if !b.serviceMapCopied {
		b.next.services = maps.Clone(b.next.services)
		b.serviceMapCopied = true
	}
	b.next.services[s.Name] = s
	b.copiedServices[s.Name] = true
}

func (b *builder) mutableService(name string) *ServiceTable {
	if !b.copiedServices[name] {
		b.setService(b.next.services[name].clone())
	}
	return b.next.services[name]
}

// setShard does not update the Owned counts: the caller does so once for all shards of a change.
func (b *builder) setShard(s *ServiceTable, n uint32, a Assignment) {
	id := chunkID{s.Name, n / shardsPerChunk}
	if !b.copiedChunks[id] {
		s.chunks[id.chunk] = slices.Clone(s.chunks[id.chunk])
		b.copiedChunks[id] = true
	}
	s.chunks[id.chunk][n%shardsPerChunk] = a
}

func (b *builder) setKey(s *ServiceTable, key string, a Assignment) {
	b.copyKeys(s)
	if old, ok := s.keys[key]; ok {
		b.addOwned(old.Owner, -1)
	}
	s.keys[key] = a
	b.addOwned(a.Owner, 1)
}

func (b *builder) copyKeys(s *ServiceTable) {
	if b.copiedKeys[s.Name] {
		return
	}
	s.keys = maps.Clone(s.keys)
	b.copiedKeys[s.Name] = true
}

// addOwned adds delta to the Owned count of a member. The member is copied at most once per entry.
func (b *builder) addOwned(id IncarnationID, delta int) {
	m := b.next.members[id]
	if m == nil || delta == 0 {
		return
	}
	if !b.copiedMembers[id] {
		n := *m
		m = &n
		b.setMember(m)
	}
	m.Owned += delta
}

package sequoiatable

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// A checkpoint is one CBOR value cut into parts. Each part starts with a header of fixed size, so that parts of
// different checkpoints are never joined:
//
//	magic "SQCP" | version, 1 byte | part number, 4 | number of parts, 4 | log index, 8 | xxHash64 of all content, 8
//
// Numbers are big-endian. The owner of an assignment is written as its position in the list of members plus one, zero
// for none, and the columns of the assignments are written separately, which is several times smaller than a list of
// assignments with field names.
const (
	checkpointMagic   = "SQCP"
	checkpointVersion = 1
	partHeaderBytes   = 4 + 1 + 4 + 4 + 8 + 8
)

// Limits of an encoded checkpoint, in bytes. MinPartBytes leaves room for content after the header.
const (
	MinPartBytes       = 64
	MaxCheckpointBytes = 64 << 20
)

// ErrChecksum reports a checkpoint whose content differs from what was written.
var ErrChecksum = errors.New("the checkpoint's checksum does not match")

type checkpointTable struct {
	Index         uint64
	Configuration Configuration
	Members       []MemberState
	Services      []checkpointService
}

type checkpointService struct {
	Config ServiceConfig
	Shards checkpointColumns
	Keys   []string
	Hot    checkpointColumns
}

// checkpointColumns holds assignments by column. Owners are positions in the list of members plus one.
type checkpointColumns struct {
	Owners []uint32
	Epochs []Epoch
	Floors []Epoch
}

func (c *checkpointColumns) add(position map[IncarnationID]uint32, a Assignment) {
	c.Owners = append(c.Owners, position[a.Owner])
	c.Epochs = append(c.Epochs, a.Epoch)
	c.Floors = append(c.Floors, a.Floor)
}

// Encode returns a checkpoint of the table in parts of at most maxPart bytes, but not below MinPartBytes each.
func (t *Table) Encode(maxPart int) [][]byte {
	content, err := encMode.Marshal(t.checkpoint())
	if err != nil {
		// The types of a table have no value that CBOR cannot express.
		panic(errors.Wrap(err, "encode checkpoint"))
	}
	room := max(maxPart, MinPartBytes) - partHeaderBytes
	count := (len(content) + room - 1) / room
	sum := xxhash.Sum64(content)
	parts := make([][]byte, 0, count)
	for n := range count {
		piece := content[n*room : min((n+1)*room, len(content))]
		parts = append(parts, append(partHeader(n, count, t.Index, sum), piece...))
	}
	return parts
}

func partHeader(number, count int, index, sum uint64) []byte {
	h := make([]byte, 0, partHeaderBytes)
	h = append(h, checkpointMagic...)
	h = append(h, checkpointVersion)
	h = binary.BigEndian.AppendUint32(h, uint32(number))
	h = binary.BigEndian.AppendUint32(h, uint32(count))
	h = binary.BigEndian.AppendUint64(h, index)
	return binary.BigEndian.AppendUint64(h, sum)
}

func (t *Table) checkpoint() checkpointTable {
	c := checkpointTable{Index: t.Index, Configuration: t.Configuration}
	position := map[IncarnationID]uint32{}
	for i, id := range t.Members() {
		c.Members = append(c.Members, *t.members[id])
		position[id] = uint32(i) + 1
	}
	for _, name := range t.ServiceNames() {
		c.Services = append(c.Services, t.services[name].checkpoint(position))
	}
	return c
}

func (s *ServiceTable) checkpoint(position map[IncarnationID]uint32) checkpointService {
	c := checkpointService{Config: s.ServiceConfig, Keys: s.HotKeys()}
	for n := range s.Shards {
		c.Shards.add(position, s.Shard(n))
	}
	for _, k := range c.Keys {
		c.Hot.add(position, s.keys[k])
	}
	return c
}

// DecodeCheckpoint reads the parts of one checkpoint in order. It returns ErrTooLarge, ErrChecksum, ErrEncoding,
// ErrTrailing, ErrUnknownField or ErrContent for anything that Encode did not write.
func DecodeCheckpoint(parts [][]byte) (*Table, error) {
	content, index, err := joinParts(parts)
	if err != nil {
		return nil, err
	}
	var c checkpointTable
	if err := unmarshal(checkpointMode, content, &c); err != nil {
		return nil, errors.WithMessage(err, "checkpoint")
	}
	if c.Index != index {
		return nil, errors.Wrapf(ErrContent, "checkpoint: index %d in the header, %d in the content", index, c.Index)
	}
	return c.table()
}

func joinParts(parts [][]byte) (content []byte, index uint64, err error) {
	total := 0
	for _, p := range parts {
		total += len(p)
	}
	if total > MaxCheckpointBytes {
		return nil, 0, errors.Wrapf(ErrTooLarge, "checkpoint: %d bytes, limit %d", total, MaxCheckpointBytes)
	}
	if len(parts) == 0 || len(parts[0]) < partHeaderBytes {
		return nil, 0, errors.Wrap(ErrEncoding, "checkpoint: no complete part")
	}
	first := parts[0][:partHeaderBytes]
	index = binary.BigEndian.Uint64(first[13:])
	sum := binary.BigEndian.Uint64(first[21:])
	content = make([]byte, 0, total)
	for n, p := range parts {
		if !bytes.HasPrefix(p, partHeader(n, len(parts), index, sum)) {
			return nil, 0, errors.Wrapf(ErrEncoding, "checkpoint: part %d of %d has another header", n, len(parts))
		}
		content = append(content, p[partHeaderBytes:]...)
	}
	if xxhash.Sum64(content) != sum {
		return nil, 0, errors.Wrapf(ErrChecksum, "index %d", index)
	}
	return content, index, nil
}

// table builds the table. The members' counts of owned keys are computed, not taken from the checkpoint.
func (c *checkpointTable) table() (*Table, error) {
	t := New()
	t.Index = c.Index
	t.Configuration = c.Configuration
	ids := make([]IncarnationID, 1, len(c.Members)+1)
	for i := range c.Members {
		m := &c.Members[i]
		if err := checkMember(&m.Member); err != nil {
			return nil, errors.WithMessage(err, "checkpoint")
		}
		if m.Incarnation <= ids[i] {
			return nil, errors.Wrap(ErrContent, "checkpoint: the members are not in ascending order")
		}
		m.Owned = 0
		t.members[m.Incarnation] = m
		t.order = append(t.order, m.Incarnation)
		ids = append(ids, m.Incarnation)
	}
	for i := range c.Services {
		if err := t.addService(&c.Services[i], ids); err != nil {
			return nil, errors.WithMessagef(err, "checkpoint: service %q", c.Services[i].Config.Name)
		}
	}
	return t, nil
}

// addService adds a decoded service. ids lists zero and then the members.
func (t *Table) addService(c *checkpointService, ids []IncarnationID) error {
	if err := checkServiceConfig(c.Config); err != nil {
		return err
	}
	if t.services[c.Config.Name] != nil {
		return errors.Wrap(ErrContent, "listed twice")
	}
	shards, err := c.Shards.assignments(int(c.Config.Shards), ids)
	if err != nil {
		return errors.WithMessage(err, "shards")
	}
	hot, err := c.Hot.assignments(len(c.Keys), ids)
	if err != nil {
		return errors.WithMessage(err, "hot keys")
	}
	if err := checkKeys(c.Keys); err != nil {
		return err
	}
	s := newServiceTable(c.Config)
	for n, a := range shards {
		s.chunks[n/shardsPerChunk][n%shardsPerChunk] = a
		t.own(a.Owner)
	}
	for i, k := range c.Keys {
		if _, ok := s.keys[k]; ok {
			return errors.Wrapf(ErrContent, "hot key %q is listed twice", k)
		}
		s.keys[k] = hot[i]
		t.own(hot[i].Owner)
	}
	t.services[s.Name] = s
	return nil
}

// own counts an assignment of a member while the table is being built.
func (t *Table) own(id IncarnationID) {
	if m := t.members[id]; m != nil {
		m.Owned++
	}
}

func (c *checkpointColumns) assignments(n int, ids []IncarnationID) ([]Assignment, error) {
	if len(c.Owners) != n || len(c.Epochs) != n || len(c.Floors) != n {
		return nil, errors.Wrapf(ErrContent, "%d owners, %d epochs and %d floors for %d assignments",
			len(c.Owners), len(c.Epochs), len(c.Floors), n)
	}
	list := make([]Assignment, n)
	for i := range list {
		if int(c.Owners[i]) >= len(ids) {
			return nil, errors.Wrapf(ErrContent, "owner %d of %d", c.Owners[i], len(ids)-1)
		}
		list[i] = Assignment{Owner: ids[c.Owners[i]], Epoch: c.Epochs[i], Floor: c.Floors[i]}
	}
	return list, nil
}

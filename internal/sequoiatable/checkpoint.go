package sequoiatable

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// A checkpoint is one CBOR value split into parts. Each part starts with a fixed-size header, so that parts of
// different checkpoints are never combined:
//
//	magic "SQCP" | version, 1 byte | part number, 4 | number of parts, 4 | log index, 8 | xxHash64 of all content, 8
//
// Numbers are big-endian. Assignments are stored by column, and an owner as its 1-based position in the list of members
// or zero if there is none, which is several times smaller than a list of assignments with field names.
const (
	checkpointMagic   = "SQCP"
	checkpointVersion = 1
	partHeaderBytes   = 4 + 1 + 4 + 4 + 8 + 8
)

// Size limits of an encoded checkpoint, in bytes. MinPartBytes leaves room for content after the header.
const (
	MinPartBytes       = 64
	MaxCheckpointBytes = 64 << 20
)

// ErrChecksum reports a checkpoint whose content differs from what was written.
var ErrChecksum = errors.New("checkpoint checksum mismatch")

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

// checkpointColumns holds assignments by column. Owners are 1-based positions in the list of members, zero for none.
type checkpointColumns struct {
	Owners []uint32
	Epochs []Epoch
	Floors []Epoch
}

func (c *checkpointColumns) add(ownerNumbers map[IncarnationID]uint32, a Assignment) {
	c.Owners = append(c.Owners, ownerNumbers[a.Owner])
	c.Epochs = append(c.Epochs, a.Epoch)
	c.Floors = append(c.Floors, a.Floor)
}

// Encode returns a checkpoint of the table in parts of at most maxPartBytes or MinPartBytes, whichever is larger.
func (t *Table) Encode(maxPartBytes int) [][]byte {
	content, err := encMode.Marshal(t.checkpoint())
	if err != nil {
		// Every value that a table can hold has a CBOR encoding.
		panic(errors.Wrap(err, "encode checkpoint"))
	}
	partContentBytes := max(maxPartBytes, MinPartBytes) - partHeaderBytes
	partCount := (len(content) + partContentBytes - 1) / partContentBytes
	checksum := xxhash.Sum64(content)
	parts := make([][]byte, 0, partCount)
	for n := range partCount {
		chunk := content[n*partContentBytes : min((n+1)*partContentBytes, len(content))]
		parts = append(parts, append(partHeader(n, partCount, t.Index, checksum), chunk...))
	}
	return parts
}

func partHeader(number, count int, index, checksum uint64) []byte {
	h := make([]byte, 0, partHeaderBytes)
	h = append(h, checkpointMagic...)
	h = append(h, checkpointVersion)
	h = binary.BigEndian.AppendUint32(h, uint32(number))
	h = binary.BigEndian.AppendUint32(h, uint32(count))
	h = binary.BigEndian.AppendUint64(h, index)
	return binary.BigEndian.AppendUint64(h, checksum)
}

func (t *Table) checkpoint() checkpointTable {
	c := checkpointTable{Index: t.Index, Configuration: t.Configuration}
	ownerNumbers := map[IncarnationID]uint32{}
	for i, id := range t.Members() {
		c.Members = append(c.Members, *t.members[id])
		ownerNumbers[id] = uint32(i) + 1
	}
	for _, name := range t.ServiceNames() {
		c.Services = append(c.Services, t.services[name].checkpoint(ownerNumbers))
	}
	return c
}

func (s *ServiceTable) checkpoint(ownerNumbers map[IncarnationID]uint32) checkpointService {
	c := checkpointService{Config: s.ServiceConfig, Keys: s.HotKeys()}
	for n := range s.Shards {
		c.Shards.add(ownerNumbers, s.Shard(n))
	}
	for _, k := range c.Keys {
		c.Hot.add(ownerNumbers, s.keys[k])
	}
	return c
}

// DecodeCheckpoint decodes the parts of one checkpoint, given in order. It returns ErrTooLarge, ErrChecksum,
// ErrEncoding, ErrTrailingData, ErrUnknownField or ErrInvalidContent for anything that Encode did not write.
func DecodeCheckpoint(parts [][]byte) (*Table, error) {
	content, index, err := joinCheckpointParts(parts)
	if err != nil {
		return nil, err
	}
	var c checkpointTable
	if err := unmarshal(checkpointDecMode, content, &c); err != nil {
		return nil, errors.WithMessage(err, "checkpoint")
	}
	if c.Index != index {
		return nil, errors.Wrapf(ErrInvalidContent, "checkpoint: the header has index %d, the content %d", index, c.Index)
	}
	return c.restore()
}

func joinCheckpointParts(parts [][]byte) (content []byte, index uint64, err error) {
	total := 0
	for _, p := range parts {
		total += len(p)
	}
	if total > MaxCheckpointBytes {
		return nil, 0, errors.Wrapf(ErrTooLarge, "checkpoint: %d bytes, limit %d", total, MaxCheckpointBytes)
	}
	if len(parts) == 0 || len(parts[0]) < partHeaderBytes {
		return nil, 0, errors.Wrap(ErrEncoding, "checkpoint: the first part is missing or shorter than its header")
	}
	first := parts[0][:partHeaderBytes]
	index = binary.BigEndian.Uint64(first[13:])
	checksum := binary.BigEndian.Uint64(first[21:])
	content = make([]byte, 0, total)
	for n, p := range parts {
		if !bytes.HasPrefix(p, partHeader(n, len(parts), index, checksum)) {
			return nil, 0, errors.Wrapf(ErrEncoding, "checkpoint: unexpected header in part %d of %d", n, len(parts))
		}
		content = append(content, p[partHeaderBytes:]...)
	}
	if xxhash.Sum64(content) != checksum {
		return nil, 0, errors.Wrapf(ErrChecksum, "checkpoint at log index %d", index)
	}
	return content, index, nil
}

// restore returns the decoded table. It recomputes the members' Owned counts instead of trusting the checkpoint.
func (c *checkpointTable) restore() (*Table, error) {
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
			return nil, errors.Wrap(ErrInvalidContent, "checkpoint: the members are not in strictly ascending order")
		}
		m.Owned = 0
		t.members[m.Incarnation] = m
		t.memberIDs = append(t.memberIDs, m.Incarnation)
		ids = append(ids, m.Incarnation)
	}
	for i := range c.Services {
		if err := t.addService(&c.Services[i], ids); err != nil {
			return nil, errors.WithMessagef(err, "checkpoint: service %q", c.Services[i].Config.Name)
		}
	}
	return t, nil
}

// addService adds a decoded service. ids maps the owner numbers of the columns to members; ids[0] is zero.
func (t *Table) addService(c *checkpointService, ids []IncarnationID) error {
	if err := checkServiceConfig(c.Config); err != nil {
		return err
	}
	if t.services[c.Config.Name] != nil {
		return errors.Wrap(ErrInvalidContent, "the service is listed twice")
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
		t.countOwned(a.Owner)
	}
	for i, k := range c.Keys {
		if _, ok := s.keys[k]; ok {
			return errors.Wrapf(ErrInvalidContent, "hot key %q is listed twice", k)
		}
		s.keys[k] = hot[i]
		t.countOwned(hot[i].Owner)
	}
	t.services[s.Name] = s
	return nil
}

// countOwned adds one to the Owned count of a member while the table is restored.
func (t *Table) countOwned(id IncarnationID) {
	if m := t.members[id]; m != nil {
		m.Owned++
	}
}

func (c *checkpointColumns) assignments(n int, ids []IncarnationID) ([]Assignment, error) {
	if len(c.Owners) != n || len(c.Epochs) != n || len(c.Floors) != n {
		return nil, errors.Wrapf(ErrInvalidContent, "%d owners, %d epochs and %d floors for %d assignments",
			len(c.Owners), len(c.Epochs), len(c.Floors), n)
	}
	list := make([]Assignment, n)
	for i := range list {
		if int(c.Owners[i]) >= len(ids) {
			return nil, errors.Wrapf(ErrInvalidContent, "owner number %d with %d members", c.Owners[i], len(ids)-1)
		}
		list[i] = Assignment{Owner: ids[c.Owners[i]], Epoch: c.Epochs[i], Floor: c.Floors[i]}
	}
	return list, nil
}

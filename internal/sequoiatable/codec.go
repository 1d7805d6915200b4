package sequoiatable

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxEntryBytes is the size limit of an encoded entry. The platform's store takes values of at most 1 MB.
const MaxEntryBytes = 1_000_000

// maxNameBytes bounds names, addresses and reasons, maxKeyBytes a hot key.
const (
	maxNameBytes = 1024
	maxKeyBytes  = 4096
)

// maxEntryElements bounds the arrays and maps of an entry and maxCheckpointElements those of a checkpoint.
const (
	maxEntryElements      = MaxShards
	maxCheckpointElements = 1 << 22
)

// Reasons for which a value is not decoded.
var (
	ErrTooLarge     = errors.New("the encoded value is larger than allowed")
	ErrTrailing     = errors.New("the encoded value is followed by other bytes")
	ErrUnknownField = errors.New("the encoded value has an unknown field")
	ErrEncoding     = errors.New("the value is not a correct encoding")
	ErrContent      = errors.New("the value has invalid content")
)

var (
	encMode        = mustEncMode()
	entryMode      = mustDecMode(maxEntryElements)
	checkpointMode = mustDecMode(maxCheckpointElements)
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode(elements int) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   16,
		MaxArrayElements:  elements,
		MaxMapPairs:       elements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// EncodeEntry returns the form of an entry that the store and the peers hold. It returns ErrContent for an entry that
// DecodeEntry would reject and ErrTooLarge for one above MaxEntryBytes.
func EncodeEntry(e Entry) ([]byte, error) {
	if err := checkEntry(&e); err != nil {
		return nil, err
	}
	data, err := encMode.Marshal(e)
	if err != nil {
		return nil, errors.Wrapf(ErrEncoding, "entry %d: %v", e.Index, err)
	}
	if len(data) > MaxEntryBytes {
		return nil, errors.Wrapf(ErrTooLarge, "entry %d: %d bytes, limit %d", e.Index, len(data), MaxEntryBytes)
	}
	return data, nil
}

// DecodeEntry reads what EncodeEntry wrote. It returns ErrTooLarge, ErrTrailing, ErrUnknownField, ErrEncoding or
// ErrContent for anything else.
func DecodeEntry(data []byte) (Entry, error) {
	if len(data) > MaxEntryBytes {
		return Entry{}, errors.Wrapf(ErrTooLarge, "entry: %d bytes, limit %d", len(data), MaxEntryBytes)
	}
	var e Entry
	if err := unmarshal(entryMode, data, &e); err != nil {
		return Entry{}, errors.WithMessage(err, "entry")
	}
	if err := checkEntry(&e); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// unmarshal maps the library's errors to the sentinel errors of this package.
func unmarshal(mode cbor.DecMode, data []byte, v any) error {
	err := mode.Unmarshal(data, v)
	if err == nil {
		return nil
	}
	var trailing *cbor.ExtraneousDataError
	if errors.As(err, &trailing) {
		return errors.Wrap(ErrTrailing, err.Error())
	}
	var unknown *cbor.UnknownFieldError
	if errors.As(err, &unknown) {
		return errors.Wrap(ErrUnknownField, err.Error())
	}
	return errors.Wrap(ErrEncoding, err.Error())
}

// checkEntry checks what does not depend on the table. Apply checks the rest.
func checkEntry(e *Entry) error {
	if e.Index == 0 {
		return errors.Wrap(ErrContent, "entry: the index is zero")
	}
	if e.Writer == 0 {
		return errors.Wrapf(ErrContent, "entry %d: the writer is zero", e.Index)
	}
	for i := range e.Changes {
		if err := checkChange(&e.Changes[i]); err != nil {
			return errors.WithMessagef(err, "entry %d, change %d", e.Index, i)
		}
	}
	return nil
}

func checkChange(c *Change) error {
	if n := c.fieldsSet(); n != 1 {
		return errors.Wrapf(ErrContent, "%d kinds of change", n)
	}
	switch {
	case c.Join != nil:
		return checkMember(&c.Join.Member)
	case c.Leave != nil:
		return checkIncarnation(c.Leave.Incarnation)
	case c.Revoke != nil:
		if err := checkNames(c.Revoke.Reason); err != nil {
			return err
		}
		return checkIncarnation(c.Revoke.Incarnation)
	case c.SetWitnesses != nil:
		return checkIncarnation(append([]IncarnationID{c.SetWitnesses.Holder}, c.SetWitnesses.Witnesses...)...)
	case c.Assign != nil:
		return checkAssignContent(c.Assign)
	case c.Merge != nil:
		if err := checkNames(c.Merge.Service); err != nil {
			return err
		}
		return checkKeys(c.Merge.Keys)
	}
	return checkConfiguration(c.SetConfiguration)
}

func checkMember(m *Member) error {
	if err := checkIncarnation(m.Incarnation); err != nil {
		return err
	}
	if m.Slots < 0 {
		return errors.Wrapf(ErrContent, "%d slots", m.Slots)
	}
	return checkNames(m.Instance, m.Region, m.FailureDomain, m.Service)
}

func checkAssignContent(a *Assign) error {
	if a.Kind < AssignInitial || a.Kind > AssignTakeover {
		return errors.Wrapf(ErrContent, "assignment kind %d", a.Kind)
	}
	if err := checkNames(a.Service, a.Reason); err != nil {
		return err
	}
	if err := checkIncarnation(a.To); err != nil {
		return err
	}
	for _, n := range a.Shards {
		if n >= MaxShards {
			return errors.Wrapf(ErrContent, "shard %d, limit %d", n, MaxShards)
		}
	}
	return checkKeys(a.Keys)
}

func checkConfiguration(c *SetConfiguration) error {
	if err := checkNames(c.Operator); err != nil {
		return err
	}
	for _, s := range c.Services {
		if err := checkServiceConfig(s); err != nil {
			return err
		}
	}
	return nil
}

func checkServiceConfig(s ServiceConfig) error {
	if s.Name == "" || s.Shards == 0 || s.Shards > MaxShards {
		return errors.Wrapf(ErrContent, "service %q with %d shards, limit %d", s.Name, s.Shards, MaxShards)
	}
	return checkNames(s.Name)
}

func checkIncarnation(ids ...IncarnationID) error {
	for _, id := range ids {
		if id == 0 {
			return errors.Wrap(ErrContent, "an incarnation is zero")
		}
	}
	return nil
}

func checkNames(names ...string) error {
	for _, s := range names {
		if len(s) > maxNameBytes {
			return errors.Wrapf(ErrContent, "a name of %d bytes, limit %d", len(s), maxNameBytes)
		}
	}
	return nil
}

func checkKeys(keys []string) error {
	for _, k := range keys {
		if k == "" || len(k) > maxKeyBytes {
			return errors.Wrapf(ErrContent, "a key of %d bytes, limit %d", len(k), maxKeyBytes)
		}
	}
	return nil
}

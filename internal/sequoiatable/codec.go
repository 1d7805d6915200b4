package sequoiatable

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxEntryBytes is the size limit of an encoded entry. The platform's key-value store accepts values of up to 1 MB.
const MaxEntryBytes = 1_000_000

// maxNameBytes limits names and reasons, maxKeyBytes a hot key.
const (
	maxNameBytes = 1024
	maxKeyBytes  = 4096
)

// Limits on the length of each array and map that is decoded.
const (
	maxEntryElements      = MaxShards
	maxCheckpointElements = 1 << 22
)

// Errors of decoding a value. Encoding returns ErrTooLarge, ErrEncoding and ErrInvalidContent too.
var (
	ErrTooLarge       = errors.New("the encoded value exceeds the size limit")
	ErrTrailingData   = errors.New("unexpected data after the encoded value")
	ErrUnknownField   = errors.New("the encoded value has an unknown field")
	ErrEncoding       = errors.New("malformed encoding")
	ErrInvalidContent = errors.New("the value fails validation")
)

var (
	encMode           = mustEncMode()
	entryDecMode      = mustDecMode(maxEntryElements)
	checkpointDecMode = mustDecMode(maxCheckpointElements)
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

// EncodeEntry returns the CBOR encoding of an entry, as it is stored and as peers exchange it. It returns
// ErrInvalidContent for an entry that DecodeEntry would reject and ErrTooLarge for one above MaxEntryBytes.
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

// DecodeEntry decodes the output of EncodeEntry. It returns ErrTooLarge, ErrTrailingData, ErrUnknownField, ErrEncoding
// or ErrInvalidContent for anything else.
func DecodeEntry(data []byte) (Entry, error) {
	if len(data) > MaxEntryBytes {
		return Entry{}, errors.Wrapf(ErrTooLarge, "entry: %d bytes, limit %d", len(data), MaxEntryBytes)
	}
	var e Entry
	if err := unmarshal(entryDecMode, data, &e); err != nil {
		return Entry{}, errors.WithMessage(err, "entry")
	}
	if err := checkEntry(&e); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// unmarshal maps the errors of the CBOR library to the sentinel errors of this package.
func unmarshal(mode cbor.DecMode, data []byte, v any) error {
	err := mode.Unmarshal(data, v)
	if err == nil {
		return nil
	}
	var trailing *cbor.ExtraneousDataError
	if errors.As(err, &trailing) {
		return errors.Wrap(ErrTrailingData, err.Error())
	}
	var unknown *cbor.UnknownFieldError
	if errors.As(err, &unknown) {
		return errors.Wrap(ErrUnknownField, err.Error())
	}
	return errors.Wrap(ErrEncoding, err.Error())
}

// checkEntry makes the checks that do not need the table. Apply makes the others.
func checkEntry(e *Entry) error {
	if e.Index == 0 {
		return errors.Wrap(ErrInvalidContent, "entry: the log index is zero")
	}
	if e.Writer == 0 {
		return errors.Wrapf(ErrInvalidContent, "entry %d: the writer is missing", e.Index)
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
		return errors.Wrapf(ErrInvalidContent, "change with %d fields set instead of 1", n)
	}
	switch {
	case c.Join != nil:
		return checkMember(&c.Join.Member)
	case c.Leave != nil:
		return checkIncarnationIDs(c.Leave.Incarnation)
	case c.Revoke != nil:
		if err := checkNames(c.Revoke.Reason); err != nil {
			return err
		}
		return checkIncarnationIDs(c.Revoke.Incarnation)
	case c.SetWitnesses != nil:
		return checkIncarnationIDs(append([]IncarnationID{c.SetWitnesses.Holder}, c.SetWitnesses.Witnesses...)...)
	case c.Assign != nil:
		return checkAssign(c.Assign)
	case c.Merge != nil:
		if err := checkNames(c.Merge.Service); err != nil {
			return err
		}
		return checkKeys(c.Merge.Keys)
	}
	return checkConfiguration(c.SetConfiguration)
}

func checkMember(m *Member) error {
	if err := checkIncarnationIDs(m.Incarnation); err != nil {
		return err
	}
	if m.Slots < 0 {
		return errors.Wrapf(ErrInvalidContent, "negative number of slots: %d", m.Slots)
	}
	return checkNames(m.Instance, m.Region, m.FailureDomain, m.Service)
}

func checkAssign(a *Assign) error {
	if a.Kind < AssignInitial || a.Kind > AssignTakeover {
		return errors.Wrapf(ErrInvalidContent, "unknown assignment kind %d", a.Kind)
	}
	if err := checkNames(a.Service, a.Reason); err != nil {
		return err
	}
	if err := checkIncarnationIDs(a.To); err != nil {
		return err
	}
	for _, n := range a.Shards {
		if n >= MaxShards {
			return errors.Wrapf(ErrInvalidContent, "shard %d, limit %d", n, MaxShards)
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
		return errors.Wrapf(ErrInvalidContent, "service %q with %d shards, limit %d", s.Name, s.Shards, MaxShards)
	}
	return checkNames(s.Name)
}

func checkIncarnationIDs(ids ...IncarnationID) error {
	for _, id := range ids {
		if id == 0 {
			return errors.Wrap(ErrInvalidContent, "an incarnation identifier is zero")
		}
	}
	return nil
}

func checkNames(names ...string) error {
	for _, s := range names {
		if len(s) > maxNameBytes {
			return errors.Wrapf(ErrInvalidContent, "a name or reason has %d bytes, limit %d", len(s), maxNameBytes)
		}
	}
	return nil
}

func checkKeys(keys []string) error {
	for _, k := range keys {
		if k == "" || len(k) > maxKeyBytes {
			return errors.Wrapf(ErrInvalidContent, "a key has %d bytes, not 1 to %d", len(k), maxKeyBytes)
		}
	}
	return nil
}

package sequoiapeer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// MaxControlMessage is the largest encoded control message in bytes. A checkpoint of 250,000 assignments fits.
const MaxControlMessage = 32 << 20

// Encoding and decoding errors.
var (
	// ErrTooLarge reports a message or frame above its size limit.
	ErrTooLarge = errors.New("larger than the size limit")
	// ErrMalformed reports bytes that are not a valid encoding of the expected type.
	ErrMalformed = errors.New("malformed encoding")
	// ErrMessage reports a control message that does not have exactly one kind set, or has no sender.
	ErrMessage = errors.New("not exactly one kind of control message, or no sender")
)

// maxElements limits the length of arrays and maps in a message. The longest is the shard list of one assignment.
const maxElements = 1 << 20

// maxNesting limits the nesting depth of a message. The deepest is Message.Entries.Entries.Changes.Assign.Shards.
const maxNesting = 16

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecoder returns a strict decoder, which rejects encodings that the encoder does not produce. It accepts text that is
// not UTF-8: headers of clients and upstreams may hold any bytes above 0x7f, and one that cannot be decoded would close the
// connection with the requests of other clients on it.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		UTF8:              cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// envelope is a control message with its sender, as encoded.
type envelope struct {
	From    sequoiatable.IncarnationID
	Message sequoiacontrol.Message
}

// encodeControl encodes a message. It returns ErrMessage or ErrTooLarge if the receiver would reject it.
func encodeControl(from sequoiatable.IncarnationID, m sequoiacontrol.Message) ([]byte, error) {
	e := envelope{From: from, Message: m}
	if err := e.validate(); err != nil {
		return nil, err
	}
	b, err := encoder.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode a control message")
	}
	if len(b) > MaxControlMessage {
		return nil, errors.Wrapf(ErrTooLarge, "control message of %d bytes, at most %d", len(b), MaxControlMessage)
	}
	return b, nil
}

// decodeControl decodes and validates a message. It returns ErrTooLarge, ErrMalformed or ErrMessage.
func decodeControl(b []byte) (envelope, error) {
	if len(b) > MaxControlMessage {
		return envelope{}, errors.Wrapf(ErrTooLarge, "control message of %d bytes, at most %d", len(b), MaxControlMessage)
	}
	var e envelope
	if err := decoder.Unmarshal(b, &e); err != nil {
		return envelope{}, errors.Wrapf(ErrMalformed, "control message: %v", err)
	}
	if err := e.validate(); err != nil {
		return envelope{}, err
	}
	return e, nil
}

func (e *envelope) validate() error {
	kinds := 0
	m := &e.Message
	for _, set := range []bool{
		m.Renew != nil, m.Renewed != nil, m.Suspect != nil, m.SuspectQuery != nil, m.SuspectReply != nil,
		m.Promise != nil, m.Promised != nil, m.Entries != nil, m.EntriesRequest != nil, m.Checkpoint != nil,
		m.LoadReport != nil, m.LoadBatch != nil, m.Release != nil, m.Memory != nil, m.MemoryReceived != nil,
	} {
		if set {
			kinds++
		}
	}
	if kinds != 1 || e.From == 0 {
		return errors.Wrapf(ErrMessage, "%d kinds from %v", kinds, e.From)
	}
	return nil
}

package sequoiaquarantine

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxEncoded is the largest encoding of records in bytes that is read.
const maxEncoded = 64 << 10

// ErrMalformed reports bytes that are not an encoding of records.
var ErrMalformed = errors.New("malformed quarantine records")

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: 4 * maxRecords,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes records.
func Encode(records []Record) ([]byte, error) {
	b, err := cbor.Marshal(records)
	return b, errors.Wrap(err, "encode quarantine records")
}

// Decode decodes records. It returns ErrMalformed if they cannot be read.
func Decode(b []byte) ([]Record, error) {
	if len(b) > maxEncoded {
		return nil, errors.Wrapf(ErrMalformed, "%d bytes, at most %d", len(b), maxEncoded)
	}
	var records []Record
	if err := decoder.Unmarshal(b, &records); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	for _, r := range records {
		if r.Mark.Strikes > maxStrikes || r.Trials > maxTrials || r.Changed < 0 {
			return nil, errors.Wrapf(ErrMalformed, "strikes %d, trials %d, time %d", r.Mark.Strikes, r.Trials, r.Changed)
		}
	}
	return records, nil
}

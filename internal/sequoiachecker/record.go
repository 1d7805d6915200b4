// Package sequoiachecker checks the invariants of a run from the upstreams' execution records, the callers' records and
// the acknowledged log entries. It does no input or output.
package sequoiachecker

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Execution is one request that an upstream began to run. A request that was refused before that has none.
type Execution struct {
	Upstream    string
	Service     string
	Key         string
	Epoch       sequoiatable.Epoch
	Incarnation sequoiatable.IncarnationID
	RequestID   string
	Start       time.Time
	End         time.Time
	// Committed is true if the request took effect.
	Committed bool
}

// Answer is the body of an upstream stand-in's response. With it a caller verifies that the response belongs to its
// request and is complete.
type Answer struct {
	RequestID string
	Key       string
	// BodyDigest is the xxHash64 of the request's body.
	BodyDigest uint64 `json:",string"`
	Upstream   string
	// Padding brings the answer to the size that the stand-in is set to.
	Padding string
	// Checksum is the xxHash64 of the fields before.
	Checksum uint64 `json:",string"`
}

// NewAnswer returns the answer to a request.
func NewAnswer(upstream, requestID, key string, body []byte, padding string) Answer {
	a := Answer{RequestID: requestID, Key: key, BodyDigest: Digest(body), Upstream: upstream, Padding: padding}
	a.Checksum = a.sum()
	return a
}

// Digest returns the digest of a body that an Answer carries.
func Digest(body []byte) uint64 {
	return xxhash.Sum64(body)
}

func (a *Answer) sum() uint64 {
	c := *a
	c.Checksum = 0
	data, err := json.Marshal(c)
	if err != nil {
		// Strings and numbers are always encoded.
		panic(errors.Wrap(err, "encode answer"))
	}
	return xxhash.Sum64(data)
}

// Faults of an answer.
var (
	ErrIncomplete = errors.New("the answer is not complete")
	ErrNotOwn     = errors.New("the answer belongs to another request")
)

// VerifyAnswer checks the body of a response to the request of a record. It returns ErrIncomplete or ErrNotOwn.
func VerifyAnswer(c *CallerRecord, body []byte) error {
	var a Answer
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&a); err != nil {
		return errors.Wrap(ErrIncomplete, err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrIncomplete, "bytes after the answer")
	}
	if a.Checksum != a.sum() {
		return errors.Wrap(ErrIncomplete, "the checksum differs")
	}
	if a.RequestID != c.RequestID || a.Key != c.Key || a.BodyDigest != c.BodyDigest {
		return errors.Wrapf(ErrNotOwn, "request %q of key %q", a.RequestID, a.Key)
	}
	return nil
}

// Outcome is what a caller was told of its request.
type Outcome string

// The outcomes, as in the header Sequoia-Outcome.
const (
	Answered Outcome = "Answered"
	NotRun   Outcome = "NotRun"
	Unknown  Outcome = "Unknown"
)

// CallerRecord is one request of a caller, with all its attempts, and how it ended.
type CallerRecord struct {
	Service string
	Key     string
	// RequestID is empty for a request that the upstream cannot identify.
	RequestID  string
	BodyDigest uint64 `json:",string"`
	// Repeatable is true for a request that may run more than once.
	Repeatable bool
	Outcome    Outcome
	// Status is the status of the response and Answer its body, for Answered.
	Status int
	Answer []byte
	Sent   time.Time
	Ended  time.Time
}

// Package sequoiachecker checks the invariants of a test run, given the upstreams' execution records, the callers'
// records and the acknowledged log entries. It performs no I/O.
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

// Execution is the record of a request that an upstream started to run. Requests refused before that have no record.
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

// Answer is the body of a response of the upstream stand-in. It lets a caller verify that the response belongs to its
// request and is complete.
type Answer struct {
	RequestID string
	Key       string
	// BodyDigest is the xxHash64 of the request's body.
	BodyDigest uint64 `json:",string"`
	Upstream   string
	// Padding is filler of the size that the stand-in is configured with.
	Padding string
	// Checksum is the xxHash64 of the JSON form of the answer with a zero checksum.
	Checksum uint64 `json:",string"`
}

// NewAnswer returns the answer to a request.
func NewAnswer(upstream, requestID, key string, body []byte, padding string) Answer {
	a := Answer{RequestID: requestID, Key: key, BodyDigest: Digest(body), Upstream: upstream, Padding: padding}
	a.Checksum = a.computeChecksum()
	return a
}

// Digest returns the digest of a body that an Answer carries.
func Digest(body []byte) uint64 {
	return xxhash.Sum64(body)
}

func (a *Answer) computeChecksum() uint64 {
	c := *a
	c.Checksum = 0
	data, err := json.Marshal(c)
	if err != nil {
		// Encoding strings and integers cannot fail.
		panic(errors.Wrap(err, "encode answer"))
	}
	return xxhash.Sum64(data)
}

// Errors of VerifyAnswer.
var (
	ErrIncomplete      = errors.New("the answer is incomplete")
	ErrUnmatchedAnswer = errors.New("the answer belongs to another request")
)

// VerifyAnswer checks that a response body is the complete answer to the request of a record. It returns an error that
// wraps ErrIncomplete or ErrUnmatchedAnswer.
func VerifyAnswer(c *CallerRecord, body []byte) error {
	var a Answer
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&a); err != nil {
		return errors.Wrap(ErrIncomplete, err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrIncomplete, "trailing data after the answer")
	}
	if a.Checksum != a.computeChecksum() {
		return errors.Wrap(ErrIncomplete, "checksum mismatch")
	}
	if a.RequestID != c.RequestID || a.Key != c.Key || a.BodyDigest != c.BodyDigest {
		return errors.Wrapf(ErrUnmatchedAnswer, "request %q with key %q", a.RequestID, a.Key)
	}
	return nil
}

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The values of the header Sequoia-Outcome.
const (
	Answered Outcome = "Answered"
	NotRun   Outcome = "NotRun"
	Unknown  Outcome = "Unknown"
)

// CallerRecord is a request of a caller, all attempts included, and its outcome.
type CallerRecord struct {
	Service string
	Key     string
	// RequestID is empty for a request without an identifier.
	RequestID  string
	BodyDigest uint64 `json:",string"`
	// Repeatable is true for a request that may run more than once.
	Repeatable bool
	Outcome    Outcome
	// Status is the status code of the response and Answer its body, if the outcome is Answered.
	Status int
	Answer []byte
	Sent   time.Time
	Ended  time.Time
}

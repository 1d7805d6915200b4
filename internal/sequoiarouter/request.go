// Package sequoiarouter decides where a request is sent, whether it is admitted, whether it may be retried, and which
// outcome the caller gets. It does no I/O.
package sequoiarouter

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Outcome tells the caller whether its request ran.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered means that the response is the upstream's complete response.
	Answered Outcome = iota + 1
	// NotRun means that the upstream certainly did not run the request.
	NotRun
	// Unknown means that the upstream may have run the request.
	Unknown
)

// String returns the name used in headers and logs.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "Answered"
	case NotRun:
		return "NotRun"
	case Unknown:
		return "Unknown"
	}
	return "Invalid"
}

// ProtocolVersion is the version of the protocol between processes. A process uses fields and frames that version 2 has
// added only towards processes whose entry in the store names it.
const ProtocolVersion = 2

// Request is a caller's complete request.
type Request struct {
	Service string
	// Key selects the owner. It is empty for services that are not divided by key.
	Key string
	// RequestID is set for requests that must not be repeated.
	RequestID string
	// FirstEpoch is the epoch of the assignment used by the first attempt that may have run, or zero if the caller did
	// not send it.
	FirstEpoch sequoiatable.Epoch
	// FirstAttempt is true while, as far as the caller and this process know, no attempt may have run. It is not sent
	// to other processes.
	FirstAttempt bool
	// Repeatable is true if the request may be run more than once.
	Repeatable bool
	// Deadline is a time on this process's clock. Other processes are sent the remaining time.
	Deadline time.Time
	// Forwarded is true if another process forwarded the request; it is not forwarded again.
	Forwarded bool
	Method    string
	// Host is the caller's Host header. If it is empty, the upstream's address is sent.
	Host string
	// Target is the instance that the last attempt was sent to, and Attempts is the number of attempts. Neither is
	// forwarded.
	Target   string
	Attempts int
	// Route is the name of the routing rule that the request matched.
	Route string
	// Origin is the service of the instance where the request originated.
	Origin string
	// Priority is the request's rank in its service's queue; 0 is the highest.
	Priority int
	// Objective is the target latency: a response within this time of the request's arrival has its full value to the
	// caller.
	Objective time.Duration
	// Path is the path after the service name, including the query.
	Path   string
	Header map[string][]string
	Body   []byte
	// BodySize is the size in bytes of a body that follows the request in pieces; zero if Body is complete. It is set only
	// while a request is sent to another process.
	BodySize int
	// Version is the protocol version of the process that forwards the request, zero for one before ProtocolVersion 2. It
	// says which fields of a response that process can read.
	Version int
}

// StampFirstEpoch sets FirstEpoch for the next attempt, which is sent to the owner under the assignment with the given
// epoch. Once an attempt may have run, FirstEpoch no longer changes; otherwise an owner after a later takeover could
// not tell that the request may have run.
func (req *Request) StampFirstEpoch(epoch sequoiatable.Epoch) {
	if req.FirstAttempt && req.RequestID != "" {
		req.FirstEpoch = max(req.FirstEpoch, epoch)
	}
}

// RecordAttempt updates FirstAttempt with the response to an attempt.
func (req *Request) RecordAttempt(resp *Response) {
	req.FirstAttempt = req.FirstAttempt && resp.Outcome == NotRun
}

// Load is an upstream's load as known to the process beside it.
type Load struct {
	// Running and Waiting are the numbers of requests in progress and queued.
	Running, Waiting int
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	// Work is the mean duration of a request at the upstream, or zero if none has finished.
	Work time.Duration
	// StartDelay is how long one more request would wait because of the upstream's limit on requests per second.
	StartDelay time.Duration
	// LinkDelay is how long one more body of 64 KB would wait for the link of the upstream's instance and take to arrive.
	// It is zero if the capacity of the link is not known.
	LinkDelay time.Duration `cbor:",omitempty"`
	// ColdFor is how much longer the upstream is cold. Until then it must be sent few requests.
	ColdFor time.Duration `cbor:",omitempty"`
}

// ForVersion returns the load without the fields that a process with an older protocol version rejects.
func (l Load) ForVersion(version int) Load {
	if version < ProtocolVersion {
		l.LinkDelay, l.ColdFor = 0, 0
	}
	return l
}

// Response is the response to a request, from the upstream or from the router.
type Response struct {
	Outcome Outcome
	// Reason is why the outcome is not Answered, as one word in Pascal case.
	Reason string
	Owner  sequoiatable.IncarnationID
	Epoch  sequoiatable.Epoch
	// LogIndex is the log index of the table that the responding process used.
	LogIndex uint64
	// RetryAfter is the delay after which a retry may succeed, or zero if unknown. It is set only for NotRun.
	RetryAfter time.Duration
	// Load is the responding upstream's load after the request.
	Load   Load
	Status int
	Header map[string][]string
	Body   []byte
}

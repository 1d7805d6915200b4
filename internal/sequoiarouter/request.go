// Package sequoiarouter decides what happens to a request: where it goes, whether it is admitted, whether it may be
// run again, and which outcome the caller is told. It does no input or output.
package sequoiarouter

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Outcome is what the caller is told of its request.
type Outcome uint8

// The outcomes.
const (
	// Answered comes with the upstream's whole answer.
	Answered Outcome = iota + 1
	// NotRun means that the upstream provably did not run the request.
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

// Request is a caller's request, whole.
type Request struct {
	Service string
	// Key selects the owner; empty in services that are not divided by key.
	Key string
	// RequestID is set on requests that must not be repeated.
	RequestID string
	// FirstEpoch is the epoch that the first attempt that may have run saw, zero if the caller did not say.
	FirstEpoch sequoiatable.Epoch
	// FirstAttempt is true while no attempt may have run, as far as the caller and this process know. It is not passed
	// on to other processes.
	FirstAttempt bool
	// Repeatable is true for a request that may be run more than once.
	Repeatable bool
	// Deadline is on this process's clock. Between processes the remaining time is sent.
	Deadline time.Time
	// Forwarded is true for a request that another process has passed on; it is not passed on again.
	Forwarded bool
	Method    string
	// Host is the host that the caller named, empty if the upstream's address is to be sent.
	Host string
	// Target is the instance that the last attempt went to, and Attempts their number. They are not passed on.
	Target   string
	Attempts int
	// Route names the rule that the request follows.
	Route string
	// Origin is the service of the instance where the request began.
	Origin string
	// Priority is the request's rank in its service's queue; 0 is the highest.
	Priority int
	// Objective is the time within which the response has its full value to the caller, counted from its arrival.
	Objective time.Duration
	// Path is the path behind the service's name, with the query.
	Path   string
	Header map[string][]string
	Body   []byte
}

// Stamp sets the stamp of the next attempt, which goes to the owner by the assignment with this epoch. Once an attempt
// may have run the stamp does not change, because an owner by a later takeover could not tell that it may have.
func (req *Request) Stamp(epoch sequoiatable.Epoch) {
	if req.FirstAttempt && req.RequestID != "" {
		req.FirstEpoch = max(req.FirstEpoch, epoch)
	}
}

// Attempted notes the end of an attempt for Stamp.
func (req *Request) Attempted(resp *Response) {
	req.FirstAttempt = req.FirstAttempt && resp.Outcome == NotRun
}

// Load is what a process knows of its upstream's load.
type Load struct {
	// Running and Waiting are requests in progress and in the queue.
	Running, Waiting int
	// Slots is the number of requests that the upstream works on at once.
	Slots int
	// Work is the mean duration of a request at the upstream, zero if none has ended.
	Work time.Duration
}

// Response is the end of a request.
type Response struct {
	Outcome Outcome
	// Reason says why the outcome is not Answered, as one word in Pascal case.
	Reason string
	Owner  sequoiatable.IncarnationID
	Epoch  sequoiatable.Epoch
	// LogIndex is the index of the table by which the responding process decided.
	LogIndex uint64
	// RetryAfter is when another attempt may succeed, zero if nothing is known. It belongs to NotRun only.
	RetryAfter time.Duration
	// Load is the responding upstream's load after the request.
	Load   Load
	Status int
	Header map[string][]string
	Body   []byte
}

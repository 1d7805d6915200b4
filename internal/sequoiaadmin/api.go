// Package sequoiaadmin is the administration API of a process and its client. Every call needs the credential from
// the settings.
package sequoiaadmin

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Errors that callers of the client test for. They travel by name in Failure.
var (
	// ErrCredential means that the credential is missing or wrong.
	ErrCredential = errors.New("the credential is missing or wrong")
	// ErrBadRequest means that the request is malformed or not allowed; nothing was changed.
	ErrBadRequest = errors.New("the request is not valid")
	// ErrConflict means that another change won; Failure.Revision names the revision in force.
	ErrConflict = errors.New("another change won")
	// ErrNotFound means that the service, key owner or member does not exist.
	ErrNotFound = errors.New("not found")
	// ErrMemberAlive means that the loss of a member was not confirmed, since the member still renews its lease.
	ErrMemberAlive = errors.New("the member is alive")
	// ErrUnknownResult means that the change may or may not have been made: the store or the process did not answer in
	// time. Asking again is safe.
	ErrUnknownResult = errors.New("the result is not known")
)

// Failure is the body of a response that is not a success.
type Failure struct {
	// Error is the name of one of this package's errors without "Err".
	Error   string
	Message string
	// Revision is the configuration revision in force, for Conflict.
	Revision uint64 `json:",omitempty"`
}

// Status describes a process and the table it has.
type Status struct {
	Instance      string
	Incarnation   sequoiatable.IncarnationID
	FailureDomain string
	LogIndex      uint64
	// Configuration is the revision in force, zero if there is none.
	Configuration uint64
	// LeaseMilliseconds is the time left on the process's lease, zero if it has none.
	LeaseMilliseconds int64
	Draining          bool
	Members           []MemberStatus
	Services          []ServiceStatus
}

// MemberStatus describes one member.
type MemberStatus struct {
	Incarnation   sequoiatable.IncarnationID
	Instance      string
	Region        string
	FailureDomain string
	Service       string
	HTTP          netip.AddrPort
	Owned         int
	Witnesses     []sequoiatable.IncarnationID
	Revoked       bool
}

// ServiceStatus describes the assignments of one service.
type ServiceStatus struct {
	Name    string
	Shards  uint32
	Divided bool
	// Unassigned counts the shards without an owner that is a live member.
	Unassigned int
	HotKeys    []string
}

// Explanation says who owns a key and why.
type Explanation struct {
	Service string
	Key     string
	Shard   uint32
	HotKey  bool
	Owner   sequoiatable.IncarnationID
	// Instance is empty if the owner is no longer a member.
	Instance string
	// Revoked is true if the owner is revoked, which ends its ownership.
	Revoked bool
	Epoch   sequoiatable.Epoch
	Floor   sequoiatable.Epoch
	// Decision, Reason and Previous are empty if this process applied the assignment as part of a checkpoint.
	Decision string
	Reason   string
	Previous sequoiatable.IncarnationID
	// Since is when this process applied the assignment.
	Since    time.Time
	LogIndex uint64
}

// Document is a configuration with its revision.
type Document struct {
	Revision uint64
	Operator string
	Document string
}

// ApplyRequest replaces the configuration.
type ApplyRequest struct {
	// Base is the revision that the document was made from. The request fails with Conflict if another one is in force.
	Base     uint64
	Operator string
	Document string
}

// MoveRequest moves shards or hot keys of a service to the process of an instance.
type MoveRequest struct {
	Service string
	Shards  []uint32
	Keys    []string
	// To is the name of an instance.
	To     string
	Reason string
}

// DrainRequest makes the process move its keys away and stop.
type DrainRequest struct {
	Reason string
}

// ConfirmLossRequest says that the process of a member is gone for good. Exactly one of the fields names the member. The
// request fails with MemberAlive if the member still renews its lease.
//
// The keys of the member get another owner without the consent of its witnesses. If the process is alive and cut off,
// both may serve the same keys.
type ConfirmLossRequest struct {
	Incarnation sequoiatable.IncarnationID `json:",omitzero"`
	// Instance is the name of an instance with one member.
	Instance string `json:",omitempty"`
}

// Done is the answer to a change that was made.
type Done struct {
	// Revision is the log index at which the change took effect.
	Revision uint64
}

// Package sequoiaadmin implements the administration API of a process and its client. Every call is authenticated by
// the credential from the settings.
package sequoiaadmin

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Errors that the client returns. The server sends their names in Failure.
var (
	// ErrCredential means that the credential is missing or wrong.
	ErrCredential = errors.New("the credential is missing or wrong")
	// ErrBadRequest means that the request is malformed or not allowed; nothing was changed.
	ErrBadRequest = errors.New("invalid request")
	// ErrConflict means that another change took effect first. Failure.Revision is the revision in force.
	ErrConflict = errors.New("another change took effect first")
	// ErrNotFound means that the service, key owner or member does not exist.
	ErrNotFound = errors.New("not found")
	// ErrMemberAlive means that the loss of a member was not confirmed because the member still renews its lease.
	ErrMemberAlive = errors.New("the member still renews its lease")
	// ErrUnknownResult means that the change may or may not have been made because the store or the process did not
	// respond in time. The request can safely be repeated.
	ErrUnknownResult = errors.New("the result is not known")
	// ErrTooLarge reports a response that is larger than any response of the API.
	ErrTooLarge = errors.New("the response is too large")
)

// Failure is the body of an error response.
type Failure struct {
	// Error is the name of one of this package's errors without the prefix "Err".
	Error   string
	Message string
	// Revision is the configuration revision in force if Error is Conflict.
	Revision uint64 `json:",omitempty"`
}

// Status describes a process and its copy of the table.
type Status struct {
	Instance      string
	Incarnation   sequoiatable.IncarnationID
	FailureDomain string
	LogIndex      uint64
	// Configuration is the configuration revision in force, zero if there is none.
	Configuration uint64
	// LeaseMilliseconds is the remaining time of the process's lease, zero if it has none.
	LeaseMilliseconds int64
	Draining          bool
	Members           []MemberStatus
	Services          []ServiceStatus
}

// MemberStatus describes a member.
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

// ServiceStatus describes the assignments of a service.
type ServiceStatus struct {
	Name    string
	Shards  uint32
	Divided bool
	// Unassigned is the number of shards whose owner is not a live member.
	Unassigned int
	HotKeys    []string
}

// Explanation describes the owner of a key and the decision that assigned it.
type Explanation struct {
	Service string
	Key     string
	Shard   uint32
	HotKey  bool
	Owner   sequoiatable.IncarnationID
	// Instance is empty if the owner is no longer a member.
	Instance string
	// Revoked is true if the owner has been revoked, which ends its ownership.
	Revoked bool
	Epoch   sequoiatable.Epoch
	Floor   sequoiatable.Epoch
	// Decision, Reason and Previous are empty if this process applied the assignment as part of a checkpoint.
	Decision string
	Reason   string
	Previous sequoiatable.IncarnationID
	// Since is the time at which this process applied the assignment.
	Since    time.Time
	LogIndex uint64
}

// Document is a configuration document with its revision.
type Document struct {
	Revision uint64
	Operator string
	Document string
}

// ApplyRequest replaces the configuration.
type ApplyRequest struct {
	// Base is the revision that the document is based on. The request fails with Conflict if another one is in force.
	Base     uint64
	Operator string
	Document string
}

// MoveRequest moves shards or hot keys of a service to the process on an instance.
type MoveRequest struct {
	Service string
	Shards  []uint32
	Keys    []string
	// To is the name of the destination instance.
	To     string
	Reason string
}

// DrainRequest makes the process hand over its keys and stop.
type DrainRequest struct {
	Reason string
}

// ConfirmLossRequest confirms that the process of a member is permanently lost. Exactly one of the fields must be set.
// The request fails with MemberAlive if the member still renews its lease.
//
// The keys of the member are assigned to other owners without the consent of its witnesses. If the process is alive but
// partitioned from the network, two owners may serve the same keys.
type ConfirmLossRequest struct {
	Incarnation sequoiatable.IncarnationID `json:",omitzero"`
	// Instance is the name of an instance that has a single member.
	Instance string `json:",omitempty"`
}

// Done is the response to a successful change.
type Done struct {
	// Revision is the log index at which the change took effect.
	Revision uint64
}

// Package sequoiatable holds the entries of the log in the platform's store and the table that results from applying
// them in order. It does no input or output.
package sequoiatable

import (
	"net/netip"
	"strconv"

	"github.com/pkg/errors"
)

// IncarnationID names one run of a process. It is random and never zero; a restarted process takes a new one.
type IncarnationID uint64

// String returns the identifier as 16 hexadecimal digits, the form used in headers, logs and JSON.
func (id IncarnationID) String() string {
	s := strconv.FormatUint(uint64(id), 16)
	return "0000000000000000"[len(s):] + s
}

// MarshalText encodes the identifier as 16 hexadecimal digits.
func (id IncarnationID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText decodes hexadecimal digits. It returns ErrIncarnationID for anything else.
func (id *IncarnationID) UnmarshalText(text []byte) error {
	v, err := ParseIncarnationID(string(text))
	if err != nil {
		return err
	}
	*id = v
	return nil
}

// ErrIncarnationID reports text that is not an incarnation identifier.
var ErrIncarnationID = errors.New("not an incarnation identifier: want 16 hexadecimal digits")

// ParseIncarnationID reads the form that String writes. It returns ErrIncarnationID for anything else.
func ParseIncarnationID(s string) (IncarnationID, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrIncarnationID, "%q", s)
	}
	return IncarnationID(v), nil
}

// Epoch is the index of the log entry that made an assignment. Epochs so increase across the whole system. Zero means
// that a key was never assigned.
type Epoch uint64

// Entry is one entry of the log. Index n is stored under a key that is created only if it does not exist.
type Entry struct {
	Index uint64
	// Writer and Nonce tell a writer whose reply was lost whether the stored entry is its own.
	Writer  IncarnationID
	Nonce   uint64
	Changes []Change
}

// Change is one change of the table. Exactly one field is set.
type Change struct {
	Join             *Join             `cbor:",omitempty"`
	Leave            *Leave            `cbor:",omitempty"`
	Revoke           *Revoke           `cbor:",omitempty"`
	SetWitnesses     *SetWitnesses     `cbor:",omitempty"`
	Assign           *Assign           `cbor:",omitempty"`
	Merge            *Merge            `cbor:",omitempty"`
	SetConfiguration *SetConfiguration `cbor:",omitempty"`
}

// fieldsSet returns the number of fields that are set; a valid change has one.
func (c *Change) fieldsSet() int {
	n := 0
	for _, present := range []bool{
		c.Join != nil, c.Leave != nil, c.Revoke != nil, c.SetWitnesses != nil,
		c.Assign != nil, c.Merge != nil, c.SetConfiguration != nil,
	} {
		if present {
			n++
		}
	}
	return n
}

// Member describes a process as the others need to know it.
type Member struct {
	Incarnation   IncarnationID
	Instance      string
	Region        string
	FailureDomain string
	// Service is the service of the upstream beside the process, empty until one has announced itself.
	Service string
	// Boot identifies the boot of the instance's operating system, zero if it is not known. Two processes with the same
	// Boot and Control address run on the same machine one after the other.
	Boot uint64
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Control is the QUIC address, Forward the TCP address for forwarded requests, HTTP the callers' address.
	Control netip.AddrPort
	Forward netip.AddrPort
	HTTP    netip.AddrPort
}

// Join adds a member, or replaces the description of one that is already in the table. An earlier, unrevoked
// incarnation of the same instance is not affected; it has to be revoked on its own.
type Join struct {
	Member Member
}

// Leave removes a member that owns nothing. Only the member itself writes it.
type Leave struct {
	Incarnation IncarnationID
}

// Revoke ends the authority of a member. No later entry may change its witness set or assign keys to it.
type Revoke struct {
	Incarnation IncarnationID
	Reason      string
}

// SetWitnesses names the incarnations that renew the holder's lease. Only the holder itself writes it.
type SetWitnesses struct {
	Holder    IncarnationID
	Witnesses []IncarnationID
}

// AssignKind says why an assignment changes.
type AssignKind uint8

// The kinds of assignment.
const (
	// AssignInitial assigns keys that have no owner.
	AssignInitial AssignKind = iota + 1
	// AssignPlanned is written by the current owner after it has stopped serving the keys.
	AssignPlanned
	// AssignTakeover takes keys from a revoked incarnation whose lease has ended.
	AssignTakeover
)

// String returns the name that logs and JSON show.
func (k AssignKind) String() string {
	switch k {
	case AssignInitial:
		return "Initial"
	case AssignPlanned:
		return "Planned"
	case AssignTakeover:
		return "Takeover"
	}
	return "Unknown"
}

// Assign gives shards and hot keys of a service to a member. From is the current owner, zero for AssignInitial.
type Assign struct {
	Service string
	Kind    AssignKind
	From    IncarnationID
	To      IncarnationID
	Shards  []uint32 `cbor:",omitempty"`
	// Keys are hot keys. A key without an assignment of its own gets one; From is then the owner of its shard.
	Keys   []string `cbor:",omitempty"`
	Reason string
}

// Merge folds hot keys back into their shards. Only the owner of both writes it. Each shard gets the entry's epoch and
// the highest floor of the shard and the keys folded into it.
type Merge struct {
	Service string
	Keys    []string
}

// SetConfiguration replaces the operators' configuration document.
type SetConfiguration struct {
	// Base is the revision (log index) that the operator started from, zero for the first document. The change is
	// refused when another revision is in force.
	Base uint64
	// Document is JSON with comments, as the operator wrote it.
	Document []byte
	// Services is what the table needs of the document; the writer derives it.
	Services []ServiceConfig
	Operator string
}

// ServiceConfig is what the table itself needs to know of a service in the configuration.
type ServiceConfig struct {
	Name string
	// Shards is the number of hash ranges. It cannot change after the first assignment.
	Shards uint32
	// Divided is true for a service whose upstreams each serve only the keys they own.
	Divided bool
}

// Package sequoiatable defines the entries of the log in the platform's key-value store and the assignment table that
// results from applying them in order. It does no I/O.
package sequoiatable

import (
	"net/netip"
	"strconv"

	"github.com/pkg/errors"
)

// IncarnationID identifies one run of a process. It is random and never zero; a restarted process gets a new one.
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

// UnmarshalText decodes hexadecimal digits. It returns ErrIncarnationID for any other text.
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

// ParseIncarnationID parses the output of String. It returns ErrIncarnationID for any other text.
func ParseIncarnationID(s string) (IncarnationID, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrIncarnationID, "%q", s)
	}
	return IncarnationID(v), nil
}

// Epoch is the index of the log entry that made an assignment, so epochs increase across the whole system. It is zero
// for a key that was never assigned.
type Epoch uint64

// Entry is one entry of the log. Its store key is derived from Index and is only ever created, never overwritten.
type Entry struct {
	Index uint64
	// Writer and Nonce let a writer that lost the store's reply recognize the stored entry as its own.
	Writer  IncarnationID
	Nonce   uint64
	Changes []Change
}

// Change is one change to the table. Exactly one field is set.
type Change struct {
	Join             *Join             `cbor:",omitempty"`
	Leave            *Leave            `cbor:",omitempty"`
	Revoke           *Revoke           `cbor:",omitempty"`
	SetWitnesses     *SetWitnesses     `cbor:",omitempty"`
	Assign           *Assign           `cbor:",omitempty"`
	Merge            *Merge            `cbor:",omitempty"`
	SetConfiguration *SetConfiguration `cbor:",omitempty"`
}

// fieldsSet returns the number of fields that are set, which is one in a valid change.
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

// Member describes a process to the other processes.
type Member struct {
	Incarnation   IncarnationID
	Instance      string
	Region        string
	FailureDomain string
	// Service is the service of the upstream on the same instance, empty until one has announced itself.
	Service string
	// Boot identifies the boot of the instance's operating system, zero if unknown. Two processes with the same Boot and
	// Control address ran one after the other on the same machine.
	Boot uint64
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Control is the QUIC address for control messages, Forward the TCP address for requests that other processes
	// forward, and HTTP the address for callers.
	Control netip.AddrPort
	Forward netip.AddrPort
	HTTP    netip.AddrPort
}

// Join adds a member or replaces the description of an existing one. It does not affect an earlier, unrevoked
// incarnation of the same instance, which must be revoked separately.
type Join struct {
	Member Member
}

// Leave removes a member that owns no keys. Only the member itself may write it.
type Leave struct {
	Incarnation IncarnationID
}

// Revoke revokes a member, so that others can take over its keys once its lease has ended. No later entry may change
// its witness set or assign keys to it.
type Revoke struct {
	Incarnation IncarnationID
	Reason      string
}

// SetWitnesses replaces the set of incarnations that renew the holder's lease. Only the holder itself may write it.
type SetWitnesses struct {
	Holder    IncarnationID
	Witnesses []IncarnationID
}

// AssignKind is the reason for a change of assignment.
type AssignKind uint8

// The kinds of assignment.
const (
	// AssignInitial assigns keys that have no owner.
	AssignInitial AssignKind = iota + 1
	// AssignPlanned moves keys from a running owner, which writes the change after it has stopped serving them.
	AssignPlanned
	// AssignTakeover takes keys from a revoked incarnation whose lease has ended.
	AssignTakeover
)

// String returns the name of the kind in logs and JSON.
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

// Assign assigns shards and hot keys of a service to a member. From is the current owner, zero for AssignInitial.
type Assign struct {
	Service string
	Kind    AssignKind
	From    IncarnationID
	To      IncarnationID
	Shards  []uint32 `cbor:",omitempty"`
	// Keys are hot keys, which have an assignment separate from their shard's. A key that has none yet gets one; From is
	// then the owner of its shard.
	Keys   []string `cbor:",omitempty"`
	Reason string
}

// Merge removes the separate assignments of hot keys, which return to their shards. Only the owner of both may write
// it. Each shard gets the entry's epoch and the highest floor among the shard and its merged keys.
type Merge struct {
	Service string
	Keys    []string
}

// SetConfiguration replaces the operators' configuration document.
type SetConfiguration struct {
	// Base is the revision (log index) that the document is based on, zero for the first document. The change is refused
	// if another revision is in force.
	Base uint64
	// Document is JSON with comments, as the operator wrote it.
	Document []byte
	// Services is the part of the document that the table needs, derived by the writer.
	Services []ServiceConfig
	Operator string
}

// ServiceConfig is the part of a service's configuration that the table needs.
type ServiceConfig struct {
	Name string
	// Shards is the number of hash buckets of the keys. It cannot change once the service is configured.
	Shards uint32
	// Divided is true if each upstream of the service serves only the keys that its process owns.
	Divided bool
	// Withdrawn is true if the service is no longer configured. Its keys keep their owners and epochs, so that a service
	// that is configured again continues with them, but no request is routed to it. It is set by the table only.
	Withdrawn bool `cbor:",omitempty"`
}

// Package sequoiacontrol decides membership, leases, revocation, assignments and moves for one process. It takes
// events, returns actions and does no input or output, so a run can be recorded and replayed exactly.
package sequoiacontrol

import (
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Message is what processes send each other on control connections. Exactly one field besides LogIndex is set.
type Message struct {
	// LogIndex is the index of the last entry that the sender has applied.
	LogIndex       uint64
	Renew          *Renew          `cbor:",omitempty"`
	Renewed        *Renewed        `cbor:",omitempty"`
	Suspect        *Suspect        `cbor:",omitempty"`
	SuspectQuery   *SuspectQuery   `cbor:",omitempty"`
	SuspectReply   *SuspectReply   `cbor:",omitempty"`
	Promise        *Promise        `cbor:",omitempty"`
	Promised       *Promised       `cbor:",omitempty"`
	Entries        *Entries        `cbor:",omitempty"`
	EntriesRequest *EntriesRequest `cbor:",omitempty"`
	Checkpoint     *Checkpoint     `cbor:",omitempty"`
	LoadReport     *LoadReport     `cbor:",omitempty"`
	LoadBatch      *LoadBatch      `cbor:",omitempty"`
	Release        *Release        `cbor:",omitempty"`
	Memory         *Memory         `cbor:",omitempty"`
	MemoryReceived *MemoryReceived `cbor:",omitempty"`
}

// Renew asks a witness to renew the holder's lease.
type Renew struct {
	Holder   sequoiatable.IncarnationID
	Witness  sequoiatable.IncarnationID
	Sequence uint64
}

// Renewed answers Renew. The holder counts the lease from the moment it sent the renewal with this sequence number.
type Renewed struct {
	Holder   sequoiatable.IncarnationID
	Witness  sequoiatable.IncarnationID
	Sequence uint64
}

// Suspect reports to a planner that a witness has received no renewal for the suspicion time.
type Suspect struct {
	Holder sequoiatable.IncarnationID
}

// SuspectQuery asks a witness whether the holder is silent for it too.
type SuspectQuery struct {
	Holder sequoiatable.IncarnationID
}

// SuspectReply answers SuspectQuery.
type SuspectReply struct {
	Holder sequoiatable.IncarnationID
	Silent bool
}

// Promise asks a witness, or the revoked holder itself, never to renew or use the holder's lease again. Witness is the
// incarnation that is asked; a process that has not been that incarnation does not answer, because it has no memory
// of the renewals.
type Promise struct {
	Holder      sequoiatable.IncarnationID
	Witness     sequoiatable.IncarnationID
	RevokeIndex uint64
}

// Promised answers Promise. Remaining is the time left on the last renewal at the moment of the answer. An answer of
// the holder itself (Witness equals Holder) means that it has stopped serving; Remaining is then the time left on its
// own lease.
type Promised struct {
	Holder      sequoiatable.IncarnationID
	Witness     sequoiatable.IncarnationID
	RevokeIndex uint64
	Remaining   time.Duration
}

// Entries carries log entries in ascending order without gaps.
type Entries struct {
	Entries []sequoiatable.Entry
}

// EntriesRequest asks for the entries after an index. ReplyTo is the sender's control address, since a process that has
// not joined yet is not in the receiver's table.
type EntriesRequest struct {
	After   uint64
	ReplyTo netip.AddrPort
}

// Checkpoint carries an encoded table, where the entries that the receiver lacks are no longer kept.
type Checkpoint struct {
	Index uint64
	Parts [][]byte
}

// LoadReport tells a relay or planner the load of one upstream.
type LoadReport struct {
	Load Load
}

// Load is the load of one process's upstream over the last reporting interval.
type Load struct {
	Incarnation sequoiatable.IncarnationID
	Service     string
	// BusySlots is the mean number of requests in progress.
	BusySlots float64
	// ReportedBusySlots is what the upstream's own load endpoint says, if HasReport is set.
	ReportedBusySlots float64
	HasReport         bool
	Slots             int
	// Requests is the number of requests per second.
	Requests float64
	// Keys and Shards list those that cause the most load, highest first, a bounded number of each.
	Keys   []sequoiaplacement.KeyLoad
	Shards []sequoiaplacement.ShardLoad
}

// LoadBatch tells a planner the loads that stand out among the members of a service in the sender's failure domain.
type LoadBatch struct {
	Loads []AgedLoad
}

// AgedLoad is a load with the time since it was measured.
type AgedLoad struct {
	Load Load
	Age  time.Duration
}

// Release asks an owner to move keys to another member.
type Release struct {
	Keys   KeySet
	To     sequoiatable.IncarnationID
	Reason string
}

// KeySet names shards and hot keys of one service.
type KeySet struct {
	Service string
	Shards  []uint32 `cbor:",omitempty"`
	Keys    []string `cbor:",omitempty"`
}

// Memory passes a part of the remembered request identifiers of the keys to their next owner. Parts are numbered from
// 0 and each is answered with MemoryReceived; the keys are listed in part 0 only.
type Memory struct {
	Move        uint64
	Part        int
	Keys        KeySet
	Identifiers []Identifier
}

// Identifier is the remembered outcome of one request that must not be repeated.
type Identifier struct {
	Key       string
	RequestID string
	// Age is the time since the request finished.
	Age time.Duration
	// Unknown is true if the outcome of the request is unknown; Status, Header and Body are then empty.
	Unknown bool
	Status  int
	Header  map[string][]string
	Body    []byte
}

// MemoryReceived answers Memory.
type MemoryReceived struct {
	Move uint64
	Part int
}

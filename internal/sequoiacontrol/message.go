// Package sequoiacontrol implements membership, leases, revocation, assignments and moves for one process. It takes
// events, returns actions and does no I/O, so a run can be recorded and replayed exactly.
package sequoiacontrol

import (
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Message is a message between processes on a control connection. Exactly one field besides LogIndex is set.
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

// Renewed is the response to Renew. The holder's lease runs from the time it sent the renewal with this sequence
// number.
type Renewed struct {
	Holder   sequoiatable.IncarnationID
	Witness  sequoiatable.IncarnationID
	Sequence uint64
}

// Suspect reports to a planner that a witness has received no renewal for Timings.SuspectAfter.
type Suspect struct {
	Holder sequoiatable.IncarnationID
}

// SuspectQuery asks a witness whether it has also received no renewal from the holder. Before a loss is confirmed, the
// holder is asked as well.
type SuspectQuery struct {
	Holder sequoiatable.IncarnationID
}

// SuspectReply is the response to SuspectQuery.
type SuspectReply struct {
	Holder sequoiatable.IncarnationID
	Silent bool
}

// Promise asks a witness, or the revoked holder itself, to promise never to renew or use the holder's lease again.
// Witness is the incarnation that is asked; a process that was never that incarnation does not respond, because it has
// no record of the renewals.
type Promise struct {
	Holder      sequoiatable.IncarnationID
	Witness     sequoiatable.IncarnationID
	RevokeIndex uint64
}

// Promised is the response to Promise. Remaining is the time left on the last renewal when the response was sent. A
// response from the holder itself (Witness equals Holder) means that it has stopped serving; Remaining is then the time
// left on its own lease.
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

// Checkpoint carries an encoded table. It is sent instead of Entries if the sender no longer retains the entries that
// the receiver lacks.
type Checkpoint struct {
	Index uint64
	Parts [][]byte
}

// LoadReport reports the load of one upstream to a relay or planner.
type LoadReport struct {
	Load Load
}

// Load is the load of one process's upstream over the last reporting interval.
type Load struct {
	Incarnation sequoiatable.IncarnationID
	Service     string
	// BusySlots is the mean number of requests in progress.
	BusySlots float64
	// ReportedBusySlots is the value from the upstream's own load endpoint. It is valid if HasReport is set.
	ReportedBusySlots float64
	HasReport         bool
	Slots             int
	// Requests is the number of requests per second.
	Requests float64
	// Keys and Shards list the keys and shards with the highest load in descending order, a bounded number of each.
	Keys   []sequoiaplacement.KeyLoad
	Shards []sequoiaplacement.ShardLoad
}

// LoadBatch reports to a planner the highest and lowest loads and the hottest keys among the members of a service in
// the sender's failure domain.
type LoadBatch struct {
	Loads []AgedLoad
}

// AgedLoad is a load and the time since it was measured.
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

// Memory transfers a part of the retained request identifiers of moved keys to their next owner. Parts are numbered
// from 0 and each is acknowledged with MemoryReceived; the keys are listed in part 0 only.
type Memory struct {
	Move        uint64
	Part        int
	Keys        KeySet
	Identifiers []Identifier
}

// Identifier is the retained outcome of a request that must not be executed again.
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

// MemoryReceived acknowledges a Memory message.
type MemoryReceived struct {
	Move uint64
	Part int
}

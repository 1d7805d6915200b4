package sequoiacontrol

import (
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Tick reports that time has passed. It must arrive at least every 50 ms.
type Tick struct{}

// Received is a message from an authenticated peer.
type Received struct {
	From    sequoiatable.IncarnationID
	Message Message
}

// LogRead carries entries read from the store for ReadLog or by the watch. Err is set if the store did not respond.
// Checkpoint is set instead of Entries if the requested entries have been trimmed.
type LogRead struct {
	Entries    []sequoiatable.Entry
	Checkpoint *sequoiatable.Table
	Err        error
}

// AppendResult is the outcome of an append.
type AppendResult uint8

// The results of an append.
const (
	// AppendWon means that the store holds the entry, even if the first reply was lost.
	AppendWon AppendResult = iota + 1
	// AppendLost means that the store holds another entry at the index.
	AppendLost
	// AppendUnknown means that the store did not respond and may or may not hold the entry.
	AppendUnknown
)

// Appended reports the result of Append.
type Appended struct {
	Index  uint64
	Nonce  uint64
	Result AppendResult
	// Winner is the entry that the store holds at the index. It is not set for AppendUnknown.
	Winner *sequoiatable.Entry
	Err    error
}

// Upstream is the latest announcement of the local upstream. Gone is set once the upstream has been silent for the
// announcement timeout.
type Upstream struct {
	Service      string
	Address      netip.AddrPort
	Slots        int
	Connections  int
	ChecksGrants bool
	Draining     bool
	Gone         bool
}

// KeysDrained reports that no request for the keys of CloseKeys is in progress any more.
type KeysDrained struct {
	Move        uint64
	Identifiers []Identifier
}

// MemoryInstalled reports that InstallMemory is done.
type MemoryInstalled struct {
	From sequoiatable.IncarnationID
	Move uint64
	Part int
}

// CheckpointWritten reports the result of WriteCheckpoint. Err is also nil if the store already holds that checkpoint
// or a later one.
type CheckpointWritten struct {
	Index uint64
	Err   error
}

// LoadMeasured carries the process's own load over the last interval.
type LoadMeasured struct {
	Load Load
}

// Command is a request of an operator or of the process itself. It is answered by a Reply with the same ID.
type Command struct {
	ID uint64
	// Exactly one of the following is set.
	Configure *sequoiatable.SetConfiguration
	// Move requests a move of keys, which their current owner carries out.
	Move *Release
	// ConfirmLoss declares that a member's process is permanently lost, for when too few of its witnesses are left to end
	// its lease. It is refused with ErrMemberAlive if the member or one of its witnesses still responds. If the process
	// is alive but unreachable, its keys may get two owners.
	ConfirmLoss *ConfirmLoss
	// Drain makes this process move all keys away and leave.
	Drain *Drain
}

// ConfirmLoss identifies a lost member.
type ConfirmLoss struct {
	Incarnation sequoiatable.IncarnationID
}

// Drain carries the reason for a planned stop.
type Drain struct {
	Reason string
}

// LeaseRenewed reports the result of RenewLease.
type LeaseRenewed struct {
	Incarnation sequoiatable.IncarnationID
	Sequence    uint64
	Err         error
}

// LeaseExpired reports that the store lease of another incarnation has ended.
type LeaseExpired struct {
	Incarnation sequoiatable.IncarnationID
}

func (LeaseRenewed) event()      {}
func (LeaseExpired) event()      {}
func (Tick) event()              {}
func (Received) event()          {}
func (LogRead) event()           {}
func (Appended) event()          {}
func (Upstream) event()          {}
func (KeysDrained) event()       {}
func (MemoryInstalled) event()   {}
func (CheckpointWritten) event() {}
func (LoadMeasured) event()      {}
func (Command) event()           {}

// Action is an output of Core.Step. The caller carries out actions in order.
type Action interface{ action() }

// Send sends a message on a best-effort basis. Addr is the receiver's control address.
type Send struct {
	To      sequoiatable.IncarnationID
	Addr    netip.AddrPort
	Message Message
}

// Append requests that an entry is written to the store unless its index is taken. At most one is outstanding.
type Append struct {
	Entry sequoiatable.Entry
}

// ReadLog requests the store's entries after an index.
type ReadLog struct {
	After uint64
}

// WatchLog starts or stops a watch on the store for entries after the index of the published table.
type WatchLog struct {
	On bool
}

// WriteCheckpoint requests that a checkpoint of the table is written and older entries are trimmed.
type WriteCheckpoint struct {
	Table *sequoiatable.Table
}

// Publish makes a new snapshot visible to the data path.
type Publish struct {
	Snapshot *Snapshot
}

// CloseKeys tells the data path to hold new requests for the keys and to report KeysDrained when none is in progress.
type CloseKeys struct {
	Move uint64
	Keys KeySet
	// All is set instead of Keys at the end of a drain. It covers every request of the process, including those without
	// a key.
	All bool
}

// OpenKeys reverts CloseKeys. Held requests are routed again by the published snapshot.
type OpenKeys struct {
	Move uint64
}

// InstallMemory passes the retained request identifiers of keys that will be assigned to this process to the data path.
type InstallMemory struct {
	From        sequoiatable.IncarnationID
	Move        uint64
	Part        int
	Keys        KeySet
	Identifiers []Identifier
}

// Reply is the result of a Command. Err is nil on success. Index is the index of the log entry that decided it.
type Reply struct {
	ID    uint64
	Index uint64
	Err   error
}

// Record is a decision to be written to the decision log. Own is false for an assignment that another process made.
type Record struct {
	Own      bool
	Decision string
	Service  string
	Keys     KeySet
	Owner    sequoiatable.IncarnationID
	Previous sequoiatable.IncarnationID
	Epoch    sequoiatable.Epoch
	Reason   string
}

// Stopped reports that a drain has finished and the process may exit.
type Stopped struct{}

// RenewLease requests that the store lease of the incarnation is created or renewed. Only StoreLeases emits it.
type RenewLease struct {
	Incarnation sequoiatable.IncarnationID
	Sequence    uint64
}

func (RenewLease) action()      {}
func (Send) action()            {}
func (Append) action()          {}
func (ReadLog) action()         {}
func (WatchLog) action()        {}
func (WriteCheckpoint) action() {}
func (Publish) action()         {}
func (CloseKeys) action()       {}
func (OpenKeys) action()        {}
func (InstallMemory) action()   {}
func (Reply) action()           {}
func (Record) action()          {}
func (Stopped) action()         {}

// Snapshot is the state of Core that the data path uses. It is immutable.
type Snapshot struct {
	Table *sequoiatable.Table
	Self  sequoiatable.IncarnationID
	// LeaseEnd is the time, on the monotonic clock, at which the process must stop serving its keys.
	LeaseEnd time.Time
	Draining bool
}

// Serves reports whether the process may serve its assigned keys at the given time.
func (s *Snapshot) Serves(now time.Time) bool {
	return now.Before(s.LeaseEnd)
}

package sequoiacontrol

import (
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Tick reports that time has passed. It arrives every 50 ms or more often.
type Tick struct{}

// Received is a message of an authenticated peer.
type Received struct {
	From    sequoiatable.IncarnationID
	Message Message
}

// LogRead carries entries read from the store in answer to ReadLog or by the watch. Err is set if the store did not
// answer. Checkpoint is set instead of Entries where the wanted entries are trimmed.
type LogRead struct {
	Entries    []sequoiatable.Entry
	Checkpoint *sequoiatable.Table
	Err        error
}

// AppendResult says how an append ended.
type AppendResult uint8

// The results of an append.
const (
	// AppendWon means that the store holds the entry, also after a lost reply.
	AppendWon AppendResult = iota + 1
	// AppendLost means that the store holds another entry at the index.
	AppendLost
	// AppendUnknown means that the store did not answer and the entry may or may not be there.
	AppendUnknown
)

// Appended answers Append.
type Appended struct {
	Index  uint64
	Nonce  uint64
	Result AppendResult
	// Winner is the entry that the store holds; not set for AppendUnknown.
	Winner *sequoiatable.Entry
	Err    error
}

// Upstream is what the upstream beside the process has announced. A process whose upstream has been silent for the
// announcement timeout gets the event with Gone set.
type Upstream struct {
	Service      string
	Address      netip.AddrPort
	Slots        int
	Connections  int
	ChecksGrants bool
	Draining     bool
	Gone         bool
}

// KeysDrained answers CloseKeys: no request for the keys is in progress.
type KeysDrained struct {
	Move        uint64
	Identifiers []Identifier
}

// MemoryInstalled answers InstallMemory.
type MemoryInstalled struct {
	From sequoiatable.IncarnationID
	Move uint64
	Part int
}

// CheckpointWritten answers WriteCheckpoint. Err is nil too if the store holds that checkpoint or a later one already.
type CheckpointWritten struct {
	Index uint64
	Err   error
}

// LoadMeasured is the process's own load over the last interval.
type LoadMeasured struct {
	Load Load
}

// Command is an operator's request or the process's own, answered by Reply with the same ID.
type Command struct {
	ID uint64
	// Exactly one of the following is set.
	Configure *sequoiatable.SetConfiguration
	// Move asks for a move of keys; the process that owns them carries it out.
	Move *Release
	// ConfirmLoss names a member whose process is gone for good, for the case that too few of its witnesses are left to
	// end its lease. It is refused with ErrStillRenews if the member or one of its witnesses answers. If the process is
	// alive without an answer, two owners may result.
	ConfirmLoss *ConfirmLoss
	// Drain makes this process move all keys away and leave.
	Drain *Drain
}

// ConfirmLoss names a lost member.
type ConfirmLoss struct {
	Incarnation sequoiatable.IncarnationID
}

// Drain is the reason of a planned stop.
type Drain struct {
	Reason string
}

// LeaseRenewed answers RenewLease.
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

// Action is an output of Core.Step, carried out in order.
type Action interface{ action() }

// Send sends a message on a best-effort basis. Addr is the receiver's control address.
type Send struct {
	To      sequoiatable.IncarnationID
	Addr    netip.AddrPort
	Message Message
}

// Append asks for an entry to be written at its index if that does not exist. At most one is outstanding.
type Append struct {
	Entry sequoiatable.Entry
}

// ReadLog asks for the store's entries after an index.
type ReadLog struct {
	After uint64
}

// WatchLog starts (On) or stops a wait on the store for entries after the published table's index.
type WatchLog struct {
	On bool
}

// WriteCheckpoint asks for a checkpoint of the table and for older entries to be trimmed.
type WriteCheckpoint struct {
	Table *sequoiatable.Table
}

// Publish makes a new snapshot visible to the data path.
type Publish struct {
	Snapshot *Snapshot
}

// CloseKeys asks the data path to hold new requests for the keys and to report when none is in progress.
type CloseKeys struct {
	Move uint64
	Keys KeySet
	// All is set instead of Keys at the end of a drain: every request of the process, those without a key included.
	All bool
}

// OpenKeys ends CloseKeys: held requests are routed again by the published snapshot.
type OpenKeys struct {
	Move uint64
}

// InstallMemory hands remembered identifiers of keys that will be assigned to this process to the data path.
type InstallMemory struct {
	From        sequoiatable.IncarnationID
	Move        uint64
	Part        int
	Keys        KeySet
	Identifiers []Identifier
}

// Reply answers a Command. Err is nil on success; Index is the log index that decided.
type Reply struct {
	ID    uint64
	Index uint64
	Err   error
}

// Record is a decision for the log. Own is false for an assignment that another process made.
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

// Stopped reports that a drain has finished and the process may end.
type Stopped struct{}

// RenewLease asks for the store lease of the incarnation to be created or renewed; used by the StoreLeases authority.
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

// Snapshot is what the data path needs of the core. It is immutable.
type Snapshot struct {
	Table *sequoiatable.Table
	Self  sequoiatable.IncarnationID
	// LeaseEnd is the moment, on the monotonic clock, at which the process must stop serving its keys.
	LeaseEnd time.Time
	Draining bool
}

// Serves reports whether the process may serve keys that the table assigns to it at the given moment.
func (s *Snapshot) Serves(now time.Time) bool {
	return now.Before(s.LeaseEnd)
}

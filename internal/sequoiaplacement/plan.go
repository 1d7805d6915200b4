// Package sequoiaplacement decides which upstream should own which keys. It does no I/O, and its decisions are
// deterministic.
package sequoiaplacement

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// KeyLoad is the mean number of requests in progress for one key.
type KeyLoad struct {
	Key       string
	BusySlots float64
}

// ShardLoad is the mean number of requests in progress for one shard, excluding hot keys.
type ShardLoad struct {
	Shard     uint32
	BusySlots float64
}

// Upstream is an upstream that may own keys, with the load last measured by the process on its instance.
type Upstream struct {
	Incarnation   sequoiatable.IncarnationID
	FailureDomain string
	// Slots is the number of requests that the upstream can run concurrently.
	Slots int
	// BusySlots is the mean number of requests in progress over the last reporting interval.
	BusySlots float64
	// LoadAge is the time since BusySlots, Keys and Shards were measured. If nothing has been measured, it must be at
	// least Tuning.StaleAfter: a recent load of zero would make the upstream the first to receive keys.
	LoadAge time.Duration
	// ReportedBusySlots is the load that the upstream's own load endpoint reports, if HasReport is set. It only breaks
	// ties, and only while it agrees with BusySlots.
	ReportedBusySlots float64
	HasReport         bool
	// Uptime is the time since the upstream joined.
	Uptime time.Duration
	// Keys and Shards list the keys and shards with the most load, highest first. The length of both is bounded.
	Keys   []KeyLoad
	Shards []ShardLoad
}

// Input holds everything that a placement decision depends on.
type Input struct {
	// Table holds the current assignments.
	Table *sequoiatable.ServiceTable
	// Upstreams that may receive keys, in ascending order of incarnation.
	Upstreams []Upstream
	// SinceLastMove is the time since keys of this service were last moved to balance load.
	SinceLastMove time.Duration
	// AvoidFailureDomain is the failure domain of a lost owner, whose other upstreams may fail next. Place fills the
	// upstreams of other failure domains first. If it is empty, no failure domain is avoided.
	AvoidFailureDomain string
	// Tuning holds the service's balancing parameters. Zero fields stand for their defaults.
	Tuning Tuning
}

// Reasons of moves.
const (
	// ReasonSpread places the keys of a lost, leaving or absent owner.
	ReasonSpread = "Spread"
	// ReasonJoin gives shards to an upstream that has fewer than its share.
	ReasonJoin = "Join"
	// ReasonLoad takes load from an upstream that has more than its share.
	ReasonLoad = "Load"
	// ReasonHotKey gives a hot key an assignment of its own, or moves one that has it.
	ReasonHotKey = "HotKey"
	// ReasonMerge returns a hot key that has cooled to its shard's owner. From equals To if that upstream owns the key
	// already and only the key's own assignment is to be removed.
	ReasonMerge = "Merge"
	// ReasonRehash applies a baseline policy's hash function after a membership change.
	ReasonRehash = "Rehash"
)

// Move reassigns shards and hot keys from one owner to another upstream. From is zero for keys without an owner.
type Move struct {
	From   sequoiatable.IncarnationID
	To     sequoiatable.IncarnationID
	Shards []uint32
	Keys   []string
	Reason string
}

// Package sequoiaplacement decides which upstream should own which keys. It does no input or output, and the same
// input gives the same decision.
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

// ShardLoad is the mean number of requests in progress for one shard, hot keys not counted.
type ShardLoad struct {
	Shard     uint32
	BusySlots float64
}

// Upstream is an upstream that may own keys, with the load last measured by the process beside it.
type Upstream struct {
	Incarnation   sequoiatable.IncarnationID
	FailureDomain string
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// BusySlots is the mean number of requests in progress over the last reporting interval.
	BusySlots float64
	// LoadAge is the time since BusySlots, Keys and Shards were measured. Where nothing has been measured it has to
	// be Tuning.StaleAfter or more: a load of zero that is new makes the upstream the first to receive keys.
	LoadAge time.Duration
	// ReportedBusySlots is what the upstream's own load endpoint says, if HasReport is set. It breaks ties only, and
	// only while it agrees with BusySlots.
	ReportedBusySlots float64
	HasReport         bool
	// Uptime is the time since the upstream joined.
	Uptime time.Duration
	// Keys and Shards list what causes the most load, highest first, a bounded number of each.
	Keys   []KeyLoad
	Shards []ShardLoad
}

// Input is what a decision depends on.
type Input struct {
	// Table holds the assignments in force.
	Table *sequoiatable.ServiceTable
	// Upstreams that may receive keys, in ascending order of incarnation.
	Upstreams []Upstream
	// SinceLastMove is the time since keys of this service last moved for balance.
	SinceLastMove time.Duration
	// AvoidFailureDomain is the failure domain of a lost owner, which may be about to lose more. Place fills the
	// upstreams elsewhere first. Empty avoids none.
	AvoidFailureDomain string
	// Tuning holds the parameters of the service; zero fields have defaults.
	Tuning Tuning
}

// Reasons of moves.
const (
	// ReasonSpread places the keys of a lost, leaving or absent owner.
	ReasonSpread = "Spread"
	// ReasonJoin fills an upstream that has less than its share.
	ReasonJoin = "Join"
	// ReasonLoad takes load from an upstream that has more than its share.
	ReasonLoad = "Load"
	// ReasonHotKey gives a hot key an assignment of its own, or moves one that has it.
	ReasonHotKey = "HotKey"
	// ReasonMerge returns a hot key that has cooled to its shard's owner. From equals To if it is already there and
	// only its own assignment is to end.
	ReasonMerge = "Merge"
	// ReasonRehash follows a baseline's hash function after a change of membership.
	ReasonRehash = "Rehash"
)

// Move gives shards and hot keys of one owner to another upstream. From is zero for keys without an owner.
type Move struct {
	From   sequoiatable.IncarnationID
	To     sequoiatable.IncarnationID
	Shards []uint32
	Keys   []string
	Reason string
}

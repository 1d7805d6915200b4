package sequoiabalance

import (
	"math"
	"time"
)

const (
	// fruitlessDelay is the pause after a plan of an overloaded upstream that found no move, such as for a single key that
	// is too hot for every upstream. It doubles with each further one up to maxFruitlessDelay: if the whole service is
	// overloaded, all of its processes ask others in vain.
	fruitlessDelay, maxFruitlessDelay = 600 * time.Millisecond, 5 * time.Second
	// calmDelay is the pause between plans of an upstream that is not overloaded.
	calmDelay = 2 * time.Second
	// arrivalDelay is the pause after an arrival of keys in which only an overloaded upstream plans.
	arrivalDelay = 5 * time.Second
	// minOverload is the number of intervals that an overload must last before a plan. One below slightOverload counts only
	// under the conditions of Pace.Due; minOverloadOfArrived is how long it must last after an arrival of keys.
	minOverload, minOverloadOfArrived = 2, 6
	slightOverload                    = 1.2
	minSteadyOverloaded               = 0.85
	// minRefused is the number of requests refused for lack of capacity, of which each counts half as much in each further
	// interval, from which a slight overload is no noise.
	minRefused, refusedDecay = 3, 0.5
	// steadyWeight is the weight of an interval in Report.Steady, which covers about 12 s.
	steadyWeight = 0.025
	// recentDeviations is the number of standard deviations by which the recent load must differ from the long average to
	// be used instead. In the onsetTime after a plan of an overloaded upstream it is onsetDeviations: what is left is
	// often still too much, and the long average of the keys that stay has not risen yet.
	recentDeviations, onsetDeviations = 2.5, 0.5
	onsetTime                         = 2 * time.Second
)

// Pace decides when an upstream plans. It is asked at the end of each interval of the meter.
type Pace struct {
	// next is the earliest time of the next plan, and calmFrom that of one without an overload.
	next, calmFrom time.Time
	// overloaded is the number of successive intervals at whose ends the upstream was overloaded.
	overloaded int
	steady     float64
	refused    float64
	// divided is when an overloaded upstream last planned moves, and arrived when keys last arrived.
	divided, arrived time.Time
	// fruitless is the last pause after a plan without moves, zero if the last plan had moves.
	fruitless time.Duration
}

// Steady returns Report.Steady.
func (p *Pace) Steady() float64 { return p.steady }

// Refused records that a request was refused for lack of capacity.
func (p *Pace) Refused() { p.refused++ }

// Arrived records that keys of the given utilization have arrived with a move. Only an overload makes the upstream give keys
// away again soon.
func (p *Pace) Arrived(now time.Time, utilization float64) {
	p.steady += utilization
	p.arrived, p.calmFrom = now, now.Add(arrivalDelay)
}

// Measured records the utilization at the end of an interval. It returns Report.Current for a recent load in slots and its
// standard deviation.
func (p *Pace) Measured(now time.Time, utilization, recent, deviation float64, slots int) float64 {
	p.steady += (utilization - p.steady) * steadyWeight
	deviations := recentDeviations
	if now.Sub(p.divided) < onsetTime {
		deviations = onsetDeviations
	}
	low, high := recent-deviations*deviation, recent+recentDeviations*deviation
	return min(max(utilization, low/float64(slots)), high/float64(slots))
}

// Due reports whether the upstream should plan now. An overload must last for two intervals: the first one shows only
// part of a load that began during it, which would be divided into parts that are too large. What is left of a divided load
// need not last. A slight overload may be noise: it counts if it shows in the steady utilization, if requests are refused, or
// if it lasts after an arrival of keys, whose load was perhaps measured too low at an onset. moving is the number of ranges
// that are being moved. Only an overloaded upstream plans meanwhile.
func (p *Pace) Due(now time.Time, own Report, moving int) bool {
	if !own.Overloaded() {
		p.overloaded, p.fruitless, p.refused = 0, 0, p.refused*refusedDecay
		return own.steady() >= minIdleUtilization && moving == 0 && !now.Before(p.next) && !now.Before(p.calmFrom)
	}
	p.overloaded++
	refused := p.refused
	p.refused *= refusedDecay
	intervals := minOverload
	switch {
	case now.Sub(p.divided) < onsetTime:
		intervals = 1
	case own.current() >= slightOverload || own.steady() >= minSteadyOverloaded || refused >= minRefused:
	case now.Sub(p.arrived) < arrivalDelay:
		intervals = minOverloadOfArrived
	default:
		return false
	}
	return p.overloaded >= intervals && !now.Before(p.next)
}

// SampleSize returns the number of other upstreams whose load must be known for a plan. It grows with the excess, and with
// plans without moves: the only upstream with enough room may have been left out.
func (p *Pace) SampleSize(own Report) int {
	if !own.Overloaded() {
		return minSample
	}
	size := max(minSample, int(math.Ceil((own.current()-targetUtilization)/roomPerCandidate)))
	return size * int(1+p.fruitless/fruitlessDelay)
}

// Planned records that a plan was made, of which the given number of moves have begun, with the given load in slots.
func (p *Pace) Planned(now time.Time, own Report, moves int, load float64) {
	p.steady = max(0, p.steady-load/float64(own.Slots))
	switch {
	case !own.Overloaded():
		p.next = now.Add(calmDelay)
	case moves == 0:
		p.fruitless = min(max(2*p.fruitless, fruitlessDelay), maxFruitlessDelay)
		p.next = now.Add(p.fruitless)
	default:
		p.fruitless = 0
		p.next, p.divided, p.calmFrom = now, now, now.Add(arrivalDelay)
	}
}

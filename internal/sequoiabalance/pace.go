package sequoiabalance

import "time"

const (
	// fruitlessDelay is the pause after a plan of an overloaded upstream that found no move, such as for a single key that
	// is too hot for every upstream. It doubles with each further one up to maxFruitlessDelay: if the whole service is
	// overloaded, all of its processes ask others in vain.
	fruitlessDelay, maxFruitlessDelay = 600 * time.Millisecond, 5 * time.Second
	// calmDelay is the pause between plans of an upstream that is not overloaded.
	calmDelay = 2 * time.Second
	// arrivalDelay is the pause after an arrival of keys in which only an overloaded upstream plans.
	arrivalDelay = 5 * time.Second
	// minOverload is the number of intervals that an overload must last before a plan. One below slightOverload must also
	// show in the steady utilization.
	minOverload         = 2
	slightOverload      = 1.2
	minSteadyOverloaded = 0.85
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
	// divided is when an overloaded upstream last planned moves.
	divided time.Time
	// fruitless is the last pause after a plan without moves, zero if the last plan had moves.
	fruitless time.Duration
}

// Steady returns Report.Steady.
func (p *Pace) Steady() float64 { return p.steady }

// Arrived records that keys of the given utilization have arrived with a move. Only an overload makes the upstream give keys
// away again soon.
func (p *Pace) Arrived(now time.Time, utilization float64) {
	p.steady += utilization
	p.calmFrom = now.Add(arrivalDelay)
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
// part of a load that began during it, which would be divided into parts that are too large. A slight overload must last
// for several seconds, because it may be noise, unless it is what is left of a larger one. moving is the number of ranges that are being
// moved. Only an overloaded upstream plans meanwhile.
func (p *Pace) Due(now time.Time, own Report, moving int) bool {
	if !own.Overloaded() {
		p.overloaded, p.fruitless = 0, 0
		return own.steady() >= minIdleUtilization && moving == 0 && !now.Before(p.next) && !now.Before(p.calmFrom)
	}
	p.overloaded++
	if own.current() < slightOverload && own.steady() < minSteadyOverloaded && now.Sub(p.divided) >= onsetTime {
		return false
	}
	return p.overloaded >= minOverload && !now.Before(p.next)
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

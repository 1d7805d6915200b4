// Package sequoiabalance decides which keys an upstream gives to other upstreams to balance their load. It performs no
// I/O: it gets the measured load of the keys and the load reports of other upstreams, and returns the moves.
package sequoiabalance

// Report is the load of an upstream, as its process sends it to other processes.
type Report struct {
	// Utilization is the measured work per second divided by the number of slots. Under a limit on requests per second,
	// the work of a request is the part of the limit that it uses.
	Utilization float64
	Slots       int
	// Capacity is the number of requests per second that the upstream can process, zero if it is not known.
	Capacity float64
	// Open is true if the upstream accepts more keys.
	Open bool
	// Current is Utilization as far as the last half second agrees with it. After a sudden change it is the utilization of
	// that time, less its expected noise. Zero if the process does not say.
	Current float64
	// Steady is the average of the utilization over about 12 s. Zero if the process does not say.
	Steady float64
	// Reserved is the utilization by keys that were promised room and have not arrived.
	Reserved float64
	// Ranges is the number of ranges that the upstream holds, and Empty is true if there is none. A process that does not say
	// seems to be at zero ranges without being empty.
	Ranges int
	Empty  bool
	// Refused is true in the answer to a Reservation for which there is no room. A process that knows no reservations
	// does not set it, and gets the keys.
	Refused bool
}

// current returns the utilization that decisions use.
func (r Report) current() float64 {
	if r.Current > 0 {
		return r.Current
	}
	return r.Utilization
}

// steady returns the utilization that decisions without haste use.
func (r Report) steady() float64 {
	if r.Steady > 0 {
		return r.Steady
	}
	return r.Utilization
}

// Expected returns the utilization that is expected once all promised keys have arrived.
func (r Report) Expected() float64 { return r.current() + r.Reserved }

// capacityIn returns the capacity of an upstream in slots of the given one, whose measured load is counted in them.
func (r Report) capacityIn(own Report) float64 {
	switch {
	case r.Capacity > 0 && own.Capacity > 0:
		return float64(own.Slots) * r.Capacity / own.Capacity
	case r.Slots > 0:
		return float64(r.Slots)
	}
	return float64(own.Slots)
}

// UseRecent reports whether decisions should use the recent load of each key, because it has risen suddenly.
func (r Report) UseRecent() bool { return r.Current > 0 && r.Current != r.Utilization }

// Overloaded reports whether the upstream must give keys away whatever that costs.
func (r Report) Overloaded() bool { return r.current() > overloadUtilization }

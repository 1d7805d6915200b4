package sequoiabalance

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

const (
	// reservationTime is how long promised room counts as taken. A move takes a release, which waits for running
	// requests, and a write of the table.
	reservationTime = 2 * time.Second
	// arrivalTime is how long a reservation is remembered. Keys that arrive later arrive without their load.
	arrivalTime = 5 * time.Second
	// maxLoadParts is the number of parts whose loads a reservation tells.
	maxLoadParts = 16
)

// Reservation asks an upstream for room for keys that are about to be moved to it.
type Reservation struct {
	From, To sequoiakeyspace.Key
	// Utilization is the expected utilization of the destination by the keys.
	Utilization float64
	// Limit is the utilization up to which the destination may be filled.
	Limit float64
	// Rates is the measured load of the keys in processing time per second, in at most maxLoadParts parts of equal size.
	Rates []float64
	// Cancelled is true if the keys do not move after all.
	Cancelled bool
}

type reservation struct {
	Reservation
	at time.Time
}

// Reservations holds the promises of an upstream for keys that have not arrived.
type Reservations struct {
	pending []reservation
}

// Reserve promises room for keys if the upstream still has it. It replaces an earlier promise for the same keys. maxRanges
// is the number of ranges that the upstream may hold.
func (s *Reservations) Reserve(now time.Time, r Reservation, own Report, maxRanges int) bool {
	s.Cancel(r)
	own.Reserved = s.Utilization(now)
	if !own.Open || own.Ranges+len(s.current(now)) >= maxRanges-spareRanges || own.Expected()+r.Utilization > r.Limit+reserveTolerance {
		return false
	}
	s.pending = append(s.pending, reservation{r, now})
	return true
}

// Cancel removes the promises for keys that do not move after all.
func (s *Reservations) Cancel(r Reservation) {
	s.pending = slices.DeleteFunc(s.pending, func(p reservation) bool { return p.From <= r.To && r.From <= p.To })
}

// current returns the reservations that count as taken.
func (s *Reservations) current(now time.Time) []reservation {
	return slices.DeleteFunc(slices.Clone(s.pending), func(r reservation) bool { return now.Sub(r.at) >= reservationTime })
}

// Utilization returns the utilization that is promised.
func (s *Reservations) Utilization(now time.Time) float64 {
	sum := 0.0
	for _, r := range s.current(now) {
		sum += r.Utilization
	}
	return sum
}

// Arrived removes and returns the reservations whose keys are among the ranges that the upstream holds.
func (s *Reservations) Arrived(now time.Time, held []sequoiakeyspace.Range) []Reservation {
	var arrived []Reservation
	s.pending = slices.DeleteFunc(s.pending, func(r reservation) bool {
		if slices.ContainsFunc(held, func(h sequoiakeyspace.Range) bool { return h.Contains(r.From) && h.Contains(r.To) }) {
			arrived = append(arrived, r.Reservation)
			return true
		}
		return now.Sub(r.at) >= arrivalTime
	})
	return arrived
}

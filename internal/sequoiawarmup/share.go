package sequoiawarmup

import "time"

// Upstream is what a process knows about an upstream that it may send requests to.
type Upstream struct {
	Cold  bool
	Slots int
	// Work is the mean duration of a request, zero if it is not known.
	Work time.Duration
}

// perSecond returns how many requests per second the upstream handles once it is warm.
func (u Upstream) perSecond(defaultWork time.Duration) float64 {
	work := u.Work
	if work <= 0 {
		work = defaultWork
	}
	return float64(max(1, u.Slots)) / work.Seconds()
}

// Share returns the part of the requests without keys for which a cold upstream of a service is considered: the warm-up
// rate divided by the rate of a warm upstream of the service, as the mean of the given ones. defaultWork is the assumed
// duration of a request at an upstream that has not reported one. The slow work of a cold upstream says nothing about the
// rate of a warm one.
func Share(rate float64, upstreams []Upstream, defaultWork time.Duration) float64 {
	total, warm := 0.0, 0
	for _, u := range upstreams {
		if !u.Cold {
			total += u.perSecond(defaultWork)
			warm++
		}
	}
	if rate <= 0 || warm == 0 {
		return 1
	}
	return min(1, rate/(total/float64(warm)))
}

// Considered returns the indexes of the upstreams that are considered for one request. A cold one is considered with the
// probability share; roll returns random numbers from 0 to 1. All are considered if none would be otherwise: the gates
// of the cold ones refuse what is too much and say when there is capacity.
func Considered(upstreams []Upstream, share float64, roll func() float64) []int {
	var considered []int
	for i, u := range upstreams {
		if !u.Cold || roll() < share {
			considered = append(considered, i)
		}
	}
	if len(considered) > 0 {
		return considered
	}
	for i := range upstreams {
		considered = append(considered, i)
	}
	return considered
}

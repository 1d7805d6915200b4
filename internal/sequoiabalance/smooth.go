package sequoiabalance

import "math"

const (
	// smoothRequests is the number of requests among which the load of a key is averaged, if there are as many within
	// maxSmoothWidth keys on both sides.
	smoothRequests = 12
	maxSmoothWidth = 32
	// hotDeviations is the number of standard deviations by which a key must be above the hotNeighbours keys on both sides
	// to count as hot.
	hotDeviations, hotNeighbours = 4, 8
)

// smooth returns loads that are averaged over adjacent keys, except for keys that are certainly hotter than these. At the
// onset of an overload, few requests have arrived for each key. The keys with the most of them are not the hottest ones,
// and windows around them would be expected to have several times their real load. request is the load that a single
// request adds.
func smooth(loads []float64, request float64) []float64 {
	if request <= 0 {
		return loads
	}
	total := 0.0
	plain := make([]float64, len(loads))
	sum := prefixSum(loads)
	for i, load := range loads {
		total += load
		around, n := sum(i-hotNeighbours, i+hotNeighbours+1)
		around = (around - load) / float64(max(1, n-1))
		if load <= around+hotDeviations*math.Sqrt(max(0, around+request)*request) {
			plain[i] = load
		}
	}
	out, smoothed := make([]float64, len(loads)), 0.0
	sum = prefixSum(plain)
	for i, load := range loads {
		out[i] = load - plain[i]
		for width := 1; ; width *= 2 {
			around, n := sum(i-width, i+width+1)
			if width >= maxSmoothWidth || around >= smoothRequests*request {
				out[i] += around / float64(n)
				break
			}
		}
		smoothed += out[i]
	}
	for i := range out {
		out[i] *= total / max(smoothed, 1e-9)
	}
	return out
}

// prefixSum returns a function that returns the sum and the number of the values from the i-th up to, but not including,
// the j-th one. Indexes outside of the values are ignored.
func prefixSum(values []float64) func(i, j int) (float64, int) {
	sums := make([]float64, len(values)+1)
	for i, v := range values {
		sums[i+1] = sums[i] + v
	}
	return func(i, j int) (float64, int) {
		i, j = max(i, 0), min(j, len(values))
		return max(0, sums[j]-sums[i]), j - i
	}
}

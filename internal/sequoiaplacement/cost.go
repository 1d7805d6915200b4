package sequoiaplacement

// Weights are the weights of the cost's components. Only their ratio matters.
type Weights struct {
	Imbalance   float64
	Churn       float64
	Unavailable float64
}

// Metrics holds the three metrics of a run that the cost is computed from.
type Metrics struct {
	// PeakOverMean is the highest utilization of any upstream divided by the mean utilization, averaged over time. It
	// is 1 for an even load.
	PeakOverMean float64
	// Churn is the number of ownership changes divided by the number of keys.
	Churn float64
	// UnavailablePerKey is the mean time per key, in seconds, during which the key could not be served.
	UnavailablePerKey float64
}

// Cost returns the weighted mean of the imbalance (PeakOverMean-1), the churn and the unavailable seconds per key. It
// returns zero if all weights are zero.
func (w Weights) Cost(f Metrics) float64 {
	sum := w.Imbalance + w.Churn + w.Unavailable
	if sum <= 0 {
		return 0
	}
	return (w.Imbalance*(f.PeakOverMean-1) + w.Churn*f.Churn + w.Unavailable*f.UnavailablePerKey) / sum
}

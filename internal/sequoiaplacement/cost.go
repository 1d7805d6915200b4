package sequoiaplacement

// Weights weight the parts of the cost against each other. Only their ratio matters.
type Weights struct {
	Imbalance   float64
	Churn       float64
	Unavailable float64
}

// Figures are the three metrics of a run.
type Figures struct {
	// PeakOverMean is the highest utilization of an upstream over the mean, averaged over time; 1 is even.
	PeakOverMean float64
	// Churn is the share of the keys that changed owner, counted once for each change.
	Churn float64
	// UnavailablePerKey is the mean time in seconds for which a key could not be served.
	UnavailablePerKey float64
}

// Cost returns the weighted mean of the excess of the peak over the mean, the churn and the unavailable seconds per
// key. It returns zero if all weights are zero.
func (w Weights) Cost(f Figures) float64 {
	sum := w.Imbalance + w.Churn + w.Unavailable
	if sum <= 0 {
		return 0
	}
	return (w.Imbalance*(f.PeakOverMean-1) + w.Churn*f.Churn + w.Unavailable*f.UnavailablePerKey) / sum
}

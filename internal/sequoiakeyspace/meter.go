package sequoiakeyspace

import (
	"math"
	"time"
)

// MeterInterval is the interval at which Meter.Advance must be called.
const MeterInterval = 300 * time.Millisecond

const (
	// meterDecay is the factor applied to the measured load at each interval, so that it covers about 2 s.
	meterDecay = 0.86
	// recentDecay is the factor of the recent load. It shows more than 0.8 of a sudden change after two intervals.
	recentDecay = 0.3
)

// Meter measures the load of each key: the processing time at the upstream, in seconds. Regular calls of Advance make it
// proportional to the processing time per second. A second, faster average shows sudden changes.
type Meter struct {
	load, recent [int(MaxKey) + 1]float32
	// loadSquares and recentSquares are the variances of the total loads if requests arrive independently: the sum of
	// their squared work, each with the square of its weight.
	loadSquares, recentSquares float64
	// work and squares are the sums of the work of requests, and of its square, in the long average.
	work, squares float64
}

// NewMeter returns a Meter on which no key has any load.
func NewMeter() *Meter { return &Meter{} }

// Add adds processing time to the load of a key.
func (m *Meter) Add(key Key, work time.Duration) {
	m.load[key] += float32(work.Seconds())
	m.recent[key] += float32(work.Seconds())
	m.loadSquares += work.Seconds() * work.Seconds()
	m.work += work.Seconds()
	m.squares += work.Seconds() * work.Seconds()
	m.recentSquares += work.Seconds() * work.Seconds()
}

// Correct changes the load of a key by the difference between the processing time of a request and the one that Add was
// called with when it arrived.
func (m *Meter) Correct(key Key, difference time.Duration) {
	m.load[key] = max(0, m.load[key]+float32(difference.Seconds()))
	m.recent[key] = max(0, m.recent[key]+float32(difference.Seconds()))
}

// Advance ends an interval, so that older requests count less.
func (m *Meter) Advance() {
	for i := range m.load {
		m.load[i] *= meterDecay
		m.recent[i] *= recentDecay
	}
	m.loadSquares *= meterDecay * meterDecay
	m.recentSquares *= recentDecay * recentDecay
	m.work *= meterDecay
	m.squares *= meterDecay
}

// Seed adds the load, in seconds of processing time per second, that another meter has measured for the keys from the
// given one, in parts of equal size. The meter then shows it at once, as if it had measured it by itself.
func (m *Meter) Seed(from, to Key, rates []float64) {
	size := int(to) - int(from) + 1
	for i, rate := range rates {
		start, end := i*size/len(rates), (i+1)*size/len(rates)
		for k := start; k < end; k++ {
			work := rate * MeterInterval.Seconds() / float64(end-start)
			m.load[int(from)+k] += float32(work / (1 - meterDecay))
			m.recent[int(from)+k] += float32(work / (1 - recentDecay))
		}
	}
}

// Sum returns the total load of a range of keys, including both ends.
func (m *Meter) Sum(from, to Key) float64 {
	sum := 0.0
	for i := int(from); i <= int(to); i++ {
		sum += float64(m.load[i])
	}
	return sum
}

// Rate returns the processing time per second of a range of keys, including both ends. A load that is multiplied by f
// at each interval and grows at a constant rate converges to rate*interval/(1-f).
func (m *Meter) Rate(from, to Key) float64 {
	return m.Sum(from, to) * (1 - meterDecay) / MeterInterval.Seconds()
}

// RecentRate is like Rate for the faster average. It is valid at the end of an interval, before Advance.
func (m *Meter) RecentRate(from, to Key) float64 {
	sum := 0.0
	for i := int(from); i <= int(to); i++ {
		sum += float64(m.recent[i])
	}
	return sum * (1 - recentDecay) / MeterInterval.Seconds()
}

// RecentDeviation returns the standard deviation of the total RecentRate that is caused by the random arrival of requests.
// It is not below the one that the long average shows, since few requests may have arrived by chance.
func (m *Meter) RecentDeviation() float64 {
	usual := m.loadSquares * (1 - meterDecay*meterDecay) / (1 - recentDecay*recentDecay)
	return math.Sqrt(max(m.recentSquares, usual)) * (1 - recentDecay) / MeterInterval.Seconds()
}

// RequestRate returns what a single request that has just arrived adds to the Profile with the same argument, on average.
func (m *Meter) RequestRate(recent bool) float64 {
	factor := (1 - meterDecay) / MeterInterval.Seconds()
	if recent {
		factor = (1 - recentDecay) / MeterInterval.Seconds()
	}
	if m.work == 0 {
		return 0
	}
	return m.squares / m.work * factor
}

// Profile returns the processing time per second of each key of a range, from the faster average if recent is true.
func (m *Meter) Profile(r Range, recent bool) Profile {
	load, factor := &m.load, (1-meterDecay)/MeterInterval.Seconds()
	if recent {
		load, factor = &m.recent, (1-recentDecay)/MeterInterval.Seconds()
	}
	p := Profile{From: r.From, Loads: make([]float64, r.Size())}
	for i := range p.Loads {
		p.Loads[i] = float64(load[int(r.From)+i]) * factor
	}
	return p
}

// Window is a contiguous part of a range and its total load.
type Window struct {
	From, To Key
	Load     float64
}

// Size returns the number of keys in the window.
func (w Window) Size() int { return int(w.To) - int(w.From) + 1 }

// Profile is the load of each of some adjacent keys.
type Profile struct {
	From  Key
	Loads []float64
}

// Sum returns the total load.
func (p Profile) Sum() float64 {
	sum := 0.0
	for _, load := range p.Loads {
		sum += load
	}
	return sum
}

// Window returns the part of the profile from the i-th up to, but not including, the j-th key.
func (p Profile) Window(i, j int) Window {
	return Window{From: p.From + Key(i), To: p.From + Key(j-1), Load: Profile{Loads: p.Loads[i:j]}.Sum()}
}

// FindWindow returns the smallest contiguous part of the profile whose load is at least low and at most high. It returns
// false if there is none.
func (p Profile) FindWindow(low, high float64) (Window, bool) {
	best, found := Window{}, false
	sum, start := 0.0, 0
	for end, load := range p.Loads {
		sum += load
		for start < end && sum-p.Loads[start] >= low {
			sum -= p.Loads[start]
			start++
		}
		if sum < low || sum > high {
			continue
		}
		if w := (Window{p.From + Key(start), p.From + Key(end), sum}); !found || w.Size() < best.Size() {
			best, found = w, true
		}
	}
	return best, found
}

// Split divides a range into at most n contiguous parts of about equal load, or of about equal size if the range has no
// load.
func (m *Meter) Split(r Range, n int) []Range {
	n = max(1, min(n, r.Size()))
	total := m.Sum(r.From, r.To)
	var parts []Range
	part, sum := r, 0.0
	for key := int(r.From); key < int(r.To) && len(parts) < n-1; key++ {
		sum += float64(m.load[key])
		done := float64(len(parts)+1) / float64(n)
		if total > 0 && sum < total*done || total == 0 && float64(key-int(r.From)+1) < float64(r.Size())*done {
			continue
		}
		part.To = Key(key)
		parts = append(parts, part)
		part.From, part.To = Key(key)+1, r.To
	}
	return append(parts, part)
}

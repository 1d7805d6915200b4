package sequoiakeyspace

import "time"

// Meter measures the load of each key: the processing time at the upstream, in seconds. Regular calls of Decay make it
// proportional to the processing time per second.
type Meter struct {
	load [int(MaxKey) + 1]float32
}

// NewMeter returns a Meter on which no key has any load.
func NewMeter() *Meter { return &Meter{} }

// Add adds processing time to the load of a key.
func (m *Meter) Add(key Key, work time.Duration) {
	m.load[key] += float32(work.Seconds())
}

// Decay multiplies all loads by f, between 0 and 1, so that older requests count less.
func (m *Meter) Decay(f float32) {
	for i := range m.load {
		m.load[i] *= f
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

// Window is a contiguous part of a range and its total load.
type Window struct {
	From, To Key
	Load     float64
}

// Size returns the number of keys in the window.
func (w Window) Size() int { return int(w.To) - int(w.From) + 1 }

// FindWindow returns the smallest contiguous part of a range whose load is at least low and at most high. It returns
// false if there is none.
func (m *Meter) FindWindow(r Range, low, high float64) (Window, bool) {
	best, found := Window{}, false
	sum, start := 0.0, int(r.From)
	for end := int(r.From); end <= int(r.To); end++ {
		sum += float64(m.load[end])
		for start < end && sum-float64(m.load[start]) >= low {
			sum -= float64(m.load[start])
			start++
		}
		if sum < low || sum > high {
			continue
		}
		if w := (Window{Key(start), Key(end), sum}); !found || w.Size() < best.Size() {
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

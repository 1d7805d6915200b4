package sequoiabalance

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

const (
	// moveCooldown is how long keys stay at an upstream after a move before they may be moved again, unless it is
	// overloaded. The measured load is noisy, and without a cooldown a busy key would move back and forth.
	moveCooldown = 3 * time.Second
	// minSample is the number of other upstreams that an upstream compares its load with at least, and roomPerCandidate
	// the utilization that one of them is expected to have room for.
	minSample        = 4
	roomPerCandidate = 0.15
	// minUtilization is the utilization below which no keys are moved, except to an empty upstream. Below it, requests
	// hardly wait.
	minUtilization = 0.4
	// minDifference is the difference in utilization below which no keys are moved.
	minDifference = 0.3
	// minIdleUtilization is the utilization below which an upstream gives no keys to an empty one.
	minIdleUtilization = 0.35
	// idleUtilization is the utilization below which an empty upstream counts as idle.
	idleUtilization = 0.08
	// overloadUtilization is the utilization above which an upstream divides all of its excess at once.
	overloadUtilization = 0.9
	// targetUtilization is the utilization up to which other upstreams are filled, and maxTargetUtilization that up to
	// which an overloaded upstream fills them if the room below targetUtilization is not enough.
	targetUtilization, maxTargetUtilization = 0.7, 0.9
	// reserveTolerance is how much more than planned a destination accepts, because its load varies meanwhile.
	reserveTolerance = 0.1
	// minMoveFraction and maxMoveFraction limit the load that is moved, relative to the desired load. A part of at least
	// closeFraction is preferred.
	closeFraction, minMoveFraction, maxMoveFraction = 0.95, 0.8, 1.1
	// minLumpyFraction replaces minMoveFraction if no window is that close because single keys are too hot.
	minLumpyFraction = 0.4
	// spareRanges is the number of ranges that balancing leaves free at each upstream, for keys of lost or leaving ones.
	spareRanges = 4
	// minPart is the smallest part of the own capacity that is worth a move in a plan of an overloaded upstream.
	minPart = 0.04
	// hotKeyFraction is the part of a destination's room from which a key gets a destination of its own.
	hotKeyFraction = 0.5
	// largerCapacity is how much more capacity an upstream needs to be given a key that is too much for its owner.
	largerCapacity = 1.25
)

// Held is a range of an upstream, with the load of its keys in processing time per second.
type Held struct {
	sequoiakeyspace.Profile
	// Since is how long the upstream has held the keys.
	Since time.Duration
	// Fixed is true if the keys cannot be moved now.
	Fixed bool
}

// Owner is the upstream whose load is balanced.
type Owner struct {
	Report
	// Held are the ranges that are not being moved.
	Held []Held
	// RequestRate is the load that a single request adds to the profiles.
	RequestRate float64
	// MaxRanges is the number of ranges that an upstream may hold.
	MaxRanges int
}

// Candidate is a possible destination for keys.
type Candidate struct {
	Instance string
	Report   Report
}

// Move is the move of adjacent keys to a candidate.
type Move struct {
	sequoiakeyspace.Window
	Candidate   Candidate
	Reservation Reservation
}

// Plan returns the moves of an upstream. An overloaded one divides all of its excess among as many candidates as needed.
func Plan(own Owner, candidates []Candidate) []Move {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return !c.Report.Open || c.Report.Ranges >= own.MaxRanges-spareRanges
	})
	if len(candidates) == 0 {
		return nil
	}
	if own.Overloaded() {
		return newPlanner(own, candidates).divide()
	}
	best := slices.MinFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Report.calm(), b.Report.calm()) })
	if !shouldMove(own.Report, best.Report) {
		return nil
	}
	own.Held = slices.Clone(own.Held)
	for i := range own.Held {
		own.Held[i].Fixed = own.Held[i].Fixed || own.Held[i].Since < moveCooldown
	}
	return newPlanner(own, nil).single(best)
}

// calm returns the utilization of a candidate for a move without haste.
func (r Report) calm() float64 { return max(r.steady(), r.current()) + r.Reserved }

// shouldMove reports whether keys of an upstream that is not overloaded should move to another one.
func shouldMove(own, other Report) bool {
	if other.Empty && other.calm() < idleUtilization {
		return own.steady() >= minIdleUtilization
	}
	return own.steady() >= minUtilization && own.steady()-other.calm() >= minDifference
}

// moveShare returns the part of the upstream's own capacity that should move to another upstream, so that both are
// equally utilized and the other one is not filled beyond targetUtilization.
func moveShare(own, other Report) float64 {
	ratio := float64(own.Slots) / max(1e-9, other.capacityIn(own))
	return min((own.steady()-other.calm())/(1+ratio), max(targetUtilization-other.calm(), minDifference/2)/ratio)
}

// segment is an uncut part of a held range. cutBefore and cutAfter are true if the adjacent keys move.
type segment struct {
	sequoiakeyspace.Profile
	cutBefore, cutAfter bool
}

// destination is a candidate and the load that it still has room for, in slots of the owner.
type destination struct {
	Candidate
	capacity, room float64
}

// planner divides the excess of an upstream. Loads are in slots of the upstream.
type planner struct {
	own Owner
	// segments are the parts of the held ranges that may still be cut. fixed is the load of those that cannot be moved, and
	// ranges their number.
	segments     []segment
	fixed        float64
	ranges       int
	destinations []destination
	// excess is the load that must still be moved, and level the utilization up to which upstreams are filled.
	excess, level float64
	moves         []Move
}

func newPlanner(own Owner, candidates []Candidate) *planner {
	p := &planner{own: own}
	for _, h := range own.Held {
		if h.Fixed {
			p.fixed += h.Sum()
			p.ranges++
			continue
		}
		p.segments = append(p.segments, segment{
			Profile: sequoiakeyspace.Profile{From: h.From, Loads: smooth(h.Loads, own.RequestRate)},
		})
	}
	for _, c := range candidates {
		p.destinations = append(p.destinations, destination{Candidate: c, capacity: c.Report.capacityIn(own.Report)})
	}
	return p
}

// single moves one part of the load to a candidate.
func (p *planner) single(c Candidate) []Move {
	want := moveShare(p.own.Report, c.Report) * float64(p.own.Slots)
	d := destination{Candidate: c, capacity: c.Report.capacityIn(p.own.Report)}
	p.level = targetUtilization + minDifference
	if s, w, ok := p.find(want, minMoveFraction); ok {
		p.cut(s, w, d)
	}
	return p.moves
}

// load returns the load of the keys that are not being moved.
func (p *planner) load() float64 {
	sum := p.fixed
	for _, s := range p.segments {
		sum += s.Sum()
	}
	return sum
}

// setLevel sets the lowest level at which the destinations have room for the excess, and the room of each at this level.
func (p *planner) setLevel() {
	load, slots := p.load(), float64(p.own.Slots)
	for p.level = targetUtilization; ; p.level += 0.02 {
		p.excess = load - p.level*slots
		total := 0.0
		for i := range p.destinations {
			d := &p.destinations[i]
			d.room = max(0, p.level-d.Report.Expected()) * d.capacity
			if p.own.current()-d.Report.Expected() < minDifference {
				d.room = 0
			}
			total += d.room
		}
		if total >= p.excess || p.level+0.02 > maxTargetUtilization {
			break
		}
	}
	slices.SortStableFunc(p.destinations, func(a, b destination) int { return cmp.Compare(b.room, a.room) })
}

// divide moves the excess of an overloaded upstream: first the hottest keys, each to a destination of its own, then parts
// of adjacent keys to the destinations from the most room down.
func (p *planner) divide() []Move {
	p.setLevel()
	p.moveHotKeys()
	for _, d := range p.destinations {
		want := min(d.room, p.excess)
		if want < minPart*float64(p.own.Slots) {
			continue
		}
		if s, w := p.largestRun(d.room); w.Load <= want*maxMoveFraction {
			if w.Load >= minPart*float64(p.own.Slots) {
				p.cut(s, w, d)
			}
			continue
		}
		for _, fraction := range []float64{closeFraction, minMoveFraction, minLumpyFraction} {
			if s, w, ok := p.find(want, fraction); ok {
				p.cut(s, w, d)
				break
			}
		}
	}
	p.moveLargeKey()
	return p.moves
}

// hottest returns the hottest key that is not moved yet and its segment.
func (p *planner) hottest() (s, i int, load float64) {
	for si, seg := range p.segments {
		for ki, l := range seg.Loads {
			if l > load {
				s, i, load = si, ki, l
			}
		}
	}
	return s, i, load
}

// moveHotKeys gives each key that needs most of a destination's room a destination of its own, unless nothing else is left.
func (p *planner) moveHotKeys() {
	for len(p.destinations) > 0 {
		s, i, load := p.hottest()
		d := p.destinations[0]
		if load < hotKeyFraction*d.room || load > d.room*maxMoveFraction || load > p.excess*maxMoveFraction || load < minPart*float64(p.own.Slots) {
			return
		}
		// The smallest destination that has room leaves the larger ones for hotter keys and larger parts.
		best := 0
		for j, other := range p.destinations {
			if other.room*maxMoveFraction >= load {
				best = j
			}
		}
		if !p.mayCut(s, i, i+1) {
			return
		}
		d = p.destinations[best]
		p.destinations = slices.Delete(p.destinations, best, best+1)
		p.cut(s, p.segments[s].Window(i, i+1), d)
	}
}

// moveLargeKey moves a key that no destination has room for. A key that an upstream cannot process alone moves only to one
// with more capacity, and only once its neighbours have moved away. Of several keys with which the upstream is overloaded,
// one moves to an upstream that ends up less utilized, which gives its other keys away. That needs the steady utilization,
// because the load of a key that is too much for any upstream looks smaller while it rises.
func (p *planner) moveLargeKey() {
	slots := float64(p.own.Slots)
	s, i, load := p.hottest()
	rest := p.load() - load
	alone := rest < minPart*slots
	if p.excess < minPart*slots || load < hotKeyFraction*targetUtilization*slots || len(p.moves) > 0 || !p.mayCut(s, i, i+1) {
		return
	}
	best, found := destination{}, false
	for _, d := range p.destinations {
		after := d.Report.Expected() + load/d.capacity
		switch {
		case alone && (load <= slots || d.capacity < largerCapacity*slots || d.Report.Expected() > targetUtilization):
		case !alone && (load > slots || p.own.steady() < minSteadyOverloaded || after > (load+rest)/slots-minDifference):
		case !found || after < best.Report.Expected()+load/best.capacity:
			best, found = d, true
		}
	}
	if found {
		p.level = best.Report.Expected() + load/best.capacity
		p.cut(s, p.segments[s].Window(i, i+1), best)
	}
}

// largestRun returns the window with the most load that contains no key with more than the given load, and its segment. If
// it fits into the room of a destination, such as beside a key that is too hot to move, it moves in one piece: smaller
// windows would leave many ranges.
func (p *planner) largestRun(limit float64) (s int, best sequoiakeyspace.Window) {
	for si, seg := range p.segments {
		start := 0
		for i := 0; i <= len(seg.Loads); i++ {
			if i < len(seg.Loads) && seg.Loads[i] <= limit {
				continue
			}
			if i > start {
				if w := seg.Window(start, i); w.Load > best.Load && p.mayCut(si, start, i) {
					s, best = si, w
				}
			}
			start = i + 1
		}
	}
	return s, best
}

// mayCut reports whether the upstream may hold the ranges that are left when the i-th to j-th keys of a segment are cut out.
func (p *planner) mayCut(s, i, j int) bool {
	return i == 0 || j == len(p.segments[s].Loads) || len(p.segments)+p.ranges < p.own.MaxRanges-spareRanges
}

// find returns a window of a segment with close to the wanted load. It prefers keys beside those that already move, unless
// a window elsewhere is much smaller: the load of each key is noisy, and always taking the hottest few keys would move less
// load than measured and leave many small ranges.
func (p *planner) find(want, fraction float64) (s int, best sequoiakeyspace.Window, found bool) {
	low, high := want*fraction, want*maxMoveFraction
	for i, seg := range p.segments {
		w, ok := seg.FindWindow(low, high)
		if !ok || found && w.Size() >= best.Size() {
			continue
		}
		if from := int(w.From - seg.From); p.mayCut(i, from, from+w.Size()) {
			s, best, found = i, w, true
		}
	}
	smallest := best.Size()
	adjacent := false
	for i, seg := range p.segments {
		for _, w := range seg.edges(want, low, high) {
			if (!found || w.Size() <= 2*smallest+8) && (!adjacent || w.Size() < best.Size()) {
				s, best, found, adjacent = i, w, true, true
			}
		}
	}
	return s, best, found
}

// edges returns the windows with close to the wanted load that begin or end beside keys that move.
func (s segment) edges(want, low, high float64) []sequoiakeyspace.Window {
	var out []sequoiakeyspace.Window
	total := s.Sum()
	if s.cutBefore && s.cutAfter && total >= low && total <= high {
		return []sequoiakeyspace.Window{s.Window(0, len(s.Loads))}
	}
	add := func(sum float64, i, j int) {
		if sum >= low && sum <= high {
			out = append(out, s.Window(i, j))
		}
	}
	if s.cutBefore {
		sum, n := 0.0, 0
		for n < len(s.Loads) && sum < want && sum+s.Loads[n] <= high {
			sum += s.Loads[n]
			n++
		}
		add(sum, 0, n)
	}
	if s.cutAfter {
		sum, n := 0.0, len(s.Loads)
		for n > 0 && sum < want && sum+s.Loads[n-1] <= high {
			n--
			sum += s.Loads[n]
		}
		add(sum, n, len(s.Loads))
	}
	return out
}

// cut moves a window of a segment to a destination.
func (p *planner) cut(s int, w sequoiakeyspace.Window, d destination) {
	seg := p.segments[s]
	from := int(w.From - seg.From)
	to := from + w.Size()
	var rest []segment
	if from > 0 {
		rest = append(rest, segment{sequoiakeyspace.Profile{From: seg.From, Loads: seg.Loads[:from]}, seg.cutBefore, true})
	}
	if to < len(seg.Loads) {
		rest = append(rest, segment{sequoiakeyspace.Profile{From: w.To + 1, Loads: seg.Loads[to:]}, true, seg.cutAfter})
	}
	p.segments = slices.Replace(p.segments, s, s+1, rest...)
	p.excess -= w.Load
	p.moves = append(p.moves, Move{Window: w, Candidate: d.Candidate, Reservation: Reservation{
		From: w.From, To: w.To, Utilization: w.Load / max(1e-9, d.capacity), Limit: p.level, Rates: parts(seg.Loads[from:to]),
	}})
}

// parts returns the total loads of at most maxLoadParts parts of equal size.
func parts(loads []float64) []float64 {
	n := min(maxLoadParts, len(loads))
	out := make([]float64, n)
	for i := range out {
		out[i] = sequoiakeyspace.Profile{Loads: loads[i*len(loads)/n : (i+1)*len(loads)/n]}.Sum()
	}
	return out
}

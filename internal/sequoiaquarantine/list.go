package sequoiaquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// quarantineStrikes is the number of strikes from which a request is quarantined.
	quarantineStrikes = 2
	// firstTrialDelay is how long after its latest strike a quarantined request is run again on trial, and
	// trialDelayFactor the growth of that time with each trial. After maxTrials the request is not run any more: each
	// trial of a request that does crash upstreams costs one of them.
	firstTrialDelay  = time.Minute
	trialDelayFactor = 10
	maxTrials        = 3
	// clearedMemory, suspectMemory and quarantineMemory are how long records are kept after their latest change. A
	// cleared record outlasts copies of its earlier state that other processes still hold.
	clearedMemory    = 10 * time.Minute
	suspectMemory    = time.Hour
	quarantineMemory = 24 * time.Hour
	// maxRecords limits the records of a List; encoded, they take about 10 KB. maxQuarantined limits the quarantined ones
	// among them, so that there is always room for new suspects.
	maxRecords     = 256
	maxQuarantined = 192
	// maxStrikes limits the strikes that are counted.
	maxStrikes = 100
)

// State is how a request is treated.
type State uint8

// States of a request.
const (
	// Clear means that nothing is known against the request.
	Clear State = iota
	// Suspect means that the request may run, but not beside another suspect.
	Suspect
	// Quarantined means that the request must not run.
	Quarantined
	// TrialDue means that the request may run once if BeginTrial is called before.
	TrialDue
)

// Mark is what a process knows of a request at a time. The zero Mark means that it knows nothing.
type Mark struct {
	_ struct{} `cbor:",toarray"`
	// Generation counts the answers that cleared the request.
	Generation uint32
	// Strikes counts the ends of upstreams with the request in progress since then.
	Strikes uint32
}

// Record is the entry of one request in a List.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Mark        Mark
	// Trials counts the trials of the current generation.
	Trials uint32
	// Changed is when the latest strike, trial or answer was recorded, in Unix milliseconds.
	Changed int64
}

// supersedes reports whether a record that is merged with an older one replaces part of it.
func (r Record) supersedes(old Record) bool { return merge(old, r) != old }

// merge returns the record that holds of two records of a request.
func merge(a, b Record) Record {
	switch {
	case a.Mark.Generation > b.Mark.Generation:
		return a
	case a.Mark.Generation < b.Mark.Generation:
		return b
	}
	a.Mark.Strikes = max(a.Mark.Strikes, b.Mark.Strikes)
	a.Trials = max(a.Trials, b.Trials)
	a.Changed = max(a.Changed, b.Changed)
	return a
}

// memory returns how long the record is kept.
func (r Record) memory() time.Duration {
	switch {
	case r.Mark.Strikes == 0:
		return clearedMemory
	case r.Mark.Strikes < quarantineStrikes:
		return suspectMemory
	}
	return quarantineMemory
}

// quarantined reports whether the record has the strikes of a quarantined request.
func (r Record) quarantined() bool { return r.Mark.Strikes >= quarantineStrikes }

// trialDelay returns how long after its latest change a quarantined request is run on trial.
func (r Record) trialDelay() time.Duration {
	if r.Trials >= maxTrials {
		return quarantineMemory
	}
	d := firstTrialDelay
	for range r.Trials {
		d *= trialDelayFactor
	}
	return d
}

// forgotten reports whether the record no longer counts.
func (r Record) forgotten(now time.Time) bool { return r.age(now) >= r.memory() }

// age returns the time since the latest change; a clock that was set back does not make it negative.
func (r Record) age(now time.Time) time.Duration { return max(0, now.Sub(time.UnixMilli(r.Changed))) }

// Verdict is the decision about a request.
type Verdict struct {
	State State
	Mark  Mark
	// RetryAfter is the time until the next trial of a quarantined request.
	RetryAfter time.Duration
}

// List holds the records that a process knows. It is not safe for concurrent use. Times are of the wall clock, because
// processes on several instances compare them.
type List struct {
	records map[Fingerprint]Record
}

// NewList returns an empty List.
func NewList() *List { return &List{records: map[Fingerprint]Record{}} }

// Len returns the number of records.
func (l *List) Len() int { return len(l.records) }

// Quarantined returns the number of quarantined requests.
func (l *List) Quarantined() (n int) {
	for _, r := range l.records {
		if r.quarantined() {
			n++
		}
	}
	return n
}

// Get returns the records of one request: one or none.
func (l *List) Get(f Fingerprint) []Record {
	if r, ok := l.records[f]; ok {
		return []Record{r}
	}
	return nil
}

// Judge decides how a request is treated.
func (l *List) Judge(now time.Time, f Fingerprint) Verdict {
	r, ok := l.records[f]
	if !ok || r.forgotten(now) {
		return Verdict{}
	}
	v := Verdict{Mark: r.Mark}
	switch {
	case r.Mark.Strikes == 0:
	case !r.quarantined():
		v.State = Suspect
	case r.age(now) >= r.trialDelay():
		v.State = TrialDue
	default:
		v.State, v.RetryAfter = Quarantined, r.trialDelay()-r.age(now)
	}
	return v
}

// Strike records that the upstream ended while it ran the request. known is the Mark when the request was sent: of
// copies that were sent without knowledge of each other, all but one count for nothing. It returns false if that
// changes nothing.
func (l *List) Strike(now time.Time, f Fingerprint, known Mark) bool {
	known.Strikes = min(known.Strikes+1, maxStrikes)
	r := Record{Fingerprint: f, Mark: known, Changed: now.UnixMilli()}
	if old, ok := l.records[f]; ok && !old.forgotten(now) && old.Mark.Generation == known.Generation && old.Mark.Strikes >= known.Strikes {
		return false
	}
	return l.put(now, r)
}

// Answered records that an upstream has answered the request, which clears it. It returns false if nothing was known
// against the request.
func (l *List) Answered(now time.Time, f Fingerprint) bool {
	r, ok := l.records[f]
	if !ok || r.forgotten(now) || r.Mark.Strikes == 0 {
		return false
	}
	return l.put(now, Record{Fingerprint: f, Mark: Mark{Generation: r.Mark.Generation + 1}, Changed: now.UnixMilli()})
}

// BeginTrial records a trial of a request and returns its record. It returns false if no trial is due.
func (l *List) BeginTrial(now time.Time, f Fingerprint) (Record, bool) {
	if l.Judge(now, f).State != TrialDue {
		return Record{}, false
	}
	r := l.records[f]
	r.Trials++
	r.Changed = now.UnixMilli()
	l.put(now, r)
	return r, true
}

// Merge merges records of other processes into the list and reports whether the list has changed.
func (l *List) Merge(now time.Time, records []Record) bool {
	changed := false
	for _, r := range records {
		changed = l.put(now, r) || changed
	}
	return changed
}

// put merges a record into the list and reports whether the list has changed.
func (l *List) put(now time.Time, r Record) bool {
	// A record from the future would never be forgotten.
	r.Changed = min(r.Changed, now.UnixMilli())
	if r.forgotten(now) {
		return false
	}
	if old, ok := l.records[r.Fingerprint]; ok && !old.forgotten(now) {
		if !r.supersedes(old) {
			return false
		}
		r = merge(old, r)
	}
	l.records[r.Fingerprint] = r
	l.limit(now)
	_, kept := l.records[r.Fingerprint]
	return kept
}

// limit forgets old records, and the least important ones beyond maxRecords.
func (l *List) limit(now time.Time) {
	if len(l.records) <= maxRecords {
		return
	}
	maps.DeleteFunc(l.records, func(_ Fingerprint, r Record) bool { return r.forgotten(now) })
	if len(l.records) <= maxRecords {
		return
	}
	quarantined, kept := 0, 0
	for _, r := range slices.SortedFunc(maps.Values(l.records), byImportance) {
		if r.quarantined() {
			quarantined++
		}
		if kept == maxRecords || r.quarantined() && quarantined > maxQuarantined {
			delete(l.records, r.Fingerprint)
		} else {
			kept++
		}
	}
}

// byImportance orders quarantined requests before suspects and these before cleared ones, and later before earlier ones.
func byImportance(a, b Record) int {
	rank := func(r Record) uint32 { return min(r.Mark.Strikes, quarantineStrikes) }
	return cmp.Or(
		cmp.Compare(rank(b), rank(a)), cmp.Compare(b.Changed, a.Changed), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]),
	)
}

// Records returns the records that are not forgotten yet, in the order of their fingerprints.
func (l *List) Records(now time.Time) []Record {
	var records []Record
	for _, r := range l.records {
		if !r.forgotten(now) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return records
}

// Missing returns the strikes and trials that another list, given by its records, lacks, and the answers that it
// contradicts. Processes learn of one strike at slightly different times, which makes no difference here.
func (l *List) Missing(now time.Time, other []Record) []Record {
	known := map[Fingerprint]Record{}
	for _, r := range other {
		known[r.Fingerprint] = r
	}
	missing := slices.DeleteFunc(l.Records(now), func(r Record) bool {
		old, ok := known[r.Fingerprint]
		merged := merge(old, r)
		return r.Mark.Strikes == 0 || ok && merged.Mark == old.Mark && merged.Trials == old.Trials
	})
	return append(missing, l.Contradictions(now, other)...)
}

// Contradictions returns the records of requests that have been answered since they got the strikes for which the other
// records quarantine them.
func (l *List) Contradictions(now time.Time, other []Record) []Record {
	var answered []Record
	for _, r := range other {
		own, ok := l.records[r.Fingerprint]
		if ok && !own.forgotten(now) && r.quarantined() && !own.quarantined() && own.supersedes(r) {
			answered = append(answered, own)
		}
	}
	return answered
}

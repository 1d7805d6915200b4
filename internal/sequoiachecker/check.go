package sequoiachecker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Run holds the records of a test run.
type Run struct {
	Executions []Execution
	Callers    []CallerRecord
	// Acknowledged are the entries whose writes the store confirmed to their writers.
	Acknowledged []sequoiatable.Entry
	// Log is the content of the log in the store, in ascending order. Entries up to TrimmedIndex were already deleted.
	Log          []sequoiatable.Entry
	TrimmedIndex uint64
	// SlowThreshold is the duration above which an answered request counts as unavailable time of its key, since
	// retries within a request otherwise hide an interruption. If it is zero, only requests without an answer count.
	SlowThreshold time.Duration
	// Departures are the planned stops, Configurations the accepted configurations and Observations the revisions that
	// the processes had in force.
	Departures     []Departure
	Configurations []Configuration
	Observations   []ConfigurationObservation
}

// Kind is a kind of violation.
type Kind string

// The kinds of violations.
const (
	// DoubleOwned: two owners of a key ran requests at the same time, or a request ran with an older epoch after one
	// with a newer epoch.
	DoubleOwned Kind = "DoubleOwned"
	// RanTwice: a request that must not be repeated took effect twice.
	RanTwice Kind = "RanTwice"
	// WrongAnswers: an answer belongs to another request or is incomplete.
	WrongAnswers Kind = "WrongAnswers"
	// FalseNotRun: a request took effect although it was reported to its caller as NotRun.
	FalseNotRun Kind = "FalseNotRun"
	// LostAssignments: an acknowledged assignment is missing from the log.
	LostAssignments Kind = "LostAssignments"
	// LateWork: an upstream started a request more than DepartureBound after it was asked to stop.
	LateWork Kind = "LateWork"
	// Interrupted: a request that was in progress when its upstream was asked to stop, or that started later, did not
	// take effect.
	Interrupted Kind = "Interrupted"
	// ConfigurationLate: an accepted configuration was not in force at a process within ConfigurationBound.
	ConfigurationLate Kind = "ConfigurationLate"
	// ConfigurationReverted: a process reverted to an older configuration, or a configuration was accepted that was
	// based on an older one than the one in force.
	ConfigurationReverted Kind = "ConfigurationReverted"
)

// Violation describes a violation of an invariant.
type Violation struct {
	Kind      Kind
	Service   string
	Key       string `json:",omitempty"`
	RequestID string `json:",omitempty"`
	Detail    string
}

// maxViolations limits the violations of each kind that a report describes. The counters include all of them.
const maxViolations = 100

// KeyUnavailable is the time during which requests for a key had no answer.
type KeyUnavailable struct {
	Service string
	Key     string
	Total   time.Duration
	Longest time.Duration
}

// Report is the result of Check.
type Report struct {
	Executions      int
	Callers         int
	DoubleOwned     int
	RanTwice        int
	WrongAnswers    int
	FalseNotRun     int
	LostAssignments int
	LateWork        int
	Interrupted     int
	// ConfigurationLate and ConfigurationReverted count violations by configuration changes.
	ConfigurationLate     int
	ConfigurationReverted int
	// Unverified counts acknowledged assignments that cannot be checked since their entries were trimmed.
	Unverified int
	// Violations describes up to 100 violations of each kind.
	Violations []Violation
	// Unavailable lists the keys with unavailable time, the longest total first.
	Unavailable []KeyUnavailable
}

// OK reports whether all invariants held.
func (r *Report) OK() bool {
	owners := r.DoubleOwned + r.RanTwice + r.WrongAnswers + r.FalseNotRun + r.LostAssignments
	return owners+r.LateWork+r.Interrupted+r.ConfigurationLate+r.ConfigurationReverted == 0
}

func (r *Report) counter(k Kind) *int {
	switch k {
	case DoubleOwned:
		return &r.DoubleOwned
	case RanTwice:
		return &r.RanTwice
	case WrongAnswers:
		return &r.WrongAnswers
	case FalseNotRun:
		return &r.FalseNotRun
	case LateWork:
		return &r.LateWork
	case Interrupted:
		return &r.Interrupted
	case ConfigurationLate:
		return &r.ConfigurationLate
	case ConfigurationReverted:
		return &r.ConfigurationReverted
	}
	return &r.LostAssignments
}

func (r *Report) add(v Violation) {
	n := r.counter(v.Kind)
	*n++
	if *n <= maxViolations {
		r.Violations = append(r.Violations, v)
	}
}

// Check looks for violations in a run. It does not change the run.
func Check(run Run) Report {
	r := Report{Executions: len(run.Executions), Callers: len(run.Callers)}
	r.checkOwners(run.Executions)
	r.checkRequests(run)
	r.checkAnswers(run.Callers)
	r.checkLog(run)
	r.checkDepartures(run)
	r.checkConfigurations(run)
	r.Unavailable = unavailableKeys(run)
	return r
}

type keyID struct {
	service string
	key     string
}

type requestID struct {
	service string
	id      string
}

func (r *Report) checkOwners(executions []Execution) {
	byKey := map[keyID][]*Execution{}
	var order []keyID
	for i := range executions {
		e := &executions[i]
		if e.Key == "" {
			continue
		}
		id := keyID{e.Service, e.Key}
		if byKey[id] == nil {
			order = append(order, id)
		}
		byKey[id] = append(byKey[id], e)
	}
	for _, id := range order {
		list := byKey[id]
		slices.SortStableFunc(list, func(a, b *Execution) int { return a.Start.Compare(b.Start) })
		r.checkEpochs(list)
		r.checkOverlap(list)
	}
}

// checkEpochs reports executions that start after one with a newer epoch. Those without effect count too, since they
// show that the upstream still accepted requests of an earlier owner.
func (r *Report) checkEpochs(list []*Execution) {
	newest := list[0]
	for _, e := range list[1:] {
		if e.Epoch >= newest.Epoch {
			newest = e
			continue
		}
		if !e.Start.After(newest.Start) {
			continue
		}
		r.add(Violation{
			Kind: DoubleOwned, Service: e.Service, Key: e.Key, RequestID: e.RequestID,
			Detail: fmt.Sprintf("epoch %d at %s started %s after epoch %d at %s",
				e.Epoch, e.Upstream, e.Start.Sub(newest.Start), newest.Epoch, newest.Upstream),
		})
	}
}

// checkOverlap reports committed executions that started while a committed execution of another owner was in progress.
// It keeps the two latest-ending executions of different owners: one of them belongs to another owner than the
// execution that is checked, and no other execution ends later than both.
func (r *Report) checkOverlap(list []*Execution) {
	var last, other *Execution
	for _, e := range list {
		if !e.Committed {
			continue
		}
		conflict := last
		if last != nil && last.Incarnation == e.Incarnation {
			conflict = other
		}
		if conflict != nil && conflict.End.After(e.Start) {
			r.add(Violation{
				Kind: DoubleOwned, Service: e.Service, Key: e.Key, RequestID: e.RequestID,
				Detail: fmt.Sprintf("%s at %s overlaps %s at %s by %s", e.Incarnation, e.Upstream, conflict.Incarnation,
					conflict.Upstream, conflict.End.Sub(e.Start)),
			})
		}
		last, other = latestEnding(last, other, e)
	}
}

// latestEnding returns the latest-ending executions of two different owners among the three, the later one first.
func latestEnding(last, other, e *Execution) (*Execution, *Execution) {
	switch {
	case last == nil:
		return e, nil
	case e.Incarnation == last.Incarnation:
		if e.End.After(last.End) {
			return e, other
		}
		return last, other
	case e.End.After(last.End):
		return e, last
	case other == nil || e.End.After(other.End):
		return last, e
	}
	return last, other
}

// requestOutcomes summarizes the outcomes of all calls with one request identifier.
type requestOutcomes struct {
	repeatable bool
	// mayHaveRun is true if the outcome of at least one call is Answered or Unknown.
	mayHaveRun bool
	notRun     *CallerRecord
}

func (r *Report) checkRequests(run Run) {
	outcomes := map[requestID]*requestOutcomes{}
	for i := range run.Callers {
		c := &run.Callers[i]
		if c.RequestID == "" {
			continue
		}
		id := requestID{c.Service, c.RequestID}
		o := outcomes[id]
		if o == nil {
			o = &requestOutcomes{}
			outcomes[id] = o
		}
		o.repeatable = o.repeatable || c.Repeatable
		if c.Outcome == NotRun {
			o.notRun = c
		} else {
			o.mayHaveRun = true
		}
	}
	committed := map[requestID]*Execution{}
	for i := range run.Executions {
		e := &run.Executions[i]
		if !e.Committed || e.RequestID == "" {
			continue
		}
		r.checkExecution(e, committed, outcomes)
	}
}

// checkExecution compares a committed execution with earlier ones of the same request and with the outcomes reported to
// the callers. NotRun for one call is not a violation if another call with the same identifier may have run.
func (r *Report) checkExecution(
	e *Execution, committed map[requestID]*Execution, outcomes map[requestID]*requestOutcomes,
) {
	id := requestID{e.Service, e.RequestID}
	o := outcomes[id]
	first := committed[id]
	committed[id] = e
	if first != nil && (o == nil || !o.repeatable) {
		r.add(Violation{
			Kind: RanTwice, Service: e.Service, Key: e.Key, RequestID: e.RequestID,
			Detail: fmt.Sprintf("at %s with epoch %d and at %s with epoch %d",
				first.Upstream, first.Epoch, e.Upstream, e.Epoch),
		})
	}
	if first == nil && o != nil && o.notRun != nil && !o.mayHaveRun {
		r.add(Violation{
			Kind: FalseNotRun, Service: e.Service, Key: e.Key, RequestID: e.RequestID,
			Detail: fmt.Sprintf("took effect at %s with epoch %d", e.Upstream, e.Epoch),
		})
	}
}

func (r *Report) checkAnswers(callers []CallerRecord) {
	for i := range callers {
		c := &callers[i]
		if c.Outcome != Answered {
			continue
		}
		if err := VerifyAnswer(c, c.Answer); err != nil {
			r.add(Violation{
				Kind: WrongAnswers, Service: c.Service, Key: c.Key, RequestID: c.RequestID,
				Detail: fmt.Sprintf("status %d: %v", c.Status, err),
			})
		}
	}
}

func (r *Report) checkLog(run Run) {
	log := make(map[uint64]*sequoiatable.Entry, len(run.Log))
	for i := range run.Log {
		log[run.Log[i].Index] = &run.Log[i]
	}
	for i := range run.Acknowledged {
		e := &run.Acknowledged[i]
		stored := log[e.Index]
		if stored != nil && stored.Writer == e.Writer && stored.Nonce == e.Nonce {
			continue
		}
		for _, c := range e.Changes {
			r.checkAssignment(e, c, stored == nil && e.Index <= run.TrimmedIndex)
		}
	}
}

func (r *Report) checkAssignment(e *sequoiatable.Entry, c sequoiatable.Change, trimmed bool) {
	v := Violation{Kind: LostAssignments}
	switch {
	case c.Assign != nil:
		v.Service = c.Assign.Service
		v.Detail = fmt.Sprintf("entry %d: %d shards and %d keys to %s",
			e.Index, len(c.Assign.Shards), len(c.Assign.Keys), c.Assign.To)
	case c.Merge != nil:
		v.Service = c.Merge.Service
		v.Detail = fmt.Sprintf("entry %d: %d keys merged by %s", e.Index, len(c.Merge.Keys), e.Writer)
	default:
		return
	}
	if trimmed {
		r.Unverified++
		return
	}
	r.add(v)
}

// unavailableKeys sums up the unavailable intervals of each key. An interval starts when the first unanswered or slow
// request is sent, or at the last answer if that arrived while the request was in progress. It ends with the next
// answer or the end of the last request.
func unavailableKeys(run Run) []KeyUnavailable {
	byKey := map[keyID][]*CallerRecord{}
	for i := range run.Callers {
		c := &run.Callers[i]
		id := keyID{c.Service, c.Key}
		byKey[id] = append(byKey[id], c)
	}
	var list []KeyUnavailable
	for id, calls := range byKey {
		slices.SortStableFunc(calls, func(a, b *CallerRecord) int { return a.Ended.Compare(b.Ended) })
		if u := keyUnavailable(calls, run.SlowThreshold); u.Total > 0 {
			u.Service, u.Key = id.service, id.key
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b KeyUnavailable) int {
		return cmp.Or(-cmp.Compare(a.Total, b.Total), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
	})
	return list
}

func keyUnavailable(calls []*CallerRecord, slowThreshold time.Duration) KeyUnavailable {
	var u KeyUnavailable
	var since, lastAnswer, lastEnd time.Time
	endInterval := func(end time.Time) {
		if since.IsZero() {
			return
		}
		interval := end.Sub(since)
		u.Total += interval
		u.Longest = max(u.Longest, interval)
		since = time.Time{}
	}
	for _, c := range calls {
		failed := c.Outcome != Answered
		slow := slowThreshold > 0 && c.Ended.Sub(c.Sent) > slowThreshold
		if since.IsZero() && (failed || slow) {
			since = c.Sent
			if lastAnswer.After(since) {
				since = lastAnswer
			}
		}
		lastEnd = c.Ended
		if !failed {
			endInterval(c.Ended)
			lastAnswer = c.Ended
		}
	}
	endInterval(lastEnd)
	return u
}

package sequoiachecker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Run is what was recorded of a run.
type Run struct {
	Executions []Execution
	Callers    []CallerRecord
	// Acknowledged are the entries whose writers were told that the store holds them.
	Acknowledged []sequoiatable.Entry
	// Log is what the store held, in ascending order. Trimmed is the index up to which it was already deleted.
	Log     []sequoiatable.Entry
	Trimmed uint64
	// Slow is the time above which an answered request counts as unavailable time of its key. Retries within a request
	// otherwise hide an interruption. Zero counts only requests without an answer.
	Slow time.Duration
	// Departures are the planned stops, Configurations the accepted configurations and Seen what processes had in force.
	Departures     []Departure
	Configurations []Configuration
	Seen           []ConfigurationSeen
}

// Kind is a kind of violation.
type Kind string

// The kinds of violations.
const (
	// DoubleOwned: two owners of a key ran requests at the same time, or an older epoch after a newer one.
	DoubleOwned Kind = "DoubleOwned"
	// RanTwice: a request that must not be repeated took effect twice.
	RanTwice Kind = "RanTwice"
	// WrongAnswers: an answer belongs to another request or is not complete.
	WrongAnswers Kind = "WrongAnswers"
	// FalseNotRun: a request took effect though its caller was told that it was not run.
	FalseNotRun Kind = "FalseNotRun"
	// LostAssignments: an acknowledged assignment is not in the log.
	LostAssignments Kind = "LostAssignments"
	// LateWork: a departing upstream began a request later than the bound after it was told to stop.
	LateWork Kind = "LateWork"
	// Interrupted: a request in progress at a departing upstream did not take effect.
	Interrupted Kind = "Interrupted"
	// ConfigurationLate: an accepted configuration was not in force at a process within the bound.
	ConfigurationLate Kind = "ConfigurationLate"
	// ConfigurationReverted: a process went back to an older configuration, or a configuration was accepted that was
	// made from an older one than the one in force.
	ConfigurationReverted Kind = "ConfigurationReverted"
)

// Violation is one violation of an invariant.
type Violation struct {
	Kind      Kind
	Service   string
	Key       string `json:",omitempty"`
	RequestID string `json:",omitempty"`
	Detail    string
}

// maxViolations bounds the violations of each kind that a report describes; all are counted.
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
	// ConfigurationLate and ConfigurationReverted count faults of the configuration.
	ConfigurationLate     int
	ConfigurationReverted int
	// Unverified counts acknowledged assignments in entries that were trimmed.
	Unverified int
	// Violations describes up to 100 violations of each kind.
	Violations []Violation
	// Unavailable lists the keys with unavailable time, the longest total first.
	Unavailable []KeyUnavailable
}

// OK reports whether no invariant was violated.
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
	r.Unavailable = unavailable(run)
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

// checkEpochs reports executions that start after one with a newer epoch, whether they took effect or not: each shows
// that an earlier owner was still admitted.
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

// checkOverlap reports executions that took effect while another owner's execution that took effect was in progress.
// It keeps, for two different owners, the execution that ended last; no other one can end later than both.
func (r *Report) checkOverlap(list []*Execution) {
	var last, other *Execution
	for _, e := range list {
		if !e.Committed {
			continue
		}
		rival := last
		if last != nil && last.Incarnation == e.Incarnation {
			rival = other
		}
		if rival != nil && rival.End.After(e.Start) {
			r.add(Violation{
				Kind: DoubleOwned, Service: e.Service, Key: e.Key, RequestID: e.RequestID,
				Detail: fmt.Sprintf("%s at %s overlaps %s at %s by %s", e.Incarnation, e.Upstream, rival.Incarnation,
					rival.Upstream, rival.End.Sub(e.Start)),
			})
		}
		last, other = latest(last, other, e)
	}
}

// latest returns the executions of two different owners that end last, the later one first.
func latest(last, other, e *Execution) (*Execution, *Execution) {
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

// outcomes says what the callers know of one request identifier.
type outcomes struct {
	repeatable bool
	// mayHaveRun is true if one of the calls with the identifier ended with an answer or as Unknown.
	mayHaveRun bool
	notRun     *CallerRecord
}

func (r *Report) checkRequests(run Run) {
	told := map[requestID]*outcomes{}
	for i := range run.Callers {
		c := &run.Callers[i]
		if c.RequestID == "" {
			continue
		}
		id := requestID{c.Service, c.RequestID}
		o := told[id]
		if o == nil {
			o = &outcomes{}
			told[id] = o
		}
		o.repeatable = o.repeatable || c.Repeatable
		if c.Outcome == NotRun {
			o.notRun = c
		} else {
			o.mayHaveRun = true
		}
	}
	ran := map[requestID]*Execution{}
	for i := range run.Executions {
		e := &run.Executions[i]
		if !e.Committed || e.RequestID == "" {
			continue
		}
		r.checkExecution(e, ran, told)
	}
}

// checkExecution compares an execution that took effect with earlier ones and with what the callers were told. Where
// one call with the identifier may have run, another call's NotRun says nothing of that one.
func (r *Report) checkExecution(e *Execution, ran map[requestID]*Execution, told map[requestID]*outcomes) {
	id := requestID{e.Service, e.RequestID}
	o := told[id]
	first := ran[id]
	ran[id] = e
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
		held := log[e.Index]
		if held != nil && held.Writer == e.Writer && held.Nonce == e.Nonce {
			continue
		}
		for _, c := range e.Changes {
			r.checkAssignment(e, c, held == nil && e.Index <= run.Trimmed)
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

// unavailable adds up, for each key, the times from the first request without an answer to the end of the next one with
// an answer. An answer that came while the failed request was in progress moves the begin.
func unavailable(run Run) []KeyUnavailable {
	byKey := map[keyID][]*CallerRecord{}
	for i := range run.Callers {
		c := &run.Callers[i]
		id := keyID{c.Service, c.Key}
		byKey[id] = append(byKey[id], c)
	}
	var list []KeyUnavailable
	for id, calls := range byKey {
		slices.SortStableFunc(calls, func(a, b *CallerRecord) int { return a.Ended.Compare(b.Ended) })
		if u := keyUnavailable(calls, run.Slow); u.Total > 0 {
			u.Service, u.Key = id.service, id.key
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b KeyUnavailable) int {
		return cmp.Or(-cmp.Compare(a.Total, b.Total), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
	})
	return list
}

func keyUnavailable(calls []*CallerRecord, slow time.Duration) KeyUnavailable {
	var u KeyUnavailable
	var since, answered, last time.Time
	closeGap := func(end time.Time) {
		if since.IsZero() {
			return
		}
		gap := end.Sub(since)
		u.Total += gap
		u.Longest = max(u.Longest, gap)
		since = time.Time{}
	}
	for _, c := range calls {
		failed := c.Outcome != Answered
		late := slow > 0 && c.Ended.Sub(c.Sent) > slow
		if since.IsZero() && (failed || late) {
			since = c.Sent
			if answered.After(since) {
				since = answered
			}
		}
		last = c.Ended
		if !failed {
			closeGap(c.Ended)
			answered = c.Ended
		}
	}
	closeGap(last)
	return u
}

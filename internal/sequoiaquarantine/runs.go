package sequoiaquarantine

import (
	"slices"
	"time"
)

const (
	// maxLost limits the runs without a response that a Runs remembers.
	maxLost = 64
	// AbandonedTime is how long an upstream may work on a request whose caller has left or whose deadline has passed.
	AbandonedTime = time.Second
)

// Run is a request that was sent to the upstream.
type Run[T any] struct {
	Identity Identity
	// Known is what was known of the request when it was sent.
	Known Mark
	// Started is when the request was sent.
	Started time.Time
	// Owner is the caller's own record of the request.
	Owner T

	// over is when the upstream no longer worked on a run without a response, if it had not ended by then.
	over time.Time
	// fingerprint is nil until it is needed.
	fingerprint *Fingerprint
}

// Fingerprint returns the fingerprint of the request.
func (run *Run[T]) Fingerprint() Fingerprint {
	if run.fingerprint == nil {
		f := run.Identity.Fingerprint()
		run.fingerprint = &f
	}
	return *run.fingerprint
}

// Runs holds the requests in progress at one upstream, to tell which ones it was working on when it ended. It is not
// safe for concurrent use.
type Runs[T any] struct {
	running map[*Run[T]]struct{}
	// lost holds the runs without a response after which the upstream has not answered a request yet. The upstream may
	// have ended.
	lost []*Run[T]
}

// NewRuns returns an empty Runs.
func NewRuns[T any]() *Runs[T] { return &Runs[T]{running: map[*Run[T]]struct{}{}} }

// Begin adds a run that is being sent to the upstream.
func (r *Runs[T]) Begin(run *Run[T]) { r.running[run] = struct{}{} }

// Running calls f for each run that is in progress.
func (r *Runs[T]) Running(f func(run *Run[T])) {
	for run := range r.running {
		f(run)
	}
}

// Answered records the response to a run. The upstream was alive when the run began, so what was over before did not end
// it.
func (r *Runs[T]) Answered(run *Run[T]) {
	delete(r.running, run)
	r.lost = slices.DeleteFunc(r.lost, func(l *Run[T]) bool { return l.over.Before(run.Started) })
}

// Lost records that the connection of a run was lost without a response.
func (r *Runs[T]) Lost(now time.Time, run *Run[T]) { r.endWithoutResponse(run, now) }

// Abandoned records that the caller of a run has left or its deadline has passed. The upstream may work on.
func (r *Runs[T]) Abandoned(now time.Time, run *Run[T]) {
	r.endWithoutResponse(run, now.Add(AbandonedTime))
}

func (r *Runs[T]) endWithoutResponse(run *Run[T], over time.Time) {
	if _, ok := r.running[run]; !ok {
		return
	}
	delete(r.running, run)
	run.over = over
	_ = run.Fingerprint()
	run.Identity.Body = nil // It may be large.
	if len(r.lost) >= maxLost {
		r.lost = slices.Delete(r.lost, 0, 1)
	}
	r.lost = append(r.lost, run)
}

// NotSent records that a run was not sent.
func (r *Runs[T]) NotSent(run *Run[T]) { delete(r.running, run) }

// UpstreamEnded returns the runs that were in progress when the upstream ended, and forgets them.
func (r *Runs[T]) UpstreamEnded() []*Run[T] {
	runs := r.lost
	for run := range r.running {
		runs = append(runs, run)
	}
	r.lost = nil
	clear(r.running)
	return runs
}

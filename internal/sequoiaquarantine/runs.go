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

// Run is a request for the upstream.
type Run[T any] struct {
	Identity Identity
	// Owner is the caller's own record of the request.
	Owner T

	// sent is true once the request has been sent, started is when that was, and known what was known of it before.
	sent    bool
	started time.Time
	known   Mark
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

// Known returns what was known of the request before it was sent.
func (run *Run[T]) Known() Mark { return run.known }

// Runs holds the requests for one upstream, to tell which ones it was working on when it ended. It is not safe for
// concurrent use.
type Runs[T any] struct {
	// open holds the runs that wait, that are being sent and that are in progress.
	open map[*Run[T]]struct{}
	// lost holds the runs without a response after which the upstream has not answered a request yet. The upstream may
	// have ended.
	lost []*Run[T]
}

// NewRuns returns an empty Runs.
func NewRuns[T any]() *Runs[T] { return &Runs[T]{open: map[*Run[T]]struct{}{}} }

// Add adds a run that waits to be sent to the upstream.
func (r *Runs[T]) Add(run *Run[T]) { r.open[run] = struct{}{} }

// Sent records that a run is being sent, and what was known of the request when that was decided.
func (r *Runs[T]) Sent(now time.Time, run *Run[T], known Mark) {
	run.sent, run.started, run.known = true, now, known
}

// Open calls f for each run that waits or is in progress.
func (r *Runs[T]) Open(f func(run *Run[T])) {
	for run := range r.open {
		f(run)
	}
}

// Answered records the response to a run. The upstream was alive when the run began, so what was over before did not end
// it.
func (r *Runs[T]) Answered(run *Run[T]) {
	delete(r.open, run)
	r.lost = slices.DeleteFunc(r.lost, func(l *Run[T]) bool { return l.over.Before(run.started) })
}

// Lost records that the connection of a run was lost without a response.
func (r *Runs[T]) Lost(now time.Time, run *Run[T]) { r.endWithoutResponse(run, now) }

// Abandoned records that the caller of a run has left or its deadline has passed. The upstream may work on.
func (r *Runs[T]) Abandoned(now time.Time, run *Run[T]) {
	r.endWithoutResponse(run, now.Add(AbandonedTime))
}

func (r *Runs[T]) endWithoutResponse(run *Run[T], over time.Time) {
	if _, ok := r.open[run]; !ok {
		return
	}
	delete(r.open, run)
	if !run.sent {
		return
	}
	run.over = over
	_ = run.Fingerprint()
	run.Identity.Body = nil // It may be large.
	if len(r.lost) >= maxLost {
		r.lost = slices.Delete(r.lost, 0, 1)
	}
	r.lost = append(r.lost, run)
}

// MayBeRunning reports whether a run without a response would count as in progress if the upstream ended now.
func (r *Runs[T]) MayBeRunning(run *Run[T]) bool { return slices.Contains(r.lost, run) }

// NotSent records that a run was not sent. It changes nothing if the end of the run is recorded already.
func (r *Runs[T]) NotSent(run *Run[T]) { delete(r.open, run) }

// UpstreamEnded returns the runs that were in progress when the upstream ended, and forgets them.
func (r *Runs[T]) UpstreamEnded() []*Run[T] {
	runs := r.lost
	r.lost = nil
	for run := range r.open {
		if run.sent {
			runs = append(runs, run)
			delete(r.open, run)
		}
	}
	return runs
}

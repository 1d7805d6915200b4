package sequoiaquarantine

import (
	"slices"
	"time"
)

// maxLost limits the lost runs that a Runs remembers.
const maxLost = 64

// Run is a request that was sent to the upstream.
type Run struct {
	Identity Identity
	// Started is when the request was sent, and lost when its connection was lost.
	Started time.Time
	lost    time.Time
}

// Runs holds the requests in progress at one upstream, to tell which ones it was working on when it ended. It is not
// safe for concurrent use.
type Runs struct {
	running map[*Run]struct{}
	// lost holds the runs whose connection was lost and after which the upstream has not answered yet. Either the
	// upstream has ended or only the connection was closed.
	lost []*Run
}

// NewRuns returns an empty Runs.
func NewRuns() *Runs { return &Runs{running: map[*Run]struct{}{}} }

// Begin adds a request that is being sent to the upstream.
func (r *Runs) Begin(now time.Time, id Identity) *Run {
	run := &Run{Identity: id, Started: now}
	r.running[run] = struct{}{}
	return run
}

// Answered records the response to a run. The upstream was alive when the run began, so what was lost before did not end
// it.
func (r *Runs) Answered(run *Run) {
	delete(r.running, run)
	r.lost = slices.DeleteFunc(r.lost, func(l *Run) bool { return l.lost.Before(run.Started) })
}

// Lost records that the connection of a run was lost without a response.
func (r *Runs) Lost(now time.Time, run *Run) {
	if _, ok := r.running[run]; !ok {
		return
	}
	delete(r.running, run)
	run.lost = now
	if len(r.lost) >= maxLost {
		r.lost = slices.Delete(r.lost, 0, 1)
	}
	r.lost = append(r.lost, run)
}

// Ended records that a run has ended in another way: it was not sent, or its caller has left.
func (r *Runs) Ended(run *Run) { delete(r.running, run) }

// UpstreamEnded returns the runs that were in progress when the upstream ended, and forgets them.
func (r *Runs) UpstreamEnded() []*Run {
	runs := r.lost
	for run := range r.running {
		runs = append(runs, run)
	}
	r.lost = nil
	clear(r.running)
	return runs
}

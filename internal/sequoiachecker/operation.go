package sequoiachecker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Bounds of the design for planned operations.
const (
	// DepartureBound is the time after which a departing upstream receives no new work.
	DepartureBound = 3 * time.Second
	// ConfigurationBound is the time after which an accepted configuration is in force everywhere.
	ConfigurationBound = 12 * time.Second
)

// Departure is a planned stop of an upstream.
type Departure struct {
	Upstream string
	// Asked is when the stop was asked for. Until is when the instance was started again, zero if it was not.
	Asked time.Time
	Until time.Time
}

// Configuration is an accepted configuration.
type Configuration struct {
	// Base is the revision that the document was made from, Revision its own.
	Base     uint64
	Revision uint64
	// Accepted is when its operator was told.
	Accepted time.Time
}

// ConfigurationSeen says which revision a process had in force, zero for none.
type ConfigurationSeen struct {
	Process  string
	Revision uint64
	At       time.Time
	// Started is when the process was started, which may be after a configuration was accepted.
	Started time.Time
}

func (r *Report) checkDepartures(run Run) {
	for _, d := range run.Departures {
		for i := range run.Executions {
			e := &run.Executions[i]
			if e.Upstream != d.Upstream || !d.Until.IsZero() && !e.Start.Before(d.Until) {
				continue
			}
			r.checkDeparture(d, e)
		}
	}
}

func (r *Report) checkDeparture(d Departure, e *Execution) {
	v := Violation{Service: e.Service, Key: e.Key, RequestID: e.RequestID}
	if late := e.Start.Sub(d.Asked); late > DepartureBound {
		v.Kind = LateWork
		v.Detail = fmt.Sprintf("%s began it %s after it was told to stop", e.Upstream, late)
		r.add(v)
	}
	if !e.Committed && e.End.After(d.Asked) {
		v.Kind = Interrupted
		v.Detail = fmt.Sprintf("at %s, %s after it was told to stop", e.Upstream, e.End.Sub(d.Asked))
		r.add(v)
	}
}

func (r *Report) checkConfigurations(run Run) {
	accepted := slices.Clone(run.Configurations)
	slices.SortFunc(accepted, func(a, b Configuration) int { return cmp.Compare(a.Revision, b.Revision) })
	for i, c := range accepted {
		if i > 0 && accepted[i-1].Revision > c.Base {
			r.add(Violation{Kind: ConfigurationReverted, Detail: fmt.Sprintf(
				"revision %d was made from %d though %d was in force", c.Revision, c.Base, accepted[i-1].Revision)})
		}
	}
	seen := slices.Clone(run.Seen)
	slices.SortStableFunc(seen, func(a, b ConfigurationSeen) int { return a.At.Compare(b.At) })
	newest := map[string]uint64{}
	for _, s := range seen {
		r.checkSeen(s, accepted, newest)
	}
}

// checkSeen compares what a process had in force with what it had before and with what was accepted. A process that has
// just started has no configuration for a moment; that is judged by the bound alone.
func (r *Report) checkSeen(s ConfigurationSeen, accepted []Configuration, newest map[string]uint64) {
	if s.Revision != 0 && s.Revision < newest[s.Process] {
		r.add(Violation{Kind: ConfigurationReverted, Detail: fmt.Sprintf(
			"%s went back from revision %d to %d", s.Process, newest[s.Process], s.Revision)})
	}
	newest[s.Process] = max(newest[s.Process], s.Revision)
	for _, c := range accepted {
		since := c.Accepted
		if s.Started.After(since) {
			since = s.Started
		}
		if late := s.At.Sub(since); s.Revision < c.Revision && late > ConfigurationBound {
			r.add(Violation{Kind: ConfigurationLate, Detail: fmt.Sprintf(
				"%s had revision %d %s after %d was accepted", s.Process, s.Revision, late, c.Revision)})
		}
	}
}

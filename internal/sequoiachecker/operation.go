package sequoiachecker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Time limits for planned operations.
const (
	// DepartureBound is the longest time after a stop request during which an upstream may still receive new requests.
	DepartureBound = 3 * time.Second
	// ConfigurationBound is the longest time after its acceptance until a configuration is in force at every process.
	ConfigurationBound = 12 * time.Second
)

// Departure is a planned stop of an upstream.
type Departure struct {
	Upstream string
	// Requested is the time of the stop request. Restarted is the time of the next start, zero if there was none.
	Requested time.Time
	Restarted time.Time
}

// Configuration is a configuration that was accepted.
type Configuration struct {
	// Base is the revision that the document was based on, Revision the one it was given.
	Base     uint64
	Revision uint64
	// Accepted is the time at which its operator received the confirmation.
	Accepted time.Time
}

// ConfigurationObservation is the revision that a process had in force at a time, zero for none.
type ConfigurationObservation struct {
	Process  string
	Revision uint64
	At       time.Time
	// Started is the start time of the process, which may be after a configuration was accepted.
	Started time.Time
}

func (r *Report) checkDepartures(run Run) {
	for _, d := range run.Departures {
		for i := range run.Executions {
			e := &run.Executions[i]
			if e.Upstream != d.Upstream || !d.Restarted.IsZero() && !e.Start.Before(d.Restarted) {
				continue
			}
			r.checkDeparture(d, e)
		}
	}
}

func (r *Report) checkDeparture(d Departure, e *Execution) {
	v := Violation{Service: e.Service, Key: e.Key, RequestID: e.RequestID}
	if late := e.Start.Sub(d.Requested); late > DepartureBound {
		v.Kind = LateWork
		v.Detail = fmt.Sprintf("%s started the request %s after it was asked to stop", e.Upstream, late)
		r.add(v)
	}
	if !e.Committed && e.End.After(d.Requested) {
		v.Kind = Interrupted
		v.Detail = fmt.Sprintf("did not take effect at %s, ended %s after the upstream was asked to stop",
			e.Upstream, e.End.Sub(d.Requested))
		r.add(v)
	}
}

func (r *Report) checkConfigurations(run Run) {
	accepted := slices.Clone(run.Configurations)
	slices.SortFunc(accepted, func(a, b Configuration) int { return cmp.Compare(a.Revision, b.Revision) })
	for i, c := range accepted {
		if i > 0 && accepted[i-1].Revision > c.Base {
			r.add(Violation{Kind: ConfigurationReverted, Detail: fmt.Sprintf(
				"revision %d was based on %d though %d was in force", c.Revision, c.Base, accepted[i-1].Revision)})
		}
	}
	observations := slices.Clone(run.Observations)
	slices.SortStableFunc(observations, func(a, b ConfigurationObservation) int { return a.At.Compare(b.At) })
	newest := map[string]uint64{}
	for _, o := range observations {
		r.checkObservation(o, accepted, newest)
	}
}

// checkObservation compares the revision of a process with its newest earlier one and with the accepted configurations.
// Revision zero, which a process has shortly after its start, is checked against ConfigurationBound only.
func (r *Report) checkObservation(o ConfigurationObservation, accepted []Configuration, newest map[string]uint64) {
	if o.Revision != 0 && o.Revision < newest[o.Process] {
		r.add(Violation{Kind: ConfigurationReverted, Detail: fmt.Sprintf(
			"%s reverted from revision %d to %d", o.Process, newest[o.Process], o.Revision)})
	}
	newest[o.Process] = max(newest[o.Process], o.Revision)
	for _, c := range accepted {
		since := c.Accepted
		if o.Started.After(since) {
			since = o.Started
		}
		if late := o.At.Sub(since); o.Revision < c.Revision && late > ConfigurationBound {
			r.add(Violation{Kind: ConfigurationLate, Detail: fmt.Sprintf(
				"%s had revision %d %s after revision %d was accepted", o.Process, o.Revision, late, c.Revision)})
		}
	}
}

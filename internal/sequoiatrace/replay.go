package sequoiatrace

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
)

// Result has the figures of one policy.
type Result struct {
	Policy string
	// PeakOverMean and Variation (the coefficient of variation) of the slots that each upstream's work keeps busy are
	// means over windows of 10 s.
	PeakOverMean float64
	Variation    float64
	// Churn is the share of the keys that changed owner, counted once for each change.
	Churn float64
	// Moves counts the shards and hot keys that changed owner, MovesBeyondFewest those above the fewest that the
	// joins, leaves and losses require.
	Moves              int
	MovesBeyondFewest  int
	MostMovesPerMinute int
	// UnavailableKeySeconds sums the time in which keys had no owner.
	UnavailableKeySeconds     float64
	LongestUnavailableSeconds float64
	// OverloadedSeconds is the time in which an upstream got more work than its slots can do.
	OverloadedSeconds float64
	// DepartureSeconds is the time after which a leaving upstream last got a request.
	DepartureSeconds float64
	// Failed and Shed count requests that no upstream ran.
	Failed int
	Shed   int
	// Cost is the weighted cost under the deployment's weights.
	Cost float64

	keysMoved int
	fewest    int
}

// Figures returns what the cost is computed from, for a trace with the given number of keys.
func (r *Result) Figures(keys int) sequoiaplacement.Metrics {
	return sequoiaplacement.Metrics{
		PeakOverMean: r.PeakOverMean, Churn: r.Churn, UnavailablePerKey: r.UnavailableKeySeconds / float64(keys),
	}
}

// Report is the JSON object at the end of a replay's output.
type Report struct {
	Trace      string
	Deployment string
	Service    string
	Requests   int
	// OK is true if the policy kept all bounds of the outcome; Violations names those it did not keep.
	OK         bool
	Violations []string
	Results    []Result
}

// PolicyName is the policy of the trace's configuration, the one that the outcome applies to.
const PolicyName = "Sequoia"

// Policies returns the policy with the trace's parameters, an eager and a reluctant variant of it and the baselines.
func Policies(h *Header) []sequoiaplacement.Policy {
	tuning := sequoiaplacement.Tuning{
		Hysteresis: h.Hysteresis, MovesPerMinute: h.MovesPerMinute, HotKeyBusySlots: h.HotKeyBusySlots,
		KeysPerShard: float64(h.Keys) / float64(h.Shards),
	}
	eager, reluctant := tuning, tuning
	eager.Hysteresis /= 2
	eager.MovesPerMinute *= 2
	reluctant.Hysteresis *= 2
	reluctant.MovesPerMinute = max(1, reluctant.MovesPerMinute/2)
	return append([]sequoiaplacement.Policy{
		sequoiaplacement.NewPolicy(PolicyName, tuning),
		sequoiaplacement.NewPolicy("SequoiaEager", eager),
		sequoiaplacement.NewPolicy("SequoiaReluctant", reluctant),
	}, sequoiaplacement.Baselines()...)
}

// Replay runs the trace under each policy, writes a line for each and then the Report as one JSON object on the last
// line. It returns whether the policy kept the trace's outcome. An error means that the trace could not be replayed or
// the output not be written.
func Replay(w io.Writer, t *Trace) (ok bool, err error) {
	report, err := Run(t)
	if err != nil {
		return false, err
	}
	for _, r := range report.Results {
		if _, err := fmt.Fprintf(w, "%-18s peak/mean %.2f  variation %.2f  churn %.2f  beyond fewest %d  unavailable %.1f key-seconds  overloaded %.0f s  cost %.3f\n",
			r.Policy, r.PeakOverMean, r.Variation, r.Churn, r.MovesBeyondFewest, r.UnavailableKeySeconds, r.OverloadedSeconds, r.Cost); err != nil {
			return false, errors.Wrap(err, "write report")
		}
	}
	if err := json.NewEncoder(w).Encode(report); err != nil {
		return false, errors.Wrap(err, "write report")
	}
	return report.OK, nil
}

// Run replays the trace under each policy and returns the report.
func Run(t *Trace) (*Report, error) {
	if err := t.check(); err != nil {
		return nil, err
	}
	h := &t.Header
	report := &Report{Trace: h.Name, Deployment: h.Deployment, Service: h.Service, Violations: []string{}}
	for _, p := range Policies(h) {
		m, err := newModel(h, p)
		if err != nil {
			return nil, err
		}
		if err := m.replay(t); err != nil {
			return nil, err
		}
		r := m.result()
		report.Requests = m.requests
		report.Results = append(report.Results, r)
		if p.Name == PolicyName {
			report.Violations = t.Outcome.violations(r)
		}
	}
	report.OK = len(report.Violations) == 0
	return report, nil
}

// replay runs the model second by second. Requests arrive at exponentially distributed intervals.
func (m *model) replay(t *Trace) error {
	next := 0
	arrival := 0.0
	for second := 0; float64(second) < m.header.DurationSeconds; second++ {
		m.now = float64(second)
		for next < len(t.Events) && t.Events[next].At <= m.now {
			if err := m.handle(&t.Events[next]); err != nil {
				return err
			}
			next++
		}
		if second%windowSeconds == 0 && second > 0 {
			m.window()
		}
		m.measure()
		if second%balanceSeconds == 0 {
			if err := m.balance(); err != nil {
				return err
			}
		}
		arrival = max(arrival, m.now)
		for m.rate > 0 {
			arrival += m.rng.ExpFloat64() / m.rate
			if arrival >= float64(second+1) {
				break
			}
			m.now = arrival
			if err := m.takeOver(); err != nil {
				return err
			}
			m.request()
		}
	}
	return nil
}

func (m *model) result() Result {
	r := m.figures
	if m.windows > 0 {
		r.PeakOverMean /= float64(m.windows)
		r.Variation /= float64(m.windows)
	}
	r.Churn = float64(r.keysMoved) / float64(m.header.Keys)
	r.MovesBeyondFewest = max(0, r.Moves-r.fewest)
	r.Cost = m.header.Weights.Cost(r.Figures(m.header.Keys))
	return r
}

// violations lists the bounds that the result does not keep.
func (o *Outcome) violations(r Result) []string {
	list := []string{}
	add := func(name string, found, bound float64) {
		if found > bound {
			list = append(list, fmt.Sprintf("%s is %.2f, allowed is at most %.2f", name, found, bound))
		}
	}
	add("LongestUnavailableSeconds", r.LongestUnavailableSeconds, o.LongestUnavailableSeconds)
	add("OverloadedSeconds", r.OverloadedSeconds, o.OverloadedSeconds)
	add("MostMovesPerMinute", float64(r.MostMovesPerMinute), float64(o.MovesPerMinute))
	add("DepartureSeconds", r.DepartureSeconds, o.DepartureSeconds)
	return list
}

package sequoiatrace

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
)

// Result has the measurements of one policy.
type Result struct {
	Policy string
	// PeakOverMean and Variation are the peak-to-mean ratio and the coefficient of variation of the upstreams' slot
	// utilization, averaged over windows of 10 s.
	PeakOverMean float64
	Variation    float64
	// Churn is the number of ownership changes of keys divided by the number of keys.
	Churn float64
	// Moves counts the shards and hot keys that changed owner. MovesBeyondFewest is the excess over the minimum that
	// the joins, leaves and failures require.
	Moves              int
	MovesBeyondFewest  int
	MostMovesPerMinute int
	// UnavailableKeySeconds is the time without an owner, summed over all keys.
	UnavailableKeySeconds     float64
	LongestUnavailableSeconds float64
	// OverloadedSeconds is the time in which an upstream received more work than its slots can process.
	OverloadedSeconds float64
	// DepartureSeconds is the longest time from the start of a leave to a request that the leaving upstream received.
	DepartureSeconds float64
	// Failed and Shed count the requests that no upstream executed.
	Failed int
	Shed   int
	// Cost is the cost under the deployment's weights.
	Cost float64

	keysMoved     int
	requiredMoves int
}

// Figures returns the inputs of the cost function for a trace with the given number of keys.
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
	// OK reports whether the configured policy stayed within all bounds of the outcome; Violations lists the bounds
	// that it exceeded.
	OK         bool
	Violations []string
	Results    []Result
}

// ConfiguredPolicyName is the name of the policy with the trace's parameters. This is the policy that must stay within
// the bounds of the outcome.
const ConfiguredPolicyName = "Sequoia"

// Policies returns the policy with the trace's parameters, a more and a less aggressive variant of it and the baseline
// policies.
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
		sequoiaplacement.NewPolicy(ConfiguredPolicyName, tuning),
		sequoiaplacement.NewPolicy("SequoiaEager", eager),
		sequoiaplacement.NewPolicy("SequoiaReluctant", reluctant),
	}, sequoiaplacement.Baselines()...)
}

// Replay runs the trace under each policy and writes one line per policy, followed by the Report as a JSON object on
// the last line. ok reports whether the configured policy stayed within the bounds of the trace's outcome. The error is
// non-nil if the trace could not be replayed or the output could not be written.
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

// Run replays the trace under each policy and returns the results.
func Run(t *Trace) (*Report, error) {
	if err := t.validate(); err != nil {
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
		if p.Name == ConfiguredPolicyName {
			report.Violations = t.Outcome.violations(r)
		}
	}
	report.OK = len(report.Violations) == 0
	return report, nil
}

// replay advances the model second by second. Requests arrive at exponentially distributed intervals.
func (m *model) replay(t *Trace) error {
	next := 0
	arrival := 0.0
	for second := 0; float64(second) < m.header.DurationSeconds; second++ {
		m.now = float64(second)
		for next < len(t.Events) && t.Events[next].At <= m.now {
			if err := m.applyEvent(&t.Events[next]); err != nil {
				return err
			}
			next++
		}
		if second%windowSeconds == 0 && second > 0 {
			m.recordWindow()
		}
		m.updateLoads()
		if second%balanceIntervalSeconds == 0 {
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
			if err := m.runDueTakeovers(); err != nil {
				return err
			}
			m.simulateRequest()
		}
	}
	return nil
}

func (m *model) result() Result {
	r := m.totals
	if m.windows > 0 {
		r.PeakOverMean /= float64(m.windows)
		r.Variation /= float64(m.windows)
	}
	r.Churn = float64(r.keysMoved) / float64(m.header.Keys)
	r.MovesBeyondFewest = max(0, r.Moves-r.requiredMoves)
	r.Cost = m.header.Weights.Cost(r.Figures(m.header.Keys))
	return r
}

// violations describes the bounds that the result exceeds.
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

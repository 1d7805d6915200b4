package sequoiatrace

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
)

// Service describes a service for which Generate makes traces.
type Service struct {
	Deployment string
	Name       string
	Divided    bool
	Slots      int
	// Domains has the failure domain of each upstream.
	Domains []string
	// JoinDomain is the failure domain of an upstream that joins.
	JoinDomain string
	Weights    sequoiaplacement.Weights
	// MovesPerMinute is the configured limit of balancing moves.
	MovesPerMinute int
}

// lostDomainPrefix is the name prefix of the scenarios in which a failure domain is lost.
const lostDomainPrefix = "lost-domain-"

// Scenarios returns the names of the service's scenarios. Each failure domain is lost in one of them: the number of
// keys that a policy places in a domain depends partly on the hash, which evens out only over all domains.
func (s *Service) Scenarios() []string {
	names := []string{"steady-day", "join-and-leave-at-night", "cold-start", "slow-upstream", "lying-load"}
	if s.Divided {
		names = append(names, "hot-key")
	}
	for i, domain := range s.Domains {
		if !slices.Contains(s.Domains[:i], domain) {
			names = append(names, lostDomainPrefix+domain)
		}
	}
	return names
}

// Services returns the services of the two reference deployments.
func Services() []Service {
	howrah := []string{"howrah-north", "howrah-north", "howrah-south", "bally", "shibpur"}
	pinehollow := []string{"mobile-yard", "mobile-yard", "hattiesburg-yard", "hattiesburg-yard", "lafayette-yard"}
	imbalanceFirst := sequoiaplacement.Weights{Imbalance: 5, Churn: 1, Unavailable: 2}
	unavailableFirst := sequoiaplacement.Weights{Imbalance: 1, Churn: 2, Unavailable: 5}
	return []Service{
		{"howrah", "dispatch", true, 6, howrah, "bally", imbalanceFirst, 30},
		{"howrah", "parts", false, 6, howrah[1:], "bally", imbalanceFirst, 30},
		{"pinehollow", "order-desk", true, 9, pinehollow, "lafayette-yard", unavailableFirst, 12},
		{"pinehollow", "yard-stock", false, 9, pinehollow[1:], "lafayette-yard", unavailableFirst, 12},
	}
}

// Parameters of generated traces.
const (
	traceSeconds   = 600
	requestSeconds = 0.1
	// utilizationAfterLoss is the daytime utilization of the remaining slots after the loss of the largest failure
	// domain. It is below 1, so that an overload is caused by the policy and not by a lack of slots.
	utilizationAfterLoss = 5.0 / 6
	// nightLoadShare is the ratio of the load at night to the load by day.
	nightLoadShare       = 0.25
	hotKeySlotShare      = 0.3
	hotKeyCount          = 3
	generatedShards      = 256
	generatedKeys        = 2000
	hotKeyThresholdShare = 0.25
)

// dayUtilization returns the daytime utilization of all slots.
func (s *Service) dayUtilization() float64 {
	largest := 0
	for _, domain := range s.Domains {
		n := 0
		for _, other := range s.Domains {
			if other == domain {
				n++
			}
		}
		largest = max(largest, n)
	}
	return utilizationAfterLoss * float64(len(s.Domains)-largest) / float64(len(s.Domains))
}

// Generate returns the trace of a scenario for a service, or nil for an unknown scenario. The same seed gives the same
// trace.
func Generate(s Service, scenario string, seed uint64) *Trace {
	if !slices.Contains(s.Scenarios(), scenario) {
		return nil
	}
	t := &Trace{Header: Header{
		Name: scenario, Deployment: s.Deployment, Service: s.Name, Divided: s.Divided,
		Shards: generatedShards, Keys: generatedKeys, Seed: seed, DurationSeconds: traceSeconds,
		RequestSeconds: requestSeconds, Cold: scenario == "cold-start", Weights: s.Weights,
		MovesPerMinute: s.MovesPerMinute, Hysteresis: sequoiaplacement.DefaultHysteresis,
		HotKeyBusySlots: hotKeyThresholdShare * float64(s.Slots),
	}, Outcome: Outcome{
		LongestUnavailableSeconds: 2, OverloadedSeconds: 180, MovesPerMinute: s.MovesPerMinute, DepartureSeconds: 3,
	}}
	for i, domain := range s.Domains {
		t.Header.Upstreams = append(t.Header.Upstreams, Upstream{ID: uint64(i + 1), FailureDomain: domain, Slots: s.Slots})
	}
	t.addScenario(s, scenario, rand.New(rand.NewPCG(seed, 0)))
	return t
}

func (t *Trace) addEvent(at float64, e Event) {
	e.At = at
	t.Events = append(t.Events, e)
}

// addRate adds an event that sets the request rate to the one that gives the upstreams' slots the given utilization.
func (t *Trace) addRate(at, utilization float64) {
	slots := 0
	for _, u := range t.Header.Upstreams {
		slots += u.Slots
	}
	t.addEvent(at, Event{Kind: KindRate, PerSecond: utilization * float64(slots) / requestSeconds})
}

func (t *Trace) addScenario(s Service, scenario string, rng *rand.Rand) {
	target := t.Header.Upstreams[rng.IntN(len(t.Header.Upstreams))]
	day := s.dayUtilization()
	switch scenario {
	case "steady-day":
		t.addRate(0, day)
	case "hot-key":
		t.addRate(0, day)
		share := hotKeySlotShare / (day * float64(len(t.Header.Upstreams)))
		keys := rng.Perm(t.Header.Keys)[:hotKeyCount]
		for i, k := range keys {
			t.addEvent(60+30*float64(i), Event{Kind: KindHotKey, Key: k, Share: share})
		}
		for _, k := range keys {
			t.addEvent(420, Event{Kind: KindHotKey, Key: k})
		}
	case "join-and-leave-at-night":
		t.addRate(0, day*nightLoadShare)
		joined := Upstream{ID: uint64(len(t.Header.Upstreams) + 1), FailureDomain: s.JoinDomain, Slots: s.Slots}
		t.addEvent(60, Event{Kind: KindJoin, Upstream: &joined})
		t.addEvent(420, Event{Kind: KindLeave, Upstream: &target})
	case "cold-start":
		t.addRate(0, day*nightLoadShare)
		t.addRate(30, day)
	case "slow-upstream":
		t.addRate(0, day)
		t.addEvent(120, Event{Kind: KindSlow, Upstream: &target, Factor: 2})
	case "lying-load":
		t.addRate(0, day)
		t.addEvent(30, Event{Kind: KindMisreport, Upstream: &target, ReportedBusySlots: 0.01})
		other := t.Header.Upstreams[target.ID%uint64(len(t.Header.Upstreams))]
		t.addEvent(30, Event{Kind: KindMisreport, Upstream: &other, ReportedBusySlots: 1000})
	default:
		t.addRate(0, day)
		t.addEvent(200, Event{Kind: KindLoseDomain, FailureDomain: strings.TrimPrefix(scenario, lostDomainPrefix)})
	}
}

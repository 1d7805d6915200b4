package sequoiatrace

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
)

// Service describes a deployed service for Generate.
type Service struct {
	Deployment string
	Name       string
	Divided    bool
	Slots      int
	// Domains has the failure domain of each upstream.
	Domains []string
	// SpareDomain is where an upstream joins.
	SpareDomain string
	Weights     sequoiaplacement.Weights
	// MovesPerMinute is the configured cap.
	MovesPerMinute int
}

// lostDomain is the start of the names of the scenarios in which a failure domain is lost.
const lostDomain = "lost-domain-"

// Scenarios returns the names that Generate knows for the service. Each failure domain is lost in one of them: how many
// keys a policy has in a domain is partly an accident of the hash, which evens out only over all domains.
func (s *Service) Scenarios() []string {
	names := []string{"steady-day", "join-and-leave-at-night", "cold-start", "slow-upstream", "lying-load"}
	if s.Divided {
		names = append(names, "hot-key")
	}
	for i, domain := range s.Domains {
		if !slices.Contains(s.Domains[:i], domain) {
			names = append(names, lostDomain+domain)
		}
	}
	return names
}

// Services are the services of the two deployments.
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
	generatedSeconds = 600
	requestSeconds   = 0.1
	// utilizationAfterLoss is the part of the remaining slots that is busy by day once the largest failure domain is
	// lost. Below 1, an overload is the policy's doing and not a lack of slots.
	utilizationAfterLoss = 5.0 / 6
	// nightPart is the load at night as a part of that by day.
	nightPart          = 0.25
	hotKeySlotsPart    = 0.3
	hotKeys            = 3
	generatedShards    = 256
	generatedKeys      = 2000
	hotKeyBusySlotsDay = 0.25
)

// dayUtilization returns the part of all slots that is busy by day.
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

// Generate returns the trace of a scenario for a service. The same seed gives the same trace. It returns nil for an
// unknown scenario.
func Generate(s Service, scenario string, seed uint64) *Trace {
	if !slices.Contains(s.Scenarios(), scenario) {
		return nil
	}
	t := &Trace{Header: Header{
		Name: scenario, Deployment: s.Deployment, Service: s.Name, Divided: s.Divided,
		Shards: generatedShards, Keys: generatedKeys, Seed: seed, DurationSeconds: generatedSeconds,
		RequestSeconds: requestSeconds, Cold: scenario == "cold-start", Weights: s.Weights,
		MovesPerMinute: s.MovesPerMinute, Hysteresis: sequoiaplacement.DefaultHysteresis,
		HotKeyBusySlots: hotKeyBusySlotsDay * float64(s.Slots),
	}, Outcome: Outcome{
		LongestUnavailableSeconds: 2, OverloadedSeconds: 180, MovesPerMinute: s.MovesPerMinute, DepartureSeconds: 3,
	}}
	for i, domain := range s.Domains {
		t.Header.Upstreams = append(t.Header.Upstreams, Upstream{ID: uint64(i + 1), FailureDomain: domain, Slots: s.Slots})
	}
	t.addScenario(s, scenario, rand.New(rand.NewPCG(seed, 0)))
	return t
}

func (t *Trace) add(at float64, e Event) {
	e.At = at
	t.Events = append(t.Events, e)
}

// addRate sets the rate at which the given part of the upstreams' slots is busy.
func (t *Trace) addRate(at, utilization float64) {
	slots := 0
	for _, u := range t.Header.Upstreams {
		slots += u.Slots
	}
	t.add(at, Event{Kind: KindRate, PerSecond: utilization * float64(slots) / requestSeconds})
}

func (t *Trace) addScenario(s Service, scenario string, rng *rand.Rand) {
	chosen := t.Header.Upstreams[rng.IntN(len(t.Header.Upstreams))]
	day := s.dayUtilization()
	switch scenario {
	case "steady-day":
		t.addRate(0, day)
	case "hot-key":
		t.addRate(0, day)
		share := hotKeySlotsPart / (day * float64(len(t.Header.Upstreams)))
		keys := rng.Perm(t.Header.Keys)[:hotKeys]
		for i, k := range keys {
			t.add(60+30*float64(i), Event{Kind: KindHotKey, Key: k, Share: share})
		}
		for _, k := range keys {
			t.add(420, Event{Kind: KindHotKey, Key: k})
		}
	case "join-and-leave-at-night":
		t.addRate(0, day*nightPart)
		joined := Upstream{ID: uint64(len(t.Header.Upstreams) + 1), FailureDomain: s.SpareDomain, Slots: s.Slots}
		t.add(60, Event{Kind: KindJoin, Upstream: &joined})
		t.add(420, Event{Kind: KindLeave, Upstream: &chosen})
	case "cold-start":
		t.addRate(0, day*nightPart)
		t.addRate(30, day)
	case "slow-upstream":
		t.addRate(0, day)
		t.add(120, Event{Kind: KindSlow, Upstream: &chosen, Factor: 2})
	case "lying-load":
		t.addRate(0, day)
		t.add(30, Event{Kind: KindLie, Upstream: &chosen, ReportedBusySlots: 0.01})
		other := t.Header.Upstreams[chosen.ID%uint64(len(t.Header.Upstreams))]
		t.add(30, Event{Kind: KindLie, Upstream: &other, ReportedBusySlots: 1000})
	default:
		t.addRate(0, day)
		t.add(200, Event{Kind: KindLoseDomain, FailureDomain: strings.TrimPrefix(scenario, lostDomain)})
	}
}

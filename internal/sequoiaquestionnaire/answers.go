// Package sequoiaquestionnaire derives a configuration from answers about services, keys and tolerances, which are
// asked for in a terminal or read from a file. Answers that contradict each other or that the system cannot meet are
// refused. The package does no I/O except on the given readers and writers.
package sequoiaquestionnaire

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
)

// ErrRefused reports answers that contradict each other or cannot be met.
var ErrRefused = errors.New("the answers cannot be met")

// Priority is a metric that placement should favor.
type Priority string

// The priorities, one for each metric.
const (
	PriorityImbalance   Priority = "Imbalance"
	PriorityChurn       Priority = "Churn"
	PriorityUnavailable Priority = "Unavailable"
)

// Answers holds the answers for a deployment.
type Answers struct {
	Deployment string
	// FailureDomains is the number of failure domains that the instances are spread over.
	FailureDomains int
	// LostFailureDomains is the number of failure domains that may be lost at once without losing a key.
	LostFailureDomains int
	// LongestUnavailable is the longest time for which a key may have no owner after a loss.
	LongestUnavailable time.Duration
	// FrozenIsHarmless is true if an upstream that freezes and later resumes must be unable to do harm.
	FrozenIsHarmless bool
	// OnCallAtNight is true if an operator is available at any hour.
	OnCallAtNight  bool
	FirstPriority  Priority
	SecondPriority Priority
	Services       []Service
}

// Service holds the answers for one service.
type Service struct {
	Name      string
	Upstreams int
	// Slots is the number of requests that one upstream can run at once, Connections the number of connections that it
	// can hold open.
	Slots       int
	Connections int
	// Divided is true if each key may be served by one upstream only.
	Divided bool
	// ChecksGrants is true if the upstreams check grants themselves.
	ChecksGrants bool
	Keys         int
	// LongestRequest is the longest time that a request may take.
	LongestRequest time.Duration
	// ResendWindow is how long a caller may resend a request that must not be executed twice.
	ResendWindow     time.Duration
	LargestBodyBytes int64
}

// ParseAnswers parses answers from JSON with comments. The file name is only used in errors. If the document is
// invalid, the error is of type sequoiasettings.FieldErrors and lists every error. Whether the answers can be met is
// left to Check.
func ParseAnswers(name string, data []byte) (Answers, error) {
	d := sequoiasettings.NewDocument(name, data)
	var a Answers
	if d.Decode(&a) {
		for _, q := range deploymentQuestions(&a) {
			d.Require(q.field, q.allowed)
		}
		d.Require("Services", "one service or more")
		for i := range a.Services {
			for _, q := range serviceQuestions(&a.Services[i]) {
				d.Require(fmt.Sprintf("Services[%d].%s", i, q.field), q.allowed)
			}
		}
		for _, p := range []struct {
			field string
			value Priority
		}{{"FirstPriority", a.FirstPriority}, {"SecondPriority", a.SecondPriority}} {
			d.Check(!d.Has(p.field) || validPriority(p.value), p.field, string(p.value), allowedPriorities)
		}
	}
	if err := d.Err(); err != nil {
		return Answers{}, err
	}
	return a, nil
}

func validPriority(p Priority) bool {
	return p == PriorityImbalance || p == PriorityChurn || p == PriorityUnavailable
}

// Properties of the system that the answers are checked against. maxTakeoverTime bounds the time from the loss of an
// owner to a new one. Witnesses of an owner have to be in different failure domains.
const (
	leaseDuration   = time.Second
	maxTakeoverTime = 2 * time.Second
	witnessCount    = 3
)

// Refusals are the reasons for which answers are refused.
type Refusals []string

// Error returns one line for each reason.
func (r Refusals) Error() string {
	return ErrRefused.Error() + ":\n" + strings.Join(r, "\n")
}

// Unwrap returns ErrRefused.
func (r Refusals) Unwrap() error {
	return ErrRefused
}

// Check returns Refusals with every reason for which the answers cannot be met, or nil.
func (a *Answers) Check() error {
	var r Refusals
	refuse := func(format string, args ...any) {
		r = append(r, fmt.Sprintf(format, args...))
	}
	if a.LongestUnavailable < maxTakeoverTime {
		refuse("LongestUnavailable is %s, but the keys of a lost owner stay without one until its lease of %s has ended and a successor is in the log, up to %s",
			a.LongestUnavailable, leaseDuration, maxTakeoverTime)
	}
	if a.LostFailureDomains < 0 || a.LostFailureDomains > 1 {
		refuse("LostFailureDomains is %d, but an owner has 3 witnesses and needs 2 of them, so the loss of at most 1 is tolerated", a.LostFailureDomains)
	}
	if a.LostFailureDomains > 0 && a.FailureDomains < witnessCount {
		refuse("LostFailureDomains is %d, but %d witnesses in different failure domains need %d of them and there are %d",
			a.LostFailureDomains, witnessCount, witnessCount, a.FailureDomains)
	}
	if a.FailureDomains < 1 {
		refuse("FailureDomains is %d, but must be at least 1", a.FailureDomains)
	}
	if a.FirstPriority == a.SecondPriority {
		refuse("FirstPriority and SecondPriority are both %s", a.FirstPriority)
	}
	if len(a.Services) == 0 {
		refuse("Services is empty")
	}
	for i := range a.Services {
		a.Services[i].check(a, refuse)
	}
	if len(r) == 0 {
		return nil
	}
	return r
}

func (s *Service) check(a *Answers, refuse func(format string, args ...any)) {
	if a.FrozenIsHarmless && !s.ChecksGrants {
		refuse("%s: FrozenIsHarmless is true, but upstreams that do not check grants can commit a request after a freeze, which nothing outside them can prevent", s.Name)
	}
	if s.ResendWindow < s.LongestRequest {
		refuse("%s: ResendWindow is %s, but a request takes up to LongestRequest, %s, and could be sent again after its identifier is forgotten",
			s.Name, s.ResendWindow, s.LongestRequest)
	}
	if s.Upstreams < 1 || s.Slots < 1 || s.Connections < s.Slots {
		refuse("%s: %d upstreams with %d slots and %d connections; each number has to be at least 1 and each slot needs a connection",
			s.Name, s.Upstreams, s.Slots, s.Connections)
	}
	if s.Divided && s.Keys < s.Upstreams {
		refuse("%s: Divided is true, but %d keys leave some of %d upstreams without work", s.Name, s.Keys, s.Upstreams)
	}
	if s.Upstreams == 1 && a.LostFailureDomains > 0 {
		refuse("%s: LostFailureDomains is %d, but a single upstream has no successor", s.Name, a.LostFailureDomains)
	}
}

// Package sequoiaspread chooses the upstream for a request that any upstream of its service may run, and decides when
// the request leaves its failure domain. It does no I/O.
//
// The load that it answers: failure domains whose demand rises and falls one after another, each with upstreams enough
// for its usual demand only, and requests between 1 KB and several hundred KB. Transfers between failure domains are
// slower and cost money, so a request leaves only where its caller gains more than that. Each request decides by its
// own urgency and size, and sees in the reported load what earlier ones have decided, so the part that leaves follows
// the excess of the demand.
package sequoiaspread

import (
	"cmp"
	"time"
)

const (
	// MaxReportAge is the age from which a reported load is ignored.
	MaxReportAge = 1500 * time.Millisecond
	// DefaultWork is the assumed duration of a request if no upstream of its service has reported one.
	DefaultWork = 150 * time.Millisecond
	// maxHome and maxAway limit the upstreams that are compared for one request, in its failure domain and outside.
	// Requests that all went to the best of many would meet at it, because reports are up to a second old.
	maxHome, maxAway = 5, 2
	// utilizationWeight is the relative increase of a request's duration at a full upstream compared to an idle one.
	utilizationWeight = 0.2
	// queueingThreshold is the utilization above which a request is likely to wait for a slot, and queueingWeight is the
	// weight of utilization beyond it.
	queueingThreshold = 0.7
	queueingWeight    = 2.0
	// failureWeight is the relative increase of the expected duration at an upstream where all requests fail.
	failureWeight = 6.0
	// roundTrip is the time that a request and its response take between two failure domains.
	roundTrip = 3 * time.Millisecond
	// leaveCost is what leaving the failure domain must gain for a request without a body, and transferCost what it must
	// gain more for each KB that is transferred: about the time that 1 KB takes on the link of a small instance.
	leaveCost    = 10 * time.Millisecond
	transferCost = time.Millisecond
	// objectiveMargin is the part of the time to the objective up to which a response counts as comfortably early, and
	// earlyWeight is the weight of time saved before that.
	objectiveMargin = 0.6
	earlyWeight     = 0.25
)

// Candidate is an upstream as the choosing process knows it.
type Candidate struct {
	Domain string
	// Running and Waiting are the requests at the upstream when it was last reported, Age ago.
	Running, Waiting int
	Age              time.Duration
	// Outstanding is the number of requests that this process has in progress at the upstream.
	Outstanding int
	Slots       int
	// Work is the mean duration of the requests at the upstream, zero if it has not been reported. The upstream is then
	// assumed to be as quick as the others.
	Work time.Duration
	// StartDelay is the wait for the upstream's limit on requests per second, and LinkDelay the wait for the link of its
	// instance, as reported.
	StartDelay, LinkDelay time.Duration
	// FailureRate is the moving average of failures, from 0 to 1.
	FailureRate float64
}

// InProgress estimates the number of requests at the upstream.
func (c *Candidate) InProgress() float64 {
	inProgress := float64(c.Outstanding)
	if c.Age < MaxReportAge {
		reported := float64(c.Running+c.Waiting) * (1 - float64(c.Age)/float64(MaxReportAge))
		inProgress = max(inProgress, reported)
	}
	return inProgress
}

// Request is what the choice depends on.
type Request struct {
	// Work is the mean duration of the request's class over all upstreams, zero if it is not known.
	Work time.Duration
	// TypicalWork is the mean duration of all requests over all upstreams of the service, zero if it is not known.
	TypicalWork time.Duration
	// Left is the time to the objective.
	Left time.Duration
	// BodyBytes and ResponseBytes are the sizes that are transferred; that of the response is an expectation.
	BodyBytes, ResponseBytes int
}

// Chooser chooses upstreams for the requests that arrive in one failure domain.
type Chooser struct {
	domain string
	// intN returns a random number below n.
	intN func(n int) int
}

// New returns a Chooser. intN returns a random number that is at least 0 and below n.
func New(domain string, intN func(n int) int) *Chooser {
	return &Chooser{domain: domain, intN: intN}
}

// Choose returns the index of the candidate that the request should go to, or -1 if there are none.
func (c *Chooser) Choose(candidates []Candidate, req Request) int {
	home, away := make([]int, 0, len(candidates)), make([]int, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Domain == c.domain {
			home = append(home, i)
		} else {
			away = append(away, i)
		}
	}
	bestHome, homeFinish := c.best(candidates, c.sample(home, maxHome), req)
	bestAway, awayFinish := c.best(candidates, c.sample(away, maxAway), req)
	switch {
	case bestHome < 0:
		return bestAway
	case bestAway < 0 || !LeavingPays(homeFinish, awayFinish, req):
		return bestHome
	}
	return bestAway
}

// sample moves up to n random elements to the front of indexes and returns them.
func (c *Chooser) sample(indexes []int, n int) []int {
	n = min(n, len(indexes))
	for i := range n {
		j := i + c.intN(len(indexes)-i)
		indexes[i], indexes[j] = indexes[j], indexes[i]
	}
	return indexes[:n]
}

// best returns the index with the earliest expected finish among those given, and the time until then.
func (c *Chooser) best(candidates []Candidate, indexes []int, req Request) (best int, finish time.Duration) {
	best = -1
	for _, i := range indexes {
		if f := ExpectedFinish(&candidates[i], req); best < 0 || f < finish {
			best, finish = i, f
		}
	}
	return best, finish
}

// ExpectedFinish returns the expected time until an upstream has answered one more request, without the transfer
// between failure domains.
func ExpectedFinish(c *Candidate, req Request) time.Duration {
	work := cmp.Or(c.Work, req.TypicalWork, DefaultWork)
	slots := float64(max(1, c.Slots))
	utilization := (c.InProgress() + 1) / slots
	wait := float64(work) * queueingWeight * max(0, utilization-queueingThreshold)
	duration := float64(work)
	if req.Work > 0 && req.TypicalWork > 0 {
		duration = float64(req.Work) * float64(work) / float64(req.TypicalWork)
	}
	duration *= 1 + utilizationWeight*utilization
	delay := time.Duration((wait + duration) * (1 + failureWeight*c.FailureRate))
	delay += max(0, c.StartDelay-c.Age)
	if req.BodyBytes > 0 {
		delay += max(0, c.LinkDelay-c.Age)
	}
	return delay
}

// LeavingPays reports whether a request should leave its failure domain, where it would finish after home, for another
// one, where it would finish after away. Time that is saved before the response is due counts less.
func LeavingPays(home, away time.Duration, req Request) bool {
	cost := leaveCost + transferCost*time.Duration(req.BodyBytes+req.ResponseBytes)/1024
	return weigh(home, req.Left)-weigh(away+roundTrip, req.Left) > cost
}

// weigh returns what a finish after d costs a caller whose objective is due after left.
func weigh(d, left time.Duration) time.Duration {
	margin := time.Duration(objectiveMargin * float64(max(0, left)))
	if d <= margin {
		return time.Duration(earlyWeight * float64(d))
	}
	return time.Duration(earlyWeight*float64(margin)) + d - margin
}

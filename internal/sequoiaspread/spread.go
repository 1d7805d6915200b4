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
	// Requests that all went to the best of many outside would meet at it, because reports from there are up to a second
	// old. Those from the failure domain itself are younger.
	maxHome, maxAway = 10, 3
	// utilizationWeight is the relative increase of a request's duration at a full upstream compared to an idle one.
	utilizationWeight = 0.2
	// queueingThreshold is the utilization above which a request may have to wait for a slot, and queueingWeight is the
	// wait, in durations of a request, for each further full use of all slots. A queue as long as the slots takes one.
	queueingThreshold = 0.7
	queueingWeight    = 1.0
	// usualWeight is the part of the usual utilization of a failure domain that takes the place of a report that is too
	// old or has never come. Without it an upstream would appear idle because it is silent. With the full utilization
	// a silent upstream would not be tried again.
	usualWeight = 0.5
	// failureWeight is the relative increase of the expected duration at an upstream where all requests fail.
	failureWeight = 6.0
	// failureMemory is how long a failure rate counts after the latest result. An upstream that is avoided has no new
	// results, and would be avoided for good after it has recovered.
	failureMemory = 10 * time.Second
	// roundTrip is the time that a request and its response take between two failure domains.
	roundTrip = 3 * time.Millisecond
	// leaveCost is what leaving the failure domain must gain for a request without a body, and transferCost what it must
	// gain more for each KB that is transferred: about the time that 1 KB takes on the link of a small instance.
	leaveCost    = 15 * time.Millisecond
	transferCost = time.Millisecond
	// objectiveMargin is the part of the time to the objective up to which a response counts as comfortably early, and
	// earlyWeight is the weight of time saved before that.
	objectiveMargin = 0.6
	earlyWeight     = 0.25
)

// Candidate is an upstream as the choosing process knows it.
type Candidate struct {
	Domain string
	// Running and Waiting are the requests at the upstream when it was last reported, Age ago. An upstream that has not
	// reported yet has an Age of MaxReportAge or more.
	Running, Waiting int
	Age              time.Duration
	// Outstanding is the number of requests that this process has in progress at the upstream.
	Outstanding int
	// Sent is the number of requests that this process has sent to the upstream since the report.
	Sent  int
	Slots int
	// Work is the mean duration of the requests at the upstream, zero if it has not been reported. The upstream is then
	// assumed to be as quick as the others.
	Work time.Duration
	// StartDelay is the wait for the upstream's limit on requests per second, and LinkDelay the wait for the link of its
	// instance, as reported.
	StartDelay, LinkDelay time.Duration
	// FailureRate is the moving average of failures, from 0 to 1.
	FailureRate float64
	// usual is the mean utilization of the upstreams of the failure domain according to their reports.
	usual float64
}

// reportWeight returns how much the report counts, from 1 if it is new to 0 from MaxReportAge on.
func (c *Candidate) reportWeight() float64 {
	return 1 - float64(min(max(0, c.Age), MaxReportAge))/float64(MaxReportAge)
}

// InProgress returns the expected number of requests at the upstream.
func (c *Candidate) InProgress() float64 {
	weight := c.reportWeight()
	reported := weight * float64(c.Running+c.Waiting)
	if weight > 0 {
		reported += float64(c.Sent)
	}
	usual := usualWeight * c.usual * float64(max(1, c.Slots))
	return max(float64(c.Outstanding), reported) + (1-weight)*usual
}

// FadedFailureRate returns what a failure rate is worth when the latest result is age old.
func FadedFailureRate(rate float64, age time.Duration) float64 {
	return rate * (1 - float64(min(max(0, age), failureMemory))/float64(failureMemory))
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

// Decision is the choice for a request and its reasons.
type Decision struct {
	// Home and Away are the indexes of the best candidates in the failure domain and outside, -1 if there is none.
	Home, Away int
	// HomeFinish and AwayFinish are the expected times until they have answered, without the transfer.
	HomeFinish, AwayFinish time.Duration
	// Gain is what leaving the failure domain gains, zero unless there are candidates on both sides. Cost is what it must
	// gain.
	Gain, Cost time.Duration
	// Chosen is the index of the chosen candidate, -1 if there are none.
	Chosen int
	// Sampled is true if there are more candidates than Choose compares.
	Sampled bool
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
	setUsual(candidates)
	home, away := c.split(candidates)
	return c.decide(candidates, c.sample(home, maxHome), c.sample(away, maxAway), req).Chosen
}

// Compare returns how Choose would decide if it compared all candidates instead of a random sample. It draws no random
// number. ExpectedFinish of the candidates afterwards returns the times that were compared.
func (c *Chooser) Compare(candidates []Candidate, req Request) Decision {
	setUsual(candidates)
	home, away := c.split(candidates)
	d := c.decide(candidates, home, away, req)
	d.Sampled = len(home) > maxHome || len(away) > maxAway
	return d
}

// split returns the indexes of the candidates inside and outside the failure domain.
func (c *Chooser) split(candidates []Candidate) (home, away []int) {
	home, away = make([]int, 0, len(candidates)), make([]int, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Domain == c.domain {
			home = append(home, i)
		} else {
			away = append(away, i)
		}
	}
	return home, away
}

// decide chooses among the candidates with the given indexes.
func (c *Chooser) decide(candidates []Candidate, home, away []int, req Request) Decision {
	d := Decision{Cost: LeavingCost(req)}
	d.Home, d.HomeFinish = c.best(candidates, home, req)
	d.Away, d.AwayFinish = c.best(candidates, away, req)
	d.Chosen = d.Home
	switch {
	case d.Home < 0:
		d.Chosen = d.Away
	case d.Away >= 0:
		d.Gain = leavingGain(d.HomeFinish, d.AwayFinish, req)
		if d.Gain > d.Cost {
			d.Chosen = d.Away
		}
	}
	return d
}

// setUsual sets the usual utilization of each candidate's failure domain. Newer reports count more.
func setUsual(candidates []Candidate) {
	type domain struct{ inProgress, slots float64 }
	domains := make(map[string]domain, 4)
	for i := range candidates {
		c := &candidates[i]
		weight := c.reportWeight()
		d := domains[c.Domain]
		d.inProgress += weight * float64(c.Running+c.Waiting)
		d.slots += weight * float64(max(1, c.Slots))
		domains[c.Domain] = d
	}
	for i := range candidates {
		candidates[i].usual = 0
		if d := domains[candidates[i].Domain]; d.slots > 0 {
			candidates[i].usual = d.inProgress / d.slots
		}
	}
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
	utilization := (c.InProgress() + 1) / float64(max(1, c.Slots))
	wait := float64(work) * queueingWeight * max(0, utilization-queueingThreshold)
	duration := float64(work)
	if req.Work > 0 && req.TypicalWork > 0 {
		duration = float64(req.Work) * float64(work) / float64(req.TypicalWork)
	}
	duration *= 1 + utilizationWeight*utilization
	delay := time.Duration((wait + duration) * (1 + failureWeight*c.FailureRate))
	age := max(0, c.Age)
	delay += max(0, c.StartDelay-age)
	if req.BodyBytes > 0 {
		delay += max(0, c.LinkDelay-age)
	}
	return delay
}

// LeavingCost returns what leaving the failure domain must gain.
func LeavingCost(req Request) time.Duration {
	return leaveCost + transferCost*time.Duration(req.BodyBytes+req.ResponseBytes)/1024
}

// leavingGain returns what a request gains that would finish after home in its failure domain and after away in another
// one. Time that is saved before the response is due counts less.
func leavingGain(home, away time.Duration, req Request) time.Duration {
	return weigh(home, req.Left) - weigh(away+roundTrip, req.Left)
}

// weigh returns what a finish after d costs a caller whose objective is due after left.
func weigh(d, left time.Duration) time.Duration {
	margin := time.Duration(objectiveMargin * float64(max(0, left)))
	if d <= margin {
		return time.Duration(earlyWeight * float64(d))
	}
	return time.Duration(earlyWeight*float64(margin)) + d - margin
}

package sequoianode

import (
	"sync"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// ratioShare is the fraction of the permitted retry ratio that is used.
	ratioShare = 0.75
	// slackShare is the fraction of the permitted slack that all processes use in total.
	slackShare = 0.6
	// minBurst ensures that a process can retry at all in a large deployment, where its part of the slack is small.
	minBurst = 1.5
	// mostMembersMemory is how long a fall in the number of members is not believed. In an outage of the store, entries of
	// processes that run on disappear.
	mostMembersMemory = time.Minute
)

// retryBudgets limits the retries to each service. The limit applies to the total of all processes. Each process may
// retry the given ratio of its own requests and save up at most an equal part of the slack, so processes need not
// coordinate. Every token is earned by a request: a process that starts, and a change in the number of members, add none.
// So within any time all processes together spend no more than they had saved, which is at most the slack, and the ratio
// of the requests.
type retryBudgets struct {
	settings Settings

	mu sync.Mutex
	// most is the highest number of members since mostAt.
	most     int
	mostAt   time.Time
	services map[string]*sequoiarouter.RetryBudget
}

func newRetryBudgets(settings Settings) *retryBudgets {
	return &retryBudgets{settings: settings, services: map[string]*sequoiarouter.RetryBudget{}}
}

// countRequest adds a client request to the budget of a service.
func (b *retryBudgets) countRequest(now time.Time, service string, members int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setMembers(now, max(1, members))
	budget := b.services[service]
	if budget == nil {
		fresh := sequoiarouter.NewEmptyRetryBudget(b.settings.RetryRatio*ratioShare, b.burst())
		budget = &fresh
		b.services[service] = budget
	}
	budget.AddRequest()
}

// setMembers adapts the budgets to the number of members. The caller must hold mu.
func (b *retryBudgets) setMembers(now time.Time, members int) {
	if members < b.most && now.Sub(b.mostAt) < mostMembersMemory {
		return
	}
	b.mostAt = now
	if members == b.most {
		return
	}
	b.most = members
	for _, budget := range b.services {
		budget.SetBurst(b.burst())
	}
}

// burst returns the most retries that this process may save up for a service.
func (b *retryBudgets) burst() float64 {
	return max(minBurst, b.settings.RetrySlack*slackShare/float64(b.most))
}

// take consumes one retry from the budget of a service. It returns false if the budget is exhausted.
func (b *retryBudgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	return budget != nil && budget.Take()
}

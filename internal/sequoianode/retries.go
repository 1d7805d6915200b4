package sequoianode

import (
	"sync"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// ratioShare is the fraction of the permitted retry ratio that is used.
	ratioShare = 0.75
	// slackShare is the fraction of the permitted slack that all processes use in total.
	slackShare = 0.6
	// minBurst ensures that a process can retry at all in a large deployment, where its part of the slack is small.
	minBurst = 1.5
)

// retryBudgets limits the retries to each service. The limit applies to the total of all processes. Each process may
// retry the given ratio of its own requests and use an equal part of the slack, so processes need not coordinate.
type retryBudgets struct {
	settings Settings

	mu       sync.Mutex
	members  int
	services map[string]*sequoiarouter.RetryBudget
}

func newRetryBudgets(settings Settings) *retryBudgets {
	return &retryBudgets{settings: settings, members: 1, services: map[string]*sequoiarouter.RetryBudget{}}
}

// countRequest adds a client request to the budget of a service. A change of the number of members resets all budgets.
func (b *retryBudgets) countRequest(service string, members int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.services[service]; budget != nil && members == b.members {
		budget.AddRequest()
		return
	}
	burst := max(minBurst, b.settings.RetrySlack*slackShare/float64(max(1, members)))
	budget := sequoiarouter.NewRetryBudget(b.settings.RetryRatio*ratioShare, burst)
	if members != b.members {
		clear(b.services)
		b.members = members
	}
	b.services[service] = &budget
}

// take consumes one retry from the budget of a service. It returns false if the budget is exhausted.
func (b *retryBudgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	return budget != nil && budget.Take()
}

package sequoianode

import (
	"sync"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

const (
	// ratioShare is the part of the permitted ratio of retries that is used.
	ratioShare = 0.75
	// slackShare is the part of the permitted slack that all processes use together.
	slackShare = 0.6
	// minBurst lets a process of a large deployment make a retry at all.
	minBurst = 1.5
)

// retryBudgets bounds the retries to each service. The bound holds for all processes together: each may use the ratio
// of its own requests and an equal part of the slack, so nothing has to be agreed.
type retryBudgets struct {
	id Identity

	mu       sync.Mutex
	members  int
	services map[string]*sequoiarouter.RetryBudget
}

func newRetryBudgets(id Identity) *retryBudgets {
	return &retryBudgets{id: id, members: 1, services: map[string]*sequoiarouter.RetryBudget{}}
}

// begin counts a request of a client.
func (b *retryBudgets) begin(service string, members int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.services[service]; budget != nil && members == b.members {
		budget.AddRequest()
		return
	}
	burst := max(minBurst, b.id.RetrySlack*slackShare/float64(max(1, members)))
	budget := sequoiarouter.NewRetryBudget(b.id.RetryRatio*ratioShare, burst)
	if members != b.members {
		clear(b.services)
		b.members = members
	}
	b.services[service] = &budget
}

// take reports whether one more request may be sent for a request that an upstream has had before.
func (b *retryBudgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	return budget != nil && budget.Take()
}

package sequoiainstance

import (
	"sync"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// maxDecisions bounds the decisions that a process keeps for explaining assignments.
const maxDecisions = 4096

// decision is an assignment change and the time at which this process applied it.
type decision struct {
	record    sequoiacontrol.Record
	appliedAt time.Time
}

// history holds the latest decisions by service, epoch and owner.
type history struct {
	mu        sync.Mutex
	order     []historyKey
	decisions map[historyKey]decision
}

type historyKey struct {
	service string
	epoch   sequoiatable.Epoch
	owner   sequoiatable.IncarnationID
}

func newHistory() *history {
	return &history{decisions: map[historyKey]decision{}}
}

func (h *history) add(r sequoiacontrol.Record, at time.Time) {
	if r.Epoch == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	k := historyKey{r.Service, r.Epoch, r.Owner}
	if _, ok := h.decisions[k]; !ok {
		h.order = append(h.order, k)
	}
	h.decisions[k] = decision{r, at}
	if len(h.order) > maxDecisions {
		delete(h.decisions, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history) find(service string, a sequoiatable.Assignment) (decision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.decisions[historyKey{service, a.Epoch, a.Owner}]
	return d, ok
}

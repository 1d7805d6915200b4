package sequoiainstance

import (
	"sync"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// maxHistory bounds the decisions that a process keeps to explain assignments.
const maxHistory = 4096

// decision is a change of assignment as this process applied it.
type decision struct {
	record sequoiacontrol.Record
	at     time.Time
}

// history keeps the latest decisions by service and epoch.
type history struct {
	mu    sync.Mutex
	order []historyKey
	known map[historyKey]decision
}

type historyKey struct {
	service string
	epoch   sequoiatable.Epoch
	owner   sequoiatable.IncarnationID
}

func newHistory() *history {
	return &history{known: map[historyKey]decision{}}
}

func (h *history) add(r sequoiacontrol.Record, at time.Time) {
	if r.Epoch == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	k := historyKey{r.Service, r.Epoch, r.Owner}
	if _, ok := h.known[k]; !ok {
		h.order = append(h.order, k)
	}
	h.known[k] = decision{r, at}
	if len(h.order) > maxHistory {
		delete(h.known, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history) find(service string, a sequoiatable.Assignment) (decision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.known[historyKey{service, a.Epoch, a.Owner}]
	return d, ok
}

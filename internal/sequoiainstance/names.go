package sequoiainstance

import (
	"sync"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// instanceNames maps the incarnations in the table to their instances. It also keeps the mapping from before the last
// change of members, so that the log line of a takeover can name the lost instance.
type instanceNames struct {
	mu       sync.Mutex
	current  map[sequoiatable.IncarnationID]string
	previous map[sequoiatable.IncarnationID]string
	index    uint64
}

// update records the members of a table. The previous mapping is replaced only if the members have changed.
func (n *instanceNames) update(t *sequoiatable.Table) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.Index == n.index {
		return
	}
	n.index = t.Index
	ids := t.Members()
	changed := len(ids) != len(n.current)
	for _, id := range ids {
		if _, ok := n.current[id]; !ok {
			changed = true
		}
	}
	if !changed {
		return
	}
	n.previous, n.current = n.current, make(map[sequoiatable.IncarnationID]string, len(ids))
	for _, id := range ids {
		n.current[id] = t.Member(id).Instance
	}
}

// instance returns the name of an incarnation's instance, or an empty string if it is unknown.
func (n *instanceNames) instance(id sequoiatable.IncarnationID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name := n.current[id]; name != "" {
		return name
	}
	return n.previous[id]
}

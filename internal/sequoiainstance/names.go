package sequoiainstance

import (
	"sync"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// names keeps the instances of incarnations that have left the table in the latest change, so that the line about a
// takeover can name the instance that was lost.
type names struct {
	mu       sync.Mutex
	current  map[sequoiatable.IncarnationID]string
	previous map[sequoiatable.IncarnationID]string
	index    uint64
}

// learn takes over the members of a table. Only a change of the members replaces the previous ones.
func (n *names) learn(t *sequoiatable.Table) {
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

// instance returns the instance of an incarnation, empty if it is not known.
func (n *names) instance(id sequoiatable.IncarnationID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name := n.current[id]; name != "" {
		return name
	}
	return n.previous[id]
}

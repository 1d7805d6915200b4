package sequoiafollow

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

// Errors for which a hub gives no answer.
var (
	// ErrNotFollowing reports a hub of a process that does not watch the store.
	ErrNotFollowing = errors.New("the process does not watch the store")
	// ErrLostStore reports a hub of a process whose last watch of the store failed.
	ErrLostStore = errors.New("the process has lost the store")
	// ErrNotCovered reports a revision after which the hub does not have all events, or one of another era.
	ErrNotCovered = errors.New("the revision is not covered by the latest events")
)

const (
	// maxEvents and maxEventBytes limit the events that a hub keeps. The latest one is kept even if it is larger.
	maxEvents     = 1024
	maxEventBytes = 256 << 10
	// itemBytes is the memory of an event besides its key and value.
	itemBytes = 96
	// clockDrift is the relative difference by which ages are increased. Two clocks differ by 2% at most.
	clockDrift = 0.03
)

// Answer holds the changes of a prefix after a revision.
type Answer struct {
	Items []sequoiaregistry.Item
	// Revision is the revision from which to watch next.
	Revision uint64
	// Age is how long before the arrival of the question the store was asked for the answer, at the latest. It is valid if
	// Confirmed is true.
	Age       time.Duration
	Confirmed bool
}

// AsOf returns the time up to which all changes are known to a process that has sent the question at the given time and
// applied the answer. It returns false if the answer confirms nothing.
func (a Answer) AsOf(sent time.Time) (time.Time, bool) {
	if !a.Confirmed {
		return time.Time{}, false
	}
	age := max(0, a.Age)
	return sent.Add(-age - time.Duration(clockDrift*float64(age))), true
}

// Question is a watch of another process.
type Question struct {
	// After is the revision to watch after.
	After uint64
	// Arrived is when the question arrived, on this process's clock.
	Arrived time.Time
	// confirmed is the time up to which the hub was complete when the question arrived.
	confirmed time.Time
}

// Hub holds the latest changes of a prefix as one process has them from the store. The zero value is the hub of a process
// that does not watch the store. It is not safe for concurrent use.
type Hub struct {
	watching bool
	lost     bool
	// events are all changes after base up to revision, in order.
	events         []sequoiaregistry.Item
	bytes          int
	base, revision uint64
	// confirmed is a time before which all changes have a revision up to revision. It is zero if it is not known.
	confirmed time.Time
}

// Begin records that the process asks the store for changes after a revision.
func (h *Hub) Begin(after uint64) {
	if !h.watching || after != h.revision {
		*h = Hub{base: after, revision: after}
	}
	h.watching, h.lost = true, false
}

// Record adds the store's response to a watch after a revision that was sent at the given time.
func (h *Hub) Record(after uint64, items []sequoiaregistry.Item, revision uint64, sent time.Time) {
	h.Begin(after)
	for _, it := range items {
		h.events = append(h.events, it)
		h.bytes += size(it)
		h.revision = max(h.revision, it.Revision)
	}
	h.revision = max(h.revision, revision)
	if sent.After(h.confirmed) {
		h.confirmed = sent
	}
	h.discard()
}

// discard removes the oldest events beyond the limits.
func (h *Hub) discard() {
	n := 0
	for len(h.events)-n > 1 && (len(h.events)-n > maxEvents || h.bytes > maxEventBytes) {
		h.bytes -= size(h.events[n])
		h.base = max(h.base, h.events[n].Revision)
		n++
	}
	if n > 0 {
		h.events = append([]sequoiaregistry.Item(nil), h.events[n:]...)
	}
}

func size(it sequoiaregistry.Item) int { return itemBytes + len(it.Key) + len(it.Value) }

// Lose records that a watch of the store has failed. What the process knows may have a gap from then on.
func (h *Hub) Lose() { *h = Hub{lost: true} }

// Stop records that the process no longer watches the store.
func (h *Hub) Stop() { *h = Hub{} }

// Lacks reports whether the hub does not have the changes up to a revision, or is not known to have them.
func (h *Hub) Lacks(revision uint64) bool { return !h.watching || h.revision < revision }

// Ask returns the question of a process that watches after a revision.
func (h *Hub) Ask(arrived time.Time, after uint64) Question {
	return Question{After: after, Arrived: arrived, confirmed: h.confirmed}
}

// Answer returns what the hub has for a question. news is false if there are neither changes nor a later confirmation
// since the question arrived; the answer is then sent only if no more time is left. The error matches ErrNotFollowing,
// ErrLostStore or ErrNotCovered.
func (h *Hub) Answer(q Question) (a Answer, news bool, err error) {
	switch {
	case h.lost:
		return a, false, errors.WithStack(ErrLostStore)
	case !h.watching:
		return a, false, errors.WithStack(ErrNotFollowing)
	case q.After < h.base || sequoiaregistry.Era(q.After) != sequoiaregistry.Era(h.revision):
		return a, false, errors.WithStack(ErrNotCovered)
	}
	a.Revision = max(q.After, h.revision)
	for _, it := range h.events {
		if it.Revision > q.After {
			a.Items = append(a.Items, it)
		}
	}
	if !h.confirmed.IsZero() {
		a.Age, a.Confirmed = q.Arrived.Sub(h.confirmed), true
	}
	return a, len(a.Items) > 0 || h.confirmed.After(q.confirmed), nil
}

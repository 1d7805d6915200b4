package sequoiafollow_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafollow"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

// change is one change of an item in the store, with the time at which it was made.
type change struct {
	item sequoiaregistry.Item
	at   time.Time
}

// history is a store that remembers all of its states.
type history struct {
	now time.Time
	// era counts the restores, and changes are those of the current era and of the copy that it began with.
	era     uint64
	last    uint64
	changes []change
	// oldest is the first revision after which a watch is possible.
	oldest uint64
}

func (s *history) revision() uint64 { return sequoiaregistry.Revision(s.era, s.last) }

func (s *history) write(key string, deleted bool) {
	s.last++
	s.changes = append(s.changes, change{sequoiaregistry.Item{
		Key: key, Value: fmt.Appendf(nil, "%d-%d", s.era, s.last), Revision: s.revision(), Deleted: deleted,
	}, s.now})
}

// restore returns to the state of an earlier revision.
func (s *history) restore(to uint64) {
	s.era++
	var kept []change
	for _, c := range s.changes {
		if sequoiaregistry.StoreRevision(c.item.Revision) <= to {
			c.item.Revision = sequoiaregistry.Revision(s.era, sequoiaregistry.StoreRevision(c.item.Revision))
			kept = append(kept, c)
		}
	}
	s.changes, s.last, s.oldest = kept, to, min(s.oldest, to)
}

// stateAt returns the items as they were at a revision.
func (s *history) stateAt(revision uint64) map[string]string {
	state := map[string]string{}
	for _, c := range s.changes {
		switch {
		case c.item.Revision > revision:
		case c.item.Deleted:
			delete(state, c.item.Key)
		default:
			state[c.item.Key] = string(c.item.Value)
		}
	}
	return state
}

// since returns the changes after a revision. It returns false if the store would answer that they are compacted.
func (s *history) since(after uint64) (items []sequoiaregistry.Item, ok bool) {
	if sequoiaregistry.Era(after) != s.era || sequoiaregistry.StoreRevision(after) < s.oldest {
		return nil, false
	}
	for _, c := range s.changes {
		if c.item.Revision > after {
			items = append(items, c.item)
		}
	}
	return items, true
}

// viewer is a process's view of the store.
type viewer struct {
	after uint64
	state map[string]string
	asOf  time.Time
}

func (v *viewer) list(s *history) {
	v.after, v.state, v.asOf = s.revision(), s.stateAt(s.revision()), s.now
}

func (v *viewer) apply(items []sequoiaregistry.Item, revision uint64) {
	for _, it := range items {
		if it.Deleted {
			delete(v.state, it.Key)
		} else {
			v.state[it.Key] = string(it.Value)
		}
	}
	v.after = max(v.after, revision)
}

// check fails if the view differs from the store's state at its revision, or lacks a change made before asOf.
func (v *viewer) check(t *rapid.T, s *history) {
	if sequoiaregistry.Era(v.after) != s.era {
		return // The restored store has lost the state; the view is listed again at its next call.
	}
	if want := s.stateAt(v.after); !maps.Equal(v.state, want) {
		t.Fatalf("view at revision %d is %v, the store was %v", v.after, v.state, want)
	}
	for _, c := range s.changes {
		if c.item.Revision > v.after && c.at.Before(v.asOf) {
			t.Fatalf("view claims to be complete up to %v but lacks revision %d of %v", v.asOf, c.item.Revision, c.at)
		}
	}
}

// poll is a call of the follower to the store that is in progress.
type poll struct {
	after uint64
	sent  time.Time
}

// question is a question of a viewer that is in progress. It arrives at the hub some time after it was sent.
type question struct {
	asked   bool
	sent    time.Time
	hub     sequoiafollow.Question
	waiting bool
}

// followerClock is the difference between the clock of the follower and that of the others.
const followerClock = 77 * time.Hour

// checkHub plays a random sequence of writes, restores, compactions, polls of a follower and questions to it.
func checkHub(t *rapid.T) {
	s := &history{now: start}
	var hub sequoiafollow.Hub
	var follower viewer
	follower.list(s)
	var pending *poll
	viewers := make([]viewer, 3)
	questions := make([]question, len(viewers))
	for i := range viewers {
		viewers[i].list(s)
	}
	answered := 0
	finish := func(i int, a sequoiafollow.Answer) {
		answered++
		viewers[i].apply(a.Items, a.Revision)
		if asOf, ok := a.AsOf(questions[i].sent); ok && asOf.After(viewers[i].asOf) {
			viewers[i].asOf = asOf
		}
		questions[i] = question{}
	}
	listAnew := func(i int) {
		questions[i] = question{}
		viewers[i].list(s)
	}
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
		i := rapid.IntRange(0, len(viewers)-1).Draw(t, "viewer")
		v, q := &viewers[i], &questions[i]
		switch rapid.IntRange(0, 15).Draw(t, "step") {
		case 0, 1, 2:
			s.write(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
		case 3:
			// A change below another prefix moves the revision only.
			s.last++
		case 4, 5:
			if pending == nil {
				hub.Begin(follower.after)
				pending = &poll{follower.after, s.now}
			}
		case 6, 7, 8:
			if pending == nil {
				break
			}
			if items, ok := s.since(pending.after); ok {
				hub.Record(pending.after, items, s.revision(), pending.sent.Add(followerClock))
				follower.apply(items, s.revision())
			} else {
				hub.Lose()
				follower.list(s)
			}
			pending = nil
		case 9:
			// The follower's call fails, or it lists anew. Its next watch shows the hub the gap in any case.
			if rapid.Bool().Draw(t, "loss is told") {
				hub.Lose()
			}
			follower.list(s)
			pending = nil
		case 10, 11:
			if !q.asked {
				*q = question{asked: true, sent: s.now}
			}
		case 12, 13:
			if q.asked && !q.waiting {
				q.hub, q.waiting = hub.Ask(s.now.Add(followerClock), v.after), true
			}
		case 14:
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				s.restore(uint64(rapid.IntRange(0, int(s.last)).Draw(t, "copy")))
			case 1:
				s.oldest = uint64(rapid.IntRange(int(s.oldest), int(s.last)).Draw(t, "oldest"))
			case 2:
				hub.Stop()
			}
		case 15:
			// A viewer asks the store itself.
			if items, ok := s.since(v.after); ok && !q.asked {
				v.apply(items, s.revision())
				v.asOf = s.now
			} else if !ok {
				listAnew(i)
			}
		}
		for i := range questions {
			if !questions[i].waiting {
				continue
			}
			a, news, err := hub.Answer(questions[i].hub)
			ends := rapid.IntRange(0, 9).Draw(t, "wait ends") == 0
			switch {
			case err != nil:
				if items, ok := s.since(viewers[i].after); ok {
					questions[i] = question{}
					viewers[i].apply(items, s.revision())
					viewers[i].asOf = s.now
				} else {
					listAnew(i)
				}
			case news || ends:
				finish(i, a)
			}
		}
		for i := range viewers {
			viewers[i].check(t, s)
		}
		follower.check(t, s)
	}
}

// TestHub guards against a process whose view differs from the store's because it asked a follower, and against one that
// claims to know all changes up to a time although it lacks one.
func TestHub(t *testing.T) {
	for range hubChecks {
		rapid.Check(t, checkHub)
	}
}

// hubChecks is the number of times that rapid's usual number of sequences is played. A gap in the hub's events shows in one
// of some thousand sequences.
const hubChecks = 30

func item(key string, revision uint64) sequoiaregistry.Item {
	return sequoiaregistry.Item{Key: key, Revision: revision}
}

var _ = ginkgo.Describe("Hub", func() {
	at := func(d time.Duration) time.Time { return start.Add(d) }

	ginkgo.It("answers a question at once, with later changes, or with a later confirmation", func() {
		var h sequoiafollow.Hub
		h.Begin(5)
		h.Record(5, []sequoiaregistry.Item{item("a", 7)}, 8, at(0))
		a, news, err := h.Answer(h.Ask(at(time.Second), 6))
		Expect(err).NotTo(HaveOccurred())
		Expect(news).To(BeTrue())
		Expect(a).To(Equal(sequoiafollow.Answer{Items: []sequoiaregistry.Item{item("a", 7)}, Revision: 8, Age: time.Second, Confirmed: true}))
		waiting := h.Ask(at(time.Second), 8)
		_, news, err = h.Answer(waiting)
		Expect(err).NotTo(HaveOccurred())
		Expect(news).To(BeFalse())
		h.Record(8, nil, 8, at(900*time.Millisecond))
		a, news, err = h.Answer(waiting)
		Expect(err).NotTo(HaveOccurred())
		Expect(news).To(BeTrue())
		Expect(a).To(Equal(sequoiafollow.Answer{Revision: 8, Age: 100 * time.Millisecond, Confirmed: true}))
	})

	// Guards against a process that misses changes, or takes changes of another era of the store for its own.
	ginkgo.DescribeTable("refuses what it does not cover",
		func(prepare func(h *sequoiafollow.Hub), after uint64, want error) {
			var h sequoiafollow.Hub
			prepare(&h)
			_, _, err := h.Answer(h.Ask(at(0), after))
			Expect(err).To(MatchError(want))
		},
		ginkgo.Entry("without a watch", func(*sequoiafollow.Hub) {}, uint64(5), sequoiafollow.ErrNotFollowing),
		ginkgo.Entry("before its first revision", func(h *sequoiafollow.Hub) { h.Begin(5) }, uint64(4), sequoiafollow.ErrNotCovered),
		ginkgo.Entry("after a gap", func(h *sequoiafollow.Hub) {
			h.Begin(5)
			h.Record(5, []sequoiaregistry.Item{item("a", 6)}, 6, at(0))
			h.Begin(9)
		}, uint64(6), sequoiafollow.ErrNotCovered),
		ginkgo.Entry("of a later era", func(h *sequoiafollow.Hub) { h.Begin(5) }, sequoiaregistry.Revision(1, 6), sequoiafollow.ErrNotCovered),
		ginkgo.Entry("of an earlier era", func(h *sequoiafollow.Hub) { h.Begin(sequoiaregistry.Revision(1, 6)) }, uint64(6), sequoiafollow.ErrNotCovered),
		ginkgo.Entry("after a failed watch", func(h *sequoiafollow.Hub) {
			h.Begin(5)
			h.Lose()
		}, uint64(5), sequoiafollow.ErrLostStore),
		ginkgo.Entry("after it has stopped", func(h *sequoiafollow.Hub) {
			h.Begin(5)
			h.Stop()
		}, uint64(5), sequoiafollow.ErrNotFollowing),
	)

	// Guards against a hub that grows without a limit, and against one that forgets a part of what it claims to cover.
	ginkgo.DescribeTable("keeps the latest events",
		func(valueBytes, kept int) {
			var h sequoiafollow.Hub
			const events = 3000
			for r := range uint64(events) {
				it := item("key", r+1)
				it.Value = make([]byte, valueBytes)
				h.Record(r, []sequoiaregistry.Item{it}, r+1, at(time.Duration(r)))
			}
			a, _, err := h.Answer(h.Ask(at(time.Second), uint64(events-kept)))
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Items).To(HaveLen(kept))
			_, _, err = h.Answer(h.Ask(at(time.Second), uint64(events-kept-1)))
			Expect(err).To(MatchError(sequoiafollow.ErrNotCovered))
		},
		ginkgo.Entry("small ones, by number", 1, 1024),
		ginkgo.Entry("larger ones, by size", 1024, 233),
		ginkgo.Entry("one that is larger than the limit", 1<<20, 1),
	)

	// Guards against a decision on ownership from a view that is older than it claims to be.
	ginkgo.It("confirms less than the time of the question by the age, with a margin for the clocks, and never more", func() {
		asOf := func(age time.Duration, confirmed bool) time.Duration {
			t, ok := sequoiafollow.Answer{Age: age, Confirmed: confirmed}.AsOf(start)
			Expect(ok).To(Equal(confirmed))
			if !ok {
				return 0
			}
			return start.Sub(t)
		}
		Expect(asOf(10*time.Second, true)).To(Equal(10300 * time.Millisecond))
		Expect(asOf(0, true)).To(BeZero())
		Expect(asOf(-time.Second, true)).To(BeZero())
		asOf(time.Second, false)
	})
})

func ExampleHub() {
	var h sequoiafollow.Hub
	now := time.Unix(1000, 0)
	h.Begin(40)
	question := h.Ask(now, 40)
	_, news, _ := h.Answer(question)
	fmt.Println(news)
	h.Record(40, []sequoiaregistry.Item{{Key: "Member/a", Revision: 42}}, 43, now.Add(-2*time.Second))
	answer, news, _ := h.Answer(question)
	fmt.Println(news, answer.Items[0].Key, answer.Revision, answer.Age)
	// Output:
	// false
	// true Member/a 43 2s
}

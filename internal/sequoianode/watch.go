package sequoianode

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafollow"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// watchProtocol is the protocol version from which processes know pathWatch.
	watchProtocol = 2
	// watchSlack is how much longer than a watch of the store a process waits for a confirmation by a follower. The
	// follower's own watch ends within the wait, and its answer passes through two processes.
	watchSlack = 500 * time.Millisecond
	// watchReplyMargin is how long after its wait the answer of a follower may arrive.
	watchReplyMargin = peerTimeout
	// memberQuestionWait and configurationQuestionWait limit the wait of one question. A follower that answers the liveness
	// checks of its connections but no messages delays a change by this time; a configuration must be in force within 2.5 s.
	memberQuestionWait        = 3 * time.Second
	configurationQuestionWait = 1500 * time.Millisecond
	// minQuestionWait is the shortest wait that is worth a question.
	minQuestionWait = 50 * time.Millisecond
	// minProgress is the least advance of a confirmation that counts. The time that a question takes to arrive varies, so
	// that a confirmation that has not advanced at the follower seems to do so by less.
	minProgress = 250 * time.Millisecond
)

// watchCallLimit limits a watch that is first asked of a follower and then of the store.
func watchCallLimit(wait time.Duration) time.Duration {
	return 2*wait + watchSlack + watchReplyMargin + sequoiaregistry.WatchGrace
}

// errNoAnswer reports a follower that did not answer. The reason says why.
type errNoAnswer struct{ reason sequoiafollow.Reason }

// Error returns the reason.
func (e errNoAnswer) Error() string { return "the follower gave no answer: " + string(e.reason) }

// sharedWatches asks followers instead of the store for changes, and answers such questions of other processes.
type sharedWatches struct {
	direct  sequoiaregistry.Store
	log     *sequoialog.Events
	metrics *metrics
	// now returns the time of a clock that keeps running while the instance is suspended.
	now func() time.Time
	// members returns the registered members.
	members func() []sequoiafollow.Member
	// send sends a message to an instance. It returns errMessageNotHandled and the response if the message was rejected.
	send func(ctx context.Context, instance string, timeout time.Duration, req *sequoiarouter.Request) (*sequoiarouter.Response, error)

	mu     sync.Mutex
	choice *sequoiafollow.Choice
	hubs   map[string]*sharedHub
	// budget limits the bytes of answers as those of tables: a change of 30 KB for 37 processes would occupy a link of
	// 10 Mbit/s for 0.9 s, while requests wait behind it.
	budget tableSender
	// following is the instance that answered the latest question, empty once it has failed or the store is asked.
	following string
	stopped   bool
}

// sharedHub is the hub of a prefix. The lock of sharedWatches protects it.
type sharedHub struct {
	hub sequoiafollow.Hub
	// changed is closed and replaced at each change of the hub.
	changed chan struct{}
	// waiting is the number of questions that wait, and late is called if this process has learned of a change before its
	// watch while there are any.
	waiting int
	late    func()
}

func (h *sharedHub) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func newSharedWatches(n *Node) *sharedWatches {
	return &sharedWatches{
		direct: n.store, log: n.log, metrics: n.metrics, now: sequoiatimer.BootTime, members: n.directory.watchMembers,
		send: func(ctx context.Context, instance string, timeout time.Duration, req *sequoiarouter.Request) (*sequoiarouter.Response, error) {
			addr, ok := n.directory.address(instance)
			if !ok {
				return nil, errors.Errorf("%s is not reachable", instance)
			}
			return n.sendMessage(ctx, addr, timeout, req)
		},
		choice: sequoiafollow.NewChoice(n.settings.Instance, n.settings.Domain), hubs: map[string]*sharedHub{},
	}
}

// add returns the watch of a prefix, whose questions wait for the given time. It is called once for each prefix.
func (s *sharedWatches) add(prefix string, questionWait time.Duration) *storeWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hubs[prefix] = &sharedHub{changed: make(chan struct{}), late: func() {}}
	return &storeWatch{shared: s, prefix: prefix, questionWait: questionWait}
}

// onLate sets the function that repeats the watch of a prefix.
func (s *sharedWatches) onLate(prefix string, refresh func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hubs[prefix].late = refresh
}

// refreshLate repeats this process's watch of a prefix if it has not returned a change that the process has learned from
// another one while others wait for the change: the watch may hang on a dead connection.
func (s *sharedWatches) refreshLate(prefix string, revision uint64) {
	s.mu.Lock()
	h := s.hubs[prefix]
	late := h != nil && h.waiting > 0 && h.hub.Lacks(revision)
	s.mu.Unlock()
	if late {
		h.late()
	}
}

// stop answers all questions that wait, and rejects later ones.
func (s *sharedWatches) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, h := range s.hubs {
		h.notify()
	}
}

// lose records that a call to the store has failed. The watches in progress may hang, so the processes that ask this one
// are told at once.
func (s *sharedWatches) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hubs {
		h.hub.Lose()
		h.notify()
	}
}

// updateHub changes the hub of a prefix and wakes the questions that wait for it.
func (s *sharedWatches) updateHub(prefix string, f func(h *sequoiafollow.Hub)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hubs[prefix]
	f(&h.hub)
	h.notify()
}

// choose returns the instance to ask, or an empty string for the store.
func (s *sharedWatches) choose() string {
	members := s.members()
	s.mu.Lock()
	defer s.mu.Unlock()
	follower, reason := s.choice.Next(s.now(), members)
	if follower == "" && reason != sequoiafollow.ReasonResting {
		s.stopFollowing(reason)
	}
	return follower
}

// stopFollowing logs that this process no longer follows another one. The caller must hold mu.
func (s *sharedWatches) stopFollowing(reason sequoiafollow.Reason) {
	if s.following != "" {
		s.log.Event("store watched directly", "Member", s.following, "Reason", reason)
		s.following = ""
	}
}

// answered records that a follower has answered.
func (s *sharedWatches) answered(follower string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.following != follower {
		s.log.Event("store watched through a follower", "Member", follower, "Previous", s.following)
		s.following = follower
	}
}

// failed records that a follower gave no answer. One that lacks the changes, or may not send as much, is still followed.
func (s *sharedWatches) failed(follower string, reason sequoiafollow.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choice.Failed(s.now(), follower, reason)
	if s.following == follower && reason != sequoiafollow.ReasonNotCovered && reason != sequoiafollow.ReasonBusy {
		s.stopFollowing(reason)
	}
}

// serve answers the question of another process, as soon as there are changes or a later confirmation, or when its wait
// ends.
func (s *sharedWatches) serve(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
	arrived := s.now()
	var q watchQuestion
	if err := cbor.Unmarshal(req.Body, &q); err != nil {
		return notRunResponse(reasonBadRequest, 0)
	}
	answer, reason := s.await(ctx, arrived, q)
	if reason != "" {
		return s.refuse(reason)
	}
	body, err := encodeAnswer(answer)
	if err == nil && !s.mayAnswer(len(body)) {
		return s.refuse(sequoiafollow.ReasonBusy)
	}
	s.metrics.questions.Inc()
	return okResponse(body, err)
}

// refuse returns the response to a question that gets no answer.
func (s *sharedWatches) refuse(reason sequoiafollow.Reason) *sequoiarouter.Response {
	if reason == sequoiafollow.ReasonNotCovered || reason == sequoiafollow.ReasonBusy {
		s.metrics.hubMisses.Inc()
	}
	return notRunResponse(string(reason), 0)
}

// mayAnswer reports whether an answer of the given number of bytes may be sent now.
func (s *sharedWatches) mayAnswer(size int) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.budget.take(s.now(), size)
}

// await waits for the answer to a question. It returns the reason if there is none.
func (s *sharedWatches) await(ctx context.Context, arrived time.Time, q watchQuestion) (sequoiafollow.Answer, sequoiafollow.Reason) {
	timeout := time.NewTimer(q.Wait)
	defer timeout.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hubs[q.Prefix]
	if h == nil {
		return sequoiafollow.Answer{}, sequoiafollow.ReasonNotFollowing
	}
	s.choice.Asked(arrived)
	question := h.hub.Ask(arrived, q.After)
	h.waiting++
	defer func() { h.waiting-- }()
	for ended := false; ; {
		answer, news, err := h.hub.Answer(question)
		switch {
		case s.stopped:
			return sequoiafollow.Answer{}, sequoiafollow.ReasonStopping
		case err != nil:
			return sequoiafollow.Answer{}, refusalReason(err)
		case news || ended:
			return answer, ""
		}
		changed := h.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		s.mu.Lock()
	}
}

// refusalReason returns the reason for which a hub gives no answer.
func refusalReason(err error) sequoiafollow.Reason {
	switch {
	case errors.Is(err, sequoiafollow.ErrLostStore):
		return sequoiafollow.ReasonLostStore
	case errors.Is(err, sequoiafollow.ErrNotCovered):
		return sequoiafollow.ReasonNotCovered
	}
	return sequoiafollow.ReasonNotFollowing
}

// ask asks a follower for the changes of a prefix after a revision. Its error is an errNoAnswer unless ctx has ended.
func (s *sharedWatches) ask(ctx context.Context, follower string, q watchQuestion) (sequoiafollow.Answer, error) {
	body, err := cbor.Marshal(q)
	if err != nil {
		return sequoiafollow.Answer{}, errors.Wrap(err, "encode a watch")
	}
	resp, err := s.send(ctx, follower, q.Wait+watchReplyMargin, &sequoiarouter.Request{Path: pathWatch, Method: http.MethodGet, Body: body})
	switch {
	case ctx.Err() != nil:
		return sequoiafollow.Answer{}, ctx.Err()
	case errors.Is(err, errMessageNotHandled):
		return sequoiafollow.Answer{}, errNoAnswer{knownReason(resp.Reason)}
	case err != nil:
		return sequoiafollow.Answer{}, errNoAnswer{sequoiafollow.ReasonSilent}
	}
	answer, ok := decodeAnswer(resp.Body, q)
	if !ok {
		return sequoiafollow.Answer{}, errNoAnswer{sequoiafollow.ReasonMalformed}
	}
	return answer, nil
}

// storeWatch is the watch of one prefix, for one Watcher. Only the Watcher's goroutine uses it.
type storeWatch struct {
	shared       *sharedWatches
	prefix       string
	questionWait time.Duration

	// asOf is the time up to which the latest call has returned all changes, zero if that is not known.
	asOf time.Time
	// follower is the instance that answered the latest question since the store was asked, followerAsked when it had asked
	// the store for that answer, and progressAt is when a call returned that confirmed a later time than the one before.
	follower      string
	followerAsked time.Time
	progressAt    time.Time
	// followed is true if a follower answered the latest call, and pause is the delay since the store did.
	followed bool
	pause    time.Duration
}

// store returns the store with List and Watch as this watch makes them.
func (w *storeWatch) store() sequoiaregistry.Store {
	st := w.shared.direct
	st.List, st.Watch = w.list, w.watch
	return st
}

// currentAsOf returns the time up to which the latest call has returned all changes.
func (w *storeWatch) currentAsOf() (time.Time, bool) { return w.asOf, !w.asOf.IsZero() }

// batchDelay returns the delay before the next call. A call to a follower costs nothing at the store, and the follower
// has waited already.
func (w *storeWatch) batchDelay(direct time.Duration) time.Duration {
	if w.followed {
		return 0
	}
	w.pause = direct
	return direct
}

// confirmDirectly records that the store has returned all changes up to a time.
func (w *storeWatch) confirmDirectly(asOf time.Time) {
	w.asOf, w.progressAt, w.follower = asOf, w.shared.now(), ""
}

// confirmThrough records the confirmation in a follower's answer to a question that was sent at the given time. It returns
// false if that is no progress: the follower must have confirmed an earlier time since the store was asked, since its own
// view may be older than this process's.
func (w *storeWatch) confirmThrough(follower string, a sequoiafollow.Answer, sent time.Time) bool {
	asOf, ok := a.AsOf(sent)
	if !ok {
		return false
	}
	w.asOf = asOf
	// This time varies only by that of the transfer while the follower's confirmation does not advance, unlike asOf.
	asked := sent.Add(-a.Age)
	if w.follower != follower {
		w.follower, w.followerAsked = follower, asked
		return false
	}
	if asked.Sub(w.followerAsked) < minProgress {
		return false
	}
	w.followerAsked, w.progressAt = asked, w.shared.now()
	return true
}

func (w *storeWatch) list(ctx context.Context, prefix string) ([]sequoiaregistry.Item, uint64, error) {
	w.asOf, w.followed, w.pause = time.Time{}, false, 0
	sent := w.shared.now()
	items, revision, err := w.shared.direct.List(ctx, prefix)
	if err == nil {
		w.confirmDirectly(sent)
	}
	return items, revision, err
}

// watch asks a follower until it has changes or a later confirmation, and the store if there is no follower or it cannot
// answer. A process that has had no confirmation for the wait asks the store as well: the follower's watch may hang.
func (w *storeWatch) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]sequoiaregistry.Item, uint64, error) {
	w.asOf, w.followed = time.Time{}, false
	for {
		follower := w.shared.choose()
		left := w.progressAt.Add(wait + watchSlack).Sub(w.shared.now())
		if follower == "" || left < minQuestionWait {
			return w.askStore(ctx, prefix, after, wait)
		}
		w.shared.updateHub(prefix, func(h *sequoiafollow.Hub) { h.Stop() })
		q := watchQuestion{Prefix: prefix, After: after, Wait: min(left, w.questionWait)}
		answer, progress, err := w.askFollower(ctx, follower, q)
		switch {
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		case err != nil:
			return w.askStore(ctx, prefix, after, wait)
		case progress || len(answer.Items) > 0:
			w.followed = true
			return answer.Items, answer.Revision, nil
		}
	}
}

// askFollower asks a follower. progress is true if the answer confirms more than was confirmed before.
func (w *storeWatch) askFollower(ctx context.Context, follower string, q watchQuestion) (answer sequoiafollow.Answer, progress bool, err error) {
	s := w.shared
	sent := s.now()
	answer, err = s.ask(ctx, follower, q)
	if no := (errNoAnswer{}); errors.As(err, &no) {
		s.failed(follower, no.reason)
	}
	if err != nil {
		return answer, false, err
	}
	s.answered(follower)
	s.metrics.watches.WithLabelValues("Follower").Inc()
	return answer, w.confirmThrough(follower, answer, sent), nil
}

// askStore watches the store. The pause since the last call is part of the wait, so that processes that ask this one get a
// confirmation once in each wait.
func (w *storeWatch) askStore(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]sequoiaregistry.Item, uint64, error) {
	s := w.shared
	wait -= min(w.pause, wait/2)
	w.pause = 0
	ctx, cancel := context.WithTimeout(ctx, wait+sequoiaregistry.WatchGrace)
	defer cancel()
	s.updateHub(prefix, func(h *sequoiafollow.Hub) { h.Begin(after) })
	sent := s.now()
	items, revision, err := s.direct.Watch(ctx, prefix, after, wait)
	s.metrics.watches.WithLabelValues("Store").Inc()
	if err != nil {
		s.updateHub(prefix, func(h *sequoiafollow.Hub) { h.Lose() })
		return nil, 0, err
	}
	s.updateHub(prefix, func(h *sequoiafollow.Hub) { h.Record(after, items, revision, sent) })
	w.confirmDirectly(sent)
	return items, revision, nil
}

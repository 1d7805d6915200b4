package sequoianode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaquarantine"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// quarantineKey is the key of the quarantine records in the store. It is below memberPrefix, so that the watch of the
	// members delivers them without calls of its own. No instance has this name.
	quarantineKey = memberPrefix + "Quarantine"
	// announceRounds is how often records are sent to a member until it acknowledges them, and announceInterval the time
	// between two rounds. A member whose connections are silent is reached within two rounds.
	announceRounds   = 10
	announceInterval = 500 * time.Millisecond
	// publishRetryDelay is the pause after a failed write of the records to the store.
	publishRetryDelay = 600 * time.Millisecond
	// A process writes records of another one to the store if the store lacks them after minRepairDelay and a random time
	// up to repairSpread: all processes learn of them at the same time, and the other one writes them itself if it can.
	minRepairDelay = 1200 * time.Millisecond
	repairSpread   = time.Second
	// maxTrialAttempts limits the attempts to write the beginning of a trial when others change the records.
	maxTrialAttempts = 3
	// maxLoggedPath limits the path of a quarantined request in the log, in bytes.
	maxLoggedPath = 200
)

// quarantine keeps requests that crash upstreams away from them. It exchanges what the processes know of such requests
// directly and through the store.
type quarantine struct {
	node *Node
	// announcing and publishing wake the goroutines that send records to the members and to the store.
	announcing, publishing chan struct{}
	// trial is held while this process begins a trial.
	trial sync.Mutex

	// mu may be locked while Node.mu is held, not the other way round.
	mu   sync.Mutex
	list *sequoiaquarantine.List
	// stored holds the records in the store, base is their revision, zero if there are none, and seen the revision of the
	// store at which that was seen.
	stored     []sequoiaquarantine.Record
	base, seen uint64
	// repairScheduled is true while a timer for a repair of the stored records is set.
	repairScheduled bool
	// changed is true if the list may have new suspects since markSuspects.
	changed bool
	// outbox holds the records that members must be told of.
	outbox []sequoiaquarantine.Record
}

func newQuarantine(n *Node) *quarantine {
	return &quarantine{
		node: n, list: sequoiaquarantine.NewList(), announcing: make(chan struct{}, 1), publishing: make(chan struct{}, 1),
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run sends records to the members and the store until ctx is done.
func (q *quarantine) run(ctx context.Context) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-q.announcing:
			}
			go q.announce(ctx)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.publishing:
		}
		q.publish(ctx)
	}
}

// judgement is the decision about one request.
type judgement struct {
	// fingerprint is valid if known is true. It is computed only if there are records to compare it with.
	known       bool
	fingerprint sequoiaquarantine.Fingerprint
	verdict     sequoiaquarantine.Verdict
	// trial is true if this process has begun a trial of the request.
	trial bool
}

// alone reports whether the request must not run beside another one of which this is true.
func (j judgement) alone() bool { return j.verdict.State != sequoiaquarantine.Clear }

// refusal returns the response to a request that must not run, or nil. A request whose trial is due may be sent on to the
// process beside its upstream.
func (j judgement) refusal() *sequoiarouter.Response {
	if j.trial || j.verdict.State != sequoiaquarantine.Quarantined {
		return nil
	}
	return notRunResponse(reasonQuarantined, j.verdict.RetryAfter)
}

// judge decides how a request is treated. j is an earlier judgement of the same request, or the zero value.
func (q *quarantine) judge(j judgement, req *sequoiarouter.Request) judgement {
	if !j.known {
		if q.empty() {
			return j
		}
		j.fingerprint, j.known = q.node.identity(req).Fingerprint(), true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	j.verdict = q.list.Judge(time.Now(), j.fingerprint)
	return j
}

func (q *quarantine) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Len() == 0
}

// startTrial begins the trial of a request that is about to run on the local upstream, if one is due. If another process
// has begun it, the request is refused.
func (q *quarantine) startTrial(ctx context.Context, j judgement) judgement {
	if j.verdict.State != sequoiaquarantine.TrialDue {
		return j
	}
	j.trial = q.beginTrial(ctx, j.fingerprint)
	q.mu.Lock()
	defer q.mu.Unlock()
	j.verdict = q.list.Judge(time.Now(), j.fingerprint)
	if j.verdict.State == sequoiaquarantine.TrialDue {
		// Another request is just beginning the trial.
		j.verdict.State, j.verdict.RetryAfter = sequoiaquarantine.Quarantined, upstreamRetryAfter
	}
	return j
}

// strike records the requests that were in progress when the local upstream ended. The caller may hold Node.mu.
func (q *quarantine) strike(runs []*run) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range runs {
		f := r.Fingerprint()
		if !q.list.Strike(now, f, r.Known()) {
			continue
		}
		v := q.list.Judge(now, f)
		q.changed = true
		q.tell(q.list.Get(f))
		if v.State == sequoiaquarantine.Quarantined {
			path := r.Identity.Path
			q.node.log.Event("request quarantined", "Fingerprint", f.String(), "Strikes", v.Mark.Strikes, "Method", r.Identity.Method,
				"Host", r.Identity.Host, "Path", path[:min(len(path), maxLoggedPath)], "RetryAfter", v.RetryAfter.Milliseconds())
		}
	}
}

// markSuspects makes requests run alone that became suspects after they had been queued or started. The caller must hold
// Node.mu.
func (q *quarantine) markSuspects() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.changed {
		return
	}
	q.changed = false
	now := time.Now()
	q.node.runs.Open(func(r *run) {
		if q.list.Judge(now, r.Fingerprint()).State != sequoiaquarantine.Clear {
			q.node.queue.SetAlone(r.Owner)
		}
	})
}

// noteUpstreamEnded makes a request a suspect because the process beside its upstream says that the upstream ended. Only
// that process counts further strikes: it alone knows what ran beside the request.
func (q *quarantine) noteUpstreamEnded(req *sequoiarouter.Request) {
	f := q.node.identity(req).Fingerprint()
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.list.Judge(now, f).Mark
	known.Strikes = 0
	q.changed = q.list.Strike(now, f, known) || q.changed
}

// answered records that the local upstream has answered a request. The members are told if others refuse the request;
// otherwise they learn it with the next records.
func (q *quarantine) answered(j judgement, req *sequoiarouter.Request) {
	j = q.judge(j, req)
	if !j.known {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.list.Answered(now, j.fingerprint) {
		return
	}
	q.node.log.Event("suspect request answered", "RequestID", req.RequestID, "Fingerprint", j.fingerprint.String(), "Trial", j.trial)
	if j.verdict.State != sequoiaquarantine.Suspect {
		q.tell(q.list.Get(j.fingerprint))
	}
}

// tell makes the members and the store be told of records. The caller must hold mu.
func (q *quarantine) tell(records []sequoiaquarantine.Record) {
	if len(records) == 0 {
		return
	}
	q.outbox = append(q.outbox, records...)
	wake(q.announcing)
	wake(q.publishing)
}

// merge adds records of another process. The caller must hold mu.
func (q *quarantine) merge(now time.Time, records []sequoiaquarantine.Record, source string) {
	before := q.list.Quarantined()
	q.changed = q.list.Merge(now, records) || q.changed
	if n := q.list.Quarantined(); n != before {
		q.node.log.Event("quarantine changed", "Source", source, "Quarantined", n, "Records", q.list.Len())
	}
	q.tell(q.list.Contradictions(now, records))
	q.scheduleRepair(now)
}

// announce sends the records in the outbox to all members until each of them has acknowledged them.
func (q *quarantine) announce(ctx context.Context) {
	q.mu.Lock()
	records := q.outbox
	q.outbox = nil
	q.mu.Unlock()
	if len(records) == 0 {
		return
	}
	body, err := sequoiaquarantine.Encode(records)
	if err != nil {
		q.node.log.Event("failed to encode quarantine records", "Error", err)
		return
	}
	var members []sequoiaowner.Member
	q.node.withCore(func(c *sequoiaowner.Core) {
		for instance, m := range c.Members() {
			if instance != q.node.settings.Instance {
				members = append(members, m)
			}
		}
	})
	for range announceRounds {
		_, failed := q.node.broadcastAndWait(ctx, members, &sequoiarouter.Request{
			Path: pathQuarantine, Method: http.MethodPost, Body: body,
		})
		var missing []sequoiaowner.Member
		for _, m := range members {
			if _, ok := failed[m.Instance]; ok {
				missing = append(missing, m)
			}
		}
		if members = missing; len(members) == 0 || sequoiatimer.Sleep(ctx, announceInterval) != nil {
			return
		}
	}
	q.node.log.Event("members did not take quarantine records", "Members", len(members))
}

// serveAnnouncement handles records from another process.
func (q *quarantine) serveAnnouncement(req *sequoiarouter.Request) *sequoiarouter.Response {
	records, err := sequoiaquarantine.Decode(req.Body)
	if err != nil {
		q.node.log.Event("quarantine records rejected", "Source", "Peer", "Error", err)
		return q.node.notRunResponseWithLoad(reasonBadRequest, 0)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.merge(time.Now(), records, "Peer")
	return okResponse(nil, nil)
}

// applyStored applies the item of the store that holds the records, or its absence. The caller may hold Node.mu.
func (q *quarantine) applyStored(it sequoiaregistry.Item) {
	var records []sequoiaquarantine.Record
	if !it.Deleted {
		var err error
		if records, err = sequoiaquarantine.Decode(it.Value); err != nil {
			q.node.log.Event("quarantine records rejected", "Source", "Store", "Revision", it.Revision, "Error", err)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.Revision < q.seen {
		return
	}
	q.stored, q.base, q.seen = records, it.Revision, it.Revision
	if it.Deleted {
		q.base = 0
	}
	q.merge(time.Now(), records, "Store")
}

// scheduleRepair makes this process write the records later if the store still lacks some. The caller must hold mu.
func (q *quarantine) scheduleRepair(now time.Time) {
	if q.repairScheduled || len(q.list.Missing(now, q.stored)) == 0 {
		return
	}
	q.repairScheduled = true
	q.node.timers.After(minRepairDelay+rand.N(repairSpread), func(now time.Time) {
		reachable := false
		q.node.withCore(func(c *sequoiaowner.Core) { reachable = c.RecentlyConfirmed(sequoiatimer.BootTime()) })
		q.mu.Lock()
		defer q.mu.Unlock()
		q.repairScheduled = false
		if reachable {
			wake(q.publishing)
		} else {
			q.scheduleRepair(now)
		}
	})
}

// publish writes the records to the store unless it has them, and returns when it has them or ctx is done.
func (q *quarantine) publish(ctx context.Context) {
	for ctx.Err() == nil {
		q.mu.Lock()
		missing := len(q.list.Missing(time.Now(), q.stored))
		q.mu.Unlock()
		if missing == 0 {
			return
		}
		if err := q.write(ctx); err != nil && !errors.Is(err, sequoiaregistry.ErrConflict) {
			q.node.log.Event("failed to write quarantine records", "Error", err)
			_ = sequoiatimer.Sleep(ctx, publishRetryDelay)
		}
	}
}

// write makes one attempt to write the records to the store. If it returns ErrConflict, it has read those that are there.
func (q *quarantine) write(ctx context.Context) error {
	q.mu.Lock()
	records, base := q.list.Records(time.Now()), q.base
	q.mu.Unlock()
	b, err := sequoiaquarantine.Encode(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
	defer cancel()
	revision, err := q.node.store.Commit(ctx, sequoiaregistry.Transaction{
		Expected: map[string]uint64{quarantineKey: base}, Puts: []sequoiaregistry.Item{{Key: quarantineKey, Value: b}},
	})
	if errors.Is(err, sequoiaregistry.ErrConflict) {
		if readErr := q.read(ctx); readErr != nil {
			return readErr
		}
	}
	if err != nil {
		return err
	}
	q.node.log.Event("quarantine records written", "Records", len(records), "Base", base, "Revision", revision)
	q.mu.Lock()
	defer q.mu.Unlock()
	if revision > q.seen {
		q.stored, q.base, q.seen = records, revision, revision
	}
	return nil
}

// read reads the records from the store.
func (q *quarantine) read(ctx context.Context) error {
	it, err := q.node.store.Get(ctx, quarantineKey)
	if errors.Is(err, sequoiaregistry.ErrNotFound) {
		it.Deleted, err = true, nil
	}
	if err == nil {
		q.applyStored(it)
	}
	return err
}

// beginTrial begins a trial of a quarantined request if no other process does. It returns false if that is not certain.
func (q *quarantine) beginTrial(ctx context.Context, f sequoiaquarantine.Fingerprint) bool {
	if !q.trial.TryLock() {
		return false
	}
	defer q.trial.Unlock()
	q.mu.Lock()
	begun, due := q.list.BeginTrial(time.Now(), f)
	q.mu.Unlock()
	for range maxTrialAttempts {
		if !due || q.storedTrial(begun) {
			return false
		}
		err := q.write(ctx)
		if err == nil {
			q.node.log.Event("trial of a quarantined request", "Fingerprint", f.String(), "Trial", begun.Trials)
			q.mu.Lock()
			defer q.mu.Unlock()
			q.tell([]sequoiaquarantine.Record{begun})
			return true
		}
		if !errors.Is(err, sequoiaregistry.ErrConflict) {
			q.node.log.Event("failed to begin a trial", "Fingerprint", f.String(), "Error", err)
			return false
		}
	}
	return false
}

// storedTrial reports whether the store has the trial, or an answer that makes it needless.
func (q *quarantine) storedTrial(begun sequoiaquarantine.Record) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.stored {
		if r.Fingerprint == begun.Fingerprint {
			return r.Mark.Generation > begun.Mark.Generation || r.Mark.Generation == begun.Mark.Generation && r.Trials >= begun.Trials
		}
	}
	return false
}

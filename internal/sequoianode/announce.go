package sequoianode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// announceTimeout limits an announcement. An upstream waits a second for the acknowledgement.
	announceTimeout = 900 * time.Millisecond
	// upstreamCheckTimeout limits a health check of the upstream, which may wait for a slot.
	upstreamCheckTimeout = 500 * time.Millisecond
)

// Errors of an announcement that is not acknowledged.
var (
	// errNotSynchronized reports that this process does not know yet what its predecessor has acknowledged.
	errNotSynchronized = errors.New("the registration record has not been read")
	// errNotRecorded reports a shutdown of the upstream that is not in the store yet.
	errNotRecorded = errors.New("the shutdown of the upstream has not been recorded")
	// errNotVerified reports an upstream of which it is not known whether it is leaving.
	errNotVerified = errors.New("the upstream has not answered a health check")
	// errUnknownUpstream reports the deregistration of an upstream that may be an earlier or a later one than that known.
	errUnknownUpstream = errors.New("another upstream is known")
)

// registrationRecord is the content of an instance's registration record. It outlives the process, so that its successor
// knows what the upstream has announced, whatever announcement arrives late.
type registrationRecord struct {
	Process string
	// Upstream is the latest known incarnation of the upstream, and Era the era of the store when this was known.
	Upstream sequoiaowner.Upstream
	Era      uint64
	// Partial is true if the process did not know everything that its predecessors had acknowledged.
	Partial bool
}

// decodeRecord decodes a registration record. That of an older build, which says nothing of the upstream, yields the zero
// value.
func decodeRecord(b []byte) (r registrationRecord) {
	if json.Unmarshal(b, &r) != nil {
		return registrationRecord{}
	}
	return r
}

// predecessor is what a process knows of the upstream from the processes before it on the instance.
type predecessor struct {
	// known is true once the record has been read.
	known    bool
	upstream sequoiaowner.Upstream
	// complete is true if nothing that was acknowledged can be missing. A store that was restored since the record was
	// written may have lost a later one.
	complete bool
}

// readPredecessor returns what a registration record that was read in an era says of the upstream.
func readPredecessor(record registrationRecord, era uint64) predecessor {
	return predecessor{known: true, upstream: record.Upstream, complete: record.Era == era && !record.Partial}
}

// onRegistrationRecord records what the store says of the upstream. An upstream that has announced its shutdown to an
// earlier process gets no requests.
func (n *Node) onRegistrationRecord(it sequoiaregistry.Item) {
	record := decodeRecord(it.Value)
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.notifyOwnershipChanged()
	if n.recorded.Process == n.processID || record.Process == n.processID {
		// What this process knows is later than any other record, also than one that a restored store holds.
		return
	}
	if it.Value != nil && record.Process == "" {
		n.log.Event("registration record says nothing of the upstream", "Revision", it.Revision)
	}
	n.predecessor = readPredecessor(record, sequoiaregistry.Era(it.Revision))
	if u := record.Upstream; u.Leaving && n.core.Upstream().ID == "" && n.core.SetUpstream(sequoiatimer.BootTime(), u) {
		n.beginDrain(n.drainedSince())
		n.log.Event("upstream has announced its shutdown to an earlier process", "Upstream", u.ID, "Born", u.Born)
	}
}

// drainedSince returns the begin of a drain that is over. It stands for one that began before this process.
func (n *Node) drainedSince() time.Time { return time.Now().Add(-n.settings.DrainPeriod) }

// beginDrain records since when the upstream has been leaving. When its drain limit is over, no queued request is sent to it
// any more. The caller must hold mu.
func (n *Node) beginDrain(since time.Time) {
	n.leavingSince = since
	n.applyLastStart(time.Now())
}

// encodedRecord returns the content of the registration record.
func (n *Node) encodedRecord() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	record := registrationRecord{
		Process: n.processID, Upstream: n.core.Upstream(), Era: n.core.Era(), Partial: !n.predecessor.complete,
	}
	if record.Upstream.ID == "" {
		record.Upstream = n.predecessor.upstream
	}
	b, err := json.Marshal(record)
	if err != nil {
		panic(err) // Every value of the type can be encoded.
	}
	return b
}

// serveAnnouncement handles an announcement of the local upstream. A shutdown is acknowledged once the store has it, so
// that it holds whatever happens to this process.
func (n *Node) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		sequoiafront.WriteResponse(w, r, http.StatusBadRequest, nil)
		return
	}
	a, ok, err := n.dialect.ReadAnnouncement(r, body)
	switch {
	case !ok:
		sequoiafront.WriteResponse(w, r, http.StatusNotFound, nil)
		return
	case err != nil:
		n.log.Event("announcement rejected", "Error", err)
		sequoiafront.WriteResponse(w, r, http.StatusBadRequest, []byte(err.Error()+"\n"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), announceTimeout)
	defer cancel()
	if err := n.acceptAnnouncement(ctx, a); err != nil {
		n.log.Event("announcement not acknowledged", "Upstream", a.Upstream.ID, "Sequence", a.Sequence, "Error", err)
		sequoiafront.WriteResponse(w, r, http.StatusServiceUnavailable, []byte(err.Error()+"\n"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	sequoiafront.WriteResponse(w, r, http.StatusOK, []byte("{}"))
}

// acceptAnnouncement applies an announcement. It returns an error if the announcement must not be acknowledged.
func (n *Node) acceptAnnouncement(ctx context.Context, a Announcement) error {
	known := func() bool { return n.predecessor.known }
	if !n.awaitOwnership(ctx, announceTimeout, known) {
		return errors.WithStack(errNotSynchronized)
	}
	if n.mustVerify(a) {
		leaving, err := n.checkUpstream(ctx)
		if err != nil {
			return err
		}
		a.Upstream.Leaving = a.Upstream.Leaving || leaving
	}
	if a.Deregistered {
		var ok bool
		if a.Upstream, ok = n.deregistered(a.Upstream); !ok {
			return errors.WithStack(errUnknownUpstream)
		}
	}
	n.applyAnnouncement(a)
	recorded := func() bool {
		u, written := n.core.Upstream(), n.recorded.Upstream
		return u.ID != a.Upstream.ID || !u.Leaving || written.ID == u.ID && written.Born == u.Born && written.Leaving
	}
	if !n.awaitOwnership(ctx, announceTimeout, recorded) {
		return errors.WithStack(errNotRecorded)
	}
	return nil
}

// mustVerify reports whether an announcement may be outdated although this process knows nothing later: an earlier process
// may have acknowledged the shutdown of the upstream, and the store has lost that in a restore.
func (n *Node) mustVerify(a Announcement) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.predecessor.complete && !a.Deregistered && !a.Upstream.Leaving && n.core.Upstream().ID == ""
}

// checkUpstream asks the upstream itself whether it is leaving: all its responses say so.
func (n *Node) checkUpstream(ctx context.Context) (leaving bool, err error) {
	cfg := n.config.Load()
	if cfg == nil || cfg.Services[n.settings.Service].HealthPath == "" {
		return false, errors.Wrap(errNotVerified, "the path of the health check is not known")
	}
	evacuated := false
	n.withCore(func(*sequoiaowner.Core) { evacuated = n.evacuated() })
	if evacuated {
		return false, errors.Wrap(errNotVerified, "the failure domain is being evacuated")
	}
	path := cfg.Services[n.settings.Service].HealthPath
	ctx, cancel := context.WithTimeout(ctx, upstreamCheckTimeout)
	defer cancel()
	sent := time.Now()
	n.withCore(func(*sequoiaowner.Core) { n.noteStart("") })
	resp, err := n.upstreamClient.Do(ctx, n.settings.Upstream, &sequoiahttp.Request{Method: http.MethodGet, Path: path, OwnConnection: true})
	if err != nil {
		return false, errors.Wrap(errNotVerified, err.Error())
	}
	v := n.dialect.ReadResponse(resp.Status, resp.Header)
	leaving = v.Leaving
	n.log.Event("upstream checked", "Status", resp.Status, "Leaving", leaving)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.predecessor.complete = true
	n.noteWarmupResponse(time.Now(), sent, v)
	return leaving, nil
}

// applyAnnouncement updates the local upstream from an announcement. It ignores an announcement that is outdated or
// does not match the configured service or address.
func (n *Node) applyAnnouncement(a Announcement) {
	n.mu.Lock()
	now := sequoiatimer.BootTime()
	old := n.core.Upstream()
	same := old.ID == a.Upstream.ID && old.Born == a.Upstream.Born
	outdated := a.Upstream.Born < n.predecessor.upstream.Born || !a.Deregistered && same && a.Sequence <= n.sequence
	if outdated || a.Upstream.Service != n.settings.Service || a.Address.IsValid() && a.Address != n.settings.Upstream ||
		!n.core.SetUpstream(now, a.Upstream) {
		n.mu.Unlock()
		return
	}
	if !a.Deregistered {
		n.sequence = a.Sequence
		n.queue.SetSlots(a.Upstream.Slots)
	}
	u := n.core.Upstream()
	if !same {
		n.recordUpstreamEnd(old)
		n.leavingSince = time.Time{}
		n.applyLastStart(time.Now())
		n.limit = rateLimit{}
		n.warmUntil = time.Now().Add(a.WarmUp)
	}
	if !a.Deregistered {
		n.noteWarmupAnnouncement(a, !same)
	}
	if !same {
		n.applyLimit(time.Now())
	}
	if u.Leaving && n.leavingSince.IsZero() {
		since := time.Now()
		if old.ID == "" {
			// The upstream may have been leaving since before this process started, and other processes may know it.
			since = n.drainedSince()
		}
		n.beginDrain(since)
	}
	changed := u != old
	n.mu.Unlock()
	if changed {
		n.log.Event("upstream announced", "Upstream", u.ID, "Born", u.Born, "Slots", u.Slots, "Leaving", u.Leaving, "Gone", a.Deregistered)
		n.memberChanged()
	}
}

// deregistered returns the upstream that deregisters, as it is known. Nothing is known at a process that has just started
// for the first time; the upstream is then taken to have started by now, so that later announcements of it are outdated. ok
// is false if it cannot be told whether another one is known that started later.
func (n *Node) deregistered(named sequoiaowner.Upstream) (u sequoiaowner.Upstream, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current, earlier := n.core.Upstream(), n.predecessor.upstream
	for _, u := range []sequoiaowner.Upstream{current, earlier} {
		if u.ID == named.ID && (named.Born == 0 || named.Born == u.Born) {
			u.Leaving = true
			return u, true
		}
	}
	u = sequoiaowner.Upstream{ID: named.ID, Born: named.Born, Service: n.settings.Service, Slots: defaultSlots, Leaving: true}
	if u.Born == 0 {
		u.Born = time.Now().UnixMilli()
		ok = current.ID == "" && earlier.ID == ""
		return u, ok
	}
	return u, true
}

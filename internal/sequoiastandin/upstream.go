package sequoiastandin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// AnnounceInterval is the time between two announcements of an upstream.
const AnnounceInterval = 250 * time.Millisecond

// maxExecutions limits the execution records in memory. Further ones are counted and written to the record file only.
const maxExecutions = 1 << 21

// Values of the header Sequoia-Refused, which gives the reason why a request was not executed.
const (
	refusedStaleGrant     = "StaleGrant"
	refusedShed           = "Shed"
	refusedDraining       = "Draining"
	refusedDeadlinePassed = "DeadlinePassed"
)

// UpstreamConfig describes an upstream.
type UpstreamConfig struct {
	Name    string
	Service string
	// Listen is the address that the upstream listens on. Port 0 selects a free port.
	Listen netip.AddrPort
	// Process is the local HTTP address of the process on the same instance. The zero value disables announcements.
	Process     netip.AddrPort
	ServiceTime time.Duration
	// ConnectionCost is added to the service time of the first request of a connection.
	ConnectionCost time.Duration
	Slots          int
	Connections    int
	ChecksGrants   bool
	// ColdStartDuration is the time after the start during which the service time is multiplied by ColdStartFactor.
	ColdStartDuration time.Duration
	ColdStartFactor   float64
	// AnswerPadding is the number of filler bytes in each answer.
	AnswerPadding int
	// DisableChecks disables the checks of grants, epochs and deadlines, although the upstream may announce that it
	// checks grants. It lets a test prove that it detects the faults that the checks prevent.
	DisableChecks bool
	// RecordFile is the path of the file to which execution records are appended as JSON lines, empty for none.
	RecordFile string
}

// UpstreamFaults configures the faults that an upstream injects.
type UpstreamFaults struct {
	// Frozen suspends all progress, announcements included, and keeps the state. Requests in progress resume once it is
	// false again.
	Frozen bool
	// Draining makes the upstream refuse new requests and announce that it is draining.
	Draining bool
	// CommitsLate skips the deadline check before a request takes effect.
	CommitsLate bool
	// ServiceTimeMilliseconds replaces the configured service time if it is not zero.
	ServiceTimeMilliseconds int
	// LoadFactor multiplies the reported load if it is not zero.
	LoadFactor float64
	// LoadLagMilliseconds is the age of the reported load.
	LoadLagMilliseconds int
	// Unhealthy makes the health endpoint and the announcements report the upstream as unhealthy.
	Unhealthy bool
}

type grant struct {
	incarnation sequoiatable.IncarnationID
	expires     time.Time
}

type loadSample struct {
	at        time.Time
	busySlots int
}

// Upstream is an HTTP server with a fixed number of slots that records each request it runs.
type Upstream struct {
	cfg      UpstreamConfig
	listener *listener
	started  time.Time
	padding  string
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu sync.Mutex
	// changed is closed and replaced when a fault or the number of busy slots changes.
	changed       chan struct{}
	faults        UpstreamFaults
	process       netip.AddrPort
	busySlots     int
	grant         grant
	highestEpochs map[string]sequoiatable.Epoch
	loadSamples   []loadSample
	executions    []sequoiachecker.Execution
	overflow      int
	recordFile    *os.File
}

// StartUpstream starts an upstream, which announces itself periodically.
func StartUpstream(cfg UpstreamConfig) (*Upstream, error) {
	u := &Upstream{
		cfg: cfg, process: cfg.Process, started: time.Now(), changed: make(chan struct{}),
		padding: strings.Repeat("x", cfg.AnswerPadding), highestEpochs: map[string]sequoiatable.Epoch{},
		client: &http.Client{Timeout: AnnounceInterval, Transport: &http.Transport{}},
	}
	if cfg.RecordFile != "" {
		f, err := os.OpenFile(cfg.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "open record file")
		}
		u.recordFile = f
	}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	l, err := listen(cfg.Listen, u.serve)
	if err != nil {
		return nil, err
	}
	u.listener = l
	u.done.Add(1)
	go u.announceLoop()
	return u, nil
}

// Addr returns the address that the upstream listens on.
func (u *Upstream) Addr() netip.AddrPort {
	return u.listener.addr
}

// Close stops the upstream at once, like a killed process. Requests in progress do not take effect.
func (u *Upstream) Close() {
	u.cancel()
	u.listener.close()
	u.done.Wait()
	u.client.CloseIdleConnections()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.recordFile != nil {
		_ = u.recordFile.Close()
		u.recordFile = nil
	}
}

// Faults returns the current faults.
func (u *Upstream) Faults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// SetFaults replaces the current faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	u.broadcast()
}

// SetFrozen freezes or resumes the upstream.
func (u *Upstream) SetFrozen(frozen bool) {
	f := u.Faults()
	f.Frozen = frozen
	u.SetFaults(f)
}

// SetProcess changes the process that the upstream announces itself to.
func (u *Upstream) SetProcess(addr netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.process = addr
}

// Drain makes the upstream refuse new requests and waits until none is in progress or the context is done.
func (u *Upstream) Drain(ctx context.Context) error {
	f := u.Faults()
	f.Draining = true
	u.SetFaults(f)
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.busySlots > 0 {
		if err := u.awaitChange(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Executions returns a copy of the execution records in memory and the number of records beyond maxExecutions.
func (u *Upstream) Executions() (list []sequoiachecker.Execution, overflow int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append(list, u.executions...), u.overflow
}

func (u *Upstream) broadcast() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// awaitChange waits for a change of the faults or of the busy slots. The caller holds the lock, which is released
// during the wait.
func (u *Upstream) awaitChange(ctx context.Context) error {
	changed := u.changed
	u.mu.Unlock()
	defer u.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitWhileFrozen returns once the upstream is not frozen. It returns false if the upstream was closed.
func (u *Upstream) waitWhileFrozen() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.faults.Frozen {
		if u.awaitChange(u.ctx) != nil {
			return false
		}
	}
	return u.ctx.Err() == nil
}

// request holds the headers and the body of a request.
type request struct {
	key         string
	id          string
	epoch       sequoiatable.Epoch
	incarnation sequoiatable.IncarnationID
	// deadline is zero if the request has none.
	deadline time.Time
	body     []byte
}

func parseRequest(r *http.Request) (request, error) {
	q := request{key: r.Header.Get("Sequoia-Key"), id: r.Header.Get("Sequoia-Request-Id")}
	if s := r.Header.Get("Sequoia-Epoch"); s != "" {
		v, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return q, errors.Wrap(err, "Sequoia-Epoch")
		}
		q.epoch = sequoiatable.Epoch(v)
	}
	if s := r.Header.Get("Sequoia-Incarnation"); s != "" {
		v, err := sequoiatable.ParseIncarnationID(s)
		if err != nil {
			return q, errors.Wrap(err, "Sequoia-Incarnation")
		}
		q.incarnation = v
	}
	if s := r.Header.Get("Sequoia-Deadline"); s != "" {
		v, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return q, errors.Wrap(err, "Sequoia-Deadline")
		}
		q.deadline = time.UnixMilli(v)
	}
	var err error
	q.body, err = io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if len(q.body) > maxBodyBytes {
		return q, errors.Errorf("body: more than %d bytes", maxBodyBytes)
	}
	return q, errors.Wrap(err, "body")
}

func (q *request) expired(now time.Time) bool {
	return !q.deadline.IsZero() && !now.Before(q.deadline)
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		u.serveControl(w, r)
		return
	}
	if !u.waitWhileFrozen() {
		dropConnection(w)
		return
	}
	if r.URL.Path == "/health" {
		u.serveHealth(w)
		return
	}
	q, err := parseRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := u.begin(&q); reason != "" {
		refuse(w, reason)
		return
	}
	start := time.Now()
	finished := u.simulateWork(r, &q)
	reason, committed := u.end(&q, start, finished)
	switch {
	case committed:
		writeJSON(w, http.StatusOK, sequoiachecker.NewAnswer(u.cfg.Name, q.id, q.key, q.body, u.padding))
	case reason != "":
		refuse(w, reason)
	default:
		dropConnection(w)
	}
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Sequoia-Refused", reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// begin takes a slot for a request, or returns the reason why the request is refused.
func (u *Upstream) begin(q *request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Draining {
		return refusedDraining
	}
	if reason := u.refusalReason(q, true); reason != "" {
		return reason
	}
	if u.busySlots >= u.cfg.Slots {
		return refusedShed
	}
	u.busySlots++
	if q.key != "" {
		u.highestEpochs[q.key] = max(u.highestEpochs[q.key], q.epoch)
	}
	return ""
}

// refusalReason returns the reason why a request may not start or take effect, empty if it may.
func (u *Upstream) refusalReason(q *request, checkDeadline bool) string {
	if u.cfg.DisableChecks {
		return ""
	}
	now := time.Now()
	if checkDeadline && q.expired(now) {
		return refusedDeadlinePassed
	}
	if !u.cfg.ChecksGrants {
		return ""
	}
	stale := q.incarnation != u.grant.incarnation || !now.Before(u.grant.expires) || q.epoch < u.highestEpochs[q.key]
	if stale {
		return refusedStaleGrant
	}
	return ""
}

// simulateWork waits for the service time, at most until the request's deadline if that is checked. It returns false if
// the request was cancelled or the upstream was closed before the end.
func (u *Upstream) simulateWork(r *http.Request, q *request) bool {
	d := u.serviceTime(r)
	if !q.deadline.IsZero() && !u.Faults().CommitsLate && !u.cfg.DisableChecks {
		d = min(d, time.Until(q.deadline))
	}
	t := time.NewTimer(d)
	defer t.Stop()
	finished := true
	select {
	case <-t.C:
	case <-r.Context().Done():
		finished = false
	case <-u.ctx.Done():
		return false
	}
	return u.waitWhileFrozen() && finished
}

func (u *Upstream) serviceTime(r *http.Request) time.Duration {
	d := u.cfg.ServiceTime
	if ms := u.Faults().ServiceTimeMilliseconds; ms != 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	if time.Since(u.started) < u.cfg.ColdStartDuration {
		d = time.Duration(float64(d) * u.cfg.ColdStartFactor)
	}
	if isNewConnection(r) {
		d += u.cfg.ConnectionCost
	}
	return d
}

// end releases the slot and records the request. It returns a reason if the request was refused before taking effect.
func (u *Upstream) end(q *request, start time.Time, finished bool) (reason string, committed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if finished {
		reason = u.refusalReason(q, !u.faults.CommitsLate)
		committed = reason == ""
	}
	u.busySlots--
	u.record(sequoiachecker.Execution{
		Upstream: u.cfg.Name, Service: u.cfg.Service, Key: q.key, Epoch: q.epoch, Incarnation: q.incarnation,
		RequestID: q.id, Start: start, End: time.Now(), Committed: committed,
	})
	u.broadcast()
	return reason, committed
}

// record stores an execution record. It runs before the response is sent, so that a kill after the response leaves no
// answered request without a record.
func (u *Upstream) record(e sequoiachecker.Execution) {
	if len(u.executions) < maxExecutions {
		u.executions = append(u.executions, e)
	} else {
		u.overflow++
	}
	if u.recordFile == nil {
		return
	}
	if data, err := json.Marshal(e); err == nil {
		_, _ = u.recordFile.Write(append(data, '\n'))
	}
}

func (u *Upstream) serveControl(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/control/faults" && r.Method == http.MethodPost:
		var f UpstreamFaults
		if readJSON(w, r, &f) {
			u.SetFaults(f)
			writeJSON(w, http.StatusOK, f)
		}
	case r.URL.Path == "/control/faults":
		writeJSON(w, http.StatusOK, u.Faults())
	case r.URL.Path == "/control/executions":
		list, _ := u.Executions()
		writeJSON(w, http.StatusOK, list)
	default:
		http.Error(w, "no such resource", http.StatusNotFound)
	}
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	if u.Faults().Unhealthy {
		http.Error(w, "not healthy", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

type connKey struct{}

// connState records whether a connection has received a request.
type connState struct {
	mu         sync.Mutex
	hasRequest bool
}

func connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connState{})
}

// isNewConnection reports whether the request is the first of its connection.
func isNewConnection(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*connState)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reused := c.hasRequest
	c.hasRequest = true
	return !reused
}

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

// maxExecutions bounds the execution records in memory. Later ones go to the record file only and are counted.
const maxExecutions = 1 << 21

// Reasons in the header Sequoia-Refused. The request was not run.
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
	// Listen is the address of the upstream, port 0 for a free one.
	Listen netip.AddrPort
	// Process is the local HTTP address of the process beside it; the zero value announces to none.
	Process     netip.AddrPort
	ServiceTime time.Duration
	// ConnectionCost is added to the first request of a connection.
	ConnectionCost time.Duration
	Slots          int
	Connections    int
	ChecksGrants   bool
	// ColdTime is the time after the start during which the service time is multiplied by ColdFactor.
	ColdTime   time.Duration
	ColdFactor float64
	// AnswerPadding is the number of bytes added to each answer.
	AnswerPadding int
	// WithoutChecks removes the checks of grants, epochs and deadlines, though the upstream announces that it checks
	// grants. A test shows with it that it detects the faults which the checks prevent.
	WithoutChecks bool
	// RecordFile receives the execution records as JSON lines if it is not empty.
	RecordFile string
}

// UpstreamFaults says how an upstream misbehaves.
type UpstreamFaults struct {
	// Frozen stops all progress, the announcements included, and keeps the state. Requests in progress continue where
	// they were once it is false again.
	Frozen bool
	// Draining refuses new requests and is announced.
	Draining bool
	// CommitsLate leaves out the check of the deadline before a request takes effect.
	CommitsLate bool
	// ServiceTimeMilliseconds replaces the configured service time if it is not zero.
	ServiceTimeMilliseconds int
	// LoadFactor multiplies the reported load if it is not zero.
	LoadFactor float64
	// LoadLagMilliseconds is the age of the load that is reported.
	LoadLagMilliseconds int
	// Unhealthy makes the health endpoint and the announcements say that the upstream is not healthy.
	Unhealthy bool
}

type grant struct {
	incarnation sequoiatable.IncarnationID
	expires     time.Time
}

type loadSample struct {
	at   time.Time
	busy int
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
	changed    chan struct{}
	faults     UpstreamFaults
	process    netip.AddrPort
	busy       int
	grant      grant
	epochs     map[string]sequoiatable.Epoch
	samples    []loadSample
	executions []sequoiachecker.Execution
	overflow   int
	file       *os.File
}

// StartUpstream starts an upstream and its announcements.
func StartUpstream(cfg UpstreamConfig) (*Upstream, error) {
	u := &Upstream{
		cfg: cfg, process: cfg.Process, started: time.Now(), changed: make(chan struct{}),
		padding: strings.Repeat("x", cfg.AnswerPadding), epochs: map[string]sequoiatable.Epoch{},
		client: &http.Client{Timeout: AnnounceInterval, Transport: &http.Transport{}},
	}
	if cfg.RecordFile != "" {
		f, err := os.OpenFile(cfg.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "open the record file")
		}
		u.file = f
	}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	l, err := listen(cfg.Listen, u.serve)
	if err != nil {
		return nil, err
	}
	u.listener = l
	u.done.Add(1)
	go u.announceAll()
	return u, nil
}

// Addr returns the address that the upstream listens on.
func (u *Upstream) Addr() netip.AddrPort {
	return u.listener.addr
}

// Close ends the upstream at once, as a kill does. Requests in progress do not take effect.
func (u *Upstream) Close() {
	u.cancel()
	u.listener.close()
	u.done.Wait()
	u.client.CloseIdleConnections()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.file != nil {
		_ = u.file.Close()
		u.file = nil
	}
}

// Faults returns the faults in force.
func (u *Upstream) Faults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// SetFaults replaces the faults in force.
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

// Drain refuses new requests and waits until none is in progress or the context ends.
func (u *Upstream) Drain(ctx context.Context) error {
	f := u.Faults()
	f.Draining = true
	u.SetFaults(f)
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.busy > 0 {
		if err := u.await(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Executions returns a copy of the execution records and the number of those that did not fit into memory.
func (u *Upstream) Executions() (list []sequoiachecker.Execution, overflow int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append(list, u.executions...), u.overflow
}

func (u *Upstream) broadcast() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// await waits for a change. The caller holds the lock, which is released meanwhile.
func (u *Upstream) await(ctx context.Context) error {
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

// thaw returns once the upstream is not frozen. It returns false if the upstream was closed.
func (u *Upstream) thaw() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.faults.Frozen {
		if u.await(u.ctx) != nil {
			return false
		}
	}
	return u.ctx.Err() == nil
}

// request is what the upstream reads from a request's headers.
type request struct {
	key         string
	id          string
	epoch       sequoiatable.Epoch
	incarnation sequoiatable.IncarnationID
	// deadline is zero if there is none.
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
	if !u.thaw() {
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
	finished := u.work(r, &q)
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

// begin takes a slot, or returns the reason why the request is not run.
func (u *Upstream) begin(q *request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Draining {
		return refusedDraining
	}
	if reason := u.check(q, true); reason != "" {
		return reason
	}
	if u.busy >= u.cfg.Slots {
		return refusedShed
	}
	u.busy++
	if q.key != "" {
		u.epochs[q.key] = max(u.epochs[q.key], q.epoch)
	}
	return ""
}

// check returns the reason why a request may not run or take effect.
func (u *Upstream) check(q *request, deadline bool) string {
	if u.cfg.WithoutChecks {
		return ""
	}
	now := time.Now()
	if deadline && q.expired(now) {
		return refusedDeadlinePassed
	}
	if !u.cfg.ChecksGrants {
		return ""
	}
	stale := q.incarnation != u.grant.incarnation || !now.Before(u.grant.expires) || q.epoch < u.epochs[q.key]
	if stale {
		return refusedStaleGrant
	}
	return ""
}

// work takes the service time. It returns false if the request was cancelled or the upstream was closed meanwhile.
func (u *Upstream) work(r *http.Request, q *request) bool {
	d := u.serviceTime(r)
	if !q.deadline.IsZero() && !u.Faults().CommitsLate && !u.cfg.WithoutChecks {
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
	return u.thaw() && finished
}

func (u *Upstream) serviceTime(r *http.Request) time.Duration {
	d := u.cfg.ServiceTime
	if ms := u.Faults().ServiceTimeMilliseconds; ms != 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	if time.Since(u.started) < u.cfg.ColdTime {
		d = time.Duration(float64(d) * u.cfg.ColdFactor)
	}
	if isNewConnection(r) {
		d += u.cfg.ConnectionCost
	}
	return d
}

// end gives the slot back and records the request. A reason is set if the request may not take effect.
func (u *Upstream) end(q *request, start time.Time, finished bool) (reason string, committed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if finished {
		reason = u.check(q, !u.faults.CommitsLate)
		committed = reason == ""
	}
	u.busy--
	u.record(sequoiachecker.Execution{
		Upstream: u.cfg.Name, Service: u.cfg.Service, Key: q.key, Epoch: q.epoch, Incarnation: q.incarnation,
		RequestID: q.id, Start: start, End: time.Now(), Committed: committed,
	})
	u.broadcast()
	return reason, committed
}

// record is written before the response, so that a kill after it leaves no request without a record.
func (u *Upstream) record(e sequoiachecker.Execution) {
	if len(u.executions) < maxExecutions {
		u.executions = append(u.executions, e)
	} else {
		u.overflow++
	}
	if u.file == nil {
		return
	}
	if data, err := json.Marshal(e); err == nil {
		_, _ = u.file.Write(append(data, '\n'))
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

// connState counts the requests of one connection.
type connState struct {
	mu   sync.Mutex
	used bool
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
	used := c.used
	c.used = true
	return !used
}

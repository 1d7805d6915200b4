// Package sequoialog writes decisions as JSON lines, without making the deciding goroutine wait for the output.
package sequoialog

import (
	"io"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// The messages of the lines.
	placementLine = "placement"
	routingLine   = "routing"
	faultLine     = "fault"
	// timeFormat shows microseconds. Times are in UTC.
	timeFormat = "2006-01-02T15:04:05.000000Z07:00"
	// placementBuffer is the number of placement lines that may wait. The loss of a failure domain writes about 700. If
	// the output is blocked for longer than the buffer lasts, later lines are lost and counted: the deciding goroutine
	// also renews the lease, which ends after 1 s, so it may not wait for an output.
	placementBuffer = 16384
	// routingBuffer is the number of routing lines that may wait. Beyond it they are summarized.
	routingBuffer = 4096
	// defaultRate is the number of routing lines per second.
	defaultRate = 100
	// summaryInterval is the interval of the summary line, and the period of the rate.
	summaryInterval = time.Second
	// closeTimeout bounds Close when the output is blocked.
	closeTimeout = 2 * time.Second
	// maxReasons bounds the reasons counted in one summary; the rest are counted as otherReasons.
	maxReasons   = 64
	otherReasons = "Other"
	// answeredOutcome is the outcome of the requests that are sampled.
	answeredOutcome = "Answered"
)

// Decision is the content of one line.
type Decision struct {
	// Time is when the decision was made; zero means now.
	Time time.Time
	// Name says what was decided, for example Route or Takeover.
	Name    string
	Service string
	Key     string
	// Shards are logged as ranges.
	Shards   []uint32
	Owner    sequoiatable.IncarnationID
	Previous sequoiatable.IncarnationID
	// OwnerInstance and PreviousInstance name the instances of Owner and Previous, empty if they are not known.
	OwnerInstance    string
	PreviousInstance string
	Epoch            sequoiatable.Epoch
	Outcome          string
	Reason           string
	fault            bool
}

// Logger writes lines from a goroutine of its own.
type Logger struct {
	out       *log.Logger
	rate      int
	instance  string
	timers    *sequoiatimer.Service
	summary   *sequoiatimer.Subscription
	placement chan Decision
	routing   chan Decision
	rejected  chan rejection
	flush     chan struct{}
	done      chan struct{}
	closing   sync.Once
	writer    sync.WaitGroup
	failures  atomic.Uint64
	lost      atomic.Uint64
	answered  atomic.Uint64
	sample    uint64
	// lineTime is the time of the line being written. Only the writer's goroutine uses it.
	lineTime time.Time
	// reported is how many of the lost lines a line has told of. Only the writer's goroutine uses it.
	reported uint64

	mu         sync.Mutex
	admitted   int
	suppressed map[string]uint64
}

// rejection is a peer that failed authentication or sent a wrong message.
type rejection struct {
	time time.Time
	peer netip.AddrPort
	err  error
}

// Option changes a Logger under construction.
type Option func(*Logger)

// WithRate sets the number of routing lines per second; zero summarizes all of them.
func WithRate(linesPerSecond int) Option {
	return func(l *Logger) { l.rate = linesPerSecond }
}

// WithSample writes one in n routing lines of answered requests; by default each.
func WithSample(n int) Option {
	return func(l *Logger) { l.sample = uint64(max(1, n)) }
}

// WithInstance adds the instance's name to each line.
func WithInstance(name string) Option {
	return func(l *Logger) { l.instance = name }
}

// WithTimers sets the timer service that drives the summaries.
func WithTimers(s *sequoiatimer.Service) Option {
	return func(l *Logger) { l.timers = s }
}

// New returns a Logger that writes to w.
func New(w io.Writer, opts ...Option) *Logger {
	l := &Logger{
		rate:       defaultRate,
		sample:     1,
		timers:     sequoiatimer.New(),
		placement:  make(chan Decision, placementBuffer),
		routing:    make(chan Decision, routingBuffer),
		rejected:   make(chan rejection, routingBuffer),
		flush:      make(chan struct{}, 1),
		done:       make(chan struct{}),
		suppressed: map[string]uint64{},
	}
	for _, opt := range opts {
		opt(l)
	}
	l.out = log.NewWithOptions(&countingWriter{w: w, failures: &l.failures}, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		// A line is written later than its decision is made.
		TimeFunction: func(time.Time) time.Time { return l.lineTime.UTC() },
	})
	if l.instance != "" {
		l.out = l.out.With("Instance", l.instance)
	}
	l.summary = l.timers.Every(summaryInterval, func(time.Time) { l.requestSummary() })
	l.writer.Go(l.run)
	return l
}

// Placement logs a placement decision or a fault. It never waits: a line that finds the buffer full, because the output
// is blocked, is counted by Lost and told of by a line once the output takes lines again.
func (l *Logger) Placement(d Decision) {
	l.stamp(&d)
	select {
	case l.placement <- d:
	default:
		l.lost.Add(1)
	}
}

// Fault logs a fault of the process's surroundings, under the same bound as Placement.
func (l *Logger) Fault(name string, err error) {
	l.Placement(Decision{Name: name, Reason: err.Error(), fault: true})
}

// Routing logs a routing decision, or counts it for the next summary if the rate or the buffer is exceeded. Of answered
// requests it considers one in as many as WithSample says.
func (l *Logger) Routing(d Decision) {
	if d.Outcome == answeredOutcome && l.sample > 1 && l.answered.Add(1)%l.sample != 1 {
		return
	}
	l.stamp(&d)
	if !l.admit(reasonOf(d)) {
		return
	}
	select {
	case l.routing <- d:
	default:
		l.suppress(reasonOf(d))
	}
}

// PeerRejected logs a peer that failed authentication or sent a wrong message, under the same limits as Routing.
func (l *Logger) PeerRejected(peer netip.AddrPort, err error) {
	const reason = "PeerRejected"
	if !l.admit(reason) {
		return
	}
	select {
	case l.rejected <- rejection{time: l.timers.Now(), peer: peer, err: err}:
	default:
		l.suppress(reason)
	}
}

// WriteFailures returns the number of lines that the output did not take.
func (l *Logger) WriteFailures() uint64 {
	return l.failures.Load()
}

// Lost returns the number of placement lines that were lost because the output was blocked.
func (l *Logger) Lost() uint64 {
	return l.lost.Load()
}

// Close writes what waits and a last summary. Decisions made after it are not logged. It gives up after closeTimeout if
// the output is blocked.
func (l *Logger) Close() {
	l.closing.Do(func() {
		l.summary.Cancel()
		close(l.done)
	})
	sequoiatimer.WaitWithTimeout(&l.writer, closeTimeout)
}

func (l *Logger) stamp(d *Decision) {
	if d.Time.IsZero() {
		d.Time = l.timers.Now()
	}
}

func reasonOf(d Decision) string {
	if d.Reason != "" {
		return d.Reason
	}
	return d.Outcome
}

// admit counts a line against the rate and returns false if it is summarized instead.
func (l *Logger) admit(reason string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.admitted < l.rate {
		l.admitted++
		return true
	}
	l.count(reason)
	return false
}

func (l *Logger) suppress(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(reason)
}

// count requires mu.
func (l *Logger) count(reason string) {
	if _, known := l.suppressed[reason]; !known && len(l.suppressed) >= maxReasons {
		reason = otherReasons
	}
	l.suppressed[reason]++
}

func (l *Logger) requestSummary() {
	select {
	case l.flush <- struct{}{}:
	default:
	}
}

func (l *Logger) run() {
	for {
		select {
		case d := <-l.placement:
			l.writeDecision(placementKind(d), d)
			continue
		default:
		}
		select {
		case d := <-l.placement:
			l.writeDecision(placementKind(d), d)
		case d := <-l.routing:
			l.writeDecision(routingLine, d)
		case r := <-l.rejected:
			l.writeRejection(r)
		case <-l.flush:
			l.writeSummary()
		case <-l.done:
			l.drain()
			return
		}
	}
}

// drain writes what waits when the logger is closed.
func (l *Logger) drain() {
	for {
		select {
		case d := <-l.placement:
			l.writeDecision(placementKind(d), d)
		case d := <-l.routing:
			l.writeDecision(routingLine, d)
		case r := <-l.rejected:
			l.writeRejection(r)
		default:
			l.writeSummary()
			return
		}
	}
}

func placementKind(d Decision) string {
	if d.fault {
		return faultLine
	}
	return placementLine
}

func (l *Logger) writeDecision(kind string, d Decision) {
	l.lineTime = d.Time
	fields := make([]any, 0, 22)
	add := func(name string, value any, known bool) {
		if known {
			fields = append(fields, name, value)
		}
	}
	add("Decision", d.Name, true)
	add("Service", d.Service, d.Service != "")
	add("Key", d.Key, d.Key != "")
	add("Shards", ranges(d.Shards), len(d.Shards) > 0)
	add("Owner", d.Owner.String(), d.Owner != 0)
	add("OwnerInstance", d.OwnerInstance, d.OwnerInstance != "")
	add("Previous", d.Previous.String(), d.Previous != 0)
	add("PreviousInstance", d.PreviousInstance, d.PreviousInstance != "")
	add("Epoch", uint64(d.Epoch), d.Epoch != 0)
	add("Outcome", d.Outcome, d.Outcome != "")
	add("Reason", d.Reason, d.Reason != "")
	if kind == faultLine {
		l.out.Warn(kind, fields...)
		return
	}
	l.out.Info(kind, fields...)
}

func (l *Logger) writeRejection(r rejection) {
	l.lineTime = r.time
	l.out.Warn("peer rejected", "Peer", r.peer.String(), "Reason", r.err.Error())
}

// writeSummary starts a new period of the rate. It writes nothing if all lines of the last one were written.
func (l *Logger) writeSummary() {
	l.writeLost()
	l.mu.Lock()
	counts := l.suppressed
	l.suppressed = map[string]uint64{}
	l.admitted = 0
	l.mu.Unlock()
	if len(counts) == 0 {
		return
	}
	var total uint64
	for n := range maps.Values(counts) {
		total += n
	}
	l.lineTime = l.timers.Now()
	l.out.Info("routing summary", "Lines", total, "Reasons", counts)
}

// writeLost tells of placement lines lost since the last such line. Whoever reads the log for ownership then knows that
// it has a gap.
func (l *Logger) writeLost() {
	lost := l.lost.Load()
	if lost == l.reported {
		return
	}
	l.lineTime = l.timers.Now()
	l.out.Error("placement lines lost", "Lines", lost-l.reported, "Reason", "OutputBlocked")
	l.reported = lost
}

// ranges formats shard numbers, for example "0-3,7".
func ranges(shards []uint32) string {
	sorted := slices.Compact(slices.Sorted(slices.Values(shards)))
	var b []byte
	for i := 0; i < len(sorted); {
		end := i
		for end+1 < len(sorted) && sorted[end+1] == sorted[end]+1 {
			end++
		}
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, uint64(sorted[i]), 10)
		if end > i {
			b = append(b, '-')
			b = strconv.AppendUint(b, uint64(sorted[end]), 10)
		}
		i = end + 1
	}
	return string(b)
}

// countingWriter counts failed writes, which the log library ignores.
type countingWriter struct {
	w        io.Writer
	failures *atomic.Uint64
}

// Write passes b on.
func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		c.failures.Add(1)
	}
	return n, err
}

// Package sequoialog logs decisions as JSON lines without blocking the goroutine that makes them.
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
	// Messages of the log lines.
	placementMessage = "placement"
	routingMessage   = "routing"
	faultMessage     = "fault"
	// timeFormat has microsecond precision. Times are in UTC.
	timeFormat = "2006-01-02T15:04:05.000000Z07:00"
	// placementBuffer is the number of placement lines that can be buffered. The loss of a failure domain logs about
	// 700. If the output is blocked until the buffer is full, further lines are dropped and counted: the goroutine that
	// calls Placement also renews the lease, which expires after 1 s, so it must not wait for the output.
	placementBuffer = 16384
	// routingBuffer is the number of routing lines that can be buffered. Further ones are summarized.
	routingBuffer = 4096
	// defaultLinesPerSecond is the default limit on routing lines per second.
	defaultLinesPerSecond = 100
	// summaryInterval is the interval between summary lines and the period of the rate limit.
	summaryInterval = time.Second
	// closeTimeout limits the duration of Close while the output is blocked.
	closeTimeout = 2 * time.Second
	// maxReasons is the maximum number of reasons counted in one summary; the others are counted as otherReasons.
	maxReasons   = 64
	otherReasons = "Other"
	// answeredOutcome is the outcome whose routing lines are sampled.
	answeredOutcome = "Answered"
)

// Decision is the content of a log line.
type Decision struct {
	// Time is when the decision was made. Zero means the current time.
	Time time.Time
	// Name is the kind of decision, for example Route or Takeover.
	Name    string
	Service string
	Key     string
	// Shards are logged as ranges.
	Shards   []uint32
	Owner    sequoiatable.IncarnationID
	Previous sequoiatable.IncarnationID
	// OwnerInstance and PreviousInstance are the instance names of Owner and Previous, empty if unknown.
	OwnerInstance    string
	PreviousInstance string
	Epoch            sequoiatable.Epoch
	Outcome          string
	Reason           string
	fault            bool
}

// Logger writes decisions, faults and rejected peers as log lines from a background goroutine. It limits the rate of
// all but placement decisions and faults. For lines with other fields, see Events.
type Logger struct {
	out            *log.Logger
	linesPerSecond int
	instance       string
	timers         *sequoiatimer.Service
	summary        *sequoiatimer.Subscription
	placement      chan Decision
	routing        chan Decision
	rejected       chan peerRejection
	summaryDue     chan struct{}
	done           chan struct{}
	closeOnce      sync.Once
	writer         sync.WaitGroup
	failures       atomic.Uint64
	lost           atomic.Uint64
	answered       atomic.Uint64
	sampleOneIn    uint64
	// lineTime is the timestamp of the line being written. Only the writer goroutine uses it.
	lineTime time.Time
	// reportedLost is the number of lost lines that have been reported. Only the writer goroutine uses it.
	reportedLost uint64

	mu         sync.Mutex
	allowed    int
	suppressed map[string]uint64
}

// peerRejection describes a peer that failed authentication or sent an invalid message.
type peerRejection struct {
	time time.Time
	peer netip.AddrPort
	err  error
}

// Option changes a Logger under construction.
type Option func(*Logger)

// WithRate limits the routing lines per second; with zero, all of them are only summarized.
func WithRate(linesPerSecond int) Option {
	return func(l *Logger) { l.linesPerSecond = linesPerSecond }
}

// WithSample logs one in n routing decisions of answered requests. The default is 1.
func WithSample(n int) Option {
	return func(l *Logger) { l.sampleOneIn = uint64(max(1, n)) }
}

// WithInstance adds the instance name to each line.
func WithInstance(name string) Option {
	return func(l *Logger) { l.instance = name }
}

// WithTimers sets the timer service that triggers the summaries and provides the time.
func WithTimers(s *sequoiatimer.Service) Option {
	return func(l *Logger) { l.timers = s }
}

// New returns a Logger that writes to w.
func New(w io.Writer, opts ...Option) *Logger {
	l := &Logger{
		linesPerSecond: defaultLinesPerSecond,
		sampleOneIn:    1,
		timers:         sequoiatimer.New(),
		placement:      make(chan Decision, placementBuffer),
		routing:        make(chan Decision, routingBuffer),
		rejected:       make(chan peerRejection, routingBuffer),
		summaryDue:     make(chan struct{}, 1),
		done:           make(chan struct{}),
		suppressed:     map[string]uint64{},
	}
	for _, opt := range opts {
		opt(l)
	}
	l.out = log.NewWithOptions(&countingWriter{w: w, failures: &l.failures}, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		// Lines are written later than the decisions are made, so they use the time of the decision.
		TimeFunction: func(time.Time) time.Time { return l.lineTime.UTC() },
	})
	if l.instance != "" {
		l.out = l.out.With("Instance", l.instance)
	}
	l.summary = l.timers.Every(summaryInterval, func(time.Time) { l.requestSummary() })
	l.writer.Go(l.run)
	return l
}

// Placement logs a placement decision or a fault. It never blocks: if the buffer is full because the output is blocked,
// the line is dropped and counted by Lost, and a later line reports the number of dropped lines.
func (l *Logger) Placement(d Decision) {
	l.setTime(&d)
	select {
	case l.placement <- d:
	default:
		l.lost.Add(1)
	}
}

// Fault logs a fault in the process's environment, with the same buffer limit as Placement.
func (l *Logger) Fault(name string, err error) {
	l.Placement(Decision{Name: name, Reason: err.Error(), fault: true})
}

// Routing logs a routing decision, or counts it for the next summary if the rate limit is exceeded or the buffer is
// full. Decisions of answered requests are sampled as set by WithSample.
func (l *Logger) Routing(d Decision) {
	if d.Outcome == answeredOutcome && l.sampleOneIn > 1 && l.answered.Add(1)%l.sampleOneIn != 1 {
		return
	}
	l.setTime(&d)
	if !l.allow(reasonOf(d)) {
		return
	}
	select {
	case l.routing <- d:
	default:
		l.suppress(reasonOf(d))
	}
}

// PeerRejected logs a peer that failed authentication or sent an invalid message, with the same limits as Routing.
func (l *Logger) PeerRejected(peer netip.AddrPort, err error) {
	const reason = "PeerRejected"
	if !l.allow(reason) {
		return
	}
	select {
	case l.rejected <- peerRejection{time: l.timers.Now(), peer: peer, err: err}:
	default:
		l.suppress(reason)
	}
}

// WriteFailures returns the number of lines that could not be written to the output.
func (l *Logger) WriteFailures() uint64 {
	return l.failures.Load()
}

// Lost returns the number of placement lines that were dropped because the output was blocked.
func (l *Logger) Lost() uint64 {
	return l.lost.Load()
}

// Close writes the buffered lines and a final summary. Later decisions are not logged. It returns after closeTimeout
// even if the output is blocked.
func (l *Logger) Close() {
	l.closeOnce.Do(func() {
		l.summary.Cancel()
		close(l.done)
	})
	sequoiatimer.WaitWithTimeout(&l.writer, closeTimeout)
}

func (l *Logger) setTime(d *Decision) {
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

// allow counts a line towards the rate limit. If the limit is reached, it counts the line for the summary and returns
// false.
func (l *Logger) allow(reason string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowed < l.linesPerSecond {
		l.allowed++
		return true
	}
	l.countSuppressed(reason)
	return false
}

func (l *Logger) suppress(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countSuppressed(reason)
}

// countSuppressed counts a line for the next summary. The caller must hold mu.
func (l *Logger) countSuppressed(reason string) {
	if _, known := l.suppressed[reason]; !known && len(l.suppressed) >= maxReasons {
		reason = otherReasons
	}
	l.suppressed[reason]++
}

func (l *Logger) requestSummary() {
	select {
	case l.summaryDue <- struct{}{}:
	default:
	}
}

func (l *Logger) run() {
	for {
		select {
		case d := <-l.placement:
			l.writeDecision(messageOf(d), d)
			continue
		default:
		}
		select {
		case d := <-l.placement:
			l.writeDecision(messageOf(d), d)
		case d := <-l.routing:
			l.writeDecision(routingMessage, d)
		case r := <-l.rejected:
			l.writeRejection(r)
		case <-l.summaryDue:
			l.writeSummary()
		case <-l.done:
			l.drain()
			return
		}
	}
}

// drain writes the buffered lines and a final summary when the logger is closed.
func (l *Logger) drain() {
	for {
		select {
		case d := <-l.placement:
			l.writeDecision(messageOf(d), d)
		case d := <-l.routing:
			l.writeDecision(routingMessage, d)
		case r := <-l.rejected:
			l.writeRejection(r)
		default:
			l.writeSummary()
			return
		}
	}
}

func messageOf(d Decision) string {
	if d.fault {
		return faultMessage
	}
	return placementMessage
}

func (l *Logger) writeDecision(message string, d Decision) {
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
	add("Shards", formatRanges(d.Shards), len(d.Shards) > 0)
	add("Owner", d.Owner.String(), d.Owner != 0)
	add("OwnerInstance", d.OwnerInstance, d.OwnerInstance != "")
	add("Previous", d.Previous.String(), d.Previous != 0)
	add("PreviousInstance", d.PreviousInstance, d.PreviousInstance != "")
	add("Epoch", uint64(d.Epoch), d.Epoch != 0)
	add("Outcome", d.Outcome, d.Outcome != "")
	add("Reason", d.Reason, d.Reason != "")
	if message == faultMessage {
		l.out.Warn(message, fields...)
		return
	}
	l.out.Info(message, fields...)
}

func (l *Logger) writeRejection(r peerRejection) {
	l.lineTime = r.time
	l.out.Warn("peer rejected", "Peer", r.peer.String(), "Reason", r.err.Error())
}

// writeSummary starts a new period of the rate limit. It writes no summary if all lines of the last period were
// written.
func (l *Logger) writeSummary() {
	l.writeLost()
	l.mu.Lock()
	counts := l.suppressed
	l.suppressed = map[string]uint64{}
	l.allowed = 0
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

// writeLost reports the placement lines lost since the last report, so that readers of the log know that the ownership
// history has a gap.
func (l *Logger) writeLost() {
	lost := l.lost.Load()
	if lost == l.reportedLost {
		return
	}
	l.lineTime = l.timers.Now()
	l.out.Error("placement lines lost", "Lines", lost-l.reportedLost, "Reason", "OutputBlocked")
	l.reportedLost = lost
}

// formatRanges formats shard numbers as ranges, for example "0-3,7".
func formatRanges(shards []uint32) string {
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

// Write writes b to the underlying writer.
func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		c.failures.Add(1)
	}
	return n, err
}

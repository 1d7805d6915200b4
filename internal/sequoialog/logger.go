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
	// timeFormat shows microseconds. Times are in UTC.
	timeFormat = "2006-01-02T15:04:05.000000Z07:00"
	// placementBuffer is the number of placement lines that may wait. Beyond it the deciding goroutine waits, since
	// none may be dropped.
	placementBuffer = 16384
	// routingBuffer is the number of routing lines that may wait. Beyond it they are summarized.
	routingBuffer = 4096
	// defaultRate is the number of routing lines per second.
	defaultRate = 100
	// summaryInterval is the interval of the summary line, and the period of the rate.
	summaryInterval = time.Second
	// maxReasons bounds the reasons counted in one summary; the rest are counted as otherReasons.
	maxReasons   = 64
	otherReasons = "Other"
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
	Epoch    sequoiatable.Epoch
	Outcome  string
	Reason   string
}

// Logger writes lines from a goroutine of its own.
type Logger struct {
	out       *log.Logger
	rate      int
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
	// lineTime is the time of the line being written. Only the writer's goroutine uses it.
	lineTime time.Time

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

// WithTimers sets the timer service that drives the summaries.
func WithTimers(s *sequoiatimer.Service) Option {
	return func(l *Logger) { l.timers = s }
}

// New returns a Logger that writes to w.
func New(w io.Writer, opts ...Option) *Logger {
	l := &Logger{
		rate:       defaultRate,
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
	l.summary = l.timers.Every(summaryInterval, func(time.Time) { l.requestSummary() })
	l.writer.Go(l.run)
	return l
}

// Placement logs a placement decision. It never drops one; it waits while the buffer is full.
func (l *Logger) Placement(d Decision) {
	l.stamp(&d)
	select {
	case l.placement <- d:
	case <-l.done:
	}
}

// Routing logs a routing decision, or counts it for the next summary if the rate or the buffer is exceeded.
func (l *Logger) Routing(d Decision) {
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

// Close writes what waits and a last summary. Decisions made after it are not logged.
func (l *Logger) Close() {
	l.closing.Do(func() {
		l.summary.Cancel()
		close(l.done)
	})
	l.writer.Wait()
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
			l.writeDecision("placement", d)
			continue
		default:
		}
		select {
		case d := <-l.placement:
			l.writeDecision("placement", d)
		case d := <-l.routing:
			l.writeDecision("routing", d)
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
			l.writeDecision("placement", d)
		case d := <-l.routing:
			l.writeDecision("routing", d)
		case r := <-l.rejected:
			l.writeRejection(r)
		default:
			l.writeSummary()
			return
		}
	}
}

func (l *Logger) writeDecision(kind string, d Decision) {
	l.lineTime = d.Time
	fields := make([]any, 0, 18)
	fields = append(
		fields, "Decision", d.Name, "Service", d.Service, "Key", d.Key, "Owner", d.Owner.String(),
		"Epoch", uint64(d.Epoch), "Outcome", d.Outcome, "Reason", d.Reason,
	)
	if len(d.Shards) > 0 {
		fields = append(fields, "Shards", ranges(d.Shards))
	}
	if d.Previous != 0 {
		fields = append(fields, "Previous", d.Previous.String())
	}
	l.out.Info(kind, fields...)
}

func (l *Logger) writeRejection(r rejection) {
	l.lineTime = r.time
	l.out.Warn("peer rejected", "Peer", r.peer.String(), "Reason", r.err.Error())
}

// writeSummary starts a new period of the rate. It writes nothing if all lines of the last one were written.
func (l *Logger) writeSummary() {
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

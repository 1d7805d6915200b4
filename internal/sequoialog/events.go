package sequoialog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// eventBuffer is the number of event lines that can be buffered while the output is slow.
	eventBuffer = 4096
	// successesPerSecond limits the lines per second for answered requests. Further ones are only counted, so that the
	// log volume does not grow with the load. Lines for failed requests are not limited.
	successesPerSecond = 100
)

// event is a log line.
type event struct {
	time    time.Time
	message string
	fields  []any
}

// Events writes JSON lines with arbitrary fields from a background goroutine. Callers never wait for the output: if the
// buffer is full, a line is dropped and counted, and a later line reports the number of dropped lines.
type Events struct {
	out      *log.Logger
	lines    chan event
	timers   *sequoiatimer.Service
	summary  *sequoiatimer.Subscription
	stop     chan struct{}
	writer   sync.WaitGroup
	lineTime atomic.Int64

	// successes is the number of answered requests since the last summary.
	successes  atomic.Int64
	suppressed atomic.Int64
	lost       atomic.Int64
}

// NewEvents returns an Events that writes to w. The fields are added to each line.
func NewEvents(w io.Writer, timers *sequoiatimer.Service, fields ...any) *Events {
	e := &Events{lines: make(chan event, eventBuffer), timers: timers, stop: make(chan struct{})}
	e.out = log.NewWithOptions(w, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: timeFormat, Level: log.DebugLevel, Fields: fields,
		TimeFunction: func(time.Time) time.Time { return time.Unix(0, e.lineTime.Load()).UTC() },
	})
	e.writer.Go(e.run)
	e.summary = timers.Every(summaryInterval, func(time.Time) { e.summarize() })
	return e
}

// Event logs a decision, a failed request or a fault.
func (e *Events) Event(message string, fields ...any) {
	select {
	case e.lines <- event{time.Now(), message, fields}:
	default:
		e.lost.Add(1)
	}
}

// Success logs an answered request, or only counts it above successesPerSecond.
func (e *Events) Success(message string, fields ...any) {
	if e.successes.Add(1) > successesPerSecond {
		e.suppressed.Add(1)
		return
	}
	e.Event(message, fields...)
}

// Lost returns the number of lines that were dropped because the buffer was full.
func (e *Events) Lost() int64 { return e.lost.Load() }

func (e *Events) summarize() {
	e.successes.Store(0)
	if n := e.suppressed.Swap(0); n > 0 {
		e.Event("answered requests not logged individually", "Count", n)
	}
}

func (e *Events) run() {
	reported := int64(0)
	for {
		select {
		case l := <-e.lines:
			e.writeLine(l)
			if lost := e.lost.Load(); lost > reported && len(e.lines) == 0 {
				e.writeLine(event{time.Now(), "log lines dropped because the output was blocked", []any{"Count", lost - reported}})
				reported = lost
			}
		case <-e.stop:
			for len(e.lines) > 0 {
				e.writeLine(<-e.lines)
			}
			return
		}
	}
}

func (e *Events) writeLine(l event) {
	e.lineTime.Store(l.time.UnixNano())
	e.out.Log(log.InfoLevel, l.message, l.fields...)
}

// Close writes the buffered lines. It returns after closeTimeout even if the output is blocked.
func (e *Events) Close() {
	e.summary.Cancel()
	close(e.stop)
	sequoiatimer.WaitWithTimeout(&e.writer, closeTimeout)
}

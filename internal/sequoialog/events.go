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
	// eventBuffer is the number of event lines that may wait for the output.
	eventBuffer = 4096
	// successRate is the number of lines per second on requests that were answered, 100. Beyond it they are counted,
	// so that a heavy load does not become a load of lines; lines on failed requests are always written.
	successRate = 100
)

// event is one line.
type event struct {
	time    time.Time
	message string
	fields  []any
}

// Events writes JSON lines with free fields from a goroutine of its own. No call waits for the output: a line that finds
// the buffer full is counted and told of by the next summary.
type Events struct {
	out     *log.Logger
	lines   chan event
	timers  *sequoiatimer.Service
	summary *sequoiatimer.Subscription
	stop    chan struct{}
	written sync.WaitGroup
	now     atomic.Int64

	admitted   atomic.Int64
	suppressed atomic.Int64
	lost       atomic.Int64
}

// NewEvents returns an Events that writes to w. The fields are part of each line.
func NewEvents(w io.Writer, timers *sequoiatimer.Service, fields ...any) *Events {
	e := &Events{lines: make(chan event, eventBuffer), timers: timers, stop: make(chan struct{})}
	e.out = log.NewWithOptions(w, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: timeFormat, Level: log.DebugLevel, Fields: fields,
		TimeFunction: func(time.Time) time.Time { return time.Unix(0, e.now.Load()).UTC() },
	})
	e.written.Go(e.write)
	e.summary = timers.Every(summaryInterval, func(time.Time) { e.summarize() })
	return e
}

// Event writes a line on a decision, a failed request or a fault.
func (e *Events) Event(message string, fields ...any) {
	select {
	case e.lines <- event{time.Now(), message, fields}:
	default:
		e.lost.Add(1)
	}
}

// Success writes a line on a request that was answered, or counts it if there are too many.
func (e *Events) Success(message string, fields ...any) {
	if e.admitted.Add(1) > successRate {
		e.suppressed.Add(1)
		return
	}
	e.Event(message, fields...)
}

// Lost returns the number of lines that found the buffer full.
func (e *Events) Lost() int64 { return e.lost.Load() }

func (e *Events) summarize() {
	e.admitted.Store(0)
	if n := e.suppressed.Swap(0); n > 0 {
		e.Event("answered requests without a line", "Count", n)
	}
}

func (e *Events) write() {
	reported := int64(0)
	for {
		select {
		case l := <-e.lines:
			e.print(l)
			if lost := e.lost.Load(); lost > reported && len(e.lines) == 0 {
				e.print(event{time.Now(), "lines were lost because the output was blocked", []any{"Count", lost - reported}})
				reported = lost
			}
		case <-e.stop:
			for len(e.lines) > 0 {
				e.print(<-e.lines)
			}
			return
		}
	}
}

func (e *Events) print(l event) {
	e.now.Store(l.time.UnixNano())
	e.out.Log(log.InfoLevel, l.message, l.fields...)
}

// Close writes what waits. It gives up after a bounded time if the output is blocked.
func (e *Events) Close() {
	e.summary.Cancel()
	close(e.stop)
	sequoiatimer.WaitWithTimeout(&e.written, closeTimeout)
}

package sequoiameasure

import (
	"context"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
)

const (
	logLineCount = 100_000
	// fullLoadRequestsPerSecond is the request rate of one process when 3,800 processes serve 14 million requests/s.
	fullLoadRequestsPerSecond = 14_000_000 / 3_800
	// loggedLinesPerSecond is the default limit on the routing lines of a process.
	loggedLinesPerSecond = 100
)

// countingOutput counts the bytes written to it.
type countingOutput struct {
	bytes int64
}

// Write counts the bytes of b and discards them.
func (c *countingOutput) Write(b []byte) (int, error) {
	c.bytes += int64(len(b))
	return len(b), nil
}

// measureLogLines measures the cost of a written line and of a suppressed one, which is only counted. From these, it
// computes the cost of logging in a process at full load.
func (m *measurement) measureLogLines(context.Context) error {
	d := sequoialog.Decision{
		Name: "Route", Service: "dispatch", Key: "booking-12345678", Owner: 0xabcdef, Epoch: 123456, Outcome: "Answered",
		Reason: "Owner",
	}
	out := &countingOutput{}
	l := sequoialog.New(out, sequoialog.WithInstance("howrah-north-0"))
	written := secondsPerLine(l, func() { l.Placement(d) })
	suppressed := sequoialog.New(&countingOutput{}, sequoialog.WithRate(0))
	counted := secondsPerLine(suppressed, func() { suppressed.Routing(d) })
	m.add(PartLog, "written line", "processor", "us/line", written*1e6)
	m.add(PartLog, "written line", "size", "B/line", float64(out.bytes)/logLineCount)
	m.add(PartLog, "suppressed line", "processor", "us/line", counted*1e6)
	share := loggedLinesPerSecond*written + (fullLoadRequestsPerSecond-loggedLinesPerSecond)*counted
	m.add(PartLog, "100 written and 3,584 suppressed lines/s", "processor", "% of a core", share*100)
	return nil
}

// secondsPerLine returns the CPU time of one line in seconds, including that of the writer goroutine.
func secondsPerLine(l *sequoialog.Logger, line func()) float64 {
	before := cpuTime()
	for range logLineCount {
		line()
	}
	l.Close()
	return (cpuTime() - before).Seconds() / logLineCount
}

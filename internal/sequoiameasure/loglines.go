package sequoiameasure

import (
	"context"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
)

const (
	logLines = 100_000
	// fullLoadRate is the number of requests per second of one process when 3,800 serve 14 million.
	fullLoadRate = 14_000_000 / 3_800
	// logRate is the default number of routing lines per second of a process.
	logRate = 100
)

// countingOutput counts the bytes written to it.
type countingOutput struct {
	bytes int64
}

// Write counts b.
func (c *countingOutput) Write(b []byte) (int, error) {
	c.bytes += int64(len(b))
	return len(b), nil
}

// logLines measures the cost of a line that is written and of one that is only counted, and works out the cost of a
// process's log at full load.
func (m *measurement) logLines(context.Context) error {
	d := sequoialog.Decision{
		Name: "Route", Service: "dispatch", Key: "booking-12345678", Owner: 0xabcdef, Epoch: 123456, Outcome: "Answered",
		Reason: "Owner",
	}
	out := &countingOutput{}
	l := sequoialog.New(out, sequoialog.WithInstance("howrah-north-0"))
	written := timeLines(l, func() { l.Placement(d) })
	suppressed := sequoialog.New(&countingOutput{}, sequoialog.WithRate(0))
	counted := timeLines(suppressed, func() { suppressed.Routing(d) })
	m.add(PartLog, "written line", "processor", "us/line", written*1e6)
	m.add(PartLog, "written line", "size", "B/line", float64(out.bytes)/logLines)
	m.add(PartLog, "suppressed line", "processor", "us/line", counted*1e6)
	share := logRate*written + (fullLoadRate-logRate)*counted
	m.add(PartLog, "100 written and 3,584 suppressed lines/s", "processor", "% of a core", share*100)
	return nil
}

// timeLines returns the processor seconds of one line, those of the writer's goroutine included.
func timeLines(l *sequoialog.Logger, line func()) float64 {
	before := cpuTime()
	for range logLines {
		line()
	}
	l.Close()
	return (cpuTime() - before).Seconds() / logLines
}

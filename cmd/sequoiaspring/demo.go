package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
)

const (
	// demoStartTimeout bounds the start of the fleet, which takes about 2 s.
	demoStartTimeout = 30 * time.Second
	// minDemoDuration leaves enough time for the effects of the killed and of the drained process to show.
	minDemoDuration = 5 * time.Second
	maxDemoDuration = 10 * time.Minute
	// eventTimeFormat matches the times in the decision logs.
	eventTimeFormat = "15:04:05.000"
)

// errInvariant means that the demo detected the violation of an invariant.
var errInvariant = errors.New("an invariant was violated")

type demoCommand struct {
	Deployment string        `arg:"--deployment" default:"howrah" help:"howrah or pinehollow"`
	Duration   time.Duration `arg:"--duration" default:"10s" help:"duration of the load, 5s to 10m"`
	Seed       uint64        `arg:"--seed" default:"1" help:"random seed for the callers' keys"`
	Log        string        `arg:"--log" help:"file for the processes' decision logs, overwritten if it exists; by default the logs are discarded"`
}

// demoSummary is printed as JSON in the last line of the demo's output.
type demoSummary struct {
	Requests                int
	Answered                int
	NotRun                  int
	Unknown                 int
	DoubleOwned             int
	RanTwice                int
	WrongAnswers            int
	FalseNotRun             int
	LostAssignments         int
	UnavailableMilliseconds int64
	StoreCallsPerSecond     float64
}

func (c *demoCommand) run(ctx context.Context, out io.Writer) error {
	d, err := sequoiafleet.FindDeployment(c.Deployment)
	if err != nil {
		return inputError{err}
	}
	if c.Duration < minDemoDuration || c.Duration > maxDemoDuration {
		return inputError{errors.Errorf("--duration %s; allowed: %s to %s", c.Duration, minDemoDuration, maxDemoDuration)}
	}
	w, closeLog, err := c.openLog()
	if err != nil {
		return err
	}
	defer closeLog()
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	fleet, err := sequoiafleet.Start(startCtx, d, w)
	if err != nil {
		return err
	}
	defer fleet.Close()
	fmt.Fprintf(out, "%s: %d processes, each beside an upstream; the store stand-in is at %s\n",
		d.Name, len(fleet.Nodes), fleet.Store.Addr())
	result, err := fleet.Run(ctx, c.plan())
	if err != nil {
		return err
	}
	return printDemoResult(out, result)
}

func (c *demoCommand) openLog() (io.Writer, func(), error) {
	if c.Log == "" {
		return io.Discard, func() {}, nil
	}
	f, err := os.Create(c.Log)
	if err != nil {
		return nil, nil, inputError{err}
	}
	return f, func() { _ = f.Close() }, nil
}

// plan kills an owner after a third of the duration and drains another one after two thirds.
func (c *demoCommand) plan() sequoiafleet.Plan {
	return sequoiafleet.Plan{
		Duration: c.Duration, Rate: 400, Callers: 200, Keys: 64, Seed: c.Seed,
		RepeatableShare: 0.2, Timeout: 5 * time.Second, SlowThreshold: 250 * time.Millisecond,
		Faults: []sequoiafleet.Fault{
			sequoiafleet.KillOwner(c.Duration / 3),
			sequoiafleet.DrainOwner(c.Duration * 2 / 3),
		},
	}
}

func printDemoResult(out io.Writer, r *sequoiafleet.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "EVENT\tBEGAN (UTC)\tDONE AFTER")
	for _, f := range r.InjectedFaults {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Name, f.At.UTC().Format(eventTimeFormat), f.Took.Round(time.Millisecond))
	}
	l := r.Load
	fmt.Fprintln(w, "\nREQUESTS\tANSWERED\tNOT RUN\tUNKNOWN\tMEDIAN LATENCY\tP99 LATENCY\tLONGEST UNAVAILABLE KEY")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t%s\t%s\n", l.Requests(), l.Answered, l.NotRun, l.Unknown,
		latencyPercentile(l, 50), latencyPercentile(l, 99),
		r.LongestUnavailable().Round(time.Millisecond))
	_ = w.Flush()
	for _, v := range r.Report.Violations {
		fmt.Fprintf(out, "%s: service %s key %s request %s: %s\n", v.Kind, v.Service, v.Key, v.RequestID, v.Detail)
	}
	fmt.Fprintf(out, "invariants violated: %d\n", len(r.Report.Violations))
	line, err := json.Marshal(demoSummary{
		Requests: l.Requests(), Answered: l.Answered, NotRun: l.NotRun, Unknown: l.Unknown,
		DoubleOwned: r.Report.DoubleOwned, RanTwice: r.Report.RanTwice, WrongAnswers: r.Report.WrongAnswers,
		FalseNotRun: r.Report.FalseNotRun, LostAssignments: r.Report.LostAssignments,
		UnavailableMilliseconds: r.LongestUnavailable().Milliseconds(), StoreCallsPerSecond: math.Round(r.StoreCallsPerSecond*10) / 10,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", line)
	if !r.Report.OK() {
		return errInvariant
	}
	return nil
}

// latencyPercentile returns a percentile of the latency of answered requests, rounded to 0.1 ms.
func latencyPercentile(l *sequoiastandin.LoadReport, percentile float64) time.Duration {
	d := time.Duration(l.Latency.ValueAtQuantile(percentile)) * time.Microsecond
	return d.Round(100 * time.Microsecond)
}

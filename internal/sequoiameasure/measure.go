package sequoiameasure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Parts of a measurement.
const (
	// PartLatency measures the latency that a process adds.
	PartLatency = "latency"
	// PartThroughput measures the processor time of a request.
	PartThroughput = "throughput"
	// PartControl measures the cost of an idle fleet, a loss and a store outage with leases renewed by witnesses.
	PartControl = "control"
	// PartStoreLease measures the same with the baseline, store leases.
	PartStoreLease = "storelease"
	// PartConfiguration measures how fast a configuration is in force everywhere and what its entry costs the store.
	PartConfiguration = "configuration"
	// PartLog measures what a log line costs.
	PartLog = "log"
	// PartHandshake measures what a new control connection costs.
	PartHandshake = "handshake"
	// PartCore measures the control core alone.
	PartCore = "core"
)

// Parts lists all parts in the order in which they are measured.
var Parts = []string{
	PartLatency, PartThroughput, PartControl, PartStoreLease, PartConfiguration, PartLog, PartHandshake, PartCore,
}

// Limits of a configuration. maxProcesses keeps a fleet within the ports and the memory of one machine.
const (
	minProcesses = 5
	maxProcesses = 150
	minMembers   = 44
	maxMembers   = 4000
	maxRepeats   = 20
	maxWindow    = time.Minute
)

// ErrConfig reports a configuration that is out of range.
var ErrConfig = errors.New("the measurement's configuration is out of range")

// Config says what is measured.
type Config struct {
	Parts []string
	// Repeats is how often each measurement runs.
	Repeats int
	// Sizes are the numbers of processes of a fleet, Members those of the core alone.
	Sizes   []int
	Members []int
	// Window is how long one figure is measured.
	Window time.Duration
}

func (cfg *Config) check() error {
	for _, p := range cfg.Parts {
		if !slices.Contains(Parts, p) {
			return errors.Wrapf(ErrConfig, "part %q, allowed %v", p, Parts)
		}
	}
	for _, n := range cfg.Sizes {
		if n < minProcesses || n > maxProcesses {
			return errors.Wrapf(ErrConfig, "%d processes, allowed %d to %d", n, minProcesses, maxProcesses)
		}
	}
	for _, n := range cfg.Members {
		if n < minMembers || n > maxMembers {
			return errors.Wrapf(ErrConfig, "%d members, allowed %d to %d", n, minMembers, maxMembers)
		}
	}
	switch {
	case cfg.Repeats < 1 || cfg.Repeats > maxRepeats:
		return errors.Wrapf(ErrConfig, "%d repeats, allowed 1 to %d", cfg.Repeats, maxRepeats)
	case cfg.Window <= 0 || cfg.Window > maxWindow:
		return errors.Wrapf(ErrConfig, "window %s, allowed up to %s", cfg.Window, maxWindow)
	}
	return nil
}

// measurement is a running measurement.
type measurement struct {
	*recorder
	cfg Config
	// progress receives one line for each step.
	progress io.Writer
}

// Run measures the configured parts one after the other and returns the figures. Progress is written to progress. It
// returns ErrConfig for a configuration that is out of range, and the figures so far with any other error.
func Run(ctx context.Context, cfg Config, progress io.Writer) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	m := &measurement{recorder: newRecorder(), cfg: cfg, progress: progress}
	for _, part := range Parts {
		if !slices.Contains(cfg.Parts, part) {
			continue
		}
		for run := range cfg.Repeats {
			fmt.Fprintf(progress, "%s, run %d of %d\n", part, run+1, cfg.Repeats)
			if err := m.part(ctx, part); err != nil {
				return m.report(), errors.Wrapf(err, "%s, run %d", part, run+1)
			}
		}
	}
	return m.report(), nil
}

func (m *measurement) part(ctx context.Context, part string) error {
	switch part {
	case PartLatency:
		return m.latency(ctx)
	case PartThroughput:
		return m.throughput(ctx)
	case PartControl, PartStoreLease:
		return m.fleets(ctx, part)
	case PartConfiguration:
		return m.configurations(ctx)
	case PartLog:
		return m.logLines(ctx)
	case PartHandshake:
		return m.handshakeCost(ctx)
	default:
		return m.cores(ctx)
	}
}

package sequoiameasure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Measurement parts.
const (
	// PartLatency measures the latency that a process adds to a request.
	PartLatency = "latency"
	// PartThroughput measures the CPU time of a request.
	PartThroughput = "throughput"
	// PartControl measures an idle fleet, a failure and a store outage with leases that witnesses renew.
	PartControl = "control"
	// PartStoreLease measures the same as PartControl with the baseline, leases held in the store.
	PartStoreLease = "storelease"
	// PartConfiguration measures the time until a configuration is in force in every process, and the store calls of
	// its log entry.
	PartConfiguration = "configuration"
	// PartLog measures the cost of a log line.
	PartLog = "log"
	// PartHandshake measures the cost of a new control connection.
	PartHandshake = "handshake"
	// PartCore measures the control core alone, in a simulation.
	PartCore = "core"
)

// Parts lists all parts in the order of measurement.
var Parts = []string{
	PartLatency, PartThroughput, PartControl, PartStoreLease, PartConfiguration, PartLog, PartHandshake, PartCore,
}

// Limits of a Config. maxProcesses keeps a fleet within the ports and the memory of one machine.
const (
	minProcesses = 5
	maxProcesses = 150
	minMembers   = 44
	maxMembers   = 4000
	maxRepeats   = 20
	maxWindow    = time.Minute
)

// ErrConfig is returned for a Config that is out of range.
var ErrConfig = errors.New("the measurement's configuration is out of range")

// Config selects what is measured.
type Config struct {
	Parts []string
	// Repeats is the number of runs of each measurement.
	Repeats int
	// Sizes are the fleet sizes in processes. Members are the numbers of members with which the core is measured alone.
	Sizes   []int
	Members []int
	// Window is the duration of one measurement.
	Window time.Duration
}

func (cfg *Config) validate() error {
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

// measurement is the state of a call of Run.
type measurement struct {
	*recorder
	cfg Config
	// progress receives one line per run.
	progress io.Writer
}

// Run measures the configured parts one after the other and returns the results. It writes a line to progress for each
// run. It returns ErrConfig for a Config that is out of range. With any other error, it also returns the results so
// far.
func Run(ctx context.Context, cfg Config, progress io.Writer) (*Report, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	m := &measurement{recorder: newRecorder(), cfg: cfg, progress: progress}
	for _, part := range Parts {
		if !slices.Contains(cfg.Parts, part) {
			continue
		}
		for run := range cfg.Repeats {
			fmt.Fprintf(progress, "%s, run %d of %d\n", part, run+1, cfg.Repeats)
			if err := m.runPart(ctx, part); err != nil {
				return m.report(), errors.Wrapf(err, "%s, run %d", part, run+1)
			}
		}
	}
	return m.report(), nil
}

func (m *measurement) runPart(ctx context.Context, part string) error {
	switch part {
	case PartLatency:
		return m.measureLatency(ctx)
	case PartThroughput:
		return m.measureThroughput(ctx)
	case PartControl, PartStoreLease:
		return m.measureFleets(ctx, part)
	case PartConfiguration:
		return m.measureConfigurations(ctx)
	case PartLog:
		return m.measureLogLines(ctx)
	case PartHandshake:
		return m.measureHandshakes(ctx)
	default:
		return m.measureCores(ctx)
	}
}

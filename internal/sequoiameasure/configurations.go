package sequoiameasure

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// configurationCount is the number of configurations applied in one run.
	configurationCount = 20
	// maxConfigurationTime is the time within which a configuration must be in force in every process.
	maxConfigurationTime      = 12 * time.Second
	configurationPollInterval = time.Millisecond
)

// errNotInForce reports a configuration that was not in force in every process within maxConfigurationTime.
var errNotInForce = errors.New("the configuration is not in force in every process")

// measureConfigurations applies configurations to a fleet of each size.
func (m *measurement) measureConfigurations(ctx context.Context) error {
	for _, n := range m.cfg.Sizes {
		d, err := deploymentWith(n)
		if err != nil {
			return err
		}
		f, err := startFleet(ctx, d)
		if err != nil {
			return err
		}
		err = m.measureConfiguration(ctx, fmt.Sprintf("%d processes", n), f)
		closeFleet(f)
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) measureConfiguration(ctx context.Context, subject string, f *sequoiafleet.Fleet) error {
	if err := sequoiatimer.Sleep(ctx, settleTime); err != nil {
		return err
	}
	calls, started := f.Store.Counts().Total(), time.Now()
	if err := sequoiatimer.Sleep(ctx, m.cfg.Window); err != nil {
		return err
	}
	idle := float64(f.Store.Counts().Total()-calls) / time.Since(started).Seconds()
	calls, started = f.Store.Counts().Total(), time.Now()
	var durations []time.Duration
	for i := range configurationCount {
		d, err := applyConfiguration(ctx, f, i)
		if err != nil {
			return err
		}
		durations = append(durations, d)
	}
	extraCalls := float64(f.Store.Counts().Total()-calls) - idle*time.Since(started).Seconds()
	m.add(PartConfiguration, subject, "median time until in force everywhere", "ms", slices.Sorted(slices.Values(durations))[len(durations)/2].Seconds()*1e3)
	m.add(PartConfiguration, subject, "longest time until in force everywhere", "ms", slices.Max(durations).Seconds()*1e3)
	m.add(PartConfiguration, subject, "store calls of an entry", "calls", extraCalls/configurationCount)
	return nil
}

// applyConfiguration applies a configuration and returns the time until it is in force in every process.
func applyConfiguration(ctx context.Context, f *sequoiafleet.Fleet, i int) (time.Duration, error) {
	base := f.Nodes[0].Process.Snapshot().Table.Configuration.Revision
	started := time.Now()
	reply, err := f.Nodes[0].Admin().Apply(ctx, sequoiaadmin.ApplyRequest{
		Base: base, Operator: "measure", Document: fmt.Sprintf("// Change %d.\n%s", i, f.Deployment.Configuration),
	})
	if err != nil {
		return 0, err
	}
	for !inForce(f, reply.Revision) {
		if time.Since(started) > maxConfigurationTime {
			return 0, errors.Wrapf(errNotInForce, "revision %d", reply.Revision)
		}
		if err := sequoiatimer.Sleep(ctx, configurationPollInterval); err != nil {
			return 0, err
		}
	}
	return time.Since(started), nil
}

func inForce(f *sequoiafleet.Fleet, revision uint64) bool {
	for _, n := range f.Nodes {
		if n.Process.Snapshot().Table.Configuration.Revision < revision {
			return false
		}
	}
	return true
}

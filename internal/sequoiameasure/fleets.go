package sequoiameasure

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiainstance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// timeBeforeFault and timeAfterFault are the times under load before and after a fault.
	timeBeforeFault = time.Second
	timeAfterFault  = 2 * time.Second
	// storeOutage is the duration of a store outage, three times the lease duration.
	storeOutage = 3 * time.Second
	// unavailableLatency is the latency from which an answered request counts as unavailable time of its key.
	unavailableLatency = 250 * time.Millisecond
)

// errNoOwner reports a fleet in which no process owns a key.
var errNoOwner = errors.New("no process owns a key")

// measureFleets measures a fleet of each size.
func (m *measurement) measureFleets(ctx context.Context, part string) error {
	for _, n := range m.cfg.Sizes {
		if err := m.measureFleet(ctx, part, n); err != nil {
			return err
		}
	}
	return nil
}

// startAttempts is the maximum number of attempts to start a fleet. A port that was free when it was chosen may be
// taken by an outgoing connection before a process listens on it.
const startAttempts = 5

func startFleet(ctx context.Context, d sequoiafleet.Deployment, opts ...sequoiafleet.Option) (*sequoiafleet.Fleet, error) {
	for attempt := 1; ; attempt++ {
		startCtx, cancel := context.WithTimeout(ctx, startTimeout)
		f, err := sequoiafleet.Start(startCtx, d, io.Discard, opts...)
		cancel()
		if !errors.Is(err, syscall.EADDRINUSE) || attempt == startAttempts {
			return f, err
		}
	}
}

// closeFleet closes the processes concurrently, since each takes some 400 ms.
func closeFleet(f *sequoiafleet.Fleet) {
	var closing sync.WaitGroup
	for _, n := range f.Nodes {
		closing.Go(n.Kill)
	}
	closing.Wait()
	f.Nodes = nil
	f.Close()
}

// deploymentWith returns the howrah deployment scaled to n processes.
func deploymentWith(n int) (sequoiafleet.Deployment, error) {
	d, err := sequoiafleet.FindDeployment("howrah")
	if err != nil {
		return d, err
	}
	first, second := &d.Services[0], &d.Services[1]
	first.Upstreams = n * first.Upstreams / (first.Upstreams + second.Upstreams)
	second.Upstreams = n - first.Upstreams
	return d, nil
}

func (m *measurement) measureFleet(ctx context.Context, part string, n int) error {
	d, err := deploymentWith(n)
	if err != nil {
		return err
	}
	authority := sequoiasettings.AuthorityWitnesses
	if part == PartStoreLease {
		authority = sequoiasettings.AuthorityStoreLease
	}
	var counted traffic
	before := liveMemory()
	f, err := startFleet(ctx, d, sequoiafleet.WithAuthority(authority),
		sequoiafleet.WithInstanceOptions(func(string) []sequoiainstance.Option {
			return []sequoiainstance.Option{sequoiainstance.WithTransport(counted.instrument)}
		}))
	if err != nil {
		return err
	}
	defer closeFleet(f)
	if err := sequoiatimer.Sleep(ctx, settleTime); err != nil {
		return err
	}
	subject := fmt.Sprintf("%d processes", n)
	if err := m.measureIdleFleet(ctx, part, subject, f, &counted); err != nil {
		return err
	}
	m.add(part, subject, "memory in use, stand-ins included", "KiB/process", float64(liveMemory()-before)/1024/float64(n))
	if err := m.measureFaults(ctx, part, subject, "after a kill", 1, f, timeBeforeFault+timeAfterFault, killLargestOwner(timeBeforeFault)); err != nil {
		return err
	}
	return m.measureFaults(ctx, part, subject, "in a store outage of 3 s", 2, f, timeBeforeFault+storeOutage+timeAfterFault,
		setStoreDown(timeBeforeFault, true), setStoreDown(timeBeforeFault+storeOutage, false))
}

// measureIdleFleet measures a fleet that receives no requests.
func (m *measurement) measureIdleFleet(ctx context.Context, part, subject string, f *sequoiafleet.Fleet, t *traffic) error {
	calls, started := f.Store.Counts().Total(), time.Now()
	packets, bytes := t.sent.Load()+t.received.Load(), t.sentBytes.Load()+t.receivedBytes.Load()
	cores, err := idleCores(ctx, m.cfg.Window)
	if err != nil {
		return err
	}
	elapsed := time.Since(started).Seconds()
	processSeconds := elapsed * float64(len(f.Nodes))
	packets = t.sent.Load() + t.received.Load() - packets
	bytes = t.sentBytes.Load() + t.receivedBytes.Load() - bytes
	m.add(part, subject, "processor, stand-ins included", "% of a core/process", cores*100/float64(len(f.Nodes)))
	m.add(part, subject, "control packets, both directions", "packets/s/process", float64(packets)/processSeconds)
	m.add(part, subject, "control traffic, both directions", "B/s/process", float64(bytes)/processSeconds)
	m.add(part, subject, "store calls", "calls/s", float64(f.Store.Counts().Total()-calls)/elapsed)
	return nil
}

func setStoreDown(at time.Duration, down bool) sequoiafleet.Fault {
	return sequoiafleet.Fault{At: at, Name: "store outage", Inject: func(_ context.Context, f *sequoiafleet.Fleet) error {
		f.Store.SetDown(down)
		return nil
	}}
}

// killLargestOwner closes the upstream and the process that own the most shards and hot keys. It closes the upstream
// first: unlike a killed process, one that is closed within the program still answers on open connections for some
// 400 ms.
func killLargestOwner(at time.Duration) sequoiafleet.Fault {
	return sequoiafleet.Fault{At: at, Name: "kill", Inject: func(_ context.Context, f *sequoiafleet.Fleet) error {
		var owner *sequoiafleet.Node
		most := 0
		for _, n := range f.Nodes {
			s := n.Process.Snapshot()
			if m := s.Table.Member(s.Self); m != nil && m.Owned > most {
				owner, most = n, m.Owned
			}
		}
		if owner == nil {
			return errNoOwner
		}
		f.Remove(owner)
		owner.Upstream.Close()
		owner.Kill()
		return nil
	}}
}

// measureFaults runs a light load with faults and records the longest unavailable time of a key. Runs on the same fleet
// need different seeds, because request IDs are derived from the seed.
func (m *measurement) measureFaults(ctx context.Context, part, subject, name string, seed uint64, f *sequoiafleet.Fleet, d time.Duration, faults ...sequoiafleet.Fault) error {
	result, err := f.Run(ctx, sequoiafleet.Plan{
		Duration: d, Rate: 300, Callers: 200, Keys: 64, Seed: seed, RepeatableShare: 0.2,
		Timeout: 5 * time.Second, SlowThreshold: unavailableLatency, Faults: faults,
	})
	if err != nil {
		return err
	}
	m.add(part, subject, "longest unavailable time "+name, "ms", float64(result.LongestUnavailable().Milliseconds()))
	m.add(part, subject, "violations "+name, "requests", float64(len(result.Report.Violations)))
	return nil
}

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
	// faultLead is the time under load before a fault, faultTail the time after it.
	faultLead = time.Second
	faultTail = 2 * time.Second
	// outage is the duration of a store outage, three times the lease duration.
	outage = 3 * time.Second
	// slowRequest is the latency from which an answered request counts as unavailable time of its key.
	slowRequest = 250 * time.Millisecond
)

// errNoOwner reports a fleet in which no process owns a key.
var errNoOwner = errors.New("no process owns a key")

// fleets measures a fleet of each size.
func (m *measurement) fleets(ctx context.Context, part string) error {
	for _, n := range m.cfg.Sizes {
		if err := m.fleetOf(ctx, part, n); err != nil {
			return err
		}
	}
	return nil
}

// startAttempts bounds the attempts to start a fleet. A port that was free when it was chosen may be taken by an outgoing
// connection before a process listens on it.
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

// closeFleet ends the processes side by side. Each takes some 400 ms to close.
func closeFleet(f *sequoiafleet.Fleet) {
	var closing sync.WaitGroup
	for _, n := range f.Nodes {
		closing.Go(n.Kill)
	}
	closing.Wait()
	f.Nodes = nil
	f.Close()
}

// deploymentOf returns Howrah's deployment with n processes.
func deploymentOf(n int) (sequoiafleet.Deployment, error) {
	d, err := sequoiafleet.FindDeployment("howrah")
	if err != nil {
		return d, err
	}
	first, second := &d.Services[0], &d.Services[1]
	first.Upstreams = n * first.Upstreams / (first.Upstreams + second.Upstreams)
	second.Upstreams = n - first.Upstreams
	return d, nil
}

func (m *measurement) fleetOf(ctx context.Context, part string, n int) error {
	d, err := deploymentOf(n)
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
			return []sequoiainstance.Option{sequoiainstance.WithTransport(counted.observe)}
		}))
	if err != nil {
		return err
	}
	defer closeFleet(f)
	if err := sequoiatimer.Sleep(ctx, settleTime); err != nil {
		return err
	}
	subject := fmt.Sprintf("%d processes", n)
	if err := m.idleFleet(ctx, part, subject, f, &counted); err != nil {
		return err
	}
	m.add(part, subject, "memory in use, stand-ins included", "KiB/process", float64(liveMemory()-before)/1024/float64(n))
	if err := m.fault(ctx, part, subject, "after a kill", 1, f, faultLead+faultTail, kill(faultLead)); err != nil {
		return err
	}
	return m.fault(ctx, part, subject, "in a store outage of 3 s", 2, f, faultLead+outage+faultTail,
		setDown(faultLead, true), setDown(faultLead+outage, false))
}

// idleFleet measures a fleet without requests.
func (m *measurement) idleFleet(ctx context.Context, part, subject string, f *sequoiafleet.Fleet, t *traffic) error {
	calls, started := f.Store.Counts().Total(), time.Now()
	packets, bytes := t.sent.Load()+t.received.Load(), t.sentBytes.Load()+t.receivedBytes.Load()
	use, err := idleUse(ctx, m.cfg.Window)
	if err != nil {
		return err
	}
	elapsed := time.Since(started).Seconds()
	each := elapsed * float64(len(f.Nodes))
	packets = t.sent.Load() + t.received.Load() - packets
	bytes = t.sentBytes.Load() + t.receivedBytes.Load() - bytes
	m.add(part, subject, "processor, stand-ins included", "% of a core/process", use*100/float64(len(f.Nodes)))
	m.add(part, subject, "control packets, both directions", "packets/s/process", float64(packets)/each)
	m.add(part, subject, "control traffic, both directions", "B/s/process", float64(bytes)/each)
	m.add(part, subject, "store calls", "calls/s", float64(f.Store.Counts().Total()-calls)/elapsed)
	return nil
}

func setDown(at time.Duration, down bool) sequoiafleet.Fault {
	return sequoiafleet.Fault{At: at, Name: "store outage", Inject: func(_ context.Context, f *sequoiafleet.Fleet) error {
		f.Store.SetDown(down)
		return nil
	}}
}

// kill ends the upstream and the process that own the most keys. The upstream goes first: a process that is closed
// within a program answers on open connections for some 400 ms more, which a killed one does not.
func kill(at time.Duration) sequoiafleet.Fault {
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

// fault runs a light load with faults and records the longest unavailable time of a key. Runs on one fleet need
// different seeds, which the request identifiers contain.
func (m *measurement) fault(ctx context.Context, part, subject, name string, seed uint64, f *sequoiafleet.Fleet, d time.Duration, faults ...sequoiafleet.Fault) error {
	result, err := f.Run(ctx, sequoiafleet.Plan{
		Duration: d, Rate: 300, Callers: 200, Keys: 64, Seed: seed, RepeatableShare: 0.2,
		Timeout: 5 * time.Second, SlowThreshold: slowRequest, Faults: faults,
	})
	if err != nil {
		return err
	}
	m.add(part, subject, "longest unavailable time "+name, "ms", float64(result.LongestUnavailable().Milliseconds()))
	m.add(part, subject, "violations "+name, "requests", float64(len(result.Report.Violations)))
	return nil
}

package sequoiameasure

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
	"github.com/sequoiaspring/sequoiaspring/pkg/sequoiaclient"
)

const (
	// requestSlots exceeds the number of callers, so that no request waits for a slot.
	requestSlots = 128
	// latencyRequestsPerSecond is the request rate at which latency is measured, far below saturation.
	latencyRequestsPerSecond = 500
	latencyCallers           = 32
	// latencyRounds is the number of times that each path is measured within one run, in turn with the others.
	latencyRounds = 5
	// throughputCallers is the number of callers, each of which sends its next request once the last one is answered.
	throughputCallers = 32
	requestKeys       = 1024
	requestTimeout    = 5 * time.Second
	startTimeout      = 60 * time.Second
	// settleTime is the time for a started fleet to finish its initial moves and open its connections.
	settleTime = 2 * time.Second
)

// requestPath is a route from a caller to the upstream that owns a key.
type requestPath struct {
	name string
	send sequoiastandin.SendFunc
}

// requestPaths returns the paths to compare, starting with the direct call, which is the baseline. Each looks up the
// owner in the same table, so that the cost of the lookup cancels out.
func requestPaths(f *sequoiafleet.Fleet, client *sequoiaclient.Client, direct *http.Client) []requestPath {
	return []requestPath{
		{"direct", func(ctx context.Context, call sequoiastandin.LoadCall) sequoiastandin.LoadResult {
			owner, _ := ownerAndOther(f, call)
			result := sequoiastandin.HTTPSend(direct, owner.Upstream.Addr())(ctx, call)
			if result.Status == http.StatusOK {
				result.Outcome = sequoiachecker.Answered
			}
			return result
		}},
		{"owner's process", func(ctx context.Context, call sequoiastandin.LoadCall) sequoiastandin.LoadResult {
			owner, _ := ownerAndOther(f, call)
			return sequoiastandin.HTTPSend(direct, owner.Settings.HTTP)(ctx, call)
		}},
		{"other process", func(ctx context.Context, call sequoiastandin.LoadCall) sequoiastandin.LoadResult {
			_, other := ownerAndOther(f, call)
			return sequoiastandin.HTTPSend(direct, other.Settings.HTTP)(ctx, call)
		}},
		{"client package", sequoiafleet.ClientSend(client)},
	}
}

// ownerAndOther returns the node that owns the key of a call and another node.
func ownerAndOther(f *sequoiafleet.Fleet, call sequoiastandin.LoadCall) (owner, other *sequoiafleet.Node) {
	service := f.Nodes[0].Process.Snapshot().Table.Service(call.Service)
	id := service.Lookup(call.Key).Owner
	owner, other = f.Nodes[0], f.Nodes[1]
	for i, n := range f.Nodes {
		if n.Process.Snapshot().Self == id {
			return n, f.Nodes[(i+1)%len(f.Nodes)]
		}
	}
	return owner, other
}

// requestFleet is a fleet whose upstreams respond immediately, with the paths by which requests reach it.
type requestFleet struct {
	fleet  *sequoiafleet.Fleet
	client *sequoiaclient.Client
	direct *http.Client
	paths  []requestPath
}

func startRequestFleet(ctx context.Context) (*requestFleet, error) {
	d, err := sequoiafleet.FindDeployment("howrah")
	if err != nil {
		return nil, err
	}
	for i := range d.Services {
		d.Services[i].Slots = requestSlots
		d.Services[i].ServiceTime = 0
		d.Services[i].ConnectionCost = 0
	}
	f, err := startFleet(ctx, d, sequoiafleet.WithoutGrantChecks())
	if err != nil {
		return nil, err
	}
	client, err := sequoiaclient.New([]netip.AddrPort{f.Nodes[0].Settings.HTTP})
	if err != nil {
		f.Close()
		return nil, err
	}
	direct := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: throughputCallers}}
	r := &requestFleet{fleet: f, client: client, direct: direct}
	r.paths = requestPaths(f, client, direct)
	return r, sequoiatimer.Sleep(ctx, settleTime)
}

func (r *requestFleet) close() {
	r.client.Close()
	r.direct.CloseIdleConnections()
	closeFleet(r.fleet)
}

// runLoad sends requests on a path for the duration d.
func (m *measurement) runLoad(ctx context.Context, p requestPath, d time.Duration, rate float64, callers int) (*sequoiastandin.LoadReport, error) {
	return sequoiastandin.RunLoad(ctx, sequoiastandin.LoadConfig{
		Service: "dispatch", Callers: callers, Requests: 1_000_000, Duration: d, Rate: rate,
		Keys: requestKeys, Seed: 1, RepeatableShare: 1, Timeout: requestTimeout,
		RunID: p.name, DiscardRecords: true,
	}, p.send)
}

// measureLatency measures the paths in turn several times, so that other load on the machine affects all of them alike.
func (m *measurement) measureLatency(ctx context.Context) error {
	r, err := startRequestFleet(ctx)
	if err != nil {
		return err
	}
	defer r.close()
	reports := make([]*sequoiastandin.LoadReport, len(r.paths))
	for round := range latencyRounds + 1 {
		for i, p := range r.paths {
			report, err := m.runLoad(ctx, p, m.cfg.Window/latencyRounds, latencyRequestsPerSecond, latencyCallers)
			if err != nil {
				return err
			}
			// The first round opens connections; the second one's report replaces its report.
			if round <= 1 {
				reports[i] = report
			} else {
				reports[i].Merge(report)
			}
		}
	}
	for i, p := range r.paths {
		for _, q := range []struct {
			name     string
			quantile float64
		}{{"p50", 50}, {"p99", 99}} {
			value := float64(reports[i].Latency.ValueAtQuantile(q.quantile))
			m.add(PartLatency, p.name, q.name, "us", value)
			if i > 0 {
				m.add(PartLatency, p.name, "added "+q.name, "us", value-float64(reports[0].Latency.ValueAtQuantile(q.quantile)))
			}
		}
		m.add(PartLatency, p.name, "not answered", "requests", float64(reports[i].NotRun+reports[i].Unknown))
	}
	return nil
}

// measureThroughput measures the CPU time of a request on each path. That of the direct call belongs to the load
// generator and the upstream stand-in, so the excess over it is the processes' own.
func (m *measurement) measureThroughput(ctx context.Context) error {
	r, err := startRequestFleet(ctx)
	if err != nil {
		return err
	}
	defer r.close()
	idle, err := idleCores(ctx, m.cfg.Window)
	if err != nil {
		return err
	}
	m.add(PartThroughput, "idle fleet of 9", "processor", "% of a core", idle*100)
	direct := 0.0
	for _, p := range r.paths {
		before := cpuTime()
		report, err := m.runLoad(ctx, p, m.cfg.Window, 0, throughputCallers)
		if err != nil {
			return err
		}
		elapsed := report.Ended.Sub(report.Started).Seconds()
		used := (cpuTime() - before).Seconds() - idle*elapsed
		perRequest := used / float64(max(1, report.Requests()))
		m.add(PartThroughput, p.name, "rate, stand-ins included", "requests/s", float64(report.Requests())/elapsed)
		m.add(PartThroughput, p.name, "processor, stand-ins included", "us/request", perRequest*1e6)
		m.add(PartThroughput, p.name, "not answered", "requests", float64(report.NotRun+report.Unknown))
		if direct == 0 {
			direct = perRequest
			continue
		}
		m.add(PartThroughput, p.name, "processor beyond direct", "us/request", (perRequest-direct)*1e6)
		m.add(PartThroughput, p.name, "capacity of a core", "requests/s", 1/(perRequest-direct))
	}
	return nil
}

// idleCores returns the average number of CPU cores that the program uses without load.
func idleCores(ctx context.Context, window time.Duration) (float64, error) {
	before, started := cpuTime(), time.Now()
	if err := sequoiatimer.Sleep(ctx, window); err != nil {
		return 0, err
	}
	return (cpuTime() - before).Seconds() / time.Since(started).Seconds(), nil
}

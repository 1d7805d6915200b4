package sequoiafleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiainstance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastore"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/pkg/sequoiaclient"
)

// Fault is a failure or an operator's action that is injected into a fleet under load.
type Fault struct {
	// At is the time from the start of the load to the injection.
	At     time.Duration
	Name   string
	Inject func(ctx context.Context, f *Fleet) error
}

// Plan describes a run under load.
type Plan struct {
	Duration time.Duration
	// Rate is the number of requests per second to each service.
	Rate    float64
	Callers int
	Keys    int
	Skew    float64
	Seed    uint64
	// RepeatableShare is the fraction of requests, from 0 to 1, that may be executed more than once.
	RepeatableShare float64
	// Timeout bounds each request.
	Timeout time.Duration
	// SlowThreshold is the latency above which an answered request counts as unavailable time of its key.
	SlowThreshold time.Duration
	Faults        []Fault
}

// Result holds the measurements of a run.
type Result struct {
	Load   *sequoiastandin.LoadReport
	Report sequoiachecker.Report
	// StoreCallsPerSecond is the rate of calls to the store. A watch counts as one call however long it waits.
	StoreCallsPerSecond float64
	// InjectedFaults lists the faults in the order of their injection.
	InjectedFaults []InjectedFault
}

// InjectedFault records when a fault was injected and how long the injection took.
type InjectedFault struct {
	Name string
	At   time.Time
	Took time.Duration
}

// Run sends load to every service through the client package, injects the faults meanwhile, and checks the invariants
// against the records of the callers, the upstreams and the store.
func (f *Fleet) Run(ctx context.Context, plan Plan) (*Result, error) {
	client, err := sequoiaclient.New(f.Addresses())
	if err != nil {
		return nil, err
	}
	defer client.Close()
	callsBefore := f.Store.Counts().Total()
	start := time.Now()
	injections := make(chan injectionResult, 1)
	go func() { injections <- f.injectFaults(ctx, start, plan.Faults) }()
	load, err := f.runLoad(ctx, plan, ClientSend(client))
	injection := <-injections
	if err = errors.Wrap(err, "run the load"); err != nil {
		return nil, err
	}
	if injection.err != nil {
		return nil, injection.err
	}
	result := &Result{Load: load, InjectedFaults: injection.injected}
	result.StoreCallsPerSecond = float64(f.Store.Counts().Total()-callsBefore) / time.Since(start).Seconds()
	result.Report, err = f.check(ctx, plan, load)
	return result, err
}

// Addresses returns the HTTP addresses of the processes in the fleet.
func (f *Fleet) Addresses() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, n := range f.Nodes {
		addrs = append(addrs, n.Settings.HTTP)
	}
	return addrs
}

type injectionResult struct {
	injected []InjectedFault
	err      error
}

func (f *Fleet) injectFaults(ctx context.Context, start time.Time, faults []Fault) injectionResult {
	var result injectionResult
	for _, fault := range faults {
		select {
		case <-ctx.Done():
			result.err = ctx.Err()
			return result
		case <-time.After(time.Until(start.Add(fault.At))):
		}
		at := time.Now()
		if err := fault.Inject(ctx, f); err != nil {
			result.err = errors.Wrapf(err, "inject fault %q", fault.Name)
			return result
		}
		result.injected = append(result.injected, InjectedFault{Name: fault.Name, At: at, Took: time.Since(at)})
	}
	return result
}

// maxRequests bounds the requests to one service during a run.
const maxRequests = 1_000_000

// runLoad sends load to all services concurrently and merges their reports.
func (f *Fleet) runLoad(ctx context.Context, plan Plan, send sequoiastandin.SendFunc) (*sequoiastandin.LoadReport, error) {
	reports := make([]*sequoiastandin.LoadReport, len(f.Deployment.Services))
	errs := make([]error, len(reports))
	var wg sync.WaitGroup
	for i, service := range f.Deployment.Services {
		cfg := sequoiastandin.LoadConfig{
			Service: service.Name, Callers: plan.Callers, Requests: maxRequests, Duration: plan.Duration, Rate: plan.Rate,
			Keys: plan.Keys, Skew: plan.Skew, Seed: plan.Seed, RepeatableShare: plan.RepeatableShare,
			Timeout: plan.Timeout, RunID: service.Name,
		}
		wg.Go(func() { reports[i], errs[i] = sequoiastandin.RunLoad(ctx, cfg, send) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	total := reports[0]
	for _, r := range reports[1:] {
		total.Merge(r)
	}
	return total, nil
}

// ClientSend returns a SendFunc that sends requests with c.
func ClientSend(c *sequoiaclient.Client) sequoiastandin.SendFunc {
	return func(ctx context.Context, call sequoiastandin.LoadCall) sequoiastandin.LoadResult {
		req := &sequoiaclient.Request{
			Service: call.Service, Key: call.Key, RequestID: call.RequestID, Repeatable: call.Repeatable,
			Method: "POST", Path: "/work", Body: call.Body,
		}
		res, err := c.Do(ctx, req)
		if err != nil {
			return sequoiastandin.LoadResult{Outcome: sequoiachecker.NotRun}
		}
		return sequoiastandin.LoadResult{
			Outcome: sequoiachecker.Outcome(res.Outcome.String()), Status: res.Status, Answer: res.Body,
		}
	}
}

// check checks the invariants against the records of all upstreams, including killed ones, the callers' records, the
// acknowledged appends and the log.
func (f *Fleet) check(ctx context.Context, plan Plan, load *sequoiastandin.LoadReport) (sequoiachecker.Report, error) {
	run := sequoiachecker.Run{Callers: load.Records, Acknowledged: f.acknowledged.list(), SlowThreshold: plan.SlowThreshold}
	for _, u := range f.upstreams {
		executions, overflow := u.Executions()
		if overflow > 0 {
			return sequoiachecker.Report{}, errors.Errorf("%d execution records exceeded the upstream's memory limit", overflow)
		}
		run.Executions = append(run.Executions, executions...)
	}
	store := sequoiastore.New(f.Store.Addr())
	defer store.Close()
	read := store.ReadLog(ctx, 0)
	if read.Err != nil {
		return sequoiachecker.Report{}, errors.Wrap(read.Err, "read the log")
	}
	run.Log = read.Entries
	if read.Checkpoint != nil {
		run.TrimmedIndex = read.Checkpoint.Index
	}
	return sequoiachecker.Check(run), nil
}

// LongestUnavailable returns the longest time for which any key was unavailable.
func (r *Result) LongestUnavailable() time.Duration {
	var longest time.Duration
	for _, u := range r.Report.Unavailable {
		longest = max(longest, u.Longest)
	}
	return longest
}

// acknowledgedEntries collects the log entries whose append was acknowledged to the writer.
type acknowledgedEntries struct {
	mu    sync.Mutex
	items []sequoiatable.Entry
}

func (e *acknowledgedEntries) list() []sequoiatable.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.items)
}

// recordAppends returns s with an Append function that records acknowledged entries.
func (e *acknowledgedEntries) recordAppends(s sequoiainstance.Store) sequoiainstance.Store {
	appendEntry := s.Append
	s.Append = func(ctx context.Context, entry sequoiatable.Entry) sequoiacontrol.Appended {
		result := appendEntry(ctx, entry)
		if result.Result == sequoiacontrol.AppendWon {
			e.mu.Lock()
			e.items = append(e.items, entry)
			e.mu.Unlock()
		}
		return result
	}
	return s
}

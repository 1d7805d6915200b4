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

// Fault is something done to a fleet while it runs under load.
type Fault struct {
	// At is the time since the load began.
	At   time.Duration
	Name string
	Do   func(ctx context.Context, f *Fleet) error
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
	// RepeatableShare is the share of requests, from 0 to 1, that may run more than once.
	RepeatableShare float64
	// Timeout is the callers' deadline.
	Timeout time.Duration
	// Slow is the latency above which an answered request counts as unavailable time of its key.
	Slow   time.Duration
	Faults []Fault
}

// Result is what was recorded of a run.
type Result struct {
	Load   *sequoiastandin.LoadReport
	Report sequoiachecker.Report
	// StoreCallsPerSecond counts each call of the store, a waiting watch as one.
	StoreCallsPerSecond float64
	// Done lists the faults in the order in which they were done.
	Done []FaultDone
}

// FaultDone says when a fault was done and how long that took.
type FaultDone struct {
	Name string
	At   time.Time
	Took time.Duration
}

// Run sends load to every service through the client package, does the faults on the way, and checks the invariants
// from what the upstreams recorded.
func (f *Fleet) Run(ctx context.Context, plan Plan) (*Result, error) {
	client, err := sequoiaclient.New(f.Addresses())
	if err != nil {
		return nil, err
	}
	defer client.Close()
	calls := f.Store.Counts().Total()
	started := time.Now()
	faults := make(chan faultsEnded, 1)
	go func() { faults <- f.doFaults(ctx, started, plan.Faults) }()
	load, err := f.load(ctx, plan, ClientSend(client))
	ended := <-faults
	if err = errors.Wrap(err, "run the load"); err != nil {
		return nil, err
	}
	if ended.err != nil {
		return nil, ended.err
	}
	result := &Result{Load: load, Done: ended.done}
	result.StoreCallsPerSecond = float64(f.Store.Counts().Total()-calls) / time.Since(started).Seconds()
	result.Report, err = f.check(ctx, plan, load)
	return result, err
}

// Addresses returns the addresses for callers of the live processes.
func (f *Fleet) Addresses() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, n := range f.Nodes {
		addrs = append(addrs, n.Settings.HTTP)
	}
	return addrs
}

type faultsEnded struct {
	done []FaultDone
	err  error
}

func (f *Fleet) doFaults(ctx context.Context, started time.Time, faults []Fault) faultsEnded {
	var ended faultsEnded
	for _, fault := range faults {
		select {
		case <-ctx.Done():
			ended.err = ctx.Err()
			return ended
		case <-time.After(time.Until(started.Add(fault.At))):
		}
		at := time.Now()
		if err := fault.Do(ctx, f); err != nil {
			ended.err = errors.Wrapf(err, "fault %s", fault.Name)
			return ended
		}
		ended.done = append(ended.done, FaultDone{Name: fault.Name, At: at, Took: time.Since(at)})
	}
	return ended
}

// maxRequests bounds the requests of a run to one service.
const maxRequests = 1_000_000

// load runs the load on all services side by side.
func (f *Fleet) load(ctx context.Context, plan Plan, send sequoiastandin.SendFunc) (*sequoiastandin.LoadReport, error) {
	reports := make([]*sequoiastandin.LoadReport, len(f.Deployment.Services))
	errs := make([]error, len(reports))
	var running sync.WaitGroup
	for i, service := range f.Deployment.Services {
		cfg := sequoiastandin.LoadConfig{
			Service: service.Name, Callers: plan.Callers, Requests: maxRequests, Duration: plan.Duration, Rate: plan.Rate,
			Keys: plan.Keys, Skew: plan.Skew, Seed: plan.Seed, RepeatableShare: plan.RepeatableShare,
			Timeout: plan.Timeout, RunID: service.Name,
		}
		running.Go(func() { reports[i], errs[i] = sequoiastandin.RunLoad(ctx, cfg, send) })
	}
	running.Wait()
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

// ClientSend returns a send function that uses the client package.
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

// check judges a run by the records of every upstream that the fleet ever had.
func (f *Fleet) check(ctx context.Context, plan Plan, load *sequoiastandin.LoadReport) (sequoiachecker.Report, error) {
	run := sequoiachecker.Run{Callers: load.Records, Acknowledged: f.acknowledged.list(), SlowThreshold: plan.Slow}
	for _, u := range f.upstreams {
		executions, overflow := u.Executions()
		if overflow > 0 {
			return sequoiachecker.Report{}, errors.Errorf("%d execution records did not fit the memory", overflow)
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

// Longest returns the longest time for which a key had no answer.
func (r *Result) Longest() time.Duration {
	var longest time.Duration
	for _, u := range r.Report.Unavailable {
		longest = max(longest, u.Longest)
	}
	return longest
}

// entries collects the entries whose writers were told that the store holds them.
type entries struct {
	mu    sync.Mutex
	items []sequoiatable.Entry
}

func (e *entries) list() []sequoiatable.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.items)
}

// observe returns the store functions with acknowledged appends recorded.
func (e *entries) observe(s sequoiainstance.Store) sequoiainstance.Store {
	inner := s.Append
	s.Append = func(ctx context.Context, entry sequoiatable.Entry) sequoiacontrol.Appended {
		result := inner(ctx, entry)
		if result.Result == sequoiacontrol.AppendWon {
			e.mu.Lock()
			e.items = append(e.items, entry)
			e.mu.Unlock()
		}
		return result
	}
	return s
}

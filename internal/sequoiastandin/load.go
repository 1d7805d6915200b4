package sequoiastandin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
)

// Limits of a load run. maxLoadRequests limits the memory for the callers' records, which include the answers.
const (
	maxLoadCallers  = 10_000
	maxLoadRequests = 2_000_000
	maxLoadDuration = time.Hour
	maxLoadBody     = 1 << 20
	maxAnswerBytes  = 16 << 20
)

// Range of the latency histogram in microseconds, up to 1 minute, and its number of significant digits.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
)

// ErrLoadConfig reports a load configuration that is out of range.
var ErrLoadConfig = errors.New("load configuration out of range")

// LoadConfig describes a load run. The run ends when Requests or Duration is reached, whichever comes first.
type LoadConfig struct {
	Service  string
	Callers  int
	Requests int
	Duration time.Duration
	// Rate is the number of requests per second of all callers together. If it is zero, each caller sends its next
	// request as soon as the one before has ended.
	Rate float64
	// Keys is the number of keys. Skew is the exponent of their Zipf distribution, above 1, or zero for a uniform one.
	Keys int
	Skew float64
	// Seed and the number of a request determine its key, independent of the timing.
	Seed uint64
	// RepeatableShare is the share of requests, from 0 to 1, that may run more than once.
	RepeatableShare float64
	BodyBytes       int
	// Timeout is the deadline of one request.
	Timeout time.Duration
	// RunID distinguishes the request identifiers of different runs.
	RunID string
	// DiscardRecords omits the callers' records, for runs that only measure.
	DiscardRecords bool
}

func (cfg *LoadConfig) check() error {
	switch {
	case cfg.Callers < 1 || cfg.Callers > maxLoadCallers:
		return errors.Wrapf(ErrLoadConfig, "Callers %d, allowed 1 to %d", cfg.Callers, maxLoadCallers)
	case cfg.Requests < 1 || cfg.Requests > maxLoadRequests:
		return errors.Wrapf(ErrLoadConfig, "Requests %d, allowed 1 to %d", cfg.Requests, maxLoadRequests)
	case cfg.Duration <= 0 || cfg.Duration > maxLoadDuration:
		return errors.Wrapf(ErrLoadConfig, "Duration %s, allowed up to %s", cfg.Duration, maxLoadDuration)
	case cfg.Timeout <= 0:
		return errors.Wrapf(ErrLoadConfig, "Timeout %s, must be positive", cfg.Timeout)
	case cfg.Keys < 1:
		return errors.Wrapf(ErrLoadConfig, "Keys %d, must be positive", cfg.Keys)
	case cfg.Skew != 0 && !(cfg.Skew > 1):
		return errors.Wrapf(ErrLoadConfig, "Skew %v, allowed 0 or above 1", cfg.Skew)
	case !(cfg.Rate >= 0):
		return errors.Wrapf(ErrLoadConfig, "Rate %v, must not be negative", cfg.Rate)
	case cfg.BodyBytes < 0 || cfg.BodyBytes > maxLoadBody:
		return errors.Wrapf(ErrLoadConfig, "BodyBytes %d, allowed 0 to %d", cfg.BodyBytes, maxLoadBody)
	}
	return nil
}

// LoadCall is a request of the load generator.
type LoadCall struct {
	Service    string
	Key        string
	RequestID  string
	Repeatable bool
	Body       []byte
	Timeout    time.Duration
}

// LoadResult is the result of a request. Answer is the body of the response.
type LoadResult struct {
	Outcome sequoiachecker.Outcome
	Status  int
	Answer  []byte
}

// SendFunc sends a request and returns its result. The context expires at the request's deadline.
type SendFunc func(ctx context.Context, call LoadCall) LoadResult

// LoadReport is the result of a load run.
type LoadReport struct {
	Started  time.Time
	Ended    time.Time
	Answered int
	NotRun   int
	Unknown  int
	// Latency holds the latencies of answered requests in microseconds. If the run has a rate, they are measured from
	// the scheduled time of a request, so that a stall counts in all requests that it delays.
	Latency *hdrhistogram.Histogram
	Records []sequoiachecker.CallerRecord
}

// Requests returns the number of requests sent.
func (r *LoadReport) Requests() int {
	return r.Answered + r.NotRun + r.Unknown
}

// Merge adds the counts, latencies and records of another report.
func (r *LoadReport) Merge(o *LoadReport) {
	r.Answered += o.Answered
	r.NotRun += o.NotRun
	r.Unknown += o.Unknown
	r.Latency.Merge(o.Latency)
	r.Records = append(r.Records, o.Records...)
}

func newLoadReport() *LoadReport {
	return &LoadReport{Latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

// RunLoad sends requests until a limit of the configuration is reached or the context is done, and waits for the
// requests in progress. It returns an error that wraps ErrLoadConfig if the configuration is out of range.
func RunLoad(ctx context.Context, cfg LoadConfig, send SendFunc) (*LoadReport, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	g := &generator{cfg: cfg, send: send, started: time.Now()}
	g.end = g.started.Add(cfg.Duration)
	reports := make([]*LoadReport, cfg.Callers)
	var wg sync.WaitGroup
	for i := range reports {
		reports[i] = newLoadReport()
		wg.Go(func() { g.runCaller(ctx, reports[i]) })
	}
	wg.Wait()
	total := newLoadReport()
	total.Started = g.started
	total.Ended = time.Now()
	for _, r := range reports {
		total.Merge(r)
	}
	return total, nil
}

// generator is the state that the callers of a run share.
type generator struct {
	cfg     LoadConfig
	send    SendFunc
	started time.Time
	end     time.Time
	next    atomic.Int64
}

func (g *generator) runCaller(ctx context.Context, report *LoadReport) {
	for {
		n := g.next.Add(1) - 1
		if n >= int64(g.cfg.Requests) {
			return
		}
		due, ok := g.waitUntilDue(ctx, n)
		if !ok {
			return
		}
		g.request(ctx, n, due, report)
	}
}

// waitUntilDue waits until a request is due and returns its scheduled time. It returns false if the run ends before.
func (g *generator) waitUntilDue(ctx context.Context, n int64) (time.Time, bool) {
	due := time.Now()
	if g.cfg.Rate > 0 {
		due = g.started.Add(time.Duration(float64(n) / g.cfg.Rate * float64(time.Second)))
	}
	if ctx.Err() != nil || !due.Before(g.end) || !time.Now().Before(g.end) {
		return due, false
	}
	remaining := time.Until(due)
	if remaining <= 0 {
		return due, true
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-t.C:
		return due, true
	case <-ctx.Done():
		return due, false
	}
}

func (g *generator) request(ctx context.Context, n int64, due time.Time, report *LoadReport) {
	call := g.cfg.Call(n)
	callCtx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	sent := time.Now()
	result := g.send(callCtx, call)
	ended := time.Now()
	switch result.Outcome {
	case sequoiachecker.Answered:
		report.Answered++
		latency := min(max(ended.Sub(due).Microseconds(), minLatency), maxLatency)
		// RecordValue fails only for a value out of the histogram's range.
		_ = report.Latency.RecordValue(latency)
	case sequoiachecker.NotRun:
		report.NotRun++
	default:
		report.Unknown++
	}
	if g.cfg.DiscardRecords {
		return
	}
	report.Records = append(report.Records, sequoiachecker.CallerRecord{
		Service: call.Service, Key: call.Key, RequestID: call.RequestID, BodyDigest: sequoiachecker.Digest(call.Body),
		Repeatable: call.Repeatable, Outcome: result.Outcome, Status: result.Status, Answer: result.Answer,
		Sent: sent, Ended: ended,
	})
}

// Call returns the n-th request of a run.
func (cfg *LoadConfig) Call(n int64) LoadCall {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(n)))
	id := fmt.Sprintf("%s-%d-%d", cfg.RunID, cfg.Seed, n)
	body := []byte(id)
	if padding := cfg.BodyBytes - len(body); padding > 0 {
		body = append(body, bytes.Repeat([]byte{'.'}, padding)...)
	}
	return LoadCall{
		Service: cfg.Service, Key: "key-" + strconv.FormatUint(cfg.drawKey(rng), 10), RequestID: id,
		Repeatable: rng.Float64() < cfg.RepeatableShare, Body: body, Timeout: cfg.Timeout,
	}
}

func (cfg *LoadConfig) drawKey(rng *rand.Rand) uint64 {
	if cfg.Skew == 0 {
		return rng.Uint64N(uint64(cfg.Keys))
	}
	return rand.NewZipf(rng, cfg.Skew, 1, uint64(cfg.Keys-1)).Uint64()
}

// HTTPSend returns a send function that makes one call to the process at an address. The outcome of a failed call is
// Unknown, since the process may have executed it.
func HTTPSend(client *http.Client, addr netip.AddrPort) SendFunc {
	return func(ctx context.Context, call LoadCall) LoadResult {
		result := LoadResult{Outcome: sequoiachecker.Unknown}
		url := "http://" + addr.String() + "/s/" + call.Service + "/work"
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
		if err != nil {
			return LoadResult{Outcome: sequoiachecker.NotRun}
		}
		req.Header.Set("Sequoia-Key", call.Key)
		req.Header.Set("Sequoia-Request-Id", call.RequestID)
		req.Header.Set("Sequoia-Timeout-Milliseconds", strconv.FormatInt(call.Timeout.Milliseconds(), 10))
		if call.Repeatable {
			req.Header.Set("Sequoia-Repeatable", "true")
		}
		resp, err := client.Do(req)
		if err != nil {
			return result
		}
		defer func() { _ = resp.Body.Close() }()
		answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			return result
		}
		result.Status = resp.StatusCode
		result.Answer = answer
		switch o := sequoiachecker.Outcome(resp.Header.Get("Sequoia-Outcome")); o {
		case sequoiachecker.Answered, sequoiachecker.NotRun:
			result.Outcome = o
		}
		return result
	}
}

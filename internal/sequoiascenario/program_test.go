package sequoiascenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiainstance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaproxy"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastore"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/pkg/sequoiaclient"
)

// Environment variables of the programs that the test binary runs.
const (
	// envRemovedSafeguard names the safeguard that is removed.
	envRemovedSafeguard = "SEQUOIASPRING_TEST_WITHOUT"
	// envAcknowledged names the file that receives the acknowledged log entries.
	envAcknowledged = "SEQUOIASPRING_TEST_ACKNOWLEDGED"
	// envNetworkControl is the address at which a process's fault network accepts control requests.
	envNetworkControl = "SEQUOIASPRING_TEST_SWITCH"
)

// Safeguards outside sequoiacontrol, sequoiarouter and sequoiaproxy.
const (
	// safeguardReadBack treats an append whose reply was lost as successful only after reading its entry back.
	safeguardReadBack = "ReadBack"
	// safeguardUpstreamChecks makes upstreams reject requests whose grant, epoch or deadline has passed.
	safeguardUpstreamChecks = "UpstreamChecks"
)

// runProgram returns the main function of a program that runs f with a context that SIGTERM cancels.
func runProgram(f func(ctx context.Context, args []string) error) func() {
	return func() {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		if err := f(ctx, os.Args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// runProcess implements "sequoiaspring run --settings FILE" with a fault network for its connections.
func runProcess(ctx context.Context, args []string) error {
	if len(args) != 3 || args[0] != "run" || args[1] != "--settings" {
		return errors.New("usage: sequoiaspring run --settings FILE")
	}
	data, err := os.ReadFile(args[2])
	if err != nil {
		return err
	}
	settings, err := sequoiasettings.ParseSettings(args[2], data)
	if err != nil {
		return err
	}
	n := newFaultNetwork()
	if err := n.serveControl(os.Getenv(envNetworkControl)); err != nil {
		return err
	}
	log := sequoialog.New(os.Stderr, sequoialog.WithInstance(settings.Instance))
	defer log.Close()
	addr, err := n.listenRelay(settings.Store[0], func() bool { return n.blocked("store") })
	if err != nil {
		return err
	}
	client := sequoiastore.New(addr)
	defer client.Close()
	store, err := recordAcknowledged(sequoiainstance.NewStore(client))
	if err != nil {
		return err
	}
	safeguard := os.Getenv(envRemovedSafeguard)
	process, err := sequoiainstance.New(settings, store, log,
		sequoiainstance.WithControl(sequoiacontrol.WithoutSafeguard(safeguard)),
		sequoiainstance.WithRouter(sequoiarouter.WithoutSafeguard(safeguard)),
		sequoiainstance.WithProxy(sequoiaproxy.WithoutSafeguard(safeguard)),
		sequoiainstance.WithTransport(func(c *sequoiapeer.Control, f *sequoiapeer.Forwarder) {
			c.ListenPacket = n.listenPacket
			f.Dial = n.dial
		}))
	if err != nil {
		return err
	}
	return process.Run(ctx)
}

// recordAcknowledged returns s with an Append function that writes each acknowledged entry to a file before it returns
// the acknowledgment to the core.
func recordAcknowledged(s sequoiainstance.Store) (sequoiainstance.Store, error) {
	f, err := os.OpenFile(os.Getenv(envAcknowledged), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return s, err
	}
	var mu sync.Mutex
	appendEntry := s.Append
	s.Append = func(ctx context.Context, e sequoiatable.Entry) sequoiacontrol.Appended {
		result := appendEntry(ctx, e)
		if result.Result == sequoiacontrol.AppendUnknown && os.Getenv(envRemovedSafeguard) == safeguardReadBack {
			result.Result, result.Winner, result.Err = sequoiacontrol.AppendWon, &e, nil
		}
		if result.Result == sequoiacontrol.AppendWon {
			mu.Lock()
			defer mu.Unlock()
			if encoded, err := sequoiatable.EncodeEntry(e); err == nil {
				_ = json.NewEncoder(f).Encode(encoded)
			}
		}
		return result
	}
	return s, nil
}

// runStore implements "standin-store ADDRESS", the store stand-in.
func runStore(ctx context.Context, args []string) error {
	s, err := sequoiastandin.StartStore(netip.MustParseAddrPort(args[0]))
	if err != nil {
		return err
	}
	defer s.Close()
	<-ctx.Done()
	return nil
}

// runUpstream implements "standin-upstream CONFIGURATION", an upstream stand-in configured by JSON.
func runUpstream(ctx context.Context, args []string) error {
	var cfg sequoiastandin.UpstreamConfig
	if err := json.Unmarshal([]byte(args[0]), &cfg); err != nil {
		return err
	}
	cfg.DisableChecks = os.Getenv(envRemovedSafeguard) == safeguardUpstreamChecks
	u, err := sequoiastandin.StartUpstream(cfg)
	if err != nil {
		return err
	}
	defer u.Close()
	<-ctx.Done()
	return nil
}

// loadPlan is the argument of standin-load.
type loadPlan struct {
	Config    sequoiastandin.LoadConfig
	Processes []netip.AddrPort
	// Plain selects HTTP requests to the processes in round-robin order instead of the client package.
	Plain bool
	// Abandon is the time after which a plain caller cancels every second request. Zero cancels none.
	Abandon time.Duration
	// Resends bounds how often a caller resends a request whose outcome is Unknown.
	Resends int
	// Records is the file to which the callers' records are written.
	Records string
}

// runLoad implements "standin-load PLAN", the load generator with a loadPlan as JSON. On SIGTERM it waits for the
// requests in progress before it ends.
func runLoad(ctx context.Context, args []string) error {
	var plan loadPlan
	if err := json.Unmarshal([]byte(args[0]), &plan); err != nil {
		return err
	}
	client, err := sequoiaclient.New(plan.Processes)
	if err != nil {
		return err
	}
	defer client.Close()
	send := plan.clientSend(client)
	if plan.Plain {
		send = plan.plainSend()
	}
	report, err := sequoiastandin.RunLoad(ctx, plan.Config, func(ctx context.Context, call sequoiastandin.LoadCall) sequoiastandin.LoadResult {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Timeout)
		defer cancel()
		return send(ctx, call)
	})
	if err != nil {
		return err
	}
	data, err := json.Marshal(report.Records)
	if err != nil {
		return err
	}
	return os.WriteFile(plan.Records, data, 0o644)
}

// resendDelay separates a caller's attempts after an Unknown outcome.
const resendDelay = 300 * time.Millisecond

func (p *loadPlan) clientSend(client *sequoiaclient.Client) sequoiastandin.SendFunc {
	return func(ctx context.Context, call sequoiastandin.LoadCall) sequoiastandin.LoadResult {
		req := &sequoiaclient.Request{
			Service: call.Service, Key: call.Key, RequestID: call.RequestID, Repeatable: call.Repeatable,
			Method: "POST", Path: "/work", Body: call.Body,
		}
		firstCtx, cancel := context.WithTimeout(ctx, p.attemptTimeout(call))
		res, err := client.Do(firstCtx, req)
		cancel()
		for n := 0; err == nil && res.Outcome == sequoiaclient.Unknown && n < p.Resends; n++ {
			time.Sleep(resendDelay)
			againCtx, cancel := context.WithTimeout(ctx, p.attemptTimeout(call))
			res, err = client.Resend(againCtx, req, res)
			cancel()
		}
		if err != nil {
			return sequoiastandin.LoadResult{Outcome: sequoiachecker.Unknown}
		}
		return sequoiastandin.LoadResult{
			Outcome: sequoiachecker.Outcome(res.Outcome.String()), Status: res.Status, Answer: res.Body,
		}
	}
}

// attemptTimeout divides the timeout of a request evenly among its attempts.
func (p *loadPlan) attemptTimeout(call sequoiastandin.LoadCall) time.Duration {
	return call.Timeout / time.Duration(p.Resends+1)
}

// stampTransport requests a stamp from the process before each request, as callers without the client package do to
// make resending safe.
type stampTransport struct {
	next http.RoundTripper
}

// RoundTrip sends a request with a stamp. It fails without sending the request if the process returns no stamp.
func (t stampTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/s/"), "/")
	q := url.Values{"service": {service}, "key": {r.Header.Get("Sequoia-Key")}}
	stampRequest, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+r.URL.Host+"/v1/stamp?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := t.next.RoundTrip(stampRequest)
	if err != nil {
		return nil, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("no stamp: status %d", resp.StatusCode)
	}
	r = r.Clone(r.Context())
	r.Header.Set("Sequoia-First-Epoch", resp.Header.Get("Sequoia-First-Epoch"))
	return t.next.RoundTrip(r)
}

func (p *loadPlan) plainSend() sequoiastandin.SendFunc {
	client := &http.Client{Transport: stampTransport{&http.Transport{MaxIdleConnsPerHost: 100}}}
	var sends []sequoiastandin.SendFunc
	for _, addr := range p.Processes {
		sends = append(sends, sequoiastandin.HTTPSend(client, addr))
	}
	var mu sync.Mutex
	next := 0
	return func(ctx context.Context, call sequoiastandin.LoadCall) sequoiastandin.LoadResult {
		mu.Lock()
		next++
		n := next
		mu.Unlock()
		if p.Abandon > 0 && n%2 == 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, p.Abandon)
			defer cancel()
		}
		return sends[n%len(sends)](ctx, call)
	}
}

// operatorPlan is the argument of standin-operators.
type operatorPlan struct {
	Address    netip.AddrPort
	Credential string
	Request    sequoiaadmin.ApplyRequest
	Timeout    time.Duration
	Result     string
}

// applyResult is the result of an operator's apply request.
type applyResult struct {
	Base     uint64
	Revision uint64
	Ended    time.Time
	// Conflict is true if another operator's document was applied instead, and Unknown if the result is not known.
	Conflict bool
	Unknown  bool
	Error    string
}

// runOperators implements "standin-operators PLAN", which applies a configuration as one operator, with an operatorPlan
// as JSON.
func runOperators(ctx context.Context, args []string) error {
	var plan operatorPlan
	if err := json.Unmarshal([]byte(args[0]), &plan); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, plan.Timeout)
	defer cancel()
	done, err := sequoiaadmin.NewClient(plan.Address, plan.Credential).Apply(ctx, plan.Request)
	result := applyResult{Base: plan.Request.Base, Revision: done.Revision, Ended: time.Now()}
	if err != nil {
		result.Conflict = errors.Is(err, sequoiaadmin.ErrConflict)
		result.Unknown = errors.Is(err, sequoiaadmin.ErrUnknownResult)
		result.Error = err.Error()
	}
	data, err := json.Marshal(result)
	if err != nil {
		return err
	}
	return os.WriteFile(plan.Result, data, 0o644)
}

// serveOn serves HTTP on an address until the program ends.
func serveOn(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

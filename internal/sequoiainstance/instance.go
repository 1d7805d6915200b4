// Package sequoiainstance assembles one process: it connects the control core to the store, the other processes and the
// data path.
package sequoiainstance

import (
	"context"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaproxy"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// tickInterval is the interval of the core's ticks. The core's shortest timing is the 50 ms for which it collects
	// suspected members.
	tickInterval = 25 * time.Millisecond
	// loadInterval is the interval at which the load is measured. The core decides how often it is reported.
	loadInterval = time.Second
	// maxPendingMessages is the length of the event queue at which further messages of peers are dropped. Senders repeat
	// every message.
	maxPendingMessages = 4096
	// drainPollInterval is the interval at which a drain checks whether requests are still in progress.
	drainPollInterval = 10 * time.Millisecond
	// shutdownTimeout bounds a graceful shutdown. It covers the core's two waits of 65 s for requests in progress, one
	// while keys move and one before the process leaves, and the append of the log entry with which it leaves.
	shutdownTimeout = 140 * time.Second
	// settleTimeout bounds the wait for requests that have arrived as the process stops.
	settleTimeout = 2 * time.Second
)

// Instance is one running process.
type Instance struct {
	settings        sequoiasettings.Settings
	store           Store
	core            *sequoiacontrol.Core
	router          *sequoiarouter.Router
	proxy           *sequoiaproxy.Proxy
	control         *sequoiapeer.Control
	forward         *sequoiapeer.Forwarder
	timers          *sequoiatimer.Service
	log             *sequoialog.Logger
	metrics         *prometheus.Registry
	counters        *counters
	history         *history
	pendingCommands *pendingCommands
	instanceNames   instanceNames

	configuration atomic.Pointer[sequoiasettings.Configuration]
	snapshot      atomic.Pointer[sequoiacontrol.Snapshot]
	events        *queue[sequoiacontrol.Event]
	stopWatch     func()
	stopped       chan struct{}
	stopOnce      sync.Once

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	admin      *adminListener
}

// Option configures a new Instance.
type Option func(*options)

type options struct {
	control         []sequoiacontrol.Option
	router          []sequoiarouter.Option
	proxy           []sequoiaproxy.Option
	adjustTransport func(c *sequoiapeer.Control, f *sequoiapeer.Forwarder)
}

// WithControl passes options to the control core, for tests and measurements.
func WithControl(opts ...sequoiacontrol.Option) Option {
	return func(o *options) { o.control = append(o.control, opts...) }
}

// WithRouter passes options to the router.
func WithRouter(opts ...sequoiarouter.Option) Option {
	return func(o *options) { o.router = append(o.router, opts...) }
}

// WithProxy passes options to the proxy.
func WithProxy(opts ...sequoiaproxy.Option) Option {
	return func(o *options) { o.proxy = append(o.proxy, opts...) }
}

// WithTransport lets a test replace the functions that dial and send packets before the listeners open.
func WithTransport(adjust func(c *sequoiapeer.Control, f *sequoiapeer.Forwarder)) Option {
	return func(o *options) { o.adjustTransport = adjust }
}

// New starts a process that listens on the addresses in its settings. The caller remains responsible for closing the
// store and the log. New returns an error if it cannot listen on an address.
func New(settings sequoiasettings.Settings, store Store, log *sequoialog.Logger, opts ...Option) (*Instance, error) {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	in := &Instance{
		settings: settings, log: log,
		metrics: prometheus.NewRegistry(), history: newHistory(), pendingCommands: newPendingCommands(),
		events: newQueue[sequoiacontrol.Event](), stopped: make(chan struct{}),
	}
	in.ctx, in.cancel = context.WithCancel(context.Background())
	in.counters = newCounters(in.metrics)
	in.store = in.counters.instrumentStore(store)
	in.timers = sequoiatimer.New()
	in.core = sequoiacontrol.New(append(in.coreOptions(), o.control...)...)
	in.router = sequoiarouter.New(o.router...)
	in.proxy = sequoiaproxy.New(in.router, append(o.proxy, sequoiaproxy.WithRegistry(in.metrics))...)
	in.proxy.OnUpstream = func(u sequoiacontrol.Upstream) { in.post(u) }
	in.proxy.OnRequestDone = in.logRequest
	if err := in.connect(o.adjustTransport); err != nil {
		in.Close()
		return nil, err
	}
	in.start()
	return in, nil
}

func (in *Instance) coreOptions() []sequoiacontrol.Option {
	s := in.settings
	opts := []sequoiacontrol.Option{
		sequoiacontrol.WithMember(sequoiatable.Member{
			Instance: s.Instance, Region: s.Region, FailureDomain: s.FailureDomain,
			Control: s.Control, Forward: s.Forward, HTTP: s.HTTP, Boot: bootID(),
		}),
		sequoiacontrol.WithContacts(s.Contacts),
		sequoiacontrol.WithTuning(in.tuning),
		sequoiacontrol.WithTableCodec(sequoiacontrol.TableCodec{Encode: encodeTable, Decode: sequoiatable.DecodeCheckpoint}),
	}
	if s.Authority == sequoiasettings.AuthorityStoreLease {
		opts = append(opts, sequoiacontrol.WithAuthority(sequoiacontrol.StoreLeases))
	}
	return opts
}

// bootIDPath is the file with the random identifier that Linux generates at each boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// bootID returns a hash of the identifier of the current boot, or zero if the system provides none. With zero, a
// restarted process cannot give promises on behalf of its predecessor, whose keys stay unavailable until its witnesses
// have promised.
func bootID() uint64 {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(id)
}

// maxCheckpointPartBytes keeps each part of a checkpoint below the store's limit of 1 MB for a value.
const maxCheckpointPartBytes = 512 << 10

func encodeTable(t *sequoiatable.Table) ([][]byte, error) {
	return t.Encode(maxCheckpointPartBytes), nil
}

// connect sets up the connections to other processes and opens the listeners.
func (in *Instance) connect(adjust func(*sequoiapeer.Control, *sequoiapeer.Forwarder)) error {
	key := []byte(in.settings.SharedKey)
	var err error
	in.control, err = sequoiapeer.NewControl(key, sequoiapeer.WithReceive(in.receivePeerMessage), sequoiapeer.WithRejected(in.peerRejected))
	if err != nil {
		return err
	}
	in.forward, err = sequoiapeer.NewForwarder(key,
		sequoiapeer.WithServe(in.proxy.ServeForwarded), sequoiapeer.WithForwardRejected(in.peerRejected),
		sequoiapeer.WithReserve(in.proxy.Account().ReserveForwarded))
	if err != nil {
		return err
	}
	in.proxy.Forward = in.forward.Forward
	in.proxy.NotSent = func(err error) bool { return errors.Is(err, sequoiapeer.ErrNotSent) }
	if adjust != nil {
		adjust(in.control, in.forward)
	}
	in.control.SetIncarnation(in.core.Self())
	if err := in.control.Listen(in.settings.Control); err != nil {
		return errors.Wrap(err, "listen for control messages")
	}
	if err := in.forward.Listen(in.settings.Forward); err != nil {
		return errors.Wrap(err, "listen for forwarded requests")
	}
	if _, err := in.proxy.ListenCallers(in.settings.HTTP); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if _, err := in.proxy.ListenUpstream(in.settings.Announce); err != nil {
		return errors.Wrap(err, "listen for the upstream")
	}
	return in.listenAdministration()
}

func (in *Instance) start() {
	in.snapshot.Store(&sequoiacontrol.Snapshot{Table: sequoiatable.New(), Self: in.core.Self()})
	in.goroutines.Go(in.loop)
	in.timers.Every(tickInterval, func(time.Time) { in.post(sequoiacontrol.Tick{}) })
	in.timers.Every(loadInterval, func(now time.Time) {
		in.post(sequoiacontrol.LoadMeasured{Load: in.router.MeasureLoad(now)})
	})
	if in.settings.Authority == sequoiasettings.AuthorityStoreLease {
		in.goroutines.Go(in.watchLeases)
	}
}

// Snapshot returns the current snapshot.
func (in *Instance) Snapshot() *sequoiacontrol.Snapshot {
	return in.snapshot.Load()
}

// Stopped returns a channel that is closed when a drain has ended.
func (in *Instance) Stopped() <-chan struct{} {
	return in.stopped
}

// Drain hands over all keys and returns once no request is in progress. If ctx ends first, it returns ctx's error.
func (in *Instance) Drain(ctx context.Context, reason string) error {
	if _, err := in.submitCommand(ctx, sequoiacontrol.Command{Drain: &sequoiacontrol.Drain{Reason: reason}}); err != nil {
		in.logFault("DrainFailed", err)
	}
	select {
	case <-in.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run serves until an operator has drained the process or ctx ends; in the latter case it drains. It then closes the
// process.
func (in *Instance) Run(ctx context.Context) error {
	// Otherwise the garbage collector lets the heap grow to twice what is held for callers.
	debug.SetMemoryLimit(sequoiamemory.RuntimeLimit(sequoiamemory.DefaultMemory))
	defer in.Close()
	defer in.proxy.Drain(settleTimeout)
	select {
	case <-in.stopped:
		return nil
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Wrap(in.Drain(ctx, "Signal"), "drain")
}

// Close stops the process at once and hands over no keys, like a crash. It releases the control address last, because a
// later process on this instance that binds the address takes that as proof that this one has ended, and then makes
// promises on its behalf.
func (in *Instance) Close() {
	in.stopOnce.Do(func() {
		in.cancel()
		in.timers.Close()
		in.events.close()
		if in.admin != nil {
			in.admin.close()
		}
		in.proxy.Close()
		if in.forward != nil {
			_ = in.forward.Close()
		}
		if in.control != nil {
			_ = in.control.Close()
		}
		in.goroutines.Wait()
	})
}

func (in *Instance) receivePeerMessage(from sequoiatable.IncarnationID, m sequoiacontrol.Message) {
	if in.events.length() >= maxPendingMessages {
		in.counters.droppedMessages.Inc()
		return
	}
	in.post(sequoiacontrol.Received{From: from, Message: m})
}

func (in *Instance) peerRejected(peer netip.AddrPort, err error) {
	in.counters.rejectedPeers.Inc()
	in.log.PeerRejected(peer, err)
}

func (in *Instance) post(ev sequoiacontrol.Event) {
	in.events.push(ev)
}

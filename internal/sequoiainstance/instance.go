// Package sequoiainstance assembles one process: the control core with the store, the connections to other processes
// and the data path around it.
package sequoiainstance

import (
	"context"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaproxy"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// tickInterval drives the core; its shortest timing is the 50 ms in which suspects are collected.
	tickInterval = 25 * time.Millisecond
	// loadInterval is how often the load is measured. The core decides how often it is reported.
	loadInterval = time.Second
	// maxWaitingMessages bounds the messages of peers that wait for the core; later ones are dropped, since every
	// message between processes is repeated by its sender.
	maxWaitingMessages = 4096
	// drainPoll is how often the end of the last requests is checked.
	drainPoll = 10 * time.Millisecond
	// stopTimeout bounds a planned stop. It covers the core's two waits of 65 s for requests in progress, while keys
	// move and before the process leaves, and the entry that ends the stop.
	stopTimeout = 140 * time.Second
)

// Instance is one running process.
type Instance struct {
	settings sequoiasettings.Settings
	store    Store
	core     *sequoiacontrol.Core
	router   *sequoiarouter.Router
	proxy    *sequoiaproxy.Proxy
	control  *sequoiapeer.Control
	forward  *sequoiapeer.Forwarder
	timers   *sequoiatimer.Service
	log      *sequoialog.Logger
	metrics  *prometheus.Registry
	counters *counters
	history  *history
	commands *commands
	names    names

	configuration atomic.Pointer[sequoiasettings.Configuration]
	snapshot      atomic.Pointer[sequoiacontrol.Snapshot]
	events        *queue[sequoiacontrol.Event]
	stopWatch     func()
	stopped       chan struct{}
	stopOnce      sync.Once

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	admin   *adminListener
}

// Option changes an Instance under construction.
type Option func(*options)

type options struct {
	control []sequoiacontrol.Option
	router  []sequoiarouter.Option
	proxy   []sequoiaproxy.Option
	adjust  func(c *sequoiapeer.Control, f *sequoiapeer.Forwarder)
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

// WithTransport lets a test replace the dial and packet functions before the listeners open.
func WithTransport(adjust func(c *sequoiapeer.Control, f *sequoiapeer.Forwarder)) Option {
	return func(o *options) { o.adjust = adjust }
}

// New returns a process that listens on the addresses of its settings. The store and the log stay the caller's to
// close. It returns an error if an address cannot be used.
func New(settings sequoiasettings.Settings, store Store, log *sequoialog.Logger, opts ...Option) (*Instance, error) {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	in := &Instance{
		settings: settings, log: log,
		metrics: prometheus.NewRegistry(), history: newHistory(), commands: newCommands(),
		events: newQueue[sequoiacontrol.Event](), stopped: make(chan struct{}),
	}
	in.ctx, in.cancel = context.WithCancel(context.Background())
	in.counters = newCounters(in.metrics)
	in.store = in.counters.measureStore(store)
	in.timers = sequoiatimer.New()
	in.core = sequoiacontrol.New(append(in.coreOptions(), o.control...)...)
	in.router = sequoiarouter.New(o.router...)
	in.proxy = sequoiaproxy.New(in.router, append(o.proxy, sequoiaproxy.WithRegistry(in.metrics))...)
	in.proxy.OnUpstream = func(u sequoiacontrol.Upstream) { in.post(u) }
	in.proxy.OnDecision = in.logRequest
	if err := in.connect(o.adjust); err != nil {
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

// bootFile holds a random identifier that Linux makes at each boot.
const bootFile = "/proc/sys/kernel/random/boot_id"

// bootID returns a hash of the identifier of the present boot, zero where the system has none. A restarted process then
// cannot speak for the one before it, and that one's keys wait for its witnesses.
func bootID() uint64 {
	id, err := os.ReadFile(bootFile)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(id)
}

// maxCheckpointPart keeps each part of a checkpoint below the store's limit of 1 MB for a value.
const maxCheckpointPart = 512 << 10

func encodeTable(t *sequoiatable.Table) ([][]byte, error) {
	return t.Encode(maxCheckpointPart), nil
}

// connect opens the connections to other processes and the listeners.
func (in *Instance) connect(adjust func(*sequoiapeer.Control, *sequoiapeer.Forwarder)) error {
	key := []byte(in.settings.SharedKey)
	var err error
	in.control, err = sequoiapeer.NewControl(key, sequoiapeer.WithReceive(in.receive), sequoiapeer.WithRejected(in.rejected))
	if err != nil {
		return err
	}
	in.forward, err = sequoiapeer.NewForwarder(key,
		sequoiapeer.WithServe(in.proxy.ServeForwarded), sequoiapeer.WithForwardRejected(in.rejected))
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
	in.running.Go(in.loop)
	in.timers.Every(tickInterval, func(time.Time) { in.post(sequoiacontrol.Tick{}) })
	in.timers.Every(loadInterval, func(now time.Time) {
		in.post(sequoiacontrol.LoadMeasured{Load: in.router.MeasureLoad(now)})
	})
	if in.settings.Authority == sequoiasettings.AuthorityStoreLease {
		in.running.Go(in.watchLeases)
	}
}

// Snapshot returns the snapshot in force.
func (in *Instance) Snapshot() *sequoiacontrol.Snapshot {
	return in.snapshot.Load()
}

// Stopped is closed when a drain has ended.
func (in *Instance) Stopped() <-chan struct{} {
	return in.stopped
}

// Drain hands all keys over and returns once no request is in progress, or with ctx's error.
func (in *Instance) Drain(ctx context.Context, reason string) error {
	if _, err := in.command(ctx, sequoiacontrol.Command{Drain: &sequoiacontrol.Drain{Reason: reason}}); err != nil {
		in.logFault("DrainFailed", err)
	}
	select {
	case <-in.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run serves until ctx ends, then drains, or until an operator has drained the process. It closes the process.
func (in *Instance) Run(ctx context.Context) error {
	defer in.Close()
	select {
	case <-in.stopped:
		return nil
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Wrap(in.Drain(ctx, "Signal"), "drain")
}

// Close ends the process at once, as a loss would. The control address is given up last: a later process that binds it
// may then speak for this one (rule L8 of the design).
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
		in.running.Wait()
	})
}

func (in *Instance) receive(from sequoiatable.IncarnationID, m sequoiacontrol.Message) {
	if in.events.length() >= maxWaitingMessages {
		in.counters.droppedMessages.Inc()
		return
	}
	in.post(sequoiacontrol.Received{From: from, Message: m})
}

func (in *Instance) rejected(peer netip.AddrPort, err error) {
	in.counters.rejectedPeers.Inc()
	in.log.PeerRejected(peer, err)
}

func (in *Instance) post(ev sequoiacontrol.Event) {
	in.events.push(ev)
}

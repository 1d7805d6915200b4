package sequoianode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaevacuation"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaquarantine"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Keys in the store.
const (
	memberPrefix       = "Sequoia/Member/"
	registrationPrefix = "Sequoia/Registration/"
	tableKey           = "Sequoia/Table"
	secretKey          = "Sequoia/Secret"
)

const (
	// livenessInterval is the interval of liveness checks on a connection to another process. A connection without data
	// for six intervals, 720 ms, is closed, so that a request that was sent on it has time left for another attempt.
	livenessInterval = 120 * time.Millisecond
	// connectTimeout limits connecting to another process; the round-trip time is 3 ms.
	connectTimeout = 400 * time.Millisecond
	// memberWatchTimeout and configurationWatchTimeout limit one watch call. A silent connection delays the watched
	// changes by this time, and a configuration must be in force within 5 s of its change.
	memberWatchTimeout        = 6 * time.Second
	configurationWatchTimeout = 4 * time.Second
	// watchPausePerMember times the number of members, up to maxWatchPause, is the pause of the member watch after a
	// change. Each change costs a store call by every member, so a large fleet batches more changes per call.
	watchPausePerMember = 8 * time.Millisecond
	maxWatchPause       = time.Second
	// ownershipStepInterval is the interval of ownership steps.
	ownershipStepInterval = 50 * time.Millisecond
	// grantTimeout limits a grant call; the upstream is on the same instance.
	grantTimeout = 600 * time.Millisecond
	// maxIdleCommands is the number of connections to the upstream that are kept for grants. An owner renews all of its
	// ranges every 0.7 s, those that were split from one range at the same time.
	maxIdleCommands = 32
	// releaseTimeout limits a release call, which returns once the running requests on the keys have finished.
	releaseTimeout = 1500 * time.Millisecond
	// secretRetryPause is the pause between attempts to read the secret at startup.
	secretRetryPause = 200 * time.Millisecond
	// lostSecretWait is how long a process waits for a missing secret before it creates one. After a restore of the store,
	// the processes that know the secret write it again within a renewal of their leases.
	lostSecretWait = 3 * time.Second
	// maxBodyBytes limits the size of a buffered request body.
	maxBodyBytes = 64 << 20
	// controlMemory is the size in bytes of the account of each listener for announcements, readiness checks or metrics, and
	// maxControlConns the number of its connections. They have room of their own, so that a crowd of clients cannot silence
	// them.
	controlMemory   = 4 << 20
	maxControlConns = 128
	// clientDescriptors is the share of the descriptors of the process that client connections may use, in tenths.
	clientDescriptors = 7
	// maxControlBytes limits the body of an announcement, a readiness check or a fetch of metrics.
	maxControlBytes = 256 << 10
	// secretBytes is the length of the shared secret for authentication between processes.
	secretBytes = 32
	// defaultSlots is the concurrency limit until the upstream has announced its own.
	defaultSlots = 4
)

// Node is one running sidecar process.
type Node struct {
	settings  Settings
	dialect   Dialect
	store     sequoiaregistry.Store
	log       *sequoialog.Events
	timers    *sequoiatimer.Service
	processID string

	front *sequoiafront.Server
	// account is the memory that the process holds for clients, upstreams and other processes.
	account   *sequoiamemory.Account
	responses *responseRoom
	forwarder *sequoiapeer.Forwarder
	// bodies is the forwarder once it has been started; until then it is nil.
	bodies atomic.Pointer[sequoiapeer.Forwarder]
	// reserveBody reserves memory for a body of another process's request.
	reserveBody    func(n int) (release func(), ok bool)
	upstreamClient *sequoiahttp.Client
	commandClient  *sequoiahttp.Client
	registration   *sequoiaregistry.Registration
	metrics        *metrics
	balancer       *balancer
	relay          *relay
	watches        *sharedWatches
	retries        *retryBudgets
	quarantine     *quarantine
	directory      *directory
	splitter       *sequoiaroute.Splitter
	// config is the configuration in force, and configurationItem its item in the store.
	config             atomic.Pointer[sequoiaroute.Configuration]
	configurationItem  atomic.Pointer[sequoiaregistry.Item]
	stopping           atomic.Bool
	ready              atomic.Bool
	requestingPromises atomic.Bool
	fetchingTable      atomic.Bool
	// fetchingConfiguration is true while the configuration is being fetched from another process.
	fetchingConfiguration atomic.Bool
	// stopDeadline is the latest time, in Unix nanoseconds, by which accepted requests of a stopping process may end.
	// Zero rejects all new requests.
	stopDeadline atomic.Int64

	// commitMu serializes commits of the table.
	commitMu      sync.Mutex
	upstreamProbe upstreamProbe

	mu sync.Mutex
	// The following fields are protected by mu.
	core  *sequoiaowner.Core
	queue *sequoiaadmission.Queue
	meter *sequoiakeyspace.Meter
	// sequence is the sequence number of the local upstream's latest accepted heartbeat.
	sequence uint64
	// predecessor is what the store says of the upstream that an earlier process on the instance knew, and recorded is what
	// this process has written of it.
	predecessor predecessor
	recorded    registrationRecord
	// leavingSince is when the local upstream started to drain; zero if it is not leaving.
	leavingSince time.Time
	// ownershipChanged is closed and replaced at each change that awaitOwnership waits for.
	ownershipChanged chan struct{}
	// warmUntil is when the local upstream's warm-up ends.
	warmUntil time.Time
	limit     rateLimit
	warmup    warmup
	// orders holds the orders to evacuate failure domains.
	orders *sequoiaevacuation.Orders
	// operatorItemsAt is when the operator's items in the store were last known completely, zero before that.
	operatorItemsAt time.Time
	// runs holds the requests in progress at the local upstream.
	runs *sequoiaquarantine.Runs[*sequoiaadmission.Ticket]
	// queueTimer is the timer of the queue's next event, nil if none is set, and queueTimerAt is its time.
	queueTimer   *sequoiatimer.Subscription
	queueTimerAt time.Time
	// proposals are the pending writes for the next commit of the table.
	proposals []proposal
	history   history
	tables    tableSender
	// onRestored is called when the store has been restored from a copy.
	onRestored func()
	// era is the store's era at the last ownership step, if eraKnown.
	era      uint64
	eraKnown bool
}

// New returns a Node; Run starts it.
func New(
	settings Settings, d Dialect, direct sequoiaregistry.RoundTrip, log *sequoialog.Events, timers *sequoiatimer.Service,
) *Node {
	account := newAccount(settings.MemoryLimit)
	n := &Node{
		settings: settings, dialect: d, log: log, timers: timers, processID: randomID(8),
		front:          sequoiafront.New(maxBodyBytes, sequoiafront.WithServerAccount(account)),
		account:        account,
		responses:      &responseRoom{account: account},
		upstreamClient: sequoiahttp.New(sequoiahttp.WithResponsesUntilClose(), sequoiahttp.WithMaxIdle(16)),
		commandClient:  sequoiahttp.New(sequoiahttp.WithMaxIdle(maxIdleCommands)),
		splitter:       sequoiaroute.NewSplitter(), queue: sequoiaadmission.New(defaultSlots),
		runs: sequoiaquarantine.NewRuns[*sequoiaadmission.Ticket](), meter: sequoiakeyspace.NewMeter(),
		ownershipChanged: make(chan struct{}), directory: newDirectory(settings), warmup: newWarmup(time.Now(), settings),
		reserveBody: account.ReserveForwarded,
		orders:      sequoiaevacuation.New(settings.EvacuationTime),
	}
	n.core = sequoiaowner.New(
		settings.Instance, sequoiatimer.BootTime(), sequoiaowner.WithHeartbeat(settings.Heartbeat), sequoiaowner.WithMeter(n.meter),
		sequoiaowner.WithLongestRun(n.longestRun), sequoiaowner.WithDomain(settings.Domain), sequoiaowner.WithRoom(n.room),
	)
	n.relay = newRelay(n, direct)
	n.store = d.NewStore(n.relay.exchange)
	n.metrics = newMetrics(n)
	n.retries = newRetryBudgets(settings)
	n.watches = newSharedWatches(n)
	n.balancer = newBalancer(n)
	n.quarantine = newQuarantine(n)
	return n
}

// newAccount returns the account of a process with a memory limit, zero if it has none. What is no longer in use counts
// against a limit until it has been returned to the operating system.
func newAccount(memoryLimit int64) *sequoiamemory.Account {
	var opts []sequoiamemory.Option
	if memoryLimit > 0 {
		opts = append(opts, sequoiamemory.WithCollect(debug.FreeOSMemory))
	}
	return sequoiamemory.New(sequoiamemory.AccountLimit(memoryLimit), opts...)
}

func randomID(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // rand.Read never returns an error.
	return hex.EncodeToString(b)
}

// Run serves requests until ctx is done and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.log.Event("process started", "Process", n.processID, "Service", n.settings.Service, "Upstream", n.settings.Upstream)
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.listen(); err != nil {
		return err
	}
	defer n.front.Close()
	secret, err := n.secret(ctx)
	if err != nil {
		return err
	}
	n.forwarder, err = sequoiapeer.NewForwarder(secret, append(
		n.withLink(), sequoiapeer.WithServe(n.serveForwarded), sequoiapeer.WithTimers(n.timers),
		sequoiapeer.WithLiveness(livenessInterval, connectTimeout),
		sequoiapeer.WithForwardRejected(func(peer netip.AddrPort, err error) {
			n.log.Event("peer rejected", "Peer", peer, "Error", err)
		}),
	)...)
	if err != nil {
		return err
	}
	defer n.forwarder.Close()
	n.bodies.Store(n.forwarder)
	var reported sequoiapeer.BodyStats
	report := n.timers.Every(linkReportInterval, func(time.Time) { n.logRefusedBodies(&reported) })
	defer report.Cancel()
	if err := n.forwarder.Listen(n.settings.Forward); err != nil {
		return err
	}
	n.ready.Store(true)
	go n.quarantine.run(running)
	n.startStoreSync(running)
	n.onRestored = func() { go n.restoreSecret(running, secret) }
	step := n.timers.Every(ownershipStepInterval, func(time.Time) { n.stepOwnership(running) })
	defer step.Cancel()
	balance := n.timers.Every(sequoiakeyspace.MeterInterval, func(time.Time) { n.balancer.run(running) })
	defer balance.Cancel()
	<-ctx.Done()
	n.stop(running)
	return nil
}

func (n *Node) listen() error {
	client := []sequoiafront.ListenOption{
		sequoiafront.WithRepeatable(n.mayRunAgain), sequoiafront.WithClosing(n.stopping.Load),
		sequoiafront.WithRefusalHeader(n.setRefusalHeader), sequoiafront.WithLimits(n.requestLimits),
	}
	if n.settings.MaxDescriptors > 0 {
		client = append(client, sequoiafront.WithMaxConns(n.settings.MaxDescriptors*clientDescriptors/10))
	}
	if _, err := n.front.Listen(n.settings.Outbound, http.HandlerFunc(n.serveClient), client...); err != nil {
		return err
	}
	if _, err := n.front.Listen(n.settings.Ready, http.HandlerFunc(n.serveReady), controlOptions()...); err != nil {
		return err
	}
	if _, err := n.front.Listen(n.settings.Announce, http.HandlerFunc(n.serveAnnouncement), controlOptions()...); err != nil {
		return err
	}
	if n.settings.Metrics.IsValid() {
		if _, err := n.front.Listen(n.settings.Metrics, n.serveControl(), controlOptions()...); err != nil {
			return err
		}
	}
	return nil
}

// controlOptions returns the options of a listener that is not for clients.
func controlOptions() []sequoiafront.ListenOption {
	return []sequoiafront.ListenOption{
		sequoiafront.WithMaxBody(maxControlBytes), sequoiafront.WithMaxConns(maxControlConns),
		sequoiafront.WithAccount(sequoiamemory.New(controlMemory)),
	}
}

// requestLimits returns the limits on requests of the configuration in force.
func (n *Node) requestLimits() sequoiafront.Limits {
	cfg := n.config.Load()
	if cfg == nil {
		return sequoiafront.Limits{}
	}
	return sequoiafront.Limits{
		MaxHead: cfg.Limits.MaxHeaderBytes, MaxBody: cfg.Limits.MaxBodyBytes,
		HeadTimeout: cfg.Limits.HeaderTimeout, IdleTimeout: cfg.Limits.IdleTimeout,
	}
}

func (n *Node) withCore(f func(c *sequoiaowner.Core)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.core)
}

// table returns the table and its revision. The table is nil until it has been read.
func (n *Node) table() (*sequoiakeyspace.Table, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Table()
}

// notifyOwnershipChanged wakes all goroutines in awaitOwnership. The caller must hold mu.
func (n *Node) notifyOwnershipChanged() {
	close(n.ownershipChanged)
	n.ownershipChanged = make(chan struct{})
}

func (n *Node) load() sequoiarouter.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loadLocked()
}

func (n *Node) loadLocked() sequoiarouter.Load {
	return sequoiarouter.Load{
		Running: n.queue.Running(), Waiting: n.queue.Waiting(), Slots: n.queue.Slots(), Work: n.queue.MeanDuration(),
		StartDelay: n.queue.StartDelay(time.Now()), ColdFor: n.warmup.gate.ColdFor(time.Now()), LinkDelay: n.linkDelay(),
	}
}

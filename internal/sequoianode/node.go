package sequoianode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// Keys in the store.
const (
	memberPrefix = "Sequoia/Member/"
	tableKey     = "Sequoia/Table"
	secretKey    = "Sequoia/Secret"
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
	// releaseTimeout limits a release call, which returns once the running requests on the keys have finished.
	releaseTimeout = 1500 * time.Millisecond
	// secretRetryPause is the pause between attempts to read the secret at startup.
	secretRetryPause = 200 * time.Millisecond
	// shutdownDelay is the minimum time that a stopping process keeps serving clients. They need two failed readiness
	// checks, one per second, to switch to another process.
	shutdownDelay = 2300 * time.Millisecond
	// shutdownSettleTime is how long a stopping process rejects new requests before it exits, so that requests already
	// in transit get a response and the responses are written.
	shutdownSettleTime = 100 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period a process stops waiting for requests and handovers.
	// It then rejects requests briefly, ends its lease and closes its listeners before SIGKILL.
	shutdownMargin = 1200 * time.Millisecond
	// leaseEndTimeout limits the call that ends the lease. A lease that is not ended expires.
	leaseEndTimeout = 300 * time.Millisecond
	// maxBodyBytes limits the size of a buffered request body.
	maxBodyBytes = 64 << 20
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

	front              *sequoiafront.Server
	forwarder          *sequoiapeer.Forwarder
	upstreamClient     *sequoiahttp.Client
	commandClient      *sequoiahttp.Client
	registration       *sequoiaregistry.Registration
	metrics            *metrics
	balancer           *balancer
	relay              *relay
	retries            *retryBudgets
	directory          *directory
	splitter           *sequoiaroute.Splitter
	config             atomic.Pointer[sequoiaroute.Configuration]
	stopping           atomic.Bool
	ready              atomic.Bool
	requestingPromises atomic.Bool
	fetchingTable      atomic.Bool
	// stopDeadline is the latest time, in Unix nanoseconds, by which accepted requests of a stopping process may end.
	// Zero rejects all new requests.
	stopDeadline atomic.Int64

	// commitMu serializes commits of the table.
	commitMu sync.Mutex

	mu sync.Mutex
	// The following fields are protected by mu.
	core  *sequoiaowner.Core
	queue *sequoiaadmission.Queue
	meter *sequoiakeyspace.Meter
	// sequence is the sequence number of the local upstream's latest accepted heartbeat.
	sequence uint64
	// leavingSince is when the local upstream started to drain; zero if it is not leaving.
	leavingSince time.Time
	// ownershipChanged is closed and replaced at each change that awaitOwnership waits for.
	ownershipChanged chan struct{}
	// warmUntil is when the local upstream's warm-up ends.
	warmUntil time.Time
	// proposals are the pending writes for the next commit of the table.
	proposals []proposal
	history   history
}

// New returns a Node; Run starts it.
func New(
	settings Settings, d Dialect, direct sequoiaregistry.RoundTrip, log *sequoialog.Events, timers *sequoiatimer.Service,
) *Node {
	n := &Node{
		settings: settings, dialect: d, log: log, timers: timers, processID: randomID(8),
		front:          sequoiafront.New(maxBodyBytes),
		upstreamClient: sequoiahttp.New(sequoiahttp.WithResponsesUntilClose(), sequoiahttp.WithMaxIdle(16)),
		commandClient:  sequoiahttp.New(sequoiahttp.WithMaxIdle(2)),
		splitter:       sequoiaroute.NewSplitter(), queue: sequoiaadmission.New(defaultSlots), meter: sequoiakeyspace.NewMeter(),
		ownershipChanged: make(chan struct{}), directory: newDirectory(settings),
	}
	n.core = sequoiaowner.New(
		settings.Instance, sequoiatimer.BootTime(), sequoiaowner.WithHeartbeat(settings.Heartbeat), sequoiaowner.WithMeter(n.meter),
	)
	n.relay = newRelay(n, direct)
	n.store = d.NewStore(n.relay.exchange)
	n.metrics = newMetrics(n)
	n.retries = newRetryBudgets(settings)
	n.balancer = newBalancer(n)
	return n
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
	n.forwarder, err = sequoiapeer.NewForwarder(
		secret, sequoiapeer.WithServe(n.serveForwarded), sequoiapeer.WithTimers(n.timers),
		sequoiapeer.WithLiveness(livenessInterval, connectTimeout),
		sequoiapeer.WithForwardRejected(func(peer netip.AddrPort, err error) {
			n.log.Event("peer rejected", "Peer", peer, "Error", err)
		}),
	)
	if err != nil {
		return err
	}
	defer n.forwarder.Close()
	if err := n.forwarder.Listen(n.settings.Forward); err != nil {
		return err
	}
	n.ready.Store(true)
	n.startStoreSync(running)
	step := n.timers.Every(ownershipStepInterval, func(time.Time) { n.stepOwnership(running) })
	defer step.Cancel()
	balance := n.timers.Every(balanceInterval, func(time.Time) { n.balancer.run(running) })
	defer balance.Cancel()
	<-ctx.Done()
	n.stop(running)
	return nil
}

func (n *Node) listen() error {
	if _, err := n.front.Listen(n.settings.Outbound, http.HandlerFunc(n.serveClient)); err != nil {
		return err
	}
	if _, err := n.front.Listen(n.settings.Ready, http.HandlerFunc(n.serveReady)); err != nil {
		return err
	}
	if _, err := n.front.Listen(n.settings.Announce, http.HandlerFunc(n.serveAnnouncement)); err != nil {
		return err
	}
	if n.settings.Metrics.IsValid() {
		if _, err := n.front.Listen(n.settings.Metrics, n.metrics.handler()); err != nil {
			return err
		}
	}
	return nil
}

// secret returns the shared secret of the deployment, retrying until the store is available. The first process to start
// generates the secret and writes it to the store, which only processes of the deployment can read.
func (n *Node) secret(ctx context.Context) ([]byte, error) {
	failing := false
	for {
		secret, err := n.readSecret(ctx)
		if err == nil {
			return secret, nil
		}
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "read the secret")
		}
		if !failing {
			failing = true
			n.log.Event("store unavailable", "Purpose", "Secret", "Error", err)
		}
		_ = sequoiatimer.Sleep(ctx, secretRetryPause)
	}
}

// readSecret reads the secret from the store and creates it if there is none.
func (n *Node) readSecret(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
	defer cancel()
	it, err := n.store.Get(ctx, secretKey)
	if !errors.Is(err, sequoiaregistry.ErrNotFound) {
		return it.Value, err
	}
	put := sequoiaregistry.Item{Key: secretKey, Value: []byte(randomID(secretBytes))}
	tx := sequoiaregistry.Transaction{Expected: map[string]uint64{secretKey: 0}, Puts: []sequoiaregistry.Item{put}}
	if _, err := n.store.Commit(ctx, tx); err != nil && !errors.Is(err, sequoiaregistry.ErrConflict) {
		return nil, err
	}
	it, err = n.store.Get(ctx, secretKey)
	return it.Value, err
}

// startStoreSync registers the process in the store and starts watching the members and the configuration.
func (n *Node) startStoreSync(ctx context.Context) {
	n.registration = &sequoiaregistry.Registration{
		Store: n.store, Key: memberPrefix + n.settings.Instance, Value: n.encodedOwnMember, Now: sequoiatimer.BootTime,
		ReadTable:    n.readTable,
		OnConfirmed:  func(sent time.Time) { n.withCore(func(c *sequoiaowner.Core) { c.ConfirmRegistration(sent) }) },
		OnCallFailed: func() { n.withCore(func(c *sequoiaowner.Core) { c.MarkRegistrationUnconfirmed() }) },
		Confirmed: func() (ok bool) {
			n.withCore(func(c *sequoiaowner.Core) { ok = c.RegistrationConfirmed() })
			return ok
		},
		OnRegistered: func(revision, lease uint64) {
			n.log.Event("registered in the store", "Revision", revision, "Lease", lease)
		},
		OnError: n.storeFaultHandler("registration"),
	}
	n.registration.Start(ctx)
	members := &sequoiaregistry.Watcher{
		Store: n.store, Prefix: memberPrefix, Wait: memberWatchTimeout, OnItems: n.onStoreItems, OnError: n.storeFaultHandler("members"),
		BatchDelay: func() time.Duration { return min(maxWatchPause, time.Duration(n.memberCount())*watchPausePerMember) },
	}
	go members.Run(ctx)
	configuration := &sequoiaregistry.Watcher{
		Store: n.store, Prefix: n.dialect.ConfigurationKey, Wait: configurationWatchTimeout, OnItems: n.onStoreItems, OnError: n.storeFaultHandler("configuration"),
	}
	go configuration.Run(ctx)
}

// storeFaultHandler returns a callback that logs the loss and the recovery of store access for the given purpose.
func (n *Node) storeFaultHandler(purpose string) func(err error) {
	return func(err error) {
		if err != nil {
			n.metrics.storeFaults.Inc()
			n.log.Event("store lost", "Purpose", purpose, "Error", err)
			return
		}
		n.log.Event("store regained", "Purpose", purpose)
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

func (n *Node) encodedOwnMember() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, err := json.Marshal(n.ownMember())
	if err != nil {
		panic(err) // Every value of the type can be encoded.
	}
	return b
}

// ownMember returns the registration entry of this process. The caller must hold mu.
func (n *Node) ownMember() sequoiaowner.Member {
	u := n.core.Upstream()
	u.Lost = u.Lost || n.stopping.Load()
	return sequoiaowner.Member{
		Instance: n.settings.Instance, Address: n.settings.Forward, Domain: n.settings.Domain, Process: n.processID, Upstream: u,
	}
}

// onStoreItems applies changes that the watches received from the store.
func (n *Node) onStoreItems(items []sequoiaregistry.Item) {
	rewrite := false
	n.mu.Lock()
	now := sequoiatimer.BootTime()
	for _, it := range items {
		switch {
		case it.Key == n.dialect.ConfigurationKey:
			n.applyConfiguration(it)
		case strings.HasPrefix(it.Key, memberPrefix):
			rewrite = n.applyMember(now, it) || rewrite
		}
	}
	n.directory.setMembers(n.core.Members())
	n.notifyOwnershipChanged()
	n.mu.Unlock()
	if rewrite {
		n.registration.Changed()
	}
}

// notifyOwnershipChanged wakes all goroutines in awaitOwnership. The caller must hold mu.
func (n *Node) notifyOwnershipChanged() {
	close(n.ownershipChanged)
	n.ownershipChanged = make(chan struct{})
}

// applyTable decodes a table from the store and applies it. The caller must hold mu.
func (n *Node) applyTable(it sequoiaregistry.Item) {
	t, err := sequoiakeyspace.Decode(it.Value)
	if err != nil {
		n.log.Event("table rejected", "Revision", it.Revision, "Error", err)
		return
	}
	if n.core.SetTable(t, it.Revision) {
		n.log.Event("table changed", "Revision", it.Revision, "Fence", t.Fence)
	}
}

// applyConfiguration applies a configuration from the store if it is newer than the current one. The caller must hold
// mu.
func (n *Node) applyConfiguration(it sequoiaregistry.Item) {
	if it.Deleted {
		return
	}
	cfg, err := n.dialect.ReadConfiguration(it.Value)
	if err != nil {
		n.log.Event("configuration rejected", "Revision", it.Revision, "Error", err)
		return
	}
	if old := n.config.Load(); old != nil && cfg.Version <= old.Version {
		return
	}
	cfg.Sort()
	n.config.Store(cfg)
	var keyed []string
	for name, s := range cfg.Services {
		if s.Keyed {
			keyed = append(keyed, name)
		}
	}
	n.core.SetKeyedServices(keyed)
	n.log.Event("configuration in force", "Version", cfg.Version, "Revision", it.Revision)
}

// applyMember applies a change of a member's entry. It returns true if the entry of this process must be written again.
// The caller must hold mu.
func (n *Node) applyMember(now time.Time, it sequoiaregistry.Item) bool {
	instance := strings.TrimPrefix(it.Key, memberPrefix)
	if it.Deleted {
		n.core.RemoveMember(now, instance, it.Revision)
		n.log.Event("member gone", "Member", instance, "Revision", it.Revision)
		return instance == n.settings.Instance
	}
	var m sequoiaowner.Member
	if err := json.Unmarshal(it.Value, &m); err != nil || m.Instance != instance {
		n.log.Event("member rejected", "Member", instance, "Revision", it.Revision, "Error", err)
		return false
	}
	m.Revision = it.Revision
	n.core.SetMember(now, m)
	own := n.ownMember()
	return instance == n.settings.Instance && (m.Process != own.Process || m.Upstream != own.Upstream)
}

// readTable reads the table from the store and applies it.
func (n *Node) readTable(ctx context.Context) error {
	it, err := n.store.Get(ctx, tableKey)
	if errors.Is(err, sequoiaregistry.ErrNotFound) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.core.SetTable(sequoiakeyspace.NewTable(), 0)
		return nil
	}
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyTable(it)
	n.notifyOwnershipChanged()
	return nil
}

// stop shuts down gracefully: it fails readiness checks so that clients switch to other processes, hands over the keys
// and waits for requests in progress.
func (n *Node) stop(ctx context.Context) {
	start := time.Now()
	limit := start.Add(n.settings.GracePeriod - shutdownMargin)
	n.stopDeadline.Store(limit.UnixNano())
	n.log.Event("process stopping", "InProgress", n.front.InProgress())
	n.stopping.Store(true)
	n.withCore(func(c *sequoiaowner.Core) { c.Stop() })
	n.registration.Changed()
	for time.Now().Before(limit) {
		if time.Since(start) >= shutdownDelay && n.front.InProgress() == 0 && !n.hasKeysToHandOver() {
			break
		}
		_ = sequoiatimer.Sleep(ctx, ownershipStepInterval)
	}
	// From here on new requests are rejected, so that none starts between the last check and the exit.
	n.stopDeadline.Store(0)
	settledAt := time.Now().Add(shutdownSettleTime)
	for time.Now().Before(limit) && (time.Now().Before(settledAt) || n.front.InProgress() > 0) {
		_ = sequoiatimer.Sleep(ctx, ownershipStepInterval/5)
	}
	n.announceExit(ctx)
	if !n.expectsRestart() {
		ctx, cancel := context.WithTimeout(ctx, leaseEndTimeout)
		defer cancel()
		if err := n.registration.Deregister(ctx); err != nil {
			n.log.Event("failed to end the lease", "Error", err)
		}
	}
	n.log.Event("process stopped", "InProgress", n.front.InProgress())
}

// exceedsStopDeadline reports whether the process is stopping and a request with the given deadline might still be
// running when it exits. Such a request must not be started.
func (n *Node) exceedsStopDeadline(deadline time.Time) bool {
	return n.stopping.Load() && deadline.UnixNano() > n.stopDeadline.Load()
}

// expectsRestart reports whether the upstream keeps running, in which case this process will be restarted next to it.
func (n *Node) expectsRestart() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Upstream().Usable()
}

// hasKeysToHandOver reports whether the local upstream still has keys that need new holders.
func (n *Node) hasKeysToHandOver() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.core.HeldRanges()) > 0 || n.core.MoveCount() > 0
}

func (n *Node) load() sequoiarouter.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loadLocked()
}

func (n *Node) loadLocked() sequoiarouter.Load {
	return sequoiarouter.Load{
		Running: n.queue.Running(), Waiting: n.queue.Waiting(), Slots: n.queue.Slots(), Work: n.queue.MeanDuration(),
	}
}

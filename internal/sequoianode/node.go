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

// Keys of the store.
const (
	memberPrefix = "Sequoia/Member/"
	tableKey     = "Sequoia/Table"
	secretKey    = "Sequoia/Secret"
)

const (
	// livenessInterval is the time between checks of a connection to another process, 120 ms: one without data for six
	// of them, 720 ms, is given up, which leaves some of a request's time.
	livenessInterval = 120 * time.Millisecond
	// connectTimeout bounds connecting to another process, 400 ms; the way there and back takes 3 ms.
	connectTimeout = 400 * time.Millisecond
	// memberWait and configurationWait are how long watches wait, 6 s and 4 s. A connection that has gone silent delays
	// what is watched by as much, and a configuration is to be in force within 5 s of that.
	memberWait        = 6 * time.Second
	configurationWait = 4 * time.Second
	// memberPause is the pause after a change of the members, 8 ms for each of them, and maxMemberPause its bound. Each
	// change costs a call of every member, so a large fleet collects more of them.
	memberPause    = 8 * time.Millisecond
	maxMemberPause = time.Second
	// stepInterval is how often ownership is checked.
	stepInterval = 50 * time.Millisecond
	// orderTimeout bounds a grant; the upstream is on the same instance.
	orderTimeout = 600 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when running requests on the keys have ended.
	releaseTimeout = 1500 * time.Millisecond
	// startPause is the pause between attempts to read the secret.
	startPause = 200 * time.Millisecond
	// stopNotice is how long a stopping process goes on for the clients, who learn from two readiness checks, one a
	// second, that they should go elsewhere.
	stopNotice = 2300 * time.Millisecond
	// stopSettle is how long a stopping process rejects requests before it ends, 100 ms: those that are on their way are
	// answered, and the answers are written.
	stopSettle = 100 * time.Millisecond
	// stopMargin is how long before the end of the grace the process begins to end by itself, 1.2 s: it rejects requests
	// for a moment, ends its lease and closes its listeners before it would be killed.
	stopMargin = 1200 * time.Millisecond
	// endTimeout bounds the end of the lease, 300 ms; a lease that is not ended runs out.
	endTimeout = 300 * time.Millisecond
	// maxBody bounds the body of a request that this process buffers, in bytes.
	maxBody = 64 << 20
	// secretBytes is the length of the secret that processes authenticate with.
	secretBytes = 32
	// defaultSlots is used until the upstream has announced how many requests it works on at once.
	defaultSlots = 4
)

// Node is one process.
type Node struct {
	id      Identity
	dialect Dialect
	store   sequoiaregistry.Store
	log     *sequoialog.Events
	timers  *sequoiatimer.Service
	process string

	front        *sequoiafront.Server
	forwarder    *sequoiapeer.Forwarder
	upstream     *sequoiahttp.Client
	orders       *sequoiahttp.Client
	registration *sequoiaregistry.Registration
	metrics      *metrics
	balancer     *balancer
	relay        *relay
	retries      *retryBudgets
	directory    *directory
	splitter     *sequoiaroute.Splitter
	config       atomic.Pointer[sequoiaroute.Configuration]
	stopping     atomic.Bool
	ready        atomic.Bool
	asking       atomic.Bool
	fetching     atomic.Bool
	// endsAt is when a stopping process ends at the latest, in Unix nanoseconds.
	endsAt atomic.Int64

	// committing is held while changes of the table are written.
	committing sync.Mutex

	mu sync.Mutex
	// The following are protected by mu.
	core     *sequoiaowner.Core
	queue    *sequoiaadmission.Queue
	meter    *sequoiakeyspace.Meter
	sequence uint64
	leftAt   time.Time
	changed  chan struct{}
	warm     time.Time
	// proposals wait for the next commit of the table.
	proposals []proposal
	history   history
}

// New returns a Node that has not started.
func New(
	id Identity, d Dialect, direct sequoiaregistry.RoundTrip, log *sequoialog.Events, timers *sequoiatimer.Service,
) *Node {
	n := &Node{
		id: id, dialect: d, log: log, timers: timers, process: randomID(8),
		front:    sequoiafront.New(maxBody),
		upstream: sequoiahttp.New(sequoiahttp.WithResponsesUntilClose(), sequoiahttp.WithMaxIdle(16)),
		orders:   sequoiahttp.New(sequoiahttp.WithMaxIdle(2)),
		splitter: sequoiaroute.NewSplitter(), queue: sequoiaadmission.New(defaultSlots), meter: sequoiakeyspace.NewMeter(),
		changed: make(chan struct{}), directory: newDirectory(id),
	}
	n.core = sequoiaowner.New(
		id.Instance, sequoiatimer.BootTime(), sequoiaowner.WithHeartbeat(id.Heartbeat), sequoiaowner.WithMeter(n.meter),
	)
	n.relay = newRelay(n, direct)
	n.store = d.Store(n.relay.exchange)
	n.metrics = newMetrics(n)
	n.retries = newRetryBudgets(id)
	n.balancer = newBalancer(n)
	return n
}

func randomID(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // It never returns an error.
	return hex.EncodeToString(b)
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.log.Event("process started", "Process", n.process, "Service", n.id.Service, "Upstream", n.id.Upstream)
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
	if err := n.forwarder.Listen(n.id.Forward); err != nil {
		return err
	}
	n.ready.Store(true)
	n.startRegistry(running)
	step := n.timers.Every(stepInterval, func(time.Time) { n.step(running) })
	defer step.Cancel()
	balance := n.timers.Every(balanceInterval, func(time.Time) { n.balancer.run(running) })
	defer balance.Cancel()
	<-ctx.Done()
	n.stop(running)
	return nil
}

func (n *Node) listen() error {
	if _, err := n.front.Listen(n.id.Outbound, http.HandlerFunc(n.serveClient)); err != nil {
		return err
	}
	if _, err := n.front.Listen(n.id.Ready, http.HandlerFunc(n.serveReady)); err != nil {
		return err
	}
	if _, err := n.front.Listen(n.id.Announce, http.HandlerFunc(n.serveAnnouncement)); err != nil {
		return err
	}
	if n.id.Metrics.IsValid() {
		if _, err := n.front.Listen(n.id.Metrics, n.metrics.handler()); err != nil {
			return err
		}
	}
	return nil
}

// secret returns the secret of the deployment, which the first process to start writes to the store. The store is the
// one place that all processes, and nobody else, can read.
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
		_ = sequoiatimer.Sleep(ctx, startPause)
	}
}

func (n *Node) readSecret(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
	defer cancel()
	it, err := n.store.Get(ctx, secretKey)
	if !errors.Is(err, sequoiaregistry.ErrNotFound) {
		return it.Value, err
	}
	put := sequoiaregistry.Item{Key: secretKey, Value: []byte(randomID(secretBytes))}
	change := sequoiaregistry.Transaction{Expected: map[string]uint64{secretKey: 0}, Puts: []sequoiaregistry.Item{put}}
	if _, err := n.store.Commit(ctx, change); err != nil && !errors.Is(err, sequoiaregistry.ErrConflict) {
		return nil, err
	}
	it, err = n.store.Get(ctx, secretKey)
	return it.Value, err
}

// startRegistry registers the process and follows the store.
func (n *Node) startRegistry(ctx context.Context) {
	n.registration = &sequoiaregistry.Registration{
		Store: n.store, Key: memberPrefix + n.id.Instance, Value: n.memberValue, Now: sequoiatimer.BootTime,
		Verify:       n.readTable,
		OnConfirmed:  func(sent time.Time) { n.withCore(func(c *sequoiaowner.Core) { c.ConfirmRegistration(sent) }) },
		OnCallFailed: func() { n.withCore(func(c *sequoiaowner.Core) { c.DoubtRegistration() }) },
		Verified: func() (ok bool) {
			n.withCore(func(c *sequoiaowner.Core) { ok = c.RegistrationConfirmed() })
			return ok
		},
		OnRegistered: func(revision, lease uint64) {
			n.log.Event("registered in the store", "Revision", revision, "Lease", lease)
		},
		OnError: n.dependency("registration"),
	}
	n.registration.Start(ctx)
	members := &sequoiaregistry.Watcher{
		Store: n.store, Prefix: memberPrefix, Wait: memberWait, OnItems: n.onItems, OnError: n.dependency("members"),
		BatchDelay: func() time.Duration { return min(maxMemberPause, time.Duration(n.memberCount())*memberPause) },
	}
	go members.Run(ctx)
	configuration := &sequoiaregistry.Watcher{
		Store: n.store, Prefix: n.dialect.ConfigurationKey, Wait: configurationWait, OnItems: n.onItems, OnError: n.dependency("configuration"),
	}
	go configuration.Run(ctx)
}

// dependency logs the loss and the return of something that the process depends on.
func (n *Node) dependency(purpose string) func(err error) {
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

// table returns the table and its revision; the table is nil until one has been read.
func (n *Node) table() (*sequoiakeyspace.Table, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Table()
}

func (n *Node) memberValue() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, err := json.Marshal(n.member())
	if err != nil {
		panic(err) // The type has no values that cannot be encoded.
	}
	return b
}

// member returns this process's entry. The caller holds mu.
func (n *Node) member() sequoiaowner.Member {
	u := n.core.Upstream()
	u.Lost = u.Lost || n.stopping.Load()
	return sequoiaowner.Member{
		Instance: n.id.Instance, Address: n.id.Forward, Domain: n.id.Domain, Process: n.process, Upstream: u,
	}
}

// onItems takes changes of the store.
func (n *Node) onItems(items []sequoiaregistry.Item) {
	rewrite := false
	n.mu.Lock()
	now := sequoiatimer.BootTime()
	for _, it := range items {
		switch {
		case it.Key == n.dialect.ConfigurationKey:
			n.takeConfiguration(it)
		case strings.HasPrefix(it.Key, memberPrefix):
			rewrite = n.takeMember(now, it) || rewrite
		}
	}
	n.directory.setMembers(n.core.Members())
	n.notify()
	n.mu.Unlock()
	if rewrite {
		n.registration.Changed()
	}
}

// notify wakes the requests that wait for a change of ownership. The caller holds mu.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Node) takeTable(it sequoiaregistry.Item) {
	t, err := sequoiakeyspace.Decode(it.Value)
	if err != nil {
		n.log.Event("table rejected", "Revision", it.Revision, "Error", err)
		return
	}
	if n.core.SetTable(t, it.Revision) {
		n.log.Event("table changed", "Revision", it.Revision, "Fence", t.Fence)
	}
}

func (n *Node) takeConfiguration(it sequoiaregistry.Item) {
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

// takeMember returns true if this process's own entry has to be written again.
func (n *Node) takeMember(now time.Time, it sequoiaregistry.Item) bool {
	instance := strings.TrimPrefix(it.Key, memberPrefix)
	if it.Deleted {
		n.core.RemoveMember(now, instance, it.Revision)
		n.log.Event("member gone", "Member", instance, "Revision", it.Revision)
		return instance == n.id.Instance
	}
	var m sequoiaowner.Member
	if err := json.Unmarshal(it.Value, &m); err != nil || m.Instance != instance {
		n.log.Event("member rejected", "Member", instance, "Revision", it.Revision, "Error", err)
		return false
	}
	m.Revision = it.Revision
	n.core.SetMember(now, m)
	own := n.member()
	return instance == n.id.Instance && (m.Process != own.Process || m.Upstream != own.Upstream)
}

// readTable reads the table from the store.
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
	n.takeTable(it)
	n.notify()
	return nil
}

// stop lets clients go elsewhere, gives the keys away and finishes what is in progress.
func (n *Node) stop(ctx context.Context) {
	began := time.Now()
	limit := began.Add(n.id.Grace - stopMargin)
	n.endsAt.Store(limit.UnixNano())
	n.log.Event("process stopping", "InProgress", n.front.InProgress())
	n.stopping.Store(true)
	n.withCore(func(c *sequoiaowner.Core) { c.Stop() })
	n.registration.Changed()
	for time.Now().Before(limit) {
		if time.Since(began) >= stopNotice && n.front.InProgress() == 0 && !n.mustHandOver() {
			break
		}
		_ = sequoiatimer.Sleep(ctx, stepInterval)
	}
	// From here on new requests are rejected, so that none begins between the last look and the end.
	n.endsAt.Store(0)
	settled := time.Now().Add(stopSettle)
	for time.Now().Before(limit) && (time.Now().Before(settled) || n.front.InProgress() > 0) {
		_ = sequoiatimer.Sleep(ctx, stepInterval/5)
	}
	n.announceEnd(ctx)
	if !n.restarts() {
		ctx, cancel := context.WithTimeout(ctx, endTimeout)
		defer cancel()
		if err := n.registration.Deregister(ctx); err != nil {
			n.log.Event("lease not ended", "Error", err)
		}
	}
	n.log.Event("process stopped", "InProgress", n.front.InProgress())
}

// outlives reports whether a request with this deadline may end after the process, so that it must not begin.
func (n *Node) outlives(deadline time.Time) bool {
	return n.stopping.Load() && deadline.UnixNano() > n.endsAt.Load()
}

// restarts reports whether the upstream lives on, so that this process will be started again beside it.
func (n *Node) restarts() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Upstream().Usable()
}

// mustHandOver reports whether keys of the local upstream wait for new holders.
func (n *Node) mustHandOver() bool {
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

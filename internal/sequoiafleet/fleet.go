package sequoiafleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiainstance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastore"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

const (
	// sharedKey authenticates the processes of a fleet to each other. It may be public because a fleet uses loopback only.
	sharedKey  = "a key for processes on loopback only, of more than 32 bytes"
	credential = "loopback-only"
	// readyPollInterval separates the checks of whether every shard has an owner.
	readyPollInterval = 20 * time.Millisecond
)

// ErrNotReady reports that some shards had no owner when the context ended.
var ErrNotReady = errors.New("the fleet is not ready")

// Node is one instance: an upstream and the process beside it.
type Node struct {
	Service  string
	Settings sequoiasettings.Settings
	Process  *sequoiainstance.Instance
	Upstream *sequoiastandin.Upstream
	store    *sequoiastore.Client
	log      *sequoialog.Logger
	plan     ServicePlan
}

// Admin returns a client of the node's administration API.
func (n *Node) Admin() *sequoiaadmin.Client {
	return sequoiaadmin.NewClient(n.Settings.Administration, string(n.Settings.AdministrationCredential))
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	Store      *sequoiastandin.Store
	Nodes      []*Node
	output     io.Writer
	cfg        config
	// upstreams lists every upstream ever started, including killed ones, whose execution records are still needed.
	upstreams    []*sequoiastandin.Upstream
	acknowledged acknowledgedEntries
}

type config struct {
	checksGrants    bool
	authority       sequoiasettings.Authority
	instanceOptions func(name string) []sequoiainstance.Option
	wrapStore       func(name string, s sequoiainstance.Store) sequoiainstance.Store
}

// Option configures a Fleet.
type Option func(*config)

// WithoutGrantChecks makes the upstreams run requests without checking for a valid grant.
func WithoutGrantChecks() Option {
	return func(c *config) { c.checksGrants = false }
}

// WithAuthority sets the authority that renews the owners' leases.
func WithAuthority(a sequoiasettings.Authority) Option {
	return func(c *config) { c.authority = a }
}

// WithInstanceOptions sets a function that returns the options of the process of the named instance.
func WithInstanceOptions(f func(name string) []sequoiainstance.Option) Option {
	return func(c *config) { c.instanceOptions = f }
}

// WithStore sets a function that wraps the store functions of each process.
func WithStore(f func(name string, s sequoiainstance.Store) sequoiainstance.Store) Option {
	return func(c *config) { c.wrapStore = f }
}

// Start starts the stand-ins and processes of a deployment, applies its configuration and waits until every shard has
// an owner. It returns ErrNotReady if ctx ends first. The processes log to output, which must be safe for concurrent
// writes.
func Start(ctx context.Context, d Deployment, output io.Writer, opts ...Option) (*Fleet, error) {
	f := &Fleet{Deployment: d, output: output, cfg: config{checksGrants: true, authority: sequoiasettings.AuthorityWitnesses}}
	for _, opt := range opts {
		opt(&f.cfg)
	}
	store, err := sequoiastandin.StartStore(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	f.Store = store
	index := 0
	for _, plan := range d.Services {
		for range plan.Upstreams {
			if _, err := f.AddNode(plan, index); err != nil {
				f.Close()
				return nil, err
			}
			index++
		}
	}
	if err := f.applyConfiguration(ctx); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.AwaitAssigned(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// maxAddAttempts bounds the attempts to start a node, since another program may take a free port before the process
// opens it.
const maxAddAttempts = 5

// AddNode starts an instance of a service. Instances are spread over the failure domains by index modulo their count.
func (f *Fleet) AddNode(plan ServicePlan, index int) (*Node, error) {
	for attempt := 1; ; attempt++ {
		n, err := f.addNode(plan, index)
		if attempt == maxAddAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return n, err
		}
	}
}

func (f *Fleet) addNode(plan ServicePlan, index int) (*Node, error) {
	addrs, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	domains := f.Deployment.FailureDomains
	domain := domains[index%len(domains)]
	n := &Node{Service: plan.Name, plan: plan, Settings: sequoiasettings.Settings{
		Instance: fmt.Sprintf("%s-%d", domain, index), Region: f.Deployment.Region, FailureDomain: domain,
		Control: addrs[0], Forward: addrs[1], HTTP: addrs[2], Announce: addrs[3], Administration: addrs[4],
		Store:     []netip.AddrPort{f.Store.Addr()},
		SharedKey: sharedKey, AdministrationCredential: credential,
		Contacts: f.contacts(), Authority: f.cfg.authority,
	}}
	if err := f.StartUpstream(n); err != nil {
		return nil, err
	}
	if err := f.StartProcess(n); err != nil {
		n.Upstream.Close()
		return nil, err
	}
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// contacts returns the control addresses of the first nodes, which a new process contacts to join.
func (f *Fleet) contacts() []netip.AddrPort {
	const maxContacts = 3
	var addrs []netip.AddrPort
	for _, n := range f.Nodes[:min(maxContacts, len(f.Nodes))] {
		addrs = append(addrs, n.Settings.Control)
	}
	return addrs
}

// StartUpstream starts the upstream of n, for example after it was killed.
func (f *Fleet) StartUpstream(n *Node) error {
	u, err := sequoiastandin.StartUpstream(sequoiastandin.UpstreamConfig{
		Name: n.Settings.Instance, Service: n.Service, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Process: n.Settings.Announce, ServiceTime: n.plan.ServiceTime, ConnectionCost: n.plan.ConnectionCost,
		Slots: n.plan.Slots, Connections: n.plan.Connections, ChecksGrants: f.cfg.checksGrants,
	})
	n.Upstream = u
	if err == nil {
		f.upstreams = append(f.upstreams, u)
	}
	return err
}

// StartProcess starts the process of n, for example after it was killed.
func (f *Fleet) StartProcess(n *Node) error {
	n.store = sequoiastore.New(f.Store.Addr())
	store := f.acknowledged.recordAppends(sequoiainstance.NewStore(n.store))
	if f.cfg.wrapStore != nil {
		store = f.cfg.wrapStore(n.Settings.Instance, store)
	}
	var opts []sequoiainstance.Option
	if f.cfg.instanceOptions != nil {
		opts = f.cfg.instanceOptions(n.Settings.Instance)
	}
	n.log = sequoialog.New(f.output, sequoialog.WithInstance(n.Settings.Instance))
	p, err := sequoiainstance.New(n.Settings, store, n.log, opts...)
	n.Process = p
	return err
}

// Kill closes the process and the upstream of n concurrently and waits for both.
func (n *Node) Kill() {
	var wg sync.WaitGroup
	// If they were closed in sequence, the second would keep serving while the first closes its listeners.
	if n.Process != nil {
		wg.Go(n.Process.Close)
	}
	wg.Go(n.Upstream.Close)
	wg.Wait()
	n.store.Close()
	n.log.Close()
}

func (f *Fleet) applyConfiguration(ctx context.Context) error {
	req := sequoiaadmin.ApplyRequest{Operator: "fleet", Document: f.Deployment.Configuration}
	_, err := f.Nodes[0].Admin().Apply(ctx, req)
	return errors.Wrap(err, "apply the configuration")
}

// AwaitAssigned waits until every shard has a live owner in the table of every process. It returns ErrNotReady if ctx
// ends first.
func (f *Fleet) AwaitAssigned(ctx context.Context) error {
	for {
		unassigned := f.unassignedShards()
		if unassigned == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrNotReady, "%d shards without an owner", unassigned)
		case <-time.After(readyPollInterval):
		}
	}
}

// unassignedShards sums the shards without a live owner over the tables of all processes.
func (f *Fleet) unassignedShards() int {
	count := 0
	for _, n := range f.Nodes {
		count += countUnassigned(n.Process.Snapshot().Table, f.Deployment)
	}
	return count
}

func countUnassigned(t *sequoiatable.Table, d Deployment) int {
	count := 0
	for _, plan := range d.Services {
		s := t.Service(plan.Name)
		if s == nil {
			count++
			continue
		}
		for shard := range s.Shards {
			if m := t.Member(s.Shard(shard).Owner); m == nil || m.Revoked() {
				count++
			}
		}
	}
	return count
}

// Remove removes a killed or drained node from f.Nodes.
func (f *Fleet) Remove(n *Node) {
	for i, other := range f.Nodes {
		if other == n {
			f.Nodes = append(f.Nodes[:i:i], f.Nodes[i+1:]...)
			return
		}
	}
}

// Close stops all nodes and the store stand-in. The nodes are closed concurrently because each process takes a few
// hundred milliseconds.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, n := range f.Nodes {
		wg.Go(n.Kill)
	}
	wg.Wait()
	f.Store.Close()
}

// Ports of the processes lie below those that the system gives to outgoing connections. One of these could otherwise have
// the port of a process that is being restarted.
const (
	firstPort = 16384
	portCount = 16384
)

// freeAddresses returns loopback addresses whose ports were free for both TCP and UDP when checked.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	var closers []io.Closer
	defer func() {
		for _, c := range closers {
			_ = c.Close()
		}
	}()
	for tries := 0; len(addrs) < count; tries++ {
		if tries == 10*count {
			return nil, errors.New("find a free port: no port is free for both TCP and UDP")
		}
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: firstPort + rand.IntN(portCount)})
		if err != nil {
			continue
		}
		closers = append(closers, l)
		addr := l.Addr().(*net.TCPAddr).AddrPort()
		p, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			continue
		}
		closers = append(closers, p)
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

package sequoiafleet

import (
	"context"
	"fmt"
	"io"
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
	// sharedKey authenticates the processes of one fleet to each other; a fleet never leaves loopback.
	sharedKey  = "a key for processes on loopback only, of more than 32 bytes"
	credential = "loopback-only"
	// readyPoll is how often the start of a fleet is checked.
	readyPoll = 20 * time.Millisecond
)

// ErrNotReady reports a fleet whose keys were not all assigned in time.
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
	// upstreams lists every upstream that was started, the killed ones included, for their records.
	upstreams    []*sequoiastandin.Upstream
	acknowledged entries
}

type config struct {
	checksGrants bool
	authority    sequoiasettings.Authority
	instance     func(name string) []sequoiainstance.Option
	store        func(name string, s sequoiainstance.Store) sequoiainstance.Store
}

// Option changes a Fleet under construction.
type Option func(*config)

// WithoutGrantChecks makes the upstreams run requests without checking their grants.
func WithoutGrantChecks() Option {
	return func(c *config) { c.checksGrants = false }
}

// WithAuthority sets how owners keep their leases.
func WithAuthority(a sequoiasettings.Authority) Option {
	return func(c *config) { c.authority = a }
}

// WithInstanceOptions sets the options of each process by its instance's name.
func WithInstanceOptions(f func(name string) []sequoiainstance.Option) Option {
	return func(c *config) { c.instance = f }
}

// WithStore lets a test replace functions of the store client of each process.
func WithStore(f func(name string, s sequoiainstance.Store) sequoiainstance.Store) Option {
	return func(c *config) { c.store = f }
}

// Start starts the stand-ins and processes of a deployment, applies its configuration and waits until every shard has
// an owner. The processes' logs go to output, which must allow concurrent writes. It returns ErrNotReady if ctx ends first.
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
	number := 0
	for _, plan := range d.Services {
		for range plan.Upstreams {
			if _, err := f.AddNode(plan, number); err != nil {
				f.Close()
				return nil, err
			}
			number++
		}
	}
	if err := f.configure(ctx); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.AwaitAssigned(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// addAttempts bounds the attempts to start a node. A port that was free may be taken before the process opens it.
const addAttempts = 5

// AddNode starts an instance for a service, in the failure domain with the given number modulo their count.
func (f *Fleet) AddNode(plan ServicePlan, number int) (*Node, error) {
	for attempt := 1; ; attempt++ {
		n, err := f.addNode(plan, number)
		if attempt == addAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return n, err
		}
	}
}

func (f *Fleet) addNode(plan ServicePlan, number int) (*Node, error) {
	addrs, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	domains := f.Deployment.FailureDomains
	domain := domains[number%len(domains)]
	n := &Node{Service: plan.Name, plan: plan, Settings: sequoiasettings.Settings{
		Instance: fmt.Sprintf("%s-%d", domain, number), Region: f.Deployment.Region, FailureDomain: domain,
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

// contacts returns the control addresses of the first processes.
func (f *Fleet) contacts() []netip.AddrPort {
	const enough = 3
	var addrs []netip.AddrPort
	for _, n := range f.Nodes[:min(enough, len(f.Nodes))] {
		addrs = append(addrs, n.Settings.Control)
	}
	return addrs
}

// StartUpstream starts the upstream of a node.
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

// StartProcess starts the process of a node, for example after it was killed.
func (f *Fleet) StartProcess(n *Node) error {
	n.store = sequoiastore.New(f.Store.Addr())
	store := f.acknowledged.observe(sequoiainstance.NewStore(n.store))
	if f.cfg.store != nil {
		store = f.cfg.store(n.Settings.Instance, store)
	}
	var opts []sequoiainstance.Option
	if f.cfg.instance != nil {
		opts = f.cfg.instance(n.Settings.Instance)
	}
	n.log = sequoialog.New(f.output, sequoialog.WithInstance(n.Settings.Instance))
	p, err := sequoiainstance.New(n.Settings, store, n.log, opts...)
	n.Process = p
	return err
}

// Kill ends the process and the upstream of a node at once.
func (n *Node) Kill() {
	var closing sync.WaitGroup
	// One after the other, the one closed last would go on serving while the first closes its listeners.
	if n.Process != nil {
		closing.Go(n.Process.Close)
	}
	closing.Go(n.Upstream.Close)
	closing.Wait()
	n.store.Close()
	n.log.Close()
}

func (f *Fleet) configure(ctx context.Context) error {
	req := sequoiaadmin.ApplyRequest{Operator: "fleet", Document: f.Deployment.Configuration}
	_, err := f.Nodes[0].Admin().Apply(ctx, req)
	return errors.Wrap(err, "apply the configuration")
}

// AwaitAssigned waits until every process sees an owner for every shard.
func (f *Fleet) AwaitAssigned(ctx context.Context) error {
	for {
		missing := f.unassigned()
		if missing == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrNotReady, "%d shards without an owner", missing)
		case <-time.After(readyPoll):
		}
	}
}

// unassigned counts the shards without a live owner, as the processes see them.
func (f *Fleet) unassigned() int {
	missing := 0
	for _, n := range f.Nodes {
		missing += unassignedIn(n.Process.Snapshot().Table, f.Deployment)
	}
	return missing
}

func unassignedIn(t *sequoiatable.Table, d Deployment) int {
	missing := 0
	for _, plan := range d.Services {
		s := t.Service(plan.Name)
		if s == nil {
			missing++
			continue
		}
		for shard := range s.Shards {
			if m := t.Member(s.Shard(shard).Owner); m == nil || m.Revoked() {
				missing++
			}
		}
	}
	return missing
}

// Remove takes a node that was killed or drained out of the fleet.
func (f *Fleet) Remove(n *Node) {
	for i, other := range f.Nodes {
		if other == n {
			f.Nodes = append(f.Nodes[:i:i], f.Nodes[i+1:]...)
			return
		}
	}
}

// Close ends everything that the fleet started, all nodes at once: a process takes a few hundred milliseconds.
func (f *Fleet) Close() {
	var closing sync.WaitGroup
	for _, n := range f.Nodes {
		closing.Go(n.Kill)
	}
	closing.Wait()
	f.Store.Close()
}

// freeAddresses returns loopback addresses whose TCP and UDP ports were free a moment ago.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	var open []io.Closer
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for tries := 0; len(addrs) < count; tries++ {
		if tries == 10*count {
			return nil, errors.New("find a free port: none is free for both TCP and UDP")
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		open = append(open, l)
		addr := l.Addr().(*net.TCPAddr).AddrPort()
		p, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			continue
		}
		open = append(open, p)
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

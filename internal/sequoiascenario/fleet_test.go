package sequoiascenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

const (
	credential = "loopback-only"
	sharedKey  = "a key for processes on loopback only, of more than 32 bytes"
	// statusTimeout bounds a status request, since the process may be frozen.
	statusTimeout = time.Second
	// controlTimeout bounds a control request to a fault network or the store stand-in, which may be slow on a busy
	// machine.
	controlTimeout = 10 * time.Second
	// watchInterval separates the reads of the configuration in force at each process.
	watchInterval = 500 * time.Millisecond
	pollInterval  = 20 * time.Millisecond
	startTimeout  = 40 * time.Second
)

// Ports of a node. Every node has its own IP address, so that no outgoing connection of another program can use them.
const (
	portControl = 7400 + iota
	portForward
	portHTTP
	portAnnounce
	portAdministration
	portUpstream
	portNetworkControl
)

// program is a child process.
type program struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *program) running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends s, unless the program has ended, when its process ID may belong to another process.
func (p *program) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *program) kill() {
	if p == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// node is one instance: an upstream and the process beside it, which share a loopback address.
type node struct {
	name     string
	service  string
	domain   string
	plan     sequoiafleet.ServicePlan
	ip       netip.Addr
	process  *program
	upstream *program
	started  time.Time
}

func (n *node) addr(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(n.ip, port)
}

func (n *node) admin() *sequoiaadmin.Client {
	return sequoiaadmin.NewClient(n.addr(portAdministration), credential)
}

// status returns the status of the process, or an error if it does not answer within statusTimeout.
func (n *node) status() (sequoiaadmin.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return n.admin().Status(ctx)
}

// fleet is a deployment whose programs run as separate processes.
type fleet struct {
	dir              string
	removedSafeguard string
	checksGrants     bool
	serviceTime      time.Duration
	deployment       sequoiafleet.Deployment
	subnetLock       net.Listener
	subnet           string
	store            *program
	nodes            []*node
	blockedNames     map[string]map[string]bool
	loads            []*loadProgram
	operators        []*operatorProgram
	documentCount    int
	// activeFaults counts the faults that end by themselves and the moves that nobody waits for.
	activeFaults sync.WaitGroup
	stop         chan struct{}
	watcher      sync.WaitGroup

	mu             sync.Mutex
	departures     []sequoiachecker.Departure
	configurations []sequoiachecker.Configuration
	seen           []sequoiachecker.ConfigurationObservation
	conflicts      int
	unknownApplies int
}

type loadProgram struct {
	program *program
	records string
}

type operatorProgram struct {
	program *program
	result  string
}

// fleetCount numbers the fleets of this test binary.
var fleetCount atomic.Int32

// newFleet reserves a loopback subnet by listening on its first address.
func newFleet(dir, removedSafeguard string) (*fleet, error) {
	f := &fleet{
		dir: dir, removedSafeguard: removedSafeguard, checksGrants: true, blockedNames: map[string]map[string]bool{},
		stop: make(chan struct{}),
	}
	for range 200 {
		number := int(fleetCount.Add(1))
		f.subnet = fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, number%250+1)
		l, err := net.Listen("tcp", f.subnet+".1:7400")
		if err == nil {
			f.subnetLock = l
			return f, nil
		}
	}
	return nil, errors.New("no free loopback subnet")
}

func (f *fleet) storeAddr() netip.AddrPort {
	return netip.MustParseAddrPort(f.subnet + ".2:7400")
}

func (f *fleet) path(name string) string {
	return filepath.Join(f.dir, name)
}

// startProgram starts a program of the test binary. Its output goes to a file in the script's directory.
func (f *fleet) startProgram(name, command string, env []string, args ...string) (*program, error) {
	return startProgram(f.path(name+".log"), command, append(env, envRemovedSafeguard+"="+f.removedSafeguard), args...)
}

func startProgram(logFile, name string, env []string, args ...string) (*program, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(name, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	// Kills the program if the test binary dies, for example at its timeout.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &program{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// start starts the deployment and waits until every shard has an owner at every process.
func (f *fleet) start(deployment string) error {
	d, err := sequoiafleet.FindDeployment(deployment)
	if err != nil {
		return err
	}
	return f.startDeployment(d)
}

// startDeployment is like start, for a deployment that may not have a name.
func (f *fleet) startDeployment(d sequoiafleet.Deployment) (err error) {
	f.deployment = d
	if f.store, err = f.startProgram("store", "standin-store", nil, f.storeAddr().String()); err != nil {
		return err
	}
	for _, plan := range d.Services {
		for range plan.Upstreams {
			if err := f.addNode(plan); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	req := sequoiaadmin.ApplyRequest{Operator: "fleet", Document: d.Configuration}
	done, err := f.nodes[0].admin().Apply(ctx, req)
	if err != nil {
		return errors.Wrap(err, "apply the configuration")
	}
	f.configurations = append(f.configurations, sequoiachecker.Configuration{Revision: done.Revision, Accepted: time.Now()})
	if err := f.awaitAssigned(startTimeout); err != nil {
		return err
	}
	f.watcher.Go(f.watchConfigurations)
	return nil
}

func (f *fleet) addNode(plan sequoiafleet.ServicePlan) error {
	number := len(f.nodes)
	domains := f.deployment.FailureDomains
	n := &node{
		name: fmt.Sprintf("n%d", number), service: plan.Name, domain: domains[number%len(domains)], plan: plan,
		ip: netip.MustParseAddr(fmt.Sprintf("%s.%d", f.subnet, 10+number)),
	}
	f.nodes = append(f.nodes, n)
	return f.startNode(n)
}

func (f *fleet) startNode(n *node) error {
	if err := f.startUpstream(n); err != nil {
		return err
	}
	return f.startProcess(n)
}

func (f *fleet) startUpstream(n *node) error {
	cfg := sequoiastandin.UpstreamConfig{
		Name: n.name, Service: n.service, Listen: n.addr(portUpstream), Process: n.addr(portAnnounce),
		ServiceTime: n.plan.ServiceTime, ConnectionCost: n.plan.ConnectionCost, Slots: n.plan.Slots,
		Connections: n.plan.Connections, ChecksGrants: f.checksGrants, RecordFile: f.path(n.name + ".executions"),
	}
	if f.serviceTime > 0 {
		cfg.ServiceTime = f.serviceTime
	}
	data, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	n.upstream, err = f.startProgram(n.name+"-upstream", "standin-upstream", nil, string(data))
	return err
}

func (f *fleet) startProcess(n *node) error {
	file := f.path(n.name + ".hujson")
	if err := os.WriteFile(file, f.settings(n), 0o600); err != nil {
		return err
	}
	env := []string{
		envAcknowledged + "=" + f.path(n.name+".acknowledged"),
		envNetworkControl + "=" + n.addr(portNetworkControl).String(),
	}
	n.started = time.Now()
	p, err := f.startProgram(n.name, "sequoiaspring", env, "run", "--settings", file)
	n.process = p
	return err
}

// settings returns the settings file of n. It is encoded from a map because sequoiasettings.Settings redacts its
// secrets when encoded.
func (f *fleet) settings(n *node) []byte {
	contacts := []netip.AddrPort{}
	for _, other := range f.nodes {
		if other != n && len(contacts) < 3 {
			contacts = append(contacts, other.addr(portControl))
		}
	}
	data, err := json.Marshal(map[string]any{
		"Instance": n.name, "Region": f.deployment.Region, "FailureDomain": n.domain,
		"Control": n.addr(portControl), "Forward": n.addr(portForward), "HTTP": n.addr(portHTTP),
		"Announce": n.addr(portAnnounce), "Administration": n.addr(portAdministration),
		"Store": []netip.AddrPort{f.storeAddr()}, "SharedKey": sharedKey, "AdministrationCredential": credential,
		"Contacts": contacts,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// awaitAssigned waits until every shard has a live owner in the status of every running process.
func (f *fleet) awaitAssigned(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		problem := f.assignmentProblem()
		if problem == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("shards not assigned after %s: %s", timeout, problem)
		}
		time.Sleep(pollInterval)
	}
}

// assignmentProblem describes a process that does not answer or reports a shard without a live owner. It returns an
// empty string if there is none.
func (f *fleet) assignmentProblem() string {
	for _, n := range f.nodes {
		if !n.process.running() {
			continue
		}
		s, err := n.status()
		if err != nil {
			return n.name + " does not answer"
		}
		if len(s.Services) != len(f.deployment.Services) {
			return n.name + " does not have the services of the configuration"
		}
		for _, v := range s.Services {
			if v.Unassigned > 0 {
				return fmt.Sprintf("%s reports %d shards of %s without an owner", n.name, v.Unassigned, v.Name)
			}
		}
		for _, m := range s.Members {
			if m.Revoked && m.Owned > 0 {
				return fmt.Sprintf("%s reports %d shards owned by %s, which is revoked", n.name, m.Owned, m.Instance)
			}
		}
	}
	return ""
}

// watchConfigurations periodically records which configuration each process has in force.
func (f *fleet) watchConfigurations() {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		var wg sync.WaitGroup
		for _, n := range f.nodes {
			wg.Go(func() { f.readConfiguration(n) })
		}
		wg.Wait()
	}
}

func (f *fleet) readConfiguration(n *node) {
	at := time.Now()
	s, err := n.status()
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, sequoiachecker.ConfigurationObservation{
		Process: n.name, Revision: s.Configuration, At: at, Started: n.started,
	})
}

func (f *fleet) findNode(name string) (*node, error) {
	for _, n := range f.nodes {
		if n.name == name {
			return n, nil
		}
	}
	return nil, errors.Errorf("no node %q", name)
}

// status returns the status of the first process that answers and has no blocked connections.
func (f *fleet) status() (sequoiaadmin.Status, error) {
	for _, n := range f.nodes {
		if !n.process.running() || len(f.blockedNames[n.name]) > 0 {
			continue
		}
		if s, err := n.status(); err == nil {
			return s, nil
		}
	}
	return sequoiaadmin.Status{}, errors.New("no process answers")
}

// owner returns the node, other than the excluded ones, that owns the most keys of the first service.
func (f *fleet) owner(excluded []string) (*node, error) {
	s, err := f.status()
	if err != nil {
		return nil, err
	}
	best, most := "", -1
	for _, m := range s.Members {
		if m.Service == f.deployment.Services[0].Name && !m.Revoked && m.Owned > most && !contains(excluded, m.Instance) {
			best, most = m.Instance, m.Owned
		}
	}
	return f.findNode(best)
}

// witness returns the node of the witness of an instance at an index, starting at 0.
func (f *fleet) witness(instance string, index int) (*node, error) {
	s, err := f.status()
	if err != nil {
		return nil, err
	}
	instances := map[sequoiatable.IncarnationID]string{}
	for _, m := range s.Members {
		instances[m.Incarnation] = m.Instance
	}
	for _, m := range s.Members {
		if m.Instance == instance && !m.Revoked && index < len(m.Witnesses) {
			return f.findNode(instances[m.Witnesses[index]])
		}
	}
	return nil, errors.Errorf("%s has no witness %d", instance, index)
}

func contains(list []string, s string) bool {
	for _, other := range list {
		if other == s {
			return true
		}
	}
	return false
}

// cut blocks the traffic between a node and the store ("store"), all other nodes ("peers") or the named node.
func (f *fleet) cut(a *node, name string) error {
	switch name {
	case "store":
		f.block(a, "store")
	case "peers":
		for _, b := range f.nodes {
			if b != a {
				f.block(a, b.ip.String())
				f.block(b, a.ip.String())
			}
		}
	default:
		b, err := f.findNode(name)
		if err != nil {
			return err
		}
		f.block(a, b.ip.String())
		f.block(b, a.ip.String())
	}
	return f.applyCuts()
}

func (f *fleet) block(n *node, name string) {
	if f.blockedNames[n.name] == nil {
		f.blockedNames[n.name] = map[string]bool{}
	}
	f.blockedNames[n.name][name] = true
}

func (f *fleet) heal() error {
	f.blockedNames = map[string]map[string]bool{}
	return f.applyCuts()
}

func (f *fleet) applyCuts() error {
	for _, n := range f.nodes {
		if !n.process.running() {
			continue
		}
		q := url.Values{}
		for name := range f.blockedNames[n.name] {
			q.Add("name", name)
		}
		client := http.Client{Timeout: controlTimeout}
		resp, err := client.Post("http://"+n.addr(portNetworkControl).String()+"/?"+q.Encode(), "", nil)
		if err != nil {
			return errors.Wrapf(err, "fault network of %s", n.name)
		}
		_ = resp.Body.Close()
	}
	return nil
}

// setStoreFaults replaces the faults of the store stand-in.
func (f *fleet) setStoreFaults(faults sequoiastandin.StoreFaults) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: controlTimeout}
	resp, err := client.Post("http://"+f.storeAddr().String()+"/control/faults", "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// undoAfter calls undo after d, unless the fleet is closed first.
func (f *fleet) undoAfter(d time.Duration, undo func()) {
	f.activeFaults.Go(func() {
		select {
		case <-time.After(d):
			undo()
		case <-f.stop:
		}
	})
}

// close kills every program that the fleet started, including frozen ones.
func (f *fleet) close() {
	close(f.stop)
	f.activeFaults.Wait()
	f.watcher.Wait()
	for _, n := range f.nodes {
		n.process.kill()
		n.upstream.kill()
	}
	for _, l := range f.loads {
		l.program.kill()
	}
	for _, o := range f.operators {
		o.program.kill()
	}
	f.store.kill()
	_ = f.subnetLock.Close()
}

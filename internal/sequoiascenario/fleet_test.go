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
	// statusTimeout bounds a call of the administration API, whose process may be frozen.
	statusTimeout = time.Second
	// switchTimeout bounds a call of a switch or of the store stand-in, which may wait for a busy machine.
	switchTimeout = 10 * time.Second
	// watchInterval is how often the configuration in force at each process is read.
	watchInterval = 500 * time.Millisecond
	poll          = 20 * time.Millisecond
	startTimeout  = 40 * time.Second
)

// Ports of a node, on an address of its own, so that no outgoing connection of another program takes them.
const (
	portControl = 7400 + iota
	portForward
	portHTTP
	portAnnounce
	portAdministration
	portUpstream
	portSwitch
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

// signal does nothing if the program has ended; its process is not reaped before done is closed.
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

// node is one instance: an upstream and the process beside it, with a loopback address of its own.
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

// status returns an error for a process that does not answer within a second.
func (n *node) status() (sequoiaadmin.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return n.admin().Status(ctx)
}

// fleet is a deployment of separate processes.
type fleet struct {
	dir          string
	without      string
	checksGrants bool
	serviceTime  time.Duration
	deployment   sequoiafleet.Deployment
	lock         net.Listener
	subnet       string
	store        *program
	nodes        []*node
	cuts         map[string]map[string]bool
	loads        []*load
	operators    []*operator
	documents    int
	// healing counts faults that end by themselves.
	healing sync.WaitGroup
	stop    chan struct{}
	watcher sync.WaitGroup

	mu             sync.Mutex
	departures     []sequoiachecker.Departure
	configurations []sequoiachecker.Configuration
	seen           []sequoiachecker.ConfigurationObservation
	conflicts      int
	unknownApplies int
}

type load struct {
	program *program
	records string
}

type operator struct {
	program *program
	result  string
}

// fleets numbers the fleets of this test binary.
var fleets atomic.Int32

// newFleet reserves a subnet of loopback by a listener on its first address.
func newFleet(dir, without string) (*fleet, error) {
	f := &fleet{
		dir: dir, without: without, checksGrants: true, cuts: map[string]map[string]bool{}, stop: make(chan struct{}),
	}
	for range 200 {
		number := int(fleets.Add(1))
		f.subnet = fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, number%250+1)
		l, err := net.Listen("tcp", f.subnet+".1:7400")
		if err == nil {
			f.lock = l
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

// run starts a program of the test binary. Its output goes to a file in the script's directory.
func (f *fleet) run(name, command string, env []string, args ...string) (*program, error) {
	return startProgram(f.path(name+".log"), command, append(env, envWithout+"="+f.without), args...)
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
	// A test binary that is ended by its timeout leaves no processes behind.
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
	f.deployment = d
	if f.store, err = f.run("store", "standin-store", nil, f.storeAddr().String()); err != nil {
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
	if err := f.settle(startTimeout); err != nil {
		return err
	}
	f.watcher.Go(f.watch)
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
	n.upstream, err = f.run(n.name+"-upstream", "standin-upstream", nil, string(data))
	return err
}

func (f *fleet) startProcess(n *node) error {
	file := f.path(n.name + ".hujson")
	if err := os.WriteFile(file, f.settings(n), 0o600); err != nil {
		return err
	}
	env := []string{envAcknowledged + "=" + f.path(n.name+".acknowledged"), envSwitch + "=" + n.addr(portSwitch).String()}
	n.started = time.Now()
	p, err := f.run(n.name, "sequoiaspring", env, "run", "--settings", file)
	n.process = p
	return err
}

// settings are written by hand, since a Secret is not encoded.
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

// settle waits until every running process sees a live owner for every shard.
func (f *fleet) settle(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		missing := f.unsettled()
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("not settled after %s: %s", timeout, missing)
		}
		time.Sleep(poll)
	}
}

func (f *fleet) unsettled() string {
	for _, n := range f.nodes {
		if !n.process.running() {
			continue
		}
		s, err := n.status()
		if err != nil {
			return n.name + " does not answer"
		}
		if len(s.Services) != len(f.deployment.Services) {
			return n.name + " has no configuration"
		}
		for _, v := range s.Services {
			if v.Unassigned > 0 {
				return fmt.Sprintf("%s sees %d shards of %s without an owner", n.name, v.Unassigned, v.Name)
			}
		}
		for _, m := range s.Members {
			if m.Revoked && m.Owned > 0 {
				return fmt.Sprintf("%s sees %d shards at %s, which was revoked", n.name, m.Owned, m.Instance)
			}
		}
	}
	return ""
}

// watch reads which configuration each process has in force.
func (f *fleet) watch() {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		var reading sync.WaitGroup
		for _, n := range f.nodes {
			reading.Go(func() { f.readConfiguration(n) })
		}
		reading.Wait()
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

func (f *fleet) find(name string) (*node, error) {
	for _, n := range f.nodes {
		if n.name == name {
			return n, nil
		}
	}
	return nil, errors.Errorf("no node %q", name)
}

// view returns the status of the first process that answers and is not cut.
func (f *fleet) view() (sequoiaadmin.Status, error) {
	for _, n := range f.nodes {
		if !n.process.running() || len(f.cuts[n.name]) > 0 {
			continue
		}
		if s, err := n.status(); err == nil {
			return s, nil
		}
	}
	return sequoiaadmin.Status{}, errors.New("no process answers")
}

// owner returns the running node of the first service that owns the most keys, those in except left out.
func (f *fleet) owner(except []string) (*node, error) {
	s, err := f.view()
	if err != nil {
		return nil, err
	}
	best, most := "", -1
	for _, m := range s.Members {
		if m.Service == f.deployment.Services[0].Name && !m.Revoked && m.Owned > most && !contains(except, m.Instance) {
			best, most = m.Instance, m.Owned
		}
	}
	return f.find(best)
}

// witness returns the node of a witness of an instance.
func (f *fleet) witness(of string, number int) (*node, error) {
	s, err := f.view()
	if err != nil {
		return nil, err
	}
	instances := map[sequoiatable.IncarnationID]string{}
	for _, m := range s.Members {
		instances[m.Incarnation] = m.Instance
	}
	for _, m := range s.Members {
		if m.Instance == of && !m.Revoked && number < len(m.Witnesses) {
			return f.find(instances[m.Witnesses[number]])
		}
	}
	return nil, errors.Errorf("%s has no witness %d", of, number)
}

func contains(list []string, s string) bool {
	for _, other := range list {
		if other == s {
			return true
		}
	}
	return false
}

// cut makes what two names send to each other be lost: "store", or names of nodes.
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
		b, err := f.find(name)
		if err != nil {
			return err
		}
		f.block(a, b.ip.String())
		f.block(b, a.ip.String())
	}
	return f.applyCuts()
}

func (f *fleet) block(n *node, name string) {
	if f.cuts[n.name] == nil {
		f.cuts[n.name] = map[string]bool{}
	}
	f.cuts[n.name][name] = true
}

func (f *fleet) heal() error {
	f.cuts = map[string]map[string]bool{}
	return f.applyCuts()
}

func (f *fleet) applyCuts() error {
	for _, n := range f.nodes {
		if !n.process.running() {
			continue
		}
		q := url.Values{}
		for name := range f.cuts[n.name] {
			q.Add("name", name)
		}
		client := http.Client{Timeout: switchTimeout}
		resp, err := client.Post("http://"+n.addr(portSwitch).String()+"/?"+q.Encode(), "", nil)
		if err != nil {
			return errors.Wrapf(err, "switch of %s", n.name)
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
	client := http.Client{Timeout: switchTimeout}
	resp, err := client.Post("http://"+f.storeAddr().String()+"/control/faults", "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// later undoes a fault after a time.
func (f *fleet) later(d time.Duration, undo func()) {
	f.healing.Go(func() {
		select {
		case <-time.After(d):
			undo()
		case <-f.stop:
		}
	})
}

// close ends every program that the fleet started, frozen ones included.
func (f *fleet) close() {
	close(f.stop)
	f.healing.Wait()
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
	_ = f.lock.Close()
}

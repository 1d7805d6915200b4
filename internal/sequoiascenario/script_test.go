package sequoiascenario

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
)

// scenario is the state of one run of a script.
type scenario struct {
	name string
	// removedSafeguard names the safeguard that is removed, if any, and expectedViolation the kind of violation that the
	// checker must then report.
	removedSafeguard  string
	expectedViolation sequoiachecker.Kind
	seed              uint64
	fleet             *fleet
	report            *sequoiachecker.Report
	records           []sequoiachecker.CallerRecord
	// violationReported is true once the checker has reported expectedViolation.
	violationReported bool
}

type scenarioKey struct{}

func currentScenario(ts *testscript.TestScript) *scenario {
	return ts.Value(scenarioKey{}).(*scenario)
}

// commands returns the script commands. An error of a command, as opposed to a violation of an invariant, also fails
// the script.
func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	list := map[string]func(s *scenario, ts *testscript.TestScript, args []string) error{
		"fleet": (*scenario).cmdFleet, "pick": (*scenario).cmdPick, "load": (*scenario).cmdLoad,
		"crash": (*scenario).cmdCrash, "freeze": (*scenario).cmdFreeze, "cut": (*scenario).cmdCut,
		"heal": (*scenario).cmdHeal, "store": (*scenario).cmdStore, "apply": (*scenario).cmdApply,
		"move": (*scenario).cmdMove, "drain": (*scenario).cmdDrain, "restart": (*scenario).cmdRestart,
		"sleep": (*scenario).cmdSleep, "settle": (*scenario).cmdSettle, "verdict": (*scenario).cmdVerdict,
		"expect": (*scenario).cmdExpect, "exited": (*scenario).cmdExited,
	}
	cmds := map[string]func(ts *testscript.TestScript, neg bool, args []string){}
	for name, f := range list {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := currentScenario(ts)
			err := f(s, ts, args)
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			if err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return cmds
}

// options holds the name=value arguments of a command.
type options map[string]string

// parseOptions splits arguments into words and name=value pairs.
func parseOptions(args []string) (words []string, o options) {
	o = options{}
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok {
			o[name] = value
			continue
		}
		words = append(words, a)
	}
	return words, o
}

func (o options) number(name string, defaultValue int) int {
	if s, ok := o[name]; ok {
		n, err := strconv.Atoi(s)
		if err != nil {
			panic(errors.Wrap(err, name))
		}
		return n
	}
	return defaultValue
}

func (o options) duration(name string, defaultValue time.Duration) time.Duration {
	if s, ok := o[name]; ok {
		d, err := time.ParseDuration(s)
		if err != nil {
			panic(errors.Wrap(err, name))
		}
		return d
	}
	return defaultValue
}

// cmdFleet implements "fleet howrah|pinehollow [unchecked] [service-time=D]", which starts a deployment. Its upstreams
// do not check grants if unchecked is given.
func (s *scenario) cmdFleet(ts *testscript.TestScript, args []string) error {
	words, o := parseOptions(args)
	f, err := newFleet(ts.Getenv("WORK"), s.removedSafeguard)
	if err != nil {
		return err
	}
	s.fleet = f
	ts.Defer(f.close)
	f.checksGrants = !contains(words, "unchecked")
	f.serviceTime = o.duration("service-time", 0)
	return f.start(words[0])
}

// cmdPick implements "pick VARIABLE owner [EXCLUDED-NODE]..." and "pick VARIABLE witness NODE INDEX", which set a
// variable of the script to the name of a node.
func (s *scenario) cmdPick(ts *testscript.TestScript, args []string) error {
	var n *node
	var err error
	switch args[1] {
	case "owner":
		n, err = s.fleet.owner(args[2:])
	case "witness":
		var index int
		if index, err = strconv.Atoi(args[3]); err == nil {
			n, err = s.fleet.witness(args[2], index)
		}
	default:
		err = errors.Errorf("cannot pick %q; allowed: owner, witness", args[1])
	}
	if err != nil {
		return err
	}
	ts.Setenv(args[0], n.name)
	ts.Logf("%s is %s in %s", args[0], n.name, n.domain)
	return nil
}

// cmdLoad implements "load start [rate=N] [keys=N] [timeout=D] [plain] [abandon=D] [resends=N] [to=NODE]" and "load
// stop". The rate applies to each service: 200 requests per second to 24 keys are about 8 requests per second to each
// key.
func (s *scenario) cmdLoad(_ *testscript.TestScript, args []string) error {
	words, o := parseOptions(args)
	if words[0] == "stop" {
		return s.stopLoad()
	}
	f := s.fleet
	plan := loadPlan{
		Plain: contains(words, "plain"), Abandon: o.duration("abandon", 0), Resends: o.number("resends", 0),
	}
	for _, n := range f.nodes {
		if to := o["to"]; to == "" || to == n.name {
			plan.Processes = append(plan.Processes, n.addr(portHTTP))
		}
	}
	for _, service := range f.deployment.Services {
		name := "load" + strconv.Itoa(len(f.loads))
		plan.Records = f.path(name + ".records")
		plan.Config = sequoiastandin.LoadConfig{
			Service: service.Name, Callers: 500, Requests: 500_000, Duration: 10 * time.Minute,
			Rate: float64(o.number("rate", 200)), Keys: o.number("keys", 24), Seed: s.seed,
			RepeatableShare: 0, Timeout: o.duration("timeout", 5*time.Second), RunID: service.Name + name,
		}
		data, err := json.Marshal(plan)
		if err != nil {
			return err
		}
		p, err := f.startProgram(name, "standin-load", nil, string(data))
		if err != nil {
			return err
		}
		f.loads = append(f.loads, &loadProgram{program: p, records: plan.Records})
	}
	return nil
}

func (s *scenario) stopLoad() error {
	for _, l := range s.fleet.loads {
		l.program.signal(syscall.SIGTERM)
	}
	for _, l := range s.fleet.loads {
		select {
		case <-l.program.done:
		case <-time.After(30 * time.Second):
			return errors.New("load generator did not stop in time")
		}
		data, err := os.ReadFile(l.records)
		if err != nil {
			return err
		}
		var records []sequoiachecker.CallerRecord
		if err := json.Unmarshal(data, &records); err != nil {
			return err
		}
		s.records = append(s.records, records...)
	}
	s.fleet.loads = nil
	return nil
}

// targetPrograms returns the programs of a node that a fault applies to.
func targetPrograms(n *node, target string) ([]*program, error) {
	switch target {
	case "process":
		return []*program{n.process}, nil
	case "upstream":
		return []*program{n.upstream}, nil
	case "both":
		return []*program{n.process, n.upstream}, nil
	}
	return nil, errors.Errorf("unknown target %q; allowed: process, upstream, both", target)
}

// cmdCrash implements "crash NODE... [what=process|upstream|both]", which sends SIGKILL. It is not called kill because
// testscript has a command of that name.
func (s *scenario) cmdCrash(_ *testscript.TestScript, args []string) error {
	names, o := parseOptions(args)
	target := o["what"]
	if target == "" {
		target = "both"
	}
	for _, name := range names {
		n, err := s.fleet.findNode(name)
		if err != nil {
			return err
		}
		list, err := targetPrograms(n, target)
		if err != nil {
			return err
		}
		for _, p := range list {
			p.signal(syscall.SIGKILL)
		}
	}
	return nil
}

// cmdFreeze implements "freeze NODE DURATION [process|upstream|both]", which pauses programs with SIGSTOP. The script
// continues meanwhile.
func (s *scenario) cmdFreeze(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.findNode(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	list, err := targetPrograms(n, append(args, "both")[2])
	if err != nil {
		return err
	}
	for _, p := range list {
		p.signal(syscall.SIGSTOP)
	}
	s.fleet.undoAfter(d, func() {
		for _, p := range list {
			p.signal(syscall.SIGCONT)
		}
	})
	return nil
}

// cmdCut implements "cut NODE from store|peers|NODE", which blocks the traffic between them.
func (s *scenario) cmdCut(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.findNode(args[0])
	if err != nil {
		return err
	}
	return s.fleet.cut(n, args[2])
}

// cmdHeal implements "heal", which reverts all cuts.
func (s *scenario) cmdHeal(*testscript.TestScript, []string) error {
	return s.fleet.heal()
}

// cmdStore implements "store down D", "store slow D [delay=D]", "store drop-replies N" and "store up", which set the
// faults of the store stand-in.
func (s *scenario) cmdStore(_ *testscript.TestScript, args []string) error {
	words, o := parseOptions(args)
	var faults sequoiastandin.StoreFaults
	switch words[0] {
	case "up":
		return s.fleet.setStoreFaults(faults)
	case "drop-replies":
		n, err := strconv.Atoi(words[1])
		faults.DropReplies = n
		if err != nil {
			return err
		}
		return s.fleet.setStoreFaults(faults)
	case "down":
		faults.Down = true
	case "slow":
		faults.DelayMilliseconds = int(o.duration("delay", 300*time.Millisecond).Milliseconds())
	default:
		return errors.Errorf("unknown store fault %q; allowed: up, down, slow, drop-replies", words[0])
	}
	d, err := time.ParseDuration(words[1])
	if err != nil {
		return err
	}
	if err := s.fleet.setStoreFaults(faults); err != nil {
		return err
	}
	s.fleet.undoAfter(d, func() { _ = s.fleet.setStoreFaults(sequoiastandin.StoreFaults{}) })
	return nil
}

// queuedLimitPattern matches the part of the example configurations that the operators change.
var queuedLimitPattern = regexp.MustCompile(`"Queued": \d+`)

// cmdApply implements "apply start NODE... [timeout=D] [late=D]", which starts an operator at each node, and "apply
// wait", which waits for all of them. Each operator applies a different document, based on the revision in force at the
// first node. If late is given, one more operator starts at the last node after that time, when another document is in
// force.
func (s *scenario) cmdApply(_ *testscript.TestScript, args []string) error {
	words, o := parseOptions(args)
	if words[0] == "wait" {
		return s.waitOperators()
	}
	base := uint64(0)
	for i, name := range words[1:] {
		n, err := s.fleet.findNode(name)
		if err != nil {
			return err
		}
		if i == 0 {
			st, err := n.status()
			if err != nil {
				return err
			}
			base = st.Configuration
		}
		if err := s.startOperator(n, base, o.duration("timeout", 25*time.Second)); err != nil {
			return err
		}
	}
	late := o.duration("late", 0)
	if late == 0 {
		return nil
	}
	time.Sleep(late)
	n, err := s.fleet.findNode(words[len(words)-1])
	if err != nil {
		return err
	}
	return s.startOperator(n, base, o.duration("timeout", 25*time.Second))
}

func (s *scenario) startOperator(n *node, base uint64, timeout time.Duration) error {
	f := s.fleet
	f.documentCount++
	document := queuedLimitPattern.ReplaceAllString(f.deployment.Configuration, `"Queued": `+strconv.Itoa(200+f.documentCount))
	name := "operator" + strconv.Itoa(f.documentCount)
	plan := operatorPlan{
		Address: n.addr(portAdministration), Credential: credential, Timeout: timeout,
		Request: sequoiaadmin.ApplyRequest{Base: base, Operator: name, Document: document},
		Result:  f.path(name + ".result"),
	}
	data, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	p, err := f.startProgram(name, "standin-operators", nil, string(data))
	if err != nil {
		return err
	}
	f.operators = append(f.operators, &operatorProgram{program: p, result: plan.Result})
	return nil
}

func (s *scenario) waitOperators() error {
	f := s.fleet
	for _, o := range f.operators {
		<-o.program.done
		data, err := os.ReadFile(o.result)
		if err != nil {
			return err
		}
		var result applyResult
		if err := json.Unmarshal(data, &result); err != nil {
			return err
		}
		f.mu.Lock()
		switch {
		case result.Conflict:
			f.conflicts++
		case result.Unknown:
			f.unknownApplies++
		case result.Error != "":
			f.mu.Unlock()
			return errors.New(result.Error)
		default:
			f.configurations = append(f.configurations, sequoiachecker.Configuration{
				Base: result.Base, Revision: result.Revision, Accepted: result.Ended,
			})
		}
		f.mu.Unlock()
	}
	f.operators = nil
	return nil
}

// moveAttempts bounds the requests for a move, which is refused while its target rejoins.
const moveAttempts = 5

// cmdMove implements "move NODE TO shards=N [nowait]", which requests through NODE that the first N shards of the first
// service move to TO.
func (s *scenario) cmdMove(_ *testscript.TestScript, args []string) error {
	words, o := parseOptions(args)
	n, err := s.fleet.findNode(words[0])
	if err != nil {
		return err
	}
	req := sequoiaadmin.MoveRequest{Service: s.fleet.deployment.Services[0].Name, To: words[1], Reason: "scenario"}
	for shard := range o.number("shards", 256) {
		req.Shards = append(req.Shards, uint32(shard))
	}
	if contains(words, "nowait") {
		s.fleet.activeFaults.Go(func() { _ = requestMove(n, req) })
		return nil
	}
	for range moveAttempts {
		if err = requestMove(n, req); err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

func requestMove(n *node, req sequoiaadmin.MoveRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := n.admin().Move(ctx, req)
	return err
}

// cmdDrain implements "drain NODE [signal]", which requests a planned stop by the administration API or by SIGTERM. It
// does not wait until the process has stopped.
func (s *scenario) cmdDrain(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.findNode(args[0])
	if err != nil {
		return err
	}
	s.fleet.departures = append(s.fleet.departures, sequoiachecker.Departure{Upstream: n.name, Requested: time.Now()})
	if contains(args, "signal") {
		n.process.signal(syscall.SIGTERM)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = n.admin().Drain(ctx, sequoiaadmin.DrainRequest{Reason: "scenario"})
	return err
}

// cmdExited implements "exited NODE within D", which waits until a process has ended. It does not fail with a removed
// safeguard, since the process may then never end.
func (s *scenario) cmdExited(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.findNode(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	select {
	case <-n.process.done:
	case <-time.After(d):
		if s.removedSafeguard == "" {
			return errors.Errorf("%s is still running", n.name)
		}
	}
	return nil
}

// cmdRestart implements "restart NODE", which starts those programs of a node that have ended.
func (s *scenario) cmdRestart(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.findNode(args[0])
	if err != nil {
		return err
	}
	for i := range s.fleet.departures {
		if d := &s.fleet.departures[i]; d.Upstream == n.name && d.Restarted.IsZero() {
			d.Restarted = time.Now()
		}
	}
	if !n.upstream.running() {
		if err := s.fleet.startUpstream(n); err != nil {
			return err
		}
	}
	if n.process.running() {
		return nil
	}
	return s.fleet.startProcess(n)
}

// cmdSleep implements "sleep D".
func (s *scenario) cmdSleep(_ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// cmdSettle implements "settle D", which waits until all temporary faults have ended and then up to D until every key
// has an owner. It does not fail with a removed safeguard, since some keys may then never have an owner.
func (s *scenario) cmdSettle(_ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	s.fleet.activeFaults.Wait()
	if err := s.fleet.awaitAssigned(d); err != nil && s.removedSafeguard == "" {
		return err
	}
	return nil
}

// scriptFiles returns the paths of all scripts.
func scriptFiles() []string {
	list, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		panic(err)
	}
	return list
}

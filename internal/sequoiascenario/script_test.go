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
	// without names the removed safeguard and detects the kind of violation that the checker must report then.
	without string
	detects sequoiachecker.Kind
	seed    uint64
	fleet   *fleet
	report  *sequoiachecker.Report
	records []sequoiachecker.CallerRecord
	// detected is set when the checker has reported the violation.
	detected bool
}

type scenarioKey struct{}

func current(ts *testscript.TestScript) *scenario {
	return ts.Value(scenarioKey{}).(*scenario)
}

// commands are the scripts' commands. A fault of the test's own machinery ends the script.
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
			s := current(ts)
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

// options splits arguments into words and name=value pairs.
type options map[string]string

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

func (o options) number(name string, value int) int {
	if s, ok := o[name]; ok {
		n, err := strconv.Atoi(s)
		if err != nil {
			panic(errors.Wrap(err, name))
		}
		return n
	}
	return value
}

func (o options) duration(name string, value time.Duration) time.Duration {
	if s, ok := o[name]; ok {
		d, err := time.ParseDuration(s)
		if err != nil {
			panic(errors.Wrap(err, name))
		}
		return d
	}
	return value
}

// cmdFleet: fleet howrah|pinehollow [unchecked] [service-time=D].
func (s *scenario) cmdFleet(ts *testscript.TestScript, args []string) error {
	words, o := parseOptions(args)
	f, err := newFleet(ts.Getenv("WORK"), s.without)
	if err != nil {
		return err
	}
	s.fleet = f
	ts.Defer(f.close)
	f.checksGrants = !contains(words, "unchecked")
	f.serviceTime = o.duration("service-time", 0)
	return f.start(words[0])
}

// cmdPick: pick VARIABLE owner|bystander|witness|node ... sets a variable of the script to the name of a node.
func (s *scenario) cmdPick(ts *testscript.TestScript, args []string) error {
	var n *node
	var err error
	switch args[1] {
	case "owner":
		n, err = s.fleet.owner(args[2:])
	case "witness":
		var number int
		if number, err = strconv.Atoi(args[3]); err == nil {
			n, err = s.fleet.witness(args[2], number)
		}
	default:
		err = errors.Errorf("cannot pick %q", args[1])
	}
	if err != nil {
		return err
	}
	ts.Setenv(args[0], n.name)
	ts.Logf("%s is %s in %s", args[0], n.name, n.domain)
	return nil
}

// cmdLoad: load start [rate=N] [keys=N] [timeout=D] [plain] [abandon=D] [resends=N] [to=NODE], load stop. The rate is for each
// service; with 200 requests per second to 24 keys each key is asked 8 times a second.
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
		p, err := f.run(name, "standin-load", nil, string(data))
		if err != nil {
			return err
		}
		f.loads = append(f.loads, &load{program: p, records: plan.Records})
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
			return errors.New("the load generator did not stop")
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

// parts returns the programs of a node that a fault is for.
func parts(n *node, what string) ([]*program, error) {
	switch what {
	case "process":
		return []*program{n.process}, nil
	case "upstream":
		return []*program{n.upstream}, nil
	case "both":
		return []*program{n.process, n.upstream}, nil
	}
	return nil, errors.Errorf("%q; allowed: process, upstream, both", what)
}

// cmdCrash: crash NODE... [what=process|upstream|both] sends SIGKILL. The script engine has a command kill of its own.
func (s *scenario) cmdCrash(_ *testscript.TestScript, args []string) error {
	names, o := parseOptions(args)
	what := o["what"]
	if what == "" {
		what = "both"
	}
	for _, name := range names {
		n, err := s.fleet.find(name)
		if err != nil {
			return err
		}
		list, err := parts(n, what)
		if err != nil {
			return err
		}
		for _, p := range list {
			p.signal(syscall.SIGKILL)
		}
	}
	return nil
}

// cmdFreeze: freeze NODE DURATION [process|upstream|both]. The script goes on meanwhile.
func (s *scenario) cmdFreeze(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.find(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	list, err := parts(n, append(args, "both")[2])
	if err != nil {
		return err
	}
	for _, p := range list {
		p.signal(syscall.SIGSTOP)
	}
	s.fleet.later(d, func() {
		for _, p := range list {
			p.signal(syscall.SIGCONT)
		}
	})
	return nil
}

// cmdCut: cut NODE from store|peers|NODE.
func (s *scenario) cmdCut(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.find(args[0])
	if err != nil {
		return err
	}
	return s.fleet.cut(n, args[2])
}

// cmdHeal: heal.
func (s *scenario) cmdHeal(*testscript.TestScript, []string) error {
	return s.fleet.heal()
}

// cmdStore: store down D, store slow D [delay=D], store drop-replies N, store up.
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
		return errors.Errorf("store %q", words[0])
	}
	d, err := time.ParseDuration(words[1])
	if err != nil {
		return err
	}
	if err := s.fleet.setStoreFaults(faults); err != nil {
		return err
	}
	s.fleet.later(d, func() { _ = s.fleet.setStoreFaults(sequoiastandin.StoreFaults{}) })
	return nil
}

// queuedLimit is the part of the example configurations that operators change.
var queuedLimit = regexp.MustCompile(`"Queued": \d+`)

// cmdApply: apply start NODE... [timeout=D] [late=D] starts an operator at each node, apply wait waits for all. Each
// operator has a document of its own, and all documents are made from the revision in force at the first node. With late
// one more operator follows at the last node after that time, when another document is in force.
func (s *scenario) cmdApply(_ *testscript.TestScript, args []string) error {
	words, o := parseOptions(args)
	if words[0] == "wait" {
		return s.waitOperators()
	}
	base := uint64(0)
	for i, name := range words[1:] {
		n, err := s.fleet.find(name)
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
	n, err := s.fleet.find(words[len(words)-1])
	if err != nil {
		return err
	}
	return s.startOperator(n, base, o.duration("timeout", 25*time.Second))
}

func (s *scenario) startOperator(n *node, base uint64, timeout time.Duration) error {
	f := s.fleet
	f.documents++
	document := queuedLimit.ReplaceAllString(f.deployment.Configuration, `"Queued": `+strconv.Itoa(200+f.documents))
	name := "operator" + strconv.Itoa(f.documents)
	plan := operatorPlan{
		Address: n.addr(portAdministration), Credential: credential, Timeout: timeout,
		Request: sequoiaadmin.ApplyRequest{Base: base, Operator: name, Document: document},
		Result:  f.path(name + ".result"),
	}
	data, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	p, err := f.run(name, "standin-operators", nil, string(data))
	if err != nil {
		return err
	}
	f.operators = append(f.operators, &operator{program: p, result: plan.Result})
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
		var a applied
		if err := json.Unmarshal(data, &a); err != nil {
			return err
		}
		f.mu.Lock()
		switch {
		case a.Conflict:
			f.conflicts++
		case a.Unknown:
			f.unknownApplies++
		case a.Error != "":
			f.mu.Unlock()
			return errors.New(a.Error)
		default:
			f.configurations = append(f.configurations, sequoiachecker.Configuration{
				Base: a.Base, Revision: a.Revision, Accepted: a.Ended,
			})
		}
		f.mu.Unlock()
	}
	f.operators = nil
	return nil
}

// moveAttempts is how often an operator asks for a move, which is refused while the target rejoins.
const moveAttempts = 5

// cmdMove: move NODE-ASKED TO shards=N [nowait] asks for a move of the first shards of the first service.
func (s *scenario) cmdMove(_ *testscript.TestScript, args []string) error {
	words, o := parseOptions(args)
	n, err := s.fleet.find(words[0])
	if err != nil {
		return err
	}
	req := sequoiaadmin.MoveRequest{Service: s.fleet.deployment.Services[0].Name, To: words[1], Reason: "scenario"}
	for shard := range o.number("shards", 256) {
		req.Shards = append(req.Shards, uint32(shard))
	}
	if contains(words, "nowait") {
		s.fleet.healing.Go(func() { _ = askMove(n, req) })
		return nil
	}
	for range moveAttempts {
		if err = askMove(n, req); err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

func askMove(n *node, req sequoiaadmin.MoveRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := n.admin().Move(ctx, req)
	return err
}

// cmdDrain: drain NODE [signal] asks for a planned stop, by the administration API or by SIGTERM. It returns when the
// process has taken the command.
func (s *scenario) cmdDrain(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.find(args[0])
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

// cmdExited: exited NODE within D. With a removed safeguard a process may not end.
func (s *scenario) cmdExited(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.find(args[0])
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
		if s.without == "" {
			return errors.Errorf("%s is still running", n.name)
		}
	}
	return nil
}

// cmdRestart: restart NODE starts what has ended of a node.
func (s *scenario) cmdRestart(_ *testscript.TestScript, args []string) error {
	n, err := s.fleet.find(args[0])
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

// cmdSleep: sleep D.
func (s *scenario) cmdSleep(_ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// cmdSettle: settle D waits until all faults that end by themselves have ended and every key has an owner. With a
// removed safeguard that may never be so.
func (s *scenario) cmdSettle(_ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	s.fleet.healing.Wait()
	if err := s.fleet.settle(d); err != nil && s.without == "" {
		return err
	}
	return nil
}

// scripts returns the scripts' paths.
func scripts() []string {
	list, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		panic(err)
	}
	return list
}

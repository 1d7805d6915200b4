package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sequoiaspring": main})
}

// setScriptEnvironment sets the environment variables that all scripts use.
func setScriptEnvironment(env *testscript.Env) error {
	for name, path := range map[string]string{"EXAMPLES": "../../examples", "TRACES": "../../internal/sequoiatrace/testdata"} {
		abs, err := filepath.Abs(path)
		if err != nil {
			return err
		}
		env.Setenv(name, abs)
	}
	return nil
}

var scriptCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"eventually": eventually,
	"exitcode":   exitCode,
	"lastjson":   lastJSON,
	"race":       race,
}

// exitCode runs a command and fails unless it exits with the given code. "! exec" would accept any failure.
func exitCode(ts *testscript.TestScript, _ bool, args []string) {
	var exit *exec.ExitError
	err := ts.Exec(args[1], args[2:]...)
	if !errors.As(err, &exit) || fmt.Sprint(exit.ExitCode()) != args[0] {
		ts.Fatalf("%s returned %v, want exit code %s", strings.Join(args[1:], " "), err, args[0])
	}
}

// eventually repeats a command until it succeeds and its output matches a pattern or, after "!", does not match it.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		err := ts.Exec(args[1], args[2:]...)
		if err == nil && pattern.MatchString(ts.ReadFile("stdout")) != neg {
			return
		}
	}
	ts.Fatalf("the output did not meet the condition on %q in time", args[0])
}

// TestInput tests the commands that need no running process: their help, which input they reject and their exit codes.
func TestInput(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script/input", Setup: setScriptEnvironment, Cmds: scriptCommands})
}

// TestOperator tests the operators' commands with a running fleet. Its scripts share one fleet, which takes about 2 s
// to start, and use different processes of it.
func TestOperator(t *testing.T) {
	d, err := sequoiafleet.FindDeployment("howrah")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	fleet, err := sequoiafleet.Start(ctx, d, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	setup := func(env *testscript.Env) error {
		for i, n := range fleet.Nodes {
			env.Setenv(fmt.Sprintf("INSTANCE%d", i), n.Settings.Instance)
			env.Setenv(fmt.Sprintf("ADMIN%d", i), n.Settings.Administration.String())
		}
		env.Setenv("CREDENTIAL", string(fleet.Nodes[0].Settings.AdministrationCredential))
		env.Setenv("LOSSY", dropFirstReply(t, fleet.Nodes[0].Settings.Administration).String())
		if err := writeSettings(filepath.Join(env.WorkDir, "tenth.hujson"), fleet); err != nil {
			return err
		}
		return setScriptEnvironment(env)
	}
	testscript.Run(t, testscript.Params{Dir: "testdata/script/operator", Setup: setup, Cmds: scriptCommands})
}

// dropFirstReply starts a proxy for a process that drops the response to the first change. The change takes effect, but
// the operator does not learn of it.
func dropFirstReply(t *testing.T, to netip.AddrPort) net.Addr {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var dropped atomic.Bool
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := r.Clone(r.Context())
		req.RequestURI, req.URL.Scheme, req.URL.Host = "", "http", to.String()
		resp, err := http.DefaultClient.Do(req)
		if err != nil || r.Method == http.MethodPost && dropped.CompareAndSwap(false, true) {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr()
}

// writeSettings writes a settings file for an additional process of the fleet, with unused addresses.
func writeSettings(name string, f *sequoiafleet.Fleet) error {
	s := f.Nodes[0].Settings
	var addrs [5]string
	for i := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = ln.Close() }()
		addrs[i] = ln.Addr().String()
	}
	document := fmt.Sprintf(`{"Instance": "tenth", "Region": %q, "FailureDomain": %q, "Control": %q, "Forward": %q,
		"HTTP": %q, "Announce": %q, "Administration": %q, "Store": [%q], "SharedKey": %q, "AdministrationCredential": %q}`,
		s.Region, s.FailureDomain, addrs[0], addrs[1], addrs[2], addrs[3], addrs[4], f.Store.Addr(),
		string(s.SharedKey), string(s.AdministrationCredential))
	return os.WriteFile(name, []byte(document), 0o600)
}

// lastJSON fails unless the last line of the previous command's output is a JSON object that has the given fields.
func lastJSON(ts *testscript.TestScript, _ bool, fields []string) {
	lines := strings.Split(strings.TrimSpace(ts.ReadFile("stdout")), "\n")
	var object map[string]any
	ts.Check(json.Unmarshal([]byte(lines[len(lines)-1]), &object))
	for _, name := range fields {
		if _, ok := object[name]; !ok {
			ts.Fatalf("the last line has no field %s: %s", name, lines[len(lines)-1])
		}
	}
}

var (
	acceptedRevision = regexp.MustCompile(`^configuration revision (\d+) is accepted\n$`)
	winningRevision  = regexp.MustCompile(`revision (\d+) won`)
)

// race runs the same command twice concurrently, based on the revision in the previous command's output. Exactly one of
// the two must succeed, and the other one must fail with exit code 1 and report the winning revision.
func race(ts *testscript.TestScript, _ bool, args []string) {
	base := acceptedRevision.FindStringSubmatch(ts.ReadFile("stdout"))
	if base == nil {
		ts.Fatalf("the previous command did not print an accepted revision")
	}
	var cmds [2]*exec.Cmd
	var stdout, stderr [2]bytes.Buffer
	for i := range cmds {
		cmds[i] = exec.Command("sequoiaspring", append(args, "--base", base[1], "--operator", fmt.Sprintf("operator-%d", i))...)
		cmds[i].Env = append(os.Environ(), "SEQUOIASPRING_CREDENTIAL="+ts.Getenv("SEQUOIASPRING_CREDENTIAL"))
		cmds[i].Stdout, cmds[i].Stderr = &stdout[i], &stderr[i]
		ts.Check(cmds[i].Start())
	}
	for i := range cmds {
		_ = cmds[i].Wait()
	}
	winner := 0
	if !cmds[0].ProcessState.Success() {
		winner = 1
	}
	loser := 1 - winner
	accepted := acceptedRevision.FindStringSubmatch(stdout[winner].String())
	won := winningRevision.FindStringSubmatch(stderr[loser].String())
	if accepted == nil || won == nil || accepted[1] != won[1] || cmds[loser].ProcessState.ExitCode() != exitFailure {
		ts.Fatalf("winner: %q %q; loser: code %d %q", &stdout[winner], &stderr[winner],
			cmds[loser].ProcessState.ExitCode(), &stderr[loser])
	}
	ts.Logf("%s", &stderr[loser])
}

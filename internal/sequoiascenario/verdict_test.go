package sequoiascenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// slowThreshold is the latency above which an answered request counts as unavailable time of its key.
const slowThreshold = 250 * time.Millisecond

// envVerdictFile names the environment variable with the path of a file to which each verdict is appended as a JSON
// line.
const envVerdictFile = "SEQUOIASPRING_TEST_FIGURES"

// verdictRecord summarizes the verdict on one run of a script.
type verdictRecord struct {
	Scenario                string
	Without                 string `json:",omitempty"`
	Seed                    uint64
	Answered                int
	NotRun                  int
	Unknown                 int
	UnavailableMilliseconds int64
	Report                  sequoiachecker.Report
}

// cmdVerdict implements "verdict", which checks the invariants against the records of the run and fails if any is
// violated. With a removed safeguard it instead records whether the expected violation was reported.
func (s *scenario) cmdVerdict(ts *testscript.TestScript, _ []string) error {
	run, err := s.readRecords()
	if err != nil {
		return err
	}
	report := sequoiachecker.Check(run)
	s.report = &report
	s.writeVerdict(ts)
	if len(run.Executions) == 0 || len(run.Acknowledged) == 0 || len(run.Callers) == 0 {
		return errors.New("the run has no executions, no callers' records or no acknowledged log entries to check")
	}
	if s.removedSafeguard != "" {
		s.violationReported = s.counts()[string(s.expectedViolation)] > 0
		return nil
	}
	for _, v := range report.Violations {
		ts.Logf("%s: service %s key %s request %s: %s", v.Kind, v.Service, v.Key, v.RequestID, v.Detail)
	}
	if !report.OK() {
		return errors.Errorf("an invariant was violated")
	}
	return nil
}

func (s *scenario) writeVerdict(ts *testscript.TestScript) {
	c := s.counts()
	r := *s.report
	r.Unavailable, r.Violations = nil, r.Violations[:min(3, len(r.Violations))]
	data, err := json.Marshal(verdictRecord{
		Scenario: s.name, Without: s.removedSafeguard, Seed: s.seed,
		Answered: c["Answered"], NotRun: c["NotRun"], Unknown: c["Unknown"],
		UnavailableMilliseconds: s.longestUnavailable().Milliseconds(), Report: r,
	})
	if err != nil {
		ts.Fatalf("%v", err)
	}
	ts.Logf("%s", data)
	name := os.Getenv(envVerdictFile)
	if name == "" {
		return
	}
	if f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err == nil {
		_, _ = f.Write(append(data, '\n'))
		_ = f.Close()
	}
}

// readRecords returns the records of the upstreams, the callers and the processes, and the log of the store.
func (s *scenario) readRecords() (sequoiachecker.Run, error) {
	f := s.fleet
	run := sequoiachecker.Run{Callers: s.records, SlowThreshold: slowThreshold, Departures: f.departures}
	f.mu.Lock()
	run.Configurations = append(run.Configurations, f.configurations...)
	run.Observations = append(run.Observations, f.seen...)
	f.mu.Unlock()
	for _, n := range f.nodes {
		executions, err := readLines[sequoiachecker.Execution](f.path(n.name + ".executions"))
		if err != nil {
			return run, err
		}
		run.Executions = append(run.Executions, executions...)
		encoded, err := readLines[[]byte](f.path(n.name + ".acknowledged"))
		if err != nil {
			return run, err
		}
		for _, data := range encoded {
			e, err := sequoiatable.DecodeEntry(data)
			if err != nil {
				return run, err
			}
			run.Acknowledged = append(run.Acknowledged, e)
		}
	}
	return run, readLog(f, &run)
}

// readLog reads the log from the store directly, since sequoiastore refuses a log with a gap. A run writes too few
// entries for any to be deleted.
func readLog(f *fleet, run *sequoiachecker.Run) error {
	const prefix = "log/"
	client := http.Client{Timeout: 10 * time.Second}
	for after := ""; ; {
		q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {"1000"}}
		resp, err := client.Get("http://" + f.storeAddr().String() + "/v1/range?" + q.Encode())
		if err != nil {
			return err
		}
		var page struct {
			Items []struct {
				Key   string
				Value []byte
			}
			More bool
		}
		err = json.NewDecoder(resp.Body).Decode(&page)
		_ = resp.Body.Close()
		if err != nil {
			return errors.Wrap(err, "read the log")
		}
		for _, item := range page.Items {
			e, err := sequoiatable.DecodeEntry(item.Value)
			if err != nil {
				return errors.Wrap(err, item.Key)
			}
			run.Log = append(run.Log, e)
			after = item.Key
		}
		if !page.More {
			return nil
		}
	}
}

// readLines decodes a file of JSON lines. A missing file counts as empty.
func readLines[T any](name string) ([]T, error) {
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []T
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, 8<<20)
	for lines.Scan() {
		var v T
		if err := json.Unmarshal(lines.Bytes(), &v); err != nil {
			return nil, errors.Wrap(err, name)
		}
		list = append(list, v)
	}
	return list, lines.Err()
}

func (s *scenario) longestUnavailable() time.Duration {
	var longest time.Duration
	for _, u := range s.report.Unavailable {
		longest = max(longest, u.Longest)
	}
	return longest
}

// counts returns the numbers that the command expect compares, by name.
func (s *scenario) counts() map[string]int {
	r := s.report
	c := map[string]int{
		"DoubleOwned": r.DoubleOwned, "RanTwice": r.RanTwice, "WrongAnswers": r.WrongAnswers, "FalseNotRun": r.FalseNotRun,
		"LostAssignments": r.LostAssignments, "LateWork": r.LateWork, "Interrupted": r.Interrupted,
		"ConfigurationLate": r.ConfigurationLate, "ConfigurationReverted": r.ConfigurationReverted,
		"Conflicts": s.fleet.conflicts, "UnknownApplies": s.fleet.unknownApplies,
		// Does not count the configuration that the fleet starts with.
		"Accepted":  len(s.fleet.configurations) - 1,
		"Processes": 0,
	}
	for _, rec := range s.records {
		c[string(rec.Outcome)]++
	}
	for _, n := range s.fleet.nodes {
		if n.process.running() {
			c["Processes"]++
		}
	}
	return c
}

// cmdExpect implements "expect NAME [<=|>=] N", "expect unavailable <= D" and "expect in-force D". It checks nothing
// with a removed safeguard, since only the verdict counts then.
func (s *scenario) cmdExpect(ts *testscript.TestScript, args []string) error {
	if s.removedSafeguard != "" {
		return nil
	}
	if args[0] == "in-force" {
		return s.awaitInForce(args[1])
	}
	if s.report == nil {
		return errors.New("the script must run verdict first")
	}
	if args[0] == "unavailable" {
		bound, err := time.ParseDuration(args[2])
		if longest := s.longestUnavailable(); err == nil && longest > bound {
			err = errors.Errorf("longest unavailable time is %s", longest)
		}
		return err
	}
	value, ok := s.counts()[args[0]]
	if !ok && args[0] != "NotRun" && args[0] != "Unknown" && args[0] != "Answered" {
		return errors.Errorf("unknown name %q", args[0])
	}
	want, err := strconv.Atoi(args[len(args)-1])
	if err != nil {
		return err
	}
	if len(args) == 3 && args[1] == "<=" && value <= want || len(args) == 3 && args[1] == ">=" && value >= want ||
		len(args) == 2 && value == want {
		return nil
	}
	return errors.Errorf("got %d", value)
}

// awaitInForce waits until every running process has the latest accepted configuration in force. It fails if that takes
// longer than the timeout after the configuration was accepted.
func (s *scenario) awaitInForce(timeout string) error {
	d, err := time.ParseDuration(timeout)
	if err != nil {
		return err
	}
	f := s.fleet
	latest := f.configurations[0]
	for _, c := range f.configurations {
		if c.Revision > latest.Revision {
			latest = c
		}
	}
	for {
		problem := ""
		for _, n := range f.nodes {
			if !n.process.running() {
				continue
			}
			st, err := n.status()
			if err != nil || st.Configuration < latest.Revision {
				problem = fmt.Sprintf("%s has revision %d in force; latest accepted is %d (status error: %v)",
					n.name, st.Configuration, latest.Revision, err)
			}
		}
		if problem == "" {
			return nil
		}
		if time.Since(latest.Accepted) > d {
			return errors.New(problem)
		}
		time.Sleep(pollInterval)
	}
}

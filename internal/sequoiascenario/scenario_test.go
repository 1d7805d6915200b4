package sequoiascenario

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
)

const (
	// maxFleets bounds the deployments that run concurrently. Each has about 20 processes, and together they should use
	// less than half of the machine's cores.
	maxFleets = 4
	// envSeed names the environment variable that sets the seed of the callers' keys.
	envSeed = "SEQUOIASPRING_TEST_SEED"
	// removalAttempts bounds the runs of a scenario with a removed safeguard. Each run uses the next seed, until the
	// checker reports the violation, since it depends on timing whether a request is in progress when a fault occurs.
	removalAttempts = 5
)

// fleetSlots is a semaphore that holds a value for each running deployment.
var fleetSlots = make(chan struct{}, maxFleets)

func firstSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(envSeed), 10, 64); err == nil {
		return n
	}
	return 1
}

// runScript runs a script in a subtest once fewer than maxFleets deployments are running.
func runScript(t *testing.T, file string, s *scenario) bool {
	fleetSlots <- struct{}{}
	defer func() { <-fleetSlots }()
	s.name = strings.TrimSuffix(filepath.Base(file), ".txtar")
	return t.Run("run", func(t *testing.T) {
		testscript.RunT(serialT{t}, testscript.Params{
			Files:    []string{file},
			Cmds:     commands(),
			TestWork: os.Getenv("SEQUOIASPRING_TEST_KEEP") != "",
			Setup: func(env *testscript.Env) error {
				env.Values[scenarioKey{}] = s
				return nil
			},
		})
	})
}

// serialT disables the parallelism of testscript, since runScript bounds the number of concurrent scripts.
type serialT struct {
	*testing.T
}

func (s serialT) Parallel() {}

func (s serialT) Run(name string, f func(testscript.T)) {
	s.T.Run(name, func(t *testing.T) { f(serialT{t}) })
}

func (s serialT) Verbose() bool { return testing.Verbose() }

// timedScenarios are the scripts that check a time limit of the design. They run one at a time, before the others.
var timedScenarios = []string{"i1-kill-howrah", "i1-kill-pinehollow", "pair-kill-owner-and-witness"}

// TestScenarios runs every script and fails if one reports a violation of an invariant.
func TestScenarios(t *testing.T) {
	for _, name := range timedScenarios {
		t.Run(name, func(t *testing.T) {
			runScript(t, filepath.Join("testdata", name+".txtar"), &scenario{seed: firstSeed()})
		})
	}
	for _, file := range scriptFiles() {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		if contains(timedScenarios, name) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScript(t, file, &scenario{seed: firstSeed()})
		})
	}
}

// safeguardRemoval names the scenario that must report a violation when a safeguard is removed.
type safeguardRemoval struct {
	safeguard         string
	script            string
	expectedViolation sequoiachecker.Kind
}

// TestRemovedSafeguards checks that the scenarios can detect violations: with a safeguard removed, the scenario must
// report the violation that the safeguard prevents.
func TestRemovedSafeguards(t *testing.T) {
	for _, r := range safeguardRemovals {
		t.Run(r.safeguard+"-"+r.script, func(t *testing.T) {
			t.Parallel()
			for n := range uint64(removalAttempts) {
				s := &scenario{seed: firstSeed() + n, removedSafeguard: r.safeguard, expectedViolation: r.expectedViolation}
				if !runScript(t, filepath.Join("testdata", r.script+".txtar"), s) || s.violationReported {
					return
				}
			}
			t.Fatalf("no %s violation reported with safeguard %s removed", r.expectedViolation, r.safeguard)
		})
	}
}

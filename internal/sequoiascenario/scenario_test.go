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
	// maxFleets bounds the deployments that run at the same time, each of which has about 20 processes, so that the
	// machine stays below half of its cores.
	maxFleets = 4
	// envSeed sets the seed of the callers' keys.
	envSeed = "SEQUOIASPRING_TEST_SEED"
	// attempts is how often a scenario with a removed safeguard runs, with one seed after the other, until the checker
	// reports the violation: whether a request is in progress at the moment of a fault depends on timing.
	attempts = 5
)

var slots = make(chan struct{}, maxFleets)

func firstSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(envSeed), 10, 64); err == nil {
		return n
	}
	return 1
}

// runScript runs one script in a subtest that waits for one of the places for deployments.
func runScript(t *testing.T, file string, s *scenario) bool {
	slots <- struct{}{}
	defer func() { <-slots }()
	s.name = strings.TrimSuffix(filepath.Base(file), ".txtar")
	return t.Run("run", func(t *testing.T) {
		testscript.RunT(serial{t}, testscript.Params{
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

// serial keeps testscript from running scripts in parallel by itself, which runScript bounds instead.
type serial struct {
	*testing.T
}

func (s serial) Parallel() {}

func (s serial) Run(name string, f func(testscript.T)) {
	s.T.Run(name, func(t *testing.T) { f(serial{t}) })
}

func (s serial) Verbose() bool { return testing.Verbose() }

// bounds are the scripts that measure a time of the design. They run one at a time, before the others.
var bounds = []string{"i1-kill-howrah", "i1-kill-pinehollow", "pair-kill-owner-and-witness"}

// TestScenarios guards the invariants under failure: no script may end with a violation.
func TestScenarios(t *testing.T) {
	for _, name := range bounds {
		t.Run(name, func(t *testing.T) {
			runScript(t, filepath.Join("testdata", name+".txtar"), &scenario{seed: firstSeed()})
		})
	}
	for _, file := range scripts() {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		if contains(bounds, name) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScript(t, file, &scenario{seed: firstSeed()})
		})
	}
}

// removal names the scenario that fails once a safeguard is removed.
type removal struct {
	safeguard string
	script    string
	detects   sequoiachecker.Kind
}

// TestRemovedSafeguards guards the scenarios themselves: each must report the violation that a safeguard prevents when
// that safeguard is removed.
func TestRemovedSafeguards(t *testing.T) {
	for _, r := range removals {
		t.Run(r.safeguard+"-"+r.script, func(t *testing.T) {
			t.Parallel()
			for n := range uint64(attempts) {
				s := &scenario{seed: firstSeed() + n, without: r.safeguard, detects: r.detects}
				if !runScript(t, filepath.Join("testdata", r.script+".txtar"), s) || s.detected {
					return
				}
			}
			t.Fatalf("%s was not reported without the safeguard %s", r.detects, r.safeguard)
		})
	}
}

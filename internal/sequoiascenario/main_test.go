package sequoiascenario

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the test binary play each program of a deployment as a process of its own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sequoiaspring":     runProgram(runProcess),
		"standin-store":     runProgram(runStore),
		"standin-upstream":  runProgram(runUpstream),
		"standin-load":      runProgram(runLoad),
		"standin-operators": runProgram(runOperators),
	})
}

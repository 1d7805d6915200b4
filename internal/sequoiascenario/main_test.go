package sequoiascenario

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the test binary act as any of the programs of a deployment, so that each runs as a separate process.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sequoiaspring":     runProgram(runProcess),
		"standin-store":     runProgram(runStore),
		"standin-upstream":  runProgram(runUpstream),
		"standin-load":      runProgram(runLoad),
		"standin-operators": runProgram(runOperators),
	})
}

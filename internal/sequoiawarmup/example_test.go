package sequoiawarmup_test

import (
	"fmt"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiawarmup"
)

func ExampleGate() {
	now := time.Unix(1000, 0)
	g := sequoiawarmup.New(now.Add(-time.Minute), sequoiawarmup.WithInterval(time.Second))
	g.SetRule(sequoiawarmup.Rule{Period: 20 * time.Second, Rate: 4.7, Over: 1.5, Slack: 8})
	g.Announced(now, sequoiawarmup.Announcement{New: true, Remaining: 3 * time.Second, Stated: true})
	fmt.Println(g.State(now), g.Limit(now).PerSecond, g.ColdFor(now.Add(time.Second)))
	g.Announced(now.Add(3*time.Second), sequoiawarmup.Announcement{Stated: true})
	fmt.Println(g.State(now.Add(3*time.Second)), g.Limit(now.Add(3*time.Second)).PerSecond)
	// Output:
	// Cold 4.7 2s
	// Warm 0
}

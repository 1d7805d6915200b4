package sequoiabalance_test

import (
	"fmt"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiabalance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

func ExamplePlan() {
	loads := make([]float64, 100)
	for key := 40; key < 60; key++ {
		loads[key] = 0.5 // Half a slot for each of 20 keys is twice what the upstream's five slots can do.
	}
	own := sequoiabalance.Owner{
		Report:    sequoiabalance.Report{Utilization: 2, Slots: 5, Open: true},
		Held:      []sequoiabalance.Held{{Profile: sequoiakeyspace.Profile{From: 1000, Loads: loads}}},
		MaxRanges: 24,
	}
	for _, m := range sequoiabalance.Plan(own, []sequoiabalance.Candidate{
		{Instance: "a", Report: sequoiabalance.Report{Utilization: 0.3, Slots: 5, Open: true}},
		{Instance: "b", Report: sequoiabalance.Report{Utilization: 0.1, Slots: 5, Open: true}},
		{Instance: "c", Report: sequoiabalance.Report{Utilization: 0.1, Slots: 5}},
		{Instance: "d", Report: sequoiabalance.Report{Utilization: 0.2, Slots: 5, Open: true}},
	}) {
		fmt.Printf("%d to %d to %s\n", m.From, m.To, m.Candidate.Instance)
	}
	// Output:
	// 1040 to 1045 to b
	// 1046 to 1050 to d
	// 1051 to 1052 to a
}

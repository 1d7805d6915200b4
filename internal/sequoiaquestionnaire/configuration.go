package sequoiaquestionnaire

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
)

// Constants from which configurations are derived.
const (
	// shardsPerUpstream is the number of shards per upstream. Moving one shard shifts about 2% of an upstream's load.
	shardsPerUpstream = 50
	minShards         = 64
	maxShards         = 65_536
	// hotKeySlotsFraction is the fraction of an upstream's slots at which a key becomes a hot key.
	hotKeySlotsFraction = 0.25
	retryPercent        = 10
)

// Weights of the first, second and remaining priorities.
const (
	firstWeight  = 5
	secondWeight = 2
	otherWeight  = 1
)

// Configuration returns the configuration derived from the answers. A comment at each value names the answer that it is
// derived from. The error is of type Refusals if Check refuses the answers, and wraps sequoiasettings.FieldErrors if an
// answer leads to a value that is not allowed in a configuration.
func (a *Answers) Configuration() ([]byte, error) {
	if err := a.Check(); err != nil {
		return nil, err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "// Configuration derived from the answers for %s.\n{\n\t\"Services\": [\n", strconv.Quote(a.Deployment))
	for i := range a.Services {
		a.writeService(&b, &a.Services[i], fmt.Sprintf("Services[%d]", i))
	}
	fmt.Fprintf(&b, "\t],\n\t\"Weights\": {\n")
	for _, p := range []Priority{PriorityImbalance, PriorityChurn, PriorityUnavailable} {
		weight, answer := a.weight(p)
		writeValue(&b, 2, string(p), weight, answer)
	}
	fmt.Fprintf(&b, "\t},\n}\n")
	if _, err := sequoiasettings.ParseConfiguration("derived configuration", b.Bytes()); err != nil {
		return nil, errors.Wrap(err, "an answer leads to a value that is not allowed")
	}
	return b.Bytes(), nil
}

func (a *Answers) writeService(b *bytes.Buffer, s *Service, path string) {
	answer := func(name string) string { return path + "." + name }
	fmt.Fprintf(b, "\t\t{\n")
	writeValue(b, 3, "Name", strconv.Quote(s.Name), answer("Name"))
	writeValue(b, 3, "Shards", shardCount(s.Upstreams), fmt.Sprintf("%s, %d for each, rounded up to a power of 2", answer("Upstreams"), shardsPerUpstream))
	writeValue(b, 3, "Divided", s.Divided, answer("Divided"))
	fmt.Fprintf(b, "\t\t\t\"Limits\": {\n")
	writeValue(b, 4, "InFlight", s.Slots, answer("Slots"))
	writeValue(b, 4, "Queued", s.Connections, answer("Connections"))
	writeValue(b, 4, "Timeout", strconv.Quote(s.LongestRequest.String()), answer("LongestRequest"))
	writeValue(b, 4, "RetryPercent", retryPercent, "no answer: the default")
	fmt.Fprintf(b, "\t\t\t},\n")
	writeValue(b, 3, "ResendWindow", strconv.Quote(s.ResendWindow.String()), answer("ResendWindow"))
	writeValue(b, 3, "MaximumBodyBytes", s.LargestBodyBytes, answer("LargestBodyBytes"))
	fmt.Fprintf(b, "\t\t\t\"Balancing\": {\n")
	hysteresis, hysteresisAnswer := a.hysteresis()
	moves, movesAnswer := a.movesPerMinute()
	writeValue(b, 4, "Hysteresis", hysteresis, hysteresisAnswer)
	writeValue(b, 4, "MovesPerMinute", moves, movesAnswer)
	writeValue(b, 4, "HotKeyBusySlots", hotKeySlotsFraction*float64(s.Slots), fmt.Sprintf("%s, a quarter of them", answer("Slots")))
	fmt.Fprintf(b, "\t\t\t},\n\t\t},\n")
}

func writeValue(b *bytes.Buffer, indent int, name string, value any, answer string) {
	fmt.Fprintf(b, "%s%q: %v, // %s\n", "\t\t\t\t"[:indent], name, value, answer)
}

func shardCount(upstreams int) int {
	shards := minShards
	for shards < maxShards && shards < upstreams*shardsPerUpstream {
		shards *= 2
	}
	return shards
}

func (a *Answers) weight(p Priority) (int, string) {
	switch p {
	case a.FirstPriority:
		return firstWeight, "FirstPriority"
	case a.SecondPriority:
		return secondWeight, "SecondPriority"
	}
	return otherWeight, "neither FirstPriority nor SecondPriority"
}

// hysteresis returns the default, or twice the default if churn is the first priority, and the answer it depends on.
func (a *Answers) hysteresis() (float64, string) {
	if a.FirstPriority == PriorityChurn {
		return 2 * sequoiaplacement.DefaultHysteresis, "FirstPriority"
	}
	return sequoiaplacement.DefaultHysteresis, "FirstPriority"
}

// Limits on moves per minute by first priority.
const (
	movesPerMinuteForImbalance = 30
	movesPerMinuteForChurn     = 6
)

// movesPerMinute returns the limit on moves per minute and the answer it depends on. It allows many moves only if
// imbalance is the first priority and an operator can intervene at any hour if a move goes wrong.
func (a *Answers) movesPerMinute() (int, string) {
	switch {
	case a.FirstPriority == PriorityChurn:
		return movesPerMinuteForChurn, "FirstPriority"
	case !a.OnCallAtNight:
		return sequoiaplacement.DefaultMovesPerMinute, "OnCallAtNight"
	case a.FirstPriority == PriorityImbalance:
		return movesPerMinuteForImbalance, "FirstPriority and OnCallAtNight"
	}
	return sequoiaplacement.DefaultMovesPerMinute, "FirstPriority"
}

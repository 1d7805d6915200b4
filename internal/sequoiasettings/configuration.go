package sequoiasettings

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Limits holds the limits on the requests that one process accepts for a service.
type Limits struct {
	// InFlight is the maximum number of requests that a process has in progress. Zero stands for the number of the
	// upstream's slots.
	InFlight int
	// Queued is the maximum number of requests that wait for a slot or for a move to finish.
	Queued int
	// Timeout is the time limit of a request whose caller set no deadline.
	Timeout time.Duration
	// RetryPercent is the retry budget: the percentage of requests that may be sent again.
	RetryPercent float64
}

// Balancing holds the parameters of load balancing moves.
type Balancing struct {
	// Hysteresis is the fraction by which an upstream's load must exceed its share before keys are moved. 0.2 means
	// 20%.
	Hysteresis float64
	// MovesPerMinute is the maximum number of the service's shards and hot keys that are moved in a minute.
	MovesPerMinute int
	// HotKeyBusySlots is the mean number of requests in progress at which a key gets its own assignment.
	HotKeyBusySlots float64
}

// Service is the configuration of one service.
type Service struct {
	Name string
	// Shards is the number of hash ranges. It cannot be changed once keys are assigned.
	Shards uint32
	// Divided is true if each upstream serves only the keys it owns.
	Divided bool
	Limits  Limits
	// ResendWindow is how long an owner retains the identifier of a request that must not be executed twice.
	ResendWindow time.Duration
	// MaximumBodyBytes is the maximum size of a request body and of a response body.
	MaximumBodyBytes int64
	Balancing        Balancing
}

// Configuration is the configuration document that operators apply.
type Configuration struct {
	Services []Service
	// Weights holds the weights of the components of a placement's cost.
	Weights sequoiaplacement.Weights
}

// Defaults of a service. A resend window of 60 s covers resends by callers with deadlines of up to a minute. With
// bodies of up to 1 MiB, a few hundred requests in progress and the table fit into 128 MB of memory.
const (
	DefaultResendWindow     = 60 * time.Second
	DefaultMaximumBodyBytes = 1 << 20
)

// MaximumTimeout is the longest request timeout that a process accepts. A planned shutdown waits slightly longer.
const MaximumTimeout = time.Minute

func defaultService() Service {
	return Service{
		Limits:           Limits{Queued: 1000, Timeout: 30 * time.Second, RetryPercent: 10},
		ResendWindow:     DefaultResendWindow,
		MaximumBodyBytes: DefaultMaximumBodyBytes,
		Balancing:        Balancing{Hysteresis: sequoiaplacement.DefaultHysteresis, MovesPerMinute: sequoiaplacement.DefaultMovesPerMinute, HotKeyBusySlots: sequoiaplacement.DefaultHotKeyBusySlots},
	}
}

// ParseConfiguration parses and validates the configuration in data. The file name is only used in errors. If the
// configuration is invalid, the error is of type FieldErrors and lists every error.
func ParseConfiguration(name string, data []byte) (Configuration, error) {
	d := NewDocument(name, data)
	cfg := Configuration{Weights: sequoiaplacement.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}}
	if d.Decode(&cfg) {
		cfg.check(d)
	}
	if err := d.Err(); err != nil {
		return Configuration{}, err
	}
	return cfg, nil
}

// Service returns the service with the given name.
func (cfg *Configuration) Service(name string) (Service, bool) {
	i := slices.IndexFunc(cfg.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return cfg.Services[i], true
}

// TableServices returns the services in the form of a SetConfiguration entry, in the document's order.
func (cfg *Configuration) TableServices() []sequoiatable.ServiceConfig {
	services := make([]sequoiatable.ServiceConfig, len(cfg.Services))
	for i, s := range cfg.Services {
		services[i] = sequoiatable.ServiceConfig{Name: s.Name, Shards: s.Shards, Divided: s.Divided}
	}
	return services
}

func (cfg *Configuration) check(d *Document) {
	d.Require("Services", "an array of services")
	if d.Has("Services") {
		d.Check(len(cfg.Services) > 0, "Services", "an empty array", "one service or more")
	}
	names := map[string]int{}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		s.check(d, fmt.Sprintf("Services[%d].", i))
		if first, ok := names[s.Name]; ok && s.Name != "" {
			d.AddError(fmt.Sprintf("Services[%d].Name", i), ErrConflict,
				fmt.Sprintf("%q is the name of Services[%d] too", s.Name, first), "a name of its own")
			continue
		}
		names[s.Name] = i
	}
	w := cfg.Weights
	checkRange(d, "Weights.Imbalance", w.Imbalance, 0, 1000)
	checkRange(d, "Weights.Churn", w.Churn, 0, 1000)
	checkRange(d, "Weights.Unavailable", w.Unavailable, 0, 1000)
	d.Check(w.Imbalance+w.Churn+w.Unavailable > 0, "Weights", "all zero", "at least one weight above 0")
}

func (s *Service) check(d *Document, path string) {
	checkName(d, path+"Name", s.Name)
	d.Require(path+"Shards", "an integer from 1 to 65536")
	d.Require(path+"Divided", "true or false")
	if d.Has(path + "Shards") {
		checkRange(d, path+"Shards", s.Shards, 1, 65_536)
	}
	checkRange(d, path+"Limits.InFlight", s.Limits.InFlight, 0, 100_000)
	checkRange(d, path+"Limits.Queued", s.Limits.Queued, 0, 100_000)
	checkRange(d, path+"Limits.Timeout", s.Limits.Timeout, time.Millisecond, MaximumTimeout)
	checkRange(d, path+"Limits.RetryPercent", s.Limits.RetryPercent, 0, 100)
	checkRange(d, path+"ResendWindow", s.ResendWindow, time.Second, time.Hour)
	checkRange(d, path+"MaximumBodyBytes", s.MaximumBodyBytes, 1, 64<<20)
	checkRange(d, path+"Balancing.Hysteresis", s.Balancing.Hysteresis, 0.01, 10)
	checkRange(d, path+"Balancing.MovesPerMinute", s.Balancing.MovesPerMinute, 0, 10_000)
	checkRange(d, path+"Balancing.HotKeyBusySlots", s.Balancing.HotKeyBusySlots, 0.01, 10_000)
}

// validName matches names that need no escaping in log keys, header values and URL paths.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func checkName(d *Document, field, name string) {
	const allowed = "1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit"
	d.Require(field, allowed)
	if d.Has(field) {
		d.Check(validName.MatchString(name), field, strconv.Quote(name), allowed)
	}
}

func checkRange[T cmp.Ordered](d *Document, field string, value, low, high T) {
	d.Check(value >= low && value <= high, field, fmt.Sprint(value), fmt.Sprintf("%v to %v", low, high))
}

func isOneOf[T comparable](value T, allowed ...T) bool {
	return slices.Contains(allowed, value)
}

// Tuning returns the service's balancing parameters in the form that placement decisions take.
func (s *Service) Tuning() sequoiaplacement.Tuning {
	moves := s.Balancing.MovesPerMinute
	if moves == 0 {
		// Zero stands for the default in a Tuning but for no moves in a configuration.
		moves = -1
	}
	return sequoiaplacement.Tuning{
		Hysteresis: s.Balancing.Hysteresis, MovesPerMinute: moves, HotKeyBusySlots: s.Balancing.HotKeyBusySlots,
	}
}

// Package sequoiaroute holds the operator's configuration and finds the route of a request in it. It does no I/O.
package sequoiaroute

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Services map[string]Service
	Hosts    map[string][]Route
	Limits   Limits
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the health check of the service's upstreams.
	HealthPath string
	// MaxConnections is the maximum number of connections to one upstream.
	MaxConnections int
	// Keyed is true if upstreams have exclusive ownership of keys.
	Keyed bool
	// KeyWarmup is how long requests for a key are slow after an upstream has received the key without a handover.
	KeyWarmup time.Duration
	// WarmupPeriod is how long an upstream is cold after its start, and WarmupRate is the number of requests per second
	// that it tolerates meanwhile from all instances together; zero if there is no limit.
	WarmupPeriod time.Duration
	WarmupRate   float64
}

// Route is a rule for the requests to a host whose paths share a prefix.
type Route struct {
	Name string
	// Prefix is the path prefix that the route matches. It begins and ends with a slash.
	Prefix string
	// Idempotent is true if a request may be executed more than once.
	Idempotent bool
	// Timeout is the maximum time from a request to its response.
	Timeout time.Duration
	// Objective is the target latency, within which a response has its full value.
	Objective time.Duration
	// Priority ranks the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of upstreams to which a request may be sent.
	MaxAttempts int
	// Split lists the services that share the route's requests. It has at least one element.
	Split []SplitTarget
}

// SplitTarget is a service that receives a share of a route's requests, in proportion to its weight.
type SplitTarget struct {
	Service string
	Weight  int
}

// Limits holds the limits for client connections and requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Sort sorts the routes of each host by descending prefix length. It must be called once before Find.
func (c *Configuration) Sort() {
	for _, routes := range c.Hosts {
		slices.SortFunc(routes, func(a, b Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), strings.Compare(a.Prefix, b.Prefix))
		})
	}
}

// Find returns the route whose prefix is the longest that matches the path. The host may include a port, and the path
// may include a query.
func (c *Configuration) Find(host, path string) (*Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	routes, ok := c.Hosts[strings.ToLower(host)]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = c.Hosts[strings.ToLower(name)]
	}
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Splitter chooses the service for each request of a route by smooth weighted round robin. This spaces the choices of
// each service evenly, so that the shares follow the weights closely over short spans too.
type Splitter struct {
	mu             sync.Mutex
	currentWeights map[string][]int
}

// NewSplitter returns a Splitter with no past choices.
func NewSplitter() *Splitter {
	return &Splitter{currentWeights: map[string][]int{}}
}

// Choose returns the service for the route's next request. It returns an empty string if the route has several targets
// and none has a positive weight.
func (s *Splitter) Choose(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentWeights[r.Name]
	if len(current) != len(r.Split) {
		current = make([]int, len(r.Split))
		s.currentWeights[r.Name] = current
	}
	total, best := 0, -1
	for i, target := range r.Split {
		if target.Weight <= 0 {
			continue
		}
		total += target.Weight
		current[i] += target.Weight
		if best < 0 || current[i] > current[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	current[best] -= total
	return r.Split[best].Service
}

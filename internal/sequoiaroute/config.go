// Package sequoiaroute holds the operator's configuration and finds the route of a request in it. It does no input or
// output.
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

// Service is what the operator says of a service.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// Keyed is true if the upstreams own keys exclusively.
	Keyed bool
	// Warm is how long keys are slow at an upstream that got them without a handover.
	Warm time.Duration
}

// Route is one rule for requests to a host.
type Route struct {
	Name string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true for requests that may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// Objective is the time within which a response has its full value.
	Objective time.Duration
	// Priority ranks the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the upstreams to which one request may be sent.
	MaxAttempts int
	// Split has at least one part.
	Split []Part
}

// Part is the share of a route's requests that goes to a service.
type Part struct {
	Service string
	Weight  int
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Sort orders the routes of each host so that the longest prefix comes first. It is called once, before Find.
func (c *Configuration) Sort() {
	for _, routes := range c.Hosts {
		slices.SortFunc(routes, func(a, b Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), strings.Compare(a.Prefix, b.Prefix))
		})
	}
}

// Find returns the route with the longest prefix of the path. The host may have a port.
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

// Splitter chooses the part of a split for each request. The shares follow the weights closely over short spans too,
// because each part's choices are spread evenly (smooth weighted round robin).
type Splitter struct {
	mu      sync.Mutex
	current map[string][]int
}

// NewSplitter returns a Splitter.
func NewSplitter() *Splitter {
	return &Splitter{current: map[string][]int{}}
}

// Choose returns the service of the route's next request, empty if no part has a weight.
func (s *Splitter) Choose(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current[r.Name]
	if len(current) != len(r.Split) {
		current = make([]int, len(r.Split))
		s.current[r.Name] = current
	}
	total, best := 0, -1
	for i, p := range r.Split {
		if p.Weight <= 0 {
			continue
		}
		total += p.Weight
		current[i] += p.Weight
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

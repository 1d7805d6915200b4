// Package sequoiaevacuation decides what a failure domain that is being evacuated still receives. An operator orders that
// nothing more is sent to the upstreams of a failure domain until the order is withdrawn; each process follows the orders
// that it knows. The package does no I/O; see docs/design/evacuation.md.
package sequoiaevacuation

import (
	"maps"
	"slices"
	"time"
)

const (
	// DefaultTime is the time of an evacuation if the deployment names none.
	DefaultTime = 5 * time.Second
	// keyedShare is the part of the time of an evacuation for which keys are still served where they are. The rest is for a
	// process that learns of the order late.
	keyedShare = 0.6
)

// Order is an order to evacuate a failure domain, or its withdrawal.
type Order struct {
	Domain string
	// Revision is the store's revision at which the order was given or withdrawn.
	Revision  uint64
	Withdrawn bool
	// Age is how long ago the order may have been given, as far as the process that reports it knows.
	Age time.Duration
}

// known is the latest order for a failure domain, and a time at which it had not been given yet or had just been given.
type known struct {
	order   Order
	givenAt time.Time
}

// Orders holds the orders that a process knows. It is not safe for concurrent use.
type Orders struct {
	keyedTime time.Duration
	known     map[string]known
}

// New returns Orders without any order. limit is how long after an order its failure domain may still be sent requests; zero
// stands for DefaultTime.
func New(limit time.Duration) *Orders {
	if limit <= 0 {
		limit = DefaultTime
	}
	return &Orders{keyedTime: time.Duration(keyedShare * float64(limit)), known: map[string]known{}}
}

// Apply records an order from the store or from another process. It reports whether the order changes what holds: one that
// is older than the latest one for its domain, or repeats it, does not.
func (o *Orders) Apply(now time.Time, order Order) bool {
	old, ok := o.known[order.Domain]
	if order.Domain == "" || ok && order.Revision <= old.order.Revision {
		return false
	}
	changed := order.Withdrawn == (ok && !old.order.Withdrawn)
	givenAt := now.Add(-order.Age)
	if !changed {
		givenAt = old.givenAt
	}
	o.known[order.Domain] = known{order, givenAt}
	return changed
}

// Evacuated reports whether a failure domain is being evacuated: it is sent no requests without keys and given no keys.
func (o *Orders) Evacuated(domain string) bool {
	k, ok := o.known[domain]
	return ok && !k.order.Withdrawn
}

// Closed reports whether a failure domain is sent no requests with keys any more either.
func (o *Orders) Closed(now time.Time, domain string) bool {
	at, evacuated := o.ClosesAt(domain)
	return evacuated && !now.Before(at)
}

// ClosesAt returns when a failure domain that is being evacuated may be sent the last request with a key. It returns false
// for one that is not being evacuated.
func (o *Orders) ClosesAt(domain string) (time.Time, bool) {
	if !o.Evacuated(domain) {
		return time.Time{}, false
	}
	return o.known[domain].givenAt.Add(o.keyedTime), true
}

// Domains returns the failure domains that are being evacuated, sorted.
func (o *Orders) Domains() []string {
	var domains []string
	for _, d := range slices.Sorted(maps.Keys(o.known)) {
		if o.Evacuated(d) {
			domains = append(domains, d)
		}
	}
	return domains
}

// Known returns the latest order for each failure domain, sorted by domain. Other processes that apply them know as much.
func (o *Orders) Known(now time.Time) []Order {
	var orders []Order
	for _, d := range slices.Sorted(maps.Keys(o.known)) {
		k := o.known[d]
		k.order.Age = max(0, now.Sub(k.givenAt))
		orders = append(orders, k.order)
	}
	return orders
}

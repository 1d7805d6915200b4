package sequoianode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// linkBody is the size in bytes of a request's body above which the delay of an instance's link counts when an upstream is
// chosen. Smaller ones do not wait for the link.
const linkBody = 8 << 10

const (
	// descriptorsPerUnauthenticated is the number of descriptors that the settings must allow for each connection of another
	// process that is not authenticated yet.
	descriptorsPerUnauthenticated = 8
	// maxUnauthenticated limits these connections if the settings allow many descriptors.
	maxUnauthenticated = 256
)

// linkReportInterval is the interval of the log lines on refused bodies.
const linkReportInterval = time.Second

// withLink returns the options that connect the forwarder to this instance's link, queue and memory.
func (n *Node) withLink() []sequoiapeer.ForwarderOption {
	options := []sequoiapeer.ForwarderOption{
		sequoiapeer.WithLinkRate(n.settings.LinkRate),
		sequoiapeer.WithBodies(n.reserveBody, n.bodyOffered, n.refuseBody),
	}
	if limit := n.settings.MaxDescriptors / descriptorsPerUnauthenticated; limit > 0 && limit < maxUnauthenticated {
		options = append(options, sequoiapeer.WithMaxUnauthenticated(limit))
	}
	return options
}

// bodyOffered returns how long a request whose body another process offers is expected to wait for the local upstream and
// to run there. If it could not run there at all, it returns the response to it.
func (n *Node) bodyOffered(req *sequoiarouter.Request) (after time.Duration, refusal *sequoiarouter.Response) {
	if req.Service == peerService {
		return 0, nil
	}
	after, reason := n.expectedRun(req)
	if reason != "" {
		return 0, n.refuseBody(req, reason, upstreamRetryAfter)
	}
	return after, nil
}

// expectedRun returns how long a request that arrives now is expected to wait for the local upstream and to run there, or
// the reason why it would not run.
func (n *Node) expectedRun(req *sequoiarouter.Request) (after time.Duration, reason string) {
	if n.exceedsStopDeadline(req.Deadline) {
		return 0, reasonStopping
	}
	key, err := parseKey(req.Key)
	if req.Key != "" && err != nil {
		return 0, reasonBadRequest
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.Key != "" && !n.core.AssignedHere(req.Service, key) {
		return 0, reasonNotOwner
	}
	if !n.acceptsLocked(req.Service) {
		return 0, reasonLeaving
	}
	now := time.Now()
	return n.queue.ExpectedEnd(now, &sequoiaadmission.Ticket{
		Class: req.Route, Priority: req.Priority, Arrived: now, Objective: objective(now, req), Deadline: req.Deadline,
	}), ""
}

// refuseBody returns the response to a request whose body is refused. It has not run.
func (n *Node) refuseBody(req *sequoiarouter.Request, reason string, retryAfter time.Duration) *sequoiarouter.Response {
	resp := n.notRunResponseWithLoad(reason, retryAfter)
	resp.Load = resp.Load.ForVersion(req.Version)
	return resp
}

// linkDelay returns how long one more body of 64 KB would take to arrive at this instance.
func (n *Node) linkDelay() time.Duration {
	if f := n.bodies.Load(); f != nil {
		return f.LinkDelay()
	}
	return 0
}

// logRefusedBodies writes a log line if bodies were refused since the last call.
func (n *Node) logRefusedBodies(last *sequoiapeer.BodyStats) {
	stats := n.forwarder.BodyStats()
	fields := []any{}
	for reason, count := range stats.Refused {
		if more := count - last.Refused[reason]; more > 0 {
			fields = append(fields, string(reason), more)
		}
	}
	if more := stats.NoMemory - last.NoMemory; more > 0 {
		fields = append(fields, sequoiapeer.ReasonNoMemory, more)
	}
	*last = stats
	if len(fields) > 0 {
		fields = append(fields, "Offered", stats.Transfers, "Outstanding", stats.Outstanding, "DelayMilliseconds", n.linkDelay().Milliseconds())
		n.log.Event("bodies refused", fields...)
	}
}

// linkCollector provides the metrics of the link.
type linkCollector struct {
	node                                               *Node
	granted, arrived, refused, delay, waiting, expired *prometheus.Desc
}

func newLinkCollector(n *Node) *linkCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &linkCollector{
		node:    n,
		granted: desc("sequoia_link_granted_bytes_total", "Bytes of bodies that other processes were allowed to send."),
		arrived: desc("sequoia_link_arrived_bytes_total", "Bytes of granted bodies that have arrived."),
		refused: desc("sequoia_link_refused_total", "Offered bodies that were refused, by reason.", "reason"),
		delay:   desc("sequoia_link_delay_seconds", "Time in which one more body of 64 KB would arrive; 0 if the link's capacity is not known."),
		waiting: desc("sequoia_link_offered", "Offered bodies that have not arrived completely."),
		expired: desc("sequoia_link_expired_total", "Requests that arrived after their deadlines because of queues on their way."),
	}
}

// Describe implements prometheus.Collector.
func (c *linkCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.granted, c.arrived, c.refused, c.delay, c.waiting, c.expired} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *linkCollector) Collect(ch chan<- prometheus.Metric) {
	f := c.node.bodies.Load()
	if f == nil {
		return
	}
	stats := f.BodyStats()
	counter := func(d *prometheus.Desc, n uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	counter(c.granted, stats.Granted)
	counter(c.arrived, stats.Arrived)
	counter(c.refused, stats.NoMemory, sequoiapeer.ReasonNoMemory)
	for reason, n := range stats.Refused {
		counter(c.refused, n, string(reason))
	}
	counter(c.expired, f.Stats().Expired)
	ch <- prometheus.MustNewConstMetric(c.delay, prometheus.GaugeValue, f.LinkDelay().Seconds())
	ch <- prometheus.MustNewConstMetric(c.waiting, prometheus.GaugeValue, float64(stats.Transfers))
}

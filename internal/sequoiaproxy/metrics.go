package sequoiaproxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// metrics holds the metrics of the data path.
type metrics struct {
	router      *sequoiarouter.Router
	requests    *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	retries     *prometheus.CounterVec
	badRequests prometheus.Counter
	inFlight    prometheus.Gauge
	reported    *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer, router *sequoiarouter.Router) *metrics {
	m := &metrics{
		router: router,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoiaspring_requests_total", Help: "Requests of callers that have ended, by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sequoiaspring_request_seconds", Help: "Time from the receipt of a caller's request to its end, by service and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 15),
		}, []string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoiaspring_retries_total", Help: "Further attempts, by service and reason of the failed attempt.",
		}, []string{"service", "reason"}),
		badRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoiaspring_bad_requests_total", Help: "Requests of callers refused as malformed.",
		}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sequoiaspring_requests_in_flight", Help: "Requests of callers in progress.",
		}),
	}
	m.reported = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "sequoiaspring_upstream_reported",
		Help: "What the upstream last announced, by field; Load and Healthy may be wrong and decide nothing.",
	}, []string{"field"})
	if reg == nil {
		return m
	}
	reg.MustRegister(m.requests, m.latency, m.retries, m.badRequests, m.inFlight, m.reported)
	for _, g := range []struct {
		name, help string
		value      func(sequoiarouter.Stats) int
	}{
		{"sequoiaspring_upstream_requests_in_flight", "Requests in progress at the upstream beside this process.", func(s sequoiarouter.Stats) int { return s.InFlight }},
		{"sequoiaspring_requests_waiting", "Requests that wait in this process for a slot or for the end of a move.", func(s sequoiarouter.Stats) int { return s.Waiting }},
		{"sequoiaspring_closed_assignments", "Shards and hot keys that this process has closed for a move.", func(s sequoiarouter.Stats) int { return s.ClosedAssignments }},
		{"sequoiaspring_retained_identifiers", "Request identifiers retained by this process.", func(s sequoiarouter.Stats) int { return s.Identifiers }},
		{"sequoiaspring_retained_response_bytes", "Bytes of responses retained by this process.", func(s sequoiarouter.Stats) int { return s.RetainedBytes }},
	} {
		reg.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: g.name, Help: g.help},
			func() float64 { return float64(g.value(router.Stats())) },
		))
	}
	return m
}

// serviceLabel returns the label value of a service. Names that are not in the table come from callers and share one
// label value, so that callers cannot add series without bound.
func (m *metrics) serviceLabel(name string) string {
	if s := m.router.Snapshot(); s == nil || s.Table.Service(name) == nil {
		return "unknown"
	}
	return name
}

// recordAnnouncement exports the upstream's last announcement.
func (m *metrics) recordAnnouncement(a Announcement) {
	for _, f := range []struct {
		name string
		on   bool
	}{{"Healthy", a.Healthy}, {"ChecksGrants", a.ChecksGrants}, {"Draining", a.Draining}} {
		value := 0.0
		if f.on {
			value = 1
		}
		m.reported.WithLabelValues(f.name).Set(value)
	}
	m.reported.WithLabelValues("Load").Set(a.Load)
	m.reported.WithLabelValues("Slots").Set(float64(a.Slots))
}

func (m *metrics) requestStarted() (done func()) {
	m.inFlight.Inc()
	return m.inFlight.Dec
}

func (m *metrics) requestEnded(req *sequoiarouter.Request, resp *sequoiarouter.Response, d time.Duration) {
	service := m.serviceLabel(req.Service)
	m.requests.WithLabelValues(service, resp.Outcome.String(), resp.Reason).Inc()
	m.latency.WithLabelValues(service, resp.Outcome.String()).Observe(d.Seconds())
}

package sequoiaproxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// metrics are the counters of the data path.
type metrics struct {
	router      *sequoiarouter.Router
	requests    *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	retries     *prometheus.CounterVec
	badRequests prometheus.Counter
	inFlight    prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer, router *sequoiarouter.Router) *metrics {
	m := &metrics{
		router: router,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoia_requests_total", Help: "Requests of callers by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sequoia_request_seconds", Help: "Time from the receipt of a request to its end.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 15),
		}, []string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoia_retries_total", Help: "Further attempts by service and the reason of the failed attempt.",
		}, []string{"service", "reason"}),
		badRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoia_bad_requests_total", Help: "Requests of callers that could not be read.",
		}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sequoia_requests_in_flight", Help: "Requests of callers in progress.",
		}),
	}
	if reg == nil {
		return m
	}
	reg.MustRegister(m.requests, m.latency, m.retries, m.badRequests, m.inFlight)
	for _, g := range []struct {
		name, help string
		value      func(sequoiarouter.Stats) int
	}{
		{"sequoia_upstream_in_flight", "Requests at the local upstream.", func(s sequoiarouter.Stats) int { return s.InFlight }},
		{"sequoia_waiting_requests", "Requests waiting at the owner.", func(s sequoiarouter.Stats) int { return s.Waiting }},
		{"sequoia_closed_keys", "Shards and hot keys closed by moves.", func(s sequoiarouter.Stats) int { return s.ClosedKeys }},
		{"sequoia_identifiers", "Retained request identifiers.", func(s sequoiarouter.Stats) int { return s.Identifiers }},
		{"sequoia_retained_bytes", "Bytes of retained responses.", func(s sequoiarouter.Stats) int { return s.RetainedBytes }},
	} {
		reg.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: g.name, Help: g.help},
			func() float64 { return float64(g.value(router.Stats())) },
		))
	}
	return m
}

// service returns the label of a service. Names that the table does not have are callers' input and get one label, so
// that they cannot add series without bound.
func (m *metrics) service(name string) string {
	if s := m.router.Snapshot(); s == nil || s.Table.Service(name) == nil {
		return "unknown"
	}
	return name
}

func (m *metrics) begin() (done func()) {
	m.inFlight.Inc()
	return m.inFlight.Dec
}

func (m *metrics) end(req *sequoiarouter.Request, resp *sequoiarouter.Response, d time.Duration) {
	service := m.service(req.Service)
	m.requests.WithLabelValues(service, resp.Outcome.String(), resp.Reason).Inc()
	m.latency.WithLabelValues(service, resp.Outcome.String()).Observe(d.Seconds())
}

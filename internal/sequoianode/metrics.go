package sequoianode

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiawarmup"
)

// metrics holds the Prometheus metrics of a process.
type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	cancelled      prometheus.Counter
	retries        prometheus.Counter
	retriesDenied  prometheus.Counter
	grants         prometheus.Counter
	tableWrites    prometheus.Counter
	storeFaults    prometheus.Counter
	relayed        prometheus.Counter
	watches        *prometheus.CounterVec
	questions      prometheus.Counter
	hubMisses      prometheus.Counter
	messagesLost   prometheus.Counter
	tablesWithheld prometheus.Counter
	upstreamEnds   prometheus.Counter
	runsEnded      prometheus.Counter
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoia_requests_total", Help: "Clients' requests by outcome, reason and status.",
		}, []string{"outcome", "reason", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sequoia_request_seconds", Help: "Time from a client's request to its response.",
			Buckets: []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, .8, 1, 1.5, 3},
		}, []string{"outcome"}),
		watches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoia_store_watches_total", Help: "Watches of the store by who answered them: Follower or Store.",
		}, []string{"by"}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.watches, newLinkCollector(n))
	m.cancelled = m.counter("sequoia_requests_cancelled_total", "Requests whose client closed its connection.")
	m.retries = m.counter("sequoia_retries_total", "Requests sent to an upstream once more.")
	m.retriesDenied = m.counter("sequoia_retries_denied_total", "Retries that the budget did not allow.")
	m.grants = m.counter("sequoia_grants_total", "Grants and renewals sent to the local upstream.")
	m.tableWrites = m.counter("sequoia_table_writes_total", "Attempts to change the table of keys.")
	m.storeFaults = m.counter("sequoia_store_lost_total", "Times at which the store was lost.")
	m.relayed = m.counter("sequoia_store_relayed_total", "Calls to the store that another process made.")
	m.questions = m.counter("sequoia_store_watch_questions_total", "Watches that this process answered for other processes.")
	m.hubMisses = m.counter("sequoia_store_watch_misses_total", "Watches of other processes for which this process did not have all events, or more than it may send.")
	m.messagesLost = m.counter("sequoia_table_messages_lost_total", "Changes of the table that another process did not take.")
	m.tablesWithheld = m.counter("sequoia_tables_withheld_total", "Whole tables that were not sent to another process, to spare the link.")
	m.upstreamEnds = m.counter("sequoia_upstream_ends_total", "Times at which the local upstream ended with requests in progress.")
	m.runsEnded = m.counter("sequoia_upstream_end_requests_total", "Requests that were in progress when the local upstream ended.")
	m.gauge("sequoia_running", "Requests at the local upstream.", func() float64 { return float64(n.load().Running) })
	m.gauge("sequoia_waiting", "Requests that wait for the local upstream.", func() float64 { return float64(n.load().Waiting) })
	m.gauge("sequoia_upstream_limit", "Requests per second that the local upstream accepts; 0 if it names no limit.", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.limit.perSecond
	})
	m.gauge("sequoia_upstream_cold", "1 while the local upstream is cold or may be, and gets requests at the warm-up rate.", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.warmup.state != sequoiawarmup.Warm {
			return 1
		}
		return 0
	})
	m.gauge("sequoia_evacuated_domains", "Failure domains that are being evacuated.", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(len(n.orders.Domains()))
	})
	m.gauge("sequoia_table_revision", "Revision of the table of keys.", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		_, revision := n.core.Table()
		return float64(revision)
	})
	m.gauge("sequoia_store_era", "Era of the store, which rises with each restore from a copy.", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(n.core.Era())
	})
	m.gauge("sequoia_configuration_version", "Version of the configuration in force.", func() float64 {
		if cfg := n.config.Load(); cfg != nil {
			return float64(cfg.Version)
		}
		return 0
	})
	m.gauge("sequoia_quarantined_requests", "Requests that are kept away from upstreams because they crash them.", func() float64 {
		n.quarantine.mu.Lock()
		defer n.quarantine.mu.Unlock()
		return float64(n.quarantine.list.Quarantined())
	})
	m.memory(n)
	m.gauge("sequoia_log_lines_lost", "Lines that found the log's buffer full.", func() float64 { return float64(n.log.Lost()) })
	return m
}

// memory registers the metrics of what is held and refused for clients.
func (m *metrics) memory(n *Node) {
	for _, k := range sequoiamemory.Kinds() {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sequoia_memory_held_bytes", Help: "Memory held for clients and other processes by kind.",
			ConstLabels: prometheus.Labels{"kind": k.String()},
		}, func() float64 { return float64(n.account.Held(k)) }))
	}
	for reason := range n.front.Stats().Refusals {
		m.labeledCounter("sequoia_requests_refused_total", "Requests that were refused before they were run, by reason.", reason,
			func() uint64 { return n.front.Stats().Refusals[reason] })
	}
	for reason := range n.front.Stats().Closed {
		m.labeledCounter("sequoia_connections_closed_total", "Connections that were closed, by reason.", reason,
			func() uint64 { return n.front.Stats().Closed[reason] })
	}
}

func (m *metrics) labeledCounter(name, help, reason string, f func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: name, Help: help, ConstLabels: prometheus.Labels{"reason": reason},
	}, func() float64 { return float64(f()) }))
}

func (m *metrics) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	m.registry.MustRegister(c)
	return c
}

func (m *metrics) gauge(name, help string, f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
}

func (m *metrics) request(resp *sequoiarouter.Response, status int, took time.Duration) {
	outcome := resp.Outcome.String()
	m.requests.WithLabelValues(outcome, resp.Reason, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(outcome).Observe(took.Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

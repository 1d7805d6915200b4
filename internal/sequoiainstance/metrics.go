package sequoiainstance

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// counters are the metrics of the process, apart from those of the data path.
type counters struct {
	decisions       *prometheus.CounterVec
	droppedMessages prometheus.Counter
	rejectedPeers   prometheus.Counter
	refusedCalls    prometheus.Counter
	faults          *prometheus.CounterVec
	storeCalls      *prometheus.CounterVec
	storeDuration   *prometheus.HistogramVec
}

func newCounters(r prometheus.Registerer) *counters {
	c := &counters{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoiaspring_placement_decisions_total", Help: "Placement decisions that this process made, by decision.",
		}, []string{"decision"}),
		droppedMessages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoiaspring_control_messages_dropped_total", Help: "Control messages dropped because too many waited.",
		}),
		rejectedPeers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoiaspring_peers_rejected_total", Help: "Peers rejected for failed authentication or malformed messages.",
		}),
		refusedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoiaspring_administration_refused_total", Help: "Administration calls refused for a missing or wrong credential.",
		}),
		faults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoiaspring_faults_total", Help: "Faults logged by this process, by fault.",
		}, []string{"fault"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoiaspring_store_calls_total", Help: "Operations on the store that have ended, by operation and result.",
		}, []string{"operation", "result"}),
		storeDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sequoiaspring_store_call_seconds", Help: "Duration of operations on the store, by operation.",
			// The buckets reach from 0.5 ms to 16 s because a Wait lasts up to 10 s.
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"operation"}),
	}
	r.MustRegister(c.decisions, c.droppedMessages, c.rejectedPeers, c.refusedCalls, c.faults, c.storeCalls, c.storeDuration)
	return c
}

// Values of the result label of store operations.
const (
	storeOK      = "OK"
	storeError   = "Error"
	storeLost    = "Lost"
	storeUnknown = "Unknown"
)

// observeStoreCall counts a store operation and records its duration.
func (c *counters) observeStoreCall(operation, result string, began time.Time) {
	c.storeCalls.WithLabelValues(operation, result).Inc()
	c.storeDuration.WithLabelValues(operation).Observe(time.Since(began).Seconds())
}

// instrumentStore wraps the functions of a store to record their results and durations.
func (c *counters) instrumentStore(s Store) Store {
	inner := s
	s.Append = func(ctx context.Context, e sequoiatable.Entry) sequoiacontrol.Appended {
		began := time.Now()
		a := inner.Append(ctx, e)
		c.observeStoreCall("Append", appendResult(a.Result), began)
		return a
	}
	s.Read = func(ctx context.Context, after uint64) sequoiacontrol.LogRead {
		began := time.Now()
		page := inner.Read(ctx, after)
		c.observeStoreCall("Read", errorResult(page.Err), began)
		return page
	}
	s.Wait = func(ctx context.Context, after uint64, wait time.Duration) sequoiacontrol.LogRead {
		began := time.Now()
		page := inner.Wait(ctx, after, wait)
		c.observeStoreCall("Wait", errorResult(page.Err), began)
		return page
	}
	s.WriteCheckpoint = func(ctx context.Context, t *sequoiatable.Table) error {
		began := time.Now()
		err := inner.WriteCheckpoint(ctx, t)
		c.observeStoreCall("WriteCheckpoint", errorResult(err), began)
		return err
	}
	s.RenewLease = func(ctx context.Context, id sequoiatable.IncarnationID) error {
		began := time.Now()
		err := inner.RenewLease(ctx, id)
		c.observeStoreCall("RenewLease", errorResult(err), began)
		return err
	}
	s.LeaseHeld = func(ctx context.Context, id sequoiatable.IncarnationID) (bool, error) {
		began := time.Now()
		held, err := inner.LeaseHeld(ctx, id)
		c.observeStoreCall("LeaseHeld", errorResult(err), began)
		return held, err
	}
	return s
}

func appendResult(r sequoiacontrol.AppendResult) string {
	switch r {
	case sequoiacontrol.AppendWon:
		return storeOK
	case sequoiacontrol.AppendLost:
		return storeLost
	}
	return storeUnknown
}

func errorResult(err error) string {
	if err != nil {
		return storeError
	}
	return storeOK
}

// registerStateMetrics registers the metrics whose values are read from the current snapshot and from the logger.
func (in *Instance) registerStateMetrics() {
	gauge := func(name, help string, value func() float64) {
		in.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	counter := func(name, help string, value func() uint64) {
		in.metrics.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) },
		))
	}
	gauge("sequoiaspring_log_index", "Index of the last log entry that this process has applied.", func() float64 {
		return float64(in.snapshot.Load().Table.Index)
	})
	gauge("sequoiaspring_configuration_revision", "Configuration revision in force, 0 for none.", func() float64 {
		return float64(in.snapshot.Load().Table.Configuration.Revision)
	})
	gauge("sequoiaspring_members", "Live members in the table.", func() float64 {
		return float64(liveMembers(in.snapshot.Load().Table))
	})
	gauge("sequoiaspring_lease_seconds", "Time left on the lease of this process, 0 without one.", func() float64 {
		return max(0, in.remainingLease().Seconds())
	})
	gauge("sequoiaspring_owned_assignments", "Shards and hot keys assigned to this process.", func() float64 {
		s := in.snapshot.Load()
		if m := s.Table.Member(s.Self); m != nil {
			return float64(m.Owned)
		}
		return 0
	})
	in.metrics.MustRegister(&unownedCollector{in: in, desc: prometheus.NewDesc(
		"sequoiaspring_unowned_shards", "Shards whose owner is not a live member, by service.", []string{"service"}, nil,
	)})
	counter("sequoiaspring_placement_lines_lost_total", "Placement lines lost because the log's output was blocked.", in.log.Lost)
	counter("sequoiaspring_log_write_failures_total", "Lines that the log's output refused with an error.", in.log.WriteFailures)
}

func liveMembers(t *sequoiatable.Table) int {
	live := 0
	for _, id := range t.Members() {
		if !t.Member(id).Revoked() {
			live++
		}
	}
	return live
}

// unownedCollector collects the number of unowned shards. Its label values are the services of the configuration.
type unownedCollector struct {
	in   *Instance
	desc *prometheus.Desc
}

// Describe sends the collector's only description.
func (c *unownedCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.desc
}

// Collect sends a gauge for each service.
func (c *unownedCollector) Collect(ch chan<- prometheus.Metric) {
	t := c.in.snapshot.Load().Table
	for _, name := range t.ServiceNames() {
		n := countUnowned(t, t.Service(name))
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(n), name)
	}
}

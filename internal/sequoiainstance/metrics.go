package sequoiainstance

import "github.com/prometheus/client_golang/prometheus"

// counters are the process's own metrics beside those of the data path.
type counters struct {
	decisions       *prometheus.CounterVec
	droppedMessages prometheus.Counter
	rejectedPeers   prometheus.Counter
	refusedCalls    prometheus.Counter
}

func newCounters(r prometheus.Registerer) *counters {
	c := &counters{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoiaspring_placement_decisions_total", Help: "Placement decisions that this process made.",
		}, []string{"decision"}),
		droppedMessages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoiaspring_control_messages_dropped_total", Help: "Control messages dropped because too many waited.",
		}),
		rejectedPeers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoiaspring_peers_rejected_total", Help: "Peers rejected for failed authentication or malformed messages.",
		}),
		refusedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoiaspring_administration_refused_total", Help: "Administration calls with a wrong credential.",
		}),
	}
	r.MustRegister(c.decisions, c.droppedMessages, c.rejectedPeers, c.refusedCalls)
	return c
}

// registerState adds gauges that read the snapshot in force.
func (in *Instance) registerState() {
	gauge := func(name, help string, value func() float64) {
		in.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("sequoiaspring_log_index", "Index of the last applied log entry.", func() float64 {
		return float64(in.snapshot.Load().Table.Index)
	})
	gauge("sequoiaspring_configuration_revision", "Configuration revision in force.", func() float64 {
		return float64(in.snapshot.Load().Table.Configuration.Revision)
	})
	gauge("sequoiaspring_members", "Members in the table.", func() float64 {
		return float64(len(in.snapshot.Load().Table.Members()))
	})
	gauge("sequoiaspring_lease_seconds", "Time left on the process's lease.", func() float64 {
		return max(0, in.leaseLeft().Seconds())
	})
}

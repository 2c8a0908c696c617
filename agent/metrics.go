package agent

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus metrics of an Agent.
type Metrics struct {
	forwarded *prometheus.CounterVec
	rejected  *prometheus.CounterVec
	preempted prometheus.Counter
	coldSigns prometheus.Counter
	queueWait prometheus.Histogram
}

// NewMetrics returns Metrics that are registered with reg. It panics if they are
// registered already.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_agent_forwarded_total",
			Help: "Requests sent to upstreams, by class.",
		}, []string{"class"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_agent_refused_total",
			Help: "Requests rejected before anything was sent to the upstream, by result code.",
		}, []string{"code"}),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_agent_preempted_total",
			Help: "Batch requests cancelled to free their slots for online requests or to reduce the load of a cold upstream.",
		}),
		coldSigns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_agent_cold_signs_total",
			Help: "Failed requests and slow first tokens after which an upstream was treated as cold.",
		}),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "baobab_agent_queue_wait_seconds",
			Help:    "Time that online requests waited for a slot, without requests that got one at once.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
	}
	reg.MustRegister(m.forwarded, m.rejected, m.preempted, m.coldSigns, m.queueWait)
	return m
}

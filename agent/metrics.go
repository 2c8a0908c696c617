package agent

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the requests of an Agent.
type Metrics struct {
	forwarded *prometheus.CounterVec
	refused   *prometheus.CounterVec
	preempted prometheus.Counter
	coldSigns prometheus.Counter
	queueWait prometheus.Histogram
}

// NewMetrics returns metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_agent_forwarded_total",
			Help: "Requests sent to upstreams, by class.",
		}, []string{"class"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_agent_refused_total",
			Help: "Requests refused before anything was sent, by result code.",
		}, []string{"code"}),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_agent_preempted_total",
			Help: "Batch requests that were cancelled in favour of online requests.",
		}),
		coldSigns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_agent_cold_signs_total",
			Help: "Failures or slow first tokens after which an upstream was treated as cold.",
		}),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "baobab_agent_queue_wait_seconds",
			Help:    "Time that online requests waited for a slot, of those that waited.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
	}
	reg.MustRegister(m.forwarded, m.refused, m.preempted, m.coldSigns, m.queueWait)
	return m
}

package dispatch

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of an agent's batch work.
type Metrics struct {
	items    *prometheus.CounterVec
	attempts *prometheus.CounterVec
	chunks   *prometheus.CounterVec
	held     prometheus.Gauge
	running  prometheus.Gauge
}

// NewMetrics returns metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_batch_items_total",
			Help: "Batch items that this agent finished, by outcome.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_batch_attempts_total",
			Help: "Attempts of batch items that ended without a result, by result code.",
		}, []string{"code"}),
		chunks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_batch_chunks_total",
			Help: "Claims of chunks that ended on this agent, by outcome.",
		}, []string{"outcome"}),
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "baobab_batch_held_chunks",
			Help: "Chunks that this agent holds a claim on.",
		}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "baobab_batch_running_items",
			Help: "Batch items that run at this agent's upstreams.",
		}),
	}
	reg.MustRegister(m.items, m.attempts, m.chunks, m.held, m.running)
	return m
}

package agent

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the requests of an Agent.
type Metrics struct {
	forwarded *prometheus.CounterVec
	refused   *prometheus.CounterVec
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
	}
	reg.MustRegister(m.forwarded, m.refused)
	return m
}

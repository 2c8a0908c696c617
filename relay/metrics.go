package relay

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what the server does.
type Metrics struct {
	retries prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{retries: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "baobab_relay_retries_total",
		Help: "Attempts after the first one of a request.",
	})}
	reg.MustRegister(m.retries)
	return m
}

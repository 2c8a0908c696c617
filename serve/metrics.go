package serve

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/result"
)

// Metrics counts the requests of a Server.
type Metrics struct {
	requests    *prometheus.CounterVec
	firstByte   *prometheus.HistogramVec
	retries     prometheus.Counter
	budgetEmpty prometheus.Counter
	asks        prometheus.Counter
}

// NewMetrics returns metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_requests_total",
			Help: "Requests by route and result code; code 0 is success.",
		}, []string{"route", "code"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "baobab_first_byte_seconds",
			Help:    "Time from acceptance to the first byte of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"route"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_retries_total",
			Help: "Attempts after the first.",
		}),
		budgetEmpty: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_retry_budget_empty_total",
			Help: "Retries that the budget did not allow.",
		}),
	}
	m.asks = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "baobab_asks_total",
		Help: "Attempts that an agent refused because it had no free slot.",
	})
	reg.MustRegister(m.asks)
	reg.MustRegister(m.requests, m.firstByte, m.retries, m.budgetEmpty)
	return m
}

// refusedRoute labels requests that were refused before they were routed.
const refusedRoute = "none"

func (m *Metrics) refused(err error) {
	m.requests.WithLabelValues(refusedRoute, codeLabel(err)).Inc()
}

func (m *Metrics) done(c *call, err error) {
	route := routeName(c.Request)
	m.requests.WithLabelValues(route, codeLabel(err)).Inc()
	if !c.firstByte.IsZero() {
		m.firstByte.WithLabelValues(route).Observe(c.firstByte.Sub(c.Received).Seconds())
	}
	c.tracker.done(c.Received, c.firstByte, err)
}

func codeLabel(err error) string {
	if err == nil {
		return "0"
	}
	return strconv.Itoa(int(result.CodeOf(err)))
}

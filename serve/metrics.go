package serve

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/result"
)

// Metrics holds the Prometheus metrics of a Server.
type Metrics struct {
	requests    *prometheus.CounterVec   // by route and code
	firstByte   *prometheus.HistogramVec // seconds, by route
	retries     prometheus.Counter
	budgetEmpty prometheus.Counter
	agentBusy   prometheus.Counter
}

// NewMetrics returns metrics that are registered with reg. It panics if reg has
// metrics of the same names.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_requests_total",
			Help: "Requests by route and result code; code 0 is success.",
		}, []string{"route", "code"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "baobab_first_byte_seconds",
			Help:    "Time from the arrival of a request to the first byte of its response.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"route"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_retries_total",
			Help: "Retries after a failed attempt.",
		}),
		budgetEmpty: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_retry_budget_empty_total",
			Help: "Retries that the retry budget did not allow.",
		}),
	}
	m.agentBusy = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "baobab_asks_total",
		Help: "Attempts that an agent rejected because it had no free slot.",
	})
	reg.MustRegister(m.agentBusy)
	reg.MustRegister(m.requests, m.firstByte, m.retries, m.budgetEmpty)
	return m
}

// rejectedRoute is the value of the label route for requests that were not admitted.
const rejectedRoute = "none"

// countRejected counts a request that was not admitted.
func (m *Metrics) countRejected(err error) {
	m.requests.WithLabelValues(rejectedRoute, codeLabel(err)).Inc()
}

// countFinished counts an admitted request when it ends.
func (m *Metrics) countFinished(r *activeRequest, err error) {
	route := routeName(r.Request)
	m.requests.WithLabelValues(route, codeLabel(err)).Inc()
	if !r.firstByte.IsZero() {
		m.firstByte.WithLabelValues(route).Observe(r.firstByte.Sub(r.Received).Seconds())
	}
	r.tracker.countFinished(r.Received, r.firstByte, err)
}

func codeLabel(err error) string {
	if err == nil {
		return "0"
	}
	return strconv.Itoa(int(result.CodeOf(err)))
}

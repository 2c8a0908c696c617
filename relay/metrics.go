package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/result"
)

// servedResult is the value of the label result for requests that got a complete
// response.
const servedResult = "served"

// Metrics holds the Prometheus metrics of a Server.
type Metrics struct {
	requests   *prometheus.CounterVec // by result
	incomplete *prometheus.CounterVec // by result
	refusals   *prometheus.CounterVec // by reason
	retries    prometheus.Counter
	crashes    prometheus.Counter
	noMemory   prometheus.Counter
	admission  prometheus.Histogram // seconds
	firstEvent prometheus.Histogram // seconds
}

// NewMetrics returns metrics that are registered with reg. It panics if reg has
// metrics of the same names.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_relay_requests_total",
			Help: "Requests by the name of their result code, or served.",
		}, []string{"result"}),
		incomplete: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_relay_incomplete_responses_total",
			Help: "Responses that had begun and ended before they were complete, by the name of their result code.",
		}, []string{"result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_relay_refusals_total",
			Help: "Requests refused by their workspace's rate or for want of a place at an engine, by reason.",
		}, []string{"reason"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_relay_retries_total",
			Help: "Attempts after the first one of a request.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_relay_engine_crashes_total",
			Help: "Requests and batch items, with a prompt segment not known to be sound, whose engine crashed before it wrote a response.",
		}),
		noMemory: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_relay_without_memory_total",
			Help: "Times that a request found engines with slots and none with memory for it.",
		}),
		admission: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "baobab_relay_admission_seconds",
			Help:    "Time from the arrival of a request until its workspace's rate admitted it.",
			Buckets: []float64{0.001, 0.01, 0.03, 0.1, 0.3},
		}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "baobab_relay_first_event_seconds",
			Help:    "Time from the arrival of a request to the start of its response.",
			Buckets: []float64{0.03, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 1, 2, 5},
		}),
	}
	reg.MustRegister(m.requests, m.incomplete, m.refusals, m.retries, m.crashes, m.noMemory, m.admission, m.firstEvent)
	return m
}

func (m *Metrics) recordServed(admission, firstEvent time.Duration) {
	m.requests.WithLabelValues(servedResult).Inc()
	m.admission.Observe(admission.Seconds())
	m.firstEvent.Observe(firstEvent.Seconds())
}

func (m *Metrics) countFailure(code result.Code) { m.requests.WithLabelValues(code.String()).Inc() }

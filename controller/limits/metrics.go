package limits

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of what a gateway admits, lends and borrows.
type Metrics struct {
	admittedHere   prometheus.Counter
	admittedByHome prometheus.Counter
	rejected       prometheus.Counter
	tokenCalls     prometheus.Counter
	online         prometheus.Counter // tokens granted to other gateways for online requests
	batch          prometheus.Counter // tokens granted for batch items
	loansMade      prometheus.Counter
	loansReceived  prometheus.Counter
	calls          *prometheus.CounterVec
	baseActive     prometheus.Gauge
	allocations    prometheus.Gauge
}

// NewMetrics returns metrics registered with reg. It panics if they are registered already.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	admitted := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "baobab_limit_requests_total",
		Help: "Requests by outcome: admitted by this gateway's share (local), admitted by the home gateway or a loan from it (asked), or rejected (refused).",
	}, []string{"outcome"})
	granted := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "baobab_limit_granted_total",
		Help: "Tokens and loans that this gateway granted, by kind.",
	}, []string{"kind"})
	m := &Metrics{
		admittedHere:   admitted.WithLabelValues("local"),
		admittedByHome: admitted.WithLabelValues("asked"),
		rejected:       admitted.WithLabelValues("refused"),
		tokenCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_limit_questions_total",
			Help: "Calls to home gateways for tokens.",
		}),
		online:    granted.WithLabelValues("online_tokens"),
		batch:     granted.WithLabelValues("batch_tokens"),
		loansMade: granted.WithLabelValues("loans"),
		loansReceived: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_limit_borrowed_total",
			Help: "Loans received from other gateways.",
		}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_limit_messages_total",
			Help: "Lend calls sent to other gateways, by result.",
		}, []string{"result"}),
		baseActive: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "baobab_limit_base_active",
			Help: "Whether this gateway uses its base shares of the rates (1) or not yet (0).",
		}),
		allocations: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "baobab_limit_configurations",
			Help: "Versions of the configuration that some gateway may still follow; while there are several, no base share grows.",
		}),
	}
	reg.MustRegister(admitted, granted, m.tokenCalls, m.loansReceived, m.calls, m.baseActive, m.allocations)
	return m
}

// tokens returns the counter of the tokens granted for batch items or online requests.
func (m *Metrics) tokens(batch bool) prometheus.Counter {
	if batch {
		return m.batch
	}
	return m.online
}

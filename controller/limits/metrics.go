package limits

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what a gateway admits and lends.
type Metrics struct {
	local     prometheus.Counter
	remote    prometheus.Counter
	refused   prometheus.Counter
	questions prometheus.Counter
	online    prometheus.Counter
	batch     prometheus.Counter
	loans     prometheus.Counter
	borrowed  prometheus.Counter
	messages  *prometheus.CounterVec
	active    prometheus.Gauge
	eras      prometheus.Gauge
}

// NewMetrics returns metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	admitted := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "baobab_limit_requests_total",
		Help: "Requests by how the workspace's rate admitted them: local, asked or refused.",
	}, []string{"outcome"})
	granted := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "baobab_limit_granted_total",
		Help: "What this gateway granted others: online_tokens, batch_tokens and loans.",
	}, []string{"kind"})
	m := &Metrics{
		local:   admitted.WithLabelValues("local"),
		remote:  admitted.WithLabelValues("asked"),
		refused: admitted.WithLabelValues("refused"),
		questions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_limit_questions_total",
			Help: "Questions for tokens that this gateway asked another one.",
		}),
		online: granted.WithLabelValues("online_tokens"),
		batch:  granted.WithLabelValues("batch_tokens"),
		loans:  granted.WithLabelValues("loans"),
		borrowed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_limit_borrowed_total",
			Help: "Loans that other gateways granted this one.",
		}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_limit_messages_total",
			Help: "Requests about rates sent to other gateways, by result.",
		}, []string{"result"}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "baobab_limit_base_active",
			Help: "1 while this gateway uses its own share of the rates.",
		}),
		eras: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "baobab_limit_configurations",
			Help: "Configurations that some gateway may still follow; above 1 no share grows.",
		}),
	}
	reg.MustRegister(admitted, granted, m.questions, m.borrowed, m.messages, m.active, m.eras)
	return m
}

func (m *Metrics) tokens(batch bool) prometheus.Counter {
	if batch {
		return m.batch
	}
	return m.online
}

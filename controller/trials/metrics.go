package trials

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
)

// outcomeNames are the names of outcomes in logs and metrics.
var outcomeNames = map[blackboard.TrialOutcome]string{
	blackboard.TrialNotSent: "not_sent", blackboard.TrialAnswered: "answered", blackboard.TrialSpent: "not_answered",
}

// Metrics holds the metrics of trials by batch items.
type Metrics struct {
	leases prometheus.Counter
	ended  *prometheus.CounterVec // by outcome
}

// NewMetrics returns metrics registered with reg. It panics if they are registered already.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		leases: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "baobab_quarantine_item_leases_total",
			Help: "Times that this daemon was allowed to run a batch item as a trial of quarantined segments.",
		}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "baobab_quarantine_item_trials_total",
			Help: "Trials by batch items of this daemon, by outcome.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(m.leases, m.ended)
	return m
}

func (m *Metrics) count(outcome blackboard.TrialOutcome) {
	m.ended.WithLabelValues(outcomeNames[outcome]).Inc()
}

package rollouts

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// Metrics reads the metrics of roll-outs from the board when they are collected.
type Metrics struct {
	board *blackboard.EntryBoard

	stage, valid, sent, answered, bad *prometheus.Desc
}

// NewMetrics returns the metrics of the roll-outs on the board.
func NewMetrics(board *blackboard.EntryBoard) *Metrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("baobab_rollout_"+name, help, labels, nil)
	}
	return &Metrics{
		board:    board,
		stage:    desc("stage", "Stage of the roll-out that this daemon uses: 0 without one, 1 canary, 2 switch.", "service", "in_use", "to"),
		valid:    desc("valid_seconds", "Time for which this daemon may use the versions that it knows; negative afterwards."),
		sent:     desc("requests", "Requests that this daemon sent during the current order.", "service", "version"),
		answered: desc("answers", "Requests of the current order that ended at this daemon and show something of the version.", "service", "version"),
		bad:      desc("bad_answers", "Of these answers, failures and those that took several times longer than usual.", "service", "version"),
	}
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.stage, m.valid, m.sent, m.answered, m.bad} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	gauge(m.valid, clock.Instant(m.board.RolloutsValidUntil.Load()).Sub(clock.Now()).Seconds())
	for service, v := range m.board.Rollouts.Value().ByService {
		gauge(m.stage, float64(v.Stage), service, v.InUse, v.To)
		if v.Counts == nil || v.Counts.Routes.Load() == nil {
			continue
		}
		var totals [2]blackboard.AnswerFigures
		for _, route := range *v.Counts.Routes.Load() {
			for i := range totals {
				totals[i] = totals[i].Add(route.Versions[i].Figures())
			}
		}
		for i, version := range []string{v.InUse, v.To} {
			if i == blackboard.NewVersion && v.To == v.InUse {
				continue
			}
			gauge(m.sent, float64(totals[i][0]), service, version)
			gauge(m.answered, float64(totals[i][1]), service, version)
			gauge(m.bad, float64(totals[i][2]), service, version)
		}
	}
}

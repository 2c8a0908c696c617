package quarantine

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
)

// Metrics holds the metrics of the quarantine.
type Metrics struct {
	quarantined, suspected prometheus.Gauge
	ownCrashes, ownEnds    prometheus.Counter
	peerClaims             prometheus.Counter
	decisions, extended    prometheus.Counter
	cleared, trials        prometheus.Counter
}

// NewMetrics returns metrics registered with reg, among them what the board's queues
// dropped. It panics if they are registered already.
func NewMetrics(reg prometheus.Registerer, board *blackboard.EntryBoard) *Metrics {
	m := &Metrics{
		quarantined: gauge("segments", "Prompt segments that are quarantined."),
		suspected:   gauge("suspected_segments", "Prompt segments of engine crashes that are neither quarantined nor cleared."),
		ownCrashes:  counter("crashes_total", "Engine crashes that requests of this daemon saw."),
		ownEnds:     counter("engine_ends_total", "Engines that ended under requests of this daemon whose segments were all sound or answered."),
		peerClaims:  counter("peer_claims_total", "Claims of crashes and decisions received from other daemons, with repetitions."),
		decisions:   counter("decisions_total", "Times that a segment was quarantined."),
		extended:    counter("extensions_total", "Crashes that extended the quarantine of a segment."),
		cleared:     counter("cleared_total", "Segments that left quarantine because an engine answered a request with them."),
		trials:      counter("trials_total", "Requests with a quarantined segment that this daemon sent as a trial."),
	}
	reg.MustRegister(m.quarantined, m.suspected, m.ownCrashes, m.ownEnds, m.peerClaims, m.decisions, m.extended, m.cleared, m.trials,
		droppedCounter("dropped_crashes_total", "Engine crashes dropped because too many waited.", board.Crashes.Dropped),
		droppedCounter("dropped_reports_total", "Reports with evidence dropped because too many waited.", board.PeerEvidence.Dropped))
	return m
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "baobab", Subsystem: "quarantine", Name: name, Help: help})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "baobab", Subsystem: "quarantine", Name: name, Help: help})
}

// droppedCounter returns a counter whose value is read from dropped.
func droppedCounter(name, help string, dropped func() int64) prometheus.CounterFunc {
	opts := prometheus.CounterOpts{Namespace: "baobab", Subsystem: "quarantine", Name: name, Help: help}
	return prometheus.NewCounterFunc(opts, func() float64 { return float64(dropped()) })
}

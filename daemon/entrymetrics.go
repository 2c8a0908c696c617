package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// registerBoard registers gauges of what an entry daemon believes.
func registerBoard(reg *prometheus.Registry, board *blackboard.EntryBoard) {
	gauge := func(name, help string, value func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "baobab", Subsystem: "entry", Name: name, Help: help}, value))
	}
	gauge("reading_age_seconds", "Time since the last reading of the configuration was asked for.", func() float64 {
		return clock.Since(board.ConfigRead.Value().SentAt).Seconds()
	})
	gauge("config_version", "Version of the configuration in force, or 0.", func() float64 {
		if c := board.Catalog.Value(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	gauge("daemons", "Entry daemons that run, by the store.", func() float64 { return float64(len(board.Roster.Value().Members)) })
	gauge("daemons_heard", "Entry daemons that told of their load lately, this one included.", func() float64 {
		return float64(board.ReportingDaemons.Load())
	})
	gauge("items_waiting", "Batch items that wait here and can still end in time.", func() float64 {
		return float64(board.BatchDemand.Value().WaitingItems)
	})
	gauge("engines", "Registered engines that may get new work.", func() float64 {
		return float64(countEngines(board, func(*blackboard.Engine) bool { return true }))
	})
	gauge("engines_avoided", "Of these, engines that are avoided for what their answers showed.", func() float64 {
		now := clock.Now()
		return float64(countEngines(board, func(e *blackboard.Engine) bool { return e.Load.Health.IsEjected(now) }))
	})
}

// countEngines counts the usable engines that the function selects.
func countEngines(board *blackboard.EntryBoard, selected func(*blackboard.Engine) bool) int {
	n := 0
	for _, e := range board.Engines.Value().All {
		if e.IsUsable() && selected(e) {
			n++
		}
	}
	return n
}

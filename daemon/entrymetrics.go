package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// registerEntryMetrics registers gauges of the state on an entry daemon's board. It
// panics if reg has metrics of the same names.
func registerEntryMetrics(reg *prometheus.Registry, board *blackboard.EntryBoard) {
	gauge := func(name, help string, value func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "baobab", Subsystem: "entry", Name: name, Help: help}, value))
	}
	gauge("reading_age_seconds", "Time since the last read of the configuration was sent, in seconds.", func() float64 {
		return clock.Since(board.ConfigRead.Value().SentAt).Seconds()
	})
	gauge("config_version", "Version of the configuration in force, or 0 if there is none.", func() float64 {
		if c := board.Catalog.Value(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	gauge("daemons", "Entry daemons that are running according to their heartbeats in the store.", func() float64 { return float64(len(board.Roster.Value().Members)) })
	gauge("daemons_heard", "Entry daemons whose load is known from a recent report, including this daemon.", func() float64 {
		return float64(board.ReportingDaemons.Load())
	})
	gauge("items_waiting", "Batch items that wait on this daemon and can still finish before their deadline.", func() float64 {
		return float64(board.BatchDemand.Value().WaitingItems)
	})
	for reason := range blackboard.HoldReason(blackboard.HoldReasons) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "baobab", Subsystem: "entry", Name: "items_held", Help: "Batch items that wait on this daemon, by what they wait for.",
			ConstLabels: prometheus.Labels{"reason": reason.String()},
		}, func() float64 { return float64(board.BatchDemand.Value().Held[reason]) }))
	}
	gauge("requests_waiting", "Online requests that wait on this daemon for a place at an engine.", func() float64 {
		return float64(board.Places.Waiting.Load())
	})
	gauge("engines", "Registered engines that accept new requests.", func() float64 {
		return float64(countEngines(board, func(*blackboard.Engine) bool { return true }))
	})
	gauge("engines_avoided", "Registered engines that accept new requests but are ejected because of bad or slow answers.", func() float64 {
		now := clock.Now()
		return float64(countEngines(board, func(e *blackboard.Engine) bool { return e.Load.Health.IsEjected(now) }))
	})
	gauge("engines_failing", "Registered engines that accept new requests but are the last choice because they answer requests of several daemons with failures.", func() float64 {
		return float64(countEngines(board, func(e *blackboard.Engine) bool { return e.Load.Health.FailsByPeers.Load() }))
	})
	gauge("engines_slow", "Registered engines that accept new requests and are at least 1.5 times slower than the median engine with the requests that they have.", func() float64 {
		return float64(countEngines(board, isSlow))
	})
	gauge("engine_tokens", "Tokens of the requests and batch items that this daemon has at engines, each with its whole prompt and largest output.", func() float64 {
		var sum int64
		for _, e := range board.Engines.Value().All {
			sum += e.Load.Tokens.Load()
		}
		return float64(sum)
	})
	gauge("peer_report_age_seconds", "Mean age of what this daemon knows of the others' requests, in seconds.", func() float64 {
		return time.Duration(board.PeerReportAge.Load()).Seconds()
	})
}

// slowFactor is how many times slower than the median engine one counts as slow.
const slowFactor = 1.5

// isSlow reports whether the engine is known to be slow with the requests that it has.
func isSlow(e *blackboard.Engine) bool {
	curve, known := e.Load.Slowness()
	return known && curve.Slowness(max(e.RequestCount(), 1), e.Slots) >= slowFactor
}

// countEngines returns the number of usable engines for which selected returns true.
func countEngines(board *blackboard.EntryBoard, selected func(*blackboard.Engine) bool) int {
	n := 0
	for _, e := range board.Engines.Value().All {
		if e.IsUsable() && selected(e) {
			n++
		}
	}
	return n
}

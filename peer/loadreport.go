package peer

import (
	"encoding/json"
	"fmt"
)

// Notifications that carry a LoadReport in a datagram.
const (
	// methodLoads is used for the report of one daemon.
	methodLoads = "loads"
	// methodDataCentreLoads is used for the sum of the reports of a data centre.
	methodDataCentreLoads = "data_centre_loads"
)

// EngineCounts describes one engine as seen by one daemon. It holds, in this order, the
// number of online requests that the daemon has at the engine, the number of batch items
// that it has there, the number of requests that the engine reported to it recently, 1 if
// the daemon avoids the engine because of its own observations, else 0, and 1 if the engine
// told the daemon that it leaves, else 0. Builds that know only the first four ignore the
// fifth; its absence stands for 0.
type EngineCounts [5]int64

// Indexes of an EngineState.
const (
	// StatePace is the pace in percent that the engine reported, or 0 if it did not lately.
	StatePace = iota
	// StateBand is 1 plus the capacity.Band in which the sender measured the interval, or 0 if
	// it did not lately.
	StateBand
	// StateInterval is the inter-event interval of the engine, in percent of that of the
	// median engine.
	StateInterval
	engineStateNumbers
)

// MaxStatePercent bounds the percentages in an EngineState.
const MaxStatePercent = 100_000

// EngineState is what one daemon measured of an engine.
type EngineState [engineStateNumbers]int64

// EngineFailures tells what one daemon, or several of a data centre, had from an engine.
type EngineFailures struct {
	// Daemons is the number of daemons whose last answer from the engine was a failure.
	Daemons int `json:"n,omitempty"`
	// FailedMs is 1 plus the age in ms of the last of these answers, or 0 without one. WellMs
	// is the same for the sending of the last request that the engine answered well.
	FailedMs int64 `json:"failed,omitempty"`
	WellMs   int64 `json:"well,omitempty"`
}

// LoadReport tells other entry daemons how many requests the sender has at each engine, or
// how many the daemons of its data centre have there together.
type LoadReport struct {
	// From is the incarnation of the daemon that sends the report.
	From string `json:"from"`
	// Sequence is greater than in all earlier reports of the same incarnation.
	Sequence int64 `json:"seq"`
	// WaitingItems is the number of batch items that wait for an engine.
	WaitingItems int `json:"waiting"`
	// ReadAgeMs is the age of the daemon's last read of the configuration, in ms,
	// counted from when the read was sent.
	ReadAgeMs int64 `json:"reading_age_ms"`
	// Engines holds the counts of engines, by engine id. Engines without anything to
	// report are left out.
	Engines map[string]EngineCounts `json:"engines"`
	// Admitted holds the number of requests that the daemon has admitted since it
	// started, by workspace. It holds only workspaces whose number changed recently.
	Admitted map[string]int64 `json:"admitted,omitempty"`
	// Tokens holds the tokens of the requests that the sender has at engines, by engine id,
	// where the configuration says how many tokens an engine holds. Engines without any are
	// left out. Daemons of earlier builds ignore it.
	Tokens map[string]int64 `json:"tokens,omitempty"`
	// States holds what the sender measured lately of engines that report their pace, by
	// engine id. A report holds those of a bounded number of engines. Daemons of earlier
	// builds ignore it.
	States map[string]EngineState `json:"states,omitempty"`
	// Failing holds, by engine id, what engines answered that answer with failures. A report
	// holds a bounded number of them. Daemons of earlier builds ignore it.
	Failing map[string]EngineFailures `json:"failing,omitempty"`
	// DataCentre is set if the report is a sum. WaitingItems is then 0, ReadAgeMs the
	// lowest age, the third of an engine's counts the largest and the fourth and fifth
	// the numbers of daemons; Admitted counts what the sender knows to have been admitted.
	DataCentre *DataCentreSum `json:"data_centre,omitempty"`
	// Rollouts is what the sender, or the daemons of its data centre together, counted during
	// the current roll-outs, by service. Daemons of earlier builds ignore it.
	Rollouts map[string]RolloutCounts `json:"rollouts,omitempty"`
	// Evidence is what the sender, or daemons of its data centre, know of segments that may
	// crash engines. Daemons of earlier builds ignore it.
	Evidence *Evidence `json:"evidence,omitempty"`
}

// DataCentreSum says whose load reports were added up. The sum is sent to one daemon of
// each other data centre, which forwards it to the daemons there.
type DataCentreSum struct {
	// Name is the data centre of the daemons.
	Name string `json:"name"`
	// Daemons is the number of daemons whose reports were added up.
	Daemons int `json:"daemons"`
	// WaitingDaemons is the number of them on which batch items wait for an engine.
	WaitingDaemons int `json:"waiting"`
	// Forwarded reports whether the receiver got the sum from a daemon of its own data
	// centre.
	Forwarded bool `json:"forwarded,omitempty"`
}

// method returns the method of the notification that carries the report. Daemons of
// earlier builds reject a sum by its method; they would take it for a daemon's own report.
func (r *LoadReport) method() string {
	if r.DataCentre != nil {
		return methodDataCentreLoads
	}
	return methodLoads
}

// loadNotification is the JSON-RPC notification of a LoadReport. It is not a
// jsonrpc2.Request, which parses its parameters twice, because a daemon receives hundreds
// of reports per second.
type loadNotification struct {
	Version string     `json:"jsonrpc"`
	Method  string     `json:"method"`
	Params  LoadReport `json:"params"`
}

// EncodeLoadReport returns the content of the datagram that carries the report.
func EncodeLoadReport(r LoadReport) ([]byte, error) {
	data, err := json.Marshal(loadNotification{Version: "2.0", Method: r.method(), Params: r})
	if err != nil {
		return nil, fmt.Errorf("encode load report: %w", err)
	}
	return data, nil
}

// DecodeLoadReport returns the report that the datagram carries. It returns an error if
// the datagram is no JSON, its method does not match its content, or a number in it is
// impossible.
func DecodeLoadReport(data []byte) (LoadReport, error) {
	var n loadNotification
	if err := json.Unmarshal(data, &n); err != nil {
		return LoadReport{}, fmt.Errorf("decode load report: %w", err)
	}
	if n.Method != n.Params.method() {
		return LoadReport{}, fmt.Errorf("decode load report: method %q does not match the content", n.Method)
	}
	return n.Params, n.Params.check()
}

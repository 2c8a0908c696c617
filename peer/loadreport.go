package peer

import (
	"encoding/json"
	"fmt"
)

// methodLoads is the notification that carries a LoadReport in a datagram.
const methodLoads = "loads"

// EngineCounts holds the online requests and the batch items that the daemon has at
// an engine, the requests that the engine reported to it a moment ago, and 1 if the
// daemon avoids the engine for what it saw itself.
type EngineCounts [4]int64

// LoadReport tells how many requests an entry daemon has at each engine.
type LoadReport struct {
	// From is the daemon's incarnation.
	From string `json:"from"`
	// Sequence grows with each report.
	Sequence int64 `json:"seq"`
	// Waiting is the number of batch items that wait for an engine.
	Waiting int `json:"waiting"`
	// ReadingAge is how long ago, in ms, the daemon asked for its last reading of
	// the configuration.
	ReadingAge int64 `json:"reading_age_ms"`
	// Engines holds what there is to tell of engines, by id.
	Engines map[string]EngineCounts `json:"engines"`
	// Admitted holds, for each workspace in which it changed lately, the number
	// of requests that the daemon admitted since it started.
	Admitted map[string]int64 `json:"admitted,omitempty"`
}

// loadNotification is a JSON-RPC notification. It is encoded and decoded as one
// value, since jsonrpc2.Request parses its parameters twice and a daemon receives
// hundreds of reports a second.
type loadNotification struct {
	Version string     `json:"jsonrpc"`
	Method  string     `json:"method"`
	Params  LoadReport `json:"params"`
}

// EncodeLoadReport returns the datagram that carries the report.
func EncodeLoadReport(r LoadReport) ([]byte, error) {
	data, err := json.Marshal(loadNotification{Version: "2.0", Method: methodLoads, Params: r})
	if err != nil {
		return nil, fmt.Errorf("encode load report: %w", err)
	}
	return data, nil
}

// DecodeLoadReport returns the report that the datagram carries.
func DecodeLoadReport(data []byte) (LoadReport, error) {
	var n loadNotification
	if err := json.Unmarshal(data, &n); err != nil {
		return LoadReport{}, fmt.Errorf("decode load report: %w", err)
	}
	if n.Method != methodLoads {
		return LoadReport{}, fmt.Errorf("datagram of unknown method %q", n.Method)
	}
	return n.Params, nil
}

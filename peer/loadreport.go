package peer

import (
	"encoding/json"
	"fmt"
)

// methodLoads is the notification that carries a LoadReport in a datagram.
const methodLoads = "loads"

// EngineCounts describes one engine as seen by one daemon. It holds, in this order, the
// number of online requests that the daemon has at the engine, the number of batch items
// that it has there, the number of requests that the engine reported to it recently, and
// 1 if the daemon avoids the engine because of its own observations, else 0.
type EngineCounts [4]int64

// LoadReport tells other entry daemons how many requests the sender has at each engine.
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
	data, err := json.Marshal(loadNotification{Version: "2.0", Method: methodLoads, Params: r})
	if err != nil {
		return nil, fmt.Errorf("encode load report: %w", err)
	}
	return data, nil
}

// DecodeLoadReport returns the report that the datagram carries. It returns an error if
// the datagram is no JSON or has another method.
func DecodeLoadReport(data []byte) (LoadReport, error) {
	var n loadNotification
	if err := json.Unmarshal(data, &n); err != nil {
		return LoadReport{}, fmt.Errorf("decode load report: %w", err)
	}
	if n.Method != methodLoads {
		return LoadReport{}, fmt.Errorf("decode load report: unknown method %q", n.Method)
	}
	return n.Params, nil
}

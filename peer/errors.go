package peer

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobablanding/baobablanding/result"
)

// errorData is the typed part of an error on the wire.
type errorData struct {
	Verdict    result.Verdict `json:"verdict"`
	RetryAfter time.Duration  `json:"retry_after,omitempty"`
}

// encodeError returns the wire form of err.
func encodeError(err error) *jsonrpc2.Error {
	e := result.FromError(err)
	wire := &jsonrpc2.Error{Code: int64(e.Code), Message: e.Detail}
	wire.SetError(errorData{Verdict: e.Verdict, RetryAfter: e.RetryAfter})
	return wire
}

// decodeError returns the typed form of an error that a call returned. Every
// error that the remote process did not send itself leaves the outcome open.
func decodeError(err error) error {
	var wire *jsonrpc2.Error
	if !errors.As(err, &wire) {
		return &result.Error{Code: result.OutcomeUnknown, Detail: err.Error(), Verdict: result.MayHaveRun}
	}
	e := &result.Error{Code: result.Code(wire.Code), Detail: wire.Message, Verdict: result.MayHaveRun}
	var data errorData
	if wire.Data != nil && json.Unmarshal(*wire.Data, &data) == nil {
		e.Verdict = data.Verdict
		e.RetryAfter = data.RetryAfter
	}
	return e
}

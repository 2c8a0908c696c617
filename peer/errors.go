package peer

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobablanding/baobablanding/result"
)

// errorData is the data of a JSON-RPC error: the fields of a result.Error that have no
// field of their own there.
type errorData struct {
	Verdict    result.Verdict `json:"verdict"`
	RetryAfter time.Duration  `json:"retry_after,omitempty"`
}

// encodeError returns err as a JSON-RPC error.
func encodeError(err error) *jsonrpc2.Error {
	e := result.FromError(err)
	wire := &jsonrpc2.Error{Code: int64(e.Code), Message: e.Detail}
	wire.SetError(errorData{Verdict: e.Verdict, RetryAfter: e.RetryAfter})
	return wire
}

// decodeError converts the error of a call to a *result.Error. An error that the remote
// process did not send, such as a lost connection, becomes result.OutcomeUnknown. The
// verdict is result.MayHaveRun unless the remote process sent another one.
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

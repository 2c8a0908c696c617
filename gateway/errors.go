// Package gateway is the HTTP front end for callers and operators. It translates between
// HTTP and the packages serve, batch and configstore, which make the decisions.
package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/baobablanding/baobablanding/result"
)

// RequestIDHeader carries the request's ID in the response.
const RequestIDHeader = "X-Request-Id"

// ErrorBody is the JSON body of the response to a failed request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure.
type ErrorDetail struct {
	// Code is the number of the result code.
	Code int `json:"code"`
	// Name is the symbolic name of the code.
	Name string `json:"name"`
	// Type repeats Name, since some client libraries read this field.
	Type string `json:"type"`
	// Message describes the failure to people.
	Message string `json:"message"`
	// NotRun is true only if it is certain that the request did not run.
	NotRun bool `json:"not_run"`
	// RetryAfter is the time in seconds after which a retry may succeed, or 0.
	RetryAfter float64 `json:"retry_after,omitempty"`
	// RequestID identifies the request, as RequestIDHeader does.
	RequestID string `json:"request_id"`
}

// errorBody returns the body of the response to a request that failed with e.
func errorBody(e *result.Error, requestID string) ErrorBody {
	name := e.Code.String()
	return ErrorBody{Error: ErrorDetail{
		Code:       int(e.Code),
		Name:       name,
		Type:       name,
		Message:    e.Text(),
		NotRun:     e.Verdict == result.NotRun,
		RetryAfter: e.RetryAfter.Seconds(),
		RequestID:  requestID,
	}}
}

// writeError responds with the status, headers and body for err. An error that is not a
// *result.Error is translated by result.FromError.
func writeError(w http.ResponseWriter, err error, requestID string) {
	e := result.FromError(err)
	w.Header().Set(RequestIDHeader, requestID)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	writeJSON(w, e.Code.Info().Status, errorBody(e, requestID))
}

// retryAfterSeconds returns the value of a Retry-After header for d: whole seconds,
// rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// writeJSON responds with the value as JSON. Errors are ignored, since the status has
// been sent and the caller notices a connection that broke.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Package gateway is the HTTP front end for callers and operators.
package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/baobablanding/baobablanding/result"
)

// RequestIDHeader carries the request's ID in every answer.
const RequestIDHeader = "X-Request-Id"

// ErrorBody is the body of every failed request.
type ErrorBody struct {
	// Error describes the failure.
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure.
type ErrorDetail struct {
	// Code is the numbered result code.
	Code int `json:"code"`
	// Name is the symbolic name of the code.
	Name string `json:"name"`
	// Type repeats Name for client libraries that read this field.
	Type string `json:"type"`
	// Message describes the failure for people.
	Message string `json:"message"`
	// NotRun is true only if the request was certainly not executed.
	NotRun bool `json:"not_run"`
	// RetryAfter is the time in seconds after which a retry may succeed, or 0.
	RetryAfter float64 `json:"retry_after,omitempty"`
	// RequestID identifies the request.
	RequestID string `json:"request_id"`
}

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

// writeError answers with the status, headers and body of err.
func writeError(w http.ResponseWriter, err error, requestID string) {
	e := result.FromError(err)
	w.Header().Set(RequestIDHeader, requestID)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	writeJSON(w, e.Code.Info().Status, errorBody(e, requestID))
}

// retryAfterSeconds returns d in whole seconds, rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

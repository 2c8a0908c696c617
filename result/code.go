// Package result defines the result codes that the system reports to callers and
// operators, and the error type that carries a code.
package result

import "net/http"

// Code is a result code. Codes are stable: a number is never reused.
type Code int

// Codes 1xxx report a fault in the caller's request.
const (
	BadRequest         Code = 1001
	BodyTooLarge       Code = 1002
	UnknownModel       Code = 1003
	UnknownRoute       Code = 1004
	UnsupportedType    Code = 1005
	MethodNotAllowed   Code = 1006
	BodyTimeout        Code = 1007
	RepeatedHeader     Code = 1008
	CallerGone         Code = 1009
	CallerTooSlow      Code = 1010
	NotFound           Code = 1011
	IdempotencyChanged Code = 1012
)

// Codes 2xxx report a rejected key or an exhausted limit.
const (
	KeyMissing      Code = 2001
	KeyUnknown      Code = 2002
	KeyWithdrawn    Code = 2003
	ModelNotAllowed Code = 2004
	AdminKeyNeeded  Code = 2005
	RateExceeded    Code = 2101
	QueueFull       Code = 2102
	QueueTimeout    Code = 2103
)

// Codes 3xxx report that an upstream, or the path to it, cannot serve the request.
const (
	NoUpstream          Code = 3001
	UpstreamUnreachable Code = 3002
	UpstreamCold        Code = 3003
	UpstreamLeaving     Code = 3004
	DataCentreOut       Code = 3005
	UpstreamFailed      Code = 3006
	AnswerIncomplete    Code = 3007
	OutcomeUnknown      Code = 3008
	DeadlineExceeded    Code = 3009
	Draining            Code = 3010
	Preempted           Code = 3011
	RetryBudgetEmpty    Code = 3012
	DuplicateRequest    Code = 3013
	UnknownUpstream     Code = 3014
	FencedOrder         Code = 3015
	UpstreamOverloaded  Code = 3016
	Starting            Code = 3017
	SegmentQuarantined  Code = 3018
)

// Codes 4xxx report errors of batch jobs and files.
const (
	UnknownFile    Code = 4001
	UnknownJob     Code = 4002
	BadBatchLine   Code = 4003
	TooManyItems   Code = 4004
	JobCancelled   Code = 4005
	ItemFailed     Code = 4006
	OutputNotReady Code = 4007
	EmptyBatch     Code = 4008
	TooManyTokens  Code = 4009
)

// Codes 5xxx report errors of the configuration.
const (
	ConfigInvalid  Code = 5001
	ConfigConflict Code = 5002
	ConfigMissing  Code = 5003
	ConfigStale    Code = 5004
	UnknownName    Code = 5005
)

// Codes 6xxx report errors of the platform's services.
const (
	StoreUnavailable Code = 6001
	StoreConflict    Code = 6002
)

// Internal reports a defect of the system itself.
const Internal Code = 9001

// Info describes a result code.
type Info struct {
	// Name is the symbolic name of the code. It is as stable as the number.
	Name string
	// Status is the HTTP status of a response with the code.
	Status int
	// Message is the default message for people.
	Message string
}

// infoByCode describes each code. docs/RESULT-CODES.md has the same rows, which
// TestCodesAreDocumented checks.
var infoByCode = map[Code]Info{
	BadRequest:         {"bad_request", http.StatusBadRequest, "the request is malformed"},
	BodyTooLarge:       {"body_too_large", http.StatusRequestEntityTooLarge, "the body is larger than the configured limit"},
	UnknownModel:       {"unknown_model", http.StatusNotFound, "the model does not exist"},
	UnknownRoute:       {"unknown_route", http.StatusNotFound, "no route matches the path"},
	UnsupportedType:    {"unsupported_type", http.StatusUnsupportedMediaType, "the content type is not supported"},
	MethodNotAllowed:   {"method_not_allowed", http.StatusMethodNotAllowed, "the route does not accept this method"},
	BodyTimeout:        {"body_timeout", http.StatusRequestTimeout, "the body did not arrive in time"},
	RepeatedHeader:     {"repeated_header", http.StatusBadRequest, "a header that must be unique was repeated"},
	CallerGone:         {"caller_gone", 499, "the caller closed the connection"},
	CallerTooSlow:      {"caller_too_slow", http.StatusRequestTimeout, "the caller does not read its answer"},
	NotFound:           {"not_found", http.StatusNotFound, "the resource does not exist"},
	IdempotencyChanged: {"idempotency_changed", http.StatusConflict, "the idempotency key was used with another request"},

	KeyMissing:      {"key_missing", http.StatusUnauthorized, "the request carries no key"},
	KeyUnknown:      {"key_unknown", http.StatusUnauthorized, "the key is not known"},
	KeyWithdrawn:    {"key_withdrawn", http.StatusUnauthorized, "the key was withdrawn"},
	ModelNotAllowed: {"model_not_allowed", http.StatusForbidden, "the workspace may not use this model"},
	AdminKeyNeeded:  {"admin_key_needed", http.StatusForbidden, "the operation needs the operator's key"},
	RateExceeded:    {"rate_exceeded", http.StatusTooManyRequests, "the workspace exceeds its rate"},
	QueueFull:       {"queue_full", http.StatusServiceUnavailable, "the queue is full"},
	QueueTimeout:    {"queue_timeout", http.StatusServiceUnavailable, "the request waited too long in a queue"},

	NoUpstream:          {"no_upstream", http.StatusServiceUnavailable, "no upstream can take the request"},
	UpstreamUnreachable: {"upstream_unreachable", http.StatusServiceUnavailable, "the upstream cannot be reached"},
	UpstreamCold:        {"upstream_cold", http.StatusServiceUnavailable, "the upstream is in cold start"},
	UpstreamLeaving:     {"upstream_leaving", http.StatusServiceUnavailable, "the upstream is leaving"},
	DataCentreOut:       {"data_centre_out", http.StatusServiceUnavailable, "the data centre is taken out"},
	UpstreamFailed:      {"upstream_failed", http.StatusBadGateway, "the upstream answered with an error"},
	AnswerIncomplete:    {"answer_incomplete", http.StatusBadGateway, "the upstream's answer ended early"},
	OutcomeUnknown:      {"outcome_unknown", http.StatusBadGateway, "the connection was lost after the request was sent"},
	DeadlineExceeded:    {"deadline_exceeded", http.StatusGatewayTimeout, "the request exceeded its deadline"},
	Draining:            {"draining", http.StatusServiceUnavailable, "the process is shutting down"},
	SegmentQuarantined:  {"segment_quarantined", http.StatusServiceUnavailable, "a segment of the prompt makes engines crash"},
	Starting:            {"starting", http.StatusServiceUnavailable, "the process has not begun to serve"},
	Preempted:           {"preempted", http.StatusServiceUnavailable, "batch work gave way to online requests"},
	RetryBudgetEmpty:    {"retry_budget_empty", http.StatusServiceUnavailable, "the retry budget of the route is used up"},
	DuplicateRequest:    {"duplicate_request", http.StatusConflict, "a request with this id was already received"},
	UnknownUpstream:     {"unknown_upstream", http.StatusNotFound, "the upstream is not served here"},
	UpstreamOverloaded:  {"upstream_overloaded", http.StatusServiceUnavailable, "the upstream refused the request as too much"},
	FencedOrder:         {"fenced_order", http.StatusConflict, "a newer holder gave orders to this engine"},

	UnknownFile:    {"unknown_file", http.StatusNotFound, "the file does not exist"},
	UnknownJob:     {"unknown_job", http.StatusNotFound, "the batch job does not exist"},
	BadBatchLine:   {"bad_batch_line", http.StatusBadRequest, "a line of the batch file is malformed"},
	TooManyItems:   {"too_many_items", http.StatusBadRequest, "the batch file holds too many items"},
	JobCancelled:   {"job_cancelled", http.StatusConflict, "the batch job was cancelled"},
	ItemFailed:     {"item_failed", http.StatusUnprocessableEntity, "the item failed in every attempt"},
	OutputNotReady: {"output_not_ready", http.StatusConflict, "the output is not complete yet"},
	TooManyTokens:  {"too_many_tokens", http.StatusTooManyRequests, "the workspace has too many tokens waiting on the route"},
	EmptyBatch:     {"empty_batch", http.StatusBadRequest, "the batch file holds no items"},

	ConfigInvalid:  {"config_invalid", http.StatusBadRequest, "the configuration is invalid"},
	ConfigConflict: {"config_conflict", http.StatusConflict, "another change was accepted first"},
	ConfigMissing:  {"config_missing", http.StatusServiceUnavailable, "no configuration is known yet"},
	ConfigStale:    {"config_stale", http.StatusServiceUnavailable, "the configuration cannot be confirmed as current"},
	UnknownName:    {"unknown_name", http.StatusNotFound, "the name does not exist in the configuration"},

	StoreUnavailable: {"store_unavailable", http.StatusServiceUnavailable, "the platform's store is unavailable"},
	StoreConflict:    {"store_conflict", http.StatusConflict, "the record was changed concurrently"},

	Internal: {"internal", http.StatusInternalServerError, "internal error"},
}

// Info returns the description of c. Unknown codes are described as Internal.
func (c Code) Info() Info {
	if info, ok := infoByCode[c]; ok {
		return info
	}
	return infoByCode[Internal]
}

// String returns the symbolic name of c.
func (c Code) String() string { return c.Info().Name }

// Codes returns all defined codes in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(infoByCode))
	for c := range infoByCode {
		codes = append(codes, c)
	}
	return codes
}

package result

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells whether the upstream may have executed a request.
type Verdict uint8

const (
	// NotRun means that nothing was sent to the upstream.
	NotRun Verdict = iota
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun
	// Answered means that the upstream executed the request.
	Answered
)

// String returns the name of v.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	default:
		return "answered"
	}
}

// Error is a failure with a numbered code.
type Error struct {
	// Code is the numbered result code.
	Code Code
	// Detail says what failed; it never holds a key or a caller's content.
	Detail string
	// Verdict tells whether the request may have been executed.
	Verdict Verdict
	// RetryAfter is the time after which a retry may succeed, or zero.
	RetryAfter time.Duration
	// Elsewhere tells that another daemon may serve the caller.
	Elsewhere bool
}

// Error returns the name, number and detail of e.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), e.Text())
}

// Text returns the detail of e, or the default message of its code.
func (e *Error) Text() string {
	if e.Detail != "" {
		return e.Detail
	}
	return e.Code.Info().Message
}

// Errorf returns an Error of the given code for a request that was not run.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// New returns an Error of the given code and verdict with the default message.
func New(c Code, v Verdict) *Error { return &Error{Code: c, Verdict: v} }

// After returns a copy of e that asks the caller to wait for d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// AskElsewhere returns a copy of e that asks the caller to leave this daemon.
func (e *Error) AskElsewhere() *Error {
	c := *e
	c.Elsewhere = true
	return &c
}

// WithVerdict returns a copy of e with the verdict v, for a request whose last
// attempt is not the only one.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.Verdict = v
	return &c
}

// From returns the Error in err's chain, or wraps err as Internal with an
// unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Detail: err.Error(), Verdict: MayHaveRun}
}

// CodeOf returns the code of the Error in err's chain, or Internal.
func CodeOf(err error) Code { return From(err).Code }

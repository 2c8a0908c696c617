package result

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether an upstream executed a request, as far as that is known. It
// decides whether the request may be sent again.
type Verdict uint8

const (
	// NotRun means that no upstream executed the request: it was not sent, or it was
	// rejected before it ran.
	NotRun Verdict = iota
	// MayHaveRun means that the request was sent and that it is unknown whether it
	// ran.
	MayHaveRun
	// Answered means that the upstream executed the request.
	Answered
)

// String returns the name of the verdict.
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

// Error is an error with a result code. It is not modified after it was returned:
// methods that change a field return a copy.
type Error struct {
	// Code is the result code.
	Code Code
	// Detail describes the failure, or is empty for the default message of the code.
	// It must not contain a key or a caller's content.
	Detail string
	// Verdict says whether the request ran, as far as that is known.
	Verdict Verdict
	// RetryAfter is the time after which a retry may succeed, or zero if it is not
	// known.
	RetryAfter time.Duration
	// RetryElsewhere asks the caller to retry with another daemon.
	RetryElsewhere bool
}

// Error returns the code's name and number and the text of e.
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

// Errorf returns an Error with the code, a formatted detail and the verdict NotRun.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// New returns an Error with the code, the verdict and the default message.
func New(c Code, v Verdict) *Error { return &Error{Code: c, Verdict: v} }

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRetryElsewhere returns a copy of e that asks the caller to retry with another
// daemon.
func (e *Error) WithRetryElsewhere() *Error {
	c := *e
	c.RetryElsewhere = true
	return &c
}

// WithVerdict returns a copy of e with the verdict v. It is used where the verdict
// on a request depends on more attempts than the last one.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.Verdict = v
	return &c
}

// FromError returns the Error in err's chain. If there is none, it returns an Error
// with the code Internal, the text of err and the verdict MayHaveRun. The error must
// not be nil.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Detail: err.Error(), Verdict: MayHaveRun}
}

// CodeOf returns the code of the Error in err's chain, or Internal if there is none.
// The error must not be nil.
func CodeOf(err error) Code { return FromError(err).Code }

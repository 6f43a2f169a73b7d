package mustardnotch

import (
	"context"
	"errors"
	"fmt"
)

// Outcome is what is known about the execution of a request.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request has not run and never will.
	OutcomeNotRun
	// OutcomeRan means that the request ran.
	OutcomeRan
)

// String returns the outcome as it is shown to callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Error is an error with a numbered result code.
type Error struct {
	Code Code
	// Outcome is whether the failed request has run.
	Outcome Outcome
	// RetryAfter is how long a caller should wait before a retry; 0 means that a
	// retry doesn't help.
	RetryAfter Millis
	// Detail describes what went wrong in this case.
	Detail string
	// Cause is the wrapped error, or nil.
	Cause error
}

// Errorf returns an Error with code and the code's default outcome.
func Errorf(code Code, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{
		Code:    code,
		Outcome: code.Doc().Outcome,
		Detail:  err.Error(),
		Cause:   errors.Unwrap(err),
	}
}

// WithOutcome returns a copy of e with the given outcome.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	d := *e
	d.Outcome = outcome
	return &d
}

// WithRetryAfter returns a copy of e that asks the caller to retry after delay.
func (e *Error) WithRetryAfter(delay Millis) *Error {
	d := *e
	d.RetryAfter = delay
	return &d
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s (%s): %s", e.Code, e.Code.Doc().Title, e.Outcome, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// CodeOf returns the result code of err: [OK] for nil, else the code of
// [AsError].
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return AsError(err).Code
}

// AsError returns the first Error in err's chain. If there is none, it wraps err
// in an Error with an unknown outcome and code [DeadlineExceeded] or [Cancelled]
// for the errors of an ended context, [Internal] for others. It returns nil for
// nil.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: contextCode(err), Outcome: OutcomeUnknown, Detail: err.Error(), Cause: err}
}

func contextCode(err error) Code {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return DeadlineExceeded
	case errors.Is(err, context.Canceled):
		return Cancelled
	}
	return Internal
}

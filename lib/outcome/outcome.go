// Package outcome defines the three outcomes of a request and the error types
// that carry them between packages.
//
// A request was answered (the server's complete response arrived), was not run
// (no byte of it was written to a server), or its outcome is unknown
// (everything else). An unknown outcome is never reported as not run and is
// retried only for idempotent requests.
//
// # Usage
//
//	if notRun, ok := outcome.AsNotRun(err); ok && notRun.Retryable() { ... }
package outcome

import (
	"errors"
	"fmt"

	"savorygap.example/lib/load"
)

// Kind is the outcome of a request.
type Kind string

// Outcomes, as sent to callers in the response header.
const (
	Answered Kind = "answered"
	NotRun   Kind = "not-run"
	Unknown  Kind = "unknown"
)

// NotRunError reports that no byte of a request was written to a server.
type NotRunError struct {
	reason    string
	report    load.Report
	reported  bool
	permanent bool
}

// NewNotRun returns a NotRunError with a short reason.
func NewNotRun(reason string) *NotRunError { return &NotRunError{reason: reason} }

// Permanent returns a copy of the error that is not retryable, because other
// targets would refuse the request too.
func (e *NotRunError) Permanent() *NotRunError {
	copied := *e
	copied.permanent = true
	return &copied
}

// WithReport returns a copy of the error with the load report of the target
// that refused the request.
func (e *NotRunError) WithReport(r load.Report) *NotRunError {
	copied := *e
	copied.report = r
	copied.reported = true
	return &copied
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("request was not run: %s", e.reason) }

// Reason returns why the request was not run.
func (e *NotRunError) Reason() string { return e.reason }

// Report returns the load report of the target that refused the request, if
// there is one.
func (e *NotRunError) Report() (load.Report, bool) { return e.report, e.reported }

// Retryable reports whether another target may accept the request.
func (e *NotRunError) Retryable() bool { return !e.permanent }

// AsNotRun returns the NotRunError in the chain of err. It returns false if the
// chain also contains an UnknownError: such a request may have run, even if one
// of the causes is a request that was not run.
func AsNotRun(err error) (*NotRunError, bool) {
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		return nil, false
	}
	var notRun *NotRunError
	return notRun, errors.As(err, &notRun)
}

// UnknownError reports that a request may or may not have run.
type UnknownError struct {
	reason string
	cause  error
}

// NewUnknown returns an UnknownError with a reason and an optional cause.
func NewUnknown(reason string, cause error) *UnknownError {
	return &UnknownError{reason: reason, cause: cause}
}

// Error implements error.
func (e *UnknownError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("request may have run: %s", e.reason)
	}
	return fmt.Sprintf("request may have run: %s: %v", e.reason, e.cause)
}

// Reason returns why the outcome is unknown.
func (e *UnknownError) Reason() string { return e.reason }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.cause }

// TruncatedError reports that a body ended before its full length arrived.
type TruncatedError struct {
	received uint64
	cause    error
}

// NewTruncated returns a TruncatedError for a body of which only received bytes
// arrived.
func NewTruncated(received uint64, cause error) *TruncatedError {
	return &TruncatedError{received: received, cause: cause}
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("body was cut after %d bytes: %v", e.received, e.cause)
}

// Received returns how many bytes of the body arrived.
func (e *TruncatedError) Received() uint64 { return e.received }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.cause }

// Package outcome names the three ways in which a request can end and the
// error types that carry them between packages.
//
// A request is answered (the server's whole answer arrived), not run (no byte
// of it was written to a server) or unknown (anything else). Unknown is never
// reported as not run, and is retried only for idempotent requests.
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

// Kind is one of the three outcomes.
type Kind string

// The outcomes, as written in the header that callers receive.
const (
	Answered Kind = "answered"
	NotRun   Kind = "not-run"
	Unknown  Kind = "unknown"
)

// NotRunError reports a request of which no byte was written to a server.
type NotRunError struct {
	reason    string
	report    load.Report
	reported  bool
	permanent bool
}

// NewNotRun returns an error with the reason in one or two words.
func NewNotRun(reason string) *NotRunError { return &NotRunError{reason: reason} }

// Permanent returns the error with the mark that another target would refuse
// too.
func (e *NotRunError) Permanent() *NotRunError {
	copied := *e
	copied.permanent = true
	return &copied
}

// WithReport returns the error with the report of the target that refused.
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

// Report returns the report of the target that refused, if there is one.
func (e *NotRunError) Report() (load.Report, bool) { return e.report, e.reported }

// Retryable reports whether another target may take the request.
func (e *NotRunError) Retryable() bool { return !e.permanent }

// AsNotRun returns the NotRunError that err is. An unknown outcome stays
// unknown, also when a request that was not run is among its causes.
func AsNotRun(err error) (*NotRunError, bool) {
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		return nil, false
	}
	var notRun *NotRunError
	return notRun, errors.As(err, &notRun)
}

// UnknownError reports a request that may or may not have been run.
type UnknownError struct {
	reason string
	cause  error
}

// NewUnknown returns an error with the reason and the cause.
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

// Reason returns what went wrong.
func (e *UnknownError) Reason() string { return e.reason }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.cause }

// TruncatedError reports a body that ended before its whole length arrived.
type TruncatedError struct {
	received uint64
	cause    error
}

// NewTruncated returns an error for a body of which only received bytes arrived.
func NewTruncated(received uint64, cause error) *TruncatedError {
	return &TruncatedError{received: received, cause: cause}
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("body was cut after %d bytes: %v", e.received, e.cause)
}

// Received returns how many bytes arrived.
func (e *TruncatedError) Received() uint64 { return e.received }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.cause }

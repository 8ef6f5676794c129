package operator

import "fmt"

// UnknownOutcomeError reports a change that may or may not have been made
// because the response of the store was lost. Sending it again with the same id
// is safe.
type UnknownOutcomeError struct {
	id    string
	cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %q may or may not have been made; send it again with the same id: %v", e.id, e.cause)
}

// ID returns the operation id.
func (e *UnknownOutcomeError) ID() string { return e.id }

// Unwrap returns the error of the write whose response was lost.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// ContentionError reports a change that was not made because concurrent changes
// won the compare-and-swap in every attempt.
type ContentionError struct {
	attempts int
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("change lost %d races against other changes; send it again", e.attempts)
}

// ResponseError reports an unsuccessful response of the API.
type ResponseError struct {
	status  int
	message string
	problem Problem
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("node answers %d: %s", e.status, e.message)
}

// Status returns the HTTP status.
func (e *ResponseError) Status() int { return e.status }

// Problem returns the error details in the body of the response.
func (e *ResponseError) Problem() Problem { return e.problem }

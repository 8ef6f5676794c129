package operator

import "fmt"

// UnknownOutcomeError reports a change of which the store has not said whether it
// was made. Sending it again with the same id is safe.
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

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// ContentionError reports a change that lost every race against others.
type ContentionError struct {
	races int
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("change lost %d races against other changes; send it again", e.races)
}

// ResponseError reports an answer of the API that is not a success.
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

// Problem returns the details that the node gave.
func (e *ResponseError) Problem() Problem { return e.problem }

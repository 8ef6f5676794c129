package operator

import "fmt"

// UnsettledError reports a change of which the store has not said whether it
// was made. Sending it again with the same id is safe.
type UnsettledError struct {
	id    string
	cause error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("change %q may or may not have been made; send it again with the same id: %v", e.id, e.cause)
}

// ID returns the operation id.
func (e *UnsettledError) ID() string { return e.id }

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.cause }

// BusyError reports a change that lost every race against others.
type BusyError struct {
	races int
}

// Error implements error.
func (e *BusyError) Error() string {
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

// Package responseend decides whether a response that ends with its connection is complete.
//
// A reset of the connection is reported once, possibly to the goroutine that writes the
// request; the one that reads the response then sees an ordinary end. So the response may
// have been cut unless the request was written to its end.
//
// # Usage
//
//	if responseend.IsMarkedByConnection(response) {
//		if err := <-written; err != nil {
//			return responseend.NewBrokenUploadError(err)
//		}
//	}
package responseend

import (
	"fmt"
	"net/http"
)

// BrokenUploadError reports a response that ended with its connection although the
// request was not written to its end.
type BrokenUploadError struct {
	cause error
}

// NewBrokenUploadError returns the error with the reason why the request was not written.
func NewBrokenUploadError(cause error) *BrokenUploadError { return &BrokenUploadError{cause: cause} }

// Error implements error.
func (e *BrokenUploadError) Error() string {
	return fmt.Sprintf("response ended with its connection before the request was written: %v", e.cause)
}

// Unwrap returns the cause.
func (e *BrokenUploadError) Unwrap() error { return e.cause }

// IsMarkedByConnection reports whether only the end of the connection marks the end of a
// response.
func IsMarkedByConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

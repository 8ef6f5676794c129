package httpclient

import (
	"context"
	"fmt"
	"net/http"
)

// BrokenUploadError reports a response that ended with its connection although the
// request was not written to its end. Such a response may have been cut: if the server
// resets the connection, the kernel reports it once, to the goroutine that writes, and
// the reader sees an ordinary end.
type BrokenUploadError struct {
	cause error
}

// Error implements error.
func (e *BrokenUploadError) Error() string {
	return fmt.Sprintf("response ended with its connection before the request was written: %v", e.cause)
}

// Unwrap returns the cause.
func (e *BrokenUploadError) Unwrap() error { return e.cause }

// endsWithConnection reports whether only the end of the connection marks the end of a
// response.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// checkEnd returns a *BrokenUploadError if a response that ends with its connection cannot
// be known to be complete. It waits until the request is written or ctx ends, since a
// server may close its sending side and read on.
func checkEnd(ctx context.Context, response *http.Response, sent <-chan error) error {
	if !endsWithConnection(response) {
		return nil
	}
	select {
	case err := <-sent:
		if err != nil {
			return &BrokenUploadError{cause: err}
		}
		return nil
	case <-ctx.Done():
		return &BrokenUploadError{cause: ctx.Err()}
	}
}

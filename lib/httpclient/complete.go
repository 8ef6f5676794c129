package httpclient

import (
	"context"
	"net/http"

	"savorygap.example/lib/responseend"
)

// checkEnd returns a *responseend.BrokenUploadError if a response that ends with its
// connection cannot be known to be complete. It waits until the request is written or ctx
// ends, since a server may close its sending side and read on.
func checkEnd(ctx context.Context, response *http.Response, sent <-chan error) error {
	if !responseend.IsMarkedByConnection(response) {
		return nil
	}
	select {
	case err := <-sent:
		if err != nil {
			return responseend.NewBrokenUploadError(err)
		}
		return nil
	case <-ctx.Done():
		return responseend.NewBrokenUploadError(ctx.Err())
	}
}

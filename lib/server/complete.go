package server

import (
	"errors"
	"io"
	"net/http"

	"savorygap.example/lib/responseend"
)

// endCheckedBody is the body of a response that ends with its connection. It returns
// io.EOF only if the request was written to its end and no read failed.
type endCheckedBody struct {
	io.ReadCloser
	exchange *Exchange
	failure  error
}

// withCheckedEnd returns the response with a body that checks its end, if only the end of
// the connection marks it.
func (x *Exchange) withCheckedEnd(response *http.Response) *http.Response {
	if responseend.IsMarkedByConnection(response) {
		response.Body = &endCheckedBody{ReadCloser: response.Body, exchange: x}
	}
	return response
}

// Read implements io.Reader.
func (b *endCheckedBody) Read(p []byte) (int, error) {
	if b.failure != nil {
		return 0, b.failure
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.exchange.awaitWritten(); cause != nil {
			err = responseend.NewBrokenUploadError(cause)
		}
	}
	b.failure = err
	return n, err
}

// awaitWritten waits until the request body is written or the time of the request is over,
// and returns why it was not written to its end.
func (x *Exchange) awaitWritten() error {
	if x.writeDone == nil {
		return nil
	}
	select {
	case err := <-x.writeDone:
		x.writeDone <- err // for Finish, which waits for it too
		return err
	case <-x.ctx.Done():
		return x.ctx.Err()
	}
}

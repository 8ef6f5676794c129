package server

import (
	"errors"
	"io"
	"net/http"

	"savorygap.example/lib/responseend"
	"savorygap.example/lib/responsehead"
)

// endCheckedBody is the body of a response whose end is checked before it is reported. It
// returns io.EOF only if checkEnd returns no error and no read failed.
type endCheckedBody struct {
	io.ReadCloser
	checkEnd func() error
	failure  error
}

// withCheckedEnd returns the response with a body that checks its end, unless its length is
// stated. A response that ends with its connection is complete only if the request was
// written, and a chunked one only if its trailer is valid.
func (x *Exchange) withCheckedEnd(response *http.Response) *http.Response {
	switch {
	case responseend.IsMarkedByConnection(response):
		response.Body = &endCheckedBody{ReadCloser: response.Body, checkEnd: x.checkWritten}
	case response.ContentLength < 0:
		checkTrailer := func() error { return responsehead.CheckNames(response.Trailer) }
		response.Body = &endCheckedBody{ReadCloser: response.Body, checkEnd: checkTrailer}
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
		if cause := b.checkEnd(); cause != nil {
			err = cause
		}
	}
	b.failure = err
	return n, err
}

// checkWritten waits until the request body is written or the time of the request is over.
// It returns a *responseend.BrokenUploadError if the body was not written to its end.
func (x *Exchange) checkWritten() error {
	if x.writeDone == nil {
		return nil
	}
	select {
	case err := <-x.writeDone:
		x.writeDone <- err // for Finish, which waits for it too
		if err != nil {
			return responseend.NewBrokenUploadError(err)
		}
		return nil
	case <-x.ctx.Done():
		return responseend.NewBrokenUploadError(x.ctx.Err())
	}
}

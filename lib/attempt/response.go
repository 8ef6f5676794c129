package attempt

import (
	"io"
	"net/http"

	"savorygap.example/lib/load"
)

// Response is a server's response, complete or still streaming. Its function
// fields hide whether it comes from this host, from another node or from a
// recorded response.
type Response struct {
	status  int
	header  http.Header
	length  int64
	body    io.Reader
	trailer func() http.Header
	report  func() load.Report
	finish  func(bodyErr error) load.Report
}

// NewResponse returns a response. length is the length of the body in bytes, or
// -1 if it is unknown. trailer is called after the body was read. finish is
// called once, with the error that reading the body returned.
func NewResponse(status int, header http.Header, length int64, body io.Reader, trailer func() http.Header, report func() load.Report, finish func(error) load.Report) *Response {
	return &Response{status: status, header: header, length: length, body: body, trailer: trailer, report: report, finish: finish}
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.status }

// Header returns the HTTP header fields.
func (r *Response) Header() http.Header { return r.header }

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (r *Response) Length() int64 { return r.length }

// Body returns the body as a stream. The stream returns io.EOF only after the
// complete body.
func (r *Response) Body() io.Reader { return r.body }

// Trailer returns the HTTP trailer fields. Call it after the body was read.
func (r *Response) Trailer() http.Header { return r.trailer() }

// Report returns the newest load report of the server.
func (r *Response) Report() load.Report { return r.report() }

const (
	maxCopyBuffer = 32 << 10 // bytes
	minCopyBuffer = 512      // bytes
)

// CopyBuffer allocates a buffer for copying the body, no larger than the body
// needs.
func (r *Response) CopyBuffer() []byte {
	if r.length < 0 {
		return make([]byte, maxCopyBuffer)
	}
	return make([]byte, min(max(r.length+1, minCopyBuffer), maxCopyBuffer))
}

// Finish ends the response and returns the load report that results. bodyErr is
// the error that reading the body returned.
func (r *Response) Finish(bodyErr error) load.Report { return r.finish(bodyErr) }

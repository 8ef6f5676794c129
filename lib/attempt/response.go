package attempt

import (
	"io"
	"net/http"

	"savorygap.example/lib/load"
)

// Response is a server's answer, whole or still streaming. Its function fields
// hide whether it comes from this host, from a peer or from a record.
type Response struct {
	status  int
	header  http.Header
	length  int64
	body    io.Reader
	trailer func() http.Header
	report  func() load.Report
	finish  func(bodyErr error) load.Report
}

// NewResponse returns an answer. length is that of the body in bytes, -1 when it
// is not known. trailer is called after the body was read; finish is called
// once, with the error that reading the body gave.
func NewResponse(status int, header http.Header, length int64, body io.Reader, trailer func() http.Header, report func() load.Report, finish func(error) load.Report) *Response {
	return &Response{status: status, header: header, length: length, body: body, trailer: trailer, report: report, finish: finish}
}

// Status returns the HTTP status.
func (a *Response) Status() int { return a.status }

// Header returns the HTTP header fields.
func (a *Response) Header() http.Header { return a.header }

// Length returns the length of the body in bytes, -1 when it is not known.
func (a *Response) Length() int64 { return a.length }

// Body streams the body. It ends with io.EOF only when the body is whole.
func (a *Response) Body() io.Reader { return a.body }

// Trailer returns the HTTP trailer fields, once the body was read.
func (a *Response) Trailer() http.Header { return a.trailer() }

// Report returns the newest report on the server.
func (a *Response) Report() load.Report { return a.report() }

const (
	largestCopy  = 32 << 10 // bytes
	smallestCopy = 512      // bytes
)

// CopyBuffer returns a buffer for streaming the body, no larger than the body
// needs.
func (a *Response) CopyBuffer() []byte {
	if a.length < 0 {
		return make([]byte, largestCopy)
	}
	return make([]byte, min(max(a.length+1, smallestCopy), largestCopy))
}

// Finish ends the answer and returns the report on the server afterwards.
func (a *Response) Finish(bodyErr error) load.Report { return a.finish(bodyErr) }

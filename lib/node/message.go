package node

import (
	"net/http"

	"savorygap.example/lib/load"
)

// Head is the head of a response.
type Head struct {
	status int
	header http.Header
	length int64
	report load.Report
}

// NewHead returns the head of a response whose body has the given length in
// bytes, or -1 if it is not known.
func NewHead(status int, header http.Header, length int64, report load.Report) Head {
	return Head{status: status, header: header, length: length, report: report}
}

// Status returns the HTTP status.
func (h Head) Status() int { return h.status }

// Header returns the HTTP header fields.
func (h Head) Header() http.Header { return h.header }

// Length returns the length of the body in bytes, or -1 if it is not known.
func (h Head) Length() int64 { return h.length }

// Report returns the load report on the server.
func (h Head) Report() load.Report { return h.report }

// End marks the end of a body. Its length and digest let the receiver detect a
// truncated body.
type End struct {
	length  uint64
	digest  uint64
	trailer http.Header
	report  load.Report
}

// NewEnd returns the end of a body with its length in bytes and its xxHash64.
func NewEnd(length, digest uint64, trailer http.Header, report load.Report) End {
	return End{length: length, digest: digest, trailer: trailer, report: report}
}

// Length returns the length of the body in bytes.
func (e End) Length() uint64 { return e.length }

// Digest returns the xxHash64 of the body.
func (e End) Digest() uint64 { return e.digest }

// Trailer returns the HTTP trailer fields.
func (e End) Trailer() http.Header { return e.trailer }

// Report returns the load report on the server after the response.
func (e End) Report() load.Report { return e.report }

// Refusal reports that a call was not run.
type Refusal struct {
	reason    string
	permanent bool
	reported  bool
	report    load.Report
}

// NewRefusal returns a refusal; permanent means that other targets would
// refuse too.
func NewRefusal(reason string, permanent bool) Refusal {
	return Refusal{reason: reason, permanent: permanent}
}

// WithReport returns the refusal with a load report on the server.
func (r Refusal) WithReport(report load.Report) Refusal {
	r.report = report
	r.reported = true
	return r
}

// Reason returns why the call was not run.
func (r Refusal) Reason() string { return r.reason }

// Permanent reports whether other targets would refuse too.
func (r Refusal) Permanent() bool { return r.permanent }

// Report returns the load report on the server, if there is one.
func (r Refusal) Report() (load.Report, bool) { return r.report, r.reported }

// Failure reports that a call may have been run and has no complete response.
type Failure struct {
	reason string
}

// NewFailure returns a failure.
func NewFailure(reason string) Failure { return Failure{reason: reason} }

// Reason returns why there is no complete response.
func (f Failure) Reason() string { return f.reason }

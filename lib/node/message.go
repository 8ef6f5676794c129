package node

import (
	"net/http"

	"savorygap.example/lib/load"
)

// Head is the head of an answer.
type Head struct {
	status int
	header http.Header
	length int64
	report load.Report
}

// NewHead returns the head of an answer whose body has the given length in
// bytes, -1 when it is not known.
func NewHead(status int, header http.Header, length int64, report load.Report) Head {
	return Head{status: status, header: header, length: length, report: report}
}

// Status returns the HTTP status.
func (h Head) Status() int { return h.status }

// Header returns the HTTP header fields.
func (h Head) Header() http.Header { return h.header }

// Length returns the length of the body in bytes, -1 when it is not known.
func (h Head) Length() int64 { return h.length }

// Report returns the report on the server.
func (h Head) Report() load.Report { return h.report }

// End closes a body. Its length and digest let the receiver tell a whole body
// from a cut one.
type End struct {
	length  uint64
	digest  uint64
	trailer http.Header
	report  load.Report
}

// NewEnd returns the end of a body of length bytes with the xxHash64 digest.
func NewEnd(length, digest uint64, trailer http.Header, report load.Report) End {
	return End{length: length, digest: digest, trailer: trailer, report: report}
}

// Length returns the length of the body in bytes.
func (e End) Length() uint64 { return e.length }

// Digest returns the xxHash64 of the body.
func (e End) Digest() uint64 { return e.digest }

// Trailer returns the HTTP trailer fields.
func (e End) Trailer() http.Header { return e.trailer }

// Report returns the report on the server after the answer.
func (e End) Report() load.Report { return e.report }

// Refusal says that a call was not run.
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

// WithReport returns the refusal with a report on the server.
func (r Refusal) WithReport(report load.Report) Refusal {
	r.report = report
	r.reported = true
	return r
}

// Reason returns why the call was not run.
func (r Refusal) Reason() string { return r.reason }

// Permanent reports whether other targets would refuse too.
func (r Refusal) Permanent() bool { return r.permanent }

// Report returns the report on the server, if there is one.
func (r Refusal) Report() (load.Report, bool) { return r.report, r.reported }

// Failure says that a call may have been run and has no whole answer.
type Failure struct {
	reason string
}

// NewFailure returns a failure.
func NewFailure(reason string) Failure { return Failure{reason: reason} }

// Reason returns what went wrong.
func (f Failure) Reason() string { return f.reason }

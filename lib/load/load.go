// Package load defines the load report of a server, which is sent with every
// response.
//
// # Usage
//
//	r := load.NewReport(limit, inFlight, queued, latency).WithFailing(true)
//	if r.InFlight() < r.Limit() { ... }
//
// A report is already out of date when it arrives. Package balance discounts it
// by its age.
package load

import "time"

// Report is the load of a server as measured by the node on its host.
type Report struct {
	limit    int
	inFlight int
	queued   int
	latency  time.Duration
	failing  bool
	closed   bool
}

// NewReport returns a report. limit, inFlight and queued count requests;
// latency is the smoothed time until the head of a response.
func NewReport(limit, inFlight, queued int, latency time.Duration) Report {
	return Report{limit: limit, inFlight: inFlight, queued: queued, latency: latency}
}

// WithFailing returns the report with the flag that most requests to the server
// fail.
func (r Report) WithFailing(failing bool) Report {
	r.failing = failing
	return r
}

// WithClosed returns the report with the flag that the server accepts no new
// requests: it is draining, its announcement has expired or its data centre is
// out of service.
func (r Report) WithClosed(closed bool) Report {
	r.closed = closed
	return r
}

// Limit returns the concurrency limit of the server in requests.
func (r Report) Limit() int { return r.limit }

// InFlight returns the number of requests that the server is processing.
func (r Report) InFlight() int { return r.inFlight }

// Queued returns the number of requests in the queue of the node on the
// server's host.
func (r Report) Queued() int { return r.queued }

// Latency returns the smoothed time until the head of a response.
func (r Report) Latency() time.Duration { return r.latency }

// Failing reports whether most requests to the server fail.
func (r Report) Failing() bool { return r.failing }

// Closed reports whether the server accepts no new requests.
func (r Report) Closed() bool { return r.closed }

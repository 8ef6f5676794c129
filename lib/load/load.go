// Package load holds the report on a server that travels with every answer.
//
// # Usage
//
//	r := load.NewReport(limit, inFlight, queued, latency).Failing(true)
//	if r.Free() > 0 { ... }
//
// A report is already stale when it arrives; package balance discounts it by
// age.
package load

import "time"

// Report is what the node beside a server says of it.
type Report struct {
	limit    int
	inFlight int
	queued   int
	latency  time.Duration
	failing  bool
	closed   bool
}

// NewReport returns a report. limit, inFlight and queued count requests;
// latency is the smoothed time to the head of an answer.
func NewReport(limit, inFlight, queued int, latency time.Duration) Report {
	return Report{limit: limit, inFlight: inFlight, queued: queued, latency: latency}
}

// WithFailing returns the report with the mark that the server answers most
// requests with failures.
func (r Report) WithFailing(failing bool) Report {
	r.failing = failing
	return r
}

// WithClosed returns the report with the mark that the server admits nothing
// new: it drains, fell silent or its data centre is out of service.
func (r Report) WithClosed(closed bool) Report {
	r.closed = closed
	return r
}

// Limit returns how many requests the server may hold at once.
func (r Report) Limit() int { return r.limit }

// InFlight returns how many requests the server holds.
func (r Report) InFlight() int { return r.inFlight }

// Queued returns how many requests wait at the node beside the server.
func (r Report) Queued() int { return r.queued }

// Latency returns the smoothed time to the head of an answer.
func (r Report) Latency() time.Duration { return r.latency }

// Failing reports whether the server answers most requests with failures.
func (r Report) Failing() bool { return r.failing }

// Closed reports whether the server admits nothing new.
func (r Report) Closed() bool { return r.closed }

package admission

import (
	"time"

	"savorygap.example/lib/document"
)

// ID identifies a ticket within one gate.
type ID uint64

// Request is one request that asks for a slot.
type Request struct {
	id        ID
	class     document.Class
	depth     int
	short     bool
	impatient bool
	deadline  time.Time
	offered   time.Time
	passed    int
}

// NewRequest returns a ticket of the given class, nested depth calls deep, that
// is worthless after deadline.
func NewRequest(id ID, class document.Class, depth int, deadline time.Time) Request {
	return Request{id: id, class: class, depth: min(max(depth, 0), maxDepth), deadline: deadline}
}

// WithShort returns the ticket marked as cheap, so that it passes longer ones.
func (t Request) WithShort(short bool) Request {
	t.short = short
	return t
}

// WithFailFast returns the ticket marked as having other targets to go to, so
// that it is refused when the wait would be long.
func (t Request) WithFailFast(impatient bool) Request {
	t.impatient = impatient
	return t
}

// ID returns the id of the ticket.
func (t Request) ID() ID { return t.id }

// Class returns the class of the request.
func (t Request) Class() document.Class { return t.class }

// Reason says why a ticket was refused.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonNone Reason = iota
	ReasonClosed
	ReasonQueueFull
	ReasonDeadline
	ReasonBusy
	ReasonCancelled
)

var reasonNames = []string{"none", "closed", "queue-full", "deadline", "busy", "withdrawn"}

// String returns the name of the reason.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Status is the answer to a ticket.
type Status uint8

// The verdicts.
const (
	Granted Status = iota
	Queued
	Refused
)

// Decision is a verdict on one ticket.
type Decision struct {
	id      ID
	verdict Status
	reason  Reason
}

// ID returns the ticket that the decision is about.
func (d Decision) ID() ID { return d.id }

// Status returns the verdict.
func (d Decision) Status() Status { return d.verdict }

// Reason returns why a ticket was refused.
func (d Decision) Reason() Reason { return d.reason }

// Result is how the server dealt with a granted request.
type Result uint8

// The results.
const (
	// ResultSuccess is an answer that shows a sound server.
	ResultSuccess Result = iota
	// ResultFailure is an answer of status 500 or above, or a broken connection.
	ResultFailure
	// ResultOverload is an answer by which the server refuses load (429 or 503).
	ResultOverload
	// ResultIgnored says nothing about the server, such as a caller that left.
	ResultIgnored
)

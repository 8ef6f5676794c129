package admission

import (
	"time"

	"savorygap.example/lib/document"
)

// ID identifies a ticket within one gate.
type ID uint64

// Ticket is one request that asks for a slot.
type Ticket struct {
	id        ID
	class     document.Class
	depth     int
	short     bool
	impatient bool
	deadline  time.Time
	offered   time.Time
	passed    int
}

// NewTicket returns a ticket of the given class, nested depth calls deep, that
// is worthless after deadline.
func NewTicket(id ID, class document.Class, depth int, deadline time.Time) Ticket {
	return Ticket{id: id, class: class, depth: min(max(depth, 0), maxDepth), deadline: deadline}
}

// Short returns the ticket marked as cheap, so that it passes longer ones.
func (t Ticket) Short(short bool) Ticket {
	t.short = short
	return t
}

// Impatient returns the ticket marked as having other targets to go to, so
// that it is refused when the wait would be long.
func (t Ticket) Impatient(impatient bool) Ticket {
	t.impatient = impatient
	return t
}

// ID returns the id of the ticket.
func (t Ticket) ID() ID { return t.id }

// Class returns the class of the request.
func (t Ticket) Class() document.Class { return t.class }

// Reason says why a ticket was refused.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonNone Reason = iota
	ReasonClosed
	ReasonQueueFull
	ReasonDeadline
	ReasonBusy
	ReasonWithdrawn
)

var reasonNames = []string{"none", "closed", "queue-full", "deadline", "busy", "withdrawn"}

// String returns the name of the reason.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Verdict is the answer to a ticket.
type Verdict uint8

// The verdicts.
const (
	Granted Verdict = iota
	Queued
	Refused
)

// Decision is a verdict on one ticket.
type Decision struct {
	id      ID
	verdict Verdict
	reason  Reason
}

// ID returns the ticket that the decision is about.
func (d Decision) ID() ID { return d.id }

// Verdict returns the verdict.
func (d Decision) Verdict() Verdict { return d.verdict }

// Reason returns why a ticket was refused.
func (d Decision) Reason() Reason { return d.reason }

// Result is how the server dealt with a granted request.
type Result uint8

// The results.
const (
	// ResultGood is an answer that shows a sound server.
	ResultGood Result = iota
	// ResultFailed is an answer of status 500 or above, or a broken connection.
	ResultFailed
	// ResultShed is an answer by which the server refuses load (429 or 503).
	ResultShed
	// ResultNeutral says nothing about the server, such as a caller that left.
	ResultNeutral
)

package admission

import (
	"time"

	"savorygap.example/lib/document"
)

// ID identifies a request within one controller.
type ID uint64

// Request describes a request that needs a slot.
type Request struct {
	id          ID
	class       document.Class
	depth       int
	short       bool
	failFast    bool
	deadline    time.Time
	submittedAt time.Time
	bypasses    int
}

// NewRequest returns a request of the given class that must finish before
// deadline. depth is the number of calls that it is nested below.
func NewRequest(id ID, class document.Class, depth int, deadline time.Time) Request {
	return Request{id: id, class: class, depth: min(max(depth, 0), maxDepth), deadline: deadline}
}

// WithShort sets whether the request is cheap. Cheap requests are queued before
// others of the same class and depth.
func (r Request) WithShort(short bool) Request {
	r.short = short
	return r
}

// WithFailFast sets whether the request is refused instead of queued when the
// expected wait is long. Set it when the request can be sent to another target.
func (r Request) WithFailFast(failFast bool) Request {
	r.failFast = failFast
	return r
}

// ID returns the id of the request.
func (r Request) ID() ID { return r.id }

// Class returns the class of the request.
func (r Request) Class() document.Class { return r.class }

// Reason says why a request was refused.
type Reason uint8

// Reasons for a refusal.
const (
	// ReasonNone: the request was not refused.
	ReasonNone Reason = iota
	// ReasonClosed: the server admits no requests in its current state.
	ReasonClosed
	// ReasonQueueFull: the queue of the class has reached its capacity.
	ReasonQueueFull
	// ReasonDeadline: the request cannot finish before its deadline, or a nested
	// call waited too long.
	ReasonDeadline
	// ReasonBusy: the expected wait is too long for a fail-fast request.
	ReasonBusy
	// ReasonCancelled: the sender no longer waits for a decision.
	ReasonCancelled
)

var reasonNames = []string{"none", "closed", "queue-full", "deadline", "busy", "withdrawn"}

// String returns the reason as it appears in logs, errors and state dumps.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Status says whether a request was granted a slot, queued or refused.
type Status uint8

// Statuses of a request.
const (
	Granted Status = iota
	Queued
	Refused
)

// Decision is the status of one request.
type Decision struct {
	id     ID
	status Status
	reason Reason
}

// ID returns the id of the request.
func (d Decision) ID() ID { return d.id }

// Status returns the status of the request.
func (d Decision) Status() Status { return d.status }

// Reason returns why the request was refused.
func (d Decision) Reason() Reason { return d.reason }

// Result says how the server handled a granted request.
type Result uint8

// Results of a request.
const (
	// ResultSuccess is a response from a healthy server.
	ResultSuccess Result = iota
	// ResultFailure is a response with status 500 or above, or a broken
	// connection.
	ResultFailure
	// ResultOverload is a response by which the server sheds load (429 or 503).
	ResultOverload
	// ResultIgnored says nothing about the server, for example because the
	// caller disconnected.
	ResultIgnored
)

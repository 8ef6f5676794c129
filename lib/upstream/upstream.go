// Package placement names what a node that holds a request and the node beside
// a server say to each other: an ask for a place, an offer, the request, its
// answer.
//
// A Port is one server as its askers see it. The node beside the server
// implements it directly; the link to another node implements it by messages.
// Both report through events, so that the code that chooses does not know which
// of the two it talks to.
//
// # Usage
//
//	events := make(chan placement.Event, placement.EventsPerAsk*len(ports))
//	port.Ask(number, placement.NewAsk(service, rank), events)
//	if e := <-events; e.Kind() == placement.Offered { e.Port().Submit(e.Number(), request) }
//
// An ask ends with exactly one of Refused, NotRun, Answered and Unknown, unless
// it was withdrawn.
package upstream

import (
	"net/http"
	"time"
)

// MaxEvents is the largest number of events that one ask leads to: waiting,
// offered, slowed, and the end.
const MaxEvents = 4

// SlotRequest is a request for a place at a server.
type SlotRequest struct {
	service  string
	rank     int
	nested   bool
	patience time.Duration
	trace    string
	warn     bool
	ceiling  float64
}

// NewSlotRequest returns an ask for a place at a server of the service.
func NewSlotRequest(service string, rank int) SlotRequest {
	return SlotRequest{service: service, rank: rank}
}

// WithNested returns the ask marked as a call that a running request waits for.
func (a SlotRequest) WithNested(nested bool) SlotRequest {
	a.nested = nested
	return a
}

// WithMaxWait returns the ask with how long it may wait in line.
func (a SlotRequest) WithMaxWait(patience time.Duration) SlotRequest {
	a.patience = patience
	return a
}

// WithRequestID returns the ask with the id of the request, for the log.
func (a SlotRequest) WithRequestID(id string) SlotRequest {
	a.trace = id
	return a
}

// WithSlowdownNotice returns the ask with whether the asker wants to know when the server turns
// slow while it runs the request.
func (a SlotRequest) WithSlowdownNotice(warn bool) SlotRequest {
	a.warn = warn
	return a
}

// WithMaxSlowness returns the ask with the largest slowness of the server at which the
// request is worth starting; 0 means any.
func (a SlotRequest) WithMaxSlowness(ceiling float64) SlotRequest {
	a.ceiling = ceiling
	return a
}

// MaxSlowness returns the largest slowness at which the request is worth starting, 0
// for any.
func (a SlotRequest) MaxSlowness() float64 { return a.ceiling }

// WantsSlowdownNotice reports whether the asker wants to know when the server turns slow.
func (a SlotRequest) WantsSlowdownNotice() bool { return a.warn }

// Service returns the name of the service.
func (a SlotRequest) Service() string { return a.service }

// Priority returns the urgency; 0 is the most urgent.
func (a SlotRequest) Priority() int { return a.rank }

// IsNested reports whether a running request waits for this call.
func (a SlotRequest) IsNested() bool { return a.nested }

// MaxWait returns how long the ask may wait in line.
func (a SlotRequest) MaxWait() time.Duration { return a.patience }

// RequestID returns the id of the request.
func (a SlotRequest) RequestID() string { return a.trace }

// Request is a request on its way to a server. Its body is held whole.
type Request struct {
	id       string
	method   string
	uri      string
	host     string
	origin   string
	header   http.Header
	body     []byte
	deadline time.Time
}

// NewRequest returns a request with the id of the caller's attempt.
func NewRequest(id, method, uri, host string, header http.Header, body []byte) *Request {
	return &Request{id: id, method: method, uri: uri, host: host, header: header, body: body}
}

// WithOriginService returns the request with the service of the host where it began.
func (r *Request) WithOriginService(origin string) *Request {
	copied := *r
	copied.origin = origin
	return &copied
}

// WithDeadline returns the request with the time from which it is worthless.
func (r *Request) WithDeadline(deadline time.Time) *Request {
	copied := *r
	copied.deadline = deadline
	return &copied
}

// WithBody returns the request with its body.
func (r *Request) WithBody(body []byte) *Request {
	copied := *r
	copied.body = body
	return &copied
}

// ID returns the id of the caller's attempt.
func (r *Request) ID() string { return r.id }

// Method returns the method.
func (r *Request) Method() string { return r.method }

// URI returns the path and query.
func (r *Request) URI() string { return r.uri }

// Host returns the host.
func (r *Request) Host() string { return r.host }

// OriginService returns the service of the host where the request began.
func (r *Request) OriginService() string { return r.origin }

// Header returns the end-to-end header fields.
func (r *Request) Header() http.Header { return r.header }

// Body returns the body.
func (r *Request) Body() []byte { return r.body }

// Deadline returns the time from which the request is worthless.
func (r *Request) Deadline() time.Time { return r.deadline }

// Response is a server's whole answer.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// NewResponse returns an answer with its end-to-end header fields.
func NewResponse(status int, header http.Header, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the status code.
func (a *Response) Status() int { return a.status }

// Header returns the end-to-end header fields.
func (a *Response) Header() http.Header { return a.header }

// Body returns the body.
func (a *Response) Body() []byte { return a.body }

// EventKind says what happened to an ask.
type EventKind uint8

// The kinds of events.
const (
	// Offered means that a place is held for a short time.
	Offered EventKind = iota
	// Queued means that the ask waits in line.
	Queued
	// Refused means that there is no place.
	Refused
	// Answered means that the server answered in whole.
	Answered
	// NotRun means that a submitted request was certainly not run.
	NotRun
	// Unknown means that a submitted request may have run.
	Unknown
	// Slowed means that the server turned slow while it runs the request.
	Slowed
)

// Final reports whether the event is the last one of its ask.
func (k EventKind) Final() bool { return k != Offered && k != Queued && k != Slowed }

var kindNames = []string{"offered", "waiting", "refused", "answered", "not-run", "unknown", "slowed"}

// String returns the name of the kind.
func (k EventKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Event tells an asker what happened to its ask.
type Event struct {
	kind       EventKind
	port       *Endpoint
	number     uint64
	cost       float64
	reason     string
	retryAfter time.Duration
	answer     *Response
}

// NewEvent returns an event for the numbered ask.
func NewEvent(kind EventKind, number uint64) Event { return Event{kind: kind, number: number} }

// WithCost returns the event with what a request would cost here: the expected
// slowness, 1 for an idle server at its usual speed.
func (e Event) WithCost(cost float64) Event {
	e.cost = cost
	return e
}

// WithReason returns the event with why the ask ended as it did.
func (e Event) WithReason(reason string) Event {
	e.reason = reason
	return e
}

// WithRetryAfter returns the event with how long the asker does well to wait.
func (e Event) WithRetryAfter(d time.Duration) Event {
	e.retryAfter = d
	return e
}

// WithResponse returns the event with the server's answer.
func (e Event) WithResponse(a *Response) Event {
	e.answer = a
	return e
}

// WithEndpoint returns the event with the port that it comes from.
func (e Event) WithEndpoint(p *Endpoint) Event {
	e.port = p
	return e
}

// Kind returns what happened.
func (e Event) Kind() EventKind { return e.kind }

// Endpoint returns the port that the event comes from.
func (e Event) Endpoint() *Endpoint { return e.port }

// Number returns the number of the ask.
func (e Event) Number() uint64 { return e.number }

// Cost returns the expected slowness.
func (e Event) Cost() float64 { return e.cost }

// Reason returns why the ask ended as it did.
func (e Event) Reason() string { return e.reason }

// RetryAfter returns how long the asker does well to wait.
func (e Event) RetryAfter() time.Duration { return e.retryAfter }

// Response returns the server's answer.
func (e Event) Response() *Response { return e.answer }

// Endpoint is one server as its askers see it. Its fields are seams.
type Endpoint struct {
	node     string
	ask      func(number uint64, a SlotRequest, events chan<- Event)
	withdraw func(number uint64)
	submit   func(number uint64, r *Request)
	cancel   func(number uint64)
}

// NewEndpoint returns a port of the named node made of four functions.
func NewEndpoint(node string, ask func(uint64, SlotRequest, chan<- Event), withdraw func(uint64), submit func(uint64, *Request), cancel func(uint64)) *Endpoint {
	return &Endpoint{node: node, ask: ask, withdraw: withdraw, submit: submit, cancel: cancel}
}

// Node returns the name of the node beside the server.
func (p *Endpoint) Node() string { return p.node }

// Reserve asks for a place. The channel must hold EventsPerAsk events.
func (p *Endpoint) Reserve(number uint64, a SlotRequest, events chan<- Event) {
	p.ask(number, a, events)
}

// Withdraw gives up an ask or an offer.
func (p *Endpoint) Withdraw(number uint64) { p.withdraw(number) }

// Submit sends the request to the place that was offered.
func (p *Endpoint) Submit(number uint64, r *Request) { p.submit(number, r) }

// Cancel ends a submitted request whose caller has left.
func (p *Endpoint) Cancel(number uint64) { p.cancel(number) }

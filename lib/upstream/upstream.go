// Package upstream defines the protocol between a node that dispatches a
// request and the node next to the server that runs it: reserve a slot,
// receive an offer, submit the request, receive the response.
//
// An Endpoint is one server as the dispatching node sees it. The node next to
// the server implements it with direct calls; for other nodes, the link to
// that node implements it with messages. Both report through events, so the
// dispatcher handles local and remote servers alike.
//
// # Usage
//
//	events := make(chan upstream.Event, upstream.MaxEvents*len(endpoints))
//	endpoint.Reserve(number, upstream.NewSlotRequest(service, priority), events)
//	if e := <-events; e.Kind() == upstream.Offered { e.Endpoint().Submit(e.Number(), request) }
//
// A slot request ends with exactly one of Refused, NotRun, Answered and
// Unknown, unless it was withdrawn.
package upstream

import (
	"net/http"
	"time"
)

// MaxEvents is the largest number of events that one slot request produces:
// queued, offered, slowed, lost, silent, and the final one.
const MaxEvents = 6

// Request is an HTTP request to a server. Its whole body is held in memory.
type Request struct {
	id            string
	method        string
	uri           string
	host          string
	originService string
	header        http.Header
	body          []byte
	deadline      time.Time
	hedge         bool
}

// NewRequest returns an HTTP request; id identifies one attempt of the caller.
func NewRequest(id, method, uri, host string, header http.Header, body []byte) *Request {
	return &Request{id: id, method: method, uri: uri, host: host, header: header, body: body}
}

// WithOriginService returns a copy of the request with the service that runs
// on the host where it was made.
func (r *Request) WithOriginService(originService string) *Request {
	copied := *r
	copied.originService = originService
	return &copied
}

// WithDeadline returns a copy of the request with the time after which the
// caller no longer waits for the response.
func (r *Request) WithDeadline(deadline time.Time) *Request {
	copied := *r
	copied.deadline = deadline
	return &copied
}

// WithHeader returns a copy of the request with the end-to-end header fields.
func (r *Request) WithHeader(header http.Header) *Request {
	copied := *r
	copied.header = header
	return &copied
}

// WithBody returns a copy of the request with the body.
func (r *Request) WithBody(body []byte) *Request {
	copied := *r
	copied.body = body
	return &copied
}

// ID returns the id of the caller's attempt.
func (r *Request) ID() string { return r.id }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// URI returns the path and query.
func (r *Request) URI() string { return r.uri }

// Host returns the value of the Host header field.
func (r *Request) Host() string { return r.host }

// OriginService returns the service that runs on the host where the request
// was made.
func (r *Request) OriginService() string { return r.originService }

// Header returns the end-to-end header fields.
func (r *Request) Header() http.Header { return r.header }

// Body returns the body.
func (r *Request) Body() []byte { return r.body }

// Deadline returns the time after which the caller no longer waits for the
// response.
func (r *Request) Deadline() time.Time { return r.deadline }

// Response is a complete HTTP response.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// NewResponse returns a response; header holds the end-to-end header fields
// only.
func NewResponse(status int, header http.Header, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the status code.
func (r *Response) Status() int { return r.status }

// Header returns the end-to-end header fields.
func (r *Response) Header() http.Header { return r.header }

// Body returns the body.
func (r *Response) Body() []byte { return r.body }

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events.
const (
	// Offered means that a slot is reserved for a short time.
	Offered EventKind = iota
	// Queued means that the slot request waits for a slot.
	Queued
	// Refused means that the server has no slot for the request.
	Refused
	// Answered means that the server's complete response arrived.
	Answered
	// NotRun means that a submitted request was certainly not run.
	NotRun
	// Unknown means that a submitted request may have run.
	Unknown
	// Slowed means that the server slowed down while running the request.
	Slowed
	// Silent means that nothing is heard any more from the node next to the server.
	// The request goes on there, and its response may still arrive.
	Silent
	// Lost means that the connection to the server was lost before the response arrived.
	// Unknown follows when the node next to the server has found out whether the server
	// has ended.
	Lost
)

// Final reports whether the event is the last one of its slot request.
func (k EventKind) Final() bool {
	return k != Offered && k != Queued && k != Slowed && k != Silent && k != Lost
}

var kindNames = []string{"offered", "waiting", "refused", "answered", "not-run", "unknown", "slowed", "silent", "lost"}

// String returns the name of the kind as it appears in logs.
func (k EventKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Event reports progress on one slot request to the node that made it.
type Event struct {
	kind       EventKind
	endpoint   *Endpoint
	number     uint64
	cost       float64
	pressure   float64
	busy       bool
	verdict    bool
	reason     string
	retryAfter time.Duration
	response   *Response
}

// NewEvent returns an event for the slot request with the given number.
func NewEvent(kind EventKind, number uint64) Event { return Event{kind: kind, number: number} }

// WithCost returns the event with the expected slowness of a request at this
// server: 1 for an idle server at its normal speed.
func (e Event) WithCost(cost float64) Event {
	e.cost = cost
	return e
}

// WithPressure returns the event with the share of recent requests, more urgent than
// this one, that found no slot at the server in time, from 0 to 1.
func (e Event) WithPressure(pressure float64) Event {
	e.pressure = pressure
	return e
}

// WithVerdict returns the event, of kind Unknown, with the statement that the node next to
// the server knows whether the server has ended, and has told all nodes if it has.
func (e Event) WithVerdict() Event {
	e.verdict = true
	return e
}

// HasVerdict reports whether the node next to the server knows whether the server has
// ended, and has told all nodes if it has.
func (e Event) HasVerdict() bool { return e.verdict }

// WithReason returns the event with the reason why the slot request ended.
func (e Event) WithReason(reason string) Event {
	e.reason = reason
	return e
}

// WithRetryAfter returns the event with the time to wait before a retry.
func (e Event) WithRetryAfter(d time.Duration) Event {
	e.retryAfter = d
	return e
}

// WithResponse returns the event with the server's response.
func (e Event) WithResponse(r *Response) Event {
	e.response = r
	return e
}

// WithEndpoint returns the event with the endpoint that sent it.
func (e Event) WithEndpoint(endpoint *Endpoint) Event {
	e.endpoint = endpoint
	return e
}

// Kind returns the kind of the event.
func (e Event) Kind() EventKind { return e.kind }

// Endpoint returns the endpoint that sent the event.
func (e Event) Endpoint() *Endpoint { return e.endpoint }

// Number returns the number of the slot request.
func (e Event) Number() uint64 { return e.number }

// Cost returns the expected slowness of a request at this server.
func (e Event) Cost() float64 { return e.cost }

// Pressure returns the share of recent requests, more urgent than this one, that
// found no slot at the server in time, from 0 to 1.
func (e Event) Pressure() float64 { return e.pressure }

// Reason returns the reason why the slot request ended.
func (e Event) Reason() string { return e.reason }

// RetryAfter returns the time to wait before a retry.
func (e Event) RetryAfter() time.Duration { return e.retryAfter }

// Response returns the server's response.
func (e Event) Response() *Response { return e.response }

// Endpoint is one server as dispatching nodes see it. Its function fields are
// implemented by the node next to the server or by the link to that node.
type Endpoint struct {
	node     string
	reserve  func(number uint64, r SlotRequest, events chan<- Event)
	withdraw func(number uint64)
	submit   func(number uint64, r *Request)
	cancel   func(number uint64)
}

// NewEndpoint returns an endpoint at the named node.
func NewEndpoint(node string, reserve func(uint64, SlotRequest, chan<- Event), withdraw func(uint64), submit func(uint64, *Request), cancel func(uint64)) *Endpoint {
	return &Endpoint{node: node, reserve: reserve, withdraw: withdraw, submit: submit, cancel: cancel}
}

// Node returns the name of the node next to the server.
func (e *Endpoint) Node() string { return e.node }

// Reserve asks for a slot. The channel must have room for MaxEvents events of
// each slot request that uses it.
func (e *Endpoint) Reserve(number uint64, r SlotRequest, events chan<- Event) {
	e.reserve(number, r, events)
}

// Withdraw cancels a slot request or releases an offered slot.
func (e *Endpoint) Withdraw(number uint64) { e.withdraw(number) }

// Submit sends the request to the server, using the slot that was offered.
func (e *Endpoint) Submit(number uint64, r *Request) { e.submit(number, r) }

// Cancel aborts a submitted request whose caller has disconnected.
func (e *Endpoint) Cancel(number uint64) { e.cancel(number) }

// Package attempt holds what one attempt at a request is made of: the Call that
// goes to a target and the Answer that comes back, whether the target is this
// node or another.
//
// # Usage
//
//	c := attempt.NewCall(requestID, service, address, timeout).
//		WithRequest(method, uri, host, header, length)
//	answer, err := run(ctx, c, body)
//	_, err = io.Copy(w, answer.Body())
//	report := answer.Finish(err)
//
// Errors are those of package outcome.
package attempt

import (
	"net/http"
	"time"

	"savorygap.example/lib/document"
)

// Call is one attempt at a request, as one node sends it to another.
type Call struct {
	requestID  string
	service    string
	address    string
	method     string
	uri        string
	host       string
	header     http.Header
	length     int64
	class      document.Class
	depth      int
	timeout    time.Duration
	short      bool
	impatient  bool
	key        string
	keyCreated time.Time
	inquiry    bool
	hold       bool
	trailers   []string
	trailer    func() http.Header
	granted    func()
	revision   document.Revision
}

// NewCall returns a call for a server of a service. timeout is the time that
// remains when the call is sent; a peer's clock is never compared.
func NewCall(requestID, service, address string, timeout time.Duration) Call {
	return Call{requestID: requestID, service: service, address: address, timeout: timeout, header: http.Header{}}
}

// WithRequest returns the call with the HTTP request to make. length is the
// length of the body in bytes: 0 for none, -1 when it is not known.
func (c Call) WithRequest(method, uri, host string, header http.Header, length int64) Call {
	c.method = method
	c.uri = uri
	c.host = host
	c.header = header
	c.length = length
	return c
}

// WithPriority returns the call with what admission weighs.
func (c Call) WithPriority(class document.Class, depth int, short, impatient bool) Call {
	c.class = class
	c.depth = depth
	c.short = short
	c.impatient = impatient
	return c
}

// WithKey returns the call with an idempotency key and the time in it.
func (c Call) WithKey(key string, created time.Time) Call {
	c.key = key
	c.keyCreated = created
	return c
}

// WithFence returns the call as a question about its key: the target answers
// with the recorded answer or promises never to run the key.
func (c Call) WithFence() Call {
	c.inquiry = true
	return c
}

// WithExpectContinue returns the call with its body held back until the target has a slot
// for it, so that a refusal leaves the body unread.
func (c Call) WithExpectContinue() Call {
	c.hold = true
	return c
}

// WithTrailers returns the call with trailer fields of the given names; trailer
// yields their values once the body was read to its end.
func (c Call) WithTrailers(names []string, trailer func() http.Header) Call {
	c.trailers = names
	c.trailer = trailer
	return c
}

// TrailerNames returns the names of the trailer fields.
func (c Call) TrailerNames() []string { return c.trailers }

// Trailer returns the trailer fields, once the body was read to its end.
func (c Call) Trailer() http.Header {
	if c.trailer == nil {
		return nil
	}
	return c.trailer()
}

// WithOnAdmitted returns the call with a function that the target runs, in the
// goroutine that makes the attempt, when the request is about to be written.
func (c Call) WithOnAdmitted(granted func()) Call {
	c.granted = granted
	return c
}

// NotifyAdmitted runs the function set by OnGranted, if any.
func (c Call) NotifyAdmitted() {
	if c.granted != nil {
		c.granted()
	}
}

// WithAddress returns the call addressed to another server.
func (c Call) WithAddress(address string) Call {
	c.address = address
	return c
}

// WithTimeout returns the call with another remaining time.
func (c Call) WithTimeout(timeout time.Duration) Call {
	c.timeout = timeout
	return c
}

// WithRevision returns the call with the revision in force at the sender.
func (c Call) WithRevision(r document.Revision) Call {
	c.revision = r
	return c
}

// RequestID returns the id that logs of all nodes share.
func (c Call) RequestID() string { return c.requestID }

// Service returns the service that the call is for.
func (c Call) Service() string { return c.service }

// Address returns the address of the server on the target's host.
func (c Call) Address() string { return c.address }

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// URI returns path and query.
func (c Call) URI() string { return c.uri }

// Host returns the HTTP host that the caller asked for.
func (c Call) Host() string { return c.host }

// Header returns the HTTP header fields.
func (c Call) Header() http.Header { return c.header }

// Length returns the length of the body in bytes, -1 when it is not known.
func (c Call) Length() int64 { return c.length }

// Class returns the class of the request.
func (c Call) Class() document.Class { return c.class }

// Depth returns how many calls are above this one.
func (c Call) Depth() int { return c.depth }

// Timeout returns the remaining time.
func (c Call) Timeout() time.Duration { return c.timeout }

// Short reports whether the request is cheap.
func (c Call) Short() bool { return c.short }

// FailFast reports whether the sender has other targets to go to.
func (c Call) FailFast() bool { return c.impatient }

// Key returns the idempotency key, empty when there is none.
func (c Call) Key() string { return c.key }

// KeyCreated returns the time in the idempotency key.
func (c Call) KeyCreated() time.Time { return c.keyCreated }

// Fence reports whether the call only asks about its key.
func (c Call) Fence() bool { return c.inquiry }

// ExpectContinue reports whether the body waits for the target's slot.
func (c Call) ExpectContinue() bool { return c.hold }

// Revision returns the revision in force at the sender.
func (c Call) Revision() document.Revision { return c.revision }

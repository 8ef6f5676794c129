// Package attempt defines one attempt at a request: the Call that is sent to a
// target and the Response that comes back. Both are the same for targets on
// this host and on other hosts.
//
// # Usage
//
//	c := attempt.NewCall(requestID, service, address, timeout).
//		WithRequest(method, uri, host, header, length)
//	response, err := run(ctx, c, body)
//	_, err = io.Copy(w, response.Body())
//	report := response.Finish(err)
//
// The error types of attempts are in package outcome.
package attempt

import (
	"net/http"
	"time"

	"savorygap.example/lib/document"
)

// Call is one attempt at a request, as one node sends it to another.
type Call struct {
	requestID      string
	service        string
	address        string
	method         string
	uri            string
	host           string
	header         http.Header
	length         int64
	class          document.Class
	depth          int
	timeout        time.Duration
	short          bool
	failFast       bool
	key            string
	keyCreated     time.Time
	fence          bool
	expectContinue bool
	trailerNames   []string
	trailer        func() http.Header
	onAdmitted     func()
	revision       document.Revision
}

// NewCall returns a call to the server of a service at address. timeout is the
// time that remains when the call is sent. Calls carry no absolute deadline, so
// the clocks of two nodes are never compared.
func NewCall(requestID, service, address string, timeout time.Duration) Call {
	return Call{requestID: requestID, service: service, address: address, timeout: timeout, header: http.Header{}}
}

// WithRequest returns the call with the HTTP request to send. length is the
// length of the body in bytes: 0 for no body, -1 if it is unknown.
func (c Call) WithRequest(method, uri, host string, header http.Header, length int64) Call {
	c.method = method
	c.uri = uri
	c.host = host
	c.header = header
	c.length = length
	return c
}

// WithPriority returns the call with the properties that admission control
// considers.
func (c Call) WithPriority(class document.Class, depth int, short, failFast bool) Call {
	c.class = class
	c.depth = depth
	c.short = short
	c.failFast = failFast
	return c
}

// WithKey returns the call with an idempotency key and the creation time that
// the key contains.
func (c Call) WithKey(key string, created time.Time) Call {
	c.key = key
	c.keyCreated = created
	return c
}

// WithFence returns the call as a query about its key that does not run the
// request. The target returns the recorded response, or fences the key, that
// is, guarantees that it will never run it.
func (c Call) WithFence() Call {
	c.fence = true
	return c
}

// WithExpectContinue returns the call with its body held back until the target
// has granted a slot. If the target refuses the call, the body is still unread
// and can be sent to another target.
func (c Call) WithExpectContinue() Call {
	c.expectContinue = true
	return c
}

// WithTrailers returns the call with trailer fields of the given names. trailer
// returns their values after the body was read to its end.
func (c Call) WithTrailers(names []string, trailer func() http.Header) Call {
	c.trailerNames = names
	c.trailer = trailer
	return c
}

// TrailerNames returns the names of the trailer fields.
func (c Call) TrailerNames() []string { return c.trailerNames }

// Trailer returns the trailer fields. Call it after the body was read to its
// end.
func (c Call) Trailer() http.Header {
	if c.trailer == nil {
		return nil
	}
	return c.trailer()
}

// WithOnAdmitted returns the call with a function that the target calls just
// before it writes the request to the server. It runs in the goroutine that
// makes the attempt.
func (c Call) WithOnAdmitted(onAdmitted func()) Call {
	c.onAdmitted = onAdmitted
	return c
}

// NotifyAdmitted calls the function set by WithOnAdmitted, if any.
func (c Call) NotifyAdmitted() {
	if c.onAdmitted != nil {
		c.onAdmitted()
	}
}

// WithAddress returns the call with the server address replaced.
func (c Call) WithAddress(address string) Call {
	c.address = address
	return c
}

// WithTimeout returns the call with the remaining time replaced.
func (c Call) WithTimeout(timeout time.Duration) Call {
	c.timeout = timeout
	return c
}

// WithRevision returns the call with the configuration revision that is in
// force at the sender.
func (c Call) WithRevision(r document.Revision) Call {
	c.revision = r
	return c
}

// RequestID returns the id under which all nodes log the request.
func (c Call) RequestID() string { return c.requestID }

// Service returns the name of the service that is called.
func (c Call) Service() string { return c.service }

// Address returns the address of the server on the target's host.
func (c Call) Address() string { return c.address }

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// URI returns the path and query.
func (c Call) URI() string { return c.uri }

// Host returns the HTTP host that the caller requested.
func (c Call) Host() string { return c.host }

// Header returns the HTTP header fields.
func (c Call) Header() http.Header { return c.header }

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (c Call) Length() int64 { return c.length }

// Class returns the class of the request.
func (c Call) Class() document.Class { return c.class }

// Depth returns the number of calls that this one is nested below.
func (c Call) Depth() int { return c.depth }

// Timeout returns the remaining time at the moment of sending.
func (c Call) Timeout() time.Duration { return c.timeout }

// Short reports whether the request is cheap.
func (c Call) Short() bool { return c.short }

// FailFast reports whether the target should refuse the call instead of
// queueing it for long, because the sender can try another target.
func (c Call) FailFast() bool { return c.failFast }

// Key returns the idempotency key, or an empty string if there is none.
func (c Call) Key() string { return c.key }

// KeyCreated returns the creation time that the idempotency key contains.
func (c Call) KeyCreated() time.Time { return c.keyCreated }

// Fence reports whether the call only queries or fences its key.
func (c Call) Fence() bool { return c.fence }

// ExpectContinue reports whether the body is held back until the target has
// granted a slot.
func (c Call) ExpectContinue() bool { return c.expectContinue }

// Revision returns the configuration revision that is in force at the sender.
func (c Call) Revision() document.Revision { return c.revision }

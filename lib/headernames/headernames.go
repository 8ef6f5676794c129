// Package headernames holds the names of the HTTP header fields that callers,
// nodes and servers exchange.
//
// The names depend on the platform: each front end supplies its own, so that
// the same code works with the callers and servers of any platform.
//
// # Usage
//
//	names := headernames.Default().WithAttemptID("X-Request-Id").WithTimeout("X-Timeout-Ms")
//	id := header.Get(names.AttemptID())
package headernames

import "net/http"

// Set holds the canonical name of each header field.
type Set struct {
	attemptID        string
	timeout          string
	expectedInstance string
	notRun           string
	signature        string
	load             string
	instanceID       string
	coldRemaining    string
	originService    string
	rateLimit        string
	leaving          string
	tenant           string
}

// Default returns the names used where the platform defines none.
func Default() Set {
	return Set{
		attemptID: "X-Request-Id", timeout: "X-Timeout-Ms", expectedInstance: "X-Expect-Server", notRun: "X-Not-Run",
		signature: "X-Server-Signature", load: "X-Server-Load", instanceID: "X-Server-Id", coldRemaining: "X-Cold-Ms", originService: "X-Origin-Service",
		rateLimit: "X-Rate-Limit", leaving: "X-Leaving", tenant: "X-Tenant",
	}
}

// WithAttemptID returns the set with the field that identifies one attempt of
// a caller.
func (s Set) WithAttemptID(name string) Set {
	s.attemptID = http.CanonicalHeaderKey(name)
	return s
}

// WithTimeout returns the set with the field that holds how long the sender
// will wait, in whole milliseconds.
func (s Set) WithTimeout(name string) Set {
	s.timeout = http.CanonicalHeaderKey(name)
	return s
}

// WithExpectedInstance returns the set with the field that holds the id of the
// server instance a request is meant for.
func (s Set) WithExpectedInstance(name string) Set {
	s.expectedInstance = http.CanonicalHeaderKey(name)
	return s
}

// WithNotRun returns the set with the field by which a server states that it
// did not run the request.
func (s Set) WithNotRun(name string) Set {
	s.notRun = http.CanonicalHeaderKey(name)
	return s
}

// WithSignature returns the set with the field that holds the server's
// signature of its response.
func (s Set) WithSignature(name string) Set {
	s.signature = http.CanonicalHeaderKey(name)
	return s
}

// WithLoad returns the set with the field that holds the server's load report.
func (s Set) WithLoad(name string) Set {
	s.load = http.CanonicalHeaderKey(name)
	return s
}

// WithInstanceID returns the set with the field that holds the id of the
// server instance that responded.
func (s Set) WithInstanceID(name string) Set {
	s.instanceID = http.CanonicalHeaderKey(name)
	return s
}

// WithColdRemaining returns the set with the field that holds how many
// milliseconds of the server's cold start remain.
func (s Set) WithColdRemaining(name string) Set {
	s.coldRemaining = http.CanonicalHeaderKey(name)
	return s
}

// WithOriginService returns the set with the field that tells a server which
// service runs on the host where the request was made.
func (s Set) WithOriginService(name string) Set {
	s.originService = http.CanonicalHeaderKey(name)
	return s
}

// WithRateLimit returns the set with the field that holds how many requests per
// second the server takes from all nodes together, as a decimal number.
func (s Set) WithRateLimit(name string) Set {
	s.rateLimit = http.CanonicalHeaderKey(name)
	return s
}

// WithLeaving returns the set with the field by which a server states that it is
// about to leave.
func (s Set) WithLeaving(name string) Set {
	s.leaving = http.CanonicalHeaderKey(name)
	return s
}

// WithTenant returns the set with the field that tells a server the name of the tenant
// that a request belongs to.
func (s Set) WithTenant(name string) Set {
	s.tenant = http.CanonicalHeaderKey(name)
	return s
}

// AttemptID returns the field that identifies one attempt of a caller.
func (s Set) AttemptID() string { return s.attemptID }

// Timeout returns the field that holds how many milliseconds the sender will
// wait.
func (s Set) Timeout() string { return s.timeout }

// ExpectedInstance returns the field that holds the id of the server instance
// a request is meant for.
func (s Set) ExpectedInstance() string { return s.expectedInstance }

// NotRun returns the field by which a server states that it did not run the
// request.
func (s Set) NotRun() string { return s.notRun }

// Signature returns the field that holds the server's signature of its
// response.
func (s Set) Signature() string { return s.signature }

// Load returns the field that holds the server's load report.
func (s Set) Load() string { return s.load }

// InstanceID returns the field that holds the id of the server instance that
// responded.
func (s Set) InstanceID() string { return s.instanceID }

// ColdRemaining returns the field that holds how many milliseconds of the
// server's cold start remain.
func (s Set) ColdRemaining() string { return s.coldRemaining }

// OriginService returns the field that holds the service on the host where the
// request was made.
func (s Set) OriginService() string { return s.originService }

// RateLimit returns the field that holds how many requests per second the server
// takes.
func (s Set) RateLimit() string { return s.rateLimit }

// Leaving returns the field by which a server states that it is about to leave.
func (s Set) Leaving() string { return s.leaving }

// Tenant returns the field that holds the name of the tenant that a request belongs to.
func (s Set) Tenant() string { return s.tenant }

// Package vocabulary holds the names of the header fields that callers, nodes
// and servers exchange.
//
// The product reads and writes these fields but does not fix their names: each
// front end supplies its own, so that the same code serves callers of another
// platform.
//
// # Usage
//
//	names := vocabulary.New().WithAttempt("X-Request-Id").WithTimeLeft("X-Timeout-Ms")
//	id := header.Get(names.Attempt())
package headernames

import "net/http"

// Set holds one canonical header field name for each meaning.
type Set struct {
	attempt  string
	timeLeft string
	expected string
	refused  string
	seal     string
	load     string
	instance string
	coldLeft string
	origin   string
}

// Default returns the product's own names.
func Default() Set {
	return Set{
		attempt: "X-Request-Id", timeLeft: "X-Timeout-Ms", expected: "X-Expect-Server", refused: "X-Not-Run",
		seal: "X-Server-Signature", load: "X-Server-Load", instance: "X-Server-Id", coldLeft: "X-Cold-Ms", origin: "X-Origin-Service",
	}
}

// WithAttemptID returns the names with the field that carries the id of one
// attempt of a caller.
func (n Set) WithAttemptID(name string) Set {
	n.attempt = http.CanonicalHeaderKey(name)
	return n
}

// WithTimeout returns the names with the field that carries how long the
// sender will wait, in whole milliseconds.
func (n Set) WithTimeout(name string) Set {
	n.timeLeft = http.CanonicalHeaderKey(name)
	return n
}

// WithExpectedInstance returns the names with the field that tells a server which
// instance the request is meant for.
func (n Set) WithExpectedInstance(name string) Set {
	n.expected = http.CanonicalHeaderKey(name)
	return n
}

// WithNotRun returns the names with the field by which a server states that it
// did not run the request.
func (n Set) WithNotRun(name string) Set {
	n.refused = http.CanonicalHeaderKey(name)
	return n
}

// WithSignature returns the names with the field that holds a server's signature of
// its answer.
func (n Set) WithSignature(name string) Set {
	n.seal = http.CanonicalHeaderKey(name)
	return n
}

// WithLoad returns the names with the field in which a server tells its load.
func (n Set) WithLoad(name string) Set {
	n.load = http.CanonicalHeaderKey(name)
	return n
}

// WithInstanceID returns the names with the field in which a server tells its id.
func (n Set) WithInstanceID(name string) Set {
	n.instance = http.CanonicalHeaderKey(name)
	return n
}

// WithColdRemaining returns the names with the field in which a server tells for how
// many milliseconds it stays cold.
func (n Set) WithColdRemaining(name string) Set {
	n.coldLeft = http.CanonicalHeaderKey(name)
	return n
}

// WithOriginService returns the names with the field that tells a server which service
// runs on the host where the request began.
func (n Set) WithOriginService(name string) Set {
	n.origin = http.CanonicalHeaderKey(name)
	return n
}

// AttemptID returns the field with the id of one attempt of a caller.
func (n Set) AttemptID() string { return n.attempt }

// Timeout returns the field with the milliseconds that the sender will wait.
func (n Set) Timeout() string { return n.timeLeft }

// ExpectedInstance returns the field with the id of the instance that is meant.
func (n Set) ExpectedInstance() string { return n.expected }

// NotRun returns the field that states that a request was not run.
func (n Set) NotRun() string { return n.refused }

// Signature returns the field with a server's signature.
func (n Set) Signature() string { return n.seal }

// Load returns the field with a server's load.
func (n Set) Load() string { return n.load }

// InstanceID returns the field with a server's id.
func (n Set) InstanceID() string { return n.instance }

// ColdRemaining returns the field with the milliseconds that a server stays cold.
func (n Set) ColdRemaining() string { return n.coldLeft }

// OriginService returns the field with the service of the host where a request began.
func (n Set) OriginService() string { return n.origin }

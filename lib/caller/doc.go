// Package caller speaks HTTP with the callers of services.
//
// Each request runs in the goroutine that net/http gives it. That goroutine
// owns the request's state chart and asks the router task where to go; attempts
// at targets go through a function field, which hides whether the target is
// this node or a peer.
//
// Callers learn the outcome from the header field Savorygap-Outcome: answered
// (the server's own answer), not-run (status 503, the request certainly did not
// run; 400, 404, 413 for requests that no server takes) or unknown (status 502
// or 504). An answer that breaks off resets the caller's connection.
//
// # Usage
//
//	h, err := caller.NewHandler(clock, requestChart, router, run, observe)
//	server := &http.Server{Handler: h}
package caller

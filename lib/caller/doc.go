// Package caller serves HTTP requests of the callers of services.
//
// Every request is handled in its net/http goroutine, which owns the request's
// state chart and asks the router task for targets. Attempts are made by an
// AttemptFunc, which hides whether a target is on this host or on another one.
//
// The response header field Savorygap-Outcome tells the caller the outcome:
//
//   - answered: the response is from a server.
//   - not-run: the request was definitely not run. The status is 503, or 400, 404
//     or 413 if no server would accept the request.
//   - unknown: the request may have run. The status is 502 or 504.
//
// If a response is truncated, the caller's connection is reset.
//
// # Usage
//
//	h := caller.NewHandler(clock, requestChart, router, runAttempt, observe)
//	server := &http.Server{Handler: h}
package caller

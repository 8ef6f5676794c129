// Package dispatch handles a caller's request from route matching to the
// response: it selects the route and the service, reserves a slot at the
// cheapest of several servers, sends the request there, and decides on retries
// and hedging.
//
// The Router is a task that owns the routes, the servers and the retry
// budgets. Each request runs in its own goroutine, queries the router by
// messages, and follows the chart "request".
//
// # Usage
//
//	r, err := dispatch.NewRouter(config, charts, clock, log, observer)
//	go r.Run(ctx)
//	response := r.Serve(ctx, dispatch.NewCall(request, path, received, timeLeft))
//
// Servers are asked for their cost when the request is sent, not ahead of
// time: their speed changes several times a second, so an earlier report would
// be stale.
package dispatch

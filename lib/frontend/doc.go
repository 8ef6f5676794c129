// Package front serves callers over HTTP/1.1.
//
// Each connection has two goroutines: one reads requests, also while earlier
// ones are under way, and one writes the answers in the order of the requests.
// Requests of one connection run side by side. When a caller closes its
// connection, all of its requests are cancelled.
//
// Heads are checked strictly before net/http parses them: a request whose
// framing two parsers might read differently is refused with 400 and its
// connection is closed, so that nothing hidden in it reaches a server.
//
// # Usage
//
//	f := front.New(config, serve, clock, log)
//	go f.Run(ctx, listener)
//	f.Drain()
package frontend

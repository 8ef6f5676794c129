// Package frontend serves HTTP/1.1 requests from callers.
//
// Each connection has two goroutines: one reads requests, even while earlier
// ones are in flight, and one writes the responses in the order of the requests.
// Pipelined requests run concurrently. When a caller closes its connection, all
// of its requests are cancelled.
//
// Headers are validated strictly before net/http parses them. A request whose
// framing two parsers might interpret differently is rejected with status 400
// and its connection is closed, which prevents request smuggling to a server.
//
// # Usage
//
//	f := frontend.New(config, serve, maxBufferedBytes, clock, log)
//	go f.Run(ctx, listener)
//	f.Drain()
package frontend

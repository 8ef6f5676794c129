// Package httpclient sends HTTP/1.1 requests to the server on this host. It
// writes each request exactly once and never retries.
//
// A response counts as an answer only if it is complete: it carries the ID of
// the request, the server's signature if it reports success, and the whole body.
// In all other cases the outcome is unknown, unless the server states that it
// did not run the request or no connection could be established.
//
// # Usage
//
//	c, err := httpclient.Dial(ctx, address, memory)
//	r := c.Exchange(ctx, names, instance, request, timeout)
//	if r.Outcome() == httpclient.Answered { ... r.Response() }
//	if r.Reusable() { pool = append(pool, c) }
package httpclient

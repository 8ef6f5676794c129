// Package hop sends requests to the server on this host, each one exactly once.
//
// One exchange is one write to one connection. An answer counts only when it is
// whole: it carries the server's signature when it is a success, the id of the
// request, and all of its body. Anything else leaves the outcome unknown, but
// for a statement by the server that it did not run the request, and for a
// connection to which nothing was written.
//
// # Usage
//
//	c, err := hop.Dial(ctx, address)
//	r := c.Exchange(ctx, names, instance, request)
//	if r.Outcome() == hop.Answered { ... r.Answer() }
//	if r.Reusable() { pool = append(pool, c) }
package httpclient

// Package server connects the node to the servers on its host. It receives
// their announcements, applies admission control to each server and sends every
// admitted request exactly once.
//
// The Registry is a task that tracks the servers. For each server it runs a
// Proxy, a task that owns the admission.Controller and the idle connections of
// the server. Send uses the request and response codecs of net/http without
// http.Transport, whose automatic retries could send a request twice.
//
// # Usage
//
//	r := server.NewRegistry(clock, serverChart, publish)
//	go r.Run(ctx)
//	p, ok := r.Lookup(ctx, "logview", "")
//	slot := p.Acquire(ctx, class, depth, false, true, deadline)
//	x, err := p.Send(ctx, slot, address, request)
//	_, err = io.Copy(w, x.Response().Body)
//	report := x.Finish(err)
package server

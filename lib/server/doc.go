// Package server speaks to the servers on this host: it takes their
// announcements, guards each of them, and sends each admitted request once.
//
// A Registry task knows the servers. For each it runs a Keeper task, which owns
// the gate of package admission and the idle connections. Send writes one
// request to one connection with the codecs of net/http but without its
// Transport, whose own retries would send a request twice.
//
// # Usage
//
//	r := server.NewRegistry(clock, serverChart, publish)
//	go r.Run(ctx)
//	k, ok := r.Lookup(ctx, "logview", "")
//	slot := k.Acquire(ctx, class, depth, false, true, deadline)
//	x, err := k.Send(ctx, slot, address, request)
//	_, err = io.Copy(w, x.Response().Body)
//	report := x.Finish(err)
package server

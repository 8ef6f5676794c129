// Package keeper is the task beside one server: it gives places at the server,
// sends requests to it, and follows what the server announces and answers.
//
// The life of the server is the chart "place", that of its data centre the
// chart "datacentre"; work is given only where the first is tagged "admitting"
// and the second "open". What may be held at once is decided by package place.
//
// # Usage
//
//	k, err := keeper.New(config, charts, clock, log)
//	go k.Run(ctx)
//	port := k.Port("host-1")
//	err = k.Announce(ctx, announcement)
//
// Work reaches a server only from its own keeper, so the bounds on a cold,
// draining or evacuated server hold without asking any other node.
package serverproxy

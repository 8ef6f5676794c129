// Package serverproxy forwards requests to one server, limits its concurrency
// and tracks its health.
//
// The chart "place" describes the life cycle of the server and the chart
// "datacentre" that of its data centre. New requests are admitted only while the
// first has the tag "admitting" and the second the tag "open". Package limiter
// decides how many requests may run concurrently.
//
// # Usage
//
//	p, err := serverproxy.New(config, charts, clock, log, observer, hooks)
//	go p.Run(ctx)
//	endpoint := p.Endpoint("host-1")
//	accepted := p.Announce(ctx, announcement)
//
// All requests to a server pass through its proxy, so the limits for a cold,
// draining or evacuated server hold without coordination between nodes.
package serverproxy

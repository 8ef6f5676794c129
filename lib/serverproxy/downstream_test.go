package serverproxy_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/downstream"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/serverproxy"
	"savorygap.example/lib/upstream"
)

func withDownstream(c serverproxy.Config) serverproxy.Config {
	return c.WithDownstream(func(id, of string) bool { return strings.HasPrefix(id, of+".") })
}

// ask asks for a slot for a request of the route "report" or "other" and returns the reply.
func (r *rig) ask(number uint64, route string, nested bool, maxWait time.Duration) upstream.Event {
	events := make(chan upstream.Event, upstream.MaxEvents)
	priority := 2
	if route == "order" {
		priority = 1 // more urgent than the runs that call this service
	}
	request := upstream.NewSlotRequest("shop", priority).WithRoute(route).WithNested(nested).WithMaxWait(maxWait).WithRequestID(fmt.Sprint("id-", number))
	r.proxy.Reserve(limiter.NewKey(1, number), request, func(e upstream.Event) { events <- e })
	return <-events
}

// TestCalledServiceShortOfRoom_RunsAreRefusedAtOnce guards against runs that are started
// although the service that they call has no room, and against nested calls, other routes
// or a node without the setting that are refused with them.
func TestCalledServiceShortOfRoom_RunsAreRefusedAtOnce(t *testing.T) {
	for name, adapt := range map[string]func(serverproxy.Config) serverproxy.Config{
		"with": withDownstream, "without": func(c serverproxy.Config) serverproxy.Config { return c },
	} {
		r := newRigWith(t, adapt)
		must.True(t, r.announce(announcement("i-1", 1, 1)))
		r.awaitState("open")
		must.Eq(t, upstream.Offered, r.ask(1, "report", false, 0).Kind())
		r.submit(1, "id-1", time.Hour)
		<-r.server.requests
		route, priority, ok := r.proxy.CallingRun(context.Background(), "id-1.2.3", "stock")
		_, _, other := r.proxy.CallingRun(context.Background(), "id-10.2", "stock")
		must.False(t, other)
		must.Eq(t, name == "with", ok)
		if ok {
			must.Eq(t, "report", route)
			must.Eq(t, 2, priority)
		}
		for range 60 {
			r.proxy.ReportPressure("report", "stock", 1)
			r.run(5 * tick)
		}
		refused := 0
		for n := range uint64(40) {
			e := r.ask(100+n, "report", false, 0)
			if e.Kind() != upstream.Refused {
				r.proxy.Withdraw(limiter.NewKey(1, 100+n))
				continue
			}
			refused++
			must.Eq(t, downstream.Reason, e.Reason())
			must.Less(t, e.RetryAfter(), 200*time.Millisecond)
		}
		must.Eq(t, name == "with", refused > 20, must.Sprint(name, refused))
		must.Eq(t, upstream.Offered, r.ask(200, "report", true, 0).Kind())
		must.Eq(t, upstream.Offered, r.ask(201, "other", false, 0).Kind())
	}
}

// TestFullServer_StatesPressureToNestedCalls guards against a node beside a calling server
// that does not learn that requests find no room here.
func TestFullServer_StatesPressureToNestedCalls(t *testing.T) {
	r := newRigWith(t, withDownstream)
	must.True(t, r.announce(announcement("i-1", 1, 1)))
	r.awaitState("open")
	for n := range uint64(8) {
		must.Eq(t, upstream.Offered, r.ask(n, "order", false, 0).Kind())
	}
	must.Eq(t, 0, r.ask(10, "report", true, 0).Pressure())
	for n := range uint64(24) {
		must.Eq(t, upstream.Queued, r.ask(20+n, "order", false, 30*time.Millisecond).Kind())
	}
	r.run(5 * tick)
	must.Between(t, 0.7, r.ask(50, "report", true, 0).Pressure(), 0.8)
	must.Eq(t, 0, r.ask(51, "order", false, 0).Pressure())
}

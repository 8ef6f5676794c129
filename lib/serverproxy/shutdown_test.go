package serverproxy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/limiter"
	"savorygap.example/lib/upstream"
)

// reserveFor asks for a slot for a request that has timeLeft and takes latency.
func (r *rig) reserveFor(number uint64, timeLeft, latency time.Duration) chan upstream.Event {
	events := make(chan upstream.Event, upstream.MaxEvents)
	request := upstream.NewSlotRequest("shop", 1).WithMaxWait(timeLeft).WithTimes(timeLeft, latency)
	r.proxy.Reserve(limiter.NewKey(1, number), request, func(e upstream.Event) { events <- e })
	return events
}

// TestStop_RequestThatOutlivesTheProcessIsRefused guards against work for callers of other
// nodes that is broken off when this process ends: each request must either have time to
// end, or be refused while its sender can go elsewhere.
func TestStop_RequestThatOutlivesTheProcessIsRefused(t *testing.T) {
	const end = 5 * time.Second
	for name, c := range map[string]struct {
		after, timeLeft, latency time.Duration
		want                     upstream.EventKind
	}{
		"too long at once":       {0, 30 * time.Second, 3 * time.Second, upstream.Refused},
		"short, long deadline":   {0, 30 * time.Second, 200 * time.Millisecond, upstream.Offered},
		"short, but too late":    {4800 * time.Millisecond, 30 * time.Second, 200 * time.Millisecond, upstream.Refused},
		"deadline before end":    {4 * time.Second, 900 * time.Millisecond, 900 * time.Millisecond, upstream.Offered},
		"unknown deadline":       {4800 * time.Millisecond, 0, 0, upstream.Offered},
		"deadline after the end": {4 * time.Second, 1100 * time.Millisecond, 900 * time.Millisecond, upstream.Refused},
	} {
		r := newOpenRig(t)
		r.proxy.StopAt(upstream.NewShutdown(r.clock.Now().Add(end)))
		r.run(c.after)
		must.Eq(t, c.want, (<-r.reserveFor(1, c.timeLeft, c.latency)).Kind(), must.Sprint(name))
	}
}

// TestStop_QueueAndOffersAreRefusedInTime has requests wait, and an offer unused, when the
// stop begins. They are refused while their senders can go elsewhere.
func TestStop_QueueAndOffersAreRefusedInTime(t *testing.T) {
	r := newOpenRig(t)
	for n := range uint64(8) {
		r.mustOffer(n + 1)
		r.submit(n+1, "id", time.Hour)
		<-r.server.requests
	}
	waiting := r.reserveFor(20, time.Hour, time.Second)
	must.Eq(t, upstream.Queued, (<-waiting).Kind())
	r.proxy.StopAt(upstream.NewShutdown(r.clock.Now().Add(5 * time.Second)))
	r.run(2900 * time.Millisecond)
	must.Eq(t, 0, len(waiting))
	r.run(200 * time.Millisecond)
	must.Eq(t, upstream.Refused, (<-waiting).Kind())

	r = newOpenRig(t)
	offered := r.reserveFor(1, time.Hour, time.Second)
	must.Eq(t, upstream.Offered, (<-offered).Kind())
	r.proxy.StopAt(upstream.NewShutdown(r.clock.Now().Add(time.Second)))
	must.Eq(t, upstream.Refused, (<-offered).Kind())
	r.submit(1, "id-1", time.Hour)
	r.settle()
	must.Eq(t, 0, len(r.server.requests))
}

package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/upstream"
)

// TestTell_HandledOnceThePeerHasHandledIt guards against a request that is sent to the next
// server while a peer does not know yet that one has ended under it.
func TestTell_HandledOnceThePeerHasHandledIt(t *testing.T) {
	dialled, accepted := connect(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gate := &gatedConn{Conn: accepted, open: make(chan chan struct{}, 1)}
	gate.open <- closedChannel()
	a, b := newEnd(ctx, t, dialled, "b"), newEnd(ctx, t, gate, "a")
	records, handled := quarantine.Struck([]quarantine.Fingerprint{7, 8}), make(chan struct{}, 2)
	resume := gate.pause()
	a.link.TellSuspicions(records, handled)
	time.Sleep(50 * time.Millisecond)
	must.Eq(t, 0, len(handled))
	resume()
	<-handled
	must.Eq(t, records, <-b.suspicions)
	cancel()
	must.Error(t, <-a.closed)
	// The inbox of an ended link takes some of the messages.
	for range 50 {
		a.link.TellSuspicions(records, handled)
		<-handled
	}
}

// TestLostRequestEndsWithTheVerdict guards against a final event that is taken for the end
// of a request before the verdict on its server.
func TestLostRequestEndsWithTheVerdict(t *testing.T) {
	a, b, _ := pair(t)
	events := make(chan upstream.Event, upstream.MaxEvents)
	a.link.Endpoint().Reserve(1, upstream.NewSlotRequest("shop", 1), events)
	reply := (<-b.slotRequests).reply
	reply(upstream.NewEvent(upstream.Lost, 1).WithReason("lost"))
	got := <-events
	must.Eq(t, upstream.Lost, got.Kind())
	must.False(t, got.Kind().Final())
	reply(upstream.NewEvent(upstream.Unknown, 1).WithReason("lost").WithVerdict())
	got = <-events
	must.Eq(t, upstream.Unknown, got.Kind())
	must.True(t, got.HasVerdict())
}

package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/link"
	"savorygap.example/lib/upstream"
)

// silentCall is a read at the server of a, whose node is silent.
type silentCall struct {
	clock  *clockwork.FakeClock
	router *dispatch.Router
	a      *fakeServer
	events chan<- upstream.Event
	done   chan *upstream.Response
}

func newSilentCall(t *testing.T, limits dispatch.RetryLimits, others ...*fakeServer) *silentCall {
	t.Helper()
	// Contexts run on the clock of the machine, so this one is ahead of it.
	clock := clockwork.NewFakeClockAt(time.Now().Add(time.Hour))
	a := newFakeServer("a", "shop", 1)
	c := &silentCall{clock: clock, a: a, router: newRouterWith(t, clock, limits, append(others, a)...), done: make(chan *upstream.Response, 1)}
	go func() { c.done <- c.router.Serve(context.Background(), callAt(clock.Now(), "/read/1", "id")) }()
	<-a.submitted
	c.events = <-a.pending
	c.send(upstream.Silent)
	return c
}

// send sends an event under each number that the request may have.
func (c *silentCall) send(kind upstream.EventKind) {
	for n := range uint64(4) {
		e := upstream.NewEvent(kind, n)
		if kind == upstream.Answered {
			e = respondWith(http.StatusOK)(n)
		}
		c.events <- e.WithEndpoint(c.a.endpoint)
	}
}

// run moves the clock until the call has ended or d has passed.
func (c *silentCall) run(d time.Duration) {
	for passed := time.Duration(0); passed < d && len(c.done) == 0; passed += 10 * time.Millisecond {
		c.clock.Advance(10 * time.Millisecond)
		time.Sleep(2 * time.Millisecond)
	}
}

func peerOf(s *fakeServer) fleet.Peer {
	return fleet.NewPeer(s.node, s.dataCentre, link.NewServerState(s.service, "i-"+s.node, true), s.endpoint)
}

// TestServe_SilentNodeHasASlotLookedForAgain guards against a read that gets no response
// within its time: no other server has a slot when its node falls silent, for example since
// the link to it is silent too, and one has later.
func TestServe_SilentNodeHasASlotLookedForAgain(t *testing.T) {
	limits := dispatch.NewRetryLimits(0.2, 50, 10*time.Second)
	c := newSilentCall(t, limits)
	c.run(150 * time.Millisecond)
	must.Eq(t, 0, len(c.done))
	b := newFakeServer("b", "shop", 5)
	b.finalEvent = respondWith(http.StatusAccepted)
	c.router.SetPeers([]fleet.Peer{peerOf(c.a), peerOf(b)})
	c.run(220 * time.Millisecond)
	must.Eq(t, 1, len(c.done))
	must.Eq(t, http.StatusAccepted, (<-c.done).Status())
	must.Eq(t, 1, len(b.submitted))
	must.Eq(t, 1, len(c.a.cancelled))

	// Without any other server, the response of the first one counts.
	c = newSilentCall(t, limits)
	c.run(350 * time.Millisecond)
	c.send(upstream.Answered)
	must.Eq(t, http.StatusOK, (<-c.done).Status())
}

// TestServe_SilentNodeIsHedgedWithinTheBudget guards against searches that go on, and
// reserve slots, while the budget for retries allows no hedge, and against a crowd of them
// while no server has a slot.
func TestServe_SilentNodeIsHedgedWithinTheBudget(t *testing.T) {
	b := newFakeServer("b", "shop", 5)
	c := newSilentCall(t, dispatch.NewRetryLimits(0, 0, 0), b)
	before := len(b.slotRequests)
	c.run(350 * time.Millisecond)
	must.LessEq(t, before+1, len(b.slotRequests))
	must.Eq(t, 0, len(b.submitted))
	c.send(upstream.Answered)
	must.Eq(t, http.StatusOK, (<-c.done).Status())

	b = newFakeServer("b", "shop", 5)
	b.refusal = "no place"
	c = newSilentCall(t, dispatch.NewRetryLimits(0.2, 50, 10*time.Second), b)
	before = len(b.slotRequests)
	c.run(350 * time.Millisecond)
	must.Between(t, before+2, len(b.slotRequests), before+4)
	c.send(upstream.Answered)
	must.Eq(t, http.StatusOK, (<-c.done).Status())
}

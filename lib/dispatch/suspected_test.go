package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/upstream"
)

// TestServe_SuspectedServerIsAskedWhenTheOthersAreFull guards against a request that is
// refused although a server has free slots: the server's reply came late once, as happens
// beside load, and all others are full.
func TestServe_SuspectedServerIsAskedWhenTheOthersAreFull(t *testing.T) {
	full, late := newFakeServer("full", "shop", 1), newFakeServer("late", "shop", 1)
	full.finalEvent, late.finalEvent = respondWith(http.StatusOK), respondWith(http.StatusAccepted)
	late.mute = true
	// The clock moves by a few milliseconds only, so that the server stays suspected. It is
	// ahead of that of the machine, on which contexts run.
	clock := clockwork.NewFakeClockAt(time.Now().Add(time.Hour))
	r := newRouterWith(t, clock, dispatch.NewRetryLimits(0.2, 50, 10*time.Second), full, late)
	serve := func(id string) int {
		done := make(chan *upstream.Response, 1)
		go func() { done <- r.Serve(context.Background(), callAt(clock.Now(), "/order/1", id)) }()
		for {
			select {
			case response := <-done:
				return response.Status()
			case <-time.After(20 * time.Millisecond):
				clock.Advance(5 * time.Millisecond)
			}
		}
	}
	must.Eq(t, http.StatusOK, serve("first"))
	late.mute = false
	// As long as another server has a slot, the late one is not asked.
	asked := len(late.slotRequests)
	must.Eq(t, http.StatusOK, serve("second"))
	must.Eq(t, asked, len(late.slotRequests))
	full.refusal = "no place"
	must.Eq(t, http.StatusAccepted, serve("third"))
}

// TestServe_RefusalDoesNotWaitForASuspectedServer guards against refusals that come late,
// since a server that does not reply is asked as well.
func TestServe_RefusalDoesNotWaitForASuspectedServer(t *testing.T) {
	full, late := newFakeServer("full", "shop", 1), newFakeServer("late", "shop", 1)
	full.finalEvent = respondWith(http.StatusOK)
	late.mute = true
	r := newRouter(t, full, late)
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", "first")).Status())
	full.refusal = "no place"
	started := time.Now()
	// The request may queue for longer: half its time of 400 ms.
	must.Eq(t, http.StatusServiceUnavailable, r.Serve(context.Background(), call("/order/1", "second").WithNested(true)).Status())
	must.Less(t, 150*time.Millisecond, time.Since(started))
}

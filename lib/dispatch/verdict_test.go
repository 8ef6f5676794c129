package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/upstream"
)

// loseRequest has a read lose its connection to the server of a, and returns the channel of
// its events and that of its response.
func loseRequest(t *testing.T, r *dispatch.Router, a *fakeServer) (chan<- upstream.Event, <-chan *upstream.Response) {
	t.Helper()
	done := make(chan *upstream.Response, 1)
	go func() { done <- r.Serve(context.Background(), call("/read/1", "id")) }()
	<-a.submitted
	return <-a.pending, done
}

// TestServe_LostRequestIsSentAgainAfterTheVerdictOnly guards against a request that ends one
// server after the other: neither a retry nor a hedge may be sent while it is not known
// whether the first server has ended. The node beside it takes longer than verdictDelay.
func TestServe_LostRequestIsSentAgainAfterTheVerdictOnly(t *testing.T) {
	for _, held := range []bool{false, true} {
		a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 2)
		a.finalEvent, b.finalEvent = respondWith(http.StatusOK), respondWith(http.StatusOK)
		r := newRouter(t, a, b)
		// The route has a mean latency from now on, so that its requests are hedged.
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/other", "first")).Status())
		a.finalEvent = nil
		<-a.submitted
		events, done := loseRequest(t, r, a)
		sent := len(b.submitted)
		for n := range uint64(8) {
			events <- upstream.NewEvent(upstream.Lost, n).WithEndpoint(a.endpoint)
		}
		time.Sleep(150 * time.Millisecond)
		must.Eq(t, sent, len(b.submitted))
		if held {
			request := call("/read/1", "id").Request()
			r.ApplySuspicions([]quarantine.Record{quarantine.NewRecord(quarantine.FingerprintOf(request), quarantine.Held, time.Minute)})
		}
		for n := range uint64(8) {
			events <- upstream.NewEvent(upstream.Unknown, n).WithEndpoint(a.endpoint).WithReason("lost").WithVerdict()
		}
		status := (<-done).Status()
		if held {
			must.Eq(t, http.StatusBadGateway, status)
			must.Eq(t, sent, len(b.submitted))
		} else {
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, sent+1, len(b.submitted))
		}
	}
}

// TestServe_LostRequestIsSentAgainAtOnceAfterTheVerdict guards against retries that wait
// although the node beside the server has stated what became of it. The clock stands still.
func TestServe_LostRequestIsSentAgainAtOnceAfterTheVerdict(t *testing.T) {
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 2)
	a.finalEvent = func(number uint64) upstream.Event { return endWith(upstream.Unknown)(number).WithVerdict() }
	b.finalEvent = respondWith(http.StatusOK)
	clock := clockwork.NewFakeClock()
	r := newRouterWith(t, clock, dispatch.NewRetryLimits(0.2, 50, 10*time.Second), a, b)
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), callAt(clock.Now(), "/read/1", "id")).Status())
}

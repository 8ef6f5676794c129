package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/upstream"
)

// makeAmbiguous has two servers end under a request and a neighbour.
func makeAmbiguous(r *dispatch.Router, path string) {
	f := quarantine.FingerprintOf(call(path, "id").Request())
	for range 2 {
		r.ApplySuspicions(quarantine.Struck([]quarantine.Fingerprint{f, f + 1}))
	}
}

// TestServe_AmbiguousRequestGoesToOneServerOfAll guards against a deadly request that is not
// told from its neighbours, so that each node which sends it ends another server.
func TestServe_AmbiguousRequestGoesToOneServerOfAll(t *testing.T) {
	limits := dispatch.NewRetryLimits(0.2, 50, 10*time.Second)
	chosen := map[string]int{}
	for n := range 12 {
		path := fmt.Sprint("/read/", n)
		var servers []*fakeServer
		for _, name := range []string{"a", "b", "c", "d"} {
			s := newFakeServer(name, "shop", 1)
			s.finalEvent = respondWith(http.StatusOK)
			servers = append(servers, s)
		}
		for range 3 {
			clock := clockwork.NewFakeClockAt(time.Now().Add(time.Hour))
			r := newRouterWith(t, clock, limits, servers...)
			makeAmbiguous(r, path)
			r.Dump(t.Context())
			clock.Advance(time.Second)
			must.Eq(t, http.StatusOK, r.Serve(context.Background(), callAt(clock.Now(), path, "id")).Status())
		}
		used := 0
		for _, s := range servers {
			if len(s.submitted) > 0 {
				used++
				chosen[s.node]++
				must.Eq(t, 3, len(s.submitted))
			}
		}
		must.Eq(t, 1, used, must.Sprint(path))
	}
	must.Greater(t, 1, len(chosen))
}

// TestServe_AmbiguousRequestWaitsForAttemptsUnderWay guards against an ambiguous request that
// ends a further server while another one that has it is about to end.
func TestServe_AmbiguousRequestWaitsForAttemptsUnderWay(t *testing.T) {
	for _, third := range []bool{false, true} {
		clock := clockwork.NewFakeClockAt(time.Now().Add(time.Hour))
		a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 1)
		a.finalEvent, b.finalEvent = respondWith(http.StatusOK), respondWith(http.StatusOK)
		r := newRouterWith(t, clock, dispatch.NewRetryLimits(0.2, 50, 10*time.Second), a, b)
		makeAmbiguous(r, "/read/1")
		r.Dump(t.Context())
		done := make(chan *upstream.Response, 1)
		go func() { done <- r.Serve(context.Background(), callAt(clock.Now().Add(time.Second), "/read/1", "id")) }()
		for range 39 {
			time.Sleep(time.Millisecond)
			clock.Advance(10 * time.Millisecond)
		}
		must.Eq(t, 0, len(a.submitted)+len(b.submitted))
		if third {
			r.ApplySuspicions(quarantine.Struck([]quarantine.Fingerprint{quarantine.FingerprintOf(call("/read/1", "id").Request())}))
			r.Dump(t.Context())
		}
		for range 1000 {
			if len(done) > 0 {
				break
			}
			time.Sleep(time.Millisecond)
			clock.Advance(10 * time.Millisecond)
		}
		if third {
			must.Eq(t, http.StatusServiceUnavailable, (<-done).Status())
			must.Eq(t, 0, len(a.submitted)+len(b.submitted))
		} else {
			must.Eq(t, http.StatusOK, (<-done).Status())
			must.Eq(t, 1, len(a.submitted)+len(b.submitted))
		}
	}
}

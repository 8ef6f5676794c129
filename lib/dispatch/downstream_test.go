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
	"savorygap.example/lib/downstream"
	"savorygap.example/lib/upstream"
)

// TestServe_CalledServiceShortOfRoom_EndsTheSearch guards against a foreseen refusal that
// is sought again at other servers, or comes only after queueing.
func TestServe_CalledServiceShortOfRoom_EndsTheSearch(t *testing.T) {
	var servers []*fakeServer
	for n := range 2 {
		s := newFakeServer(fmt.Sprint("short-", n), "shop", 1)
		s.refusal = downstream.Reason
		servers = append(servers, s)
	}
	for n := range 3 {
		s := newFakeServer(fmt.Sprint("full-", n), "shop", 1)
		s.queue = true
		servers = append(servers, s)
	}
	r := newRouter(t, servers...)
	started := time.Now()
	got := r.Serve(context.Background(), call("/order/1", "id"))
	must.Less(t, 55*time.Millisecond, time.Since(started)) // the queue time is 60 ms
	must.Eq(t, http.StatusServiceUnavailable, got.Status())
	must.StrContains(t, string(got.Body()), downstream.Reason)
	must.NotEq(t, "", got.Header().Get("Retry-After"))
	for _, s := range servers {
		must.Eq(t, 1, len(s.slotRequests))
	}
	for _, s := range servers[2:] {
		<-s.withdrawn
	}
}

// TestServe_NestedCall_CarriesThePriorityOfItsRun guards against nested calls whose
// pressure is measured at the urgency of another route, and against pressure that does not
// reach the node beside the calling server.
func TestServe_NestedCall_CarriesThePriorityOfItsRun(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	a.finalEvent = respondWith(http.StatusOK)
	plain := a.endpoint
	a.endpoint = upstream.NewEndpoint("a", func(number uint64, r upstream.SlotRequest, events chan<- upstream.Event) {
		replies := make(chan upstream.Event, upstream.MaxEvents)
		plain.Reserve(number, r, replies)
		events <- (<-replies).WithPressure(0.4)
		go func() {
			for e := range replies {
				events <- e
			}
		}()
	}, plain.Withdraw, plain.Submit, plain.Cancel)
	reported := make(chan string, 1)
	config := dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0.2, 50, 10*time.Second)).WithDownstream(
		func(_ context.Context, id, service string) (string, int, bool) {
			return "report", 7, id == "run-1.2" && service == "shop"
		},
		func(route, service string, pressure float64) {
			reported <- fmt.Sprint(route, " ", service, " ", pressure)
		},
	)
	r := newRouterOf(t, clockwork.NewRealClock(), config, a)
	for _, c := range []struct {
		id       string
		nested   bool
		priority int
	}{{"run-1.2", true, 7}, {"run-9.2", true, 0}, {"run-1", false, 0}} {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", c.id).WithNested(c.nested)).Status())
		request := <-a.slotRequests
		must.Eq(t, c.priority, request.Priority(), must.Sprint(c.id))
		must.Eq(t, "farm/order/", request.Route())
		must.Eq(t, c.priority > 0, len(reported) == 1, must.Sprint(c.id))
		if c.priority > 0 {
			must.Eq(t, "report shop 0.4", <-reported)
		}
	}
}

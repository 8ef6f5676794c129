package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/link"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

// fakeServer is a server whose replies the test sets: it refuses with refusal,
// or queues requests, or offers a slot at cost and ends a submitted request
// with finalEvent.
type fakeServer struct {
	node         string
	service      string
	dataCentre   string
	cost         float64
	refusal      string
	queue        bool
	mute         bool // whether slot requests get no reply
	finalEvent   func(number uint64) upstream.Event
	slotRequests chan upstream.SlotRequest
	submitted    chan *upstream.Request
	cancelled    chan uint64
	withdrawn    chan uint64
	pending      chan chan<- upstream.Event
	offers       chan chan<- upstream.Event
	queued       chan uint64 // numbers of the slot requests that were queued
	endpoint     *upstream.Endpoint
}

func newFakeServer(node, service string, cost float64) *fakeServer {
	s := &fakeServer{
		node: node, service: service, dataCentre: "north", cost: cost, slotRequests: make(chan upstream.SlotRequest, 4096), submitted: make(chan *upstream.Request, 4096),
		cancelled: make(chan uint64, 4096), withdrawn: make(chan uint64, 4096), pending: make(chan chan<- upstream.Event, 4096),
		offers: make(chan chan<- upstream.Event, 4096), queued: make(chan uint64, 4096),
	}
	s.endpoint = upstream.NewEndpoint(node, func(number uint64, r upstream.SlotRequest, events chan<- upstream.Event) {
		s.slotRequests <- r
		switch {
		case s.mute:
		case s.refusal != "":
			events <- upstream.NewEvent(upstream.Refused, number).WithEndpoint(s.endpoint).WithReason(s.refusal).WithRetryAfter(70 * time.Millisecond)
		case s.queue:
			s.queued <- number
			events <- upstream.NewEvent(upstream.Queued, number).WithEndpoint(s.endpoint)
			s.pending <- events
		default:
			s.offers <- events
			events <- upstream.NewEvent(upstream.Offered, number).WithEndpoint(s.endpoint).WithCost(s.cost)
		}
	}, func(number uint64) {
		select {
		case <-s.offers:
		default:
		}
		s.withdrawn <- number
	}, func(number uint64, r *upstream.Request) {
		events := <-s.offers
		s.submitted <- r
		if s.finalEvent != nil {
			events <- s.finalEvent(number).WithEndpoint(s.endpoint)
		} else {
			s.pending <- events
		}
	}, func(number uint64) { s.cancelled <- number })
	return s
}

// respondWith ends requests with a response of the given status.
func respondWith(status int) func(uint64) upstream.Event {
	return func(number uint64) upstream.Event {
		return upstream.NewEvent(upstream.Answered, number).WithResponse(upstream.NewResponse(status, http.Header{}, nil))
	}
}

// endWith ends requests with an event of the given kind.
func endWith(kind upstream.EventKind) func(uint64) upstream.Event {
	return func(number uint64) upstream.Event { return upstream.NewEvent(kind, number).WithReason("simulated") }
}

// newRouter returns a router that knows the servers as those of its peers.
func newRouter(t *testing.T, servers ...*fakeServer) *dispatch.Router {
	t.Helper()
	return newRouterWith(t, clockwork.NewRealClock(), dispatch.NewRetryLimits(0.2, 50, 10*time.Second), servers...)
}

func newRouterWith(t *testing.T, clock clockwork.Clock, limits dispatch.RetryLimits, servers ...*fakeServer) *dispatch.Router {
	t.Helper()
	return newRouterOf(t, clock, dispatch.NewConfig("self", "none", "north", limits), servers...)
}

func newRouterOf(t *testing.T, clock clockwork.Clock, config dispatch.Config, servers ...*fakeServer) *dispatch.Router {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	observer := dispatch.NewObserver(func(string, string, time.Duration) {}, func(string) {}, func(quarantine.Record) {})
	r, err := dispatch.NewRouter(config, charts, clock, eventlog.New(io.Discard, clock, "self"), observer)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	route := func(name string, kind routeconfig.RequestKind, services ...routeconfig.WeightedService) routeconfig.Route {
		return routeconfig.NewRoute("farm", "/"+name+"/", name, kind, services).WithLatency(400*time.Millisecond, 200*time.Millisecond).WithMaxAttempts(2)
	}
	shop := routeconfig.NewWeightedService("shop", 1)
	c := routeconfig.New(1, []routeconfig.Route{
		route("read", routeconfig.KindIdempotent, shop), route("order", routeconfig.KindNonIdempotent, shop),
		route("split", routeconfig.KindIdempotent, routeconfig.NewWeightedService("shop", 9), routeconfig.NewWeightedService("till", 1)),
	}, nil, routeconfig.DefaultLimits())
	r.SetNodeCount(1)
	r.SetSnapshot(fleet.NewSnapshot(5, c))
	var peers []fleet.Peer
	for _, s := range servers {
		peers = append(peers, fleet.NewPeer(s.node, s.dataCentre, link.NewServerState(s.service, "i-"+s.node, true), s.endpoint))
	}
	r.SetPeers(peers)
	return r
}

func call(path, id string) dispatch.Call { return callAt(time.Now(), path, id) }

func callAt(received time.Time, path, id string) dispatch.Call {
	return dispatch.NewCall(upstream.NewRequest(id, http.MethodGet, path, "farm", http.Header{}, nil), path, received, time.Second)
}

func TestServe_UsesCheapestOfferAndWithdrawsOthers(t *testing.T) {
	slow, fast := newFakeServer("slow", "shop", 4), newFakeServer("fast", "shop", 1)
	fast.finalEvent = respondWith(http.StatusOK)
	r := newRouter(t, slow, fast)
	a := r.Serve(context.Background(), call("/read/1", "id"))
	must.Eq(t, http.StatusOK, a.Status())
	must.Eq(t, 1, len(fast.submitted))
	must.Eq(t, 0, len(slow.submitted))
	<-slow.withdrawn
}

func TestServe_RetriesUnknownOutcomeOnlyIfIdempotent(t *testing.T) {
	for path, want := range map[string]int{"/read/1": 2, "/order/1": 1} {
		a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 2)
		a.finalEvent, b.finalEvent = endWith(upstream.Unknown), endWith(upstream.Unknown)
		r := newRouter(t, a, b)
		got := r.Serve(context.Background(), call(path, "id"))
		must.Eq(t, http.StatusBadGateway, got.Status())
		must.Eq(t, want, len(a.submitted)+len(b.submitted), must.Sprint(path))
	}
}

func TestServe_RetriesNotRunOfEveryKind(t *testing.T) {
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 2)
	a.finalEvent, b.finalEvent = endWith(upstream.NotRun), respondWith(http.StatusOK)
	r := newRouter(t, a, b)
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", "id")).Status())
	must.Eq(t, 1, len(b.submitted))
}

func TestServe_RefusalHasRetryAfter(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	a.refusal = "no place"
	r := newRouter(t, a)
	got := r.Serve(context.Background(), call("/order/1", "id"))
	must.Eq(t, http.StatusServiceUnavailable, got.Status())
	must.NotEq(t, "", got.Header().Get("Retry-After"))
	must.StrContains(t, string(got.Body()), "no place")
}

func TestServe_RetriesServerErrorIfIdempotent(t *testing.T) {
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 2)
	a.finalEvent, b.finalEvent = respondWith(http.StatusInternalServerError), respondWith(http.StatusOK)
	r := newRouter(t, a, b)
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", "id")).Status())
	must.Eq(t, http.StatusInternalServerError, serveOnce(t, respondWith(http.StatusInternalServerError)).Status())
}

func serveOnce(t *testing.T, finalEvent func(uint64) upstream.Event) *upstream.Response {
	t.Helper()
	a := newFakeServer("a", "shop", 1)
	a.finalEvent = finalEvent
	return newRouter(t, a).Serve(context.Background(), call("/read/1", "id"))
}

func TestServe_RouteTimeoutCancelsRequest(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	r := newRouter(t, a)
	started := time.Now()
	got := r.Serve(context.Background(), call("/order/1", "id"))
	must.Eq(t, http.StatusGatewayTimeout, got.Status())
	must.Between(t, 390*time.Millisecond, time.Since(started), 700*time.Millisecond)
	<-a.cancelled
}

func TestServe_QueuesNoLongerThanMaxWait(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	a.queue = true
	r := newRouter(t, a)
	started := time.Now()
	got := r.Serve(context.Background(), call("/order/1", "id"))
	must.Eq(t, http.StatusServiceUnavailable, got.Status())
	must.Less(t, 200*time.Millisecond, time.Since(started))
	<-a.withdrawn
}

func TestServe_DisconnectedCallerCancelsRequest(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	r := newRouter(t, a)
	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan *upstream.Response, 1)
	go func() { done <- r.Serve(ctx, call("/order/1", "id")) }()
	<-a.submitted
	disconnect()
	must.Nil(t, <-done)
	<-a.cancelled
}

func TestServe_SlowedEventHedgesRequest(t *testing.T) {
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 1.5)
	a.finalEvent, b.finalEvent = respondWith(http.StatusOK), respondWith(http.StatusOK)
	r := newRouter(t, a, b)
	for n := range 5 {
		r.Serve(context.Background(), call("/read/1", fmt.Sprint(n)))
	}
	a.finalEvent = func(number uint64) upstream.Event {
		return upstream.NewEvent(upstream.Slowed, number).WithCost(1e6)
	}
	time.Sleep(20 * time.Millisecond)
	got := r.Serve(context.Background(), call("/read/1", "slowed"))
	must.Eq(t, http.StatusOK, got.Status())
	must.Eq(t, 1, len(b.submitted))
	<-a.cancelled
}

func TestServe_DividesRequestsByWeight(t *testing.T) {
	shop, till := newFakeServer("a", "shop", 1), newFakeServer("b", "till", 1)
	shop.finalEvent, till.finalEvent = respondWith(http.StatusOK), respondWith(http.StatusOK)
	r := newRouter(t, shop, till)
	for n := range 100 {
		r.Serve(context.Background(), call("/split/1", fmt.Sprint(n)))
	}
	must.Eq(t, 90, len(shop.submitted))
	must.Eq(t, 10, len(till.submitted))
}

func TestServe_RetriesStayWithinBudget(t *testing.T) {
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 2)
	a.finalEvent, b.finalEvent = endWith(upstream.Unknown), endWith(upstream.Unknown)
	r := newRouter(t, a, b)
	for n := range 200 {
		r.Serve(context.Background(), call("/read/1", fmt.Sprint(n)))
	}
	must.LessEq(t, 50+200/5, len(a.submitted)+len(b.submitted)-200)
}

// TestServe_RetriesOfManyNodesStayWithinSharedBudget guards against 90 nodes
// that share a retry budget exceeding it together. It measures the retries of
// one node whose servers all fail after a healthy period. Calls that retried
// requests of another service make to this one, 1.4 per request, count too.
func TestServe_RetriesOfManyNodesStayWithinSharedBudget(t *testing.T) {
	const (
		nodes           = 90
		minimum         = 222.0 // retries in a window, over all nodes
		callsPerRequest = 1.4
		requests        = 100 // a node's requests for the service in a window
		callerRequests  = 48  // a node's requests for the service that calls it
		window          = 10 * time.Second
	)
	retries := func(count int) float64 {
		a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 2)
		a.finalEvent, b.finalEvent = respondWith(http.StatusOK), respondWith(http.StatusOK)
		clock := clockwork.NewFakeClock()
		r := newRouterWith(t, clock, dispatch.NewRetryLimits(0.2, minimum, window), a, b)
		r.SetNodeCount(nodes)
		for n := range count {
			r.Serve(context.Background(), callAt(clock.Now(), "/read/1", fmt.Sprint("healthy-", n)))
		}
		before := len(a.submitted) + len(b.submitted)
		a.finalEvent, b.finalEvent = endWith(upstream.NotRun), endWith(upstream.NotRun)
		for n := range count {
			clock.Advance(window / time.Duration(count))
			r.Serve(context.Background(), callAt(clock.Now(), "/read/1", fmt.Sprint(n)))
		}
		return float64(len(a.submitted) + len(b.submitted) - before - count)
	}
	own, calls := retries(requests), callsPerRequest*retries(callerRequests)
	must.LessEq(t, 0.2*requests+minimum/nodes, own+calls)
}

// TestServe_NodeThatDoesNotKnowTheFleetTakesNoPartOfTheMinimum guards against a node that
// starts while the store cannot be reached and takes all retries of the fleet.
func TestServe_NodeThatDoesNotKnowTheFleetTakesNoPartOfTheMinimum(t *testing.T) {
	for nodes, retries := range []int{0, 1} {
		a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 2)
		a.finalEvent, b.finalEvent = endWith(upstream.NotRun), endWith(upstream.NotRun)
		r := newRouterWith(t, clockwork.NewRealClock(), dispatch.NewRetryLimits(0, 50, 10*time.Second), a, b)
		r.SetNodeCount(nodes)
		r.Serve(context.Background(), call("/read/1", "id"))
		must.Eq(t, 1+retries, len(a.submitted)+len(b.submitted))
	}
}

func TestServe_WithoutConfigurationHasRetryAfter(t *testing.T) {
	charts, err := chart.Embedded()
	must.NoError(t, err)
	clock := clockwork.NewRealClock()
	observer := dispatch.NewObserver(func(string, string, time.Duration) {}, func(string) {}, func(quarantine.Record) {})
	r, err := dispatch.NewRouter(dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0, 0, 0)), charts, clock, eventlog.New(io.Discard, clock, "self"), observer)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	got := r.Serve(ctx, call("/read/1", "id"))
	must.Eq(t, http.StatusServiceUnavailable, got.Status())
	must.NotEq(t, "", got.Header().Get("Retry-After"))
}

// TestServe_StoppingNodeRefusesWhatMayOutliveIt guards against a planned stop that
// cuts off requests: a caller on a kept connection may send one shortly before the
// process ends.
func TestServe_StoppingNodeRefusesWhatMayOutliveIt(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	a.finalEvent = respondWith(http.StatusOK)
	r := newRouter(t, a)
	now := time.Now()
	routeTimeout := 400 * time.Millisecond
	// The server is known to take next to no time.
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), callAt(now, "/order/1", "first")).Status())
	for name, c := range map[string]struct {
		lastAccepted, end time.Time
		want              int
	}{
		"read in time":        {now.Add(time.Second), now.Add(routeTimeout * 3 / 4), http.StatusOK},
		"no time to run":      {now.Add(time.Second), now.Add(-time.Millisecond), http.StatusServiceUnavailable},
		"over before the end": {now.Add(-time.Second), now.Add(routeTimeout + time.Second), http.StatusOK},
		"may be cut off":      {now.Add(-time.Second), now.Add(routeTimeout / 2), http.StatusServiceUnavailable},
		"end is already over": {now.Add(-2 * time.Second), now.Add(-time.Second), http.StatusServiceUnavailable},
		"node does not stop":  {time.Time{}, time.Time{}, http.StatusOK},
	} {
		r.StopAt(c.lastAccepted, upstream.NewShutdown(c.end))
		got := r.Serve(context.Background(), callAt(now, "/order/1", "id"))
		must.Eq(t, c.want, got.Status(), must.Sprint(name))
		if c.want == http.StatusServiceUnavailable {
			must.NotEq(t, "", got.Header().Get("Retry-After"), must.Sprint(name))
		}
	}
	must.Eq(t, 4, len(a.submitted))
}

// TestServe_StoppingNodeRefusesWhatWaitsForASlot guards against a planned stop that drops
// the calls that wait for a slot: each must be told that it was not run, while a server
// that got a slot free could still have run it.
func TestServe_StoppingNodeRefusesWhatWaitsForASlot(t *testing.T) {
	const end = 60 * time.Millisecond
	for _, nested := range []bool{false, true} {
		a := newFakeServer("a", "shop", 1)
		a.queue = true
		r := newRouter(t, a)
		started := time.Now()
		time.AfterFunc(20*time.Millisecond, func() { r.StopAt(started.Add(time.Second), upstream.NewShutdown(started.Add(end))) })
		got := r.Serve(context.Background(), callAt(started, "/order/1", "id").WithNested(nested))
		must.Eq(t, http.StatusServiceUnavailable, got.Status())
		must.NotEq(t, "", got.Header().Get("Retry-After"))
		must.Less(t, end, time.Since(started))
		must.Eq(t, 0, len(a.submitted))
	}
}

// TestServe_StoppingNodeCountsWhenABodyWasRead guards against a planned stop that cuts off
// an upload: its header came early in the grace period, and its body late.
func TestServe_StoppingNodeCountsWhenABodyWasRead(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	a.finalEvent = respondWith(http.StatusOK)
	r := newRouter(t, a)
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", "first")).Status())
	now := time.Now()
	r.StopAt(now.Add(-10*time.Millisecond), upstream.NewShutdown(now.Add(100*time.Millisecond)))
	got := r.Serve(context.Background(), callAt(now.Add(-20*time.Millisecond), "/order/1", "id"))
	must.Eq(t, http.StatusServiceUnavailable, got.Status())
	must.Eq(t, 1, len(a.submitted))
}

// TestServe_SilentNodeIsWaitedForUnlessIdempotent has the node beside a server fall
// silent while the server is at work. An order must be neither given up nor sent
// elsewhere; a read is sent to another server.
func TestServe_SilentNodeIsWaitedForUnlessIdempotent(t *testing.T) {
	for path, wantSecond := range map[string]int{"/read/1": 1, "/order/1": 0} {
		a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 5)
		b.finalEvent = respondWith(http.StatusAccepted)
		r := newRouter(t, a, b)
		done := make(chan *upstream.Response, 1)
		go func() { done <- r.Serve(context.Background(), call(path, "id")) }()
		<-a.submitted
		events := <-a.pending
		number := uint64(1)
		for n := range uint64(3) {
			events <- upstream.NewEvent(upstream.Silent, n).WithEndpoint(a.endpoint)
			number = n
		}
		if wantSecond == 0 {
			time.Sleep(50 * time.Millisecond)
			must.Eq(t, 0, len(done), must.Sprint(path))
			for n := range number + 1 {
				events <- respondWith(http.StatusOK)(n).WithEndpoint(a.endpoint)
			}
		}
		got := <-done
		must.Eq(t, wantSecond, len(b.submitted), must.Sprint(path))
		must.Eq(t, map[int]int{0: http.StatusOK, 1: http.StatusAccepted}[wantSecond], got.Status(), must.Sprint(path))
	}
}

// TestServe_TimeOverIsReportedWhicheverNodeNoticesFirst has the node beside the server
// end a request at its deadline before the timer of this node has fired.
func TestServe_TimeOverIsReportedWhicheverNodeNoticesFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newFakeServer("a", "shop", 1)
	a.finalEvent = func(number uint64) upstream.Event {
		clock.Advance(400 * time.Millisecond)
		return endWith(upstream.Unknown)(number)
	}
	r := newRouterWith(t, clock, dispatch.NewRetryLimits(0.2, 50, 10*time.Second), a)
	// The context of the call is an hour from its deadline, since it runs on the clock of
	// the machine.
	got := r.Serve(context.Background(), callAt(clock.Now(), "/order/1", "id"))
	must.Eq(t, http.StatusGatewayTimeout, got.Status())
}

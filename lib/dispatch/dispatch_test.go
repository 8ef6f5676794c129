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
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

// seat is a server that a test plays by functions.
type seat struct {
	node      string
	service   string
	cost      float64
	refuse    string
	wait      bool
	end       func(number uint64) upstream.Event
	asks      chan upstream.SlotRequest
	submits   chan *upstream.Request
	cancels   chan uint64
	withdrawn chan uint64
	events    chan chan<- upstream.Event
	port      *upstream.Endpoint
}

func newSeat(node, service string, cost float64) *seat {
	s := &seat{
		node: node, service: service, cost: cost, asks: make(chan upstream.SlotRequest, 4096), submits: make(chan *upstream.Request, 4096),
		cancels: make(chan uint64, 4096), withdrawn: make(chan uint64, 4096), events: make(chan chan<- upstream.Event, 4096),
	}
	held := make(chan chan<- upstream.Event, 4096)
	s.port = upstream.NewEndpoint(node, func(number uint64, a upstream.SlotRequest, events chan<- upstream.Event) {
		s.asks <- a
		switch {
		case s.refuse != "":
			events <- upstream.NewEvent(upstream.Refused, number).WithEndpoint(s.port).WithReason(s.refuse).WithRetryAfter(70 * time.Millisecond)
		case s.wait:
			events <- upstream.NewEvent(upstream.Queued, number).WithEndpoint(s.port)
			s.events <- events
		default:
			held <- events
			events <- upstream.NewEvent(upstream.Offered, number).WithEndpoint(s.port).WithCost(s.cost)
		}
	}, func(number uint64) {
		select {
		case <-held:
		default:
		}
		s.withdrawn <- number
	}, func(number uint64, r *upstream.Request) {
		events := <-held
		s.submits <- r
		if s.end != nil {
			events <- s.end(number).WithEndpoint(s.port)
		} else {
			s.events <- events
		}
	}, func(number uint64) { s.cancels <- number })
	return s
}

func answered(status int) func(uint64) upstream.Event {
	return func(number uint64) upstream.Event {
		return upstream.NewEvent(upstream.Answered, number).WithResponse(upstream.NewResponse(status, http.Header{}, nil))
	}
}

func ended(kind upstream.EventKind) func(uint64) upstream.Event {
	return func(number uint64) upstream.Event { return upstream.NewEvent(kind, number).WithReason("played") }
}

// newRouter returns a router that knows the seats as servers of its peers.
func newRouter(t *testing.T, seats ...*seat) *dispatch.Router {
	t.Helper()
	return newRouterWith(t, clockwork.NewRealClock(), dispatch.NewRetryLimits(0.2, 50, 10*time.Second), seats...)
}

func newRouterWith(t *testing.T, clock clockwork.Clock, terms dispatch.RetryLimits, seats ...*seat) *dispatch.Router {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	observe := dispatch.NewObserver(func(string, string, time.Duration) {}, func(string) {})
	config := dispatch.NewConfig("self", "none", "north", terms)
	r, err := dispatch.NewRouter(config, charts, clock, eventlog.New(io.Discard, clock, "self"), observe)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	route := func(name string, kind routeconfig.RequestKind, shares ...routeconfig.WeightedService) routeconfig.Route {
		return routeconfig.NewRoute("farm", "/"+name+"/", name, kind, shares).WithLatency(400*time.Millisecond, 200*time.Millisecond).WithMaxAttempts(2)
	}
	shop := routeconfig.NewWeightedService("shop", 1)
	c := routeconfig.New(1, []routeconfig.Route{
		route("read", routeconfig.KindIdempotent, shop), route("order", routeconfig.KindNonIdempotent, shop),
		route("split", routeconfig.KindIdempotent, routeconfig.NewWeightedService("shop", 9), routeconfig.NewWeightedService("till", 1)),
	}, nil, routeconfig.DefaultLimits())
	r.SetSituation(fleet.NewSnapshot(5, c))
	var peers []fleet.Peer
	for _, s := range seats {
		peers = append(peers, fleet.NewPeer(s.node, "north", link.NewServerState(s.service, "i-"+s.node, true), s.port))
	}
	r.SetPeers(peers)
	return r
}

func call(path, id string) dispatch.Call { return callAt(time.Now(), path, id) }

func callAt(received time.Time, path, id string) dispatch.Call {
	return dispatch.NewCall(upstream.NewRequest(id, http.MethodGet, path, "farm", http.Header{}, nil), path, received, time.Second)
}

func TestCheapestOfferIsTakenAndTheOthersAreGivenBack(t *testing.T) {
	slow, fast := newSeat("slow", "shop", 4), newSeat("fast", "shop", 1)
	fast.end = answered(http.StatusOK)
	r := newRouter(t, slow, fast)
	a := r.Serve(context.Background(), call("/read/1", "id"))
	must.Eq(t, http.StatusOK, a.Status())
	must.Eq(t, 1, len(fast.submits))
	must.Eq(t, 0, len(slow.submits))
	<-slow.withdrawn
}

func TestOnlyIdempotentRequestsWithUnknownOutcomeAreRepeated(t *testing.T) {
	for path, want := range map[string]int{"/read/1": 2, "/order/1": 1} {
		a, b := newSeat("a", "shop", 1), newSeat("b", "shop", 2)
		a.end, b.end = ended(upstream.Unknown), ended(upstream.Unknown)
		r := newRouter(t, a, b)
		got := r.Serve(context.Background(), call(path, "id"))
		must.Eq(t, http.StatusBadGateway, got.Status())
		must.Eq(t, want, len(a.submits)+len(b.submits), must.Sprint(path))
	}
}

func TestRequestThatWasNotRunGoesElsewhereWhateverItsKind(t *testing.T) {
	a, b := newSeat("a", "shop", 1), newSeat("b", "shop", 2)
	a.end, b.end = ended(upstream.NotRun), answered(http.StatusOK)
	r := newRouter(t, a, b)
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", "id")).Status())
	must.Eq(t, 1, len(b.submits))
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	a := newSeat("a", "shop", 1)
	a.refuse = "no place"
	r := newRouter(t, a)
	got := r.Serve(context.Background(), call("/order/1", "id"))
	must.Eq(t, http.StatusServiceUnavailable, got.Status())
	must.NotEq(t, "", got.Header().Get("Retry-After"))
	must.StrContains(t, string(got.Body()), "no place")
}

func TestFailureOfTheServerIsRepeatedForReads(t *testing.T) {
	a, b := newSeat("a", "shop", 1), newSeat("b", "shop", 2)
	a.end, b.end = answered(http.StatusInternalServerError), answered(http.StatusOK)
	r := newRouter(t, a, b)
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", "id")).Status())
	must.Eq(t, http.StatusInternalServerError, newRouterServe(t, answered(http.StatusInternalServerError)).Status())
}

func newRouterServe(t *testing.T, end func(uint64) upstream.Event) *upstream.Response {
	t.Helper()
	a := newSeat("a", "shop", 1)
	a.end = end
	return newRouter(t, a).Serve(context.Background(), call("/read/1", "id"))
}

func TestRouteTimeoutIsAnsweredAndCancelled(t *testing.T) {
	a := newSeat("a", "shop", 1)
	r := newRouter(t, a)
	began := time.Now()
	got := r.Serve(context.Background(), call("/order/1", "id"))
	must.Eq(t, http.StatusGatewayTimeout, got.Status())
	must.Between(t, 390*time.Millisecond, time.Since(began), 700*time.Millisecond)
	<-a.cancels
}

func TestRequestWaitsInLineNoLongerThanItsPatience(t *testing.T) {
	a := newSeat("a", "shop", 1)
	a.wait = true
	r := newRouter(t, a)
	began := time.Now()
	got := r.Serve(context.Background(), call("/order/1", "id"))
	must.Eq(t, http.StatusServiceUnavailable, got.Status())
	must.Less(t, 200*time.Millisecond, time.Since(began))
	<-a.withdrawn
}

func TestCallerThatLeavesCancelsTheRun(t *testing.T) {
	a := newSeat("a", "shop", 1)
	r := newRouter(t, a)
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan *upstream.Response, 1)
	go func() { done <- r.Serve(ctx, call("/order/1", "id")) }()
	<-a.submits
	leave()
	must.Nil(t, <-done)
	<-a.cancels
}

func TestWarnedReadRunsAtASecondServer(t *testing.T) {
	a, b := newSeat("a", "shop", 1), newSeat("b", "shop", 1.5)
	a.end, b.end = answered(http.StatusOK), answered(http.StatusOK)
	r := newRouter(t, a, b)
	for n := range 5 {
		r.Serve(context.Background(), call("/read/1", fmt.Sprint(n)))
	}
	a.end = func(number uint64) upstream.Event {
		return upstream.NewEvent(upstream.Slowed, number).WithCost(1e6)
	}
	time.Sleep(20 * time.Millisecond)
	got := r.Serve(context.Background(), call("/read/1", "slowed"))
	must.Eq(t, http.StatusOK, got.Status())
	must.Eq(t, 1, len(b.submits))
	<-a.cancels
}

func TestSharesFollowTheirWeights(t *testing.T) {
	shop, till := newSeat("a", "shop", 1), newSeat("b", "till", 1)
	shop.end, till.end = answered(http.StatusOK), answered(http.StatusOK)
	r := newRouter(t, shop, till)
	for n := range 100 {
		r.Serve(context.Background(), call("/split/1", fmt.Sprint(n)))
	}
	must.Eq(t, 90, len(shop.submits))
	must.Eq(t, 10, len(till.submits))
}

func TestFurtherAttemptsEndWithTheBudget(t *testing.T) {
	a, b := newSeat("a", "shop", 1), newSeat("b", "shop", 2)
	a.end, b.end = ended(upstream.Unknown), ended(upstream.Unknown)
	r := newRouter(t, a, b)
	for n := range 200 {
		r.Serve(context.Background(), call("/read/1", fmt.Sprint(n)))
	}
	must.LessEq(t, 50+200/5, len(a.submits)+len(b.submits)-200)
}

// TestFurtherAttemptsOfManyNodesKeepTheSharedBound plays one of 90 nodes whose
// servers, after a calm time, all fail, and counts what the fleet may send: the
// further attempts at one service, and the calls that repeated requests of another
// one make to it, 1.4 each.
func TestFurtherAttemptsOfManyNodesKeepTheSharedBound(t *testing.T) {
	const (
		nodes        = 90
		least        = 222.0 // further attempts in a window, over all nodes
		called       = 1.4
		requests     = 100 // a node's requests for the service in a window
		callers      = 48  // and for the one that calls it
		windowLength = 10 * time.Second
	)
	further := func(count int) float64 {
		a, b := newSeat("a", "shop", 1), newSeat("b", "shop", 2)
		a.end, b.end = answered(http.StatusOK), answered(http.StatusOK)
		clock := clockwork.NewFakeClock()
		r := newRouterWith(t, clock, dispatch.NewRetryLimits(0.2, least, windowLength), a, b)
		r.SetNodeCount(nodes)
		for n := range count {
			r.Serve(context.Background(), callAt(clock.Now(), "/read/1", fmt.Sprint("calm-", n)))
		}
		before := len(a.submits) + len(b.submits)
		a.end, b.end = ended(upstream.NotRun), ended(upstream.NotRun)
		for n := range count {
			clock.Advance(windowLength / time.Duration(count))
			r.Serve(context.Background(), callAt(clock.Now(), "/read/1", fmt.Sprint(n)))
		}
		return float64(len(a.submits) + len(b.submits) - before - count)
	}
	own, calls := further(requests), called*further(callers)
	must.LessEq(t, 0.2*requests+least/nodes, own+calls)
}

func TestNodeWithoutConfigurationAsksToComeBack(t *testing.T) {
	charts, err := chart.Embedded()
	must.NoError(t, err)
	clock := clockwork.NewRealClock()
	observe := dispatch.NewObserver(func(string, string, time.Duration) {}, func(string) {})
	r, err := dispatch.NewRouter(dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0, 0, 0)), charts, clock, eventlog.New(io.Discard, clock, "self"), observe)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	got := r.Serve(ctx, call("/read/1", "id"))
	must.Eq(t, http.StatusServiceUnavailable, got.Status())
	must.NotEq(t, "", got.Header().Get("Retry-After"))
}

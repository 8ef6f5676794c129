package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
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

// hedgeCounts counts what the observer of a router receives.
type hedgeCounts struct {
	sent, won, share, chain, knee, noSlot atomic.Int64
}

func (c *hedgeCounts) count(_, event, reason string) {
	switch event + " " + reason {
	case "sent ":
		c.sent.Add(1)
	case "won ":
		c.won.Add(1)
	case "denied share":
		c.share.Add(1)
	case "denied chain":
		c.chain.Add(1)
	case "denied knee":
		c.knee.Add(1)
	case "denied no-slot":
		c.noSlot.Add(1)
	}
}

// newLimitedRouter returns a router whose hedges are limited to a share of the requests.
func newLimitedRouter(t testing.TB, share float64, counts *hedgeCounts, servers ...*fakeServer) *dispatch.Router {
	t.Helper()
	config := dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0.2, 1000, time.Second)).WithHedging(share, 0.95).
		WithNesting(func(id, parent string) bool { return strings.HasPrefix(id, parent+".") })
	return newLimitedRouterOf(t, config, counts, servers...)
}

func newLimitedRouterOf(t testing.TB, config dispatch.Config, counts *hedgeCounts, servers ...*fakeServer) *dispatch.Router {
	t.Helper()
	return newLimitedRouterAt(t, clockwork.NewRealClock(), config, counts, servers...)
}

func newLimitedRouterAt(t testing.TB, clock clockwork.Clock, config dispatch.Config, counts *hedgeCounts, servers ...*fakeServer) *dispatch.Router {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	observer := dispatch.NewObserver(func(string, string, time.Duration) {}, func(string) {}, func(quarantine.Record) {}).WithHedges(counts.count)
	r, err := dispatch.NewRouter(config, charts, clock, eventlog.New(io.Discard, clock, "self"), observer)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	routes := []routeconfig.Route{routeconfig.NewRoute("farm", "/read/", "read", routeconfig.KindIdempotent, []routeconfig.WeightedService{routeconfig.NewWeightedService("shop", 1)}).
		WithLatency(2*time.Second, 1500*time.Millisecond).WithMaxAttempts(2)}
	r.SetNodeCount(1)
	r.SetSnapshot(fleet.NewSnapshot(5, routeconfig.New(1, routes, nil, routeconfig.DefaultLimits())))
	var peers []fleet.Peer
	for _, s := range servers {
		peers = append(peers, fleet.NewPeer(s.node, s.dataCentre, link.NewServerState(s.service, "i-"+s.node, true), s.endpoint))
	}
	r.SetPeers(peers)
	return r
}

// respondAfter has a server respond to each request after the time that delay returns.
func (s *fakeServer) respondAfter(t testing.TB, delay func(id string) time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var number atomic.Uint64
	reserve := func(n uint64, _ upstream.SlotRequest, events chan<- upstream.Event) {
		number.Store(n)
		s.pending <- events
		events <- upstream.NewEvent(upstream.Offered, n).WithEndpoint(s.endpoint).WithCost(s.cost)
	}
	submit := func(n uint64, r *upstream.Request) {
		s.submitted <- r
		events := <-s.pending
		go func() {
			select {
			case <-ctx.Done():
			case <-time.After(delay(r.ID())):
				events <- respondWith(http.StatusOK)(n).WithEndpoint(s.endpoint)
			}
		}()
	}
	withdraw := func(uint64) { <-s.pending }
	s.endpoint = upstream.NewEndpoint(s.node, reserve, withdraw, submit, func(n uint64) { s.cancelled <- n })
}

// TestServe_PausedServerIsHedgedWithinTheShare guards against a read that waits for a
// server that pauses, against second sends beyond the share, and against one that goes on
// at its server after the other has answered.
func TestServe_PausedServerIsHedgedWithinTheShare(t *testing.T) {
	const requests, share = 200, 0.05
	fast := func(string) time.Duration { return 5 * time.Millisecond }
	pausing := func(id string) time.Duration {
		if strings.HasPrefix(id, "late") {
			return 600 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 1.5)
	a.respondAfter(t, pausing)
	b.respondAfter(t, fast)
	var counts hedgeCounts
	r := newLimitedRouter(t, share, &counts, a, b)
	sent := 0
	for unhedged := 0; sent < requests || unhedged < 1/share; sent++ {
		before := counts.sent.Load()
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("id-", sent))).Status())
		if unhedged++; counts.sent.Load() > before {
			unhedged = 0
		}
	}
	baseline := counts.sent.Load()
	// The budget holds one hedge: of two late requests, the second one waits.
	for n, slow := range []bool{false, true} {
		startedAt := time.Now()
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("late-", n))).Status())
		must.Eq(t, slow, time.Since(startedAt) > 500*time.Millisecond, must.Sprint(n))
	}
	must.Eq(t, baseline+1, counts.sent.Load())
	must.Positive(t, counts.won.Load())
	must.Positive(t, counts.share.Load())
	must.Positive(t, len(a.cancelled))
	must.LessEq(t, share*float64(sent+2)+1, float64(counts.sent.Load()))
	marked := false
	for len(b.submitted) > 0 {
		marked = (<-b.submitted).IsHedge() || marked
	}
	must.True(t, marked)
}

// TestServe_CallOfAHedgeIsNotHedged guards against hedges that multiply along a chain of
// calls.
func TestServe_CallOfAHedgeIsNotHedged(t *testing.T) {
	delay := func(id string) time.Duration {
		if strings.HasPrefix(id, "parent") {
			return 300 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 1.5)
	a.respondAfter(t, delay)
	b.respondAfter(t, delay)
	var counts hedgeCounts
	r := newLimitedRouter(t, 0.5, &counts, a, b)
	for n := range 60 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("id-", n))).Status())
	}
	r.RecordHedge(upstream.NewRequest("parent", http.MethodGet, "/", "farm", http.Header{}, nil).WithDeadline(time.Now().Add(time.Minute)))
	startedAt, before := time.Now(), counts.sent.Load()
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", "parent.1").WithNested(true)).Status())
	must.GreaterEq(t, 290*time.Millisecond, time.Since(startedAt))
	must.Eq(t, before, counts.sent.Load())
	must.Positive(t, counts.chain.Load())
}

// TestServe_HedgeThatFailsIsNotRefunded guards against a share that is exceeded since hedges
// count only if they succeed.
func TestServe_HedgeThatFailsIsNotRefunded(t *testing.T) {
	delay := func(id string) time.Duration {
		if strings.HasPrefix(id, "late") {
			return 150 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 1.5)
	a.respondAfter(t, delay)
	b.finalEvent = respondWith(http.StatusInternalServerError)
	var counts hedgeCounts
	r := newLimitedRouter(t, 0.02, &counts, a, b)
	for n := range 60 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("id-", n))).Status())
	}
	before := len(b.submitted)
	for n := range 10 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("late-", n))).Status())
	}
	must.LessEq(t, 1, len(b.submitted)-before)
	must.Positive(t, counts.share.Load())
}

// TestServe_HedgesStayInThisDataCentre guards against a hedge that is sent to a far data centre
// because this one has no second server.
func TestServe_HedgesStayInThisDataCentre(t *testing.T) {
	late := func(id string) time.Duration {
		if strings.HasPrefix(id, "late") {
			return 200 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	here, far := newFakeServer("here", "shop", 1), newFakeServer("far", "shop", 1)
	here.respondAfter(t, late)
	far.respondAfter(t, late)
	far.dataCentre = "south"
	near := far.endpoint
	far.endpoint = upstream.NewEndpoint("far", func(number uint64, r upstream.SlotRequest, events chan<- upstream.Event) {
		time.AfterFunc(farRoundTrip, func() { near.Reserve(number, r, events) })
	}, func(number uint64) { time.AfterFunc(farRoundTrip, func() { near.Withdraw(number) }) }, near.Submit, near.Cancel)
	var counts hedgeCounts
	config := dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0.2, 1000, time.Second)).
		WithHedging(0.5, 0.95).WithFarRoundTrip(5 * time.Millisecond)
	r := newLimitedRouterOf(t, config, &counts, here, far)
	for n := range 60 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("id-", n))).Status())
	}
	time.Sleep(4 * farRoundTrip)
	before := counts.sent.Load()
	for n := range 3 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("late-", n))).Status())
	}
	must.Eq(t, before, counts.sent.Load())
	must.Positive(t, counts.noSlot.Load())
}

// TestServe_SearchThatIsCutShortIsNoShortage guards against hedges that are denied since the
// service seems short of slots, because a first send answered while a second slot was looked for.
func TestServe_SearchThatIsCutShortIsNoShortage(t *testing.T) {
	late := func(id string) time.Duration {
		if strings.HasPrefix(id, "late") {
			return 25 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	a, silent := newFakeServer("a", "shop", 1), newFakeServer("silent", "shop", 1)
	a.respondAfter(t, late)
	silent.endpoint = upstream.NewEndpoint("silent", func(uint64, upstream.SlotRequest, chan<- upstream.Event) {}, func(uint64) {}, func(uint64, *upstream.Request) {}, func(uint64) {})
	var counts hedgeCounts
	r := newLimitedRouter(t, 1, &counts, a, silent)
	for n := range 40 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("id-", n))).Status())
	}
	time.Sleep(1100 * time.Millisecond) // the searches so far do not count any more
	for n := range 3 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("late-", n))).Status())
	}
	must.Eq(t, 0, counts.knee.Load())
}

// TestServe_LongRequestOfAnUnknownRouteIsNotHedged guards against a hedge after 30 s, the assumed
// waiting time of callers, of a request whose caller waits longer, while nothing is known of the
// latencies of its route.
func TestServe_LongRequestOfAnUnknownRouteIsNotHedged(t *testing.T) {
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 1.5)
	clock := clockwork.NewFakeClockAt(time.Now())
	var counts hedgeCounts
	config := dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0.2, 1000, time.Second)).WithHedging(1, 0.95)
	r := newLimitedRouterAt(t, clock, config, &counts, a, b)
	done := make(chan *upstream.Response, 1)
	go func() {
		done <- r.Serve(context.Background(), callAt(clock.Now(), "/read/1", "id"))
	}()
	<-a.submitted
	events := <-a.pending
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	must.NoError(t, clock.BlockUntilContext(ctx, 1)) // the timer of the hedge
	clock.Advance(31 * time.Second)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 0, len(b.submitted))
	events <- respondWith(http.StatusOK)(1).WithEndpoint(a.endpoint)
	<-done
	must.Eq(t, 0, counts.sent.Load())
}

// TestServe_HedgeOfACallThatHasEndedIsReturned guards against a share that is used up by calls
// that end while they wait for the grant of a hedge.
func TestServe_HedgeOfACallThatHasEndedIsReturned(t *testing.T) {
	late := func(id string) time.Duration {
		if strings.HasPrefix(id, "late") {
			return 200 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 1.5)
	a.respondAfter(t, late)
	b.respondAfter(t, func(string) time.Duration { return 5 * time.Millisecond })
	blocked, release := make(chan bool), make(chan bool)
	var counts hedgeCounts
	config := dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0.2, 1000, time.Second)).WithHedging(0.02, 0.95).
		WithTenants("X-Tenant", "Token", func(string) bool { // runs in the router's task
			blocked <- true
			<-release
			return false
		})
	r := newLimitedRouterOf(t, config, &counts, a, b)
	route := routeconfig.NewRoute("farm", "/read/", "read", routeconfig.KindIdempotent, []routeconfig.WeightedService{routeconfig.NewWeightedService("shop", 1)}).
		WithLatency(2*time.Second, 1500*time.Millisecond).WithMaxAttempts(2)
	r.SetSnapshot(fleet.NewSnapshot(6, routeconfig.New(2, []routeconfig.Route{route}, nil, routeconfig.DefaultLimits()).WithTenants([]routeconfig.Tenant{choir()})))
	for n := range 60 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("id-", n)).WithAPIKey("key-1")).Status())
	}
	// The router is busy from the moment that the request is submitted.
	submit := a.endpoint
	a.endpoint = upstream.NewEndpoint("a", submit.Reserve, submit.Withdraw, func(number uint64, request *upstream.Request) {
		if request.ID() == "late-0" {
			go r.Serve(context.Background(), call("/read/1", "nested.1").WithNested(true))
			<-blocked
		}
		submit.Submit(number, request)
	}, submit.Cancel)
	r.SetPeers([]fleet.Peer{
		fleet.NewPeer("a", "north", link.NewServerState("shop", "i-a", true), a.endpoint),
		fleet.NewPeer("b", "north", link.NewServerState("shop", "i-b", true), b.endpoint),
	})
	before := counts.sent.Load()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() {
		r.Serve(ctx, call("/read/1", "late-0").WithAPIKey("key-1"))
		close(done)
	}()
	time.Sleep(100 * time.Millisecond) // it waits for the grant by now
	cancel()
	<-done
	release <- true
	r.Dump(context.Background())
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", "late-1").WithAPIKey("key-1")).Status())
	must.Eq(t, before+1, counts.sent.Load())
}

package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/upstream"
)

const (
	farRoundTrip     = 9 * time.Millisecond
	latencyObjective = 200 * time.Millisecond // of the routes of newRouter
)

// serviceTime is how long the servers of sites run a request.
const serviceTime = 20 * time.Millisecond

// newDistantServer returns a server whose replies to slot requests arrive after roundTrip.
func newDistantServer(node, dataCentre string, roundTrip time.Duration, cost float64) *fakeServer {
	s := newFakeServer(node, "shop", cost)
	s.dataCentre, s.finalEvent = dataCentre, respondWith(http.StatusOK)
	near := s.endpoint
	// Both are delayed alike, since a withdrawal must not overtake its slot request.
	travel := func(deliver func()) {
		if roundTrip == 0 {
			deliver()
			return
		}
		time.AfterFunc(roundTrip, deliver)
	}
	s.endpoint = upstream.NewEndpoint(node, func(number uint64, r upstream.SlotRequest, events chan<- upstream.Event) {
		travel(func() { near.Reserve(number, r, events) })
	}, func(number uint64) {
		travel(func() { near.Withdraw(number) })
	}, func(number uint64, r *upstream.Request) {
		time.AfterFunc(serviceTime, func() { near.Submit(number, r) })
	}, near.Cancel)
	return s
}

// sites are servers in this data centre, and others in two far ones.
func sites() (here, far []*fakeServer) {
	for n := range 3 {
		here = append(here, newDistantServer(fmt.Sprint("here-", n), "north", 0, 1.4))
		far = append(far, newDistantServer(fmt.Sprint("south-", n), "south", farRoundTrip, 1), newDistantServer(fmt.Sprint("east-", n), "east", farRoundTrip, 1))
	}
	return here, far
}

func newDistantRouter(t *testing.T, here, far []*fakeServer) *dispatch.Router {
	t.Helper()
	config := dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0.2, 50, 10*time.Second)).WithFarRoundTrip(5 * time.Millisecond)
	r := newRouterOf(t, clockwork.NewRealClock(), config, append(append([]*fakeServer{}, here...), far...)...)
	for n := range 40 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", fmt.Sprint("first-", n))).Status())
	}
	time.Sleep(4 * farRoundTrip)
	asked(far)
	return r
}

// asked returns how many slot requests the servers got since the last time.
func asked(servers []*fakeServer) int {
	n := 0
	for _, s := range servers {
		n += len(s.slotRequests)
		for range len(s.slotRequests) {
			<-s.slotRequests
		}
	}
	return n
}

func submitted(servers []*fakeServer) int {
	n := 0
	for _, s := range servers {
		n += len(s.submitted)
	}
	return n
}

// TestServe_OwnDataCentreLost_FarServersTakeOver has all servers of this data centre end,
// or their hosts fall silent, and come back. It guards against slots that are blocked in
// far data centres while there is room here, against requests that are refused while there
// is room elsewhere, and against requests that stay away afterwards.
func TestServe_OwnDataCentreLost_FarServersTakeOver(t *testing.T) {
	here, far := sites()
	r := newDistantRouter(t, here, far)
	serve := func(name string, count int) time.Duration {
		longest := time.Duration(0)
		for n := range count {
			started := time.Now()
			must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", fmt.Sprint(name, n))).Status())
			longest = max(longest, time.Since(started))
		}
		return longest
	}
	before := submitted(far)
	serve("calm-", 50)
	must.Eq(t, 0, asked(far))
	must.Eq(t, before, submitted(far))

	for _, s := range here {
		s.refusal = "server leaving"
	}
	must.Less(t, latencyObjective, serve("ended-", 20))
	must.Eq(t, before+20, submitted(far))

	for _, s := range here {
		s.refusal = ""
	}
	time.Sleep(2 * time.Second)
	serve("settling-", 50)
	before = submitted(far)
	time.Sleep(2 * time.Second)
	serve("back-", 50)
	must.Eq(t, before, submitted(far))
}

// TestServe_FullDataCentre_AsksFarOnesInTheSameSearch guards against a request that waits
// in the queues here for its whole time while a slot is free elsewhere.
func TestServe_FullDataCentre_AsksFarOnesInTheSameSearch(t *testing.T) {
	here, far := sites()
	r := newDistantRouter(t, here, far)
	for _, s := range here {
		s.queue = true
	}
	started := time.Now()
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", "id")).Status())
	must.Less(t, latencyObjective, time.Since(started))
	must.LessEq(t, 4, asked(far))
	for _, s := range here {
		must.Eq(t, 1, len(s.pending))
	}
}

// TestServe_SlowDataCentre_MovesRequestsGradually has servers here become four times
// slower without filling up. It guards against searches that do not wait for far offers
// when servers here are worse, and against requests that move all at once.
func TestServe_SlowDataCentre_MovesRequestsGradually(t *testing.T) {
	here, far := sites()
	r := newDistantRouter(t, here, far)
	time.Sleep(farRoundTrip)
	for _, s := range here {
		s.cost = 6
	}
	moved := func(name string) int {
		before := submitted(far)
		for n := range 40 {
			must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", fmt.Sprint(name, n))).Status())
		}
		return submitted(far) - before
	}
	must.Less(t, 16, moved("first-"))
	// The share of searches that ask far servers rises by a quarter a second.
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); {
		moved("rising-")
	}
	must.Greater(t, 30, moved("last-"))
}

// TestServe_NearDataCentres_AreAskedAsBefore guards against a change of deployments whose
// data centres are near each other.
func TestServe_NearDataCentres_AreAskedAsBefore(t *testing.T) {
	here, _ := sites()
	other := newFakeServer("other", "shop", 1)
	other.dataCentre, other.finalEvent = "south", respondWith(http.StatusOK)
	r := newDistantRouter(t, here, []*fakeServer{other})
	before := len(other.submitted)
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", "id")).Status())
	must.Eq(t, before+1, len(other.submitted))
}

// TestServe_FarServersThatWereNotAwaited_AreAskedAgain has a server here offer a slot from
// its queue before the far ones can have replied, and refuse the next request. It guards
// against far servers that are suspected because nobody waited for their replies.
func TestServe_FarServersThatWereNotAwaited_AreAskedAgain(t *testing.T) {
	here, far := sites()
	here, far = here[:1], far[:4]
	var refuse atomic.Bool
	usual := here[0].endpoint
	var queueing *upstream.Endpoint
	queueing = upstream.NewEndpoint("here-0", func(number uint64, r upstream.SlotRequest, events chan<- upstream.Event) {
		switch {
		case len(here[0].submitted) < 40: // the requests of newDistantRouter
			usual.Reserve(number, r, events)
		case refuse.Load():
			events <- upstream.NewEvent(upstream.Refused, number).WithEndpoint(queueing)
		default:
			events <- upstream.NewEvent(upstream.Queued, number).WithEndpoint(queueing)
			time.AfterFunc(time.Millisecond, func() { events <- upstream.NewEvent(upstream.Offered, number).WithEndpoint(queueing).WithCost(1) })
			here[0].pending <- events
		}
	}, usual.Withdraw, func(number uint64, r *upstream.Request) {
		if len(here[0].pending) == 0 {
			usual.Submit(number, r)
			return
		}
		(<-here[0].pending) <- respondWith(http.StatusOK)(number).WithEndpoint(queueing)
	}, usual.Cancel)
	here[0].endpoint = queueing
	r := newDistantRouter(t, here, far)
	for len(here[0].submitted) < 40 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", "more")).Status())
	}
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", "queued")).Status())
	refuse.Store(true)
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", "refused")).Status())
}

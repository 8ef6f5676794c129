package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
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
	"savorygap.example/lib/quota"
	"savorygap.example/lib/quota/controller"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

const (
	quotaRate = 1.0 // requests a second; three may be sent at the start
	quotaKey  = "key-choir"
	nestedID  = "id-1.2"
)

// newQuotaRouter returns a router for a tenant with a limit, on the only node of a fleet.
func newQuotaRouter(t *testing.T, servers ...*fakeServer) *dispatch.Router {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	clock := clockwork.NewRealClock()
	settings := dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0.2, 50, 10*time.Second)).
		WithTenants("Tenant-Name", "Token", func(id string) bool { return id == nestedID })
	observer := dispatch.NewObserver(func(string, string, time.Duration) {}, func(string) {}, func(quarantine.Record) {})
	r, err := dispatch.NewRouter(settings, charts, clock, eventlog.New(io.Discard, clock, "self"), observer)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := controller.New(func(run func(context.Context)) { go run(ctx) }, controller.NewConfig("self", quota.NewBounds(5*time.Second, 0.1, 20)), clock,
		eventlog.New(io.Discard, clock, "self"), controller.NewObserver(func(quota.Source, int) {}, func(quota.Source) {}, func(int) {}))
	c.SetMembership(controller.NewMembership(nil, 1, false))
	c.Configure([]quota.Limit{quota.NewLimit("choir", quotaRate, quotaRate)})
	r.UseQuotas(c.Begin)
	go r.Run(ctx)
	route := routeconfig.NewRoute("farm", "/read/", "read", routeconfig.KindIdempotent, []routeconfig.WeightedService{routeconfig.NewWeightedService("shop", 1)}).
		WithLatency(time.Second, 400*time.Millisecond).WithMaxAttempts(2)
	open := routeconfig.NewRoute("farm", "/open/", "open", routeconfig.KindIdempotent, []routeconfig.WeightedService{routeconfig.NewWeightedService("shop", 1)}).WithAnonymous(true)
	tenant := routeconfig.NewTenant("choir", []string{quotaKey}).WithQuota(quotaRate, quotaRate)
	config := routeconfig.New(2, []routeconfig.Route{route, open}, nil, routeconfig.DefaultLimits()).WithTenants([]routeconfig.Tenant{tenant})
	r.SetNodeCount(1)
	r.SetSnapshot(fleet.NewSnapshot(2, config))
	var peers []fleet.Peer
	for _, s := range servers {
		peers = append(peers, fleet.NewPeer(s.node, "north", link.NewServerState(s.service, "i-"+s.node, true), s.endpoint))
	}
	r.SetPeers(peers)
	return r
}

func (s *fakeServer) serveAll(r *dispatch.Router, count int) (statuses map[int]int, last *upstream.Response) {
	statuses = map[int]int{}
	for range count {
		last = r.Serve(context.Background(), call("/read/1", "id").WithAPIKey(quotaKey))
		statuses[last.Status()]++
	}
	return statuses, last
}

// TestCallsAboveTheLimit_Get429 guards against calls above the limit of their tenant that
// reach a server, and against callers that all return at the same instant.
func TestCallsAboveTheLimit_Get429(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	a.finalEvent = respondWith(http.StatusOK)
	r := newQuotaRouter(t, a)
	statuses, last := a.serveAll(r, 20)
	must.Eq(t, 3, statuses[http.StatusOK])
	must.Eq(t, 17, statuses[http.StatusTooManyRequests])
	must.Eq(t, 3, len(a.submitted))
	must.StrContains(t, string(last.Body()), `"over-quota"`)
	must.StrContains(t, string(last.Body()), "the owner self")
	distinct := map[string]bool{}
	for range 5 {
		refused := r.Serve(context.Background(), call("/read/1", "id").WithAPIKey(quotaKey))
		after, err := strconv.ParseFloat(refused.Header().Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Positive(t, after)
		distinct[refused.Header().Get("Retry-After")] = true
	}
	must.GreaterEq(t, 3, len(distinct))
}

// TestCallWithoutSlot_GivesItsCreditBack guards against credits that are lost with calls
// that no server got.
func TestCallWithoutSlot_GivesItsCreditBack(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	a.refusal = "no place"
	r := newQuotaRouter(t, a)
	statuses, _ := a.serveAll(r, 10)
	must.Eq(t, 10, statuses[http.StatusServiceUnavailable])
	must.Eq(t, 0, len(a.submitted))
}

// TestRetriedCall_TakesOneCredit guards against retries that count against the limit.
func TestRetriedCall_TakesOneCredit(t *testing.T) {
	a, b := newFakeServer("a", "shop", 1), newFakeServer("b", "shop", 2)
	a.finalEvent, b.finalEvent = respondWith(http.StatusInternalServerError), respondWith(http.StatusOK)
	r := newQuotaRouter(t, a, b)
	statuses, _ := a.serveAll(r, 3)
	must.Eq(t, 3, statuses[http.StatusOK])
	must.Eq(t, 3, len(a.submitted))
	must.Eq(t, 3, len(b.submitted))
}

// TestCallsOfNoTenant_TakeNoCredit guards against anonymous calls and calls of running
// requests that count against a limit.
func TestCallsOfNoTenant_TakeNoCredit(t *testing.T) {
	a := newFakeServer("a", "shop", 1)
	a.finalEvent = respondWith(http.StatusOK)
	r := newQuotaRouter(t, a)
	for range 10 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/open/1", "id")).Status())
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", nestedID).WithNested(true)).Status())
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", nestedID).WithNested(true).WithAPIKey(quotaKey)).Status())
	}
	statuses, _ := a.serveAll(r, 3)
	must.Eq(t, 3, statuses[http.StatusOK])
}

// TestServe_KeyRemovedWhileWaitingForCredit guards against a request that is sent although its
// key was removed while it waited for the answer of its tenant's owner, and against 429, after
// which the caller would come back, where the key is no longer valid.
func TestServe_KeyRemovedWhileWaitingForCredit(t *testing.T) {
	name := ownedByOther()
	for outcome, settle := range map[string]func(c *controller.Controller, q quota.Question){
		"credit granted": func(c *controller.Controller, q quota.Question) {
			c.HandleAnswer(quota.NewAnswer(q.Number(), 1, 0, true))
		},
		"credit refused": func(c *controller.Controller, q quota.Question) {
			c.HandleAnswer(quota.NewAnswer(q.Number(), 0, time.Second, true))
		},
		"tenant removed": func(c *controller.Controller, _ quota.Question) { c.Configure(nil) },
	} {
		rig := newTenantRig(t, routeconfig.NewTenant(name, []string{"key-1"}))
		c, questions := rig.useQuotas(t, clockwork.NewFakeClockAt(time.Now()), name)
		done := make(chan *upstream.Response, 1)
		go func() { done <- rig.router.Serve(context.Background(), tenantCall("/read/1", "id", "key-1")) }()
		q := <-questions
		<-rig.server.slotRequests
		time.Sleep(20 * time.Millisecond) // the slot is offered, and the call waits for its credit
		rig.router.SetSnapshot(fleet.NewSnapshot(6, tenantConfig(2, otherChoir())))
		rig.router.Dump(context.Background())
		settle(c, q)
		must.Eq(t, http.StatusUnauthorized, (<-done).Status(), must.Sprint(outcome))
		must.Eq(t, 0, len(rig.server.submitted), must.Sprint(outcome))
		must.Eq(t, 1, len(rig.server.withdrawn), must.Sprint(outcome))
	}
}

// ownedByOther returns a tenant that the node other owns in a view of self and other.
func ownedByOther() string {
	name, v := "choir", quota.NewView("self", []string{"other"}, 2, false)
	for v.Owner(name) != "other" {
		name += "r"
	}
	return name
}

// useQuotas limits a tenant that the node other owns, and returns the controller and the
// questions to that node.
func (rig *tenantRig) useQuotas(t *testing.T, clock clockwork.Clock, tenant string) (*controller.Controller, <-chan quota.Question) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	questions := make(chan quota.Question, 8)
	c := controller.New(func(run func(context.Context)) { go run(ctx) }, controller.NewConfig("self", quota.NewBounds(5*time.Second, 0.1, 20)), clock,
		rig.events, controller.NewObserver(func(quota.Source, int) {}, func(quota.Source) {}, func(int) {}))
	c.SetMembership(controller.NewMembership(map[string]func(quota.Question) bool{"other": func(q quota.Question) bool {
		questions <- q
		return true
	}}, 2, false))
	c.Configure([]quota.Limit{quota.NewLimit(tenant, 100, 100)})
	rig.router.UseQuotas(c.Begin)
	return c, questions
}

// TestServe_CreditThatLapsedIsNotUsed guards against requests that took credits one after another,
// waited for slots, and are sent together later than the bound on a window allows for.
func TestServe_CreditThatLapsedIsNotUsed(t *testing.T) {
	rig := newTenantRig(t, routeconfig.NewTenant(ownedByOther(), []string{"key-1"}))
	clock := clockwork.NewFakeClockAt(time.Now().Add(-time.Second)) // what it grants has lapsed
	c, questions := rig.useQuotas(t, clock, ownedByOther())
	done := make(chan *upstream.Response, 1)
	go func() { done <- rig.router.Serve(context.Background(), tenantCall("/read/1", "id", "key-1")) }()
	c.HandleAnswer(quota.NewAnswer((<-questions).Number(), 1, 0, true))
	var second quota.Question
	select {
	case second = <-questions:
	case <-done:
		t.Fatal("the request was sent with a credit that had lapsed")
	}
	must.Eq(t, 0, len(rig.server.submitted))
	c.HandleAnswer(quota.NewAnswer(second.Number(), 0, time.Second, true))
	must.Eq(t, http.StatusTooManyRequests, (<-done).Status())
	must.Eq(t, 0, len(rig.server.submitted))
}

// otherChoir is a tenant that has none of the keys of other tests.
func otherChoir() routeconfig.Tenant { return routeconfig.NewTenant("second choir", []string{"key-7"}) }

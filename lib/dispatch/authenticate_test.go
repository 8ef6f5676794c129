package dispatch_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
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

// tenantRig is a router whose configuration has tenants, with one server.
type tenantRig struct {
	router   *dispatch.Router
	server   *fakeServer
	log      *bytes.Buffer
	events   *eventlog.Log
	outcomes chan string
}

func newTenantRig(t *testing.T, tenants ...routeconfig.Tenant) *tenantRig {
	t.Helper()
	rig := &tenantRig{server: newFakeServer("a", "shop", 1), log: &bytes.Buffer{}, outcomes: make(chan string, 64)}
	rig.server.finalEvent = respondWith(http.StatusOK)
	charts, err := chart.Embedded()
	must.NoError(t, err)
	clock := clockwork.NewRealClock()
	observer := dispatch.NewObserver(func(_, outcome string, _ time.Duration) { rig.outcomes <- outcome }, func(string) {}, func(quarantine.Record) {})
	config := dispatch.NewConfig("self", "none", "north", dispatch.NewRetryLimits(0.2, 50, 10*time.Second)).
		WithTenants("X-Tenant", "Token", func(id string) bool { return strings.HasPrefix(id, "running.") })
	rig.events = eventlog.New(rig.log, clock, "self")
	rig.router, err = dispatch.NewRouter(config, charts, clock, rig.events, observer)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go rig.router.Run(ctx)
	rig.router.SetNodeCount(1)
	rig.router.SetSnapshot(fleet.NewSnapshot(5, tenantConfig(1, tenants...)))
	rig.router.SetPeers([]fleet.Peer{fleet.NewPeer("a", "north", link.NewServerState("shop", "i-a", true), rig.server.endpoint)})
	return rig
}

func tenantConfig(version uint64, tenants ...routeconfig.Tenant) *routeconfig.Config {
	route := func(name string) routeconfig.Route {
		return routeconfig.NewRoute("farm", "/"+name+"/", name, routeconfig.KindIdempotent, []routeconfig.WeightedService{routeconfig.NewWeightedService("shop", 1)}).
			WithLatency(2*time.Second, time.Second).WithPriority(4).WithMaxAttempts(2)
	}
	c := routeconfig.New(version, []routeconfig.Route{route("read"), route("open").WithAnonymous(true)}, nil, routeconfig.DefaultLimits())
	if len(tenants) == 0 {
		return c
	}
	return c.WithTenants(tenants)
}

func choir() routeconfig.Tenant {
	return routeconfig.NewTenant("choir", []string{"key-1"}).WithPriority(0)
}

// tenantCall returns a call that carries a key, and states the name of a tenant itself.
func tenantCall(path, id, key string) dispatch.Call {
	header := http.Header{"Authorization": {"Token " + key}, "X-Tenant": {"forged", "twice"}, "Accept": {"text/plain"}}
	return dispatch.NewCall(upstream.NewRequest(id, http.MethodGet, path, "farm", header, nil), path, time.Now(), time.Second).
		WithAPIKey(key).WithNested(strings.Contains(id, "."))
}

// TestServe_KeyDecidesWhetherACallIsSent guards against a call that reaches a server
// without a valid key, or is kept from one although it needs none, and against a key or a
// forged tenant that reaches a server.
func TestServe_KeyDecidesWhetherACallIsSent(t *testing.T) {
	for name, c := range map[string]struct {
		path, id, key string
		status        int
		tenant        string
		priority      int
		nested        bool
	}{
		"valid key":                          {"/read/1", "id", "key-1", 200, "choir", 0, false},
		"tenant without a priority":          {"/read/1", "id", "key-2", 200, "band", 4, false},
		"unknown key":                        {"/read/1", "id", "key-9", 401, "", 0, false},
		"no key":                             {"/read/1", "id", "", 401, "", 0, false},
		"unknown route":                      {"/gone/1", "id", "key-9", 404, "", 0, false},
		"anonymous route":                    {"/open/1", "id", "", 200, "", 4, false},
		"anonymous route, unknown key":       {"/open/1", "id", "key-9", 200, "", 4, false},
		"anonymous route, nested id":         {"/open/1", "gone.1", "", 200, "", 4, false},
		"anonymous route, nested call":       {"/open/1", "running.1", "", 200, "", 4, true},
		"nested call of a running request":   {"/read/1", "running.1", "", 200, "", 4, true},
		"nested call of an unknown request":  {"/read/1", "gone.1", "", 503, "", 0, false},
		"nested id with a valid key":         {"/read/1", "gone.1", "key-1", 200, "choir", 0, false},
		"nested id with an unknown key":      {"/read/1", "running.1", "key-9", 401, "", 0, false},
		"nested call with a key of a tenant": {"/read/1", "running.1", "key-1", 200, "choir", 0, true},
	} {
		rig := newTenantRig(t, choir(), routeconfig.NewTenant("band", []string{"key-2"}))
		call := tenantCall(c.path, c.id, c.key)
		sent := call.Request().Header().Clone()
		got := rig.router.Serve(context.Background(), call)
		must.Eq(t, c.status, got.Status(), must.Sprint(name))
		must.Eq(t, sent, call.Request().Header(), must.Sprint(name))
		must.Eq(t, c.status == http.StatusServiceUnavailable, got.Header().Get("Retry-After") != "", must.Sprint(name))
		outcome := <-rig.outcomes
		must.Eq(t, c.status == http.StatusUnauthorized, outcome == "unauthorized", must.Sprint(name, outcome))
		if c.status == http.StatusUnauthorized {
			must.StrContains(t, string(got.Body()), `"outcome":"unauthorized"`)
			must.Eq(t, "Token", got.Header().Get("Www-Authenticate"))
		}
		if c.status != http.StatusOK {
			must.Eq(t, 0, len(rig.server.slotRequests), must.Sprint(name))
			continue
		}
		slot := <-rig.server.slotRequests
		must.Eq(t, c.tenant, slot.Tenant(), must.Sprint(name))
		must.Eq(t, c.priority, slot.Priority(), must.Sprint(name))
		must.Eq(t, c.nested, slot.IsNested(), must.Sprint(name))
		must.Eq(t, "farm"+c.path[:6], slot.Route())
		want := http.Header{"Accept": {"text/plain"}}
		if c.tenant != "" {
			want["X-Tenant"] = []string{c.tenant}
		}
		must.Eq(t, want, (<-rig.server.submitted).Header(), must.Sprint(name))
	}
}

// TestServe_WithoutTenantsHeaderIsPassedOn guards against a change of requests where the
// configuration has no tenants.
func TestServe_WithoutTenantsHeaderIsPassedOn(t *testing.T) {
	rig := newTenantRig(t)
	call := tenantCall("/read/1", "gone.1", "key-9")
	must.Eq(t, http.StatusOK, rig.router.Serve(context.Background(), call).Status())
	must.Eq(t, call.Request().Header(), (<-rig.server.submitted).Header())
	slot := <-rig.server.slotRequests
	must.True(t, slot.IsNested())
	must.Eq(t, "", slot.Tenant())
}

// TestServe_WithoutConfigurationKeyIsNotJudged guards against 401 from a node that does not
// know the keys yet: its callers would give up.
func TestServe_WithoutConfigurationKeyIsNotJudged(t *testing.T) {
	rig := newTenantRig(t)
	rig.router.SetSnapshot(fleet.Snapshot{})
	got := rig.router.Serve(context.Background(), tenantCall("/read/1", "id", "key-1"))
	must.Eq(t, http.StatusServiceUnavailable, got.Status())
	must.NotEq(t, "", got.Header().Get("Retry-After"))
}

// TestServe_KeyRemovedWhileWaiting guards against a request that is sent although its key
// was removed, or given to another tenant, while it waited for a slot.
func TestServe_KeyRemovedWhileWaiting(t *testing.T) {
	for name, c := range map[string]struct {
		next   *routeconfig.Config
		offer  bool
		status int
	}{
		"removed, then a slot":          {tenantConfig(2, routeconfig.NewTenant("choir", []string{"key-7"})), true, http.StatusUnauthorized},
		"removed, and no slot":          {tenantConfig(2, routeconfig.NewTenant("choir", []string{"key-7"})), false, http.StatusUnauthorized},
		"given to another tenant":       {tenantConfig(2, routeconfig.NewTenant("band", []string{"key-1"})), true, http.StatusServiceUnavailable},
		"kept in a new version":         {tenantConfig(2, choir()), true, http.StatusOK},
		"no tenants in the new version": {tenantConfig(2), true, http.StatusOK},
	} {
		rig := newTenantRig(t, choir())
		rig.server.queue = true
		done := make(chan *upstream.Response, 1)
		go func() { done <- rig.router.Serve(context.Background(), tenantCall("/read/1", "id", "key-1")) }()
		events := <-rig.server.pending
		rig.router.SetSnapshot(fleet.NewSnapshot(6, c.next))
		rig.router.Dump(context.Background())
		if c.offer {
			rig.server.offers <- events
			events <- upstream.NewEvent(upstream.Offered, <-rig.server.queued).WithEndpoint(rig.server.endpoint).WithCost(1)
		}
		got := <-done
		must.Eq(t, c.status, got.Status(), must.Sprint(name))
		must.Eq(t, c.status == http.StatusOK, len(rig.server.submitted) == 1, must.Sprint(name))
		must.Eq(t, c.status == http.StatusServiceUnavailable, got.Header().Get("Retry-After") != "", must.Sprint(name))
	}
}

// TestServe_KeyRemovedDuringAttempt guards against a retry under a removed key, and against
// the answer that a request was not run when an earlier attempt may have run.
func TestServe_KeyRemovedDuringAttempt(t *testing.T) {
	for kind, want := range map[upstream.EventKind]int{upstream.Unknown: http.StatusBadGateway, upstream.NotRun: http.StatusUnauthorized} {
		rig := newTenantRig(t, choir())
		rig.server.finalEvent = func(number uint64) upstream.Event {
			rig.router.SetSnapshot(fleet.NewSnapshot(6, tenantConfig(2, routeconfig.NewTenant("choir", []string{"key-7"}))))
			rig.router.Dump(context.Background())
			return endWith(kind)(number)
		}
		got := rig.router.Serve(context.Background(), tenantCall("/read/1", "id", "key-1"))
		must.Eq(t, want, got.Status(), must.Sprint(kind))
		must.Eq(t, 1, len(rig.server.submitted))
	}
}

// TestServe_LogHasTenantAndNoKey guards against an API key in the log.
func TestServe_LogHasTenantAndNoKey(t *testing.T) {
	rig := newTenantRig(t, choir())
	rig.router.Serve(context.Background(), tenantCall("/read/1", "id-1", "key-1"))
	rig.router.Serve(context.Background(), tenantCall("/read/1", "id-2", "key-9"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	rig.events.Run(ctx)
	must.StrContains(t, rig.log.String(), `"request":"id-1"`)
	must.StrContains(t, rig.log.String(), `"tenant":"choir"`)
	must.StrContains(t, rig.log.String(), `"outcome":"unauthorized"`)
	must.StrNotContains(t, rig.log.String(), "key-")
}

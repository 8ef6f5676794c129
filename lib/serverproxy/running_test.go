package serverproxy_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/limiter"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/serverproxy"
	"savorygap.example/lib/upstream"
)

func shopConfig() *routeconfig.Config {
	services := []routeconfig.Service{routeconfig.NewService("shop", "/healthz", 50)}
	return routeconfig.New(2, nil, services, routeconfig.DefaultLimits())
}

// TestRunsParent_OnlyWhileTheServerRunsIt guards against a call without a key that is
// accepted before or after the request that makes it runs, or refused while it runs.
func TestRunsParent_OnlyWhileTheServerRunsIt(t *testing.T) {
	r := newOpenRig(t)
	tenants := shopConfig().WithTenants([]routeconfig.Tenant{routeconfig.NewTenant("choir", []string{"k"})})
	r.proxy.SetSnapshot(serverproxy.NewSnapshot(tenants, false, 2))
	events := r.mustOffer(1)
	must.False(t, r.proxy.RunsParent("id-1.a"))
	r.submit(1, "id-1", time.Hour)
	<-r.server.requests
	// The server has the request, so it may make calls by now.
	must.True(t, r.proxy.RunsParent("id-1.a"))
	must.False(t, r.proxy.RunsParent("id-2.a"))
	must.False(t, r.proxy.RunsParent("id-1"))
	r.server.answers <- answerTo("id-1")
	must.Eq(t, upstream.Answered, (<-events).Kind())
	must.False(t, r.proxy.RunsParent("id-1.a"))
}

// TestRunsParent_NothingIsPublishedWithoutTenants guards against a cost where no API keys
// are in use, and against ids that are out of date once they are.
func TestRunsParent_NothingIsPublishedWithoutTenants(t *testing.T) {
	r := newOpenRig(t)
	r.mustOffer(1)
	r.submit(1, "id-1", time.Hour)
	<-r.server.requests
	must.False(t, r.proxy.RunsParent("id-1.a"))
	set := func(c *routeconfig.Config) {
		r.proxy.SetSnapshot(serverproxy.NewSnapshot(c, false, 2))
		r.proxy.Dump(context.Background())
	}
	set(shopConfig().WithTenants([]routeconfig.Tenant{routeconfig.NewTenant("choir", []string{"k"})}))
	must.True(t, r.proxy.RunsParent("id-1.a"))
	set(shopConfig())
	must.False(t, r.proxy.RunsParent("id-1.a"))
}

// TestReserve_TenantWithFewestGrantsGoesFirst guards against slot requests whose tenant or
// its rate does not reach the queue of the server.
func TestReserve_TenantWithFewestGrantsGoesFirst(t *testing.T) {
	r := newOpenRig(t)
	r.proxy.SetSnapshot(serverproxy.NewSnapshot(shopConfig().WithTenants([]routeconfig.Tenant{
		routeconfig.NewTenant("big", nil).WithQuota(30, 0), routeconfig.NewTenant("small", nil).WithQuota(10, 0),
	}), false, 2))
	reserve := func(number uint64, tenant string) chan upstream.Event {
		events := make(chan upstream.Event, upstream.MaxEvents)
		request := upstream.NewSlotRequest("shop", 1).WithMaxWait(time.Minute).WithTenant(tenant)
		r.proxy.Reserve(limiter.NewKey(1, number), request, func(e upstream.Event) { events <- e })
		return events
	}
	const slots = 8 // of 10, for ordinary requests
	for n := range uint64(slots) {
		tenant := "big"
		if n >= 5 {
			tenant = "small"
		}
		must.Eq(t, upstream.Offered, (<-reserve(n, tenant)).Kind())
		r.submit(n, fmt.Sprint("id-", n), time.Hour)
		<-r.server.requests
	}
	// The tenant big had 5 slots of 30 that it is due, small 3 of 10. The newest is of small.
	waiting := []chan upstream.Event{reserve(20, "big"), reserve(21, "small")}
	for _, events := range waiting {
		must.Eq(t, upstream.Queued, (<-events).Kind())
	}
	r.server.answers <- answerTo("id-0")
	must.Eq(t, upstream.Offered, (<-waiting[0]).Kind())
	must.Eq(t, 0, len(waiting[1]))
}

func isNestedIn(id, parent string) bool { return strings.HasPrefix(id, parent+".") }

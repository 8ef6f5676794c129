package serverproxy_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

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

func isNestedIn(id, parent string) bool { return strings.HasPrefix(id, parent+".") }

package routeconfig_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/routeconfig"
)

// TestTenantByKey_KeysOfOneTenantOnly guards against a key that is accepted for another
// tenant, or that is accepted although no tenant has it.
func TestTenantByKey_KeysOfOneTenantOnly(t *testing.T) {
	c := routeconfig.New(1, nil, nil, routeconfig.DefaultLimits())
	must.False(t, c.HasTenants())
	c = c.WithTenants([]routeconfig.Tenant{
		routeconfig.NewTenant("choir", []string{"k1", "k2"}).WithPriority(0).WithQuota(5, 10),
		routeconfig.NewTenant("band", []string{"k3"}),
	})
	must.True(t, c.HasTenants())
	for key, want := range map[string]string{"k1": "choir", "k2": "choir", "k3": "band"} {
		tenant, ok := c.TenantByKey(key)
		must.True(t, ok)
		must.Eq(t, want, tenant.Name())
	}
	for _, key := range []string{"", "k", "K1", "choir"} {
		_, ok := c.TenantByKey(key)
		must.False(t, ok, must.Sprint(key))
	}
	band, _ := c.TenantByKey("k3")
	_, set := band.Priority()
	must.False(t, set)
	must.Eq(t, 0.0, band.Rate())
}

// TestTenants_AreInTheOrderOfTheConfiguration guards against nodes that apply different limits to
// tenants of one name: the last one counts.
func TestTenants_AreInTheOrderOfTheConfiguration(t *testing.T) {
	var tenants []routeconfig.Tenant
	for n := range 20 {
		tenants = append(tenants, routeconfig.NewTenant("choir", []string{fmt.Sprint("a", n), fmt.Sprint("b", n)}).WithQuota(float64(n), 0))
	}
	tenants = append(tenants, routeconfig.NewTenant("no key", nil))
	list := routeconfig.New(1, nil, nil, routeconfig.DefaultLimits()).WithTenants(tenants).Tenants()
	must.Len(t, 20, list)
	for n, tenant := range list {
		must.Eq(t, float64(n), tenant.Rate())
	}
}

// TestTenantWeight_IsItsRateOrTheMean guards against a tenant without a rate, or a request
// without a tenant, that counts as a very small or very large one.
func TestTenantWeight_IsItsRateOrTheMean(t *testing.T) {
	c := routeconfig.New(1, nil, nil, routeconfig.DefaultLimits())
	must.Eq(t, 0.0, c.TenantWeight("choir"))
	c = c.WithTenants([]routeconfig.Tenant{
		routeconfig.NewTenant("choir", nil).WithQuota(30, 0), routeconfig.NewTenant("band", nil).WithQuota(10, 0), routeconfig.NewTenant("free", nil),
	})
	for name, want := range map[string]float64{"choir": 30, "band": 10, "free": 20, "": 20, "unknown": 20} {
		must.Eq(t, want, c.TenantWeight(name), must.Sprint(name))
	}
	must.Eq(t, 0.0, c.WithTenants([]routeconfig.Tenant{routeconfig.NewTenant("free", nil)}).TenantWeight("free"))
}

package pipeline_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	anonymousRoute = `,{"Name":"open","PathPrefix":"/open/","Kind":"safe","TimeoutS":0.8,"TargetLatencyS":0.4,"Priority":1,"Service":"shop","Attempts":2,"Anonymous":true}`
	choirTenants   = `{"Name":"choir","ApiKeys":["key-choir-1","key-choir-2"],"Priority":0},{"Name":"band","ApiKeys":["key-band"]}`
)

// tenantConfiguration returns a configuration with an anonymous route and tenants.
func tenantConfiguration(version int, tenants string) []byte {
	text := bytes.TrimSuffix(configuration(version, anonymousRoute), []byte("}"))
	return fmt.Appendf(text, `,"Tenants":[%s]}`, tenants)
}

// newTenantCluster returns two hosts, a with no server of the service shop and b with one,
// on which a configuration with tenants is in force.
func newTenantCluster(t *testing.T, serviceTime time.Duration) (cl *cluster, a, b *host) {
	t.Helper()
	cl = newCluster(t)
	cl.store.Put("op/config", tenantConfiguration(2, choirTenants))
	a, b = cl.addHost(t, "till", 0), cl.addHost(t, "shop", serviceTime)
	for _, h := range cl.hosts {
		eventually(t, 5*time.Second, func() bool { return h.sendWithKey(t, "/read/1", "first", "").status == http.StatusUnauthorized })
	}
	return cl, a, b
}

// sendWithKey sends a read with a key, "" for none, and a tenant that the caller states
// itself.
func (h *host) sendWithKey(t *testing.T, path, id, key string) result {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.addresses["callers"]+path, nil)
	must.NoError(t, err)
	request.Host = "farm.example"
	request.Header = http.Header{"Savorygap-Attempt-Id": {id}, "Savorygap-Deadline-Ms": {"1000"}, "Savorygap-Tenant": {"forged", "again"}}
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	must.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return result{status: response.StatusCode, body: string(text), header: response.Header}
}

// TestTenants_ServerGetsTheNameAndNeverTheKey guards against a key or a forged name that
// reaches a server or a log, on the way over a link and without one.
func TestTenants_ServerGetsTheNameAndNeverTheKey(t *testing.T) {
	cl := newCluster(t)
	cl.store.Put("op/config", tenantConfiguration(2, choirTenants))
	var logs [2]bytes.Buffer
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	for i, h := range []*host{a, b} {
		h.log = &logs[i]
		h.restart(t)
	}
	cl.awaitAccepting(t, b, "shop", true)
	for _, h := range []*host{a, b} {
		for key, tenant := range map[string]string{"key-choir-1": "choir", "key-choir-2": "choir", "key-band": "band"} {
			b.server.TakeExecutions()
			must.Eq(t, http.StatusOK, h.sendWithKey(t, "/read/1", "id-1", key).status)
			executions := b.server.TakeExecutions()
			must.Eq(t, 1, len(executions))
			header := executions[0].Header()
			must.Eq(t, []string{tenant}, header.Values("Savorygap-Tenant"))
			must.Eq(t, 0, len(header.Values("Authorization")))
		}
		for _, key := range []string{"key-unknown", ""} {
			r := h.sendWithKey(t, "/read/1", "id-2", key)
			must.Eq(t, http.StatusUnauthorized, r.status)
			must.Eq(t, "", r.header.Get("Retry-After"))
			must.StrContains(t, r.body, `"outcome":"unauthorized"`)
			must.Eq(t, http.StatusNotFound, h.sendWithKey(t, "/nowhere/1", "id-3", key).status)
			must.Eq(t, http.StatusOK, h.sendWithKey(t, "/open/1", "id-4", key).status)
		}
		for _, e := range b.server.TakeExecutions() {
			must.Eq(t, "id-4", e.ID())
			must.Eq(t, 0, len(e.Header().Values("Savorygap-Tenant"))+len(e.Header().Values("Authorization")))
		}
		response, err := http.Get("http://" + h.addresses["metrics"] + "/metrics")
		must.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.StrContains(t, string(text), `savorygap_requests_total{outcome="unauthorized"} 2`)
		must.StrNotContains(t, string(text), "key-")
		if h == b {
			must.StrContains(t, string(text), "savorygap_server_tenants 3") // choir, band and requests without a tenant
		}
	}
	for i, h := range []*host{a, b} {
		h.kill()
		text := logs[i].String()
		must.StrContains(t, text, `"tenant":"choir"`)
		must.StrNotContains(t, text, "key-")
	}
}

// TestTenants_WithoutThemHeaderIsPassedOn guards against a change where the configuration
// has no tenants.
func TestTenants_WithoutThemHeaderIsPassedOn(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	must.Eq(t, http.StatusOK, a.sendWithKey(t, "/read/1", "id-1", "any").status)
	header := b.server.TakeExecutions()[0].Header()
	must.Eq(t, []string{"Token any"}, header.Values("Authorization"))
	must.Eq(t, []string{"forged", "again"}, header.Values("Savorygap-Tenant"))
}

// TestTenants_NestedCallNeedsNoKeyWhileItsParentRuns guards against calls of a server that
// are refused for want of a key, and against callers that avoid the key by an id that only
// looks like that of such a call.
func TestTenants_NestedCallNeedsNoKeyWhileItsParentRuns(t *testing.T) {
	_, a, b := newTenantCluster(t, 300*time.Millisecond)
	done := make(chan result, 1)
	go func() { done <- a.sendWithKey(t, "/read/1", "parent", "key-band") }()
	eventually(t, 2*time.Second, func() bool { return b.server.InFlight() == 1 })
	b.server.TakeExecutions()
	must.Eq(t, http.StatusOK, b.sendWithKey(t, "/read/1", "parent.own", "").status)
	nested := b.server.TakeExecutions()
	must.Eq(t, 1, len(nested))
	must.Eq(t, 0, len(nested[0].Header().Values("Savorygap-Tenant")))
	must.Eq(t, http.StatusOK, (<-done).status)
	// The request has ended, and has never run on host a.
	for _, h := range []*host{a, b} {
		r := h.sendWithKey(t, "/read/1", "parent.late", "")
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.NotEq(t, "", r.header.Get("Retry-After"))
		must.Eq(t, http.StatusUnauthorized, h.sendWithKey(t, "/read/1", "parent.forged", "key-unknown").status)
	}
	must.Eq(t, 0, len(b.server.TakeExecutions()))
}

// TestTenants_RemovedKeyIsOutOfForce guards against a removed key that is accepted for
// longer than 2.5 s after the store has the version, and against a new one that is not.
func TestTenants_RemovedKeyIsOutOfForce(t *testing.T) {
	cl, a, b := newTenantCluster(t, 0)
	must.Eq(t, http.StatusOK, a.sendWithKey(t, "/read/1", "id-1", "key-band").status)
	cl.store.Put("op/config", tenantConfiguration(3, `{"Name":"choir","ApiKeys":["key-choir-1","key-new"]}`))
	for _, h := range []*host{a, b} {
		eventually(t, 2500*time.Millisecond, func() bool {
			return h.sendWithKey(t, "/read/1", "id-2", "key-band").status == http.StatusUnauthorized && h.sendWithKey(t, "/read/1", "id-3", "key-new").status == http.StatusOK
		})
		must.Eq(t, http.StatusOK, h.sendWithKey(t, "/read/1", "id-4", "key-choir-1").status)
		must.Eq(t, http.StatusUnauthorized, h.sendWithKey(t, "/read/1", "id-5", "key-choir-2").status)
	}
}

// TestTenants_KeyRemovedWhileWaitingIsNotSent guards against a request that waits in the
// queue of a server when its key is removed, and is then sent all the same.
func TestTenants_KeyRemovedWhileWaitingIsNotSent(t *testing.T) {
	cl := newCluster(t)
	withPatience := func(version int, tenants string) []byte {
		return bytes.Replace(tenantConfiguration(version, tenants), []byte(anonymousRoute), []byte(patientRoute), 1)
	}
	cl.store.Put("op/config", withPatience(2, choirTenants))
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 3*time.Second)
	eventually(t, 5*time.Second, func() bool { return a.sendWithKey(t, "/read/1", "first", "").status == http.StatusUnauthorized })
	const slots = 8 // of 10, for ordinary requests
	order := func(id, key string) result {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+a.addresses["callers"]+"/patient/1", strings.NewReader("x"))
		must.NoError(t, err)
		request.Host = "farm.example"
		request.Header = http.Header{"Savorygap-Attempt-Id": {id}, "Savorygap-Deadline-Ms": {"30000"}, "Authorization": {"Token " + key}}
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		return result{status: response.StatusCode}
	}
	statuses := make(chan int, slots)
	for n := range slots {
		go func() { statuses <- order(fmt.Sprint("busy-", n), "key-choir-1").status }()
	}
	eventually(t, 2*time.Second, func() bool { return b.server.InFlight() == slots })
	waiting := make(chan int, 1)
	go func() { waiting <- order("waiting", "key-band").status }()
	time.Sleep(100 * time.Millisecond)
	cl.store.Put("op/config", withPatience(3, `{"Name":"choir","ApiKeys":["key-choir-1"]}`))
	must.Eq(t, http.StatusUnauthorized, <-waiting)
	for range slots {
		must.Eq(t, http.StatusOK, <-statuses)
	}
	for _, e := range b.server.TakeExecutions() {
		must.NotEq(t, "waiting", e.ID())
	}
}

// TestTenants_NodeWithoutConfigurationAnswers503 guards against 401 for a valid key from a
// node that does not know the keys yet.
func TestTenants_NodeWithoutConfigurationAnswers503(t *testing.T) {
	cl, a, b := newTenantCluster(t, 0)
	b.kill()
	a.kill()
	cl.store.Remove("op/config")
	a.start(t)
	r := a.sendWithKey(t, "/read/1", "id-1", "key-band")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, http.StatusServiceUnavailable, a.sendWithKey(t, "/read/1", "id-2", "").status)
}

// TestConfiguration_InvalidKeepsTheOldOne guards against a faulty configuration of any kind
// that is put in force, in whole or in part, and against a node that stops following the
// store after one.
func TestConfiguration_InvalidKeepsTheOldOne(t *testing.T) {
	cl, a, b := newTenantCluster(t, 0)
	replace := func(version int, old, faulty string) []byte {
		text := tenantConfiguration(version, `{"Name":"choir","ApiKeys":["key-faulty"]},{"Name":"band","ApiKeys":["key-band"],"RatePerS":5}`)
		must.True(t, bytes.Contains(text, []byte(old)), must.Sprint(old))
		return bytes.Replace(text, []byte(old), []byte(faulty), 1)
	}
	version := 3
	for name, fault := range map[string][2]string{
		"unknown service":    {`"Service":"shop"`, `"Service":"gone"`},
		"negative number":    {`"RatePerS":5`, `"RatePerS":-5`},
		"negative timeout":   {`"TimeoutS":0.8`, `"TimeoutS":-0.8`},
		"no host":            {`"Host":"farm.example"`, `"Host":""`},
		"no timeout":         {`"TimeoutS":0.8,`, ``},
		"key of two tenants": {`["key-band"]`, `["key-band","key-faulty"]`},
		"truncated":          {`"RatePerS":5}]}`, `"RatePerS":`},
		"older version":      {fmt.Sprintf(`"r%d"`, version), `"r1"`},
		"same version":       {fmt.Sprintf(`"r%d"`, version), `"r2"`},
	} {
		cl.store.Put("op/config", replace(version, fault[0], fault[1]))
		time.Sleep(900 * time.Millisecond)
		for _, h := range []*host{a, b} {
			must.Eq(t, http.StatusUnauthorized, h.sendWithKey(t, "/read/1", "id-1", "key-faulty").status, must.Sprint(name))
			must.Eq(t, http.StatusOK, h.sendWithKey(t, "/read/1", "id-2", "key-choir-1").status, must.Sprint(name))
		}
	}
	cl.store.Put("op/config", replace(version, `"RatePerS":5`, `"RatePerS":6`))
	for _, h := range []*host{a, b} {
		eventually(t, 2500*time.Millisecond, func() bool { return h.sendWithKey(t, "/read/1", "id-3", "key-faulty").status == http.StatusOK })
	}
}

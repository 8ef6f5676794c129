package pipeline_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/quota"
	"savorygap.example/platform/platformtest"
)

const (
	quotaSettings = "quota: {window: 5s, overshoot: 0.1, slack: 20}\n"
	choirRate     = 20.0 // requests a second, and the burst
	choirKey      = "key-choir"
)

// newQuotaCluster returns hosts on which a tenant has a limit. The last one has the
// server.
func newQuotaCluster(t *testing.T, count int, settings, tenant string) *cluster {
	t.Helper()
	cl := newCluster(t)
	cl.settings = settings
	for range count - 1 {
		cl.addHost(t, "till", 0)
	}
	cl.addHost(t, "shop", time.Millisecond)
	cl.store.Put("op/config", limitedTenant(2, tenant, choirRate))
	for _, h := range cl.hosts {
		eventually(t, 5*time.Second, func() bool { return h.sendWithKey(t, "/read/1", "first", "").status == http.StatusUnauthorized })
	}
	return cl
}

func limitedTenant(version int, tenant string, rate float64) []byte {
	return tenantConfiguration(version, fmt.Sprintf(`{"Name":%q,"ApiKeys":[%q],"RatePerS":%v,"Burst":%v}`, tenant, choirKey, rate, rate))
}

// tenantLoad counts the responses to the requests of a tenant, by status.
type tenantLoad struct {
	served, refused, other, running atomic.Int64
	withoutRetryAfter               atomic.Int64
}

// send has each host send perSecond requests a second for d, and waits for their end.
func (l *tenantLoad) send(d time.Duration, perSecond float64, hosts ...*host) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-ticker.C
		for _, h := range hosts {
			l.running.Add(1)
			go func() {
				defer l.running.Add(-1)
				l.sendOne(h)
			}()
		}
	}
	for l.running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// sendOne sends one request. One that the host cannot take counts as other.
func (l *tenantLoad) sendOne(h *host) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.addresses["callers"]+"/read/1", nil)
	if err != nil {
		l.other.Add(1)
		return
	}
	request.Host = "farm.example"
	request.Header = http.Header{"Savorygap-Attempt-Id": {"choir-1"}, "Savorygap-Deadline-Ms": {"1000"}, "Authorization": {"Token " + choirKey}}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		l.other.Add(1)
		return
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		l.served.Add(1)
	case http.StatusTooManyRequests:
		l.refused.Add(1)
		if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err != nil || after <= 0 || !strings.Contains(string(text), `"over-quota"`) {
			l.withoutRetryAfter.Add(1)
		}
	default:
		l.other.Add(1)
	}
}

// busiestQuotaWindow returns the largest number of requests that reached a server within
// 5 s.
func busiestQuotaWindow(executions []platformtest.Execution) int {
	most, first := 0, 0
	for last, e := range executions {
		for e.StartedAt().Sub(executions[first].StartedAt()) >= 5*time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowedForChoir() int {
	return int(quota.NewBounds(5*time.Second, 0.1, 20).Allowed(quota.NewLimit("choir", choirRate, choirRate)))
}

// TestFloodOverSeveralNodes_StaysWithinTheTenantsLimit guards against a tenant that gets
// its limit once at each node.
func TestFloodOverSeveralNodes_StaysWithinTheTenantsLimit(t *testing.T) {
	cl := newQuotaCluster(t, 4, quotaSettings, "choir")
	server := cl.hosts[3].server
	server.TakeExecutions()
	var load tenantLoad
	load.send(6*time.Second, choirRate, cl.hosts...)
	arrived := busiestQuotaWindow(server.TakeExecutions())
	t.Logf("%d of %d allowed, served %d, refused %d, other %d", arrived, allowedForChoir(), load.served.Load(), load.refused.Load(), load.other.Load())
	must.LessEq(t, allowedForChoir(), arrived)
	must.GreaterEq(t, int(0.95*choirRate*5), arrived)
	must.Eq(t, 0, load.withoutRetryAfter.Load())
	must.GreaterEq(t, int64(100), load.refused.Load())
}

// TestFloodWithoutQuotaSettings_IsNotLimited shows that the test above fails without the
// part.
func TestFloodWithoutQuotaSettings_IsNotLimited(t *testing.T) {
	cl := newQuotaCluster(t, 4, "", "choir")
	var load tenantLoad
	load.send(5*time.Second, choirRate, cl.hosts...)
	must.Less(t, busiestQuotaWindow(cl.hosts[3].server.TakeExecutions()), allowedForChoir())
	must.Eq(t, 0, load.refused.Load())
}

// TestUsualDemandOverSeveralNodes_IsServed guards against refusals within the limit, also
// right after the configuration with the limit is in force.
func TestUsualDemandOverSeveralNodes_IsServed(t *testing.T) {
	cl := newQuotaCluster(t, 4, quotaSettings, "choir")
	var load tenantLoad
	load.send(4*time.Second, choirRate/1.6/4, cl.hosts...)
	must.LessEq(t, load.served.Load()/20, load.refused.Load())
	must.Eq(t, 0, load.other.Load())
}

// TestOwnerKilledInAFlood_LimitHolds guards against an owner whose successor, or whose next
// process, grants what was granted already, and against refusals while there is none.
func TestOwnerKilledInAFlood_LimitHolds(t *testing.T) {
	// host-1 owns the tenant, and host-4 has the server.
	tenant, v := "choir", quota.NewView("host-4", []string{"host-1", "host-2", "host-3"}, 4, false)
	for v.Owner(tenant) != "host-1" {
		tenant += "s"
	}
	cl := newQuotaCluster(t, 4, quotaSettings, tenant)
	killed, others := cl.hosts[0], cl.hosts[1:]
	server := cl.hosts[3].server
	server.TakeExecutions()
	done := make(chan struct{})
	var load tenantLoad
	go func() {
		defer close(done)
		load.send(7*time.Second, choirRate, others...)
	}()
	time.Sleep(2 * time.Second)
	killed.process.Stop() // without a word to its peers
	killed.kill()
	time.Sleep(time.Second)
	killed.start(t)
	<-done
	executions := server.TakeExecutions()
	arrived := busiestQuotaWindow(executions)
	t.Logf("%d of %d allowed, served %d, refused %d, other %d", arrived, allowedForChoir(), load.served.Load(), load.refused.Load(), load.other.Load())
	must.LessEq(t, allowedForChoir(), arrived)
	must.GreaterEq(t, int(0.85*choirRate*7), len(executions))
}

// TestNodesRestartedInAStoreOutage_LimitHolds guards against nodes that are killed together
// and take the one survivor that they are linked to for the rest of the fleet: several
// owned a tenant, and fell back on a half of its rate each.
func TestNodesRestartedInAStoreOutage_LimitHolds(t *testing.T) {
	cl := newQuotaCluster(t, 8, quotaSettings, "choir")
	killed, server := cl.hosts[:7], cl.hosts[7].server
	server.TakeExecutions()
	cl.store.SetUnavailable(true)
	for _, h := range killed {
		h.process.Stop() // without a word to its peers
	}
	for _, h := range killed {
		h.kill()
	}
	for _, h := range killed {
		h.start(t)
	}
	var load tenantLoad
	load.send(9*time.Second, choirRate, cl.hosts...)
	arrived := busiestQuotaWindow(server.TakeExecutions())
	t.Logf("%d of %d allowed, served %d, refused %d, other %d", arrived, allowedForChoir(), load.served.Load(), load.refused.Load(), load.other.Load())
	must.LessEq(t, allowedForChoir(), arrived)
	must.GreaterEq(t, int(0.85*choirRate*5), arrived)
}

// TestLoweredLimit_BindsAfterAWindow guards against credits and tokens of the old limit.
func TestLoweredLimit_BindsAfterAWindow(t *testing.T) {
	const lowered = 2.0
	cl := newQuotaCluster(t, 3, quotaSettings, "choir")
	server := cl.hosts[2].server
	var load tenantLoad
	load.send(time.Second, choirRate, cl.hosts...)
	cl.store.Put("op/config", limitedTenant(3, "choir", lowered))
	load.send(7500*time.Millisecond, choirRate, cl.hosts...)
	server.TakeExecutions()
	load.send(5*time.Second, choirRate, cl.hosts...)
	arrived := busiestQuotaWindow(server.TakeExecutions())
	allowed := quota.NewBounds(5*time.Second, 0.1, 20).Allowed(quota.NewLimit("choir", lowered, lowered))
	must.LessEq(t, int(allowed), arrived)
	must.GreaterEq(t, int(0.9*lowered*5), arrived)
}

package pipeline_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sendReads sends reads of a tenant at a steady rate for d, and returns how many were sent
// and how many were served.
func (h *host) sendReads(t *testing.T, key string, perSecond int, d time.Duration) (sent, served int) {
	var group sync.WaitGroup
	var ok atomic.Int64
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); sent++ {
		<-ticker.C
		id := fmt.Sprint(key, "-", sent)
		group.Go(func() {
			if h.sendWithKey(t, "/read/1", id, key).status == http.StatusOK {
				ok.Add(1)
			}
		})
	}
	group.Wait()
	return sent, int(ok.Load())
}

// TestTenants_FloodOfOneCostsAnotherLessThanFiveInAHundred guards against a tenant that
// takes the slots of a server from others, over a link and through the queue beside the
// server. The server takes 80 requests a second.
func TestTenants_FloodOfOneCostsAnotherLessThanFiveInAHundred(t *testing.T) {
	const loadTime = 4 * time.Second
	cl, a, b := newTenantCluster(t, 100*time.Millisecond)
	// Both have the priority of the route, so that only their shares decide.
	cl.store.Put("op/config", tenantConfiguration(3, `{"Name":"choir","ApiKeys":["key-choir"]},{"Name":"band","ApiKeys":["key-band"]}`))
	for _, h := range cl.hosts {
		eventually(t, 5*time.Second, func() bool { return h.sendWithKey(t, "/read/1", "ready", "key-choir").status == http.StatusOK })
	}
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		sent, served := b.sendReads(t, "key-choir", 240, loadTime)
		t.Logf("flooding tenant: %d of %d served", served, sent)
	}()
	time.Sleep(500 * time.Millisecond)
	sent, served := a.sendReads(t, "key-band", 20, loadTime-time.Second)
	t.Logf("other tenant: %d of %d served", served, sent)
	must.GreaterEq(t, sent*95/100, served)
	<-flooded
}

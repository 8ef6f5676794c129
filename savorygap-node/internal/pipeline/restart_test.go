package pipeline_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRestartedNode_HonoursDepartureThatTheStoreMissed has a server announce that it
// drains while the store is unavailable, and its node start again before the store
// is back. The server's health check still passes, and the platform announces the
// server no more.
func TestRestartedNode_HonoursDepartureThatTheStoreMissed(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", "before", "").status)
	takeRequestIDs(b.server)
	cl.store.SetUnavailable(true)
	b.announce(t, "draining")
	must.Eq(t, 0, len(cl.store.Keys("savorygap/departure/")))
	b.kill()
	b.start(t)
	eventually(t, 10*time.Second, func() bool { ready, _ := b.process.Ready(); return ready })
	time.Sleep(time.Second)
	must.Eq(t, http.StatusServiceUnavailable, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
	must.Eq(t, http.StatusServiceUnavailable, b.mustSend(t, http.MethodGet, "/read/1", "id-2", "").status)
	must.Eq(t, 0, len(takeRequestIDs(b.server)))
	cl.store.SetUnavailable(false)
	eventually(t, 4*time.Second, func() bool { return len(cl.store.Keys("savorygap/departure/")) == 1 })
}

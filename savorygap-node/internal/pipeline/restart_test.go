package pipeline_test

import (
	"context"
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

// leave has the host's server leave without an announcement that it drains.
func (h *host) leave(t *testing.T) {
	t.Helper()
	status, err := h.server.AnnounceDeparture(context.Background(), h.addresses["announcements"])
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
}

// restart starts the host's node again at once and waits until callers may be sent to it.
func (h *host) restart(t *testing.T) {
	t.Helper()
	h.kill()
	h.start(t)
	eventually(t, 10*time.Second, func() bool { ready, _ := h.process.Ready(); return ready })
}

// mustNotUse sends reads to the nodes, none of which may reach the server of h.
func (h *host) mustNotUse(t *testing.T, nodes ...*host) {
	t.Helper()
	takeRequestIDs(h.server)
	for _, node := range nodes {
		for range 10 {
			must.Eq(t, http.StatusServiceUnavailable, node.mustSend(t, http.MethodGet, "/read/1", "late", "").status)
		}
	}
	must.Eq(t, 0, len(takeRequestIDs(h.server)))
}

// TestRestartedNode_DelayedHeartbeatReopensNoServer guards against requests to a server
// whose leaving was acknowledged. It has never announced that it drains, its node starts
// again, and a heartbeat from before arrives late.
func TestRestartedNode_DelayedHeartbeatReopensNoServer(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	b.server.SetUnhealthy(true)
	b.leave(t)
	b.restart(t)
	b.announce(t, "ready")
	time.Sleep(time.Second)
	b.mustNotUse(t, a, b)
}

// TestDeparture_IsAcknowledgedOnceAnotherKnowsIt guards against an acknowledgement that a
// restart of the node forgets: neither the store nor a peer can be told.
func TestDeparture_IsAcknowledgedOnceAnotherKnowsIt(t *testing.T) {
	cl := newCluster(t)
	b := cl.addHost(t, "shop", 0)
	cl.store.SetUnavailable(true)
	for _, call := range []func() (int, error){
		func() (int, error) {
			return b.server.Announce(context.Background(), b.addresses["announcements"], "draining")
		},
		func() (int, error) {
			return b.server.AnnounceDeparture(context.Background(), b.addresses["announcements"])
		},
	} {
		status, err := call()
		must.NoError(t, err)
		must.Eq(t, http.StatusConflict, status)
		b.mustNotUse(t, b)
	}
	cl.store.SetUnavailable(false)
	eventually(t, 4*time.Second, func() bool { return len(cl.store.Keys("savorygap/departure/")) == 1 })
	b.leave(t)
	b.restart(t)
	b.announce(t, "ready")
	time.Sleep(500 * time.Millisecond)
	b.mustNotUse(t, b)
}

package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/link"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/upstream"
)

// newVersionRouter returns a router with the policy for the service shop, whose servers
// have the version in front of the dash in their names.
func newVersionRouter(t *testing.T, p rollout.Policy, servers ...*fakeServer) *dispatch.Router {
	t.Helper()
	r := newRouterWith(t, clockwork.NewRealClock(), dispatch.NewRetryLimits(0.2, 50, 10*time.Second), servers...)
	r.SetPolicies(map[string]rollout.Policy{"shop": p})
	setReleases(r, servers...)
	return r
}

func setReleases(r *dispatch.Router, servers ...*fakeServer) {
	var peers []fleet.Peer
	for _, s := range servers {
		peers = append(peers, fleet.NewPeer(s.node, "north", link.NewServerState(s.service, "i-"+s.node, true).WithRelease(s.node[:2]), s.endpoint))
	}
	r.SetPeers(peers)
}

// TestVersions_CanaryGetsItsShare guards against a share that is exceeded, and against
// servers of the target version that are not in use.
func TestVersions_CanaryGetsItsShare(t *testing.T) {
	old, canary, idle := newFakeServer("v1-a", "shop", 1), newFakeServer("v2-a", "shop", 1), newFakeServer("v2-b", "shop", 1)
	for _, s := range []*fakeServer{old, canary, idle} {
		s.finalEvent = respondWith(http.StatusOK)
	}
	r := newVersionRouter(t, rollout.NewPolicy("v1").WithTarget("v2", 0.1, "v2-a"), old, canary, idle)
	for n := range 200 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", fmt.Sprint("id-", n))).Status())
	}
	must.Between(t, 19, len(canary.submitted), 21)
	must.Eq(t, 0, len(idle.submitted))
	must.Eq(t, "v2", (<-canary.slotRequests).Release())
	must.Eq(t, "farm/order/", (<-old.slotRequests).Route())
}

// TestVersions_UnnamedOneGetsNothing guards against requests to servers of a version that
// is not that of the service, and to those whose version is not known.
func TestVersions_UnnamedOneGetsNothing(t *testing.T) {
	old, other := newFakeServer("v1-a", "shop", 4), newFakeServer("v2-a", "shop", 1)
	old.finalEvent = respondWith(http.StatusOK)
	r := newVersionRouter(t, rollout.NewPolicy("v1"), old, other)
	for n := range 20 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("id-", n))).Status())
	}
	must.Eq(t, 0, len(other.slotRequests))
}

// TestVersions_FailedCanaryRequestIsRetriedAtTheOldVersion guards against a retry that goes
// to the target version again.
func TestVersions_FailedCanaryRequestIsRetriedAtTheOldVersion(t *testing.T) {
	old, a, b := newFakeServer("v1-a", "shop", 1), newFakeServer("v2-a", "shop", 1), newFakeServer("v2-b", "shop", 1)
	old.finalEvent, a.finalEvent, b.finalEvent = respondWith(http.StatusOK), respondWith(http.StatusInternalServerError), endWith(upstream.Unknown)
	r := newVersionRouter(t, rollout.NewPolicy("v1").WithTarget("v2", 0.5, "v2-a", "v2-b"), old, a, b)
	for n := range 20 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", fmt.Sprint("id-", n))).Status())
	}
	must.Eq(t, 20, len(old.submitted))
	must.Eq(t, 10, len(a.submitted)+len(b.submitted))
}

// TestVersions_CanaryWithoutSlotIsLeft guards against requests that fail because the few
// servers of the target version are full.
func TestVersions_CanaryWithoutSlotIsLeft(t *testing.T) {
	old, full := newFakeServer("v1-a", "shop", 1), newFakeServer("v2-a", "shop", 1)
	old.finalEvent, full.refusal = respondWith(http.StatusOK), "no place"
	r := newVersionRouter(t, rollout.NewPolicy("v1").WithTarget("v2", 0.5, "v2-a"), old, full)
	for n := range 10 {
		must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/order/1", fmt.Sprint("id-", n))).Status())
	}
	must.Eq(t, 10, len(old.submitted))
}

// TestVersions_RestartedNodeServerIsRemembered guards against an old server that gets
// nothing since its node, which has restarted, does not state its version.
func TestVersions_RestartedNodeServerIsRemembered(t *testing.T) {
	old := newFakeServer("v1-a", "shop", 1)
	old.finalEvent = respondWith(http.StatusOK)
	r := newVersionRouter(t, rollout.NewPolicy("v1"), old)
	r.SetPeers(nil)
	r.SetPeers([]fleet.Peer{fleet.NewPeer(old.node, "north", link.NewServerState("shop", "i-"+old.node, true), old.endpoint)})
	must.Eq(t, http.StatusOK, r.Serve(context.Background(), call("/read/1", "id")).Status())
	must.Eq(t, "v1", (<-old.slotRequests).Release())
}

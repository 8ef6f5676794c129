package pipeline_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// shortService is the time of a request where all nodes restart: a node uses one slot of its
// server until that has announced itself again.
const shortService = 2 * time.Millisecond

// restartAll ends the nodes of all hosts, starts them again and waits until callers may be
// sent to them. The servers do not announce themselves again.
func (cl *cluster) restartAll(t *testing.T) {
	t.Helper()
	for _, h := range cl.hosts {
		h.kill()
	}
	for _, h := range cl.hosts {
		h.start(t)
	}
	for _, h := range cl.hosts {
		eventually(t, 5*time.Second, func() bool { ready, _ := h.process.Ready(); return ready })
	}
}

// mustServe sends reads to a host until one has been served for a while, and checks that
// this begins in time and that none fails from then on.
func (h *host) mustServe(t *testing.T, within, lasting time.Duration) {
	t.Helper()
	eventually(t, within, func() bool { return h.serves("/read/1") })
	for end := time.Now().Add(lasting); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		must.True(t, h.serves("/read/1"))
	}
}

// TestRollout_AllNodesRestartDuringIt restarts all nodes at once during the rollout of a
// good version, whose servers do not announce themselves again. It guards against old
// servers that get no requests since no node knows their version, against a rollout that
// starts over or does not go on, and against exposure above the bounds.
func TestRollout_AllNodesRestartDuringIt(t *testing.T) {
	cl, old, next, l := rolloutCluster(t, shortService)
	cl.store.OrderRollout("shop", "v2", 7*time.Second)
	eventually(t, 4*time.Second, func() bool { return cl.rolloutStep() == 1 })
	exposed := countSent(next...)
	all := exposed + countSent(old...)
	cl.restartAll(t)
	old[1].mustServe(t, 500*time.Millisecond, 500*time.Millisecond)
	must.GreaterEq(t, 1, cl.rolloutStep())
	must.Greater(t, 0, countSent(old[0]), must.Sprint("requests to an old server"))
	must.Greater(t, 0, countSent(old[1]), must.Sprint("requests to an old server"))
	exposed += countSent(next...)
	must.LessEq(t, all/10+50, exposed)
	failed := l.failed.Load()
	awaitRollout(t, cl.store, "complete", 9*time.Second)
	l.end()
	must.Eq(t, failed, l.failed.Load(), must.Sprint("requests that failed after the restart"))
}

// TestRollout_AllNodesRestartDuringABadOne restarts all nodes at once while a version is
// rolled out that turns bad then, so that no node has any count. It guards against exposure
// above the bounds, which hold over the whole rollout.
func TestRollout_AllNodesRestartDuringABadOne(t *testing.T) {
	cl, old, next, l := rolloutCluster(t, shortService)
	cl.store.OrderRollout("shop", "v2", 7*time.Second)
	eventually(t, 4*time.Second, func() bool { return cl.rolloutStep() == 1 })
	for _, h := range next {
		h.server.SetFailures(2, "/")
	}
	time.Sleep(100 * time.Millisecond)
	cl.restartAll(t)
	awaitRollout(t, cl.store, "rolled_back", 7*time.Second)
	exposed := countSent(next...)
	all := exposed + countSent(old...)
	time.Sleep(300 * time.Millisecond)
	cl.restartAll(t)
	old[1].mustServe(t, 500*time.Millisecond, time.Second)
	l.end()
	must.Eq(t, 0, countSent(next...), must.Sprint("requests after the rollback"))
	must.LessEq(t, all/10+50, exposed)
	t.Logf("exposed %d of %d", exposed, all)
}

// TestRollout_AllNodesRestartAfterIt restarts all nodes at once after a rollout is complete,
// and starts a server of a further version that no order names. It guards against a service
// without any server that nodes know to have its version, and against requests to the
// version that no order names.
func TestRollout_AllNodesRestartAfterIt(t *testing.T) {
	cl, old, next, l := rolloutCluster(t, shortService)
	l.end()
	cl.store.OrderRollout("shop", "v2", 3*time.Second)
	awaitRollout(t, cl.store, "complete", 6*time.Second)
	unnamed := cl.addRolloutHost(t, "shop", "v3", 0)
	cl.restartAll(t)
	takeRequestIDs(unnamed.server)
	countSent(old...)
	old[1].mustServe(t, 500*time.Millisecond, time.Second)
	for n := range 20 {
		must.Eq(t, http.StatusOK, unnamed.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("id-", n), "").status)
	}
	must.Eq(t, 0, countSent(old...), must.Sprint("requests to the old version"))
	must.Eq(t, 0, countSent(unnamed), must.Sprint("requests to a version that no order names"))
	must.Greater(t, 0, countSent(next...))
}

// TestRestart_AllNodesWithoutOrders restarts all nodes at once while a server of a further
// version runs that no order names. It guards against requests to it: while no node knows
// the version of any server, none could be refused for its version.
func TestRestart_AllNodesWithoutOrders(t *testing.T) {
	cl := newCluster(t)
	caller := cl.addRolloutHost(t, "till", "t1", 0)
	cl.addRolloutHost(t, "shop", "v1", 0)
	cl.addRolloutHost(t, "shop", "v1", 0)
	unnamed := cl.addRolloutHost(t, "shop", "v2", 0)
	cl.restartAll(t)
	caller.mustServe(t, 3500*time.Millisecond, time.Second)
	must.Eq(t, 0, countSent(unnamed), must.Sprint("requests to a version that no order names"))
}

// TestRestoredStore_RollbackIsKeptByNewNodes returns the store to a copy with a rolled-back
// order while no node runs, so that none knows the rollback but from the copy, whose order
// has another version than the record states. It guards against a bad version that is
// rolled out a second time.
func TestRestoredStore_RollbackIsKeptByNewNodes(t *testing.T) {
	cl, old, next, l := rolloutCluster(t, shortService)
	for _, h := range next {
		h.server.SetFailures(2, "/")
	}
	cl.store.OrderRollout("shop", "v2", 6*time.Second)
	awaitRollout(t, cl.store, "rolled_back", 6*time.Second)
	time.Sleep(300 * time.Millisecond)
	earlier := cl.store.Copy()
	for _, h := range cl.hosts {
		h.kill()
	}
	l.end()
	cl.restore(earlier, 0)
	countSent(next...)
	cl.restartAll(t)
	old[1].mustServe(t, time.Second, 2*time.Second)
	must.Eq(t, 0, countSent(next...), must.Sprint("requests after the rollback"))
	awaitRollout(t, cl.store, "rolled_back", time.Second)
}

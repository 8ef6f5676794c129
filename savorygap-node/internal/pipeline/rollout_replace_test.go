package pipeline_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRollout_OrderedBackToThePreviousVersion replaces the order of a running rollout, whose
// target has more servers than the version of the service, by one of that version. It
// guards against the abandoned version getting the requests that do not go to the target.
func TestRollout_OrderedBackToThePreviousVersion(t *testing.T) {
	cl, old, next, l := rolloutCluster(t, shortService)
	cl.store.OrderRollout("shop", "v2", 8*time.Second)
	awaitRollout(t, cl.store, "running", 2*time.Second)
	next = append(next, cl.addRolloutHost(t, "shop", "v2", shortService))
	eventually(t, 4*time.Second, func() bool { return cl.rolloutStep() == 1 })
	cl.store.OrderRollout("shop", "v1", 6*time.Second)
	eventually(t, 2*time.Second, func() bool { _, version := cl.store.RolloutState("shop"); return version == "v1" })
	time.Sleep(200 * time.Millisecond)
	countSent(next...)
	failed := l.failed.Load()
	awaitRollout(t, cl.store, "complete", 6*time.Second)
	time.Sleep(300 * time.Millisecond)
	l.end()
	must.Eq(t, 0, countSent(next...), must.Sprint("requests to the abandoned version"))
	must.Greater(t, 100, countSent(old...))
	must.Eq(t, failed, l.failed.Load())
}

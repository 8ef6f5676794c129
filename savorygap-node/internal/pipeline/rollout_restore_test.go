package pipeline_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// rolloutStep returns the step that the store has of the rollout of the service shop, -1
// for none.
func (cl *cluster) rolloutStep() int {
	var record struct {
		Step int `json:"step"`
	}
	if json.Unmarshal(cl.store.Get("savorygap/rollout/shop"), &record) != nil {
		return -1
	}
	return record.Step
}

// rolloutCluster starts a caller, two servers of version v1 and two of v2, which take
// serviceTime, and sends requests to them.
func rolloutCluster(t *testing.T, serviceTime time.Duration) (cl *cluster, old, next []*host, l *load) {
	t.Helper()
	cl = newCluster(t)
	caller := cl.addRolloutHost(t, "till", "t1", 0)
	old = []*host{cl.addRolloutHost(t, "shop", "v1", serviceTime), cl.addRolloutHost(t, "shop", "v1", serviceTime)}
	next = []*host{cl.addRolloutHost(t, "shop", "v2", serviceTime), cl.addRolloutHost(t, "shop", "v2", serviceTime)}
	l = startCallers([]*host{caller, old[0]}, 80)
	time.Sleep(300 * time.Millisecond)
	return cl, old, next, l
}

// TestRestoredStore_RolloutGoesOn returns the store, while a rollout runs, to a copy from
// before its order, and has the operators write the order again. It guards against a
// rollout that starts over, which misses its deadline, against one that takes a step while
// the store lacks its order, and against requests that fail because of it.
func TestRestoredStore_RolloutGoesOn(t *testing.T) {
	cl, old, next, l := rolloutCluster(t, 20*time.Millisecond)
	earlier := cl.store.Copy()
	const duration = 7 * time.Second
	cl.store.OrderRollout("shop", "v2", duration)
	ordered := time.Now()
	eventually(t, 4*time.Second, func() bool { return cl.rolloutStep() == 1 })
	cl.restore(earlier, 20)
	countSent(append(old, next...)...)
	time.Sleep(time.Second)
	must.Eq(t, -1, cl.rolloutStep(), must.Sprint("no record without an order"))
	exposed, all := countSent(next...), 0
	all = exposed + countSent(old...)
	must.Between(t, 1, exposed, all/5, must.Sprintf("of %d: the share of the step is 8%%", all))
	cl.store.OrderRollout("shop", "v2", duration)
	eventually(t, 1500*time.Millisecond, func() bool { return cl.rolloutStep() >= 1 })
	awaitRollout(t, cl.store, "complete", time.Until(ordered.Add(duration)))
	l.end()
	must.Eq(t, 0, l.failed.Load(), must.Sprintf("of %d", l.sent.Load()))
	countSent(append(old, next...)...)
	must.True(t, old[0].serves("/read/1"))
	must.Eq(t, 0, countSent(old...))
}

// TestRestoredStore_OlderRecordOfARolloutIsReplaced returns the store, while a rollout
// runs, to a copy with the order and the record of its first step, in which both have other
// versions, and has the operators write the order over that of the copy. It guards against
// a rollout that returns to the step of the copy or starts over.
func TestRestoredStore_OlderRecordOfARolloutIsReplaced(t *testing.T) {
	cl, _, _, l := rolloutCluster(t, 20*time.Millisecond)
	const duration = 7 * time.Second
	cl.store.OrderRollout("shop", "v2", duration)
	ordered := time.Now()
	awaitRollout(t, cl.store, "running", 2*time.Second)
	earlier := cl.store.Copy()
	must.Eq(t, 0, cl.rolloutStep())
	eventually(t, 4*time.Second, func() bool { return cl.rolloutStep() == 1 })
	cl.restore(earlier, 0)
	must.Eq(t, 0, cl.rolloutStep())
	eventually(t, 2*time.Second, func() bool { return cl.rolloutStep() >= 1 })
	cl.store.OrderRollout("shop", "v2", duration)
	awaitRollout(t, cl.store, "complete", time.Until(ordered.Add(duration)))
	l.end()
	must.Eq(t, 0, l.failed.Load(), must.Sprintf("of %d", l.sent.Load()))
}

// TestRestoredStore_RollbackIsKept returns the store, after a bad version was rolled back,
// to a copy with its running rollout, and has the operators write the order again. It
// guards against a bad version that gets requests a second time.
func TestRestoredStore_RollbackIsKept(t *testing.T) {
	cl, _, next, l := rolloutCluster(t, 20*time.Millisecond)
	for _, h := range next {
		h.server.SetFailures(2, "/")
	}
	cl.store.OrderRollout("shop", "v2", 6*time.Second)
	awaitRollout(t, cl.store, "running", 2*time.Second)
	earlier := cl.store.Copy()
	awaitRollout(t, cl.store, "rolled_back", 6*time.Second)
	time.Sleep(300 * time.Millisecond)
	countSent(next...)
	cl.restore(earlier, 20)
	awaitRollout(t, cl.store, "rolled_back", 3*time.Second)
	cl.store.OrderRollout("shop", "v2", 6*time.Second)
	time.Sleep(3 * time.Second)
	l.end()
	must.Eq(t, 0, countSent(next...), must.Sprint("requests after the rollback"))
	awaitRollout(t, cl.store, "rolled_back", time.Second)
}

package pipeline_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/platform/platformtest"
)

// addRolloutHost starts a host that follows rollouts, whose server has a version.
func (cl *cluster) addRolloutHost(t *testing.T, service, version string, serviceTime time.Duration) *host {
	t.Helper()
	h := cl.newHost(t, service, serviceTime)
	h.server.SetVersion(version)
	h.followRollouts(t)
	cl.startHost(t, h)
	return h
}

// followRollouts adds the settings for rollouts.
func (h *host) followRollouts(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile(h.settingsPath)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(h.settingsPath, append(text, "rollout: {exposureShare: 0.1, exposureSlack: 50, rollbackAfter: 5s}\n"...), 0o600))
}

// load sends requests through all hosts until it is stopped.
type load struct {
	sent   atomic.Int64
	failed atomic.Int64
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// startCallers sends perSecond requests through each of the hosts.
func startCallers(hosts []*host, perSecond int) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop}
	for _, h := range hosts {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for n := 0; ctx.Err() == nil; n++ {
				<-ticker.C
				l.done.Add(1)
				go func() {
					defer l.done.Done()
					method, path := http.MethodGet, "/read/1"
					if n%2 == 0 {
						method, path = http.MethodPost, "/order/1"
					}
					l.sent.Add(1)
					if r, err := h.send(context.Background(), method, path, fmt.Sprintf("%s-%d", h.name, n), ""); err != nil || r.status != http.StatusOK {
						l.failed.Add(1)
					}
				}()
			}
		}()
	}
	return l
}

func (l *load) end() {
	l.stop()
	l.done.Wait()
}

func awaitRollout(t *testing.T, store *platformtest.Store, state string, timeout time.Duration) {
	t.Helper()
	eventually(t, timeout, func() bool { s, _ := store.RolloutState("shop"); return s == state })
}

// countSent returns how many requests reached servers since the last call.
func countSent(hosts ...*host) int {
	n := 0
	for _, h := range hosts {
		n += len(takeRequestIDs(h.server))
	}
	return n
}

// TestRollout_GoodVersionCompletes rolls out a good version while requests come. It guards
// against a rollout that misses its deadline, requests that fail because of it, and
// requests to the old version when the store says that the rollout is complete.
func TestRollout_GoodVersionCompletes(t *testing.T) {
	cl := newCluster(t)
	caller := cl.addRolloutHost(t, "till", "t1", 0)
	old := []*host{cl.addRolloutHost(t, "shop", "v1", 20*time.Millisecond), cl.addRolloutHost(t, "shop", "v1", 20*time.Millisecond), cl.addRolloutHost(t, "shop", "v1", 20*time.Millisecond)}
	next := []*host{cl.addRolloutHost(t, "shop", "v2", 20*time.Millisecond), cl.addRolloutHost(t, "shop", "v2", 20*time.Millisecond)}
	l := startCallers([]*host{caller, old[0]}, 80)
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 0, countSent(next...), must.Sprint("requests to a version that no order names"))
	cl.store.OrderRollout("shop", "v2", 5*time.Second)
	ordered := time.Now()
	awaitRollout(t, cl.store, "running", 2*time.Second)
	awaitRollout(t, cl.store, "complete", 5*time.Second)
	must.Less(t, 5*time.Second, time.Since(ordered))
	countSent(old...)
	for _, h := range old {
		must.Eq(t, 0, h.server.InFlight())
	}
	time.Sleep(300 * time.Millisecond)
	l.end()
	must.Eq(t, 0, countSent(old...), must.Sprint("requests to the old version of a complete rollout"))
	must.Greater(t, 100, countSent(next...))
	must.Eq(t, 0, l.failed.Load(), must.Sprintf("of %d", l.sent.Load()))
}

// TestRollout_BadVersionIsRolledBack rolls out a version of which every second response
// fails. It guards against exposure above the bounds.
func TestRollout_BadVersionIsRolledBack(t *testing.T) {
	cl := newCluster(t)
	caller := cl.addRolloutHost(t, "till", "t1", 0)
	old := []*host{cl.addRolloutHost(t, "shop", "v1", 20*time.Millisecond), cl.addRolloutHost(t, "shop", "v1", 20*time.Millisecond)}
	next := []*host{cl.addRolloutHost(t, "shop", "v2", 20*time.Millisecond), cl.addRolloutHost(t, "shop", "v2", 20*time.Millisecond)}
	for _, h := range next {
		h.server.SetFailures(2, "/")
	}
	l := startCallers([]*host{caller, old[0]}, 80)
	cl.store.OrderRollout("shop", "v2", 5*time.Second)
	awaitRollout(t, cl.store, "rolled_back", 5*time.Second)
	exposed := countSent(next...)
	time.Sleep(500 * time.Millisecond)
	l.end()
	must.Eq(t, 0, countSent(next...), must.Sprint("requests after the rollback"))
	must.LessEq(t, 40, exposed)
	t.Logf("exposed %d of %d, failed %d", exposed, l.sent.Load(), l.failed.Load())
	_, version := cl.store.RolloutState("shop")
	must.Eq(t, "v2", version)
	must.True(t, strings.Contains(string(cl.store.Get("savorygap/rollout/shop")), "rolledBack"))
}

// TestRollout_SlowVersionIsRolledBackWhileStoreIsAway rolls out a version that takes 8
// times as long, and takes the store away after the rollout has begun. It guards against a
// rollback that waits for the store, and against one that is not written afterwards.
func TestRollout_SlowVersionIsRolledBackWhileStoreIsAway(t *testing.T) {
	cl := newCluster(t)
	caller := cl.addRolloutHost(t, "till", "t1", 0)
	old := []*host{cl.addRolloutHost(t, "shop", "v1", 30*time.Millisecond), cl.addRolloutHost(t, "shop", "v1", 30*time.Millisecond)}
	next := []*host{cl.addRolloutHost(t, "shop", "v2", 240*time.Millisecond), cl.addRolloutHost(t, "shop", "v2", 240*time.Millisecond)}
	l := startCallers([]*host{caller, old[0]}, 80)
	time.Sleep(300 * time.Millisecond)
	cl.store.OrderRollout("shop", "v2", 6*time.Second)
	awaitRollout(t, cl.store, "running", 2*time.Second)
	cl.store.SetUnavailable(true)
	eventually(t, 5*time.Second, func() bool {
		return next[0].process.Rollouts().UnderWay() == 0 && caller.process.Rollouts().UnderWay() == 0
	})
	exposed := countSent(next...)
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, 0, countSent(next...), must.Sprint("requests after the rollback"))
	l.end()
	must.LessEq(t, 50, exposed)
	state, _ := cl.store.RolloutState("shop")
	must.Eq(t, "running", state)
	cl.store.SetUnavailable(false)
	awaitRollout(t, cl.store, "rolled_back", 3*time.Second)
}

// TestRollout_NodesThatTakeStepsEnd stops two nodes without a server of the service while
// a rollout runs, which may be those that take its steps. It guards against a rollout that
// stands still because of them.
func TestRollout_NodesThatTakeStepsEnd(t *testing.T) {
	cl := newCluster(t)
	callers := []*host{cl.addRolloutHost(t, "till", "t1", 0), cl.addRolloutHost(t, "till", "t1", 0), cl.addRolloutHost(t, "till", "t1", 0)}
	cl.addRolloutHost(t, "shop", "v1", 10*time.Millisecond)
	next := cl.addRolloutHost(t, "shop", "v2", 10*time.Millisecond)
	l := startCallers(callers[:1], 120)
	cl.store.OrderRollout("shop", "v2", 5*time.Second)
	awaitRollout(t, cl.store, "running", 2*time.Second)
	callers[1].kill()
	time.Sleep(time.Second)
	callers[2].kill()
	awaitRollout(t, cl.store, "complete", 5*time.Second)
	l.end()
	must.Greater(t, 60, countSent(next))
	must.Eq(t, 0, l.failed.Load(), must.Sprintf("of %d", l.sent.Load()))
}

// TestRollout_WithoutSettingsOrdersAreIgnored guards against rollouts in deployments that
// do not ask for them.
func TestRollout_WithoutSettingsOrdersAreIgnored(t *testing.T) {
	cl := newCluster(t)
	a := cl.addHost(t, "shop", 0)
	cl.store.OrderRollout("shop", "v2", time.Second)
	time.Sleep(1500 * time.Millisecond)
	must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
	must.Eq(t, 0, len(cl.store.Keys("status/")))
	must.Eq(t, 0, len(cl.store.Keys("savorygap/rollout/")))
}

// TestRollout_RestartedNodeKnowsItsServersVersion restarts the node of a server that does
// not announce itself again. It guards against an old server that gets no requests because
// its node does not know its version: the peers do.
func TestRollout_RestartedNodeKnowsItsServersVersion(t *testing.T) {
	cl := newCluster(t)
	caller := cl.addRolloutHost(t, "till", "t1", 0)
	old := cl.addRolloutHost(t, "shop", "v1", 0)
	cl.addRolloutHost(t, "shop", "v1", 0)
	cl.addRolloutHost(t, "shop", "v1", 0)
	next := cl.addRolloutHost(t, "shop", "v2", 0)
	must.Eq(t, http.StatusOK, caller.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
	old.kill()
	old.start(t)
	cl.awaitAccepting(t, old, "shop", true)
	takeRequestIDs(old.server)
	for n := 0; len(takeRequestIDs(old.server)) == 0; n++ {
		must.Less(t, 400, n, must.Sprint("the server gets no request"))
		must.Eq(t, http.StatusOK, caller.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("after-", n), "").status)
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, 0, countSent(next))
}

// TestRollout_NewHostsStartWithTheirOrder starts the hosts of a good version when the order
// is written, with cold servers, while one old and one new server fail half of their
// requests. It guards against a good version that is late or taken for a bad one.
func TestRollout_NewHostsStartWithTheirOrder(t *testing.T) {
	cl := newCluster(t)
	caller := cl.addRolloutHost(t, "till", "t1", 0)
	old := []*host{cl.addRolloutHost(t, "shop", "v1", 20*time.Millisecond), cl.addRolloutHost(t, "shop", "v1", 20*time.Millisecond), cl.addRolloutHost(t, "shop", "v1", 20*time.Millisecond)}
	old[1].server.SetFailures(2, "/")
	l := startCallers([]*host{caller, old[0]}, 80)
	cl.store.OrderRollout("shop", "v2", 6*time.Second)
	ordered := time.Now()
	var next []*host
	for range 4 {
		h := cl.newHost(t, "shop", 20*time.Millisecond)
		h.server.SetVersion("v2")
		h.server.SetColdMillis(1000)
		h.followRollouts(t)
		cl.startHost(t, h)
		next = append(next, h)
	}
	next[3].server.SetFailures(2, "/")
	time.Sleep(time.Until(ordered.Add(1500 * time.Millisecond)))
	for _, h := range next {
		h.server.SetColdMillis(0)
	}
	awaitRollout(t, cl.store, "complete", 6*time.Second)
	must.Less(t, 6*time.Second, time.Since(ordered))
	l.end()
}

// TestRollout_StoreThatLosesItsRecordGetsItAgain removes what nodes have written after a
// rollout is complete, and writes the same order again. It guards against a completion
// that is forgotten, which would take all servers out of service.
func TestRollout_StoreThatLosesItsRecordGetsItAgain(t *testing.T) {
	cl := newCluster(t)
	caller := cl.addRolloutHost(t, "till", "t1", 0)
	cl.addRolloutHost(t, "shop", "v1", 0)
	cl.addRolloutHost(t, "shop", "v2", 0)
	cl.store.OrderRollout("shop", "v2", 4*time.Second)
	awaitRollout(t, cl.store, "complete", 6*time.Second)
	cl.store.RemovePrefix("savorygap/rollout/")
	cl.store.RemovePrefix("status/")
	awaitRollout(t, cl.store, "complete", 4*time.Second)
	must.Eq(t, 1, len(cl.store.Keys("savorygap/rollout/")))
	cl.store.OrderRollout("shop", "v2", 4*time.Second)
	for n := range 100 {
		must.Eq(t, http.StatusOK, caller.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("id-", n), "").status)
		time.Sleep(20 * time.Millisecond)
	}
	awaitRollout(t, cl.store, "complete", time.Second)
}

// TestRollout_ToTheVersionInForceInterruptsNothing orders the version that all servers have.
// It guards against a service that is refused as unproven.
func TestRollout_ToTheVersionInForceInterruptsNothing(t *testing.T) {
	cl := newCluster(t)
	caller := cl.addRolloutHost(t, "till", "t1", 0)
	cl.addRolloutHost(t, "shop", "v1", 0)
	cl.addRolloutHost(t, "shop", "v1", 0)
	cl.store.OrderRollout("shop", "v1", 4*time.Second)
	for n := range 150 {
		must.Eq(t, http.StatusOK, caller.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("id-", n), "").status)
		time.Sleep(20 * time.Millisecond)
	}
	awaitRollout(t, cl.store, "complete", 3*time.Second)
}

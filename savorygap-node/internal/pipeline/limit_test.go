package pipeline_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	statedLimit = 10.0 // requests a second
	limitWindow = 4 * time.Second
	// limitTolerance and limitSlack are what the platform's rule allows beyond the
	// stated limit.
	limitTolerance = 1.5
	limitSlack     = 5
	// limitNoticeTime is how long after a response named the limit its node is bound.
	limitNoticeTime = 500 * time.Millisecond
)

// startLoad has each host send reads for d, 50 a second, and returns a function that
// waits for their end and returns how many were served.
func startLoad(d time.Duration, hosts ...*host) (wait func() int) {
	const interval = 20 * time.Millisecond
	var served, running atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := range int(d / interval) {
			<-ticker.C
			for _, h := range hosts {
				running.Add(1)
				go func() {
					defer running.Add(-1)
					r, err := h.send(context.Background(), http.MethodGet, "/read/1", fmt.Sprint(h.name, "-", n), "")
					if err == nil && r.status == http.StatusOK {
						served.Add(1)
					}
				}()
			}
		}
	}()
	return func() int {
		<-ended
		for running.Load() > 0 {
			time.Sleep(time.Millisecond)
		}
		return int(served.Load())
	}
}

// busiestWindow returns the largest number of arrivals from the given time on within
// one window.
func busiestWindow(arrivals []time.Time, from time.Time) int {
	most, first := 0, 0
	for last, at := range arrivals {
		for arrivals[first].Before(from) && first < last || at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		if !at.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// TestServerLimit_HoldsForAllNodesTogether guards against a server that gets more
// requests, health checks included, than the limit that it states in its answers.
func TestServerLimit_HoldsForAllNodesTogether(t *testing.T) {
	cl := newCluster(t)
	a, b, c := cl.addHost(t, "till", 0), cl.addHost(t, "till", 0), cl.addHost(t, "shop", 50*time.Millisecond)
	const loadTime = 6 * time.Second
	wait := startLoad(loadTime, a, b)
	time.Sleep(500 * time.Millisecond)
	c.server.SetRateLimit(fmt.Sprint(statedLimit))
	stated := time.Now()
	wait()
	arrived := busiestWindow(c.server.TakeArrivals(), stated.Add(limitNoticeTime))
	must.LessEq(t, int(limitTolerance*statedLimit*limitWindow.Seconds())+limitSlack, arrived)
	// Nine tenths of what the server takes must be used.
	must.GreaterEq(t, int(0.9*statedLimit*limitWindow.Seconds()), arrived)
	c.server.SetRateLimit("")
	eventually(t, 3*time.Second, func() bool {
		c.server.TakeArrivals()
		return startLoad(200*time.Millisecond, a, b)() == 20
	})
}

// TestRestartedNode_KeepsServerLimit guards against a node that starts again and sends
// at full rate until the server has answered.
func TestRestartedNode_KeepsServerLimit(t *testing.T) {
	cl := newCluster(t)
	a, b, c := cl.addHost(t, "till", 0), cl.addHost(t, "till", 0), cl.addHost(t, "shop", 50*time.Millisecond)
	c.server.SetRateLimit("1")
	for _, h := range []*host{a, b} {
		eventually(t, 5*time.Second, func() bool { return h.mustSend(t, http.MethodGet, "/read/1", "told", "").status == http.StatusOK })
	}
	time.Sleep(limitNoticeTime)
	c.server.TakeArrivals()
	bound := time.Now()
	const loadTime = 6 * time.Second
	wait := startLoad(loadTime, a, b)
	time.Sleep(2 * time.Second)
	c.kill()
	c.start(t)
	wait()
	must.LessEq(t, int(limitTolerance*limitWindow.Seconds())+limitSlack, busiestWindow(c.server.TakeArrivals(), bound))
}

// TestLeavingServer_GetsNothingOnceItSaysSo guards against requests to a server that
// states in an answer that it leaves, while its announcements still say that it is ready,
// and after a restart of its node.
func TestLeavingServer_GetsNothingOnceItSaysSo(t *testing.T) {
	cl := newCluster(t)
	a, b, c := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0), cl.addHost(t, "shop", 0)
	b.server.SetLeaving(true)
	a.mustSend(t, http.MethodGet, "/read/1", "told", "")
	cl.awaitAccepting(t, b, "shop", false)
	takeRequestIDs(b.server)
	mustReachOnly := func(server *host, prefix string) {
		t.Helper()
		b.announce(t, "ready")
		for n := range 40 {
			must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint(prefix, n), "").status)
		}
		must.Eq(t, 0, len(takeRequestIDs(b.server)))
		must.Eq(t, 40, len(takeRequestIDs(server.server)))
	}
	takeRequestIDs(c.server)
	mustReachOnly(c, "before-")
	eventually(t, 4*time.Second, func() bool { return len(cl.store.Keys("savorygap/departure/")) == 1 })
	b.kill()
	b.start(t)
	// Only what the node was told before its restart can keep it from the server.
	b.server.SetLeaving(false)
	eventually(t, 10*time.Second, func() bool { ready, _ := b.process.Ready(); return ready })
	time.Sleep(time.Second)
	mustReachOnly(c, "after-")
}

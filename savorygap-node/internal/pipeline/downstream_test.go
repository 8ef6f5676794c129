package pipeline_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestCalledServiceLosesServers_ItsOwnCallersKeepTheirShare has reports run at one service
// and call a second one, which also has callers of its own and loses one of its two nodes.
// It guards against reports that take the slots that are left, against their runs that lose
// their calls, against refusals that come late, and against an allowance that stays low.
func TestCalledServiceLosesServers_ItsOwnCallersKeepTheirShare(t *testing.T) {
	const (
		interval     = 50 * time.Millisecond // of reports
		ownInterval  = 25 * time.Millisecond // of the callers of the second service
		settlingTime = 4 * time.Second
	)
	cl := newCluster(t)
	cl.settings = "admission: {downstream: true}\n"
	cl.store.Put("op/config", configuration(2, `,{"Name":"report","PathPrefix":"/report/","Kind":"unsafe","TimeoutS":2,"TargetLatencyS":1,"Priority":2,"Service":"till","Attempts":2}`))
	a := cl.addHost(t, "till", 250*time.Millisecond)
	cl.addHost(t, "shop", 200*time.Millisecond)
	c := cl.addHost(t, "shop", 200*time.Millisecond)
	entry := cl.hosts[1]
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	every := func(d time.Duration, send func(n int)) {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				group.Go(func() { send(n) })
				time.Sleep(d)
			}
		})
	}
	var refused, served, late, callsRefused atomic.Int64
	every(interval, func(n int) {
		started := time.Now()
		r, err := a.send(ctx, http.MethodPost, "/report/1", fmt.Sprint("report-", n), "")
		switch {
		case err != nil:
		case r.status == http.StatusOK:
			served.Add(1)
		case strings.Contains(r.body, "called service is short of room") && r.header.Get("Retry-After") != "":
			refused.Add(1)
			if time.Since(started) > 200*time.Millisecond {
				late.Add(1)
			}
		}
	})
	// The server of the first service makes a call in each run.
	group.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case id := <-a.server.RequestIDs():
				group.Go(func() {
					if r, err := a.send(ctx, http.MethodPost, "/order/1", id+".1", ""); err == nil && r.status == http.StatusServiceUnavailable {
						callsRefused.Add(1)
					}
				})
			}
		}
	})
	var ownAsked, ownServed atomic.Int64
	every(ownInterval, func(n int) {
		r, err := entry.send(ctx, http.MethodPost, "/order/1", fmt.Sprint("own-", n), "")
		if err == nil {
			ownAsked.Add(1)
		}
		if r.status == http.StatusOK {
			ownServed.Add(1)
		}
	})

	time.Sleep(settlingTime / 2)
	must.Greater(t, 10, served.Load())
	must.LessEq(t, 2, refused.Load())
	c.kill()
	time.Sleep(settlingTime)
	refusedBefore, servedBefore, ownAskedBefore, ownServedBefore := refused.Load(), served.Load(), ownAsked.Load(), ownServed.Load()
	time.Sleep(settlingTime)
	reportsRefused := float64(refused.Load() - refusedBefore)
	reports := float64(served.Load()-servedBefore) / (float64(served.Load()-servedBefore) + reportsRefused)
	own := float64(ownServed.Load()-ownServedBefore) / float64(ownAsked.Load()-ownAskedBefore)
	t.Logf("served: reports %.3f, own callers %.3f; %d refused late, %d calls refused", reports, own, late.Load(), callsRefused.Load())
	must.Greater(t, 8, reportsRefused)
	must.Less(t, own+0.15, reports) // 80 reports, of which chance moves a tenth
	must.LessEq(t, refused.Load()/10, late.Load())
	must.LessEq(t, 8, callsRefused.Load())
	c.start(t)
	c.announce(t, "ready")
	eventually(t, 20*time.Second, func() bool {
		before := refused.Load()
		time.Sleep(settlingTime / 2)
		return refused.Load() == before
	})
}

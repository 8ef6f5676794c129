package pipeline_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
)

// faultyClock is a clock that panics once in the task that reads it next after Arm.
type faultyClock struct {
	clockwork.Clock
	armed atomic.Bool
	fired atomic.Int64
}

func (c *faultyClock) Now() time.Time {
	if c.armed.CompareAndSwap(true, false) {
		c.fired.Add(1)
		panic("clock is broken")
	}
	return c.Clock.Now()
}

func (c *faultyClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Arm makes the next reading panic.
func (c *faultyClock) Arm() { c.armed.Store(true) }

// TestPanicInAnyTask_NodeServesOn has whichever task reads the clock next panic, many
// times over, while callers send requests. Neither process may end, no answer may
// be untrue, and the nodes must serve as before afterwards.
func TestPanicInAnyTask_NodeServesOn(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", time.Millisecond)
	clocks := map[*host]*faultyClock{}
	var output [2]bytes.Buffer
	for i, h := range []*host{a, b} {
		h.kill()
		clocks[h] = &faultyClock{Clock: clockwork.NewRealClock()}
		h.clock, h.log = clocks[h], &output[i]
		h.start(t)
		h.announce(t, "ready")
	}
	cl.awaitAccepting(t, b, "shop", true)
	statuses := map[int]int{}
	for n := range 150 {
		h := a
		if n%2 == 1 {
			h = b
		}
		clocks[h].Arm()
		time.Sleep(time.Duration(n%7) * time.Millisecond)
		id := fmt.Sprint("id-", n)
		r, err := a.send(context.Background(), http.MethodPost, "/order/1", id, "x")
		if err != nil {
			continue // the connection was closed, which promises nothing
		}
		statuses[r.status]++
		runs := strings.Count(" "+strings.Join(takeRequestIDs(b.server), " ")+" ", " "+id+" ")
		must.LessEq(t, 1, runs, must.Sprint(id))
		if r.status == http.StatusServiceUnavailable {
			must.Eq(t, 0, runs, must.Sprint(id))
		}
	}
	for h, clock := range clocks {
		clock.armed.Store(false)
		must.Greater(t, 20, clock.fired.Load(), must.Sprint(h.name))
	}
	t.Log(statuses)
	eventually(t, 5*time.Second, func() bool {
		r, err := a.send(context.Background(), http.MethodGet, "/read/1", "after", "")
		return err == nil && r.status == http.StatusOK
	})
	for n := range 20 {
		must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("after-", n), "").status)
	}
	a.kill()
	b.kill()
	for i := range output {
		must.StrContains(t, output[i].String(), `"event":"panic"`)
		must.StrContains(t, output[i].String(), `"stack":"goroutine`)
	}
}

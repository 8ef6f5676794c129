package hedge_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/hedge"
)

const (
	share    = 0.02
	quantile = 0.95
)

var start = time.Unix(1_000_000, 0)

func isNestedIn(id, parent string) bool { return strings.HasPrefix(id, parent+".") }

// TestServersThatPause_DelayFollowsTheQuantile guards against a delay that stays at that
// of earlier seconds, or that one slow response in a hundred moves.
func TestServersThatPause_DelayFollowsTheQuantile(t *testing.T) {
	c := hedge.New(share, quantile, isNestedIn)
	rng := rand.New(rand.NewPCG(1, 1))
	_, ok := c.Delay(start, "read")
	must.False(t, ok)
	for n := range 400 {
		latency := 40*time.Millisecond + time.Duration(rng.Int64N(int64(20*time.Millisecond)))
		if n%100 == 99 {
			latency = 350 * time.Millisecond
		}
		c.RecordLatency(start.Add(time.Duration(n)*5*time.Millisecond), "read", latency)
	}
	now := start.Add(2 * time.Second)
	delay, ok := c.Delay(now, "read")
	must.True(t, ok)
	must.Between(t, 54*time.Millisecond, delay, 70*time.Millisecond)
	// All servers turn four times slower.
	for n := range 1000 {
		c.RecordLatency(now.Add(time.Duration(n)*5*time.Millisecond), "read", 200*time.Millisecond)
	}
	now = now.Add(5 * time.Second)
	delay, ok = c.Delay(now, "read")
	must.True(t, ok)
	must.Between(t, 200*time.Millisecond, delay, 220*time.Millisecond)
	_, ok = c.Delay(now.Add(5*time.Second), "read")
	must.False(t, ok)
}

// TestOneNodeOfMany_DelayIsKnown guards against a route that is never hedged because this
// node sends only some requests a second of it, and against a delay that is kept long after
// they have ended.
func TestOneNodeOfMany_DelayIsKnown(t *testing.T) {
	c := hedge.New(share, quantile, isNestedIn)
	now := start
	for n := range 200 {
		now = start.Add(time.Duration(n) * 200 * time.Millisecond)
		c.RecordLatency(now, "read", 40*time.Millisecond)
		_, ok := c.Delay(now, "read")
		must.Eq(t, n >= 19, ok, must.Sprint(n))
	}
	_, ok := c.Delay(now.Add(time.Minute), "read")
	must.False(t, ok)
}

// TestFewSearches_OneShortOfASlotIsNotTheKnee guards against hedges that are denied for a
// second after each search that met a busy server, at a node that searches ten times a second.
func TestFewSearches_OneShortOfASlotIsNotTheKnee(t *testing.T) {
	c := hedge.New(1, quantile, isNestedIn)
	for n := range 10 {
		c.RecordSent(start, "shop")
		c.RecordSearch(start.Add(time.Duration(n)*100*time.Millisecond), "shop", n == 5)
	}
	now := start.Add(time.Second)
	must.Eq(t, hedge.Granted, c.Take(now, "shop", "id", false))
	c.RecordSent(now, "shop")
	c.RecordSearch(now, "shop", true)
	must.Eq(t, hedge.DeniedKnee, c.Take(now, "shop", "id", false))
}

// TestSteadyLoad_ShareIsKeptOverAnySecond guards against a burst of second sends after a
// quiet time, and against a share that is not used.
func TestSteadyLoad_ShareIsKeptOverAnySecond(t *testing.T) {
	c := hedge.New(share, quantile, isNestedIn)
	rng := rand.New(rand.NewPCG(2, 2))
	var sent, hedged []time.Time
	now := start
	for now.Sub(start) < time.Minute {
		rate := 250.0
		if now.Sub(start)%(20*time.Second) > 12*time.Second {
			rate = 20 // a quiet time
		}
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		c.RecordSent(now, "shop")
		c.RecordSearch(now, "shop", false)
		sent = append(sent, now)
		// Every tenth request would be hedged.
		if rng.IntN(10) == 0 && c.Take(now, "shop", "id", false) == hedge.Granted {
			hedged = append(hedged, now)
		}
	}
	within := func(times []time.Time, from, to time.Time) int {
		first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
		return last - first
	}
	for _, from := range hedged {
		to := from.Add(time.Second)
		must.LessEq(t, share*float64(within(sent, from, to))+1, float64(within(hedged, from, to)))
	}
	must.Greater(t, 0.7*share*float64(len(sent)), float64(len(hedged)))
}

// TestServicePastItsKnee_GetsNoHedges guards against second sends that take the slots that
// other requests look for.
func TestServicePastItsKnee_GetsNoHedges(t *testing.T) {
	c := hedge.New(share, quantile, isNestedIn)
	take := func(now time.Time) hedge.Denial {
		for range 50 {
			c.RecordSent(start, "shop")
		}
		return c.Take(now, "shop", "id", false)
	}
	for n := range 100 {
		c.RecordSearch(start.Add(time.Duration(n)*10*time.Millisecond), "shop", n%20 == 0)
	}
	now := start.Add(time.Second)
	must.Eq(t, hedge.DeniedKnee, take(now))
	c.RecordSent(start, "till")
	must.Eq(t, hedge.DeniedShare, c.Take(now, "till", "id", false))
	for n := range 100 {
		c.RecordSearch(now.Add(time.Duration(n)*10*time.Millisecond), "shop", n == 50)
	}
	must.Eq(t, hedge.Granted, take(now.Add(time.Second)))
}

// TestCallsOfAHedge_AreNotHedged guards against hedges that multiply along a chain.
func TestCallsOfAHedge_AreNotHedged(t *testing.T) {
	c := hedge.New(1, quantile, isNestedIn)
	c.RecordRunning(start, "parent", start.Add(time.Second))
	take := func(now time.Time, id string, nested bool) hedge.Denial {
		c.RecordSent(start, "shop")
		return c.Take(now, "shop", id, nested)
	}
	must.Eq(t, hedge.DeniedChain, take(start, "parent.1", true))
	must.Eq(t, hedge.DeniedChain, take(start, "parent.1.2", true))
	must.Eq(t, hedge.Granted, take(start, "other.1", true))
	must.Eq(t, hedge.Granted, take(start, "parent", false))
	must.Eq(t, hedge.Granted, take(start, "parent2.1", true), must.Sprint("a call of another request whose id begins alike"))
	must.Eq(t, hedge.Granted, take(start.Add(time.Second), "parent.1", true))
	for n := range 5000 {
		c.RecordRunning(start, fmt.Sprint("id-", n), start.Add(time.Second))
	}
}

// TestHedgeWithoutASlot_IsRefunded guards against a share that is used up by hedges that
// were never sent, and against one that grows beyond its limit.
func TestHedgeWithoutASlot_IsRefunded(t *testing.T) {
	c := hedge.New(share, quantile, isNestedIn)
	for range 60 {
		c.RecordSent(start, "shop")
	}
	for range 10 {
		must.Eq(t, hedge.Granted, c.Take(start, "shop", "id", false))
		c.Refund("shop")
	}
	c.Refund("shop")
	must.Eq(t, hedge.Granted, c.Take(start, "shop", "id", false))
	must.Eq(t, hedge.DeniedShare, c.Take(start, "shop", "id", false))
}

// TestServicesThatComeAndGo_AreForgotten guards against memory that grows with the services of
// earlier configurations.
func TestServicesThatComeAndGo_AreForgotten(t *testing.T) {
	c := hedge.New(share, quantile, isNestedIn)
	now := start
	for n := range 1000 {
		now = now.Add(10 * time.Second)
		c.RecordSent(now, "shop")
		c.RecordSearch(now, fmt.Sprint("service-", n), false)
		c.RecordSent(now, fmt.Sprint("service-", n))
	}
	must.LessEq(t, 10, c.RememberedServices())
	for range 60 {
		c.RecordSent(now, "shop")
	}
	must.Eq(t, hedge.Granted, c.Take(now, "shop", "id", false))
}

func BenchmarkDelay(b *testing.B) {
	c := hedge.New(share, quantile, isNestedIn)
	for n := range 1000 {
		c.RecordLatency(start, "read", time.Duration(n)*time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Delay(start, "read")
	}
}

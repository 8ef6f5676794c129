package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/load"
)

var (
	start = time.Unix(1000, 0)
	here  = balance.NewLocality("node-0", "a", "r")
)

func everyone(balance.Target) bool { return true }

func target(i int, dataCentre string) balance.Target {
	id := balance.NewTargetID(fmt.Sprintf("node-%d", i), "127.0.0.1:8000")
	return balance.NewTarget(id, "logview", "peer", balance.NewLocality(id.Node(), dataCentre, "r"), 12, start)
}

func table(policy balance.Policy, targets ...balance.Target) *balance.Balancer {
	t := balance.NewBalancer(policy, rand.New(rand.NewPCG(1, 2)), here)
	t.SetTargets(targets)
	return t
}

// spread picks n times, settles each pick at once with the report that answer
// gives, and counts the picks by node.
func spread(tb *balance.Balancer, n int, now time.Time, answer func(balance.Target) (balance.Result, load.Report)) map[string]int {
	counts := map[string]int{}
	for range n {
		t, ok := tb.Pick(now, "logview", everyone, nil)
		if !ok {
			continue
		}
		counts[t.ID().Node()]++
		ending, report := answer(t)
		tb.RecordResult(now, t.ID(), ending, report, true)
		now = now.Add(time.Millisecond)
	}
	return counts
}

// A target that fails at once has the lowest latency and nothing in flight; it
// must not attract load.
func TestFastFailureDoesNotAttractLoad(t *testing.T) {
	tb := table(balance.Adaptive, target(1, "a"), target(2, "a"), target(3, "a"))
	counts := spread(tb, 3000, start, func(t balance.Target) (balance.Result, load.Report) {
		if t.ID().Node() == "node-1" {
			return balance.Answered, load.NewReport(3, 0, 0, 100*time.Microsecond).WithFailing(true)
		}
		return balance.Answered, load.NewReport(12, 4, 0, 10*time.Millisecond)
	})
	must.Less(t, 300, counts["node-1"])
}

func TestNearDataCentreIsPreferredUntilItCostsMore(t *testing.T) {
	answer := func(nearInFlight int) func(balance.Target) (balance.Result, load.Report) {
		return func(t balance.Target) (balance.Result, load.Report) {
			if t.Locality().DataCentre() == "a" {
				return balance.Answered, load.NewReport(12, nearInFlight, 0, 2*time.Millisecond)
			}
			return balance.Answered, load.NewReport(12, 1, 0, 2*time.Millisecond)
		}
	}
	idle := spread(table(balance.Adaptive, target(1, "a"), target(2, "b")), 1000, start, answer(1))
	must.Greater(t, 950, idle["node-1"])
	busy := spread(table(balance.Adaptive, target(1, "a"), target(2, "b")), 1000, start, answer(14))
	must.Greater(t, 700, busy["node-2"])
}

func TestSlowTargetGetsLessAndIsTriedAgainWhenTheReportIsOld(t *testing.T) {
	tb := table(balance.Adaptive, target(1, "a"), target(2, "a"))
	slow := func(t balance.Target) (balance.Result, load.Report) {
		if t.ID().Node() == "node-1" {
			return balance.Answered, load.NewReport(3, 3, 2, 200*time.Millisecond)
		}
		return balance.Answered, load.NewReport(12, 4, 0, 10*time.Millisecond)
	}
	counts := spread(tb, 500, start, slow)
	must.Less(t, 150, counts["node-1"])
	must.Greater(t, 0, counts["node-1"])
}

// Requests sent since a report count at once, so one fresh report does not
// draw a herd.
func TestNoHerdOntoOneFreshReport(t *testing.T) {
	tb := table(balance.AdaptiveAll, target(1, "a"), target(2, "a"), target(3, "a"))
	for i := 1; i <= 3; i++ {
		id := balance.NewTargetID(fmt.Sprintf("node-%d", i), "127.0.0.1:8000")
		_, ok := tb.PickByID(id)
		must.True(t, ok)
		tb.RecordResult(start, id, balance.Answered, load.NewReport(12, 2+2*(i/2), 0, 10*time.Millisecond), true)
	}
	counts := map[string]int{}
	for range 18 {
		picked, ok := tb.Pick(start, "logview", everyone, nil)
		must.True(t, ok)
		counts[picked.ID().Node()]++
	}
	for _, n := range counts {
		must.LessEq(t, 9, n)
	}
	must.MapLen(t, 3, counts)
}

func TestUnreachableAndClosedTargetsAreLeftAlone(t *testing.T) {
	tb := table(balance.Random, target(1, "a"), target(2, "a"), target(3, "a"))
	unreachable, closed := balance.NewTargetID("node-1", "127.0.0.1:8000"), balance.NewTargetID("node-2", "127.0.0.1:8000")
	tb.RecordResult(start, unreachable, balance.Unreachable, load.Report{}, false)
	tb.RecordResult(start, closed, balance.Refused, load.NewReport(0, 0, 0, 0).WithClosed(true), true)
	for range 50 {
		picked, _ := tb.Pick(start.Add(50*time.Millisecond), "logview", everyone, nil)
		must.Eq(t, "node-3", picked.ID().Node())
	}
	_, ok := tb.Pick(start.Add(50*time.Millisecond), "logview", everyone, []balance.TargetID{balance.NewTargetID("node-3", "127.0.0.1:8000")})
	must.True(t, ok, must.Sprint("with nothing else left, a doubtful target is tried"))
	later := spread(tb, 100, start.Add(10*time.Second), func(balance.Target) (balance.Result, load.Report) {
		return balance.Answered, load.NewReport(12, 1, 0, time.Millisecond)
	})
	must.MapLen(t, 3, later)
}

func TestPickHonoursOpenAndTried(t *testing.T) {
	for _, name := range []string{"adaptive", "adaptive-all", "round-robin", "random", "least-reported", "power-of-two"} {
		policy, ok := balance.PolicyByName(name)
		must.True(t, ok)
		tb := table(policy, target(1, "a"), target(2, "b"), target(3, "a"))
		open := func(t balance.Target) bool { return t.Locality().DataCentre() == "a" }
		for range 20 {
			picked, ok := tb.Pick(start, "logview", open, []balance.TargetID{balance.NewTargetID("node-1", "127.0.0.1:8000")})
			must.True(t, ok)
			must.Eq(t, "node-3", picked.ID().Node())
		}
		_, ok = tb.Pick(start, "logview", func(balance.Target) bool { return false }, nil)
		must.False(t, ok)
	}
	_, ok := balance.PolicyByName("none")
	must.False(t, ok)
}

func TestReplaceForgetsWhatWasKnownOfARestartedServer(t *testing.T) {
	tb := table(balance.Adaptive, target(1, "a"))
	tb.RecordResult(start, target(1, "a").ID(), balance.Answered, load.NewReport(12, 9, 0, time.Millisecond), true)
	tb.SetTargets([]balance.Target{target(1, "a")})
	must.Eq(t, 12, tb.TargetStates()[0].Report().Limit())
	again := balance.NewTarget(target(1, "a").ID(), "logview", "peer", here, 12, start.Add(time.Minute))
	tb.SetTargets([]balance.Target{again})
	must.Eq(t, 0, tb.TargetStates()[0].Report().Limit())
}

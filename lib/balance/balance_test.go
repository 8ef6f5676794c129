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
	local = balance.NewLocality("node-0", "a", "r")
)

func anyTarget(balance.Target) bool { return true }

func newTarget(i int, dataCentre string) balance.Target {
	id := balance.NewTargetID(fmt.Sprintf("node-%d", i), "127.0.0.1:8000")
	return balance.NewTarget(id, "logview", "peer", balance.NewLocality(id.Node(), dataCentre, "r"), 12, start)
}

func newBalancer(policy balance.Policy, targets ...balance.Target) *balance.Balancer {
	b := balance.NewBalancer(policy, rand.New(rand.NewPCG(1, 2)), local)
	b.SetTargets(targets)
	return b
}

// countPicks picks a target n times, records the result that respond returns
// for each pick, and counts the picks by node.
func countPicks(b *balance.Balancer, n int, now time.Time, respond func(balance.Target) (balance.Result, load.Report)) map[string]int {
	counts := map[string]int{}
	for range n {
		t, ok := b.Pick(now, "logview", anyTarget, nil)
		if !ok {
			continue
		}
		counts[t.ID().Node()]++
		result, report := respond(t)
		b.RecordResult(now, t.ID(), result, report, true)
		now = now.Add(time.Millisecond)
	}
	return counts
}

// A target that fails immediately has the lowest latency and no requests in
// flight. It must not attract load because of that.
func TestAdaptive_AvoidsFastFailingTarget(t *testing.T) {
	b := newBalancer(balance.Adaptive, newTarget(1, "a"), newTarget(2, "a"), newTarget(3, "a"))
	counts := countPicks(b, 3000, start, func(t balance.Target) (balance.Result, load.Report) {
		if t.ID().Node() == "node-1" {
			return balance.Answered, load.NewReport(3, 0, 0, 100*time.Microsecond).WithFailing(true)
		}
		return balance.Answered, load.NewReport(12, 4, 0, 10*time.Millisecond)
	})
	must.Less(t, 300, counts["node-1"])
}

func TestAdaptive_PrefersLocalDataCentreUntilOverloaded(t *testing.T) {
	respond := func(localInFlight int) func(balance.Target) (balance.Result, load.Report) {
		return func(t balance.Target) (balance.Result, load.Report) {
			if t.Locality().DataCentre() == "a" {
				return balance.Answered, load.NewReport(12, localInFlight, 0, 2*time.Millisecond)
			}
			return balance.Answered, load.NewReport(12, 1, 0, 2*time.Millisecond)
		}
	}
	idle := countPicks(newBalancer(balance.Adaptive, newTarget(1, "a"), newTarget(2, "b")), 1000, start, respond(1))
	must.Greater(t, 950, idle["node-1"])
	busy := countPicks(newBalancer(balance.Adaptive, newTarget(1, "a"), newTarget(2, "b")), 1000, start, respond(14))
	must.Greater(t, 700, busy["node-2"])
}

func TestAdaptive_RetriesSlowTargetAsItsReportAges(t *testing.T) {
	b := newBalancer(balance.Adaptive, newTarget(1, "a"), newTarget(2, "a"))
	slow := func(t balance.Target) (balance.Result, load.Report) {
		if t.ID().Node() == "node-1" {
			return balance.Answered, load.NewReport(3, 3, 2, 200*time.Millisecond)
		}
		return balance.Answered, load.NewReport(12, 4, 0, 10*time.Millisecond)
	}
	counts := countPicks(b, 500, start, slow)
	must.Less(t, 150, counts["node-1"])
	must.Greater(t, 0, counts["node-1"])
}

// Requests sent after a report count as load immediately. Otherwise all
// requests would go to the target with the lowest reported load until its next
// report.
func TestAdaptiveAll_DoesNotHerdToFreshReport(t *testing.T) {
	b := newBalancer(balance.AdaptiveAll, newTarget(1, "a"), newTarget(2, "a"), newTarget(3, "a"))
	for i := 1; i <= 3; i++ {
		id := balance.NewTargetID(fmt.Sprintf("node-%d", i), "127.0.0.1:8000")
		_, ok := b.PickByID(id)
		must.True(t, ok)
		b.RecordResult(start, id, balance.Answered, load.NewReport(12, 2+2*(i/2), 0, 10*time.Millisecond), true)
	}
	counts := map[string]int{}
	for range 18 {
		picked, ok := b.Pick(start, "logview", anyTarget, nil)
		must.True(t, ok)
		counts[picked.ID().Node()]++
	}
	for _, n := range counts {
		must.LessEq(t, 9, n)
	}
	must.MapLen(t, 3, counts)
}

func TestPick_AvoidsUnreachableAndClosedTargets(t *testing.T) {
	b := newBalancer(balance.Random, newTarget(1, "a"), newTarget(2, "a"), newTarget(3, "a"))
	unreachable, closed := balance.NewTargetID("node-1", "127.0.0.1:8000"), balance.NewTargetID("node-2", "127.0.0.1:8000")
	b.RecordResult(start, unreachable, balance.Unreachable, load.Report{}, false)
	b.RecordResult(start, closed, balance.Refused, load.NewReport(0, 0, 0, 0).WithClosed(true), true)
	for range 50 {
		picked, _ := b.Pick(start.Add(50*time.Millisecond), "logview", anyTarget, nil)
		must.Eq(t, "node-3", picked.ID().Node())
	}
	_, ok := b.Pick(start.Add(50*time.Millisecond), "logview", anyTarget, []balance.TargetID{balance.NewTargetID("node-3", "127.0.0.1:8000")})
	must.True(t, ok, must.Sprint("want an unavailable target when no other is left"))
	later := countPicks(b, 100, start.Add(10*time.Second), func(balance.Target) (balance.Result, load.Report) {
		return balance.Answered, load.NewReport(12, 1, 0, time.Millisecond)
	})
	must.MapLen(t, 3, later)
}

func TestPick_SkipsIneligibleAndTriedTargets(t *testing.T) {
	for _, name := range []string{"adaptive", "adaptive-all", "round-robin", "random", "least-reported", "power-of-two"} {
		policy, ok := balance.PolicyByName(name)
		must.True(t, ok)
		b := newBalancer(policy, newTarget(1, "a"), newTarget(2, "b"), newTarget(3, "a"))
		eligible := func(t balance.Target) bool { return t.Locality().DataCentre() == "a" }
		for range 20 {
			picked, ok := b.Pick(start, "logview", eligible, []balance.TargetID{balance.NewTargetID("node-1", "127.0.0.1:8000")})
			must.True(t, ok)
			must.Eq(t, "node-3", picked.ID().Node())
		}
		_, ok = b.Pick(start, "logview", func(balance.Target) bool { return false }, nil)
		must.False(t, ok)
	}
	_, ok := balance.PolicyByName("none")
	must.False(t, ok)
}

func TestSetTargets_ResetsStateOfRestartedServer(t *testing.T) {
	b := newBalancer(balance.Adaptive, newTarget(1, "a"))
	b.RecordResult(start, newTarget(1, "a").ID(), balance.Answered, load.NewReport(12, 9, 0, time.Millisecond), true)
	b.SetTargets([]balance.Target{newTarget(1, "a")})
	must.Eq(t, 12, b.TargetStates()[0].Report().Limit())
	restarted := balance.NewTarget(newTarget(1, "a").ID(), "logview", "peer", local, 12, start.Add(time.Minute))
	b.SetTargets([]balance.Target{restarted})
	must.Eq(t, 0, b.TargetStates()[0].Report().Limit())
}

package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/rollout"
)

// seeds is how many random loads each rollout is played with.
const seeds = 40

// TestPlay_GoodVersionCompletesBeforeDeadline guards against a good version that misses its
// deadline: the store must have acknowledged its completion by then.
func TestPlay_GoodVersionCompletesBeforeDeadline(t *testing.T) {
	for seed := range uint64(seeds) {
		r := newWorld(t, seed).play()
		must.Eq(t, "complete", r.state, must.Sprint(seed, r))
		must.Between(t, 12*time.Second, r.endedAfter, 14500*time.Millisecond, must.Sprint(seed))
	}
}

// TestPlay_GoodVersionWithFewRequestsCompletes guards against a rollout that waits for
// responses that never come.
func TestPlay_GoodVersionWithFewRequestsCompletes(t *testing.T) {
	for _, rate := range []float64{0, 2, 10, 40} {
		w := newWorld(t, 1)
		w.rate = rate
		r := w.play()
		must.Eq(t, "complete", r.state, must.Sprint(rate, r))
	}
}

// TestPlay_FaultyServersOfGoodVersion has 14 in 100 servers of both versions fail half of
// their requests. It guards against a rollback because of single servers.
func TestPlay_FaultyServersOfGoodVersion(t *testing.T) {
	rolledBack, late := 0, 0
	for seed := range uint64(4 * seeds) {
		w := newWorld(t, seed)
		w.markFaulty(0.14)
		switch r := w.play(); r.state {
		case "rolledBack":
			rolledBack++
		case "complete":
		default:
			late++
		}
	}
	t.Logf("rolled back %d, not complete %d of %d", rolledBack, late, 4*seeds)
	must.Eq(t, 0, late)
	must.LessEq(t, 4*seeds/50, rolledBack)
}

// TestPlay_OneFaultyCanaryIsSetAside has the first canary fail half of its requests.
func TestPlay_OneFaultyCanaryIsSetAside(t *testing.T) {
	for n := range 12 {
		w := newWorld(t, uint64(n))
		w.faulty[fmt.Sprint("new-", n)] = true
		must.Eq(t, "complete", w.play().state, must.Sprint(n))
	}
}

// TestPlay_VersionThatFailsHalf guards against exposure to a version that is bad at once.
func TestPlay_VersionThatFailsHalf(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed)
		w.markFaulty(0.14)
		w.bad = func(time.Duration, int, float64) float64 { return 0.5 }
		r := w.play()
		mustBeRolledBack(t, r, fmt.Sprint("seed ", seed))
		must.LessEq(t, 120, r.exposed, must.Sprint(seed))
	}
}

// TestPlay_VersionThatIsSlow guards against exposure to a version of which every response
// is slow.
func TestPlay_VersionThatIsSlow(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed)
		w.bad = func(time.Duration, int, float64) float64 { return 1 }
		mustBeRolledBack(t, w.play(), fmt.Sprint("seed ", seed))
	}
}

// TestPlay_VersionThatTurnsBadLate guards against steps that are taken before a version
// turns bad, and against early good responses that hide later bad ones.
func TestPlay_VersionThatTurnsBadLate(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed)
		from := 3*time.Second + time.Duration(seed%7)*500*time.Millisecond
		w.bad = func(after time.Duration, _ int, _ float64) float64 {
			if after < from {
				return 0
			}
			return 0.5
		}
		mustBeRolledBack(t, w.play(), fmt.Sprint("from ", from))
	}
}

// TestPlay_VersionThatFailsUnderLoad has servers fail from the load on that each has at the
// end. It guards against a canary that is spread so thinly that the fault shows only then.
func TestPlay_VersionThatFailsUnderLoad(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed)
		limit := 10 + float64(seed%4)*4 // requests per second and server
		w.bad = func(_ time.Duration, _ int, perSecond float64) float64 {
			if perSecond < limit {
				return 0
			}
			return 0.5
		}
		mustBeRolledBack(t, w.play(), fmt.Sprint("limit ", limit))
	}
}

// TestPlay_VersionThatFailsAPartUnderLoad has a fifth of the responses of all servers fail
// from a load on that comes with the last steps, as when half of those fail that meet a
// busy server. It guards against a judge that looks for servers that fail most requests.
func TestPlay_VersionThatFailsAPartUnderLoad(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed)
		w.bad = func(_ time.Duration, _ int, perSecond float64) float64 {
			if perSecond < 8 {
				return 0.02
			}
			return 0.2
		}
		mustBeRolledBack(t, w.play(), fmt.Sprint("seed ", seed))
	}
}

// TestPlay_VersionThatFailsOnOneRoute has one of four routes fail half of its requests.
func TestPlay_VersionThatFailsOnOneRoute(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed)
		w.routes = 4
		w.bad = func(_ time.Duration, route int, _ float64) float64 {
			if route != 2 {
				return 0
			}
			return 0.5
		}
		r := w.play()
		mustBeRolledBack(t, r, fmt.Sprint("seed ", seed))
	}
}

// TestPlay_FaultOfBothVersions has servers of both versions fail at the same time, as when
// a service that they call is away. It guards against blaming the version.
func TestPlay_FaultOfBothVersions(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed)
		w.badOld = 0.4
		w.bad = func(time.Duration, int, float64) float64 { return 0.4 }
		must.NotEq(t, "rolledBack", w.play().state, must.Sprint(seed))
	}
}

// TestPlay_StoreAwayTakesNoStep has the store away in the middle. It guards against a step
// that no record holds, and against a good version that is late because of it.
func TestPlay_StoreAwayTakesNoStep(t *testing.T) {
	for _, from := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 9 * time.Second} {
		w := newWorld(t, 1)
		away := func(after time.Duration) bool { return after >= from && after < from+4*time.Second }
		w.storeAway = away
		r := w.play()
		must.Eq(t, "complete", r.state, must.Sprint(from, r))
		for _, step := range r.steps {
			must.False(t, away(step))
		}
	}
}

// TestPlay_BadVersionWhileStoreIsAway guards against a rollback that waits for the store.
func TestPlay_BadVersionWhileStoreIsAway(t *testing.T) {
	w := newWorld(t, 1)
	w.storeAway = func(after time.Duration) bool { return after >= time.Second && after < 10*time.Second }
	w.bad = func(after time.Duration, _ int, _ float64) float64 {
		if after < 2*time.Second {
			return 0
		}
		return 0.5
	}
	r := w.play()
	mustBeRolledBack(t, r, "store away")
	must.Less(t, 8*time.Second, r.endedAfter)
}

// TestPlay_OnlyTargetServerDecidesAlone guards against a bad version that is kept because
// a second server is missing.
func TestPlay_OnlyTargetServerDecidesAlone(t *testing.T) {
	for _, targets := range []int{1, 2, 3} {
		w := newWorld(t, 1)
		w.targets = targets
		w.bad = func(time.Duration, int, float64) float64 { return 0.5 }
		mustBeRolledBack(t, w.play(), fmt.Sprint(targets))
	}
}

// TestRolledBack_IsFinalForItsOrder guards against a rollout that a late record of a step
// revives, and checks that an acknowledged completion takes precedence.
func TestRolledBack_IsFinalForItsOrder(t *testing.T) {
	w := newWorld(t, 1)
	w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Running, 1, 0).WithVersion(11))
	must.True(t, w.rollout.RollBack())
	w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Running, 5, 0).WithVersion(12))
	must.Eq(t, "rolledBack", w.rollout.State())
	must.Eq(t, []string{oldVersion}, w.rollout.Admitted(w.now, ""))
	w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Complete, 5, 0).WithVersion(13))
	must.Eq(t, []string{newVersion}, w.rollout.Admitted(w.now, ""))
}

// TestRecord_OfEarlierOrderStartsNothing guards against a new order that inherits the state
// of the one before, whose version its first write has to expect.
func TestRecord_OfEarlierOrderStartsNothing(t *testing.T) {
	w := newWorld(t, 1)
	w.rollout.MergeRecord(w.now, rollout.NewRecord(3, "v0", "", rollout.RolledBack, 2, 0).WithVersion(4))
	must.Eq(t, "canary", w.rollout.State())
	must.Eq(t, 0, w.rollout.Policy(w.servers(), oldVersion).Share())
	next := w.rollout.Next(w.now, w.servers()).Record()
	must.Eq(t, 4, next.Version())
	must.Eq(t, 10, next.Order())
	must.Eq(t, oldVersion, next.Previous())
}

// TestAdmission_VersionThatNoOrderNames guards against requests to a server whose version
// is not known to be that of the service.
func TestAdmission_VersionThatNoOrderNames(t *testing.T) {
	a := rollout.NewAdmission(false, oldVersion)
	must.True(t, a.Admits(oldVersion, oldVersion))
	must.True(t, a.Admits(oldVersion, ""))
	must.False(t, a.Admits(newVersion, ""))
	must.False(t, a.Admits(newVersion, oldVersion))
	must.False(t, a.Admits(oldVersion, newVersion))
	must.False(t, a.Admits("", ""), must.Sprint("version unknown to both"))
	must.True(t, a.Admits("", oldVersion), must.Sprint("version known to the sender"))
	must.False(t, rollout.Admission{}.Admits(oldVersion, oldVersion))
}

// TestOwnRelease_IsThatOfMostServers guards against new servers that are taken for the
// service before their order is known.
func TestOwnRelease_IsThatOfMostServers(t *testing.T) {
	servers := []rollout.Server{rollout.NewServer("a", oldVersion, true), rollout.NewServer("b", newVersion, true), rollout.NewServer("c", "", true)}
	must.Eq(t, oldVersion, rollout.OwnRelease(servers, oldVersion))
	must.Eq(t, newVersion, rollout.OwnRelease(servers, newVersion))
	must.Eq(t, oldVersion, rollout.OwnRelease(servers, newVersion, newVersion))
	must.Eq(t, newVersion, rollout.OwnRelease(append(servers, rollout.NewServer("d", newVersion, true)), oldVersion))
}

// TestTurn_OneNodeGoesFirst guards against all nodes writing at once.
func TestTurn_OneNodeGoesFirst(t *testing.T) {
	nodes := []string{"a", "b", "c", "d"}
	next := rollout.NewRecord(1, newVersion, oldVersion, rollout.Running, 2, 0)
	turns := map[time.Duration]bool{}
	for _, n := range nodes {
		turns[rollout.Turn(n, nodes, "shop", next)] = true
	}
	must.MapEq(t, map[time.Duration]bool{0: true, 150 * time.Millisecond: true, 300 * time.Millisecond: true, 450 * time.Millisecond: true}, turns)
}

// TestRecord_OfRestoredStoreTakesNothingBack guards against a rollout that begins again, or
// a completion that is taken back, because the store has an older record or none.
func TestRecord_OfRestoredStoreTakesNothingBack(t *testing.T) {
	w := newWorld(t, 1)
	w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Running, 1, 0).WithVersion(11))
	w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Complete, 5, 0).WithVersion(12))
	must.True(t, w.rollout.IsSettled())
	w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Running, 1, 0).WithVersion(1011))
	must.True(t, w.rollout.IsComplete())
	must.False(t, w.rollout.IsSettled())
	next := w.rollout.Next(w.now, w.servers()).Record()
	must.Eq(t, rollout.Complete, next.Phase())
	must.Eq(t, 1011, next.Version())
	must.True(t, w.rollout.LoseRecord(1020))
	next = w.rollout.Next(w.now, w.servers()).Record()
	must.Eq(t, rollout.Complete, next.Phase())
	must.Eq(t, 0, next.Version())
	must.False(t, w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Complete, 5, 0).WithVersion(1011)), must.Sprint("a peer that does not know of the loss"))
	must.True(t, w.rollout.MergeRecord(w.now, next.WithVersion(1021)))
	must.True(t, w.rollout.IsSettled())
}

// TestOrder_ForTheVersionInForceIsComplete guards against a service that loses its servers
// because an order names the version that they have.
func TestOrder_ForTheVersionInForceIsComplete(t *testing.T) {
	w := newWorld(t, 1)
	must.False(t, w.rollout.Adopt(rollout.NewRecord(3, newVersion, oldVersion, rollout.RolledBack, 1, 0).WithVersion(4)))
	must.True(t, w.rollout.Adopt(rollout.NewRecord(3, newVersion, oldVersion, rollout.Complete, 5, 0).WithVersion(4)))
	must.Eq(t, []string{newVersion}, w.rollout.Admitted(w.now, ""))
	must.Eq(t, newVersion, w.rollout.Policy(w.servers(), "").Base())
	next := w.rollout.Next(w.now, w.servers()).Record()
	must.Eq(t, rollout.Complete, next.Phase())
	must.Eq(t, 10, next.Order())
	must.Eq(t, 4, next.Version())
}

// TestContinue_KeepsWhatIsKnown guards against a rollout that loses its step, its time or
// its counts when the operators write its order again after a restore of the store, and
// against one that operators had ended and that goes on.
func TestContinue_KeepsWhatIsKnown(t *testing.T) {
	w := newWorld(t, 1)
	w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Running, 3, 9*time.Second).WithVersion(11))
	tally := rollout.NewTally("new-0", newVersion, "i-new-0")
	for range 8 {
		tally = tally.Add("/", true)
	}
	w.rollout.MergeTally(tally)
	must.False(t, w.rollout.Continue(rollout.NewOrder("shop", "v3", duration, 1010)))
	must.False(t, w.rollout.Continue(rollout.NewOrder("shop", newVersion, 2*duration, 1010)))
	must.True(t, w.rollout.Continue(rollout.NewOrder("shop", newVersion, duration, 1010)))
	must.Eq(t, 3, w.rollout.Step())
	must.Eq(t, oldVersion, w.rollout.Previous())
	must.GreaterEq(t, 9*time.Second, w.rollout.Elapsed(w.now))
	next := w.rollout.Next(w.now, w.servers()).Record()
	must.Eq(t, 1010, next.Order())
	must.Eq(t, 3, next.Step())
	// A record that a node wrote under the earlier version of the order has more progress.
	must.True(t, w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Running, 4, 10*time.Second).WithVersion(1020)))
	must.Eq(t, 4, w.rollout.Step())
	must.Eq(t, 1010, w.rollout.Next(w.now, w.servers()).Record().Order(), must.Sprint("written again for the order"))
	second := rollout.NewTally("new-1", newVersion, "i-new-1")
	for range 8 {
		second = second.Add("/", true)
	}
	w.rollout.MergeTally(second)
	_, bad := w.rollout.Judge(w.now, []rollout.Server{rollout.NewServer("new-0", newVersion, true), rollout.NewServer("new-1", newVersion, true), rollout.NewServer("old-0", oldVersion, true)})
	must.True(t, bad, must.Sprint("the counts from before count"))
	must.True(t, w.rollout.Withdraw())
	must.True(t, w.rollout.Continue(rollout.NewOrder("shop", newVersion, duration, 2010)), must.Sprint("a rollback is final"))
	must.True(t, w.rollout.IsRolledBack())
	ended := newWorld(t, 1)
	must.True(t, ended.rollout.Withdraw())
	must.False(t, ended.rollout.Continue(rollout.NewOrder("shop", newVersion, duration, 1010)))
}

// TestRecord_OfAnotherOrderTakesNothingBack guards against a running rollout that loses its
// progress to the record of an earlier order, which the copy of a restored store has, and
// against the record of a later order that is not known yet, over which this one would
// write.
func TestRecord_OfAnotherOrderTakesNothingBack(t *testing.T) {
	w := newWorld(t, 1)
	w.rollout.MergeRecord(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Running, 3, 0).WithVersion(11))
	must.True(t, w.rollout.MergeRecord(w.now, rollout.NewRecord(3, "v0", "", rollout.Complete, 5, 0).WithVersion(1004)))
	must.Eq(t, 3, w.rollout.Step())
	next := w.rollout.Next(w.now, w.servers()).Record()
	must.Eq(t, 10, next.Order())
	must.Eq(t, 3, next.Step())
	must.Eq(t, 1004, next.Version())
	must.False(t, w.rollout.MergeRecord(w.now, rollout.NewRecord(1010, "v3", oldVersion, rollout.Running, 0, 0).WithVersion(1020)))
	must.Eq(t, 1004, w.rollout.Next(w.now, w.servers()).Record().Version())
}

// TestRecord_OfEarlierOrderThatIsLost guards against a first write that expects a record
// which the store has lost, and that conflicts for ever.
func TestRecord_OfEarlierOrderThatIsLost(t *testing.T) {
	w := newWorld(t, 1)
	w.rollout.MergeRecord(w.now, rollout.NewRecord(3, "v0", "", rollout.Complete, 5, 0).WithVersion(4))
	must.False(t, w.rollout.LoseRecord(1020))
	must.Eq(t, 0, w.rollout.Next(w.now, w.servers()).Record().Version())
}

// TestPlay_AllNodesRestart has all nodes restart at some time of the rollout of a bad
// version, so that they know its record and no counts. It guards against exposure above the
// bounds, which hold over the whole rollout.
func TestPlay_AllNodesRestart(t *testing.T) {
	for name, bad := range map[string]func(after time.Duration, perSecond float64) float64{
		"half":       func(time.Duration, float64) float64 { return 0.5 },
		"slow":       func(time.Duration, float64) float64 { return 1 },
		"late":       func(after time.Duration, _ float64) float64 { return min(0.5, max(0, after.Seconds()-4)) },
		"under load": func(_ time.Duration, perSecond float64) float64 { return min(0.5, max(0, perSecond-14)) },
	} {
		for seed := range uint64(seeds) {
			w := newWorld(t, seed)
			w.restartAt = 500*time.Millisecond + time.Duration(seed)*250*time.Millisecond
			w.bad = func(after time.Duration, _ int, perSecond float64) float64 { return bad(after, perSecond) }
			mustBeRolledBack(t, w.play(), fmt.Sprint(name, ", restart after ", 500+250*seed, " ms"))
		}
	}
}

// TestRolledBack_BeforeItsRecordIsKnown has a node hear of a rollback of which the store has
// lost the record. It guards against a record without the version that the service has,
// after which no server would get requests.
func TestRolledBack_BeforeItsRecordIsKnown(t *testing.T) {
	w := newWorld(t, 1)
	must.True(t, w.rollout.RollBack())
	var targets []rollout.Server
	for _, s := range w.servers() {
		if s.Release() == newVersion {
			targets = append(targets, s)
		}
	}
	for _, after := range []time.Duration{0, duration / 2} {
		must.Eq(t, rollout.None, w.rollout.Next(w.now.Add(after), targets).Kind())
	}
	next := w.rollout.Next(w.now, w.servers()).Record()
	must.Eq(t, rollout.RolledBack, next.Phase())
	must.Eq(t, oldVersion, next.Previous())
}

// TestLearnProgress_OfAPeer guards against a node that starts after a restore of the store
// and begins the rollout again, although a peer knows what the store has lost.
func TestLearnProgress_OfAPeer(t *testing.T) {
	w := newWorld(t, 1)
	w.rollout.MergeRecord(w.now, rollout.NewRecord(3, "v0", oldVersion, rollout.RolledBack, 1, 0).WithVersion(1004))
	must.False(t, w.rollout.LearnProgress(w.now, rollout.NewRecord(3, "v0", oldVersion, rollout.Complete, 5, 0)), must.Sprint("of another order"))
	must.True(t, w.rollout.LearnProgress(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Running, 3, 9*time.Second)))
	must.Eq(t, "ramping", w.rollout.State())
	must.Eq(t, 9*time.Second, w.rollout.Elapsed(w.now))
	next := w.rollout.Next(w.now, w.servers()).Record()
	must.Eq(t, 3, next.Step())
	must.Eq(t, 1004, next.Version(), must.Sprint("the store has the record of the earlier order"))
	must.False(t, w.rollout.LearnProgress(w.now, rollout.NewRecord(10, newVersion, oldVersion, rollout.Running, 2, 0)))
	must.Eq(t, 3, w.rollout.Step())
}

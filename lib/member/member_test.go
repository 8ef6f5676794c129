package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/member"
)

var start = time.Unix(1000, 0)

func claim(name string, epoch uint64) member.Record {
	return member.NewRecord(name, epoch, name+":1", name+":2", "dc-"+name[len(name)-1:], "r")
}

func table(t testing.TB, self string) *member.Table {
	t.Helper()
	set, err := chart.Embedded()
	must.NoError(t, err)
	c, err := set.Chart("member")
	must.NoError(t, err)
	tb, err := member.NewTable(c, claim(self, 1), start)
	must.NoError(t, err)
	return tb
}

func TestDoubtIsRefutedByItsSubject(t *testing.T) {
	a, b := table(t, "a"), table(t, "b")
	a.Merge(start, b.Self())
	doubt, ok := a.SuspectRecord("b")
	must.True(t, ok)
	a.Merge(start, doubt)
	state, _ := a.State("b")
	must.Eq(t, chart.State("suspect"), state)
	change := b.Merge(start, doubt)
	must.True(t, change.Refuted())
	a.Merge(start, change.Record())
	state, _ = a.State("b")
	must.Eq(t, chart.State("alive"), state)
}

func TestSuspectFailsUnlessItRefutesInTime(t *testing.T) {
	a := table(t, "a")
	a.Merge(start, claim("b", 1))
	doubt, _ := a.SuspectRecord("b")
	a.Merge(start, doubt)
	must.Len(t, 0, a.Tick(start.Add(member.SuspicionTimeout-time.Millisecond)))
	changes := a.Tick(start.Add(member.SuspicionTimeout))
	must.Len(t, 1, changes)
	must.Len(t, 1, a.Usable())
	a.Tick(start.Add(member.SuspicionTimeout + member.FailedRetention))
	must.Eq(t, 1, a.Len())
}

// A host that is replaced under the same name is another process: its claims
// prevail, and old gossip about its predecessor changes nothing.
func TestReplacedHostSupersedesItsPredecessor(t *testing.T) {
	a, old := table(t, "a"), table(t, "b")
	a.Merge(start, claim("b", 1).WithStatus(7, member.Failed))
	must.True(t, a.Merge(start, claim("b", 2)).Changed())
	must.False(t, a.Merge(start, claim("b", 1).WithStatus(9, member.Left)).Changed())
	got, _ := a.Get("b")
	must.Eq(t, 2, got.Epoch())
	old.Merge(start, claim("b", 2))
	must.True(t, old.Superseded())
}

// A node that was held for failed while it was paused or cut off comes back.
func TestFailedNodeThatWakesIsAliveAgain(t *testing.T) {
	a, b := table(t, "a"), table(t, "b")
	a.Merge(start, b.Self().WithStatus(1, member.Failed))
	got, _ := a.Get("b")
	change := b.Merge(start, got)
	must.True(t, change.Refuted())
	a.Merge(start, change.Record())
	must.Len(t, 2, a.Usable())
}

func TestLeavingIsNotRefuted(t *testing.T) {
	a, b := table(t, "a"), table(t, "b")
	left := b.UpdateSelf(start, nil, true)
	a.Merge(start, left)
	must.Len(t, 1, a.Usable())
	must.False(t, b.Merge(start, left.WithStatus(left.Version(), member.Left)).Refuted())
}

// A change crosses a ring of any size within maxHops links, each of which takes
// one batch of 100 ms: a leaving node is known everywhere within 3 s at 5,100.
func TestChangesCrossTheRingInFewHops(t *testing.T) {
	const maxHops = 16
	for _, n := range []int{2, 3, 7, 24, 200, 1800, 5100} {
		steps := member.NeighbourOffsets(n)
		must.Len(t, 6, steps)
		hops := map[int]int{0: 0}
		for queue := []int{0}; len(queue) > 0; queue = queue[1:] {
			for _, step := range steps {
				for _, to := range []int{(queue[0] + step) % n, ((queue[0]-step)%n + n) % n} {
					if _, seen := hops[to]; !seen {
						hops[to] = hops[queue[0]] + 1
						queue = append(queue, to)
					}
				}
			}
		}
		must.MapLen(t, n, hops)
		for _, h := range hops {
			must.LessEq(t, maxHops, h)
		}
	}
}

func TestNeighboursAreFewAndOthers(t *testing.T) {
	a := table(t, "a")
	must.Len(t, 0, a.Neighbours())
	for i := range 100 {
		a.Merge(start, claim(fmt.Sprintf("n%d", i), 1))
	}
	must.Len(t, 6, a.Neighbours())
	for _, n := range a.Neighbours() {
		must.NotEq(t, "a", n.Name())
	}
}

// In whatever order, and however often, claims arrive, two views that heard the
// same claims are the same and have the same digests.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, err := chart.Embedded()
		if err != nil {
			t.Fatal(err)
		}
		c, err := set.Chart("member")
		if err != nil {
			t.Fatal(err)
		}
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) member.Record {
			name := fmt.Sprintf("n%d", rapid.IntRange(0, 4).Draw(t, "name"))
			status := member.Status(rapid.IntRange(0, 3).Draw(t, "status"))
			return claim(name, uint64(rapid.IntRange(1, 3).Draw(t, "epoch"))).WithStatus(uint64(rapid.IntRange(1, 4).Draw(t, "version")), status)
		}), 1, 30).Draw(t, "claims")
		views := make([]*member.Table, 2)
		for i := range views {
			views[i], err = member.NewTable(c, claim(fmt.Sprintf("self%d", i), 1), start)
			if err != nil {
				t.Fatal(err)
			}
			for _, at := range rapid.Permutation(indexes(len(claims))).Draw(t, "order") {
				views[i].Merge(start, claims[at])
				if rapid.Bool().Draw(t, "again") {
					views[i].Merge(start, claims[at])
				}
			}
		}
		views[0].Merge(start, views[1].Self())
		views[1].Merge(start, views[0].Self())
		if views[0].Digest() != views[1].Digest() || len(views[0].DifferingBuckets(views[1].Digests())) > 0 {
			t.Fatalf("views differ: %v and %v", views[0].All(), views[1].All())
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

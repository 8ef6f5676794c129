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

func record(name string, epoch uint64) member.Record {
	return member.NewRecord(name, epoch, name+":1", name+":2", "dc-"+name[len(name)-1:], "r")
}

func newTable(t testing.TB, self string) *member.Table {
	t.Helper()
	set, err := chart.Embedded()
	must.NoError(t, err)
	memberChart, err := set.Chart("member")
	must.NoError(t, err)
	table, err := member.NewTable(memberChart, record(self, 1), start)
	must.NoError(t, err)
	return table
}

func TestMerge_SuspectNodeRefutesSuspicion(t *testing.T) {
	a, b := newTable(t, "a"), newTable(t, "b")
	a.Merge(start, b.Self())
	suspicion, ok := a.SuspectRecord("b")
	must.True(t, ok)
	a.Merge(start, suspicion)
	state, _ := a.State("b")
	must.Eq(t, chart.State("suspect"), state)
	change := b.Merge(start, suspicion)
	must.True(t, change.Refuted())
	a.Merge(start, change.Record())
	state, _ = a.State("b")
	must.Eq(t, chart.State("alive"), state)
}

func TestTick_UnrefutedSuspicionFailsNode(t *testing.T) {
	a := newTable(t, "a")
	a.Merge(start, record("b", 1))
	suspicion, _ := a.SuspectRecord("b")
	a.Merge(start, suspicion)
	must.Len(t, 0, a.Tick(start.Add(member.SuspicionTimeout-time.Millisecond)))
	changes := a.Tick(start.Add(member.SuspicionTimeout))
	must.Len(t, 1, changes)
	must.Len(t, 1, a.Usable())
	a.Tick(start.Add(member.SuspicionTimeout + member.FailedRetention))
	must.Eq(t, 1, a.Len())
}

// The records of a host that replaces another under the same name win by their
// epoch, and late records of its predecessor change nothing.
func TestMerge_ReplacedHostSupersedesPredecessor(t *testing.T) {
	a, old := newTable(t, "a"), newTable(t, "b")
	a.Merge(start, record("b", 1).WithStatus(7, member.Failed))
	must.True(t, a.Merge(start, record("b", 2)).Changed())
	must.False(t, a.Merge(start, record("b", 1).WithStatus(9, member.Left)).Changed())
	got, _ := a.Get("b")
	must.Eq(t, 2, got.Epoch())
	old.Merge(start, record("b", 2))
	must.True(t, old.Superseded())
}

// A node that others marked as failed, while it was paused or partitioned,
// refutes that once it runs again.
func TestMerge_FailedNodeThatResumesIsAliveAgain(t *testing.T) {
	a, b := newTable(t, "a"), newTable(t, "b")
	a.Merge(start, b.Self().WithStatus(1, member.Failed))
	got, _ := a.Get("b")
	change := b.Merge(start, got)
	must.True(t, change.Refuted())
	a.Merge(start, change.Record())
	must.Len(t, 2, a.Usable())
}

func TestMerge_LeavingNodeDoesNotRefute(t *testing.T) {
	a, b := newTable(t, "a"), newTable(t, "b")
	left := b.UpdateSelf(start, nil, true)
	a.Merge(start, left)
	must.Len(t, 1, a.Usable())
	must.False(t, b.Merge(start, left.WithStatus(left.Version(), member.Left)).Refuted())
}

// A change must cross a ring of any size within maxHops links. Each link adds
// one batch interval of 100 ms, so that all of 5,100 nodes learn within 3 s
// that a node leaves.
func TestNeighbourOffsets_ReachEveryNodeInFewHops(t *testing.T) {
	const maxHops = 16
	for _, n := range []int{2, 3, 7, 24, 200, 1800, 5100} {
		offsets := member.NeighbourOffsets(n)
		must.Len(t, 6, offsets)
		hops := map[int]int{0: 0}
		for queue := []int{0}; len(queue) > 0; queue = queue[1:] {
			for _, offset := range offsets {
				for _, to := range []int{(queue[0] + offset) % n, ((queue[0]-offset)%n + n) % n} {
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

func TestNeighbours_AreFewAndExcludeSelf(t *testing.T) {
	a := newTable(t, "a")
	must.Len(t, 0, a.Neighbours())
	for i := range 100 {
		a.Merge(start, record(fmt.Sprintf("n%d", i), 1))
	}
	must.Len(t, 6, a.Neighbours())
	for _, n := range a.Neighbours() {
		must.NotEq(t, "a", n.Name())
	}
}

// Two tables that received the same records, in any order and any number of
// times, hold the same records and have the same digests.
func TestMerge_TablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, err := chart.Embedded()
		if err != nil {
			t.Fatal(err)
		}
		memberChart, err := set.Chart("member")
		if err != nil {
			t.Fatal(err)
		}
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) member.Record {
			name := fmt.Sprintf("n%d", rapid.IntRange(0, 4).Draw(t, "name"))
			status := member.Status(rapid.IntRange(0, 3).Draw(t, "status"))
			return record(name, uint64(rapid.IntRange(1, 3).Draw(t, "epoch"))).WithStatus(uint64(rapid.IntRange(1, 4).Draw(t, "version")), status)
		}), 1, 30).Draw(t, "records")
		tables := make([]*member.Table, 2)
		for i := range tables {
			tables[i], err = member.NewTable(memberChart, record(fmt.Sprintf("self%d", i), 1), start)
			if err != nil {
				t.Fatal(err)
			}
			for _, index := range rapid.Permutation(indices(len(records))).Draw(t, "order") {
				tables[i].Merge(start, records[index])
				if rapid.Bool().Draw(t, "duplicated") {
					tables[i].Merge(start, records[index])
				}
			}
		}
		tables[0].Merge(start, tables[1].Self())
		tables[1].Merge(start, tables[0].Self())
		if tables[0].Digest() != tables[1].Digest() || len(tables[0].DifferingBuckets(tables[1].Digests())) > 0 {
			t.Fatalf("tables differ after the same records: %v and %v", tables[0].All(), tables[1].All())
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

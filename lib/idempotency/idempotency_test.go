package idempotency_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/idempotency"
)

var startTime = time.Unix(1_700_000_000, 0)

func newTarget(node string, since time.Time) balance.Target {
	return balance.NewTarget(balance.NewTargetID(node, "s"), "kassa", "peer", balance.NewLocality(node, "a", "r"), 20, since)
}

func TestParseKeyTime_AcceptsOnlyUUIDv7(t *testing.T) {
	created, ok := idempotency.ParseKeyTime("018bcfe5-6800-7000-8000-000000000000")
	must.True(t, ok)
	must.Eq(t, 1_700_000_000, created.Unix())
	for _, other := range []string{"", "order-7", "6ba7b810-9dad-41d1-80b4-00c04fd430c8"} {
		_, ok := idempotency.ParseKeyTime(other)
		must.False(t, ok)
	}
}

func TestTable_Begin(t *testing.T) {
	now := startTime.Add(time.Minute)
	key := idempotency.NewKey("kassa", "k")
	record := idempotency.NewRecord(201, nil, []byte("done"))
	cases := map[string]struct {
		prepare func(table *idempotency.Table)
		created time.Time
		want    idempotency.Kind
	}{
		"first":           {func(*idempotency.Table) {}, now, idempotency.Run},
		"still running":   {func(table *idempotency.Table) { table.Begin(now, key, now) }, now, idempotency.Wait},
		"recorded":        {func(table *idempotency.Table) { table.Begin(now, key, now); table.Complete(key, record) }, now, idempotency.Replay},
		"outcome unknown": {func(table *idempotency.Table) { table.Begin(now, key, now); table.MarkUnknown(key) }, now, idempotency.Unknown},
		"discarded":       {func(table *idempotency.Table) { table.Begin(now, key, now); table.Discard(key) }, now, idempotency.Run},
		"fenced":          {func(table *idempotency.Table) { table.Fence(now, key, now) }, now, idempotency.Fenced},
		"response too large": {func(table *idempotency.Table) {
			table.Begin(now, key, now)
			table.Complete(key, idempotency.NewRecord(200, nil, make([]byte, idempotency.MaxRecordBytes+1)))
		}, now, idempotency.Unknown},
		"older than the table":     {func(*idempotency.Table) {}, startTime, idempotency.Unknown},
		"created in the future":    {func(*idempotency.Table) {}, now.Add(time.Minute), idempotency.Reject},
		"older than the retention": {func(*idempotency.Table) {}, now.Add(-idempotency.Retention), idempotency.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := idempotency.NewTable(idempotency.NewLimits(10, 1000), startTime)
			c.prepare(table)
			must.Eq(t, c.want, table.Begin(now, key, c.created).Kind())
		})
	}
}

// After a key was evicted because the table was full, neither this key nor any
// key of the same age may run: the table no longer knows whether they already
// ran.
func TestTable_DoesNotRunEvictedKeys(t *testing.T) {
	table := idempotency.NewTable(idempotency.NewLimits(3, 1000), startTime)
	now := startTime.Add(time.Minute)
	keys := make([]idempotency.Key, 5)
	for i := range keys {
		keys[i] = idempotency.NewKey("kassa", fmt.Sprint(i))
		created := now.Add(time.Duration(i) * 10 * time.Second)
		must.Eq(t, idempotency.Run, table.Begin(created, keys[i], created).Kind())
		table.Complete(keys[i], idempotency.NewRecord(200, nil, []byte("x")))
	}
	must.Eq(t, 3, table.Len())
	later := now.Add(time.Minute)
	must.Eq(t, idempotency.Unknown, table.Begin(later, keys[0], now).Kind())
	must.Eq(t, idempotency.Unknown, table.Begin(later, idempotency.NewKey("kassa", "new"), now).Kind())
	must.Eq(t, idempotency.Replay, table.Begin(later, keys[4], now.Add(40*time.Second)).Kind())
}

func TestHome_ExcludesTargetsNewerThanKey(t *testing.T) {
	created := startTime.Add(time.Hour)
	oldTarget := newTarget("old", startTime)
	for i := range 100 {
		key := idempotency.NewKey("kassa", fmt.Sprint(i))
		home, ok := idempotency.Home(key, created, []balance.Target{oldTarget, newTarget("new", created.Add(-time.Second))})
		must.True(t, ok)
		must.Eq(t, "old", home.ID().Node())
	}
	_, ok := idempotency.Home(idempotency.NewKey("kassa", "k"), created, []balance.Target{newTarget("new", created)})
	must.False(t, ok)
}

// cluster models a service whose targets change. As in the program, every node
// has its own table and target history.
type cluster struct {
	now       time.Time
	members   map[string]balance.Target
	tables    map[string]*idempotency.Table
	histories map[string]*idempotency.TargetHistory
	runs      map[string]int
}

func (c *cluster) targets() []balance.Target {
	var list []balance.Target
	for _, name := range []string{"n0", "n1", "n2", "n3"} {
		if t, ok := c.members[name]; ok {
			list = append(list, t)
		}
	}
	return list
}

func (c *cluster) join(name string) {
	c.members[name] = newTarget(name, c.now)
	c.tables[name] = idempotency.NewTable(idempotency.NewLimits(50, 1<<20), c.now)
	c.histories[name] = idempotency.NewTargetHistory(c.now)
	c.recordTargets()
}

func (c *cluster) recordTargets() {
	for name := range c.members {
		c.histories[name].Record(c.now, c.targets())
	}
}

// handleRequest sends a request to the home of its key, which queries the
// previous homes that are still reachable, as server.Runner does. Nodes that
// left still answer queries; nodes that crashed do not.
func (c *cluster) handleRequest(value string, created time.Time) {
	key := idempotency.NewKey("kassa", value)
	home, ok := idempotency.Home(key, created, c.targets())
	if !ok {
		return
	}
	name := home.ID().Node()
	current, previous, known := c.histories[name].Homes(c.now, key, created)
	if !known || current.ID() != home.ID() {
		return
	}
	table := c.tables[name]
	if table.Begin(c.now, key, created).Kind() != idempotency.Run {
		return
	}
	for _, p := range previous {
		other, reachable := c.tables[p.ID().Node()]
		if !reachable || other.Fence(c.now, key, created).Kind() != idempotency.Fenced {
			table.MarkUnknown(key)
			return
		}
	}
	c.runs[value]++
	table.Complete(key, idempotency.NewRecord(200, nil, []byte("x")))
}

// However targets join, leave, crash and restart, and however often a key is
// repeated, it must run at most once.
func TestKeys_RunAtMostOnceWhenHomesChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{
			now: startTime, members: map[string]balance.Target{}, tables: map[string]*idempotency.Table{},
			histories: map[string]*idempotency.TargetHistory{}, runs: map[string]int{},
		}
		c.join("n0")
		c.join("n1")
		c.now = c.now.Add(time.Minute)
		created := map[string]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"key": func(t *rapid.T) {
				value := fmt.Sprintf("k%d", rapid.IntRange(0, 8).Draw(t, "key"))
				if _, known := created[value]; !known {
					skew := time.Duration(rapid.IntRange(-1900, 1900).Draw(t, "skew")) * time.Millisecond
					created[value] = c.now.Add(skew)
				}
				c.handleRequest(value, created[value])
			},
			"join": func(t *rapid.T) {
				name := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "node"))
				if _, ok := c.members[name]; !ok {
					c.join(name)
				}
			},
			"leave": func(t *rapid.T) {
				name := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "node"))
				delete(c.members, name)
				c.recordTargets()
			},
			"die": func(t *rapid.T) {
				name := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "node"))
				delete(c.members, name)
				delete(c.tables, name)
				c.recordTargets()
			},
			"time": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for value, n := range c.runs {
					if n > 1 {
						t.Fatalf("key %s ran %d times, want at most once", value, n)
					}
				}
			},
		})
	})
}

func TestTracker_RepeatWaitsAndGetsRecordedResponse(t *testing.T) {
	clock := clockwork.NewFakeClockAt(startTime)
	tracker := idempotency.NewTracker(clock, idempotency.DefaultLimits())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tracker.Run(ctx)
	clock.Advance(time.Minute)
	key, created := idempotency.NewKey("kassa", "k"), clock.Now()
	must.Eq(t, idempotency.Run, tracker.Begin(ctx, key, created).Kind())
	repeat := make(chan idempotency.Decision, 1)
	go func() { repeat <- tracker.Begin(ctx, key, created) }()
	shortCtx, stop := context.WithTimeout(ctx, 10*time.Millisecond)
	defer stop()
	must.Eq(t, idempotency.Unknown, tracker.Begin(shortCtx, key, created).Kind())
	tracker.Complete(key, idempotency.NewRecord(201, nil, []byte("done")))
	d := <-repeat
	must.Eq(t, idempotency.Replay, d.Kind())
	must.Eq(t, "done", string(d.Record().Body()))
}

// If the caller disconnects before the tracker decides, the key must not stay
// in the running state: every repeat would wait for a run that never ends.
func TestTracker_DiscardsRunOfDisconnectedCaller(t *testing.T) {
	clock := clockwork.NewFakeClockAt(startTime)
	tracker := idempotency.NewTracker(clock, idempotency.DefaultLimits())
	clock.Advance(time.Minute)
	key, created := idempotency.NewKey("kassa", "k"), clock.Now()
	cancelledCtx, cancelCaller := context.WithCancel(context.Background())
	cancelCaller()
	must.Eq(t, idempotency.Unknown, tracker.Begin(cancelledCtx, key, created).Kind())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tracker.Run(ctx)
	for deadline := time.Now().Add(10 * time.Second); tracker.Dump(ctx).Keys() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
	}
	must.Eq(t, idempotency.Run, tracker.Begin(ctx, key, created).Kind())
}

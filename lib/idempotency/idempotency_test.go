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

var boot = time.Unix(1_700_000_000, 0)

func target(node string, since time.Time) balance.Target {
	return balance.NewTarget(balance.NewTargetID(node, "s"), "kassa", "peer", balance.NewLocality(node, "a", "r"), 20, since)
}

func TestParseKeyTakesUUIDv7Only(t *testing.T) {
	created, ok := idempotency.ParseKeyTime("018bcfe5-6800-7000-8000-000000000000")
	must.True(t, ok)
	must.Eq(t, 1_700_000_000, created.Unix())
	for _, other := range []string{"", "order-7", "6ba7b810-9dad-41d1-80b4-00c04fd430c8"} {
		_, ok := idempotency.ParseKeyTime(other)
		must.False(t, ok)
	}
}

func TestMemory(t *testing.T) {
	now := boot.Add(time.Minute)
	key := idempotency.NewKey("kassa", "k")
	record := idempotency.NewRecord(201, nil, []byte("done"))
	cases := map[string]struct {
		prepare func(m *idempotency.Table)
		created time.Time
		want    idempotency.Kind
	}{
		"first":         {func(*idempotency.Table) {}, now, idempotency.Run},
		"still running": {func(m *idempotency.Table) { m.Begin(now, key, now) }, now, idempotency.Wait},
		"recorded":      {func(m *idempotency.Table) { m.Begin(now, key, now); m.Complete(key, record) }, now, idempotency.Replay},
		"lost":          {func(m *idempotency.Table) { m.Begin(now, key, now); m.MarkUnknown(key) }, now, idempotency.Unknown},
		"withdrawn":     {func(m *idempotency.Table) { m.Begin(now, key, now); m.Discard(key) }, now, idempotency.Run},
		"promised away": {func(m *idempotency.Table) { m.Fence(now, key, now) }, now, idempotency.Fenced},
		"answer too long": {func(m *idempotency.Table) {
			m.Begin(now, key, now)
			m.Complete(key, idempotency.NewRecord(200, nil, make([]byte, idempotency.MaxRecordBytes+1)))
		}, now, idempotency.Unknown},
		"before the boot":  {func(*idempotency.Table) {}, boot, idempotency.Unknown},
		"from the future":  {func(*idempotency.Table) {}, now.Add(time.Minute), idempotency.Reject},
		"beyond retention": {func(*idempotency.Table) {}, now.Add(-idempotency.Retention), idempotency.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := idempotency.NewTable(idempotency.NewLimits(10, 1000), boot)
			c.prepare(m)
			must.Eq(t, c.want, m.Begin(now, key, c.created).Kind())
		})
	}
}

// A key that was forgotten for want of room is not run again, nor is any key as
// old as it.
func TestForgottenKeysAreNotRun(t *testing.T) {
	m := idempotency.NewTable(idempotency.NewLimits(3, 1000), boot)
	now := boot.Add(time.Minute)
	keys := make([]idempotency.Key, 5)
	for i := range keys {
		keys[i] = idempotency.NewKey("kassa", fmt.Sprint(i))
		created := now.Add(time.Duration(i) * 10 * time.Second)
		must.Eq(t, idempotency.Run, m.Begin(created, keys[i], created).Kind())
		m.Complete(keys[i], idempotency.NewRecord(200, nil, []byte("x")))
	}
	must.Eq(t, 3, m.Len())
	later := now.Add(time.Minute)
	must.Eq(t, idempotency.Unknown, m.Begin(later, keys[0], now).Kind())
	must.Eq(t, idempotency.Unknown, m.Begin(later, idempotency.NewKey("kassa", "new"), now).Kind())
	must.Eq(t, idempotency.Replay, m.Begin(later, keys[4], now.Add(40*time.Second)).Kind())
}

func TestNewcomerIsNoHomeOfOlderKeys(t *testing.T) {
	created := boot.Add(time.Hour)
	settled := target("old", boot)
	for i := range 100 {
		key := idempotency.NewKey("kassa", fmt.Sprint(i))
		home, ok := idempotency.Home(key, created, []balance.Target{settled, target("new", created.Add(-time.Second))})
		must.True(t, ok)
		must.Eq(t, "old", home.ID().Node())
	}
	_, ok := idempotency.Home(idempotency.NewKey("kassa", "k"), created, []balance.Target{target("new", created)})
	must.False(t, ok)
}

// world is a service whose targets come and go; every node keeps a memory and a
// history of its own, as the program does.
type world struct {
	now       time.Time
	present   map[string]balance.Target
	memories  map[string]*idempotency.Table
	histories map[string]*idempotency.TargetHistory
	runs      map[string]int
}

func (w *world) targets() []balance.Target {
	var list []balance.Target
	for _, name := range []string{"n0", "n1", "n2", "n3"} {
		if t, ok := w.present[name]; ok {
			list = append(list, t)
		}
	}
	return list
}

func (w *world) join(name string) {
	w.present[name] = target(name, w.now)
	w.memories[name] = idempotency.NewTable(idempotency.NewLimits(50, 1<<20), w.now)
	w.histories[name] = idempotency.NewTargetHistory(w.now)
	w.record()
}

func (w *world) record() {
	for name := range w.present {
		w.histories[name].Record(w.now, w.targets())
	}
}

// arrive brings a key to its home, which asks the earlier homes that are still
// there, as server.Runner does. leaving nodes still answer.
func (w *world) arrive(value string, created time.Time) {
	key := idempotency.NewKey("kassa", value)
	home, ok := idempotency.Home(key, created, w.targets())
	if !ok {
		return
	}
	name := home.ID().Node()
	present, earlier, known := w.histories[name].Homes(w.now, key, created)
	if !known || present.ID() != home.ID() {
		return
	}
	memory := w.memories[name]
	if memory.Begin(w.now, key, created).Kind() != idempotency.Run {
		return
	}
	for _, e := range earlier {
		other, reachable := w.memories[e.ID().Node()]
		if !reachable || other.Fence(w.now, key, created).Kind() != idempotency.Fenced {
			memory.MarkUnknown(key)
			return
		}
	}
	w.runs[value]++
	memory.Complete(key, idempotency.NewRecord(200, nil, []byte("x")))
}

// Whatever joins, leaves, dies and restarts, and however often a key is
// repeated, it runs at most once.
func TestKeysRunAtMostOnceWhileHomesMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			now: boot, present: map[string]balance.Target{}, memories: map[string]*idempotency.Table{},
			histories: map[string]*idempotency.TargetHistory{}, runs: map[string]int{},
		}
		w.join("n0")
		w.join("n1")
		w.now = w.now.Add(time.Minute)
		created := map[string]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"key": func(t *rapid.T) {
				value := fmt.Sprintf("k%d", rapid.IntRange(0, 8).Draw(t, "key"))
				if _, known := created[value]; !known {
					skew := time.Duration(rapid.IntRange(-1900, 1900).Draw(t, "skew")) * time.Millisecond
					created[value] = w.now.Add(skew)
				}
				w.arrive(value, created[value])
			},
			"join": func(t *rapid.T) {
				name := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "node"))
				if _, there := w.present[name]; !there {
					w.join(name)
				}
			},
			"leave": func(t *rapid.T) {
				name := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "node"))
				delete(w.present, name)
				w.record()
			},
			"die": func(t *rapid.T) {
				name := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "node"))
				delete(w.present, name)
				delete(w.memories, name)
				w.record()
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for value, n := range w.runs {
					if n > 1 {
						t.Fatalf("key %s ran %d times", value, n)
					}
				}
			},
		})
	})
}

func TestLedgerLetsARepeatWaitAndReplaysTheAnswer(t *testing.T) {
	clock := clockwork.NewFakeClockAt(boot)
	l := idempotency.NewTracker(clock, idempotency.DefaultLimits())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	clock.Advance(time.Minute)
	key, created := idempotency.NewKey("kassa", "k"), clock.Now()
	must.Eq(t, idempotency.Run, l.Begin(ctx, key, created).Kind())
	repeat := make(chan idempotency.Decision, 1)
	go func() { repeat <- l.Begin(ctx, key, created) }()
	short, stop := context.WithTimeout(ctx, 10*time.Millisecond)
	defer stop()
	must.Eq(t, idempotency.Unknown, l.Begin(short, key, created).Kind())
	l.Complete(key, idempotency.NewRecord(201, nil, []byte("done")))
	v := <-repeat
	must.Eq(t, idempotency.Replay, v.Kind())
	must.Eq(t, "done", string(v.Record().Body()))
}

// A caller that leaves while the ledger decides does not leave its key running
// for good.
func TestRightToRunOfACallerThatLeftIsTakenBack(t *testing.T) {
	clock := clockwork.NewFakeClockAt(boot)
	l := idempotency.NewTracker(clock, idempotency.DefaultLimits())
	clock.Advance(time.Minute)
	key, created := idempotency.NewKey("kassa", "k"), clock.Now()
	left, leave := context.WithCancel(context.Background())
	leave()
	must.Eq(t, idempotency.Unknown, l.Begin(left, key, created).Kind())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	for until := time.Now().Add(10 * time.Second); l.Dump(ctx).Keys() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(until))
	}
	must.Eq(t, idempotency.Run, l.Begin(ctx, key, created).Kind())
}

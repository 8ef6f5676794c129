package once_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/once"
)

var boot = time.Unix(1_700_000_000, 0)

func target(node string, since time.Time) balance.Target {
	return balance.NewTarget(balance.NewID(node, "s"), "kassa", "peer", balance.NewPlace(node, "a", "r"), 20, since)
}

func TestParseKeyTakesUUIDv7Only(t *testing.T) {
	created, ok := once.ParseKey("018bcfe5-6800-7000-8000-000000000000")
	must.True(t, ok)
	must.Eq(t, 1_700_000_000, created.Unix())
	for _, other := range []string{"", "order-7", "6ba7b810-9dad-41d1-80b4-00c04fd430c8"} {
		_, ok := once.ParseKey(other)
		must.False(t, ok)
	}
}

func TestMemory(t *testing.T) {
	now := boot.Add(time.Minute)
	key := once.NewKey("kassa", "k")
	record := once.NewRecord(201, nil, []byte("done"))
	cases := map[string]struct {
		prepare func(m *once.Memory)
		created time.Time
		want    once.Kind
	}{
		"first":         {func(*once.Memory) {}, now, once.Run},
		"still running": {func(m *once.Memory) { m.Begin(now, key, now) }, now, once.Wait},
		"recorded":      {func(m *once.Memory) { m.Begin(now, key, now); m.Finish(key, record) }, now, once.Replay},
		"lost":          {func(m *once.Memory) { m.Begin(now, key, now); m.Lose(key) }, now, once.Uncertain},
		"withdrawn":     {func(m *once.Memory) { m.Begin(now, key, now); m.Withdraw(key) }, now, once.Run},
		"promised away": {func(m *once.Memory) { m.Inquire(now, key, now) }, now, once.Promised},
		"answer too long": {func(m *once.Memory) {
			m.Begin(now, key, now)
			m.Finish(key, once.NewRecord(200, nil, make([]byte, once.MaxRecord+1)))
		}, now, once.Uncertain},
		"before the boot":  {func(*once.Memory) {}, boot, once.Uncertain},
		"from the future":  {func(*once.Memory) {}, now.Add(time.Minute), once.Reject},
		"beyond retention": {func(*once.Memory) {}, now.Add(-once.Retention), once.Uncertain},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := once.NewMemory(once.NewBounds(10, 1000), boot)
			c.prepare(m)
			must.Eq(t, c.want, m.Begin(now, key, c.created).Kind())
		})
	}
}

// A key that was forgotten for want of room is not run again, nor is any key as
// old as it.
func TestForgottenKeysAreNotRun(t *testing.T) {
	m := once.NewMemory(once.NewBounds(3, 1000), boot)
	now := boot.Add(time.Minute)
	keys := make([]once.Key, 5)
	for i := range keys {
		keys[i] = once.NewKey("kassa", fmt.Sprint(i))
		created := now.Add(time.Duration(i) * 10 * time.Second)
		must.Eq(t, once.Run, m.Begin(created, keys[i], created).Kind())
		m.Finish(keys[i], once.NewRecord(200, nil, []byte("x")))
	}
	must.Eq(t, 3, m.Len())
	later := now.Add(time.Minute)
	must.Eq(t, once.Uncertain, m.Begin(later, keys[0], now).Kind())
	must.Eq(t, once.Uncertain, m.Begin(later, once.NewKey("kassa", "new"), now).Kind())
	must.Eq(t, once.Replay, m.Begin(later, keys[4], now.Add(40*time.Second)).Kind())
}

func TestNewcomerIsNoHomeOfOlderKeys(t *testing.T) {
	created := boot.Add(time.Hour)
	settled := target("old", boot)
	for i := range 100 {
		key := once.NewKey("kassa", fmt.Sprint(i))
		home, ok := once.Home(key, created, []balance.Target{settled, target("new", created.Add(-time.Second))})
		must.True(t, ok)
		must.Eq(t, "old", home.ID().Node())
	}
	_, ok := once.Home(once.NewKey("kassa", "k"), created, []balance.Target{target("new", created)})
	must.False(t, ok)
}

// world is a service whose targets come and go; every node keeps a memory and a
// history of its own, as the program does.
type world struct {
	now       time.Time
	present   map[string]balance.Target
	memories  map[string]*once.Memory
	histories map[string]*once.History
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
	w.memories[name] = once.NewMemory(once.NewBounds(50, 1<<20), w.now)
	w.histories[name] = once.NewHistory(w.now)
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
	key := once.NewKey("kassa", value)
	home, ok := once.Home(key, created, w.targets())
	if !ok {
		return
	}
	name := home.ID().Node()
	present, earlier, known := w.histories[name].Homes(w.now, key, created)
	if !known || present.ID() != home.ID() {
		return
	}
	memory := w.memories[name]
	if memory.Begin(w.now, key, created).Kind() != once.Run {
		return
	}
	for _, e := range earlier {
		other, reachable := w.memories[e.ID().Node()]
		if !reachable || other.Inquire(w.now, key, created).Kind() != once.Promised {
			memory.Lose(key)
			return
		}
	}
	w.runs[value]++
	memory.Finish(key, once.NewRecord(200, nil, []byte("x")))
}

// Whatever joins, leaves, dies and restarts, and however often a key is
// repeated, it runs at most once.
func TestKeysRunAtMostOnceWhileHomesMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			now: boot, present: map[string]balance.Target{}, memories: map[string]*once.Memory{},
			histories: map[string]*once.History{}, runs: map[string]int{},
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
	l := once.NewLedger(clock, once.DefaultBounds())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	clock.Advance(time.Minute)
	key, created := once.NewKey("kassa", "k"), clock.Now()
	must.Eq(t, once.Run, l.Begin(ctx, key, created).Kind())
	repeat := make(chan once.Verdict, 1)
	go func() { repeat <- l.Begin(ctx, key, created) }()
	short, stop := context.WithTimeout(ctx, 10*time.Millisecond)
	defer stop()
	must.Eq(t, once.Uncertain, l.Begin(short, key, created).Kind())
	l.Finish(key, once.NewRecord(201, nil, []byte("done")))
	v := <-repeat
	must.Eq(t, once.Replay, v.Kind())
	must.Eq(t, "done", string(v.Record().Body()))
}

// A caller that leaves while the ledger decides does not leave its key running
// for good.
func TestRightToRunOfACallerThatLeftIsTakenBack(t *testing.T) {
	clock := clockwork.NewFakeClockAt(boot)
	l := once.NewLedger(clock, once.DefaultBounds())
	clock.Advance(time.Minute)
	key, created := once.NewKey("kassa", "k"), clock.Now()
	left, leave := context.WithCancel(context.Background())
	leave()
	must.Eq(t, once.Uncertain, l.Begin(left, key, created).Kind())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	for until := time.Now().Add(10 * time.Second); l.Dump(ctx).Keys() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(until))
	}
	must.Eq(t, once.Run, l.Begin(ctx, key, created).Kind())
}

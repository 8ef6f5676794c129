package registry_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/registry"
)

var errRefused = errors.New("refused")

func storeOf(read func(context.Context) ([]registry.Record, uint64, error), follow func(context.Context, uint64, time.Duration) ([]registry.Record, uint64, error)) *registry.Store {
	return registry.NewStore(read, follow, nil, nil)
}

func whole(context.Context) ([]registry.Record, uint64, error) { return nil, 7, nil }

func start(t *testing.T, f *registry.Watcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
}

func TestNodeThatTheStoreTurnsAwayTakesNoTurnFromItsPeers(t *testing.T) {
	var calls, begins atomic.Int64
	follow := func(context.Context, uint64, time.Duration) ([]registry.Record, uint64, error) {
		calls.Add(1)
		return nil, 0, errRefused
	}
	f := registry.NewWatcher(storeOf(whole, follow), clockwork.NewRealClock(), func() float64 { return 1 }, func(b bool) {
		if b {
			begins.Add(1)
		}
	}, func(registry.Update) {}, func(error) {})
	start(t, f)
	for calls.Load() < 4 {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, int64(1), begins.Load())
}

func TestPeerThatDoesNotEndItsTurnIsNotWaitedForAgain(t *testing.T) {
	var calls atomic.Int64
	follow := func(_ context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
		calls.Add(1)
		return nil, after, nil
	}
	f := registry.NewWatcher(storeOf(whole, follow), clockwork.NewRealClock(), func() float64 { return 0.25 }, func(bool) {}, func(registry.Update) {}, func(error) {})
	start(t, f)
	began := time.Now()
	for calls.Load() < 3 {
		// The peer begins turns without end, as one that is cut from the store.
		f.ObservePeerWatch("b", true)
		time.Sleep(100 * time.Millisecond)
	}
	must.Less(t, 3*time.Second, time.Since(began))
}

func TestHistoryThatIsLostIsReadAnew(t *testing.T) {
	var reads atomic.Int64
	updates := make(chan registry.Update, 8)
	read := func(context.Context) ([]registry.Record, uint64, error) {
		n := reads.Add(1)
		return []registry.Record{registry.NewRecord(registry.KindEvacuation, "north", nil)}, uint64(n), nil
	}
	follow := func(_ context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
		if after == 1 {
			return nil, 0, registry.NewHistoryLostError(after, errRefused)
		}
		time.Sleep(20 * time.Millisecond)
		return nil, after, nil
	}
	f := registry.NewWatcher(storeOf(read, follow), clockwork.NewRealClock(), func() float64 { return 1 }, func(bool) {}, func(u registry.Update) { updates <- u }, func(error) {})
	start(t, f)
	must.Eq(t, uint64(1), (<-updates).Version())
	second := <-updates
	must.Eq(t, uint64(2), second.Version())
	must.True(t, second.Full())
}

func TestPeersTurnsPutOffTheOwnOne(t *testing.T) {
	var calls atomic.Int64
	follow := func(_ context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
		calls.Add(1)
		return nil, after, nil
	}
	f := registry.NewWatcher(storeOf(whole, follow), clockwork.NewRealClock(), func() float64 { return 0.5 }, func(bool) {}, func(registry.Update) {}, func(error) {})
	start(t, f)
	for range 10 {
		f.ObservePeerWatch("b", true)
		f.ObservePeerWatch("b", false)
		time.Sleep(100 * time.Millisecond)
	}
	must.LessEq(t, int64(1), calls.Load())
	f.WatchNow()
	before := calls.Load()
	time.Sleep(100 * time.Millisecond)
	must.Greater(t, before, calls.Load())
}

// keeping is a store that takes what is written to it.
type keeping struct {
	puts    chan registry.Record
	removed chan registry.Record
	down    atomic.Bool
}

func newKeeping() *keeping {
	return &keeping{puts: make(chan registry.Record, 8), removed: make(chan registry.Record, 8)}
}

func (k *keeping) store() *registry.Store {
	take := func(into chan registry.Record) func(context.Context, registry.Record) error {
		return func(_ context.Context, r registry.Record) error {
			if k.down.Load() {
				return errRefused
			}
			into <- r
			return nil
		}
	}
	return registry.NewStore(whole, nil, take(k.puts), take(k.removed))
}

func registrar(t *testing.T, k *keeping) *registry.Registrar {
	t.Helper()
	r := registry.NewRegistrar(k.store(), clockwork.NewRealClock(), "a", func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	return r
}

// TestEntryThatTheStoreLostIsBackWithinTwoSeconds loses the entry and the departure
// while the store is away.
func TestEntryThatTheStoreLostIsBackWithinTwoSeconds(t *testing.T) {
	k := newKeeping()
	r := registrar(t, k)
	r.Register(registry.NewRecord(registry.KindMember, "a", []byte("x")), false)
	must.Eq(t, registry.KindMember, (<-k.puts).Kind())
	must.NoError(t, r.RecordDeparture(context.Background(), "i-1", 5))
	must.Eq(t, registry.KindDeparture, (<-k.puts).Kind())
	k.down.Store(true)
	r.RestoreEntry()
	time.Sleep(2500 * time.Millisecond)
	k.down.Store(false)
	returned := time.Now()
	kinds := map[registry.Kind]bool{(<-k.puts).Kind(): true, (<-k.puts).Kind(): true}
	must.Less(t, 2*time.Second, time.Since(returned))
	must.MapEq(t, map[registry.Kind]bool{registry.KindMember: true, registry.KindDeparture: true}, kinds)
}

func TestEntryOfAnEarlierProcessIsKept(t *testing.T) {
	k := newKeeping()
	member := registry.NewRecord(registry.KindMember, "a", []byte("x"))
	r := registrar(t, k)
	r.Register(member, true)
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 0, len(k.puts))
	r.RestoreEntry()
	must.Eq(t, "x", string((<-k.puts).Value()))
}

func TestEntryOfANodeThatIsGoneIsRemoved(t *testing.T) {
	k := newKeeping()
	r := registrar(t, k)
	r.RemoveMember(registry.NewRecord(registry.KindMember, "b", nil).WithVersion(7))
	gone := <-k.removed
	must.Eq(t, "b", gone.Name())
	must.Eq(t, uint64(7), gone.Version())
}

func TestDepartureThatTheStoreRefusesIsWrittenLater(t *testing.T) {
	k := newKeeping()
	r := registrar(t, k)
	r.Register(registry.NewRecord(registry.KindMember, "a", nil), false)
	<-k.puts
	k.down.Store(true)
	must.Error(t, r.RecordDeparture(context.Background(), "i-1", 5))
	k.down.Store(false)
	d := <-k.puts
	instance, born := d.Departure()
	must.Eq(t, "a", d.Name())
	must.Eq(t, "i-1", instance)
	must.Eq(t, int64(5), born)
}

// TestTurnThatBroughtAConfigurationGoesOn has a node of many whose turn brings one
// change after the other.
func TestTurnThatBroughtAConfigurationGoesOn(t *testing.T) {
	const changes = 5
	brought := make(chan time.Time, changes)
	follow := func(ctx context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
		if len(brought) == changes {
			<-ctx.Done()
			return nil, after, ctx.Err()
		}
		brought <- time.Now()
		return []registry.Record{registry.NewRecord(registry.KindConfiguration, "", nil).WithVersion(after + 1)}, after + 1, nil
	}
	f := registry.NewWatcher(storeOf(whole, follow), clockwork.NewRealClock(), func() float64 { return 0.2 }, func(bool) {}, func(registry.Update) {}, func(error) {})
	start(t, f)
	first := <-brought
	for len(brought) < changes-1 {
		time.Sleep(time.Millisecond)
		must.Less(t, 200*time.Millisecond, time.Since(first))
	}
}

// TestNodesTakeTurnsByTheirShares lets two nodes share the turns, one of which
// should take nearly all.
func TestNodesTakeTurnsByTheirShares(t *testing.T) {
	var fast, slow atomic.Int64
	node := func(name string, share float64, calls *atomic.Int64, peer func() *registry.Watcher) *registry.Watcher {
		follow := func(_ context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
			calls.Add(1)
			return nil, after, nil
		}
		return registry.NewWatcher(storeOf(whole, follow), clockwork.NewRealClock(), func() float64 { return share },
			func(begins bool) { peer().ObservePeerWatch(name, begins) }, func(registry.Update) {}, func(error) {})
	}
	var a, b *registry.Watcher
	a = node("a", 0.98, &fast, func() *registry.Watcher { return b })
	b = node("b", 0.02, &slow, func() *registry.Watcher { return a })
	start(t, a)
	start(t, b)
	time.Sleep(4 * time.Second)
	must.Greater(t, 3*slow.Load(), fast.Load())
	must.Greater(t, 5, fast.Load())
}

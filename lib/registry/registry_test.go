package registry_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/registry"
)

var errRefused = errors.New("refused")

func newStore(read func(context.Context) ([]registry.Record, uint64, error), watch func(context.Context, uint64, time.Duration) ([]registry.Record, uint64, error)) *registry.Store {
	return registry.NewStore(read, watch, nil, nil)
}

// readEmpty is a read of a store without records.
func readEmpty(context.Context) ([]registry.Record, uint64, error) { return nil, 7, nil }

// newWatcher returns a watcher with a share of the watches of its fleet.
func newWatcher(t *testing.T, store *registry.Store, share float64, announce func(registry.WatchPhase), update func(registry.Update), observeResult func(error)) *registry.Watcher {
	t.Helper()
	return newWatcherWithShare(t, store, registry.NewShare(share, share), announce, update, observeResult)
}

func newWatcherWithShare(t *testing.T, store *registry.Store, share registry.Share, announce func(registry.WatchPhase), update func(registry.Update), observeResult func(error)) *registry.Watcher {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	w, err := registry.NewWatcher(store, charts, clockwork.NewRealClock(), func() registry.Share { return share }, announce, update, observeResult)
	must.NoError(t, err)
	return w
}

func start(t *testing.T, w *registry.Watcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
}

func TestNodeThatTheStoreRejectsAnnouncesNoFurtherWatches(t *testing.T) {
	var calls, announced atomic.Int64
	watch := func(context.Context, uint64, time.Duration) ([]registry.Record, uint64, error) {
		calls.Add(1)
		return nil, 0, errRefused
	}
	w := newWatcher(t, newStore(readEmpty, watch), 1, func(phase registry.WatchPhase) {
		if phase == registry.WatchStarted {
			announced.Add(1)
		}
	}, func(registry.Update) {}, func(error) {})
	start(t, w)
	for calls.Load() < 4 {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, int64(1), announced.Load())
}

func TestPeerWithAnOverdueWatchIsNotWaitedForAgain(t *testing.T) {
	var calls atomic.Int64
	watch := func(_ context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
		calls.Add(1)
		return nil, after, nil
	}
	w := newWatcher(t, newStore(readEmpty, watch), 0.25, func(registry.WatchPhase) {}, func(registry.Update) {}, func(error) {})
	start(t, w)
	startedAt := time.Now()
	for calls.Load() < 3 {
		// The peer starts watches and ends none, like one that cannot reach the store.
		w.ObservePeerWatch("b", registry.WatchStarted)
		time.Sleep(100 * time.Millisecond)
	}
	must.Less(t, 3*time.Second, time.Since(startedAt))
}

func TestLostHistoryLeadsToAFullRead(t *testing.T) {
	var reads atomic.Int64
	updates := make(chan registry.Update, 8)
	read := func(context.Context) ([]registry.Record, uint64, error) {
		n := reads.Add(1)
		return []registry.Record{registry.NewRecord(registry.KindEvacuation, "north", nil)}, uint64(n), nil
	}
	watch := func(_ context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
		if after == 1 {
			return nil, 0, registry.NewHistoryLostError(after, errRefused)
		}
		time.Sleep(20 * time.Millisecond)
		return nil, after, nil
	}
	w := newWatcher(t, newStore(read, watch), 1, func(registry.WatchPhase) {}, func(u registry.Update) { updates <- u }, func(error) {})
	start(t, w)
	must.Eq(t, uint64(1), (<-updates).Version())
	second := <-updates
	must.Eq(t, uint64(2), second.Version())
	must.True(t, second.Full())
}

func TestWatchesOfPeersDelayTheNextWatch(t *testing.T) {
	var calls atomic.Int64
	watch := func(_ context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
		calls.Add(1)
		return nil, after, nil
	}
	w := newWatcher(t, newStore(readEmpty, watch), 0.5, func(registry.WatchPhase) {}, func(registry.Update) {}, func(error) {})
	start(t, w)
	for range 10 {
		w.ObservePeerWatch("b", registry.WatchStarted)
		w.ObservePeerWatch("b", registry.WatchEnded)
		time.Sleep(100 * time.Millisecond)
	}
	must.LessEq(t, int64(1), calls.Load())
	w.WatchNow()
	before := calls.Load()
	time.Sleep(100 * time.Millisecond)
	must.Greater(t, before, calls.Load())
}

// fakeStore passes the records that are written to it to channels. Its calls fail
// while unavailable is set.
type fakeStore struct {
	puts        chan registry.Record
	removed     chan registry.Record
	unavailable atomic.Bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{puts: make(chan registry.Record, 8), removed: make(chan registry.Record, 8)}
}

func (s *fakeStore) store() *registry.Store {
	passTo := func(into chan registry.Record) func(context.Context, registry.Record) error {
		return func(_ context.Context, r registry.Record) error {
			if s.unavailable.Load() {
				return errRefused
			}
			into <- r
			return nil
		}
	}
	return registry.NewStore(readEmpty, nil, passTo(s.puts), passTo(s.removed))
}

func startRegistrar(t *testing.T, s *fakeStore) *registry.Registrar {
	t.Helper()
	r := registry.NewRegistrar(s.store(), clockwork.NewRealClock(), "a", func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	return r
}

// TestEntryThatTheStoreLostIsBackWithinTwoSeconds has the store lose the entry and
// the departure during an outage. Both must be back within 2 s of its end.
func TestEntryThatTheStoreLostIsBackWithinTwoSeconds(t *testing.T) {
	s := newFakeStore()
	r := startRegistrar(t, s)
	r.Register(registry.NewRecord(registry.KindMember, "a", []byte("x")), false)
	must.Eq(t, registry.KindMember, (<-s.puts).Kind())
	must.NoError(t, r.RecordDeparture(context.Background(), "i-1", 5))
	must.Eq(t, registry.KindDeparture, (<-s.puts).Kind())
	s.unavailable.Store(true)
	r.RestoreEntry()
	time.Sleep(2500 * time.Millisecond)
	s.unavailable.Store(false)
	returned := time.Now()
	kinds := map[registry.Kind]bool{(<-s.puts).Kind(): true, (<-s.puts).Kind(): true}
	must.Less(t, 2*time.Second, time.Since(returned))
	must.MapEq(t, map[registry.Kind]bool{registry.KindMember: true, registry.KindDeparture: true}, kinds)
}

// TestFailedWriteIsRepeatedInTime guards against an entry that is back too late: a
// write that begins just before the store returns may take 1 s without a reply, which
// leaves 1 s until the next.
func TestFailedWriteIsRepeatedInTime(t *testing.T) {
	const writes = 200
	clock := clockwork.NewFakeClock()
	attempts := make(chan time.Time, writes)
	put := func(context.Context, registry.Record) error {
		attempts <- clock.Now()
		return errRefused
	}
	r := registry.NewRegistrar(registry.NewStore(readEmpty, nil, put, put), clock, "a", func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	r.Register(registry.NewRecord(registry.KindMember, "a", []byte("x")), false)
	last := <-attempts
	for range writes {
		must.NoError(t, clock.BlockUntilContext(ctx, 1))
		for len(attempts) == 0 {
			must.LessEq(t, time.Second, clock.Since(last))
			clock.Advance(20 * time.Millisecond)
			time.Sleep(50 * time.Microsecond)
		}
		last = <-attempts
	}
}

func TestEntryOfAnEarlierProcessIsKept(t *testing.T) {
	s := newFakeStore()
	member := registry.NewRecord(registry.KindMember, "a", []byte("x"))
	r := startRegistrar(t, s)
	r.Register(member, true)
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 0, len(s.puts))
	r.RestoreEntry()
	must.Eq(t, "x", string((<-s.puts).Value()))
}

func TestEntryOfAnUnreachableMemberIsRemoved(t *testing.T) {
	s := newFakeStore()
	r := startRegistrar(t, s)
	r.RemoveMember(registry.NewRecord(registry.KindMember, "b", nil).WithVersion(7))
	removed := <-s.removed
	must.Eq(t, "b", removed.Name())
	must.Eq(t, uint64(7), removed.Version())
}

func TestDepartureThatTheStoreRefusesIsRetried(t *testing.T) {
	s := newFakeStore()
	r := startRegistrar(t, s)
	r.Register(registry.NewRecord(registry.KindMember, "a", nil), false)
	<-s.puts
	s.unavailable.Store(true)
	must.Error(t, r.RecordDeparture(context.Background(), "i-1", 5))
	s.unavailable.Store(false)
	d := <-s.puts
	instance, startedAt := d.Departure()
	must.Eq(t, "a", d.Name())
	must.Eq(t, "i-1", instance)
	must.Eq(t, int64(5), startedAt)
}

// TestWatchContinuesAfterAConfigurationChange guards against a delay between the
// changes of a series. A node that makes a fifth of the watches reads five changes
// one after the other and must not wait for its next turn between them.
func TestWatchContinuesAfterAConfigurationChange(t *testing.T) {
	const changes = 5
	watched := make(chan time.Time, changes)
	watch := func(ctx context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
		if len(watched) == changes {
			<-ctx.Done()
			return nil, after, ctx.Err()
		}
		watched <- time.Now()
		return []registry.Record{registry.NewRecord(registry.KindConfiguration, "", nil).WithVersion(after + 1)}, after + 1, nil
	}
	w := newWatcher(t, newStore(readEmpty, watch), 0.2, func(registry.WatchPhase) {}, func(registry.Update) {}, func(error) {})
	start(t, w)
	first := <-watched
	for len(watched) < changes-1 {
		time.Sleep(time.Millisecond)
		must.Less(t, 200*time.Millisecond, time.Since(first))
	}
}

// TestNodesWatchInProportionToTheirShares has two nodes with shares of 98% and 2%
// take turns. The first must make most watches.
func TestNodesWatchInProportionToTheirShares(t *testing.T) {
	var fast, slow atomic.Int64
	node := func(name string, share float64, calls *atomic.Int64, peer func() *registry.Watcher) *registry.Watcher {
		watch := func(_ context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
			calls.Add(1)
			return nil, after, nil
		}
		return newWatcher(t, newStore(readEmpty, watch), share,
			func(phase registry.WatchPhase) { peer().ObservePeerWatch(name, phase) }, func(registry.Update) {}, func(error) {})
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

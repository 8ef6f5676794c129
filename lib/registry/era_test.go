package registry_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/registry"
)

// TestWatcherReadsAllAfterARestore guards against a watcher that goes on from a version of
// the older era, or that does not say that what it read is of another one.
func TestWatcherReadsAllAfterARestore(t *testing.T) {
	const first = 1000
	reads := uint64(0)
	read := func(context.Context) ([]registry.Record, uint64, error) {
		reads++
		return nil, reads * first, nil
	}
	watch := func(ctx context.Context, after uint64, _ time.Duration) ([]registry.Record, uint64, error) {
		if after < 2*first {
			return nil, 0, registry.NewEraChangedError(after, 2*first)
		}
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	store := registry.NewStore(read, watch, nil, nil).WithEras(func(version uint64) uint64 { return version / first * first })
	updates := make(chan registry.Update, 4)
	w := newWatcher(t, store, 1, func(registry.WatchPhase) {}, func(u registry.Update) { updates <- u }, func(error) {})
	start(t, w)
	must.Eq(t, uint64(first), (<-updates).EraStart())
	second := <-updates
	must.True(t, second.Full())
	must.Eq(t, uint64(2*first), second.Version())
	must.Eq(t, uint64(2*first), second.EraStart())
}

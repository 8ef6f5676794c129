package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/registry"
)

// TestRoster_IsSentWithTheFirstConfigurationOnly guards against traffic that grows with the
// square of the fleet at each change of the configuration.
func TestRoster_IsSentWithTheFirstConfigurationOnly(t *testing.T) {
	a, b := newQuotaNode(t, "a"), newQuotaNode(t, "b")
	sent := func(version uint64, update registry.Update) int {
		before := a.fleet.Dump(context.Background()).SnapshotBytesSent()
		a.fleet.ApplyUpdate(update)
		for b.fleet.Dump(context.Background()).Version() != version {
			time.Sleep(10 * time.Millisecond)
		}
		return a.fleet.Dump(context.Background()).SnapshotBytesSent() - before
	}
	members := []registry.Record{a.record.WithVersion(2), b.record.WithVersion(3)}
	first := sent(5, registry.NewUpdate(append(members, configuration(5, "x")), 5, true))
	second := sent(6, registry.NewUpdate([]registry.Record{configuration(6, "x")}, 6, false))
	must.Greater(t, second+len(a.record.Value())+len(b.record.Value()), first)
}

package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/fleet"
	"savorygap.example/lib/registry"
)

// eraStart is the lowest version of the second era in these tests.
const eraStart = 1000

func restored(version uint64, records ...registry.Record) registry.Update {
	return registry.NewUpdate(records, version, true).WithEraStart(eraStart)
}

// advanceUntil advances a clock until a snapshot matches and returns how long that took.
func (n *node) advanceUntil(t *testing.T, clock *clockwork.FakeClock, matches func(fleet.Snapshot) bool) time.Duration {
	t.Helper()
	startedAt := clock.Now()
	for {
		select {
		case s := <-n.snapshots:
			if matches(s) {
				return clock.Since(startedAt)
			}
		case <-time.After(2 * time.Millisecond):
			must.Less(t, time.Minute, clock.Since(startedAt))
			clock.Advance(250 * time.Millisecond)
		}
	}
}

// TestEvacuationIsHeldAfterARestore guards against an evacuation that ends because the
// store lost it, and against one that never ends because operators had ended it.
func TestEvacuationIsHeldAfterARestore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newNodeWithClock(t, "a", 0, clock)
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x"), evacuation(6, "north"), evacuation(7, "south")}, 7, true))
	a.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Evacuated("north") && s.Evacuated("south") })
	a.fleet.ApplyUpdate(restored(eraStart+5, configuration(eraStart+4, "x")))
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{evacuation(eraStart+6, "north")}, eraStart+6, false).WithEraStart(eraStart))
	a.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Evacuated("north") && s.Evacuated("south") })
	held := a.advanceUntil(t, clock, func(s fleet.Snapshot) bool { return !s.Evacuated("south") })
	must.Between(t, 14*time.Second, held, 16*time.Second)
	a.fleet.ApplyUpdate(restored(eraStart+9, configuration(eraStart+8, "x"), evacuation(eraStart+6, "north")))
	s := a.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == eraStart+8 })
	must.True(t, s.Evacuated("north"))
	a.fleet.ApplyUpdate(restored(eraStart+20, configuration(eraStart+8, "x")))
	a.awaitSnapshot(t, func(s fleet.Snapshot) bool { return !s.Evacuated("north") })
}

// TestEvacuationLearnedFromAPeerAfterARestoreIsHeld guards against a node that starts
// while the store lacks an evacuation: the next full read must not end it for all nodes.
func TestEvacuationLearnedFromAPeerAfterARestoreIsHeld(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x"), evacuation(6, "north")}, 7, true))
	a.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Evacuated("north") })
	members := []registry.Record{configuration(eraStart+4, "x"), a.member.WithVersion(eraStart + 1), b.member.WithVersion(eraStart + 2), evacuation(eraStart+3, "south")}
	a.fleet.ApplyUpdate(restored(eraStart+5, members...))
	b.fleet.ApplyUpdate(restored(eraStart+5, members...))
	b.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Evacuated("north") })
	b.fleet.ApplyUpdate(restored(eraStart+9, append(members, evacuation(eraStart+8, "east"))...))
	s := b.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Evacuated("east") })
	must.True(t, s.Evacuated("north"))
}

// TestOlderConfigurationOfARestoredStoreIsReplaced guards against a node that starts after
// a restore and keeps the older configuration of the store, because its version there is
// higher than that of the newer one at the peers. Configurations are numbered by length.
func TestOlderConfigurationOfARestoredStoreIsReplaced(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(6, "xyz")}, 7, true))
	a.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == 6 })
	records := []registry.Record{configuration(eraStart+4, "x"), a.member.WithVersion(eraStart + 1), b.member.WithVersion(eraStart + 2)}
	a.fleet.ApplyUpdate(restored(eraStart+5, records...))
	b.fleet.ApplyUpdate(restored(eraStart+5, records...))
	s := b.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Config().Version() == 3 })
	must.Eq(t, uint64(6), s.Version())
	must.Eq(t, uint64(6), a.fleet.Dump(context.Background()).Version())
	b.fleet.ApplyUpdate(restored(eraStart+6, configuration(eraStart+6, "xyz")))
	a.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == eraStart+6 })
}

// TestRestoredStoreLacksMembers guards against a node that forgets the members which a
// copy of the store lacks, and against one that does not have their entries written again.
func TestRestoredStoreLacksMembers(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	a.awaitPeers(t, func(count int) bool { return count == 1 })
	a.fleet.ApplyUpdate(restored(eraStart+5, configuration(eraStart+4, "x")))
	for _, n := range []*node{a, b} {
		select {
		case <-n.entryLost:
		case <-time.After(2 * time.Second):
			t.Fatal("the entry was not asked for within 2 s")
		}
	}
	must.Eq(t, 1, a.fleet.Dump(context.Background()).Members())
	must.Eq(t, 0, len(a.removals))
	a.fleet.ApplyUpdate(restored(eraStart+6, configuration(eraStart+4, "x")))
	a.fleet.Dump(context.Background())
	must.Eq(t, 0, len(a.removals))
}

// TestRestoredStoreLacksDeparture guards against a departure that is lost because the
// process that recorded it has ended: a peer must tell the next one.
func TestRestoredStoreLacksDeparture(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	departure := registry.NewDeparture("b", "i-b", 7).WithVersion(3)
	start := []registry.Record{a.member.WithVersion(1), b.member.WithVersion(2), departure}
	for _, n := range []*node{a, b} {
		n.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
		<-n.departures
	}
	b.awaitPeers(t, func(count int) bool { return count == 1 })
	a.awaitPeers(t, func(count int) bool { return count == 1 })
	for len(b.departures) > 0 {
		<-b.departures
	}
	a.fleet.ApplyUpdate(restored(eraStart+5, a.member.WithVersion(eraStart+1), b.member.WithVersion(eraStart+2)))
	select {
	case d := <-b.departures:
		instance, startedAt := d[0].Departure()
		must.Eq(t, "i-b", instance)
		must.Eq(t, int64(7), startedAt)
	case <-time.After(2 * time.Second):
		t.Fatal("the node was not told of its departure within 2 s")
	}
}

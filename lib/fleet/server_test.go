package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/fleet"
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
)

// mustWriteServer waits until the node writes an entry that states a server.
func (n *node) mustWriteServer(t *testing.T, instance, release string) registry.Record {
	t.Helper()
	select {
	case e := <-n.entries:
		m, err := fleet.DecodeMember(e.record)
		must.NoError(t, err)
		gotInstance, gotRelease := m.Server()
		must.Eq(t, []string{instance, release}, []string{gotInstance, gotRelease})
		return e.record
	case <-time.After(2 * time.Second):
		t.Fatal("no entry was written within 2 s")
	}
	return registry.Record{}
}

// TestEntry_StatesTheServersVersion guards against a version that no node knows after all
// have restarted, and against a write where nothing has changed or no version is stated.
func TestEntry_StatesTheServersVersion(t *testing.T) {
	a := newNode(t, "a")
	a.fleet.SetServerState(link.NewServerState("shop", "i-1", true))
	a.fleet.ApplyUpdate(registry.NewUpdate(nil, 5, true))
	a.mustWriteServer(t, "", "")
	a.fleet.SetServerState(link.NewServerState("shop", "i-1", true).WithRelease("v1"))
	a.mustWriteServer(t, "i-1", "v1")
	a.fleet.SetServerState(link.NewServerState("shop", "i-1", false).WithRelease("v1"))
	a.fleet.SetServerState(link.NewServerState("shop", "i-2", false))
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 0, len(a.entries))
	a.fleet.SetServerState(link.NewServerState("shop", "i-2", true).WithRelease("v2"))
	entry := a.mustWriteServer(t, "i-2", "v2").WithVersion(9)

	b := newNode(t, "a")
	stated, err := fleet.DecodeMember(entry)
	must.NoError(t, err)
	moved, err := fleet.EncodeMember(fleet.NewMember("a", b.address, "north", "shop").WithServer(stated.Server()))
	must.NoError(t, err)
	b.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{moved.WithVersion(9)}, 9, true))
	must.Eq(t, [2]string{"i-2", "v2"}, <-b.servers)
	must.True(t, (<-b.entries).exists, must.Sprint("the entry is kept"))
}

// TestRestoredStoreHasAnOlderServer guards against an entry that keeps the server of the copy,
// as read by the node itself or by a peer.
func TestRestoredStoreHasAnOlderServer(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	for _, n := range []*node{a, b} {
		n.fleet.SetServerState(link.NewServerState("shop", "i-1", true).WithRelease("v1"))
		n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{a.member.WithVersion(1), b.member.WithVersion(2)}, 5, true))
		n.mustWriteServer(t, "i-1", "v1")
	}
	a.awaitPeers(t, func(count int) bool { return count == 1 })
	time.Sleep(100 * time.Millisecond)
	a.fleet.ApplyUpdate(restored(eraStart+5, a.member.WithVersion(eraStart+1), b.member.WithVersion(eraStart+2)))
	for _, n := range []*node{a, b} {
		select {
		case <-n.entryLost:
		case <-time.After(2 * time.Second):
			t.Fatal("the entry was not asked for within 2 s")
		}
	}
}

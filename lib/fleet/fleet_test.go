package fleet_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

// node is a fleet whose hooks pass what they receive to channels.
type node struct {
	fleet      *fleet.Fleet
	address    string
	member     registry.Record
	snapshots  chan fleet.Snapshot
	peers      chan []fleet.Peer
	watches    chan registry.WatchPhase
	entries    chan entry
	entryLost  chan struct{}
	removals   chan registry.Record
	departures chan []registry.Record
	servers    chan [2]string // instance and version
	stop       context.CancelFunc
}

// entry holds the arguments of the register hook.
type entry struct {
	record registry.Record
	exists bool
}

func newNode(t *testing.T, name string) *node { return newNodeWithBandwidth(t, name, 0) }

// newNodeWithBandwidth returns a node whose host has the given bandwidth, in bytes
// per second.
func newNodeWithBandwidth(t *testing.T, name string, bandwidth float64) *node {
	t.Helper()
	return newNodeWithClock(t, name, bandwidth, clockwork.NewRealClock())
}

func newNodeWithClock(t *testing.T, name string, bandwidth float64, clock clockwork.Clock) *node {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	n := &node{
		address: listener.Addr().String(), snapshots: make(chan fleet.Snapshot, 64), peers: make(chan []fleet.Peer, 64),
		watches: make(chan registry.WatchPhase, 64), entries: make(chan entry, 4), entryLost: make(chan struct{}, 16), removals: make(chan registry.Record, 16), departures: make(chan []registry.Record, 16), servers: make(chan [2]string, 16),
	}
	decode := func(text []byte) (*routeconfig.Config, error) {
		return routeconfig.New(uint64(len(text)), nil, nil, routeconfig.DefaultLimits()), nil
	}
	hooks := fleet.NewHooks(decode, func(s fleet.Snapshot) { n.snapshots <- s }, func(p []fleet.Peer) { n.peers <- p },
		func(int) {}, func(d []registry.Record, _ bool) { n.departures <- d }, func(r registry.Record, exists bool) { n.entries <- entry{r, exists} }, func(_ string, phase registry.WatchPhase) { n.watches <- phase },
		func() { n.entryLost <- struct{}{} }, func(r registry.Record) { n.removals <- r }).
		WithRollouts(func(registry.Update) {}, func(rollout.Message) {}, func() []rollout.Message { return nil },
			func(instance, release string) { n.servers <- [2]string{instance, release} })
	handler := link.NewHandler(func(limiter.Key, upstream.SlotRequest, func(upstream.Event)) {}, func(limiter.Key) {},
		func(limiter.Key, *upstream.Request) {}, func(limiter.Key) {}, func(uint64) {}, upstream.NewBodyMemory(1<<20), upstream.NewBodyMemory(1<<20))
	self := fleet.NewMember(name, n.address, "north", "shop").WithBandwidth(bandwidth)
	n.member, err = fleet.EncodeMember(self)
	must.NoError(t, err)
	n.fleet, err = fleet.New(self, charts, hooks, handler, clock, eventlog.New(io.Discard, clock, name))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	t.Cleanup(cancel)
	go n.fleet.Run(ctx, listener)
	return n
}

// awaitSnapshot waits until a snapshot that matches is in force.
func (n *node) awaitSnapshot(t *testing.T, matches func(fleet.Snapshot) bool) fleet.Snapshot {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case s := <-n.snapshots:
			if matches(s) {
				return s
			}
		case <-deadline:
			t.Fatal("got no matching snapshot within 5 s")
		}
	}
}

// awaitPeers waits until the number of peers matches.
func (n *node) awaitPeers(t *testing.T, matches func(count int) bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case p := <-n.peers:
			if matches(len(p)) {
				return
			}
		case <-deadline:
			t.Fatal("got no matching number of peers within 5 s")
		}
	}
}

func configuration(version uint64, text string) registry.Record {
	return registry.NewRecord(registry.KindConfiguration, "", []byte(text)).WithVersion(version)
}

func evacuation(version uint64, name string) registry.Record {
	return registry.NewRecord(registry.KindEvacuation, name, nil).WithVersion(version)
}

func TestFullReadDeliversConfigurationThatTheWatchOmitted(t *testing.T) {
	n := newNode(t, "a")
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x")}, 5, true))
	n.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == 5 })
	// The watch returns version 8 but omits version 7, then its history is lost.
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{evacuation(8, "north")}, 8, false))
	n.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Evacuated("north") })
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(7, "xyz"), evacuation(8, "north")}, 9, true))
	s := n.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == 7 })
	must.Eq(t, uint64(3), s.Config().Version())
	must.True(t, s.Evacuated("north"))
}

func TestSnapshotNeverReverts(t *testing.T) {
	n := newNode(t, "a")
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(9, "new"), evacuation(7, "north")}, 9, true))
	n.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == 9 })
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "older"), evacuation(6, "north").AsRemoved()}, 9, false))
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{evacuation(10, "south")}, 10, false))
	s := n.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Evacuated("south") })
	must.Eq(t, uint64(9), s.Version())
	must.True(t, s.Evacuated("north"))
}

func TestFullReadEndsEvacuationWhoseRemovalWasMissed(t *testing.T) {
	n := newNode(t, "a")
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x"), evacuation(6, "north")}, 6, true))
	n.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Evacuated("north") })
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x")}, 12, true))
	n.awaitSnapshot(t, func(s fleet.Snapshot) bool { return !s.Evacuated("north") })
}

func TestNodeWithoutStoreFetchesTheConfigurationFromAPeer(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	a.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == 5 })
	a.awaitPeers(t, func(count int) bool { return count > 0 })
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(8, "xyz"), evacuation(9, "north")}, 9, false))
	s := b.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == 8 })
	must.True(t, s.Evacuated("north"))
	must.Eq(t, uint64(3), s.Config().Version())
}

// TestLargeConfigurationSpreadsWithinTheTransferBudget guards against one node
// sending a new configuration to all others, which would saturate a slow host.
// One node reads a large configuration from the store, and most of the other 24
// must get it from each other.
func TestLargeConfigurationSpreadsWithinTheTransferBudget(t *testing.T) {
	const others = 24
	text := make([]byte, 60<<10)
	for i := range text {
		text[i] = byte(rand.N(256))
	}
	first := newNode(t, "node-00")
	nodes := []*node{first}
	start := []registry.Record{configuration(5, "x"), first.member.WithVersion(1)}
	for n := range others {
		other := newNode(t, fmt.Sprintf("node-%02d", n+1))
		nodes = append(nodes, other)
		start = append(start, other.member.WithVersion(uint64(n+2)))
	}
	for _, n := range nodes {
		n.fleet.ApplyUpdate(registry.NewUpdate(start, 40, true))
	}
	for _, n := range nodes {
		n.awaitPeers(t, func(count int) bool { return count >= others })
	}
	startedAt := time.Now()
	first.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(41, string(text))}, 41, false))
	for _, n := range nodes {
		n.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == 41 })
	}
	must.Less(t, 2*time.Second, time.Since(startedAt))
	sent := first.fleet.Dump(context.Background()).SnapshotBytesSent()
	allowed := int(600<<10*time.Since(startedAt).Seconds()) + 64<<10 + len(text) + 1<<10
	must.Less(t, allowed, sent)
	must.Less(t, others*len(text)/2, sent)
}

func TestNodesWithHighBandwidthMakeMostWatches(t *testing.T) {
	fast, slow := newNodeWithBandwidth(t, "a", 25e6), newNodeWithBandwidth(t, "b", 1e6)
	must.Eq(t, registry.NewShare(1, 1), fast.fleet.WatchShare())
	start := []registry.Record{configuration(5, "x"), fast.member.WithVersion(1), slow.member.WithVersion(2)}
	for _, n := range []*node{fast, slow} {
		n.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	}
	for _, n := range []*node{fast, slow} {
		n.awaitPeers(t, func(count int) bool { return count > 0 })
	}
	must.Greater(t, 0.9, fast.fleet.WatchShare().Preferred())
	must.InDelta(t, 1, fast.fleet.WatchShare().Preferred()+slow.fleet.WatchShare().Preferred(), 1e-9)
	must.Eq(t, 0.5, slow.fleet.WatchShare().Equal())
}

func TestWatchesAreAnnouncedToPeers(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x"), b.member.WithVersion(2)}, 5, true))
	a.awaitPeers(t, func(count int) bool { return count > 0 })
	for _, phase := range []registry.WatchPhase{registry.WatchStarted, registry.WatchEnded, registry.WatchFailed} {
		a.fleet.AnnounceWatch(phase)
		must.Eq(t, phase, <-b.watches)
	}
}

func TestPeersAreKeptWhileTheStoreListsNoMembers(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	a.awaitPeers(t, func(count int) bool { return count > 0 })
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{a.member.WithVersion(6).AsRemoved(), b.member.WithVersion(6).AsRemoved()}, 6, false))
	b.fleet.SetServerState(link.NewServerState("shop", "i-1", true))
	for {
		peers := <-a.peers
		must.Eq(t, 1, len(peers))
		if peers[0].ServerState().Accepting() {
			break
		}
	}
	b.stop()
	a.awaitPeers(t, func(count int) bool { return count == 0 })
}

func TestEntryOfAnEarlierProcessIsKeptUnlessTheAddressChanged(t *testing.T) {
	a := newNode(t, "a")
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{a.member.WithVersion(3)}, 5, true))
	own := <-a.entries
	must.True(t, own.exists)
	must.Eq(t, uint64(3), own.record.Version())
	b := newNode(t, "b")
	moved, err := fleet.EncodeMember(fleet.NewMember("b", "127.0.0.1:1", "north", "shop"))
	must.NoError(t, err)
	b.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{moved.WithVersion(3)}, 5, true))
	own = <-b.entries
	must.False(t, own.exists)
	written, err := fleet.DecodeMember(own.record)
	must.NoError(t, err)
	must.Eq(t, fleet.NewMember("b", b.address, "north", "shop").WithReadVersion(5), written)
}

// TestPeerIsNotifiedThatTheStoreLostItsEntry guards against entries that stay lost.
// One of two nodes reads that the entries of both were removed. The other does not
// read the store and must be notified over the link.
func TestPeerIsNotifiedThatTheStoreLostItsEntry(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	a.awaitPeers(t, func(count int) bool { return count > 0 })
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{a.member.WithVersion(6).AsRemoved(), b.member.WithVersion(6).AsRemoved()}, 6, false))
	<-a.entryLost
	<-b.entryLost
}

// TestNewMemberIsForwardedToPeers guards against peers that miss a new member. One
// node reads the entry of a third node, which the read of its peer did not
// contain.
func TestNewMemberIsForwardedToPeers(t *testing.T) {
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.awaitPeers(t, func(count int) bool { return count > 0 })
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{c.member.WithVersion(6)}, 6, false))
	b.awaitPeers(t, func(count int) bool { return count == 2 })
}

// TestMemberThatKnowsAPeerIsNotForwardedToIt guards against needless messages. The
// new member read the store after the peer had registered, so it dials the peer
// itself.
func TestMemberThatKnowsAPeerIsNotForwardedToIt(t *testing.T) {
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	a.awaitPeers(t, func(count int) bool { return count > 0 })
	late, err := fleet.EncodeMember(fleet.NewMember("c", c.address, "north", "shop").WithReadVersion(5))
	must.NoError(t, err)
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{late.WithVersion(6)}, 6, false))
	a.awaitPeers(t, func(count int) bool { return count == 2 })
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 2, b.fleet.Dump(context.Background()).Members())
}

// TestEntryWithAnotherServerIsNotForwarded has all nodes of a fleet write their entries
// again once their servers have announced themselves. It guards against messages that grow
// with the square of the fleet: 300 nodes sent 21 KB/s each so.
func TestEntryWithAnotherServerIsNotForwarded(t *testing.T) {
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2), c.member.WithVersion(3)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.fleet.ApplyUpdate(registry.NewUpdate(start[:3], 5, true))
	a.awaitPeers(t, func(count int) bool { return count == 2 })
	rewritten := func(name string, n *node, version uint64) registry.Record {
		r, err := fleet.EncodeMember(fleet.NewMember(name, n.address, "north", "shop").WithReadVersion(5).WithServer("i-"+name, "v1"))
		must.NoError(t, err)
		return r.WithVersion(version)
	}
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{rewritten("b", b, 6), rewritten("c", c, 7)}, 7, false))
	// A new member that had read the first entries knows their nodes.
	late, err := fleet.EncodeMember(fleet.NewMember("d", "127.0.0.1:1", "north", "shop").WithReadVersion(5))
	must.NoError(t, err)
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{late.WithVersion(8)}, 8, false))
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 4, a.fleet.Dump(context.Background()).Members())
	must.Eq(t, 2, b.fleet.Dump(context.Background()).Members())
}

// TestEntryOfAnUnreachableMemberIsRemoved lists a member at an address where nothing
// listens. Its entry must be removed, at the earliest after 30 s.
func TestEntryOfAnUnreachableMemberIsRemoved(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newNodeWithClock(t, "a", 0, clock)
	dead := fleet.NewMember("dead", "127.0.0.1:1", "north", "shop")
	record, err := fleet.EncodeMember(dead)
	must.NoError(t, err)
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x"), a.member.WithVersion(1), record.WithVersion(3)}, 5, true))
	startedAt := clock.Now()
	for {
		select {
		case removed := <-a.removals:
			must.Eq(t, "dead", removed.Name())
			must.Eq(t, uint64(3), removed.Version())
			must.GreaterEq(t, 30*time.Second, clock.Since(startedAt))
			return
		case <-time.After(2 * time.Millisecond):
			must.Less(t, time.Minute, clock.Since(startedAt))
			clock.Advance(250 * time.Millisecond)
		}
	}
}

// TestRemovedMemberIsNotAddedByAnOlderMessage guards against a delayed message of a
// peer that brings back a node that has left.
func TestRemovedMemberIsNotAddedByAnOlderMessage(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	gone, err := fleet.EncodeMember(fleet.NewMember("gone", "127.0.0.1:1", "north", "shop"))
	must.NoError(t, err)
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.awaitPeers(t, func(count int) bool { return count > 0 })
	a.awaitPeers(t, func(count int) bool { return count > 0 })
	b.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{registry.NewRecord(registry.KindMember, "gone", nil).WithVersion(9).AsRemoved()}, 9, false))
	must.Eq(t, 2, b.fleet.Dump(context.Background()).Members())
	// The peer forwards entries that the receiver has read as removed, one by one and in
	// full.
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{gone.WithVersion(8)}, 8, false))
	time.Sleep(200 * time.Millisecond)
	must.Eq(t, 2, b.fleet.Dump(context.Background()).Members())
	b.fleet.ApplyUpdate(registry.NewUpdate(start, 20, true))
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{gone.WithVersion(19)}, 19, false))
	time.Sleep(200 * time.Millisecond)
	must.Eq(t, 2, b.fleet.Dump(context.Background()).Members())
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{gone.WithVersion(21)}, 21, false))
	deadline := time.Now().Add(2 * time.Second)
	for b.fleet.Dump(context.Background()).Members() != 3 {
		must.True(t, time.Now().Before(deadline))
		time.Sleep(5 * time.Millisecond)
	}
}

// TestPeerThatOnlyIntroducedItselfIsDialledAgain has the link to a peer end whose entry
// this node has not read from the store yet, while the store is unavailable.
func TestPeerThatOnlyIntroducedItselfIsDialledAgain(t *testing.T) {
	a := newNode(t, "a")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	must.NoError(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(10*time.Second)))
	conn, err := net.Dial("tcp", a.address)
	must.NoError(t, err)
	hello := link.NewHello("b", listener.Addr().String(), "north", link.NewServerState("shop", "i-b", true), link.NewVersions(0, 0))
	introduction := link.New(conn, nil, 1, "a", link.Handler{}, link.Hooks{}, clockwork.NewRealClock())
	introduction.SendHello(hello)
	a.awaitPeers(t, func(count int) bool { return count == 1 })
	must.Eq(t, 1, a.fleet.Dump(context.Background()).Members())
	must.NoError(t, conn.Close())
	again, err := listener.Accept()
	must.NoError(t, err)
	must.NoError(t, again.Close())
}

// TestDepartureIsToldBeforeTheProcessEnds has a process end right after it has
// acknowledged that its server leaves, and another start on the host.
func TestDepartureIsToldBeforeTheProcessEnds(t *testing.T) {
	for range 4 {
		a, b := newNode(t, "a"), newNode(t, "b")
		start := []registry.Record{a.member.WithVersion(1), b.member.WithVersion(2)}
		a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
		b.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
		b.awaitPeers(t, func(count int) bool { return count == 1 })
		b.fleet.RecordDeparture(context.Background(), registry.NewDeparture("b", "i-b", 7))
		b.stop()
		next := newNode(t, "b")
		next.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{a.member.WithVersion(1)}, 0, false))
		select {
		case d := <-next.departures:
			instance, startedAt := d[0].Departure()
			must.Eq(t, "i-b", instance)
			must.Eq(t, int64(7), startedAt)
		case <-time.After(5 * time.Second):
			t.Fatal("the next process was not told of the departure")
		}
		a.stop()
		next.stop()
	}
}

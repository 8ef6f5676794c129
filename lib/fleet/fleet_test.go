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

	"savorygap.example/lib/catalogue"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/link"
	"savorygap.example/lib/place"
	"savorygap.example/lib/placement"
	"savorygap.example/lib/registry"
)

// node is a fleet whose news a test reads.
type node struct {
	fleet      *fleet.Fleet
	address    string
	member     registry.Record
	situations chan fleet.Snapshot
	peers      chan []fleet.Peer
	turns      chan bool
	entries    chan entry
	lapsed     chan struct{}
	gone       chan registry.Record
	stop       context.CancelFunc
}

// entry is what a fleet hands out as its node's entry.
type entry struct {
	record registry.Record
	kept   bool
}

func newNode(t *testing.T, name string) *node { return newNodeAt(t, name, 0) }

// newNodeAt returns a node whose host sends speed bytes a second.
func newNodeAt(t *testing.T, name string, speed float64) *node {
	t.Helper()
	return newNodeWith(t, name, speed, clockwork.NewRealClock())
}

func newNodeWith(t *testing.T, name string, speed float64, clock clockwork.Clock) *node {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	n := &node{
		address: listener.Addr().String(), situations: make(chan fleet.Snapshot, 64), peers: make(chan []fleet.Peer, 64),
		turns: make(chan bool, 64), entries: make(chan entry, 4), lapsed: make(chan struct{}, 16), gone: make(chan registry.Record, 16),
	}
	decode := func(text []byte) (*catalogue.Catalogue, error) {
		return catalogue.New(uint64(len(text)), nil, nil, catalogue.DefaultLimits()), nil
	}
	hooks := fleet.NewHooks(decode, func(s fleet.Snapshot) { n.situations <- s }, func(p []fleet.Peer) { n.peers <- p },
		func(int) {}, func([]registry.Record) {}, func(r registry.Record, kept bool) { n.entries <- entry{r, kept} }, func(_ string, begins bool) { n.turns <- begins },
		func() { n.lapsed <- struct{}{} }, func(r registry.Record) { n.gone <- r })
	server := link.NewHandler(func(place.Key, placement.Ask, func(placement.Event)) {}, func(place.Key) {},
		func(place.Key, *placement.Request) {}, func(place.Key) {}, func(uint64) {})
	self := fleet.NewMember(name, n.address, "north", "shop").WithBandwidth(speed)
	n.member, err = fleet.EncodeMember(self)
	must.NoError(t, err)
	n.fleet, err = fleet.New(self, charts, hooks, server, clock, eventlog.New(io.Discard, clock, name))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	t.Cleanup(cancel)
	go n.fleet.Run(ctx, listener)
	return n
}

func (n *node) await(t *testing.T, holds func(fleet.Snapshot) bool) fleet.Snapshot {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case s := <-n.situations:
			if holds(s) {
				return s
			}
		case <-deadline:
			t.Fatal("the situation was not reached in 5 s")
		}
	}
}

// awaitPeers waits until the number of peers is as wanted.
func (n *node) awaitPeers(t *testing.T, holds func(count int) bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case p := <-n.peers:
			if holds(len(p)) {
				return
			}
		case <-deadline:
			t.Fatal("the peers were not as wanted in 5 s")
		}
	}
}

func configuration(version uint64, text string) registry.Record {
	return registry.NewRecord(registry.KindConfiguration, "", []byte(text)).WithVersion(version)
}

func evacuation(version uint64, name string) registry.Record {
	return registry.NewRecord(registry.KindEvacuation, name, nil).WithVersion(version)
}

func TestConfigurationThatAWatchLeftOutIsTakenFromALaterRead(t *testing.T) {
	n := newNode(t, "a")
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x")}, 5, true))
	n.await(t, func(s fleet.Snapshot) bool { return s.Version() == 5 })
	// The watch tells of version 8 but not of version 7, before its history goes.
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{evacuation(8, "north")}, 8, false))
	n.await(t, func(s fleet.Snapshot) bool { return s.Evacuated("north") })
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(7, "xyz"), evacuation(8, "north")}, 9, true))
	s := n.await(t, func(s fleet.Snapshot) bool { return s.Version() == 7 })
	must.Eq(t, uint64(3), s.Config().Version())
	must.True(t, s.Evacuated("north"))
}

func TestSituationNeverReverts(t *testing.T) {
	n := newNode(t, "a")
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(9, "new"), evacuation(7, "north")}, 9, true))
	n.await(t, func(s fleet.Snapshot) bool { return s.Version() == 9 })
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "older"), evacuation(6, "north").AsRemoved()}, 9, false))
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{evacuation(10, "south")}, 10, false))
	s := n.await(t, func(s fleet.Snapshot) bool { return s.Evacuated("south") })
	must.Eq(t, uint64(9), s.Version())
	must.True(t, s.Evacuated("north"))
}

func TestEvacuationWhoseEndWasMissedEndsWithAWholeRead(t *testing.T) {
	n := newNode(t, "a")
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x"), evacuation(6, "north")}, 6, true))
	n.await(t, func(s fleet.Snapshot) bool { return s.Evacuated("north") })
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x")}, 12, true))
	n.await(t, func(s fleet.Snapshot) bool { return !s.Evacuated("north") })
}

func TestNodeThatTheStoreTurnsAwayGetsTheConfigurationFromAPeer(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	a.await(t, func(s fleet.Snapshot) bool { return s.Version() == 5 })
	a.awaitPeers(t, func(count int) bool { return count > 0 })
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(8, "xyz"), evacuation(9, "north")}, 9, false))
	s := b.await(t, func(s fleet.Snapshot) bool { return s.Version() == 8 })
	must.True(t, s.Evacuated("north"))
	must.Eq(t, uint64(3), s.Config().Version())
}

// TestLargeConfigurationIsHandedToFewAtOnce lets many nodes hear at once that one
// of them knows more. That one may sit behind a slow link: it hands over little,
// and the others get the configuration from each other.
func TestLargeConfigurationIsHandedToFewAtOnce(t *testing.T) {
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
	began := time.Now()
	first.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(41, string(text))}, 41, false))
	for _, n := range nodes {
		n.await(t, func(s fleet.Snapshot) bool { return s.Version() == 41 })
	}
	must.Less(t, 2*time.Second, time.Since(began))
	handed := first.fleet.Dump(context.Background()).SnapshotBytesSent()
	allowed := int(600<<10*time.Since(began).Seconds()) + 64<<10 + len(text) + 1<<10
	must.Less(t, allowed, handed)
	must.Less(t, others*len(text)/2, handed)
}

func TestNodesBehindFastConnectionsTakeMostTurns(t *testing.T) {
	fast, slow := newNodeAt(t, "a", 25e6), newNodeAt(t, "b", 1e6)
	must.Eq(t, 1.0, fast.fleet.WatchShare())
	start := []registry.Record{configuration(5, "x"), fast.member.WithVersion(1), slow.member.WithVersion(2)}
	for _, n := range []*node{fast, slow} {
		n.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	}
	for _, n := range []*node{fast, slow} {
		n.awaitPeers(t, func(count int) bool { return count > 0 })
	}
	must.Greater(t, 0.9, fast.fleet.WatchShare())
	must.InDelta(t, 1, fast.fleet.WatchShare()+slow.fleet.WatchShare(), 1e-9)
}

func TestTurnsAtTheStoreAreToldToPeers(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x"), b.member.WithVersion(2)}, 5, true))
	a.awaitPeers(t, func(count int) bool { return count > 0 })
	a.fleet.AnnounceWatch(true)
	a.fleet.AnnounceWatch(false)
	must.True(t, <-b.turns)
	must.False(t, <-b.turns)
}

func TestPeersStayKnownWhileTheStoreListsNobody(t *testing.T) {
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

func TestEntryOfAnEarlierProcessIsKeptUnlessTheNodeMoved(t *testing.T) {
	a := newNode(t, "a")
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{a.member.WithVersion(3)}, 5, true))
	own := <-a.entries
	must.True(t, own.kept)
	must.Eq(t, uint64(3), own.record.Version())
	b := newNode(t, "b")
	moved, err := fleet.EncodeMember(fleet.NewMember("b", "127.0.0.1:1", "north", "shop"))
	must.NoError(t, err)
	b.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{moved.WithVersion(3)}, 5, true))
	own = <-b.entries
	must.False(t, own.kept)
	written, err := fleet.DecodeMember(own.record)
	must.NoError(t, err)
	must.Eq(t, fleet.NewMember("b", b.address, "north", "shop").WithReadVersion(5), written)
}

// TestNodeIsToldThatTheStoreLostItsEntry lets one node see that the entries of both
// are gone: it restores its own, and the other hears of it over the link.
func TestNodeIsToldThatTheStoreLostItsEntry(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	a.awaitPeers(t, func(count int) bool { return count > 0 })
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{a.member.WithVersion(6).AsRemoved(), b.member.WithVersion(6).AsRemoved()}, 6, false))
	<-a.lapsed
	<-b.lapsed
}

// TestMembersThatATurnBroughtAreToldToPeers lets a node's turn bring the entry of a
// third node, of which the peer's own read of the store knew nothing.
func TestMembersThatATurnBroughtAreToldToPeers(t *testing.T) {
	a, b, c := newNode(t, "a"), newNode(t, "b"), newNode(t, "c")
	start := []registry.Record{configuration(5, "x"), a.member.WithVersion(1), b.member.WithVersion(2)}
	a.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.fleet.ApplyUpdate(registry.NewUpdate(start, 5, true))
	b.awaitPeers(t, func(count int) bool { return count > 0 })
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{c.member.WithVersion(6)}, 6, false))
	b.awaitPeers(t, func(count int) bool { return count == 2 })
}

// TestMembersThatKnowAPeerAreNotToldToIt lets a turn bring the entry of a node that
// read the store when the peer's entry was there: it dials that peer itself.
func TestMembersThatKnowAPeerAreNotToldToIt(t *testing.T) {
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

// TestEntryOfANodeOutOfReachIsRemovedAfterLong has a member listed at an address
// where nobody listens.
func TestEntryOfANodeOutOfReachIsRemovedAfterLong(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newNodeWith(t, "a", 0, clock)
	dead := fleet.NewMember("dead", "127.0.0.1:1", "north", "shop")
	record, err := fleet.EncodeMember(dead)
	must.NoError(t, err)
	a.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(5, "x"), a.member.WithVersion(1), record.WithVersion(3)}, 5, true))
	began := clock.Now()
	for {
		select {
		case gone := <-a.gone:
			must.Eq(t, "dead", gone.Name())
			must.Eq(t, uint64(3), gone.Version())
			must.GreaterEq(t, 30*time.Second, clock.Since(began))
			return
		case <-time.After(2 * time.Millisecond):
			must.Less(t, time.Minute, clock.Since(began))
			clock.Advance(250 * time.Millisecond)
		}
	}
}

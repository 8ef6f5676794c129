package control_test

import (
	"context"
	"errors"
	"io"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/rollout/control"
)

// node is a controller with what it has told its node last.
type node struct {
	controller *control.Controller
	policies   chan map[string]rollout.Policy
	admissions chan rollout.Admission
	sent       chan rollout.Message
	writes     chan rollout.Record
	results    chan error
}

// eraSize is the number of versions of an era of the store in these tests.
const eraSize = 1000

// newNode returns a node beside a server of the service shop. Orders hold the target
// version; records are not decoded.
func newNode(t *testing.T, name string) *node {
	t.Helper()
	return newNodeWithClock(t, name, clockwork.NewRealClock())
}

func newNodeWithClock(t *testing.T, name string, clock clockwork.Clock) *node {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	n := &node{
		policies: make(chan map[string]rollout.Policy, 256), admissions: make(chan rollout.Admission, 256), sent: make(chan rollout.Message, 4096),
		writes: make(chan rollout.Record, 64), results: make(chan error, 64),
	}
	version := uint64(100)
	hooks := control.NewHooks(
		func(r registry.Record) (rollout.Order, error) {
			return rollout.NewOrder(r.Name(), string(r.Value()), 5*time.Second, r.Version()), nil
		},
		func(r registry.Record) (rollout.Record, error) {
			order, err := strconv.ParseUint(string(r.Value()), 10, 64)
			return rollout.NewRecord(order, "v2", "v1", rollout.Running, 0, 0).WithVersion(r.Version()), err
		},
		func(ctx context.Context, _ string, next rollout.Record) (uint64, error) {
			n.writes <- next
			select {
			case err := <-n.results:
				version++
				return version, err
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		},
		func(m rollout.Message) { n.sent <- m },
		func(p map[string]rollout.Policy) { n.policies <- p },
		func(a rollout.Admission) { n.admissions <- a },
		func() int { return 0 },
	).WithEras(func(version uint64) uint64 { return version / eraSize * eraSize })
	n.controller = control.New(control.NewConfig(name, "shop", rollout.NewBounds(0.1, 50, 5*time.Second)), charts, clock, eventlog.New(io.Discard, clock, name), hooks)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.controller.Run(ctx)
	return n
}

// awaitAdmission waits until the server may or may not have a version.
func (n *node) awaitAdmission(t *testing.T, version string, want bool) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case a := <-n.admissions:
			if a.AdmitsServer(version) == want {
				return
			}
		case <-timeout:
			t.Fatalf("version %q: admission is not %t", version, want)
		}
	}
}

// awaitShare waits until a share of the requests of the service shop goes to version v2.
func (n *node) awaitShare(t *testing.T, want float64) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case p := <-n.policies:
			if math.Abs(p["shop"].Share()-want) < 1e-9 {
				return
			}
		case <-timeout:
			t.Fatalf("the share is not %g", want)
		}
	}
}

func order(version uint64) registry.Record {
	return registry.NewRecord(registry.KindRolloutOrder, "shop", []byte("v2")).WithVersion(version)
}

func peers(releases ...string) []control.Peer {
	var list []control.Peer
	for i, r := range releases {
		list = append(list, control.NewPeer("peer-"+strconv.Itoa(i), "shop", "i-"+strconv.Itoa(i), r, true))
	}
	return list
}

func members(count int) []registry.Record {
	var list []registry.Record
	for i := range count {
		list = append(list, registry.NewRecord(registry.KindMember, "peer-"+strconv.Itoa(i), nil))
	}
	return list
}

// TestNewServer_WaitsUntilItsOrderIsKnown guards against requests to a server of the target
// version before its order is known: while nothing is known, while only other new servers
// are linked, and while most servers have another version.
func TestNewServer_WaitsUntilItsOrderIsKnown(t *testing.T) {
	n := newNode(t, "self")
	n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v2", true))
	n.controller.ApplyUpdate(registry.NewUpdate(members(6), 10, true))
	n.controller.SetPeers(peers("v2", "v2"))
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 0, len(n.admissions), must.Sprint("two of six nodes are linked"))
	n.controller.SetPeers(peers("v2", "v2", "v1", "v1", "v1"))
	n.awaitAdmission(t, "v1", true)
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(20)}, 20, false))
	must.Eq(t, "v1", (<-n.writes).Previous())
	for len(n.admissions) > 0 {
		must.False(t, (<-n.admissions).AdmitsServer("v2"), must.Sprint("no record yet"))
	}
	n.results <- nil
	n.awaitAdmission(t, "v2", true)
	n.awaitShare(t, 0.04)
}

// TestWrite_ConflictWaitsForTheRecord guards against a node that writes over a step of
// another one, and against one that stops after a lost reply.
func TestWrite_ConflictWaitsForTheRecord(t *testing.T) {
	n := newNode(t, "self")
	n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v1", true))
	n.controller.SetPeers(peers("v1", "v2"))
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(20)}, 20, true))
	must.Eq(t, 0, (<-n.writes).Version())
	n.results <- registry.NewConflictError(registry.NewRecord(registry.KindRollout, "shop", nil))
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{registry.NewRecord(registry.KindRollout, "shop", []byte("20")).WithVersion(21)}, 21, false))
	n.awaitShare(t, 0.04)
	next := <-n.writes
	must.Eq(t, 1, next.Step())
	must.Eq(t, 21, next.Version())
	n.results <- registry.NewUnavailableError("txn", errors.New("no reply"))
	again := <-n.writes
	must.Eq(t, 21, again.Version())
}

// TestOrder_BeginsAlthoughTheRecordOfTheLastOneIsLost has the store lose the record of an
// earlier order, of which this node does not hear. It guards against a rollout that never
// begins because every write expects that record, and against one that takes the place of a
// record that the store has.
func TestOrder_BeginsAlthoughTheRecordOfTheLastOneIsLost(t *testing.T) {
	n := newNode(t, "self")
	n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v1", true))
	n.controller.SetPeers(peers("v1", "v2"))
	earlier := registry.NewRecord(registry.KindRollout, "shop", []byte("20")).WithVersion(22)
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{earlier, order(30)}, 30, true))
	conflict := registry.NewConflictError(registry.NewRecord(registry.KindRollout, "shop", nil))
	for _, expected := range []uint64{22, 0, 22, 0} {
		next := <-n.writes
		must.Eq(t, expected, next.Version())
		must.Eq(t, 30, next.Order())
		n.results <- conflict
	}
	must.Eq(t, 22, (<-n.writes).Version())
	n.results <- conflict
	must.Eq(t, 0, (<-n.writes).Version())
	n.results <- nil
	n.awaitShare(t, 0.04)
}

// TestOrder_RemovalEndsTheRollout guards against a rollout that goes on after its order was
// removed, as a watch or a full read tells, and one that a peer which missed that revives.
func TestOrder_RemovalEndsTheRollout(t *testing.T) {
	for name, removal := range map[string]registry.Update{
		"watch":     registry.NewUpdate([]registry.Record{order(30).AsRemoved()}, 30, false),
		"full read": registry.NewUpdate(nil, 30, true),
	} {
		n := newNode(t, "self")
		n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v1", true))
		n.controller.SetPeers(peers("v1", "v2"))
		n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(20)}, 20, true))
		<-n.writes
		n.results <- nil
		n.awaitShare(t, 0.04)
		n.controller.ApplyUpdate(removal)
		n.awaitShare(t, 0)
		stale := rollout.NewMessage(rollout.NewOrder("shop", "v2", 5*time.Second, 20), rollout.NewRecord(20, "v2", "v1", rollout.Running, 1, 0).WithVersion(25), 0, false, false)
		n.controller.Receive(stale)
		time.Sleep(250 * time.Millisecond)
		must.Eq(t, 0, n.controller.UnderWay(), must.Sprint(name))
	}
}

// TestRollback_OfAPeerAppliesAtOnce guards against requests to the target version until
// the store has the rollback, and against a rollback that is not written.
func TestRollback_OfAPeerAppliesAtOnce(t *testing.T) {
	n := newNode(t, "self")
	n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v1", true))
	n.controller.SetPeers(peers("v1", "v2"))
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(20)}, 20, true))
	<-n.writes
	n.results <- nil
	n.awaitShare(t, 0.04)
	n.controller.Receive(rollout.NewMessage(rollout.NewOrder("shop", "v2", 5*time.Second, 20), rollout.Record{}, 0, false, true))
	n.awaitShare(t, 0)
	for {
		if next := <-n.writes; next.Phase() == rollout.RolledBack {
			must.True(t, strings.HasPrefix(next.Target(), "v2"))
			return
		}
		n.results <- errors.New("not this one")
	}
}

// TestNewServer_FirstOfItsServiceIsServed guards against a service whose only server is
// never used because no other states a version.
func TestNewServer_FirstOfItsServiceIsServed(t *testing.T) {
	n := newNode(t, "self")
	n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v7", true))
	n.controller.ApplyUpdate(registry.NewUpdate(nil, 10, true))
	n.awaitAdmission(t, "v7", true)
}

// TestRolledBack_OrderWrittenAgainAfterARestoreStaysRolledBack guards against a bad version
// that gets requests again because the store came back from a copy without its order, and
// the operators wrote the same order again.
func TestRolledBack_OrderWrittenAgainAfterARestoreStaysRolledBack(t *testing.T) {
	n := newNode(t, "self")
	n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v1", true))
	n.controller.SetPeers(peers("v1", "v2"))
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(20)}, 20, true))
	<-n.writes
	n.results <- nil
	n.awaitShare(t, 0.04)
	n.controller.Receive(rollout.NewMessage(rollout.NewOrder("shop", "v2", 5*time.Second, 20), rollout.Record{}, 0, false, true))
	n.awaitShare(t, 0)
	const eraStart = eraSize
	n.controller.ApplyUpdate(registry.NewUpdate(nil, eraStart+10, true).WithEraStart(eraStart))
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(eraStart + 20)}, eraStart+20, false).WithEraStart(eraStart))
	for {
		next := <-n.writes
		if next.Order() == eraStart+20 {
			must.Eq(t, rollout.RolledBack, next.Phase())
			break
		}
		n.results <- errors.New("not this one")
	}
	for {
		select {
		case p := <-n.policies:
			must.Eq(t, 0, p["shop"].Share())
			continue
		case <-time.After(300 * time.Millisecond):
		}
		return
	}
}

// startRollout has a node follow an order of version 20, whose record at version 101 has
// step 1, a share of 8%.
func startRollout(t *testing.T, n *node) {
	t.Helper()
	n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v1", true))
	n.controller.SetPeers(peers("v1", "v2"))
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(20)}, 20, true))
	<-n.writes
	n.results <- nil
	n.awaitShare(t, 0.04)
	must.Eq(t, 1, (<-n.writes).Step())
	n.results <- nil
	n.awaitShare(t, 0.08)
}

// mustKeepShare checks that the share does not change for a while, and returns the elapsed
// time that the node has sent last.
func (n *node) mustKeepShare(t *testing.T, want float64, lasting time.Duration) (elapsed time.Duration) {
	t.Helper()
	for end := time.After(lasting); ; {
		select {
		case p := <-n.policies:
			must.Eq(t, want, p["shop"].Share())
		case m := <-n.sent:
			elapsed = m.Elapsed()
		case <-end:
			return elapsed
		}
	}
}

// TestRestoredStore_OrderWrittenAgainContinuesTheRollout has the store return from a copy
// without the order and its record, and the operators write the order again. It guards
// against a rollout that ends or starts over: the share, the step and the elapsed time stay.
func TestRestoredStore_OrderWrittenAgainContinuesTheRollout(t *testing.T) {
	n := newNode(t, "self")
	startRollout(t, n)
	started := time.Now()
	n.controller.ApplyUpdate(registry.NewUpdate(nil, eraSize+10, true).WithEraStart(eraSize))
	n.mustKeepShare(t, 0.08, 500*time.Millisecond)
	must.Eq(t, 0, len(n.writes), must.Sprint("the store lacks the order"))
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(eraSize + 20)}, eraSize+20, false).WithEraStart(eraSize))
	next := <-n.writes
	must.Eq(t, eraSize+20, next.Order())
	must.Eq(t, 1, next.Step())
	must.Eq(t, 0, next.Version(), must.Sprint("the store has no record"))
	must.Eq(t, "v1", next.Previous())
	n.results <- nil
	elapsed := n.mustKeepShare(t, 0.08, 300*time.Millisecond)
	must.GreaterEq(t, time.Since(started), elapsed, must.Sprint("time since the order"))
}

// TestRestoredStore_CopyWithAnOlderRecordGetsTheKnownOne has the copy list the order and a
// record of its first step. It guards against a rollout that returns to that step, and
// against a record that keeps the version which the order had before: a node that starts
// later would take it for that of another order.
func TestRestoredStore_CopyWithAnOlderRecordGetsTheKnownOne(t *testing.T) {
	n := newNode(t, "self")
	startRollout(t, n)
	record := registry.NewRecord(registry.KindRollout, "shop", []byte("20")).WithVersion(eraSize + 8)
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(eraSize + 7), record}, eraSize+10, true).WithEraStart(eraSize))
	next := <-n.writes
	must.Eq(t, eraSize+7, next.Order())
	must.Eq(t, 1, next.Step())
	must.Eq(t, eraSize+8, next.Version())
	n.results <- registry.NewUnavailableError("txn", errors.New("no reply"))
	// The operators write it again over that of the copy.
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(eraSize + 20)}, eraSize+20, false).WithEraStart(eraSize))
	next = <-n.writes
	must.Eq(t, eraSize+20, next.Order())
	must.Eq(t, 1, next.Step())
	must.Eq(t, eraSize+8, next.Version())
	n.results <- nil
	n.mustKeepShare(t, 0.08, 300*time.Millisecond)
}

// TestRestoredStore_PeersContinueTheRollout guards against a node that has not read the
// restored store yet and takes the order of a peer for a new one, and against one that has
// and ignores the rollback of a peer that has not.
func TestRestoredStore_PeersContinueTheRollout(t *testing.T) {
	n := newNode(t, "self")
	startRollout(t, n)
	before, after := rollout.NewOrder("shop", "v2", 5*time.Second, 20), rollout.NewOrder("shop", "v2", 5*time.Second, eraSize+20)
	n.controller.Receive(rollout.NewMessage(after, rollout.NewRecord(eraSize+20, "v2", "v1", rollout.Running, 0, 0).WithVersion(eraSize+21), 0, false, false))
	next := <-n.writes
	must.Eq(t, eraSize+20, next.Order())
	must.Eq(t, 1, next.Step())
	must.Eq(t, eraSize+21, next.Version())
	n.results <- registry.NewUnavailableError("txn", errors.New("no reply"))
	n.controller.Receive(rollout.NewMessage(before, rollout.Record{}, 0, true, false))
	n.mustKeepShare(t, 0.08, 300*time.Millisecond)
	n.controller.Receive(rollout.NewMessage(before, rollout.Record{}, 0, false, true))
	n.awaitShare(t, 0)
}

// TestRestoredStore_OtherOrderStartsAnew guards against a new order that inherits the
// progress of the one before: of another target, or one that was written after the
// operators had removed the old one, before the restore or after it.
func TestRestoredStore_OtherOrderStartsAnew(t *testing.T) {
	other := registry.NewRecord(registry.KindRolloutOrder, "shop", []byte("v3")).WithVersion(eraSize + 20)
	for name, updates := range map[string][]registry.Update{
		"other target": {registry.NewUpdate(nil, eraSize+10, true).WithEraStart(eraSize), registry.NewUpdate([]registry.Record{other}, eraSize+20, false).WithEraStart(eraSize)},
		"removed before": {registry.NewUpdate([]registry.Record{order(150).AsRemoved()}, 150, false),
			registry.NewUpdate([]registry.Record{order(eraSize + 20)}, eraSize+20, true).WithEraStart(eraSize)},
		"removed after": {registry.NewUpdate([]registry.Record{order(eraSize + 7)}, eraSize+10, true).WithEraStart(eraSize),
			registry.NewUpdate([]registry.Record{order(eraSize + 12).AsRemoved(), order(eraSize + 20)}, eraSize+20, false).WithEraStart(eraSize)},
		"no restore": {registry.NewUpdate([]registry.Record{order(150)}, 150, false)},
	} {
		n := newNode(t, "self")
		startRollout(t, n)
		for _, u := range updates {
			n.controller.ApplyUpdate(u)
		}
		for {
			next := <-n.writes
			n.results <- errors.New("not written")
			if next.Order() == eraSize+20 || next.Order() == 150 {
				must.Eq(t, 0, next.Step(), must.Sprint(name))
				break
			}
		}
	}
}

// TestRestoredStore_CompleteRolloutStaysComplete has the copy lack both the order and the
// record of a complete rollout. It guards against an order that is written again and takes
// the service back to the old version, whose servers have stopped.
func TestRestoredStore_CompleteRolloutStaysComplete(t *testing.T) {
	n := newNode(t, "self")
	startRollout(t, n)
	n.controller.Receive(rollout.NewMessage(rollout.NewOrder("shop", "v2", 5*time.Second, 20), rollout.NewRecord(20, "v2", "v1", rollout.Complete, 5, 4*time.Second).WithVersion(200), 4*time.Second, false, false))
	n.awaitAdmission(t, "v1", false)
	n.controller.ApplyUpdate(registry.NewUpdate(nil, eraSize+10, true).WithEraStart(eraSize))
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(eraSize + 20)}, eraSize+20, false).WithEraStart(eraSize))
	for {
		next := <-n.writes
		n.results <- nil
		if next.Order() == eraSize+20 {
			must.Eq(t, rollout.Complete, next.Phase())
			break
		}
	}
	for len(n.admissions) > 0 {
		must.False(t, (<-n.admissions).AdmitsServer("v1"))
	}
}

// TestRestoredStore_OrderThatIsNotWrittenAgainEnds guards against a rollout that goes on for
// ever because the operators had removed its order before the store lost that.
func TestRestoredStore_OrderThatIsNotWrittenAgainEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newNodeWithClock(t, "self", clock)
	n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v1", true))
	n.controller.SetPeers(peers("v1", "v2"))
	n.controller.Receive(rollout.NewMessage(rollout.NewOrder("shop", "v2", 5*time.Second, 20), rollout.NewRecord(20, "v2", "v1", rollout.Running, 1, 0).WithVersion(25), 0, false, false))
	n.awaitShare(t, 0.08)
	n.controller.ApplyUpdate(registry.NewUpdate(nil, eraSize+10, true).WithEraStart(eraSize))
	startedAt := clock.Now()
	for {
		select {
		case p := <-n.policies:
			if p["shop"].Share() == 0 {
				must.Between(t, 14*time.Second, clock.Since(startedAt), 16*time.Second)
				must.Eq(t, 0, len(n.writes))
				return
			}
		case <-time.After(5 * time.Millisecond):
			must.Less(t, time.Minute, clock.Since(startedAt))
			clock.Advance(100 * time.Millisecond)
		}
	}
}

// orderOf returns the order, written at a version, of a target version.
func orderOf(target string, version uint64) registry.Update {
	r := registry.NewRecord(registry.KindRolloutOrder, "shop", []byte(target)).WithVersion(version)
	return registry.NewUpdate([]registry.Record{r}, version, false)
}

// mustBaseOn checks that the requests which are not sent to the target version of an order
// go to version v1, from now until the record of the order is written, and returns that.
func (n *node) mustBaseOn(t *testing.T, order uint64) rollout.Record {
	t.Helper()
	for {
		select {
		case p := <-n.policies:
			must.Eq(t, "v1", p["shop"].Base())
		case next := <-n.writes:
			if next.Order() == order {
				return next
			}
			n.results <- errors.New("not written")
		}
	}
}

// TestOrder_ReplacedByAnotherTarget replaces the order of a running rollout, whose servers
// are the most by then, by one of a third version. It guards against a version that was not
// completed and that gets all requests, since most servers have it.
func TestOrder_ReplacedByAnotherTarget(t *testing.T) {
	n := newNode(t, "self")
	startRollout(t, n)
	n.controller.SetPeers(peers("v1", "v2", "v2", "v2", "v3"))
	n.controller.ApplyUpdate(orderOf("v3", 150))
	next := n.mustBaseOn(t, 150)
	must.Eq(t, "v1", next.Previous())
	n.results <- nil
	n.awaitShare(t, 0.04)
}

// TestOrder_ReplacedByThePreviousVersion replaces the order of a running rollout by one of
// the version that the service has, to end it. It guards against a version that was not
// completed and that gets most requests because it is the other one.
func TestOrder_ReplacedByThePreviousVersion(t *testing.T) {
	n := newNode(t, "self")
	startRollout(t, n)
	n.controller.ApplyUpdate(orderOf("v1", 150))
	next := n.mustBaseOn(t, 150)
	must.Eq(t, "", next.Previous(), must.Sprint("no other version may be used"))
	for len(n.admissions) > 0 {
		<-n.admissions
	}
	n.results <- nil
	for end := time.After(500 * time.Millisecond); ; {
		select {
		case p := <-n.policies:
			must.Eq(t, "v1", p["shop"].Base())
		case a := <-n.admissions:
			must.False(t, a.AdmitsServer("v2"))
		case <-end:
			return
		}
	}
}

// TestRestoredStore_NodeThatStartsWithoutTheOrder has a node start while the store lacks the
// order of a rollout whose old servers accept no more requests. It guards against a node
// that sends its requests to them until the operators write the order again, and that then
// begins the rollout anew.
func TestRestoredStore_NodeThatStartsWithoutTheOrder(t *testing.T) {
	n := newNode(t, "self")
	n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v1", true))
	n.controller.SetPeers(peers("v1", "v2"))
	n.controller.ApplyUpdate(registry.NewUpdate(nil, eraSize+10, true).WithEraStart(eraSize))
	lost := rollout.NewRecord(20, "v2", "v1", rollout.Running, 5, 4*time.Second)
	n.controller.Receive(rollout.NewMessage(rollout.NewOrder("shop", "v2", 5*time.Second, 20), lost, 4*time.Second, true, false))
	must.Eq(t, 0, n.controller.UnderWay(), must.Sprint("a removed order"))
	n.controller.Receive(rollout.NewMessage(rollout.NewOrder("shop", "v2", 5*time.Second, 20), lost, 4*time.Second, false, false))
	n.awaitShare(t, 1)
	n.mustKeepShare(t, 1, 500*time.Millisecond)
	must.Eq(t, 0, len(n.writes), must.Sprint("the store lacks the order"))
	n.controller.ApplyUpdate(registry.NewUpdate([]registry.Record{order(eraSize + 20)}, eraSize+20, false).WithEraStart(eraSize))
	next := <-n.writes
	must.Eq(t, eraSize+20, next.Order())
	must.Eq(t, 5, next.Step())
	must.Eq(t, "v1", next.Previous())
}

// TestRestoredStore_RollbackIsKnownToLaterNodes has a node start after a restore, when the
// copy has an order and the record of its rollback under the version that the order had
// before. It guards against a bad version that gets requests again because all nodes have
// restarted, and against an order that operators wrote later and that inherits the rollback.
func TestRestoredStore_RollbackIsKnownToLaterNodes(t *testing.T) {
	for version, want := range map[uint64]rollout.Phase{eraSize + 7: rollout.RolledBack, eraSize + 20: rollout.Running} {
		n := newNode(t, "self")
		n.controller.SetLocalServer(control.NewPeer("self", "shop", "i-self", "v1", true))
		n.controller.SetPeers(peers("v1", "v2"))
		record := rollout.NewRecord(7, "v2", "v1", rollout.RolledBack, 1, time.Second).WithVersion(eraSize + 8)
		n.controller.Receive(rollout.NewMessage(rollout.NewOrder("shop", "v2", 5*time.Second, version), record, time.Second, false, false))
		next := <-n.writes
		must.Eq(t, want, next.Phase(), must.Sprint(version))
		must.Eq(t, version, next.Order())
		must.Eq(t, "v1", next.Previous())
		must.Eq(t, eraSize+8, next.Version())
	}
}

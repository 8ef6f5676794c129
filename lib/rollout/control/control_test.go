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

// newNode returns a node beside a server of the service shop. Orders hold the target
// version; records are not decoded.
func newNode(t *testing.T, name string) *node {
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
	)
	clock := clockwork.NewRealClock()
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
	const eraStart = 1000
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

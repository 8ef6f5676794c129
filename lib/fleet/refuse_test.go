package fleet_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/routeconfig"
)

// refusingNode is a fleet whose configurations are "VERSION TEXT"; others are refused.
type refusingNode struct {
	fleet     *fleet.Fleet
	snapshots chan fleet.Snapshot
	lines     *bytes.Buffer
	log       *eventlog.Log
}

func newRefusingNode(t *testing.T) *refusingNode {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	clock := clockwork.NewRealClock()
	n := &refusingNode{snapshots: make(chan fleet.Snapshot, 64), lines: &bytes.Buffer{}}
	n.log = eventlog.New(n.lines, clock, "a")
	decode := func(text []byte) (*routeconfig.Config, error) {
		number, _, _ := strings.Cut(string(text), " ")
		version, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return nil, errors.New(`field "Limit" is negative`)
		}
		return routeconfig.New(version, nil, nil, routeconfig.DefaultLimits()), nil
	}
	hooks := fleet.NewHooks(decode, func(s fleet.Snapshot) { n.snapshots <- s }, func([]fleet.Peer) {}, func(int) {}, func([]registry.Record, bool) {},
		func(registry.Record, bool) {}, func(string, registry.WatchPhase) {}, func() {}, func(registry.Record) {})
	n.fleet, err = fleet.New(fleet.NewMember("a", listener.Addr().String(), "north", "shop"), charts, hooks, link.Handler{}, clock, n.log)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.fleet.Run(ctx, listener)
	return n
}

// put passes on a configuration as the store does, and returns what is put in force.
func (n *refusingNode) put(version uint64, text string) (fleet.Snapshot, bool) {
	n.fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{configuration(version, text)}, version, false))
	n.fleet.Dump(context.Background())
	select {
	case s := <-n.snapshots:
		return s, true
	default:
		return fleet.Snapshot{}, false
	}
}

// linesOf returns the number of log lines of an event, once the log has ended.
func (n *refusingNode) linesOf(event string) int {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.log.Run(ctx)
	return strings.Count(n.lines.String(), `"event":"`+event+`"`)
}

// TestConfiguration_FaultyOneKeepsThatInForce guards against a faulty configuration that
// takes the place of a good one, and against a line in the log each time that it is read.
func TestConfiguration_FaultyOneKeepsThatInForce(t *testing.T) {
	n := newRefusingNode(t)
	_, changed := n.put(5, "7 good")
	must.True(t, changed)
	for range 3 {
		_, changed = n.put(6, "faulty")
		must.False(t, changed)
	}
	must.Eq(t, uint64(5), n.fleet.Dump(context.Background()).Version())
	s, changed := n.put(7, "8 mended")
	must.True(t, changed)
	must.Eq(t, uint64(8), s.Config().Version())
	must.Eq(t, 1, n.linesOf("configuration-refused"))
	must.StrContains(t, n.lines.String(), `Limit`)
}

// TestConfiguration_OperatorsVersionNeverFalls guards against an older configuration that
// an operator writes again, and against refusing one that repeats the version in force.
func TestConfiguration_OperatorsVersionNeverFalls(t *testing.T) {
	n := newRefusingNode(t)
	first, changed := n.put(5, "7 good")
	must.True(t, changed)
	for version, text := range map[uint64]string{6: "6 older", 7: "7 changed"} {
		_, changed = n.put(version, text)
		must.False(t, changed, must.Sprint(text))
	}
	same, changed := n.put(8, "7 good")
	must.True(t, changed)
	must.Eq(t, uint64(8), same.Version())
	// The same configuration stays in force, so that nothing is looked up anew.
	must.True(t, first.Config() == same.Config())
	_, changed = n.put(9, "8 next")
	must.True(t, changed)
	must.Eq(t, 2, n.linesOf("configuration-refused"))
	must.Eq(t, 2, strings.Count(n.lines.String(), `Version`))
}

// TestOlderOperatorsVersionIsNotFetched guards against a node that asks its peer again and
// again for a configuration that it would refuse, and against a peer that keeps the older
// one, because it started after the operators had written it.
func TestOlderOperatorsVersionIsNotFetched(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	members := []registry.Record{a.member.WithVersion(1), b.member.WithVersion(2)}
	// The operators' version is the length of the text.
	a.fleet.ApplyUpdate(registry.NewUpdate(append(members, configuration(5, "xyz")), 5, true))
	a.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Version() == 5 })
	b.fleet.ApplyUpdate(registry.NewUpdate(append(members, configuration(8, "x")), 8, true))
	b.awaitSnapshot(t, func(s fleet.Snapshot) bool { return s.Config().Version() == 3 })
	time.Sleep(3 * time.Second)
	must.Eq(t, 0, b.fleet.Dump(context.Background()).SnapshotBytesSent())
	must.Eq(t, uint64(5), a.fleet.Dump(context.Background()).Version())
}

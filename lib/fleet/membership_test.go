package fleet_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/link"
	"savorygap.example/lib/quota"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/upstream"
)

// quotaNode is a fleet with the hooks for quotas.
type quotaNode struct {
	name        string
	fleet       *fleet.Fleet
	record      registry.Record
	memberships chan fleet.Membership
	questions   chan quota.Question
	passedOn    atomic.Int64
	nodeCounts  chan int
	snapshots   chan int64 // memberships that were passed on before the configuration
}

func newQuotaNode(t *testing.T, name string) *quotaNode {
	t.Helper()
	charts, err := chart.Embedded()
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	n := &quotaNode{name: name, memberships: make(chan fleet.Membership, 256), questions: make(chan quota.Question, 8), snapshots: make(chan int64, 8), nodeCounts: make(chan int, 256)}
	decode := func([]byte) (*routeconfig.Config, error) {
		return routeconfig.New(1, nil, nil, routeconfig.DefaultLimits()), nil
	}
	hooks := fleet.NewHooks(decode, func(fleet.Snapshot) { n.snapshots <- n.passedOn.Load() }, func([]fleet.Peer) {}, func(count int) { n.nodeCounts <- count }, func([]registry.Record, bool) {},
		func(registry.Record, bool) {}, func(string, registry.WatchPhase) {}, func() {}, func(registry.Record) {}).
		WithQuotas(func(m fleet.Membership) {
			n.passedOn.Add(1)
			n.memberships <- m
		}, func(l *link.Link, q quota.Question) {
			n.questions <- q
			l.SendQuotaAnswer(quota.NewAnswer(q.Number(), 1, 0, true))
		}, func(*link.Link, quota.Answer) {})
	handler := link.NewHandler(func(limiter.Key, upstream.SlotRequest, func(upstream.Event)) {}, func(limiter.Key) {},
		func(limiter.Key, *upstream.Request) {}, func(limiter.Key) {}, func(uint64) {}, upstream.NewBodyMemory(1<<20), upstream.NewBodyMemory(1<<20))
	self := fleet.NewMember(name, listener.Addr().String(), "north", "shop")
	n.record, err = fleet.EncodeMember(self)
	must.NoError(t, err)
	clock := clockwork.NewRealClock()
	n.fleet, err = fleet.New(self, charts, hooks, handler, clock, eventlog.New(io.Discard, clock, name))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.fleet.Run(ctx, listener)
	return n
}

// awaitMembership waits for a membership that matches.
func (n *quotaNode) awaitMembership(t *testing.T, matches func(fleet.Membership) bool) fleet.Membership {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case m := <-n.memberships:
			if matches(m) {
				return m
			}
		case <-deadline:
			t.Fatal("got no matching membership within 5 s")
		}
	}
}

// linkedQuotaNodes returns nodes that are linked to each other.
func linkedQuotaNodes(t *testing.T, names ...string) []*quotaNode {
	t.Helper()
	var nodes []*quotaNode
	var records []registry.Record
	for i, name := range names {
		nodes = append(nodes, newQuotaNode(t, name))
		records = append(records, nodes[i].record.WithVersion(uint64(i+2)))
	}
	for _, n := range nodes {
		n.fleet.ApplyUpdate(registry.NewUpdate(append([]registry.Record{configuration(1, "x")}, records...), uint64(len(names)+2), true))
	}
	for _, n := range nodes {
		n.awaitMembership(t, func(m fleet.Membership) bool {
			return len(m.Links()) == len(names)-1 && m.Members() == len(names)
		})
	}
	return nodes
}

// TestMembership_IsKnownBeforeTheConfiguration guards against a node that takes itself for
// the only member, and the owner of all tenants, when limits come into force.
func TestMembership_IsKnownBeforeTheConfiguration(t *testing.T) {
	for _, n := range linkedQuotaNodes(t, "a", "b", "c") {
		must.Positive(t, <-n.snapshots)
	}
}

// TestMembership_StoppingNodeDoesNotCount guards against an owner that lends less than the
// limit while a node stops, and against questions to a node that stops.
func TestMembership_StoppingNodeDoesNotCount(t *testing.T) {
	nodes := linkedQuotaNodes(t, "a", "b", "c")
	nodes[2].fleet.StopDialling()
	for _, n := range nodes[:2] {
		m := n.awaitMembership(t, func(m fleet.Membership) bool { return m.Members() == 2 })
		must.MapNotContainsKey(t, m.Links(), "c")
		must.False(t, m.IsStopping())
	}
	m := nodes[2].awaitMembership(t, func(m fleet.Membership) bool { return m.IsStopping() })
	must.Eq(t, 2, m.Members())
	must.MapLen(t, 2, m.Links())
}

// restartedQuotaNodes returns nodes that start while the store cannot be reached, next to one
// that knows them from the store and has the configuration.
func restartedQuotaNodes(t *testing.T, names ...string) (restarted []*quotaNode) {
	t.Helper()
	survivor := newQuotaNode(t, "survivor")
	records := []registry.Record{configuration(1, "x"), survivor.record.WithVersion(2)}
	for i, name := range names {
		n := newQuotaNode(t, name)
		restarted = append(restarted, n)
		records = append(records, n.record.WithVersion(uint64(i+3)))
	}
	survivor.fleet.ApplyUpdate(registry.NewUpdate(records, uint64(len(names)+3), true))
	return restarted
}

// TestMembership_RestartedNodesKnowTheFleetWithoutTheStore guards against nodes that start
// while the store cannot be reached and take the survivor that dials them for the rest of
// the fleet: several then own the same tenant.
func TestMembership_RestartedNodesKnowTheFleetWithoutTheStore(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for _, n := range restartedQuotaNodes(t, names...) {
		must.Positive(t, <-n.snapshots)
		n.awaitMembership(t, func(m fleet.Membership) bool {
			must.Eq(t, len(names)+1, m.Members())
			return len(m.Links()) == len(names)
		})
	}
}

// TestNodeCount_RestartedNodesKnowTheFleetWithoutTheStore guards against nodes that start
// while the store cannot be reached and count themselves as the only ones that share the
// retry budgets.
func TestNodeCount_RestartedNodesKnowTheFleetWithoutTheStore(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for _, n := range restartedQuotaNodes(t, names...) {
		<-n.snapshots
		must.Positive(t, len(n.nodeCounts))
		must.Eq(t, len(names)+1, <-n.nodeCounts)
	}
}

func TestMembership_LinksCarryQuestions(t *testing.T) {
	nodes := linkedQuotaNodes(t, "a", "b")
	nodes[0].fleet.ApplyUpdate(registry.NewUpdate([]registry.Record{nodes[1].record.WithVersion(8)}, 9, false))
	m := nodes[0].awaitMembership(t, func(m fleet.Membership) bool { return len(m.Links()) == 1 })
	q := quota.NewQuestion(7, "hule930", 1, 2, false)
	must.True(t, m.Links()["b"].AskQuota(q))
	must.Eq(t, q, <-nodes[1].questions)
}

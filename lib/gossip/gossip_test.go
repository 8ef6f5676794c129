package gossip_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/certs/certstest"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/field"
	"savorygap.example/lib/gossip"
	"savorygap.example/lib/member"
)

const awaitTimeout = 30 * time.Second

// testNode is the agent of one node on the loopback interface.
type testNode struct {
	*gossip.Agent
	name      string
	address   string
	stop      func()
	blocked   *atomic.Bool
	published chan document.Revision
}

// partitionedSocket drops all packets while blocked is set, as a network
// partition does.
type partitionedSocket struct {
	net.PacketConn
	blocked *atomic.Bool
}

func (s *partitionedSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	if s.blocked.Load() {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, to)
}

func (s *partitionedSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := s.PacketConn.ReadFrom(p)
		if err != nil || !s.blocked.Load() {
			return n, from, err
		}
	}
}

// startNode starts the agent of a node that knows the seeds.
func startNode(t *testing.T, authority *certs.Authority, name string, seeds []*testNode) *testNode {
	t.Helper()
	credentials := certstest.Credentials(t, authority, name, certs.RoleNode)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	node := &testNode{name: name, address: socket.LocalAddr().String(), blocked: &atomic.Bool{}, published: make(chan document.Revision, 1024)}
	client := func(peerName string) *tls.Config { return credentials.ClientConfig(peerName, gossip.Protocol) }
	transport := gossip.NewTransport(&partitionedSocket{PacketConn: socket, blocked: node.blocked}, client, credentials.ServerConfig([]certs.Role{certs.RoleNode}, gossip.Protocol))
	set, err := chart.Embedded()
	must.NoError(t, err)
	self := member.NewRecord(name, uint64(time.Now().UnixNano()), "127.0.0.1:1", node.address, "dc", "r")
	hooks := gossip.NewHooks(
		func([]member.Record) {},
		func(d *document.Document) { node.published <- d.Revision() },
		func(gossip.StoreRole) {},
		func(context.Context, string, string) bool { return false },
		func(string, string, string) {})
	node.Agent, err = gossip.New(clockwork.NewRealClock(), rand.New(rand.NewPCG(1, uint64(len(name)))), transport, set, self, hooks)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); node.Run(ctx) }()
	node.stop = func() { cancel(); <-stopped; _ = socket.Close() }
	t.Cleanup(node.stop)
	var contacts []gossip.Contact
	for _, s := range seeds {
		contacts = append(contacts, gossip.NewContact(s.name, s.address))
	}
	node.SetSeeds(contacts)
	return node
}

// startNodes starts n nodes and waits until each has a record of every other.
func startNodes(t *testing.T, n int) []*testNode {
	t.Helper()
	authority := certstest.Authority(t)
	var nodes []*testNode
	for i := range n {
		nodes = append(nodes, startNode(t, authority, fmt.Sprintf("host-%d", i), nodes[:min(len(nodes), 1)]))
	}
	await(t, "every node knows all others", func() bool {
		for _, node := range nodes {
			if node.countAlive(t) != n {
				return false
			}
		}
		return true
	})
	return nodes
}

func (node *testNode) countAlive(t *testing.T) int {
	t.Helper()
	n := 0
	for _, m := range node.Dump(context.Background()).Members() {
		if m.State() == "alive" {
			n++
		}
	}
	return n
}

func (node *testNode) revision() document.Revision { return node.Dump(context.Background()).Revision() }

func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %s: %s", awaitTimeout, condition)
}

// documentChain returns documents of revisions 1 to n, each a change of the one
// before.
func documentChain(t *testing.T, n int) []*document.Document {
	t.Helper()
	d := document.Empty()
	var out []*document.Document
	for i := range n {
		next, err := d.Apply(document.NewChange(fmt.Sprint(i), "a", time.Unix(1, 0), []document.Resource{
			document.DataCentreResource(document.NewDataCentre("dc", "r", i%2 == 0)),
		}, nil))
		must.NoError(t, err)
		d = next
		out = append(out, d)
	}
	return out
}

func TestConfiguration_ReachesAllNodesAndNeverReverts(t *testing.T) {
	nodes := startNodes(t, 6)
	documents := documentChain(t, 40)
	for i, d := range documents {
		nodes[i%len(nodes)].OfferDocument(d)
		if i > 0 {
			nodes[(i+1)%len(nodes)].OfferDocument(documents[i-1])
		}
	}
	for _, node := range nodes {
		await(t, node.name+" has the newest revision", func() bool { return node.revision() == 40 })
		node.OfferDocument(documents[3])
		must.Eq(t, document.Revision(40), node.revision())
		close(node.published)
		last := document.Revision(0)
		for r := range node.published {
			must.True(t, r > last || r == 0, must.Sprintf("revision %d published after %d", r, last))
			last = r
		}
	}
}

// Without the store, a new node gets the configuration from a peer. The peer no
// longer holds the revisions that the node lacks, so it sends the whole
// document.
func TestConfiguration_NewNodeFetchesItFromPeers(t *testing.T) {
	authority := certstest.Authority(t)
	first := startNode(t, authority, "host-0", nil)
	for _, d := range documentChain(t, 50) {
		first.OfferDocument(d)
	}
	second := startNode(t, authority, "host-1", []*testNode{first})
	await(t, "the new node has revision 50", func() bool { return second.revision() == 50 })
	must.Eq(t, chart.State("current"), second.Dump(context.Background()).ConfigState())
}

func TestLeave_ReachesAllNodes(t *testing.T) {
	nodes := startNodes(t, 5)
	nodes[2].Leave(context.Background())
	for i, node := range nodes {
		if i != 2 {
			await(t, node.name+" knows that host-2 left", func() bool { return node.countAlive(t) == 4 })
		}
	}
}

func TestFailureDetection_FailsDeadNodeAndAcceptsReplacement(t *testing.T) {
	authority := certstest.Authority(t)
	var nodes []*testNode
	for i := range 4 {
		nodes = append(nodes, startNode(t, authority, fmt.Sprintf("host-%d", i), nodes[:min(len(nodes), 1)]))
	}
	await(t, "all are linked", func() bool { return nodes[0].countAlive(t) == 4 && nodes[3].countAlive(t) == 4 })
	before := nodes[0].Dump(context.Background()).Members()[3].Record().Epoch()
	nodes[3].stop()
	await(t, "the dead node is marked as failed", func() bool { return nodes[0].countAlive(t) == 3 && nodes[1].countAlive(t) == 3 })
	replacement := startNode(t, authority, "host-3", nodes[:1])
	await(t, "the replacement is alive", func() bool { return nodes[1].countAlive(t) == 4 && replacement.countAlive(t) == 4 })
	must.Greater(t, before, nodes[0].Dump(context.Background()).Members()[3].Record().Epoch())
}

// The two sides of a network partition mark each other as failed and accept
// changes independently. When it ends, they must reconnect and catch up.
func TestPartition_SidesReconnectAndCatchUp(t *testing.T) {
	nodes := startNodes(t, 4)
	nodes[3].blocked.Store(true)
	await(t, "the sides mark each other as failed", func() bool { return nodes[0].countAlive(t) == 3 && nodes[3].countAlive(t) == 1 })
	documents := documentChain(t, 3)
	nodes[0].OfferDocument(documents[2])
	nodes[3].blocked.Store(false)
	await(t, "the sides have reconnected", func() bool {
		return nodes[0].countAlive(t) == 4 && nodes[2].countAlive(t) == 4 && nodes[3].countAlive(t) == 4
	})
	await(t, "the isolated node has revision 3", func() bool { return nodes[3].revision() == 3 })
}

func TestLink_RejectsNodeOfAnotherAuthority(t *testing.T) {
	nodes := startNodes(t, 2)
	foreign := startNode(t, certstest.Authority(t), "host-9", nodes[:1])
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, 1, foreign.countAlive(t))
	must.Eq(t, 2, nodes[0].countAlive(t))
}

func FuzzDecode(f *testing.F) {
	record := member.NewRecord("a", 1, "b", "c", "d", "e").WithServers([]member.Server{member.NewServer("s", "x", 3, time.UnixMilli(5))})
	for _, m := range []gossip.Message{
		gossip.HelloMessage(record, 1, 2, 3), gossip.PingMessage(true, 1, 2, 3), gossip.RecordsMessage([]member.Record{record}),
		gossip.DeltaMessage(document.NewDelta(1, 2, []document.Resource{document.DataCentreResource(document.NewDataCentre("x", "r", true))}, nil, nil)),
	} {
		b, err := gossip.Encode(m)
		must.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := gossip.Decode(b)
		if err != nil {
			return
		}
		reencoded, err := gossip.Encode(m)
		must.NoError(t, err)
		if _, err := gossip.Decode(reencoded); err != nil {
			var malformed *field.MalformedError
			must.False(t, errors.As(err, &malformed))
		}
	})
}

// Two groups of nodes that formed separately merge when a node of one group
// learns a contact of the other.
func TestSeeds_SeparateGroupsMerge(t *testing.T) {
	authority := certstest.Authority(t)
	a := startNode(t, authority, "host-0", nil)
	b := startNode(t, authority, "host-1", []*testNode{a})
	c := startNode(t, authority, "host-2", nil)
	d := startNode(t, authority, "host-3", []*testNode{c})
	await(t, "there are two groups of two", func() bool {
		return a.countAlive(t) == 2 && b.countAlive(t) == 2 && c.countAlive(t) == 2 && d.countAlive(t) == 2
	})
	b.SetSeeds([]gossip.Contact{gossip.NewContact(c.name, c.address)})
	await(t, "there is one group of four", func() bool { return a.countAlive(t) == 4 && d.countAlive(t) == 4 })
}

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

const eventually = 30 * time.Second

// peer is one node's control task on loopback.
type peer struct {
	*gossip.Control
	name    string
	address string
	stop    func()
	cut     *atomic.Bool
	seen    chan document.Revision
}

// cutSocket drops all packets while cut is set, as a broken network does.
type cutSocket struct {
	net.PacketConn
	cut *atomic.Bool
}

func (s *cutSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	if s.cut.Load() {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, to)
}

func (s *cutSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := s.PacketConn.ReadFrom(p)
		if err != nil || !s.cut.Load() {
			return n, from, err
		}
	}
}

func startPeer(t *testing.T, authority *certs.Authority, name string, seeds []*peer) *peer {
	t.Helper()
	ring := certstest.Credentials(t, authority, name, certs.RoleNode)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &peer{name: name, address: socket.LocalAddr().String(), cut: &atomic.Bool{}, seen: make(chan document.Revision, 1024)}
	client := func(peerName string) *tls.Config { return ring.ClientConfig(peerName, gossip.Protocol) }
	transport := gossip.NewTransport(&cutSocket{PacketConn: socket, cut: p.cut}, client, ring.ServerConfig([]certs.Role{certs.RoleNode}, gossip.Protocol))
	set, err := chart.Embedded()
	must.NoError(t, err)
	self := member.NewClaim(name, uint64(time.Now().UnixNano()), "127.0.0.1:1", p.address, "dc", "r")
	hooks := gossip.NewHooks(
		func([]member.Claim) {},
		func(d *document.Document) { p.seen <- d.Revision() },
		func(gossip.Duty) {},
		func(context.Context, string, string) bool { return false },
		func(string, string, string) {})
	p.Control, err = gossip.New(clockwork.NewRealClock(), rand.New(rand.NewPCG(1, uint64(len(name)))), transport, set, self, hooks)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); p.Run(ctx) }()
	p.stop = func() { cancel(); <-ended; _ = socket.Close() }
	t.Cleanup(p.stop)
	var contacts []gossip.Contact
	for _, s := range seeds {
		contacts = append(contacts, gossip.NewContact(s.name, s.address))
	}
	p.SetSeeds(contacts)
	return p
}

func startFleet(t *testing.T, n int) []*peer {
	t.Helper()
	authority := certstest.Authority(t)
	var fleet []*peer
	for i := range n {
		fleet = append(fleet, startPeer(t, authority, fmt.Sprintf("host-%d", i), fleet[:min(len(fleet), 1)]))
	}
	await(t, "everyone knows everyone", func() bool {
		for _, p := range fleet {
			if p.alive(t) != n {
				return false
			}
		}
		return true
	})
	return fleet
}

func (p *peer) alive(t *testing.T) int {
	t.Helper()
	n := 0
	for _, m := range p.Dump(context.Background()).Members() {
		if m.State() == "alive" {
			n++
		}
	}
	return n
}

func (p *peer) revision() document.Revision { return p.Dump(context.Background()).Revision() }

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(eventually); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// chain returns documents of the revisions 1 to n.
func chain(t *testing.T, n int) []*document.Document {
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

func TestConfigurationReachesEveryoneAndNeverReverts(t *testing.T) {
	fleet := startFleet(t, 6)
	documents := chain(t, 40)
	for i, d := range documents {
		fleet[i%len(fleet)].Accept(d)
		if i > 0 {
			fleet[(i+1)%len(fleet)].Accept(documents[i-1])
		}
	}
	for _, p := range fleet {
		await(t, p.name+" has the newest revision", func() bool { return p.revision() == 40 })
		p.Accept(documents[3])
		must.Eq(t, document.Revision(40), p.revision())
		close(p.seen)
		last := document.Revision(0)
		for r := range p.seen {
			must.True(t, r > last || r == 0, must.Sprintf("revision %d came in force after %d", r, last))
			last = r
		}
	}
}

// With the store out of reach a new node gets the configuration from peers, and
// one that missed many revisions gets them in one piece.
func TestNewNodeGetsTheConfigurationFromPeers(t *testing.T) {
	authority := certstest.Authority(t)
	first := startPeer(t, authority, "host-0", nil)
	for _, d := range chain(t, 50) {
		first.Accept(d)
	}
	second := startPeer(t, authority, "host-1", []*peer{first})
	await(t, "the new node has revision 50", func() bool { return second.revision() == 50 })
	must.Eq(t, chart.State("current"), second.Dump(context.Background()).Config())
}

func TestLeavingNodeIsKnownEverywhereAtOnce(t *testing.T) {
	fleet := startFleet(t, 5)
	fleet[2].Leave(context.Background())
	for i, p := range fleet {
		if i != 2 {
			await(t, p.name+" knows", func() bool { return p.alive(t) == 4 })
		}
	}
}

func TestDeadNodeIsFoundAndItsReplacementIsTaken(t *testing.T) {
	authority := certstest.Authority(t)
	var fleet []*peer
	for i := range 4 {
		fleet = append(fleet, startPeer(t, authority, fmt.Sprintf("host-%d", i), fleet[:min(len(fleet), 1)]))
	}
	await(t, "all are linked", func() bool { return fleet[0].alive(t) == 4 && fleet[3].alive(t) == 4 })
	before := fleet[0].Dump(context.Background()).Members()[3].Claim().Epoch()
	fleet[3].stop()
	await(t, "the dead node is failed", func() bool { return fleet[0].alive(t) == 3 && fleet[1].alive(t) == 3 })
	replacement := startPeer(t, authority, "host-3", fleet[:1])
	await(t, "the replacement is alive", func() bool { return fleet[1].alive(t) == 4 && replacement.alive(t) == 4 })
	must.Greater(t, before, fleet[0].Dump(context.Background()).Members()[3].Claim().Epoch())
}

// Two sides that lose each other hold each other for failed, accept changes on
// their own, and find each other again.
func TestSidesOfAPartitionMeetAgain(t *testing.T) {
	fleet := startFleet(t, 4)
	fleet[3].cut.Store(true)
	await(t, "the cut node is failed", func() bool { return fleet[0].alive(t) == 3 && fleet[3].alive(t) == 1 })
	documents := chain(t, 3)
	fleet[0].Accept(documents[2])
	fleet[3].cut.Store(false)
	await(t, "the sides are one again", func() bool {
		return fleet[0].alive(t) == 4 && fleet[2].alive(t) == 4 && fleet[3].alive(t) == 4
	})
	await(t, "the cut node caught up", func() bool { return fleet[3].revision() == 3 })
}

func TestNodeUnderAnotherNameIsTurnedAway(t *testing.T) {
	fleet := startFleet(t, 2)
	stranger := startPeer(t, certstest.Authority(t), "host-9", fleet[:1])
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, 1, stranger.alive(t))
	must.Eq(t, 2, fleet[0].alive(t))
}

func FuzzDecode(f *testing.F) {
	claim := member.NewClaim("a", 1, "b", "c", "d", "e").WithServers([]member.Server{member.NewServer("s", "x", 3, time.UnixMilli(5))})
	for _, m := range []gossip.Message{
		gossip.HelloMessage(claim, 1, 2, 3), gossip.PingMessage(true, 1, 2, 3), gossip.ClaimsMessage([]member.Claim{claim}),
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
		again, err := gossip.Encode(m)
		must.NoError(t, err)
		if _, err := gossip.Decode(again); err != nil {
			var malformed *field.MalformedError
			must.False(t, errors.As(err, &malformed))
		}
	})
}

// Two groups that formed apart become one when a node of one learns of a
// contact of the other.
func TestGroupsThatFormedApartMeet(t *testing.T) {
	authority := certstest.Authority(t)
	a := startPeer(t, authority, "host-0", nil)
	b := startPeer(t, authority, "host-1", []*peer{a})
	c := startPeer(t, authority, "host-2", nil)
	d := startPeer(t, authority, "host-3", []*peer{c})
	await(t, "there are two groups", func() bool { return a.alive(t) == 2 && b.alive(t) == 2 && c.alive(t) == 2 && d.alive(t) == 2 })
	b.SetSeeds([]gossip.Contact{gossip.NewContact(c.name, c.address)})
	await(t, "there is one", func() bool { return a.alive(t) == 4 && d.alive(t) == 4 })
}

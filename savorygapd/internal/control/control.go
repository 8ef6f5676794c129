// Package control starts the task of the control traffic and the tasks that
// follow the store.
package control

import (
	"context"
	"math/rand/v2"
	"net"

	"github.com/go-kit/log/level"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/certs"
	"savorygap.example/lib/document"
	"savorygap.example/lib/gossip"
	"savorygap.example/lib/member"
	"savorygap.example/lib/node"
	"savorygap.example/lib/store"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"

	"crypto/tls"
)

// String names the step.
func String() string { return "control" }

// Default fills the settings; the addresses belong to the step callers.
func Default(*settings.Tree) {}

// Run starts the tasks.
func Run(p *process.Process) error {
	t := p.Settings()
	socket, err := net.ListenPacket("udp", t.Listen().Control())
	if err != nil {
		return err
	}
	client := func(name string) *tls.Config { return p.Ring().ClientConfig(name, gossip.Protocol) }
	transport := gossip.NewTransport(socket, client, p.Ring().ServerConfig([]certs.Role{certs.RoleNode}, gossip.Protocol))
	self := member.NewRecord(t.Host(), uint64(p.Epoch().UnixNano()), t.Advertise().Calls(), t.Advertise().Control(), t.DataCentre(), t.Region())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	follower := newFollower(p, rng)
	c, err := gossip.New(p.Clock(), rng, transport, p.Charts(), self, hooks(p, follower))
	if err != nil {
		return err
	}
	p.SetControl(c)
	p.Go(c.Run)
	c.SetSeeds(seeds(t.Peers(), nil))
	p.Go(follower.Run)
	p.Go(func(ctx context.Context) { awaitConfiguration(ctx, p) })
	return nil
}

func newFollower(p *process.Process, rng *rand.Rand) *store.Watcher {
	t := p.Settings()
	hooks := store.NewWatcherHooks(
		func(d *document.Document) { p.Control().OfferDocument(d) },
		func(list []store.ContactForm) { p.Control().SetSeeds(seeds(t.Peers(), list)) },
		func(call string, err error) {
			p.Fault("store", call, err.Error())
		})
	self := store.ContactForm{Name: t.Host(), Control: t.Advertise().Control()}
	follower := store.NewWatcher(p.Store(), p.Clock(), rand.New(rand.NewPCG(rng.Uint64(), 0)), self, t.DataCentre(), hooks)
	return follower.WithStartJitter(t.Store().StartJitter())
}

func seeds(configured []settings.Peer, found []store.ContactForm) []gossip.Contact {
	list := make([]gossip.Contact, 0, len(configured)+len(found))
	for _, p := range configured {
		list = append(list, gossip.NewContact(p.Name(), p.Control()))
	}
	for _, f := range found {
		list = append(list, gossip.NewContact(f.Name, f.Control))
	}
	return list
}

func hooks(p *process.Process, follower *store.Watcher) gossip.Hooks {
	suspended := newSuspension(p)
	return gossip.NewHooks(
		func(members []member.Record) { p.Router().SetTargets(targets(members)) },
		func(d *document.Document) {
			routes := document.Compile(d)
			p.Router().SetRoutes(routes)
			suspended.apply(routes)
			_ = level.Info(p.Logger()).Log("event", "configuration in force", "revision", d.Revision())
		},
		func(duty gossip.StoreRole) { follower.SetRole(duty.Watcher(), duty.ContactNode(), duty.Isolated()) },
		func(ctx context.Context, name, calls string) bool { return reach(ctx, p, name, calls) },
		p.Fault)
}

// reach reports whether a node accepts a connection for calls.
func reach(ctx context.Context, p *process.Process, name, calls string) bool {
	return node.CheckReachable(ctx, node.NewPeer(name, calls), p.Ring().ClientConfig(name, node.ProtocolCalls)) == nil
}

func targets(members []member.Record) []balance.Target {
	var out []balance.Target
	for _, m := range members {
		place := balance.NewLocality(m.Name(), m.DataCentre(), m.Region())
		for _, s := range m.Servers() {
			id := balance.NewTargetID(m.Name(), s.Address())
			out = append(out, balance.NewTarget(id, s.Service(), m.CallAddress(), place, s.Slots(), s.AnnouncedAt()))
		}
	}
	return out
}

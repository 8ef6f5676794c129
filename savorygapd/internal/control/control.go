// Package control starts the gossip agent and the tasks that watch the store.
package control

import (
	"context"
	"crypto/tls"
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
)

// String returns the name of the step.
func String() string { return "control" }

// Default does nothing; the step callers sets the default address.
func Default(*settings.Tree) {}

// Run starts the gossip agent, with the peers of the settings as its first seeds, the
// watcher of the store, and the task that waits for a configuration.
func Run(p *process.Process) error {
	t := p.Settings()
	socket, err := net.ListenPacket("udp", t.Listen().Control())
	if err != nil {
		return err
	}
	clientTLS := func(name string) *tls.Config { return p.Credentials().ClientConfig(name, gossip.Protocol) }
	transport := gossip.NewTransport(socket, clientTLS, p.Credentials().ServerConfig([]certs.Role{certs.RoleNode}, gossip.Protocol))
	self := member.NewRecord(t.Host(), uint64(p.StartedAt().UnixNano()), t.Advertise().Calls(), t.Advertise().Control(), t.DataCentre(), t.Region())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	watcher := newWatcher(p, rng)
	agent, err := gossip.New(p.Clock(), rng, transport, p.Charts(), self, newHooks(p, watcher))
	if err != nil {
		return err
	}
	p.SetGossipAgent(agent)
	p.Go(agent.Run)
	agent.SetSeeds(seeds(t.Peers(), nil))
	p.Go(watcher.Run)
	p.Go(func(ctx context.Context) { awaitConfiguration(ctx, p) })
	return nil
}

func newWatcher(p *process.Process, rng *rand.Rand) *store.Watcher {
	t := p.Settings()
	hooks := store.NewWatcherHooks(
		func(d *document.Document) { p.GossipAgent().OfferDocument(d) },
		func(list []store.ContactForm) { p.GossipAgent().SetSeeds(seeds(t.Peers(), list)) },
		func(call string, err error) {
			p.RecordFault("store", call, err.Error())
		})
	self := store.ContactForm{Name: t.Host(), Control: t.Advertise().Control()}
	watcher := store.NewWatcher(p.Store(), p.Clock(), rand.New(rand.NewPCG(rng.Uint64(), 0)), self, t.DataCentre(), hooks)
	return watcher.WithStartJitter(t.Store().StartJitter())
}

func seeds(configured []settings.Peer, discovered []store.ContactForm) []gossip.Contact {
	list := make([]gossip.Contact, 0, len(configured)+len(discovered))
	for _, p := range configured {
		list = append(list, gossip.NewContact(p.Name(), p.ControlAddress()))
	}
	for _, d := range discovered {
		list = append(list, gossip.NewContact(d.Name, d.Control))
	}
	return list
}

func newHooks(p *process.Process, watcher *store.Watcher) gossip.Hooks {
	dataCentre := newDataCentreState(p)
	return gossip.NewHooks(
		func(members []member.Record) { p.Router().SetTargets(balanceTargets(members)) },
		func(d *document.Document) {
			routes := document.Compile(d)
			p.Router().SetRoutes(routes)
			dataCentre.apply(routes)
			_ = level.Info(p.Logger()).Log("event", "configuration in force", "revision", d.Revision())
		},
		func(role gossip.StoreRole) { watcher.SetRole(role.Watcher(), role.ContactNode(), role.Isolated()) },
		func(ctx context.Context, name, callAddress string) bool {
			return isReachable(ctx, p, name, callAddress)
		},
		p.RecordFault)
}

// isReachable reports whether a node accepts connections for calls.
func isReachable(ctx context.Context, p *process.Process, name, callAddress string) bool {
	return node.CheckReachable(ctx, node.NewPeer(name, callAddress), p.Credentials().ClientConfig(name, node.ProtocolCalls)) == nil
}

func balanceTargets(members []member.Record) []balance.Target {
	var out []balance.Target
	for _, m := range members {
		locality := balance.NewLocality(m.Name(), m.DataCentre(), m.Region())
		for _, s := range m.Servers() {
			id := balance.NewTargetID(m.Name(), s.Address())
			out = append(out, balance.NewTarget(id, s.Service(), m.CallAddress(), locality, s.Slots(), s.AnnouncedAt()))
		}
	}
	return out
}

// Package links starts the task that keeps the links to the other nodes.
package links

import (
	"net"

	"savorygap.example/lib/fleet"
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/serverproxy"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/quotas"
	"savorygap.example/savorygap-node/internal/rollouts"
	"savorygap.example/savorygap-node/internal/servers"
	"savorygap.example/savorygap-node/internal/settings"
	"savorygap.example/savorygap-node/internal/storage"
)

// String returns the name of the step.
func String() string { return "links" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run starts the task, and then the tasks of the steps servers and storage, which
// notify it.
func Run(p *process.Process) error {
	t := p.Settings()
	listener, err := net.Listen("tcp", t.LinksAddress())
	if err != nil {
		return err
	}
	proxy := p.ServerProxy()
	var configureQuotas func(*routeconfig.Config)
	hooks := fleet.NewHooks(
		platform.DecodeConfiguration,
		func(s fleet.Snapshot) {
			configureQuotas(s.Config())
			proxy.SetSnapshot(serverproxy.NewSnapshot(s.Config(), s.Evacuated(t.DataCentre()), s.Version()))
			p.Router().SetSnapshot(s)
			p.Frontend().SetLimits(s.Config().Limits())
			p.Configured()
		},
		func(peers []fleet.Peer) {
			p.Router().SetPeers(peers)
			rollouts.SetPeers(p, peers)
		},
		p.Router().SetNodeCount,
		func(departures []registry.Record, stored bool) {
			for _, d := range departures {
				if d.Name() != t.Host() {
					continue
				}
				proxy.RecordDeparture(d.Departure())
				if !stored {
					p.Registrar().KeepDeparture(d)
				}
			}
		},
		p.Registrar().Register,
		p.Watcher().ObservePeerWatch,
		p.Registrar().RestoreEntry,
		p.Registrar().RemoveMember,
	).WithQuarantine(p.Router().ApplySuspicions, p.Router().HeldRequests)
	hooks, configureQuotas = quotas.AddHooks(p, hooks)
	hooks = rollouts.Connect(p, hooks)
	self := fleet.NewMember(t.Host(), t.AdvertisedAddress(), t.DataCentre(), t.Service()).WithBandwidth(t.NetworkBandwidth())
	handler := link.NewHandler(proxy.Reserve, proxy.Withdraw, proxy.Submit, proxy.Cancel, proxy.ReleaseLink, p.RequestMemory(), p.ResponseMemory())
	f, err := fleet.New(self, p.Charts(), hooks, handler, p.Clock(), p.Log())
	if err != nil {
		return err
	}
	p.SetFleet(f)
	rollouts.Start(p)
	go f.Run(p.Context(), listener)
	if err := servers.Start(p); err != nil {
		return err
	}
	storage.Start(p)
	return nil
}

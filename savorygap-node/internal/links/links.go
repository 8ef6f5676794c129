// Package links starts the task that tracks the other nodes.
package links

import (
	"net"

	"savorygap.example/lib/fleet"
	"savorygap.example/lib/keeper"
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/servers"
	"savorygap.example/savorygap-node/internal/settings"
	"savorygap.example/savorygap-node/internal/storage"
)

// String returns the name of the step.
func String() string { return "links" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run starts the task, and then the tasks of servers and storage, which report to it.
func Run(p *process.Process) error {
	t := p.Settings()
	listener, err := net.Listen("tcp", t.LinksAddress())
	if err != nil {
		return err
	}
	proxy := p.ServerProxy()
	hooks := fleet.NewHooks(
		platform.DecodeConfiguration,
		func(s fleet.Situation) {
			p.Router().SetSituation(s)
			proxy.SetSituation(keeper.NewSituation(s.Catalogue(), s.Evacuated(t.DataCentre()), s.Version()))
			p.Frontend().SetLimits(s.Catalogue().Limits())
			p.Configured()
		},
		p.Router().SetPeers,
		p.Router().SetNodes,
		func(departures []registry.Record) {
			for _, d := range departures {
				if d.Name() == t.Host() {
					proxy.Departed(d.Departure())
				}
			}
		},
		p.Registrar().Start,
		p.Watcher().Heard,
		p.Registrar().Restore,
		p.Registrar().Gone,
	)
	self := fleet.NewMember(t.Host(), t.AdvertisedAddress(), t.DataCentre(), t.Service()).WithSpeed(t.NetworkBandwidth())
	handler := link.NewServer(proxy.Ask, proxy.Withdraw, proxy.Submit, proxy.Cancel, proxy.Drop)
	f, err := fleet.New(self, p.Charts(), hooks, handler, p.Clock(), p.Log())
	if err != nil {
		return err
	}
	p.SetFleet(f)
	go f.Run(p.Context(), listener)
	if err := servers.Start(p); err != nil {
		return err
	}
	storage.Start(p)
	return nil
}

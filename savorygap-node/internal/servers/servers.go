// Package servers starts the task that manages the server on this host, and the
// endpoint for its announcements.
package servers

import (
	"context"
	"time"

	"savorygap.example/lib/keeper"
	"savorygap.example/lib/link"
	"savorygap.example/lib/placement"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// departureTimeout limits how long the acknowledgement of a leaving server waits
// for the store. Servers ignore one that takes longer than a second.
const departureTimeout = 700 * time.Millisecond

// String returns the name of the step.
func String() string { return "servers" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run creates the task, which Start starts.
func Run(p *process.Process) error {
	t := p.Settings()
	config := keeper.NewConfig(t.Host(), t.Service(), t.Server(), t.DataCentre(), platform.HeaderNames())
	observer := keeper.NewObserver(p.Metrics().ObserveServerRequest, p.Metrics().CountHealthCheck, p.Metrics().CountServerConnection)
	var endpoint *placement.Port
	onChange := func(s keeper.State) {
		p.Router().SetLocal(s.Service(), s.Open(), endpoint)
		p.Fleet().SetState(link.NewState(s.Service(), s.Instance(), s.Open()))
	}
	proxy, err := keeper.New(config, p.Charts(), p.Clock(), p.Log(), observer, onChange)
	if err != nil {
		return err
	}
	endpoint = proxy.Port(t.Host())
	p.SetServerProxy(proxy)
	p.Metrics().RegisterGauge("savorygap_server_running", "Requests at the server on this host.", func() float64 { return float64(proxy.Running()) })
	return nil
}

// Start starts the task and the endpoint for announcements. The tasks that they
// notify must exist.
func Start(p *process.Process) error {
	p.Go(p.ServerProxy().Run)
	announce := func(ctx context.Context, a keeper.Announcement) bool {
		if !p.ServerProxy().Announce(ctx, a) {
			return false
		}
		if a.IsDraining() {
			recordDeparture(ctx, p, a.ID(), a.Born())
		}
		return true
	}
	leave := func(ctx context.Context, id string, startedAt int64) bool {
		if !p.ServerProxy().Leave(ctx, id, startedAt) {
			return false
		}
		recordDeparture(ctx, p, id, startedAt)
		return true
	}
	return p.Serve(p.Settings().AnnouncementsAddress(), platform.AnnouncementHandler(announce, leave, p.Log()))
}

// recordDeparture writes to the store that an instance leaves. If the store does not
// confirm this in time, the departure is acknowledged all the same: this process
// abides by it, and the registrar repeats the write until the store takes it.
func recordDeparture(ctx context.Context, p *process.Process, id string, startedAt int64) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	result := "written"
	if err := p.Registrar().Depart(ctx, id, startedAt); err != nil {
		result = "not written yet: " + err.Error()
	}
	p.Log().Write("departure", "instance", id, "born", startedAt, "entry", result)
}

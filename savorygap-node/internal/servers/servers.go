// Package servers starts the task beside the server on this host, and serves
// what that server announces.
package servers

import (
	"context"
	"time"

	"savorygap.example/lib/link"
	"savorygap.example/lib/serverproxy"
	"savorygap.example/lib/upstream"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// departureTimeout bounds how long the acknowledgement of a leaving server waits
// for the store; a server takes none that comes later than a second.
const departureTimeout = 700 * time.Millisecond

// String names the step.
func String() string { return "servers" }

// Default fills the settings.
func Default(*settings.Tree) {}

// Run starts the task.
func Run(p *process.Process) error {
	t := p.Settings()
	config := serverproxy.NewConfig(t.Host(), t.Service(), t.Server(), t.DataCentre(), platform.HeaderNames())
	observe := serverproxy.NewObserver(p.Metrics().ObserveServerRequest, p.Metrics().CountHealthCheck, p.Metrics().CountServerConnection)
	var port *upstream.Endpoint
	changed := func(s serverproxy.ServerState) {
		p.Router().SetLocalServer(s.Service(), s.Accepting(), port)
		p.Fleet().SetServerState(link.NewServerState(s.Service(), s.Instance(), s.Accepting()))
	}
	k, err := serverproxy.New(config, p.Charts(), p.Clock(), p.Log(), observe, changed)
	if err != nil {
		return err
	}
	port = k.Endpoint(t.Host())
	p.SetServerProxy(k)
	p.Metrics().RegisterGauge("savorygap_server_running", "Requests at the server on this host.", func() float64 { return float64(k.InFlight()) })
	return nil
}

// Start starts the task and takes announcements, once those that they tell are
// there.
func Start(p *process.Process) error {
	p.Go(p.ServerProxy().Run)
	announce := func(ctx context.Context, a serverproxy.Announcement) bool {
		if !p.ServerProxy().Announce(ctx, a) {
			return false
		}
		if a.IsDraining() {
			depart(ctx, p, a.ID(), a.StartedAt())
		}
		return true
	}
	leave := func(ctx context.Context, id string, born int64) bool {
		if !p.ServerProxy().Leave(ctx, id, born) {
			return false
		}
		depart(ctx, p, id, born)
		return true
	}
	return p.Serve(p.Settings().AnnouncementsAddress(), platform.AnnouncementHandler(announce, leave, p.Log()))
}

// depart makes it last that an instance leaves. Where the store does not take it
// in time the acknowledgement is given all the same: this process is bound by it,
// and the entry is written when the store is back.
func depart(ctx context.Context, p *process.Process, id string, born int64) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	result := "written"
	if err := p.Registrar().RecordDeparture(ctx, id, born); err != nil {
		result = "not written yet: " + err.Error()
	}
	p.Log().Write("departure", "instance", id, "born", born, "entry", result)
}

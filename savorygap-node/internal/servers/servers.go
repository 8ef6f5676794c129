// Package servers starts the task that manages the server on this host, and the
// endpoint for its announcements.
package servers

import (
	"context"
	"time"

	"savorygap.example/lib/link"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/serverproxy"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/rollouts"
	"savorygap.example/savorygap-node/internal/settings"
)

// departureTimeout limits how long the acknowledgement of a leaving server waits
// for the store. Servers ignore one that takes longer than a second.
const departureTimeout = 700 * time.Millisecond

// peersTimeout limits how long of that the messages to the peers may take, since one
// of their connections may take no data.
const peersTimeout = 100 * time.Millisecond

// String returns the name of the step.
func String() string { return "servers" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run creates the task, which Start starts.
func Run(p *process.Process) error {
	t := p.Settings()
	config := serverproxy.NewConfig(t.Host(), t.Service(), t.Server(), t.DataCentre(), platform.HeaderNames(), p.ResponseMemory()).WithQuarantine(p.Router().HeldFor).WithNesting(platform.IsNestedIn)
	config = rollouts.Configure(p, config)
	if t.DownstreamAdmission() {
		config = config.WithDownstream(platform.IsNestedIn)
	}
	observer := serverproxy.NewObserver(p.Metrics().ObserveServerRequest, p.Metrics().CountHealthCheck, p.Metrics().CountServerConnection).
		WithAllowance(p.Metrics().SetAllowance)
	var endpoint *upstream.Endpoint
	onStateChange := func(s serverproxy.ServerState) {
		rollouts.SetLocalServer(p, s)
		p.Router().SetLocalServer(s.Service(), s.Accepting(), endpoint)
		state := link.NewServerState(s.Service(), s.Instance(), s.Accepting())
		if t.FollowsRollouts() {
			state = state.WithRelease(s.Release())
		}
		p.Fleet().SetServerState(state)
	}
	leaving := task.NewLatest[departure]()
	onLeaving := func(instance string, startedAt int64) {
		leaving.Put(departure{instance: instance, startedAt: startedAt})
	}
	onEnded := func(_ string, requests []quarantine.Fingerprint, told func()) {
		records := quarantine.Struck(requests)
		p.Router().ApplySuspicions(records)
		p.Fleet().TellSuspicions(records, told)
	}
	proxy, err := serverproxy.New(config, p.Charts(), p.Clock(), p.Log(), observer, serverproxy.NewHooks(onStateChange, onLeaving, onEnded).WithHedges(p.Router().RecordHedge))
	if err != nil {
		return err
	}
	p.Go(func(ctx context.Context) { recordDepartures(ctx, p, leaving) })
	endpoint = proxy.Endpoint(t.Host())
	p.SetServerProxy(proxy)
	p.Metrics().RegisterGauge("savorygap_server_running", "Requests at the server on this host.", func() float64 { return float64(proxy.InFlight()) })
	p.Metrics().RegisterGauge("savorygap_server_rate_limit", "Requests per second that the server on this host takes, 0 if it states no limit.", proxy.RateLimit)
	p.Metrics().RegisterGauge("savorygap_server_tenants", "Tenants whose recent requests to the server on this host are counted.", func() float64 { return float64(proxy.Dump(p.Context()).Tenants()) })
	return nil
}

// Start starts the task and the endpoint for announcements. The tasks that they
// notify must exist.
func Start(p *process.Process) error {
	p.Go(p.ServerProxy().Run)
	announce := func(ctx context.Context, a serverproxy.Announcement) bool {
		if !p.ServerProxy().Announce(ctx, a) {
			return false
		}
		return !a.IsDraining() || recordDeparture(ctx, p, a.ID(), a.StartedAt())
	}
	leave := func(ctx context.Context, id string, startedAt int64) bool {
		startedAt, ok := p.ServerProxy().Leave(ctx, id, startedAt)
		if !ok {
			return false
		}
		return recordDeparture(ctx, p, id, startedAt)
	}
	return p.Serve(p.Settings().AnnouncementsAddress(), platform.AnnouncementHandler(announce, leave, p.Log()))
}

// departure is an instance that leaves, and when it was started, in Unix milliseconds.
type departure struct {
	instance  string
	startedAt int64
}

// recordDepartures records the instances that state in their responses that they leave.
func recordDepartures(ctx context.Context, p *process.Process, leaving *task.Latest[departure]) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-leaving.Values():
			recordDeparture(ctx, p, d.instance, d.startedAt)
		}
	}
}

// recordDeparture writes to the store, and tells the other nodes, that an instance
// leaves. It reports whether the departure may be acknowledged: the store or a peer must
// know of it, so that a later process of this node honours it too. This process honours
// it in any case, and the registrar repeats the write until it succeeds.
func recordDeparture(ctx context.Context, p *process.Process, id string, startedAt int64) bool {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	tell, told := context.WithTimeout(ctx, peersTimeout)
	peers := p.Fleet().RecordDeparture(tell, registry.NewDeparture(p.Settings().Host(), id, startedAt))
	told()
	result := "written"
	err := p.Registrar().RecordDeparture(ctx, id, startedAt)
	if err != nil {
		result = "not written yet: " + err.Error()
	}
	p.Log().Write("departure", "instance", id, "born", startedAt, "entry", result, "peers_told", peers)
	return err == nil || peers > 0
}

// Package rollouts starts the task that follows the operators' orders to roll out new
// versions of services. Without the settings for it the step does nothing.
package rollouts

import (
	"context"

	"savorygap.example/lib/fleet"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/rollout/control"
	"savorygap.example/lib/serverproxy"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// String returns the name of the step.
func String() string { return "rollouts" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run creates the task, which Start starts.
func Run(p *process.Process) error {
	t := p.Settings()
	if !t.FollowsRollouts() {
		return nil
	}
	write := func(ctx context.Context, service string, next rollout.Record) (uint64, error) {
		state, status, err := platform.EncodeRollout(service, next)
		if err != nil {
			return 0, err
		}
		// The state comes last: a store that numbers the writes of a transaction one by one
		// replies with the version of the last.
		return p.Store().Swap(ctx, state, status, state)
	}
	hooks := control.NewHooks(platform.DecodeRolloutOrder, platform.DecodeRollout, write,
		func(m rollout.Message) { p.Fleet().SendRollout(m) },
		func(policies map[string]rollout.Policy) { p.Router().SetPolicies(policies) },
		func(a rollout.Admission) { p.ServerProxy().SetAdmission(a) },
		func() int { return p.ServerProxy().InFlight() },
	).WithEras(p.Store().EraStart)
	c := control.New(control.NewConfig(t.Host(), t.Service(), rollout.NewBounds(t.RolloutBounds())), p.Charts(), p.Clock(), p.Log(), hooks)
	p.SetRollouts(c)
	p.Metrics().RegisterGauge("savorygap_rollouts_under_way", "Rollouts that are under way.", func() float64 { return float64(c.UnderWay()) })
	p.Metrics().RegisterGauge("savorygap_rollouts_rolled_back", "Rollouts that this node has decided to roll back.", func() float64 { return float64(c.RolledBack()) })
	return nil
}

// Start starts the task. The tasks that it notifies must exist.
func Start(p *process.Process) {
	if c := p.Rollouts(); c != nil {
		p.Go(c.Run)
	}
}

// Configure returns the settings of the server proxy with what it needs for rollouts.
func Configure(p *process.Process, config serverproxy.Config) serverproxy.Config {
	c := p.Rollouts()
	if c == nil {
		return config
	}
	count := p.Metrics().CountJudged()
	return config.WithRollouts(func(j serverproxy.Judgement) {
		count(j.Release(), j.Bad())
		c.Judge(control.NewJudgement(j.Instance(), j.Release(), j.Route(), j.Bad()))
	})
}

// Connect returns the hooks of the fleet with what they need for rollouts.
func Connect(p *process.Process, hooks fleet.Hooks) fleet.Hooks {
	c := p.Rollouts()
	if c == nil {
		return hooks
	}
	return hooks.WithRollouts(c.ApplyUpdate, c.Receive, c.Current, p.ServerProxy().RecallRelease)
}

// SetPeers tells the task which servers the peers have.
func SetPeers(p *process.Process, peers []fleet.Peer) {
	c := p.Rollouts()
	if c == nil {
		return
	}
	list := make([]control.Peer, 0, len(peers))
	for _, peer := range peers {
		s := peer.ServerState()
		list = append(list, control.NewPeer(peer.Node(), s.Service(), s.Instance(), s.Release(), s.Accepting()))
	}
	c.SetPeers(list)
}

// SetLocalServer tells the task and the router which version the server on this host has.
func SetLocalServer(p *process.Process, s serverproxy.ServerState) {
	c := p.Rollouts()
	if c == nil {
		return
	}
	p.Router().SetLocalRelease(s.Instance(), s.Release())
	c.SetLocalServer(control.NewPeer(p.Settings().Host(), s.Service(), s.Instance(), s.Release(), s.Accepting()))
}

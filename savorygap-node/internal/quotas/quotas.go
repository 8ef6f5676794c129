// Package quotas prepares the task that applies the limits of tenants. It does nothing
// unless the settings hold the bounds of quotas.
package quotas

import (
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/link"
	"savorygap.example/lib/quota"
	"savorygap.example/lib/quota/controller"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// String returns the name of the step.
func String() string { return "quotas" }

// Default does nothing; without settings there are no quotas.
func Default(*settings.Tree) {}

// Run creates the task, which the first configuration with a limit starts.
func Run(p *process.Process) error {
	t := p.Settings()
	if !t.HasQuotas() {
		return nil
	}
	m := p.Metrics().NewQuotas()
	config := controller.NewConfig(t.Host(), quota.NewBounds(t.QuotaBounds()))
	c := controller.New(p.Go, config, p.Clock(), p.Log(), controller.NewObserver(m.CountCredits, m.CountRefused, m.CountLent))
	p.SetQuotas(c)
	p.Router().UseQuotas(c.Begin)
	return nil
}

// AddHooks adds the hooks of the task to those of the fleet, and returns them with a
// function that receives each configuration that is put in force.
func AddHooks(p *process.Process, hooks fleet.Hooks) (fleet.Hooks, func(*routeconfig.Config)) {
	c := p.Quotas()
	if c == nil {
		return hooks, func(*routeconfig.Config) {}
	}
	var inForce *routeconfig.Config
	configure := func(config *routeconfig.Config) {
		// An evacuation publishes the same configuration again.
		if config != inForce {
			inForce = config
			c.Configure(limits(config))
		}
	}
	return hooks.WithQuotas(
		func(m fleet.Membership) {
			peers := make(map[string]func(quota.Question) bool, len(m.Links()))
			for node, l := range m.Links() {
				peers[node] = l.AskQuota
			}
			c.SetMembership(controller.NewMembership(peers, m.Members(), m.IsStopping()))
		},
		func(l *link.Link, q quota.Question) { c.HandleQuestion(q, l.SendQuotaAnswer) },
		func(_ *link.Link, a quota.Answer) { c.HandleAnswer(a) },
	), configure
}

// limits returns the limits of the tenants that have one.
func limits(config *routeconfig.Config) []quota.Limit {
	var list []quota.Limit
	for _, t := range config.Tenants() {
		if t.Rate() > 0 {
			list = append(list, quota.NewLimit(t.Name(), t.Rate(), t.Burst()))
		}
	}
	return list
}

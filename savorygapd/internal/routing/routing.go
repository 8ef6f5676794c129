// Package routing starts the task that chooses targets and the one that
// remembers idempotency keys.
package routing

import (
	"fmt"
	"math/rand/v2"

	"savorygap.example/lib/balance"
	"savorygap.example/lib/idempotency"
	"savorygap.example/lib/route"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"
)

const defaultPolicy = "adaptive"

// String names the step.
func String() string { return "routing" }

// Default fills the settings.
func Default(t *settings.Tree) { t.SetPolicy(defaultPolicy) }

// Run starts the tasks.
func Run(p *process.Process) error {
	policy, ok := balance.PolicyByName(p.Settings().Policy())
	if !ok {
		return fmt.Errorf("setting \"balance.policy\" is %q; adaptive, adaptive-all, round-robin, random, least-reported or power-of-two is wanted", p.Settings().Policy())
	}
	t := p.Settings()
	here := balance.NewLocality(t.Host(), t.DataCentre(), t.Region())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ledger := idempotency.NewTracker(p.Clock(), idempotency.DefaultLimits())
	router := route.New(p.Clock(), policy, rng, here, ledger.SetTargets)
	p.SetIdempotencyTracker(ledger)
	p.SetRouter(router)
	p.Go(ledger.Run)
	p.Go(router.Run)
	return nil
}

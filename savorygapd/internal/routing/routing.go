// Package routing starts the task that selects targets and the task that tracks
// idempotency keys.
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

// String returns the name of the step.
func String() string { return "routing" }

// Default sets the balancing policy, unless it is set.
func Default(t *settings.Tree) { t.SetPolicy(defaultPolicy) }

// Run starts both tasks. The router tells the tracker which targets exist.
func Run(p *process.Process) error {
	policy, ok := balance.PolicyByName(p.Settings().Policy())
	if !ok {
		return fmt.Errorf("setting \"balance.policy\" is %q; adaptive, adaptive-all, round-robin, random, least-reported or power-of-two is wanted", p.Settings().Policy())
	}
	t := p.Settings()
	locality := balance.NewLocality(t.Host(), t.DataCentre(), t.Region())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	tracker := idempotency.NewTracker(p.Clock(), idempotency.DefaultLimits())
	router := route.New(p.Clock(), policy, rng, locality, tracker.SetTargets)
	p.SetIdempotencyTracker(tracker)
	p.SetRouter(router)
	p.Go(tracker.Run)
	p.Go(router.Run)
	return nil
}

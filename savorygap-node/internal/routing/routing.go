// Package routing starts the task that chooses servers.
package routing

import (
	"time"

	"savorygap.example/lib/dispatch"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// Bounds on further attempts where the settings name none.
const (
	defaultRatio  = 0.1
	defaultLeast  = 20.0 // attempts in a window, over all nodes
	defaultWindow = 10 * time.Second
)

// String names the step.
func String() string { return "routing" }

// Default fills the settings.
func Default(t *settings.Tree) { t.SetRetries(defaultRatio, defaultLeast, defaultWindow) }

// Run starts the task.
func Run(p *process.Process) error {
	t := p.Settings()
	terms := dispatch.NewRetryLimits(t.RetryRatio(), t.MinRetries(), t.RetryWindow())
	observe := dispatch.NewObserver(p.Metrics().ObserveRequest, p.Metrics().CountRetry)
	router, err := dispatch.NewRouter(dispatch.NewConfig(t.Host(), t.Service(), t.DataCentre(), terms), p.Charts(), p.Clock(), p.Log(), observe)
	if err != nil {
		return err
	}
	p.SetRouter(router)
	p.Go(router.Run)
	p.Metrics().RegisterGauge("savorygap_requests_active", "Requests of callers under way.", func() float64 { return float64(router.ActiveRequests()) })
	return nil
}

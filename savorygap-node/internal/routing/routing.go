// Package routing starts the task that selects servers for requests.
package routing

import (
	"time"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/quarantine"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// Default limits on retries.
const (
	defaultRetryRatio  = 0.1
	defaultMinRetries  = 20.0 // per window, over all nodes
	defaultRetryWindow = 10 * time.Second
)

// String returns the name of the step.
func String() string { return "routing" }

// Default sets the default limits on retries.
func Default(t *settings.Tree) {
	t.SetRetries(defaultRetryRatio, defaultMinRetries, defaultRetryWindow)
}

// Run starts the router.
func Run(p *process.Process) error {
	t := p.Settings()
	limits := dispatch.NewRetryLimits(t.RetryRatio(), t.MinRetries(), t.RetryWindow())
	observer := dispatch.NewObserver(p.Metrics().ObserveRequest, p.Metrics().CountRetry, func(r quarantine.Record) {
		p.Fleet().SendSuspicions([]quarantine.Record{r})
	}).WithHedges(p.Metrics().CountHedge)
	router, err := dispatch.NewRouter(dispatch.NewConfig(t.Host(), t.Service(), t.DataCentre(), limits).WithHedging(t.HedgingShare(), t.HedgingQuantile()), p.Charts(), p.Clock(), p.Log(), observer)
	if err != nil {
		return err
	}
	p.SetRouter(router)
	p.Go(router.Run)
	p.Metrics().RegisterGauge("savorygap_requests_held", "Different requests that are sent to no server, since servers ended under them.", func() float64 { return float64(len(router.HeldRequests())) })
	p.Metrics().RegisterGauge("savorygap_requests_active", "Requests of callers under way.", func() float64 { return float64(router.ActiveRequests()) })
	return nil
}

// Package routing starts the task that selects servers for requests.
package routing

import (
	"context"
	"time"

	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/quarantine"
	"savorygap.example/platform"
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
	}).WithSearched(p.Metrics().CountSearch).WithHedges(p.Metrics().CountHedge)
	config := dispatch.NewConfig(t.Host(), t.Service(), t.DataCentre(), limits).
		WithTenants(platform.HeaderNames().Tenant(), platform.AuthenticationScheme, func(id string) bool { return p.ServerProxy().RunsParent(id) }).
		WithFarRoundTrip(t.FarRoundTrip()).WithHedging(t.HedgingShare(), t.HedgingQuantile()).
		WithNesting(platform.IsNestedIn)
	if t.DownstreamAdmission() {
		// The step servers sets the proxy before any request arrives.
		config = config.WithDownstream(
			func(ctx context.Context, id, service string) (string, int, bool) {
				return p.ServerProxy().CallingRun(ctx, id, service)
			},
			func(route, service string, pressure float64) {
				p.ServerProxy().ReportPressure(route, service, pressure)
			},
		)
	}
	router, err := dispatch.NewRouter(config, p.Charts(), p.Clock(), p.Log(), observer)
	if err != nil {
		return err
	}
	p.SetRouter(router)
	p.Go(router.Run)
	p.Metrics().RegisterGauge("savorygap_requests_held", "Different requests that are sent to no server, since servers ended under them.", func() float64 { return float64(len(router.HeldRequests())) })
	p.Metrics().RegisterGauge("savorygap_requests_active", "Requests of callers under way.", func() float64 { return float64(router.ActiveRequests()) })
	return nil
}

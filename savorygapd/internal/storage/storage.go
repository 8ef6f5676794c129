// Package storage creates the client of the platform's store.
package storage

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"savorygap.example/lib/store"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"
)

const (
	defaultReadsPerSecond  = 2.0
	defaultWritesPerSecond = 0.5
	defaultBurst           = 8 // calls
	defaultStartJitter     = time.Second
)

// String returns the name of the step.
func String() string { return "store" }

// Default sets the rate limits and the start jitter, unless they are set.
func Default(t *settings.Tree) {
	t.SetStoreRateLimits(defaultReadsPerSecond, defaultWritesPerSecond, defaultBurst, defaultStartJitter)
}

// Run creates the client. Its calls are counted in the metrics and rate limited.
func Run(p *process.Process) error {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "savorygap_store_calls_total", Help: "Calls to the platform's store.",
	}, []string{"call", "result"})
	if err := p.Metrics().Register(calls); err != nil {
		return err
	}
	count := func(c store.Call, err error) {
		result := "ok"
		if err != nil {
			result = "failed"
		}
		calls.WithLabelValues(string(c), result).Inc()
	}
	t := p.Settings().Store()
	limits := store.NewRateLimits(t.ReadsPerSecond(), t.WritesPerSecond(), t.Burst())
	client := store.NewHTTP(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, t.Address())
	p.SetStore(store.WithRateLimit(store.WithObserver(client, count), limits, p.Clock()))
	return nil
}

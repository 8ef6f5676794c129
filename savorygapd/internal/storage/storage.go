// Package storage connects to the platform's store.
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
	defaultReads  = 2.0 // calls a second
	defaultWrites = 0.5 // calls a second
	defaultBurst  = 8   // calls
	defaultJitter = time.Second
)

// String names the step.
func String() string { return "store" }

// Default fills the settings.
func Default(t *settings.Tree) {
	t.SetStoreBudget(defaultReads, defaultWrites, defaultBurst, defaultJitter)
}

// Run makes the client. Every call is counted and paced.
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
	budget := store.NewRateLimits(t.Reads(), t.Writes(), t.Burst())
	client := store.NewHTTP(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, t.Address())
	p.SetStore(store.WithRateLimit(store.WithObserver(client, count), budget, p.Clock()))
	return nil
}

// Package local serves the readiness probe, the metrics and the state dump.
package local

import (
	"encoding/json"
	"net"
	"net/http"

	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// defaultMetricsPort is the port on the host's address on which metrics are served
// by default.
const defaultMetricsPort = "9464"

// String returns the name of the step.
func String() string { return "local" }

// Default sets the default address for metrics.
func Default(t *settings.Tree) { t.SetMetricsAddress(net.JoinHostPort(t.IP(), defaultMetricsPort)) }

// Run starts the HTTP servers.
func Run(p *process.Process) error {
	if err := p.Serve(p.Settings().ReadinessAddress(), platform.ReadinessHandler(p.Ready)); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.Metrics().Handler())
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(dumpState(r.Context(), p)); err != nil {
			p.Log().Write("dump-failed", "error", err.Error())
		}
	})
	return p.Serve(p.Settings().MetricsAddress(), mux)
}

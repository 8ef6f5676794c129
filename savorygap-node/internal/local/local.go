// Package local serves the readiness of the node, its metrics and its state.
package local

import (
	"encoding/json"
	"net"
	"net/http"

	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// defaultMetricsPort is where metrics are served on the host's address unless
// the settings say otherwise.
const defaultMetricsPort = "9464"

// String names the step.
func String() string { return "local" }

// Default fills the settings.
func Default(t *settings.Tree) { t.SetMetricsAddress(net.JoinHostPort(t.IP(), defaultMetricsPort)) }

// Run starts serving.
func Run(p *process.Process) error {
	if err := p.Serve(p.Settings().ReadinessAddress(), platform.ReadinessHandler(p.Ready)); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.Metrics().Handler())
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(stateOf(r.Context(), p)); err != nil {
			p.Log().Write("dump-failed", "error", err.Error())
		}
	})
	return p.Serve(p.Settings().MetricsAddress(), mux)
}

// Package callers starts the front end that serves callers.
package callers

import (
	"net"

	"savorygap.example/lib/frontend"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

// String returns the name of the step.
func String() string { return "callers" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run starts listening for callers.
func Run(p *process.Process) error {
	t := p.Settings()
	listener, err := net.Listen("tcp", t.CallersAddress())
	if err != nil {
		return err
	}
	config := frontend.NewConfig(platform.HeaderNames(), t.Service(), platform.IsNestedAttempt).WithAPIKey(platform.APIKey)
	f := frontend.New(config, p.Router().Serve, p.RequestMemory(), p.Clock(), p.Log())
	p.SetFrontend(f, listener)
	go f.Run(p.Context(), listener)
	p.Metrics().RegisterGauge("savorygap_request_memory_bytes", "Memory reserved for bodies of requests, in bytes.", func() float64 { return float64(p.RequestMemory().Used()) })
	p.Metrics().RegisterGauge("savorygap_response_memory_bytes", "Memory reserved for bodies of responses, in bytes.", func() float64 { return float64(p.ResponseMemory().Used()) })
	p.Metrics().RegisterGauge("savorygap_caller_connections", "Open connections of callers.", func() float64 { return float64(f.OpenConnections()) })
	return nil
}

// Package callers starts the front end that serves callers.
package callers

import (
	"net"

	"savorygap.example/lib/frontend"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

const (
	// bodyMemoryRatio is the fraction of the memory limit that request bodies may use.
	bodyMemoryRatio = 0.25
	// defaultBodyMemory is the memory for request bodies without a memory limit, in
	// bytes.
	defaultBodyMemory = 64 << 20
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
	bodyMemory := int64(defaultBodyMemory)
	if t.MemoryLimit() > 0 {
		bodyMemory = int64(bodyMemoryRatio * float64(t.MemoryLimit()))
	}
	f := frontend.New(frontend.NewConfig(platform.HeaderNames(), t.Service(), platform.IsNestedAttempt), p.Router().Serve, bodyMemory, p.Clock(), p.Log())
	p.SetFrontend(f, listener)
	go f.Run(p.Context(), listener)
	p.Metrics().RegisterGauge("savorygap_caller_connections", "Open connections of callers.", func() float64 { return float64(f.OpenConnections()) })
	return nil
}

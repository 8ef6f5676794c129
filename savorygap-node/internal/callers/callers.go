// Package callers serves callers.
package callers

import (
	"net"

	"savorygap.example/lib/frontend"
	"savorygap.example/platform"
	"savorygap.example/savorygap-node/internal/process"
	"savorygap.example/savorygap-node/internal/settings"
)

const (
	// bodyShare is the part of the memory limit that bodies of callers may take.
	bodyShare = 0.25
	// defaultBodyRoom holds where there is no memory limit, in bytes.
	defaultBodyRoom = 64 << 20
)

// String names the step.
func String() string { return "callers" }

// Default fills the settings.
func Default(*settings.Tree) {}

// Run listens for callers.
func Run(p *process.Process) error {
	t := p.Settings()
	listener, err := net.Listen("tcp", t.CallersAddress())
	if err != nil {
		return err
	}
	room := int64(defaultBodyRoom)
	if t.MemoryLimit() > 0 {
		room = int64(bodyShare * float64(t.MemoryLimit()))
	}
	f := frontend.New(frontend.NewConfig(platform.HeaderNames(), t.Service(), platform.IsNestedAttempt), p.Router().Serve, room, p.Clock(), p.Log())
	p.SetFrontend(f, listener)
	go f.Run(p.Context(), listener)
	p.Metrics().RegisterGauge("savorygap_caller_connections", "Open connections of callers.", func() float64 { return float64(f.OpenConnections()) })
	return nil
}

// Package calls takes the calls of other nodes and makes calls to them.
package calls

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/go-kit/log/level"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/node"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/servers"
	"savorygap.example/savorygapd/internal/settings"
)

const defaultTransport = "tcp"

// String names the step.
func String() string { return "calls" }

// Default fills the settings.
func Default(t *settings.Tree) { t.SetTransport(defaultTransport) }

// Run starts the listener and the transport.
func Run(p *process.Process) error {
	client := func(name string) *tls.Config { return p.Ring().ClientConfig(name, node.ProtocolCalls) }
	server := p.Ring().ServerConfig([]certs.Role{certs.RoleNode}, node.ProtocolCalls)
	handler := census(p, node.NewHandler(p.Runner().Attempt))
	p.OnDrain(func(ctx context.Context) { servers.Drain(ctx, p) })
	if p.Settings().Transport() == "quic" {
		return runQUIC(p, client, server, handler)
	}
	return runTCP(p, client, server, handler)
}

func runTCP(p *process.Process, client func(string) *tls.Config, server *tls.Config, handler node.Handler) error {
	listener, err := net.Listen("tcp", p.Settings().Listen().Calls())
	if err != nil {
		return err
	}
	transport := node.NewTCPTransport(p.Clock(), client)
	p.SetClient(node.NewClient(transport.Open, transport.Release))
	p.Go(transport.Run)
	p.Go(func(ctx context.Context) {
		logged(p, node.ListenTCP(ctx, listener, server, p.Draining(), handler))
	})
	return nil
}

func runQUIC(p *process.Process, client func(string) *tls.Config, server *tls.Config, handler node.Handler) error {
	socket, err := net.ListenPacket("udp", p.Settings().Listen().Calls())
	if err != nil {
		return err
	}
	transport := node.NewQUICTransport(client)
	p.SetClient(node.NewClient(transport.Open, transport.Release))
	p.Go(transport.Run)
	p.Go(func(ctx context.Context) {
		logged(p, node.ListenQUIC(ctx, socket, server, p.Draining(), handler))
	})
	return nil
}

func logged(p *process.Process, err error) {
	if err != nil {
		_ = level.Error(p.Logger()).Log("event", "calls", "error", err)
	}
}

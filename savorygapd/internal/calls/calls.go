// Package calls starts the listener for calls from other nodes, and the client for
// calls to them.
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

// String returns the name of the step.
func String() string { return "calls" }

// Default sets the transport, unless it is set.
func Default(t *settings.Tree) { t.SetTransport(defaultTransport) }

// Run starts the listener and the client on the transport of the settings.
func Run(p *process.Process) error {
	clientTLS := func(name string) *tls.Config { return p.Credentials().ClientConfig(name, node.ProtocolCalls) }
	serverTLS := p.Credentials().ServerConfig([]certs.Role{certs.RoleNode}, node.ProtocolCalls)
	handler := handleRevisionQueries(p, node.NewHandler(p.Runner().Attempt))
	p.OnDrain(func(ctx context.Context) { servers.Drain(ctx, p) })
	if p.Settings().Transport() == "quic" {
		return runQUIC(p, clientTLS, serverTLS, handler)
	}
	return runTCP(p, clientTLS, serverTLS, handler)
}

func runTCP(p *process.Process, clientTLS func(string) *tls.Config, serverTLS *tls.Config, handler node.Handler) error {
	listener, err := net.Listen("tcp", p.Settings().Listen().Calls())
	if err != nil {
		return err
	}
	transport := node.NewTCPTransport(p.Clock(), clientTLS)
	p.SetClient(node.NewClient(transport.Open, transport.Release))
	p.Go(transport.Run)
	p.Go(func(ctx context.Context) {
		logListenError(p, node.ListenTCP(ctx, listener, serverTLS, p.Draining(), handler))
	})
	return nil
}

func runQUIC(p *process.Process, clientTLS func(string) *tls.Config, serverTLS *tls.Config, handler node.Handler) error {
	socket, err := net.ListenPacket("udp", p.Settings().Listen().Calls())
	if err != nil {
		return err
	}
	transport := node.NewQUICTransport(clientTLS)
	p.SetClient(node.NewClient(transport.Open, transport.Release))
	p.Go(transport.Run)
	p.Go(func(ctx context.Context) {
		logListenError(p, node.ListenQUIC(ctx, socket, serverTLS, p.Draining(), handler))
	})
	return nil
}

func logListenError(p *process.Process, err error) {
	if err != nil {
		_ = level.Error(p.Logger()).Log("event", "calls", "error", err)
	}
}

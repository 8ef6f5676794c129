// Package operators starts the HTTPS server of the resource API.
package operators

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/document"
	"savorygap.example/lib/operator"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"
)

const headerTimeout = 5 * time.Second

// String returns the name of the step.
func String() string { return "operators" }

// Default does nothing; the step callers sets the default address.
func Default(*settings.Tree) {}

// Run starts the server. Clients need a certificate with the role operate or read.
func Run(p *process.Process) error {
	listener, err := net.Listen("tcp", p.Settings().Listen().Operators())
	if err != nil {
		return err
	}
	service := operator.NewService(p.Store(), p.Clock(), p.GossipAgent().OfferDocument)
	log := func(author, id string, revision document.Revision, err error) {
		_ = level.Info(p.Logger()).Log("event", "change", "author", author, "id", id, "revision", revision, "error", err)
	}
	api := operator.NewAPI(service, p.Clock(), p.GossipAgent().Current, func(ctx context.Context) operator.StatusForm { return collectStatus(ctx, p) }, log)
	server := &http.Server{
		Handler: api.Handler(), ReadHeaderTimeout: headerTimeout,
		TLSConfig: p.Credentials().ServerConfig([]certs.Role{certs.RoleOperate, certs.RoleRead}, "http/1.1"),
	}
	p.Go(api.Run)
	p.OnDrain(func(ctx context.Context) { _ = server.Shutdown(ctx) })
	p.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.ServeTLS(listener, "", ""); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(p.Logger()).Log("event", "operators", "error", err)
		}
	})
	return nil
}

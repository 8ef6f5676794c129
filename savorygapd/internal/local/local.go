// Package local starts the HTTP server for this host. It takes announcements of
// servers and serves health checks, metrics, profiles and the state dump.
package local

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"savorygap.example/lib/server"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"
	"savorygap.example/savorygapd/internal/statedump"
)

const (
	headerTimeout = 5 * time.Second
	dumpTimeout   = 5 * time.Second
)

// String returns the name of the step.
func String() string { return "local" }

// Default does nothing; the step callers sets the default address.
func Default(*settings.Tree) {}

// Run starts the server. It has neither TLS nor access control, so its address should
// be a loopback address.
func Run(p *process.Process) error {
	listener, err := net.Listen("tcp", p.Settings().Listen().Local())
	if err != nil {
		return err
	}
	for _, c := range []prometheus.Collector{
		newCollector(p), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := p.Metrics().Register(c); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/servers", server.Handler(p.ServerRegistry()))
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.Metrics(), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { serveReadiness(w, p) })
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) { serveDump(w, r, p) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	p.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(p.Logger()).Log("event", "local", "error", err)
		}
	})
	return nil
}

func serveReadiness(w http.ResponseWriter, p *process.Process) {
	if p.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, "the node is starting or draining", http.StatusServiceUnavailable)
}

func serveDump(w http.ResponseWriter, r *http.Request, p *process.Process) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(statedump.Collect(r.Context(), p))
}

// LogStateDump writes the state dump as one log line.
func LogStateDump(p *process.Process) {
	ctx, cancel := context.WithTimeout(p.Context(), dumpTimeout)
	defer cancel()
	_ = level.Info(p.Logger()).Log("event", "state dump", "state", statedump.Collect(ctx, p))
}

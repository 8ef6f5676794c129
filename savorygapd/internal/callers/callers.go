// Package callers serves HTTP to the callers of services.
package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/balance"
	"savorygap.example/lib/caller"
	"savorygap.example/lib/node"
	"savorygap.example/lib/outcome"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"
)

const (
	defaultHeaderBytes = 64 << 10
	defaultHeaderTime  = 10 * time.Second
	defaultConnections = 4096
	idleTimeout        = 2 * time.Minute
	defaultLinger      = time.Second
	defaultTimeout     = 30 * time.Second
)

// String names the step.
func String() string { return "callers" }

// Default fills the settings.
func Default(t *settings.Tree) {
	t.SetListen("127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003", "127.0.0.1:7004")
	t.SetBounds(defaultHeaderBytes, defaultHeaderTime, defaultConnections)
	t.SetDrain(defaultLinger, defaultTimeout)
}

// Run starts the listener for HTTP/1.1 and HTTP/2, both in clear text.
func Run(p *process.Process) error {
	requestChart, err := p.Charts().Chart("request")
	if err != nil {
		return err
	}
	observe, err := observer(p)
	if err != nil {
		return err
	}
	t := p.Settings()
	listener, err := net.Listen("tcp", t.Listen().Callers())
	if err != nil {
		return err
	}
	handler := caller.NewHandler(p.Clock(), requestChart, p.Router(), run(p), observe)
	server := NewServer(t.Bounds(), whenReady(p, handler))
	p.OnDrain(func(ctx context.Context) { _ = server.Shutdown(ctx) })
	p.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(caller.LimitListener(listener, t.Bounds().Connections())); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(p.Logger()).Log("event", "callers", "error", err)
		}
	})
	return nil
}

// NewServer returns the HTTP server for callers, in clear text over HTTP/1.1 and
// HTTP/2, with the bounds in the settings.
func NewServer(b settings.Bounds, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: b.HeaderBytes(),
		ReadHeaderTimeout: b.HeaderTime(), IdleTimeout: idleTimeout,
	}
}

// whenReady refuses requests as not run until a configuration is in force.
func whenReady(p *process.Process, next http.Handler) http.Handler {
	opened := make(chan struct{})
	p.Go(func(ctx context.Context) {
		for ctx.Err() == nil && !p.Ready() {
			select {
			case <-ctx.Done():
			case <-p.Clock().After(10 * time.Millisecond):
			}
		}
		close(opened)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-opened:
			next.ServeHTTP(w, r)
		default:
			caller.WriteNotReady(w)
		}
	})
}

// run makes attempts at this host directly and at others through the client.
func run(p *process.Process) caller.AttemptFunc {
	here := p.Settings().Host()
	return func(ctx context.Context, t balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		if t.ID().Node() == here {
			return p.Runner().Attempt(ctx, c, body)
		}
		answer, err := p.Client().Attempt(ctx, node.NewPeer(t.ID().Node(), t.PeerAddress()), c, body)
		if notRun, ok := outcome.AsNotRun(err); ok && notRun.Reason() == node.ReasonConnect {
			p.Control().ReportUnreachable(t.ID().Node())
		}
		return answer, err
	}
}

func observer(p *process.Process) (func(caller.RequestSummary), error) {
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "savorygap_requests_total", Help: "Requests of callers that ended.",
	}, []string{"service", "class", "state"})
	seconds := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "savorygap_request_seconds", Help: "Time that requests of callers took.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
	}, []string{"service", "class"})
	attempts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "savorygap_attempts_total", Help: "Attempts made for requests of callers.",
	}, []string{"service"})
	for _, c := range []prometheus.Collector{requests, seconds, attempts} {
		if err := p.Metrics().Register(c); err != nil {
			return nil, err
		}
	}
	return func(e caller.RequestSummary) {
		requests.WithLabelValues(e.Service(), e.Class().String(), string(e.State())).Inc()
		seconds.WithLabelValues(e.Service(), e.Class().String()).Observe(e.Duration().Seconds())
		attempts.WithLabelValues(e.Service()).Add(float64(e.Attempts()))
		logEnded(p, e)
	}, nil
}

// logEnded logs a request that was not answered; answered ones are logged at
// the level debug.
func logEnded(p *process.Process, e caller.RequestSummary) {
	logger := level.Debug(p.Logger())
	if e.State() != "answered" {
		logger = level.Info(p.Logger())
	}
	_ = logger.Log("event", "request", "requestId", e.RequestID(), "service", e.Service(), "class", e.Class(),
		"method", e.Method(), "state", e.State(), "status", e.Status(), "attempts", e.Attempts(),
		"millis", e.Duration().Milliseconds(), "reason", e.Reason())
}

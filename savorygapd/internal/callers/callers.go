// Package callers starts the HTTP server for the callers of services.
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
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultMaxConnections = 4096
	idleTimeout           = 2 * time.Minute
	defaultAcceptPeriod   = time.Second
	defaultDrainTimeout   = 30 * time.Second
)

// String returns the name of the step.
func String() string { return "callers" }

// Default sets the addresses of all listeners, the limits on callers and the drain
// periods, unless they are set.
func Default(t *settings.Tree) {
	t.SetListen("127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003", "127.0.0.1:7004")
	t.SetCallerLimits(defaultMaxHeaderBytes, defaultHeaderTimeout, defaultMaxConnections)
	t.SetDrain(defaultAcceptPeriod, defaultDrainTimeout)
}

// Run starts the server. Draining shuts it down, which waits for open requests.
func Run(p *process.Process) error {
	requestChart, err := p.Charts().Chart("request")
	if err != nil {
		return err
	}
	observe, err := newObserver(p)
	if err != nil {
		return err
	}
	t := p.Settings()
	listener, err := net.Listen("tcp", t.Listen().Callers())
	if err != nil {
		return err
	}
	handler := caller.NewHandler(p.Clock(), requestChart, p.Router(), newAttemptFunc(p), observe)
	server := NewServer(t.CallerLimits(), refuseUntilReady(p, handler))
	p.OnDrain(func(ctx context.Context) { _ = server.Shutdown(ctx) })
	p.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(caller.LimitListener(listener, t.CallerLimits().MaxConnections())); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(p.Logger()).Log("event", "callers", "error", err)
		}
	})
	return nil
}

// NewServer returns an HTTP server with the given limits. It speaks HTTP/1.1 and
// HTTP/2, both without TLS.
func NewServer(limits settings.CallerLimits, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: limits.MaxHeaderBytes(),
		ReadHeaderTimeout: limits.HeaderTimeout(), IdleTimeout: idleTimeout,
	}
}

// refuseUntilReady answers requests with the outcome "not run" until the process is
// ready.
func refuseUntilReady(p *process.Process, next http.Handler) http.Handler {
	ready := make(chan struct{})
	p.Go(func(ctx context.Context) {
		for ctx.Err() == nil && !p.Ready() {
			select {
			case <-ctx.Done():
			case <-p.Clock().After(10 * time.Millisecond):
			}
		}
		close(ready)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-ready:
			next.ServeHTTP(w, r)
		default:
			caller.WriteNotReady(w)
		}
	})
}

// newAttemptFunc returns a function that runs an attempt on a server of this host
// directly, and on any other server through the node of its host. It reports nodes
// that cannot be reached to the gossip agent, which probes them at once.
func newAttemptFunc(p *process.Process) caller.AttemptFunc {
	localHost := p.Settings().Host()
	return func(ctx context.Context, t balance.Target, c attempt.Call, body io.Reader) (*attempt.Response, error) {
		if t.ID().Node() == localHost {
			return p.Runner().Attempt(ctx, c, body)
		}
		response, err := p.Client().Attempt(ctx, node.NewPeer(t.ID().Node(), t.PeerAddress()), c, body)
		if notRun, ok := outcome.AsNotRun(err); ok && notRun.Reason() == node.ReasonConnect {
			p.GossipAgent().ReportUnreachable(t.ID().Node())
		}
		return response, err
	}
}

// newObserver registers the metrics of requests and returns a function that records
// an ended request in the metrics and the log.
func newObserver(p *process.Process) (func(caller.RequestSummary), error) {
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
	return func(s caller.RequestSummary) {
		requests.WithLabelValues(s.Service(), s.Class().String(), string(s.State())).Inc()
		seconds.WithLabelValues(s.Service(), s.Class().String()).Observe(s.Duration().Seconds())
		attempts.WithLabelValues(s.Service()).Add(float64(s.Attempts()))
		logRequest(p, s)
	}, nil
}

// logRequest logs an ended request, at level debug if it was answered and at level
// info otherwise.
func logRequest(p *process.Process, s caller.RequestSummary) {
	logger := level.Debug(p.Logger())
	if s.State() != "answered" {
		logger = level.Info(p.Logger())
	}
	_ = logger.Log("event", "request", "requestId", s.RequestID(), "service", s.Service(), "class", s.Class(),
		"method", s.Method(), "state", s.State(), "status", s.Status(), "attempts", s.Attempts(),
		"millis", s.Duration().Milliseconds(), "reason", s.Reason())
}

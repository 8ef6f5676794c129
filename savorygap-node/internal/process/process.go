// Package process holds the state that the steps of a node share, and runs the life
// cycle of the process according to the chart "process".
//
// # Usage
//
//	p, err := process.New(tree, os.Stdout, clock)
//	err = pipeline.Run(p)
//	p.Wait(signals, reload)
package process

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/dispatch"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/frontend"
	"savorygap.example/lib/quota/controller"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout/control"
	"savorygap.example/lib/serverproxy"
	"savorygap.example/lib/upstream"
	"savorygap.example/savorygap-node/internal/metrics"
	"savorygap.example/savorygap-node/internal/settings"
)

// headerTimeout limits reading a request header on the HTTP servers for
// announcements, readiness and metrics.
const headerTimeout = 2 * time.Second

// Process holds the state that the steps share.
type Process struct {
	settings          *settings.Tree
	clock             clockwork.Clock
	log               *eventlog.Log
	logOutput         io.Writer
	charts            *chart.Set
	metrics           *metrics.Metrics
	requestMemory     *upstream.BodyMemory
	responseMemory    *upstream.BodyMemory
	store             *registry.Store
	registrar         *registry.Registrar
	watcher           *registry.Watcher
	router            *dispatch.Router
	serverProxy       *serverproxy.Proxy
	fleet             *fleet.Fleet
	quotas            *controller.Controller
	rollouts          *control.Controller // nil unless rollouts are followed
	frontend          *frontend.Frontend
	callerListener    net.Listener
	machine           *chart.Machine
	events            chan chart.Event
	readinessRequests chan chan readiness
	ctx               context.Context
	cancel            context.CancelFunc
	logCtx            context.Context
	logCancel         context.CancelFunc
	startedAt         time.Time
	draining          *drainState
}

// New returns a process with the given settings that writes its log to w.
func New(tree *settings.Tree, w io.Writer, clock clockwork.Clock) (*Process, error) {
	charts, err := chart.Embedded()
	if err != nil {
		return nil, err
	}
	p := &Process{
		settings: tree, clock: clock, logOutput: w, charts: charts, metrics: metrics.New(), requestMemory: upstream.NewBodyMemory(tree.BodyMemory()), responseMemory: upstream.NewBodyMemory(tree.BodyMemory()),
		log: eventlog.New(w, clock, tree.Host()), startedAt: clock.Now(),
		events: make(chan chart.Event, eventBuffer), readinessRequests: make(chan chan readiness),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.logCtx, p.logCancel = context.WithCancel(context.Background())
	return p, p.startStateMachine()
}

// Settings returns the settings.
func (p *Process) Settings() *settings.Tree { return p.settings }

// Clock returns the clock.
func (p *Process) Clock() clockwork.Clock { return p.clock }

// Log returns the log.
func (p *Process) Log() *eventlog.Log { return p.log }

// LogContext returns a context that ends after all others, so that the last lines
// of each task are written.
func (p *Process) LogContext() context.Context { return p.logCtx }

// Charts returns the state charts.
func (p *Process) Charts() *chart.Set { return p.charts }

// Metrics returns the metrics.
func (p *Process) Metrics() *metrics.Metrics { return p.metrics }

// RequestMemory returns the memory for the bodies of all requests.
func (p *Process) RequestMemory() *upstream.BodyMemory { return p.requestMemory }

// ResponseMemory returns the memory for the bodies of all responses.
func (p *Process) ResponseMemory() *upstream.BodyMemory { return p.responseMemory }

// Store returns the platform's store.
func (p *Process) Store() *registry.Store { return p.store }

// SetStore sets the platform's store and the tasks that watch it and maintain this
// node's entry in it.
func (p *Process) SetStore(s *registry.Store, r *registry.Registrar, w *registry.Watcher) {
	p.store, p.registrar, p.watcher = s, r, w
}

// Registrar returns the task that maintains this node's entry in the store.
func (p *Process) Registrar() *registry.Registrar { return p.registrar }

// Watcher returns the task that watches the store.
func (p *Process) Watcher() *registry.Watcher { return p.watcher }

// Router returns the task that selects servers.
func (p *Process) Router() *dispatch.Router { return p.router }

// SetRouter sets the task that selects servers.
func (p *Process) SetRouter(r *dispatch.Router) { p.router = r }

// ServerProxy returns the task that manages the server on this host.
func (p *Process) ServerProxy() *serverproxy.Proxy { return p.serverProxy }

// SetServerProxy sets the task that manages the server on this host.
func (p *Process) SetServerProxy(s *serverproxy.Proxy) { p.serverProxy = s }

// Fleet returns the task that keeps the links to the other nodes.
func (p *Process) Fleet() *fleet.Fleet { return p.fleet }

// SetFleet sets the task that keeps the links to the other nodes.
func (p *Process) SetFleet(f *fleet.Fleet) { p.fleet = f }

// Quotas returns the task that applies the limits of tenants, nil without quotas.
func (p *Process) Quotas() *controller.Controller { return p.quotas }

// SetQuotas sets the task that applies the limits of tenants.
func (p *Process) SetQuotas(c *controller.Controller) { p.quotas = c }

// Rollouts returns the task that follows rollouts, or nil if they are not followed.
func (p *Process) Rollouts() *control.Controller { return p.rollouts }

// SetRollouts sets the task that follows rollouts.
func (p *Process) SetRollouts(c *control.Controller) { p.rollouts = c }

// SetFrontend sets the front end that serves callers, and its listener.
func (p *Process) SetFrontend(f *frontend.Frontend, listener net.Listener) {
	p.frontend, p.callerListener = f, listener
}

// Frontend returns the front end that serves callers.
func (p *Process) Frontend() *frontend.Frontend { return p.frontend }

// Context returns a context that ends when the process stops.
func (p *Process) Context() context.Context { return p.ctx }

// Go runs a task until the process stops.
func (p *Process) Go(run func(ctx context.Context)) { go run(p.ctx) }

// Serve serves a handler on an address until the process stops.
func (p *Process) Serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	errorLog := log.New(p.log.Writer("http-server"), "", 0)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: errorLog}
	go func() {
		<-p.ctx.Done()
		_ = server.Close()
	}()
	go func() {
		if err := server.Serve(listener); err != nil && p.ctx.Err() == nil {
			p.log.Write("server-failed", "address", address, "error", err.Error())
		}
	}()
	return nil
}

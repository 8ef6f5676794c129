// Package process holds the state that the steps of a node share, and runs the life
// cycle of the process after the chart "process".
//
// # Usage
//
//	p, err := process.New(tree, logger, clock)
//	err = pipeline.Run(p)
//	p.Wait(signals, dump)
package process

import (
	"context"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"savorygap.example/lib/certs"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/gossip"
	"savorygap.example/lib/idempotency"
	"savorygap.example/lib/node"
	"savorygap.example/lib/route"
	"savorygap.example/lib/server"
	"savorygap.example/lib/store"
	"savorygap.example/savorygapd/internal/settings"
)

// Process holds the state that the steps share. Each step sets its own part.
type Process struct {
	settings  *settings.Tree
	logger    kitlog.Logger
	clock     clockwork.Clock
	charts    *chart.Set
	metrics   *prometheus.Registry
	startedAt time.Time

	ctx       context.Context
	cancel    context.CancelFunc
	draining  chan struct{}
	taskEnded chan struct{}
	taskCount int

	credentials        *certs.Credentials
	router             *route.Router
	idempotencyTracker *idempotency.Tracker
	serverRegistry     *server.Registry
	runner             *server.Runner
	client             *node.Client
	gossipAgent        *gossip.Agent
	store              *store.Client

	faultLog          *faultLog
	machine           *chart.Machine
	events            chan chart.Event
	readinessRequests chan chan bool
	stopHooks         []func(ctx context.Context)
}

// New returns a process in the first state of its life cycle. Its only task is the
// one that keeps the recent faults.
func New(tree *settings.Tree, logger kitlog.Logger, clock clockwork.Clock) (*Process, error) {
	charts, err := chart.Embedded()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{
		settings: tree, logger: logger, clock: clock, charts: charts, metrics: prometheus.NewRegistry(),
		startedAt: clock.Now(), ctx: ctx, cancel: cancel, draining: make(chan struct{}),
		taskEnded: make(chan struct{}, maxTasks), events: make(chan chart.Event, eventBuffer), readinessRequests: make(chan chan bool),
	}
	p.faultLog = newFaultLog()
	p.Go(p.faultLog.run)
	return p, p.startStateMachine()
}

// Settings returns the settings.
func (p *Process) Settings() *settings.Tree { return p.settings }

// Logger returns the logger.
func (p *Process) Logger() kitlog.Logger { return p.logger }

// Clock returns the clock.
func (p *Process) Clock() clockwork.Clock { return p.clock }

// Charts returns the state charts.
func (p *Process) Charts() *chart.Set { return p.charts }

// Metrics returns the registry of the Prometheus metrics.
func (p *Process) Metrics() *prometheus.Registry { return p.metrics }

// StartedAt returns when the process started.
func (p *Process) StartedAt() time.Time { return p.startedAt }

// Context returns a context that ends when the process stops.
func (p *Process) Context() context.Context { return p.ctx }

// Draining returns a channel that is closed when the process stops accepting new
// requests.
func (p *Process) Draining() <-chan struct{} { return p.draining }

// Go starts a task, which must return when its context ends. Wait waits for all
// tasks.
func (p *Process) Go(run func(ctx context.Context)) {
	p.taskCount++
	go func() {
		run(p.ctx)
		p.taskEnded <- struct{}{}
	}()
}

// OnDrain adds a function that is called when the process drains. It must stop
// accepting new requests, and return when those in flight have ended or its context
// ends.
func (p *Process) OnDrain(stop func(ctx context.Context)) {
	p.stopHooks = append(p.stopHooks, stop)
}

// Credentials returns the certificates and the private key of the process.
func (p *Process) Credentials() *certs.Credentials { return p.credentials }

// SetCredentials sets the certificates and the private key of the process.
func (p *Process) SetCredentials(c *certs.Credentials) { p.credentials = c }

// Router returns the task that selects targets.
func (p *Process) Router() *route.Router { return p.router }

// SetRouter sets the task that selects targets.
func (p *Process) SetRouter(r *route.Router) { p.router = r }

// IdempotencyTracker returns the task that tracks idempotency keys.
func (p *Process) IdempotencyTracker() *idempotency.Tracker { return p.idempotencyTracker }

// SetIdempotencyTracker sets the task that tracks idempotency keys.
func (p *Process) SetIdempotencyTracker(t *idempotency.Tracker) { p.idempotencyTracker = t }

// ServerRegistry returns the task that tracks the servers of this host.
func (p *Process) ServerRegistry() *server.Registry { return p.serverRegistry }

// SetServerRegistry sets the task that tracks the servers of this host.
func (p *Process) SetServerRegistry(r *server.Registry) { p.serverRegistry = r }

// Runner returns the runner of attempts on the servers of this host.
func (p *Process) Runner() *server.Runner { return p.runner }

// SetRunner sets the runner of attempts on the servers of this host.
func (p *Process) SetRunner(r *server.Runner) { p.runner = r }

// Client returns the client for calls to other nodes.
func (p *Process) Client() *node.Client { return p.client }

// SetClient sets the client for calls to other nodes.
func (p *Process) SetClient(c *node.Client) { p.client = c }

// GossipAgent returns the task that exchanges membership and configuration with
// other nodes.
func (p *Process) GossipAgent() *gossip.Agent { return p.gossipAgent }

// SetGossipAgent sets the task that exchanges membership and configuration with
// other nodes.
func (p *Process) SetGossipAgent(a *gossip.Agent) { p.gossipAgent = a }

// Store returns the client of the platform's store.
func (p *Process) Store() *store.Client { return p.store }

// SetStore sets the client of the platform's store.
func (p *Process) SetStore(c *store.Client) { p.store = c }

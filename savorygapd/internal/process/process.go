// Package process holds what the steps of the pipeline share: the settings, the
// tasks that run, and the order in which they stop.
//
// # Usage
//
//	p, err := process.New(tree, logger, clock)
//	err = pipeline.Run(p)
//	err = p.Wait(signals)
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

// Process is one running node. Its parts are set by the steps in order.
type Process struct {
	settings *settings.Tree
	logger   kitlog.Logger
	clock    clockwork.Clock
	charts   *chart.Set
	metrics  *prometheus.Registry
	epoch    time.Time

	ctx      context.Context
	cancel   context.CancelFunc
	draining chan struct{}
	running  chan struct{}
	started  int

	ring     *certs.Credentials
	router   *route.Router
	ledger   *idempotency.Tracker
	registry *server.Registry
	runner   *server.Runner
	client   *node.Client
	control  *gossip.Agent
	store    *store.Client

	faults    *faultRecord
	machine   *chart.Machine
	signals   chan chart.Event
	ready     chan chan bool
	stopHooks []func(ctx context.Context)
}

// New returns a process without any task.
func New(tree *settings.Tree, logger kitlog.Logger, clock clockwork.Clock) (*Process, error) {
	charts, err := chart.Embedded()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{
		settings: tree, logger: logger, clock: clock, charts: charts, metrics: prometheus.NewRegistry(),
		epoch: clock.Now(), ctx: ctx, cancel: cancel, draining: make(chan struct{}),
		running: make(chan struct{}, maxTasks), signals: make(chan chart.Event, signalBuffer), ready: make(chan chan bool),
	}
	p.faults = newFaultRecord()
	p.Go(p.faults.run)
	return p, p.startMachine()
}

// Settings returns the settings.
func (p *Process) Settings() *settings.Tree { return p.settings }

// Logger returns the logger.
func (p *Process) Logger() kitlog.Logger { return p.logger }

// Clock returns the clock.
func (p *Process) Clock() clockwork.Clock { return p.clock }

// Charts returns the state charts.
func (p *Process) Charts() *chart.Set { return p.charts }

// Metrics returns the registry of metrics.
func (p *Process) Metrics() *prometheus.Registry { return p.metrics }

// Epoch returns when the process started.
func (p *Process) Epoch() time.Time { return p.epoch }

// Context ends when the process stops.
func (p *Process) Context() context.Context { return p.ctx }

// Draining is closed when the process takes no new work.
func (p *Process) Draining() <-chan struct{} { return p.draining }

// Go starts a task. The process waits for it when it stops.
func (p *Process) Go(run func(ctx context.Context)) {
	p.started++
	go func() {
		run(p.ctx)
		p.running <- struct{}{}
	}()
}

// OnDrain adds a function that stops taking new work and returns when what it
// took has finished, or when its context ends.
func (p *Process) OnDrain(stop func(ctx context.Context)) {
	p.stopHooks = append(p.stopHooks, stop)
}

// Ring returns the certificates.
func (p *Process) Ring() *certs.Credentials { return p.ring }

// SetRing sets the certificates.
func (p *Process) SetRing(r *certs.Credentials) { p.ring = r }

// Router returns the task that chooses targets.
func (p *Process) Router() *route.Router { return p.router }

// SetRouter sets the task that chooses targets.
func (p *Process) SetRouter(r *route.Router) { p.router = r }

// Ledger returns the task that remembers idempotency keys.
func (p *Process) Ledger() *idempotency.Tracker { return p.ledger }

// SetLedger sets the task that remembers idempotency keys.
func (p *Process) SetLedger(l *idempotency.Tracker) { p.ledger = l }

// Registry returns the task that knows the servers of this host.
func (p *Process) Registry() *server.Registry { return p.registry }

// SetRegistry sets the task that knows the servers of this host.
func (p *Process) SetRegistry(r *server.Registry) { p.registry = r }

// Runner returns what makes attempts at servers of this host.
func (p *Process) Runner() *server.Runner { return p.runner }

// SetRunner sets what makes attempts at servers of this host.
func (p *Process) SetRunner(r *server.Runner) { p.runner = r }

// Client returns what makes calls to peers.
func (p *Process) Client() *node.Client { return p.client }

// SetClient sets what makes calls to peers.
func (p *Process) SetClient(c *node.Client) { p.client = c }

// Control returns the task of the control traffic.
func (p *Process) Control() *gossip.Agent { return p.control }

// SetControl sets the task of the control traffic.
func (p *Process) SetControl(c *gossip.Agent) { p.control = c }

// Store returns the client of the platform's store.
func (p *Process) Store() *store.Client { return p.store }

// SetStore sets the client of the platform's store.
func (p *Process) SetStore(c *store.Client) { p.store = c }

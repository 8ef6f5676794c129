package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/catalogue"
	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/placement"
	"savorygap.example/lib/task"
)

const (
	inboxSize = 256
	// askAll is up to how many servers of a service are all asked for a place.
	askAll = 6
	// askSome is how many are asked of a larger service: the better half by what
	// is remembered, the rest at random.
	askSome = 5
	// rememberFor is how long a remembered cost says something.
	rememberFor = 300 * time.Millisecond
	// doubtFor is how long a peer that did not reply in time is left out.
	doubtFor = 300 * time.Millisecond
	// Costs of distance, against the slowness of servers. Bytes between data
	// centres are paid for, so a body adds to them, up to a bound.
	costHere       = 1.0
	costDataCentre = 1.02
	costFar        = 1.08
	costFarBody    = 0.5 / (60 << 10) // a byte
	costFarMost    = 0.6
)

// Errors that end a request before a place is sought.
var (
	// ErrNoConfiguration reports that no configuration is in force yet.
	ErrNoConfiguration = errors.New("no configuration is in force yet")
	// ErrStopping reports that the node is stopping.
	ErrStopping = errors.New("the node is stopping")
)

// NoRouteError reports a request that no route takes.
type NoRouteError struct {
	host    string
	path    string
	version uint64
}

// Error implements error.
func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route of host %q takes path %q in version %d", e.host, e.path, e.version)
}

// Config is what a router knows from the settings.
type Config struct {
	node       string
	service    string
	dataCentre string
	terms      Terms
}

// NewConfig returns the configuration of the router of a node beside a server of
// service.
func NewConfig(node, service, dataCentre string, terms Terms) Config {
	return Config{node: node, service: service, dataCentre: dataCentre, terms: terms}
}

// Observer receives what a router measures. Its fields are seams.
type Observer struct {
	ended   func(route, outcome string, took time.Duration)
	retried func(service string)
}

// NewObserver returns an observer made of two functions.
func NewObserver(ended func(route, outcome string, took time.Duration), retried func(service string)) Observer {
	return Observer{ended: ended, retried: retried}
}

// Router is the task that owns what is known of routes, servers and budgets.
type Router struct {
	config    Config
	clock     clockwork.Clock
	log       *eventlog.Log
	observe   Observer
	inbox     *task.Inbox[message]
	chart     *chart.Chart
	situation fleet.Snapshot
	local     *server
	servers   map[string][]*server
	spread    map[string]*spreader
	budgets   map[string]*budget
	usual     map[string]time.Duration
	nodes     int
	asks      atomic.Uint64
	active    atomic.Int64
}

// server is one server as this node sees it.
type server struct {
	node       string
	dataCentre string
	open       bool
	port       *placement.Port
	cost       float64
	costAt     time.Time
	doubtUntil time.Time
}

type planMessage struct {
	host  string
	path  string
	reply task.Reply[planned]
}

type planned struct {
	plan plan
	err  error
}

type moreMessage struct {
	service string
	tried   []string
	reply   task.Reply[[]candidate]
}

type spendMessage struct {
	service string
	reply   task.Reply[bool]
}

type localMessage struct {
	service string
	open    bool
	port    *placement.Port
}

// NewRouter returns a router.
func NewRouter(config Config, charts *chart.Set, clock clockwork.Clock, log *eventlog.Log, observe Observer) (*Router, error) {
	requests, err := charts.Chart("request")
	if err != nil {
		return nil, err
	}
	return &Router{
		config: config, clock: clock, log: log, observe: observe, inbox: task.NewInbox[message](inboxSize), chart: requests,
		servers: map[string][]*server{}, spread: map[string]*spreader{}, budgets: map[string]*budget{}, usual: map[string]time.Duration{}, nodes: 1,
	}, nil
}

// Run serves messages until ctx ends.
func (r *Router) Run(ctx context.Context) { r.inbox.Run(ctx, r.handle) }

// SetSituation puts a configuration in force.
func (r *Router) SetSituation(s fleet.Snapshot) { r.inbox.Send(message{situation: &s}) }

// SetPeers replaces the other nodes.
func (r *Router) SetPeers(peers []fleet.Peer) { r.inbox.Send(message{peers: &peers}) }

// SetLocal tells which service the server beside this node serves, and whether it
// gets work.
func (r *Router) SetLocal(service string, open bool, port *placement.Port) {
	r.inbox.Send(message{local: &localMessage{service: service, open: open, port: port}})
}

// SetNodes tells how many nodes share the budgets.
func (r *Router) SetNodes(count int) { r.inbox.Send(message{nodes: &count}) }

// Active returns how many requests are under way.
func (r *Router) Active() int { return int(r.active.Load()) }

// Dump returns the state of the router.
func (r *Router) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !r.inbox.Send(message{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, r.inbox.Done())
	return d
}

func (r *Router) handle(m message) {
	switch {
	case m.plan != nil:
		p, err := r.plan(m.plan.host, m.plan.path)
		m.plan.reply <- planned{plan: p, err: err}
	case m.more != nil:
		m.more.reply <- r.candidates(m.more.service, m.more.tried)
	case m.spend != nil:
		m.spend.reply <- r.spend(m.spend.service)
	case m.learned != nil:
		r.learn(m.learned)
	case m.took != nil:
		r.learnTook(m.took)
	case m.situation != nil:
		r.situation = *m.situation
		r.spread = map[string]*spreader{}
	case m.peers != nil:
		r.setPeers(*m.peers)
	case m.local != nil:
		r.setLocal(m.local)
	case m.nodes != nil:
		r.nodes = *m.nodes
	case m.dump != nil:
		m.dump <- r.dump()
	}
}

func (r *Router) dump() Dump {
	d := Dump{version: r.situation.Version(), servers: map[string][]string{}, tokens: map[string]float64{}}
	for service, list := range r.servers {
		for _, s := range list {
			if s.open && !r.situation.Evacuated(s.dataCentre) {
				d.servers[service] = append(d.servers[service], s.node)
			}
		}
	}
	for service, b := range r.budgets {
		d.tokens[service] = b.tokens
	}
	return d
}

func (r *Router) plan(host, path string) (plan, error) {
	if r.situation.Config() == nil {
		return plan{}, ErrNoConfiguration
	}
	route, ok := r.situation.Config().Match(host, path)
	if !ok {
		return plan{}, &NoRouteError{host: host, path: path, version: r.situation.Version()}
	}
	key := routeKey(route)
	if r.spread[key] == nil {
		r.spread[key] = &spreader{}
	}
	service := r.spread[key].next(route.Shares())
	r.budget(service).earn(r.clock.Now(), r.config.terms, r.nodes, 1)
	return plan{route: route, service: service, version: r.situation.Version(), usual: r.usual[key], candidates: r.candidates(service, nil)}, nil
}

func routeKey(route *catalogue.Route) string { return route.Host() + route.Prefix() }

// learnTook keeps the mean time that servers take for a route's requests.
func (r *Router) learnTook(m *tookMessage) {
	usual, ok := r.usual[m.key]
	if !ok {
		r.usual[m.key] = m.took
		return
	}
	took := min(m.took, time.Duration(outlier*float64(usual)))
	r.usual[m.key] = usual + time.Duration(usualWeight*float64(took-usual))
}

func (r *Router) budget(service string) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{}
		r.budgets[service] = b
	}
	return b
}

func (r *Router) spend(service string) bool {
	b := r.budget(service)
	b.earn(r.clock.Now(), r.config.terms, r.nodes, 0)
	return b.spend()
}

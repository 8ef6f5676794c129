package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/fleet"
	"savorygap.example/lib/hedge"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/quota/controller"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	inboxSize = 256 // messages
	// maxUnsampled is the largest number of servers of a service that are all
	// asked for a slot.
	maxUnsampled = 6
	// sampleSize is how many servers are asked when a service has more.
	sampleSize = 5
	// costTTL is how long the last known cost of a server is used.
	costTTL = 300 * time.Millisecond
	// suspicionDuration is how long a server that did not reply in time is
	// avoided.
	suspicionDuration = 300 * time.Millisecond
	// Factors by which distance multiplies the cost that a server reports.
	// Traffic between data centres is billed, so the size of the body raises
	// the factor of a remote server, up to a bound.
	localFactor          = 1.0
	sameDataCentreFactor = 1.02
	remoteFactor         = 1.08
	remoteFactorPerByte  = 0.5 / (60 << 10)
	maxRemoteBodyFactor  = 0.6
)

// Errors that end a request before it is sent to any server.
var (
	// ErrNoConfiguration reports that no configuration is in force yet.
	ErrNoConfiguration = errors.New("no configuration is in force yet")
	// ErrStopping reports that the node is stopping.
	ErrStopping = errors.New("the node is stopping")
	// ErrNoPlan reports that the router could not plan a call.
	ErrNoPlan = errors.New("the request could not be planned")
)

// NoRouteError reports a request that matches no route.
type NoRouteError struct {
	host    string
	path    string
	version uint64
}

// Error implements error.
func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route of host %q takes path %q in version %d", e.host, e.path, e.version)
}

// Config holds the settings of a router.
type Config struct {
	node        string
	service     string
	dataCentre  string
	retryLimits RetryLimits
	tenants     tenantSettings
	// farRoundTrip is the round-trip time above which a data centre is far, 0 for none.
	farRoundTrip time.Duration
	// See WithDownstream; nil without downstream admission.
	callingRun     func(ctx context.Context, id, service string) (route string, priority int, ok bool)
	reportPressure func(route, service string, pressure float64)

	hedgingShare    float64
	hedgingQuantile float64
	// See WithNesting.
	isNestedIn func(id, parent string) bool
}

// NewConfig returns the settings of the router on a node next to a server of
// service.
func NewConfig(node, service, dataCentre string, retryLimits RetryLimits) Config {
	return Config{node: node, service: service, dataCentre: dataCentre, retryLimits: retryLimits, tenants: defaultTenantSettings(), isNestedIn: func(string, string) bool { return false }}
}

// Observer receives the measurements of a router.
type Observer struct {
	requestEnded func(route, outcome string, took time.Duration)
	retried      func(service string)
	cleared      func(r quarantine.Record)
	searched     func(service, scope string)
	hedged       func(service, event, reason string)
}

// NewObserver returns an observer: requestEnded is called when a call ends,
// retried for each retry and hedge, and cleared when a server has finished a request under
// which others had ended. None of them may block.
func NewObserver(requestEnded func(route, outcome string, took time.Duration), retried func(service string), cleared func(quarantine.Record)) Observer {
	return Observer{requestEnded: requestEnded, retried: retried, cleared: cleared, hedged: func(string, string, string) {}}
}

// Router is the task that owns the routes, the servers and the retry budgets.
type Router struct {
	config            Config
	clock             clockwork.Clock
	log               *eventlog.Log
	observer          Observer
	inbox             *task.Inbox[message]
	requestChart      *chart.Chart
	snapshot          fleet.Snapshot
	inForce           atomic.Pointer[routeconfig.Config] // that of snapshot
	stop              atomic.Pointer[stopTimes]
	stopping          chan struct{} // closed once stop is set
	local             *server
	servers           map[string][]*server
	selectors         map[string]*weightedSelector
	budgets           map[string]*budget
	meanLatencies     map[string]time.Duration
	ledger            *quarantine.Ledger
	distances         *distances
	held              atomic.Pointer[holds]
	ambiguous         atomic.Pointer[holds] // since when, rather than until when
	versions          versions
	hedging           *hedge.Controller // nil unless the settings limit hedges
	nodeCount         int               // that share the retry budgets, 0 while unknown
	lastRequestNumber atomic.Uint64
	active            atomic.Int64
	beginClaim        func(tenant string) controller.Claim // nil without quotas
}

// server is the router's record of one server: its last published state, the
// cost that it last replied with, and until when it is suspected.
type server struct {
	node          string
	dataCentre    string
	accepting     bool
	endpoint      *upstream.Endpoint
	cost          float64
	costUpdatedAt time.Time
	suspectUntil  time.Time
	instance      string
	release       string // version, "" if unknown
}

// NewRouter returns a router whose requests follow the chart "request" of
// charts.
func NewRouter(config Config, charts *chart.Set, clock clockwork.Clock, log *eventlog.Log, observer Observer) (*Router, error) {
	requestChart, err := charts.Chart("request")
	if err != nil {
		return nil, err
	}
	ledger, err := quarantine.NewLedger(charts)
	if err != nil {
		return nil, err
	}
	r := &Router{
		config: config, clock: clock, log: log, observer: observer, inbox: task.NewInbox[message](inboxSize), requestChart: requestChart, stopping: make(chan struct{}),
		servers: map[string][]*server{}, selectors: map[string]*weightedSelector{}, budgets: map[string]*budget{}, meanLatencies: map[string]time.Duration{},
		ledger: ledger, distances: newDistances(config.farRoundTrip), hedging: newHedging(config),
	}
	r.held.Store(&holds{})
	r.ambiguous.Store(&holds{})
	return r, nil
}

// Run serves messages until ctx ends.
func (r *Router) Run(ctx context.Context) {
	r.inbox.Run(ctx, task.Guard(r.handle, func(m message, e *task.PanicError) {
		m.abandon()
		r.log.WritePanic("router", e)
	}))
}

// SetSnapshot sets the configuration in force and the data centres that are out
// of service.
func (r *Router) SetSnapshot(s fleet.Snapshot) { r.inbox.Send(message{snapshot: &s}) }

// SetPeers replaces the list of other nodes.
func (r *Router) SetPeers(peers []fleet.Peer) { r.inbox.Send(message{peers: &peers}) }

// SetLocalServer sets the service of the server on this host, and whether the
// server accepts requests.
func (r *Router) SetLocalServer(service string, accepting bool, endpoint *upstream.Endpoint) {
	r.inbox.Send(message{localServer: &localServerMessage{service: service, accepting: accepting, endpoint: endpoint}})
}

// SetNodeCount sets the number of nodes that share the retry budgets. Before, this node
// has no part of the minimum of retries.
func (r *Router) SetNodeCount(count int) { r.inbox.Send(message{nodeCount: &count}) }

// StopAt announces that the process ends. A call that may outlive it is then refused at
// once if it is read after lastAccepted, and otherwise once no server could start on it
// early enough, also while it waits for a slot: an answer that it was not run lets the
// caller go elsewhere, which a closed connection does not.
func (r *Router) StopAt(lastAccepted time.Time, shutdown upstream.Shutdown) {
	r.inbox.Send(message{stop: &stopTimes{lastAccepted: lastAccepted, shutdown: shutdown}})
}

// ActiveRequests returns the number of requests in progress.
func (r *Router) ActiveRequests() int { return int(r.active.Load()) }

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
		p, err := r.planCall(m.plan.call)
		m.plan.reply <- planResult{plan: p, err: err}
	case m.candidates != nil:
		if m.candidates.trial != 0 {
			m.candidates.reply <- r.trialCandidate(m.candidates)
			return
		}
		m.candidates.reply <- r.candidates(m.candidates.service, m.candidates.latency, m.candidates.exclude, m.candidates.release)
	case m.retry != nil:
		m.retry.reply <- r.spendRetry(m.retry.service)
	case m.observation != nil:
		r.recordObservation(m.observation)
	case m.searched != nil:
		r.recordSearch(m.searched)
	case m.latency != nil:
		r.recordLatency(m.latency)
		r.recordSuccess(m.latency.fingerprint)
	case m.snapshot != nil:
		r.snapshot = *m.snapshot
		r.inForce.Store(r.snapshot.Config())
		r.selectors = map[string]*weightedSelector{}
	case m.peers != nil:
		r.setPeers(*m.peers)
	case m.localServer != nil:
		r.setLocalServer(m.localServer)
	case m.nodeCount != nil:
		r.nodeCount = *m.nodeCount
	case m.stop != nil:
		r.setStop(m.stop)
	case m.versions != nil:
		r.handleVersions(m.versions)
	case m.suspicions != nil:
		r.applySuspicions(m.suspicions)
	case m.hedging != nil && r.hedging != nil:
		r.handleHedging(m.hedging)
	case m.dump != nil:
		m.dump <- r.dump()
	}
}

// setStop records when the process ends and wakes the calls that wait for a slot.
func (r *Router) setStop(s *stopTimes) {
	if r.stop.Swap(s) == nil {
		close(r.stopping)
	}
}

func (r *Router) dump() Dump {
	d := Dump{version: r.snapshot.Version(), servers: map[string][]string{}, retryTokens: map[string]float64{}}
	for service, list := range r.servers {
		for _, s := range list {
			if s.accepting && !r.snapshot.Evacuated(s.dataCentre) {
				d.servers[service] = append(d.servers[service], s.node)
			}
		}
	}
	for service, b := range r.budgets {
		d.retryTokens[service] = b.tokens
	}
	return d
}

// planCall matches a call to its route, chooses the service, credits the
// service's retry budget, and selects the servers to ask for a slot.
func (r *Router) planCall(c Call) (plan, error) {
	config := r.snapshot.Config()
	if config == nil {
		return plan{}, ErrNoConfiguration
	}
	route, ok := config.Match(c.request.Host(), c.path)
	if !ok {
		return plan{}, &NoRouteError{host: c.request.Host(), path: c.path, version: r.snapshot.Version()}
	}
	tenant, nested, err := r.authenticate(config, route, c)
	if err != nil {
		return plan{route: route, version: r.snapshot.Version()}, err
	}
	key := routeKey(route)
	if r.selectors[key] == nil {
		r.selectors[key] = &weightedSelector{}
	}
	service := r.selectors[key].next(route.Services())
	r.budget(service).deposit(r.clock.Now(), r.config.retryLimits, r.nodeCount, 1)
	p := plan{
		route: route, service: service, version: r.snapshot.Version(), meanLatency: r.meanLatencies[key],
		tenant: tenant, config: config, nested: nested,
	}
	p.release, p.canary = r.chooseRelease(service)
	p.candidates = r.candidates(service, p.meanLatency, nil, p.release)
	return r.limitHedges(p, key), nil
}

// routeKey identifies a route across versions of the configuration.
func routeKey(route *routeconfig.Route) string { return route.Host() + route.Prefix() }

// recordLatency updates the moving average of a route's latency.
func (r *Router) recordLatency(m *latencyMessage) {
	if r.hedging != nil {
		r.hedging.RecordLatency(r.clock.Now(), m.route, m.latency)
	}
	mean, ok := r.meanLatencies[m.route]
	if !ok {
		r.meanLatencies[m.route] = m.latency
		return
	}
	latency := min(m.latency, time.Duration(outlierFactor*float64(mean)))
	r.meanLatencies[m.route] = mean + time.Duration(latencyWeight*float64(latency-mean))
}

func (r *Router) budget(service string) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{}
		r.budgets[service] = b
	}
	return b
}

// spendRetry takes a retry from the service's budget. It reports false if the
// budget allows none.
func (r *Router) spendRetry(service string) bool {
	b := r.budget(service)
	b.deposit(r.clock.Now(), r.config.retryLimits, r.nodeCount, 0)
	return b.tryWithdraw()
}

package serverproxy

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	inboxSize = 256 // messages
	// tickInterval is how often reservations and queued requests are checked
	// for expiry.
	tickInterval = 10 * time.Millisecond
	// pauseThreshold is the time between two ticks above which this process is taken to
	// have been paused: what it knows of the server is then out of date.
	pauseThreshold = 2 * time.Second

	eventAnnounced   chart.Event = "announced"
	eventSound       chart.Event = "sound"
	eventUnreachable chart.Event = "unreachable"
	eventRecheck     chart.Event = "recheck"
	eventDrain       chart.Event = "drain"
	eventLeave       chart.Event = "leave"
	eventIn          chart.Event = "in"
	eventOut         chart.Event = "out"

	tagAdmitting  chart.Tag = "admitting"
	tagChecking   chart.Tag = "checking"
	tagRefreshing chart.Tag = "refreshing"
	tagOpen       chart.Tag = "open"
)

// Snapshot is the part of the current configuration that a proxy uses.
type Snapshot struct {
	config    *routeconfig.Config
	evacuated bool
	version   uint64
}

// NewSnapshot returns a snapshot of configuration version. evacuated states
// whether the server's data centre is out of service.
func NewSnapshot(config *routeconfig.Config, evacuated bool, version uint64) Snapshot {
	return Snapshot{config: config, evacuated: evacuated, version: version}
}

// ServerState is the server's state as published to other nodes.
type ServerState struct {
	service   string
	instance  string
	accepting bool
	release   string
}

// Service returns the name of the service.
func (s ServerState) Service() string { return s.service }

// Instance returns the instance ID.
func (s ServerState) Instance() string { return s.instance }

// Accepting reports whether the server accepts new requests.
func (s ServerState) Accepting() bool { return s.accepting }

// Proxy is the task that manages one server.
type Proxy struct {
	config      Config
	clock       clockwork.Clock
	log         *eventlog.Log
	inbox       *task.Inbox[message]
	lifecycle   *chart.Machine
	dataCentre  *chart.Machine
	slotLimiter *limiter.Limiter
	starts      *startLimits
	latest      Announcement
	instance    string
	// announced is whether the instance has announced itself to this node, as
	// opposed to having only answered a health check.
	announced bool
	service   routeconfig.Service
	snapshot  Snapshot
	requests  map[limiter.Key]pendingRequest
	forwarded map[limiter.Key]*forwardedRequest
	inFlight  atomic.Int64
	running   atomic.Pointer[[]string] // see publishRunning
	idleConns []*httpclient.Conn
	// departures maps the IDs of departing instances to their start times.
	departures map[string]int64
	health     healthSchedule
	stated     statedLimit
	// generation counts the instances that this node has known, so that a response is
	// attributed to the instance that sent it.
	generation uint64
	losses     lossRecord
	// leaving is whether the instance has stated in a response that it leaves.
	leaving     bool
	meanLatency time.Duration
	lastTickAt  time.Time
	// shutdown is when the process ends, zero unless it stops.
	shutdown  upstream.Shutdown
	hooks     Hooks
	observer  Observer
	published ServerState
	admission rollout.Admission
	recalled  *recalledServer // nil without rollouts
}

// Observer receives measurements through its function fields.
type Observer struct {
	served        func(service string, outcome string, took time.Duration)
	healthChecked func()
	dialled       func()
	allowance     func(route string, share float64)
}

// NewObserver returns an observer. served is called for each finished request,
// healthChecked for each health check and dialled for each new connection.
func NewObserver(served func(service, outcome string, took time.Duration), healthChecked, dialled func()) Observer {
	return Observer{served: served, healthChecked: healthChecked, dialled: dialled}
}

// Hooks are the functions through which a proxy's task notifies the node. They must not
// block.
type Hooks struct {
	stateChanged func(ServerState)
	leaving      func(instance string, startedAt int64)
	ended        func(instance string, requests []quarantine.Fingerprint, told func())
	hedge        func(*upstream.Request)
}

// NewHooks returns hooks. stateChanged is called whenever the published state changes,
// and leaving when an instance states in a response that it leaves; startedAt is its
// start time in Unix milliseconds. ended is called when an instance has ended, with the
// requests that it was at work on. It must have told called, from another goroutine, when
// all nodes know: the requests are not sent to another server before.
func NewHooks(stateChanged func(ServerState), leaving func(instance string, startedAt int64), ended func(instance string, requests []quarantine.Fingerprint, told func())) Hooks {
	return Hooks{stateChanged: stateChanged, leaving: leaving, ended: ended, hedge: func(*upstream.Request) {}}
}

// WithHedges returns the hooks with a function that is called, from the task that submits
// it, for each request that is a hedge.
func (h Hooks) WithHedges(hedge func(*upstream.Request)) Hooks {
	h.hedge = hedge
	return h
}

// pendingRequest is a slot request together with the function that receives its
// events.
type pendingRequest struct {
	request  upstream.SlotRequest
	deadline time.Time // zero if unknown
	reply    func(upstream.Event)
}

// New returns a proxy.
func New(config Config, charts *chart.Set, clock clockwork.Clock, log *eventlog.Log, observer Observer, hooks Hooks) (*Proxy, error) {
	p := &Proxy{
		config: config, clock: clock, log: log, inbox: task.NewInbox[message](inboxSize),
		starts: newStartLimits(config), requests: map[limiter.Key]pendingRequest{}, forwarded: map[limiter.Key]*forwardedRequest{}, departures: map[string]int64{},
		hooks: hooks, observer: observer,
		published: ServerState{service: config.service},
	}
	p.slotLimiter = p.newLimiter(1)
	p.latest.service = config.service
	p.latest.address = config.address
	return p, p.startCharts(charts)
}

func (p *Proxy) startCharts(charts *chart.Set) error {
	serverChart, err := charts.Chart("place")
	if err != nil {
		return err
	}
	if p.lifecycle, err = serverChart.NewMachine(chart.Actions{"reset": p.reset, "deny": p.denyPending}); err != nil {
		return err
	}
	dataCentreChart, err := charts.Chart("datacentre")
	if err != nil {
		return err
	}
	p.dataCentre, err = dataCentreChart.NewMachine(chart.Actions{"suspendServers": p.denyPending, "resumeServers": p.recheck})
	return err
}

// admits reports whether new requests are admitted.
func (p *Proxy) admits() bool {
	return p.lifecycle.HasTag(tagAdmitting) && p.dataCentre.HasTag(tagOpen)
}

// unavailableReason returns why new requests are refused.
func (p *Proxy) unavailableReason() string {
	if !p.dataCentre.HasTag(tagOpen) {
		return "data centre out of service"
	}
	return fmt.Sprintf("server %s", p.lifecycle.State())
}

// reset discards the state of the previous instance.
func (p *Proxy) reset() {
	p.denyPending()
	p.slotLimiter = p.newLimiter(p.maxConcurrent())
	p.generation++
	p.leaving = false
	p.stated.set(p.clock.Now(), 0, false)
	p.closeIdleConns()
	p.health.resetState()
}

// denyPending refuses all queued requests and unused reservations.
func (p *Proxy) denyPending() {
	for _, d := range p.slotLimiter.DenyPending() {
		p.reportDecision(d)
	}
}

func (p *Proxy) recheck() { p.fireIfAccepted(eventRecheck) }

// fireIfAccepted fires an event if the current state has a transition for it.
// Otherwise the event carries no new information and is ignored.
func (p *Proxy) fireIfAccepted(e chart.Event) {
	if !p.lifecycle.Accepts(e) {
		return
	}
	from := p.lifecycle.State()
	if err := p.lifecycle.Fire(e); err != nil {
		p.log.Write("chart-error", "error", err.Error())
		return
	}
	if to := p.lifecycle.State(); to != from {
		p.log.Write("server-state", "from", from, "to", to, "cause", e, "instance", p.instance, "sequence", p.latest.sequence)
	}
}

func (p *Proxy) closeIdleConns() {
	for _, c := range p.idleConns {
		c.Close()
	}
	p.idleConns = nil
}

// Run processes messages until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	defer p.inbox.Close()
	ticker := p.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	p.health.start(ctx, p)
	p.publishState()
	handle := task.Guard(func(m message) { p.handle(ctx, m) }, func(m message, e *task.PanicError) {
		p.endAfterPanic(m)
		p.log.WritePanic("server-proxy", e)
	})
	tick := task.Guard(func(time.Time) { p.tick() }, func(_ time.Time, e *task.PanicError) { p.log.WritePanic("server-proxy", e) })
	for {
		select {
		case <-ctx.Done():
			p.closeIdleConns()
			return
		case m := <-p.inbox.Messages():
			handle(m)
		case now := <-ticker.Chan():
			tick(now)
		}
		p.publishState()
	}
}

// tick expires reservations, advances the queue and sends a health check when
// one is due.
func (p *Proxy) tick() {
	now := p.clock.Now()
	p.noticePause(now)
	p.lastTickAt = now
	p.refuseOutliving(now)
	p.judgeRunning(now)
	p.reportIfGathered(now)
	p.advanceQueue(now)
	p.health.checkIfDue(now, p)
	p.logSendRate(now)
}

// noticePause handles a pause of this process. The offers and slot requests from
// before it are void, and the server gets requests again after a health check: it may
// have turned cold, been replaced or left.
func (p *Proxy) noticePause(now time.Time) {
	pause := now.Sub(p.lastTickAt)
	if p.lastTickAt.IsZero() || pause < pauseThreshold {
		return
	}
	p.lastTickAt = now
	p.log.Write("paused", "lasted_ms", pause.Milliseconds(), "instance", p.instance)
	p.recheck()
}

func (p *Proxy) advanceQueue(now time.Time) {
	if !p.admits() {
		return
	}
	for _, d := range p.slotLimiter.Advance(now) {
		p.reportDecision(d)
	}
}

// publishState notifies the node if the published state has changed.
func (p *Proxy) publishState() {
	state := ServerState{service: p.latest.service, instance: p.instance, accepting: p.admits(), release: p.knownRelease()}
	if state != p.published {
		p.published = state
		p.hooks.stateChanged(state)
	}
}

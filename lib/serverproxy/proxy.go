package serverproxy

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/headernames"
	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/limiter"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	inboxSize = 256
	// tickEvery is how often offers and asks in line are checked for their end.
	tickEvery = 10 * time.Millisecond

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

// Config is what a keeper knows from the settings.
type Config struct {
	node       string
	service    string
	address    string
	dataCentre string
	names      headernames.Set
}

// NewConfig returns the configuration of the keeper of a node beside a server
// of service at address.
func NewConfig(node, service, address, dataCentre string, names headernames.Set) Config {
	return Config{node: node, service: service, address: address, dataCentre: dataCentre, names: names}
}

// Snapshot is what a keeper needs of the configuration in force.
type Snapshot struct {
	catalogue *routeconfig.Config
	evacuated bool
	version   uint64
}

// NewSnapshot returns a situation.
func NewSnapshot(c *routeconfig.Config, evacuated bool, version uint64) Snapshot {
	return Snapshot{catalogue: c, evacuated: evacuated, version: version}
}

// ServerState is what other nodes learn of a server.
type ServerState struct {
	service  string
	instance string
	open     bool
}

// Service returns the service.
func (s ServerState) Service() string { return s.service }

// Instance returns the id of the instance.
func (s ServerState) Instance() string { return s.instance }

// Accepting reports whether the server gets work.
func (s ServerState) Accepting() bool { return s.open }

// Proxy is the task beside one server.
type Proxy struct {
	config     Config
	clock      clockwork.Clock
	log        *eventlog.Log
	inbox      *task.Inbox[message]
	machine    *chart.Machine
	dataCentre *chart.Machine
	book       *limiter.Limiter
	latest     Announcement
	instance   string
	heard      bool
	service    routeconfig.Service
	situation  Snapshot
	asks       map[limiter.Key]asker
	runs       map[limiter.Key]*run
	running    atomic.Int64
	idle       []*httpclient.Conn
	departed   map[string]int64
	probes     prober
	meanWork   time.Duration
	changed    func(ServerState)
	observe    Observer
	last       ServerState
}

// Observer receives what a keeper measures. Its fields are seams.
type Observer struct {
	served  func(service string, outcome string, took time.Duration)
	probed  func()
	dialled func()
}

// NewObserver returns an observer made of three functions.
func NewObserver(served func(service, outcome string, took time.Duration), probed, dialled func()) Observer {
	return Observer{served: served, probed: probed, dialled: dialled}
}

// asker is who waits for a decision on an ask.
type asker struct {
	ask   upstream.SlotRequest
	reply func(upstream.Event)
}

// New returns a keeper. changed is called from its task whenever what other nodes
// should know has changed; it must not block.
func New(config Config, charts *chart.Set, clock clockwork.Clock, log *eventlog.Log, observe Observer, changed func(ServerState)) (*Proxy, error) {
	k := &Proxy{
		config: config, clock: clock, log: log, inbox: task.NewInbox[message](inboxSize),
		book: limiter.New(1), asks: map[limiter.Key]asker{}, runs: map[limiter.Key]*run{}, departed: map[string]int64{},
		changed: changed, observe: observe,
		last: ServerState{service: config.service},
	}
	k.latest.service = config.service
	k.latest.address = config.address
	return k, k.startMachines(charts)
}

func (k *Proxy) startMachines(charts *chart.Set) error {
	placeChart, err := charts.Chart("place")
	if err != nil {
		return err
	}
	if k.machine, err = placeChart.Start(chart.Actions{"reset": k.reset, "deny": k.deny}); err != nil {
		return err
	}
	dataCentreChart, err := charts.Chart("datacentre")
	if err != nil {
		return err
	}
	k.dataCentre, err = dataCentreChart.Start(chart.Actions{"suspendServers": k.deny, "resumeServers": k.recheck})
	return err
}

// admits reports whether new work is given.
func (k *Proxy) admits() bool { return k.machine.Has(tagAdmitting) && k.dataCentre.Has(tagOpen) }

// closedReason says why no work is given.
func (k *Proxy) closedReason() string {
	if !k.dataCentre.Has(tagOpen) {
		return "data centre out of service"
	}
	return fmt.Sprintf("server %s", k.machine.State())
}

// reset forgets what was known of the instance before.
func (k *Proxy) reset() {
	k.deny()
	k.book = limiter.New(k.places())
	k.closeIdle()
	k.probes.forget()
}

// deny refuses everyone who waits or holds an offer.
func (k *Proxy) deny() {
	for _, d := range k.book.DenyPending() {
		k.decide(d)
	}
}

func (k *Proxy) recheck() { k.fire(eventRecheck) }

// fire fires an event that the current state may not take; such events say
// nothing new in that state.
func (k *Proxy) fire(e chart.Event) {
	if !k.machine.Accepts(e) {
		return
	}
	from := k.machine.State()
	if err := k.machine.Fire(e); err != nil {
		k.log.Write("chart-error", "error", err.Error())
		return
	}
	if to := k.machine.State(); to != from {
		k.log.Write("server-state", "from", from, "to", to, "cause", e, "instance", k.instance, "sequence", k.latest.sequence)
	}
}

func (k *Proxy) closeIdle() {
	for _, c := range k.idle {
		c.Close()
	}
	k.idle = nil
}

// Run serves messages until ctx ends.
func (k *Proxy) Run(ctx context.Context) {
	defer k.inbox.Close()
	ticker := k.clock.NewTicker(tickEvery)
	defer ticker.Stop()
	k.probes.start(ctx, k)
	k.tell()
	for {
		select {
		case <-ctx.Done():
			k.closeIdle()
			return
		case m := <-k.inbox.Messages():
			k.handle(ctx, m)
		case <-ticker.Chan():
			k.tick()
		}
		k.tell()
	}
}

// tick grants and denies what is due, and refreshes what is known of the load.
func (k *Proxy) tick() {
	now := k.clock.Now()
	k.settle(now)
	k.probes.refresh(now, k)
}

func (k *Proxy) settle(now time.Time) {
	if !k.admits() {
		return
	}
	for _, d := range k.book.Advance(now) {
		k.decide(d)
	}
}

// tell reports a change of what other nodes should know.
func (k *Proxy) tell() {
	state := ServerState{service: k.latest.service, instance: k.instance, open: k.admits()}
	if state != k.last {
		k.last = state
		k.changed(state)
	}
}

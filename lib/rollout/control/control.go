// Package control runs the rollouts of all services on one node: it is told of orders,
// records, peers and responses, and tells the node how requests are divided, which
// versions its server may be, and what to write and send.
//
// # Usage
//
//	c := control.New(config, charts, clock, log, hooks)
//	go c.Run(ctx)
//	c.ApplyUpdate(update)
//	c.Receive(message)
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/rollout"
	"savorygap.example/lib/task"
)

const (
	inboxSize = 1024 // messages
	// tickInterval is how often counts are sent and decisions taken while a rollout is
	// under way. No timer runs otherwise.
	tickInterval = 100 * time.Millisecond
	// otherInterval is how often the counts of a server that is not of the target version
	// are sent: they are only compared with.
	otherInterval = 500 * time.Millisecond
	// targetSpacing and otherSpacing, multiplied by the number of servers of either kind,
	// bound those intervals from below where there are many: a node then receives at most
	// 125 and 50 tallies a second.
	targetSpacing = 8 * time.Millisecond
	otherSpacing  = 20 * time.Millisecond
	// settlingTime is how long after its start a node waits for links to half of the other
	// nodes before it decides on the version of its service by those that it has.
	settlingTime = 3 * time.Second
	// watchDelay is about how old an order is when a watch returns it: nodes pause between
	// two watches. The duration counts from the order.
	watchDelay = 400 * time.Millisecond
	// writeTimeout bounds one write. Another node takes its turn meanwhile.
	writeTimeout = time.Second
	// restoreHold is how long after a restore of the store operators may take to write
	// again what it lacks.
	restoreHold = 15 * time.Second
	// Times after a failed write until this node writes again. After a conflict the record
	// that caused it arrives over a link or with the next watch.
	conflictDelay = 400 * time.Millisecond
	failureDelay  = 200 * time.Millisecond
)

// Config holds the settings of a controller.
type Config struct {
	node    string
	service string
	bounds  rollout.Bounds
}

// NewConfig returns the settings of the controller on a node beside a server of service.
func NewConfig(node, service string, bounds rollout.Bounds) Config {
	return Config{node: node, service: service, bounds: bounds}
}

// Hooks connect a controller to its node. Except write, which runs on a goroutine of its
// own, they are called from the controller's task and must not block.
type Hooks struct {
	decodeOrder  func(registry.Record) (rollout.Order, error)
	decodeRecord func(registry.Record) (rollout.Record, error)
	write        func(ctx context.Context, service string, next rollout.Record) (uint64, error)
	send         func(rollout.Message)
	policies     func(map[string]rollout.Policy)
	admission    func(rollout.Admission)
	running      func() int
	eraStart     func(version uint64) uint64
}

// NewHooks returns hooks: decodeOrder and decodeRecord decode records of the store, write
// writes a record if the store still has the version that it states and returns its new
// version, send tells the peers, policies receives how requests are divided by service,
// admission which versions the server on this host may have, and running returns the
// number of requests at that server.
func NewHooks(decodeOrder func(registry.Record) (rollout.Order, error), decodeRecord func(registry.Record) (rollout.Record, error),
	write func(context.Context, string, rollout.Record) (uint64, error), send func(rollout.Message),
	policies func(map[string]rollout.Policy), admission func(rollout.Admission), running func() int) Hooks {
	return Hooks{decodeOrder: decodeOrder, decodeRecord: decodeRecord, write: write, send: send, policies: policies, admission: admission, running: running,
		eraStart: func(uint64) uint64 { return 0 }}
}

// WithEras returns the hooks with a function that returns the lowest version of the era of
// the store to which a version belongs. Without it the store has one era.
func (h Hooks) WithEras(eraStart func(version uint64) uint64) Hooks {
	h.eraStart = eraStart
	return h
}

// Peer is a server as this node or a peer states it.
type Peer struct {
	node      string
	service   string
	instance  string
	release   string
	accepting bool
}

// NewPeer returns the server beside a node, with its version, "" if unknown.
func NewPeer(node, service, instance, release string, accepting bool) Peer {
	return Peer{node: node, service: service, instance: instance, release: release, accepting: accepting}
}

// Judgement is a judged response of the server on this host.
type Judgement struct {
	instance string
	release  string
	route    string
	bad      bool
}

// NewJudgement returns the judgement of a response to a request of a route.
func NewJudgement(instance, release, route string, bad bool) Judgement {
	return Judgement{instance: instance, release: release, route: route, bad: bad}
}

// message is a request to the controller's task; exactly one field is set.
type message struct {
	update   *registry.Update
	received *rollout.Message
	peers    *[]Peer
	judged   *Judgement
	written  *written
}

// written is the result of a write.
type written struct {
	service string
	next    rollout.Record
	version uint64
	err     error
}

// Controller is the task that owns the rollouts of a node.
type Controller struct {
	config      Config
	charts      *chart.Set
	clock       clockwork.Clock
	log         *eventlog.Log
	hooks       Hooks
	inbox       *task.Inbox[message]
	localStates *task.Latest[Peer]
	tickTimer   <-chan time.Time
	startedAt   time.Time
	// listedMembers is the number of other nodes that the last full read listed.
	listedMembers int
	readVersion   uint64 // of the last full read of the store, 0 for none
	local         Peer
	established   string // the version of the local service, as long as no order names one
	peers         []Peer
	releases      rollout.Releases
	servers       map[string][]rollout.Server // by service
	own           map[string]string           // versions by service
	records       map[string]rollout.Record   // the newest known, by service
	rollouts      map[string]*entry           // by service
	tally         rollout.Tally
	policies      map[string]rollout.Policy
	admission     rollout.Admission
	current       atomic.Pointer[[]rollout.Message]
	underWay      atomic.Int64
	rolledBack    atomic.Int64
}

// entry is a rollout with the state of its messages and writes.
type entry struct {
	inForce  bool // whether the service had the target version before the order
	rollout  *rollout.Rollout
	tallied  bool // whether the tally has changed since it was sent
	running  int  // as it was sent
	sentAt   time.Time
	writing  bool
	due      rollout.Record // the record that is due
	dueSince time.Time
	retryAt  time.Time
	// heldUntil is when the rollout ends if operators have not written its order again,
	// which the store has lost, and heldEra the era in which it was missing. Zero if the
	// order is in the store.
	heldUntil time.Time
	heldEra   uint64
	// carriedUntil is until when an equal order counts as the same one, since the present
	// one may come from the copy to which the store was restored.
	carriedUntil time.Time
	absent       bool // whether the next write of a first record expects that the store has none
}

// isHeld reports whether the store has lost the order.
func (e *entry) isHeld() bool { return !e.heldUntil.IsZero() }

// New returns a controller.
func New(config Config, charts *chart.Set, clock clockwork.Clock, log *eventlog.Log, hooks Hooks) *Controller {
	c := &Controller{
		config: config, charts: charts, clock: clock, log: log, hooks: hooks, inbox: task.NewInbox[message](inboxSize), localStates: task.NewLatest[Peer](), startedAt: clock.Now(),
		local: Peer{node: config.node, service: config.service}, releases: rollout.Releases{}, servers: map[string][]rollout.Server{}, own: map[string]string{},
		records: map[string]rollout.Record{}, rollouts: map[string]*entry{}, policies: map[string]rollout.Policy{},
	}
	c.current.Store(&[]rollout.Message{})
	return c
}

// ApplyUpdate applies records read from the store.
func (c *Controller) ApplyUpdate(u registry.Update) { c.inbox.Send(message{update: &u}) }

// Receive applies what a peer knows of a rollout. It never blocks: a message that is
// dropped is followed by another within a second while the rollout is under way.
func (c *Controller) Receive(m rollout.Message) { c.inbox.TrySend(message{received: &m}) }

// SetPeers replaces the servers beside the linked nodes.
func (c *Controller) SetPeers(peers []Peer) { c.inbox.Send(message{peers: &peers}) }

// SetLocalServer sets the state of the server on this host. It never blocks, since the
// caller is the task that the admission hook sends to, and must not be called
// concurrently.
func (c *Controller) SetLocalServer(p Peer) { c.localStates.Put(p) }

// Judge counts a response of the server on this host. It never blocks.
func (c *Controller) Judge(j Judgement) { c.inbox.TrySend(message{judged: &j}) }

// Current returns what this node knows of rollouts, for a peer that has just been linked.
func (c *Controller) Current() []rollout.Message { return *c.current.Load() }

// UnderWay returns the number of rollouts that are under way.
func (c *Controller) UnderWay() int { return int(c.underWay.Load()) }

// RolledBack returns the number of rollouts that this node has decided to roll back.
func (c *Controller) RolledBack() int { return int(c.rolledBack.Load()) }

// Run serves messages until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer c.inbox.Close()
	c.scheduleTick()
	for ctx.Err() == nil {
		c.handleNext(ctx)
	}
}

// handleNext waits for one message or the timer and handles it.
func (c *Controller) handleNext(ctx context.Context) {
	defer task.Catch(func(e *task.PanicError) { c.log.WritePanic("rollouts", e) })
	select {
	case <-ctx.Done():
		return
	case m := <-c.inbox.Messages():
		c.handle(m)
		if m.judged != nil {
			return // counts are looked at once per tick
		}
	case p := <-c.localStates.Values():
		c.local = p
		c.rebuildServers()
	case <-c.tickTimer:
		c.tickTimer = nil
		c.tick(ctx)
	}
	c.publish()
	c.scheduleTick()
}

func (c *Controller) handle(m message) {
	switch {
	case m.update != nil:
		c.applyUpdate(*m.update)
	case m.received != nil:
		c.receive(*m.received)
	case m.peers != nil:
		c.peers = *m.peers
		c.rebuildServers()
	case m.judged != nil:
		c.recordJudgement(*m.judged)
	case m.written != nil:
		c.handleWritten(*m.written)
	}
}

// scheduleTick starts the timer while a rollout is not settled, and shortly after the
// start of the node.
func (c *Controller) scheduleTick() {
	if c.tickTimer == nil && (c.hasUnsettled() || c.clock.Since(c.startedAt) <= settlingTime) {
		c.tickTimer = c.clock.After(tickInterval)
	}
}

func (c *Controller) hasUnsettled() bool {
	for _, e := range c.rollouts {
		if !e.rollout.IsSettled() || e.isHeld() {
			return true
		}
	}
	return false
}

// Package fleet is the task that knows the other nodes: it keeps a link to each,
// and it keeps the configuration in force up to date from the store and from
// the links.
//
// The store tells which nodes there are. A node that the store no longer lists
// stays known while its link lives, so an outage of the store takes nobody out.
// Nodes tell each other the version of the configuration that they know; one
// that is behind, as while the store turns it away, gets it from a peer. A node
// only ever moves to a higher version.
//
// A configuration spreads as a tree: a node hands over a bounded number of bytes
// and sends others on to those that have it. What this node's turn at the store
// brings of other nodes' entries it tells to the peers that may not know it. An
// entry whose node has been out of reach for long is removed.
//
// # Usage
//
//	f := fleet.New(self, charts, hooks, server, clock, log)
//	go f.Run(ctx, listener)
//	f.Learn(update)
package fleet

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/routeconfig"
	"savorygap.example/lib/task"
)

const (
	inboxSize = 256
	tickEvery = 250 * time.Millisecond
	// fetchSpread is, for each link, the time over which nodes that hear of a
	// higher version spread their fetches, so that the first to know it does not
	// have to serve all of them.
	fetchSpread = time.Millisecond
	fetchMost   = 200 * time.Millisecond
	// fetchAgain is after how long a fetch that brought nothing is repeated at
	// another peer.
	fetchAgain = 400 * time.Millisecond
	maxSources = 8
	// dialPatience is how long the node with the higher name waits for the other
	// to dial, so that two nodes mostly share one connection.
	dialPatience = time.Second
	dialTimeout  = 700 * time.Millisecond
	redialMin    = 200 * time.Millisecond
	redialMax    = 2 * time.Second

	// goneAfter is for how long a node must be out of reach before its entry is
	// removed; goneAgain is the pause between two tries.
	goneAfter = 30 * time.Second
	goneAgain = 10 * time.Second
	// settledAfter is after how long a linked node's entry must be in the store.
	settledAfter = 3 * time.Second
	// turnPower is the power of a host's speed with which its turns grow.
	turnPower = 1.5
	// leastSpeed, in bytes a second, stands for the speed of a host that does not
	// say.
	leastSpeed = 1e5

	eventAccept chart.Event = "accept"
	eventHear   chart.Event = "hear"
)

// Hooks are what a fleet tells the rest of the node, and what it needs of it.
// They are called from its task and must not block.
type Hooks struct {
	decode     func(text []byte) (*routeconfig.Config, error)
	situation  func(Snapshot)
	peers      func([]Peer)
	nodes      func(count int)
	departures func([]registry.Record)
	entry      func(record registry.Record, kept bool)
	turn       func(peer string, begins bool)
	lapsed     func()
	gone       func(registry.Record)
}

// NewHooks returns hooks. decode reads the operators' text; the others are told
// of news: the situation, the peers, the number of nodes, the servers that leave,
// this node's own entry and whether the store holds it already, a peer's turn at watching the store, that the
// store has lost this node's entry, and that the node of an entry is gone.
func NewHooks(decode func([]byte) (*routeconfig.Config, error), situation func(Snapshot), peers func([]Peer), nodes func(int), departures func([]registry.Record), entry func(record registry.Record, kept bool), turn func(peer string, begins bool), lapsed func(), gone func(registry.Record)) Hooks {
	return Hooks{decode: decode, situation: situation, peers: peers, nodes: nodes, departures: departures, entry: entry, turn: turn, lapsed: lapsed, gone: gone}
}

// Fleet is the task that knows the other nodes.
type Fleet struct {
	self      Member
	hooks     Hooks
	server    link.Handler
	clock     clockwork.Clock
	log       *eventlog.Log
	inbox     *task.Inbox[message]
	states    *task.Latest[link.ServerState]
	machine   *chart.Machine
	situation Snapshot
	heard     link.Versions
	sources   []*link.Link
	handed    allowance
	fetchAt   <-chan time.Time
	state     link.ServerState
	members   map[string]Member
	contacts  map[string]*contact
	links     map[uint64]*peerLink
	serial    uint64
	started   bool
	closed    bool
	share     atomic.Uint64
}

// contact is what is known of reaching one node.
type contact struct {
	dialing bool
	retryAt time.Time
	backoff time.Duration
	since   time.Time
	failed  bool
	goneAt  time.Time
}

// peerLink is a link with what its peer said last.
type peerLink struct {
	link  *link.Link
	hello link.Hello
	ready bool
	state link.ServerState
	since time.Time
}

// message is a closed union; exactly one part is set.
type message struct {
	update   *registry.Update
	accepted *accepted
	dialled  *dialled
	hello    *helloed
	state    *stated
	notice   *noticed
	turn     *bool
	fetch    *link.Link
	busy     *link.Link
	members  []registry.Record
	document *documented
	ended    *ended
	close    bool
	dump     task.Reply[Dump]
}

type accepted struct {
	conn  net.Conn
	hello link.Hello
	build func(serial uint64) *link.Link
}

type dialled struct {
	node string
	conn net.Conn
	err  error
}

type helloed struct {
	link  *link.Link
	hello link.Hello
}

type stated struct {
	link  *link.Link
	state link.ServerState
}

type noticed struct {
	link  *link.Link
	known link.Versions
}

type documented struct {
	link     *link.Link
	document link.Snapshot
}

type ended struct {
	link *link.Link
	err  error
}

// Dump is the state of a fleet for the state dump.
type Dump struct {
	state     string
	version   uint64
	evacuated []string
	members   int
	links     int
	handed    int
}

// State returns the state of the configuration's chart.
func (d Dump) State() string { return d.state }

// Version returns the version of the store that is in force.
func (d Dump) Version() uint64 { return d.version }

// Evacuated returns the data centres that are out of service.
func (d Dump) Evacuated() []string { return d.evacuated }

// Members returns how many nodes the store lists.
func (d Dump) Members() int { return d.members }

// Links returns how many links live.
func (d Dump) Links() int { return d.links }

// SnapshotBytesSent returns how many bytes of configurations this node handed to others.
func (d Dump) SnapshotBytesSent() int { return d.handed }

// New returns the fleet as the node self sees it.
func New(self Member, charts *chart.Set, hooks Hooks, server link.Handler, clock clockwork.Clock, log *eventlog.Log) (*Fleet, error) {
	f := &Fleet{
		self: self, hooks: hooks, server: server, clock: clock, log: log,
		inbox: task.NewInbox[message](inboxSize), states: task.NewLatest[link.ServerState](),
		members: map[string]Member{}, contacts: map[string]*contact{}, links: map[uint64]*peerLink{},
		state: link.NewServerState(self.service, "", false),
	}
	configuration, err := charts.Chart("configuration")
	if err != nil {
		return nil, err
	}
	f.share.Store(math.Float64bits(1))
	f.machine, err = configuration.Start(chart.Actions{"publish": f.publish, "fetch": func() {}})
	return f, err
}

// ApplyUpdate takes in what the store told.
func (f *Fleet) ApplyUpdate(u registry.Update) { f.inbox.Send(message{update: &u}) }

// SetServerState tells the peers the state of the server beside this node. It has one
// caller at a time and never blocks.
func (f *Fleet) SetServerState(s link.ServerState) { f.states.Put(s) }

// AnnounceWatch tells the peers that this node begins to wait for changes of the store, or
// has ended to.
func (f *Fleet) AnnounceWatch(begins bool) { f.inbox.Send(message{turn: &begins}) }

// WatchShare returns the part of the fleet's turns at the store that this node should
// take: what a turn brings passes over its host's connection first, so that nodes
// behind a fast one take more.
func (f *Fleet) WatchShare() float64 { return math.Float64frombits(f.share.Load()) }

// StopDialling stops taking new links and dialling; those that live go on.
func (f *Fleet) StopDialling() { f.inbox.Send(message{close: true}) }

// Dump returns the state of the fleet.
func (f *Fleet) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !f.inbox.Send(message{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, f.inbox.Done())
	return d
}

// Run serves messages and takes links from the listener until ctx ends.
func (f *Fleet) Run(ctx context.Context, listener net.Listener) {
	defer f.inbox.Close()
	go f.accept(ctx, listener)
	ticker := f.clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = listener.Close()
			return
		case m := <-f.inbox.Messages():
			f.handle(ctx, m)
		case s := <-f.states.Values():
			f.setState(s)
		case <-f.fetchAt:
			f.fetch()
		case <-ticker.Chan():
			f.tick(ctx)
		}
	}
}

func (f *Fleet) handle(ctx context.Context, m message) {
	switch {
	case m.update != nil:
		f.learn(ctx, *m.update)
	case m.accepted != nil:
		f.handleAccepted(ctx, m.accepted)
	case m.dialled != nil:
		f.handleDialled(ctx, m.dialled)
	case m.hello != nil:
		f.handleHello(m.hello)
	case m.state != nil:
		f.handleState(m.state)
	case m.notice != nil:
		f.hear(m.notice.link, m.notice.known)
	case m.turn != nil:
		f.sendTurn(*m.turn)
	case m.fetch != nil:
		f.handOver(m.fetch)
	case m.busy != nil:
		f.handleBusy(m.busy)
	case m.members != nil:
		f.learnMembers(ctx, m.members)
	case m.document != nil:
		f.handleDocument(m.document)
	case m.ended != nil:
		f.handleEnded(m.ended)
	case m.close:
		f.closed = true
	case m.dump != nil:
		m.dump <- Dump{
			state: string(f.machine.State()), version: f.situation.version, evacuated: f.situation.EvacuatedDataCentres(),
			members: len(f.members), links: len(f.links), handed: f.handed.total,
		}
	}
}

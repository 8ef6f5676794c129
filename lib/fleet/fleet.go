// Package fleet connects a node to its peers. It keeps one link to every other
// node, and it keeps the configuration in force up to date from the store and
// from the peers.
//
// The store lists the members. A peer that is no longer listed is kept while its
// link is up, so that requests still reach it while the store is down or has lost
// its entries. A peer that is silent gets no new requests and is dialled again; its
// link stays as long as requests are under way on it. Nodes announce the versions of the configuration that they have.
// A node with an older version, for example because the store rejects its calls,
// fetches the newer one from a peer. A node never replaces its configuration with
// an older one. A node that fetches its first configuration gets the list of all
// members before it, so that it knows the fleet while the store cannot be reached.
//
// A configuration spreads as a tree: each node sends a limited number of bytes
// per second and answers Busy to further peers, which fetch again later, from any
// node that has it by then. Changes to member entries that this node reads from
// the store are forwarded to the peers that may lack them. The entry of a member
// that stays unreachable is removed.
//
// # Usage
//
//	f, err := fleet.New(self, charts, hooks, handler, clock, log)
//	go f.Run(ctx, listener)
//	f.ApplyUpdate(update)
package fleet

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/eventlog"
	"savorygap.example/lib/link"
	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/task"
)

const (
	inboxSize    = 256 // messages
	tickInterval = 250 * time.Millisecond
	// fetchDelayPerLink, multiplied by the number of links, is the longest random delay
	// before the fetch of a new version, up to maxFetchDelay. The delay spreads the
	// fetches of the nodes, so that the first node to have the version does not serve
	// all of them.
	fetchDelayPerLink = time.Millisecond
	maxFetchDelay     = 200 * time.Millisecond
	// fetchRetryInterval is the time after which an unanswered fetch is sent again, to
	// a random source.
	fetchRetryInterval = 400 * time.Millisecond
	maxSources         = 8 // peers known to have a newer version
	// passiveDialDelay is how long a node waits for a member that dials first, so that
	// two nodes usually share one connection.
	passiveDialDelay = time.Second
	dialTimeout      = 700 * time.Millisecond
	// maxDials bounds the members dialled at once. A node that starts has hundreds to
	// dial, and each takes memory for a while.
	maxDials       = 16
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 2 * time.Second

	// peersDelay is how long after a change the peers are passed on.
	peersDelay = 20 * time.Millisecond

	// tellTimeout is how long peers may take to handle what they are told before they are
	// not waited for any more. A request that is sent again waits for them: the link to a
	// peer that is paused is known to be silent only after a second.
	tellTimeout = 250 * time.Millisecond

	// unreachableTimeout is how long a member must be unreachable before its entry is
	// removed.
	unreachableTimeout = 30 * time.Second
	// maxFailureAge is how long ago the last failed dial may be when an entry is
	// removed: the longest pause between two dials, and the dial itself.
	maxFailureAge = maxRedialDelay + 2*dialTimeout
	// removalRetryInterval is the time between two attempts to remove an entry.
	removalRetryInterval = 10 * time.Second
	// entryGracePeriod is the time after which the entry of a linked node must be
	// in the store.
	entryGracePeriod = 3 * time.Second
	// watchWeightExponent is the power to which a host's bandwidth is raised. The
	// host's share of the store watches is proportional to the result.
	watchWeightExponent = 1.5
	// minBandwidth is the lower bound of a host's bandwidth in this computation, in
	// bytes per second. It also stands for an unknown bandwidth.
	minBandwidth = 1e5

	eventAccept chart.Event = "accept"
	eventHear   chart.Event = "hear"
)

// Fleet is the task that keeps the links to the other nodes and the configuration
// in force.
type Fleet struct {
	self           Member
	hooks          Hooks
	handler        link.Handler
	clock          clockwork.Clock
	log            *eventlog.Log
	inbox          *task.Inbox[message]
	serverStates   *task.Latest[link.ServerState]
	machine        *chart.Machine
	storeMachine   *chart.Machine
	snapshot       Snapshot
	refused        uint64        // the store version that was refused last
	announced      link.Versions // the newest versions that peers announced
	sources        []*link.Link  // links to peers that announced a version newer than the one in force
	transferBudget byteBudget
	fetchTimer     <-chan time.Time
	peersTimer     <-chan time.Time
	serverState    link.ServerState
	members        map[string]Member          // by node
	departures     map[string]registry.Record // by node
	removals       map[string]uint64          // versions at which members were removed, by node
	rosterSource   rosterSource
	readVersion    uint64                // of the last full read of the store
	eraStart       uint64                // lowest version of the era of that read
	holdUntil      time.Time             // end of the hold of evacuations of an older era
	dialStates     map[string]*dialState // by node
	links          map[uint64]*peerLink  // by link id
	lastLinkID     uint64
	dials          int // under way
	registered     bool
	dialStopped    bool
	stopping       bool
	stoppingNodes  map[string]bool // peers that are stopping
	watchShare     atomic.Pointer[registry.Share]
}

// dialState holds the attempts to dial a member to which there is no link.
type dialState struct {
	dialing       bool
	retryAt       time.Time
	backoff       time.Duration
	unlinkedSince time.Time
	lastFailureAt time.Time
	nextRemovalAt time.Time
}

// peerLink holds a link and the latest messages of its peer.
type peerLink struct {
	link          *link.Link
	hello         link.Hello
	helloReceived bool
	serverState   link.ServerState
	startedAt     time.Time
	silent        bool
	configured    bool // whether the peer has a configuration
}

// Dump holds the state of a fleet for the state dump.
type Dump struct {
	state             string
	version           uint64
	evacuated         []string
	members           int
	links             int
	snapshotBytesSent int
}

// State returns the state of the chart "configuration".
func (d Dump) State() string { return d.state }

// Version returns the store version of the configuration in force.
func (d Dump) Version() uint64 { return d.version }

// Evacuated returns the data centres that are out of service.
func (d Dump) Evacuated() []string { return d.evacuated }

// Members returns the number of nodes that the store lists.
func (d Dump) Members() int { return d.members }

// Links returns the number of links that are up.
func (d Dump) Links() int { return d.links }

// SnapshotBytesSent returns the number of bytes of configurations that this node
// has sent to peers.
func (d Dump) SnapshotBytesSent() int { return d.snapshotBytesSent }

// New returns the fleet of the node self. handler serves the requests that peers
// send over their links.
func New(self Member, charts *chart.Set, hooks Hooks, handler link.Handler, clock clockwork.Clock, log *eventlog.Log) (*Fleet, error) {
	f := &Fleet{
		self: self, hooks: hooks, handler: handler, clock: clock, log: log,
		inbox: task.NewInbox[message](inboxSize), serverStates: task.NewLatest[link.ServerState](),
		members: map[string]Member{}, departures: map[string]registry.Record{}, removals: map[string]uint64{}, dialStates: map[string]*dialState{}, stoppingNodes: map[string]bool{}, links: map[uint64]*peerLink{},
		serverState: link.NewServerState(self.service, "", false),
	}
	configuration, err := charts.Chart("configuration")
	if err != nil {
		return nil, err
	}
	only := registry.NewShare(1, 1)
	f.watchShare.Store(&only)
	if f.storeMachine, err = f.newStoreMachine(charts); err != nil {
		return nil, err
	}
	f.machine, err = configuration.NewMachine(chart.Actions{"publish": f.publish, "fetch": func() {}})
	return f, err
}

// ApplyUpdate applies records read from the store.
func (f *Fleet) ApplyUpdate(u registry.Update) { f.inbox.Send(message{update: &u}) }

// RecordDeparture tells the peers that the server on this host leaves, and waits until
// the messages are written or ctx ends. They tell a later process of this node, in
// case the store does not have the record by then. It returns how many peers were told.
func (f *Fleet) RecordDeparture(ctx context.Context, r registry.Record) int {
	m := &departureMessage{record: r, reply: task.NewReply[[]*link.Link]()}
	if !f.inbox.Send(message{departure: m}) {
		return 0
	}
	links, _ := m.reply.Wait(ctx, f.inbox.Done())
	told := 0
	for _, l := range links {
		if l.AwaitSent(ctx) {
			told++
		}
	}
	return told
}

// SendSuspicions tells the peers what this node has seen of requests under which servers
// ended. It never blocks.
func (f *Fleet) SendSuspicions(records []quarantine.Record) {
	if !f.inbox.TrySend(message{suspicions: records}) {
		f.log.Write("suspicions-not-sent", "records", len(records))
	}
}

// TellSuspicions tells the peers what this node has seen of requests under which servers
// ended. It calls told, from another goroutine, when they have handled it, or after
// tellTimeout. It never blocks.
func (f *Fleet) TellSuspicions(records []quarantine.Record, told func()) {
	if !f.inbox.TrySend(message{tell: &tellMessage{records: records, told: told}}) {
		f.log.Write("suspicions-not-sent", "records", len(records))
		go told()
	}
}

// SetServerState sends the state of the server on this host to the peers. It never
// blocks and must not be called concurrently.
func (f *Fleet) SetServerState(s link.ServerState) { f.serverStates.Put(s) }

// AnnounceWatch tells the peers of a phase of a watch of the store by this node.
func (f *Fleet) AnnounceWatch(phase registry.WatchPhase) { f.inbox.Send(message{watch: &phase}) }

// WatchShare returns the share of all watches of the store that this node should
// make. It grows with the bandwidth of the host, since the changes that a watch
// returns reach the other nodes through this host.
func (f *Fleet) WatchShare() registry.Share { return *f.watchShare.Load() }

// StopDialling stops dialling members and removing unreachable ones. Links that
// are up stay, and peers may still connect.
func (f *Fleet) StopDialling() { f.inbox.Send(message{stopDialling: true}) }

// Dump returns the state of the fleet.
func (f *Fleet) Dump(ctx context.Context) Dump {
	reply := task.NewReply[Dump]()
	if !f.inbox.Send(message{dump: reply}) {
		return Dump{}
	}
	d, _ := reply.Wait(ctx, f.inbox.Done())
	return d
}

// Run handles messages and accepts links on the listener until ctx ends.
func (f *Fleet) Run(ctx context.Context, listener net.Listener) {
	defer f.inbox.Close()
	go f.acceptLoop(ctx, listener)
	ticker := f.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.handleNext(ctx, ticker.Chan())
	}
	_ = listener.Close()
}

// handleNext waits for one message or timer and handles it.
func (f *Fleet) handleNext(ctx context.Context, ticks <-chan time.Time) {
	var m message
	defer task.Catch(func(e *task.PanicError) {
		m.dump.Abandon()
		if m.departure != nil {
			m.departure.reply.Abandon()
		}
		f.log.WritePanic("fleet", e)
	})
	select {
	case <-ctx.Done():
	case m = <-f.inbox.Messages():
		f.handle(ctx, m)
	case s := <-f.serverStates.Values():
		f.setServerState(s)
	case <-f.fetchTimer:
		f.fetchSnapshot()
	case <-f.peersTimer:
		f.peersTimer = nil
		f.publishPeers()
	case <-ticks:
		f.tick(ctx)
	}
}

func (f *Fleet) handle(ctx context.Context, m message) {
	switch {
	case m.update != nil:
		f.applyUpdate(ctx, *m.update)
	case m.accepted != nil:
		f.handleAccepted(ctx, m.accepted)
	case m.dialled != nil:
		f.handleDialled(ctx, m.dialled)
	case m.hello != nil:
		f.handleHello(m.hello)
	case m.serverState != nil:
		f.handleServerState(m.serverState)
	case m.versions != nil:
		f.handleVersions(m.versions.link, m.versions.versions)
	case m.watch != nil:
		f.broadcastWatch(*m.watch)
	case m.fetch != nil:
		f.sendSnapshot(m.fetch)
	case m.busy != nil:
		f.handleBusy(m.busy)
	case m.members != nil:
		f.handleMembers(ctx, m.members)
	case m.roster != nil:
		f.handleRoster(ctx, m.roster)
	case m.departures != nil:
		f.handleDepartures(m.departures)
	case m.departure != nil:
		m.departure.reply <- f.recordOwnDeparture(m.departure.record)
	case m.suspicions != nil:
		for _, p := range f.links {
			p.link.SendSuspicions(m.suspicions)
		}
	case m.tell != nil:
		f.tellPeers(ctx, m.tell)
	case m.rollout != nil:
		f.broadcastRollout(*m.rollout)
	case m.snapshot != nil:
		f.handleSnapshot(m.snapshot)
	case m.silence != nil:
		f.handleSilence(m.silence)
	case m.ended != nil:
		f.handleLinkEnded(m.ended)
	case m.stopDialling:
		f.dialStopped = true
		f.announceStopping()
	case m.stopping != nil:
		f.handleStopping(m.stopping)
	case m.dump != nil:
		m.dump <- Dump{
			state: string(f.machine.State()), version: f.snapshot.version, evacuated: f.snapshot.EvacuatedDataCentres(),
			members: len(f.members), links: len(f.links), snapshotBytesSent: f.transferBudget.spent,
		}
	}
}

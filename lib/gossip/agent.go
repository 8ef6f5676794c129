// Package gossip implements the control protocol between nodes. It distributes
// membership records, with the servers of each node, and the configuration.
//
// An Agent is one task. It owns the node's membership table (package member),
// the configuration in force, and the links to a few neighbours. The neighbours
// are taken from a ring (member.Table.Neighbours), so that the number of links
// of a node does not grow with the fleet. Changes are broadcast along the links
// in batches, and an exchange of digests finds and repairs missing records. A
// link is a QUIC connection with one stream.
//
// # Usage
//
//	a, err := gossip.New(clock, rng, transport, charts, self, hooks)
//	go a.Run(ctx)
//	a.SetServers(servers)
//	a.OfferDocument(doc)
//	state := a.Dump(ctx)
//
// A node receives the configuration from its peers and, through OfferDocument,
// from the store. The configuration never reverts: a revision at or below the
// one in force is ignored.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/document"
	"savorygap.example/lib/member"
	"savorygap.example/lib/task"
)

const (
	inboxSize               = 1024
	tickInterval            = 100 * time.Millisecond
	publishInterval         = 500 * time.Millisecond
	pingInterval            = time.Second
	linkMaintenanceInterval = time.Second
	seedDialInterval        = 5 * time.Second
	reconnectInterval       = 30 * time.Second
	watchersPerDC           = 2
	contactNodesPerDC       = 3
)

// StoreRole holds the duties of a node towards the store.
type StoreRole struct {
	watcher     bool
	contactNode bool
	isolated    bool
}

// Watcher reports whether the node watches the configuration in the store.
func (r StoreRole) Watcher() bool { return r.watcher }

// ContactNode reports whether the node keeps a contact entry in the store, where
// joining nodes find it.
func (r StoreRole) ContactNode() bool { return r.contactNode }

// Isolated reports whether the node has no link and needs contacts from the
// store.
func (r StoreRole) Isolated() bool { return r.isolated }

// Contact is the address of a node to which a joining node can open a link.
type Contact struct {
	name    string
	address string
}

// NewContact returns the contact of the named node at host:port.
func NewContact(name, address string) Contact { return Contact{name: name, address: address} }

// Name returns the host name.
func (c Contact) Name() string { return c.name }

// ControlAddress returns host:port where the node accepts links.
func (c Contact) ControlAddress() string { return c.address }

// Hooks are the callbacks of an Agent. They run in the agent's goroutine and
// must not block for long. Two run in other goroutines: checkReachable, and
// reportFault when links can no longer be accepted.
type Hooks struct {
	membersChanged    func([]member.Record)
	documentPublished func(*document.Document)
	roleChanged       func(StoreRole)
	checkReachable    func(ctx context.Context, name, callAddress string) bool
	reportFault       func(event, peer, reason string)
}

// NewHooks returns hooks. membersChanged receives the usable nodes and
// documentPublished the configuration in force whenever they change; roleChanged
// receives the node's duties towards the store; checkReachable reports whether a
// node accepts connections at its call address; reportFault receives failures.
func NewHooks(membersChanged func([]member.Record), documentPublished func(*document.Document), roleChanged func(StoreRole), checkReachable func(context.Context, string, string) bool, reportFault func(event, peer, reason string)) Hooks {
	return Hooks{membersChanged: membersChanged, documentPublished: documentPublished, roleChanged: roleChanged, checkReachable: checkReachable, reportFault: reportFault}
}

// Agent is the task that runs the control protocol of a node.
type Agent struct {
	clock      clockwork.Clock
	rng        *rand.Rand
	transport  *Transport
	hooks      Hooks
	inbox      *task.Inbox[agentMessage]
	table      *member.Table
	config     configState
	links      map[string]*Link
	dialling   map[string]bool
	seeds      []Contact
	broadcasts map[string]queuedRecord
	probes     map[string]*pendingProbe
	budget     budget
	lastTick   time.Time

	publishedAt time.Time

	pingedAt       time.Time
	maintainedAt   time.Time
	seedsDialledAt time.Time
	reconnectedAt  time.Time
	pingSequence   uint64
	ring           ringState
	membersDirty   bool
	role           StoreRole
	synced         bool
	receivedBytes  uint64
	suspicions     uint64
	refutations    uint64

	// revisionInForce mirrors the revision of the configuration in force for
	// other goroutines, so that they report only newer revisions.
	revisionInForce atomic.Uint64
}

// queuedRecord is a record that waits to be broadcast, and the peer that sent
// it.
type queuedRecord struct {
	record member.Record
	from   string
}

// agentMessage is a closed union of which exactly one field is set.
type agentMessage struct {
	linkOpened       *linkOpened
	linkClosed       *linkClosed
	receivedMessage  *receivedMessage
	unreachable      *unreachableNode
	servers          *[]member.Server
	offeredDocument  *document.Document
	observedRevision *observedRevision
	seeds            []Contact
	reachability     *reachability
	leave            task.Reply[bool]
	dump             task.Reply[Dump]
	current          task.Reply[*document.Document]
}

type linkOpened struct {
	link   *Link
	stream *quic.Stream
}

type linkClosed struct {
	link *Link
}

type receivedMessage struct {
	link    *Link
	message Message
	size    int
}

// unreachableNode reports that a link to a node could not be dialled or, with
// fromCall set, that a call could not connect.
type unreachableNode struct {
	name     string
	fromCall bool
}

type observedRevision struct {
	revision document.Revision
	from     string
}

// reachability is the result of a check whether a node is reachable. An empty
// requester means that this node itself needs the result.
type reachability struct {
	name      string
	requester string
	reachable bool
}

// New returns the agent of a node whose own record is self.
func New(clock clockwork.Clock, rng *rand.Rand, transport *Transport, charts *chart.Set, self member.Record, hooks Hooks) (*Agent, error) {
	memberChart, err := charts.Chart("member")
	if err != nil {
		return nil, err
	}
	table, err := member.NewTable(memberChart, self, clock.Now())
	if err != nil {
		return nil, err
	}
	a := &Agent{
		clock: clock, rng: rng, transport: transport, hooks: hooks, table: table,
		inbox: task.NewInbox[agentMessage](inboxSize), links: map[string]*Link{}, dialling: map[string]bool{},
		broadcasts: map[string]queuedRecord{}, probes: map[string]*pendingProbe{}, budget: newBudget(clock.Now()),
		lastTick: clock.Now(), membersDirty: true,
	}
	configChart, err := charts.Chart("configuration")
	if err != nil {
		return nil, err
	}
	return a, a.config.start(configChart, a)
}

// Run processes messages and accepts links until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	defer a.inbox.Close()
	go a.acceptLinks(ctx)
	ticker := a.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.closeLinks()
			return
		case m := <-a.inbox.Messages():
			a.handle(ctx, m)
		case <-ticker.Chan():
			a.tick(ctx, a.clock.Now())
		}
	}
}

// SetServers sets the servers of this host that accept requests, which are then
// broadcast.
func (a *Agent) SetServers(servers []member.Server) {
	a.inbox.Send(agentMessage{servers: &servers})
}

// OfferDocument passes a document read from the store, which takes effect if it
// is newer than the one in force.
func (a *Agent) OfferDocument(d *document.Document) { a.inbox.Send(agentMessage{offeredDocument: d}) }

// ObserveRevision reports a configuration revision that a peer has, so that the
// agent fetches it if it is newer.
func (a *Agent) ObserveRevision(r document.Revision, from string) {
	if uint64(r) > a.revisionInForce.Load() {
		a.inbox.TrySend(agentMessage{observedRevision: &observedRevision{revision: r, from: from}})
	}
}

// ReportUnreachable reports that a call to a node could not connect, so that the
// node is probed at once.
func (a *Agent) ReportUnreachable(name string) {
	a.inbox.TrySend(agentMessage{unreachable: &unreachableNode{name: name, fromCall: true}})
}

// SetSeeds sets the contacts that the agent dials when it has no link, or to
// find nodes that it lost.
func (a *Agent) SetSeeds(seeds []Contact) { a.inbox.Send(agentMessage{seeds: seeds}) }

// Leave broadcasts that this node leaves. It returns once the message is queued
// on the links.
func (a *Agent) Leave(ctx context.Context) {
	reply := task.NewReply[bool]()
	if a.inbox.Send(agentMessage{leave: reply}) {
		reply.Wait(ctx, a.inbox.Done())
	}
}

// Current returns the document in force, or nil if there is none.
func (a *Agent) Current(ctx context.Context) *document.Document {
	reply := task.NewReply[*document.Document]()
	if !a.inbox.Send(agentMessage{current: reply}) {
		return nil
	}
	d, _ := reply.Wait(ctx, a.inbox.Done())
	return d
}

func (a *Agent) handle(ctx context.Context, m agentMessage) {
	now := a.clock.Now()
	switch {
	case m.receivedMessage != nil:
		a.receivedBytes += uint64(m.receivedMessage.size + packetOverhead)
		a.handleMessage(ctx, now, m.receivedMessage.link, m.receivedMessage.message)
	case m.linkOpened != nil:
		a.addLink(now, *m.linkOpened)
	case m.linkClosed != nil:
		a.removeLink(now, m.linkClosed.link)
	case m.unreachable != nil:
		if !m.unreachable.fromCall {
			delete(a.dialling, m.unreachable.name)
		}
		a.startProbe(now, m.unreachable.name)
	case m.servers != nil:
		a.broadcast(a.table.UpdateSelf(now, *m.servers, false), "")
	case m.offeredDocument != nil:
		a.config.offerDocument(m.offeredDocument)
	case m.observedRevision != nil:
		a.config.observeRevision(now, m.observedRevision.revision, m.observedRevision.from)
	case m.seeds != nil:
		a.seeds = m.seeds
		a.seedsDialledAt = time.Time{}
		a.reconnectedAt = time.Time{}
	case m.reachability != nil:
		a.handleReachability(*m.reachability)
	default:
		a.handleRequest(now, m)
	}
}

func (a *Agent) handleRequest(now time.Time, m agentMessage) {
	switch {
	case m.leave != nil:
		a.broadcast(a.table.UpdateSelf(now, nil, true), "")
		a.flush(now)
		m.leave <- true
	case m.dump != nil:
		m.dump <- a.buildDump()
	case m.current != nil:
		m.current <- a.config.current
	}
}

func (a *Agent) tick(ctx context.Context, now time.Time) {
	a.extendDeadlines(now)
	a.budget.refill(now)
	for _, change := range a.table.Tick(now) {
		a.broadcast(change.Record(), "")
	}
	a.flush(now)
	a.detectFailures(ctx, now)
	if now.Sub(a.pingedAt) >= pingInterval {
		a.pingedAt = now
		a.pingAll()
	}
	if now.Sub(a.maintainedAt) >= linkMaintenanceInterval {
		a.maintainedAt = now
		a.maintainLinks(ctx)
		a.updateStoreRole()
	}
	a.config.retryFetch(now)
	a.publishMembers()
}

// publishMembers passes the usable nodes to the hook if the table has changed,
// at most once per publishInterval, since the cost is proportional to the size
// of the fleet.
func (a *Agent) publishMembers() {
	if !a.membersDirty || a.clock.Now().Sub(a.publishedAt) < publishInterval {
		return
	}
	a.publishedAt = a.clock.Now()
	a.membersDirty = false
	a.hooks.membersChanged(a.table.Usable())
}

// broadcast queues a record for all links except that of the peer that sent it.
func (a *Agent) broadcast(record member.Record, from string) {
	a.membersDirty = true
	a.broadcasts[record.Name()] = queuedRecord{record: record, from: from}
}

// flush sends one batch of queued records to each link. If the budget does not
// allow the batch, its records are queued again for the next flush.
func (a *Agent) flush(time.Time) {
	if len(a.broadcasts) == 0 || len(a.links) == 0 {
		return
	}
	batch := make([]queuedRecord, 0, maxRecordsPerMessage)
	for name, r := range a.broadcasts {
		if len(batch) == maxRecordsPerMessage {
			break
		}
		batch = append(batch, r)
		delete(a.broadcasts, name)
	}
	for _, l := range a.links {
		records := make([]member.Record, 0, len(batch))
		for _, r := range batch {
			if r.from != l.peer {
				records = append(records, r.record)
			}
		}
		if len(records) > 0 && !a.send(l, RecordsMessage(records), priorityRecords) {
			a.requeue(batch)
			return
		}
	}
}

// requeue puts a batch back into the queue, except for records that a newer one
// of the same node has replaced there.
func (a *Agent) requeue(batch []queuedRecord) {
	for _, r := range batch {
		if _, newer := a.broadcasts[r.record.Name()]; !newer {
			a.broadcasts[r.record.Name()] = r
		}
	}
}

// send encodes a message and queues it on a link. It returns false if the
// message is shed to stay within the budget. A link whose queue is full is
// closed.
func (a *Agent) send(l *Link, m Message, p priority) bool {
	payload, err := Encode(m)
	if err != nil {
		a.hooks.reportFault("encode", l.peer, err.Error())
		return true
	}
	size := len(payload) + headerLen + packetOverhead
	if !a.budget.allow(p, size) {
		return false
	}
	a.budget.spend(size)
	if !l.enqueue(payload) {
		a.hooks.reportFault("slow link", l.peer, "outbound queue is full")
		l.closeConn()
	}
	return true
}

func (a *Agent) pingAll() {
	digest := a.table.Digest()
	for _, l := range a.links {
		if l.dialled {
			a.pingSequence++
			l.lastPingSequence = a.pingSequence
			a.send(l, PingMessage(false, a.pingSequence, digest, a.config.revision()), priorityEssential)
		}
	}
}

// updateStoreRole passes the node's role towards the store to the hook when it
// has changed. Each node derives its role from its own membership table. While
// tables differ, more nodes than needed may take a role; that only costs store
// calls.
func (a *Agent) updateStoreRole() {
	role := a.ring.role
	role.isolated = len(a.links) == 0
	if role != a.role {
		a.role = role
		a.hooks.roleChanged(role)
	}
}

func containsNode(records []member.Record, name string) bool {
	for _, r := range records {
		if r.Name() == name {
			return true
		}
	}
	return false
}

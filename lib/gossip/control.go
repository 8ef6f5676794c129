// Package gossip speaks the control protocol between nodes: who is there, what
// they offer, and which configuration is in force.
//
// Control is one task. It owns the view of package member, the configuration
// in force and the links to a few neighbours, which Table.Neighbours picks from
// a ring, so that a node's control traffic does not grow with the fleet. Changes
// spread along the links in batches; digests find what a view lacks. Links are
// QUIC connections with one stream.
//
// # Usage
//
//	c, err := gossip.New(clock, rng, transport, charts, self, hooks)
//	go c.Run(ctx)
//	c.SetServers(servers)
//	c.Accept(doc)
//	state := c.Dump(ctx)
//
// A node hears of the configuration from its peers and, through Accept, from
// the store. It moves forward only: a revision at or below the one in force
// changes nothing.
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
	controlInbox    = 1024
	tickInterval    = 100 * time.Millisecond
	publishInterval = 500 * time.Millisecond
	pingInterval    = time.Second
	ringInterval    = time.Second
	seedInterval    = 5 * time.Second
	reviveInterval  = 30 * time.Second
	watchersPerDC   = 2
	contactsPerDC   = 3
)

// StoreRole says which tasks towards the store this node has.
type StoreRole struct {
	watch   bool
	contact bool
	alone   bool
}

// Watcher reports whether the node watches the configuration in the store.
func (d StoreRole) Watcher() bool { return d.watch }

// ContactNode reports whether the node keeps a contact entry in the store.
func (d StoreRole) ContactNode() bool { return d.contact }

// Isolated reports whether the node has no link, so that it looks for contacts.
func (d StoreRole) Isolated() bool { return d.alone }

// Contact is where a node can be reached by one that joins.
type Contact struct {
	name    string
	control string
}

// NewContact returns a contact.
func NewContact(name, control string) Contact { return Contact{name: name, control: control} }

// Name returns the host name.
func (c Contact) Name() string { return c.name }

// ControlAddress returns host:port where the node takes links.
func (c Contact) ControlAddress() string { return c.control }

// Hooks are called from the task's goroutine and must not block for long.
type Hooks struct {
	members func([]member.Record)
	config  func(*document.Document)
	duty    func(StoreRole)
	reach   func(ctx context.Context, name, calls string) bool
	fault   func(event, peer, reason string)
}

// NewHooks returns hooks: members is told the usable nodes and config the
// document in force whenever they change; duty is told what to do at the
// store; reach tries to reach a node where it takes calls; fault is told of
// failures.
func NewHooks(members func([]member.Record), config func(*document.Document), duty func(StoreRole), reach func(context.Context, string, string) bool, fault func(event, peer, reason string)) Hooks {
	return Hooks{members: members, config: config, duty: duty, reach: reach, fault: fault}
}

// Agent is the task of a node's control traffic.
type Agent struct {
	clock     clockwork.Clock
	rng       *rand.Rand
	transport *Transport
	hooks     Hooks
	inbox     *task.Inbox[controlMessage]
	table     *member.Table
	config    configState
	links     map[string]*Link
	dialling  map[string]bool
	seeds     []Contact
	rumours   map[string]rumour
	probes    map[string]*probing
	budget    budget
	lastTick  time.Time

	publishedAt time.Time

	pingedAt  time.Time
	ringAt    time.Time
	seededAt  time.Time
	revivedAt time.Time
	sequence  uint64
	ring      ringView
	dirty     bool
	duty      StoreRole
	synced    bool
	received  uint64
	suspected uint64
	refuted   uint64

	// inForce is the revision in force, for senders that want to know whether
	// a message is worth sending.
	inForce atomic.Uint64
}

// rumour is a claim that waits to be spread, and the peer that told it.
type rumour struct {
	claim member.Record
	from  string
}

// controlMessage is a closed union; exactly one part is set.
type controlMessage struct {
	linked  *linked
	down    *linkDown
	frame   *frame
	failed  *dialFailed
	servers *[]member.Server
	accept  *document.Document
	hear    *hear
	seeds   []Contact
	reached *reached
	leave   task.Reply[bool]
	dump    task.Reply[Dump]
	current task.Reply[*document.Document]
}

type linked struct {
	link   *Link
	stream *quic.Stream
}

type linkDown struct {
	link *Link
}

type frame struct {
	link    *Link
	message Message
	size    int
}

// dialFailed tells of a link that could not be dialled or, as a hint, of a call
// that could not connect.
type dialFailed struct {
	name string
	hint bool
}

type hear struct {
	revision document.Revision
	from     string
}

type reached struct {
	name  string
	asker string
	alive bool
}

// New returns the task of a node whose own claim is self.
func New(clock clockwork.Clock, rng *rand.Rand, transport *Transport, charts *chart.Set, self member.Record, hooks Hooks) (*Agent, error) {
	memberChart, err := charts.Chart("member")
	if err != nil {
		return nil, err
	}
	table, err := member.NewTable(memberChart, self, clock.Now())
	if err != nil {
		return nil, err
	}
	c := &Agent{
		clock: clock, rng: rng, transport: transport, hooks: hooks, table: table,
		inbox: task.NewInbox[controlMessage](controlInbox), links: map[string]*Link{}, dialling: map[string]bool{},
		rumours: map[string]rumour{}, probes: map[string]*probing{}, budget: newBudget(clock.Now()),
		lastTick: clock.Now(), dirty: true,
	}
	configChart, err := charts.Chart("configuration")
	if err != nil {
		return nil, err
	}
	return c, c.config.start(configChart, c)
}

// Run serves messages and links until ctx ends.
func (c *Agent) Run(ctx context.Context) {
	defer c.inbox.Close()
	go c.acceptLinks(ctx)
	ticker := c.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeLinks()
			return
		case m := <-c.inbox.Messages():
			c.handle(ctx, m)
		case <-ticker.Chan():
			c.tick(ctx, c.clock.Now())
		}
	}
}

// SetServers states which servers of this host are open.
func (c *Agent) SetServers(servers []member.Server) {
	c.inbox.Send(controlMessage{servers: &servers})
}

// OfferDocument offers a document that the store holds.
func (c *Agent) OfferDocument(d *document.Document) { c.inbox.Send(controlMessage{accept: d}) }

// ObserveRevision tells of a revision that a peer mentioned.
func (c *Agent) ObserveRevision(r document.Revision, from string) {
	if uint64(r) > c.inForce.Load() {
		c.inbox.TrySend(controlMessage{hear: &hear{revision: r, from: from}})
	}
}

// ReportUnreachable tells that a call to a node could not connect, so that the node is
// probed at once.
func (c *Agent) ReportUnreachable(name string) {
	c.inbox.TrySend(controlMessage{failed: &dialFailed{name: name, hint: true}})
}

// SetSeeds states where nodes can be reached when no link exists.
func (c *Agent) SetSeeds(seeds []Contact) { c.inbox.Send(controlMessage{seeds: seeds}) }

// Leave tells the fleet that this node leaves, and returns when it was sent.
func (c *Agent) Leave(ctx context.Context) {
	reply := task.NewReply[bool]()
	if c.inbox.Send(controlMessage{leave: reply}) {
		reply.Wait(ctx, c.inbox.Done())
	}
}

// Current returns the document in force, nil when there is none.
func (c *Agent) Current(ctx context.Context) *document.Document {
	reply := task.NewReply[*document.Document]()
	if !c.inbox.Send(controlMessage{current: reply}) {
		return nil
	}
	d, _ := reply.Wait(ctx, c.inbox.Done())
	return d
}

func (c *Agent) handle(ctx context.Context, m controlMessage) {
	now := c.clock.Now()
	switch {
	case m.frame != nil:
		c.received += uint64(m.frame.size + packetCost)
		c.receive(ctx, now, m.frame.link, m.frame.message)
	case m.linked != nil:
		c.linkUp(now, *m.linked)
	case m.down != nil:
		c.linkDown(now, m.down.link)
	case m.failed != nil:
		if !m.failed.hint {
			delete(c.dialling, m.failed.name)
		}
		c.startProbe(now, m.failed.name)
	case m.servers != nil:
		c.spread(c.table.UpdateSelf(now, *m.servers, false), "")
	case m.accept != nil:
		c.config.offer(m.accept)
	case m.hear != nil:
		c.config.hear(now, m.hear.revision, m.hear.from)
	case m.seeds != nil:
		c.seeds = m.seeds
		c.seededAt = time.Time{}
		c.revivedAt = time.Time{}
	case m.reached != nil:
		c.answerProbe(*m.reached)
	default:
		c.handleQuestion(now, m)
	}
}

func (c *Agent) handleQuestion(now time.Time, m controlMessage) {
	switch {
	case m.leave != nil:
		c.spread(c.table.UpdateSelf(now, nil, true), "")
		c.flush(now)
		m.leave <- true
	case m.dump != nil:
		m.dump <- c.snapshot()
	case m.current != nil:
		m.current <- c.config.current
	}
}

func (c *Agent) tick(ctx context.Context, now time.Time) {
	c.forgive(now)
	c.budget.refill(now)
	for _, change := range c.table.Tick(now) {
		c.spread(change.Record(), "")
	}
	c.flush(now)
	c.detect(ctx, now)
	if now.Sub(c.pingedAt) >= pingInterval {
		c.pingedAt = now
		c.pingAll()
	}
	if now.Sub(c.ringAt) >= ringInterval {
		c.ringAt = now
		c.keepRing(ctx)
		c.decideDuty()
	}
	c.config.retry(now)
	c.publish()
}

// publish tells the rest of the node of changes: of the first at once, of those
// that follow once in publishInterval, since it costs time in proportion to the
// fleet.
func (c *Agent) publish() {
	if !c.dirty || c.clock.Now().Sub(c.publishedAt) < publishInterval {
		return
	}
	c.publishedAt = c.clock.Now()
	c.dirty = false
	c.hooks.members(c.table.Usable())
}

// spread queues a claim for all links but the one it came from.
func (c *Agent) spread(claim member.Record, from string) {
	c.dirty = true
	c.rumours[claim.Name()] = rumour{claim: claim, from: from}
}

// flush sends the queued claims in one batch to each link. Claims that the
// budget does not allow stay queued; newer ones about the same node replace
// them.
func (c *Agent) flush(time.Time) {
	if len(c.rumours) == 0 || len(c.links) == 0 {
		return
	}
	batch := make([]rumour, 0, maxClaimsPerMessage)
	for name, r := range c.rumours {
		if len(batch) == maxClaimsPerMessage {
			break
		}
		batch = append(batch, r)
		delete(c.rumours, name)
	}
	for _, l := range c.links {
		claims := make([]member.Record, 0, len(batch))
		for _, r := range batch {
			if r.from != l.peer {
				claims = append(claims, r.claim)
			}
		}
		if len(claims) > 0 && !c.send(l, RecordsMessage(claims), priorityClaims) {
			c.requeue(batch)
			return
		}
	}
}

func (c *Agent) requeue(batch []rumour) {
	for _, r := range batch {
		if _, newer := c.rumours[r.claim.Name()]; !newer {
			c.rumours[r.claim.Name()] = r
		}
	}
}

// send encodes a message and queues it on a link, within the budget. It
// reports false when the budget sheds it.
func (c *Agent) send(l *Link, m Message, p priority) bool {
	payload, err := Encode(m)
	if err != nil {
		c.hooks.fault("encode", l.peer, err.Error())
		return true
	}
	size := len(payload) + headerLen + packetCost
	if !c.budget.allows(p, size) {
		return false
	}
	c.budget.spend(size)
	if !l.offer(payload) {
		c.hooks.fault("slow link", l.peer, "outbound queue is full")
		l.closing()
	}
	return true
}

func (c *Agent) pingAll() {
	digest := c.table.Digest()
	for _, l := range c.links {
		if l.dialled {
			c.sequence++
			l.pinged = c.sequence
			c.send(l, PingMessage(false, c.sequence, digest, c.config.revision()), priorityEssential)
		}
	}
}

// decideDuty tells the store's task whether this node, in its own view, is
// among the watchers and contacts of its data centre. Two views may both say
// yes for a while; that costs calls and harms nothing.
func (c *Agent) decideDuty() {
	duty := c.ring.duty
	duty.alone = len(c.links) == 0
	if duty != c.duty {
		c.duty = duty
		c.hooks.duty(duty)
	}
}

func contains(claims []member.Record, name string) bool {
	for _, c := range claims {
		if c.Name() == name {
			return true
		}
	}
	return false
}

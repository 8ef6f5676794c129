package gossip

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"savorygap.example/lib/document"
	"savorygap.example/lib/member"
)

const (
	maxLinks        = 48
	referralSize    = 4
	claimSize       = 200 // bytes, for the estimate of a full exchange
	differsForSync  = 3   // pings
	seedsDialled    = 2
	strangerTimeout = 10 * time.Second
)

func (c *Agent) acceptLinks(ctx context.Context) {
	err := c.transport.accept(ctx, func(conn *quic.Conn, stream *quic.Stream) {
		c.startLink(conn, stream, false)
	})
	if err != nil {
		c.hooks.fault("accept links", "", err.Error())
	}
}

func (c *Agent) startLink(conn *quic.Conn, stream *quic.Stream, dialled bool) {
	l := newLink(conn, stream, dialled, c.clock.Now())
	if !c.inbox.Send(controlMessage{linked: &linked{link: l, stream: stream}}) {
		l.closing()
		return
	}
	go c.readLink(l, stream)
}

// readLink passes messages to the task until the link ends.
func (c *Agent) readLink(l *Link, stream *quic.Stream) {
	_ = ReadMessages(stream, func(m Message, size int) bool {
		return c.inbox.Send(controlMessage{frame: &frame{link: l, message: m, size: size}})
	})
	l.closing()
	c.inbox.Send(controlMessage{down: &linkDown{link: l}})
}

func (c *Agent) dial(ctx context.Context, name, address string) {
	if c.dialling[name] || c.links[name] != nil || name == c.table.Self().Name() {
		return
	}
	c.dialling[name] = true
	go func() {
		conn, stream, err := c.transport.dial(ctx, name, address)
		if err != nil {
			c.inbox.Send(controlMessage{failed: &dialFailed{name: name}})
			return
		}
		c.startLink(conn, stream, true)
	}()
}

// linkUp takes a new link. Of two links with one peer, that dialled by the node
// with the lesser name stays; of two in the same direction, the newer.
func (c *Agent) linkUp(now time.Time, up linked) {
	l := up.link
	delete(c.dialling, l.peer)
	if len(c.links) >= maxLinks {
		l.closing()
		return
	}
	if old := c.links[l.peer]; old != nil {
		if old.dialled != l.dialled && c.prefers(old) {
			l.closing()
			return
		}
		old.closing()
	}
	l.heard = now
	c.links[l.peer] = l
	if l.dialled {
		c.sendHello(l)
	}
}

func (c *Agent) prefers(l *Link) bool {
	weAreLess := c.table.Self().Name() < l.peer
	return l.dialled == weAreLess
}

func (c *Agent) sendHello(l *Link) {
	hello := HelloMessage(c.table.Self(), c.table.Digest(), c.table.Len(), c.config.revision())
	c.send(l, hello, priorityEssential)
}

func (c *Agent) linkDown(now time.Time, l *Link) {
	if c.links[l.peer] != l {
		return
	}
	delete(c.links, l.peer)
	if claim, ok := c.table.Get(l.peer); ok && claim.Status() == member.Alive {
		c.startProbe(now, l.peer)
	}
}

func (c *Agent) closeLinks() {
	for _, l := range c.links {
		l.closing()
	}
	c.transport.Close()
}

// keepRing dials the neighbours that have no link, drops links that neither
// side needs, and looks for lost nodes from time to time.
func (c *Agent) keepRing(ctx context.Context) {
	now := c.clock.Now()
	c.refreshRing()
	wanted := map[string]bool{}
	for _, n := range c.ring.neighbours {
		wanted[n.Name()] = true
		c.dial(ctx, n.Name(), n.ControlAddress())
	}
	for name, l := range c.links {
		if l.dialled && !wanted[name] && c.synced && now.Sub(l.since) > strangerTimeout {
			l.closing()
		}
	}
	if len(c.links) == 0 && now.Sub(c.seededAt) >= seedInterval {
		c.seededAt = now
		c.dialSeeds(ctx)
	}
	if now.Sub(c.revivedAt) >= reviveInterval {
		c.revivedAt = now
		c.revive(ctx)
	}
}

// ringView is what follows from the view alone. It is worked out again only
// after a change of the view, since it sorts all nodes.
type ringView struct {
	changes    uint64
	neighbours []member.Record
	duty       StoreRole
}

func (c *Agent) refreshRing() {
	if c.ring.changes == c.table.Changes() {
		return
	}
	self := c.table.Self()
	c.ring = ringView{
		changes:    c.table.Changes(),
		neighbours: c.table.Neighbours(),
		duty: StoreRole{
			watch:   contains(c.table.RendezvousTop("watch", self.DataCentre(), watchersPerDC), self.Name()),
			contact: contains(c.table.RendezvousTop("contact", self.DataCentre(), contactsPerDC), self.Name()),
		},
	}
}

func (c *Agent) dialSeeds(ctx context.Context) {
	c.synced = len(c.seeds) == 0
	for i, at := range c.rng.Perm(len(c.seeds)) {
		if i == seedsDialled {
			return
		}
		c.dial(ctx, c.seeds[at].name, c.seeds[at].control)
	}
}

// revive dials one node that is held for failed, and one seed, so that two
// sides of a partition find each other when it ends.
func (c *Agent) revive(ctx context.Context) {
	var failed []member.Record
	for _, m := range c.table.All() {
		if m.Status() == member.Failed {
			failed = append(failed, m)
		}
	}
	if len(failed) > 0 {
		m := failed[c.rng.IntN(len(failed))]
		c.dial(ctx, m.Name(), m.ControlAddress())
	}
	for _, at := range c.rng.Perm(len(c.seeds)) {
		if claim, known := c.table.Get(c.seeds[at].name); !known || claim.Status() == member.Failed {
			c.dial(ctx, c.seeds[at].name, c.seeds[at].control)
			return
		}
	}
}

func (c *Agent) receive(ctx context.Context, now time.Time, l *Link, m Message) {
	l.heard = now
	delete(c.probes, l.peer)
	switch {
	case m.hello != nil:
		c.takeHello(now, l, *m.hello)
	case m.ping != nil:
		c.takePing(now, l, *m.ping)
	case m.claims != nil:
		c.takeClaims(now, l, m.claims)
	case m.buckets != nil:
		c.takeBuckets(l, *m.buckets)
	case m.referral != nil:
		for _, claim := range m.referral {
			c.dial(ctx, claim.Name(), claim.ControlAddress())
		}
	case m.request != nil:
		c.config.answer(l, m.request.have)
	case m.delta != nil:
		c.config.patch(now, l, *m.delta)
	case m.probe != nil:
		c.takeProbe(ctx, now, l, *m.probe)
	case m.verdict != nil:
		c.takeVerdict(now, *m.verdict)
	}
}

// takeHello answers a node that opened a link. One that knows nobody gets the
// whole view, or is referred to others when the budget does not bear that.
func (c *Agent) takeHello(now time.Time, l *Link, h Hello) {
	if h.claim.Name() != l.peer {
		c.hooks.fault("hello", l.peer, "claims the name "+h.claim.Name())
		l.closing()
		return
	}
	c.takeClaims(now, l, []member.Record{h.claim})
	c.noteRevision(now, l, h.revision)
	c.send(l, PingMessage(true, 0, c.table.Digest(), c.config.revision()), priorityEssential)
	c.send(l, RecordsMessage([]member.Record{c.table.Self()}), priorityEssential)
	if h.digest == c.table.Digest() {
		return
	}
	if h.known > 1 {
		c.send(l, Message{buckets: &BucketDigests{digests: c.table.Digests()}}, priorityRepair)
		return
	}
	if !c.budget.allows(priorityRepair, c.table.Len()*claimSize) {
		c.refer(l)
		return
	}
	c.sendClaims(l, c.table.All())
}

func (c *Agent) sendClaims(l *Link, claims []member.Record) {
	for _, m := range splitClaims(claims) {
		c.send(l, m, priorityRepair)
	}
}

func (c *Agent) refer(l *Link) {
	usable := c.table.Usable()
	var others []member.Record
	for _, at := range c.rng.Perm(len(usable)) {
		if usable[at].Name() != l.peer && usable[at].Name() != c.table.Self().Name() && len(others) < referralSize {
			others = append(others, usable[at])
		}
	}
	c.send(l, Message{referral: others}, priorityEssential)
}

func (c *Agent) takePing(now time.Time, l *Link, p Ping) {
	c.noteRevision(now, l, p.revision)
	digest := c.table.Digest()
	if !p.echo {
		c.send(l, PingMessage(true, p.sequence, digest, c.config.revision()), priorityEssential)
	}
	if p.digest == digest {
		l.differs = 0
		c.synced = true
		return
	}
	l.differs++
	if l.differs >= differsForSync && l.dialled {
		l.differs = 0
		c.send(l, Message{buckets: &BucketDigests{digests: c.table.Digests()}}, priorityRepair)
	}
}

func (c *Agent) noteRevision(now time.Time, l *Link, r document.Revision) {
	l.revision = uint64(r)
	c.config.hear(now, r, l.peer)
}

func (c *Agent) takeClaims(now time.Time, l *Link, claims []member.Record) {
	for _, claim := range claims {
		change := c.table.Merge(now, claim)
		if change.Refuted() {
			c.refuted++
			c.spread(change.Record(), "")
			continue
		}
		if change.Changed() {
			c.spread(change.Record(), l.peer)
		}
	}
	c.synced = true
}

// takeBuckets sends what differs, and once more the own digests, so that the
// peer sends what it has.
func (c *Agent) takeBuckets(l *Link, b BucketDigests) {
	differing := c.table.DifferingBuckets(b.digests)
	if len(differing) == 0 {
		return
	}
	c.sendClaims(l, c.table.RecordsInBuckets(differing))
	if !b.answer {
		c.send(l, Message{buckets: &BucketDigests{digests: c.table.Digests(), answer: true}}, priorityRepair)
	}
}

package gossip

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"savorygap.example/lib/document"
	"savorygap.example/lib/member"
)

const (
	maxLinks                   = 48
	maxReferralNodes           = 4
	estimatedRecordBytes       = 200 // to estimate the size of a full table
	digestMismatchesBeforeSync = 3   // pings
	seedsPerAttempt            = 2
	unneededLinkTimeout        = 10 * time.Second
)

func (a *Agent) acceptLinks(ctx context.Context) {
	err := a.transport.accept(ctx, func(conn *quic.Conn, stream *quic.Stream) {
		a.startLink(conn, stream, false)
	})
	if err != nil {
		a.hooks.reportFault("accept links", "", err.Error())
	}
}

// startLink passes a new link to the agent and starts its reader.
func (a *Agent) startLink(conn *quic.Conn, stream *quic.Stream, dialled bool) {
	l := newLink(conn, stream, dialled, a.clock.Now())
	if !a.inbox.Send(agentMessage{linkOpened: &linkOpened{link: l, stream: stream}}) {
		l.closeConn()
		return
	}
	go a.readLink(l, stream)
}

// readLink passes received messages to the agent until the link ends.
func (a *Agent) readLink(l *Link, stream *quic.Stream) {
	_ = ReadMessages(stream, func(m Message, size int) bool {
		return a.inbox.Send(agentMessage{receivedMessage: &receivedMessage{link: l, message: m, size: size}})
	})
	l.closeConn()
	a.inbox.Send(agentMessage{linkClosed: &linkClosed{link: l}})
}

// dial opens a link to a node in the background, unless there is one or it is
// being dialled already.
func (a *Agent) dial(ctx context.Context, name, address string) {
	if a.dialling[name] || a.links[name] != nil || name == a.table.Self().Name() {
		return
	}
	a.dialling[name] = true
	go func() {
		conn, stream, err := a.transport.dial(ctx, name, address)
		if err != nil {
			a.inbox.Send(agentMessage{unreachable: &unreachableNode{name: name}})
			return
		}
		a.startLink(conn, stream, true)
	}()
}

// addLink registers a new link. Of two links with the same peer, the one dialled
// by the node with the lesser name is kept; if the same node dialled both, the
// newer.
func (a *Agent) addLink(now time.Time, opened linkOpened) {
	l := opened.link
	delete(a.dialling, l.peer)
	if len(a.links) >= maxLinks {
		l.closeConn()
		return
	}
	if existing := a.links[l.peer]; existing != nil {
		if existing.dialled != l.dialled && a.prefersLink(existing) {
			l.closeConn()
			return
		}
		existing.closeConn()
	}
	l.lastReceived = now
	a.links[l.peer] = l
	if l.dialled {
		a.sendHello(l)
	}
}

// prefersLink reports whether l was dialled by the node with the lesser name.
func (a *Agent) prefersLink(l *Link) bool {
	selfIsLess := a.table.Self().Name() < l.peer
	return l.dialled == selfIsLess
}

func (a *Agent) sendHello(l *Link) {
	hello := HelloMessage(a.table.Self(), a.table.Digest(), a.table.Len(), a.config.revision())
	a.send(l, hello, priorityEssential)
}

// removeLink forgets a closed link, if it is still the current one of its peer,
// and probes the peer.
func (a *Agent) removeLink(now time.Time, l *Link) {
	if a.links[l.peer] != l {
		return
	}
	delete(a.links, l.peer)
	if record, ok := a.table.Get(l.peer); ok && record.Status() == member.Alive {
		a.startProbe(now, l.peer)
	}
}

func (a *Agent) closeLinks() {
	for _, l := range a.links {
		l.closeConn()
	}
	a.transport.Close()
}

// maintainLinks dials neighbours without a link, closes links that this node
// dialled and no longer needs, dials seeds when there is no link, and tries to
// reconnect to lost nodes from time to time.
func (a *Agent) maintainLinks(ctx context.Context) {
	now := a.clock.Now()
	a.refreshRing()
	wanted := map[string]bool{}
	for _, n := range a.ring.neighbours {
		wanted[n.Name()] = true
		a.dial(ctx, n.Name(), n.ControlAddress())
	}
	for name, l := range a.links {
		if l.dialled && !wanted[name] && a.synced && now.Sub(l.openedAt) > unneededLinkTimeout {
			l.closeConn()
		}
	}
	if len(a.links) == 0 && now.Sub(a.seedsDialledAt) >= seedDialInterval {
		a.seedsDialledAt = now
		a.dialSeeds(ctx)
	}
	if now.Sub(a.reconnectedAt) >= reconnectInterval {
		a.reconnectedAt = now
		a.reconnectFailed(ctx)
	}
}

// ringState caches what is derived from the membership table alone. It is
// computed again only when the table changed, since that sorts all nodes.
type ringState struct {
	generation uint64
	neighbours []member.Record
	role       StoreRole
}

func (a *Agent) refreshRing() {
	if a.ring.generation == a.table.Generation() {
		return
	}
	self := a.table.Self()
	a.ring = ringState{
		generation: a.table.Generation(),
		neighbours: a.table.Neighbours(),
		role: StoreRole{
			watcher:     containsNode(a.table.RendezvousTop("watch", self.DataCentre(), watchersPerDC), self.Name()),
			contactNode: containsNode(a.table.RendezvousTop("contact", self.DataCentre(), contactNodesPerDC), self.Name()),
		},
	}
}

// dialSeeds dials a few random seeds. If there are any, the node counts as not
// synced until a peer sends records or an equal digest.
func (a *Agent) dialSeeds(ctx context.Context) {
	a.synced = len(a.seeds) == 0
	for i, index := range a.rng.Perm(len(a.seeds)) {
		if i == seedsPerAttempt {
			return
		}
		a.dial(ctx, a.seeds[index].name, a.seeds[index].address)
	}
}

// reconnectFailed dials one random node that is marked as failed, and one seed
// that is unknown or failed, so that the two sides of a network partition
// reconnect when it ends.
func (a *Agent) reconnectFailed(ctx context.Context) {
	var failed []member.Record
	for _, m := range a.table.All() {
		if m.Status() == member.Failed {
			failed = append(failed, m)
		}
	}
	if len(failed) > 0 {
		m := failed[a.rng.IntN(len(failed))]
		a.dial(ctx, m.Name(), m.ControlAddress())
	}
	for _, index := range a.rng.Perm(len(a.seeds)) {
		if record, known := a.table.Get(a.seeds[index].name); !known || record.Status() == member.Failed {
			a.dial(ctx, a.seeds[index].name, a.seeds[index].address)
			return
		}
	}
}

func (a *Agent) handleMessage(ctx context.Context, now time.Time, l *Link, m Message) {
	l.lastReceived = now
	delete(a.probes, l.peer)
	switch {
	case m.hello != nil:
		a.handleHello(now, l, *m.hello)
	case m.ping != nil:
		a.handlePing(now, l, *m.ping)
	case m.records != nil:
		a.handleRecords(now, l, m.records)
	case m.bucketDigests != nil:
		a.handleBucketDigests(l, *m.bucketDigests)
	case m.referral != nil:
		for _, record := range m.referral {
			a.dial(ctx, record.Name(), record.ControlAddress())
		}
	case m.deltaRequest != nil:
		a.config.sendUpdate(l, m.deltaRequest.have)
	case m.delta != nil:
		a.config.applyDelta(now, l, *m.delta)
	case m.probe != nil:
		a.handleProbe(ctx, now, l, *m.probe)
	case m.probeResult != nil:
		a.handleProbeResult(now, *m.probeResult)
	}
}

// handleHello responds to a node that opened a link. If that node knows no
// other, it receives the whole membership table, or a referral to other nodes
// if the budget does not allow that.
func (a *Agent) handleHello(now time.Time, l *Link, h Hello) {
	if h.record.Name() != l.peer {
		a.hooks.reportFault("hello", l.peer, "hello carries the name "+h.record.Name())
		l.closeConn()
		return
	}
	a.handleRecords(now, l, []member.Record{h.record})
	a.observePeerRevision(now, l, h.revision)
	a.send(l, PingMessage(true, 0, a.table.Digest(), a.config.revision()), priorityEssential)
	a.send(l, RecordsMessage([]member.Record{a.table.Self()}), priorityEssential)
	if h.digest == a.table.Digest() {
		return
	}
	if h.knownNodes > 1 {
		a.send(l, Message{bucketDigests: &BucketDigests{digests: a.table.Digests()}}, priorityRepair)
		return
	}
	if !a.budget.allow(priorityRepair, a.table.Len()*estimatedRecordBytes) {
		a.sendReferral(l)
		return
	}
	a.sendRecords(l, a.table.All())
}

func (a *Agent) sendRecords(l *Link, records []member.Record) {
	for _, m := range splitRecords(records) {
		a.send(l, m, priorityRepair)
	}
}

// sendReferral sends a few random usable nodes for the peer to dial instead.
func (a *Agent) sendReferral(l *Link) {
	usable := a.table.Usable()
	var others []member.Record
	for _, index := range a.rng.Perm(len(usable)) {
		if usable[index].Name() != l.peer && usable[index].Name() != a.table.Self().Name() && len(others) < maxReferralNodes {
			others = append(others, usable[index])
		}
	}
	a.send(l, Message{referral: others}, priorityEssential)
}

// handlePing echoes a ping and compares digests. A mismatch that persists over
// several pings starts an exchange of bucket digests.
func (a *Agent) handlePing(now time.Time, l *Link, p Ping) {
	a.observePeerRevision(now, l, p.revision)
	digest := a.table.Digest()
	if !p.echo {
		a.send(l, PingMessage(true, p.sequence, digest, a.config.revision()), priorityEssential)
	}
	if p.digest == digest {
		l.digestMismatches = 0
		a.synced = true
		return
	}
	l.digestMismatches++
	if l.digestMismatches >= digestMismatchesBeforeSync && l.dialled {
		l.digestMismatches = 0
		a.send(l, Message{bucketDigests: &BucketDigests{digests: a.table.Digests()}}, priorityRepair)
	}
}

func (a *Agent) observePeerRevision(now time.Time, l *Link, r document.Revision) {
	l.peerRevision = uint64(r)
	a.config.observeRevision(now, r, l.peer)
}

// handleRecords merges records and broadcasts those that changed the table.
func (a *Agent) handleRecords(now time.Time, l *Link, records []member.Record) {
	for _, record := range records {
		change := a.table.Merge(now, record)
		if change.Refuted() {
			a.refutations++
			a.broadcast(change.Record(), "")
			continue
		}
		if change.Changed() {
			a.broadcast(change.Record(), l.peer)
		}
	}
	a.synced = true
}

// handleBucketDigests sends the records of the differing buckets and, unless the
// message was itself a reply, this node's digests, so that the peer sends its
// records too.
func (a *Agent) handleBucketDigests(l *Link, b BucketDigests) {
	differing := a.table.DifferingBuckets(b.digests)
	if len(differing) == 0 {
		return
	}
	a.sendRecords(l, a.table.RecordsInBuckets(differing))
	if !b.reply {
		a.send(l, Message{bucketDigests: &BucketDigests{digests: a.table.Digests(), reply: true}}, priorityRepair)
	}
}

package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
)

func (f *Fleet) fire(e chart.Event) {
	if !f.machine.Accepts(e) {
		return
	}
	if err := f.machine.Fire(e); err != nil {
		f.log.Write("chart-error", "error", err.Error())
	}
}

// accept takes connections from peers; each is greeted on a goroutine of its
// own, since a peer may be slow to say hello.
func (f *Fleet) accept(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				f.log.Write("link-accept-failed", "error", err.Error())
			}
			return
		}
		go f.greet(conn)
	}
}

func (f *Fleet) greet(conn net.Conn) {
	hello, reader, err := link.ReadHello(conn)
	if err == nil {
		err = link.SetUserTimeout(conn)
	}
	if err != nil {
		f.log.Write("link-refused", "remote", conn.RemoteAddr().String(), "error", err.Error())
		_ = conn.Close()
		return
	}
	build := func(serial uint64) *link.Link {
		return link.New(conn, reader, serial, hello.Node(), f.server, f.linkHooks(), f.clock)
	}
	if !f.inbox.Send(message{accepted: &accepted{conn: conn, hello: hello, build: build}}) {
		_ = conn.Close()
	}
}

func (f *Fleet) linkHooks() link.Hooks {
	return link.NewHooks(
		func(l *link.Link, h link.Hello) { f.inbox.Send(message{hello: &helloed{link: l, hello: h}}) },
		func(l *link.Link, s link.ServerState) { f.inbox.Send(message{state: &stated{link: l, state: s}}) },
		func(l *link.Link, k link.Versions) { f.inbox.Send(message{notice: &noticed{link: l, known: k}}) },
		f.signalled,
		func(records []registry.Record) { f.inbox.Send(message{members: records}) },
		func(l *link.Link, d link.Snapshot) {
			f.inbox.Send(message{document: &documented{link: l, document: d}})
		},
		func(l *link.Link, err error) { f.inbox.Send(message{ended: &ended{link: l, err: err}}) },
	)
}

// signalled takes in a signal. It is called from the link's task.
func (f *Fleet) signalled(l *link.Link, s link.Signal) {
	switch s {
	case link.WatchStarted, link.WatchEnded:
		f.hooks.turn(l.Peer(), s == link.WatchStarted)
	case link.FetchSnapshot:
		f.inbox.Send(message{fetch: l})
	case link.Busy:
		f.inbox.Send(message{busy: l})
	case link.EntryLost:
		f.hooks.lapsed()
	}
}

func (f *Fleet) hello() link.Hello {
	return link.NewHello(f.self.node, f.self.address, f.self.dataCentre, f.state, f.situation.known()).WithBandwidth(f.self.speed)
}

func (f *Fleet) begin(ctx context.Context, l *link.Link) *peerLink {
	p := &peerLink{link: l, since: f.clock.Now()}
	f.links[l.ID()] = p
	l.SendHello(f.hello())
	go l.Run(ctx)
	return p
}

func (f *Fleet) nextSerial() uint64 {
	f.serial++
	return f.serial
}

func (f *Fleet) handleAccepted(ctx context.Context, a *accepted) {
	p := f.begin(ctx, a.build(f.nextSerial()))
	f.met(p, a.hello)
}

func (f *Fleet) handleDialled(ctx context.Context, d *dialled) {
	c := f.contact(d.node)
	c.dialing, c.failed = false, d.err != nil
	if d.err != nil {
		c.backoff = min(max(2*c.backoff, redialMin), redialMax)
		c.retryAt = f.clock.Now().Add(c.backoff/2 + rand.N(c.backoff/2))
		f.log.Write("link-dial-failed", "peer", d.node, "error", d.err.Error(), "retry_ms", c.backoff.Milliseconds())
		return
	}
	c.backoff = 0
	f.begin(ctx, link.New(d.conn, nil, f.nextSerial(), d.node, f.server, f.linkHooks(), f.clock))
}

func (f *Fleet) handleHello(h *helloed) {
	if p, ok := f.links[h.link.ID()]; ok {
		f.met(p, h.hello)
	}
}

// met takes in a peer's hello.
func (f *Fleet) met(p *peerLink, h link.Hello) {
	p.hello, p.state, p.ready = h, h.ServerState(), true
	f.log.Write("link-up", "peer", h.Node(), "address", h.Address(), "service", h.ServerState().Service(), "open", h.ServerState().Accepting(), "version", h.Versions().Configuration(), "evacuation", h.Versions().Evacuation())
	f.hear(p.link, h.Versions())
	f.tellPeers()
}

func (f *Fleet) handleState(s *stated) {
	if p, ok := f.links[s.link.ID()]; ok && p.ready {
		p.state = s.state
		f.tellPeers()
	}
}

func (f *Fleet) setState(s link.ServerState) {
	f.state = s
	for _, p := range f.links {
		p.link.SendServerState(s)
	}
}

func (f *Fleet) sendTurn(begins bool) {
	s := link.WatchEnded
	if begins {
		s = link.WatchStarted
	}
	for _, p := range f.links {
		p.link.SendSignal(s)
	}
}

func (f *Fleet) handleEnded(e *ended) {
	p, ok := f.links[e.link.ID()]
	if !ok {
		return
	}
	delete(f.links, e.link.ID())
	f.sources = slices.DeleteFunc(f.sources, func(l *link.Link) bool { return l == e.link })
	text := "closed"
	if e.err != nil {
		text = e.err.Error()
	}
	f.log.Write("link-down", "peer", p.link.Peer(), "cause", text, "lasted_ms", f.clock.Since(p.since).Milliseconds())
	f.tellPeers()
}

// tellPeers tells which nodes have a link. Where two links to a node live, the
// newer one counts.
func (f *Fleet) tellPeers() {
	newest := map[string]*peerLink{}
	for _, p := range f.links {
		if !p.ready {
			continue
		}
		if other, ok := newest[p.hello.Node()]; !ok || other.link.ID() < p.link.ID() {
			newest[p.hello.Node()] = p
		}
	}
	own := turnWeight(f.self.speed)
	all := own
	peers := make([]Peer, 0, len(newest))
	for node, p := range newest {
		all += turnWeight(p.hello.Bandwidth())
		peers = append(peers, Peer{node: node, dataCentre: p.hello.DataCentre(), state: p.state, port: p.link.Port()})
	}
	f.share.Store(math.Float64bits(own / all))
	f.hooks.peers(peers)
}

// turnWeight returns the weight of a node behind a connection of speed bytes a
// second. A few fast hosts take most turns; where these are cut from the store,
// many slow ones still begin theirs soon.
func turnWeight(speed float64) float64 { return math.Pow(max(speed, leastSpeed), turnPower) }

func (f *Fleet) contact(node string) *contact {
	c, ok := f.contacts[node]
	if !ok {
		c = &contact{since: f.clock.Now()}
		f.contacts[node] = c
	}
	return c
}

// bury removes the entry of a node that nobody has reached for long. One of the
// nodes that are linked does so, and all agree mostly on which.
func (f *Fleet) bury(m Member, c *contact, now time.Time) {
	if !c.failed || now.Sub(c.since) < goneAfter || now.Before(c.goneAt) || !f.buries(m.node) {
		return
	}
	c.goneAt = now.Add(goneAgain)
	f.log.Write("member-gone", "peer", m.node, "address", m.address, "out_of_reach_ms", now.Sub(c.since).Milliseconds())
	f.hooks.gone(registry.NewRecord(registry.KindMember, m.node, nil).WithVersion(m.version))
}

// buries reports whether this node comes first for a gone one, by a hash of both
// names.
func (f *Fleet) buries(gone string) bool {
	rank := func(node string) uint64 { return xxhash.Sum64String(node + "/" + gone) }
	own := rank(f.self.node)
	for _, p := range f.links {
		if p.ready && rank(p.hello.Node()) > own {
			return false
		}
	}
	return true
}

// tick dials the members without a link and fetches what is missing.
func (f *Fleet) tick(ctx context.Context) {
	if f.closed {
		return
	}
	linked := map[string]bool{f.self.node: true}
	for _, p := range f.links {
		linked[p.link.Peer()] = true
	}
	now := f.clock.Now()
	for node, m := range f.members {
		if linked[node] {
			delete(f.contacts, node)
			continue
		}
		c := f.contact(node)
		f.bury(m, c, now)
		if c.dialing || now.Before(c.retryAt) || f.self.node > node && now.Sub(c.since) < dialPatience {
			continue
		}
		c.dialing = true
		go f.dial(ctx, m)
	}
	for node := range f.contacts {
		if _, listed := f.members[node]; !listed {
			delete(f.contacts, node)
		}
	}
}

func (f *Fleet) dial(ctx context.Context, m Member) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.address)
	if err == nil {
		err = link.SetUserTimeout(conn)
	}
	if !f.inbox.Send(message{dialled: &dialled{node: m.node, conn: conn, err: err}}) && conn != nil {
		_ = conn.Close()
	}
}

package fleet

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"slices"

	"savorygap.example/lib/chart"
	"savorygap.example/lib/link"
	"savorygap.example/lib/registry"
	"savorygap.example/lib/task"
)

// fire passes an event to the chart unless the current state ignores it.
func (f *Fleet) fire(e chart.Event) {
	if !f.machine.Accepts(e) {
		return
	}
	if err := f.machine.Fire(e); err != nil {
		f.log.Write("chart-error", "error", err.Error())
	}
}

// acceptLoop accepts connections from peers. Each handshake runs in its own
// goroutine, since a peer may be slow to send its hello.
func (f *Fleet) acceptLoop(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				f.log.Write("link-accept-failed", "error", err.Error())
			}
			return
		}
		go f.handshake(conn)
	}
}

// handshake reads the hello of a peer that opened a connection.
func (f *Fleet) handshake(conn net.Conn) {
	defer task.Catch(func(e *task.PanicError) {
		_ = conn.Close()
		f.log.WritePanic("handshake", e)
	})
	hello, reader, err := link.ReadHello(conn)
	if err == nil {
		err = link.SetUserTimeout(conn)
	}
	if err != nil {
		f.log.Write("link-refused", "remote", conn.RemoteAddr().String(), "error", err.Error())
		_ = conn.Close()
		return
	}
	build := func(id uint64) *link.Link {
		return link.New(conn, reader, id, hello.Node(), f.handler, f.linkHooks(), f.clock)
	}
	if !f.inbox.Send(message{accepted: &acceptedConn{conn: conn, hello: hello, build: build}}) {
		_ = conn.Close()
	}
}

func (f *Fleet) linkHooks() link.Hooks {
	return f.withQuotas(link.NewHooks(
		func(l *link.Link, h link.Hello) { f.inbox.Send(message{hello: &helloMessage{link: l, hello: h}}) },
		func(l *link.Link, s link.ServerState) {
			f.inbox.Send(message{serverState: &serverStateMessage{link: l, serverState: s}})
		},
		func(l *link.Link, v link.Versions) {
			f.inbox.Send(message{versions: &versionsMessage{link: l, versions: v}})
		},
		f.handleSignal,
		func(records []registry.Record) { f.inbox.Send(message{members: records}) },
		func(records []registry.Record) { f.inbox.Send(message{departures: records}) },
		f.hooks.suspicions,
		func(l *link.Link, s link.Snapshot) {
			f.inbox.Send(message{snapshot: &snapshotMessage{link: l, snapshot: s}})
		},
		func(l *link.Link, silent bool) {
			f.inbox.Send(message{silence: &silenceMessage{link: l, silent: silent}})
		},
		func(l *link.Link, err error) { f.inbox.Send(message{ended: &linkEnded{link: l, err: err}}) },
	)).WithRollouts(f.hooks.rollouts.received).WithRoster(func(records []registry.Record) { f.inbox.Send(message{roster: records}) })
}

// handleSignal handles a signal. It is called from the task of the link.
func (f *Fleet) handleSignal(l *link.Link, s link.Signal) {
	switch s {
	case link.WatchStarted:
		f.hooks.watch(l.Peer(), registry.WatchStarted)
	case link.WatchEnded:
		f.hooks.watch(l.Peer(), registry.WatchEnded)
	case link.WatchFailed:
		f.hooks.watch(l.Peer(), registry.WatchFailed)
	case link.FetchSnapshot:
		f.inbox.Send(message{fetch: l})
	case link.Busy:
		f.inbox.Send(message{busy: l})
	case link.EntryLost:
		f.hooks.entryLost()
	case link.Stopping:
		f.inbox.Send(message{stopping: l})
	}
}

func (f *Fleet) hello() link.Hello {
	return link.NewHello(f.self.node, f.self.address, f.self.dataCentre, f.serverState, f.snapshot.versions()).WithBandwidth(f.self.bandwidth)
}

// startLink starts the task of a link and sends the hello of this node.
func (f *Fleet) startLink(ctx context.Context, l *link.Link) *peerLink {
	p := &peerLink{link: l, startedAt: f.clock.Now()}
	f.links[l.ID()] = p
	l.SendHello(f.hello())
	if f.stopping {
		l.SendSignal(link.Stopping)
	}
	go l.Run(ctx)
	return p
}

func (f *Fleet) nextLinkID() uint64 {
	f.lastLinkID++
	return f.lastLinkID
}

func (f *Fleet) handleAccepted(ctx context.Context, a *acceptedConn) {
	p := f.startLink(ctx, a.build(f.nextLinkID()))
	f.completeHandshake(p, a.hello)
}

func (f *Fleet) handleDialled(ctx context.Context, d *dialResult) {
	s := f.dialStateOf(d.node)
	s.dialing = false
	f.dials--
	defer f.dialMembers(ctx)
	if d.err != nil {
		s.lastFailureAt = f.clock.Now()
		s.backoff = min(max(2*s.backoff, minRedialDelay), maxRedialDelay)
		s.retryAt = f.clock.Now().Add(s.backoff/2 + rand.N(s.backoff/2))
		f.log.Write("link-dial-failed", "peer", d.node, "error", d.err.Error(), "retry_ms", s.backoff.Milliseconds())
		return
	}
	s.backoff = 0
	f.startLink(ctx, link.New(d.conn, nil, f.nextLinkID(), d.node, f.handler, f.linkHooks(), f.clock))
}

func (f *Fleet) handleHello(h *helloMessage) {
	if p, ok := f.links[h.link.ID()]; ok {
		f.completeHandshake(p, h.hello)
	}
}

// completeHandshake records the hello of a peer and passes the peers to the hooks.
func (f *Fleet) completeHandshake(p *peerLink, h link.Hello) {
	p.hello, p.serverState, p.helloReceived = h, h.ServerState(), true
	delete(f.stoppingNodes, h.Node())
	f.log.Write("link-up", "peer", h.Node(), "address", h.Address(), "service", h.ServerState().Service(), "open", h.ServerState().Accepting(), "version", h.Versions().Configuration(), "evacuation", h.Versions().Evacuation())
	f.learnMember(h)
	// The departure of this node is sent too, so that any peer can tell whether the store
	// has lost it.
	for _, node := range []string{h.Node(), f.self.node} {
		if d, ok := f.departures[node]; ok {
			p.link.SendDepartures([]registry.Record{d})
		}
	}
	f.greetAfterRestore(p)
	if held := f.hooks.heldRequests(); len(held) > 0 {
		p.link.SendSuspicions(held)
	}
	f.sendRollouts(p.link)
	f.handleVersions(p.link, h.Versions())
	f.schedulePeers()
}

// learnMember adds a peer that this node has not read from the store yet, so that it
// is dialled again if its link ends while the store is unavailable. The entry in the
// store replaces it.
func (f *Fleet) learnMember(h link.Hello) {
	_, listed := f.members[h.Node()]
	if _, removed := f.removals[h.Node()]; listed || removed || h.Address() == "" {
		return
	}
	f.members[h.Node()] = NewMember(h.Node(), h.Address(), h.DataCentre(), h.ServerState().Service())
}

func (f *Fleet) handleServerState(s *serverStateMessage) {
	if p, ok := f.links[s.link.ID()]; ok && p.helloReceived {
		p.serverState = s.serverState
		f.schedulePeers()
	}
}

func (f *Fleet) setServerState(s link.ServerState) {
	f.serverState = s
	f.recordServer(s)
	for _, p := range f.links {
		p.link.SendServerState(s)
	}
}

// watchSignals holds the signal of each phase of a watch.
var watchSignals = []link.Signal{
	registry.WatchStarted: link.WatchStarted,
	registry.WatchEnded:   link.WatchEnded,
	registry.WatchFailed:  link.WatchFailed,
}

// broadcastWatch tells all peers of a phase of a watch of this node.
func (f *Fleet) broadcastWatch(phase registry.WatchPhase) {
	for _, p := range f.links {
		p.link.SendSignal(watchSignals[phase])
	}
}

// handleSilence records whether a peer is silent and passes the peers to the hooks.
func (f *Fleet) handleSilence(s *silenceMessage) {
	p, ok := f.links[s.link.ID()]
	if !ok {
		return
	}
	p.silent = s.silent
	f.log.Write("link-silence", "peer", p.link.Peer(), "silent", s.silent, "lasted_ms", f.clock.Since(p.startedAt).Milliseconds())
	f.publishPeers()
}

func (f *Fleet) handleLinkEnded(e *linkEnded) {
	p, ok := f.links[e.link.ID()]
	if !ok {
		return
	}
	delete(f.links, e.link.ID())
	f.sources = slices.DeleteFunc(f.sources, func(l *link.Link) bool { return l == e.link })
	cause := "closed"
	if e.err != nil {
		cause = e.err.Error()
	}
	var caught *task.PanicError
	if errors.As(e.err, &caught) {
		f.log.WritePanic("link", caught)
	}
	f.log.Write("link-down", "peer", p.link.Peer(), "cause", cause, "lasted_ms", f.clock.Since(p.startedAt).Milliseconds())
	f.publishPeers()
}

// schedulePeers publishes new peers soon. They come in crowds, for example when all
// nodes start at once, and each publication takes time in proportion to the peers.
func (f *Fleet) schedulePeers() {
	if f.peersTimer == nil {
		f.peersTimer = f.clock.After(peersDelay)
	}
}

// publishPeers passes the peers to the hooks and updates the share of watches.
func (f *Fleet) publishPeers() {
	newest := f.newestLinks()
	f.publishMembership(newest)
	own := watchWeight(f.self.bandwidth)
	total := own
	peers := make([]Peer, 0, len(newest))
	for node, p := range newest {
		total += watchWeight(p.hello.Bandwidth())
		peers = append(peers, Peer{node: node, dataCentre: p.hello.DataCentre(), serverState: p.serverState, endpoint: p.link.Endpoint()})
	}
	share := registry.NewShare(own/total, 1/float64(len(newest)+1))
	f.watchShare.Store(&share)
	f.hooks.peers(peers)
}

// watchWeight returns the weight of a node whose host has the given bandwidth, in
// bytes per second. The few fast hosts make most watches.
func watchWeight(bandwidth float64) float64 {
	return math.Pow(max(bandwidth, minBandwidth), watchWeightExponent)
}

package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/socket"
	"savorygap.example/lib/task"
)

const (
	// ProtocolCalls is the ALPN name of the present version of the protocol for
	// calls. A node that speaks a later one offers both.
	ProtocolCalls = "savorygap-calls/1"

	poolInbox       = 256
	maxIdlePerPeer  = 64
	maxIdleTotal    = 256
	idleStreamLimit = 60 * time.Second
	poolSweep       = 5 * time.Second
	dialTimeout     = time.Second
	handshakeLimit  = 2 * time.Second
	maxIncoming     = 2048 // connections
)

// TCP is the transport that pools TLS connections over TCP, one call at a time
// on each. It is the task that owns the idle connections.
type TCP struct {
	clock  clockwork.Clock
	config func(peerName string) *tls.Config
	inbox  *task.Inbox[poolMessage]
	idle   map[Peer][]*Stream
	total  int
}

// poolMessage is a closed union; exactly one part is set.
type poolMessage struct {
	take *takeStream
	put  *putStream
	dump task.Reply[int]
}

type takeStream struct {
	peer  Peer
	reply task.Reply[*Stream]
}

type putStream struct {
	peer   Peer
	stream *Stream
}

// NewTCP returns the transport; config yields the TLS configuration for a peer
// whose certificate must carry the given name.
func NewTCP(clock clockwork.Clock, config func(peerName string) *tls.Config) *TCP {
	return &TCP{clock: clock, config: config, inbox: task.NewInbox[poolMessage](poolInbox), idle: map[Peer][]*Stream{}}
}

// Run owns the idle connections until ctx ends.
func (t *TCP) Run(ctx context.Context) {
	defer t.inbox.Close()
	defer t.closeAll()
	ticker := t.clock.NewTicker(poolSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-t.inbox.Messages():
			t.handle(m)
		case <-ticker.Chan():
			t.sweep(t.clock.Now())
		}
	}
}

// Open returns an idle connection to the peer, or a new one.
func (t *TCP) Open(ctx context.Context, p Peer) (*Stream, error) {
	reply := task.NewReply[*Stream]()
	if !t.inbox.Send(poolMessage{take: &takeStream{peer: p, reply: reply}}) {
		return nil, context.Canceled
	}
	if s, ok := reply.Wait(ctx, t.inbox.Done()); ok && s != nil {
		return s, nil
	}
	return dialTCP(ctx, p, t.config(p.name))
}

// Reuse takes back a connection that carried a whole call.
func (t *TCP) Reuse(p Peer, s *Stream) {
	if !t.inbox.Send(poolMessage{put: &putStream{peer: p, stream: s}}) {
		s.Close()
	}
}

// Idle returns the number of idle connections.
func (t *TCP) Idle(ctx context.Context) int {
	reply := task.NewReply[int]()
	if !t.inbox.Send(poolMessage{dump: reply}) {
		return 0
	}
	n, _ := reply.Wait(ctx, t.inbox.Done())
	return n
}

func (t *TCP) handle(m poolMessage) {
	switch {
	case m.take != nil:
		m.take.reply <- t.take(m.take.peer)
	case m.put != nil:
		t.put(m.put.peer, m.put.stream)
	case m.dump != nil:
		m.dump <- t.total
	}
}

func (t *TCP) take(p Peer) *Stream {
	list := t.idle[p]
	for len(list) > 0 {
		s := list[len(list)-1]
		list = list[:len(list)-1]
		t.total--
		if s.reader.Buffered() == 0 && s.quiet() == nil {
			t.keep(p, list)
			return s
		}
		s.Close()
	}
	t.keep(p, nil)
	return nil
}

func (t *TCP) keep(p Peer, list []*Stream) {
	if len(list) == 0 {
		delete(t.idle, p)
		return
	}
	t.idle[p] = list
}

func (t *TCP) put(p Peer, s *Stream) {
	if len(t.idle[p]) >= maxIdlePerPeer || t.total >= maxIdleTotal {
		s.Close()
		return
	}
	s.idleAt = t.clock.Now()
	t.idle[p] = append(t.idle[p], s)
	t.total++
}

func (t *TCP) sweep(now time.Time) {
	for p, list := range t.idle {
		kept := list[:0]
		for _, s := range list {
			if now.Sub(s.idleAt) > idleStreamLimit || s.quiet() != nil {
				s.Close()
				t.total--
				continue
			}
			kept = append(kept, s)
		}
		t.keep(p, kept)
	}
}

func (t *TCP) closeAll() {
	for _, list := range t.idle {
		for _, s := range list {
			s.Close()
		}
	}
}

func dialTCP(ctx context.Context, p Peer, config *tls.Config) (*Stream, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, config)
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeLimit)
	defer cancel()
	if err := conn.HandshakeContext(handshakeCtx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return streamOfTCP(raw, conn)
}

func streamOfTCP(raw net.Conn, conn *tls.Conn) (*Stream, error) {
	state := conn.ConnectionState()
	if state.NegotiatedProtocol != ProtocolCalls {
		_ = raw.Close()
		return nil, &ProtocolError{offered: state.NegotiatedProtocol}
	}
	name := ""
	if len(state.PeerCertificates) > 0 {
		name = state.PeerCertificates[0].Subject.CommonName
	}
	parts := NewStreamParts(conn.Read, conn.Write, func() { _ = raw.Close() }, conn.CloseWrite,
		func() error { return socket.CheckIdle(raw) }, true)
	return NewStream(name, parts), nil
}

// ProtocolError reports a peer that speaks no common version of the protocol.
type ProtocolError struct {
	offered string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("peer offers protocol %q, %q is wanted", e.offered, ProtocolCalls)
}

// ListenTCP accepts connections and serves each in its own task until ctx
// ends; it then waits for them. At most maxIncoming are open at once.
func ListenTCP(ctx context.Context, l net.Listener, config *tls.Config, draining <-chan struct{}, handle Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	places := make(chan struct{}, maxIncoming)
	defer waitForAll(places)
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case places <- struct{}{}:
			go func() {
				defer func() { <-places }()
				serveTCP(ctx, raw, config, draining, handle)
			}()
		default:
			_ = raw.Close()
		}
	}
}

// waitForAll returns when every place is free.
func waitForAll(places chan struct{}) {
	for range cap(places) {
		places <- struct{}{}
	}
}

func serveTCP(ctx context.Context, raw net.Conn, config *tls.Config, draining <-chan struct{}, handle Handler) {
	defer func() { _ = raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := tls.Server(raw, config)
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeLimit)
	defer cancel()
	if conn.HandshakeContext(handshakeCtx) != nil {
		return
	}
	stream, err := streamOfTCP(raw, conn)
	if err != nil {
		return
	}
	_ = Serve(ctx, draining, stream, handle)
}

// Reach connects to a peer and closes the connection. It returns an error when
// the peer cannot be reached or is not the one named.
func Reach(ctx context.Context, p Peer, config *tls.Config) error {
	s, err := dialTCP(ctx, p, config)
	if err != nil {
		return err
	}
	s.Close()
	return nil
}

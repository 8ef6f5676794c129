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
	// ProtocolCalls is the ALPN name of the current version of the protocol for
	// calls. A node that supports a later version offers both.
	ProtocolCalls = "savorygap-calls/1"

	tcpInboxSize        = 256
	maxIdleConnsPerPeer = 64
	maxIdleConns        = 256
	tcpIdleTimeout      = 60 * time.Second
	sweepInterval       = 5 * time.Second
	dialTimeout         = time.Second
	handshakeTimeout    = 2 * time.Second
	maxIncomingConns    = 2048
)

// TCPTransport pools TLS connections over TCP, each of which carries one call
// at a time. It is the task that owns the idle connections.
type TCPTransport struct {
	clock     clockwork.Clock
	config    func(peerName string) *tls.Config
	inbox     *task.Inbox[tcpMessage]
	idle      map[Peer][]*Stream
	idleCount int
}

// tcpMessage is a closed union of which exactly one field is set.
type tcpMessage struct {
	take      *takeStream
	put       *putStream
	countIdle task.Reply[int]
}

type takeStream struct {
	peer  Peer
	reply task.Reply[*Stream]
}

type putStream struct {
	peer   Peer
	stream *Stream
}

// NewTCPTransport returns a transport. config returns the TLS configuration for
// dialling a peer, which requires that its certificate carries the given name.
func NewTCPTransport(clock clockwork.Clock, config func(peerName string) *tls.Config) *TCPTransport {
	return &TCPTransport{clock: clock, config: config, inbox: task.NewInbox[tcpMessage](tcpInboxSize), idle: map[Peer][]*Stream{}}
}

// Run processes requests for connections and closes those that are idle for too
// long, until ctx ends; it then closes all idle connections.
func (t *TCPTransport) Run(ctx context.Context) {
	defer t.inbox.Close()
	defer t.closeAll()
	ticker := t.clock.NewTicker(sweepInterval)
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
func (t *TCPTransport) Open(ctx context.Context, p Peer) (*Stream, error) {
	reply := task.NewReply[*Stream]()
	if !t.inbox.Send(tcpMessage{take: &takeStream{peer: p, reply: reply}}) {
		return nil, context.Canceled
	}
	if s, ok := reply.Wait(ctx, t.inbox.Done()); ok && s != nil {
		return s, nil
	}
	return dialTCP(ctx, p, t.config(p.name))
}

// Release returns a connection to the pool after a complete call.
func (t *TCPTransport) Release(p Peer, s *Stream) {
	if !t.inbox.Send(tcpMessage{put: &putStream{peer: p, stream: s}}) {
		s.Close()
	}
}

// Idle returns the number of idle connections.
func (t *TCPTransport) Idle(ctx context.Context) int {
	reply := task.NewReply[int]()
	if !t.inbox.Send(tcpMessage{countIdle: reply}) {
		return 0
	}
	n, _ := reply.Wait(ctx, t.inbox.Done())
	return n
}

func (t *TCPTransport) handle(m tcpMessage) {
	switch {
	case m.take != nil:
		m.take.reply <- t.take(m.take.peer)
	case m.put != nil:
		t.put(m.put.peer, m.put.stream)
	case m.countIdle != nil:
		m.countIdle <- t.idleCount
	}
}

// take removes a usable idle connection from the pool, the most recently used
// first. It returns nil if there is none.
func (t *TCPTransport) take(p Peer) *Stream {
	list := t.idle[p]
	for len(list) > 0 {
		s := list[len(list)-1]
		list = list[:len(list)-1]
		t.idleCount--
		if s.reader.Buffered() == 0 && s.checkIdle() == nil {
			t.setIdle(p, list)
			return s
		}
		s.Close()
	}
	t.setIdle(p, nil)
	return nil
}

func (t *TCPTransport) setIdle(p Peer, list []*Stream) {
	if len(list) == 0 {
		delete(t.idle, p)
		return
	}
	t.idle[p] = list
}

// put adds an idle connection to the pool, or closes it if the pool is full.
func (t *TCPTransport) put(p Peer, s *Stream) {
	if len(t.idle[p]) >= maxIdleConnsPerPeer || t.idleCount >= maxIdleConns {
		s.Close()
		return
	}
	s.idleSince = t.clock.Now()
	t.idle[p] = append(t.idle[p], s)
	t.idleCount++
}

// sweep closes connections that were idle for too long or are no longer usable.
func (t *TCPTransport) sweep(now time.Time) {
	for p, list := range t.idle {
		kept := list[:0]
		for _, s := range list {
			if now.Sub(s.idleSince) > tcpIdleTimeout || s.checkIdle() != nil {
				s.Close()
				t.idleCount--
				continue
			}
			kept = append(kept, s)
		}
		t.setIdle(p, kept)
	}
}

func (t *TCPTransport) closeAll() {
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
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(handshakeCtx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return newTCPStream(raw, conn)
}

// newTCPStream returns the Stream for a connection after its handshake.
func newTCPStream(raw net.Conn, conn *tls.Conn) (*Stream, error) {
	state := conn.ConnectionState()
	if state.NegotiatedProtocol != ProtocolCalls {
		_ = raw.Close()
		return nil, &ProtocolError{negotiated: state.NegotiatedProtocol}
	}
	name := ""
	if len(state.PeerCertificates) > 0 {
		name = state.PeerCertificates[0].Subject.CommonName
	}
	funcs := NewStreamFuncs(conn.Read, conn.Write, func() { _ = raw.Close() }, conn.CloseWrite,
		func() error { return socket.CheckIdle(raw) }, true)
	return NewStream(name, funcs), nil
}

// ProtocolError reports a peer that supports no common version of the protocol.
type ProtocolError struct {
	negotiated string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("peer negotiated protocol %q, want %q", e.negotiated, ProtocolCalls)
}

// ListenTCP accepts connections and serves each in its own goroutine until ctx
// ends; it then waits for them. At most maxIncomingConns are open at once;
// further ones are closed.
func ListenTCP(ctx context.Context, l net.Listener, config *tls.Config, draining <-chan struct{}, handle Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	slots := make(chan struct{}, maxIncomingConns)
	defer waitForConnections(slots)
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				serveTCP(ctx, raw, config, draining, handle)
			}()
		default:
			_ = raw.Close()
		}
	}
}

// waitForConnections waits until no connection holds a slot.
func waitForConnections(slots chan struct{}) {
	for range cap(slots) {
		slots <- struct{}{}
	}
}

func serveTCP(ctx context.Context, raw net.Conn, config *tls.Config, draining <-chan struct{}, handle Handler) {
	defer func() { _ = raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := tls.Server(raw, config)
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if conn.HandshakeContext(handshakeCtx) != nil {
		return
	}
	stream, err := newTCPStream(raw, conn)
	if err != nil {
		return
	}
	_ = Serve(ctx, draining, stream, handle)
}

// CheckReachable connects to a peer and closes the connection. It returns an
// error if the peer cannot be reached or its certificate carries another name.
func CheckReachable(ctx context.Context, p Peer, config *tls.Config) error {
	s, err := dialTCP(ctx, p, config)
	if err != nil {
		return err
	}
	s.Close()
	return nil
}

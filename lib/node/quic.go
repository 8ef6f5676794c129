package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"savorygap.example/lib/task"
)

const (
	quicInboxSize    = 256
	quicIdleTimeout  = 30 * time.Second
	quicStreamWindow = 512 << 10 // bytes
	quicConnWindow   = 4 << 20   // bytes
	quicMaxStreams   = 1024
	quicCancelCode   = 1 // application error code
)

// QUICTransport keeps one QUIC connection per peer and opens a stream on it for
// each call. It is the task that owns the connections.
type QUICTransport struct {
	config func(peerName string) *tls.Config
	inbox  *task.Inbox[quicMessage]
	conns  map[Peer]*quic.Conn
}

// quicMessage is a closed union of which exactly one field is set.
type quicMessage struct {
	take *takeConn
	put  *putConn
}

type takeConn struct {
	peer  Peer
	reply task.Reply[*quic.Conn]
}

type putConn struct {
	peer Peer
	conn *quic.Conn
}

// QUICConfig returns the configuration of both ends of a connection for calls.
// 0-RTT is off, since its data can be replayed.
func QUICConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 quicIdleTimeout,
		InitialStreamReceiveWindow:     quicStreamWindow,
		MaxStreamReceiveWindow:         quicStreamWindow,
		InitialConnectionReceiveWindow: quicConnWindow,
		MaxConnectionReceiveWindow:     quicConnWindow,
		MaxIncomingStreams:             quicMaxStreams,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
	}
}

// NewQUICTransport returns a transport. config returns the TLS configuration for
// dialling a peer, which requires that its certificate carries the given name.
func NewQUICTransport(config func(peerName string) *tls.Config) *QUICTransport {
	return &QUICTransport{config: config, inbox: task.NewInbox[quicMessage](quicInboxSize), conns: map[Peer]*quic.Conn{}}
}

// Run processes requests for connections until ctx ends, and then closes them.
func (q *QUICTransport) Run(ctx context.Context) {
	q.inbox.Run(ctx, q.handle)
	for _, conn := range q.conns {
		_ = conn.CloseWithError(0, "")
	}
}

func (q *QUICTransport) handle(m quicMessage) {
	switch {
	case m.take != nil:
		conn := q.conns[m.take.peer]
		if conn != nil && conn.Context().Err() != nil {
			conn = nil
			delete(q.conns, m.take.peer)
		}
		m.take.reply <- conn
	case m.put != nil:
		if old := q.conns[m.put.peer]; old == nil || old.Context().Err() != nil {
			q.conns[m.put.peer] = m.put.conn
		}
	}
}

// Open returns a new stream to the peer. It dials if there is no connection.
func (q *QUICTransport) Open(ctx context.Context, p Peer) (*Stream, error) {
	reply := task.NewReply[*quic.Conn]()
	if !q.inbox.Send(quicMessage{take: &takeConn{peer: p, reply: reply}}) {
		return nil, context.Canceled
	}
	conn, ok := reply.Wait(ctx, q.inbox.Done())
	if !ok || conn == nil {
		dialled, err := quic.DialAddr(ctx, p.address, q.config(p.name), QUICConfig())
		if err != nil {
			return nil, err
		}
		conn = dialled
		q.inbox.Send(quicMessage{put: &putConn{peer: p, conn: conn}})
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	return newQUICStream(conn, stream), nil
}

// Release closes a stream, since each call uses a new one.
func (q *QUICTransport) Release(_ Peer, s *Stream) { s.Close() }

// newQUICStream returns the Stream for a QUIC stream.
func newQUICStream(conn *quic.Conn, stream *quic.Stream) *Stream {
	name := ""
	if peers := conn.ConnectionState().TLS.PeerCertificates; len(peers) > 0 {
		name = peers[0].Subject.CommonName
	}
	closeBoth := func() {
		stream.CancelRead(quicCancelCode)
		stream.CancelWrite(quicCancelCode)
	}
	funcs := NewStreamFuncs(stream.Read, stream.Write, closeBoth, stream.Close, func() error { return nil }, false)
	return NewStream(name, funcs)
}

// ListenQUIC accepts connections and serves each stream in its own goroutine
// until ctx ends.
func ListenQUIC(ctx context.Context, socket net.PacketConn, config *tls.Config, draining <-chan struct{}, handle Handler) error {
	listener, err := quic.Listen(socket, config, QUICConfig())
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	for {
		conn, err := listener.Accept(ctx)
		if errors.Is(err, context.Canceled) || errors.Is(err, quic.ErrServerClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go serveQUIC(ctx, conn, draining, handle)
	}
}

// serveQUIC serves the streams of one connection until the connection or ctx
// ends.
func serveQUIC(ctx context.Context, conn *quic.Conn, draining <-chan struct{}, handle Handler) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go func() { _ = Serve(ctx, draining, newQUICStream(conn, stream), handle) }()
	}
}

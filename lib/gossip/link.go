package gossip

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// Protocol is the ALPN name of the current version of the control protocol.
	Protocol = "savorygap-control/1"

	maxMessageBytes      = 4 << 20
	outboundQueueLen     = 64 // messages
	linkIdleTimeout      = 15 * time.Second
	linkHandshakeTimeout = 2 * time.Second
	linkReceiveWindow    = 256 << 10 // bytes
	headerLen            = 4         // bytes
	packetOverhead       = 60        // bytes of IP, UDP and QUIC headers per message
	closedLocally        = 0         // application error code
)

// Link is a connection that carries control messages to and from a peer. One
// goroutine reads its stream and another writes it; the other fields belong to
// the Agent.
type Link struct {
	peer             string
	dialled          bool
	outbound         chan []byte
	closeConn        func()
	openedAt         time.Time
	lastReceived     time.Time
	lastPingSequence uint64
	peerRevision     uint64
	digestMismatches int
}

func linkConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 linkIdleTimeout,
		HandshakeIdleTimeout:           linkHandshakeTimeout,
		InitialStreamReceiveWindow:     linkReceiveWindow,
		MaxStreamReceiveWindow:         linkReceiveWindow,
		InitialConnectionReceiveWindow: linkReceiveWindow,
		MaxConnectionReceiveWindow:     linkReceiveWindow,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
	}
}

// Transport dials and accepts links on one UDP socket.
type Transport struct {
	transport    *quic.Transport
	clientConfig func(peerName string) *tls.Config
	serverConfig *tls.Config
}

// NewTransport returns a transport that takes over the socket. clientConfig
// returns the TLS configuration for dialling the named peer; serverConfig is that
// for accepting links.
func NewTransport(socket net.PacketConn, clientConfig func(string) *tls.Config, serverConfig *tls.Config) *Transport {
	return &Transport{transport: &quic.Transport{Conn: socket}, clientConfig: clientConfig, serverConfig: serverConfig}
}

// Close ends all links.
func (t *Transport) Close() { _ = t.transport.Close() }

// dial opens a link to the named node.
func (t *Transport) dial(ctx context.Context, name, address string) (*quic.Conn, *quic.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, linkHandshakeTimeout)
	defer cancel()
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, nil, err
	}
	conn, err := t.transport.Dial(ctx, udpAddress, t.clientConfig(name), linkConfig())
	if err != nil {
		return nil, nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(closedLocally, "")
		return nil, nil, err
	}
	return conn, stream, nil
}

// accept accepts links and passes each to handle until ctx ends.
func (t *Transport) accept(ctx context.Context, handle func(*quic.Conn, *quic.Stream)) error {
	listener, err := t.transport.Listen(t.serverConfig, linkConfig())
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return err
		}
		go func() {
			acceptCtx, cancel := context.WithTimeout(ctx, linkHandshakeTimeout)
			defer cancel()
			stream, err := conn.AcceptStream(acceptCtx)
			if err != nil {
				_ = conn.CloseWithError(closedLocally, "")
				return
			}
			handle(conn, stream)
		}()
	}
}

// peerName returns the name in the peer's certificate.
func peerName(conn *quic.Conn) string {
	peers := conn.ConnectionState().TLS.PeerCertificates
	if len(peers) == 0 {
		return ""
	}
	return peers[0].Subject.CommonName
}

// newLink returns a link and starts its writer.
func newLink(conn *quic.Conn, stream *quic.Stream, dialled bool, now time.Time) *Link {
	l := &Link{
		peer: peerName(conn), dialled: dialled, outbound: make(chan []byte, outboundQueueLen), openedAt: now, lastReceived: now,
		closeConn: func() { _ = conn.CloseWithError(closedLocally, "") },
	}
	go l.writeLoop(conn.Context(), stream)
	return l
}

func (l *Link) writeLoop(ctx context.Context, stream *quic.Stream) {
	w := bufio.NewWriter(stream)
	for {
		select {
		case <-ctx.Done():
			return
		case payload := <-l.outbound:
			if l.writeBatch(w, payload) != nil {
				l.closeConn()
				return
			}
		}
	}
}

// writeBatch writes a message and all further queued ones, then flushes.
func (l *Link) writeBatch(w *bufio.Writer, payload []byte) error {
	for {
		var header [headerLen]byte
		binary.BigEndian.PutUint32(header[:], uint32(len(payload)))
		if _, err := w.Write(header[:]); err != nil {
			return err
		}
		if _, err := w.Write(payload); err != nil {
			return err
		}
		select {
		case payload = <-l.outbound:
		default:
			return w.Flush()
		}
	}
}

// enqueue queues a payload. It reports false if the queue is full because the
// peer reads too slowly.
func (l *Link) enqueue(payload []byte) bool {
	select {
	case l.outbound <- payload:
		return true
	default:
		return false
	}
}

// MessageTooLongError reports a message above the size limit; the link is
// closed.
type MessageTooLongError struct {
	length int
}

// Error implements error.
func (e *MessageTooLongError) Error() string {
	return fmt.Sprintf("control message has %d bytes, the limit is %d", e.length, maxMessageBytes)
}

// ReadMessages reads messages from r and passes each with its size in bytes to
// handle, until r ends, a message is too long or malformed, or handle returns
// false.
func ReadMessages(r io.Reader, handle func(Message, int) bool) error {
	reader := bufio.NewReader(r)
	var header [headerLen]byte
	for {
		if _, err := io.ReadFull(reader, header[:]); err != nil {
			return err
		}
		length := int(binary.BigEndian.Uint32(header[:]))
		if length > maxMessageBytes {
			return &MessageTooLongError{length: length}
		}
		payload := make([]byte, length)
		if _, err := io.ReadFull(reader, payload); err != nil {
			return err
		}
		m, err := Decode(payload)
		if err != nil {
			return err
		}
		if !handle(m, length+headerLen) {
			return nil
		}
	}
}

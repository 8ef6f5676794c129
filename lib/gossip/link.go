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
	// Protocol is the ALPN name of the present version of the protocol.
	Protocol = "savorygap-control/1"

	maxMessage    = 4 << 20 // bytes
	outboundSize  = 64      // messages
	linkIdle      = 15 * time.Second
	linkHandshake = 2 * time.Second
	linkWindow    = 256 << 10 // bytes
	headerLen     = 4         // bytes
	packetCost    = 60        // bytes of IP, UDP and QUIC around a message
	closedByUs    = 0
)

// Link is a connection to a neighbour that carries control messages. Two
// goroutines own its stream: one reads, one writes.
type Link struct {
	peer     string
	dialled  bool
	outbound chan []byte
	closing  func()
	since    time.Time
	heard    time.Time
	pinged   uint64
	revision uint64
	differs  int
}

func linkSettings() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 linkIdle,
		HandshakeIdleTimeout:           linkHandshake,
		InitialStreamReceiveWindow:     linkWindow,
		MaxStreamReceiveWindow:         linkWindow,
		InitialConnectionReceiveWindow: linkWindow,
		MaxConnectionReceiveWindow:     linkWindow,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
	}
}

// Transport dials and accepts links on one UDP socket.
type Transport struct {
	transport *quic.Transport
	client    func(peerName string) *tls.Config
	server    *tls.Config
}

// NewTransport returns a transport on a socket that it owns from now on.
func NewTransport(socket net.PacketConn, client func(string) *tls.Config, server *tls.Config) *Transport {
	return &Transport{transport: &quic.Transport{Conn: socket}, client: client, server: server}
}

// Close ends all links.
func (t *Transport) Close() { _ = t.transport.Close() }

// dial opens a link to the named node.
func (t *Transport) dial(ctx context.Context, name, address string) (*quic.Conn, *quic.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, linkHandshake)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, nil, err
	}
	conn, err := t.transport.Dial(ctx, udp, t.client(name), linkSettings())
	if err != nil {
		return nil, nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(closedByUs, "")
		return nil, nil, err
	}
	return conn, stream, nil
}

// accept serves incoming links until ctx ends.
func (t *Transport) accept(ctx context.Context, take func(*quic.Conn, *quic.Stream)) error {
	listener, err := t.transport.Listen(t.server, linkSettings())
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
			acceptCtx, cancel := context.WithTimeout(ctx, linkHandshake)
			defer cancel()
			stream, err := conn.AcceptStream(acceptCtx)
			if err != nil {
				_ = conn.CloseWithError(closedByUs, "")
				return
			}
			take(conn, stream)
		}()
	}
}

func peerName(conn *quic.Conn) string {
	peers := conn.ConnectionState().TLS.PeerCertificates
	if len(peers) == 0 {
		return ""
	}
	return peers[0].Subject.CommonName
}

// newLink starts the writer of a link.
func newLink(conn *quic.Conn, stream *quic.Stream, dialled bool, now time.Time) *Link {
	l := &Link{
		peer: peerName(conn), dialled: dialled, outbound: make(chan []byte, outboundSize), since: now, heard: now,
		closing: func() { _ = conn.CloseWithError(closedByUs, "") },
	}
	go l.write(conn.Context(), stream)
	return l
}

func (l *Link) write(ctx context.Context, stream *quic.Stream) {
	w := bufio.NewWriter(stream)
	for {
		select {
		case <-ctx.Done():
			return
		case payload := <-l.outbound:
			if l.writeOne(w, payload) != nil {
				l.closing()
				return
			}
		}
	}
}

// writeOne writes a message and whatever else waits, then flushes.
func (l *Link) writeOne(w *bufio.Writer, payload []byte) error {
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

// offer queues a payload. It reports false when the peer reads too slowly.
func (l *Link) offer(payload []byte) bool {
	select {
	case l.outbound <- payload:
		return true
	default:
		return false
	}
}

// MessageTooLongError reports a message above the bound; the link ends.
type MessageTooLongError struct {
	length int
}

// Error implements error.
func (e *MessageTooLongError) Error() string {
	return fmt.Sprintf("control message has %d bytes, the limit is %d", e.length, maxMessage)
}

// ReadMessages reads messages until r ends and passes each to take with its
// size in bytes. A message that does not decode ends the link.
func ReadMessages(r io.Reader, take func(Message, int) bool) error {
	reader := bufio.NewReader(r)
	var header [headerLen]byte
	for {
		if _, err := io.ReadFull(reader, header[:]); err != nil {
			return err
		}
		length := int(binary.BigEndian.Uint32(header[:]))
		if length > maxMessage {
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
		if !take(m, length+headerLen) {
			return nil
		}
	}
}

package server

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"savorygap.example/lib/responsehead"
	"savorygap.example/lib/socket"
)

const (
	dialTimeout = 2 * time.Second
	bufferSize  = 32 << 10 // bytes
)

// pastDeadline is in the past, so that setting it interrupts a blocked read or
// write immediately.
var pastDeadline = time.Unix(1, 0)

// Conn is an HTTP/1.1 connection to a server. It has one owner at a time: the
// proxy while it is idle, and one exchange while it is in use.
type Conn struct {
	netConn   net.Conn
	reader    *responsehead.Reader
	writer    *bufio.Writer
	written   int64
	idleSince time.Time
}

// Dial opens a connection to a server.
func Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(netConn), nil
}

func newConn(netConn net.Conn) *Conn {
	c := &Conn{netConn: netConn, reader: responsehead.NewReader(netConn, bufferSize)}
	c.writer = bufio.NewWriterSize(writerFunc(c.write), bufferSize)
	return c
}

type writerFunc func([]byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func (c *Conn) write(p []byte) (int, error) {
	n, err := c.netConn.Write(p)
	c.written += int64(n)
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.netConn.Close() }

// halfClose tells the server that the request was cancelled. It closes the write
// side and interrupts a read in progress. The read side stays open, so that
// awaitPeerClose can detect when the server has ended the request.
func (c *Conn) halfClose() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.netConn.SetReadDeadline(pastDeadline)
}

// awaitPeerClose waits until the server closes a half-closed connection, which
// shows that it has ended the request, and then closes the connection. It waits
// no longer than timeout.
func (c *Conn) awaitPeerClose(timeout time.Duration) {
	defer c.Close()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if c.netConn.SetReadDeadline(deadline) != nil {
			return
		}
		_, err := io.Copy(io.Discard, c.netConn)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// usable reports whether an idle connection can be reused: the server has
// neither closed it nor sent unexpected data. It does not consume any data.
func (c *Conn) usable() bool {
	return c.reader.Buffered() == 0 && socket.CheckIdle(c.netConn) == nil
}

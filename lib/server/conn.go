package server

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"savorygap.example/lib/socket"
)

const (
	dialTimeout = 2 * time.Second
	bufferSize  = 32 << 10 // bytes
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Conn is one HTTP/1.1 connection to a server. It belongs to whoever holds it:
// the keeper while it is idle, one attempt while it is in use.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	written int64
	idleAt  time.Time
}

// Dial opens a connection to a server.
func Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *Conn {
	c := &Conn{raw: raw, reader: bufio.NewReaderSize(raw, bufferSize)}
	c.writer = bufio.NewWriterSize(writerFunc(c.write), bufferSize)
	return c
}

type writerFunc func([]byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func (c *Conn) write(p []byte) (int, error) {
	n, err := c.raw.Write(p)
	c.written += int64(n)
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.raw.Close() }

// hangUp tells the server that the caller left: it ends the sending direction
// and any read that is under way. The connection stays open until the server
// has let go of the request.
func (c *Conn) hangUp() {
	if half, ok := c.raw.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(past)
}

// awaitEnd waits until the server closes a connection that was hung up, which
// is when it no longer holds the request, and closes it. It returns after limit
// in any case.
func (c *Conn) awaitEnd(limit time.Duration) {
	defer c.Close()
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if c.raw.SetReadDeadline(until) != nil {
			return
		}
		_, err := io.Copy(io.Discard, c.raw)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// alive reports whether an idle connection can still be written to: the server
// has not closed it and has sent nothing unasked. It reads nothing.
func (c *Conn) alive() bool {
	return c.reader.Buffered() == 0 && socket.CheckIdle(c.raw) == nil
}

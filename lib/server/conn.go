package server

import (
	"bufio"
	"context"
	"net"
	"time"

	"savorygap.example/lib/socket"
)

const (
	dialTimeout = 2 * time.Second
	bufferSize  = 32 << 10 // bytes
)

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

// alive reports whether an idle connection can still be written to: the server
// has not closed it and has sent nothing unasked. It reads nothing.
func (c *Conn) alive() bool {
	return c.reader.Buffered() == 0 && socket.Quiet(c.raw) == nil
}

package httpclient

import (
	"bufio"
	"context"
	"net"
	"time"

	"savorygap.example/lib/socket"
)

const (
	// dialTimeout bounds connecting to a server on the same host, where an
	// answer takes microseconds.
	dialTimeout = 500 * time.Millisecond
	bufferSize  = 4 << 10 // bytes
	// keepAliveShare is the part of a server's announced idle timeout for which a
	// connection is used again.
	keepAliveShare = 0.6
	// defaultIdle is how long a connection is used again where the server
	// announces no idle timeout.
	defaultIdle = 2 * time.Second
)

// Conn is one connection to a server. It belongs to whoever holds it.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	last   string
	usedAt time.Time
	idle   time.Duration
}

// Dial connects to a server.
func Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{raw: raw, reader: bufio.NewReaderSize(raw, bufferSize), idle: defaultIdle}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.raw.Close() }

// Usable reports whether an idle connection can be used again: the server has
// neither closed it nor sent anything unasked, and it has not been idle for
// longer than the server allows and the caller accepts.
func (c *Conn) Usable(now time.Time, atMost time.Duration) bool {
	age := now.Sub(c.usedAt)
	if age > min(time.Duration(float64(c.idle)*keepAliveShare), atMost) {
		return false
	}
	return c.reader.Buffered() == 0 && socket.CheckIdle(c.raw) == nil
}

package httpclient

import (
	"bufio"
	"context"
	"net"
	"time"

	"savorygap.example/lib/socket"
)

const (
	// dialTimeout bounds connecting to the server, which runs on the same host
	// and normally accepts within microseconds.
	dialTimeout = 500 * time.Millisecond
	bufferSize  = 4 << 10 // bytes
	// keepAliveFraction is the part of the idle timeout announced by the server
	// during which a connection is reused.
	keepAliveFraction = 0.6
	// defaultIdleTimeout is assumed if the server announces no idle timeout.
	defaultIdleTimeout = 2 * time.Second
)

// Conn is a connection to a server. It is not safe for concurrent use.
type Conn struct {
	raw           net.Conn
	reader        *bufio.Reader
	lastRequestID string
	lastUsed      time.Time
	idleTimeout   time.Duration
}

// Dial connects to the server at address.
func Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{raw: raw, reader: bufio.NewReaderSize(raw, bufferSize), idleTimeout: defaultIdleTimeout}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.raw.Close() }

// Usable reports whether an idle connection can be reused: the server has
// neither closed it nor sent unsolicited data, and it has been idle no longer
// than the server allows and at most maxIdle.
func (c *Conn) Usable(now time.Time, maxIdle time.Duration) bool {
	age := now.Sub(c.lastUsed)
	if age > min(time.Duration(float64(c.idleTimeout)*keepAliveFraction), maxIdle) {
		return false
	}
	return c.reader.Buffered() == 0 && socket.CheckIdle(c.raw) == nil
}

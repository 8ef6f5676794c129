package httpclient

import (
	"context"
	"net"
	"slices"
	"time"

	"savorygap.example/lib/responsehead"
	"savorygap.example/lib/socket"
	"savorygap.example/lib/upstream"
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
	// maxRecentIDs is how many earlier requests of a connection are remembered to
	// recognise late duplicates of their responses.
	maxRecentIDs = 4
)

// Conn is a connection to a server. It is not safe for concurrent use.
type Conn struct {
	raw         net.Conn
	input       *limitedReader
	reader      *responsehead.Reader
	memory      *upstream.BodyMemory
	exchanges   int
	recentIDs   []string
	lastUsed    time.Time
	idleTimeout time.Duration
}

// Dial connects to the server at address. The bodies of its responses take their
// memory from memory.
func Dial(ctx context.Context, address string, memory *upstream.BodyMemory) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return NewConn(raw, memory), nil
}

// NewConn returns a connection to a server over raw.
func NewConn(raw net.Conn, memory *upstream.BodyMemory) *Conn {
	input := newLimitedReader(raw)
	return &Conn{raw: raw, input: input, reader: responsehead.NewReader(input, bufferSize), memory: memory, idleTimeout: defaultIdleTimeout}
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

// isNew reports whether no response was received on the connection yet.
func (c *Conn) isNew() bool { return c.exchanges == 0 }

// HasCarried reports whether one of the last requests on the connection had the
// given ID. A late duplicate of its response cannot be told from the response to
// another request with that ID.
func (c *Conn) HasCarried(id string) bool { return slices.Contains(c.recentIDs, id) }

// recordRequest records a request whose response was received.
func (c *Conn) recordRequest(id string) {
	c.exchanges++
	c.lastUsed = time.Now()
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = c.recentIDs[1:]
	}
	c.recentIDs = append(c.recentIDs, id)
}

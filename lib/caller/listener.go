package caller

import (
	"net"
	"net/http"
	"sync/atomic"

	"savorygap.example/lib/outcome"
)

// LimitListener returns a listener that immediately closes new connections while
// maxConnections are open, so that many slow callers cannot exhaust the process.
func LimitListener(l net.Listener, maxConnections int) net.Listener {
	return &limitListener{Listener: l, tokens: make(chan struct{}, maxConnections)}
}

type limitListener struct {
	net.Listener
	tokens chan struct{}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.tokens <- struct{}{}:
			return &limitedConn{Conn: c, tokens: l.tokens}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	tokens chan struct{}
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		<-c.tokens
	}
	return c.Conn.Close()
}

// WriteNotReady responds to a request that arrived before the node had a
// configuration.
func WriteNotReady(w http.ResponseWriter) {
	w.Header().Set(HeaderOutcome, string(outcome.NotRun))
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, "not-run: no configuration is in force yet", http.StatusServiceUnavailable)
}

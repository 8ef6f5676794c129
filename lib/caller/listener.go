package caller

import (
	"net"
	"net/http"
	"sync/atomic"

	"savorygap.example/lib/outcome"
)

// LimitListener returns a listener that closes connections above the given
// number at once, so that many slow callers cannot exhaust the process.
func LimitListener(l net.Listener, connections int) net.Listener {
	return &limitListener{Listener: l, places: make(chan struct{}, connections)}
}

type limitListener struct {
	net.Listener
	places chan struct{}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.places <- struct{}{}:
			return &limitedConn{Conn: c, places: l.places}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	places chan struct{}
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		<-c.places
	}
	return c.Conn.Close()
}

// WriteNotReady answers a request that arrived before a configuration was in force.
func WriteNotReady(w http.ResponseWriter) {
	w.Header().Set(HeaderOutcome, string(outcome.NotRun))
	w.Header().Set("Retry-After", headerRetryIn)
	http.Error(w, "not-run: no configuration is in force yet", http.StatusServiceUnavailable)
}

package serverproxy

import (
	"math"
	"net/http"
	"slices"
	"time"

	"savorygap.example/lib/httpclient"
	"savorygap.example/lib/upstream"
)

// takeIdleConn returns the most recently used idle connection that is still
// usable for the request, or nil. It closes connections that no request can
// reuse. It keeps those that have been idle too long for this request but can
// still carry a GET or HEAD request, and those that have carried a request with
// the same ID.
func (p *Proxy) takeIdleConn(now time.Time, r *upstream.Request) *httpclient.Conn {
	maxIdle := time.Duration(math.MaxInt64)
	if r.Method() != http.MethodGet && r.Method() != http.MethodHead {
		maxIdle = nonIdempotentMaxIdle
	}
	for i := len(p.idleConns) - 1; i >= 0; i-- {
		c := p.idleConns[i]
		switch {
		case !c.Usable(now, math.MaxInt64):
			c.Close()
			p.idleConns = slices.Delete(p.idleConns, i, i+1)
		case !c.Usable(now, maxIdle):
			// Connections further down have been idle even longer.
			return nil
		case !c.HasCarried(r.ID()):
			p.idleConns = slices.Delete(p.idleConns, i, i+1)
			return c
		}
	}
	return nil
}

// maxConcurrent returns the concurrency limit: the server's slots, capped by
// the connections that it accepts.
func (p *Proxy) maxConcurrent() int {
	slots := max(p.latest.slots, 1)
	if limit := p.service.MaxConnections(); limit > 0 {
		slots = min(slots, max(limit-healthCheckConns, 1))
	}
	return slots
}

// canKeepIdle reports whether one more idle connection leaves the total,
// including connections in use, for health checks and for a probe, within the server's
// connection limit.
func (p *Proxy) canKeepIdle() bool {
	limit := p.service.MaxConnections()
	return limit == 0 || p.openConns() < limit
}

// openConns returns how many connections to the server there are at most.
func (p *Proxy) openConns() int {
	open := len(p.forwarded) + len(p.idleConns) + healthCheckConns
	if p.losses.probing {
		open++
	}
	return open
}

// evictIdleConn closes the connection that has been idle longest if a new
// connection would exceed the server's limit. The request that needs the new
// connection is already counted in p.forwarded.
func (p *Proxy) evictIdleConn() {
	limit := p.service.MaxConnections()
	if limit > 0 && len(p.idleConns) > 0 && p.openConns() > limit {
		p.idleConns[0].Close()
		p.idleConns = p.idleConns[1:]
	}
}

func (p *Proxy) keepIdle(c *httpclient.Conn) {
	switch {
	case c == nil:
	case len(p.idleConns) >= maxIdleConns || !p.admits() || !p.canKeepIdle():
		c.Close()
	default:
		p.idleConns = append(p.idleConns, c)
	}
}

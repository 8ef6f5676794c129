package serverproxy

import (
	"math"
	"sync/atomic"
	"time"

	"savorygap.example/lib/httpclient"
)

const (
	// rateLogInterval is the interval between log lines about what a server with a
	// rate limit was sent.
	rateLogInterval = time.Second

	sourceRequest     = "request"
	sourceHealthCheck = "health-check"
)

// statedLimit is the rate limit that the server states, and what it was sent since
// the last log line.
type statedLimit struct {
	perSecond    float64
	limited      bool
	statedAt     time.Time
	current      atomic.Uint64 // bits of perSecond, 0 without a limit, for RateLimit
	requests     int
	healthChecks int
	loggedAt     time.Time
}

// set records a limit, or that there is none. It reports whether that is a change.
func (s *statedLimit) set(now time.Time, perSecond float64, limited bool) bool {
	if limited {
		s.statedAt = now
	}
	if s.limited == limited && s.perSecond == perSecond {
		return false
	}
	if !s.limited {
		s.requests, s.healthChecks, s.loggedAt = 0, 0, now
	}
	s.perSecond, s.limited = perSecond, limited
	s.current.Store(math.Float64bits(perSecond))
	return true
}

// RateLimit returns how many requests per second the server takes, or 0 if it states
// no limit.
func (p *Proxy) RateLimit() float64 { return math.Float64frombits(p.stated.current.Load()) }

// handleAdvisory applies what the server asked in the response to a request or health
// check that was sent to the instance of the given generation. A response of an earlier
// instance says nothing about the present one.
func (p *Proxy) handleAdvisory(now, sentAt time.Time, source string, generation uint64, a httpclient.Advisory) {
	if generation != p.generation {
		return
	}
	if a.Leaving() {
		p.recordLeaving(source)
	}
	if a.Err() != nil {
		p.log.Write("rate-limit-unreadable", "instance", p.instance, "source", source, "error", a.Err().Error())
		return
	}
	p.applyRateLimit(now, sentAt, source, a)
}

// applyRateLimit applies the limit that the server states. A response without a limit
// lifts it only if its request was sent after the limit was last stated: responses
// arrive over many connections, and one with a long body may have begun before.
func (p *Proxy) applyRateLimit(now, sentAt time.Time, source string, a httpclient.Advisory) {
	limit, limited := a.RateLimit()
	if !limited && !sentAt.After(p.stated.statedAt) {
		return
	}
	before := p.stated.perSecond
	if !p.stated.set(now, limit, limited) {
		return
	}
	p.log.Write("rate-limit", "instance", p.instance, "source", source, "before", before, "per_second", limit, "limited", limited)
	if limited {
		p.slotLimiter.SetRateLimit(now, limit)
	} else {
		p.slotLimiter.ClearRateLimit()
	}
}

// logSendRate logs once a second what a server with a rate limit was sent.
func (p *Proxy) logSendRate(now time.Time) {
	s := &p.stated
	if !s.limited || now.Sub(s.loggedAt) < rateLogInterval {
		return
	}
	p.log.Write("rate-limited-server", "instance", p.instance, "per_second", s.perSecond, "requests", s.requests, "health_checks", s.healthChecks,
		"over_ms", now.Sub(s.loggedAt).Milliseconds(), "in_use", p.slotLimiter.InUse(), "queued", p.slotLimiter.QueueLen())
	s.requests, s.healthChecks, s.loggedAt = 0, 0, now
}

// recordLeaving drains the server, which states in its responses that it leaves, and
// has the node pass that on: a later process of this node must not use the server
// either, and the server may not have announced anything yet.
func (p *Proxy) recordLeaving(source string) {
	if p.leaving {
		return
	}
	p.leaving = true
	startedAt := p.latestStartOf(p.instance)
	p.log.Write("server-leaving", "instance", p.instance, "source", source, "born", startedAt, "announced", p.announced)
	p.handleDeparture(&departureMessage{id: p.instance, startedAt: startedAt})
	p.hooks.leaving(p.instance, startedAt)
}

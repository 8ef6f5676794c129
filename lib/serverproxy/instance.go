package serverproxy

import (
	"fmt"
	"time"
)

// handleAnnounce applies an announcement. It returns false for an unknown
// service and for a delayed announcement from an earlier instance.
func (p *Proxy) handleAnnounce(a Announcement) bool {
	if _, known := p.lookupService(a.service); !known && p.snapshot.config != nil {
		p.log.Write("announcement-of-unknown-service", "instance", a.id, "service", a.service, "version", p.snapshot.version)
		return false
	}
	position := p.latest.compare(a)
	if !p.announced {
		position = orderOtherInstance
		if p.instance == a.id && !p.startedAfterDeparture(a) {
			position = orderNewer
		}
	}
	switch position {
	case orderStale:
		p.log.Write("announcement-stale", "instance", a.id, "born", a.startedAt, "sequence", a.sequence, "known_born", p.latest.startedAt, "known_sequence", p.latest.sequence)
		return a.id == p.latest.id && a.startedAt == p.latest.startedAt
	case orderOtherInstance:
		p.switchInstance(a)
	case orderNewer, orderSame:
		p.latest = a
	}
	p.announced = true
	p.slotLimiter.SetSlots(p.maxConcurrent())
	if a.coldRemaining > 0 {
		p.setColdStart(a.coldRemaining)
	}
	if a.draining {
		p.handleDeparture(&departureMessage{id: a.id, startedAt: a.startedAt})
	}
	return true
}

// switchInstance replaces the current instance with the one that sent the
// announcement.
func (p *Proxy) switchInstance(a Announcement) {
	before := p.instance
	p.recordReplacement(p.clock.Now())
	p.latest = a
	p.instance = a.id
	p.service, _ = p.lookupService(a.service)
	p.fireIfAccepted(eventAnnounced)
	p.log.Write("server-announced", "instance", a.id, "before", before, "service", a.service, "address", a.address,
		"slots", a.slots, "draining", a.draining, "cold_ms", a.coldRemaining.Milliseconds(), "born", a.startedAt, "sequence", a.sequence)
	p.announced = true
	p.drainIfDeparted()
}

// handleLeave drains an instance that is leaving and returns its start time. It accepts
// any other instance too, because this node sends it no requests.
func (p *Proxy) handleLeave(id string, startedAt int64) int64 {
	present := id == p.instance && (startedAt == 0 || startedAt >= p.latest.startedAt)
	if startedAt == 0 {
		startedAt = p.latestStartOf(id)
	}
	if !present {
		p.log.Write("leave-of-another", "instance", id, "born", startedAt, "present", p.instance, "present_born", p.latest.startedAt)
	}
	p.handleDeparture(&departureMessage{id: id, startedAt: startedAt})
	if present {
		p.fireIfAccepted(eventDrain)
		p.fireIfAccepted(eventLeave)
	}
	return startedAt
}

// latestStartOf returns the latest time at which the instance may have been started, in
// Unix milliseconds. Unless the instance has announced it to this process, that is now: a
// departure recorded with an earlier time would not apply to a delayed announcement.
func (p *Proxy) latestStartOf(id string) int64 {
	if id == p.instance && p.announced {
		return p.latest.startedAt
	}
	return p.clock.Now().UnixMilli()
}

// handleDeparture remembers an instance that is leaving, so that it receives no
// requests if it is discovered later, for example after this node restarts.
func (p *Proxy) handleDeparture(d *departureMessage) {
	p.departures[d.id] = max(p.departures[d.id], d.startedAt)
	p.drainIfDeparted()
}

// startedAfterDeparture reports whether an instance of the same ID as a has left
// before a was started.
func (p *Proxy) startedAfterDeparture(a Announcement) bool {
	startedAt, departed := p.departures[a.id]
	return departed && a.startedAt > startedAt
}

// drainIfDeparted drains the current instance if its departure is recorded.
func (p *Proxy) drainIfDeparted() {
	if startedAt, ok := p.departures[p.instance]; ok && (!p.announced || p.latest.startedAt <= startedAt) {
		p.fireIfAccepted(eventDrain)
	}
}

// handleSnapshot applies a configuration and suspends or resumes the server
// when its data centre is evacuated or restored.
func (p *Proxy) handleSnapshot(s Snapshot) {
	p.snapshot = s
	p.publishRunning()
	p.service, _ = p.lookupService(p.latest.service)
	p.slotLimiter.SetSlots(p.maxConcurrent())
	event := eventIn
	if s.evacuated {
		event = eventOut
	}
	from := p.dataCentre.State()
	if err := p.dataCentre.Fire(event); err != nil {
		p.log.Write("chart-error", "error", err.Error())
	}
	if to := p.dataCentre.State(); to != from {
		p.log.Write("data-centre-state", "from", from, "to", to, "version", s.version)
	}
}

// setColdStart limits the request rate for the rest of the server's cold start.
func (p *Proxy) setColdStart(remaining time.Duration) {
	p.slotLimiter.SetColdStart(p.clock.Now().Add(remaining), p.service.ColdRate())
}

// handleHealthResult applies the outcome of a health check.
func (p *Proxy) handleHealthResult(r *healthResult) {
	p.health.finishCheck(r)
	now := p.clock.Now()
	if r.instance != "" && r.instance != p.instance && r.instance != r.expectedInstance {
		p.discoverInstance(r.instance)
		return
	}
	if r.hasAdvisory {
		p.handleAdvisory(now, r.sentAt, sourceHealthCheck, r.generation, r.advisory)
	}
	if r.err != nil {
		p.handleFailedCheck(now, r)
		return
	}
	if r.hasReport {
		p.handleLoadReport(now, r.report)
	}
	if !r.responded {
		// A server at capacity refuses health checks like any other request. That
		// says nothing about whether it is cold.
		p.handleFailedCheck(now, r)
		return
	}
	p.health.failures = 0
	p.slotLimiter.SetColdStart(now.Add(r.coldRemaining), p.service.ColdRate())
	if r.healthy || p.announced {
		p.fireIfAccepted(eventSound)
	}
}

// discoverInstance switches to an instance that answered a health check before
// it announced itself to this node, for example after this node restarted.
func (p *Proxy) discoverInstance(instance string) {
	p.log.Write("server-met", "instance", instance, "before", p.instance)
	p.recordReplacement(p.clock.Now())
	p.instance = instance
	p.announced = false
	p.fireIfAccepted(eventAnnounced)
	p.drainIfDeparted()
}

// handleFailedCheck handles a health check without a response. A server that
// keeps announcing itself receives requests again after maxFailedChecks
// failures, at the cold-start rate, because its health endpoint alone may be
// failing.
func (p *Proxy) handleFailedCheck(now time.Time, r *healthResult) {
	p.health.failures++
	if p.lifecycle.HasTag(tagChecking) && p.announced && !r.dialFailed && p.health.failures >= maxFailedChecks {
		p.log.Write("health-ignored", "instance", p.instance, "error", fmt.Sprint(r.err), "failures", p.health.failures)
		p.slotLimiter.SetColdStart(now.Add(p.service.ColdDuration()), p.service.ColdRate())
		p.fireIfAccepted(eventSound)
		return
	}
	if r.dialFailed {
		p.recordEnd(now)
		p.fireIfAccepted(eventUnreachable)
	}
}

package serverproxy

import (
	"fmt"
	"time"
)

// handleAnnounce records an announcement. It reports false for one that was
// held up and tells of an instance before the present one.
func (k *Proxy) handleAnnounce(a Announcement) bool {
	if _, known := k.serviceNamed(a.service); !known && k.situation.catalogue != nil {
		k.log.Write("announcement-of-unknown-service", "instance", a.id, "service", a.service, "version", k.situation.version)
		return false
	}
	how := k.latest.compare(a)
	if !k.heard {
		how = orderOtherInstance
		if k.instance == a.id {
			how = orderNewer
		}
	}
	switch how {
	case orderStale:
		k.log.Write("announcement-stale", "instance", a.id, "born", a.born, "sequence", a.sequence, "known_born", k.latest.born, "known_sequence", k.latest.sequence)
		return a.id == k.latest.id && a.born == k.latest.born
	case orderOtherInstance:
		k.adopt(a)
	case orderNewer, orderSame:
		k.latest = a
	}
	k.heard = true
	k.book.SetSlots(k.places())
	if a.coldLeft > 0 {
		k.setCold(a.coldLeft)
	}
	if a.draining {
		k.fire(eventDrain)
	}
	return true
}

// adopt starts afresh with another instance.
func (k *Proxy) adopt(a Announcement) {
	before := k.instance
	k.latest = a
	k.instance = a.id
	k.service, _ = k.serviceNamed(a.service)
	k.fire(eventAnnounced)
	k.log.Write("server-announced", "instance", a.id, "before", before, "service", a.service, "address", a.address,
		"slots", a.slots, "draining", a.draining, "cold_ms", a.coldLeft.Milliseconds(), "born", a.born, "sequence", a.sequence)
	k.heard = true
	k.drainDeparted()
}

// handleLeave records that an instance leaves. It reports true also for an
// instance that is not known here, since such a one gets no work from here.
func (k *Proxy) handleLeave(id string, born int64) bool {
	if id != k.instance || born > 0 && born < k.latest.born {
		k.log.Write("leave-of-another", "instance", id, "born", born, "present", k.instance, "present_born", k.latest.born)
		k.handleDeparted(&departedMessage{id: id, born: born})
		return true
	}
	k.fire(eventDrain)
	k.fire(eventLeave)
	return true
}

// handleDeparted remembers an instance that said it leaves, so that it gets no
// work either when it is met later, as after a restart of this node.
func (k *Proxy) handleDeparted(d *departedMessage) {
	k.departed[d.id] = max(k.departed[d.id], d.born)
	k.drainDeparted()
}

// drainDeparted drains the present instance if it said that it leaves.
func (k *Proxy) drainDeparted() {
	if born, ok := k.departed[k.instance]; ok && (!k.heard || k.latest.born <= born) {
		k.fire(eventDrain)
	}
}

func (k *Proxy) handleSituation(s Snapshot) {
	k.situation = s
	k.service, _ = k.serviceNamed(k.latest.service)
	k.book.SetSlots(k.places())
	event := eventIn
	if s.evacuated {
		event = eventOut
	}
	from := k.dataCentre.State()
	if err := k.dataCentre.Fire(event); err != nil {
		k.log.Write("chart-error", "error", err.Error())
	}
	if to := k.dataCentre.State(); to != from {
		k.log.Write("data-centre-state", "from", from, "to", to, "version", s.version)
	}
}

// setCold records for how long the server stays cold.
func (k *Proxy) setCold(left time.Duration) {
	k.book.SetColdStart(k.clock.Now().Add(left), k.service.ColdRate())
}

// handleProbed takes in the answer to a health check.
func (k *Proxy) handleProbed(p *probeResult) {
	now := k.clock.Now()
	k.probes.done(p)
	if p.instance != "" && p.instance != k.instance && p.instance != p.expected {
		k.meet(p.instance)
		return
	}
	if p.err != nil {
		k.handleUnwell(now, p)
		return
	}
	if p.loaded {
		k.report(now, p.load)
	}
	if !p.answered {
		// A full server refuses a health check like any request; that says nothing
		// about whether it is cold.
		k.handleUnwell(now, p)
		return
	}
	k.probes.failures = 0
	k.book.SetColdStart(now.Add(p.coldLeft), k.service.ColdRate())
	if p.sound || k.heard {
		k.fire(eventSound)
	}
}

// meet starts with an instance that answered a health check before it announced
// itself here, as after a restart of this node.
func (k *Proxy) meet(instance string) {
	k.log.Write("server-met", "instance", instance, "before", k.instance)
	k.instance = instance
	k.heard = false
	k.fire(eventAnnounced)
	k.drainDeparted()
}

// handleUnwell takes in a health check without an answer. A server that keeps
// announcing itself gets work again as a cold one, since its health endpoint may
// be what fails.
func (k *Proxy) handleUnwell(now time.Time, p *probeResult) {
	k.probes.failures++
	if k.machine.Has(tagChecking) && k.heard && !p.unreached && k.probes.failures >= patienceWithHealth {
		k.log.Write("health-ignored", "instance", k.instance, "error", fmt.Sprint(p.err), "failures", k.probes.failures)
		k.book.SetColdStart(now.Add(k.service.ColdDuration()), k.service.ColdRate())
		k.fire(eventSound)
		return
	}
	if p.unreached {
		k.fire(eventUnreachable)
	}
}

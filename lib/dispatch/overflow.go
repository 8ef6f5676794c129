package dispatch

import (
	"time"

	"savorygap.example/lib/locality"
	"savorygap.example/lib/upstream"
)

// ask sends a slot request to a candidate.
func (s *slotSearch) ask(c candidate, request upstream.SlotRequest) {
	number := s.router.lastRequestNumber.Add(1)
	c.askedAt = s.router.clock.Now()
	s.pending[number] = c
	s.serversAsked++
	s.askedFar = s.askedFar || c.far
	c.endpoint.Reserve(number, request, s.events)
}

// askAll asks the candidates, except those that are kept for the case that nothing is
// free at the others.
func (s *slotSearch) askAll(candidates []candidate, request upstream.SlotRequest) {
	for _, c := range candidates {
		if c.overflow {
			s.overflow = append(s.overflow, c)
			continue
		}
		s.ask(c, request)
	}
}

// askOverflow asks the far and the suspected servers, once, when all others have refused
// the request or have only queued it, and reports whether it did. Servers that have queued
// the request go on. Nothing is asked if the request could not end in time there.
func (s *slotSearch) askOverflow(request upstream.SlotRequest) bool {
	if len(s.overflow) == 0 || len(s.offers) > 0 || s.final {
		return false
	}
	overflow := s.overflow
	s.overflow = nil
	left := request.TimeLeft() - s.router.clock.Since(s.startedAt)
	asked := false
	for _, c := range overflow {
		if request.TimeLeft() == 0 || left > c.roundTrip+request.ExpectedLatency() {
			s.ask(c, request)
			asked = true
			s.overflowed = s.overflowed || c.far
		}
	}
	return asked
}

// dropSuspected gives up on suspected servers that have not replied within replyTimeout, so
// that a refusal does not wait for them any longer.
func (s *slotSearch) dropSuspected() {
	for number, c := range s.pending {
		if c.suspected && !s.replied[number] {
			c.endpoint.Withdraw(number)
			delete(s.pending, number)
		}
	}
}

// offerWait returns how long to wait for further offers after the first one. It is longer
// than offerWindow only if far servers were asked because servers here are worse, or if a
// round trip is not known yet.
func (s *slotSearch) offerWait() time.Duration {
	wait := offerWindow
	now := s.router.clock.Now()
	for number, c := range s.pending {
		if c.replyWithin > 0 && !s.replied[number] {
			wait = max(wait, c.askedAt.Add(c.replyWithin).Sub(now))
		}
	}
	return wait
}

// isLate reports whether a server that has not replied should have done so. The search may
// end before a far one can have, when a slot is found here.
func (s *slotSearch) isLate(c candidate) bool {
	return !c.far || s.router.clock.Since(c.askedAt) >= c.roundTrip+offerWindow
}

// observeReply records what the first reply of a server says about distances.
func (s *slotSearch) observeReply(c candidate, e upstream.Event) {
	if s.router.config.farRoundTrip <= 0 {
		return
	}
	if c.dataCentre != "" {
		s.report.trips = append(s.report.trips, measuredTrip{dataCentre: c.dataCentre, took: s.router.clock.Since(c.askedAt)})
	}
	cost := locality.RefusedCost()
	switch e.Kind() {
	case upstream.Offered:
		cost = locality.OfferedCost(e.Cost())
	case upstream.Queued:
		cost = locality.QueuedCost(e.Cost())
	case upstream.Refused, upstream.Answered, upstream.NotRun, upstream.Unknown, upstream.Slowed, upstream.Silent:
	}
	lowest := &s.report.here
	if c.far {
		lowest = &s.report.elsewhere
	}
	if *lowest == 0 || cost < *lowest {
		*lowest = cost
	}
}

// reportSearch tells the router what the search found.
func (s *slotSearch) reportSearch() {
	if s.router.config.farRoundTrip <= 0 {
		return
	}
	report := s.report
	report.service = s.service
	s.router.inbox.TrySend(message{searched: &report})
	scope := scopeHere
	switch {
	case s.overflowed:
		scope = scopeOverflow
	case s.askedFar:
		scope = scopeJoined
	}
	if s.router.observer.searched != nil {
		s.router.observer.searched(s.service, scope)
	}
}

// withoutFar returns the candidates of a hedge, which is not worth a slot in a far
// data centre while there are servers here.
func withoutFar(candidates []candidate) []candidate {
	kept := candidates[:0]
	for _, c := range candidates {
		if !c.far {
			kept = append(kept, c)
		}
	}
	return kept
}

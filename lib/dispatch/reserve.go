package dispatch

import (
	"context"
	"time"

	"savorygap.example/lib/downstream"
	"savorygap.example/lib/upstream"
)

const (
	// offerWindow is how long to wait for further offers after the first one:
	// enough for a reply from another data centre by way of a busy node.
	offerWindow = 4 * time.Millisecond
	// replyTimeout is how long a server may take to reply before it is
	// suspected.
	replyTimeout = 40 * time.Millisecond
	// queueShare is the fraction of the latency objective that a request may
	// spend in queues before its caller is told to retry later.
	queueShare = 0.3
	// latencyShare is the fraction of the time left until the latency
	// objective that running the request should take at most.
	latencyShare = 0.8
	// acceptableSlowness is the slowness up to which a server is accepted even
	// if the request would take more than latencyShare of the time left.
	acceptableSlowness = 1.3
	// nestedQueueShare is the fraction of the time left that a nested call may
	// spend in queues.
	nestedQueueShare = 0.8
	// defaultMaxWait is how long a request without a latency objective may
	// queue.
	defaultMaxWait = 100 * time.Millisecond
)

// offer is a slot that a server offered, with the channel for its further
// events.
type offer struct {
	event  upstream.Event
	events chan upstream.Event
	cost   float64
}

// slotSearch is one round of slot requests to several servers. It belongs to
// one goroutine. pending holds the requests that have not ended, by number, and
// replied those of them to which the server has replied.
type slotSearch struct {
	router       *Router
	service      string
	bodySize     int
	events       chan upstream.Event
	pending      map[uint64]candidate
	replied      map[uint64]bool
	queued       map[uint64]bool // nil unless hedges are limited
	offers       []offer
	serversAsked int
	reason       string
	retryAfter   time.Duration
	latestStart  func() (time.Time, bool) // see pendingCall.latestStart
	overflow     []candidate              // far and suspected servers that were not asked yet
	askedFar     bool
	overflowed   bool
	final        bool // servers agree that no other is worth asking
	finalReplies int  // see isFinalRefusal
	startedAt    time.Time
	report       searchReport
	// pressureSum is the sum of the pressures that servers replied with.
	pressureSum     float64
	pressureReplies int
}

// findSlot reserves a slot at the cheapest candidate, and queues if none is
// free. It first looks for a server that is fast enough for the latency
// objective, then for any server.
func (p *pendingCall) findSlot(ctx context.Context, candidates []candidate) (offer, bool) {
	if len(candidates) == 0 {
		p.reason = "no server of the service takes requests"
		return offer{}, false
	}
	if maxSlowness, maxWait := p.slownessLimit(); maxWait > 0 {
		if o, ok := p.searchSlot(ctx, candidates, p.slotRequest(maxWait).WithMaxSlowness(maxSlowness)); ok {
			return o, true
		}
		if p.reason == downstream.Reason {
			return offer{}, false
		}
	}
	return p.searchSlot(ctx, candidates, p.slotRequest(p.maxWait(p.router.clock.Now())))
}

// searchSlot runs one round of slot requests and adds its duration and the
// servers asked to the totals of the call.
func (p *pendingCall) searchSlot(ctx context.Context, candidates []candidate, request upstream.SlotRequest) (offer, bool) {
	started := p.router.clock.Now()
	if latest, limited := p.latestStart(); limited && !started.Before(latest) {
		p.reason, p.retryAfter = ErrStopping.Error(), 0
		return offer{}, false
	}
	s := p.newSearch(candidates)
	best, ok := s.run(ctx, candidates, request)
	p.recordSearch(ctx, s, best, ok, request)
	p.searchTime += p.router.clock.Since(started)
	p.serversAsked += s.serversAsked
	p.reportPressure(s)
	if !ok {
		p.reason, p.retryAfter = s.reason, s.retryAfter
	}
	return best, ok
}

// slownessLimit returns the largest slowness of a server at which the request
// still meets its latency objective, and how long it is worth queueing for
// such a server: servers are slow for a few hundred milliseconds at a time.
func (p *pendingCall) slownessLimit() (maxSlowness float64, maxWait time.Duration) {
	objective, mean := p.plan.route.LatencyObjective(), p.plan.meanLatency
	if objective == 0 || mean == 0 {
		return 0, 0
	}
	now := p.router.clock.Now()
	left := objective - now.Sub(p.call.received)
	maxWait = min(left-time.Duration(acceptableSlowness*float64(mean)), time.Duration(queueShare*float64(objective)))
	maxSlowness = max(latencyShare*float64(left)/float64(mean), acceptableSlowness)
	return maxSlowness, min(maxWait, p.deadline.Sub(now)/2)
}

func (p *pendingCall) newSearch(candidates []candidate) *slotSearch {
	var queued map[uint64]bool
	if p.plan.hedgesLimited {
		queued = make(map[uint64]bool, len(candidates))
	}
	return &slotSearch{
		queued: queued, router: p.router, service: p.plan.service, bodySize: len(p.call.request.Body()),
		events:  make(chan upstream.Event, upstream.MaxEvents*len(candidates)),
		pending: make(map[uint64]candidate, len(candidates)), replied: make(map[uint64]bool, len(candidates)),
		latestStart: p.latestStart, startedAt: p.router.clock.Now(),
	}
}

// slotRequest returns the slot request of the call with the given time to
// queue.
func (p *pendingCall) slotRequest(maxWait time.Duration) upstream.SlotRequest {
	return p.forVersion(upstream.NewSlotRequest(p.plan.service, p.priority())).WithTenant(p.tenantName()).WithRoute(routeKey(p.plan.route)).
		WithNested(p.call.nested).WithMaxWait(maxWait).
		WithRequestID(p.call.request.ID()).WithSlowdownNotice(p.mayHedge()).
		WithTimes(p.deadline.Sub(p.router.clock.Now()), p.expectedLatency())
}

// maxWait returns how long the request may queue.
func (p *pendingCall) maxWait(now time.Time) time.Duration {
	left := p.deadline.Sub(now)
	if p.call.nested {
		return time.Duration(nestedQueueShare * float64(left))
	}
	wait := defaultMaxWait
	if objective := p.plan.route.LatencyObjective(); objective > 0 {
		wait = time.Duration(queueShare*float64(objective)) - now.Sub(p.call.received)
	}
	return max(0, min(wait, left/2))
}

// run asks the candidates for a slot, returns the cheapest offer and withdraws
// from all others.
func (s *slotSearch) run(ctx context.Context, candidates []candidate, request upstream.SlotRequest) (offer, bool) {
	s.askAll(candidates, request)
	best, ok := s.collect(ctx, request)
	s.reportSearch()
	for number, c := range s.pending {
		if !ok || number != best.event.Number() {
			c.endpoint.Withdraw(number)
		}
	}
	return best, ok
}

// collect handles replies and returns the cheapest offer, once all servers
// have replied or the wait for the rest is over.
func (s *slotSearch) collect(ctx context.Context, request upstream.SlotRequest) (offer, bool) {
	maxWait := request.MaxWait()
	until := s.router.clock.Now().Add(maxWait + replyTimeout)
	waitTimer := s.router.clock.NewTimer(maxWait + replyTimeout)
	defer waitTimer.Stop()
	stopping, timeoutReason := s.router.stopping, "no place in time"
	replyTimer := s.router.clock.NewTimer(replyTimeout)
	defer replyTimer.Stop()
	for {
		if len(s.replied) >= len(s.pending) && s.askOverflow(request) {
			replyTimer.Reset(replyTimeout)
		}
		switch {
		case s.final, len(s.pending) == 0:
			return offer{}, false
		case len(s.offers) > 0 && len(s.replied) >= len(s.pending):
			return s.cheapest(), true
		}
		select {
		case e := <-s.events:
			first := len(s.offers) == 0
			s.handleEvent(e)
			if first && len(s.offers) > 0 {
				replyTimer.Reset(s.offerWait())
			}
		case <-replyTimer.Chan():
			s.reportUnresponsive()
			s.dropSuspected()
			if len(s.offers) > 0 {
				return s.cheapest(), true
			}
			if s.askOverflow(request) {
				replyTimer.Reset(replyTimeout)
			}
		case <-stopping:
			stopping = nil
			if latest, limited := s.latestStart(); limited && latest.Before(until) {
				timeoutReason = ErrStopping.Error()
				waitTimer.Reset(max(0, latest.Sub(s.router.clock.Now())))
			}
		case <-waitTimer.Chan():
			s.reason = timeoutReason
			return offer{}, false
		case <-ctx.Done():
			s.reason = "timeout before a place was found"
			return offer{}, false
		}
	}
}

// handleEvent records a reply.
func (s *slotSearch) handleEvent(e upstream.Event) {
	c, ok := s.pending[e.Number()]
	if !ok {
		return
	}
	if !s.replied[e.Number()] {
		s.pressureSum, s.pressureReplies = s.pressureSum+e.Pressure(), s.pressureReplies+1
		s.observeReply(c, e)
	}
	s.replied[e.Number()] = true
	switch e.Kind() {
	case upstream.Offered:
		s.offers = append(s.offers, offer{event: e, events: s.events, cost: e.Cost()*c.costFactor(s.bodySize) + c.extraCost})
		s.reportCost(c, e.Cost())
	case upstream.Queued:
		if s.queued != nil {
			s.queued[e.Number()] = true
		}
		s.reportCost(c, e.Cost())
	case upstream.Slowed, upstream.Silent, upstream.Lost:
	case upstream.Refused, upstream.NotRun, upstream.Unknown, upstream.Answered:
		delete(s.pending, e.Number())
		delete(s.replied, e.Number())
		s.reason, s.retryAfter = e.Reason(), max(s.retryAfter, e.RetryAfter())
		if isFinalRefusal(e) {
			s.finalReplies++
			s.final = s.finalReplies >= min(minFinalReplies, s.serversAsked)
		}
		s.dropOffer(e.Number())
	}
}

// dropOffer removes an offer that expired before it was used.
func (s *slotSearch) dropOffer(number uint64) {
	for i, o := range s.offers {
		if o.event.Number() == number {
			s.offers = append(s.offers[:i], s.offers[i+1:]...)
			return
		}
	}
}

// cheapest returns the offer with the lowest cost.
func (s *slotSearch) cheapest() offer {
	best := s.offers[0]
	for _, o := range s.offers[1:] {
		if o.cost < best.cost {
			best = o
		}
	}
	return best
}

// reportUnresponsive tells the router which servers did not reply in time.
func (s *slotSearch) reportUnresponsive() {
	for number, c := range s.pending {
		if !s.replied[number] && s.isLate(c) {
			s.router.inbox.TrySend(message{observation: &observation{service: s.service, node: c.endpoint.Node(), unresponsive: true}})
		}
	}
}

// reportCost tells the router the cost that a server replied with.
func (s *slotSearch) reportCost(c candidate, cost float64) {
	s.router.inbox.TrySend(message{observation: &observation{service: s.service, node: c.endpoint.Node(), cost: cost}})
}

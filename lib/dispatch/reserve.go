package dispatch

import (
	"context"
	"time"

	"savorygap.example/lib/upstream"
)

const (
	// settleFor is how long the replies of slower peers are waited for once one
	// has offered a place: two data centres apart and a busy node between.
	settleFor = 4 * time.Millisecond
	// silentAfter is after how long without a reply a peer is doubted.
	silentAfter = 40 * time.Millisecond
	// waitShare is the part of the latency objective for which a request waits in
	// line, before its caller is told when to come back.
	waitShare = 0.3
	// ceilingShare is the part of the time up to the objective that a request
	// should take at the slowness of its server.
	ceilingShare = 0.8
	// leastCeiling is the slowness that is always good enough.
	leastCeiling = 1.3
	// nestedShare is that part of the time left for a call that a running request
	// waits for.
	nestedShare = 0.8
	// defaultWait is how long a request without an objective waits in line.
	defaultWait = 100 * time.Millisecond
)

// offer is a place that was offered, and where its further events arrive.
type offer struct {
	event  upstream.Event
	events chan upstream.Event
	cost   float64
}

// search is one round of asking for a place. It belongs to one goroutine.
type search struct {
	router  *Router
	service string
	size    int
	events  chan upstream.Event
	open    map[uint64]candidate
	replied map[uint64]bool
	offers  []offer
	asked   int
	reason  string
	retry   time.Duration
}

// findPlace asks the candidates for a place and returns the offer that costs
// least. It waits in line where none is free.
func (p *progress) findPlace(ctx context.Context, candidates []candidate) (offer, bool) {
	if len(candidates) == 0 {
		p.reason = "no server of the service takes requests"
		return offer{}, false
	}
	if ceiling, patience := p.choosy(); patience > 0 {
		if o, ok := p.search(ctx, candidates, p.ask(patience).WithMaxSlowness(ceiling)); ok {
			return o, true
		}
	}
	return p.search(ctx, candidates, p.ask(p.patience(p.router.clock.Now())))
}

// search runs one round of asking.
func (p *progress) search(ctx context.Context, candidates []candidate, ask upstream.SlotRequest) (offer, bool) {
	started := p.router.clock.Now()
	s := p.newSearch(candidates)
	best, ok := s.run(ctx, candidates, ask)
	p.waited += p.router.clock.Since(started)
	p.asked += s.asked
	if !ok {
		p.reason, p.retry = s.reason, s.retry
	}
	return best, ok
}

// choosy returns the largest slowness of a server at which the request still
// meets its objective, and for how long it does well to wait for such a server:
// servers are slow for a few hundred milliseconds at a time.
func (p *progress) choosy() (ceiling float64, patience time.Duration) {
	objective, usual := p.plan.route.LatencyObjective(), p.plan.usual
	if objective == 0 || usual == 0 {
		return 0, 0
	}
	now := p.router.clock.Now()
	left := objective - now.Sub(p.call.received)
	patience = min(left-time.Duration(leastCeiling*float64(usual)), time.Duration(waitShare*float64(objective)))
	ceiling = max(ceilingShare*float64(left)/float64(usual), leastCeiling)
	return ceiling, min(patience, p.deadline.Sub(now)/2)
}

func (p *progress) newSearch(candidates []candidate) *search {
	return &search{
		router: p.router, service: p.plan.service, size: len(p.call.request.Body()),
		events: make(chan upstream.Event, upstream.MaxEvents*len(candidates)),
		open:   make(map[uint64]candidate, len(candidates)), replied: make(map[uint64]bool, len(candidates)),
	}
}

// ask returns what is asked for, with how long it may wait in line.
func (p *progress) ask(patience time.Duration) upstream.SlotRequest {
	return upstream.NewSlotRequest(p.plan.service, p.plan.route.Priority()).WithNested(p.call.nested).WithMaxWait(patience).
		WithRequestID(p.call.request.ID()).WithSlowdownNotice(p.mayHedge())
}

// patience is how long the request may wait in line.
func (p *progress) patience(now time.Time) time.Duration {
	left := p.deadline.Sub(now)
	if p.call.nested {
		return time.Duration(nestedShare * float64(left))
	}
	wait := defaultWait
	if objective := p.plan.route.LatencyObjective(); objective > 0 {
		wait = time.Duration(waitShare*float64(objective)) - now.Sub(p.call.received)
	}
	return max(0, min(wait, left/2))
}

// run asks the candidates, and collects replies until the best place is known or
// nobody has one.
func (s *search) run(ctx context.Context, candidates []candidate, ask upstream.SlotRequest) (offer, bool) {
	for _, c := range candidates {
		number := s.router.asks.Add(1)
		s.open[number] = c
		c.port.Reserve(number, ask, s.events)
	}
	s.asked = len(candidates)
	best, ok := s.collect(ctx, ask.MaxWait())
	for number, c := range s.open {
		if !ok || number != best.event.Number() {
			c.port.Withdraw(number)
		}
	}
	return best, ok
}

func (s *search) collect(ctx context.Context, patience time.Duration) (offer, bool) {
	end := s.router.clock.NewTimer(patience + silentAfter)
	defer end.Stop()
	settle := s.router.clock.NewTimer(silentAfter)
	defer settle.Stop()
	for len(s.open) > 0 {
		if len(s.offers) > 0 && len(s.replied) >= len(s.open) {
			return s.best(), true
		}
		select {
		case e := <-s.events:
			first := len(s.offers) == 0
			s.take(e)
			if first && len(s.offers) > 0 {
				settle.Reset(settleFor)
			}
		case <-settle.Chan():
			s.doubtSilent()
			if len(s.offers) > 0 {
				return s.best(), true
			}
		case <-end.Chan():
			s.reason = "no place in time"
			return offer{}, false
		case <-ctx.Done():
			s.reason = "timeout before a place was found"
			return offer{}, false
		}
	}
	return offer{}, false
}

// take notes a reply.
func (s *search) take(e upstream.Event) {
	c, ok := s.open[e.Number()]
	if !ok {
		return
	}
	s.replied[e.Number()] = true
	switch e.Kind() {
	case upstream.Offered:
		s.offers = append(s.offers, offer{event: e, events: s.events, cost: e.Cost() * c.costOf(s.size)})
		s.learn(c, e.Cost())
	case upstream.Queued:
		s.learn(c, e.Cost())
	case upstream.Slowed:
	case upstream.Refused, upstream.NotRun, upstream.Unknown, upstream.Answered:
		delete(s.open, e.Number())
		delete(s.replied, e.Number())
		s.reason, s.retry = e.Reason(), max(s.retry, e.RetryAfter())
		s.dropOffer(e.Number())
	}
}

// dropOffer forgets an offer that lapsed before it was taken.
func (s *search) dropOffer(number uint64) {
	for i, o := range s.offers {
		if o.event.Number() == number {
			s.offers = append(s.offers[:i], s.offers[i+1:]...)
			return
		}
	}
}

func (s *search) best() offer {
	best := s.offers[0]
	for _, o := range s.offers[1:] {
		if o.cost < best.cost {
			best = o
		}
	}
	return best
}

// doubtSilent notes the peers that did not reply.
func (s *search) doubtSilent() {
	for number, c := range s.open {
		if !s.replied[number] {
			s.router.inbox.TrySend(message{learned: &learned{service: s.service, node: c.port.Node(), silent: true}})
		}
	}
}

func (s *search) learn(c candidate, cost float64) {
	s.router.inbox.TrySend(message{learned: &learned{service: s.service, node: c.port.Node(), cost: cost}})
}

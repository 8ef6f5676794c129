package dispatch

import (
	"context"
	"net/http"
	"time"

	"savorygap.example/lib/upstream"
)

const (
	// hedgeCost is the largest cost of a second place: beyond it the second run is
	// no faster than the first.
	hedgeCost = 2.0
	// hedgeOver is how many times longer than usual a run must last before a second
	// one begins without a warning.
	hedgeOver = 2.5
	// hedgeObjective is the part of the latency objective that must be over by
	// then.
	hedgeObjective = 0.5
	// usualWeight is the weight of the newest latency in a route's mean.
	usualWeight = 0.05
	// outlier bounds, in times of the mean, what one slow run adds to it.
	outlier = 3.0
)

// race sends the request to the place and waits for its end. A read whose server
// turns slow, or that lasts much longer than usual, is sent to a second server
// as well; the first whole answer counts and the other run is cancelled.
func (p *progress) race(ctx context.Context, o offer) upstream.Event {
	p.node, p.cost = o.event.Endpoint().Node(), o.event.Cost()
	started := p.router.clock.Now()
	o.event.Endpoint().Submit(o.event.Number(), p.call.request.WithDeadline(p.deadline))
	timer := p.router.clock.NewTimer(p.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case e := <-o.events:
			switch {
			case e.Number() != o.event.Number():
			case e.Kind().Final():
				p.tellUsual(e, started)
				return e
			case e.Kind() == upstream.Slowed && p.slowedTooMuch(started, e.Cost()):
				p.hedged = "slowed"
				return p.hedge(ctx, o, started)
			}
		case <-timer.Chan():
			if p.mayHedge() {
				p.hedged = "late"
				return p.hedge(ctx, o, started)
			}
		case <-ctx.Done():
			return p.cancel(o)
		}
	}
}

func (p *progress) cancel(o offer) upstream.Event {
	o.event.Endpoint().Cancel(o.event.Number())
	return upstream.NewEvent(upstream.Unknown, o.event.Number()).WithReason("timeout")
}

// mayHedge reports whether a second server may be sent the request.
func (p *progress) mayHedge() bool {
	return p.plan.route.Kind().Idempotent() && p.sent < p.plan.route.MaxAttempts()
}

// hedgeDelay is after how long a run without a warning gets a second one.
func (p *progress) hedgeDelay() time.Duration {
	usual := p.plan.usual
	if usual == 0 || !p.mayHedge() {
		return noDeadline
	}
	return max(time.Duration(hedgeOver*float64(usual)), time.Duration(hedgeObjective*float64(p.plan.route.LatencyObjective())))
}

// slowedTooMuch reports whether the run now ends beyond the latency objective,
// while a fresh one elsewhere would not.
func (p *progress) slowedTooMuch(started time.Time, slowness float64) bool {
	objective, usual := p.plan.route.LatencyObjective(), p.plan.usual
	if objective == 0 || usual == 0 || !p.mayHedge() {
		return false
	}
	now := p.router.clock.Now()
	elapsed := now.Sub(p.call.received)
	left := max(usual-now.Sub(started), 0)
	return elapsed+time.Duration(slowness*float64(left)) > objective && elapsed+usual <= objective
}

// hedge seeks a second place while the first run goes on, and sends the request
// there if one is free. Either run may end the race.
func (p *progress) hedge(ctx context.Context, first offer, started time.Time) upstream.Event {
	seekCtx, stop := context.WithCancel(ctx)
	defer stop()
	found := make(chan offer, 1)
	go p.seekSecond(seekCtx, found)
	var second *offer
	var secondEvents chan upstream.Event
	for {
		select {
		case o, ok := <-found:
			found = nil
			if !ok || !p.spend(ctx) {
				if ok {
					o.event.Endpoint().Withdraw(o.event.Number())
				}
				continue
			}
			p.countAttempt()
			p.countRetry()
			second, secondEvents = &o, o.events
			o.event.Endpoint().Submit(o.event.Number(), p.call.request.WithDeadline(p.deadline))
		case e := <-first.events:
			if e.Number() != first.event.Number() || !e.Kind().Final() {
				continue
			}
			p.tellUsual(e, started)
			if second == nil || isGood(e) {
				p.dropSecond(second, stop, found)
				return e
			}
			return p.awaitSecond(ctx, *second)
		case e := <-secondEvents:
			if e.Number() != second.event.Number() || !e.Kind().Final() {
				continue
			}
			if isGood(e) {
				first.event.Endpoint().Cancel(first.event.Number())
				p.node = second.event.Endpoint().Node()
				return e
			}
			second, secondEvents = nil, nil
		case <-ctx.Done():
			p.dropSecond(second, stop, found)
			return p.cancel(first)
		}
	}
}

func isGood(e upstream.Event) bool {
	return e.Kind() == upstream.Answered && e.Response().Status() < http.StatusInternalServerError
}

// dropSecond ends the second run, or the search for its place.
func (p *progress) dropSecond(second *offer, stop context.CancelFunc, found chan offer) {
	stop()
	if second != nil {
		second.event.Endpoint().Cancel(second.event.Number())
	}
	if found != nil {
		go func() {
			if o, ok := <-found; ok {
				o.event.Endpoint().Withdraw(o.event.Number())
			}
		}()
	}
}

// awaitSecond waits for the second run after the first has failed.
func (p *progress) awaitSecond(ctx context.Context, second offer) upstream.Event {
	p.tried = append(p.tried, p.node)
	p.node = second.event.Endpoint().Node()
	for {
		select {
		case e := <-second.events:
			if e.Number() == second.event.Number() && e.Kind().Final() {
				return e
			}
		case <-ctx.Done():
			return p.cancel(second)
		}
	}
}

// seekSecond looks for a place that is free now and cheap. It closes found when
// there is none.
func (p *progress) seekSecond(ctx context.Context, found chan<- offer) {
	defer close(found)
	candidates := p.others(ctx, append([]string{p.node}, p.tried...))
	if len(candidates) == 0 {
		return
	}
	s := p.newSearch(candidates)
	o, ok := s.run(ctx, candidates, p.ask(0))
	switch {
	case !ok:
	case o.event.Cost() > hedgeCost:
		o.event.Endpoint().Withdraw(o.event.Number())
	default:
		found <- o
	}
}

// tellUsual tells the router how long a good run took.
func (p *progress) tellUsual(e upstream.Event, started time.Time) {
	if isGood(e) {
		p.router.inbox.TrySend(message{took: &tookMessage{key: routeKey(p.plan.route), took: p.router.clock.Since(started)}})
	}
}

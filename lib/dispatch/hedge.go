package dispatch

import (
	"context"
	"net/http"
	"time"

	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	// maxHedgeCost is the largest cost of a slot for a hedge: above it, the
	// second attempt would be no faster than the first.
	maxHedgeCost = 2.0
	// hedgeLatencyFactor is the multiple of the mean latency after which a
	// request is hedged without a Slowed event.
	hedgeLatencyFactor = 2.5
	// hedgeObjectiveShare is the fraction of the latency objective that must
	// also have passed by then.
	hedgeObjectiveShare = 0.5
	// latencyWeight is the weight of the newest latency in a route's moving
	// average.
	latencyWeight = 0.05
	// outlierFactor caps a latency, as a multiple of the mean, before it is
	// averaged.
	outlierFactor = 3.0
)

// execute sends the request to the offered slot and waits for its final event.
// An idempotent request is hedged, that is, sent to a second server as well,
// when its server slows down or it takes much longer than the mean; the first
// success counts and the other attempt is cancelled.
func (p *pendingCall) execute(ctx context.Context, o offer) upstream.Event {
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
				p.reportLatency(e, started)
				return e
			case e.Kind() == upstream.Slowed && p.missesObjective(started, e.Cost()):
				p.hedgeCause = "slowed"
				return p.hedge(ctx, o, started)
			}
		case <-timer.Chan():
			if p.mayHedge() {
				p.hedgeCause = "late"
				return p.hedge(ctx, o, started)
			}
		case <-ctx.Done():
			return p.cancel(o)
		}
	}
}

// cancel aborts an attempt when the call's time is over or its caller has
// disconnected.
func (p *pendingCall) cancel(o offer) upstream.Event {
	o.event.Endpoint().Cancel(o.event.Number())
	return upstream.NewEvent(upstream.Unknown, o.event.Number()).WithReason("timeout")
}

// mayHedge reports whether the request may be sent to a second server.
func (p *pendingCall) mayHedge() bool {
	return p.plan.route.Kind().Idempotent() && p.attempts < p.plan.route.MaxAttempts()
}

// hedgeDelay returns how long an attempt may take before it is hedged without
// a Slowed event.
func (p *pendingCall) hedgeDelay() time.Duration {
	mean := p.plan.meanLatency
	if mean == 0 || !p.mayHedge() {
		return defaultTimeLeft
	}
	return max(time.Duration(hedgeLatencyFactor*float64(mean)), time.Duration(hedgeObjectiveShare*float64(p.plan.route.LatencyObjective())))
}

// missesObjective reports whether the attempt would now end after the latency
// objective, while a new one elsewhere would meet it.
func (p *pendingCall) missesObjective(started time.Time, slowness float64) bool {
	objective, mean := p.plan.route.LatencyObjective(), p.plan.meanLatency
	if objective == 0 || mean == 0 || !p.mayHedge() {
		return false
	}
	now := p.router.clock.Now()
	elapsed := now.Sub(p.call.received)
	left := max(mean-now.Sub(started), 0)
	return elapsed+time.Duration(slowness*float64(left)) > objective && elapsed+mean <= objective
}

// hedge reserves a slot at a second server while the first attempt goes on,
// and sends the request there if a slot is free and the budget grants a retry.
// It returns the final event that settles the attempt.
func (p *pendingCall) hedge(ctx context.Context, first offer, started time.Time) upstream.Event {
	reserveCtx, stop := context.WithCancel(ctx)
	defer stop()
	found := make(chan offer, 1)
	go p.reserveHedge(reserveCtx, found)
	var second *offer
	var secondEvents chan upstream.Event
	for {
		select {
		case o, ok := <-found:
			found = nil
			if !ok || !p.spendRetry(ctx) {
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
			p.reportLatency(e, started)
			if second == nil || succeeded(e) {
				p.stopHedge(second, stop, found)
				return e
			}
			return p.awaitHedge(ctx, *second)
		case e := <-secondEvents:
			if e.Number() != second.event.Number() || !e.Kind().Final() {
				continue
			}
			if succeeded(e) {
				first.event.Endpoint().Cancel(first.event.Number())
				p.node = second.event.Endpoint().Node()
				return e
			}
			second, secondEvents = nil, nil
		case <-ctx.Done():
			p.stopHedge(second, stop, found)
			return p.cancel(first)
		}
	}
}

// succeeded reports whether a server answered with a status below 500.
func succeeded(e upstream.Event) bool {
	return e.Kind() == upstream.Answered && e.Response().Status() < http.StatusInternalServerError
}

// stopHedge cancels the second attempt, or the search for its slot.
func (p *pendingCall) stopHedge(second *offer, stop context.CancelFunc, found chan offer) {
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

// awaitHedge waits for the second attempt after the first one has failed.
func (p *pendingCall) awaitHedge(ctx context.Context, second offer) upstream.Event {
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

// reserveHedge looks for a slot that is free now and cheap enough, and sends
// it to found. It closes found when it is done.
func (p *pendingCall) reserveHedge(ctx context.Context, found chan<- offer) {
	defer close(found)
	defer task.Catch(func(e *task.PanicError) { p.router.log.WritePanic("hedge", e) })
	candidates := p.candidatesExcept(ctx, append([]string{p.node}, p.tried...))
	if len(candidates) == 0 {
		return
	}
	s := p.newSearch(candidates)
	o, ok := s.run(ctx, candidates, p.slotRequest(0))
	switch {
	case !ok:
	case o.event.Cost() > maxHedgeCost:
		o.event.Endpoint().Withdraw(o.event.Number())
	default:
		found <- o
	}
}

// reportLatency tells the router how long a successful attempt took.
func (p *pendingCall) reportLatency(e upstream.Event, started time.Time) {
	if succeeded(e) {
		p.router.inbox.TrySend(message{latency: &latencyMessage{route: routeKey(p.plan.route), latency: p.router.clock.Since(started)}})
	}
}

package dispatch

import (
	"context"
	"math"
	"net/http"
	"time"

	"savorygap.example/lib/quarantine"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

const (
	// maxHedgeCost is the largest cost of a slot for a hedge while the first node is
	// heard: above it, the second attempt would be no faster than the first.
	maxHedgeCost = 2.0
	// hedgeLatencyFactor is the multiple of the mean latency after which a
	// request is hedged without a Slowed event.
	hedgeLatencyFactor = 2.5
	// hedgeObjectiveShare is the fraction of the latency objective that must
	// also have passed by then.
	hedgeObjectiveShare = 0.5
	// deniedHedgePause is the fraction, 1 / deniedHedgePause, of the delay of a hedge after
	// which a request that was denied one asks again.
	deniedHedgePause = 4
	// latencyWeight is the weight of the newest latency in a route's moving
	// average.
	latencyWeight = 0.05
	// outlierFactor caps a latency, as a multiple of the mean, before it is
	// averaged.
	outlierFactor = 3.0
	// hedgeSearchPause is the time between two searches for a slot for a request whose node
	// is silent. A link that is silent too is opened anew within about two seconds, and a
	// search takes up to 40 ms if its servers do not reply.
	hedgeSearchPause = 100 * time.Millisecond
)

// execute sends the request to the offered slot and waits for its final event.
// An idempotent request is hedged, that is, sent to a second server as well,
// when its server slows down, the node next to it falls silent, or it takes much
// longer than the mean; the first success counts and the other attempt is
// cancelled. A request whose connection was lost is not hedged while the verdict
// on its server is awaited, unless the node falls silent. Any other request waits
// for its response until its time is over: a silent node may only be paused.
func (p *pendingCall) execute(ctx context.Context, o offer) upstream.Event {
	p.node, p.cost = o.event.Endpoint().Node(), o.event.Cost()
	started := p.router.clock.Now()
	o.event.Endpoint().Submit(o.event.Number(), p.call.request.WithDeadline(p.deadline))
	p.sendHedging(hedgingMessage{sent: p.plan.service})
	timer := p.router.clock.NewTimer(p.hedgeDelay())
	defer timer.Stop()
	lost := false
	for {
		select {
		case e := <-o.events:
			switch {
			case e.Number() != o.event.Number():
			case e.Kind() == upstream.Lost:
				lost = true
			case e.Kind().Final():
				p.reportLatency(e, started)
				return e
			case e.Kind() == upstream.Slowed && !lost && p.missesObjective(started, e.Cost()) && p.takeHedge(ctx):
				return p.hedge(ctx, o, started, hedgeSlowed)
			case e.Kind() == upstream.Silent && p.mayHedge():
				return p.hedge(ctx, o, started, hedgeSilent)
			}
		case <-timer.Chan():
			if lost || !p.mayHedge() {
				continue
			}
			if p.takeHedge(ctx) {
				return p.hedge(ctx, o, started, hedgeLate)
			}
			// The budget of hedges grows with each request: those that have waited longest
			// ask again.
			timer.Reset(p.hedgeDelay() / deniedHedgePause)
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
	if p.plan.hedgesLimited && (p.plan.canary || !p.plan.hedgeKnown) {
		return noHedge
	}
	if mean == 0 || !p.mayHedge() || p.plan.canary {
		return defaultTimeLeft
	}
	if p.plan.hedgesLimited {
		return p.plan.hedgeAfter
	}
	return max(time.Duration(hedgeLatencyFactor*float64(mean)), time.Duration(hedgeObjectiveShare*float64(p.plan.route.LatencyObjective())))
}

// missesObjective reports whether the attempt would now end after the latency
// objective, while a new one elsewhere would meet it.
func (p *pendingCall) missesObjective(started time.Time, slowness float64) bool {
	objective, mean := p.plan.route.LatencyObjective(), p.plan.meanLatency
	if objective == 0 || mean == 0 || !p.mayHedge() || p.plan.canary {
		return false
	}
	now := p.router.clock.Now()
	elapsed := now.Sub(p.call.received)
	left := max(mean-now.Sub(started), 0)
	return elapsed+time.Duration(slowness*float64(left)) > objective && elapsed+mean <= objective
}

// hedgeCause is why a request is hedged.
type hedgeCause string

const (
	hedgeSlowed hedgeCause = "slowed"
	hedgeLate   hedgeCause = "late"
	hedgeSilent hedgeCause = "silent"
)

// hedge reserves a slot at a second server while the first attempt goes on,
// and sends the request there if a slot is free and the budget grants a retry.
// If the first node is silent, or falls silent later, it looks for a slot again and again:
// the links to the other servers may be silent too, and be replaced soon. The end of a
// silence is not reported, so it ends with the response, the call's time, or the budget.
// It returns the final event that settles the attempt.
func (p *pendingCall) hedge(ctx context.Context, first offer, started time.Time, cause hedgeCause) upstream.Event {
	reserveCtx, stop := context.WithCancel(ctx)
	defer stop()
	found := p.startHedge(reserveCtx, cause)
	lost := false // whether the first attempt awaits the verdict on its server
	silent := cause == hedgeSilent
	var again <-chan time.Time
	lookAgain := func() {
		if silent {
			again = p.router.clock.After(hedgeSearchPause)
		}
	}
	var second *offer
	var secondEvents chan upstream.Event
	for {
		select {
		case o, ok := <-found:
			found = nil
			if !ok || lost || p.isAmbiguous() || !p.spendRetry(ctx) {
				p.returnHedge(ok)
				if ok {
					o.event.Endpoint().Withdraw(o.event.Number())
				} else {
					lookAgain()
				}
				continue
			}
			p.countAttempt()
			p.countRetry()
			second, secondEvents = &o, o.events
			p.submitHedge(o)
		case <-again:
			again = nil
			if !lost && second == nil && found == nil && p.mayHedge() {
				found = p.startHedge(reserveCtx, hedgeSilent)
			}
		case e := <-first.events:
			if e.Number() != first.event.Number() {
				continue
			}
			switch e.Kind() {
			case upstream.Lost:
				lost = true
			case upstream.Silent:
				lost, silent = false, true
			}
			if e.Kind() == upstream.Silent && second == nil && found == nil && p.mayHedge() {
				found = p.startHedge(reserveCtx, hedgeSilent)
			}
			if !e.Kind().Final() {
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
				p.recordHedgeWon(started)
				p.node = second.event.Endpoint().Node()
				return e
			}
			if e.Kind() == upstream.Refused {
				// The offer was lost before anything reached the server.
				p.attempts--
			} else {
				p.tried = append(p.tried, second.event.Endpoint().Node())
			}
			second, secondEvents = nil, nil
			lookAgain()
		case <-ctx.Done():
			p.stopHedge(second, stop, found)
			return p.cancel(first)
		}
	}
}

// startHedge starts the search for a slot at a second server and returns the
// channel that receives it.
func (p *pendingCall) startHedge(ctx context.Context, cause hedgeCause) chan offer {
	p.hedgeCause = cause
	found := make(chan offer, 1)
	request, maxCost := p.slotRequest(0), maxHedgeCost
	if cause == hedgeSilent {
		request, maxCost = p.slotRequest(p.maxWait(p.router.clock.Now())), math.Inf(1)
	}
	request = p.hedgeRequest(ctx, request)
	go p.reserveHedge(ctx, append([]string{p.node}, p.tried...), request, maxCost, found)
	return found
}

// succeeded reports whether a server answered with a status below 500.
func succeeded(e upstream.Event) bool {
	return e.Kind() == upstream.Answered && e.Response().Status() < http.StatusInternalServerError
}

// stopHedge cancels the second attempt, or the search for its slot.
func (p *pendingCall) stopHedge(second *offer, stop context.CancelFunc, found chan offer) {
	stop()
	if second == nil {
		p.refundHedge()
	} else {
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

// reserveHedge looks for a slot at a server other than those of the excluded nodes,
// and sends it to found if its cost is at most maxCost. It closes found when it is
// done.
func (p *pendingCall) reserveHedge(ctx context.Context, exclude []string, request upstream.SlotRequest, maxCost float64, found chan<- offer) {
	defer close(found)
	defer task.Catch(func(e *task.PanicError) { p.router.log.WritePanic("hedge", e) })
	candidates := p.hedgeCandidates(p.candidatesExcept(ctx, exclude, request.Release()), maxCost)
	if len(candidates) == 0 {
		return
	}
	s := p.newSearch(candidates)
	o, ok := s.run(ctx, candidates, request)
	p.recordSearch(ctx, s, o, ok, request)
	switch {
	case !ok:
	case o.event.Cost() > maxCost:
		o.event.Endpoint().Withdraw(o.event.Number())
	default:
		found <- o
	}
}

// reportLatency tells the router how long a successful attempt took.
func (p *pendingCall) reportLatency(e upstream.Event, started time.Time) {
	if succeeded(e) {
		p.router.inbox.TrySend(message{latency: &latencyMessage{
			route: routeKey(p.plan.route), latency: p.router.clock.Since(started), fingerprint: quarantine.FingerprintOf(p.call.request),
		}})
	}
}

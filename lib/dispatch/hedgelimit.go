package dispatch

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"savorygap.example/lib/hedge"
	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

// Events of hedges that the observer receives.
const (
	HedgeSent   = "sent"
	HedgeWon    = "won"
	HedgeDenied = "denied"
)

// Reasons of a denied hedge beside those of lib/hedge.
const (
	deniedBudget = "budget"
	deniedNoSlot = "no-slot"
)

// noHedge is the delay of a request that is not hedged, whatever its deadline.
const noHedge = time.Duration(math.MaxInt64)

// WithHedging returns the settings with a limit on hedges: share is the largest number of
// them for each request that this node sends to a service, and a request is hedged after
// the given quantile of the latencies of its route. Without a share, only the retry
// budget limits hedges.
func (c Config) WithHedging(share, quantile float64) Config {
	c.hedgingShare, c.hedgingQuantile = share, quantile
	return c
}

// WithNesting returns the settings with a function that reports whether the id of a call says
// that the request with the id parent makes it while it runs. Without it, calls that belong to
// a hedge are not recognised.
func (c Config) WithNesting(isNestedIn func(id, parent string) bool) Config {
	c.isNestedIn = isNestedIn
	return c
}

// WithHedges returns the observer with a function that is called for each hedge that is
// sent, wins, or is denied for a reason, while hedges are limited.
func (o Observer) WithHedges(hedged func(service, event, reason string)) Observer {
	o.hedged = hedged
	return o
}

// hedgingMessage is a closed union; exactly one field is set.
type hedgingMessage struct {
	take      *takeHedge
	abandoned *takeHedge      // whose reply nobody waits for any more
	refund    string          // service
	sent      string          // service
	search    *searchOutcome  // of a search for a slot
	latency   *latencyMessage // of an attempt that a hedge has replaced
	running   *runningHedge   // at the server on this host
}

type takeHedge struct {
	service string
	id      string
	nested  bool
	reply   task.Reply[hedge.Denial]
}

type searchOutcome struct {
	service string
	short   bool
}

type runningHedge struct {
	id       string
	deadline time.Time
}

// RecordHedge records that a hedge is about to run at the server on this host. It never
// blocks.
func (r *Router) RecordHedge(request *upstream.Request) {
	if r.config.hedgingShare > 0 {
		r.inbox.TrySend(message{hedging: &hedgingMessage{running: &runningHedge{id: request.ID(), deadline: request.Deadline()}}})
	}
}

// handleHedging handles a message of calls whose hedges are limited.
func (r *Router) handleHedging(m *hedgingMessage) {
	now := r.clock.Now()
	switch {
	case m.take != nil:
		m.take.reply <- r.hedging.Take(now, m.take.service, m.take.id, m.take.nested)
	case m.abandoned != nil:
		// It was handled before this message, so its reply is there.
		select {
		case denial, ok := <-m.abandoned.reply:
			if ok && denial == hedge.Granted {
				r.hedging.Refund(m.abandoned.service)
			}
		default:
		}
	case m.refund != "":
		r.hedging.Refund(m.refund)
	case m.sent != "":
		r.hedging.RecordSent(now, m.sent)
	case m.search != nil:
		r.hedging.RecordSearch(now, m.search.service, m.search.short)
	case m.latency != nil:
		r.hedging.RecordLatency(now, m.latency.route, m.latency.latency)
	case m.running != nil:
		r.hedging.RecordRunning(now, m.running.id, m.running.deadline)
	}
}

// newHedging returns the controller of the limit on hedges, nil without one.
func newHedging(c Config) *hedge.Controller {
	if c.hedgingShare <= 0 {
		return nil
	}
	return hedge.New(c.hedgingShare, c.hedgingQuantile, c.isNestedIn)
}

// limitHedges adds the delay of hedges to the plan of a call if they are limited.
func (r *Router) limitHedges(p plan, route string) plan {
	if r.hedging == nil {
		return p
	}
	p.hedgesLimited, p.hedgeAfter = true, defaultTimeLeft
	if delay, ok := r.hedging.Delay(r.clock.Now(), route); ok {
		p.hedgeAfter, p.hedgeKnown = delay, true
	}
	return p
}

func (p *pendingCall) sendHedging(m hedgingMessage) {
	if p.plan.hedgesLimited {
		p.router.inbox.TrySend(message{hedging: &m})
	}
}

// takeHedge spends a hedge and reports whether the call may be hedged. A node that is
// silent may have lost the request, so a second send for that reason is no hedge by this
// limit.
func (p *pendingCall) takeHedge(ctx context.Context) bool {
	if !p.plan.hedgesLimited {
		return true
	}
	m := &takeHedge{service: p.plan.service, id: p.call.request.ID(), nested: p.call.nested, reply: task.NewReply[hedge.Denial]()}
	if !p.router.inbox.Send(message{hedging: &hedgingMessage{take: m}}) {
		return false
	}
	denial, ok := m.reply.Wait(ctx, p.router.inbox.Done())
	if !ok {
		p.sendHedging(hedgingMessage{abandoned: m})
		return false
	}
	if denial != hedge.Granted {
		p.denyHedge(string(denial))
		return false
	}
	p.hedgeTaken = true
	return true
}

// hedgeCandidates returns those of the candidates that a second send may use. If hedges are
// limited, it goes to no far data centre, even if there is no other server here, unless it
// replaces the send to a silent node, for which no cost is too high.
func (p *pendingCall) hedgeCandidates(candidates []candidate, maxCost float64) []candidate {
	candidates = withoutFar(candidates)
	if !p.plan.hedgesLimited || math.IsInf(maxCost, 1) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.distant })
}

// denyHedge records why a hedge is not sent.
func (p *pendingCall) denyHedge(reason string) {
	p.hedgeDenied = reason
	p.router.observer.hedged(p.plan.service, HedgeDenied, reason)
}

// returnHedge returns a hedge that is not sent for want of a slot or, if one was found, of
// budget for retries.
func (p *pendingCall) returnHedge(found bool) {
	switch {
	case !p.refundHedge():
	case found:
		p.denyHedge(deniedBudget)
	default:
		p.denyHedge(deniedNoSlot)
	}
}

// refundHedge returns a hedge that was taken and not sent, and reports whether there was one.
func (p *pendingCall) refundHedge() bool {
	if !p.hedgeTaken {
		return false
	}
	p.hedgeTaken = false
	p.sendHedging(hedgingMessage{refund: p.plan.service})
	return true
}

// submitHedge sends the request to a second server. The node beside it learns that the
// request is a hedge, so that calls which belong to it are not hedged.
func (p *pendingCall) submitHedge(o offer) {
	request := p.call.request.WithDeadline(p.deadline)
	if p.plan.hedgesLimited {
		request = request.AsHedge()
		p.hedgeSent, p.hedgeTaken = p.hedgeTaken, false
		if p.hedgeSent {
			p.router.observer.hedged(p.plan.service, HedgeSent, "")
		}
	}
	o.event.Endpoint().Submit(o.event.Number(), request)
}

// recordHedgeWon records that a hedge replaces the first attempt, which had run since
// started. The attempt would have taken longer: without it, the recorded latencies would
// be those of fast servers only.
func (p *pendingCall) recordHedgeWon(started time.Time) {
	if !p.plan.hedgesLimited {
		return
	}
	p.hedgeWon = true
	p.sendHedging(hedgingMessage{latency: &latencyMessage{route: routeKey(p.plan.route), latency: p.router.clock.Since(started)}})
	if p.hedgeSent {
		p.router.observer.hedged(p.plan.service, HedgeWon, "")
	}
}

// recordSearch records whether a search found a slot at once, at a server that is not
// busy. A search for a fast server that finds none says nothing of slots, nor does one that is
// cut short because the other send has answered or the caller has left.
func (p *pendingCall) recordSearch(ctx context.Context, s *slotSearch, best offer, ok bool, request upstream.SlotRequest) {
	isCutShort := errors.Is(ctx.Err(), context.Canceled)
	if !p.plan.hedgesLimited || !ok && (request.MaxSlowness() > 0 || isCutShort) {
		return
	}
	short := !ok || best.event.IsBusy() || s.queued[best.event.Number()]
	p.sendHedging(hedgingMessage{search: &searchOutcome{service: p.plan.service, short: short}})
}

// hedgeFields returns the fields of the log line of a call whose hedges are limited.
func (p *pendingCall) hedgeFields() []any {
	if !p.plan.hedgesLimited {
		return nil
	}
	return []any{"hedge_denied", p.hedgeDenied, "hedge_won", p.hedgeWon, "hedge_after_ms", p.plan.hedgeAfter.Milliseconds()}
}

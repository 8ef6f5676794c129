package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"

	"savorygap.example/lib/task"
	"savorygap.example/lib/upstream"
)

// endWithoutSlot ends a call for which no further slot was found. If an
// earlier attempt may have run, the caller gets the result of that attempt and
// is never told that the request was not run.
func (p *pendingCall) endWithoutSlot() *upstream.Response {
	switch {
	case p.failedResponse != nil:
		p.fire(eventAnswer)
		p.fire(eventComplete)
		return p.failedResponse
	case p.uncertainReason != "":
		p.reason = p.uncertainReason
		p.fire(eventUnknown)
		return p.errorResponse(http.StatusBadGateway, "unknown", "the outcome is not known: "+p.uncertainReason)
	case p.keyState() == keyRemoved:
		p.reason = (&UnauthorizedError{}).Error()
		p.fire(eventReject)
		return p.unauthorized()
	}
	p.fire(eventExhausted)
	return p.refuse()
}

// endAfterPanic returns the response to a call whose handling failed. The call was
// not run if no attempt was made.
func (p *pendingCall) endAfterPanic(e *task.PanicError) *upstream.Response {
	p.reason = e.Error()
	if p.attempts > 0 {
		return p.errorResponse(http.StatusBadGateway, "unknown", "the outcome is not known: "+p.reason)
	}
	return p.refuse()
}

// reject returns the response to a call for which there is no plan.
func (p *pendingCall) reject(err error) *upstream.Response {
	var noRoute *NoRouteError
	p.reason = err.Error()
	if errors.As(err, &noRoute) {
		return p.errorResponse(http.StatusNotFound, "no-route", err.Error())
	}
	var unauthorized *UnauthorizedError
	if errors.As(err, &unauthorized) {
		return p.unauthorized()
	}
	p.retryAfter = notReadyRetryAfter
	return p.unavailable()
}

// refuse returns the response that states that the request was not run and when
// to retry it.
func (p *pendingCall) refuse() *upstream.Response {
	if p.reason == "" {
		p.reason = "no server"
	}
	p.retryAfter = max(p.retryAfter, minRefusedRetryAfter) + rand.N(refusedRetryJitter)
	return p.unavailable()
}

// unavailable returns a 503 response with a Retry-After header field.
func (p *pendingCall) unavailable() *upstream.Response {
	response := p.errorResponse(http.StatusServiceUnavailable, "not-run", p.reason)
	response.Header().Set("Retry-After", strconv.FormatFloat(p.retryAfter.Seconds(), 'f', 3, 64))
	return response
}

// errorResponse returns an error response that the node itself generates.
func (p *pendingCall) errorResponse(status int, outcome, reason string) *upstream.Response {
	body, err := json.Marshal(map[string]string{"outcome": outcome, "reason": reason})
	if err != nil {
		p.router.log.Write("encode-failed", "request", p.call.request.ID(), "error", err.Error())
	}
	return upstream.NewResponse(status, http.Header{"Content-Type": {"application/json"}}, body)
}

// logEnd records how the call ended, in the log and for the observer.
func (p *pendingCall) logEnd(ctx context.Context, response *upstream.Response) {
	took := p.router.clock.Since(p.call.received)
	outcome, route := string(p.machine.State()), "none"
	if errors.Is(ctx.Err(), context.Canceled) {
		outcome = "caller-left"
	}
	if p.plan.route != nil {
		route = p.plan.route.Name()
	}
	if p.isUnauthorized {
		outcome = outcomeUnauthorized
	}
	if p.isOverQuota {
		outcome = outcomeOverQuota
	}
	p.router.observer.requestEnded(route, outcome, took)
	fields := []any{"request", p.call.request.ID(), "outcome", outcome, "status", response.Status(), "took_ms", took.Milliseconds(),
		"route", route, "tenant", p.tenantName(), "service", p.plan.service, "version", p.plan.version, "release", p.plan.release, "node", p.node, "cost", p.cost, "asked", p.serversAsked,
		"attempts", p.attempts, "waited_ms", p.searchTime.Milliseconds(), "time_left_ms", p.call.timeLeft.Milliseconds(), "nested", p.call.nested,
		"budget_denied", p.budgetDenied, "hedge", string(p.hedgeCause), "reason", p.reason}
	p.router.log.Write("request", append(fields, p.hedgeFields()...)...)
}

package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"savorygap.example/lib/quota"
	"savorygap.example/lib/quota/controller"
	"savorygap.example/lib/upstream"
)

const (
	// outcomeOverQuota is the outcome of a call above the limit of its tenant.
	outcomeOverQuota = "over-quota"
	// minQuotaRetryAfter is the shortest Retry-After time of such a call. The nodes ask an
	// owner again after 50 ms.
	minQuotaRetryAfter = 50 * time.Millisecond
	// maxLateSubmit is how long after the end of its credit a call may be sent, so that a credit
	// taken shortly before its end is not lost. docs/design/quotas.md leaves room for it.
	maxLateSubmit = 300 * time.Millisecond
)

// UseQuotas has calls with a tenant take a credit, which begin takes or asks for. It must
// be called before the first call.
func (r *Router) UseQuotas(begin func(tenant string) controller.Claim) { r.beginClaim = begin }

// beginClaim takes a credit for the call, or asks for one beside the slot requests. A
// call that is made by a running request takes none, since that request has one.
func (p *pendingCall) beginClaim() {
	if p.router.beginClaim != nil && p.plan.tenant != nil && !p.plan.nested {
		p.claim = p.router.beginClaim(p.plan.tenant.Name())
	}
}

// endClaim gives the credit of the call back if no server got the call.
func (p *pendingCall) endClaim() {
	if p.attempts == 0 {
		p.claim.Release()
	}
}

// hasLapsed reports whether the credit of a call that no server has got can no longer be used,
// since the call has waited for a slot for too long.
func (p *pendingCall) hasLapsed(v quota.Verdict) bool {
	return p.attempts == 0 && v.Admitted() && v.Source() != quota.FromNoLimit && !p.router.clock.Now().Before(v.ExpiresAt().Add(maxLateSubmit))
}

// awaitCredit waits until the credit of the call is there, and takes another one if it has
// lapsed. It returns the response to a call that gets none.
func (p *pendingCall) awaitCredit(ctx context.Context) (*upstream.Response, bool) {
	v, ok := p.claim.Wait(ctx)
	for ok && p.hasLapsed(v) {
		p.beginClaim()
		v, ok = p.claim.Wait(ctx)
	}
	switch {
	case ok && v.Admitted():
		return nil, true
	case !ok:
		p.reason, p.retryAfter = "no credit in time", 0
		return p.endWithoutSlot(), false
	case p.keyState() == keyRemoved:
		return p.endWithoutSlot(), false
	}
	p.isOverQuota, p.reason = true, quotaReason(p.plan.tenant.Name(), v)
	p.fire(eventExhausted)
	earliest := max(v.RetryAfter(), minQuotaRetryAfter)
	p.retryAfter = earliest + rand.N(quota.RetrySpread(p.slackAfter(earliest)))
	response := p.errorResponse(http.StatusTooManyRequests, outcomeOverQuota, p.reason)
	response.Header().Set("Retry-After", strconv.FormatFloat(p.retryAfter.Seconds(), 'f', 3, 64))
	return response, false
}

// slackAfter returns how long the call could wait beyond the given time and still meet the
// latency objective of its route.
func (p *pendingCall) slackAfter(wait time.Duration) time.Duration {
	objective := p.plan.route.LatencyObjective()
	if objective == 0 {
		objective = p.call.timeLeft
	}
	return objective - p.router.clock.Since(p.call.received) - p.plan.meanLatency - wait
}

// quotaReason says what decided that a call is above its tenant's limit.
func quotaReason(tenant string, v quota.Verdict) string {
	by := "the owner " + v.Owner()
	switch v.Source() {
	case quota.FromPause:
		by += " a moment ago"
	case quota.FromFallback:
		by = "this node's part of the limit, since no owner answers"
	case quota.FromOwner, quota.FromNoLimit:
	}
	return "tenant " + tenant + " is above its limit, according to " + by
}
